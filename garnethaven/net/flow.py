"""Streams a request's body that is too long to be buffered from the client's connection to an endpoint's.

Backpressure: when the write buffer of one side is full, reading from the other side pauses, so a body takes a
bounded amount of memory whatever its length. Up to `KEPT` bytes stay buffered and can be replayed to another
endpoint; once more than that has been passed on, the body can't be sent again.
"""

from __future__ import annotations

from typing import Protocol

# Bytes of a body that are buffered for a retry, or until there is a connection. Large enough that a failed
# dial or an endpoint that rejects the request can be retried. Each client connection may hold that much, and
# the bytes of one read (RECEIVE_BUFFER) beyond it.
KEPT = 64 * 1024
HELD_LIMIT = 64 * 1024  # a body or an answer up to this size is buffered whole; a longer one is streamed
LAST_CHUNK = b"0\r\n\r\n"
RECEIVE_BUFFER = 64 * 1024  # bytes; SO_RCVBUF, which the kernel doubles: an upper bound for one read
# The most memory that one streamed body or answer takes: the replay buffer, one read, and as much in the
# other side's write buffer. Reserved in the budget for bodies (limits/budgets.py) while it is streamed.
FLOW_COST = KEPT + 4 * RECEIVE_BUFFER
BODY_MOST = 40 * 1024 * 1024  # bytes of a request's or an answer's body; the largest expected has 32 MB
# The longest time without progress on a streamed answer, in either direction, after which the peer counts as
# gone. Peers may pause for seconds.
STALL_S = 8.0


def chunk(data: bytes) -> bytes:
    """Encode one chunk of a body with chunked transfer coding."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class Source(Protocol):
    """The connection that a body is read from."""

    def pause_reading(self) -> None:
        """Stop reading until `resume_reading`; may be called on a closed connection."""

    def resume_reading(self) -> None:
        """Read on; may be called on a closed connection."""


class Sink(Protocol):
    """The connection that a body is written to."""

    def body_came(self, data: bytes) -> bool:
        """Write the next part of the body; returns False when the write buffer is full."""

    def body_ended(self) -> None:
        """The body is complete."""


class Body:
    """One request's body; `length` is its size in bytes, None where the framing does not state it."""

    def __init__(self, source: Source, length: int | None) -> None:
        self.source = source
        self.length = length
        self.kept: list[bytes] = []  # the replay buffer
        self.size = 0  # bytes received
        self.whole = False
        self.lost = False  # a part is buffered no longer: the body can't be replayed
        self.paused = False  # reading from the source
        self.sink: Sink | None = None

    # Called by the source

    def came(self, data: bytes) -> None:
        """Pass on the next part, or buffer it while there is no sink; pauses the source when that is full."""
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
        """The last part has been received."""
        self.whole = True
        if self.sink is not None:
            self.sink.body_ended()

    # Called by the sink

    def lead_to(self, sink: Sink) -> None:
        """Write the buffered parts to this sink, and from now on all that follow."""
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
        """Detach a sink whose connection has ended or carries another request."""
        if self.sink is sink:
            self.sink = None
            self.go_on()  # what follows is buffered for the next sink, or dropped

    def go_on(self) -> None:
        """The sink's write buffer has room again."""
        if self.paused:
            self.paused = False
            self.source.resume_reading()

    def _pause(self) -> None:
        if not self.paused and not self.whole:
            self.paused = True
            self.source.pause_reading()
