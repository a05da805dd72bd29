"""The HTTP/2 transport: attempts as streams on shared connections to servers, cleartext with prior knowledge.

What is known of each attempt: whether its headers have left for the connection (then it may run), what
GOAWAY and RST_STREAM prove, and what came back. The front's stream decides what of it goes to the client.
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
from garnethaven.grpcs.goaway import GoAway, Splitter
from garnethaven.grpcs.lines import Line, Next, choose
from garnethaven.grpcs.mapping import Headers, reset_outcome
from garnethaven.grpcs.streams import Sender
from garnethaven.interface import Outcome, Send

STREAMS_MOST = 1000  # on a connection, whatever the server allows
WINDOW = 64 * 1024
CONNECTION_WINDOW = 16 * 1024 * 1024  # so that streams which are read slowly do not hold up the others


class Stream(Protocol):
    """The front's side of a call."""

    def request(self, left: int) -> Headers: ...
    def can_start(self) -> bool: ...
    def so_far(self) -> tuple[list[bytes], bool]: ...
    def got_headers(self, attempt: GrpcAttempt, headers: Headers) -> None: ...
    def got_data(self, attempt: GrpcAttempt, data: bytes, flow: int) -> None: ...
    def got_end(self, attempt: GrpcAttempt, trailers: Headers | None) -> None: ...
    def lost(self, attempt: GrpcAttempt, outcome: Outcome) -> None: ...
    def sent_up(self, size: int) -> None: ...


class GrpcAttempt:
    """One try of a call at one server; the engine's `Attempt`."""

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
        self.server = transport.engine.balancer.servers.get(endpoint)  # one that starts anew is another
        self.over = self.refused = self.hindered = False
        self.sent = False  # its headers have been written to a connection
        self.line: UpLine | None = None
        self.stream_id = 0
        self.sender: Sender | None = None
        self.answer: Headers = []
        self.held: list[bytes] = []
        self.held_size = 0
        self.trailers: Headers | None = None

    def start(self) -> None:
        target = self.transport.target(self.endpoint)
        if not self.stream.can_start():
            self.stream.lost(self, Outcome.SKIPPED)
        elif target is None:
            self.stream.lost(self, Outcome.CONNECT_FAILED)
        else:
            target.start(self)

    def may_begin(self) -> bool:
        """Whether what was decided before the wait for a connection still holds.

        It does not once the request's time is over or the server has started anew: that one is cold.
        """
        server = self.transport.engine.balancer.servers.get(self.endpoint)
        return server is self.server and time.monotonic_ns() < self.ends_at

    def left(self) -> int:
        """Nanoseconds that the server has from now on; what the dial took is not its to spend."""
        return max(1, min(self.limit, self.ends_at - time.monotonic_ns()))

    def give_up(self) -> bool:
        self.over = True
        line, self.line = self.line, None
        if line is not None:
            line.cancel(self.stream_id)
        return self.sent

    def written(self) -> bool:
        return self.sent

    # From the front's stream

    def more(self, data: bytes) -> None:
        """More of the request has come from the client."""
        if self.sender is not None and self.line is not None:
            self.sender.add(data)
            self.line.flush_stream(self.stream_id)

    def end(self) -> None:
        if self.sender is not None and self.line is not None:
            self.sender.end()
            self.line.flush_stream(self.stream_id)
            self.whole()

    def whole(self) -> None:
        """The end of the request has been handed to the connection."""
        self.transport.engine.account.attempts += 1

    def taken(self, flow: int) -> None:
        """So many bytes of the answer are no longer held here."""
        if self.line is not None and flow:
            self.line.acknowledge(self.stream_id, flow)


