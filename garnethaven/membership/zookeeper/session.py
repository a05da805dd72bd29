"""One session with a ZooKeeper ensemble, without I/O: bytes and times in, events and bytes out.

| state | input | result |
| --- | --- | --- |
| IDLE | `connect` | the connect request is written; HANDSHAKE |
| HANDSHAKE | a connect response with a session id | `SessionStarted` (new) or `SessionResumed`; UP |
| HANDSHAKE | a connect response without one | `SessionExpired`: the session and its nodes are gone; IDLE |
| HANDSHAKE | a read-only host, unless `read_only` is set | `HostUnusable` |
| UP | a reply | `ReplyReceived` for its request; replies arrive in the order of the requests |
| UP | a watch event | `WatchEvent` |
| UP | a reply with a zxid below one received before | `HostUnusable`: the host lags |
| UP | nothing received for two thirds of the session timeout | `HostUnusable` |
| any | the connection is closed | every pending request ends with `RequestLost`; IDLE |

The session never accepts a state older than the largest zxid received in a reply: each connect request
carries that zxid, so a correct host that lags refuses the connection, and a host that replies with a
smaller one nevertheless is left. A reply without a matching request or a message that can't be decoded ends
the connection, as does a frame length above `MAX_FRAME_BYTES`.

All times are in seconds of the caller's clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from garnethaven.membership.zookeeper import records
from garnethaven.membership.zookeeper.records import (
    AUTH_XID,
    INT,
    MAX_FRAME_BYTES,
    PING_XID,
    REQUEST,
    WATCH_XID,
    Code,
    Kind,
    Op,
    Reader,
    RecordError,
)

PING_FRACTION = 1 / 3  # of the session timeout without a write: a ping is sent
DEAD_FRACTION = 2 / 3  # of the session timeout without input: another host is tried while the session lives


class State(Enum):
    IDLE = "no connection"
    HANDSHAKE = "waits for the connect response"
    UP = "up"


@dataclass(slots=True, frozen=True)
class SessionStarted:
    """A new session has started: it has no watches and owns no nodes."""


@dataclass(slots=True, frozen=True)
class SessionResumed:
    """The same session continues on a new connection: its nodes exist, watch events may have been lost."""


@dataclass(slots=True, frozen=True)
class SessionExpired:
    """The session and its ephemeral nodes no longer exist; the next connect starts a new session."""


@dataclass(slots=True, frozen=True)
class ReplyReceived:
    """The reply to the request that was made with `tag`; `code` is a ZooKeeper error code, 0 if none."""

    tag: object
    code: int
    body: bytes


@dataclass(slots=True, frozen=True)
class RequestLost:
    """The connection ended before the reply to a request; the host may have executed it."""

    tag: object


@dataclass(slots=True, frozen=True)
class WatchEvent:
    """A watch event: what happened to the node at `path`."""

    kind: Kind
    path: str


@dataclass(slots=True, frozen=True)
class HostUnusable:
    """The connection can't be used: close it and try another host."""

    reason: str
    refused: bool = False  # the host rejected our credential: an immediate retry would fail too


Event = (
    SessionStarted | SessionResumed | SessionExpired | ReplyReceived | RequestLost | WatchEvent | HostUnusable
)


