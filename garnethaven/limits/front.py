"""The operators' own front: `GET /-/limits` says which limit acts and why. Only where the file names it.

It is a socket of its own, so that it answers also while clients' places are gone, and it is bounded: a few
connections, a short head, one answer each.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Callable

from garnethaven.addresses import Address

MOST = 4  # connections at once; more are closed unheard
HEAD_LIMIT = 4096
READ_S = 2.0


class LimitsView:
    """Serves the view until `close`; raises OSError from `start` where its address can't be had."""

    def __init__(self, report: Callable[[], dict[str, object]]) -> None:
        self.report = report
        self.open = 0
        self.server: asyncio.Server | None = None
        self.address: Address | None = None

    async def start(self, address: Address) -> LimitsView:
        self.server = await asyncio.start_server(self._serve, *address, limit=HEAD_LIMIT)
        self.address = self.server.sockets[0].getsockname()
        return self

    async def close(self) -> None:
        if self.server is not None:
            self.server.close()
            await self.server.wait_closed()
            self.server = None

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open += 1
        try:
            if self.open <= MOST:
                with contextlib.suppress(ConnectionError, TimeoutError):
                    writer.write(await asyncio.wait_for(self._answer(reader), READ_S))
                    await writer.drain()
        finally:
            self.open -= 1
            writer.close()

    async def _answer(self, reader: asyncio.StreamReader) -> bytes:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.LimitOverrunError:
            return answer(431, b"")
        except asyncio.IncompleteReadError:
            return b""
        words = head.split(b"\r\n", 1)[0].split(b" ")
        if len(words) != 3 or not words[2].startswith(b"HTTP/1."):
            return answer(400, b"")
        if words[0] != b"GET":
            return answer(405, b"")
        if words[1] != b"/-/limits":
            return answer(404, b"")
        return answer(200, json.dumps(self.report(), indent=1).encode() + b"\n")


PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    431: b"Request Header Fields Too Large",
}


def answer(status: int, body: bytes) -> bytes:
    lines = (
        b"HTTP/1.1 %d %s" % (status, PHRASES[status]),
        b"Content-Type: application/json",
        b"Content-Length: %d" % len(body),
        b"Connection: close",
    )
    return b"\r\n".join([*lines, b"", body])
