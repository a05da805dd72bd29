"""The HTTP/2 transport: attempts as streams on shared connections to servers, over cleartext or TLS.

An attempt may run on the server from the moment its headers are written to a connection, unless a GOAWAY or
RST_STREAM proves that it did not. The front's stream decides which part of an answer the client receives.
"""

from __future__ import annotations

import asyncio
import contextlib
import ssl
import time
from collections import deque
from collections.abc import Callable
from typing import Protocol, cast

from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.errors import ErrorCodes
from h2.events import (
    DataReceived,
    Event,
    RemoteSettingsChanged,
    ResponseReceived,
    StreamEnded,
    StreamReset,
    TrailersReceived,
    WindowUpdated,
)
from h2.exceptions import H2Error, ProtocolError
from h2.settings import SettingCodes

from garnethaven.addresses import Address
from garnethaven.engine.calls import Call
from garnethaven.engine.engine import Engine, S
from garnethaven.grpcs.goaway import FrameSplitter, GoAway
from garnethaven.grpcs.lines import ConnectionLoad, Placement, choose_connection
from garnethaven.grpcs.mapping import Headers, reset_outcome
from garnethaven.grpcs.streams import Sender
from garnethaven.interface import Outcome, Send

MAX_STREAMS_PER_CONNECTION = 1000  # even if the server allows more
STREAM_WINDOW = 64 * 1024  # bytes
CONNECTION_WINDOW = 16 * 1024 * 1024  # bytes; large, so that slowly read streams do not block the others


class Stream(Protocol):
    """The front's side of a call, as the transport uses it."""

    def request_headers(self, remaining: int) -> Headers: ...
    def can_start(self) -> bool: ...
    def take_request(self) -> tuple[list[bytes], bool]: ...
    def got_headers(self, attempt: GrpcAttempt, headers: Headers) -> None: ...
    def got_data(self, attempt: GrpcAttempt, data: bytes, flow_bytes: int) -> None: ...
    def got_end(self, attempt: GrpcAttempt, trailers: Headers | None) -> None: ...
    def lost(self, attempt: GrpcAttempt, outcome: Outcome) -> None: ...
    def request_sent(self, size: int) -> None: ...


class GrpcAttempt:
    """One attempt of a call at one server; implements the engine's `Attempt`."""

    def __init__(
        self, transport: GrpcTransport, stream: Stream, call: Call, endpoint: int, limit: int, now: int
    ) -> None:
        self.transport = transport
        self.stream = stream
        self.call = call
        self.endpoint = endpoint
        self.limit = limit
        self.number = len(call.attempts)
        self.sent_at = now
        self.ends_at = now + limit
        self.server = transport.engine.balancer.servers.get(endpoint)  # replaced when the server restarts
        self.over = self.refused = self.hindered = False
        self.headers_sent = False  # written to a connection
        self.connection: ServerConnection | None = None
        self.stream_id = 0
        self.sender: Sender | None = None
        self.answer: Headers = []
        self.buffered: list[bytes] = []  # the answer's data before the front passes it on
        self.buffered_bytes = 0
        self.trailers: Headers | None = None
        self.unacknowledged_bytes = 0  # flow-control bytes of the answer that are not acknowledged yet

    def start(self) -> None:
        target = self.transport.target(self.endpoint)
        if not self.stream.can_start():
            self.stream.lost(self, Outcome.SKIPPED)
        elif target is None:
            self.stream.lost(self, Outcome.CONNECT_FAILED)
        else:
            target.start(self)

    def may_start(self) -> bool:
        """Whether the attempt may still start after waiting for a connection.

        Not after its deadline, and not if the server has restarted meanwhile, since it is cold then.
        """
        server = self.transport.engine.balancer.servers.get(self.endpoint)
        return server is self.server and time.monotonic_ns() < self.ends_at

    def remaining(self) -> int:
        """Return the server's remaining time in nanoseconds; time spent dialling is deducted."""
        return max(1, min(self.limit, self.ends_at - time.monotonic_ns()))

    def give_up(self) -> bool:
        self.over = True
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.cancel(self.stream_id)
        return self.headers_sent

    def written(self) -> bool:
        return self.headers_sent

    def answer_has_begun(self) -> bool:
        return bool(self.answer)

    # From the front's stream

    def send_data(self, data: bytes) -> None:
        """Send more of the request, which has arrived from the client."""
        if self.sender is not None and self.connection is not None:
            self.sender.add(data)
            self.connection.flush_stream(self.stream_id)

    def end(self) -> None:
        if self.sender is not None and self.connection is not None:
            self.sender.end()
            self.connection.flush_stream(self.stream_id)
            self.count_sent()

    def count_sent(self) -> None:
        """Count an attempt whose complete request was passed to the connection."""
        self.transport.engine.account.attempts += 1

    def consumed(self, flow_bytes: int) -> None:
        """The answer's data is no longer buffered: reopen the flow-control window by `flow_bytes`."""
        if self.connection is not None and flow_bytes:
            self.unacknowledged_bytes -= flow_bytes
            self.connection.acknowledge(self.stream_id, flow_bytes)


