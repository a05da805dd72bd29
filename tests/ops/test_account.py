"""Request counters agree with the counts of scripted peers, for every way in which a request can end."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

import pytest

from garnethaven.engine.account import CallResult
from tests.loopback import ANSWER, Sidecar, read_message, request, run, running_sidecar, wait_until

REJECTION = b"HTTP/1.1 503 Busy\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
SERVER_ERROR = b"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n"
ANSWERS = (
    ANSWER,
    ANSWER,
    ANSWER,
    REJECTION,
    SERVER_ERROR,
    b"\x00noise",
    b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhal",
    b"",
)
REQUESTS = 240
CLIENTS = 24


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_the_account_is_what_peers_counted(seed: int) -> None:
    rng = random.Random(seed)
    print(f"seed {seed}")

    async def random_answer(head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(rng.random() * 0.01)
        answer = rng.choice(ANSWERS)
        if not answer:
            raise ConnectionError
        writer.write(answer)

    async def case() -> None:
        async with running_sidecar(random_answer, random_answer, random_answer, connections=4 * CLIENTS) as (
            sidecar,
            peers,
        ):
            statuses: Counter[int] = Counter()
            call_numbers = iter(range(REQUESTS))

            async def client() -> None:
                for number in call_numbers:
                    headers = {} if number % 2 else {"Idempotency_Key": ""}
                    statuses[await ask(sidecar, request(X_Call_Id=f"c{number}", **headers), rng)] += 1

            await asyncio.gather(*(client() for _ in range(CLIENTS)))
            await wait_until(lambda: not sidecar.engine.calls)
            account = sidecar.engine.account
            assert account.in_flight == 0
            assert account.taken[0] == sum(counts[0] for counts in account.ended.values())
            gone = account.ended[CallResult.GONE][0]
            assert gone <= statuses[0]  # some clients were answered before they disconnected
            uncertain = statuses[0] - gone
            for end, count in ((CallResult.SERVED, statuses[200]), (CallResult.REFUSED, statuses[503])):
                assert count <= account.ended[end][0] <= count + uncertain
            failed = statuses[502] + statuses[504] + statuses[409]
            assert failed <= account.ended[CallResult.FAILED][0] <= failed + uncertain
            assert account.attempts >= sum(len(peer.requests) for peer in peers)
            assert account.attempts <= sum(len(peer.requests) for peer in peers) + account.attempts // 20

    run(case())


async def ask(sidecar: Sidecar, request_bytes: bytes, rng: random.Random) -> int:
    """Send a request and return the status, or 0 if this client disconnects before the answer."""
    reader, writer = await sidecar.connect()
    writer.write(request_bytes)
    if rng.random() < 0.1:
        await asyncio.sleep(rng.random() * 0.01)
        writer.transport.abort()
        return 0
    head, _ = await read_message(reader)
    writer.close()
    return int(head.split()[1])
