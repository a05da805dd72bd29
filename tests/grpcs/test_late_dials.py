"""gRPC calls whose connection to the server is established late.

A connection accepts streams once it is open and the server has sent its settings. The tests block one of
these steps, which fixes the order of events. Frames are read from the servers' sockets and from the client's.
"""

from __future__ import annotations

import asyncio
import contextlib
import struct
import time
from collections.abc import AsyncIterator, Callable
from typing import Any

import pytest
from hpack import Decoder, Encoder

from garnethaven.engine.engine import MS, S
from garnethaven.grpcs.front import Front
from garnethaven.grpcs.mapping import Status
from garnethaven.grpcs.table import Grpc
from garnethaven.grpcs.transport import GrpcTransport
from garnethaven.interface import Endpoint, Idempotency, ListKind, State
from tests.crossings.test_late_dials import set_idempotency
from tests.grpcs.raw import (
    ACK,
    DATA,
    END_HEADERS,
    END_STREAM,
    HEADERS,
    PING,
    PREFACE,
    RST,
    SETTINGS,
    RawClient,
    fields,
    frame,
)
from tests.grpcs.test_on_sockets import ROUTES, UNARY, address_of
from tests.loopback import Sidecar, run, wait_until

DIAL_TIMEOUT_S = 10.0  # long enough that no dial times out in these tests
CANCEL_CODE = struct.pack(">I", 8)
STREAM_ID = 1  # the client's only stream
FIRST, SECOND = 1, 2  # endpoint ids
EXPIRED = (Status.UNAVAILABLE, Status.DEADLINE_EXCEEDED)  # statuses of a call that expired before it ran


class Gate:
    """Blocks a step of connection setup; each permit lets one connection continue."""

    def __init__(self) -> None:
        self.arrivals = 0
        self.permits = asyncio.Semaphore(0)

    async def wait(self) -> None:
        self.arrivals += 1
        await self.permits.acquire()


class GatedLoop:
    """An event loop whose `create_connection` returns an open connection only when the gate permits it."""

    def __init__(self, gate: Gate) -> None:
        self.gate = gate
        self.loop = asyncio.get_running_loop()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)

    async def create_connection(self, *args: Any, **options: Any) -> Any:
        result = await self.loop.create_connection(*args, **options)
        await self.gate.wait()
        return result


class Server:
    """A server that records the ids of calls and answers them, or (`closes`) closes the connection."""

    def __init__(self, gate: Gate | None = None, closes: bool = False) -> None:
        self.gate = gate  # blocks sending the settings
        self.closes = closes
        self.call_ids: list[str] = []
        self.connections = self.open_connections = 0
        self.writers: list[asyncio.StreamWriter] = []

    async def start(self) -> Server:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port: int = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.open_connections += 1
        self.writers.append(writer)
        sending_settings = asyncio.create_task(self._send_settings(writer))
        decoder, encoder = Decoder(), Encoder()
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await reader.readexactly(len(PREFACE))
            while True:
                header = await reader.readexactly(9)
                payload = await reader.readexactly(int.from_bytes(header[:3], "big"))
                frame_type, flags, stream_id = struct.unpack(">BBI", header[3:])
                if frame_type == HEADERS:
                    self.call_ids.append(dict(decoder.decode(payload))["x-call-id"])
                if frame_type in (HEADERS, DATA) and flags & END_STREAM:
                    if self.closes:
                        break
                    send_answer(writer, encoder, stream_id)
        sending_settings.cancel()
        self.open_connections -= 1
        writer.close()

    async def _send_settings(self, writer: asyncio.StreamWriter) -> None:
        if self.gate is not None:
            await self.gate.wait()
        writer.write(frame(SETTINGS, 0, 0))

    def close(self) -> None:
        self.server.close()
        for writer in self.writers:
            writer.close()