class ServerConnection(asyncio.Protocol):
    """One HTTP/2 connection to a server."""

    def __init__(self, target: Target) -> None:
        self.target = target
        self.h2 = H2Connection(H2Configuration(client_side=True, header_encoding=None))
        self.splitter = FrameSplitter()
        self.attempts: dict[int, GrpcAttempt] = {}
        self.max_streams = 0
        self.settings_received = False  # until then the server's stream limit is unknown
        self.draining = False  # no new streams
        self.reading = False  # defers `flush` until one read is processed
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.h2.local_settings.update(
            {SettingCodes.ENABLE_PUSH: 0, SettingCodes.INITIAL_WINDOW_SIZE: STREAM_WINDOW}
        )
        self.h2.initiate_connection()
        self.h2.increment_flow_control_window(CONNECTION_WINDOW)
        self.flush()

    def accepts_streams(self) -> bool:
        """Whether new streams are possible, apart from the stream limit."""
        usable = self.transport is not None and not self.transport.is_closing()
        return self.settings_received and usable and not self.draining

    def flush(self) -> None:
        """Write pending output; output caused by one read is written together."""
        if self.reading:
            return
        out = self.h2.data_to_send()
        if out and self.transport is not None:
            self.transport.write(out)

    # Streams

    def start_stream(self, attempt: GrpcAttempt) -> None:
        stream_id = self.h2.get_next_available_stream_id()
        attempt.connection, attempt.stream_id = self, stream_id
        attempt.sender = Sender(self.h2, stream_id, attempt.stream.request_sent)
        self.attempts[stream_id] = attempt
        self.h2.send_headers(stream_id, attempt.stream.request_headers(attempt.remaining()))
        attempt.headers_sent = True
        chunks, ended = attempt.stream.take_request()
        for chunk in chunks:
            attempt.sender.add(chunk)
        if ended:
            attempt.sender.end()
            attempt.count_sent()
        self.flush_stream(stream_id)

    def flush_stream(self, stream_id: int) -> None:
        attempt = self.attempts.get(stream_id)
        if attempt is not None and attempt.sender is not None:
            with contextlib.suppress(H2Error):  # the server has closed the stream
                attempt.sender.flush()
        self.flush()

    def acknowledge(self, stream_id: int, flow_bytes: int) -> None:
        with contextlib.suppress(H2Error):
            self.h2.acknowledge_received_data(flow_bytes, stream_id)
        self.flush()

    def _release_window(self, attempt: GrpcAttempt) -> None:
        """Return what an ended attempt still holds of the connection's window."""
        held, attempt.unacknowledged_bytes = attempt.unacknowledged_bytes, 0
        self.acknowledge(attempt.stream_id, held)

    def cancel(self, stream_id: int) -> None:
        attempt = self.attempts.pop(stream_id, None)
        if attempt is not None:
            self._release_window(attempt)
            with contextlib.suppress(H2Error):
                self.h2.reset_stream(stream_id, ErrorCodes.CANCEL)
            self.flush()
            self.target.start_waiting()

    # Events

    def data_received(self, data: bytes) -> None:
        valid, self.reading = True, True
        try:
            for part in self.splitter.feed(data):
                if isinstance(part, GoAway):
                    self._on_goaway(part.last_stream_id)
                else:
                    self._handle_events(self.h2.receive_data(part))
        except (ProtocolError, ValueError):
            valid = False
        self.reading = False
        self.flush()
        if not valid:
            self._close()

    def _handle_events(self, events: list[Event]) -> None:
        for event in events:
            if isinstance(event, RemoteSettingsChanged):
                self.settings_received = True
                self.max_streams = min(
                    self.h2.remote_settings.max_concurrent_streams, MAX_STREAMS_PER_CONNECTION
                )
                self.target.start_waiting()
            elif isinstance(event, WindowUpdated):
                for stream_id in [event.stream_id] if event.stream_id else list(self.attempts):
                    self.flush_stream(stream_id)
            else:
                self._handle_stream_event(event)

    def _handle_stream_event(self, event: object) -> None:
        attempt = self.attempts.get(getattr(event, "stream_id", 0) or 0)
        if attempt is None:
            if isinstance(event, DataReceived):
                self.acknowledge(event.stream_id, event.flow_controlled_length or 0)
            return
        if isinstance(event, ResponseReceived):
            attempt.stream.got_headers(attempt, event.headers)
        elif isinstance(event, DataReceived):
            flow_bytes = event.flow_controlled_length or 0
            attempt.unacknowledged_bytes += flow_bytes
            attempt.stream.got_data(attempt, event.data or b"", flow_bytes)
        elif isinstance(event, TrailersReceived):
            attempt.trailers = event.headers
        elif isinstance(event, StreamEnded):
            self._remove(attempt)
            if attempt.sender is not None and not attempt.sender.finished:
                with contextlib.suppress(H2Error):  # the server answered before the request was complete
                    self.h2.reset_stream(attempt.stream_id, ErrorCodes.NO_ERROR)
            attempt.stream.got_end(attempt, attempt.trailers)
        elif isinstance(event, StreamReset):
            self._remove(attempt)
            attempt.stream.lost(attempt, reset_outcome(int(event.error_code or 0), attempt.headers_sent))

    def _remove(self, attempt: GrpcAttempt) -> None:
        self.attempts.pop(attempt.stream_id, None)
        self._release_window(attempt)
        attempt.connection = None
        if self.draining and not self.attempts:
            self._close()
        self.target.start_waiting()

    def _on_goaway(self, last_stream_id: int) -> None:
        """Streams above the last id never ran and are reported as skipped; the others continue."""
        self.draining = True
        for stream_id in [open_id for open_id in self.attempts if open_id > last_stream_id]:
            attempt = self.attempts.pop(stream_id)
            attempt.connection = None
            attempt.stream.lost(attempt, Outcome.SKIPPED)
        if not self.attempts:
            self._close()

    def drain(self) -> None:
        """Accept no new streams and close once the open ones have ended."""
        self.draining = True
        if not self.attempts:
            self._close()

    def _close(self) -> None:
        self.draining = True
        if self.transport is not None:
            self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        self.draining = True
        self.target.remove(self)
        attempts, self.attempts = list(self.attempts.values()), {}
        for attempt in attempts:
            attempt.connection = None
            attempt.stream.lost(attempt, Outcome.RESET if attempt.headers_sent else Outcome.CONNECT_FAILED)


