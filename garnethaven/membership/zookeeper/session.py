"""One session with a ZooKeeper ensemble, without I/O: bytes and times in, events and bytes out.

| state | what came | what follows |
| --- | --- | --- |
| IDLE | `connect` | the connect request is written; GREETING |
| GREETING | an answer with a session | `Began` (new) or `Resumed`; UP |
| GREETING | an answer without one | `Expired`: the session and what it owned are gone; IDLE |
| GREETING | a host that has seen less than we have | it is left (`Behind`); IDLE |
| UP | a reply | `Replied` for the request that it belongs to; replies come in order |
| UP | an event | `Noticed` |
| UP | silence for two thirds of the session's time | `Dead`: the connection is given up; IDLE |
| any | the connection's end | all requests under way end with `Lost`; IDLE |

The largest zxid that any reply told is never gone behind: it is told at each connect, sound hosts then
refuse where they lag, and a host that answers with less all the same is left. A reply that was not asked
for or can't be read ends the connection; a frame beyond `FRAME_MOST` is not waited for.

Times are seconds of the caller's clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from garnethaven.membership.zookeeper import records
from garnethaven.membership.zookeeper.records import (
    AUTH_XID,
    FRAME_MOST,
    INT,
    PING_XID,
    REQUEST,
    WATCH_XID,
    Code,
    Kind,
    Op,
    Reader,
    RecordError,
)

PING_PART = 1 / 3  # of the session's time: after so much silence of ours a ping is due
DEAD_PART = 2 / 3  # after so much of theirs the host is given up, with time left to find another


class State(Enum):
    IDLE = "no connection"
    GREETING = "waits for the session"
    UP = "up"


@dataclass(slots=True, frozen=True)
class Began:
    """A new session: nothing is watched, nothing owned."""


@dataclass(slots=True, frozen=True)
class Resumed:
    """The same session on another connection: what it owned is there, events may have been lost."""


@dataclass(slots=True, frozen=True)
class Expired:
    """The session is over, and with it what it owned; the next connect begins another."""


@dataclass(slots=True, frozen=True)
class Replied:
    tag: object
    code: int
    body: bytes


@dataclass(slots=True, frozen=True)
class Lost:
    """A request whose reply will not come; it may have been done."""

    tag: object


@dataclass(slots=True, frozen=True)
class Noticed:
    kind: Kind
    path: str


@dataclass(slots=True, frozen=True)
class Left:
    """The connection is of no use: close it and try another host."""

    reason: str
    refused: bool = False  # what we are or proved is not accepted: haste would not help


Event = Began | Resumed | Expired | Replied | Lost | Noticed | Left


class Session:
    """The pure side of one client. `timeout_ms` is wished for; the host says what holds."""

    def __init__(self, timeout_ms: int, digest: str | None = None, read_only: bool = False) -> None:
        self.wished_ms = timeout_ms
        self.digest = digest
        self.read_only = read_only
        self.state = State.IDLE
        self.id = 0
        self.password = bytes(16)
        self.timeout_s = timeout_ms / 1000
        self.seen = 0  # the largest zxid
        self.held = bytearray()
        self.out = bytearray()
        self.xid = 0
        self.under_way: deque[tuple[int, object]] = deque()
        self.heard_at = self.said_at = 0.0
        self.pinged = False  # a ping's reply is to come

    # Ours

    def connect(self, now: float) -> None:
        """A connection is open: greet. The bytes are in `taken`, as all that is to be written."""
        self.state = State.GREETING
        self.pinged = False
        self.held.clear()
        self.out.clear()
        self.heard_at = self.said_at = now
        self.out += records.connect_request(self.seen, self.wished_ms, self.id, self.password, self.read_only)

    def ask(self, op: Op, body: bytes, tag: object) -> None:
        """A request; its reply comes as `Replied` with the tag, or never, as `Lost`."""
        if self.state is not State.UP:
            raise RuntimeError("no session")
        self.xid = self.xid % 0x7FFFFFF0 + 1
        self.under_way.append((self.xid, tag))
        self.out += records.frame(REQUEST.pack(self.xid, op) + body)

    def taken(self, now: float) -> bytes:
        """What is to be written now."""
        out = bytes(self.out)
        self.out.clear()
        if out:
            self.said_at = now
        return out

    # The clock's

    def due(self) -> float:
        """When `tick` is to be called at the latest."""
        dead = self.heard_at + self.timeout_s * DEAD_PART
        return min(dead, self.said_at + self.timeout_s * PING_PART) if self.state is State.UP else dead

    def tick(self, now: float) -> list[Event]:
        if self.state is State.IDLE:
            return []
        if now >= self.heard_at + self.timeout_s * DEAD_PART:
            return [Left("it says nothing")]
        if self.state is State.UP and now >= self.said_at + self.timeout_s * PING_PART:
            self._ping()
        return []

    def _ping(self) -> None:
        self.pinged = True
        self.out += records.frame(REQUEST.pack(PING_XID, Op.PING))

    # Theirs

    def received(self, data: bytes, now: float) -> list[Event]:
        """Bytes have come; what they tell, in order. After a `Left` nothing more is read."""
        self.heard_at = now
        self.held += data
        events: list[Event] = []
        try:
            for message in self._frames():
                events += self._message(message)
                if self.state is State.IDLE or (events and isinstance(events[-1], Left)):
                    break
        except RecordError as problem:
            events.append(Left(f"it can't be read: {problem}"))
        return events

    def closed(self) -> list[Event]:
        """The connection is over, whoever ended it."""
        self.state = State.IDLE
        self.held.clear()
        self.out.clear()
        lost: list[Event] = [Lost(tag) for _, tag in self.under_way]
        self.under_way.clear()
        return lost

    def forget(self) -> None:
        """Begin a new session at the next connect, perhaps with another ensemble."""
        self.id, self.password, self.seen = 0, bytes(16), 0

    def _frames(self) -> Iterator[bytes]:
        at = 0
        try:
            while len(self.held) - at >= INT.size:
                (length,) = INT.unpack_from(self.held, at)
                if not 0 <= length <= FRAME_MOST:
                    raise RecordError(f"a frame of {length} bytes")
                end = at + INT.size + length
                if len(self.held) < end:
                    break
                message = bytes(self.held[at + INT.size : end])
                at = end
                yield message
        finally:
            del self.held[:at]

    def _message(self, message: bytes) -> list[Event]:
        if self.state is State.GREETING:
            return self._greeted(Reader(message))
        read = Reader(message)
        xid, zxid, code = read.reply()
        if xid == WATCH_XID:
            return self._event(read)
        if zxid > 0:
            if zxid < self.seen:
                return [Left(f"it lags: {zxid:#x} is before {self.seen:#x}")]
            self.seen = zxid
        if xid == PING_XID:
            self.pinged = False
            return []
        if xid == AUTH_XID:
            return [] if code == Code.OK else [Left("it refuses our credential", refused=True)]
        if not self.under_way or self.under_way[0][0] != xid:
            raise RecordError(f"a reply to {xid}, which was not asked for")
        _, tag = self.under_way.popleft()
        return [Replied(tag, code, message[read.at :])]

    def _greeted(self, read: Reader) -> list[Event]:
        read.number()
        timeout_ms, session, password = read.number(), read.long(), read.buffer()
        read_only = bool(read.data[read.at]) if read.more() else False
        if not session or timeout_ms <= 0:
            self.state = State.IDLE
            self.id, self.password = 0, bytes(16)
            return [Expired()]
        if read_only and not self.read_only:
            return [Left("it is read-only")]
        resumed = session == self.id
        self.state, self.id, self.password = State.UP, session, password
        self.timeout_s = timeout_ms / 1000
        if self.digest is not None:
            self.out += records.auth_request(self.digest)
        return [Resumed() if resumed else Began()]

    def _event(self, read: Reader) -> list[Event]:
        kind, _, path = read.number(), read.number(), read.string()
        if kind not in set(Kind):
            return []  # of the session, which the connection tells anyway
        if not self.pinged:
            # An event tells no zxid, a ping's reply does: no host that has not seen this will do any more.
            self._ping()
        return [Noticed(Kind(kind), path)]
