"""One connection to an endpoint or to discovery: carries one exchange at a time and parses its answer.

The outcome of an exchange whose connection breaks depends on *when* it breaks: while the last byte of the
request is still in this process's write buffer the request cannot have run; after that it may have.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import socket
import time
from typing import Protocol, cast

from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

from garnethaven.addresses import Address
from garnethaven.limits.budgets import BufferMemory, Reservation
from garnethaven.net import flow
from garnethaven.net.exchange import BODY_LIMIT, Answer, Exchange
from garnethaven.net.flow import LAST_CHUNK, MAX_BODY_BYTES, MAX_BUFFERED_BYTES, chunk
from garnethaven.net.presence import has_unread, has_unread_bytes, unacknowledged_bytes
from garnethaven.net.read_buffer import BoundedReads
from garnethaven.net.reuse import ReusePolicy

# Pause within a buffered answer after which it counts as stalled. It may go on, since endpoints pause for
# seconds. Or it may never end: an endpoint that sends wrong framing keeps the connection open and sends no
# more, and a machine may vanish in the middle of an answer.
STALL_S = 0.3
OK = 200


class SharedPool(Protocol):
    """The state that all connections of a pool share."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop: ...
    @property
    def memory(self) -> BufferMemory: ...
    @property
    def reuse(self) -> ReusePolicy: ...


class ConnectionOwner(Protocol):
    """The target that a connection belongs to (upstream.py)."""

    @property
    def pool(self) -> SharedPool: ...
    def release(self, connection: Connection) -> None:
        """Keep the connection for the next exchange."""

    def forget(self, connection: Connection) -> None:
        """Remove a connection that has ended."""


