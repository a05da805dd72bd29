"""The HTTP/2 front: a server for gRPC clients, one call a stream; cleartext with prior knowledge.

| a stream is | until |
| --- | --- |
| taken | its headers came and fit a route: the engine owes it one answer |
| held back | an attempt's answer is not passed on yet: a failure is tried again as the class allows |
| bound | part of an answer was passed on: that attempt is the client's, and nothing is tried again |
| over | its one answer was given, or the client reset it |

A request is kept for a repeat up to `REPLAY_MOST`; beyond that its first attempt is its only one. The
answer of a method that does not stream is held back up to `HOLD_MOST`, that of one that streams is passed
on as it comes.
"""

from __future__ import annotations

import asyncio
import contextlib
import ssl
from collections.abc import Callable
from itertools import count
from typing import Any, cast

from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.errors import ErrorCodes
from h2.events import (
    DataReceived,
    PingReceived,
    RemoteSettingsChanged,
    RequestReceived,
    StreamEnded,
    StreamReset,
    WindowUpdated,
)
from h2.exceptions import H2Error, ProtocolError
from h2.settings import SettingCodes

from garnethaven.addresses import Address
from garnethaven.backlog import drain_duplicates, duplicate
from garnethaven.engine.calls import Call
from garnethaven.engine.classes import Classes
from garnethaven.engine.engine import MS, Engine
from garnethaven.grpcs.floods import Floods
from garnethaven.grpcs.goaway import NO_LAST, goaway
from garnethaven.grpcs.mapping import (
    RETRIED,
    Headers,
    MappingError,
    Status,
    budget_of,
    outcome_of,
    passed_on,
    refusal,
    status_of,
    timeout_text,
    trailers_only,
    value,
)
from garnethaven.grpcs.routes import Routes
from garnethaven.grpcs.streams import Sender
from garnethaven.grpcs.table import Grpc, GrpcRoute
from garnethaven.grpcs.transport import CONNECTION_WINDOW, WINDOW, GrpcAttempt, GrpcTransport
from garnethaven.interface import Outcome, StreamBegan

REPLAY_MOST = 64 * 1024
HOLD_MOST = 64 * 1024
HEADERS_MOST = 16 * 1024  # bytes of one list, as published settings count them
STREAMS_MOST = 100  # on one connection
ID_MOST = 256
PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
WRONG_PROTOCOL = b"HTTP/1.1 505 HTTP Version Not Supported\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
HANDSHAKE_S = 5.0  # then a client that does not go on with its handshake is closed
DRAIN_S = 0.1  # between the warning and the end of new streams: what was sent meanwhile is still taken
BACKLOG_MOST = 1024 * 1024  # bytes that a client leaves unread before nothing more is written to it


