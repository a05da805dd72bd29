"""Streamed bodies and answers on loopback: content, memory bounds, backpressure, and how they end."""

from __future__ import annotations

import asyncio
import hashlib
import random
import socket
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest

from garnethaven.engine.account import CallResult
from garnethaven.net import request_deadlines
from garnethaven.net.flow import RECEIVE_BUFFER_BYTES, REPLAY_BUFFER_BYTES
from tests.loopback import ANSWER, Sidecar, answers_with, request, run, running_sidecar, wait_until

MB = 1024 * 1024
Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]
Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter, "Server"], Awaitable[None]]
BODY = random.Random(5).randbytes(3 * MB + 17)


async def read_head(reader: asyncio.StreamReader) -> dict[str, str]:
    """Read a head: its fields by lower-case name, and its first line under ''."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    return {"": lines[0]} | {name.lower(): value.strip() for name, _, value in pairs}


async def body_parts(reader: asyncio.StreamReader, head: dict[str, str]) -> AsyncIterator[bytes]:
    """Yield the parts of a body of any framing."""
    if head.get("transfer-encoding") == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            yield await reader.readexactly(size)
            assert await reader.readexactly(2) == b"\r\n"
        while await reader.readuntil(b"\r\n") != b"\r\n":
            pass
    elif "content-length" in head:
        remaining = int(head["content-length"])
        while remaining:
            part = await reader.readexactly(min(remaining, 65536))
            remaining -= len(part)
            yield part
    else:
        yield await reader.read()


class Server:
    """An endpoint that reads requests of any framing; `serve` answers each after its head was read."""

    def __init__(self, serve: Serve) -> None:
        self.serve = serve
        self.heads: list[dict[str, str]] = []
        self.bodies: list[bytes] = []

    async def start(self) -> Server:
        self.server = await asyncio.start_server(self._connection, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                self.head = await read_head(reader)
                self.heads.append(self.head)
                await self.serve(reader, writer, self)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def body(self, reader: asyncio.StreamReader) -> None:
        self.bodies.append(b"".join([part async for part in body_parts(reader, self.head)]))


async def read_and_answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, server: Server) -> None:
    await server.body(reader)
    writer.write(ANSWER)


def sends_answer(answer: bytes, cut: int = 0) -> Serve:
    """An endpoint that answers with these bytes, or only the first `cut` of them and then closes."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, server: Server) -> None:
        await server.body(reader)
        writer.write(answer[: cut or None])
        await writer.drain()
        if cut:
            raise ConnectionError

    return serve


async def start_sidecar(*serves: Serve) -> tuple[Sidecar, list[Server]]:
    servers = [await Server(serve).start() for serve in serves]
    members = [
        {"id": f"s{n}", "host_port": f"127.0.0.1:{server.port}", "phase": "SERVING", "cell": 0}
        for n, server in enumerate(servers)
    ]
    return Sidecar(members), servers


def upload(length: int | None, **headers: str) -> bytes:
    framing = {"Content_Length": ""} | ({"Transfer_Encoding": "chunked"} if length is None else {})
    if length is not None:
        framing["Content_Length"] = str(length)
    return request(**(framing | headers))[:-2]


def chunked(body: bytes, size: int) -> bytes:
    chunks = [body[start : start + size] for start in range(0, len(body), size)]
    return (
        b"".join(b'%X;note="a b"\r\n%s\r\n' % (len(part), part) for part in chunks)
        + b"0\r\nX-Trailer: 1\r\n\r\n"
    )


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    head = await read_head(reader)
    body = b"".join([part async for part in body_parts(reader, head)])
    return int(head[""].split()[1]), body


@pytest.mark.parametrize("chunk", [0, 1000, 70_000])
def test_a_long_body_reaches_one_endpoint_as_it_was_sent(chunk: int) -> None:
    async def case() -> None:
        sidecar, (server,) = await start_sidecar(read_and_answer)
        reader, writer = await sidecar.connect()
        writer.write(
            upload(None, Expect="100-continue") + chunked(BODY, chunk) if chunk else upload(len(BODY)) + BODY
        )
        if chunk:
            assert b" 100 " in await reader.readuntil(b"\r\n\r\n")
        assert await read_answer(reader) == (200, b"hello")
        assert hashlib.sha256(server.bodies[0]).digest() == hashlib.sha256(BODY).digest()
        writer.write(request(X_Call_Id="behind"))  # the connection stays open
        assert await read_answer(reader) == (200, b"hello")
        account = sidecar.engine.account
        assert (account.attempts, account.ended[CallResult.SERVED], account.in_flight) == (2, [2], 0)

    run(case())


