"""Connections to endpoints and to discovery: dialling, the idle pool, one exchange at a time.

What happened to an exchange is told by *when* its connection broke: with the last byte still in our
own buffer the request cannot have run, after that it may have.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections import deque
from collections.abc import Callable, Iterable
from typing import cast

from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

from garnethaven.addresses import Address
from garnethaven.limits.budgets import AnswerMemory
from garnethaven.net import flow
from garnethaven.net.exchange import BODY_LIMIT, Answer, Exchange
from garnethaven.net.flow import BODY_MOST, HELD_LIMIT, LAST_CHUNK, RECEIVE_BUFFER, chunk
from garnethaven.net.presence import has_unread

# All that is not body together: 1xx answers ahead, the head, chunk sizes, trailers.
FRAMING_LIMIT = 32 * 1024
FRAMING_MOST = 8  # times the body, for chunks of a byte each
# An answer that has begun comes whole or has broken: an endpoint that spoils the framing keeps the
# connection open and says nothing more. It also ends answers from a machine that vanishes halfway. It
# would do harm to endpoints that stop for longer within an answer; they may pause for 0.1 s.
STALL_S = 0.3
SWEEPS = 20  # the idle pool is looked through this many times in an idle time
KEEP_SHARE = 0.85  # of the idle time: a request must not cross the endpoint's own closing
# A connection is used again this long after its last answer: what an endpoint writes behind a good
# answer may come a moment after it, and the next request would be given it. A burst opens a connection
# more instead.
SETTLE_S = 0.002
OK = 200


class Connection(asyncio.Protocol):
    """One connection; carries one exchange at a time and goes back to its target's pool."""

    def __init__(self, target: Target, address: Address, sock: socket.socket) -> None:
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
        self.in_body = False
        self.complete = False
        self.reusable = False
        self.stall: asyncio.TimerHandle | None = None
        self.heard_at = 0.0
        self.opened_at = time.monotonic_ns()
        self.idle_since = 0.0
        self.idle_for = 0.0  # before the exchange that it carries

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
        self.transport.write(chunk(data) if chunked else data)
        return not self.transport.get_write_buffer_size()

    def body_ended(self) -> None:
        assert self.exchange is not None and self.exchange.body is not None
        if self.exchange.body.length is None and not self.transport.is_closing():
            self.transport.write(LAST_CHUNK)
        self._check_went_out()

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
            self.drop()  # nothing was asked: whatever this is, the next request must not be given it
            return
        self.received += len(data)
        self.heard_at = self.target.pool.loop.time()
        try:
            self.parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade):
            self.reusable = False
            if not self.complete:
                self._break()
                return
        if not self.complete:
            if self._is_long():
                self._pass_on()
            if self._too_large():
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
        self.idle_for = self.target.pool.loop.time() - self.idle_since if self.idle_since else 0.0
        self.answer = Answer()
        self.received = 0
        self.in_body = self.complete = self.reusable = False
        self.flushed = self.passing = False
        self.transport.writelines(exchange.payload)
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
        # Before the outcome is told: the decisions that follow may close idle connections.
        if self.reusable and self.flushed and not self.transport.is_closing():
            self.target.release(self)
        else:
            self.drop()
        exchange.answered(answer)

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