class ServerStream:
    """One call of a client; the engine's `Client` and the transport's `Stream`."""

    def __init__(self, line: FrontLine, stream_id: int, headers: Headers) -> None:
        self.line = line
        self.stream_id = stream_id
        self.headers = headers
        self.route: GrpcRoute | None = None
        self.call: Call | None = None
        self.kept: list[bytes] = []  # of the request: for a repeat, or until an attempt carries it
        self.size = 0
        self.replayable = True  # it is short enough for a repeat
        self.carried = False  # an attempt has had it
        self.ended = self.over = False
        self.bound: GrpcAttempt | None = None
        self.sender = Sender(line.h2, stream_id, self._sent_down)
        self.unread: list[tuple[GrpcAttempt, int]] = []  # of the bound answer, not yet taken by the client
        self.unsent = 0  # bytes of the request that no server has taken yet
        self.last: tuple[Headers, list[bytes], Headers | None, Status] | None = None

    # The client's side

    def begin(self) -> None:
        """Take the call; what can't be taken is answered at once."""
        front = self.line.front
        try:
            call = self._read(front)
        except MappingError as problem:
            self._answer_only(trailers_only(problem.status, str(problem).encode()))
            return
        if not front.engine.take(call):
            self._answer_only(trailers_only(Status.ABORTED, b"a call with this id is under way"))

    def _read(self, front: Front) -> Call:
        headers = self.headers
        if value(headers, b":method") != b"POST":
            raise MappingError(Status.INTERNAL, "the method is not POST")
        if not (value(headers, b"content-type") or b"").startswith(b"application/grpc"):
            raise MappingError(Status.INTERNAL, "the content-type is not application/grpc")
        path = (value(headers, b":path") or b"").decode("latin-1")
        self.route = route = front.routes.find(path)
        if route is None:
            raise MappingError(Status.UNIMPLEMENTED, f"no route for {path[:200]}")
        keyed = route.keyed or value(headers, b"idempotency-key") is not None
        grade = front.classes.class_index(route.class_name, keyed)
        if grade is None:
            raise MappingError(Status.INTERNAL, f"{route.class_name} is no class")
        told = value(headers, b"x-call-id") or b"grpc-%d" % next(front.numbers)
        if len(told) > ID_MOST:
            raise MappingError(Status.INVALID_ARGUMENT, "x-call-id is too long")
        most = front.engine.settings.request_classes[grade].deadline
        if route.streams:
            most = max(most, front.operator.stream_most_s * 1000 * MS)
        budget = budget_of(headers, most)
        if budget <= 0:
            raise MappingError(Status.DEADLINE_EXCEEDED, "grpc-timeout leaves no time")
        self.call = call = Call(self, told, front.transport, self)
        call.class_index, call.budget, call.key = grade, budget, ""
        call.tenant = (value(headers, b"x-caller") or b"").decode("latin-1")
        call.caller = front.classes.tenant_index(call.tenant)
        call.is_retry = (value(headers, b"grpc-previous-rpc-attempts") or b"0") != b"0"
        return call

    def data(self, data: bytes, flow: int) -> None:
        """A part of the request."""
        self.size += len(data)
        self.unsent += flow
        self.replayable = self.replayable and self.size <= REPLAY_MOST
        carrying = [attempt for attempt in self._open() if attempt.sender is not None]
        if self.replayable or not self.carried:
            self.kept.append(data)
        elif self.kept:
            self.kept = []
        for attempt in carrying:
            attempt.more(data)
        if self.replayable:
            self.sent_up(flow)  # held here, within REPLAY_MOST; beyond that the client waits for a server

    def end(self) -> None:
        self.ended = True
        for attempt in self._open():
            attempt.end()

    def reset(self) -> None:
        """The client has gone: nothing is owed, and what is under way ends."""
        self.over = True
        call, self.call = self.call, None
        if call is None:
            return
        engine, attempts = self.line.front.engine, self._open(call)
        engine.client_left(call)
        for attempt in attempts:
            if not attempt.over:
                engine.cancel(attempt)

    def _open(self, call: Call | None = None) -> list[GrpcAttempt]:
        call = call or self.call
        if call is None:
            return []
        return [attempt for attempt in call.attempts if isinstance(attempt, GrpcAttempt) and not attempt.over]

    # The transport's side

    def request(self, left: int) -> Headers:
        path, authority = value(self.headers, b":path"), value(self.headers, b":authority")
        return [
            (b":method", b"POST"),
            (b":scheme", b"http"),
            (b":path", path or b"/"),
            (b":authority", authority or b"backend.local"),
            (b"te", b"trailers"),
            (b"grpc-timeout", timeout_text(left)),
            *passed_on(self.headers),
            *self._named(),
        ]

    def _named(self) -> Headers:
        """The call's id, where the client gave none: servers know calls by their ids."""
        if self.call is None or value(self.headers, b"x-call-id") is not None:
            return []
        return [(b"x-call-id", self.call.call_id)]

    def can_start(self) -> bool:
        """Whether an attempt can have the whole request."""
        return self.replayable or not self.carried

    def so_far(self) -> tuple[list[bytes], bool]:
        self.carried = True
        kept = list(self.kept)
        if not self.replayable:
            self.kept = []
        return kept, self.ended

    def sent_up(self, size: int) -> None:
        """So many bytes of the request are held here no longer: the client may send as many."""
        size = min(size, self.unsent)
        self.unsent -= size
        self.line.acknowledge(self.stream_id, size)

    def got_headers(self, attempt: GrpcAttempt, headers: Headers) -> None:
        attempt.answer = headers

    def got_data(self, attempt: GrpcAttempt, data: bytes, flow: int) -> None:
        if self.bound is attempt:
            self._pass_on(attempt, data, flow)
            return
        if self.bound is not None:
            attempt.taken(flow)
            return
        attempt.held.append(data)
        attempt.held_size += len(data)
        attempt.taken(flow)
        route = self.route
        if (route is not None and route.streams) or attempt.held_size > HOLD_MOST:
            self._bind(attempt)

    def _bind(self, attempt: GrpcAttempt) -> None:
        """From here on this attempt is the client's."""
        call, engine = self.call, self.line.front.engine
        if call is None or call.answered:
            return
        self.bound = attempt
        engine.post(StreamBegan(call.id, attempt.number))
        for other in self._open():
            if other is not attempt:
                engine.cancel(other)
        self.line.send_headers(self.stream_id, answer_headers(attempt.answer), more=True)
        held, attempt.held = attempt.held, []
        for data in held:
            self._pass_on(attempt, data, 0)

    def _pass_on(self, attempt: GrpcAttempt, data: bytes, flow: int) -> None:
        self.unread.append((attempt, flow))
        self.sender.add(data)
        self.line.flush_stream(self)

    def _sent_down(self, size: int) -> None:
        """The client's connection took bytes of the answer.

        Once all of it is taken the server may send more.
        """
        if self.sender.waiting <= WINDOW // 2:
            unread, self.unread = self.unread, []
            for attempt, flow in unread:
                attempt.taken(flow)

    def got_end(self, attempt: GrpcAttempt, trailers: Headers | None) -> None:
        attempt.over = True
        engine = self.line.front.engine
        status = status_of(attempt.answer, trailers)
        rejected = value(trailers or attempt.answer, b"x-rejected") == b"1"
        outcome = outcome_of(status, rejected)
        if self.bound is attempt:
            engine.attempt_ended(attempt, outcome, (), lambda: self._finish(trailers))
        elif outcome is Outcome.DONE:
            answer, held = attempt.answer, attempt.held
            engine.attempt_ended(attempt, outcome, (), lambda: self._deliver(answer, held, trailers))
        else:
            self.last = (attempt.answer, attempt.held, trailers, status)
            engine.attempt_ended(attempt, self._unless_committed(outcome))

    def lost(self, attempt: GrpcAttempt, outcome: Outcome) -> None:
        if attempt.over:
            return
        attempt.over = True
        engine = self.line.front.engine
        if self.bound is attempt:
            engine.attempt_ended(attempt, outcome, (), lambda: self._break(ErrorCodes.INTERNAL_ERROR))
        else:
            engine.attempt_ended(attempt, self._unless_committed(outcome))

    def _unless_committed(self, outcome: Outcome) -> Outcome:
        """A request that is too long for a repeat can't be tried again.

        The module is told that it is at fault.
        """
        return outcome if self.can_start() else Outcome.BAD_REQUEST

    # The engine's side

    def refused(self, retry_after: int, over_share: bool) -> None:
        self._answer_only(refusal(retry_after, over_share))

    def failed(self, status: int) -> None:
        if self.bound is not None:
            self._break(ErrorCodes.CANCEL)
        elif status == 504:
            self._answer_only(trailers_only(Status.DEADLINE_EXCEEDED, b"its time was over"))
        elif self.last is not None and self.last[3] not in RETRIED:
            self._deliver(*self.last[:3])
        else:
            self._answer_only(trailers_only(Status.INTERNAL, b"failed, it may have run"))

    # Answers

    def _answer_only(self, headers: Headers) -> None:
        self.line.send_headers(self.stream_id, headers, end=True)
        self._close()

    def _deliver(self, answer: Headers, held: list[bytes], trailers: Headers | None) -> None:
        alone = trailers is None and not held
        self.line.send_headers(self.stream_id, answer_headers(answer), end=alone, more=not alone)
        if alone:
            self._close()
            return
        for data in held:
            self.sender.add(data)
        self._finish(trailers)

    def _finish(self, trailers: Headers | None) -> None:
        self.sender.end(trailers)
        self.line.flush_stream(self)  # which closes the stream once all of it is out

    def _break(self, code: ErrorCodes) -> None:
        self.line.reset(self.stream_id, code)
        self._close()

    def _close(self) -> None:
        """The answer is out; a client that is still sending is told to stop."""
        self.over = True
        self.call = None
        self.line.close_stream(self)


