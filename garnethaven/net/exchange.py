"""One request to one address, and the answer to it."""

from __future__ import annotations

import asyncio
from typing import Protocol

from garnethaven.net.flow import Body

Header = tuple[bytes, bytes]

# Of an answer that can't go on as it comes: another attempt's has, or it is no 200. Larger ones break off.
BODY_LIMIT = 512 * 1024


class Answer:
    """A response, as far as it has come."""

    __slots__ = ("body", "headers", "length", "size", "status")

    def __init__(self) -> None:
        self.status = 0
        self.headers: list[Header] = []
        self.body: list[bytes] = []
        self.size = 0
        self.length: int | None = None  # of the body, where its framing says so

    def header(self, wanted: bytes) -> bytes | None:
        for name, value in self.headers:
            if name.lower() == wanted:
                return value
        return None


class Carrier(Protocol):
    """The connection that an exchange is on."""

    flushed: bool  # the last byte of its request is with the kernel

    def drop(self) -> None: ...
    def pause(self) -> None: ...
    def resume(self) -> None: ...


class Exchange:
    """One request to one address and what comes of it; its user overrides what it wants to know."""

    body_limit = BODY_LIMIT

    def __init__(self, payload: tuple[bytes | bytearray, ...]) -> None:
        self.payload = payload
        self.connection: Carrier | None = None
        self.dial: asyncio.Task[None] | None = None
        self.over = False
        self.refused = False  # no connection came up, through no shortage of this side
        self.oversized = False  # its answer was longer than may be held
        self.stale = False  # a kept connection ended under it before anything came back
        self.careful = False  # it must not be lost: no connection in doubt is good enough
        self.again = False  # it repeats a try that was lost, perhaps on a connection in doubt
        self.skipped = False  # nothing was tried, through no fault of the endpoint
        self.hindered = False  # it waits because calls of this machine's own fail just now
        self.body: Body | None = None  # that comes behind the payload, as it comes from the client
        self.redone = False  # it has been moved to another connection once, for it had not been written

    def message(self) -> tuple[bytes | bytearray, ...]:
        """The bytes to write, as of the moment of writing."""
        return self.payload

    def answered(self, answer: Answer) -> None:
        """The whole answer has come; all of its body, or what was not passed on."""

    def begins(self, answer: Answer) -> bool:
        """Whether an answer that is too long to be held goes on as it comes, by `more`, from now on."""
        return False

    def more(self, data: bytes) -> None:
        """More of the body of an answer that has begun."""

    def broken(self, written: bool) -> None:
        """No answer will come; `written` tells whether the last byte of the request went out."""

    def went_out(self) -> None:
        """The request's last byte is with the kernel."""

    def may_begin(self) -> bool:
        """Whether what was decided before a dial or a wait still holds at the moment of writing."""
        return True

    def patience_s(self) -> float:
        """Seconds it may wait at this target while calls of this machine's own fail; 0: a dial's."""
        return 0.0

    def may_open_spare(self) -> bool:
        """Whether a new connection may be opened for it in place of one that has rested for a short time."""
        return False

    def written(self) -> bool:
        return self.connection is not None and self.connection.flushed

    def give_up(self) -> bool:
        """Stop waiting; tells whether the request had been written and so may have run."""
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
