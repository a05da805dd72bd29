"""Clients' connections: reading requests within bounds, writing answers, and the planned end."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections import deque
from typing import cast

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from garnethaven.net.config import Config
from garnethaven.net.driver import MS, Attempt, Call, Driver
from garnethaven.net.upstream import Answer, Header

HEAD_LIMIT = 32 * 1024
BODY_LIMIT = 32 * 1024 * 1024
SMALL_BODY = 64 * 1024  # not counted against the budget of large bodies
PIPELINED_LIMIT = 64 * 1024
READ_STALL_S = 10.0  # clients may take 2 s for a head and write bodies at 64 kB a second
WRITE_STALL_S = 30.0
LINGER_S = 2.0  # after an answer to a request that is not read to its end
SWEEP_S = 1.0
HALF_CLOSED_CHECK_S = 0.005  # the client is on this machine: a reset is back at once
ACCEPT_AT_ONCE = 64
OVERFLOW = 16  # connections above the limit that are taken only to say so
DESCRIPTORS_SHORT_S = 0.1
LONGEST_BUDGET_MS = 3_600_000

# A planned end. New connections come for up to 0.4 s after the signal; requests on kept ones as long
# as these are open.
DRAIN_IDLE_S = 0.45  # then idle connections are closed, while a resent request still finds the listener
DRAIN_LISTEN_S = 0.65
DRAIN_QUIET_S = 0.2  # the listener stays while connections come
DRAIN_LISTEN_MOST_S = 1.2
DRAIN_READ_S = 1.4  # then a request that is still being written is given up

PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
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


class BodyBudget:
    """Memory for large bodies over all connections.

    A body's whole size is reserved before it is read on, so those that are being read can always be
    finished; the others wait in turn, unread.
    """

    def __init__(self, size: int) -> None:
        self.left = size
        self.queue: deque[tuple[int, ClientConnection]] = deque()

    def reserve(self, size: int, connection: ClientConnection) -> bool:
        if not self.queue and size <= self.left:
            self.left -= size
            return True
        self.queue.append((size, connection))
        return False

    def give_back(self, size: int) -> None:
        self.left += size
        while self.queue and self.queue[0][0] <= self.left:
            size, connection = self.queue.popleft()
            self.left -= size
            connection.body_reserved(size)

    def forget(self, connection: ClientConnection) -> None:
        self.queue = deque(entry for entry in self.queue if entry[1] is not connection)
        self.give_back(0)


class Incoming:
    """A request while it is read."""

    __slots__ = ("body", "cost", "headers", "keep_alive", "method", "size", "status", "url")

    def __init__(self) -> None:
        self.url = b""
        self.method = b""
        self.headers: list[Header] = []
        self.body = bytearray()
        self.size = 0
        self.cost = 0  # bytes reserved in the budget
        self.keep_alive = False
        self.status = 0  # what is wrong with it, as far as it can be told before its end


class ClientConnection(asyncio.Protocol):
    """One connection of the application: one request at a time, answered in turn."""

    def __init__(self, listener: Listener, sock: socket.socket, overflow: bool) -> None:
        self.listener = listener
        self.driver = listener.driver
        self.sock = sock
        self.overflow = overflow
        self.parser = HttpRequestParser(self)
        self.incoming: Incoming | None = None
        self.in_head = False
        self.head_size = 0
        self.ready: deque[Incoming] = deque()  # whole requests, in turn
        self.unread = bytearray()  # what came while a request was under way
        self.call: Call | None = None
        self.cost = 0
        self.keep_alive = True
        self.stream: Attempt | None = None
        self.chunked = False
        self.half_closed = False
        self.version_sent = False
        self.waits_for_budget = False
        self.closing = False
        self.lingering = False
        self.active_at = listener.loop.time()
        self.unsent = 0

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's own, of no common class

    def data_received(self, data: bytes) -> None:
        self.active_at = self.listener.loop.time()
        if self.closing:
            return
        if self.call is not None or self.ready:
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
        if not self.version_sent and self.stream is None:
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
        self.listener.forget(self)
        if self.waits_for_budget:
            self.listener.bodies.forget(self)
        for request in (self.incoming, *self.ready):
            if request is not None:
                self.listener.bodies.give_back(request.cost)
        self.incoming = None
        self.ready.clear()
        call, self.call = self.call, None
        self._give_back()
        if call is not None:
            self.driver.left(call)

    def pause_writing(self) -> None:
        if self.stream is not None:
            self.stream.pause(True)

    def resume_writing(self) -> None:
        self.active_at = self.listener.loop.time()
        if self.stream is not None:
            self.stream.pause(False)

    # Reading

    def _keep_for_later(self, data: bytes) -> None:
        self.unread += data
        if len(self.unread) > PIPELINED_LIMIT:
            self.transport.pause_reading()

    def _feed(self, data: bytes) -> None:
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
            return
        self._next()

    def on_message_begin(self) -> None:
        self.incoming = Incoming()
        self.in_head = True

    def on_url(self, url: bytes) -> None:
        assert self.incoming is not None
        self.incoming.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        assert self.incoming is not None
        self.incoming.headers.append((name, value))

    def on_headers_complete(self) -> None:
        incoming = self.incoming
        assert incoming is not None
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
        if incoming.method in (b"HEAD", b"CONNECT"):
            incoming.status = 501
        if length > BODY_LIMIT:
            incoming.status = 413
        elif length > SMALL_BODY:
            self._reserve(length)
        if expects and not incoming.status and not self.waits_for_budget:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        incoming = self.incoming
        assert incoming is not None
        incoming.size += len(body)
        if incoming.size > BODY_LIMIT:
            incoming.status = 413
        if incoming.status:
            incoming.body = bytearray()  # swallowed: an early answer might be lost to a reset
            return
        incoming.body += body
        if incoming.size > SMALL_BODY and not incoming.cost and not self.waits_for_budget:
            self._reserve(BODY_LIMIT)  # chunked: its size shows only at its end

    def on_message_complete(self) -> None:
        incoming, self.incoming = self.incoming, None
        assert incoming is not None
        incoming.keep_alive = self.parser.should_keep_alive()
        if self.waits_for_budget:  # it came whole all the same, and is held now
            self.listener.bodies.forget(self)
            self.waits_for_budget = False
            self.transport.resume_reading()
        self.ready.append(incoming)

    def _reserve(self, size: int) -> None:
        incoming = self.incoming
        assert incoming is not None
        if self.listener.bodies.reserve(size, self):
            incoming.cost = size
        else:
            self.waits_for_budget = True
            self.transport.pause_reading()

    def body_reserved(self, size: int) -> None:
        """The budget has room now: read on."""
        self.waits_for_budget = False
        self.active_at = self.listener.loop.time()
        if self.incoming is None:
            self.listener.bodies.give_back(size)
            return
        self.incoming.cost = size
        if any(name.lower() == b"expect" for name, _ in self.incoming.headers):
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self.transport.resume_reading()

    # A whole request

    def _next(self) -> None:
        """Take up the next whole request, if there is one and none is under way."""
        if self.incoming is not None and self.incoming.status == 413:
            self._reject(413)
            return
        while self.ready and self.call is None and not self.closing:
            incoming = self.ready.popleft()
            self.cost, self.keep_alive = incoming.cost, incoming.keep_alive
            self._take(incoming)

    def _take(self, incoming: Incoming) -> None:
        if incoming.status:
            self._say(incoming.status)
            return
        path, _, query = incoming.url.partition(b"?")
        if path.startswith(b"/-/"):
            ready = path == b"/-/ready"
            self._say(404 if not ready else 503 if self.listener.draining else 200)
            return
        call = self._read_call(incoming, query)
        if call is None:
            self._say(400)
        elif self.overflow:
            self._say(503)
        else:
            self.call = call
            self.driver.take(call)

    def _read_call(self, incoming: Incoming, query: bytes) -> Call | None:
        """The request as the driver takes it, or None where it lacks what every call has."""
        call_id = grade = caller = idempotency = budget = b""
        again = False
        passed_on = [incoming.method, b" ", incoming.url, b" HTTP/1.1\r\n"]
        dropped = NOT_PASSED_ON
        for name, value in incoming.headers:
            lower = name.lower()
            if lower == b"x-call-id":
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
                dropped = dropped | {part.strip() for part in value.lower().split(b",")}
            if lower not in dropped:
                passed_on += (name, b": ", value, b"\r\n")
        if not call_id or not grade or not budget.isdigit() or len(budget) > 12 or not int(budget):
            return None
        body: bytes | bytearray = incoming.body
        if body or incoming.method != b"GET":
            passed_on.append(b"Content-Length: %d\r\n" % len(body))
        passed_on.append(b"X-Budget-Ms: ")
        call = Call(self, (b"".join(passed_on), b"\r\n\r\n"), body)
        driver = self.driver
        call.budget = min(int(budget), LONGEST_BUDGET_MS) * MS
        call.grade = driver.grade_of(grade.decode("latin-1"), bool(idempotency))
        call.caller = driver.tenants.get(caller.decode("latin-1"), -1)
        call.key = key_of(query)
        call.repeat = again
        return call

    # Answering: the driver's side of a call

    def served(self, answer: Answer) -> None:
        self._write_answer(200, b"".join(answer.body), answer.headers)

    def refused(self, retry_after: int) -> None:
        headers = [(b"Retry-After", b"%.3f" % (retry_after / 1e9))] if retry_after else []
        self._write_answer(503, b"", headers)

    def failed(self, status: int) -> None:
        self._write_answer(status, b"", [])

    def stream_began(self, answer: Answer, attempt: Attempt) -> None:
        self.stream = attempt
        self.chunked = answer.length is None
        framing = b"Transfer-Encoding: chunked"
        if answer.length is not None:
            framing = b"Content-Length: %d" % answer.length
        self.transport.write(self._head(200, answer.headers, framing))

    def stream_passed(self, chunk: bytes) -> None:
        if self.chunked:
            self.transport.writelines([b"%x\r\n" % len(chunk), chunk, b"\r\n"])
        else:
            self.transport.write(chunk)

    def stream_ended(self, whole: bool) -> None:
        self.stream = None
        if not whole:
            self.call = None
            self._give_back()
            self.closing = True
            self.transport.abort()  # the only way for the client to see that the rest is missing
            return
        if self.chunked:
            self.transport.write(b"0\r\n\r\n")
        self._answered()

    def _say(self, status: int) -> None:
        """An answer of this side's own, to what the driver does not see."""
        self._write_answer(status, b"", [])

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
        self.active_at = self.listener.loop.time()
        self._give_back()
        if not self.keep_alive:
            self._close_after_answer()
        elif self.unread or self.ready:
            # Not at once: a client that sends ahead must not keep the others waiting.
            self.listener.loop.call_soon(self._go_on)

    def _go_on(self) -> None:
        if self.call is not None or self.closing:
            return
        if self.ready:
            self._next()
            return
        data, self.unread = bytes(self.unread), bytearray()
        self.transport.resume_reading()
        if data:
            self._feed(data)

    def _give_back(self) -> None:
        cost, self.cost = self.cost, 0
        if cost:
            self.listener.bodies.give_back(cost)

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
        if self.waits_for_budget:
            self.listener.bodies.forget(self)
            self.waits_for_budget = False
        self.transport.resume_reading()
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.listener.loop.call_later(LINGER_S, self.transport.abort)

    # Looked after by the listener

    def is_idle(self) -> bool:
        if self.call is not None or self.incoming is not None or self.ready or self.unread or self.closing:
            return False
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return not self.transport.get_write_buffer_size()
        except OSError:
            pass
        return False

    def look_after(self, now: float) -> None:
        """End what does not go on: a request that is never finished, an answer that is never read."""
        unsent = self.transport.get_write_buffer_size()
        if unsent:
            if unsent != self.unsent:
                self.active_at = now
            elif now - self.active_at > WRITE_STALL_S:
                self.transport.abort()
        elif self.incoming is not None and now - self.active_at > READ_STALL_S and not self.closing:
            self._reject(503 if self.waits_for_budget else 408)
        self.unsent = unsent

    def stop_reading(self) -> None:
        """The end is near: what is not a whole request by now has not been taken."""
        if self.call is None and not self.ready and not self.closing:
            self.closing = True
            self.transport.close()