class FrontLine(asyncio.Protocol):
    """One client's connection."""

    def __init__(self, front: Front) -> None:
        self.front = front
        self.h2 = H2Connection(H2Configuration(client_side=False, header_encoding=None))
        self.streams: dict[int, ServerStream] = {}
        self.floods = Floods()
        self.transport: asyncio.Transport | None = None
        self.first = b""
        self.greeted = False
        self.paused = self.reading = False
        self.last: int | None = None  # the last stream that is taken, after a planned end

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.front.tls is not None and not self.front.admits(self.transport.get_extra_info("peercert")):
            self.transport.abort()
            return
        self.transport.set_write_buffer_limits(high=BACKLOG_MOST)
        self.front.lines.add(self)
        self.h2.local_settings.update(
            {
                SettingCodes.MAX_CONCURRENT_STREAMS: STREAMS_MOST,
                SettingCodes.MAX_HEADER_LIST_SIZE: HEADERS_MOST,
                SettingCodes.INITIAL_WINDOW_SIZE: WINDOW,
            }
        )
        self.h2.initiate_connection()
        self.h2.increment_flow_control_window(CONNECTION_WINDOW)
        if self.front.closing:
            self.flush()
            self.drain()

    def connection_lost(self, problem: Exception | None) -> None:
        self.front.lines.discard(self)
        streams, self.streams = list(self.streams.values()), {}
        for stream in streams:
            stream.reset()
        self.front.look()

    def pause_writing(self) -> None:
        self.paused = True

    def resume_writing(self) -> None:
        self.paused = False
        for stream in list(self.streams.values()):
            self.flush_stream(stream)

    def flush(self) -> None:
        """Write what there is; what comes of one read is written together."""
        if self.reading:
            return
        out = self.h2.data_to_send()
        if out and self.transport is not None and not self.transport.is_closing():
            self.transport.write(out)

    def data_received(self, data: bytes) -> None:
        if not self.greeted and not self._greets(data):
            return
        data, self.first = self.first + data, b""
        self.reading = True
        sound = self._read(data)
        self.reading = False
        self.flush()  # with GOAWAY and its reason, where there is one
        if not sound:
            self._end()

    def _read(self, data: bytes) -> bool:
        """Take in what came; false where the connection is to end."""
        try:
            events = self.h2.receive_data(data)
        except ProtocolError:
            return False
        now = self.front.engine.loop.time()
        for event in events:
            if self._costs(event) and not self.floods.takes(now):
                self.h2.close_connection(ErrorCodes.ENHANCE_YOUR_CALM)
                return False
            self._event(event)
        return True

    def _greets(self, data: bytes) -> bool:
        """Whether this is HTTP/2; anything else gets an answer in its own words and the connection's end."""
        told = self.first + data
        if not PREFACE.startswith(told[: len(PREFACE)]):
            if self.transport is not None:
                self.transport.write(WRONG_PROTOCOL)
            self._end()
            return False
        if len(told) < len(PREFACE):
            self.first = told
            return False
        self.greeted = True
        return True

    @staticmethod
    def _costs(event: object) -> bool:
        """Whether an event is one of those that floods are made of."""
        if isinstance(event, DataReceived):
            return not event.data and event.stream_ended is None
        return isinstance(event, StreamReset | PingReceived | RemoteSettingsChanged)

    def _event(self, event: object) -> None:
        if isinstance(event, RequestReceived):
            stream_id = event.stream_id or 0
            if self.last is not None and stream_id > self.last:
                return self.reset(stream_id, ErrorCodes.REFUSED_STREAM)
            stream = self.streams[stream_id] = ServerStream(self, stream_id, event.headers)
            stream.begin()
            return
        if isinstance(event, WindowUpdated | RemoteSettingsChanged):
            told = getattr(event, "stream_id", 0)
            known = [self.streams.get(told)] if told else list(self.streams.values())
            for one in known:
                if one is not None:
                    self.flush_stream(one)
            return
        found = self.streams.get(getattr(event, "stream_id", 0) or 0)
        if isinstance(event, DataReceived):
            flow = event.flow_controlled_length or 0
            if found is not None and not found.over:
                found.data(event.data or b"", flow)
            else:
                self.acknowledge(event.stream_id or 0, flow)
        elif found is not None and isinstance(event, StreamEnded):
            found.end()
        elif found is not None and isinstance(event, StreamReset):
            del self.streams[found.stream_id]
            found.reset()

    # What streams ask for

    def send_headers(self, stream_id: int, headers: Headers, end: bool = False, more: bool = False) -> None:
        """Send headers; where `more` follows at once they are written with it."""
        with contextlib.suppress(H2Error):
            self.h2.send_headers(stream_id, headers, end_stream=end)
        if not more:
            self.flush()

    def flush_stream(self, stream: ServerStream) -> None:
        if self.paused:
            return
        with contextlib.suppress(H2Error):
            stream.sender.flush()
        self.flush()
        if stream.sender.over and not stream.over:
            stream._close()

    def acknowledge(self, stream_id: int, flow: int) -> None:
        if flow:
            with contextlib.suppress(H2Error):
                self.h2.acknowledge_received_data(flow, stream_id)
            self.flush()

    def reset(self, stream_id: int, code: ErrorCodes) -> None:
        with contextlib.suppress(H2Error):
            self.h2.reset_stream(stream_id, code)
        self.flush()

    def close_stream(self, stream: ServerStream) -> None:
        if self.streams.pop(stream.stream_id, None) is not None and not stream.ended:
            self.reset(stream.stream_id, ErrorCodes.NO_ERROR)
        self.front.look()

    def drain(self) -> None:
        """Warn that no new streams will be taken, and a moment later take none; those under way go on."""
        self._goaway(NO_LAST)
        self.front.engine.loop.call_later(DRAIN_S, self._final)

    def _final(self) -> None:
        self.last = self.h2.highest_inbound_stream_id
        self._goaway(self.last)
        if not self.streams:
            self._end()

    def _goaway(self, last: int) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(goaway(last))

    def _end(self) -> None:
        if self.transport is not None:
            self.transport.close()


