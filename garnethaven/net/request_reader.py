"""Parses the bytes that a client's connection receives into requests, within size limits."""

from __future__ import annotations

from collections import deque
from typing import Protocol

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from garnethaven.net.flow import (
    MAX_BODY_BYTES,
    MAX_BUFFERED_BYTES,
    BodySource,
    StreamedBody,
    has_too_much_framing,
)
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
        self.body_parts: list[bytes] = []  # of a streamed body, parsed from the bytes that were fed last
        self.part_count = 0  # parts of a body among the bytes that were fed last
        self.body_received_bytes = 0  # behind the head: the body with its chunk sizes and trailers

    def close(self) -> None:
        self.handler = None
        self.parser = None
        self.incoming = None
        self.ready.clear()
        self.body_parts.clear()

    def held_bytes(self) -> int:
        """The memory that requests take which are received and not handled yet."""
        held = sum(request.held_bytes() for request in self.ready) if self.ready else 0
        if self.incoming is not None:
            held += self.incoming.held_bytes() + self.head_size
        return held

    def feed(self, data: bytes, now: float) -> None:
        """Parse received bytes. Raises UnreadableRequest."""
        if self.parser is None:
            return
        self.now = now
        self.part_count = 0
        self.deadlines.expect_request(now)
        incoming, was_in_body = self.incoming, self.incoming is not None and not self.in_head
        if not was_in_body:
            self.head_size += len(data)
        try:
            self._parse(memoryview(data))
        except HttpParserError:
            self._end_requests(400)
        self._pass_body_on()
        if was_in_body and self.incoming is incoming:
            self.body_received_bytes += len(data)
        self._check_limits()

    def _parse(self, unparsed: memoryview) -> None:
        """Parse all bytes; a request that offers an upgrade interrupts the parser behind its head."""
        while unparsed and self.parser is not None:
            try:
                self.parser.feed_data(unparsed)
                return
            except HttpParserUpgrade as upgrade:
                unparsed = unparsed[upgrade.args[0] :]
            incoming = self.incoming
            if incoming is None:  # a CONNECT request: what follows its head is not HTTP
                self.ready[-1].keep_alive = False
                return
            if incoming.status:
                self._end_requests(incoming.status)
                return
            self._decline_upgrade(incoming, self.parser)

    def _decline_upgrade(self, incoming: IncomingRequest, parser: HttpRequestParser) -> None:
        """Go on with HTTP/1.1: the body belongs to the request that offers the upgrade.

        The parser takes what follows the head for another protocol, whatever body the head states. A new
        parser gets the same head without the offer.
        """
        version = parser.get_http_version()
        self.parser = HttpRequestParser(self)
        self.parser.feed_data(incoming.head_without_upgrade(parser.get_method(), version))

    def _end_requests(self, status: int) -> None:
        """Read nothing more: answer the requests that are complete, then close.

        Raises UnreadableRequest with `status` if there are none.
        """
        if not self.ready:
            raise UnreadableRequest(status) from None
        self.ready[-1].keep_alive = False

    def _check_limits(self) -> None:
        if self.in_head and self.head_size > MAX_HEAD_BYTES:
            raise UnreadableRequest(431)
        incoming = self.incoming
        if incoming is not None and incoming.status and not self.ready:
            raise UnreadableRequest(incoming.status)  # its rest need not be read
        if incoming is not None and has_too_much_framing(self.body_received_bytes, incoming.body_size()):
            self._end_requests(431)
        if len(self.ready) > MAX_PIPELINED_REQUESTS:
            raise UnreadableRequest(400)

    def has_streamed_body(self) -> bool:
        """Whether the request that is being received has a body that is streamed."""
        return self.incoming is not None and self.incoming.streamed_body is not None

    def body_is_paused(self) -> bool:
        """Whether the body that is being received has paused reading, until a server takes it."""
        body = self.incoming.streamed_body if self.incoming is not None else None
        return body is not None and body.paused

    def is_body_read_ahead(self) -> bool:
        """Whether the body that is being received is read ahead of the server that it is written to."""
        body = self.incoming.streamed_body if self.incoming is not None else None
        return body is not None and body.max_held_bytes > 0

    def stop_reading_ahead(self) -> None:
        """Read the body that is being received as fast as its server takes it."""
        if self.incoming is not None and self.incoming.streamed_body is not None:
            self.incoming.streamed_body.hold()

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
        return self.deadlines.body_is_overdue(now, incoming.body_size(), self.body_is_paused())

    @staticmethod
    def _is_upgrade_offer(parser: HttpRequestParser) -> bool:
        """Whether the current request offers an upgrade that is to be declined."""
        return parser.should_upgrade() and parser.get_method() != b"CONNECT"

    # The parser's callbacks

    def on_message_begin(self) -> None:
        self.incoming = IncomingRequest()
        self.in_head = True
        self.body_received_bytes = 0
        self.deadlines.expect_request(self.now)

    def on_url(self, url: bytes) -> None:
        assert self.incoming is not None
        self.incoming.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        assert self.incoming is not None
        if not self.in_head:
            return  # a trailer: not forwarded, and no header of the request
        if len(self.incoming.headers) < MAX_HEADERS:
            self.incoming.headers.append((name, value.rstrip()))  # the parser leaves trailing white space
        else:
            self.incoming.status = 431

    def on_headers_complete(self) -> None:
        assert self.incoming is not None and self.parser is not None and self.handler is not None
        if self._is_upgrade_offer(self.parser):
            self.incoming.check_head_size(self.head_size)
            return
        self.in_head = False
        self.deadlines.head_received(self.now)
        expects_continue = self.incoming.complete_head(self.parser.get_method(), self.head_size)
        self.head_size = 0
        if expects_continue:
            self.handler.continue_expected()

    def on_body(self, body: bytes) -> None:
        incoming = self.incoming
        assert incoming is not None
        self.part_count += 1
        self.deadlines.body_received(self.now)
        if incoming.status:
            return
        if incoming.streamed_body is None and len(incoming.body) + len(body) > MAX_BUFFERED_BYTES:
            self._begin_streaming(incoming)
        if incoming.streamed_body is None:
            incoming.body += body
        else:
            self.body_parts.append(body)

    def _pass_body_on(self) -> None:
        """Pass the parsed parts of a streamed body on together: a chunk may hold a single byte."""
        parts, self.body_parts = self.body_parts, []
        incoming = self.incoming
        if not parts or incoming is None or incoming.streamed_body is None:
            return
        incoming.streamed_body.add(parts[0] if len(parts) == 1 else b"".join(parts))
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
        assert self.parser is not None and self.handler is not None
        if self._is_upgrade_offer(self.parser):
            return  # the request continues behind its head (_decline_upgrade)
        self._pass_body_on()
        incoming, self.incoming = self.incoming, None
        assert incoming is not None
        incoming.keep_alive = self.parser.should_keep_alive()
        self.deadlines.request_received()
        self.handler.request_completed(incoming)
