"""HTTP server for `GET /-/limits`, which reports the active limits. Started only if configured.

It has a socket of its own, so that it also answers while the limit of client connections is reached. Its load
is bounded: few connections, a short request head, one response per connection.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Callable

from garnethaven.addresses import Address

MAX_CONNECTIONS = 4  # concurrent connections; further ones are closed unread
MAX_HEAD_BYTES = 4096
READ_TIMEOUT_S = 2.0


class LimitsView:
    """Serves the report from `start` to `close`; `start` raises OSError if the address can't be bound."""

    def __init__(self, report: Callable[[], dict[str, object]]) -> None:
        self.report = report
        self.open_connections = 0
        self.server: asyncio.Server | None = None
        self.address: Address | None = None

    async def start(self, address: Address) -> LimitsView:
        self.server = await asyncio.start_server(self._serve, *address, limit=MAX_HEAD_BYTES)
        self.address = self.server.sockets[0].getsockname()
        return self

    async def close(self) -> None:
        if self.server is not None:
            self.server.close()
            await self.server.wait_closed()
            self.server = None

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open_connections += 1
        try:
            if self.open_connections <= MAX_CONNECTIONS:
                with contextlib.suppress(ConnectionError, TimeoutError):
                    writer.write(await asyncio.wait_for(self._respond(reader), READ_TIMEOUT_S))
                    await writer.drain()
        finally:
            self.open_connections -= 1
            writer.close()

    async def _respond(self, reader: asyncio.StreamReader) -> bytes:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.LimitOverrunError:
            return format_response(431, b"")
        except asyncio.IncompleteReadError:
            return b""
        request_line = head.split(b"\r\n", 1)[0].split(b" ")
        if len(request_line) != 3 or not request_line[2].startswith(b"HTTP/1."):
            return format_response(400, b"")
        if request_line[0] != b"GET":
            return format_response(405, b"")
        if request_line[1] != b"/-/limits":
            return format_response(404, b"")
        return format_response(200, json.dumps(self.report(), indent=1).encode() + b"\n")


REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    431: b"Request Header Fields Too Large",
}


def format_response(status: int, body: bytes) -> bytes:
    lines = (
        b"HTTP/1.1 %d %s" % (status, REASON_PHRASES[status]),
        b"Content-Type: application/json",
        b"Content-Length: %d" % len(body),
        b"Connection: close",
    )
    return b"\r\n".join([*lines, b"", body])
