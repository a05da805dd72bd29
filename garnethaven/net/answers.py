"""The head of an answer to a client."""

from __future__ import annotations

from garnethaven.net.exchange import Header
from garnethaven.net.requests import DROPPED_HEADERS

PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
VERSION = b"HTTP/1.1 "


def answer_head(status: int, headers: list[Header], framing: bytes, keep_alive: bool) -> bytes:
    """The head without the version, which may have been sent before."""
    parts = [b"%d " % status, PHRASES[status], b"\r\n"]
    for name, value in headers:
        if name.lower() not in DROPPED_HEADERS:
            parts += (name, b": ", value, b"\r\n")
    if not keep_alive:
        parts.append(b"Connection: close\r\n")
    if framing:
        parts += (framing, b"\r\n")
    parts.append(b"\r\n")
    return b"".join(parts)
