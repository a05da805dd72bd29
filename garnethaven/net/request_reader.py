"""Parses what a client's connection receives into requests, within bounds."""

from __future__ import annotations

from collections import deque
from typing import Protocol

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from garnethaven.net.flow import BODY_MOST, HELD_LIMIT, Body, Source
from garnethaven.net.request_deadlines import RequestDeadlines
from garnethaven.net.requests import MAX_HEAD_BYTES, MAX_HEADERS, IncomingRequest

MAX_PIPELINED_REQUESTS = 16  # whole requests that may wait behind one; clients send one at a time


class UnreadableRequest(Exception):  # noqa: N818  the client's fault, answered as any other request
    """Nothing that follows can be read as a request; `status` is that of the answer."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class RequestHandler(Source, Protocol):
    """The connection that requests are parsed for; also the source of streamed bodies."""

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
        self.ready: deque[IncomingRequest] = deque()  # completed ones that nobody has taken up, in turn
        self.deadlines = RequestDeadlines(now)
        self.now = now  # when what is being parsed came
        self.in_head = False
        self.head_size = 0

    def close(self) -> None:
        self.handler = None
        self.parser = None
        self.incoming = None
        self.ready.clear()

    def feed(self, data: bytes, now: float) -> bytes:
        """Parse what came; returns the part that has to be parsed later.

        Raises UnreadableRequest.
        """
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
            # The offer of another protocol is declined by going on with this one.
            self.parser = HttpRequestParser(self)
            return data[upgrade.args[0] :]
        except HttpParserError:
            if not self.ready:
                raise UnreadableRequest(400) from None
            self.ready[-1].keep_alive = False  # answered first, then the connection ends
        return b""

    def _check_limits(self) -> None:
        if self.in_head and self.head_size > MAX_HEAD_BYTES:
            raise UnreadableRequest(431)
        if self.incoming is not None and self.incoming.status and not self.ready:
            raise UnreadableRequest(self.incoming.status)  # the rest of it need not be read
        if len(self.ready) > MAX_PIPELINED_REQUESTS:
            raise UnreadableRequest(400)

    def has_long_body(self) -> bool:
        """Whether the request that is being received has a body too long to be held."""
        return self.incoming is not None and self.incoming.flow is not None

    def should_keep_alive(self) -> bool:
        return self.parser is not None and self.parser.should_keep_alive()

    def accepts_chunked(self) -> bool:
        """Whether the client understands an answer in chunks."""
        return self.parser is not None and self.parser.get_http_version() != "1.0"

    def is_overdue(self, now: float) -> bool:
        """Whether the request that is due takes too long to arrive."""
        incoming = self.incoming
        if incoming is None or self.in_head:
            return self.deadlines.head_is_overdue(now)
        if incoming.flow is None:
            return self.deadlines.body_is_overdue(now, len(incoming.body), paused=False)
        return self.deadlines.body_is_overdue(now, incoming.flow.size, incoming.flow.paused)

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
            self.incoming.headers.append((name, value.rstrip()))  # the parser leaves white space there
        else:
            self.incoming.status = 431

    def on_headers_complete(self) -> None:
        assert self.incoming is not None and self.parser is not None and self.handler is not None
        self.in_head = False
        self.deadlines.head_received(self.now)
        expects = self.incoming.complete_head(self.parser.get_method(), self.head_size)
        self.head_size = 0
        if expects:
            self.handler.continue_expected()

    def on_body(self, body: bytes) -> None:
        incoming = self.incoming
        assert incoming is not None
        self.deadlines.body_received(self.now)
        if incoming.status:
            return
        if incoming.flow is None and len(incoming.body) + len(body) > HELD_LIMIT:
            self._begin_flow(incoming)
        if incoming.flow is None:
            incoming.body += body
            return
        incoming.flow.came(body)
        if incoming.flow.size > BODY_MOST:
            incoming.status = 413

    def _begin_flow(self, incoming: IncomingRequest) -> None:
        """Pass the body on as it comes from here on."""
        assert self.handler is not None
        incoming.flow = Body(self.handler, incoming.length)
        held, incoming.body = bytes(incoming.body), bytearray()
        if held:
            incoming.flow.came(held)

    def on_message_complete(self) -> None:
        incoming, self.incoming = self.incoming, None
        assert incoming is not None and self.parser is not None and self.handler is not None
        incoming.keep_alive = self.parser.should_keep_alive()
        self.deadlines.request_received()
        self.handler.request_completed(incoming)
