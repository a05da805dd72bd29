"""What happens to a call over gRPC while the connection to its server comes up late.

A connection to a server takes streams once it is open and the server has sent its settings. Either step is
held by the test, so that each case has one order of events. What was written is read from the servers'
sockets, frame by frame, and the answers from the client's.
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

DIAL_S = 10.0  # no case ends because a dial took too long
CANCEL = struct.pack(">I", 8)
STREAM = 1  # the client's only one
FIRST, OTHER = 1, 2  # endpoints
LATE = (Status.UNAVAILABLE, Status.DEADLINE_EXCEEDED)  # of what never ran, and whose time is over


class Hold:
    """Connections that come up only when the test lets one more."""

    def __init__(self) -> None:
        self.begun = 0
        self.permits = asyncio.Semaphore(0)

    async def wait(self) -> None:
        self.begun += 1
        await self.permits.acquire()


class HeldLoop:
    """The event loop of a transport whose connections are open some time before it is told so."""

    def __init__(self, hold: Hold) -> None:
        self.hold = hold
        self.loop = asyncio.get_running_loop()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)

    async def create_connection(self, *words: Any, **named: Any) -> Any:
        made = await self.loop.create_connection(*words, **named)
        await self.hold.wait()
        return made


class Server:
    """Keeps the calls whose headers came, by id; answers each one, or ends the connection."""

    def __init__(self, hold: Hold | None = None, breaks: bool = False) -> None:
        self.hold = hold  # of its settings
        self.breaks = breaks
        self.call_ids: list[str] = []
        self.connections = self.open = 0
        self.writers: list[asyncio.StreamWriter] = []

    async def start(self) -> Server:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port: int = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.open += 1
        self.writers.append(writer)
        greeting = asyncio.create_task(self._greet(writer))
        decoder, encoder = Decoder(), Encoder()
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await reader.readexactly(len(PREFACE))
            while True:
                head = await reader.readexactly(9)
                payload = await reader.readexactly(int.from_bytes(head[:3], "big"))
                kind, flags, stream = struct.unpack(">BBI", head[3:])
                if kind == HEADERS:
                    self.call_ids.append(dict(decoder.decode(payload))["x-call-id"])
                if kind in (HEADERS, DATA) and flags & END_STREAM:
                    if self.breaks:
                        break
                    answer_well(writer, encoder, stream)
        greeting.cancel()
        self.open -= 1
        writer.close()

    async def _greet(self, writer: asyncio.StreamWriter) -> None:
        if self.hold is not None:
            await self.hold.wait()
        writer.write(frame(SETTINGS, 0, 0))

    def close(self) -> None:
        self.server.close()
        for writer in self.writers:
            writer.close()


def answer_well(writer: asyncio.StreamWriter, encoder: Encoder, stream: int) -> None:
    head = encoder.encode([(":status", "200"), ("content-type", "application/grpc")])
    writer.write(frame(HEADERS, END_HEADERS, stream, head))
    writer.write(frame(DATA, 0, stream, message(b"ok")))
    last = encoder.encode([("grpc-status", "0")])
    writer.write(frame(HEADERS, END_HEADERS | END_STREAM, stream, last))


def message(body: bytes) -> bytes:
    return b"\0" + struct.pack(">I", len(body)) + body


class Caller:
    """A client with one call on one connection; every frame that comes is kept."""

    async def connect(self, port: int) -> Caller:
        self.client = await RawClient().connect(port)
        return self

    def call(self, call_id: str, timeout: str = "5S") -> None:
        told = fields(UNARY, x_call_id=call_id, grpc_timeout=timeout)
        self.client.write(self.client.headers(STREAM, told))
        self.client.write(frame(DATA, END_STREAM, STREAM, message(b"hi")))

    def reset(self) -> None:
        self.client.write(frame(RST, 0, STREAM, CANCEL))

    async def only_status(self, quiet: Callable[[], bool]) -> Status:
        """The status of the call's answer, after which nothing more came for it."""
        while not self._ends():
            assert await self.client.read() is not None
        await wait_until(quiet)
        self.client.write(frame(PING, 0, 0, b"all sent"))
        while True:  # what was written before the ping was answered has come by then
            came = await self.client.read()
            assert came is not None
            if came[0] == PING and came[1] & ACK:
                break
        assert len(self._ends()) == 1
        decoder = Decoder()
        lists = [decoder.decode(payload) for kind, _, _, payload in self.client.frames if kind == HEADERS]
        (status,) = [value for told in lists for name, value in told if name == "grpc-status"]
        return Status(int(status))

    def _ends(self) -> list[tuple[int, int, int, bytes]]:
        """The frames that end the call's stream."""
        of_stream = [came for came in self.client.frames if came[2] == STREAM]
        return [
            came
            for came in of_stream
            if (came[0] == RST and came[3] != struct.pack(">I", 0))
            or (came[0] in (HEADERS, DATA) and came[1] & END_STREAM)
        ]