class Target:
    """One server's connections and the attempts that wait for one of them."""

    def __init__(self, transport: GrpcTransport, endpoint: int, address: Address) -> None:
        self.transport = transport
        self.endpoint = endpoint
        self.address = address
        self.connections: list[ServerConnection] = []
        self.waiting: deque[GrpcAttempt] = deque()
        self.dials: set[asyncio.Task[None]] = set()

    def start(self, attempt: GrpcAttempt) -> None:
        placement = self._place(len(self.waiting))
        if isinstance(placement, ServerConnection):
            placement.start_stream(attempt)
            return
        if placement is Placement.SKIP_SERVER:
            attempt.stream.lost(attempt, Outcome.SKIPPED)
            return
        self.waiting.append(attempt)
        self.transport.loop.call_later(self.transport.dial_s, self._wait_expired, attempt)
        if placement is Placement.OPEN:
            task = self.transport.loop.create_task(self._dial())
            self.dials.add(task)
            task.add_done_callback(self.dials.discard)

    def _place(self, waiting: int) -> ServerConnection | Placement:
        loads = [
            ConnectionLoad(len(connection.attempts), connection.max_streams, connection.accepts_streams())
            for connection in self.connections
        ]
        opening = bool(self.dials) or any(not connection.settings_received for connection in self.connections)
        placement = choose_connection(loads, opening, waiting)
        return placement if isinstance(placement, Placement) else self.connections[placement]

    def _wait_expired(self, attempt: GrpcAttempt) -> None:
        """Report an attempt as skipped after the dial timeout: another server may have room."""
        if attempt in self.waiting and not attempt.over:
            self.waiting.remove(attempt)
            attempt.stream.lost(attempt, Outcome.SKIPPED)

    async def _dial(self) -> None:
        connection: ServerConnection | None = None
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(self.transport.dial_s):
                _, connection = await self.transport.loop.create_connection(
                    lambda: ServerConnection(self), *self.address, ssl=self.transport.tls
                )
        if connection is not None:
            self.connections.append(connection)
            self.start_waiting()
            # An endpoint that was removed while dialling is out of reach of `_drop_stale_targets`.
            if self.transport.targets.get(self.endpoint) is not self:
                connection.drain()
            return
        waiting, self.waiting = list(self.waiting), deque()
        for attempt in waiting:
            if not attempt.over:
                attempt.refused = True
                attempt.stream.lost(attempt, Outcome.CONNECT_FAILED)

    def start_waiting(self) -> None:
        """Start waiting attempts, as far as connections have room."""
        while self.waiting:
            if self.waiting[0].over:
                self.waiting.popleft()
                continue
            if not self.transport.accepts_new(self.endpoint, self.address):
                self._fail_waiting(Outcome.CONNECT_FAILED)
                return
            if not self.waiting[0].may_start():
                expired = self.waiting.popleft()
                expired.stream.lost(expired, Outcome.SKIPPED)
                continue
            placement = self._place(0)
            if placement is Placement.SKIP_SERVER:
                self._fail_waiting(Outcome.SKIPPED)
            if not isinstance(placement, ServerConnection):
                return
            placement.start_stream(self.waiting.popleft())

    def _fail_waiting(self, outcome: Outcome) -> None:
        """End all waiting attempts: the server drains, is no longer listed or accepts no streams."""
        waiting, self.waiting = list(self.waiting), deque()
        for attempt in waiting:
            if not attempt.over:
                attempt.stream.lost(attempt, outcome)

    def remove(self, connection: ServerConnection) -> None:
        with contextlib.suppress(ValueError):
            self.connections.remove(connection)
        if self.waiting and not self.connections and not self.dials:
            self._fail_waiting(Outcome.CONNECT_FAILED)

    def close(self) -> None:
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()


