"""Benchmark of gRPC calls through the sidecar, against a bare hop of the h2 library and a byte relay.

    python -m benchmarks.grpcs [--calls 2000] [--held 1000]

Each kind runs as a separate process between the same grpcio client and server; its CPU time is read from the
kernel. `h2` is a bare server and client of the library in one process that forward each stream; `relay`
copies bytes between two sockets. `--held` sets the number of idle streams for the memory measurement.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import signal
import sys
from collections.abc import AsyncIterator
from typing import Any, cast

import grpc
import grpc.aio
import uvloop
from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.events import DataReceived, RequestReceived, ResponseReceived, StreamEnded, TrailersReceived

from benchmarks.external_processor import cpu_s, memory_mb
from garnethaven.engine.classes import Classes
from garnethaven.engine.engine import Engine
from garnethaven.grpcs.front import Front
from garnethaven.grpcs.table import Grpc, GrpcRoute
from garnethaven.grpcs.transport import GrpcTransport
from garnethaven.interface import Endpoint, ListKind
from garnethaven.net.transport import HttpTransport
from garnethaven.settings import read_names, read_settings
from standins.platform import settings

KINDS = ("relay", "h2", "program")
ROUNDS = 3
WORKERS = 32
SLOW_READERS = 200
UNARY, STREAM, ECHO = "/b.B/Unary", "/b.B/Stream", "/b.B/Echo"
STREAM_MESSAGE = b"x" * 16_000


# The three kinds of processes between client and server


async def serve_program(port: int) -> int:
    loop = asyncio.get_running_loop()
    parsed = read_settings(settings())
    engine = Engine("bench", parsed, 1, loop)
    transport = HttpTransport(engine, parsed, loop, lambda: 100, 256)
    engine.start()
    transport.apply_list(ListKind.FULL, [(Endpoint(1), ("127.0.0.1", port))])
    grpc_transport = GrpcTransport(engine, loop, lambda endpoint: ("127.0.0.1", port))
    routes = (GrpcRoute("/b.B/", "check", streams=True, keyed=True), GrpcRoute(UNARY, "check", keyed=True))
    classes = Classes(engine.settings, read_names(settings()))
    front = await Front(Grpc(routes=routes), engine, grpc_transport, classes).start(("127.0.0.1", 0))
    return front.port


async def serve_relay(port: int) -> int:
    class RelayEnd(asyncio.Protocol):
        def __init__(self, other: RelayEnd | None = None) -> None:
            self.other = other
            self.early_data = b""

        def connection_made(self, transport: asyncio.BaseTransport) -> None:
            self.transport = cast(asyncio.Transport, transport)
            if self.other is None:
                asyncio.ensure_future(self.dial())  # noqa: RUF006
            elif self.other.early_data:
                self.transport.write(self.other.early_data)

        async def dial(self) -> None:
            _, self.other = await asyncio.get_running_loop().create_connection(
                lambda: RelayEnd(self), "127.0.0.1", port
            )

        def data_received(self, data: bytes) -> None:
            if self.other is None:
                self.early_data += data
            else:
                self.other.transport.write(data)

    server = await asyncio.get_running_loop().create_server(lambda: RelayEnd(), "127.0.0.1", 0)
    return int(server.sockets[0].getsockname()[1])


class BareHop(asyncio.Protocol):
    """One side of a bare h2 server and client; events of a stream are forwarded to the other side.

    `peer_stream_ids` maps stream ids of this side to those of the other side.
    """

    def __init__(self, port: int, to_server: bool, other: BareHop | None = None) -> None:
        self.port, self.other = port, other
        self.h2 = H2Connection(H2Configuration(client_side=to_server, header_encoding=None))
        self.peer_stream_ids: dict[int, int] = {}
        self.early_data: list[Any] = []
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.h2.initiate_connection()
        self.h2.increment_flow_control_window(1 << 30)
        self.flush()
        if self.other is None:
            asyncio.ensure_future(self.dial())  # noqa: RUF006

    async def dial(self) -> None:
        _, other = await asyncio.get_running_loop().create_connection(
            lambda: BareHop(self.port, True, self), "127.0.0.1", self.port
        )
        self.other = other
        for event in self.early_data:
            self.forward(event)

    def flush(self) -> None:
        if self.transport is not None:
            self.transport.write(self.h2.data_to_send())

    def data_received(self, data: bytes) -> None:
        for event in self.h2.receive_data(data):
            if self.other is None:
                self.early_data.append(event)
            else:
                self.forward(event)
        self.flush()

    def forward(self, event: Any) -> None:
        other = self.other
        assert other is not None
        if isinstance(event, RequestReceived):
            stream = other.h2.get_next_available_stream_id()
            self.peer_stream_ids[event.stream_id or 0], other.peer_stream_ids[stream] = (
                stream,
                event.stream_id or 0,
            )
            other.h2.send_headers(stream, event.headers)
        elif isinstance(event, ResponseReceived):
            other.h2.send_headers(self.peer_stream_ids[event.stream_id or 0], event.headers)
        elif isinstance(event, DataReceived):
            self.h2.acknowledge_received_data(event.flow_controlled_length or 0, event.stream_id or 0)
            other.h2.send_data(self.peer_stream_ids[event.stream_id or 0], event.data or b"")
        elif isinstance(event, TrailersReceived):
            other.h2.send_headers(
                self.peer_stream_ids.pop(event.stream_id or 0), event.headers, end_stream=True
            )
        elif isinstance(event, StreamEnded) and event.stream_id in self.peer_stream_ids:
            other.h2.end_stream(self.peer_stream_ids[event.stream_id])
        other.flush()


async def serve_h2(port: int) -> int:
    server = await asyncio.get_running_loop().create_server(lambda: BareHop(port, False), "127.0.0.1", 0)
    return int(server.sockets[0].getsockname()[1])


async def serve(kind: str, port: int) -> None:
    makers = {"program": serve_program, "relay": serve_relay, "h2": serve_h2}
    print(await makers[kind](port), flush=True)
    ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, ended.set_result, None)
    await ended


# The client and the server


async def start_server() -> tuple[grpc.aio.Server, int]:
    async def unary(request: bytes, context: Any) -> bytes:
        return request

    async def stream(request: bytes, context: Any) -> AsyncIterator[bytes]:
        for _ in range(int(request)):
            yield STREAM_MESSAGE

    async def echo(requests: AsyncIterator[bytes], context: Any) -> AsyncIterator[bytes]:
        async for request in requests:
            yield request

    server = grpc.aio.server()
    handlers = {
        "Unary": grpc.unary_unary_rpc_method_handler(unary),
        "Stream": grpc.unary_stream_rpc_method_handler(stream),
        "Echo": grpc.stream_stream_rpc_method_handler(echo),
    }
    server.add_generic_rpc_handlers((grpc.method_handlers_generic_handler("b.B", handlers),))
    port = server.add_insecure_port("127.0.0.1:0")
    await server.start()
    return server, port


async def unary_calls(channel: Any, calls: int) -> None:
    remaining = iter(range(calls))
    method = channel.unary_unary(UNARY)

    async def worker() -> None:
        for _ in remaining:
            await method(b"hello", timeout=10.0)

    await asyncio.gather(*(worker() for _ in range(WORKERS)))


async def read_stream(channel: Any, messages: int) -> int:
    size = 0
    async for message in channel.unary_stream(STREAM)(b"%d" % messages, timeout=60.0):
        size += len(message)
    return size


async def measure(calls: int, idle_streams: int) -> None:
    server, port = await start_server()
    unary_us = dict.fromkeys(KINDS, float("inf"))
    streamed_ms = dict.fromkeys(KINDS, float("inf"))
    async with contextlib.AsyncExitStack() as stack:
        channels_and_pids: dict[str, tuple[Any, int]] = {}
        ports: dict[str, int] = {}
        for kind in KINDS:
            command = [sys.executable, "-m", "benchmarks.grpcs", "--serve", kind, "--port", str(port)]
            process = await asyncio.create_subprocess_exec(*command, stdout=asyncio.subprocess.PIPE)
            stack.callback(process.kill)
            assert process.stdout is not None
            ports[kind] = int(await process.stdout.readline())
            channel = grpc.aio.insecure_channel(
                f"127.0.0.1:{ports[kind]}", options=[("grpc.use_local_subchannel_pool", 1)]
            )
            stack.push_async_callback(channel.close)
            channels_and_pids[kind] = (channel, process.pid)
            await unary_calls(channel, 100)
        for _ in range(ROUNDS):
            for kind, (channel, pid) in channels_and_pids.items():
                cpu_before = cpu_s(pid)
                await unary_calls(channel, calls)
                unary_us[kind] = min(unary_us[kind], (cpu_s(pid) - cpu_before) / calls * 1e6)
                cpu_before = cpu_s(pid)
                size = await read_stream(channel, 5000)
                streamed_ms[kind] = min(streamed_ms[kind], (cpu_s(pid) - cpu_before) / size * 1e9)
        for kind in KINDS:
            print(
                f"{kind:8} {unary_us[kind]:6.0f} us CPU a unary call "
                f"({unary_us[kind] / unary_us['h2']:.2f} of h2), {streamed_ms[kind]:6.1f} ms a streamed MB "
                f"({streamed_ms[kind] / max(0.01, streamed_ms['h2']):.2f})",
                flush=True,
            )
        await hold(ports["program"], channels_and_pids["program"][1], idle_streams)
        await slow_readers(ports["program"], channels_and_pids["program"][1])
    await server.stop(0.0)


async def hold(port: int, pid: int, idle_streams: int) -> None:
    """Print the memory with idle streams, over enough connections for the front's limit of streams."""
    memory_before = memory_mb(pid)
    channel_options = [("grpc.use_local_subchannel_pool", 1)]
    channels = [
        grpc.aio.insecure_channel(f"127.0.0.1:{port}", options=channel_options)
        for _ in range(idle_streams // 80 + 1)
    ]
    calls = [channels[n % len(channels)].stream_stream(ECHO)(timeout=60.0) for n in range(idle_streams)]
    for call in calls:
        await call.write(b"x")
        await call.read()
    print(f"{idle_streams} idle streams: {memory_before:.1f} to {memory_mb(pid):.1f} MB", flush=True)
    for channel in channels:
        await channel.close()


async def slow_readers(port: int, pid: int) -> None:
    """Print the memory with readers that read one message of a stream of 16 MB each and then stop."""
    memory_before = memory_mb(pid)
    channel_options = [("grpc.use_local_subchannel_pool", 1)]
    channels = [
        grpc.aio.insecure_channel(f"127.0.0.1:{port}", options=channel_options)
        for _ in range(SLOW_READERS // 50)
    ]
    calls = []
    for number in range(SLOW_READERS):
        calls.append(channels[number % len(channels)].unary_stream(STREAM)(b"1000", timeout=60.0))
        await calls[-1].read()
    await asyncio.sleep(2.0)
    print(f"{SLOW_READERS} slow readers: {memory_before:.1f} to {memory_mb(pid):.1f} MB", flush=True)
    for channel in channels:
        await channel.close()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=2000)
    parser.add_argument("--held", type=int, default=1000)
    parser.add_argument("--serve", choices=KINDS)
    parser.add_argument("--port", type=int, default=0)
    options = parser.parse_args()
    run = serve(options.serve, options.port) if options.serve else measure(options.calls, options.held)
    uvloop.run(run)


if __name__ == "__main__":
    main()