class Listener:
    """The listening socket, its connections, and how they end."""

    def __init__(self, config: Config, driver: Driver, loop: asyncio.AbstractEventLoop, limit: int) -> None:
        self.driver = driver
        self.loop = loop
        self.limit = limit
        self.connections: set[ClientConnection] = set()
        self.arriving: set[asyncio.Task[object]] = set()
        self.bodies = BodyBudget(body_budget(config.memory_mb))
        self.draining = False
        self.listening = False
        self.accepted_at = 0.0
        self.finished: asyncio.Future[None] = loop.create_future()
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        # A restart must have the address at once, whatever the last life's connections wait for.
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.setblocking(False)
        self.sock.bind(config.listen)
        self.sock.listen(1024)
        self._listen()
        loop.call_later(SWEEP_S, self._sweep)

    def _listen(self) -> None:
        if not self.listening and not self.sock_closed():
            self.listening = True
            self.loop.add_reader(self.sock, self._accept)

    def _pause(self) -> None:
        if self.listening:
            self.listening = False
            self.loop.remove_reader(self.sock)

    def _accept(self) -> int:
        """Accept what waits; at the limit idle connections make room, and then a few are taken to be
        told so. More are left to the kernel's backlog until others end."""
        for taken in range(ACCEPT_AT_ONCE):
            count = len(self.connections) + len(self.arriving)
            if count >= self.limit:
                self._close_longest_idle()
            if count >= self.limit + OVERFLOW:
                self._pause()
                return taken
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                return taken
            except OSError as problem:
                if problem.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    self.driver.pool.close_oldest_idle()
                    self._pause()
                    self.loop.call_later(DESCRIPTORS_SHORT_S, self._listen)
                    return taken
                continue  # the client went away while it waited
            self.accepted_at = self.loop.time()
            self._serve(sock, overflow=count >= self.limit)
        return ACCEPT_AT_ONCE

    def _serve(self, sock: socket.socket, overflow: bool) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

        def connection() -> ClientConnection:
            made = ClientConnection(self, sock, overflow)
            self.connections.add(made)
            return made

        task: asyncio.Task[object] = self.loop.create_task(
            self.loop.connect_accepted_socket(connection, sock)
        )
        self.arriving.add(task)
        task.add_done_callback(self._arrived)

    def _arrived(self, task: asyncio.Task[object]) -> None:
        self.arriving.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.driver.log(f"a connection could not be served: {task.exception()}")

    def forget(self, connection: ClientConnection) -> None:
        self.connections.discard(connection)
        self._listen()
        self._check_finished()

    def sock_closed(self) -> bool:
        return self.sock.fileno() < 0

    def _close_longest_idle(self) -> None:
        for connection in sorted(self.connections, key=lambda one: one.active_at):
            if connection.is_idle():
                connection.stop_reading()
                return

    def _sweep(self) -> None:
        now = self.loop.time()
        for connection in list(self.connections):
            connection.look_after(now)
        self.loop.call_later(SWEEP_S, self._sweep)

    # The planned end

    def drain(self) -> None:
        """Go on while clients come, answer what was taken, then finish."""
        if self.draining:
            return
        self.draining = True
        now = self.loop.time()
        self.accepted_at = max(self.accepted_at, now)
        self.loop.call_at(now + DRAIN_IDLE_S, self._close_idle)
        self.loop.call_at(now + DRAIN_LISTEN_S, self._stop_listening, now + DRAIN_LISTEN_MOST_S)
        self.loop.call_at(now + DRAIN_READ_S, self._stop_reading)

    def _close_idle(self) -> None:
        for connection in list(self.connections):
            if connection.is_idle():
                connection.stop_reading()

    def _stop_listening(self, latest: float) -> None:
        """Close the listener once nothing waits in the kernel's backlog: it would be reset."""
        now = self.loop.time()
        came = self._accept()
        if now < latest and (came or now - self.accepted_at < DRAIN_QUIET_S):
            self.loop.call_later(0.02, self._stop_listening, latest)
            return
        while self._accept():
            pass
        self._pause()
        self.sock.close()
        self._close_idle()
        self._check_finished()

    def _stop_reading(self) -> None:
        for connection in list(self.connections):
            connection.stop_reading()

    def _check_finished(self) -> None:
        gone = not self.connections and not self.arriving
        if self.draining and self.sock_closed() and gone and not self.finished.done():
            self.finished.set_result(None)


def body_budget(memory_mb: int) -> int:
    """What large bodies may take together: one of the largest at the least."""
    return max(BODY_LIMIT, (memory_mb - 80) * 1024 * 1024)


def head_length(incoming: Incoming) -> int:
    return len(incoming.url) + sum(len(name) + len(value) + 4 for name, value in incoming.headers)


def key_of(query: bytes) -> str:
    """What the request is about, where its query tells."""
    for part in query.split(b"&"):
        if part.startswith(b"user="):
            return part[5:].decode("latin-1")
    return ""
