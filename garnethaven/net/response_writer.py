"""Writes the answers to one client's connection: heads, and complete or streamed bodies."""

from __future__ import annotations

import asyncio
from enum import Enum

from garnethaven.net.answers import VERSION, answer_head
from garnethaven.net.exchange import Header
from garnethaven.net.flow import LAST_CHUNK, chunk


class BodyFraming(Enum):
    """How the end of an answer's body is marked for the client."""

    CONTENT_LENGTH = "content length"
    CHUNKED = "chunked"
    UNTIL_CLOSE = "until close"


def choose_framing(length: int | None, accepts_chunked: bool) -> BodyFraming:
    """The framing of a body of `length` bytes; None: the length is not known before its end."""
    if length is not None:
        return BodyFraming.CONTENT_LENGTH
    return BodyFraming.CHUNKED if accepts_chunked else BodyFraming.UNTIL_CLOSE


def framing_header(framing: BodyFraming, length: int | None) -> bytes:
    """The header field that states the framing, without its line end; empty if there is none."""
    if framing is BodyFraming.CONTENT_LENGTH:
        return b"Content-Length: %d" % (length or 0)
    return b"Transfer-Encoding: chunked" if framing is BodyFraming.CHUNKED else b""


class ResponseWriter:
    """Writes one answer after another; the caller makes sure that the transport is open."""

    def __init__(self, transport: asyncio.WriteTransport) -> None:
        self.transport = transport
        self.framing = BodyFraming.CONTENT_LENGTH  # of the body that is being written
        self.version_sent = False  # whether the next answer's version has been written ahead of it

    def write_version(self) -> None:
        """Write the start of the next answer, which is the same for all answers."""
        self.version_sent = True
        self.transport.write(VERSION)

    def write_answer(
        self, status: int, headers: list[Header], body: bytes | bytearray, keep_alive: bool
    ) -> None:
        """Write a complete answer."""
        field = framing_header(BodyFraming.CONTENT_LENGTH, len(body))
        self.transport.write(self._head(status, headers, field, keep_alive) + body)

    def begin_body(
        self, headers: list[Header], framing: BodyFraming, length: int | None, keep_alive: bool
    ) -> None:
        """Begin a streamed answer with status 200; its body follows by `write_body`."""
        self.framing = framing
        self.transport.write(self._head(200, headers, framing_header(framing, length), keep_alive))

    def write_body(self, data: bytes) -> None:
        self.transport.write(chunk(data) if self.framing is BodyFraming.CHUNKED else data)

    def end_body(self) -> None:
        if self.framing is BodyFraming.CHUNKED:
            self.transport.write(LAST_CHUNK)

    def answer_ended(self) -> None:
        """Prepare for the next answer."""
        self.version_sent = False
        self.framing = BodyFraming.CONTENT_LENGTH

    def _head(self, status: int, headers: list[Header], field: bytes, keep_alive: bool) -> bytes:
        rest = answer_head(status, headers, field, keep_alive)
        return rest if self.version_sent else VERSION + rest
