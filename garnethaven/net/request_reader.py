"""Parses the bytes that a client's connection receives into requests, within size limits."""

from __future__ import annotations

from collections import deque
from typing import Protocol

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from garnethaven.net.flow import MAX_BODY_BYTES, MAX_BUFFERED_BYTES, BodySource, StreamedBody
from garnethaven.net.request_deadlines import RequestDeadlines
from garnethaven.net.requests import MAX_HEAD_BYTES, MAX_HEADERS, IncomingRequest

MAX_PIPELINED_REQUESTS = 16  # complete requests that may be queued; clients send one at a time


class UnreadableRequest(Exception):  # noqa: N818  the client's fault; is answered
    """The bytes that follow can't be parsed as requests; `status` is that of the answer."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class RequestHandler(BodySource, Protocol):
    """The connection that requests are parsed for; also the source of their streamed bodies."""

    def continue_expected(self) -> None:
        """The client waits for 100 Continue before it sends the body."""

    def request_completed(self, incoming: IncomingRequest) -> None:
        """The last byte of a request has been received."""


class RequestReader:
    """The parser of one connection, and the requests that it has completed.

    `close` ends the reference cycles with the parser and the handler: only a full collection would free them.
    """

    def __init__(self, handler: RequestHandler, now: float) -> None:
        self.handler: RequestHandler | None = handler
        self.parser: HttpRequestParser | None = HttpRequestParser(self)
        self.incoming: IncomingRequest | None = None  # the request that is being received
        self.ready: deque[IncomingRequest] = deque()  # complete requests that are not handled yet, in order
        self.deadlines = RequestDeadlines(now)
        self.now = now  # when the bytes that are being parsed were received
        self.in_head = False
        self.head_size = 0

    def close(self) -> None:
        self.handler = None
        self.parser = None
        self.incoming = None
        self.ready.clear()

    def feed(self, data: bytes, now: float) -> bytes:
        """Parse received bytes; returns the part that has to be parsed later. Raises UnreadableRequest."""
        if self.parser is None:
            return b""
        self.now = now
        self.deadlines.expect_request(now)
        if self.in_head or self.incoming is None:
            self.head_size += len(data)
        rest = self._parse(self.parser, data)
        self._check_limits()
        return rest

    def _parse(self, parser: HttpRequestParser, data: bytes) -> bytes:
        try:
            parser.feed_data(data)
        except HttpParserUpgrade as upgrade:
            # Decline the upgrade to another protocol by continuing with HTTP/1.1.
            self.parser = HttpRequestParser(self)
            return data[upgrade.args[0] :]
        except HttpParserError:
            if not self.ready:
                raise UnreadableRequest(400) from None
            self.ready[-1].keep_alive = False  # answered first, then the connection is closed
        return b""

    def _check_limits(self) -> None:
        if self.in_head and self.head_size > MAX_HEAD_BYTES:
            raise UnreadableRequest(431)
        if self.incoming is not None and self.incoming.status and not self.ready:
            raise UnreadableRequest(self.incoming.status)  # its rest need not be read
        if len(self.ready) > MAX_PIPELINED_REQUESTS:
            raise UnreadableRequest(400)

    def has_streamed_body(self) -> bool:
        """Whether the request that is being received has a body that is streamed."""
        return self.incoming is not None and self.incoming.streamed_body is not None

    def should_keep_alive(self) -> bool:
        return self.parser is not None and self.parser.should_keep_alive()

    def accepts_chunked(self) -> bool:
        """Whether the client supports chunked transfer coding (HTTP/1.1)."""
        return self.parser is not None and self.parser.get_http_version() != "1.0"

    def is_overdue(self, now: float) -> bool:
        """Whether the awaited request takes too long to arrive."""
        incoming = self.incoming
        if incoming is None or self.in_head:
            return self.deadlines.head_is_overdue(now)
        if incoming.streamed_body is None:
            return self.deadlines.body_is_overdue(now, len(incoming.body), paused=False)
        return self.deadlines.body_is_overdue(now, incoming.streamed_body.size, incoming.streamed_body.paused)

    # The parser's callbacks

    def on_message_begin(self) -> None:
        self.incoming = IncomingRequest()
        self.in_head = True
        self.deadlines.expect_request(self.now)

    def on_url(self, url: bytes) -> None:
        assert self.incoming is not None
        self.incoming.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        assert self.incoming is not None
        if len(self.incoming.headers) < MAX_HEADERS:
            self.incoming.headers.append((name, value.rstrip()))  # the parser leaves trailing white space
        else:
            self.incoming.status = 431

    def on_headers_complete(self) -> None:
        assert self.incoming is not None and self.parser is not None and self.handler is not None
        self.in_head = False
        self.deadlines.head_received(self.now)
        expects_continue = self.incoming.complete_head(self.parser.get_method(), self.head_size)
        self.head_size = 0
        if expects_continue:
            self.handler.continue_expected()

    def on_body(self, body: bytes) -> None:
        incoming = self.incoming
        assert incoming is not None
        self.deadlines.body_received(self.now)
        if incoming.status:
            return
        if incoming.streamed_body is None and len(incoming.body) + len(body) > MAX_BUFFERED_BYTES:
            self._begin_streaming(incoming)
        if incoming.streamed_body is None:
            incoming.body += body
            return
        incoming.streamed_body.add(body)
        if incoming.streamed_body.size > MAX_BODY_BYTES:
            incoming.status = 413

    def _begin_streaming(self, incoming: IncomingRequest) -> None:
        """Stream the body from here on."""
        assert self.handler is not None
        incoming.streamed_body = StreamedBody(self.handler, incoming.length)
        buffered, incoming.body = bytes(incoming.body), bytearray()
        if buffered:
            incoming.streamed_body.add(buffered)

    def on_message_complete(self) -> None:
        incoming, self.incoming = self.incoming, None
        assert incoming is not None and self.parser is not None and self.handler is not None
        incoming.keep_alive = self.parser.should_keep_alive()
        self.deadlines.request_received()
        self.handler.request_completed(incoming)
