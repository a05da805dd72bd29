"""Answers that pause: servers may take seconds to write one, and others begin one that never ends."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace

import pytest

from garnethaven.engine.engine import S
from garnethaven.interface import Idempotency
from garnethaven.net import connection as server_connection
from garnethaven.net import flow
from garnethaven.net.flow import MAX_BUFFERED_BYTES
from tests.crossings.test_late_dials import set_idempotency
from tests.loopback import ANSWER, Sidecar, request, run, wait_until
from tests.test_flow import (
    Serve,
    Server,
    body_parts,
    chunked,
    read_and_answer,
    read_answer,
    read_head,
    start_sidecar,
    upload,
)

STALL_S = 0.05
PAUSE_S = 0.2
PIECE = bytes(range(250)) * 80
PIECES = 6  # together over 64 KiB, half of them below it
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
UNTIL_CLOSE = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
NEVER_ENDING = {
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello",
    "chunks": CHUNKED + b"5\r\nhello\r\n",
    "head": b"HTTP/1.1 200 OK\r\nContent-Len",
    "interim": b"HTTP/1.1 103 Early Hints\r\n\r\n",
}


@pytest.fixture(autouse=True)
def short_stall(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server_connection, "STALL_S", STALL_S)


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def paused_pieces(framing: str, count: int) -> list[bytes]:
    """The parts of an answer; its server pauses before each but the first."""
    if framing == "chunked":
        return [CHUNKED + chunk(PIECE), *[chunk(PIECE)] * (count - 1), b"0\r\n\r\n"]
    if framing == "until close":
        return [UNTIL_CLOSE + PIECE, *[PIECE] * (count - 1)]
    length = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (len(PIECE) * count)
    interim = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
    first = [interim, length] if framing == "interim" else [length]
    return [*first, *[PIECE] * count]


def writes_with_pauses(pieces: list[bytes], pause_s: float = PAUSE_S) -> Serve:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, server: Server) -> None:
        await server.body(reader)
        for number, piece in enumerate(pieces):
            if number:
                await asyncio.sleep(pause_s)
            writer.write(piece)
            await writer.drain()
        if pieces[0].startswith(UNTIL_CLOSE):
            raise ConnectionError  # closes

    return serve


def begins_and_stops(answer: bytes, closed: list[bool]) -> Serve:
    """Begins an answer, never ends it, and records that the sidecar has closed the connection."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, server: Server) -> None:
        await server.body(reader)
        writer.write(answer)
        closed.append(await reader.read() == b"")
        raise ConnectionError

    return serve


def forbid_hedging(sidecar: Sidecar) -> None:
    engine = sidecar.engine
    engine.settings = engine.balancer.settings = replace(engine.settings, hedging=False)


async def ask(sidecar: Sidecar, text: bytes | None = None) -> tuple[int, bytes]:
    reader, writer = await sidecar.connect()
    writer.write(text or request())
    answer = await read_answer(reader)
    writer.close()
    return answer


# The failure: an answer that paused for over 0.3 s before 64 KiB of it had come was cut off, and failed.
@pytest.mark.parametrize("count", [PIECES, 1], ids=["long", "short"])
@pytest.mark.parametrize("framing", ["chunked", "until close", "length", "interim"])
@pytest.mark.parametrize("key", ["k1", ""], ids=["keyed", "unsafe"])
def test_an_answer_that_pauses_is_passed_on_whole(key: str, framing: str, count: int) -> None:
    async def case() -> None:
        pieces = paused_pieces(framing, count)
        sidecar, servers = await start_sidecar(writes_with_pauses(pieces), writes_with_pauses(pieces))
        assert await ask(sidecar, request(Idempotency_Key=key)) == (200, PIECE * count)
        if not key:
            assert sum(len(server.heads) for server in servers) == 1

    run(case())


# The same failure where the settings allow no second attempt beside the first.
@pytest.mark.parametrize("framing", ["chunked", "length"])
def test_an_answer_that_pauses_is_waited_for_where_no_second_one_may_be_asked_for(framing: str) -> None:
    async def case() -> None:
        pieces = paused_pieces(framing, 3)
        sidecar, servers = await start_sidecar(writes_with_pauses(pieces), writes_with_pauses(pieces))
        forbid_hedging(sidecar)
        assert await ask(sidecar) == (200, PIECE * 3)
        assert sum(len(server.heads) for server in servers) == 1

    run(case())


