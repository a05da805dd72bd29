"""Reads and writes HTTP/1.1 messages; strict, so that malformed messages of the program are detected."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

HEAD_LIMIT = 64 * 1024


class WireError(Exception):
    """The received bytes are not a valid HTTP/1.1 message."""


@dataclass(slots=True)
class Message:
    """A request or response: the three parts of its first line, headers by lower-case name, and the body."""

    first: tuple[str, str, str]
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self) -> int:
        return int(self.first[1])

    @property
    def closes(self) -> bool:
        return self.headers.get("connection", "").lower() == "close"


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """The next message, or None if the connection ends between two messages.

    Raises WireError for a malformed message and IncompleteReadError for an end within a message.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as ended:
        if not ended.partial:
            return None
        raise
    except asyncio.LimitOverrunError:
        raise WireError("the message head exceeds the size limit") from None
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    parts = first.split(" ", 2)
    if len(parts) != 3:
        raise WireError(f"malformed first line: {first[:80]!r}")
    headers: dict[str, str] = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if not colon:
            raise WireError(f"malformed header line: {line[:80]!r}")
        headers[name.lower()] = value.strip()
    length = headers.get("content-length", "0")
    if not length.isdigit():
        raise WireError(f"malformed content-length: {length[:80]!r}")
    body = await reader.readexactly(int(length)) if int(length) else b""
    return Message((parts[0], parts[1], parts[2]), headers, body)


def request(method: str, target: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def response(status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> bytes:
    lines = [f"HTTP/1.1 {status} Stand-In", *(f"{name}: {value}" for name, value in (headers or {}).items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body
