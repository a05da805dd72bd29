"""The operators' address: HTTP/1.1, one request per connection, closed after the response.

Callers wait 1 s for a response, and some connect without completing a request. A connection without a
complete request after `REQUEST_TIMEOUT_S` is closed. Beyond `MAX_CONNECTIONS` the oldest one is closed, so
that stalled callers never keep others from connecting.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import cast
from urllib.parse import unquote_to_bytes

from garnethaven.addresses import Address

MAX_CONNECTIONS = 16
MAX_HEAD_BYTES = 8192
REQUEST_TIMEOUT_S = 4.0
RESPONSE_TIMEOUT_S = 2.0  # for a caller that does not read its response
BACKLOG = 64
CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"
REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    503: b"Service Unavailable",
}
Handler = Callable[[bytes], tuple[int, str]]  # gets an endpoint id or b""; returns status and body


class Routes:
    """Maps request paths to handlers. No I/O here."""

    def __init__(self) -> None:
        self.exact: dict[bytes, tuple[bytes, Handler]] = {}
        self.prefixed: dict[bytes, tuple[bytes, Handler]] = {}

    def respond(self, head: bytes) -> tuple[int, str]:
        """The status and body for a complete request head."""
        fields = head.split(b"\r\n", 1)[0].split(b" ")
        if len(fields) != 3 or not fields[2].startswith(b"HTTP/1.") or not fields[1].startswith(b"/"):
            return 400, "this is no HTTP/1.1 request\n"
        path = fields[1].partition(b"?")[0]
        method, handler, name = self._find(path)
        if handler is None:
            return 404, "no such path\n"
        if fields[0] != method:
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


class OperatorConnection(asyncio.Protocol):
    """One connection of an operator."""

    def __init__(self, front: Front) -> None:
        self.front = front
        self.head = bytearray()
        self.responded = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.timer = self.front.loop.call_later(REQUEST_TIMEOUT_S, self.transport.abort)
        self.front.add_connection(self)

    def data_received(self, data: bytes) -> None:
        if self.responded:
            return
        self.head += data
        end = self.head.find(b"\r\n\r\n")
        if end >= 0:
            self._respond(*self.front.respond(bytes(self.head[:end])))
        elif len(self.head) > MAX_HEAD_BYTES:
            self._respond(431, "the head is too long\n")
        elif b"\n" in self.head and b" HTTP/" not in self.head.split(b"\n", 1)[0]:
            self._respond(400, "this is no HTTP/1.1 request\n")

    def _respond(self, status: int, text: str) -> None:
        self.responded = True
        body = text.encode()
        lines = (
            b"HTTP/1.1 %d %s" % (status, REASON_PHRASES[status]),
            b"Content-Type: " + CONTENT_TYPE,
            b"Content-Length: %d" % len(body),
            b"Connection: close",
        )
        self.transport.write(b"\r\n".join([*lines, b"", body]))
        self.timer.cancel()
        self.timer = self.front.loop.call_later(RESPONSE_TIMEOUT_S, self.transport.abort)
        if self.transport.can_write_eof():
            self.transport.write_eof()  # a close with unread bytes would reset the connection

    def connection_lost(self, problem: Exception | None) -> None:
        self.timer.cancel()
        self.front.connections.pop(self, None)


class Front:
    """The listening socket; the constructor binds it and raises OSError if the address is not available."""

    def __init__(self, address: Address, routes: Routes, log: Callable[[str], None]) -> None:
        self.loop = asyncio.get_running_loop()
        self.routes = routes
        self.log = log
        self.connections: dict[OperatorConnection, None] = {}  # the oldest first
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
        self.server = await self.loop.create_server(
            lambda: OperatorConnection(self), sock=self.sock, backlog=BACKLOG
        )

    def add_connection(self, connection: OperatorConnection) -> None:
        self.connections[connection] = None
        if len(self.connections) > MAX_CONNECTIONS:
            oldest = next(iter(self.connections))
            del self.connections[oldest]
            oldest.transport.abort()

    def respond(self, head: bytes) -> tuple[int, str]:
        try:
            return self.routes.respond(head)
        except Exception as problem:  # a faulty handler must not end the program
            self.log(f"an operator's call failed, it is answered with 500: {problem!r}")
            return 500, "the call failed; see the log\n"

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        self.sock.close()
        for connection in list(self.connections):
            connection.transport.abort()