class Stage:
    """The front and the transport before two servers, the first one's connections held at one step."""

    def __init__(self, sidecar: Sidecar, transport: GrpcTransport, hold: Hold, front: Front) -> None:
        self.sidecar = sidecar
        self.transport = transport
        self.hold = hold
        self.front = front
        self.servers: list[Server] = []

    def entry(self, endpoint: int, at: int | None = None, **changes: Any) -> Any:
        """A line of the list; `at` is the endpoint whose address it has, its own where left out."""
        port = self.servers[(at or endpoint) - 1].port
        return Endpoint(endpoint, **changes), ("127.0.0.1", port)

    def tell(self, *entries: Any) -> None:
        self.sidecar.transport.apply_list(ListKind.FULL, list(entries))

    async def caller(self) -> Caller:
        return await Caller().connect(self.front.port)

    def waiting(self) -> int:
        """How many attempts wait for a connection."""
        return sum(len(target.waiting) for target in self.transport.targets.values())

    def quiet(self) -> bool:
        engine = self.sidecar.engine
        return not engine.calls and not engine.balancer.pending_requests

    async def let_up(self) -> None:
        """All connections that are held come up, and what waits for them is seen to."""
        for _ in range(self.hold.begun):
            self.hold.permits.release()
        await wait_until(lambda: not any(target.dials for target in self.transport.targets.values()))
        await wait_until(lambda: not self.waiting())


STEPS = ("connect", "settings")  # that are held


@contextlib.asynccontextmanager
async def stage(step: str, *, breaks: bool = False, other_held: bool = False) -> AsyncIterator[Stage]:
    hold = Hold()
    sidecar = Sidecar([])
    engine = sidecar.engine
    loop: Any = HeldLoop(hold) if step == "connect" else engine.loop
    transport = GrpcTransport(engine, loop, lambda endpoint: address_of(sidecar, endpoint))
    transport.dial_s = DIAL_S
    front = Front(Grpc(routes=ROUTES), engine, transport, sidecar.listener.classes)
    await front.start(("127.0.0.1", 0))
    made = Stage(sidecar, transport, hold, front)
    held = hold if step == "settings" else None
    made.servers = [
        await Server(held, breaks).start(),
        await Server(held if other_held else None, breaks).start(),
    ]
    engine.balancer.overload.window.limit = 0.0  # it has served for a while: no beginner
    try:
        yield made
    finally:
        hold.permits.release()
        await front.close(0.0)
        transport.close()
        for server in made.servers:
            server.close()
        sidecar.listener.drain()


async def begun(made: Stage, call_id: str = "c1", timeout: str = "5S") -> Caller:
    """A call that waits for a connection to the first server, the only one that is listed."""
    made.tell(made.entry(FIRST))
    caller = await made.caller()
    caller.call(call_id, timeout)
    await wait_until(lambda: made.hold.begun == 1 and made.waiting() == 1)
    return caller


def drains(made: Stage) -> None:
    made.tell(made.entry(FIRST, state=State.DRAINING), made.entry(OTHER))


def goes(made: Stage) -> None:
    made.tell(made.entry(OTHER))


def moves(made: Stage) -> None:
    made.tell(made.entry(FIRST, at=OTHER))


def starts_anew(made: Stage) -> None:
    made.tell(made.entry(FIRST, started=time.monotonic_ns()), made.entry(OTHER))


def out_by_hand(made: Stage) -> None:
    made.tell(made.entry(FIRST), made.entry(OTHER))
    made.sidecar.transport.by_hand(FIRST, True)


def out_by_hand_and_back(made: Stage) -> None:
    out_by_hand(made)
    made.sidecar.transport.by_hand(FIRST, False)  # most likely restarted meanwhile


