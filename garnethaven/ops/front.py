"""The operators' address: HTTP/1.1, one call to a connection, closed after the answer.

A caller waits 1 s, and some connect and finish no call. A connection that has not asked in `STALL_S` is
closed; beyond `PLACES` the one that has waited longest goes: stalling callers never keep others out.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import cast
from urllib.parse import unquote_to_bytes

from garnethaven.addresses import Address

PLACES = 16
HEAD_LIMIT = 8192
STALL_S = 4.0
WRITE_S = 2.0  # for an answer that the caller does not read
BACKLOG = 64
PLAIN = b"text/plain; version=0.0.4; charset=utf-8"
PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    503: b"Service Unavailable",
}
Handler = Callable[[bytes], tuple[int, str]]  # an id, or nothing; the status and what is said


class Routes:
    """Finds what answers a call; nothing here knows a socket."""

    def __init__(self) -> None:
        self.exact: dict[bytes, tuple[bytes, Handler]] = {}
        self.prefixed: dict[bytes, tuple[bytes, Handler]] = {}

    def answer(self, head: bytes) -> tuple[int, str]:
        """The status and the body for a whole head."""
        words = head.split(b"\r\n", 1)[0].split(b" ")
        if len(words) != 3 or not words[2].startswith(b"HTTP/1.") or not words[1].startswith(b"/"):
            return 400, "this is no HTTP/1.1 request\n"
        path = words[1].partition(b"?")[0]
        method, handler, name = self._find(path)
        if handler is None:
            return 404, "no such path\n"
        if words[0] != method:
            return 405, f"the method is {method.decode()}\n"
        return handler(name)

    def _find(self, path: bytes) -> tuple[bytes, Handler | None, bytes]:
        found = self.exact.get(path)
        if found is not None:
            return *found, b""
        for prefix, (method, handler) in self.prefixed.items():
            if path.startswith(prefix) and len(path) > len(prefix):
                return method, handler, unquote_to_bytes(path[len(prefix) :])
        return b"", None, b""


class Caller(asyncio.Protocol):
    """One connection of a caller."""

    def __init__(self, front: Front) -> None:
        self.front = front
        self.head = bytearray()
        self.answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.timer = self.front.loop.call_later(STALL_S, self.transport.abort)
        self.front.came(self)

    def data_received(self, data: bytes) -> None:
        if self.answered:
            return
        self.head += data
        end = self.head.find(b"\r\n\r\n")
        if end >= 0:
            self._say(*self.front.answer(bytes(self.head[:end])))
        elif len(self.head) > HEAD_LIMIT:
            self._say(431, "the head is too long\n")
        elif b"\n" in self.head and b" HTTP/" not in self.head.split(b"\n", 1)[0]:
            self._say(400, "this is no HTTP/1.1 request\n")

    def _say(self, status: int, text: str) -> None:
        self.answered = True
        body = text.encode()
        lines = (
            b"HTTP/1.1 %d %s" % (status, PHRASES[status]),
            b"Content-Type: " + PLAIN,
            b"Content-Length: %d" % len(body),
            b"Connection: close",
        )
        self.transport.write(b"\r\n".join([*lines, b"", body]))
        self.timer.cancel()
        self.timer = self.front.loop.call_later(WRITE_S, self.transport.abort)
        if self.transport.can_write_eof():
            self.transport.write_eof()  # and not a close: bytes unread would be a reset to the caller

    def connection_lost(self, problem: Exception | None) -> None:
        self.timer.cancel()
        self.front.callers.pop(self, None)


class Front:
    """The socket. Bound by the constructor, which raises OSError where the address can't be had."""

    def __init__(self, address: Address, routes: Routes, log: Callable[[str], None]) -> None:
        self.loop = asyncio.get_running_loop()
        self.routes = routes
        self.log = log
        self.callers: dict[Caller, None] = {}  # the longest here first
        self.server: asyncio.Server | None = None
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.sock.setblocking(False)
            self.sock.bind(address)
        except OSError:
            self.sock.close()
            raise

    async def open(self) -> None:
        self.server = await self.loop.create_server(lambda: Caller(self), sock=self.sock, backlog=BACKLOG)

    def came(self, caller: Caller) -> None:
        self.callers[caller] = None
        if len(self.callers) > PLACES:
            oldest = next(iter(self.callers))
            del self.callers[oldest]
            oldest.transport.abort()

    def answer(self, head: bytes) -> tuple[int, str]:
        try:
            return self.routes.answer(head)
        except Exception as fault:  # a fault of one call must not end the program
            self.log(f"a call of an operator failed: {fault!r}")
            return 500, "the call failed; see the log\n"

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        self.sock.close()
        for caller in list(self.callers):
            caller.transport.abort()