class GrpcTransport:
    """The HTTP/2 connections to all servers.

    `address_of` returns an endpoint's address for gRPC, or None if it has none.
    """

    def __init__(
        self,
        engine: Engine,
        loop: asyncio.AbstractEventLoop,
        address_of: Callable[[int], Address | None],
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.tls = tls
        self.engine = engine
        self.loop = loop
        self.address_of = address_of
        self.dial_s = (engine.settings.dial_timeout or S) / S
        self.targets: dict[int, Target] = {}

    def attempt(self, call: Call, action: Send, limit: int, now: int) -> GrpcAttempt:
        stream: Stream = call.request
        return GrpcAttempt(self, stream, call, action.endpoint, limit, now)

    def accepts_new(self, endpoint: int, address: Address) -> bool:
        """Whether new attempts may still be sent to the endpoint at `address`."""
        return self.engine.balancer.accepts_attempts(endpoint) and self.address_of(endpoint) == address

    def target(self, endpoint: int) -> Target | None:
        address = self.address_of(endpoint)
        target = self.targets.get(endpoint)
        if target is not None and target.address == address:
            return target
        self._drop_stale_targets()
        if address is None:
            return None
        created = self.targets[endpoint] = Target(self, endpoint, address)
        return created

    def _drop_stale_targets(self) -> None:
        """Drain connections to endpoints that were removed or have moved; their open streams finish."""
        for endpoint in [
            known for known, target in self.targets.items() if self.address_of(known) != target.address
        ]:
            for connection in list(self.targets.pop(endpoint).connections):
                connection.drain()

    def close(self) -> None:
        for target in self.targets.values():
            target.close()
