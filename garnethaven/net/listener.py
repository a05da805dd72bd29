"""Clients' connections: reading requests within bounds, writing answers, and the planned end."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections import deque
from collections.abc import Callable
from typing import cast

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from garnethaven.backlog import LOOK_S, lead_to_the_next, stop_arrivals, waiting
from garnethaven.config import Config
from garnethaven.engine.calls import Call
from garnethaven.engine.classes import Classes, key_of
from garnethaven.engine.engine import MS, Engine
from garnethaven.limits.places import CALM_WAIT_S, FIRST_S, Places, Usage
from garnethaven.net.transport import HttpRequest, HttpTransport
from garnethaven.net.upstream import Answer, Header

HEAD_LIMIT = 32 * 1024
BODY_LIMIT = 64 * 1024
HEADERS_MOST = 128
PIPELINED_LIMIT = 64 * 1024
PIPELINED_MOST = 16  # whole requests that may wait behind one; clients send one at a time
# A whole request must come in this time after its first byte, the first one after the connection's
# start: against clients that say nothing, never end a head or trickle a body, whatever they mean by it.
# It would do harm to honest clients on a very slow way in; the application is on this machine. An
# application that connects ahead of need finds such connections closed, as any that stands idle.
REQUEST_S = 2.4
WRITE_STALL_S = 3.0
# After a request that no endpoint may see the next one on its connection is not read for a while: a
# client that sends the same again at once would take the time of all others. The answer itself is not
# held. Closing instead would have it connect anew, which costs more.
PENALTY_S = 0.2
LINGER_S = 0.5  # after an answer to a request that is not read to its end
LINGER_BYTES = 256 * 1024
SWEEP_S = 0.2
EASE_S = 0.05  # between two looks at the places for clients
CLIENTS_PART = 3  # clients may hold this part of the descriptors for requests
HALF_CLOSED_CHECK_S = 0.005  # the client is on this machine: a reset is back at once
ACCEPT_AT_ONCE = 64
OVERFLOW = 16  # connections above the limit that are taken only to say so
DESCRIPTORS_SHORT_S = 0.1

# A planned end. New connections come for up to 0.4 s after the signal; requests on kept ones as long
# as these are open.
DRAIN_IDLE_S = 0.45  # then idle connections are closed, while a resent request still finds the listener
DRAIN_LISTEN_S = 0.65
DRAIN_QUIET_S = 0.2  # the listener stays while connections come
DRAIN_LISTEN_MOST_S = 1.2
DRAIN_BACKLOG_S = 1.0  # for what has arrived but finds no place, once no more may arrive
DRAIN_READ_S = 1.4  # then a request that is still being written is given up

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
# Hop by hop, or said anew by this side.
NOT_PASSED_ON = frozenset(
    b"connection keep-alive proxy-connection te trailer transfer-encoding upgrade expect content-length"
    b" x-budget-ms proxy-authenticate proxy-authorization x-load-report".split()
)
# What a `Connection` header can't take away: endpoints know a request and its repeats by these.
PASSED_ON = frozenset(b"host x-call-id x-call-class x-caller idempotency-key".split())


class Incoming:
    """A request while it is read."""

    __slots__ = ("body", "headers", "keep_alive", "method", "status", "url")

    def __init__(self) -> None:
        self.url = b""
        self.method = b""
        self.headers: list[Header] = []
        self.body = bytearray()
        self.keep_alive = False
        self.status = 0  # what is wrong with it, as far as it can be told before its end


class ClientConnection(asyncio.Protocol):
    """One connection of the application: one request at a time, answered in turn."""

    def __init__(self, listener: Listener, sock: socket.socket, overflow: bool) -> None:
        self.listener = listener
        self.engine = listener.engine
        self.sock = sock
        self.overflow = overflow
        self.parser: HttpRequestParser | None = HttpRequestParser(self)
        self.incoming: Incoming | None = None
        self.in_head = False
        self.head_size = 0
        self.ready: deque[Incoming] = deque()  # whole requests, in turn
        self.unread = bytearray()  # what came while a request was under way
        self.call: Call | None = None
        self.keep_alive = True
        self.half_closed = False
        self.version_sent = False
        self.closing = False
        self.lingering = False
        self.swallowed = 0
        self.penalised = False
        self.active_at = listener.loop.time()
        self.usage = Usage(self.active_at)
        self.waits_since = self.active_at  # for a whole request; 0: nothing is due
        self.unsent = 0

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's own, of no common class
        self.listener.connections.add(self)
        self.listener.never_asked += 1
        self.listener.accepted.discard(self.sock)

    def data_received(self, data: bytes) -> None:
        self.active_at = self.listener.loop.time()
        if self.closing:
            self.swallowed += len(data)
            if self.swallowed > LINGER_BYTES:
                self.transport.abort()
        elif self.call is not None or self.ready or self.penalised:
            self._keep_for_later(data)
        else:
            self._feed(data)

    def eof_received(self) -> bool:
        """The client writes no more; it may still read.

        Whether it has gone away altogether shows only when something is written to it. Every answer
        begins alike, so its beginning is sent now: a client that is gone answers with a reset.
        """
        if self.call is None or self.closing:
            return False
        self.half_closed = True
        if not self.version_sent:
            self.version_sent = True
            self.transport.write(VERSION)
            self.listener.loop.call_later(HALF_CLOSED_CHECK_S, self._check_gone)
        return True

    def _check_gone(self) -> None:
        if self.call is None or self.transport.is_closing():
            return
        if self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self.transport.abort()

    def connection_lost(self, problem: Exception | None) -> None:
        self.closing = True
        self.incoming = None
        self.ready.clear()
        self.parser = None  # it holds this object: a cycle that only a full collection would free
        call, self.call = self.call, None
        if call is not None:
            self.engine.left(call)
        if not self.usage.asked:
            self.listener.never_asked -= 1
        self.listener.places.gone(self.usage, self.listener.loop.time())
        self.listener.forget(self)

    # Reading

    def _keep_for_later(self, data: bytes) -> None:
        self.unread += data
        if len(self.unread) > PIPELINED_LIMIT:
            self.transport.pause_reading()

    def _feed(self, data: bytes) -> None:
        if self.parser is None:
            return
        if not self.waits_since:
            self.waits_since = self.active_at
        if self.in_head or self.incoming is None:
            self.head_size += len(data)
        try:
            self.parser.feed_data(data)
        except HttpParserUpgrade as upgrade:
            # The offer of another protocol is declined by going on with this one.
            self.parser = HttpRequestParser(self)
            self.unread[:0] = data[upgrade.args[0] :]
        except HttpParserError:
            if not self.ready:
                self._reject(400)
                return
            self.ready[-1].keep_alive = False  # answered first, then the connection ends
        if self.in_head and self.head_size > HEAD_LIMIT:
            self._reject(431)
        elif self.incoming is not None and self.incoming.status and not self.ready:
            self._reject(self.incoming.status)  # the rest of it need not be read
        elif len(self.ready) > PIPELINED_MOST:
            self._reject(400)
        else:
            self._next()

    def on_message_begin(self) -> None:
        self.incoming = Incoming()
        self.in_head = True
        self.waits_since = self.waits_since or self.active_at

    def on_url(self, url: bytes) -> None:
        assert self.incoming is not None
        self.incoming.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        assert self.incoming is not None
        if len(self.incoming.headers) < HEADERS_MOST:
            self.incoming.headers.append((name, value))
        else:
            self.incoming.status = 431

    def on_headers_complete(self) -> None:
        incoming = self.incoming
        assert incoming is not None and self.parser is not None
        self.in_head = False
        if self.head_size > HEAD_LIMIT and head_length(incoming) > HEAD_LIMIT:
            incoming.status = 431
        self.head_size = 0
        incoming.method = self.parser.get_method()
        length, expects = 0, False
        for name, value in incoming.headers:
            lower = name.lower()
            if lower == b"content-length":
                length = int(value)
            elif lower == b"expect":
                expects = value.lower() == b"100-continue"
        if incoming.method not in (b"GET", b"POST"):
            incoming.status = 501
        if length > BODY_LIMIT:
            incoming.status = 413
        if expects and not incoming.status:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        incoming = self.incoming
        assert incoming is not None
        if len(incoming.body) + len(body) > BODY_LIMIT:
            incoming.status = 413
        if not incoming.status:
            incoming.body += body

    def on_message_complete(self) -> None:
        incoming, self.incoming = self.incoming, None
        assert incoming is not None and self.parser is not None
        incoming.keep_alive = self.parser.should_keep_alive()
        self.waits_since = 0.0
        if not self.usage.asked:
            self.listener.never_asked -= 1
        self.listener.places.asks(self.usage, self.active_at)
        self.ready.append(incoming)

    # A whole request

    def _next(self) -> None:
        """Take up the next whole request, if there is one and none is under way."""
        while self.ready and self.call is None and not self.closing and not self.penalised:
            incoming = self.ready.popleft()
            self.keep_alive = incoming.keep_alive
            self._take(incoming)

    def _take(self, incoming: Incoming) -> None:
        if incoming.status:
            self._turn_away(incoming.status)
            return
        path, _, query = incoming.url.partition(b"?")
        if path.startswith(b"/-/"):
            ready = path == b"/-/ready"
            self._say(404 if not ready else 503 if self.listener.draining else 200)
            return
        call = self._read_call(incoming, query)
        if call is None:
            self._turn_away(400)
        elif self.overflow:
            self._say(503)
        else:
            self.call = call
            if not self.engine.take(call):
                self.call = None
                self._turn_away(409)

    def _read_call(self, incoming: Incoming, query: bytes) -> Call | None:
        """The request as the engine takes it, or None where it lacks what every call has.

        What names a class that the settings don't have is no request of the application: endpoints
        can't use it either, and would be blamed for turning it away.
        """
        call_id = grade = caller = idempotency = budget = b""
        again = False
        passed_on = [incoming.method, b" ", incoming.url, b" HTTP/1.1\r\n"]
        dropped = NOT_PASSED_ON
        for name, value in incoming.headers:
            lower = name.lower()
            if lower == b"x-call-id":
                if call_id:
                    return None
                call_id = value
            elif lower == b"x-call-class":
                grade = value
            elif lower == b"x-caller":
                caller = value
            elif lower == b"x-budget-ms":
                budget = value
            elif lower == b"idempotency-key":
                idempotency = value
            elif lower == b"x-again":
                again = value == b"1"
            elif lower == b"connection" and value.lower() not in (b"keep-alive", b"close"):
                dropped = dropped | {part.strip() for part in value.lower().split(b",")} - PASSED_ON
            if lower not in dropped:
                passed_on += (name, b": ", value, b"\r\n")
        if not call_id or not budget.isdigit() or len(budget) > 12 or not int(budget):
            return None
        classes = self.listener.classes
        index = classes.grade_of(grade.decode("latin-1"), bool(idempotency))
        if index is None:
            return None
        body: bytes | bytearray = incoming.body
        if body or incoming.method != b"GET":
            passed_on.append(b"Content-Length: %d\r\n" % len(body))
        passed_on.append(b"X-Budget-Ms: ")
        request = HttpRequest(self, (b"".join(passed_on), b"\r\n\r\n"), body)
        call = Call(self, call_id, self.listener.transport, request)
        call.grade = index
        # No client waits longer than its class does; a larger figure would only hold memory.
        call.budget = min(int(budget) * MS, self.engine.settings.grades[index].deadline)
        call.caller = classes.tenant_of(caller.decode("latin-1"))
        call.key = key_of(query)
        call.repeat = again
        return call

    # Answering: the engine's side of a call

    def served(self, answer: Answer) -> None:
        self._write_answer(200, b"".join(answer.body), answer.headers)

    def refused(self, retry_after: int, over_share: bool) -> None:
        headers = [(b"Retry-After", b"%.3f" % (retry_after / 1e9))] if retry_after else []
        self._write_answer(503, b"", headers)

    def failed(self, status: int) -> None:
        self._write_answer(status, b"", [])

    def _say(self, status: int) -> None:
        """An answer of this side's own, to what the engine does not see."""
        self._write_answer(status, b"", [])

    def _turn_away(self, status: int) -> None:
        """Answer a request that no endpoint may see; the connection's next one waits for a while."""
        self.penalised = True
        self.usage.turned_away += 1
        self._say(status)
        if not self.closing and not self.transport.is_closing():
            self.transport.pause_reading()
            self.listener.loop.call_later(PENALTY_S, self._end_penalty)

    def _end_penalty(self) -> None:
        self.penalised = False
        if not self.transport.is_closing():
            self._go_on()

    def _write_answer(self, status: int, body: bytes, headers: list[Header]) -> None:
        if self.transport.is_closing():
            self.call = None
            return
        head = self._head(status, headers, b"Content-Length: %d" % len(body))
        self.transport.write(head + body)
        self._answered()

    def _head(self, status: int, headers: list[Header], framing: bytes) -> bytes:
        if self.half_closed or self.overflow or self.listener.draining:
            self.keep_alive = False
        elif self.keep_alive and not self.ready and not self.unread:
            self.usage.since = self.listener.loop.time()
            self.keep_alive = not self.listener.ends_with_answer(self)
        parts = [b"" if self.version_sent else VERSION, b"%d " % status, PHRASES[status], b"\r\n"]
        for name, value in headers:
            if name.lower() not in NOT_PASSED_ON:
                parts += (name, b": ", value, b"\r\n")
        if not self.keep_alive:
            parts.append(b"Connection: close\r\n")
        parts += (framing, b"\r\n\r\n")
        return b"".join(parts)

    def _answered(self) -> None:
        self.call = None
        self.version_sent = False
        self.active_at = self.usage.since = self.listener.loop.time()
        if not self.keep_alive:
            self._close_after_answer()
        elif (self.unread or self.ready) and not self.penalised:
            # Not at once: a client that sends ahead must not keep the others waiting.
            self.listener.loop.call_soon(self._go_on)

    def _go_on(self) -> None:
        if self.call is not None or self.closing or self.penalised:
            return
        if self.ready:
            self._next()
            return
        data, self.unread = bytes(self.unread), bytearray()
        self.transport.resume_reading()
        if data:
            self._feed(data)

    def _reject(self, status: int) -> None:
        """Answer what cannot be read any further, and close."""
        self.keep_alive = False
        self.lingering = True
        self._say(status)

    def _close_after_answer(self) -> None:
        self.closing = True
        if not self.lingering:
            self.transport.close()
            return
        # Unread bytes at the close would be a reset, and might cost the client its answer.
        self.transport.resume_reading()
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.listener.loop.call_later(LINGER_S, self.transport.abort)

    # Looked after by the listener

    def waits_for_request(self) -> bool:
        """Whether nothing of a request has been seen yet."""
        busy = self.call is not None or self.incoming is not None or self.ready or self.unread
        return not busy and not self.closing

    def is_idle(self) -> bool:
        if not self.waits_for_request():
            return False
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return not self.transport.get_write_buffer_size()
        except OSError:
            pass
        return False

    def is_new(self, now: float) -> bool:
        """Whether its first request may be on its way."""
        return not self.usage.asked and self.listener.places.may_be_asking(self.usage, now)

    def takes_room(self, now: float) -> bool:
        """Whether it only takes up room: silent or slow, turned away, or answered and not read to the end."""
        if self.closing:
            return self.lingering and self not in self.listener.leaving
        if self.call is not None or self.ready:
            return False
        return self.penalised or (self.waits_since > 0.0 and now - self.waits_since >= FIRST_S)

    def _is_overdue(self, now: float) -> bool:
        waits = self.waits_since > 0.0 and self.call is None and not self.ready and not self.closing
        return waits and now - self.waits_since > REQUEST_S

    def look_after(self, now: float) -> None:
        """End what does not go on: a request that is never finished, an answer that is never read."""
        unsent = self.transport.get_write_buffer_size()
        if unsent:
            if unsent != self.unsent:
                self.active_at = now
            elif now - self.active_at > WRITE_STALL_S:
                self.transport.abort()
        elif self._is_overdue(now):
            if self.incoming is not None:
                self._reject(408)
            else:
                self.stop_reading()
        elif now - self.active_at > self.listener.calm_idle_s and self.is_idle():
            self.stop_reading()
        self.unsent = unsent

    def stop_reading(self) -> None:
        """The end is near: what is not a whole request by now has not been taken."""
        if self.call is None and not self.ready and not self.closing:
            self.closing = True
            self.listener.leaving.add(self)
            self.transport.close()
        elif self.lingering:
            self.listener.leaving.add(self)
            self.transport.abort()


