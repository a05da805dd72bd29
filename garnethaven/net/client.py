"""One connection of the application: reading its requests within bounds, writing their answers."""

from __future__ import annotations

import asyncio
import socket
from typing import cast

from garnethaven.engine.account import End
from garnethaven.engine.calls import Call
from garnethaven.limits.places import FIRST_S, Usage
from garnethaven.net.body_memory import BodyReservation
from garnethaven.net.call_making import call_of
from garnethaven.net.client_presence import ClientPresence
from garnethaven.net.exchange import Answer, Header
from garnethaven.net.flow import BODY_MOST, STALL_S
from garnethaven.net.lingering_close import LINGER_BYTES, LINGER_FLOW_S, LINGER_S, LingeringClose
from garnethaven.net.local_paths import local_status
from garnethaven.net.owner import Owner
from garnethaven.net.presence import has_unread, reset_at_close
from garnethaven.net.request_reader import RequestReader, UnreadableRequest
from garnethaven.net.requests import IncomingRequest, RequestHead, head_of
from garnethaven.net.response_writer import BodyFraming, ResponseWriter, framing_of
from garnethaven.net.transport import HttpAttempt

DEFERRED_READ_S = 0.02  # seconds: some rounds of the loop
MAX_UNREAD_BYTES = 64 * 1024
# After a request that no endpoint may see the next one on its connection is not read for a while: a
# client that sends the same again at once would take the time of all others. The answer itself is not
# held. Closing instead would have it connect anew, which costs more.
PENALTY_S = 0.2


