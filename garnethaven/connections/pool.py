"""A connection pool that follows the planner: own dials, queues, closing of idle connections, pressure.

It replaces the pool of net/upstream.py behind the same interface, which also defines how an exchange may end.

| an exchange is | until |
| --- | --- |
| on a connection | the connection answers or breaks |
| in the queue | a dial succeeds, a connection becomes free, its dial fails, or its waiting time is over |
| redone | sent once more: a kept connection broke before the last byte was written, so it can't have run |
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import deque
from collections.abc import Callable
from random import Random

from garnethaven.addresses import Address
from garnethaven.connections.idle_limits import IdleLimits
from garnethaven.connections.planner import ConnectionCounts, ConnectionPlan, Decision, Rules, ServerState
from garnethaven.limits.budgets import BufferMemory
from garnethaven.net.connection import Connection
from garnethaven.net.exchange import Exchange
from garnethaven.net.presence import since_acknowledgement_s
from garnethaven.net.upstream import Pool, Target

UPDATE_INTERVAL_S = 0.1  # between two checks of which connections to open and to close
MAX_TARGETS_PER_UPDATE = 256  # the other targets wait for the next update
IMMEDIATE_CLOSE_S = 0.05  # a connection closed this soon counts as refused
# Seconds idle before the first probe, seconds until it counts as unanswered, number of probes. Without
# TCP_USER_TIMEOUT, which also ends the connections of servers that take nothing for a while.
TCP_OPTIONS = {"TCP_KEEPIDLE": 5, "TCP_KEEPINTVL": 2, "TCP_KEEPCNT": 1}
MAX_KEEP_ALIVE_S = 3600


class PlannedConnection(Connection):
    """A connection with the state for closing it in time and for detecting that it is dead."""

    def __init__(self, target: PlannedTarget, address: Address, sock: socket.socket) -> None:
        super().__init__(target, address, sock)
        self.planned_target = target
        self.retire_fraction = target.pool.limits.random_retire_fraction()
        self.request_count = 0
        self.connected_at = target.pool.loop.time()
        self.sent_at = 0.0
        self.in_use = False
        self.silent = False  # got no answer in time, and is broken for that reason
        self.prewarmed = False  # opened ahead of need and not used yet
        self.silence_timer: asyncio.TimerHandle | None = None

    def start_exchange(self, exchange: Exchange) -> None:
        self.in_use = True
        self.planned_target.busy += 1
        if self.prewarmed:
            self.prewarmed = False
            self.planned_target.plan.prewarm_gate.record_used(self.planned_target.pool.loop.time())
        super().start_exchange(exchange)
        self.request_count += 1
        loop, plan = self.planned_target.pool.loop, self.planned_target.plan
        self.sent_at = loop.time()
        if self.idle_since and not exchange.careful and plan.should_watch(self.idle_before_s):
            self.silence_timer = loop.call_later(plan.silence_timeout_s(), self._check_silence, 1)

    def data_received(self, data: bytes) -> None:
        self._cancel_silence_timer()
        super().data_received(data)

    def connection_lost(self, problem: Exception | None) -> None:
        if self.exchange is None and self in self.planned_target.idle:
            self.planned_target.record_idle_end(self)
        super().connection_lost(problem)

    def drop(self) -> None:
        self.mark_free()
        if self.prewarmed:
            self.prewarmed = False
            self.planned_target.plan.prewarm_gate.record_unused(self.planned_target.pool.loop.time())
        super().drop()

    def mark_free(self) -> None:
        """Records that the connection has no exchange any more."""
        self._cancel_silence_timer()
        if self.in_use:
            self.in_use = False
            self.planned_target.busy -= 1

    def _check_silence(self, checks: int) -> None:
        """Checks a connection that was idle and has not answered yet; breaks it if it is dead."""
        self.silence_timer = None
        if self.exchange is None or self.received_bytes or self._unread():
            return
        loop, plan = self.planned_target.pool.loop, self.planned_target.plan
        if self.exchange.body is not None and self._was_acknowledged(loop.time()):
            return  # a long request: its client may still write it, and the server read it
        if plan.is_dead(loop.time(), self.idle_before_s, self.sent_at, checks):
            self.silent = True
            self._fail()
        else:
            self.silence_timer = loop.call_later(plan.silence_timeout_s(), self._check_silence, checks + 1)

    def _was_acknowledged(self, now: float) -> bool:
        """Whether the server's kernel has acknowledged anything since the request began."""
        age_s = since_acknowledgement_s(self.sock)
        return age_s is not None and age_s < now - self.sent_at

    def _cancel_silence_timer(self) -> None:
        if self.silence_timer is not None:
            self.silence_timer.cancel()
            self.silence_timer = None

    def _finish(self) -> None:
        plan, answer = self.planned_target.plan, self.answer
        plan.record_answer(self.sent_at, self.planned_target.pool.loop.time() - self.sent_at)
        header = answer.header(b"keep-alive")
        if header is not None:
            seconds = keep_alive_timeout_s(header)
            if seconds is not None:
                plan.limits.limit_of(self.address).set_announced(seconds)
        super()._finish()

    def _fail(self) -> None:
        exchange, reused = self.exchange, self.request_count > 1
        now, plan = self.planned_target.pool.loop.time(), self.planned_target.plan
        if reused and not self.received_bytes:
            (plan.record_silence if self.silent else plan.record_end)(now, self.idle_before_s)
        elif not reused and not self.received_bytes and now - self.connected_at < IMMEDIATE_CLOSE_S:
            # Accepted only to be closed.
            plan.record_refusal(now, self.planned_target.busy + len(self.planned_target.idle) - 1)
        lost = exchange is not None and exchange.body is not None and exchange.body.replay_lost
        if exchange is None or self.flushed or not reused or exchange.was_moved or lost:
            super()._fail()
            return
        self.drop()
        exchange.connection, exchange.was_moved = None, True
        self.planned_target.start(exchange, self.planned_target.pool.rules.dial_timeout_s)