def send_answer(writer: asyncio.StreamWriter, encoder: Encoder, stream_id: int) -> None:
    response_headers = encoder.encode([(":status", "200"), ("content-type", "application/grpc")])
    writer.write(frame(HEADERS, END_HEADERS, stream_id, response_headers))
    writer.write(frame(DATA, 0, stream_id, grpc_message(b"ok")))
    trailers = encoder.encode([("grpc-status", "0")])
    writer.write(frame(HEADERS, END_HEADERS | END_STREAM, stream_id, trailers))


def grpc_message(body: bytes) -> bytes:
    return b"\0" + struct.pack(">I", len(body)) + body


class Caller:
    """A client with one call on one connection; all received frames are kept."""

    async def connect(self, port: int) -> Caller:
        self.client = await RawClient().connect(port)
        return self

    def call(self, call_id: str, timeout: str = "5S") -> None:
        header_list = fields(UNARY, x_call_id=call_id, grpc_timeout=timeout)
        self.client.write(self.client.headers(STREAM_ID, header_list))
        self.client.write(frame(DATA, END_STREAM, STREAM_ID, grpc_message(b"hi")))

    def reset(self) -> None:
        self.client.write(frame(RST, 0, STREAM_ID, CANCEL_CODE))

    async def only_status(self, is_idle: Callable[[], bool]) -> Status:
        """Return the status of the answer, after checking that nothing else follows for the call."""
        while not self._final_frames():
            assert await self.client.read() is not None
        await wait_until(is_idle)
        self.client.write(frame(PING, 0, 0, b"all sent"))
        while True:  # everything written before the ping's answer has arrived by then
            received = await self.client.read()
            assert received is not None
            if received[0] == PING and received[1] & ACK:
                break
        assert len(self._final_frames()) == 1
        decoder = Decoder()
        header_lists = [
            decoder.decode(payload)
            for frame_type, _, _, payload in self.client.frames
            if frame_type == HEADERS
        ]
        (status,) = [
            value for header_list in header_lists for name, value in header_list if name == "grpc-status"
        ]
        return Status(int(status))

    def _final_frames(self) -> list[tuple[int, int, int, bytes]]:
        """Return the frames that end the call's stream."""
        stream_frames = [received for received in self.client.frames if received[2] == STREAM_ID]
        return [
            received
            for received in stream_frames
            if (received[0] == RST and received[3] != struct.pack(">I", 0))
            or (received[0] in (HEADERS, DATA) and received[1] & END_STREAM)
        ]


class Harness:
    """The front and the transport with two servers; connections to the first are blocked at one step."""

    def __init__(self, sidecar: Sidecar, transport: GrpcTransport, gate: Gate, front: Front) -> None:
        self.sidecar = sidecar
        self.transport = transport
        self.gate = gate
        self.front = front
        self.servers: list[Server] = []

    def entry(self, endpoint: int, at_server: int | None = None, **changes: Any) -> Any:
        """Return an entry of the endpoint list; `at_server`: use the address of this endpoint instead."""
        port = self.servers[(at_server or endpoint) - 1].port
        return Endpoint(endpoint, **changes), ("127.0.0.1", port)

    def list_entries(self, *entries: Any) -> None:
        self.sidecar.transport.apply_list(ListKind.FULL, list(entries))

    async def caller(self) -> Caller:
        return await Caller().connect(self.front.port)

    def waiting(self) -> int:
        """Return the number of attempts that wait for a connection."""
        return sum(len(target.waiting) for target in self.transport.targets.values())

    def is_idle(self) -> bool:
        engine = self.sidecar.engine
        return not engine.calls and not engine.balancer.pending_requests

    async def release_all(self) -> None:
        """Let all blocked connections continue and wait until no attempt waits for them."""
        for _ in range(self.gate.arrivals):
            self.gate.permits.release()
        await wait_until(lambda: not any(target.dials for target in self.transport.targets.values()))
        await wait_until(lambda: not self.waiting())


STEPS = ("connect", "settings")  # that can be blocked


