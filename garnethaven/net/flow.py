"""Streams a request's body that is too long to be buffered from the client's connection to an endpoint's.

Backpressure: when the write buffer of one side is full, reading from the other side pauses, so a body takes a
bounded amount of memory whatever its length. The bound is higher while a body is read ahead of its server
(upload_timing.py). Up to `REPLAY_BUFFER_BYTES` stay buffered and can be replayed to another endpoint; once
more than that has been passed on, the body can't be sent again.
"""

from __future__ import annotations

from typing import Protocol

# Bytes of a body that are buffered for a retry, or until there is a connection. Large enough for a retry
# after a failed dial or after an endpoint rejected the request. Each client connection may hold that much,
# and the bytes of one read (net/read_buffer.py) beyond it.
REPLAY_BUFFER_BYTES = 64 * 1024
MAX_BUFFERED_BYTES = 64 * 1024  # up to this size a body or an answer is buffered; a longer one is streamed
LAST_CHUNK = b"0\r\n\r\n"
RECEIVE_BUFFER_BYTES = 64 * 1024  # SO_RCVBUF, which the kernel doubles
MAX_BODY_BYTES = 40 * 1024 * 1024  # of a request's or an answer's body; the largest expected has 32 MB
# Limit for the bytes of a message that are not body: an answer's head and 1xx answers, and of both directions
# the chunk sizes, chunk extensions and trailers.
MAX_FRAMING_BYTES = 32 * 1024
MAX_FRAMING_RATIO = 8  # framing bytes per byte of body that are allowed beyond it, for chunks of one byte
# Longest time without progress on a streamed answer, on either side; after it the peer counts as gone. Peers
# may pause for seconds.
STREAM_STALL_S = 8.0


def chunk(data: bytes) -> bytes:
    """Encode one chunk of a body with chunked transfer coding."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def has_too_much_framing(received_bytes: int, body_bytes: int) -> bool:
    """Whether a message of which `received_bytes` were received has too few bytes of body among them."""
    return received_bytes - body_bytes > MAX_FRAMING_BYTES + MAX_FRAMING_RATIO * body_bytes


class BodySource(Protocol):
    """The connection that a body is read from."""

    def pause_reading(self) -> None:
        """Stop reading until `resume_reading`; may be called on a closed connection."""

    def resume_reading(self) -> None:
        """Resume reading; may be called on a closed connection."""


class BodySink(Protocol):
    """The connection that a body is written to."""

    def write_part(self, data: bytes) -> bool:
        """Write the next part of the body; returns False when the write buffer is full."""

    def finish_body(self) -> None:
        """Finish the body after its last part."""

    def unsent_bytes(self) -> int:
        """The bytes in the write buffer."""


class StreamedBody:
    """One request's body; `length` is its size in bytes, None if the framing does not state it."""

    def __init__(self, source: BodySource, length: int | None) -> None:
        self.source = source
        self.length = length
        self.replay_buffer = bytearray()
        self.max_held_bytes = 0  # up to which the source is read ahead of the sink; 0: it is not
        self.size = 0  # bytes received
        self.complete = False
        self.replay_lost = False  # the replay buffer was dropped: the body can't be sent again
        self.paused = False  # whether reading from the source is paused
        self.sink: BodySink | None = None

    # Called by the source

    def add(self, data: bytes) -> None:
        """Pass on the next part, or buffer it while there is no sink; pauses the source if that is full."""
        self.size += len(data)
        if not self.replay_lost:
            self.replay_buffer += data
        if self.sink is None:
            if self.size > REPLAY_BUFFER_BYTES and not self.replay_lost:
                self._pause_unless_ahead()
            return
        if self.size > REPLAY_BUFFER_BYTES:
            self.drop_replay()
        if not self.sink.write_part(data):
            self._pause_unless_ahead()

    def held_bytes(self) -> int:
        """The bytes that are buffered, also in the write buffer of the sink."""
        return len(self.replay_buffer) + (self.sink.unsent_bytes() if self.sink is not None else 0)

    def read_ahead(self, max_held_bytes: int) -> bool:
        """Read on from the source until so many bytes are buffered; returns whether that has just begun."""
        begins = self.max_held_bytes == 0 and self.paused and self.held_bytes() < max_held_bytes
        self.max_held_bytes = max_held_bytes
        if self.held_bytes() < max_held_bytes:
            self._resume_source()
        return begins

    def stop_reading_ahead(self) -> None:
        """Read from the source as fast as the sink takes it, from now on."""
        if self.max_held_bytes:
            self.max_held_bytes = 0
            if self.sink is not None and self.sink.unsent_bytes():
                self._pause()

    def _pause_unless_ahead(self) -> None:
        if self.held_bytes() >= self.max_held_bytes:
            self._pause()

    def describe(self) -> str:
        """The state of the body, for the log."""
        extent = "in chunks" if self.length is None else f"of {self.length}"
        state = "complete" if self.complete else "incomplete, reading paused" if self.paused else "incomplete"
        return f"body of {self.size} bytes received {extent}, {state}, {self.held_bytes()} buffered"

    def drop_replay(self) -> None:
        """Keep nothing of what the sink has been given: the body can't be sent again."""
        self.replay_lost = True
        self.replay_buffer = bytearray()

    def hold(self) -> None:
        """Buffer as little as possible: drop what a sink has been given, or pause until there is one."""
        self.stop_reading_ahead()
        if self.sink is not None:
            self.drop_replay()
        elif not self.replay_lost:
            self._pause()

    def end(self) -> None:
        """Mark the body as complete; the source goes on, since what follows is not part of the body."""
        self.complete = True
        self.resume()
        if self.sink is not None:
            self.sink.finish_body()

    # Called by the sink

    def attach(self, sink: BodySink) -> None:
        """Write the buffered parts to this sink, and from now on all further parts."""
        self.sink = sink
        room = True
        if self.replay_buffer:
            room = sink.write_part(bytes(self.replay_buffer))
        if self.size > REPLAY_BUFFER_BYTES:
            self.drop_replay()
        if self.complete:
            sink.finish_body()
        elif room:
            self.resume()

    def detach(self, sink: BodySink) -> None:
        """Detach a sink whose connection has ended or carries another request."""
        if self.sink is sink:
            self.sink = None
            self.resume()  # further parts are buffered for the next sink, or dropped

    def resume(self) -> None:
        """Resume the source; called when the sink's write buffer has room again."""
        self.max_held_bytes = 0
        self._resume_source()

    def _resume_source(self) -> None:
        if self.paused:
            self.paused = False
            self.source.resume_reading()

    def _pause(self) -> None:
        if not self.paused and not self.complete:
            self.paused = True
            self.source.pause_reading()