CHANGES = (drains, goes, moves, starts_anew, out_by_hand, out_by_hand_and_back)


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("change", CHANGES)
def test_a_connection_that_comes_up_after_news_of_its_server_carries_nothing(
    change: Callable[[Stage], None], step: str
) -> None:
    async def case() -> None:
        async with stage(step) as made:
            caller = await begun(made)
            change(made)
            made.hold.permits.release()  # the first server's
            made.hold.permits.release()  # the other's, where it is held too
            status = await caller.only_status(made.quiet)
            first, other = made.servers
            assert not first.call_ids
            if change is moves:  # there is no other one: it never ran, so that to refuse it is harmless
                assert status in (Status.OK, Status.UNAVAILABLE)
            else:
                assert status is Status.OK
            assert other.call_ids == (["c1"] if status is Status.OK else [])

    run(case())


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("change", [goes, moves])
def test_a_connection_that_comes_up_to_a_server_that_is_listed_no_more_is_closed(
    change: Callable[[Stage], None], step: str
) -> None:
    async def case() -> None:
        async with stage(step) as made:
            caller = await begun(made)
            change(made)
            later = await made.caller()
            later.call("c2")
            await wait_until(lambda: made.hold.begun == 2 or "c2" in made.servers[1].call_ids)
            made.hold.permits.release()
            made.hold.permits.release()
            await caller.only_status(made.quiet)
            assert await later.only_status(made.quiet) is Status.OK
            await wait_until(lambda: made.servers[0].open == 0)

    run(case(), 5.0)


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("way", ["reset", "connection closed"])
def test_nothing_is_written_for_a_client_that_left_meanwhile(way: str, cancel: bool, step: str) -> None:
    async def case() -> None:
        async with stage(step) as made:
            set_idempotency(made.sidecar, Idempotency.RETRYABLE, cancel=cancel)
            caller = await begun(made)
            if way == "reset":
                caller.reset()
            else:
                caller.client.close()
            await wait_until(made.quiet)
            await made.let_up()
            later = await made.caller()
            later.call("c2")
            assert await later.only_status(made.quiet) is Status.OK
            assert made.servers[0].connections == 1  # the one that came up late serves it
            assert made.servers[0].call_ids == ["c2"]

    run(case())


@pytest.mark.parametrize("step", STEPS)
def test_nothing_is_written_once_the_deadline_has_passed(step: str) -> None:
    async def case() -> None:
        async with stage(step) as made:
            caller = await begun(made, timeout="200m")
            assert await caller.only_status(made.quiet) in LATE
            await made.let_up()
            later = await made.caller()
            later.call("c2")
            assert await later.only_status(made.quiet) is Status.OK
            assert made.servers[0].call_ids == ["c2"]

    run(case())


def test_nothing_is_written_where_settings_and_deadline_come_while_the_process_stands_still() -> None:
    """The loop takes what came before it looks at its timers."""

    async def case() -> None:
        async with stage("settings") as made:
            caller = await begun(made, timeout="400m")
            (call,) = made.sidecar.engine.calls.values()
            made.servers[0].writers[0].write(frame(SETTINGS, 0, 0))
            time.sleep(max(0.0, (call.deadline - time.monotonic_ns()) / S) + 0.02)
            assert await caller.only_status(made.quiet) in LATE
            assert not made.servers[0].call_ids

    run(case())


@pytest.mark.parametrize("step", STEPS)
def test_a_keyed_repeat_whose_connection_comes_up_after_the_window_is_not_written(step: str) -> None:
    async def case() -> None:
        async with stage(step, breaks=True, other_held=True) as made:
            window = 300 * MS
            set_idempotency(made.sidecar, Idempotency.DEDUP, window)
            made.tell(made.entry(FIRST), made.entry(OTHER))
            caller = await made.caller()
            caller.call("c1")
            await wait_until(lambda: made.hold.begun == 1)
            made.hold.permits.release()
            await wait_until(lambda: made.hold.begun == 2)  # the repeat's
            ends = time.monotonic() + window / S
            await wait_until(lambda: time.monotonic() > ends)
            status = await caller.only_status(made.quiet)
            assert status is Status.UNAVAILABLE  # harmless, for all servers drop its repeats
            await made.let_up()
            await asyncio.sleep(0.05)  # what would be written now has come by then
            assert [call_id for server in made.servers for call_id in server.call_ids] == ["c1"]

    run(case())


def test_a_keyed_repeat_is_not_written_where_its_window_ends_while_the_process_stands_still() -> None:
    async def case() -> None:
        async with stage("settings", breaks=True, other_held=True) as made:
            window = 600 * MS
            set_idempotency(made.sidecar, Idempotency.DEDUP, window)
            made.tell(made.entry(FIRST), made.entry(OTHER))
            caller = await made.caller()
            caller.call("c1")
            await wait_until(lambda: made.hold.begun == 1)
            made.hold.permits.release()
            await wait_until(lambda: made.hold.begun == 2 and made.waiting() == 1)  # the repeat's
            (late,) = [server for server in made.servers if not server.call_ids]
            late.writers[0].write(frame(SETTINGS, 0, 0))
            time.sleep(window / S)
            assert await caller.only_status(made.quiet) is Status.UNAVAILABLE
            assert [call_id for server in made.servers for call_id in server.call_ids] == ["c1"]

    run(case())