@contextlib.asynccontextmanager
async def gated_harness(
    step: str, *, closes: bool = False, gate_second: bool = False
) -> AsyncIterator[Harness]:
    gate = Gate()
    sidecar = Sidecar([])
    engine = sidecar.engine
    loop: Any = GatedLoop(gate) if step == "connect" else engine.loop
    transport = GrpcTransport(engine, loop, lambda endpoint: address_of(sidecar, endpoint))
    transport.dial_s = DIAL_TIMEOUT_S
    front = Front(Grpc(routes=ROUTES), engine, transport, sidecar.listener.classes)
    await front.start(("127.0.0.1", 0))
    harness = Harness(sidecar, transport, gate, front)
    settings_gate = gate if step == "settings" else None
    harness.servers = [
        await Server(settings_gate, closes).start(),
        await Server(settings_gate if gate_second else None, closes).start(),
    ]
    engine.balancer.overload.window.limit = 0.0  # ends the startup window
    try:
        yield harness
    finally:
        gate.permits.release()
        await front.close(0.0)
        transport.close()
        for server in harness.servers:
            server.close()
        sidecar.listener.drain()


async def waiting_call(harness: Harness, call_id: str = "c1", timeout: str = "5S") -> Caller:
    """Start a call that waits for a connection to the first server, the only listed one."""
    harness.list_entries(harness.entry(FIRST))
    caller = await harness.caller()
    caller.call(call_id, timeout)
    await wait_until(lambda: harness.gate.arrivals == 1 and harness.waiting() == 1)
    return caller


def drains(harness: Harness) -> None:
    harness.list_entries(harness.entry(FIRST, state=State.DRAINING), harness.entry(SECOND))


def goes(harness: Harness) -> None:
    harness.list_entries(harness.entry(SECOND))


def moves(harness: Harness) -> None:
    harness.list_entries(harness.entry(FIRST, at_server=SECOND))


def starts_anew(harness: Harness) -> None:
    harness.list_entries(harness.entry(FIRST, started=time.monotonic_ns()), harness.entry(SECOND))


def out_by_hand(harness: Harness) -> None:
    harness.list_entries(harness.entry(FIRST), harness.entry(SECOND))
    harness.sidecar.transport.by_hand(FIRST, True)


def out_by_hand_and_back(harness: Harness) -> None:
    out_by_hand(harness)
    harness.sidecar.transport.by_hand(FIRST, False)  # counts as a restart of the server


CHANGES = (drains, goes, moves, starts_anew, out_by_hand, out_by_hand_and_back)


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("change", CHANGES)
def test_a_connection_that_comes_up_after_news_of_its_server_carries_nothing(
    change: Callable[[Harness], None], step: str
) -> None:
    async def case() -> None:
        async with gated_harness(step) as harness:
            caller = await waiting_call(harness)
            change(harness)
            harness.gate.permits.release()  # the first server's connection
            harness.gate.permits.release()  # the second server's, if it is blocked too
            status = await caller.only_status(harness.is_idle)
            first, second = harness.servers
            assert not first.call_ids
            if change is moves:  # no other server: the call never ran, so refusing it is harmless
                assert status in (Status.OK, Status.UNAVAILABLE)
            else:
                assert status is Status.OK
            assert second.call_ids == (["c1"] if status is Status.OK else [])

    run(case())


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("change", [goes, moves])
def test_a_connection_that_comes_up_to_a_server_that_is_listed_no_more_is_closed(
    change: Callable[[Harness], None], step: str
) -> None:
    async def case() -> None:
        async with gated_harness(step) as harness:
            caller = await waiting_call(harness)
            change(harness)
            second_caller = await harness.caller()
            second_caller.call("c2")
            await wait_until(lambda: harness.gate.arrivals == 2 or "c2" in harness.servers[1].call_ids)
            harness.gate.permits.release()
            harness.gate.permits.release()
            await caller.only_status(harness.is_idle)
            assert await second_caller.only_status(harness.is_idle) is Status.OK
            await wait_until(lambda: harness.servers[0].open_connections == 0)

    run(case(), 5.0)


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("way", ["reset", "connection closed"])
def test_nothing_is_written_for_a_client_that_left_meanwhile(way: str, cancel: bool, step: str) -> None:
    async def case() -> None:
        async with gated_harness(step) as harness:
            set_idempotency(harness.sidecar, Idempotency.RETRYABLE, cancel=cancel)
            caller = await waiting_call(harness)
            if way == "reset":
                caller.reset()
            else:
                caller.client.close()
            await wait_until(harness.is_idle)
            await harness.release_all()
            second_caller = await harness.caller()
            second_caller.call("c2")
            assert await second_caller.only_status(harness.is_idle) is Status.OK
            assert harness.servers[0].connections == 1  # the late connection serves it
            assert harness.servers[0].call_ids == ["c2"]

    run(case())


