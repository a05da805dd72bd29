"""What ended calls leave of an HTTP/2 connection's window: all of it, on both sides."""

from __future__ import annotations

import asyncio
import contextlib

import grpc
import grpc.aio
import pytest

from garnethaven.grpcs import front as front_module
from garnethaven.grpcs import transport as transport_module
from garnethaven.grpcs.transport import STREAM_WINDOW
from garnethaven.interface import Endpoint, ListKind
from tests.grpcs.raw import DATA, END_STREAM, RawClient, fields, frame
from tests.grpcs.test_on_sockets import ECHO, STREAM, Harness, answer_in_brackets, grpc_harness
from tests.loopback import run, wait_until

WINDOW = 64 * 1024  # bytes, beyond the 64 KiB that every connection has
CALLS = 12  # more than enough to use up the window, if each call keeps what it held
LONG = bytes(range(256)) * 4000


@pytest.fixture(autouse=True)
def small_windows(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(front_module, "CONNECTION_WINDOW", WINDOW)
    monkeypatch.setattr(transport_module, "CONNECTION_WINDOW", WINDOW)


async def send_long_request(harness: Harness, timeout_s: float) -> grpc.StatusCode:
    """Write 160 kB, as far as the windows allow, and wait for the end of the call."""
    call = harness.channel.stream_stream(ECHO)(timeout=timeout_s)
    with contextlib.suppress(grpc.aio.AioRpcError, asyncio.InvalidStateError):
        for _ in range(10):
            await call.write(bytes(16_000))
    return await call.code()


def grpc_message(payload: bytes) -> bytes:
    return b"\0" + len(payload).to_bytes(4, "big") + payload


def has_unacknowledged_answer(harness: Harness) -> bool:
    """Whether a streamed answer waits for its client, and its server for the sidecar."""
    streams = [stream for connection in harness.front.connections for stream in connection.streams.values()]
    return any(sum(size for _, size in stream.unacknowledged) > STREAM_WINDOW // 2 for stream in streams)


# The failure: bytes of a long request that no server had taken were never returned to the client's window.
def test_long_calls_that_no_server_takes_leave_the_clients_window_open() -> None:
    async def case() -> None:
        async with grpc_harness(answer_in_brackets) as harness:

            async def never_speaks(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                await reader.read()
                writer.close()

            silent = await asyncio.start_server(never_speaks, "127.0.0.1", 0)
            address = ("127.0.0.1", silent.sockets[0].getsockname()[1])
            harness.sidecar.transport.apply_list(ListKind.FULL, [(Endpoint(9), address)])
            for _ in range(CALLS):
                assert await send_long_request(harness, 0.4) != grpc.StatusCode.OK
            await wait_until(harness.is_idle)
            harness.list_servers()
            answer, code, _ = await harness.unary(LONG)
            assert (answer, code) == (b"<" + LONG + b">", grpc.StatusCode.OK)
            silent.close()

    run(case())


# The failure: bytes of a streamed answer that its client had not taken were never returned to the server.
def test_streamed_answers_that_are_not_taken_leave_the_servers_window_open() -> None:
    async def case() -> None:
        async with grpc_harness(answer_in_brackets) as harness:
            for _ in range(CALLS):
                client = await RawClient().connect(harness.front.port)
                client.write(client.headers(1, fields(STREAM)))
                client.write(frame(DATA, END_STREAM, 1, grpc_message(b"20000")))  # about nine megabytes
                await wait_until(lambda: has_unacknowledged_answer(harness))
                client.close()  # it has not opened its own window
                await wait_until(harness.is_idle)
            answer, code, _ = await harness.unary(LONG)
            assert (answer, code) == (b"<" + LONG + b">", grpc.StatusCode.OK)

    run(case())
