"""Connections to endpoints and to discovery: a target with its idle connections, and the pool of all."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections.abc import Callable, Iterable

from garnethaven.addresses import Address
from garnethaven.limits.budgets import BufferMemory
from garnethaven.net.connection import Connection
from garnethaven.net.exchange import Exchange
from garnethaven.net.flow import RECEIVE_BUFFER_BYTES
from garnethaven.net.own_failures import (
    FIRST_PAUSE_SECONDS,
    counts_against_server,
    is_local_failure,
    next_pause,
)
from garnethaven.net.reuse import ReusePolicy

SWEEPS_PER_IDLE_TIME = 20  # how often idle connections are checked in one `idle_s`
MAX_IDLE_SHARE = 0.85  # of `idle_s`: a request must not cross the endpoint's own close of the connection


class Target:
    """One address to connect to: its idle connections and the exchanges that wait for a new one."""

    def __init__(self, pool: Pool, address: Address | None) -> None:
        self.pool = pool
        self.address = address  # None: no request may be sent
        self.idle: list[Connection] = []  # the freshest last; no deque, since an empty one takes 0.7 KB
        self.waiting: set[Exchange] = set()
        self.process_started_at = 0  # as the list of members states it, in local nanoseconds; 0: long ago
        self.restart_seen_at = 0  # when `process_started_at` last changed, in local nanoseconds

    def start(self, exchange: Exchange, dial_timeout: float) -> None:
        """Start the exchange on an idle connection, or else on a new one."""
        connection = self._take_idle(exchange)
        if connection is not None:
            connection.start_exchange(exchange)
            return
        if self.address is None or not self.pool.has_room():
            exchange.over = True
            exchange.skipped = exchange.skipped or self.address is not None  # not the endpoint's failure
            exchange.broken(written=False)
            return
        self.waiting.add(exchange)
        self.pool.dials.add(exchange)
        self.pool.reuse.opened()
        dial = self.pool.loop.create_task(self._dial(exchange, self.address, dial_timeout))
        exchange.dial = dial

        def dial_finished(_: asyncio.Task[None]) -> None:
            # Also called if the task is cancelled before its first step.
            self.waiting.discard(exchange)
            self.pool.dials.discard(exchange)

        dial.add_done_callback(dial_finished)

    def would_dial(self) -> bool:
        """Whether an exchange that starts now probably needs a new connection."""
        if not self.idle:
            return True
        now = self.pool.loop.time()
        return now - self.idle[0].idle_since < self.pool.reuse.required_rest_s(now)

    def _take_idle(self, exchange: Exchange) -> Connection | None:
        """Take an idle connection to reuse for the exchange, if one is usable and has rested."""
        now, expired = self.pool.loop.time(), self.pool.expired()

        def may_open() -> bool:
            return self.pool.connection_count() < self.pool.limit() and exchange.may_open_extra()

        while (index := self.pool.reuse.pick(now, self.idle, may_open)) is not None:
            connection = self.idle[index]
            del self.idle[index]
            if connection.idle_since > expired and connection.is_usable():
                return connection
            connection.drop_unusable()
        return None

    async def _dial(self, exchange: Exchange, address: Address, dial_timeout: float) -> None:
        connection: Connection | None = None
        dial_started_at = time.monotonic_ns()
        with contextlib.suppress(OSError, asyncio.CancelledError):
            connection = await self._connect_with_retries(exchange, address, dial_timeout)
        if connection is not None and not connection.transport.is_closing():
            self.pool.connections.add(connection)
        self.pool.dials.discard(exchange)
        self.waiting.discard(exchange)
        exchange.dial = None
        if exchange.over:
            if connection is not None:
                self.release(connection)
        elif connection is None or connection.transport.is_closing():
            exchange.over = True
            exchange.refused = not exchange.skipped
            exchange.broken(written=False)
        elif address != self.address or dial_started_at < self.restart_seen_at or not exchange.may_begin():
            # The decision to dial is outdated: meanwhile the server has moved, drained or restarted, or the
            # request's time is over.
            self.release(connection)
            exchange.over = exchange.skipped = True
            exchange.broken(written=False)
        else:
            connection.start_exchange(exchange)

    async def _connect_with_retries(
        self, exchange: Exchange, address: Address, dial_timeout: float
    ) -> Connection:
        """Return a new connection, or one that became idle while connects failed for local reasons.

        One connect has `dial_timeout` seconds. Raises OSError if the server accepts no connection, or if
        local failures (own_failures.py) last longer than the exchange may wait; the exchange is then marked
        as `skipped`, unless the failure counts against the server.
        """
        loop = self.pool.loop
        retry_until = loop.time() + max(dial_timeout, exchange.patience_s())
        pause_s = FIRST_PAUSE_SECONDS
        while True:
            exchange.hindered = False
            try:
                async with asyncio.timeout(dial_timeout):
                    return await self._connect(address)
            except OSError as problem:
                if not is_local_failure(problem):
                    raise
                exchange.hindered = True
                if loop.time() + pause_s > retry_until:
                    exchange.skipped = not counts_against_server(problem)
                    raise
            await asyncio.sleep(pause_s)
            pause_s = next_pause(pause_s)
            connection = self._take_idle(exchange)
            if connection is not None:
                return connection

    def prepare(self, sock: socket.socket) -> None:
        """Set further options of a socket before it connects; overridden by subclasses."""

    def made(self, address: Address, sock: socket.socket) -> Connection:
        """Create the connection object for a connected socket."""
        return Connection(self, address, sock)

    async def _connect(self, address: Address) -> Connection:
        loop = self.pool.loop
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            self.prepare(sock)
            await loop.sock_connect(sock, address)
            _, connection = await loop.create_connection(lambda: self.made(address, sock), sock=sock)
        except BaseException:
            sock.close()
            raise
        return connection

    def release(self, connection: Connection) -> None:
        """Keep the connection for the next exchange, unless the target has moved or was removed.

        The sweep covers listed targets only: a connection released to a removed one would never be closed.
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
        """Set the endpoint's address (None: removed); closes idle connections, which lead to the old one."""
        if address != self.address:
            self.address = address
            self.close_idle()

    def close_idle(self, opened_before: int | None = None) -> None:
        for connection in list(self.idle):
            if opened_before is None or connection.opened_at < opened_before:
                self.idle.remove(connection)
                connection.drop()

    def began(self, started: int) -> None:
        """Set when the endpoint's process started (local nanoseconds; 0: long ago)."""
        if started != self.process_started_at:
            # By the local clock: with the remote one, a clock difference could stop all dials.
            self.process_started_at, self.restart_seen_at = started, time.monotonic_ns()
        if started:
            self.close_idle(opened_before=started)  # they lead to a process that has ended

    def stop(self) -> None:
        """Send nothing new to the endpoint; exchanges in progress continue."""
        self.close_idle()
        self.abandon_waiting()

    def abandon_waiting(self) -> None:
        """Fail the exchanges that wait for a connection: the endpoint drains or was removed."""
        for exchange in list(self.waiting):
            if not exchange.over:
                exchange.give_up()
                exchange.broken(written=False)