class UpLine(asyncio.Protocol):
    """One HTTP/2 connection to a server."""

    def __init__(self, target: Target) -> None:
        self.target = target
        self.h2 = H2Connection(H2Configuration(client_side=True, header_encoding=None))
        self.frames = Splitter()
        self.attempts: dict[int, GrpcAttempt] = {}
        self.most = 0
        self.greeted = False  # the server has told its settings: until then its limit is not known
        self.leaving = False  # no new streams
        self.reading = False
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.h2.local_settings.update({SettingCodes.ENABLE_PUSH: 0, SettingCodes.INITIAL_WINDOW_SIZE: WINDOW})
        self.h2.initiate_connection()
        self.h2.increment_flow_control_window(CONNECTION_WINDOW)
        self.flush()

    def takes(self) -> bool:
        """Whether it takes new streams, as far as their number allows."""
        usable = self.transport is not None and not self.transport.is_closing()
        return self.greeted and usable and not self.leaving

    def flush(self) -> None:
        """Write what there is; what comes of one read is written together."""
        if self.reading:
            return
        out = self.h2.data_to_send()
        if out and self.transport is not None:
            self.transport.write(out)

    # Streams

    def carry(self, attempt: GrpcAttempt) -> None:
        stream_id = self.h2.get_next_available_stream_id()
        attempt.line, attempt.stream_id = self, stream_id
        attempt.sender = Sender(self.h2, stream_id, attempt.stream.sent_up)
        self.attempts[stream_id] = attempt
        self.h2.send_headers(stream_id, attempt.stream.request(attempt.left()))
        attempt.sent = True
        chunks, ended = attempt.stream.so_far()
        for chunk in chunks:
            attempt.sender.add(chunk)
        if ended:
            attempt.sender.end()
            attempt.whole()
        self.flush_stream(stream_id)

    def flush_stream(self, stream_id: int) -> None:
        attempt = self.attempts.get(stream_id)
        if attempt is not None and attempt.sender is not None:
            with contextlib.suppress(H2Error):  # the server has ended its side: it asks for no more
                attempt.sender.flush()
        self.flush()

    def acknowledge(self, stream_id: int, flow: int) -> None:
        with contextlib.suppress(H2Error):
            self.h2.acknowledge_received_data(flow, stream_id)
        self.flush()

    def cancel(self, stream_id: int) -> None:
        if self.attempts.pop(stream_id, None) is not None:
            with contextlib.suppress(H2Error):
                self.h2.reset_stream(stream_id, ErrorCodes.CANCEL)
            self.flush()
            self.target.freed()

    # What comes

    def data_received(self, data: bytes) -> None:
        sound, self.reading = True, True
        try:
            for part in self.frames.feed(data):
                if isinstance(part, GoAway):
                    self._going_away(part.last)
                else:
                    self._events(self.h2.receive_data(part))
        except (ProtocolError, ValueError):
            sound = False
        self.reading = False
        self.flush()
        if not sound:
            self._end()

    def _events(self, events: list[Event]) -> None:
        for event in events:
            if isinstance(event, RemoteSettingsChanged):
                self.greeted = True
                self.most = min(self.h2.remote_settings.max_concurrent_streams, STREAMS_MOST)
                self.target.freed()
            elif isinstance(event, WindowUpdated):
                for stream_id in [event.stream_id] if event.stream_id else list(self.attempts):
                    self.flush_stream(stream_id)
            else:
                self._of_stream(event)

    def _of_stream(self, event: object) -> None:
        attempt = self.attempts.get(getattr(event, "stream_id", 0) or 0)
        if attempt is None:
            if isinstance(event, DataReceived):
                self.acknowledge(event.stream_id, event.flow_controlled_length or 0)
            return
        if isinstance(event, ResponseReceived):
            attempt.stream.got_headers(attempt, event.headers)
        elif isinstance(event, DataReceived):
            attempt.stream.got_data(attempt, event.data or b"", event.flow_controlled_length or 0)
        elif isinstance(event, TrailersReceived):
            attempt.trailers = event.headers
        elif isinstance(event, StreamEnded):
            self._forget(attempt)
            if attempt.sender is not None and not attempt.sender.over:
                with contextlib.suppress(H2Error):  # it answered before the request was whole
                    self.h2.reset_stream(attempt.stream_id, ErrorCodes.NO_ERROR)
            attempt.stream.got_end(attempt, attempt.trailers)
        elif isinstance(event, StreamReset):
            self._forget(attempt)
            attempt.stream.lost(attempt, reset_outcome(int(event.error_code or 0), attempt.sent))

    def _forget(self, attempt: GrpcAttempt) -> None:
        self.attempts.pop(attempt.stream_id, None)
        attempt.line = None
        if self.leaving and not self.attempts:
            self._end()
        self.target.freed()

    def _going_away(self, last: int) -> None:
        """Streams above the last one never ran; those up to it go on."""
        self.leaving = True
        for stream_id in [known for known in self.attempts if known > last]:
            attempt = self.attempts.pop(stream_id)
            attempt.line = None
            attempt.stream.lost(attempt, Outcome.SKIPPED)
        if not self.attempts:
            self._end()

    def leave(self) -> None:
        """Take nothing new; end once what is under way has."""
        self.leaving = True
        if not self.attempts:
            self._end()

    def _end(self) -> None:
        self.leaving = True
        if self.transport is not None:
            self.transport.close()

    def connection_lost(self, problem: Exception | None) -> None:
        self.leaving = True
        self.target.forget(self)
        attempts, self.attempts = list(self.attempts.values()), {}
        for attempt in attempts:
            attempt.line = None
            attempt.stream.lost(attempt, Outcome.RESET if attempt.sent else Outcome.CONNECT_FAILED)


