"""One request to one address, and the answer to it."""

from __future__ import annotations

import asyncio
from typing import Protocol

from garnethaven.net.flow import StreamedBody

Header = tuple[bytes, bytes]

# Maximum body of an answer that can't be streamed, because another attempt's answer is streamed or the status
# is not 200. A longer answer fails the exchange.
BODY_LIMIT = 512 * 1024
MAX_HOLD_S = 1.5  # clients of long answers wait at most 2 s for the bytes that the endpoint has sent


class Answer:
    """A response, as far as it has been received."""

    __slots__ = ("body", "headers", "length", "size", "status")

    def __init__(self) -> None:
        self.status = 0
        self.headers: list[Header] = []
        self.body = bytearray()  # what was received and not streamed
        self.size = 0  # bytes of the body received
        self.length: int | None = None  # of the body in bytes, if the head states it

    def header(self, wanted: bytes) -> bytes | None:
        for name, value in self.headers:
            if name.lower() == wanted:
                return value
        return None


class ExchangeConnection(Protocol):
    """The connection that an exchange is on."""

    flushed: bool  # the kernel has taken the last byte of the request

    def drop(self) -> None: ...
    def pause(self) -> None: ...
    def resume(self) -> None: ...


class Exchange:
    """One request to one address and its outcome; subclasses override the callbacks that they need."""

    body_limit = BODY_LIMIT

    def __init__(self, payload: tuple[bytes | bytearray, ...]) -> None:
        self.payload = payload
        self.connection: ExchangeConnection | None = None
        self.dial: asyncio.Task[None] | None = None
        self.over = False  # its outcome is known, or nothing waits for it any more
        self.refused = False  # the endpoint could not be connected to; not set for a local resource shortage
        self.oversized = False  # the answer exceeded its size limit
        self.stale = False  # its reused connection ended before any byte of an answer was received
        self.careful = False  # must not be lost: is not sent on a connection that may be dead
        self.again = False  # a retry of an attempt that may have failed because its connection was dead
        self.skipped = False  # was not attempted, for a reason that is not the endpoint's failure
        self.hindered = False  # waits because system calls on this machine fail at present
        self.body: StreamedBody | None = None  # follows the payload, streamed from the client
        self.answer_begun = False  # the head of its answer was received
        self.stalled = False  # its answer has begun and pauses
        self.was_moved = False  # was moved to another connection once, before it had been written

    def message(self) -> tuple[bytes | bytearray, ...]:
        """The bytes to write, computed at the time of writing."""
        return self.payload

    def answered(self, answer: Answer) -> None:
        """The answer is complete; `answer.body` has what was not streamed."""

    def begin_streaming(self, answer: Answer) -> bool:
        """Whether to stream an answer that is too long to be buffered, by `body_received`, from now on."""
        return False

    def body_received(self, data: bytes) -> None:
        """The next part of the body of a streamed answer."""

    def answer_stalled(self) -> bool:
        """The answer has begun and pauses; returns whether to wait on. Called again while it pauses."""
        return False

    def answer_resumed(self) -> None:
        """The answer goes on, after `answer_stalled` has returned True."""

    def max_hold_s(self) -> float:
        """Seconds after which an answer that states no length is streamed, however short it is so far."""
        return MAX_HOLD_S

    def broken(self, written: bool) -> None:
        """The exchange failed; `written` is whether the kernel had taken the whole request."""

    def request_written(self) -> None:
        """The kernel has taken the last byte of the request."""

    def may_begin(self) -> bool:
        """Whether the request may still be written, after a dial or a wait."""
        return True

    def patience_s(self) -> float:
        """Seconds to wait at this target while local system calls fail; at least the dial timeout applies."""
        return 0.0

    def may_open_extra(self) -> bool:
        """Whether a new connection may be opened for it instead of reusing one that has rested briefly."""
        return False

    def answer_has_begun(self) -> bool:
        return self.answer_begun

    def written(self) -> bool:
        return self.connection is not None and self.connection.flushed

    def give_up(self) -> bool:
        """Cancel; returns whether the request had been written and so may have run."""
        self.over = True
        if self.dial is not None:
            self.dial.cancel()
            self.dial = None
        connection, self.connection = self.connection, None
        if connection is None:
            return False
        written = connection.flushed
        connection.drop()
        return written