@pytest.mark.parametrize("step", STEPS)
def test_nothing_is_written_once_the_deadline_has_passed(step: str) -> None:
    async def case() -> None:
        async with gated_harness(step) as harness:
            caller = await waiting_call(harness, timeout="200m")
            assert await caller.only_status(harness.is_idle) in EXPIRED
            await harness.release_all()
            second_caller = await harness.caller()
            second_caller.call("c2")
            assert await second_caller.only_status(harness.is_idle) is Status.OK
            assert harness.servers[0].call_ids == ["c2"]

    run(case())


def test_nothing_is_written_where_settings_and_deadline_come_while_the_process_stands_still() -> None:
    """The event loop processes received data before it runs expired timers."""

    async def case() -> None:
        async with gated_harness("settings") as harness:
            caller = await waiting_call(harness, timeout="400m")
            (call,) = harness.sidecar.engine.calls.values()
            harness.servers[0].writers[0].write(frame(SETTINGS, 0, 0))
            time.sleep(max(0.0, (call.deadline - time.monotonic_ns()) / S) + 0.02)
            assert await caller.only_status(harness.is_idle) in EXPIRED
            assert not harness.servers[0].call_ids

    run(case())


@pytest.mark.parametrize("step", STEPS)
def test_a_keyed_repeat_whose_connection_comes_up_after_the_window_is_not_written(step: str) -> None:
    async def case() -> None:
        async with gated_harness(step, closes=True, gate_second=True) as harness:
            window = 300 * MS
            set_idempotency(harness.sidecar, Idempotency.DEDUP, window)
            harness.list_entries(harness.entry(FIRST), harness.entry(SECOND))
            caller = await harness.caller()
            caller.call("c1")
            await wait_until(lambda: harness.gate.arrivals == 1)
            harness.gate.permits.release()
            await wait_until(lambda: harness.gate.arrivals == 2)  # the retry's connection
            window_end = time.monotonic() + window / S
            await wait_until(lambda: time.monotonic() > window_end)
            status = await caller.only_status(harness.is_idle)
            assert status is Status.UNAVAILABLE  # a retry by the client is harmless: all servers deduplicate
            await harness.release_all()
            await asyncio.sleep(0.05)  # a request written now would have arrived by then
            assert [call_id for server in harness.servers for call_id in server.call_ids] == ["c1"]

    run(case())


def test_a_keyed_repeat_is_not_written_where_its_window_ends_while_the_process_stands_still() -> None:
    async def case() -> None:
        async with gated_harness("settings", closes=True, gate_second=True) as harness:
            window = 600 * MS
            set_idempotency(harness.sidecar, Idempotency.DEDUP, window)
            harness.list_entries(harness.entry(FIRST), harness.entry(SECOND))
            caller = await harness.caller()
            caller.call("c1")
            await wait_until(lambda: harness.gate.arrivals == 1)
            harness.gate.permits.release()
            # The retry waits for its connection.
            await wait_until(lambda: harness.gate.arrivals == 2 and harness.waiting() == 1)
            (unused_server,) = [server for server in harness.servers if not server.call_ids]
            unused_server.writers[0].write(frame(SETTINGS, 0, 0))
            time.sleep(window / S)
            assert await caller.only_status(harness.is_idle) is Status.UNAVAILABLE
            assert [call_id for server in harness.servers for call_id in server.call_ids] == ["c1"]

    run(case())
