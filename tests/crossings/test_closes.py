"""Race conditions at a connection's end: bytes that arrive during a close, and answers that break off."""

from __future__ import annotations

import asyncio
import socket

import pytest

from garnethaven.net import client
from garnethaven.net.presence import reset_at_close
from tests.loopback import ANSWER, answers_with, never_answers, request, run, running_sidecar, wait_until


async def read_to_end(sock: socket.socket) -> bytes:
    """All bytes until the end of the stream; a reset raises ConnectionResetError."""
    loop, received = asyncio.get_running_loop(), bytearray()
    while data := await loop.sock_recv(sock, 65536):
        received += data
    return bytes(received)


def test_a_request_that_crosses_the_end_of_an_idle_connection_is_read_and_not_sent_on() -> None:
    async def case() -> None:
        async with running_sidecar(answers_with(ANSWER)) as (sidecar, (peer,)):
            loop, sock = asyncio.get_running_loop(), await sidecar.plain()
            await wait_until(lambda: len(sidecar.listener.connections) == 1)
            (connection,) = sidecar.listener.connections
            connection.stop_reading()
            await loop.sock_sendall(sock, request())
            assert await read_to_end(sock) == b""
            await wait_until(lambda: connection.lingering_close.discarded_bytes == len(request()))
            assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0  # no reset
            sock.close()
            await wait_until(lambda: not sidecar.listener.connections)
            assert not peer.requests

    run(case())


def test_an_answer_is_not_lost_by_a_close_over_unread_bytes() -> None:
    async def case() -> None:
        may_answer = asyncio.Event()
        async with running_sidecar(answers_with(ANSWER, may_answer)) as (sidecar, (peer,)):
            loop, sock = asyncio.get_running_loop(), await sidecar.plain()
            await loop.sock_sendall(sock, request())
            await wait_until(lambda: len(peer.requests) == 1)
            # More than the read buffer holds.
            body_sender = asyncio.create_task(loop.sock_sendall(sock, b"x" * 500_000))
            (connection,) = sidecar.listener.connections
            await wait_until(lambda: len(connection.unread) > 64 * 1024)
            sidecar.listener.draining = True  # the answer ends the connection
            may_answer.set()
            await body_sender
            received = await read_to_end(sock)
            assert received.endswith(b"hello") and b"Connection: close" in received
            sidecar.listener.draining = False
            sock.close()

    run(case())


def test_what_lingers_ends_by_itself_where_the_client_does_not() -> None:
    async def case() -> None:
        async with running_sidecar(answers_with(ANSWER)) as (sidecar, _):
            sock = await sidecar.plain()
            await wait_until(lambda: len(sidecar.listener.connections) == 1)
            (connection,) = sidecar.listener.connections
            connection.stop_reading()
            await wait_until(lambda: not sidecar.listener.connections)
            sock.close()

    run(case())


def test_what_lingers_makes_room_at_once() -> None:
    async def case() -> None:
        async with running_sidecar(answers_with(ANSWER)) as (sidecar, _):
            idle = [await sidecar.plain() for _ in range(2)]
            await wait_until(lambda: len(sidecar.listener.connections) == 2)
            for connection in list(sidecar.listener.connections):
                connection.stop_reading()
            sidecar.listener.limit = lambda: 2
            assert (await sidecar.ask(request())) == (200, b"hello")
            for sock in idle:
                sock.close()

    run(case())


def test_an_answer_that_is_taken_slowly_is_not_cut_off_by_the_time_for_lingering() -> None:
    async def case() -> None:
        body = bytes(range(256)) * 250  # buffered, so that all of it is written at once
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        async with running_sidecar(answers_with(answer)) as (sidecar, _):
            sidecar.listener.draining = True  # the answer ends the connection
            loop, sock = asyncio.get_running_loop(), socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.setblocking(False)
            await loop.sock_connect(sock, ("127.0.0.1", sidecar.port))
            await wait_until(lambda: len(sidecar.listener.connections) == 1)
            (connection,) = sidecar.listener.connections
            connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            await loop.sock_sendall(sock, request())
            received = bytearray()
            while connection not in sidecar.listener.lingering:
                received += await loop.sock_recv(sock, 4096)
            assert connection.transport.get_write_buffer_size()
            await asyncio.sleep(client.LINGER_S * 1.5)
            received += await read_to_end(sock)
            assert received.endswith(body)
            sidecar.listener.draining = False
            sock.close()

    run(case())


def test_a_client_can_tell_an_answer_without_framing_that_breaks_off() -> None:
    """An HTTP/1.0 answer of unknown length ends with its connection; only a reset shows it as truncated."""

    async def case() -> None:
        async def break_off(head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + b"x" * 200_000)
            await writer.drain()
            await may_reset.wait()
            reset_at_close(writer.get_extra_info("socket"))
            writer.transport.abort()
            raise ConnectionError

        may_reset = asyncio.Event()
        async with running_sidecar(break_off) as (sidecar, _):
            loop, sock = asyncio.get_running_loop(), await sidecar.plain()
            await loop.sock_sendall(sock, request().replace(b"HTTP/1.1", b"HTTP/1.0"))
            assert (await loop.sock_recv(sock, 64)).startswith(b"HTTP/1.1 200")
            may_reset.set()
            with pytest.raises(ConnectionResetError):
                await read_to_end(sock)
            sock.close()

    run(case())


def test_an_answer_without_length_that_is_reset_serves_nobody() -> None:
    async def case() -> None:
        async def reset_mid_answer(
            head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhel")
            await writer.drain()
            reset_at_close(writer.get_extra_info("socket"))
            writer.transport.abort()
            raise ConnectionError

        async with running_sidecar(reset_mid_answer) as (sidecar, (peer,)):
            unkeyed_request = request(Idempotency_Key="")
            assert (await sidecar.ask(unkeyed_request))[0] == 502
            assert len(peer.requests) == 1

    run(case())


def test_half_a_line_on_a_resting_connection_spoils_it() -> None:
    async def case() -> None:
        async with running_sidecar(answers_with(ANSWER)) as (sidecar, (peer,)):
            sidecar.transport.pool.min_rest_s = 0.0
            assert (await sidecar.ask(request())) == (200, b"hello")
            (connection,) = sidecar.transport.pool.connections
            peer.script = never_answers
            writers = peer.writers
            writers[0].write(b"HTTP/1.1 2")
            await wait_until(lambda: connection.transport.is_closing() or connection._unread())
            peer.script = answers_with(ANSWER)
            assert (await sidecar.ask(request(X_Call_Id="c2"))) == (200, b"hello")
            assert peer.connections == 2

    run(case())