async def ask_until_first_server_is_met(sidecar: Sidecar, server: Server) -> list[tuple[int, bytes]]:
    answers = []
    while not server.heads:
        answers.append(await ask(sidecar, request(X_Call_Id=f"c{len(answers)}")))
    return answers


# The failure to guard against: an answer that never ends takes all of its client's time.
@pytest.mark.parametrize("answer", NEVER_ENDING.values(), ids=NEVER_ENDING)
def test_beside_an_answer_that_never_ends_another_server_is_asked(answer: bytes) -> None:
    async def case() -> None:
        closed: list[bool] = []
        sidecar, (faulty, healthy) = await start_sidecar(begins_and_stops(answer, closed), read_and_answer)
        answers = await ask_until_first_server_is_met(sidecar, faulty)
        assert answers == [(200, b"hello")] * len(answers)
        await wait_until(lambda: closed == [True])
        assert len(healthy.heads) == len(answers)

    run(case())


# The failure to guard against: the same where the two attempts may not be open at once.
def test_an_answer_that_never_ends_is_replaced_where_no_second_one_may_be_asked_for() -> None:
    async def case() -> None:
        closed: list[bool] = []
        closed_before: list[bool] = []

        async def answers_second(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter, server: Server
        ) -> None:
            closed_before[:] = closed
            await read_and_answer(reader, writer, server)

        sidecar, (faulty, _) = await start_sidecar(
            begins_and_stops(NEVER_ENDING["length"], closed), answers_second
        )
        forbid_hedging(sidecar)
        answers = await ask_until_first_server_is_met(sidecar, faulty)
        assert answers == [(200, b"hello")] * len(answers)
        assert closed_before == [True]

    run(case())


# The failure to guard against: a request that may not be repeated is, or never ends.
@pytest.mark.parametrize("kind", ["length", "head", "interim"])
def test_an_unsafe_request_whose_answer_never_ends_fails_once_its_time_is_over(kind: str) -> None:
    async def case() -> None:
        closed: list[bool] = []
        serve = begins_and_stops(NEVER_ENDING[kind], closed)
        sidecar, servers = await start_sidecar(serve, serve)
        set_idempotency(sidecar, Idempotency.FRAGILE)
        assert (await ask(sidecar, request(X_Budget_Ms="400")))[0] == 504
        await wait_until(lambda: closed == [True])
        assert sum(len(server.heads) for server in servers) == 1
        assert not sidecar.engine.calls

    run(case())


# The failure to guard against: an answer that was passed on and never ends holds its client for good.
def test_the_client_of_an_unsafe_request_can_tell_that_its_answer_never_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(flow, "STREAM_STALL_S", 0.5)

    async def case() -> None:
        closed: list[bool] = []
        serve = begins_and_stops(NEVER_ENDING["chunks"], closed)
        sidecar, servers = await start_sidecar(serve, serve)
        set_idempotency(sidecar, Idempotency.FRAGILE)
        reader, writer = await sidecar.connect()
        writer.write(request(X_Budget_Ms="400"))
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await read_answer(reader)
        await wait_until(lambda: closed == [True])
        assert sum(len(server.heads) for server in servers) == 1
        assert not sidecar.engine.calls
        writer.close()

    run(case())


# The failure: the beginning of a long answer was held back until 64 KiB of it had come, however late.
@pytest.mark.parametrize(
    ("head", "frame"), [(CHUNKED, chunk), (UNTIL_CLOSE, bytes)], ids=["chunked", "until close"]
)
def test_the_beginning_of_a_slow_answer_is_not_held_back(
    head: bytes, frame: Callable[[bytes], bytes]
) -> None:
    async def case() -> None:
        received = asyncio.Event()

        async def trickles(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter, server: Server
        ) -> None:
            await server.body(reader)
            writer.write(head)
            while not received.is_set():
                writer.write(frame(b"x"))
                await asyncio.sleep(STALL_S / 5)
            writer.write(frame(b"end"))
            if head is CHUNKED:
                writer.write(b"0\r\n\r\n")
            await writer.drain()
            raise ConnectionError

        sidecar, (server,) = await start_sidecar(trickles)
        reader, writer = await sidecar.connect()
        writer.write(request(X_Budget_Ms="1000"))
        assert " 200 " in (await read_head(reader))[""]
        received.set()
        body = await reader.readuntil(b"0\r\n\r\n")
        assert b"end" in body and len(body) < MAX_BUFFERED_BYTES
        assert len(server.heads) == 1
        writer.close()

    run(case())


