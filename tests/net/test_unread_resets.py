"""Resets that the kernel knows before the event loop has read them, as after a hold-up of the process."""

from __future__ import annotations

import asyncio
import select
import socket
import time
from collections.abc import Coroutine
from typing import Any

import pytest
import uvloop

from garnethaven.net import connection as server_connection
from garnethaven.net import flow
from garnethaven.net.presence import has_unread, reset_at_close
from tests.connections.planned import use_planned_pool
from tests.loopback import WAIT_S, Sidecar, request
from tests.test_flow import read_answer

STALL_S = 0.1
HOLD_UP_S = 0.15  # begins before a pause counts as a stall and ends after that
UNTIL_CLOSE = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"


def run_on_uvloop(case: Coroutine[Any, Any, None]) -> None:
    """Run on the program's event loop, which runs due timers before it reads."""
    uvloop.run(asyncio.wait_for(case, WAIT_S))


class ResettingServer:
    """Answers each request with half of a body, then resets the connection in a hold-up."""

    def __init__(self, half: bytes) -> None:
        self.half = half
        self.request_count = 0
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.sock.setblocking(False)
        self.tasks: list[asyncio.Task[None]] = []

    def member(self) -> dict[str, object]:
        port = self.sock.getsockname()[1]
        return {"id": "s0", "host_port": f"127.0.0.1:{port}", "phase": "SERVING", "cell": 0}

    async def serve(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self.sock)
            sock.setblocking(False)
            received = b""
            while not received.endswith(b"\r\n\r\nhi"):
                received += await loop.sock_recv(sock, 65536)
            self.request_count += 1
            await loop.sock_sendall(sock, UNTIL_CLOSE + self.half)
            await asyncio.sleep(STALL_S / 2)
            await self._reset_in_a_hold_up(sock)

    async def _reset_in_a_hold_up(self, sock: socket.socket) -> None:
        """Reset the connection and hold the loop up, among the callbacks of readable sockets."""
        loop = asyncio.get_running_loop()
        held_up = asyncio.Event()
        wake, woken = socket.socketpair()

        def hold_up() -> None:
            loop.remove_reader(woken)
            reset_at_close(sock)
            sock.close()
            time.sleep(HOLD_UP_S)
            held_up.set()

        loop.add_reader(woken, hold_up)
        wake.send(b"x")
        await held_up.wait()
        wake.close()
        woken.close()


async def ask_resetting_server(half: bytes) -> tuple[int, bytes]:
    server = ResettingServer(half)
    serving = asyncio.create_task(server.serve())
    sidecar = Sidecar([server.member()])
    reader, writer = await sidecar.connect()
    try:
        writer.write(request(Idempotency_Key=""))
        return await read_answer(reader)
    finally:
        assert server.request_count == 1
        serving.cancel()
        server.sock.close()
        writer.close()


@pytest.fixture(params=["usual", "planned"])
def pool(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> None:
    if request.param == "planned":
        use_planned_pool(monkeypatch)


@pytest.fixture(autouse=True)
def short_stalls(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server_connection, "STALL_S", STALL_S)
    monkeypatch.setattr(flow, "STREAM_STALL_S", STALL_S)


# The failure: the check for unread bytes cleared the reset, and half of an answer was served as a whole one.
@pytest.mark.usefixtures("pool")
def test_an_answer_that_is_reset_in_a_hold_up_is_not_served_as_a_whole_one() -> None:
    async def case() -> None:
        assert (await ask_resetting_server(b"x" * 2000))[0] == 502

    run_on_uvloop(case())


# The same failure for an answer that is passed on already: its end was marked as if it were whole.
@pytest.mark.usefixtures("pool")
def test_an_answer_that_is_passed_on_and_reset_in_a_hold_up_has_no_end() -> None:
    async def case() -> None:
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await ask_resetting_server(b"x" * 100_000)

    run_on_uvloop(case())


# The failure to guard against: a query of the socket's state takes a pending error away from the next read.
@pytest.mark.parametrize("unread", [b"", b"x"], ids=["nothing unread", "unread bytes"])
def test_a_reset_is_reported_as_unread_and_stays_to_be_read(unread: bytes) -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        sock = socket.create_connection(listener.getsockname())
        sock.setblocking(False)
        peer, _ = listener.accept()
    with sock:
        assert not has_unread(sock)
        peer.send(unread)
        reset_at_close(peer)
        peer.close()
        assert select.select([sock], [], [], WAIT_S)[0]
        assert has_unread(sock) and has_unread(sock)
        assert sock.recv(len(unread) or 1) == unread if unread else True
        with pytest.raises(ConnectionResetError):
            sock.recv(1)


# The failure to guard against: the end of the stream is not noticed, and a closed connection is reused.
def test_the_end_of_the_stream_is_reported_as_unread() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        sock = socket.create_connection(listener.getsockname())
        sock.setblocking(False)
        peer, _ = listener.accept()
    with sock:
        peer.close()
        assert select.select([sock], [], [], WAIT_S)[0]
        assert has_unread(sock)
        assert sock.recv(1) == b""
