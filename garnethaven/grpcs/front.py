"""The HTTP/2 front: a server for gRPC clients, one call per stream; cleartext with prior knowledge, or TLS.

| state of a stream | meaning |
| --- | --- |
| accepted | its headers arrived and match a route: the engine must send exactly one answer |
| buffering | the answer of an attempt is not passed on yet: a failure is retried as the class allows |
| streaming | part of an answer was passed on: only that attempt may answer, and nothing is retried |
| closed | its one answer was sent, or the client reset it |

A request is kept for a retry up to `MAX_REPLAY_BYTES`; a longer one has only one attempt. The answer of a
method that does not stream is buffered up to `MAX_BUFFERED_ANSWER_BYTES`; a streaming method's answer is
passed on as it arrives.
"""

from __future__ import annotations

import asyncio
import contextlib
import ssl
import time
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
from garnethaven.grpcs.floods import FloodLimiter
from garnethaven.grpcs.goaway import MAX_STREAM_ID, goaway_frame
from garnethaven.grpcs.mapping import (
    CLIENT_RETRIED,
    Headers,
    MappingError,
    Status,
    budget_of,
    first_value,
    forwarded_metadata,
    outcome_of,
    refusal,
    status_of,
    timeout_text,
    trailers_only,
)
from garnethaven.grpcs.routes import Routes
from garnethaven.grpcs.streams import Sender
from garnethaven.grpcs.table import Grpc, GrpcRoute
from garnethaven.grpcs.transport import CONNECTION_WINDOW, STREAM_WINDOW, GrpcAttempt, GrpcTransport
from garnethaven.interface import Outcome, StreamBegan
from garnethaven.net.presence import late_arrival

MAX_REPLAY_BYTES = 64 * 1024
MAX_BUFFERED_ANSWER_BYTES = 64 * 1024
MAX_HEADER_LIST_BYTES = 16 * 1024  # counted as HTTP/2 defines MAX_HEADER_LIST_SIZE
MAX_STREAMS_PER_CONNECTION = 100
MAX_CALL_ID_BYTES = 256
PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
WRONG_PROTOCOL = b"HTTP/1.1 505 HTTP Version Not Supported\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
HANDSHAKE_TIMEOUT_S = 5.0  # of TLS; slower clients are disconnected
GOAWAY_INTERVAL_S = 0.1  # from the first GOAWAY to the final one; streams opened meanwhile are accepted
MAX_WRITE_BUFFER_BYTES = 1024 * 1024  # beyond it writing to a client pauses until it reads