class Pool:
    """The connections of all targets, under one limit of descriptors."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        limit: Callable[[], int],
        idle_s: float,
        memory: BufferMemory,
    ) -> None:
        self.loop = loop
        self.limit = limit  # returns the current maximum number of connections
        self.memory = memory
        self.connections: set[Connection] = set()
        self.dials: set[object] = set()  # dials in progress; each may become a connection
        self.idle_s = idle_s
        self.reuse = ReusePolicy(idle_s)
        self.targets: Callable[[], Iterable[Target]] = tuple
        self.sweeping = False

    @property
    def min_rest_s(self) -> float:
        """Seconds for which a connection rests at least before it is reused; 0: it is reused at once."""
        return self.reuse.min_rest_s

    @min_rest_s.setter
    def min_rest_s(self, seconds: float) -> None:
        self.reuse.min_rest_s = seconds

    def target(self, endpoint: int, address: Address | None) -> Target:
        """Create the target of one endpoint."""
        return Target(self, address)

    def has_room(self) -> bool:
        """Whether one more connection may be opened; at the limit, closes the longest idle one for it."""
        return self.connection_count() < self.limit() or self.close_oldest_idle()

    def connection_count(self) -> int:
        return len(self.connections) + len(self.dials)

    def close_oldest_idle(self) -> bool:
        candidates = [target for target in self.targets() if target.idle]
        if not candidates:
            return False
        oldest = min(candidates, key=lambda target: target.idle[0].idle_since)
        oldest.idle.pop(0).drop()
        return True

    def expired(self) -> float:
        """A time on the loop's clock: connections that have been idle since then or longer are not reused."""
        return self.loop.time() - self.idle_s * MAX_IDLE_SHARE if self.idle_s > 0 else 0.0

    def watch_idle(self) -> None:
        if not self.sweeping and self.idle_s > 0:
            self.sweeping = True
            self.loop.call_later(self.idle_s / SWEEPS_PER_IDLE_TIME, self._sweep)

    def _sweep(self) -> None:
        """Close idle connections that the endpoint may be about to close."""
        self.sweeping = False
        expired = self.expired()
        for target in self.targets():
            while target.idle and target.idle[0].idle_since <= expired:
                target.idle.pop(0).drop()
            if target.idle:
                self.watch_idle()