class Connection(BoundedReads):
    """One connection; carries one exchange at a time and returns to its target's idle list in between."""

    def __init__(self, target: ConnectionOwner, address: Address, sock: socket.socket) -> None:
        self.target = target
        self.address = address
        self.sock = sock
        self.exchange: Exchange | None = None
        self.streaming = False  # whether the answer is passed on as it is received
        self.paused = False
        self.memory = target.pool.memory
        self.reservation = Reservation(self.memory)
        self.body_parts: list[bytes] = []  # of the answer, parsed from the bytes that were received last
        self.answer = Answer()
        self.parser: HttpResponseParser | None = HttpResponseParser(self)
        self.flushed = True  # the last byte of the request has left the write buffer
        self.received_bytes = 0  # bytes since the request was written
        self.request_bytes_written = 0
        self.in_body = False
        self.complete = False
        self.has_surplus = False  # bytes followed the end of the answer
        self.reusable = False
        self.progress_timer: asyncio.TimerHandle | None = None
        self.hold_until = math.inf  # when to stream an answer without a stated length, by the loop's clock
        self.last_received_at = 0.0
        self.opened_at = time.monotonic_ns()
        self.idle_since = 0.0  # by the loop's clock; 0: has not been idle
        self.idle_before_s = 0.0  # seconds without an exchange, before the current one
        self.request_at = 0.0  # when the current request was written
        self.answered_at = 0.0  # when the last complete answer ended

    # asyncio.BufferedProtocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's class, which does not inherit from it
        # With a limit of 0, `resume_writing` is called when the kernel has taken the last byte.
        self.transport.set_write_buffer_limits(high=0)

    def resume_writing(self) -> None:
        exchange = self.exchange
        if exchange is not None and exchange.body is not None and not exchange.body.complete:
            exchange.body.resume()
        else:
            self._request_written()

    def _check_request_written(self) -> None:
        body = self.exchange.body if self.exchange is not None else None
        written = not self.transport.is_closing() and not self.transport.get_write_buffer_size()
        if written and (body is None or body.complete):
            self._request_written()

    def _request_written(self) -> None:
        if not self.flushed:
            self.flushed = True
            if self.exchange is not None:
                self.exchange.request_written()

    # A streamed request body (BodySink)

    def write_part(self, data: bytes) -> bool:
        assert self.exchange is not None and self.exchange.body is not None
        if self.transport.is_closing():
            return True
        chunked = self.exchange.body.length is None
        self._write_request_bytes(chunk(data) if chunked else data)
        return not self.transport.get_write_buffer_size()

    def finish_body(self) -> None:
        assert self.exchange is not None and self.exchange.body is not None
        if self.exchange.body.length is None and not self.transport.is_closing():
            self._write_request_bytes(LAST_CHUNK)
        self._check_request_written()

    def unsent_bytes(self) -> int:
        return self.transport.get_write_buffer_size()

    def _write_request_bytes(self, data: bytes) -> None:
        self.request_bytes_written += len(data)
        self.transport.write(data)

    # Backpressure: an answer is read no faster than the client takes it

    def pause(self) -> None:
        if not self.paused and not self.transport.is_closing():
            self.paused = True
            self.transport.pause_reading()

    def resume(self) -> None:
        if self.paused:
            self.paused = False
            self.last_received_at = self.target.pool.loop.time()
            if not self.transport.is_closing():
                self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        if self.exchange is None or self.parser is None:
            self.report_unsolicited()
            self.drop()  # no request is pending: these bytes must not become the next request's answer
            return
        unsolicited = not self.received_bytes and self._is_unsolicited()
        self.received_bytes += len(data)
        self.last_received_at = self.target.pool.loop.time()
        if self.exchange.stalled:
            self.exchange.answer_resumed()
        if unsolicited:
            self.report_unsolicited()
            self._fail()
            return
        try:
            self.parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade):
            self.reusable = False
            if not self.complete:
                self._fail()
                return
            self.has_surplus = True
        self._pass_body_on()
        if not self.complete:
            if self._should_stream():
                self._begin_streaming()
            if self._is_too_large():
                if self.exchange is not None:
                    self.exchange.oversized = True
                self._fail()
        if self.complete:
            self._finish()
        if self.exchange is not None and self.progress_timer is None:
            self._schedule_progress_check(STALL_S)

    def eof_received(self) -> None:
        self._connection_ended(clean=True)

    def connection_lost(self, problem: Exception | None) -> None:
        self.target.forget(self)
        self._connection_ended(clean=problem is None)
        self.parser = None  # breaks a reference cycle that only a full collection would free

    def _connection_ended(self, clean: bool) -> None:
        if self.exchange is None:
            return
        if clean and self.in_body and self._ends_with_connection():
            self.reusable = False
            self._finish()
        else:
            self._fail()

    def _ends_with_connection(self) -> bool:
        """Whether the end of the connection ends the body; the answer must state `Connection: close`.

        Otherwise an answer whose length was lost to corruption would count as complete where it breaks off.
        """
        answer = self.answer
        if answer.length is not None or answer.header(b"transfer-encoding") is not None:
            return False
        return (answer.header(b"connection") or b"").lower() == b"close"

    def _is_too_large(self) -> bool:
        """Whether the head, the 1xx answers, the trailers or the body exceed their limits."""
        size, limit = self.answer.size, self._body_limit()
        if self.reservation.is_too_much():
            return True
        if size > limit or (self.answer.length or 0) > limit:
            return True
        return flow.has_too_much_framing(self.received_bytes, size)

    def _should_stream(self) -> bool:
        """Whether the answer is too long to be buffered, received or announced, or was held long enough."""
        answer = self.answer
        length = answer.length or 0
        long = answer.size > MAX_BUFFERED_BYTES or MAX_BUFFERED_BYTES < length <= MAX_BODY_BYTES
        due = long or self.target.pool.loop.time() >= self.hold_until or self.reservation.is_too_much()
        return self.in_body and due and not self.streaming and answer.status == OK

    def _begin_streaming(self) -> None:
        """Pass the answer on as it is received, if the exchange accepts that."""
        exchange, answer = self.exchange, self.answer
        assert exchange is not None
        self.hold_until = math.inf
        if not exchange.begin_streaming(answer):
            return
        self.streaming = True
        self.reservation.resize(0)
        buffered, answer.body = answer.body, bytearray()
        if buffered:
            exchange.body_received(bytes(buffered))

    def _pass_body_on(self) -> None:
        """Stream or buffer the parsed parts of the body together: a chunk may hold a single byte."""
        parts, self.body_parts = self.body_parts, []
        if not parts or self.exchange is None:
            return
        body = parts[0] if len(parts) == 1 else b"".join(parts)
        if self.streaming:
            self.exchange.body_received(body)
        else:
            self.answer.body += body
            self.reservation.resize(len(self.answer.body))

    # HttpResponseParser

    def on_message_begin(self) -> None:
        if self.complete:
            self.reusable = False  # an answer without a request follows the expected one
            self.has_surplus = True

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
        if self.exchange is not None:
            self.exchange.answer_begun = True
        length = answer.header(b"content-length")
        answer.length = int(length) if length is not None else None
        if self.exchange is not None and answer.status == OK and self._may_be_long():
            self.hold_until = self.target.pool.loop.time() + self.exchange.max_hold_s()

    def _may_be_long(self) -> bool:
        """Whether the answer states no length, but its end can be told."""
        chunked = self.answer.header(b"transfer-encoding") is not None
        return self.answer.length is None and (chunked or self._ends_with_connection())

    def on_body(self, body: bytes) -> None:
        if self.complete:
            return
        self.answer.size += len(body)
        self.body_parts.append(body)

    def on_message_complete(self) -> None:
        if self.complete or self.parser is None:
            return
        if not self.in_body:
            self.answer = Answer()  # an interim answer (1xx): the final one follows
            return
        self.complete = True
        self.reusable = self.parser.should_keep_alive()

    # Called by the exchange and the pool

    def start_exchange(self, exchange: Exchange) -> None:
        """Write the request of `exchange`, and report its answer or failure to it."""
        self.exchange = exchange
        exchange.connection = self
        self.request_at = self.target.pool.loop.time()
        self.idle_before_s = self.request_at - self.idle_since if self.idle_since else 0.0
        self.answer = Answer()
        self.received_bytes = 0
        self.in_body = self.complete = self.has_surplus = self.reusable = False
        self.flushed = self.streaming = False
        self.hold_until = math.inf
        message = exchange.message()
        self.request_bytes_written = sum(map(len, message))
        self.transport.writelines(message)
        if exchange.body is not None:
            exchange.body.attach(self)
            self._check_request_written()
        elif not self.transport.is_closing() and not self.transport.get_write_buffer_size():
            self._request_written()

    def is_usable(self) -> bool:
        """Whether the endpoint has neither closed this idle connection nor written to it.

        Asks the kernel, since the event loop may lag; a request written to a closed connection is reset.
        """
        return not self.transport.is_closing() and not self._unread()

    def _unread(self) -> bool:
        return has_unread(self.sock)

    # Unsolicited bytes: those that belong to no request

    def report_unsolicited(self) -> None:
        """Record in the pool's reuse policy that this endpoint has just written unsolicited bytes."""
        if self.answered_at:
            now = self.target.pool.loop.time()
            self.target.pool.reuse.record_unsolicited(now, now - self.answered_at)

    def _is_unsolicited(self) -> bool:
        """Whether the first bytes after a request were sent before the endpoint had received any of it.

        TCP segments with an answer acknowledge the received part of the request. False on a new connection,
        where an endpoint may answer with a rejection at once.
        """
        if not self.answered_at:
            return False
        unacknowledged = unacknowledged_bytes(self.sock)
        if unacknowledged is None:
            return False
        return unacknowledged + self.transport.get_write_buffer_size() >= self.request_bytes_written

    def drop_unusable(self) -> None:
        """Close an idle connection that can't be reused."""
        if has_unread_bytes(self.sock):
            self.report_unsolicited()
        self.drop()

    def drop(self) -> None:
        """Close at once; bytes that are still in the write buffer are never sent."""
        if self.exchange is not None and self.exchange.body is not None:
            self.exchange.body.detach(self)
        self.exchange = None
        self._release_answer()
        self._cancel_progress_timer()
        if not self.flushed:
            # The transport may go on writing until it is torn down.
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)
        self.transport.abort()

    def _schedule_progress_check(self, max_s: float) -> None:
        """Check the answer's progress after `max_s` seconds, or when it has been held long enough."""
        loop = self.target.pool.loop
        due_s = min(max_s, max(0.0, self.hold_until - loop.time()))
        self.progress_timer = loop.call_later(due_s, self._check_progress)

    def _check_progress(self) -> None:
        """Stream an answer that was held long enough; end one that pauses, unless its exchange waits on."""
        if self._should_stream():
            self._begin_streaming()
        loop = self.target.pool.loop
        max_s = flow.STREAM_STALL_S if self.streaming else STALL_S
        left_s = max_s if self.paused or self._unread() else self.last_received_at + max_s - loop.time()
        if left_s > 0.0:  # also if this process lags behind the kernel, not the endpoint
            self._schedule_progress_check(left_s)
        elif not self.streaming and self.exchange is not None and self.exchange.answer_stalled():
            self._schedule_progress_check(STALL_S)
        elif self.exchange is not None:  # a decision about the stalled answer may have ended it
            self._fail()

    def _cancel_progress_timer(self) -> None:
        if self.progress_timer is not None:
            self.progress_timer.cancel()
            self.progress_timer = None

    def _body_limit(self) -> int:
        if self.exchange is None:
            return BODY_LIMIT
        return self.exchange.body_limit if not self.streaming else MAX_BODY_BYTES

    def _finish(self) -> None:
        exchange, self.exchange = self.exchange, None
        assert exchange is not None
        exchange.connection = None
        exchange.over = True
        if exchange.body is not None:
            exchange.body.detach(self)
        self._cancel_progress_timer()
        self.resume()
        answer = self.answer
        self._release_answer()
        self._record_answer()
        # Before the outcome is reported: the decisions that follow may close idle connections.
        if self.reusable and self.flushed and not self.transport.is_closing():
            self.target.release(self)
        else:
            self.drop()
        exchange.answered(answer)

    def _record_answer(self) -> None:
        self.answered_at = self.target.pool.loop.time()
        self.target.pool.reuse.answered(self.answered_at - self.request_at)
        if self.has_surplus:
            self.report_unsolicited()

    def _release_answer(self) -> None:
        """Drop the buffered answer and release its memory."""
        self.reservation.resize(0)
        self.answer = Answer()
        self.body_parts.clear()

    def _fail(self) -> None:
        exchange, written = self.exchange, self.flushed
        self.drop()
        if exchange is not None:
            exchange.connection = None
            exchange.over = True
            exchange.stale = self.idle_since > 0.0 and not self.received_bytes
            exchange.broken(written)