class Session:
    """The protocol state of one client. `timeout_ms` is requested; the host decides the session timeout."""

    def __init__(self, timeout_ms: int, digest: str | None = None, read_only: bool = False) -> None:
        self.requested_timeout_ms = timeout_ms
        self.digest = digest
        self.read_only = read_only
        self.state = State.IDLE
        self.id = 0
        self.password = bytes(16)
        self.timeout_s = timeout_ms / 1000
        self.last_zxid = 0  # the largest zxid received in a reply
        self.input_buffer = bytearray()
        self.output_buffer = bytearray()
        self.xid = 0
        self.pending_requests: deque[tuple[int, object]] = deque()
        self.last_received_at = self.last_sent_at = 0.0
        self.ping_pending = False  # a ping has been sent and not been answered yet

    # Output

    def connect(self, now: float) -> None:
        """Write the connect request on a newly opened connection; `take_output` returns its bytes."""
        self.state = State.HANDSHAKE
        self.ping_pending = False
        self.input_buffer.clear()
        self.output_buffer.clear()
        self.last_received_at = self.last_sent_at = now
        self.output_buffer += records.connect_request(
            self.last_zxid, self.requested_timeout_ms, self.id, self.password, self.read_only
        )

    def request(self, op: Op, body: bytes, tag: object) -> None:
        """Write a request; `ReplyReceived` or `RequestLost` ends it. Raises RuntimeError unless UP."""
        if self.state is not State.UP:
            raise RuntimeError("no session is up")
        self.xid = self.xid % 0x7FFFFFF0 + 1
        self.pending_requests.append((self.xid, tag))
        self.output_buffer += records.frame(REQUEST.pack(self.xid, op) + body)

    def take_output(self, now: float) -> bytes:
        """Remove and return the bytes to write to the connection now."""
        out = bytes(self.output_buffer)
        self.output_buffer.clear()
        if out:
            self.last_sent_at = now
        return out

    # Timers

    def next_tick_at(self) -> float:
        """The time by which `tick` has to be called."""
        dead = self.last_received_at + self.timeout_s * DEAD_FRACTION
        return (
            min(dead, self.last_sent_at + self.timeout_s * PING_FRACTION) if self.state is State.UP else dead
        )

    def tick(self, now: float) -> list[Event]:
        """Write a ping if one is due; `HostUnusable` if the host has been silent for too long."""
        if self.state is State.IDLE:
            return []
        if now >= self.last_received_at + self.timeout_s * DEAD_FRACTION:
            return [HostUnusable("the host sent nothing for two thirds of the session timeout")]
        if self.state is State.UP and now >= self.last_sent_at + self.timeout_s * PING_FRACTION:
            self._ping()
        return []

    def _ping(self) -> None:
        self.ping_pending = True
        self.output_buffer += records.frame(REQUEST.pack(PING_XID, Op.PING))

    # Input

    def received(self, data: bytes, now: float) -> list[Event]:
        """Decode received bytes into events, in order. After a `HostUnusable` the rest is not read."""
        self.last_received_at = now
        self.input_buffer += data
        events: list[Event] = []
        try:
            for message in self._frames():
                events += self._message(message)
                if self.state is State.IDLE or (events and isinstance(events[-1], HostUnusable)):
                    break
        except RecordError as error:
            events.append(HostUnusable(f"a message can't be decoded: {error}"))
        return events

    def closed(self) -> list[Event]:
        """The connection has ended, closed by either side: returns the requests that are lost."""
        self.state = State.IDLE
        self.input_buffer.clear()
        self.output_buffer.clear()
        lost: list[Event] = [RequestLost(tag) for _, tag in self.pending_requests]
        self.pending_requests.clear()
        return lost

    def forget(self) -> None:
        """Start a new session at the next connect, also for another ensemble."""
        self.id, self.password, self.last_zxid = 0, bytes(16), 0

    def _frames(self) -> Iterator[bytes]:
        offset = 0
        try:
            while len(self.input_buffer) - offset >= INT.size:
                (length,) = INT.unpack_from(self.input_buffer, offset)
                if not 0 <= length <= MAX_FRAME_BYTES:
                    raise RecordError(f"the frame length {length} is out of range")
                end = offset + INT.size + length
                if len(self.input_buffer) < end:
                    break
                message = bytes(self.input_buffer[offset + INT.size : end])
                offset = end
                yield message
        finally:
            del self.input_buffer[:offset]

    def _message(self, message: bytes) -> list[Event]:
        if self.state is State.HANDSHAKE:
            return self._handshake_reply(Reader(message))
        reader = Reader(message)
        xid, zxid, code = reader.reply()
        if xid == WATCH_XID:
            return self._watch_event(reader)
        if zxid > 0:
            if zxid < self.last_zxid:
                return [HostUnusable(f"the host lags: its zxid {zxid:#x} is before {self.last_zxid:#x}")]
            self.last_zxid = zxid
        if xid == PING_XID:
            self.ping_pending = False
            return []
        if xid == AUTH_XID:
            return (
                []
                if code == Code.OK
                else [HostUnusable("the host rejects the digest credential", refused=True)]
            )
        if not self.pending_requests or self.pending_requests[0][0] != xid:
            raise RecordError(f"the reply with xid {xid} does not match the oldest pending request")
        _, tag = self.pending_requests.popleft()
        return [ReplyReceived(tag, code, message[reader.offset :])]

    def _handshake_reply(self, reader: Reader) -> list[Event]:
        reader.number()
        timeout_ms, session_id, password = reader.number(), reader.long(), reader.buffer()
        read_only = bool(reader.data[reader.offset]) if reader.has_more() else False
        if not session_id or timeout_ms <= 0:
            self.state = State.IDLE
            self.id, self.password = 0, bytes(16)
            return [SessionExpired()]
        if read_only and not self.read_only:
            return [HostUnusable("the host is read-only")]
        resumed = session_id == self.id
        self.state, self.id, self.password = State.UP, session_id, password
        self.timeout_s = timeout_ms / 1000
        if self.digest is not None:
            self.output_buffer += records.auth_request(self.digest)
        return [SessionResumed() if resumed else SessionStarted()]

    def _watch_event(self, reader: Reader) -> list[Event]:
        kind, _, path = reader.number(), reader.number(), reader.string()
        if kind not in set(Kind):
            return []  # a session state event; the connection itself shows the state
        if not self.ping_pending:
            # An event carries no zxid, the reply to a ping does: it excludes hosts that lag behind it.
            self._ping()
        return [WatchEvent(Kind(kind), path)]
