"""One connection to an endpoint or to discovery: one exchange at a time, and the answer as it comes.

What happened to an exchange is told by *when* its connection broke: with the last byte still in our
own buffer the request cannot have run, after that it may have.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from typing import Protocol, cast

from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

from garnethaven.addresses import Address
from garnethaven.limits.budgets import AnswerMemory
from garnethaven.net import flow
from garnethaven.net.exchange import BODY_LIMIT, Answer, Exchange
from garnethaven.net.flow import BODY_MOST, HELD_LIMIT, LAST_CHUNK, chunk
from garnethaven.net.presence import has_unread, has_unread_bytes, unacknowledged_bytes
from garnethaven.net.reuse import ReusePolicy

# All that is not body together: 1xx answers ahead, the head, chunk sizes, trailers.
FRAMING_LIMIT = 32 * 1024
FRAMING_MOST = 8  # times the body, for chunks of a byte each
# An answer that has begun comes whole or has broken: an endpoint that spoils the framing keeps the
# connection open and says nothing more. It also ends answers from a machine that vanishes halfway. It
# would do harm to endpoints that stop for longer within an answer; they may pause for 0.1 s.
STALL_S = 0.3
OK = 200


class SharedPool(Protocol):
    """What all connections of a pool share."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop: ...
    @property
    def memory(self) -> AnswerMemory: ...
    @property
    def reuse(self) -> ReusePolicy: ...


class ConnectionOwner(Protocol):
    """The target that a connection leads to (upstream.py)."""

    @property
    def pool(self) -> SharedPool: ...
    def release(self, connection: Connection) -> None:
        """Keep the connection for the next exchange."""

    def forget(self, connection: Connection) -> None:
        """The connection has ended."""


