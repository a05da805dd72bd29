"""Whether the client of a connection is still there, also where it has ended its writing.

Whether a client that writes no more has gone away altogether shows only when something is written to it.
Every answer begins alike, so its beginning is sent at once: a client that is gone answers with a reset.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from garnethaven.net.presence import has_ended_writing, is_reset
from garnethaven.net.response_writer import ResponseWriter

HALF_CLOSED_CHECK_S = 0.005  # the client is on this machine: a reset is back at once


class ClientPresence:
    """What is known of the client's side of one connection; a reset that is found closes the transport."""

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
        self.half_closed = False  # the client has ended its writing

    def has_ended_writing(self) -> bool:
        """Whether the client has ended its writing, also where the end lies unread in the kernel."""
        if self.transport.is_closing():
            return True
        try:
            return has_ended_writing(self.sock)
        except OSError:  # a reset
            self.transport.abort()
            return True

    def half_close(self, check: Callable[[], None]) -> None:
        """The client writes no more: provoke a reset if it is gone, and `check` once one would be back."""
        self.half_closed = True
        if not self.writer.version_sent and not self.transport.is_closing():
            self.writer.write_version()
            self.loop.call_later(HALF_CLOSED_CHECK_S, check)

    def has_left(self, check: Callable[[], None]) -> bool:
        """Whether the client is known to have gone.

        Its end may lie unread in the kernel, where this process stood still or does not read just now; then
        `check` is called as by `half_close`.
        """
        if not self.half_closed and self.has_ended_writing():
            self.half_close(check)
        if not self.transport.is_closing() and is_reset(self.sock):
            self.transport.abort()
        return self.transport.is_closing()