class ServerStream:
    """One call of a client; implements the engine's `Client` and the transport's `Stream`."""

    def __init__(self, connection: ClientConnection, stream_id: int, headers: Headers) -> None:
        self.connection = connection
        self.stream_id = stream_id
        self.headers = headers
        self.route: GrpcRoute | None = None
        self.call: Call | None = None
        self.request_chunks: list[bytes] = []  # kept for a retry, or until an attempt takes them
        self.request_bytes = 0
        self.replayable = True  # the request is short enough to be sent again
        self.request_taken = False  # by an attempt
        self.request_ended = self.closed = False
        self.streaming_attempt: GrpcAttempt | None = None
        self.sender = Sender(connection.h2, stream_id, self._answer_sent)
        # Flow-control bytes of the streamed answer that are not acknowledged to the server yet.
        self.unacknowledged: list[tuple[GrpcAttempt, int]] = []
        self.unsent_request_bytes = 0  # flow-control bytes that are not acknowledged to the client yet
        self.last_failure: tuple[Headers, list[bytes], Headers | None, Status] | None = None

    # Called by the client's connection

    def begin(self) -> None:
        """Pass the call to the engine, or answer it at once if it cannot be accepted."""
        front = self.connection.front
        try:
            call = self._parse_call(front)
        except MappingError as error:
            self._answer_only(trailers_only(error.status, str(error).encode()))
            return
        if not front.engine.take(call, self.connection.arrived_at):
            self._answer_only(trailers_only(Status.ABORTED, b"a call with this id is under way"))

    def _parse_call(self, front: Front) -> Call:
        headers = self.headers
        if first_value(headers, b":method") != b"POST":
            raise MappingError(Status.INTERNAL, "the method is not POST")
        if not (first_value(headers, b"content-type") or b"").startswith(b"application/grpc"):
            raise MappingError(Status.INTERNAL, "the content-type is not application/grpc")
        path = (first_value(headers, b":path") or b"").decode("latin-1")
        self.route = route = front.routes.find(path)
        if route is None:
            raise MappingError(Status.UNIMPLEMENTED, f"no route for {path[:200]}")
        keyed = route.keyed or first_value(headers, b"idempotency-key") is not None
        grade = front.classes.class_index(route.class_name, keyed)
        if grade is None:
            raise MappingError(Status.INTERNAL, f"{route.class_name} is no class")
        call_id = first_value(headers, b"x-call-id") or b"grpc-%d" % next(front.call_numbers)
        if len(call_id) > MAX_CALL_ID_BYTES:
            raise MappingError(Status.INVALID_ARGUMENT, "x-call-id is too long")
        max_budget = front.engine.settings.request_classes[grade].deadline
        if route.streams:
            max_budget = max(max_budget, front.table.stream_most_s * 1000 * MS)
        budget = budget_of(headers, max_budget)
        if budget <= 0:
            raise MappingError(Status.DEADLINE_EXCEEDED, "grpc-timeout leaves no time")
        self.call = call = Call(self, call_id, front.transport, self)
        call.class_index, call.budget, call.key = grade, budget, ""
        call.tenant = (first_value(headers, b"x-caller") or b"").decode("latin-1")
        call.caller = front.classes.tenant_index(call.tenant)
        call.is_retry = (first_value(headers, b"grpc-previous-rpc-attempts") or b"0") != b"0"
        return call

    def data(self, data: bytes, flow_bytes: int) -> None:
        """Handle a part of the request."""
        self.request_bytes += len(data)
        self.unsent_request_bytes += flow_bytes
        self.replayable = self.replayable and self.request_bytes <= MAX_REPLAY_BYTES
        sending = [attempt for attempt in self._open_attempts() if attempt.sender is not None]
        if self.replayable or not self.request_taken:
            self.request_chunks.append(data)
        elif self.request_chunks:
            self.request_chunks = []
        for attempt in sending:
            attempt.send_data(data)
        if self.replayable:
            self.request_sent(flow_bytes)  # buffered here; a longer request waits for a server

    def end(self) -> None:
        self.request_ended = True
        for attempt in self._open_attempts():
            attempt.end()

    def reset(self) -> None:
        """Cancel the call: the client reset the stream or disconnected."""
        self._end_request()
        call, self.call = self.call, None
        if call is None:
            return
        engine, attempts = self.connection.front.engine, self._open_attempts(call)
        engine.client_left(call)
        for attempt in attempts:
            if not attempt.over:
                engine.cancel(attempt)

    def _open_attempts(self, call: Call | None = None) -> list[GrpcAttempt]:
        call = call or self.call
        if call is None:
            return []
        return [attempt for attempt in call.attempts if isinstance(attempt, GrpcAttempt) and not attempt.over]

    # Called by the transport

    def request_headers(self, remaining: int) -> Headers:
        path, authority = first_value(self.headers, b":path"), first_value(self.headers, b":authority")
        return [
            (b":method", b"POST"),
            (b":scheme", b"http"),
            (b":path", path or b"/"),
            (b":authority", authority or b"backend.local"),
            (b"te", b"trailers"),
            (b"grpc-timeout", timeout_text(remaining)),
            *forwarded_metadata(self.headers),
            *self._call_id_header(),
        ]

    def _call_id_header(self) -> Headers:
        """Return the call's generated id if the client sent none: servers identify calls by their ids."""
        if self.call is None or first_value(self.headers, b"x-call-id") is not None:
            return []
        return [(b"x-call-id", self.call.call_id)]

    def can_start(self) -> bool:
        """Whether the whole request is still available for another attempt."""
        return self.replayable or not self.request_taken

    def take_request(self) -> tuple[list[bytes], bool]:
        """Return the request's data received so far, and whether the request is complete."""
        self.request_taken = True
        chunks = list(self.request_chunks)
        if not self.replayable:
            self.request_chunks = []
        return chunks, self.request_ended

    def request_sent(self, size: int) -> None:
        """Let the client send `size` more bytes: as many are no longer waiting for a server."""
        size = min(size, self.unsent_request_bytes)
        self.unsent_request_bytes -= size
        self.connection.acknowledge(self.stream_id, size)

    def _end_request(self) -> None:
        """Return what the request still holds of its connection's window."""
        self.closed = True
        self.request_sent(self.unsent_request_bytes)

    def got_headers(self, attempt: GrpcAttempt, headers: Headers) -> None:
        attempt.answer = headers

    def got_data(self, attempt: GrpcAttempt, data: bytes, flow_bytes: int) -> None:
        if self.streaming_attempt is attempt:
            self._pass_on(attempt, data, flow_bytes)
            return
        if self.streaming_attempt is not None:
            attempt.consumed(flow_bytes)
            return
        attempt.buffered.append(data)
        attempt.buffered_bytes += len(data)
        attempt.consumed(flow_bytes)
        route = self.route
        if (route is not None and route.streams) or attempt.buffered_bytes > MAX_BUFFERED_ANSWER_BYTES:
            self._start_streaming(attempt)

    def _start_streaming(self, attempt: GrpcAttempt) -> None:
        """Pass on this attempt's answer from now on, and cancel the other attempts."""
        call, engine = self.call, self.connection.front.engine
        if call is None or call.answered:
            return
        self.streaming_attempt = attempt
        engine.post(StreamBegan(call.id, attempt.number))
        for other in self._open_attempts():
            if other is not attempt:
                engine.cancel(other)
        self.connection.send_headers(self.stream_id, answer_headers(attempt.answer), more=True)
        buffered, attempt.buffered = attempt.buffered, []
        for data in buffered:
            self._pass_on(attempt, data, 0)

    def _pass_on(self, attempt: GrpcAttempt, data: bytes, flow_bytes: int) -> None:
        self.unacknowledged.append((attempt, flow_bytes))
        self.sender.add(data)
        self.connection.flush_stream(self)

    def _answer_sent(self, size: int) -> None:
        """Let the server send more once at most half a window of the answer is queued for the client.

        Called when the client's connection has accepted part of the answer.
        """
        if self.sender.queued_bytes <= STREAM_WINDOW // 2:
            unacknowledged, self.unacknowledged = self.unacknowledged, []
            for attempt, flow_bytes in unacknowledged:
                attempt.consumed(flow_bytes)

    def got_end(self, attempt: GrpcAttempt, trailers: Headers | None) -> None:
        attempt.over = True
        engine = self.connection.front.engine
        status = status_of(attempt.answer, trailers)
        rejected = first_value(trailers or attempt.answer, b"x-rejected") == b"1"
        outcome = outcome_of(status, rejected)
        if self.streaming_attempt is attempt:
            engine.attempt_ended(attempt, outcome, (), lambda: self._finish(trailers))
        elif outcome is Outcome.DONE:
            answer, buffered = attempt.answer, attempt.buffered
            engine.attempt_ended(attempt, outcome, (), lambda: self._deliver(answer, buffered, trailers))
        else:
            self.last_failure = (attempt.answer, attempt.buffered, trailers, status)
            engine.attempt_ended(attempt, self._final_outcome(outcome))

    def lost(self, attempt: GrpcAttempt, outcome: Outcome) -> None:
        if attempt.over:
            return
        attempt.over = True
        engine = self.connection.front.engine
        if self.streaming_attempt is attempt:
            engine.attempt_ended(attempt, outcome, (), lambda: self._abort(ErrorCodes.INTERNAL_ERROR))
        else:
            engine.attempt_ended(attempt, self._final_outcome(outcome))

    def _final_outcome(self, outcome: Outcome) -> Outcome:
        """Return the outcome to report for a failed attempt.

        A request that is too long to be sent again is reported as BAD_REQUEST, which is not retried.
        """
        return outcome if self.can_start() else Outcome.BAD_REQUEST

    # Called by the engine

    def refused(self, retry_after: int, over_share: bool) -> None:
        self._answer_only(refusal(retry_after, over_share))

    def failed(self, status: int) -> None:
        if self.streaming_attempt is not None:
            self._abort(ErrorCodes.CANCEL)
        elif status == 504:
            self._answer_only(trailers_only(Status.DEADLINE_EXCEEDED, b"its time was over"))
        elif self.last_failure is not None and self.last_failure[3] not in CLIENT_RETRIED:
            self._deliver(*self.last_failure[:3])
        else:
            self._answer_only(trailers_only(Status.INTERNAL, b"failed, it may have run"))

    # Sending answers

    def _answer_only(self, headers: Headers) -> None:
        self.connection.send_headers(self.stream_id, headers, end=True)
        self._close()

    def _deliver(self, answer: Headers, buffered: list[bytes], trailers: Headers | None) -> None:
        headers_only = trailers is None and not buffered
        self.connection.send_headers(
            self.stream_id, answer_headers(answer), end=headers_only, more=not headers_only
        )
        if headers_only:
            self._close()
            return
        for data in buffered:
            self.sender.add(data)
        self._finish(trailers)

    def _finish(self, trailers: Headers | None) -> None:
        self.sender.end(trailers)
        self.connection.flush_stream(self)  # closes the stream once everything is sent

    def _abort(self, code: ErrorCodes) -> None:
        self.connection.reset(self.stream_id, code)
        self._close()

    def _close(self) -> None:
        """Close the stream after its answer; a client that is still sending receives a reset."""
        self._end_request()
        self.call = None
        self.connection.close_stream(self)