@pytest.mark.parametrize("framing", ["length", "chunked", "close"])
def test_a_long_answer_reaches_the_client_as_it_was_made(framing: str) -> None:
    answers = {
        "length": b"HTTP/1.1 200 OK\r\ncontent-LENGTH:  %d \r\n\r\n%s" % (len(BODY), BODY),
        "chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked \r\n\r\n" + chunked(BODY, 7000),
        "close": b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + BODY,
    }

    async def case() -> None:
        cut = len(answers[framing]) if framing == "close" else 0
        sidecar, _ = await start_sidecar(
            sends_answer(b"HTTP/1.1 102 Wait\r\n\r\n" + answers[framing], cut and cut + 21)
        )
        reader, writer = await sidecar.connect()
        writer.write(request())
        assert await read_answer(reader) == (200, BODY)
        writer.write(request(X_Call_Id="c2").replace(b"HTTP/1.1", b"HTTP/1.0", 1))
        head = await read_head(reader)
        assert ("transfer-encoding" in head) is False
        assert b"".join([part async for part in body_parts(reader, head)]) == BODY

    run(case())


@pytest.mark.parametrize("cut", [1024, REPLAY_BUFFER_BYTES, 2 * MB])
def test_an_answer_that_breaks_off_is_repeated_while_it_is_held_and_told_after(cut: int) -> None:
    answer = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(BODY, 512)

    async def case() -> None:
        sidecar, servers = await start_sidecar(sends_answer(answer, cut), sends_answer(answer, cut))
        reader, writer = await sidecar.connect()
        writer.write(request())
        if cut > REPLAY_BUFFER_BYTES:
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await read_answer(reader)  # the answer has no end
            assert sum(len(server.heads) for server in servers) == 1
        else:
            assert (await read_answer(reader))[0] == 502  # both servers cut it off
            assert sum(len(server.heads) for server in servers) > 1
        assert sidecar.engine.account.ended[CallResult.FAILED] == [1]
        await wait_until(lambda: not sidecar.engine.calls)

    run(case())


