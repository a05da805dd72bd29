"""A request that offers an upgrade is forwarded without its body, which is read as further requests."""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

from lab import (  # noqa: E402
    Arrivals,
    CheckServer,
    Discovery,
    Program,
    Rack,
    Record,
    post,
    read_message,
    run_case,
    settings,
)

SERVERS = 4
CLIENTS = 8
REQUESTS = 20  # of each client
OFFERS_EVERY = 5  # one request in five offers the upgrade
UPGRADE = b"Connection: Upgrade\r\nUpgrade: h2c\r\n"
BUDGET_S = 2.0
LATE_S = 0.5  # up to half a second after its time an answer only earns nothing; later it is lost


class Client:
    """A client that keeps its connection and sends one request at a time."""

    def __init__(
        self, number: int, record: Record, program: Program, arrivals: Arrivals, offers: bool
    ) -> None:
        self.name = f"client{number}"
        self.rng = random.Random(number)
        self.record = record
        self.program = program
        self.arrivals = arrivals
        self.offers = offers
        self.broken: list[str] = []

    def _body(self, call_id: str) -> bytes:
        """An applicant's file; every second one holds the text of an earlier message."""
        file: dict[str, object] = {"tenant": call_id, "income": self.rng.randrange(20_000, 90_000)}
        if self.rng.random() < 0.5:
            return json.dumps(file).encode()
        return post(f"quoted-in-{call_id}", "k", 2000, b"an earlier message")

    async def run(self) -> None:
        connection = None
        for number in range(REQUESTS):
            call_id = f"{self.name}-{number}"
            body = self._body(call_id)
            request = post(call_id, f"key-{call_id}", int(BUDGET_S * 1000), body)
            offered = self.offers and number % OFFERS_EVERY == OFFERS_EVERY - 1
            if offered:
                head, _, rest = request.partition(b"\r\n\r\n")
                request = head + b"\r\n" + UPGRADE + b"\r\n" + rest
            self.arrivals.sent[call_id] = body
            if connection is None:
                connection = await asyncio.open_connection("127.0.0.1", self.program.port)
            reader, writer = connection
            writer.write(request)
            self.record.add(
                f"{self.name}: {call_id} is written, {len(body)} bytes of body{', offers h2c' * offered}"
            )
            if not await self._judge(call_id, reader, time.monotonic()):
                writer.close()
                connection = None
            await asyncio.sleep(self.rng.uniform(0.02, 0.1))

    async def _judge(self, call_id: str, reader: asyncio.StreamReader, sent_at: float) -> bool:
        """Judge the answer; returns whether the connection may be used again."""
        try:
            answer = await asyncio.wait_for(read_message(reader), BUDGET_S + LATE_S)
        except TimeoutError:
            self._note(f"{call_id} has no answer {BUDGET_S + LATE_S:g} s after its last byte")
            return False
        except (OSError, asyncio.IncompleteReadError) as problem:
            self._note(f"{call_id}: the connection ended with no whole answer ({problem!r})")
            return False
        if answer is None:  # closed between two requests: the client may send it once more
            self.record.add(f"{self.name}: the connection was closed under {call_id}")
            return False
        word = {200: "served", 503: "refused", 429: "refused"}.get(answer.status, "failed")
        seconds = time.monotonic() - sent_at
        self.record.add(f"{self.name}: {call_id} is {word}, {answer.status} after {seconds:.3f} s")
        if word == "served" and answer.body not in self.arrivals.answers.get(call_id, ()):
            self._note(f"{call_id} is served with what no server made for it")
        return not answer.closes

    def _note(self, text: str) -> None:
        self.broken.append(text)
        self.record.add(f"{self.name}: {text}")


async def case(record: Record, trouble: bool) -> list[str]:
    arrivals, racks = Arrivals(), [Rack(0), Rack(1)]
    discovery = Discovery(record)
    await discovery.start()
    servers = [CheckServer(f"s{number}", racks[number % 2], record, arrivals) for number in range(SERVERS)]
    for server in servers:
        await server.start()
    discovery.publish(*(server.member() for server in servers))
    program = Program(record, discovery.port, settings(), discovery.whole())
    clients = [Client(number, record, program, arrivals, trouble) for number in range(CLIENTS)]
    try:
        await program.start()
        await asyncio.gather(*(client.run() for client in clients))
    finally:
        await program.end()
        discovery.close()
        for server in servers:
            server.close()
    return arrivals.mangled + [line for client in clients for line in client.broken]


if __name__ == "__main__":
    run_case(HERE / "record.txt", case)
