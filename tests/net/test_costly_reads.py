"""Connections whose bytes are costly to parse take turns."""

from __future__ import annotations

import asyncio

import pytest

from garnethaven.net import costly_reads
from garnethaven.net.costly_reads import PARTS_PER_TURN, CostlyReads
from garnethaven.net.read_buffer import MAX_READ_BYTES
from tests.loopback import request, run, wait_until
from tests.test_flow import chunked, read_and_answer, read_answer, start_sidecar, upload

LONG_PAUSE_S = 60.0
CHUNKS = b"1\r\nx\r\n" * 100_000


def test_turns_are_given_one_at_a_time_in_order(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(costly_reads, "TURN_INTERVAL_S", 0.02)

    async def case() -> None:
        loop = asyncio.get_running_loop()
        turns: list[tuple[int, float]] = []
        reads = CostlyReads(loop)
        for number in range(3):
            reads.rest(lambda number=number: turns.append((number, loop.time())))  # type: ignore[misc]
        await wait_until(lambda: len(turns) == 3)
        assert [number for number, _ in turns] == [0, 1, 2]
        assert turns[2][1] - turns[0][1] >= 0.039
        reads.rest(lambda: turns.append((3, loop.time())))
        await wait_until(lambda: len(turns) == 4)

    run(case())


# The failure to guard against: one client's body in chunks of one byte is parsed on without a rest.
def test_a_body_in_chunks_of_one_byte_rests_after_each_read(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(costly_reads, "TURN_INTERVAL_S", LONG_PAUSE_S)

    async def case() -> None:
        sidecar, _ = await start_sidecar(read_and_answer)
        _, writer = await sidecar.connect()
        writer.write(upload(None, X_Call_Id="costly") + CHUNKS + b"0\r\n\r\n")
        await wait_until(lambda: bool(sidecar.listener.costly_reads.waiting))
        (connection,) = sidecar.listener.connections
        await asyncio.sleep(0.1)
        assert connection.incoming.body_size() <= MAX_READ_BYTES
        assert (await sidecar.ask(request()))[0] == 200
        writer.transport.abort()
        connection.abort()
        await wait_until(lambda: connection not in sidecar.listener.connections)
        resume = sidecar.listener.costly_reads.waiting.popleft()
        resume()  # harmless once the client has left

    run(case())


# The failure: chunks that cost little rested like those of one byte, and long bodies were read late.
def test_a_body_is_read_without_a_rest_until_its_chunks_cost_a_turn(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(costly_reads, "TURN_INTERVAL_S", LONG_PAUSE_S)

    async def case() -> None:
        sidecar, _ = await start_sidecar(read_and_answer)
        reader, writer = await sidecar.connect()
        body = bytes(200 * PARTS_PER_TURN)
        writer.write(upload(None) + chunked(body[: len(body) * 9 // 10], 200))
        assert await read_answer(reader) == (200, b"hello")
        assert not sidecar.listener.costly_reads.waiting
        writer.write(upload(None, X_Call_Id="more") + chunked(body, 200))
        await wait_until(lambda: len(sidecar.listener.costly_reads.waiting) == 1)
        (connection,) = sidecar.listener.connections
        connection.abort()

    run(case())


# The failure to guard against: a rest ends a pause that a full server needs, or is never ended.
def test_what_follows_a_costly_body_is_served() -> None:
    async def case() -> None:
        sidecar, (server,) = await start_sidecar(read_and_answer)
        reader, writer = await sidecar.connect()
        for number in range(3):
            writer.write(upload(None, X_Call_Id=f"c{number}") + CHUNKS + b"0\r\n\r\n")
            writer.write(request(X_Call_Id=f"s{number}"))
        for _ in range(6):
            assert await read_answer(reader) == (200, b"hello")
        assert server.bodies == [b"x" * 100_000, b"hi"] * 3
        writer.close()

    run(case())


# The failure: the time of requests whose connections waited for their turns began with the last byte read.
@pytest.mark.parametrize("size", [50_000, 80_000], ids=["buffered", "streamed"])
def test_requests_that_wait_for_their_turns_are_answered_in_their_time(
    size: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(costly_reads, "TURN_INTERVAL_S", 0.2)  # 300 kB and more take 20 turns: 4 s

    async def case() -> None:
        sidecar, _ = await start_sidecar(read_and_answer)
        loop, sock = asyncio.get_running_loop(), await sidecar.plain()
        head = upload(None, X_Budget_Ms="1000", Idempotency_Key="")
        await loop.sock_sendall(sock, head + b"1\r\nx\r\n" * size + b"0\r\n\r\n")
        written_at = loop.time()
        received = await loop.sock_recv(sock, 65536)
        assert loop.time() - written_at < 1.25
        assert int(received.split()[1]) == 503
        sock.close()

    run(case())


# The failure to guard against: a time that is no number ends the check of all connections.
@pytest.mark.parametrize("budget", ["x", "9" * 5000, "0"])
def test_a_bad_time_in_a_request_that_waits_for_its_turn_is_answered(
    budget: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(costly_reads, "TURN_INTERVAL_S", 0.1)

    async def case() -> None:
        sidecar, _ = await start_sidecar(read_and_answer)
        reader, writer = await sidecar.connect()
        writer.write(upload(None, X_Budget_Ms=budget) + b"1\r\nx\r\n" * 20_000 + b"0\r\n\r\n")
        assert (await read_answer(reader))[0] == 400
        writer.close()

    run(case())


# The failure to guard against: a request that was read late has its whole time again.
def test_a_request_that_was_read_after_a_turn_has_the_time_that_is_left(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(costly_reads, "TURN_INTERVAL_S", 0.2)

    async def case() -> None:
        sidecar, servers = await start_sidecar(read_and_answer)
        reader, writer = await sidecar.connect()
        writer.write(upload(None, X_Budget_Ms="1000") + b"1\r\nx\r\n" * 6000 + b"0\r\n\r\n")  # 3 reads
        assert await read_answer(reader) == (200, b"hello")
        (head,) = servers[0].heads
        assert int(head["x-budget-ms"]) < 700
        writer.write(request(X_Call_Id="next"))
        assert await read_answer(reader) == (200, b"hello")
        assert int(servers[0].heads[1]["x-budget-ms"]) > 2700  # it waits for one turn
        writer.close()

    run(case())
