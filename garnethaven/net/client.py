"""One client's connection: passes its requests to the engine one at a time and writes the answers in order.

Parsing, writing, the lingering close and the detection of clients that left are in modules of their own.
"""

from __future__ import annotations

import asyncio
import socket
from typing import cast

from garnethaven.engine.account import CallResult
from garnethaven.engine.calls import Call
from garnethaven.limits.budgets import Reservation
from garnethaven.limits.connection_limit import FIRST_REQUEST_GRACE_S, ConnectionHistory
from garnethaven.net.call_making import make_call
from garnethaven.net.client_presence import ClientPresence
from garnethaven.net.costly_reads import MAX_PARTS_PER_READ, PARTS_PER_TURN
from garnethaven.net.exchange import Answer, Header
from garnethaven.net.flow import MAX_BODY_BYTES, STREAM_STALL_S, StreamedBody
from garnethaven.net.lingering_close import LINGER_S, MAX_LINGER_BYTES, STREAM_LINGER_S, LingeringClose
from garnethaven.net.local_paths import local_status
from garnethaven.net.owner import Owner
from garnethaven.net.presence import end_writing, has_unread, reset_at_close
from garnethaven.net.read_buffer import BoundedReads
from garnethaven.net.request_reader import RequestReader, UnreadableRequest
from garnethaven.net.requests import IncomingRequest, RequestHead, parse_head
from garnethaven.net.response_writer import BodyFraming, ResponseWriter, choose_framing
from garnethaven.net.transport import HttpAttempt
from garnethaven.net.upload_timing import UploadTiming

DEFERRED_READ_S = 0.02  # a few iterations of the event loop
MAX_UNREAD_BYTES = 64 * 1024  # received while a request is in progress; above it, reading pauses
# After an invalid request the connection is not read for this long: a client that repeats the request at once
# would take processing time from all others. The answer itself is not delayed. Closing the connection instead
# would cost more, because the client would reconnect.
PENALTY_S = 0.2


