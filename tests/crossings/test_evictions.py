"""Connections that are closed to make room, while their requests stand unread in the kernel."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from garnethaven.limits.connection_limit import FIRST_REQUEST_GRACE_S
from garnethaven.net import request_deadlines
from tests.loopback import ANSWER, answers_with, request, run, running_sidecar, wait_until

LIMIT = 8
OPEN = LIMIT - 1  # one place is kept free for the next client
PARTS = {"whole": 0, "rest": 60}  # bytes of the request that were read before


# The failure: after a moment without processing time new clients were accepted first, and connections whose
# requests had not been read yet were closed as silent ones to make room.
@pytest.mark.parametrize("read_before", PARTS.values(), ids=PARTS)
def test_a_connection_whose_request_is_unread_is_not_closed_to_make_room(read_before: int) -> None:
    async def case() -> None:
        async with running_sidecar(answers_with(ANSWER), connections=LIMIT) as (sidecar, _):
            loop = asyncio.get_running_loop()
            socks = [await sidecar.plain() for _ in range(OPEN)]
            texts = [request(X_Call_Id=f"c{number}") for number in range(OPEN)]
            for sock, text in zip(socks, texts, strict=True):
                await loop.sock_sendall(sock, text[:read_before])
            await wait_until(lambda: len(sidecar.listener.connections) == OPEN)
            await asyncio.sleep(0.05)
            for sock, text in zip(socks, texts, strict=True):
                sock.sendall(text[read_before:])
            newcomer = socket.create_connection(("127.0.0.1", sidecar.port))
            time.sleep(1.5 * FIRST_REQUEST_GRACE_S)  # the event loop reads nothing meanwhile
            sidecar.listener._accept()
            for sock in socks:
                received = await loop.sock_recv(sock, 65536)
                assert received.split()[1] in (b"200", b"503")
                sock.close()
            newcomer.close()

    run(case())


# The failure to guard against: silent connections are kept, and new clients find no place.
def test_silent_connections_are_still_closed_to_make_room() -> None:
    async def case() -> None:
        async with running_sidecar(answers_with(ANSWER), connections=LIMIT) as (sidecar, _):
            socks = [await sidecar.plain() for _ in range(OPEN)]
            await wait_until(lambda: len(sidecar.listener.connections) == OPEN)
            await asyncio.sleep(1.5 * FIRST_REQUEST_GRACE_S)
            assert (await sidecar.ask(request()))[0] == 200
            for sock in socks:
                sock.close()

    run(case())


# The failure: after a long moment without processing time, times were checked before the requests were read.
def test_a_connection_whose_request_is_unread_is_not_closed_as_overdue(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(request_deadlines, "HEAD_S", 0.1)

    async def case() -> None:
        async with running_sidecar(answers_with(ANSWER)) as (sidecar, _):
            sock = await sidecar.plain()
            await wait_until(lambda: len(sidecar.listener.connections) == 1)
            (connection,) = sidecar.listener.connections
            sock.sendall(request())
            time.sleep(0.15)
            connection.check_timeouts(sidecar.listener.loop.time())
            received = await asyncio.get_running_loop().sock_recv(sock, 65536)
            assert received.split()[1] == b"200"
            sock.close()

    run(case())


# The failure to guard against: a client that sends blank lines without end has something unread at all times.
def test_a_client_that_sends_blank_lines_only_is_closed_as_overdue(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(request_deadlines, "HEAD_S", 0.1)

    async def case() -> None:
        async with running_sidecar(answers_with(ANSWER)) as (sidecar, _):
            sock = await sidecar.plain()
            sock.sendall(b"\r\n" * 10)
            await wait_until(lambda: len(sidecar.listener.connections) == 1)
            (connection,) = sidecar.listener.connections
            await wait_until(lambda: connection.reader.head_size > 0)
            sock.sendall(b"\r\n" * 10)
            time.sleep(0.15)
            connection.check_timeouts(sidecar.listener.loop.time())
            assert connection.closing
            sock.close()

    run(case())
