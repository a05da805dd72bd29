"""A close that waits for the client's end.

This side's writing ends, what still comes is read and dropped, and the connection goes with the client's own
end, or after a time. Bytes that nobody reads would make the close a reset, which may cost the client its last
answer; nothing read after the end is sent on. It would do harm only by its descriptors, so that the listener
ends it at once where these are short.
"""

from __future__ import annotations

import asyncio

from garnethaven.net.owner import Owner

LINGER_S = 0.5
LINGER_BYTES = 256 * 1024
LINGER_FLOW_S = 6.0  # the same for a long body, whose client may read only once it has written all


class LingeringClose:
    """The lingering close of one connection."""

    def __init__(self, transport: asyncio.Transport, owner: Owner) -> None:
        self.transport = transport
        self.owner = owner
        self.swallowed = 0  # bytes that were read and dropped
        self.timer: asyncio.TimerHandle | None = None

    def begin(self, most_s: float) -> None:
        """End this side's writing, and the connection after so long."""
        self.transport.resume_reading()
        self.transport.write_eof()
        self._wait(most_s)

    def swallow(self, size: int, most: int) -> None:
        """Drop so many bytes that came; abort where they are more than `most` in all."""
        self.swallowed += size
        if self.swallowed > most:
            self.transport.abort()

    def cancel(self) -> None:
        """The connection is gone."""
        if self.timer is not None:
            self.timer.cancel()

    def _wait(self, most_s: float) -> None:
        until = min(self.owner.loop.time() + most_s, self.owner.lingers_until)
        self.timer = self.owner.loop.call_at(until, self._end)

    def _end(self) -> None:
        """Close, unless the client still takes its answer; one that stops is ended by `look_after`."""
        unsent = self.transport.get_write_buffer_size()
        if unsent and self.owner.loop.time() < self.owner.lingers_until:
            self._wait(LINGER_S)
        else:
            self.transport.abort()