def test_a_body_goes_elsewhere_while_its_beginning_is_kept() -> None:
    async def rejects(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, server: Server) -> None:
        await reader.readexactly(1000)
        writer.write(b"HTTP/1.1 503 Busy\r\nX-Rejected: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
        await writer.drain()
        raise ConnectionError

    async def case() -> None:
        sidecar, servers = await start_sidecar(rejects, read_and_answer)
        for number in range(4):
            reader, writer = await sidecar.connect()
            writer.write(upload(2 * REPLAY_BUFFER_BYTES, X_Call_Id=f"c{number}") + BODY[:1500])
            await asyncio.sleep(0.05)
            writer.write(BODY[1500 : 2 * REPLAY_BUFFER_BYTES])
            status, _ = await read_answer(reader)
            assert status in (200, 503)  # beyond the replay buffer a body can't be sent again
            writer.close()
        assert all(body == BODY[: 2 * REPLAY_BUFFER_BYTES] for body in servers[1].bodies)
        closed = socket.create_server(("127.0.0.1", 0))
        unreachable = {
            "id": "s0",
            "host_port": f"127.0.0.1:{closed.getsockname()[1]}",
            "phase": "SERVING",
            "cell": 0,
        }
        closed.close()
        sidecar.set_members(
            [
                unreachable,
                {"id": "s1", "host_port": f"127.0.0.1:{servers[1].port}", "phase": "SERVING", "cell": 0},
            ]
        )
        for number in range(6):  # a refused dial loses no request
            reader, writer = await sidecar.connect()
            writer.write(upload(len(BODY), X_Call_Id=f"d{number}") + BODY)
            assert (await read_answer(reader))[0] == 200
            writer.close()

    run(case())


def test_a_body_that_can_not_be_sent_again_is_refused_at_once() -> None:
    async def disconnects(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, server: Server) -> None:
        await reader.readexactly(MB)
        raise ConnectionError

    async def case() -> None:
        sidecar, servers = await start_sidecar(disconnects, disconnects)
        reader, writer = await sidecar.connect()
        writer.write(upload(len(BODY)) + BODY)
        assert (await read_answer(reader))[0] == 503  # its last byte was never written, so it has not run
        assert sum(len(server.heads) for server in servers) == 1
        assert sidecar.engine.account.ended[CallResult.REFUSED] == [1]

    run(case())


def test_what_an_endpoint_does_not_read_is_not_read_from_the_client() -> None:
    may_read = asyncio.Event()

    async def reads_when_allowed(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter, server: Server
    ) -> None:
        await may_read.wait()
        await read_and_answer(reader, writer, server)

    async def case() -> None:
        sidecar, _ = await start_sidecar(reads_when_allowed)
        streams = [await sidecar.connect() for _ in range(4)]
        for number, (_, writer) in enumerate(streams):
            writer.write(upload(8 * MB, X_Call_Id=f"c{number}") + bytes(8 * MB))
        await wait_until(lambda: len(sidecar.listener.connections) == 4)
        calls = sidecar.engine.calls
        await wait_until(lambda: len(calls) == 4 and all(c.request.body.paused for c in calls.values()))
        for call in calls.values():
            (attempt,) = call.attempts
            unsent = attempt.connection.transport.get_write_buffer_size()  # type: ignore[union-attr]
            assert (
                unsent + len(call.request.body.replay_buffer)
                <= REPLAY_BUFFER_BYTES + 4 * RECEIVE_BUFFER_BYTES
            )
        may_read.set()
        for reader, _ in streams:
            assert (await read_answer(reader))[0] == 200

    run(case())


def test_what_a_client_does_not_read_is_not_read_from_the_endpoint() -> None:
    async def case() -> None:
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (16 * MB) + bytes(16 * MB)
        sidecar, _ = await start_sidecar(sends_answer(answer))
        reader, writer = await asyncio.open_connection("127.0.0.1", sidecar.port, limit=1024)
        writer.write(request())
        await wait_until(
            lambda: any(
                candidate.streamed_answer and candidate.streamed_answer.connection.paused
                for candidate in sidecar.listener.connections
            )
        )
        (connection,) = sidecar.listener.connections
        unread = connection.transport.get_write_buffer_size()
        assert 0 < unread <= sidecar.transport.pool.memory.used_bytes <= 4 * RECEIVE_BUFFER_BYTES
        assert len((await read_answer(reader))[1]) == 16 * MB

    run(case())


def test_a_body_has_its_time_and_the_request_has_its_own_after_it() -> None:
    async def case() -> None:
        sidecar, _ = await start_sidecar(read_and_answer)
        reader, writer = await sidecar.connect()
        writer.write(upload(3 * REPLAY_BUFFER_BYTES, X_Budget_Ms="200"))
        for start in range(0, 3 * REPLAY_BUFFER_BYTES, REPLAY_BUFFER_BYTES // 2):
            await asyncio.sleep(0.1)
            writer.write(BODY[start : start + REPLAY_BUFFER_BYTES // 2])
        assert (await read_answer(reader))[0] == 200

    run(case())


@pytest.mark.parametrize("size", [0, REPLAY_BUFFER_BYTES + 1])
def test_a_body_that_trickles_is_ended_and_its_endpoint_let_go(
    size: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(request_deadlines, "BODY_GRACE_S", 0.4)
    monkeypatch.setattr(request_deadlines, "BODY_RATE", 10 * MB)

    async def case() -> None:
        sidecar, (server,) = await start_sidecar(read_and_answer)
        reader, writer = await sidecar.connect()
        writer.write(upload(MB if size else 1000) + bytes(size))

        async def trickle() -> None:
            while not writer.is_closing():
                writer.write(b"x")
                await asyncio.sleep(0.02)

        task = asyncio.create_task(trickle())
        assert (await read_answer(reader))[0] == 408
        task.cancel()
        assert sidecar.engine.account.ended[CallResult.FAILED] == [1] and not sidecar.engine.calls
        assert server.bodies == [] and sidecar.transport.pool.connection_count() == 0

    run(case())


@pytest.mark.parametrize(
    "chunk", [b"-5\r\nhello", b"+5\r\nhello", b"fffffffffffffffffff\r\n", b"5\r\nhello!!", b"zz\r\n"]
)
@pytest.mark.parametrize("size", [0, REPLAY_BUFFER_BYTES + 1])
def test_a_chunk_that_can_not_be_read_ends_the_request(chunk: bytes, size: int) -> None:
    async def case() -> None:
        sidecar, (server,) = await start_sidecar(read_and_answer)
        reader, writer = await sidecar.connect()
        first_chunk = b"%x\r\n%s\r\n" % (size, bytes(size)) if size else b""
        writer.write(upload(None) + first_chunk + chunk)
        assert (await read_answer(reader))[0] == 400
        assert server.bodies == [] and not sidecar.engine.open_ids

    run(case())


def test_a_client_that_leaves_its_body_unsent_or_its_answer_unread_holds_nothing() -> None:
    async def case() -> None:
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (16 * MB) + bytes(16 * MB)
        sidecar, (server,) = await start_sidecar(sends_answer(answer))
        _, writer = await sidecar.connect()
        writer.write(upload(8 * MB) + bytes(2 * MB))
        await wait_until(lambda: bool(server.heads))
        writer.transport.abort()
        reader, writer = await sidecar.connect()
        writer.write(request(X_Call_Id="c2"))
        await reader.readexactly(100_000)
        writer.transport.abort()
        await wait_until(lambda: not sidecar.engine.calls and not sidecar.transport.pool.connection_count())
        assert sidecar.engine.account.ended[CallResult.GONE] == [2]

    run(case())


def test_white_space_behind_a_value_is_no_part_of_it() -> None:
    async def case() -> None:
        async with running_sidecar(answers_with(ANSWER)) as (sidecar, (peer,)):
            text = (
                request().replace(b"X-Budget-Ms: 3000", b"x-BUDGET-ms:3000 \t").replace(b"check", b"check ")
            )
            assert (await sidecar.ask(text))[0] == 200
            assert b"Idempotency-Key: k1\r\n" in peer.requests[0]

    run(case())


def test_with_the_budget_for_bodies_used_up_a_long_one_is_refused_at_once() -> None:
    async def case() -> None:
        sidecar, (server,) = await start_sidecar(read_and_answer)
        memory = sidecar.transport.pool.memory
        memory.reserve(memory.max_bytes + 1)
        reader, writer = await sidecar.connect()
        writer.write(upload(len(BODY)) + BODY[: 2 * REPLAY_BUFFER_BYTES])
        assert (await read_answer(reader))[0] == 503 and server.heads == []
        assert (await sidecar.ask(request(X_Call_Id="short")))[0] == 200
        memory.release(memory.max_bytes + 1)
        reader, writer = await sidecar.connect()
        writer.write(upload(len(BODY), X_Call_Id="c2") + BODY[: 2 * REPLAY_BUFFER_BYTES])
        await wait_until(lambda: len(server.heads) == 2)
        assert memory.used_bytes > 0
        writer.write(BODY[2 * REPLAY_BUFFER_BYTES :])
        assert (await read_answer(reader))[0] == 200 and memory.used_bytes == 0

    run(case())


def test_what_is_sent_behind_a_long_body_has_its_turn() -> None:
    async def case() -> None:
        sidecar, (server,) = await start_sidecar(read_and_answer)
        reader, writer = await sidecar.connect()
        for number in range(3):  # long, short, long, short, ..., all at once
            writer.write(upload(len(BODY), X_Call_Id=f"l{number}") + BODY)
            writer.write(request(X_Call_Id=f"s{number}"))
        for _ in range(6):
            assert await read_answer(reader) == (200, b"hello")
        assert server.bodies == [BODY, b"hi"] * 3

    run(case())


@pytest.mark.parametrize("target", [b"http://backend.local/api?user=u1", b"HTTP://h:80/api?user=u1"])
def test_an_absolute_target_goes_on_as_path_and_query(target: bytes) -> None:
    async def case() -> None:
        async with running_sidecar(answers_with(ANSWER)) as (sidecar, (peer,)):
            assert (await sidecar.ask(request().replace(b"/api?user=u1", target, 1)))[0] == 200
            assert peer.requests[0].startswith(b"POST /api?user=u1 HTTP/1.1\r\n")

    run(case())