class Connection(asyncio.Protocol):
    """One connection; carries one exchange at a time and goes back to its target's pool."""

    def __init__(self, target: ConnectionOwner, address: Address, sock: socket.socket) -> None:
        self.target = target
        self.address = address
        self.sock = sock
        self.exchange: Exchange | None = None
        self.passing = False  # the answer goes on as it comes
        self.paused = False
        self.held = 0  # bytes of the answer that are held here
        self.answer = Answer()
        self.parser: HttpResponseParser | None = HttpResponseParser(self)
        self.flushed = True  # the last byte of the request has left our buffer
        self.received = 0
        self.request_size = 0  # of what has been written of the request
        self.in_body = False
        self.complete = False
        self.extra = False  # more has come than the answer
        self.reusable = False
        self.stall: asyncio.TimerHandle | None = None
        self.heard_at = 0.0
        self.opened_at = time.monotonic_ns()
        self.idle_since = 0.0
        self.idle_for = 0.0  # before the exchange that it carries
        self.asked_at = 0.0
        self.answered_at = 0.0  # the end of the latest whole answer

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's own, of no common class
        # With no slack an empty write buffer means that the kernel has the last byte.
        self.transport.set_write_buffer_limits(high=0)

    def resume_writing(self) -> None:
        exchange = self.exchange
        if exchange is not None and exchange.body is not None and not exchange.body.whole:
            exchange.body.go_on()
        else:
            self._went_out()

    def _check_went_out(self) -> None:
        body = self.exchange.body if self.exchange is not None else None
        written = not self.transport.is_closing() and not self.transport.get_write_buffer_size()
        if written and (body is None or body.whole):
            self._went_out()

    def _went_out(self) -> None:
        if not self.flushed:
            self.flushed = True
            if self.exchange is not None:
                self.exchange.went_out()

    # A request's body that comes in parts

    def body_came(self, data: bytes) -> bool:
        assert self.exchange is not None and self.exchange.body is not None
        if self.transport.is_closing():
            return True
        chunked = self.exchange.body.length is None
        self._write_more(chunk(data) if chunked else data)
        return not self.transport.get_write_buffer_size()

    def body_ended(self) -> None:
        assert self.exchange is not None and self.exchange.body is not None
        if self.exchange.body.length is None and not self.transport.is_closing():
            self._write_more(LAST_CHUNK)
        self._check_went_out()

    def _write_more(self, data: bytes) -> None:
        self.request_size += len(data)
        self.transport.write(data)

    # An answer that is read no faster than the client takes it

    def pause(self) -> None:
        if not self.paused and not self.transport.is_closing():
            self.paused = True
            self.transport.pause_reading()

    def resume(self) -> None:
        if self.paused:
            self.paused = False
            self.heard_at = self.target.pool.loop.time()
            if not self.transport.is_closing():
                self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        if self.exchange is None or self.parser is None:
            self.note_unasked()
            self.drop()  # nothing was asked: whatever this is, the next request must not be given it
            return
        unasked = not self.received and self._came_unasked()
        self.received += len(data)
        self.heard_at = self.target.pool.loop.time()
        if unasked:
            self.note_unasked()
            self._break()
            return
        try:
            self.parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade):
            self.reusable = False
            if not self.complete:
                self._break()
                return
            self.extra = True
        if not self.complete:
            if self._is_long():
                self._pass_on()
            if self._too_large():
                if self.exchange is not None:
                    self.exchange.oversized = True
                self._break()
        if self.complete:
            self._finish()
        if self.exchange is not None and self.stall is None:
            self.stall = self.target.pool.loop.call_later(STALL_S, self._stalled)

    def eof_received(self) -> None:
        self._ended(clean=True)

    def connection_lost(self, problem: Exception | None) -> None:
        self.target.forget(self)
        self._ended(clean=problem is None)
        self.parser = None  # it holds this object: a cycle that only a full collection would free

    def _ended(self, clean: bool) -> None:
        if self.exchange is None:
            return
        if clean and self.in_body and self._ends_with_connection():
            self.reusable = False
            self._finish()
        else:
            self._break()

    def _ends_with_connection(self) -> bool:
        """Whether the end of the connection is the end of the body, as the answer itself must say.

        An answer that only lost its length to noise would else be taken for whole wherever it breaks off.
        """
        answer = self.answer
        if answer.length is not None or answer.header(b"transfer-encoding") is not None:
            return False
        return (answer.header(b"connection") or b"").lower() == b"close"

    def _too_large(self) -> bool:
        """Guards against heads, 1xx answers, trailers and bodies without end, whatever they hold."""
        size, limit = self.answer.size, self._body_limit()
        if self.target.pool.memory.too_much(self.held):
            return True
        framing = FRAMING_LIMIT + FRAMING_MOST * size  # a chunk may hold a single byte
        return size > limit or (self.answer.length or 0) > limit or self.received - size > framing

    def _is_long(self) -> bool:
        """Whether more of the answer has come, or is announced, than is held."""
        answer = self.answer
        length = answer.length or 0
        long = answer.size > HELD_LIMIT or HELD_LIMIT < length <= BODY_MOST
        return self.in_body and long and not self.passing and answer.status == OK

    def _pass_on(self) -> None:
        """Let the answer go on as it comes, where its user wants that."""
        exchange, answer = self.exchange, self.answer
        assert exchange is not None
        if not exchange.begins(answer):
            return
        self.passing = True
        self.target.pool.memory.shrinks(self.held)
        self.held = 0
        parts, answer.body = answer.body, []
        for part in parts:
            exchange.more(part)

    # HttpResponseParser

    def on_message_begin(self) -> None:
        if self.complete:
            self.reusable = False  # an answer to no request follows the one that was due
            self.extra = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.complete:
            self.answer.headers.append((name, value.rstrip()))

    def on_headers_complete(self) -> None:
        if self.complete or self.parser is None:
            return
        answer = self.answer
        answer.status = self.parser.get_status_code()
        if answer.status < OK:
            return
        self.in_body = True
        length = answer.header(b"content-length")
        answer.length = int(length) if length is not None else None

    def on_body(self, body: bytes) -> None:
        if self.complete:
            return
        answer = self.answer
        answer.size += len(body)
        if self.passing:
            if self.exchange is not None:
                self.exchange.more(body)
            return
        answer.body.append(body)
        self.held += len(body)
        self.target.pool.memory.grows(len(body))

    def on_message_complete(self) -> None:
        if self.complete or self.parser is None:
            return
        if not self.in_body:
            self.answer = Answer()  # an interim answer (1xx): the real one follows
            return
        self.complete = True
        self.reusable = self.parser.should_keep_alive()

    # What the exchange and the pool ask for

    def carry(self, exchange: Exchange) -> None:
        """Write the request of `exchange`; its answer or its end is told to it."""
        self.exchange = exchange
        exchange.connection = self
        self.asked_at = self.target.pool.loop.time()
        self.idle_for = self.asked_at - self.idle_since if self.idle_since else 0.0
        self.answer = Answer()
        self.received = 0
        self.in_body = self.complete = self.extra = self.reusable = False
        self.flushed = self.passing = False
        message = exchange.message()
        self.request_size = sum(map(len, message))
        self.transport.writelines(message)
        if exchange.body is not None:
            exchange.body.lead_to(self)
            self._check_went_out()
        elif not self.transport.is_closing() and not self.transport.get_write_buffer_size():
            self._went_out()

    def usable(self) -> bool:
        """Whether the endpoint has neither closed this idle connection nor written to it.

        The loop may be behind the kernel; a request written to a closed connection is a reset.
        """
        return not self.transport.is_closing() and not self._unread()

    def _unread(self) -> bool:
        return has_unread(self.sock)

    # Bytes that belong to no request

    def note_unasked(self) -> None:
        """Let the pool know that this endpoint has written what nobody asked for, just now."""
        if self.answered_at:
            now = self.target.pool.loop.time()
            self.target.pool.reuse.unasked(now, now - self.answered_at)

    def _came_unasked(self) -> bool:
        """Whether the first bytes after a request were written before the endpoint had any of it.

        An answer acknowledges the request, or what of it has come. A new connection is not asked: an
        endpoint may turn it away at once.
        """
        if not self.answered_at:
            return False
        unacknowledged = unacknowledged_bytes(self.sock)
        if unacknowledged is None:
            return False
        return unacknowledged + self.transport.get_write_buffer_size() >= self.request_size

    def drop_unusable(self) -> None:
        """Close what was idle and can't be reused."""
        if has_unread_bytes(self.sock):
            self.note_unasked()
        self.drop()

    def drop(self) -> None:
        """Close at once; what is still in our buffer never goes out."""
        if self.exchange is not None and self.exchange.body is not None:
            self.exchange.body.leave(self)
        self.exchange = None
        self._let_go()
        self._end_stall()
        if not self.flushed:
            # The transport may go on writing until it is torn down.
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)
        self.transport.abort()

    def _stalled(self) -> None:
        """Nothing more may have come for so long; an answer that only comes slowly goes on."""
        loop = self.target.pool.loop
        most = flow.STALL_S if self.passing else STALL_S
        left = most if self.paused or self._unread() else self.heard_at + most - loop.time()
        if left > 0.0:  # also where this side is late, not the endpoint
            self.stall = loop.call_later(left, self._stalled)
        else:
            self._break()

    def _end_stall(self) -> None:
        if self.stall is not None:
            self.stall.cancel()
            self.stall = None

    def _body_limit(self) -> int:
        if self.exchange is None:
            return BODY_LIMIT
        return self.exchange.body_limit if not self.passing else BODY_MOST

    def _finish(self) -> None:
        exchange, self.exchange = self.exchange, None
        assert exchange is not None
        exchange.connection = None
        exchange.over = True
        if exchange.body is not None:
            exchange.body.leave(self)
        self._end_stall()
        self.resume()
        answer = self.answer
        self._let_go()
        self._note_answered()
        # Before the outcome is told: the decisions that follow may close idle connections.
        if self.reusable and self.flushed and not self.transport.is_closing():
            self.target.release(self)
        else:
            self.drop()
        exchange.answered(answer)

    def _note_answered(self) -> None:
        self.answered_at = self.target.pool.loop.time()
        self.target.pool.reuse.answered(self.answered_at - self.asked_at)
        if self.extra:
            self.note_unasked()

    def _let_go(self) -> None:
        """The answer is held here no longer."""
        self.target.pool.memory.shrinks(self.held)
        self.held = 0
        self.answer = Answer()

    def _break(self) -> None:
        exchange, written = self.exchange, self.flushed
        self.drop()
        if exchange is not None:
            exchange.connection = None
            exchange.over = True
            exchange.stale = self.idle_since > 0.0 and not self.received
            exchange.broken(written)
