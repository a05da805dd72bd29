"""The end of the stream leaves with the decision to close, not a turn of the event loop later."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

import pytest
import uvloop

from garnethaven.net.client import ClientConnection
from garnethaven.net.presence import has_received_end
from tests.loopback import ANSWER, WAIT_S, answers_with, read_message, request, running_sidecar, wait_until

SMALL_BUFFER_BYTES = 4096


@pytest.mark.parametrize("requests", [0, 1])
@pytest.mark.parametrize("close", [ClientConnection.evict, ClientConnection.stop_reading])
def test_no_request_is_written_between_the_decision_to_close_and_the_end_of_the_stream(
    close: Callable[[ClientConnection], object], requests: int
) -> None:
    """A request that arrived in that turn was reset or discarded, and had no answer."""

    async def case() -> None:
        async with running_sidecar(answers_with(ANSWER)) as (sidecar, _):
            reader, writer = await sidecar.connect()
            await wait_until(lambda: len(sidecar.listener.connections) == 1)
            for _ in range(requests):
                writer.write(request())
                await read_message(reader)
            (connection,) = sidecar.listener.connections
            assert isinstance(connection, ClientConnection)
            close(connection)
            client: socket.socket = writer.get_extra_info("socket")
            assert has_received_end(client)  # before the event loop runs again
            assert await reader.read() == b""
            writer.close()
            await wait_until(lambda: not sidecar.listener.connections)

    uvloop.run(asyncio.wait_for(case(), WAIT_S))


def test_a_close_behind_an_answer_that_is_still_written_cuts_nothing_off() -> None:
    """The end of the stream waits there for the bytes before it."""
    body_bytes = 60_000  # short enough to be written at once
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % body_bytes + b"x" * body_bytes

    async def case() -> None:
        async with running_sidecar(answers_with(answer)) as (sidecar, _):
            loop = asyncio.get_running_loop()
            client = socket.socket()
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
            client.setblocking(False)
            await loop.sock_connect(client, ("127.0.0.1", sidecar.port))
            await wait_until(lambda: len(sidecar.listener.connections) == 1)
            (connection,) = sidecar.listener.connections
            assert isinstance(connection, ClientConnection)
            connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
            await loop.sock_sendall(client, request(Connection="close"))
            await wait_until(lambda: connection.closing)
            assert connection.transport.get_write_buffer_size() > 0
            received = b""
            while part := await loop.sock_recv(client, 65536):
                received += part
            assert received.endswith(b"\r\n\r\n" + b"x" * body_bytes)
            client.close()

    uvloop.run(asyncio.wait_for(case(), WAIT_S))