class Target:
    """One server's connections, and the attempts that wait for one."""

    def __init__(self, transport: GrpcTransport, endpoint: int, address: Address) -> None:
        self.transport = transport
        self.endpoint = endpoint
        self.address = address
        self.lines: list[UpLine] = []
        self.waiting: deque[GrpcAttempt] = deque()
        self.dials: set[asyncio.Task[None]] = set()

    def start(self, attempt: GrpcAttempt) -> None:
        way = self._next(len(self.waiting))
        if isinstance(way, UpLine):
            way.carry(attempt)
            return
        if way is Next.GIVE_BACK:
            attempt.stream.lost(attempt, Outcome.SKIPPED)
            return
        self.waiting.append(attempt)
        self.transport.loop.call_later(self.transport.dial_s, self._waited, attempt)
        if way is Next.OPEN:
            task = self.transport.loop.create_task(self._dial())
            self.dials.add(task)
            task.add_done_callback(self.dials.discard)

    def _next(self, waiting: int) -> UpLine | Next:
        told = [Line(len(line.attempts), line.most, line.takes()) for line in self.lines]
        opening = bool(self.dials) or any(not line.greeted for line in self.lines)
        way = choose(told, opening, waiting)
        return way if isinstance(way, Next) else self.lines[way]

    def _waited(self, attempt: GrpcAttempt) -> None:
        """Long enough: another server may have room."""
        if attempt in self.waiting and not attempt.over:
            self.waiting.remove(attempt)
            attempt.stream.lost(attempt, Outcome.SKIPPED)

    async def _dial(self) -> None:
        line: UpLine | None = None
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(self.transport.dial_s):
                _, line = await self.transport.loop.create_connection(
                    lambda: UpLine(self), *self.address, ssl=self.transport.tls
                )
        if line is not None:
            self.lines.append(line)
            self.freed()
            if self.transport.targets.get(self.endpoint) is not self:  # listed no more: nobody sweeps it
                line.leave()
            return
        waiting, self.waiting = list(self.waiting), deque()
        for attempt in waiting:
            if not attempt.over:
                attempt.refused = True
                attempt.stream.lost(attempt, Outcome.CONNECT_FAILED)

    def freed(self) -> None:
        """There may be room for those that wait."""
        while self.waiting:
            if self.waiting[0].over:
                self.waiting.popleft()
                continue
            if not self.transport.may_use(self.endpoint, self.address):
                self._abandon(Outcome.CONNECT_FAILED)
                return
            if not self.waiting[0].may_begin():
                late = self.waiting.popleft()
                late.stream.lost(late, Outcome.SKIPPED)
                continue
            line = self._next(0)
            if line is Next.GIVE_BACK:
                self._abandon(Outcome.SKIPPED)
            if not isinstance(line, UpLine):
                return
            line.carry(self.waiting.popleft())

    def _abandon(self, outcome: Outcome) -> None:
        """The server drains, is gone or takes no streams: nothing that has not left goes there."""
        waiting, self.waiting = list(self.waiting), deque()
        for attempt in waiting:
            if not attempt.over:
                attempt.stream.lost(attempt, outcome)

    def forget(self, line: UpLine) -> None:
        with contextlib.suppress(ValueError):
            self.lines.remove(line)
        if self.waiting and not self.lines and not self.dials:
            self._abandon(Outcome.CONNECT_FAILED)

    def close(self) -> None:
        for line in list(self.lines):
            if line.transport is not None:
                line.transport.abort()


class GrpcTransport:
    """All servers' HTTP/2 connections. `address_of` gives a server's address for gRPC.

    None where it has none.
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

    def may_use(self, endpoint: int, address: Address) -> bool:
        """Whether something new may still go there."""
        return self.engine.balancer.accepts_attempts(endpoint) and self.address_of(endpoint) == address

    def target(self, endpoint: int) -> Target | None:
        address = self.address_of(endpoint)
        known = self.targets.get(endpoint)
        if known is not None and known.address == address:
            return known
        self._sweep()
        if address is None:
            return None
        made = self.targets[endpoint] = Target(self, endpoint, address)
        return made

    def _sweep(self) -> None:
        """Let go of servers that are listed no more; streams that are under way there end by themselves."""
        for endpoint in [
            known for known, its in self.targets.items() if self.address_of(known) != its.address
        ]:
            for line in list(self.targets.pop(endpoint).lines):
                line.leave()

    def close(self) -> None:
        for target in self.targets.values():
            target.close()