# The failure to guard against: a failed further attempt ends the request, whose first answer goes on.
def test_a_paused_answer_is_waited_for_when_the_other_server_fails() -> None:
    async def fails(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, server: Server) -> None:
        await server.body(reader)
        raise ConnectionError

    async def case() -> None:
        pieces = paused_pieces("chunked", 3)
        sidecar, (paused, failing) = await start_sidecar(writes_with_pauses(pieces), fails)
        for number in range(6):
            assert await ask(sidecar, request(X_Call_Id=f"c{number}")) == (200, PIECE * 3)
        assert paused.heads and failing.heads

    run(case())


# The failure to guard against: a body that is still being received is written to two servers in turns.
def test_a_body_that_is_being_received_goes_to_one_server_only() -> None:
    async def case() -> None:
        async def answers_early(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter, server: Server
        ) -> None:
            writer.write(ANSWER[:-2])
            await server.body(reader)
            writer.write(ANSWER[-2:])

        sidecar, servers = await start_sidecar(answers_early, answers_early)
        reader, writer = await sidecar.connect()
        body = PIECE * 10
        writer.write(upload(len(body)) + body[: len(body) // 2])
        await wait_until(lambda: any(server.heads for server in servers))
        await asyncio.sleep(4 * STALL_S)
        writer.write(body[len(body) // 2 :])
        assert await read_answer(reader) == (200, b"hello")
        assert [received for server in servers for received in server.bodies] == [body]
        writer.close()

    run(case())


# The failure to guard against: what is held for an answer that pauses outlives the answer of another server.
def test_nothing_is_kept_of_an_answer_that_never_ends() -> None:
    async def case() -> None:
        closed: list[bool] = []
        serve = begins_and_stops(NEVER_ENDING["chunks"], closed)
        sidecar, (faulty, _) = await start_sidecar(serve, read_and_answer)
        engine = sidecar.engine
        engine.settings = engine.balancer.settings = replace(engine.settings, cancel=False)
        await ask_until_first_server_is_met(sidecar, faulty)
        await wait_until(lambda: closed == [True] and not engine.calls)
        assert sidecar.transport.pool.memory.used_bytes == 0
        assert engine.oldest_age_s() < S

    run(case())


# The failure: the connection of an error in chunks that pauses was checked without a rest.
def test_an_error_that_pauses_costs_no_processing_time(monkeypatch: pytest.MonkeyPatch) -> None:
    checks = 0
    check_progress = server_connection.Connection._check_progress

    def counted(connection: server_connection.Connection) -> None:
        nonlocal checks
        checks += 1
        check_progress(connection)

    monkeypatch.setattr(server_connection.Connection, "_check_progress", counted)

    async def case() -> None:
        error = CHUNKED.replace(b"200 OK", b"500 Error") + b"5\r\nhello\r\n"
        serve = begins_and_stops(error, [])
        sidecar, _ = await start_sidecar(serve)
        set_idempotency(sidecar, Idempotency.FRAGILE)
        assert (await ask(sidecar, request(X_Budget_Ms="500")))[0] == 504
        assert checks <= 0.5 / STALL_S + 2

    run(case())


# The failure: such an answer was held back for 1.5 s though its request had 1 s, and so failed at that time.
@pytest.mark.parametrize("body_framing", ["chunked", "length"])
@pytest.mark.parametrize("framing", ["chunked", "until close"])
def test_an_answer_behind_a_long_request_is_passed_on_within_half_of_its_time(
    body_framing: str, framing: str
) -> None:
    async def case() -> None:
        pieces = paused_pieces(framing, PIECES)
        sidecar, _ = await start_sidecar(writes_with_pauses(pieces, pause_s=0.4))
        loop, (reader, writer) = asyncio.get_running_loop(), await sidecar.connect()
        body = bytes(100_000)
        chunks = body_framing == "chunked"
        head = upload(None if chunks else len(body), X_Budget_Ms="1000", Idempotency_Key="")
        writer.write(head + (chunked(body, 4096) if chunks else body))
        written_at = loop.time()
        answer_head = await read_head(reader)
        assert loop.time() - written_at < 0.75
        parts = [part async for part in body_parts(reader, answer_head)]
        assert (answer_head[""].split()[1], b"".join(parts)) == ("200", PIECE * PIECES)
        writer.close()

    run(case())
