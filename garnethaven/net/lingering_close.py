"""A close that waits until the client has closed its side.

The writing side is closed, bytes that still arrive are read and discarded, and the connection is closed after
the client's own close or a timeout. Without this, unread bytes would turn the close into a reset, which may
lose the client's last answer. Bytes read after the close are not forwarded. Limitation: a lingering
connection keeps its descriptor, so the listener aborts it at once if descriptors are short.
"""

from __future__ import annotations

import asyncio
import socket

from garnethaven.net.owner import Owner
from garnethaven.net.presence import end_writing

LINGER_S = 0.5
MAX_LINGER_BYTES = 256 * 1024
STREAM_LINGER_S = 6.0  # for a streamed body, whose client may read only after it has written all of it


class LingeringClose:
    """The lingering close of one connection."""

    def __init__(self, sock: socket.socket, transport: asyncio.Transport, owner: Owner) -> None:
        self.sock = sock
        self.transport = transport
        self.owner = owner
        self.discarded_bytes = 0  # bytes that were read and discarded
        self.timer: asyncio.TimerHandle | None = None

    def begin(self, max_s: float) -> None:
        """Close the writing side, and the connection after at most `max_s` seconds."""
        self.transport.resume_reading()
        if self.transport.get_write_buffer_size():
            self.transport.write_eof()
        else:
            end_writing(self.sock)
        self._wait(max_s)

    def discard(self, size: int, max_bytes: int) -> None:
        """Count `size` received bytes as discarded; abort if the total exceeds `max_bytes`."""
        self.discarded_bytes += size
        if self.discarded_bytes > max_bytes:
            self.transport.abort()

    def cancel(self) -> None:
        """Cancel the timeout; the connection is closed."""
        if self.timer is not None:
            self.timer.cancel()

    def _wait(self, max_s: float) -> None:
        until = min(self.owner.loop.time() + max_s, self.owner.linger_deadline)
        self.timer = self.owner.loop.call_at(until, self._end)

    def _end(self) -> None:
        """Close, unless the client is still reading its answer; `check_timeouts` ends one that stops."""
        unsent = self.transport.get_write_buffer_size()
        if unsent and self.owner.loop.time() < self.owner.linger_deadline:
            self._wait(LINGER_S)
        else:
            self.transport.abort()