class ClientConnection(asyncio.Protocol):
    """One client's connection."""

    def __init__(self, front: Front) -> None:
        self.front = front
        self.h2 = H2Connection(H2Configuration(client_side=False, header_encoding=None))
        self.streams: dict[int, ServerStream] = {}
        self.flood_limiter = FloodLimiter()
        self.transport: asyncio.Transport | None = None
        self.preface_part = b""  # received part of an incomplete preface
        self.preface_received = False
        self.paused = self.reading = False  # `reading` defers `flush` until one read is processed
        self.arrived_at: int | None = None  # when the bytes in process arrived (monotonic ns); None: now
        self.last_stream_id: int | None = None  # the last accepted stream, once the final GOAWAY is sent

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.front.tls is not None and not self.front.admits(self.transport.get_extra_info("peercert")):
            self.transport.abort()
            return
        self.transport.set_write_buffer_limits(high=MAX_WRITE_BUFFER_BYTES)
        self.front.connections.add(self)
        self.h2.local_settings.update(
            {
                SettingCodes.MAX_CONCURRENT_STREAMS: MAX_STREAMS_PER_CONNECTION,
                SettingCodes.MAX_HEADER_LIST_SIZE: MAX_HEADER_LIST_BYTES,
                SettingCodes.INITIAL_WINDOW_SIZE: STREAM_WINDOW,
            }
        )
        self.h2.initiate_connection()
        self.h2.increment_flow_control_window(CONNECTION_WINDOW)
        if self.front.closing:
            self.flush()
            self.drain()

    def connection_lost(self, error: Exception | None) -> None:
        self.front.connections.discard(self)
        streams, self.streams = list(self.streams.values()), {}
        for stream in streams:
            stream.reset()
        self.front.check_idle()

    def pause_writing(self) -> None:
        self.paused = True

    def resume_writing(self) -> None:
        self.paused = False
        for stream in list(self.streams.values()):
            self.flush_stream(stream)

    def flush(self) -> None:
        """Write pending output; output caused by one read is written together."""
        if self.reading:
            return
        out = self.h2.data_to_send()
        if out and self.transport is not None and not self.transport.is_closing():
            self.transport.write(out)

    def data_received(self, data: bytes) -> None:
        if not self.preface_received and not self._check_preface(data):
            return
        data, self.preface_part = self.preface_part + data, b""
        self.arrived_at = self._late_arrival()
        self.reading = True
        valid = self._read(data)
        self.reading = False
        self.flush()  # includes a GOAWAY with its error code after a protocol error
        if not valid:
            self._close()

    def _late_arrival(self) -> int | None:
        """When the bytes arrived that were just read, if the process was held up meanwhile; None: now."""
        sock = self.transport.get_extra_info("socket") if self.transport is not None else None
        return None if sock is None else late_arrival(sock, time.monotonic_ns())

    def _read(self, data: bytes) -> bool:
        """Process received data; return False if the connection must be closed."""
        try:
            events = self.h2.receive_data(data)
        except ProtocolError:
            return False
        now = self.front.engine.loop.time()
        for event in events:
            if self._is_limited(event) and not self.flood_limiter.allows(now):
                self.h2.close_connection(ErrorCodes.ENHANCE_YOUR_CALM)
                return False
            self._handle_event(event)
        return True

    def _check_preface(self, data: bytes) -> bool:
        """Return whether the HTTP/2 preface is complete; another protocol is answered with 505 and closed."""
        received = self.preface_part + data
        if not PREFACE.startswith(received[: len(PREFACE)]):
            if self.transport is not None:
                self.transport.write(WRONG_PROTOCOL)
            self._close()
            return False
        if len(received) < len(PREFACE):
            self.preface_part = received
            return False
        self.preface_received = True
        return True

    @staticmethod
    def _is_limited(event: object) -> bool:
        """Whether the flood limit applies to the event."""
        if isinstance(event, DataReceived):
            return not event.data and event.stream_ended is None
        return isinstance(event, StreamReset | PingReceived | RemoteSettingsChanged)

    def _handle_event(self, event: object) -> None:
        if isinstance(event, RequestReceived):
            stream_id = event.stream_id or 0
            if self.last_stream_id is not None and stream_id > self.last_stream_id:
                return self.reset(stream_id, ErrorCodes.REFUSED_STREAM)
            stream = self.streams[stream_id] = ServerStream(self, stream_id, event.headers)
            stream.begin()
            return
        if isinstance(event, WindowUpdated | RemoteSettingsChanged):
            changed_id = getattr(event, "stream_id", 0)
            affected = [self.streams.get(changed_id)] if changed_id else list(self.streams.values())
            for changed in affected:
                if changed is not None:
                    self.flush_stream(changed)
            return
        open_stream = self.streams.get(getattr(event, "stream_id", 0) or 0)
        if isinstance(event, DataReceived):
            flow_bytes = event.flow_controlled_length or 0
            if open_stream is not None and not open_stream.closed:
                open_stream.data(event.data or b"", flow_bytes)
            else:
                self.acknowledge(event.stream_id or 0, flow_bytes)
        elif open_stream is not None and isinstance(event, StreamEnded):
            open_stream.end()
        elif open_stream is not None and isinstance(event, StreamReset):
            del self.streams[open_stream.stream_id]
            open_stream.reset()

    # Called by streams

    def send_headers(self, stream_id: int, headers: Headers, end: bool = False, more: bool = False) -> None:
        """Send headers; `more`: data follows at once, so they are written together with it."""
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
        if stream.sender.finished and not stream.closed:
            stream._close()

    def acknowledge(self, stream_id: int, flow_bytes: int) -> None:
        if flow_bytes:
            with contextlib.suppress(H2Error):
                self.h2.acknowledge_received_data(flow_bytes, stream_id)
            self.flush()

    def reset(self, stream_id: int, code: ErrorCodes) -> None:
        with contextlib.suppress(H2Error):
            self.h2.reset_stream(stream_id, code)
        self.flush()

    def close_stream(self, stream: ServerStream) -> None:
        if self.streams.pop(stream.stream_id, None) is not None and not stream.request_ended:
            self.reset(stream.stream_id, ErrorCodes.NO_ERROR)
        self.front.check_idle()

    def drain(self) -> None:
        """Announce the shutdown, refuse new streams after `GOAWAY_INTERVAL_S` and let open ones finish."""
        self._send_goaway(MAX_STREAM_ID)
        self.front.engine.loop.call_later(GOAWAY_INTERVAL_S, self._finish_drain)

    def _finish_drain(self) -> None:
        self.last_stream_id = self.h2.highest_inbound_stream_id
        self._send_goaway(self.last_stream_id)
        if not self.streams:
            self._close()

    def _send_goaway(self, last_stream_id: int) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(goaway_frame(last_stream_id))

    def _close(self) -> None:
        if self.transport is not None:
            self.transport.close()


