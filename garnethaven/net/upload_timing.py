"""When the time of a request begins whose body is still being received.

That is when its client has written the last byte. A client that goes on writing has not. Where it has written
nothing for a while, this process reads ahead of the server what the client wrote until then, within the
account of buffered bytes: then it knows. Where it may not buffer more, it assumes the earliest possible time,
so that no answer is late. It does not read ahead of a server that is only slow: that would begin the client's
time earlier.
"""

from __future__ import annotations

import socket
import time

from garnethaven.engine.calls import Call
from garnethaven.engine.engine import MS, Engine
from garnethaven.limits.budgets import BufferMemory
from garnethaven.net.flow import StreamedBody
from garnethaven.net.read_lag import ReadLag
from garnethaven.net.requests import IncomingRequest

# A lag of this part of the request's time is worth memory, and a guess at when its last byte was written.
MAX_LAG_DIVISOR = 2


class UploadTiming:
    """Observes the reading of one connection and sets the deadlines of its streamed requests."""

    __slots__ = ("engine", "expected_at", "lag", "memory")

    def __init__(self, sock: socket.socket, engine: Engine, memory: BufferMemory) -> None:
        self.engine = engine
        self.memory = memory
        self.lag = ReadLag(sock)
        self.expected_at = 0  # when the last byte may have been written, as the engine was told; 0: was not

    def bytes_read(self, count: int, may_be_late: bool) -> None:
        """Count received bytes, before they are handled.

        `may_be_late`: they may have waited in the kernel although reading was not paused. The first ones may
        have waited with their connection, which was not accepted yet.
        """
        is_first = not self.lag.read_bytes
        self.lag.read_bytes += count
        if is_first or may_be_late:
            self.lag.read_late(time.monotonic_ns())

    def read_handled(self) -> None:
        """The received bytes have been parsed: nothing asks any more when they were written."""
        if self.lag.samples:
            self.lag.update(time.monotonic_ns())

    def reading_paused(self) -> None:
        self.lag.reading_paused(time.monotonic_ns())

    def reading_resumed(self) -> None:
        self.lag.reading_resumed()

    def answer_written(self) -> None:
        """Clients send one request at a time: what is unread from now on was written after this answer."""
        if self.lag.samples:
            self.lag.restart(time.monotonic_ns())

    def request_began(self) -> None:
        """The call of another streamed request has begun."""
        self.expected_at = 0

    def completed_at(self) -> int | None:
        """When the client can have written the last byte, which was just read; None: now."""
        return self.lag.read_bytes_written_since()

    def is_over(self, incoming: IncomingRequest) -> bool:
        """Whether the time of a request may be over of which no call was made yet, as its rest is unread."""
        budget_ms = incoming.budget_ms()
        if not self.lag.samples or budget_ms is None:
            return False
        now = time.monotonic_ns()
        self.lag.update(now)
        written_at = self.lag.written_since(incoming.missing_bytes())
        return written_at is not None and now - written_at >= budget_ms * MS

    def check(self, incoming: IncomingRequest, call: Call, held_bytes: int) -> None:
        """Look after a streamed request that is incomplete; `held_bytes` are those that it has buffered."""
        now, body = time.monotonic_ns(), incoming.streamed_body
        if body is None or call.answered:
            return
        self.lag.update(now)
        written_at = self.lag.written_since(incoming.missing_bytes())
        if written_at is not None and now - written_at < call.budget // MAX_LAG_DIVISOR:
            written_at = None
        if written_at is None:
            body.stop_reading_ahead()
        elif body.read_ahead(self._read_ahead_bytes(body, held_bytes)):
            return  # the next check knows more
        if (written_at or 0) != self.expected_at:
            self.expected_at = written_at or 0
            self.engine.expect_complete(call, written_at)

    def _read_ahead_bytes(self, body: StreamedBody, held_bytes: int) -> int:
        """How much of the body may be buffered: what the client has written so far, within the account."""
        return min(self.memory.read_ahead_bytes(held_bytes), body.held_bytes() + self.lag.unread_bytes())