class Target:
    """One address to connect to: its idle connections and the exchanges that wait for a new one."""

    def __init__(self, pool: Pool, address: Address | None) -> None:
        self.pool = pool
        self.address = address  # None: nothing may be sent there (any more)
        self.idle: deque[Connection] = deque()  # the freshest last
        self.waiting: set[Exchange] = set()
        self.started = 0  # when its process started, as far as it is told
        self.anew_at = 0  # when that was told

    def start(self, exchange: Exchange, dial_timeout: float) -> None:
        """Carry the exchange on an idle connection, or else on a new one."""
        connection = self._take_idle()
        if connection is not None:
            connection.carry(exchange)
            return
        if self.address is None or not self.pool.has_room():
            exchange.over = True
            exchange.broken(written=False)
            return
        self.waiting.add(exchange)
        self.pool.dials.add(exchange)
        dial = self.pool.loop.create_task(self._dial(exchange, self.address))
        timer = self.pool.loop.call_later(dial_timeout, dial.cancel)
        exchange.dial = dial

        def dialled(_: asyncio.Task[None]) -> None:  # also when cancelled before its first step
            timer.cancel()
            self.waiting.discard(exchange)
            self.pool.dials.discard(exchange)

        dial.add_done_callback(dialled)

    def would_dial(self) -> bool:
        """Whether an exchange that starts now most likely needs a new connection."""
        return not self.idle

    def _take_idle(self) -> Connection | None:
        """The freshest idle connection that is still good and has settled."""
        settled, expired = self.pool.loop.time() - self.pool.settle_s, self.pool.expired()
        fresh: list[Connection] = []
        found: Connection | None = None
        while self.idle and found is None:
            connection = self.idle.pop()
            if connection.idle_since > settled:
                fresh.append(connection)
            elif connection.idle_since > expired and connection.usable():
                found = connection
            else:
                connection.drop()
        self.idle.extend(reversed(fresh))
        return found

    async def _dial(self, exchange: Exchange, address: Address) -> None:
        connection: Connection | None = None
        began = time.monotonic_ns()
        with contextlib.suppress(OSError, asyncio.CancelledError):
            connection = await self._connect(address)
        if connection is not None and not connection.transport.is_closing():
            self.pool.connections.add(connection)
        self.pool.dials.discard(exchange)
        self.waiting.discard(exchange)
        exchange.dial = None
        if exchange.over:
            if connection is not None:
                self.release(connection)
        elif connection is None or connection.transport.is_closing():
            exchange.over = exchange.refused = True
            exchange.broken(written=False)
        elif address != self.address or began < self.anew_at or not exchange.may_begin():
            # The dial took its time, and what was decided before it holds no more: the server has moved,
            # drained or started anew, or the request's time is over.
            self.release(connection)
            exchange.over = exchange.skipped = True
            exchange.broken(written=False)
        else:
            connection.carry(exchange)

    def prepare(self, sock: socket.socket) -> None:
        """Set further options of a socket before it connects."""

    def made(self, address: Address, sock: socket.socket) -> Connection:
        """The connection of a socket that has come up."""
        return Connection(self, address, sock)

    async def _connect(self, address: Address) -> Connection:
        loop = self.pool.loop
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
            self.prepare(sock)
            await loop.sock_connect(sock, address)
            _, connection = await loop.create_connection(lambda: self.made(address, sock), sock=sock)
        except BaseException:
            sock.close()
            raise
        return connection

    def release(self, connection: Connection) -> None:
        """Keep the connection for the next exchange, unless the target has moved or is gone.

        The sweep passes over listed targets only: what came back to another would never be closed.
        """
        if connection.address != self.address:
            connection.drop()
            return
        connection.idle_since = self.pool.loop.time()
        self.idle.append(connection)
        self.pool.watch_idle()

    def forget(self, connection: Connection) -> None:
        self.pool.connections.discard(connection)
        with contextlib.suppress(ValueError):
            self.idle.remove(connection)

    def move(self, address: Address | None) -> None:
        """The endpoint has another address, or none any more: what is idle leads to the old one."""
        if address != self.address:
            self.address = address
            self.close_idle()

    def close_idle(self, opened_before: int | None = None) -> None:
        for connection in list(self.idle):
            if opened_before is None or connection.opened_at < opened_before:
                self.idle.remove(connection)
                connection.drop()

    def began(self, started: int) -> None:
        """The endpoint's process started then (local nanoseconds; 0: long ago)."""
        if started != self.started:  # by this side's clock: two clocks that differ would stop all dials
            self.started, self.anew_at = started, time.monotonic_ns()
        if started:
            self.close_idle(opened_before=started)  # they lead to a process that is gone

    def stop(self) -> None:
        """Nothing new may reach the endpoint; what it works on goes on."""
        self.close_idle()
        self.abandon_waiting()

    def abandon_waiting(self) -> None:
        """End what has not been written: nothing new may reach an endpoint that drains or is gone."""
        for exchange in list(self.waiting):
            if not exchange.over:
                exchange.give_up()
                exchange.broken(written=False)


class Pool:
    """All targets' connections together, under one limit of descriptors."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        limit: Callable[[], int],
        idle_s: float,
        memory: AnswerMemory,
    ) -> None:
        self.loop = loop
        self.limit = limit  # the most connections just now
        self.memory = memory
        self.connections: set[Connection] = set()
        self.dials: set[object] = set()  # each may become a connection
        self.idle_s = idle_s
        self.settle_s = SETTLE_S
        self.targets: Callable[[], Iterable[Target]] = tuple
        self.sweeping = False

    def target(self, endpoint: int, address: Address | None) -> Target:
        """What leads to one endpoint."""
        return Target(self, address)

    def has_room(self) -> bool:
        """Whether one more connection may be opened, if need be in place of the longest idle one."""
        return self.held() < self.limit() or self.close_oldest_idle()

    def held(self) -> int:
        return len(self.connections) + len(self.dials)

    def close_oldest_idle(self) -> bool:
        oldest: Connection | None = None
        for target in self.targets():
            if target.idle and (oldest is None or target.idle[0].idle_since < oldest.idle_since):
                oldest = target.idle[0]
        if oldest is None:
            return False
        oldest.target.idle.remove(oldest)
        oldest.drop()
        return True

    def expired(self) -> float:
        """What has been idle since then or longer is not used again."""
        return self.loop.time() - self.idle_s * KEEP_SHARE if self.idle_s > 0 else 0.0

    def watch_idle(self) -> None:
        if not self.sweeping and self.idle_s > 0:
            self.sweeping = True
            self.loop.call_later(self.idle_s / SWEEPS, self._sweep)

    def _sweep(self) -> None:
        """Retire connections that the endpoint may be about to close."""
        self.sweeping = False
        expired = self.expired()
        for target in self.targets():
            while target.idle and target.idle[0].idle_since <= expired:
                target.idle.popleft().drop()
            if target.idle:
                self.watch_idle()