class ClientConnection(BoundedReads):
    """One client's connection: the engine's client of its calls, and the source of their streamed bodies.

    `over_limit` is set on a connection that is accepted only to answer its requests with 503.
    """

    def __init__(self, owner: Owner, sock: socket.socket, over_limit: bool) -> None:
        self.owner = owner
        self.engine = owner.engine
        self.sock = sock
        self.over_limit = over_limit
        # Received after the process was suspended; read after discovery's updates.
        self.deferred = bytearray()
        self.unread = bytearray()  # received while a request was in progress
        # A request whose client may have left; handled once the client is found present.
        self.unconfirmed: IncomingRequest | None = None
        self.call: Call | None = None
        self.streamed_request: IncomingRequest | None = None  # in progress; its body is still being received
        self.streamed_answer: HttpAttempt | None = None  # the attempt whose answer is being streamed
        self.memory = owner.transport.pool.memory
        self.reservation = Reservation(self.memory)
        self.timing = UploadTiming(sock, owner.engine, self.memory)
        self.call_bytes = 0  # memory of the buffered request in progress
        self.sent_body: StreamedBody | None = None  # complete, of the request in progress; may be unsent
        self.has_waited = False  # the requests that are handled next were received during another one
        self.costly_parts = 0  # read since the last turn
        self.resting = False  # not read until its turn (costly_reads.py)
        self.write_paused = False  # the client has not read all that was written
        self.keep_alive = True
        self.closing = False
        self.penalised = False
        self.active_at = owner.loop.time()
        self.usage = ConnectionHistory(self.active_at)
        self.reader = RequestReader(self, self.active_at)
        self.unsent = 0  # bytes in the write buffer at the last check

    # asyncio.BufferedProtocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's class, which does not inherit from it
        # With a limit of 0, `pause_writing` is called as soon as the kernel does not take all bytes.
        self.transport.set_write_buffer_limits(high=0)
        self.writer = ResponseWriter(self.transport)
        self.presence = ClientPresence(self.sock, self.transport, self.writer, self.owner.loop)
        self.lingering_close = LingeringClose(self.sock, self.transport, self.owner)
        self.owner.opened(self)

    def data_received(self, data: bytes) -> None:
        self.active_at = self.owner.loop.time()
        self.timing.bytes_read(len(data), self.owner.is_lagging())
        self._receive(data)
        if not self.deferred:
            self.timing.read_handled()

    def _receive(self, data: bytes) -> None:
        if self.deferred or self.owner.should_defer_reading(self.active_at):
            if not self.deferred:
                self.owner.loop.call_later(DEFERRED_READ_S, self._read_deferred)
                self.transport.pause_reading()
            self.deferred += data
            self._update_reservation()
            return
        self._read(data)

    def _read_deferred(self) -> None:
        """Read the bytes that were deferred after the process was suspended."""
        data, self.deferred = bytes(self.deferred), bytearray()
        if data and not self.transport.is_closing():
            self.transport.resume_reading()
            self._read(data)
            self.timing.read_handled()

    def _read(self, data: bytes) -> None:
        self.has_waited = False
        if self.closing:
            max_bytes = MAX_BODY_BYTES if self.streamed_request is not None else MAX_LINGER_BYTES
            self.lingering_close.discard(len(data), max_bytes)
        elif self.streamed_request is not None:
            self._parse(data)
        elif self._has_request() or self.penalised:
            self.unread += data
            if len(self.unread) > MAX_UNREAD_BYTES or self.memory.is_too_much(len(self.unread)):
                self.transport.pause_reading()
        else:
            self._parse(data)
        self._update_reservation()
        if self.reservation.is_too_much():
            self._give_up_memory()
        elif self.reader.is_body_read_ahead() and not self.memory.has_room_to_read_ahead():
            self.reader.stop_reading_ahead()

    # The account of buffered bytes

    def _update_reservation(self) -> None:
        self.reservation.resize(self._held_bytes())

    def _held_bytes(self) -> int:
        """The memory that requests and unread answers of this connection take."""
        unsent = self.transport.get_write_buffer_size()
        sent_body = self.sent_body.held_bytes() if self.sent_body is not None else 0
        request_bytes = self.reader.held_bytes() + self.call_bytes + sent_body
        return request_bytes + len(self.unread) + len(self.deferred) + unsent

    def _give_up_memory(self) -> None:
        """The account is full: refuse the request that is being received, or buffer less of its body."""
        if self.closing or self.incoming is None:
            return
        if self.streamed_request is None and not self._has_request():
            self._refuse_incomplete()
        elif self.incoming.streamed_body is not None:
            self.incoming.streamed_body.hold()
            self._update_reservation()

    def _refuse_incomplete(self) -> None:
        """Answer an incomplete request with 503 and close the connection; it has had no effect yet."""
        self.keep_alive = False
        self._account_incomplete(CallResult.REFUSED)
        self._answer_status(503)

    def eof_received(self) -> bool:
        """The client has closed its writing side; it may still read."""
        if self.deferred:
            self._read_deferred()
        if not self._has_begun_request() or self.closing or self.streamed_request is not None:
            return False
        self.presence.half_close(self._recheck_presence)
        return True

    def _recheck_presence(self) -> None:
        """Handle the unconfirmed request, unless its client turns out to have left."""
        if not self._has_begun_request() or self.has_left():
            return
        incoming, self.unconfirmed = self.unconfirmed, None
        if incoming is not None:
            self._handle(incoming)

    def has_left(self) -> bool:
        """Whether the client is known to have left; called before each further attempt."""
        return self.presence.has_left(self._recheck_presence)

    def connection_lost(self, problem: Exception | None) -> None:
        self.closing = True
        self.lingering_close.cancel()
        self.streamed_request = self.streamed_answer = self.unconfirmed = self.sent_body = None
        self.reader.close()
        self.reservation.resize(0)
        call, self.call = self.call, None
        if call is not None:
            self.engine.client_left(call)
        self.owner.forget(self)

    # Reading: callbacks of the RequestReader

    def _parse(self, data: bytes) -> None:
        try:
            self.reader.feed(data, self.active_at)
        except UnreadableRequest as unreadable:
            self._reject_and_close(unreadable.status)
            return
        self._count_parts(self.reader.part_count)
        self._handle_ready()
        self._handle_streamed_body()

    def _count_parts(self, count: int) -> None:
        """Count the parts of a body that were just read, if they are costly; rest after too many of them."""
        if count > MAX_PARTS_PER_READ:
            self.costly_parts += count
        if self.costly_parts > PARTS_PER_TURN:
            self.costly_parts = 0
            self._rest()

    def _rest(self) -> None:
        """Read nothing more until it is this connection's turn."""
        if not self.resting and not self.transport.is_closing():
            self.resting = True
            self.timing.reading_paused()
            self.transport.pause_reading()
            self.owner.costly_reads.rest(self._end_rest)

    def _end_rest(self) -> None:
        self.resting = False
        if not self.closing and not self.penalised and not self.reader.body_is_paused():
            self.resume_reading()

    def continue_expected(self) -> None:
        self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def request_completed(self, incoming: IncomingRequest) -> None:
        self.owner.request_received(self.usage, self.active_at)
        if incoming.streamed_body is not None:
            incoming.streamed_body.end()
        if self.streamed_request is not incoming:
            incoming.written_at = self.timing.completed_at()
            self.reader.ready.append(incoming)
            return
        self.streamed_request = None
        if self.call is not None:
            self.sent_body = incoming.streamed_body
            self.engine.request_complete(self.call, self.timing.completed_at())

    # Streamed bodies

    def _handle_streamed_body(self) -> None:
        """Handle a request whose body is still being received, once the body is too long to buffer."""
        incoming = self.reader.incoming
        if incoming is None or not self.reader.has_streamed_body():
            return
        if self.reader.ready or not self._is_free():
            return
        self.keep_alive = self.reader.should_keep_alive()
        self.streamed_request = incoming
        self.timing.request_began()
        self._handle(incoming)

    def pause_reading(self) -> None:
        self.timing.reading_paused()
        if not self.transport.is_closing():
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        if not self.transport.is_closing() and not self.resting:
            self.timing.reading_resumed()
            self.transport.resume_reading()

    def _abandon_call(self) -> None:
        """Fail the call whose request will not be received completely."""
        call, self.call = self.call, None
        if call is not None:
            self.engine.client_left(call, CallResult.FAILED)

    # Complete requests

    def _handle_ready(self) -> None:
        """Handle the next complete request, if there is one and no other is in progress.

        The client of a request that has waited may have left: reading may be paused, or the loop may lag.
        """
        while self.reader.ready and self._is_free():
            incoming = self.reader.ready.popleft()
            self.keep_alive = incoming.keep_alive
            may_have_left = self.has_waited or self.owner.is_lagging()
            if may_have_left and self.presence.has_ended_writing():
                self.unconfirmed = incoming  # handled once the client is known to be present
                self.presence.half_close(self._recheck_presence)
            else:
                self._handle(incoming)

    def _is_free(self) -> bool:
        """Whether the next request may be handled."""
        if self._has_begun_request() or self.closing or self.penalised or self.write_paused:
            return False
        return not self.transport.is_closing()

    def _has_begun_request(self) -> bool:
        """Whether a request is being handled or waits for the check that its client is present."""
        return self.call is not None or self.unconfirmed is not None

    def _handle(self, incoming: IncomingRequest) -> None:
        if incoming.status:
            self._answer_with_penalty(incoming.status)
            return
        status = local_status(incoming.url, self.owner.draining)
        if status is not None:
            self._answer_status(status)
            return
        head = parse_head(incoming, self.owner.classes)
        if head is None:
            self._answer_with_penalty(400)
            return
        self._begin_call(incoming, head)

    def _begin_call(self, incoming: IncomingRequest, head: RequestHead) -> None:
        held_bytes = incoming.held_bytes()
        if self.over_limit or self.memory.is_too_much(held_bytes):
            self.engine.account.record_immediate(head.class_index, CallResult.REFUSED)
            self._answer_status(503)
            return
        self.call = make_call(self, incoming, head, self.owner.transport, self.engine.settings)
        if not self.engine.take(self.call, incoming.written_at):
            self.call = None
            self.engine.account.record_immediate(head.class_index, CallResult.FAILED)
            self._answer_with_penalty(409)
        elif self.streamed_request is None:
            self.call_bytes = held_bytes

    # Answers: callbacks of the engine (engine/calls.py) and of the transport (net/transport.py)

    def send_answer(self, answer: Answer) -> None:
        self._write_answer(200, answer.body, answer.headers)

    def begin_answer(self, attempt: HttpAttempt, answer: Answer) -> None:
        """Write the head of a streamed answer, which has status 200."""
        self.streamed_answer = attempt
        framing = choose_framing(answer.length, self.reader.accepts_chunked())
        if framing is BodyFraming.UNTIL_CLOSE:
            self.keep_alive = False
        self.writer.begin_body(answer.headers, framing, answer.length, self._decide_keep_alive())

    def send_body(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.writer.write_body(data)
            if self.write_paused:
                self._update_reservation()

    def end_answer(self) -> None:
        if not self.transport.is_closing():
            self.writer.end_body()
            self._answer_written()

    def abort_answer(self) -> None:
        """Abort a streamed answer whose rest is missing; the client detects it by the framing."""
        self.call = None
        if self.writer.framing is BodyFraming.UNTIL_CLOSE:
            reset_at_close(self.sock)  # an orderly close would mark the answer as complete
        self.transport.abort()

    def pause_writing(self) -> None:
        self.write_paused = True
        if self.streamed_answer is not None:
            self.streamed_answer.pause()

    def resume_writing(self) -> None:
        self.write_paused = False
        self._update_reservation()
        if self.streamed_answer is not None:
            self.streamed_answer.resume()
        else:
            self.owner.loop.call_soon(self._continue_reading)

    def _has_more_to_handle(self) -> bool:
        return bool(self.unread or self.reader.ready or self.reader.has_streamed_body())

    def refused(self, retry_after: int, over_share: bool) -> None:
        headers = [(b"Retry-After", b"%.3f" % (retry_after / 1e9))] if retry_after else []
        self._write_answer(503, b"", headers)

    def failed(self, status: int) -> None:
        self._write_answer(status, b"", [])

    def _answer_status(self, status: int) -> None:
        """Answer a request that is not passed to the engine."""
        self._write_answer(status, b"", [])

    def _answer_with_penalty(self, status: int) -> None:
        """Answer an invalid request; the next one on the connection is not read for a while."""
        self.penalised = True
        self.usage.rejected_count += 1
        self._answer_status(status)
        if not self.closing and not self.transport.is_closing():
            self.transport.pause_reading()
            self.owner.loop.call_later(PENALTY_S, self._end_penalty)

    def _end_penalty(self) -> None:
        self.penalised = False
        if not self.transport.is_closing():
            self._continue_reading()

    def _write_answer(self, status: int, body: bytes | bytearray, headers: list[Header]) -> None:
        if self.transport.is_closing():
            self.call = None
            return
        if self.streamed_answer is not None:
            self.abort_answer()
            return
        self.writer.write_answer(status, headers, body, self._decide_keep_alive())
        self._answer_written()

    def _decide_keep_alive(self) -> bool:
        """Decide whether the connection stays open after the answer that is about to be written."""
        if self.half_closed or self.over_limit or self.owner.draining or self.streamed_request is not None:
            self.keep_alive = False
        elif self.keep_alive and not self.reader.ready and not self.unread:
            self.usage.idle_since = self.owner.loop.time()
            self.keep_alive = not self.owner.ends_with_answer(self)
        return self.keep_alive

    def _answer_written(self) -> None:
        self.call = self.streamed_answer = self.sent_body = None
        self.call_bytes = 0
        self._update_reservation()
        self.writer.answer_ended()
        self.timing.answer_written()
        self.active_at = self.usage.idle_since = self.owner.loop.time()
        if not self.keep_alive:
            self._close_lingering(STREAM_LINGER_S if self.streamed_request is not None else LINGER_S)
        elif self._has_more_to_handle() and not self.penalised:
            # In a later iteration: a client that pipelines requests must not delay the others.
            self.owner.loop.call_soon(self._continue_reading)

    def _continue_reading(self) -> None:
        if not self._is_free():
            return
        self.has_waited = True
        if self.reader.ready:
            self._handle_ready()
            return
        data, self.unread = bytes(self.unread), bytearray()
        if not self.reader.body_is_paused():
            self.resume_reading()
        if data:
            self._parse(data)
        else:
            self._handle_streamed_body()  # reading may have paused within it during the last request

    def _reject_and_close(self, status: int) -> None:
        """Answer a request whose remaining bytes are not read, and close the connection."""
        self.keep_alive = False
        if self.streamed_request is not None:
            self._abandon_call()
        else:
            self._account_incomplete(CallResult.FAILED)
        self._answer_status(status)

    def _account_incomplete(self, result: CallResult) -> None:
        """Count a request that is answered before it was complete, if its class is known."""
        if self.incoming is None:
            return
        request_class = self.owner.classes.class_indexes.get(self.incoming.class_name())
        if request_class is not None:
            self.engine.account.record_immediate(request_class, result)

    def _close_lingering(self, max_s: float) -> None:
        """Close once the client has closed its side, or after `max_s` seconds (lingering_close.py)."""
        self.closing = True
        if self.transport.is_closing():
            return
        self._discard_received()
        if self.half_closed:
            self.transport.close()  # the client has already closed its side
            return
        self.owner.linger_started(self)
        self.lingering_close.begin(max_s)

    def _discard_received(self) -> None:
        """Free what was received and will not be handled any more."""
        self.reader.close()
        self.unread, self.deferred = bytearray(), bytearray()
        if self.streamed_request is not None and self.streamed_request.streamed_body is not None:
            self.streamed_request.streamed_body.drop_replay()
        self._update_reservation()

    # Called by the listener (owner.py)

    @property
    def waiting_since(self) -> float:
        return self.reader.deadlines.waiting_since

    @property
    def incoming(self) -> IncomingRequest | None:
        """The request that is being received."""
        return self.reader.incoming

    @property
    def half_closed(self) -> bool:
        """Whether the client has closed its writing side."""
        return self.presence.half_closed

    def is_awaiting_request(self) -> bool:
        """Whether no byte of the next request has been received yet."""
        busy = self._has_request() or self.incoming is not None or self.unread or self.deferred
        return not busy and not self.closing

    def _has_request(self) -> bool:
        """Whether a complete request is being handled or queued."""
        return self._has_begun_request() or bool(self.reader.ready)

    def is_idle(self) -> bool:
        if not self.is_awaiting_request():
            return False
        return not has_unread(self.sock) and not self.transport.get_write_buffer_size()

    def is_evictable(self, now: float) -> bool:
        """Whether the client is silent or slow, or its last request was invalid."""
        if self.closing or self._has_request() or self.deferred:
            return False
        silent = self.waiting_since > 0.0 and now - self.waiting_since >= FIRST_REQUEST_GRACE_S
        return self.penalised or silent

    def _is_overdue(self, now: float) -> bool:
        if not self.reader.deadlines.is_waiting() or self.reader.ready or self.closing:
            return False
        if self.call is not None and self.streamed_request is None:
            return False
        return self.reader.is_overdue(now)

    def check_timeouts(self, now: float) -> None:
        """End the connection if a request arrives too slowly, an answer is not read, or it is idle."""
        if self.streamed_request is not None and self.call is not None:
            self.timing.check(self.streamed_request, self.call, self.reservation.size)
        elif self.incoming is not None and self._is_free() and self.timing.is_over(self.incoming):
            self._refuse_incomplete()
        unsent = self.transport.get_write_buffer_size()
        if self.reservation.size:
            self._update_reservation()
        if unsent:
            self._check_write_progress(unsent, now)
        elif self._is_overdue(now):
            self._end_overdue()
        elif now - self.active_at > self.owner.calm_idle_s and self.is_idle():
            self.stop_reading()
        self.unsent = unsent

    def _check_write_progress(self, unsent: int, now: float) -> None:
        if unsent != self.unsent:
            self.active_at = now
        elif now - self.active_at > STREAM_STALL_S:
            self.transport.abort()

    def _end_overdue(self) -> None:
        if self.incoming is not None:
            self._reject_and_close(408)
        elif self.reader.head_size or not has_unread(self.sock):
            self.stop_reading()  # blank lines are no request

    def stop_reading(self) -> None:
        """Close, unless there is a complete request; an incomplete one has had no effect yet."""
        self._read_deferred()
        if not self.closing and not self._has_request():
            self._close_lingering(LINGER_S)

    def abort(self) -> None:
        self.transport.abort()

    def evict(self) -> bool:
        """Close at once to free the descriptor; returns False if there may be a complete request."""
        if self.closing or self._has_request() or self.deferred:
            return False
        if not self.penalised and has_unread(self.sock):
            return False  # the rest of the request, or its client's close, which will be read soon
        self.closing = True
        self.owner.close_started(self)
        if not self.transport.get_write_buffer_size():
            end_writing(self.sock)
        self.transport.close()
        return True