class Front:
    """The gRPC server; `start` raises OSError if the address cannot be bound."""

    def __init__(
        self,
        table: Grpc,
        engine: Engine,
        transport: GrpcTransport,
        classes: Classes,
        tls: ssl.SSLContext | None = None,
        admits: Callable[[Any], bool] = lambda peer: True,
    ) -> None:
        self.table = table
        self.tls = tls
        self.admits = admits  # whether a client's certificate is accepted
        self.engine = engine
        self.transport = transport
        self.classes = classes
        self.routes = Routes(table.routes, table.default)
        self.connections: set[ClientConnection] = set()
        self.call_numbers = count(1)
        self.server: asyncio.Server | None = None
        self.port = 0
        self.closing = False
        self.idle: asyncio.Future[None] | None = None  # set while `close` waits for open streams

    def renew(self, table: Grpc) -> None:
        """Apply changed routes and times; other settings need a restart."""
        self.routes = Routes(table.routes, table.default)
        self.table = table

    async def start(self, address: Address) -> Front:
        handshake_timeout = HANDSHAKE_TIMEOUT_S if self.tls is not None else None
        self.server = await self.engine.loop.create_server(
            lambda: ClientConnection(self), *address, ssl=self.tls, ssl_handshake_timeout=handshake_timeout
        )
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def close(self, grace_s: float) -> None:
        """Drain: send GOAWAY, finish open calls within `grace_s` seconds (0: none), then close everything."""
        self.closing = True
        for connection in list(self.connections):
            connection.drain()
        if self.server is not None:
            await self._stop_listening(self.server, at_once=not grace_s)
        if grace_s:
            # Accept streams that were sent before the clients received GOAWAY.
            await asyncio.sleep(GOAWAY_INTERVAL_S)
        self.idle = self.engine.loop.create_future()
        self.check_idle()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(asyncio.shield(self.idle), grace_s)
        for connection in list(self.connections):
            connection._close()
        self.transport.close()

    async def _stop_listening(self, server: asyncio.Server, at_once: bool) -> None:
        """Accept the connections in the backlog, so that their clients receive GOAWAY, then close."""
        if not at_once:
            await drain_duplicates([duplicate(sock.fileno()) for sock in server.sockets])
        server.close()

    def check_idle(self) -> None:
        """End the wait of `close` if no stream is open."""
        if (
            self.idle is not None
            and not self.idle.done()
            and not any(connection.streams for connection in self.connections)
        ):
            self.idle.set_result(None)


def client_tls(table: Grpc) -> ssl.SSLContext:
    """Return the TLS context for servers, whose certificates have to contain their addresses."""
    context = ssl.create_default_context(cafile=table.server_ca)
    context.set_alpn_protocols(["h2"])
    return context


def answer_headers(headers: Headers) -> Headers:
    """Return a server's headers for the client, without hop-by-hop headers."""
    return [(name, value) for name, value in headers if name not in (b"connection", b"transfer-encoding")]
