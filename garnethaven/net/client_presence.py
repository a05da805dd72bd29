"""Whether the client of a connection is still present, also after it has closed its writing side.

After a half-close, a client that has left can be recognised only by writing to it. Every answer begins with
the same bytes, so these are sent at once: the kernel of a client that has left answers with a reset.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from garnethaven.net.presence import has_ended_writing, is_reset
from garnethaven.net.response_writer import ResponseWriter

HALF_CLOSED_CHECK_S = 0.005  # clients run on this machine, so a reset arrives at once


class ClientPresence:
    """Tracks whether the client of one connection is present; closes the transport after a reset."""

    def __init__(
        self,
        sock: socket.socket,
        transport: asyncio.Transport,
        writer: ResponseWriter,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.sock = sock
        self.transport = transport
        self.writer = writer
        self.loop = loop
        self.half_closed = False  # the client has closed its writing side

    def has_ended_writing(self) -> bool:
        """Whether the client has closed its writing side, even if its FIN is unread in the kernel."""
        if self.transport.is_closing():
            return True
        try:
            return has_ended_writing(self.sock)
        except OSError:  # a reset
            self.transport.abort()
            return True

    def half_close(self, check: Callable[[], None]) -> None:
        """Provoke a reset from a client that has left, and call `check` when a reset would have arrived."""
        self.half_closed = True
        if not self.writer.version_sent and not self.transport.is_closing():
            self.writer.write_version()
            self.loop.call_later(HALF_CLOSED_CHECK_S, check)

    def has_left(self, check: Callable[[], None]) -> bool:
        """Whether the client is known to have left.

        If its FIN is unread in the kernel, because this process was suspended or has paused reading, `check`
        is called later as by `half_close`.
        """
        if not self.half_closed and self.has_ended_writing():
            self.half_close(check)
        if not self.transport.is_closing() and is_reset(self.sock):
            self.transport.abort()
        return self.transport.is_closing()