class ClientConnection(asyncio.Protocol):
    """One connection of the application: one request at a time, answered in turn."""

    def __init__(self, owner: Owner, sock: socket.socket, over_limit: bool) -> None:
        self.owner = owner
        self.engine = owner.engine
        self.sock = sock
        self.over_limit = over_limit
        self.deferred = bytearray()  # came as the process woke, and waits for discovery's news
        self.unread = bytearray()  # what came while a request was under way
        self.unconfirmed: IncomingRequest | None = None  # its client may have gone
        self.call: Call | None = None
        self.streamed_request: IncomingRequest | None = None  # under way, its body still comes
        self.streamed_answer: HttpAttempt | None = None  # whose answer goes to the client as it comes
        self.body_memory = BodyReservation(owner.transport.pool.memory)
        self.keep_alive = True
        self.closing = False
        self.penalised = False
        self.active_at = owner.loop.time()
        self.usage = Usage(self.active_at)
        self.reader = RequestReader(self, self.active_at)
        self.unsent = 0

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's own, of no common class
        self.writer = ResponseWriter(self.transport)
        self.presence = ClientPresence(self.sock, self.transport, self.writer, self.owner.loop)
        self.lingering_close = LingeringClose(self.transport, self.owner)
        self.owner.opened(self)

    def data_received(self, data: bytes) -> None:
        self.active_at = self.owner.loop.time()
        if self.deferred or self.owner.defers_reading(self.active_at):
            if not self.deferred:
                self.owner.loop.call_later(DEFERRED_READ_S, self._read_deferred)
            self.deferred += data
            return
        self._read(data)

    def _read_deferred(self) -> None:
        """Read what came while the process stood still."""
        data, self.deferred = bytes(self.deferred), bytearray()
        if data and not self.transport.is_closing():
            self._read(data)

    def _read(self, data: bytes) -> None:
        if self.closing:
            most = BODY_MOST if self.streamed_request is not None else LINGER_BYTES
            self.lingering_close.swallow(len(data), most)
        elif self.streamed_request is not None:
            self._parse(data)
        elif self._has_request() or self.penalised:
            self.unread += data
            if len(self.unread) > MAX_UNREAD_BYTES:
                self.transport.pause_reading()
        else:
            self._parse(data)

    def eof_received(self) -> bool:
        """The client writes no more; it may still read."""
        if self.deferred:
            self._read_deferred()
        if (
            (self.call is None and self.unconfirmed is None)
            or self.closing
            or self.streamed_request is not None
        ):
            return False
        self.presence.half_close(self._check_gone)
        return True

    def _check_gone(self) -> None:
        if (self.call is not None or self.unconfirmed is not None) and not self.has_left():
            incoming, self.unconfirmed = self.unconfirmed, None
            if incoming is not None:
                self._handle(incoming)

    def has_left(self) -> bool:
        """Whether the client is known to have gone; asked before anything more is sent for it."""
        return self.presence.has_left(self._check_gone)

    def connection_lost(self, problem: Exception | None) -> None:
        self.closing = True
        self.lingering_close.cancel()
        self.streamed_request = self.streamed_answer = self.unconfirmed = None
        self.body_memory.release()
        self.reader.close()
        call, self.call = self.call, None
        if call is not None:
            self.engine.left(call)
        self.owner.forget(self)

    # Reading

    def _parse(self, data: bytes) -> None:
        try:
            rest = self.reader.feed(data, self.active_at)
        except UnreadableRequest as unreadable:
            self._reject_and_close(unreadable.status)
            return
        if rest:
            self.unread[:0] = rest
        self._handle_ready()
        self._handle_long_body()

    def continue_expected(self) -> None:
        self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def request_completed(self, incoming: IncomingRequest) -> None:
        self.owner.request_received(self.usage, self.active_at)
        if incoming.flow is not None:
            incoming.flow.end()
        if self.streamed_request is not incoming:
            self.reader.ready.append(incoming)
            return
        self.streamed_request = None
        if self.call is not None:
            self.engine.whole(self.call)

    # A body that is too long to be held

    def _handle_long_body(self) -> None:
        """Take up a request whose body is still coming, once it is known to be long."""
        incoming = self.reader.incoming
        if incoming is None or not self.reader.has_long_body():
            return
        if self.call is not None or self.reader.ready or self.closing or self.penalised:
            return
        self.keep_alive = self.reader.should_keep_alive()
        self.streamed_request = incoming
        self._handle(incoming)
        if self.call is not None:
            self.body_memory.take()

    def pause_reading(self) -> None:
        if not self.transport.is_closing():
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        if not self.transport.is_closing():
            self.transport.resume_reading()

    def _abandon_call(self) -> None:
        """What still comes of a request is of no use: nobody waits for its answer any more."""
        call, self.call = self.call, None
        if call is not None:
            self.engine.left(call, End.FAILED)

    # A whole request

    def _handle_ready(self) -> None:
        """Take up the next whole request, if there is one and none is under way."""
        while self.reader.ready and self._is_free():
            incoming = self.reader.ready.popleft()
            self.keep_alive = incoming.keep_alive
            if self.owner.is_late() and self.presence.has_ended_writing():
                self.unconfirmed = incoming  # taken once it is known whether anybody waits for its answer
                self.presence.half_close(self._check_gone)
            else:
                self._handle(incoming)

    def _is_free(self) -> bool:
        """Whether the next request may be taken up."""
        free = self.call is None and self.unconfirmed is None
        return free and not self.closing and not self.penalised and not self.transport.is_closing()

    def _handle(self, incoming: IncomingRequest) -> None:
        if incoming.status:
            self._answer_with_penalty(incoming.status)
            return
        status = local_status(incoming.url, self.owner.draining)
        if status is not None:
            self._answer_status(status)
            return
        head = head_of(incoming, self.owner.classes)
        if head is None:
            self._answer_with_penalty(400)
            return
        self._begin_call(incoming, head)

    def _begin_call(self, incoming: IncomingRequest, head: RequestHead) -> None:
        if self.over_limit or (self.streamed_request is not None and not self.body_memory.can_be_had()):
            self.engine.account.at_once(head.request_class, End.REFUSED)
            self._answer_status(503)
            return
        self.call = call_of(self, incoming, head, self.owner.transport, self.engine.settings)
        if not self.engine.take(self.call):
            self.call = None
            self.engine.account.at_once(head.request_class, End.FAILED)
            self._answer_with_penalty(409)

    # Answering: the engine's side of a call

    def served(self, answer: Answer) -> None:
        self._write_answer(200, b"".join(answer.body), answer.headers)

    def began(self, attempt: HttpAttempt, answer: Answer) -> None:
        """The first part of an answer too long to be held; from here on it goes to the client as it comes."""
        self.streamed_answer = attempt
        self.body_memory.take()
        framing = framing_of(answer.length, self.reader.accepts_chunked())
        if framing is BodyFraming.UNTIL_CLOSE:
            self.keep_alive = False
        self.writer.begin_body(answer.headers, framing, answer.length, self._decide_keep_alive())

    def more(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.writer.write_body(data)

    def ended(self) -> None:
        if not self.transport.is_closing():
            self.writer.end_body()
            self._answer_written()

    def broke(self) -> None:
        """The rest of an answer will not come: the client can tell, for no end of it is written."""
        self.call = None
        if self.writer.framing is BodyFraming.UNTIL_CLOSE:
            # Only a reset tells a client of an answer that is as long as the connection lasts.
            reset_at_close(self.sock)
        self.transport.abort()

    def pause_writing(self) -> None:
        if self.streamed_answer is not None:
            self.streamed_answer.pause()

    def resume_writing(self) -> None:
        if self.streamed_answer is not None:
            self.streamed_answer.resume()

    def refused(self, retry_after: int, over_share: bool) -> None:
        headers = [(b"Retry-After", b"%.3f" % (retry_after / 1e9))] if retry_after else []
        self._write_answer(503, b"", headers)

    def failed(self, status: int) -> None:
        self._write_answer(status, b"", [])

    def _answer_status(self, status: int) -> None:
        """An answer of this side's own, to what the engine does not see."""
        self._write_answer(status, b"", [])

    def _answer_with_penalty(self, status: int) -> None:
        """Answer a request that no endpoint may see; the connection's next one waits for a while."""
        self.penalised = True
        self.usage.turned_away += 1
        self._answer_status(status)
        if not self.closing and not self.transport.is_closing():
            self.transport.pause_reading()
            self.owner.loop.call_later(PENALTY_S, self._end_penalty)

    def _end_penalty(self) -> None:
        self.penalised = False
        if not self.transport.is_closing():
            self._continue_reading()

    def _write_answer(self, status: int, body: bytes, headers: list[Header]) -> None:
        if self.transport.is_closing():
            self.call = None
            return
        if self.streamed_answer is not None:
            self.broke()
            return
        self.writer.write_answer(status, headers, body, self._decide_keep_alive())
        self._answer_written()

    def _decide_keep_alive(self) -> bool:
        """Decide whether the connection goes on behind the answer that is about to be written."""
        if self.half_closed or self.over_limit or self.owner.draining or self.streamed_request is not None:
            self.keep_alive = False
        elif self.keep_alive and not self.reader.ready and not self.unread:
            self.usage.since = self.owner.loop.time()
            self.keep_alive = not self.owner.ends_with_answer(self)
        return self.keep_alive

    def _answer_written(self) -> None:
        self.call = self.streamed_answer = None
        self.body_memory.release()
        self.writer.answer_ended()
        self.active_at = self.usage.since = self.owner.loop.time()
        if not self.keep_alive:
            self._close_lingering(LINGER_FLOW_S if self.streamed_request is not None else LINGER_S)
        elif (self.unread or self.reader.ready or self.reader.has_long_body()) and not self.penalised:
            # Not at once: a client that sends ahead must not keep the others waiting.
            self.owner.loop.call_soon(self._continue_reading)

    def _continue_reading(self) -> None:
        if not self._is_free():
            return
        if self.reader.ready:
            self._handle_ready()
            return
        data, self.unread = bytes(self.unread), bytearray()
        self.transport.resume_reading()
        if data:
            self._parse(data)
        else:
            self._handle_long_body()  # its reading may have been paused behind the request before

    def _reject_and_close(self, status: int) -> None:
        """Answer what cannot be read any further, and close."""
        self.keep_alive = False
        if self.streamed_request is not None:
            self._abandon_call()
        else:
            self._account_incomplete()
        self._answer_status(status)

    def _account_incomplete(self) -> None:
        """Enter a request that is answered before it was whole, where it names a class."""
        if self.incoming is None:
            return
        request_class = self.owner.classes.grades.get(self.incoming.class_name())
        if request_class is not None:
            self.engine.account.at_once(request_class, End.FAILED)

    def _close_lingering(self, most_s: float) -> None:
        """End this side's writing, and the connection once the client has ended its own."""
        self.closing = True
        if self.transport.is_closing():
            return
        if self.half_closed:
            self.transport.close()  # it has ended: nothing can come
            return
        self.owner.lingers(self)
        self.lingering_close.begin(most_s)

    # Looked after by the listener

    @property
    def waits_since(self) -> float:
        return self.reader.deadlines.waits_since

    @property
    def incoming(self) -> IncomingRequest | None:
        """The request that is being received."""
        return self.reader.incoming

    @property
    def half_closed(self) -> bool:
        """Whether the client has ended its writing."""
        return self.presence.half_closed

    def waits_for_request(self) -> bool:
        """Whether nothing of a request has been seen yet."""
        busy = self._has_request() or self.incoming is not None or self.unread
        return not busy and not self.closing

    def _has_request(self) -> bool:
        """Whether a whole request is under way or waits for its turn."""
        return self.call is not None or self.unconfirmed is not None or bool(self.reader.ready)

    def is_idle(self) -> bool:
        if not self.waits_for_request():
            return False
        return not has_unread(self.sock) and not self.transport.get_write_buffer_size()

    def takes_room(self, now: float) -> bool:
        """Whether it only takes up room: silent or slow, or turned away."""
        if self.closing or self._has_request():
            return False
        silent = self.waits_since > 0.0 and now - self.waits_since >= FIRST_S
        return self.penalised or silent

    def _is_overdue(self, now: float) -> bool:
        if not self.reader.deadlines.is_waiting() or self.reader.ready or self.closing:
            return False
        if self.call is not None and self.streamed_request is None:
            return False
        return self.reader.is_overdue(now)

    def look_after(self, now: float) -> None:
        """End what does not go on: a request that is never finished, an answer that is never read."""
        unsent = self.transport.get_write_buffer_size()
        if unsent:
            if unsent != self.unsent:
                self.active_at = now
            elif now - self.active_at > STALL_S:
                self.transport.abort()
        elif self._is_overdue(now):
            if self.incoming is not None:
                self._reject_and_close(408)
            else:
                self.stop_reading()
        elif now - self.active_at > self.owner.calm_idle_s and self.is_idle():
            self.stop_reading()
        self.unsent = unsent

    def stop_reading(self) -> None:
        """The end is near: what is not a whole request by now has not been taken."""
        if not self.closing and not self._has_request():
            self._close_lingering(LINGER_S)

    def abort(self) -> None:
        self.transport.abort()

    def make_room(self) -> None:
        """End at once, where the descriptor is wanted for another."""
        if not self.closing and not self._has_request():
            self.closing = True
            self.owner.closes(self)
            self.transport.close()