class Listener:
    """The listening socket, its connections, and how they end."""

    def __init__(
        self,
        config: Config,
        engine: Engine,
        transport: HttpTransport,
        loop: asyncio.AbstractEventLoop,
        limit: Callable[[], int],
    ) -> None:
        self.engine = engine
        self.transport = transport
        self.classes = Classes(engine.settings, config.names)
        self.loop = loop
        self.limit = limit  # the most connections just now
        self.clients_part = config.sockets // CLIENTS_PART
        self.places = Places(limit(), self.clients_part)
        self.set_limits()
        self.connections: set[ClientConnection] = set()
        self.never_asked = 0  # of those
        self.leaving: set[ClientConnection] = set()  # of those, closed and about to be gone
        self.arriving: set[asyncio.Task[object]] = set()
        self.accepted: set[socket.socket] = set()  # not a connection yet
        self.draining = False
        self.read_until = 0.0  # of a planned end
        self.listening = False
        self.accepted_at = 0.0
        self.finished: asyncio.Future[None] = loop.create_future()
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        # A restart must have the address at once, whatever the last life's connections wait for.
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # And a new version before the old one has gone: both listen for a while.
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self.sock.setblocking(False)
        self.sock.bind(config.listen)
        self.sock.listen(1024)
        self._listen()
        self.looked_after_at = 0.0
        loop.call_later(EASE_S, self._sweep)

    def _listen(self) -> None:
        if not self.listening and not self.sock_closed():
            self.listening = True
            self.loop.add_reader(self.sock, self._accept)

    def _pause(self) -> None:
        if self.listening:
            self.listening = False
            self.loop.remove_reader(self.sock)

    def _accept(self) -> int:
        """Accept what waits; at the limit those that ask nothing make room, and then a few are taken to
        be told so. More are left to the kernel's backlog until others end."""
        for taken in range(ACCEPT_AT_ONCE):
            count, limit = self.held(), self.limit()
            if count >= limit:
                count -= self._make_room(count - limit + 1)
            if count >= limit + OVERFLOW:
                self._pause()
                return taken
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                return taken
            except OSError as problem:
                if problem.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    self.transport.pool.close_oldest_idle()
                    self._pause()
                    self.loop.call_later(DESCRIPTORS_SHORT_S, self._listen)
                    return taken
                continue  # the client went away while it waited
            self.accepted_at = self.loop.time()
            self._serve(sock, overflow=count >= limit)
        return ACCEPT_AT_ONCE

    def _serve(self, sock: socket.socket, overflow: bool) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

        def connection() -> ClientConnection:
            return ClientConnection(self, sock, overflow)

        task: asyncio.Task[object] = self.loop.create_task(
            self.loop.connect_accepted_socket(connection, sock)
        )

        def arrived(task: asyncio.Task[object]) -> None:
            self.arriving.discard(task)
            self.accepted.discard(sock)
            if not task.cancelled() and task.exception() is not None:
                self.engine.log(f"a connection could not be served: {task.exception()}")

        self.arriving.add(task)
        self.accepted.add(sock)
        task.add_done_callback(arrived)

    def forget(self, connection: ClientConnection) -> None:
        self.connections.discard(connection)
        self.leaving.discard(connection)
        self._listen()
        self._check_finished()

    def sock_closed(self) -> bool:
        return self.sock.fileno() < 0

    def _make_room(self, wanted: int) -> int:
        """Close the connections that are least likely to be missed; tells how many.

        First those that ask nothing, the oldest of them: clients that connect by hundreds and say nothing
        must not cost others their places. Then an idle one, rather one that has never asked, then the one
        that has been idle for longest. A request that waits in the kernel is no idleness.
        """
        now = self.loop.time()
        silent = [one for one in self.connections if one.takes_room(now)]
        silent.sort(key=lambda one: one.waits_since)
        for connection in silent[:wanted]:
            connection.stop_reading()
        if silent:
            return min(wanted, len(silent))

        def worth(one: ClientConnection) -> tuple[bool, float]:
            return one.usage.asked > 0, -self.places.expected_wait(one.usage, now)

        for connection in sorted(self.connections, key=worth):
            if connection.is_idle():
                connection.stop_reading()
                return 1
        return 0

    def _sweep(self) -> None:
        self.loop.call_later(EASE_S, self._sweep)
        now = self.loop.time()
        if now >= self.looked_after_at + SWEEP_S:
            self.looked_after_at = now
            for connection in list(self.connections):
                connection.look_after(now)
        if self.places.pressure(self.held()):
            self._ease(now)
        self._listen()  # where it waits for places: silent ones can be closed by now

    def set_limits(self, client_places: int = 0, calm_idle_s: float = CALM_WAIT_S) -> None:
        """Take over an operator's settings, also while connections are open; 0 places: not told."""
        self.calm_idle_s = calm_idle_s
        self.places.resize(self.limit(), client_places or self.clients_part, calm_idle_s)

    def held(self) -> int:
        """The connections that take a place here or on the clients' side."""
        return len(self.connections) + len(self.accepted) - len(self.leaving)

    def ends_with_answer(self, connection: ClientConnection) -> bool:
        held = self.held() - self.never_asked
        return self.places.ends_with_answer(connection.usage, held, connection.usage.since)

    def _ease(self, now: float) -> None:
        """Close what is least worth its place, before there is none left."""
        waiting = [one for one in self.connections if one.waits_for_request()]
        for connection in self.places.to_close(waiting, self.held(), now):
            if connection.is_idle():
                connection.stop_reading()

    # The planned end

    def drain(self) -> None:
        """Go on while clients come, answer what was taken, then finish."""
        if self.draining:
            return
        self.draining = True
        now = self.loop.time()
        lead_to_the_next(self.sock)
        self.accepted_at = max(self.accepted_at, now)
        self.loop.call_at(now + DRAIN_IDLE_S, self._close_idle)
        self.loop.call_at(now + DRAIN_LISTEN_S, self._stop_listening, now + DRAIN_LISTEN_MOST_S)
        self.read_until = now + DRAIN_READ_S

    def _close_idle(self) -> None:
        now = self.loop.time()
        for connection in list(self.connections):
            if connection.is_idle() and not connection.is_new(now):
                connection.stop_reading()

    def _stop_listening(self, latest: float) -> None:
        """Let nothing more arrive once clients have stopped coming, or at the latest moment."""
        now = self.loop.time()
        came = self._accept()
        if now < latest and (came or now - self.accepted_at < DRAIN_QUIET_S):
            self.loop.call_later(0.02, self._stop_listening, latest)
            return
        stop_arrivals(self.sock)
        self.loop.call_later(LOOK_S, self._empty_backlog, now + DRAIN_BACKLOG_S)

    def _empty_backlog(self, latest: float) -> None:
        """Close the listener once all that has arrived is taken: what is left in the kernel is reset."""
        now = self.loop.time()
        came = self._accept()
        left = waiting(self.sock)
        if now < latest and (came or left):
            self.loop.call_later(LOOK_S, self._empty_backlog, latest)
            return
        if left:
            self.engine.log(f"the listening socket is closed on {left} that found no place")
        self._pause()
        self.sock.close()
        self._close_idle()
        self.loop.call_at(max(self.read_until, now + FIRST_S), self._stop_reading)
        self._check_finished()

    def _stop_reading(self) -> None:
        for connection in list(self.connections):
            connection.stop_reading()

    def _check_finished(self) -> None:
        gone = not self.connections and not self.arriving
        if self.draining and self.sock_closed() and gone and not self.finished.done():
            self.finished.set_result(None)


def head_length(incoming: Incoming) -> int:
    return len(incoming.url) + sum(len(name) + len(value) + 4 for name, value in incoming.headers)