class Front:
    """The server. `start` raises OSError where its address can't be had."""

    def __init__(
        self,
        operator: Grpc,
        engine: Engine,
        transport: GrpcTransport,
        classes: Classes,
        tls: ssl.SSLContext | None = None,
        admits: Callable[[Any], bool] = lambda peer: True,
    ) -> None:
        self.operator = operator
        self.tls = tls
        self.admits = admits  # whether a client may come, by its certificate
        self.engine = engine
        self.transport = transport
        self.classes = classes
        self.routes = Routes(operator.routes, operator.default)
        self.lines: set[FrontLine] = set()
        self.numbers = count(1)
        self.server: asyncio.Server | None = None
        self.port = 0
        self.closing = False
        self.calm: asyncio.Future[None] | None = None

    def renew(self, operator: Grpc) -> None:
        """Take over routes and times; what else there is stays until a restart."""
        self.routes = Routes(operator.routes, operator.default)
        self.operator = operator

    async def start(self, address: Address) -> Front:
        limit = HANDSHAKE_S if self.tls is not None else None
        self.server = await self.engine.loop.create_server(
            lambda: FrontLine(self), *address, ssl=self.tls, ssl_handshake_timeout=limit
        )
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def close(self, grace_s: float) -> None:
        """Tell clients to go elsewhere, and give what is under way so long; with 0 all ends at once."""
        self.closing = True
        for line in list(self.lines):
            line.drain()
        if self.server is not None:
            await self._end_listening(self.server, at_once=not grace_s)
        if grace_s:
            await asyncio.sleep(DRAIN_S)  # what was on its way when clients were warned is taken
        self.calm = self.engine.loop.create_future()
        self.look()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(asyncio.shield(self.calm), grace_s)
        for line in list(self.lines):
            line._end()
        self.transport.close()

    async def _end_listening(self, server: asyncio.Server, at_once: bool) -> None:
        """Take what has arrived, so that each learns that it must go elsewhere, then close."""
        if not at_once:
            await drain_duplicates([duplicate(sock.fileno()) for sock in server.sockets])
        server.close()

    def look(self) -> None:
        """Whether a planned end has nothing left to wait for."""
        if self.calm is not None and not self.calm.done() and not any(line.streams for line in self.lines):
            self.calm.set_result(None)


def client_tls(operator: Grpc) -> ssl.SSLContext:
    """TLS towards servers, whose certificates carry their addresses."""
    made = ssl.create_default_context(cafile=operator.server_ca)
    made.set_alpn_protocols(["h2"])
    return made


def answer_headers(headers: Headers) -> Headers:
    """A server's headers for the client, but for those of one hop."""
    return [(name, told) for name, told in headers if name not in (b"connection", b"transfer-encoding")]
