"""After a client has disconnected, no attempt is sent for it, whatever state its request is in."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from garnethaven.net.presence import reset_at_close
from tests.loopback import (
    ANSWER,
    Peer,
    Script,
    answers_with,
    read_message,
    request,
    run,
    running_sidecar,
    wait_until,
)


def resets_after(may_reset: asyncio.Event) -> Script:
    """An endpoint that resets its connection after `may_reset` is set."""

    async def script(head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await may_reset.wait()
        raise ConnectionError

    return script


def request_count(peers: list[Peer]) -> int:
    return sum(len(peer.requests) for peer in peers)


@pytest.mark.parametrize("stays", [False, True])
def test_a_request_that_waited_while_the_process_stood_still(stays: bool) -> None:
    """While the process is blocked, its client disconnects, or half-closes and still waits for its answer."""

    async def case() -> None:
        async with running_sidecar(answers_with(ANSWER)) as (sidecar, (peer,)):
            sock = socket.socket()
            sock.connect(("127.0.0.1", sidecar.port))
            await wait_until(lambda: len(sidecar.listener.connections) == 1)
            sock.sendall(request())
            if stays:
                sock.shutdown(socket.SHUT_WR)
            else:
                sock.close()
            time.sleep(0.25)  # blocks the event loop
            if stays:
                sock.setblocking(False)
                received = await asyncio.get_running_loop().sock_recv(sock, 1000)
                while not received.endswith(b"hello"):
                    received += await asyncio.get_running_loop().sock_recv(sock, 1000)
                assert received.startswith(b"HTTP/1.1 200 OK\r\n") and len(peer.requests) == 1
                sock.close()
            else:
                await wait_until(lambda: not sidecar.listener.connections)
                assert not peer.requests

    run(case())


@pytest.mark.parametrize("reset", [False, True])
def test_a_client_that_leaves_behind_a_paused_read_has_no_further_attempt(reset: bool) -> None:
    async def case() -> None:
        may_reset = asyncio.Event()
        async with running_sidecar(resets_after(may_reset), resets_after(may_reset)) as (sidecar, peers):
            loop, sock = asyncio.get_running_loop(), await sidecar.plain()
            await loop.sock_sendall(sock, request())
            await wait_until(lambda: request_count(peers) == 1)
            (connection,) = sidecar.listener.connections
            while len(connection.unread) <= 64 * 1024:  # beyond this, reading is paused
                await loop.sock_sendall(sock, b"x" * 16_384)
                await asyncio.sleep(0)
            await loop.sock_sendall(sock, b"x" * 16_384)
            if reset:
                reset_at_close(sock)
            sock.close()
            await asyncio.sleep(0.02)
            may_reset.set()
            await wait_until(lambda: not sidecar.engine.open_ids)
            assert request_count(peers) == 1

    run(case())


def test_a_client_that_first_ends_its_writing_and_then_goes_has_no_further_attempt() -> None:
    async def case() -> None:
        may_reset = asyncio.Event()
        async with running_sidecar(resets_after(may_reset), resets_after(may_reset)) as (sidecar, peers):
            loop, sock = asyncio.get_running_loop(), await sidecar.plain()
            await loop.sock_sendall(sock, request())
            await wait_until(lambda: request_count(peers) == 1)
            (connection,) = sidecar.listener.connections
            sock.shutdown(socket.SHUT_WR)
            await wait_until(lambda: connection.half_closed)
            assert await loop.sock_recv(sock, 100) == b"HTTP/1.1 "
            await asyncio.sleep(0.05)  # the check that the client is present has succeeded
            reset_at_close(sock)
            sock.close()
            await asyncio.sleep(0.02)
            may_reset.set()
            await wait_until(lambda: not sidecar.engine.open_ids)
            assert request_count(peers) == 1

    run(case())


def test_a_client_that_only_ends_its_writing_gets_its_answer_after_a_retry() -> None:
    async def case() -> None:
        may_reset = asyncio.Event()
        async with running_sidecar(resets_after(may_reset), resets_after(may_reset)) as (sidecar, peers):
            reader, writer = await sidecar.connect()
            writer.write(request())
            writer.write_eof()
            await wait_until(lambda: request_count(peers) == 1)
            for peer in peers:
                if not peer.requests:
                    peer.script = answers_with(ANSWER)
            may_reset.set()
            assert (await read_message(reader))[1] == b"hello"
            writer.close()

    run(case())