class PlannedTarget(Target):
    """One server's connections, opened and closed by its plan."""

    pool: PlannedPool

    def __init__(self, pool: PlannedPool, endpoint: int, address: Address | None) -> None:
        super().__init__(pool, address)
        self.endpoint = endpoint
        self.queue: deque[Exchange] = deque()
        self.dials: dict[asyncio.Task[None], bool] = {}  # False: opened ahead
        self.busy = 0
        self.planned_process_start = 0
        self.stopped = False  # no new request may be sent
        self.plan = self._new_plan()

    def _new_plan(self) -> ConnectionPlan:
        return ConnectionPlan(self.address or ("", 0), self.pool.rules, self.pool.limits, self.pool.rng)

    def counts(self) -> ConnectionCounts:
        waiting = sum(not exchange.over for exchange in self.queue) if self.queue else 0
        dialing = len(self.dials)
        unclaimed_dials = max(0, dialing - waiting)
        return ConnectionCounts(
            self.busy, len(self.idle), dialing, unclaimed_dials, max(0, waiting - dialing)
        )

    # Requests

    def would_dial(self) -> bool:
        """Always False: the plan paces dials, also those to a server that has just started."""
        return False

    def start(self, exchange: Exchange, dial_timeout: float) -> None:
        now = self.pool.loop.time()
        if self.address is None or self.stopped:
            self._return_to_engine(exchange)
            return
        connection = self._take_usable(now, exchange.careful or exchange.again)
        counts = self.counts()
        server, usable = self.pool.server(self.endpoint), connection is not None
        decision = self.plan.decide(now, counts, usable, server, exchange.again)
        if decision is Decision.DIAL and not self.pool.has_room():
            decision = Decision.WAIT if counts.queued < counts.busy + counts.dialing else Decision.RETURN
        if decision in (Decision.WAIT, Decision.RETURN) and exchange.again and not exchange.careful:
            connection = self._take_usable(
                now, trusted_only=False
            )  # a connection in doubt is better than none
        self.plan.demand.set_busy(
            now, self.busy + counts.queued + len(self.dials) - counts.unclaimed_dials + 1
        )
        self.pool.schedule_update(self)
        if connection is not None:
            connection.start_exchange(exchange)
        elif decision is Decision.RETURN:
            self._return_to_engine(exchange)
        else:
            self.queue.append(exchange)
            self.waiting.add(exchange)
            if decision is Decision.DIAL:
                self._start_dial(for_request=True)
            wait = dial_timeout if decision is Decision.DIAL else self.plan.max_wait_s()
            self.pool.loop.call_later(wait, self._wait_expired, exchange)

    def _return_to_engine(self, exchange: Exchange) -> None:
        """Returns an exchange that no connection can take, without a fault of the server."""
        exchange.over = exchange.skipped = True
        self.pool.returned += 1
        exchange.broken(written=False)

    def _wait_expired(self, exchange: Exchange) -> None:
        """Returns an exchange that has waited for long enough: another server is faster."""
        if exchange in self.waiting and not exchange.over:
            self._leave_queue(exchange)
            self._return_to_engine(exchange)

    def _leave_queue(self, exchange: Exchange) -> None:
        self.waiting.discard(exchange)
        with contextlib.suppress(ValueError):
            self.queue.remove(exchange)

    def _next_waiting(self) -> Exchange | None:
        while self.queue:
            exchange = self.queue.popleft()
            self.waiting.discard(exchange)
            if not exchange.over and exchange.may_begin():
                return exchange
            if not exchange.over:
                self._return_to_engine(exchange)
        return None

    def _take_usable(self, now: float, trusted_only: bool) -> PlannedConnection | None:
        """Returns the most recently used idle connection that is usable; closes those beyond their limit."""
        rested_since = now - self.pool.reuse.required_rest_s(now)
        set_aside: list[Connection] = []
        found: PlannedConnection | None = None
        while self.idle and found is None:
            connection = self.idle.pop()
            assert isinstance(connection, PlannedConnection)
            idle_s = now - connection.idle_since
            if connection.idle_since > rested_since:
                set_aside.append(connection)
            elif not connection.is_usable():
                self.plan.record_end(now, idle_s)
                connection.drop_unusable()
            elif self.plan.is_usable(now, idle_s, connection.retire_fraction, trusted_only):
                found = connection
            elif self.plan.is_usable(now, idle_s, connection.retire_fraction, trusted_only=False):
                set_aside.append(connection)  # in doubt: usable for other requests
            else:
                connection.drop()
        self.idle.extend(reversed(set_aside))
        return found

    # Dials

    def _start_dial(self, for_request: bool) -> None:
        assert self.address is not None
        now = self.pool.loop.time()
        self.plan.pacer.record_dial(now, self.pool.server(self.endpoint).warmth)
        task = self.pool.loop.create_task(self._dial_planned(self.address, self.plan))
        self.dials[task] = for_request
        self.pool.dials.add(task)
        self.pool.opened += 1
        self.pool.opened_ahead += not for_request

        def dial_ended(_: asyncio.Task[None]) -> None:  # also when cancelled before its first step
            self.dials.pop(task, None)
            self.pool.dials.discard(task)

        task.add_done_callback(dial_ended)

    async def _dial_planned(self, address: Address, plan: ConnectionPlan) -> None:
        loop, started_at = self.pool.loop, self.pool.loop.time()
        connection: Connection | None = None
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(self.pool.rules.dial_timeout_s):
                connection = await self._connect(address)
        task = asyncio.current_task()
        assert task is not None
        for_request = self.dials.pop(task, True)
        self.pool.dials.discard(task)
        if connection is None or connection.transport.is_closing():
            plan.record_refusal(loop.time(), self.busy + len(self.idle))
            self._dial_failed(address)
            return
        self.pool.connections.add(connection)
        plan.record_connected(loop.time(), loop.time() - started_at)
        assert isinstance(connection, PlannedConnection)
        connection.prewarmed = not for_request
        if address != self.address or self.stopped or plan is not self.plan:
            connection.drop()  # the server has moved, drained or restarted since the dial
            return
        self._serve_or_idle(connection)

    def _dial_failed(self, address: Address) -> None:
        exchange = self._next_waiting() if address == self.address else None
        if exchange is not None:
            exchange.over = exchange.refused = True
            exchange.broken(written=False)

    def prepare(self, sock: socket.socket) -> None:
        enable_tcp_keep_alive(sock)

    def made(self, address: Address, sock: socket.socket) -> Connection:
        return PlannedConnection(self, address, sock)

    def _serve_or_idle(self, connection: PlannedConnection) -> None:
        """Sends the next waiting exchange on the connection, or keeps it idle."""
        exchange = self._next_waiting()
        if exchange is not None:
            connection.start_exchange(exchange)
            return
        connection.idle_since = self.pool.loop.time()
        self.idle.append(connection)
        self.pool.schedule_update(self)

    def release(self, connection: Connection) -> None:
        assert isinstance(connection, PlannedConnection)
        connection.mark_free()
        now = self.pool.loop.time()
        if connection.address != self.address or self.stopped:
            connection.drop()
            return
        if self.plan.should_close(
            now, connection.connected_at, 0.0, connection.request_count, connection.retire_fraction
        ):
            connection.drop()
            return
        connection.idle_since = now
        self.idle.append(connection)
        self.pool.schedule_update(self)
        if self.queue:
            self.pool.loop.call_later(self.pool.reuse.required_rest_s(now) * 1.1, self._serve_queue)

    def _serve_queue(self) -> None:
        """Sends waiting exchanges on connections whose rest after an answer is over."""
        while self.queue and not self.stopped:
            connection = self._take_usable(self.pool.loop.time(), trusted_only=self.queue[0].careful)
            if connection is None:
                return
            exchange = self._next_waiting()
            if exchange is None:
                self.idle.append(connection)
                return
            connection.start_exchange(exchange)

    def record_idle_end(self, connection: PlannedConnection) -> None:
        """Records that the server has closed an idle connection."""
        now = self.pool.loop.time()
        if connection.request_count:
            self.plan.record_end(now, now - connection.idle_since)
        else:
            self.plan.record_refusal(now, self.busy + len(self.idle) - 1)

    # Updates

    def update(self, now: float) -> bool:
        """Closes expired connections and opens needed ones; returns whether another update is needed."""
        plan, server = self.plan, self.pool.server(self.endpoint)
        counts = self.counts()
        plan.demand.set_busy(now, self.busy + counts.queued + counts.dialing - counts.unclaimed_dials)
        for connection in list(self.idle):
            assert isinstance(connection, PlannedConnection)
            idle_s = now - connection.idle_since
            retired = plan.should_close(
                now, connection.connected_at, idle_s, connection.request_count, connection.retire_fraction
            )
            if retired or counts.total() > plan.cap.max_connections(now):
                self.idle.remove(connection)
                connection.drop()
                counts = self.counts()
        should_prewarm = (
            self.address is not None and not self.stopped and plan.prewarm_count(now, counts, server) > 0
        )
        if should_prewarm and self.pool.connection_count() < self.pool.limit():
            self._start_dial(for_request=False)
        return bool(self.idle or self.busy or self.queue or self.dials or plan.demand.forecast(now))

    def surplus(self, now: float) -> int:
        """Returns how many connections are open beyond the forecast."""
        return len(self.idle) + self.busy - self.plan.demand.forecast(now)

    # Membership

    def move(self, address: Address | None) -> None:
        self.stopped = False
        if address != self.address:
            super().move(address)
            self.plan = self._new_plan()

    def began(self, started: int) -> None:
        if started != self.planned_process_start:
            self.planned_process_start = started
            self.plan = self._new_plan()  # a restarted process has its own pacing
        super().began(started)

    def abandon_waiting(self) -> None:
        self.stopped = True
        super().abandon_waiting()
        self.queue.clear()
        self.waiting.clear()
        for task in list(self.dials):
            task.cancel()


