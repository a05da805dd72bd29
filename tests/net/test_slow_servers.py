"""Long requests that a server reads slowly: their time counts from when the client wrote the last byte."""

from __future__ import annotations

import asyncio
import socket

import pytest

from garnethaven.net.upstream import Target
from tests.loopback import ANSWER, Sidecar, request, run
from tests.test_flow import Serve, Server, read_answer, upload

BUFFER_BYTES = 64 * 1024  # between the sidecar and the server, so that the server stops the sidecar soon
BODY = bytes(range(250)) * 4800
BUDGET_S = 1.0
SLACK_S = 0.25


@pytest.fixture(autouse=True)
def small_buffers(monkeypatch: pytest.MonkeyPatch) -> None:
    def prepare(target: Target, sock: socket.socket) -> None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)

    monkeypatch.setattr(Target, "prepare", prepare)


def reads_after(pause_s: float) -> Serve:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, server: Server) -> None:
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        await asyncio.sleep(pause_s)
        writer.transport.resume_reading()  # type: ignore[attr-defined]
        await server.body(reader)
        writer.write(ANSWER)

    return serve


async def start(pause_s: float) -> tuple[Sidecar, Server]:
    server = Server(reads_after(pause_s))
    listening = socket.create_server(("127.0.0.1", 0))
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    server.server = await asyncio.start_server(server._connection, sock=listening)
    port = listening.getsockname()[1]
    return Sidecar([{"id": "s0", "host_port": f"127.0.0.1:{port}", "phase": "SERVING", "cell": 0}]), server


def long_request() -> bytes:
    return upload(len(BODY), X_Budget_Ms=str(int(BUDGET_S * 1000)), Idempotency_Key="")


# The failure: the time began only when the last byte was read, seconds after the client had written it.
def test_a_request_that_its_server_reads_too_slowly_is_answered_in_its_time() -> None:
    async def case() -> None:
        sidecar, _ = await start(3.0 * BUDGET_S)
        loop, sock = asyncio.get_running_loop(), await sidecar.plain()
        await loop.sock_sendall(sock, long_request() + BODY)
        written_at = loop.time()
        received = await loop.sock_recv(sock, 65536)
        assert loop.time() - written_at < BUDGET_S + SLACK_S
        assert int(received.split()[1]) in (502, 503, 504)
        sock.close()
        assert not sidecar.engine.calls

    run(case())


# The failure to guard against: a client that pauses while it writes counts as one that has written all.
def test_a_client_that_pauses_while_it_writes_is_served_by_a_server_that_pauses() -> None:
    async def case() -> None:
        sidecar, server = await start(0.8 * BUDGET_S)
        reader, writer = await sidecar.connect()
        writer.write(long_request() + BODY[: len(BODY) // 2])
        await asyncio.sleep(1.5 * BUDGET_S)
        writer.write(BODY[len(BODY) // 2 :])
        assert await read_answer(reader) == (200, b"hello")
        assert server.bodies == [BODY]
        writer.write(request(X_Call_Id="behind"))
        assert (await read_answer(reader))[0] == 200
        writer.close()

    run(case())


# The failure to guard against: a server that pauses for less than the request's time loses it.
def test_a_request_that_its_server_reads_slowly_is_served() -> None:
    async def case() -> None:
        sidecar, server = await start(0.6 * BUDGET_S)
        reader, writer = await sidecar.connect()
        writer.write(long_request() + BODY)
        assert await read_answer(reader) == (200, b"hello")
        assert server.bodies == [BODY]
        writer.close()

    run(case())
