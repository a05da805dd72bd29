"""When a client has written all of a body that this process reads slowly, because the server does.

A request's time counts from its last byte. The client writes that into its kernel's send buffer, which may
be seconds before it can be read here. While reading is paused, what the kernel has received is known. What
still stands in the client's send buffer is not; but when the receive buffer has stopped growing, the client
may have been stopped by it, and have written as much more as its send buffer holds. If it turns out that it
has not, because the buffers run empty before the body is complete, the time counts from later on.
"""

from __future__ import annotations

import socket

from garnethaven.net.presence import unread_bytes

MIN_FULL_BYTES = 4 * 1024  # a receive buffer with fewer unread bytes has stopped nobody
MAX_SEND_BUFFER_BYTES = 5 * 512 * 1024  # of a client: the most that the kernel's default limits let it hold


class WrittenAhead:
    """Estimates for one body when its client wrote the last byte; times are monotonic nanoseconds."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.paused_at = 0  # since when reading is paused; 0: it is not
        self.complete_at = 0  # when the client had probably written all; 0: it has not
        self.unread_before = 0

    def update(self, missing_bytes: int) -> bool:
        """Look at the socket, from time to time; returns whether `complete_at` has changed.

        `missing_bytes` are those of the body that have not been read.
        """
        unread = unread_bytes(self.sock)
        stopped = unread >= MIN_FULL_BYTES and unread == self.unread_before
        self.unread_before = unread
        if self.complete_at:
            if unread or self.paused_at:
                return False
            self.complete_at = 0
            return True
        if self.paused_at and missing_bytes <= unread + (MAX_SEND_BUFFER_BYTES if stopped else 0):
            self.complete_at = self.paused_at
        return bool(self.complete_at)