class PlannedPool(Pool):
    """The planned connections of all servers. `server` returns the balancer's state of one."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        limit: Callable[[], int],
        idle_s: float,
        memory: BufferMemory,
        rules: Rules,
        server: Callable[[int], ServerState],
        seed: int,
    ) -> None:
        super().__init__(loop, limit, idle_s, memory)
        self.rules = rules
        self.server = server
        self.rng = Random(seed)
        self.limits = IdleLimits(rules.idle_s, self.rng)
        self.active: dict[PlannedTarget, None] = {}
        self.update_timer: asyncio.TimerHandle | None = None
        self.opened = self.opened_ahead = self.returned = 0

    def target(self, endpoint: int, address: Address | None) -> Target:
        return PlannedTarget(self, endpoint, address)

    def set_rules(self, rules: Rules) -> None:
        """Replaces the rules; connections beyond the new bounds are closed when they become free."""
        self.rules = rules
        for target in self.targets():
            assert isinstance(target, PlannedTarget)
            target.plan = target._new_plan()
            self.schedule_update(target)

    def watch_idle(self) -> None:
        """Does nothing: the updates close idle connections."""

    def schedule_update(self, target: PlannedTarget) -> None:
        self.active[target] = None
        if self.update_timer is None:
            self.update_timer = self.loop.call_later(UPDATE_INTERVAL_S, self._update_targets)

    def _update_targets(self) -> None:
        self.update_timer = None
        now = self.loop.time()
        for target in list(self.active)[:MAX_TARGETS_PER_UPDATE]:
            del self.active[target]
            if target.update(now):
                self.active[target] = None  # at the end, behind the others
        if self.active:
            self.update_timer = self.loop.call_later(UPDATE_INTERVAL_S, self._update_targets)

    def close_oldest_idle(self) -> bool:
        """Closes an idle connection of the server with the largest surplus."""
        now = self.loop.time()
        candidates = [target for target in self.active if target.idle]
        if not candidates:
            return False
        donor = max(candidates, key=lambda target: (target.surplus(now), -target.idle[0].idle_since))
        donor.idle.pop(0).drop()
        return True


def enable_tcp_keep_alive(sock: socket.socket) -> None:
    """Enables TCP keep-alive, so that the kernel detects an unreachable peer where it supports that."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in TCP_OPTIONS.items():
        if hasattr(socket, option):
            sock.setsockopt(socket.IPPROTO_TCP, getattr(socket, option), value)


def keep_alive_timeout_s(header: bytes) -> float | None:
    """Returns the timeout in a `Keep-Alive` header in seconds, or None."""
    for part in header.split(b","):
        name, _, value = part.strip().partition(b"=")
        value = value.strip()
        if name.strip().lower() == b"timeout" and value.isdigit() and len(value) < 6:
            return float(min(int(value), MAX_KEEP_ALIVE_S))
    return None
