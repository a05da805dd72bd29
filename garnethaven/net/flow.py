"""A request's body that is too long to be held: from the client's connection to one endpoint's, as it comes.

Each side's full buffer pauses the other side's reading, so that a body takes up little whatever its length.
Until more than `KEPT` bytes have been passed on the whole of what came is still here, and may go to another
endpoint; from then on the body can't be sent again.
"""

from __future__ import annotations

from typing import Protocol

# As much as is kept of a body for another endpoint, and as may wait for a connection. Large enough that a
# dial or an endpoint that turns requests away costs nobody a request; it would do harm only by its sum,
# which is what one read brings (RECEIVE_BUFFER) more, for each client connection.
KEPT = 64 * 1024
HELD_LIMIT = 64 * 1024  # a body or an answer up to this is held whole; a longer one flows
LAST_CHUNK = b"0\r\n\r\n"
RECEIVE_BUFFER = 64 * 1024  # of a socket, which the kernel doubles: what one read may bring
# What one body or answer that flows holds here at the most: what is kept, what a read brings, and as much in
# the other side's write buffer. Taken from the one budget for bodies (limits/budgets.py) while it flows.
FLOW_COST = KEPT + 4 * RECEIVE_BUFFER
BODY_MOST = 40 * 1024 * 1024  # bytes of a request's or an answer's body; they come up to 32 MB
# Without a byte of an answer that flows, or without one taken by the client, against peers that are gone.
# They may pause for seconds.
STALL_S = 8.0


def chunk(data: bytes) -> bytes:
    """A part of a body whose length its head does not tell."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class Source(Protocol):
    """The client's connection."""

    def pause_reading(self) -> None: ...
    def resume_reading(self) -> None: ...


class Sink(Protocol):
    """The connection to an endpoint."""

    def body_came(self, data: bytes) -> bool:
        """Write more of the body; False where its buffer is full."""

    def body_ended(self) -> None: ...


class Body:
    """One request's body; `length` is None where its framing does not tell it."""

    def __init__(self, source: Source, length: int | None) -> None:
        self.source = source
        self.length = length
        self.kept: list[bytes] = []
        self.size = 0
        self.whole = False
        self.lost = False  # a part of it is here no longer
        self.paused = False
        self.sink: Sink | None = None

    # From the client

    def came(self, data: bytes) -> None:
        self.size += len(data)
        if not self.lost:
            self.kept.append(data)
        if self.sink is None:
            if self.size > KEPT and not self.lost:
                self._pause()
            return
        if self.size > KEPT:
            self.lost, self.kept = True, []
        if not self.sink.body_came(data):
            self._pause()

    def end(self) -> None:
        self.whole = True
        if self.sink is not None:
            self.sink.body_ended()

    # From the endpoint's connection

    def lead_to(self, sink: Sink) -> None:
        """Write what has come, and from now on what comes."""
        self.sink = sink
        room = True
        for data in self.kept:
            room = sink.body_came(data)
        if self.size > KEPT:
            self.lost, self.kept = True, []
        if self.whole:
            sink.body_ended()
        elif room:
            self.go_on()

    def leave(self, sink: Sink) -> None:
        """The connection has ended, or carries something else now."""
        if self.sink is sink:
            self.sink = None
            self.go_on()  # what still comes is kept for the next, or dropped

    def go_on(self) -> None:
        if self.paused:
            self.paused = False
            self.source.resume_reading()

    def _pause(self) -> None:
        if not self.paused and not self.whole:
            self.paused = True
            self.source.pause_reading()
