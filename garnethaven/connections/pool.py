"""The pool that does what the planner says: dials of its own, queues, retirement, pressure.

It stands where net/upstream.py's pool stands and has the same seams; what an exchange's end means is told
there.

| an exchange is | until |
| --- | --- |
| carried | its connection answers or breaks |
| in the queue | a dial comes up, a connection comes free, its dial fails, or it has waited for long enough |
| redone | a kept connection broke before its last byte was written: it can't have run, and moves once |
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
from garnethaven.connections.planner import Held, Plan, Rules, Server, Way
from garnethaven.limits.budgets import AnswerMemory
from garnethaven.net.connection import Connection
from garnethaven.net.exchange import Exchange
from garnethaven.net.upstream import Pool, Target

LOOK_S = 0.1  # between two looks at what to open and to close
LOOKS_MOST = 256  # targets at one look; the rest wait for the next
AT_ONCE_S = 0.05  # a connection that ends so soon was not wanted
# Seconds of idleness before the first probe, between probes, their number; and the milliseconds after which
# bytes that nobody takes end a connection. They would do harm where a path is away for longer than that.
KERNEL_KEEP_ALIVE = {"TCP_KEEPIDLE": 5, "TCP_KEEPINTVL": 2, "TCP_KEEPCNT": 3, "TCP_USER_TIMEOUT": 2000}
KEEP_ALIVE_MOST_S = 3600


class PlannedConnection(Connection):
    """One connection, with what its retirement and doubts need."""

    def __init__(self, target: PlannedTarget, address: Address, sock: socket.socket) -> None:
        super().__init__(target, address, sock)
        self.planned = target
        self.part = target.pool.limits.part()
        self.requests = 0
        self.began_at = target.pool.loop.time()
        self.carried_at = 0.0
        self.carrying = False
        self.silence = False  # it met silence, and is not trusted any more
        self.ahead = False  # opened ahead of need, and not used yet
        self.doubt: asyncio.TimerHandle | None = None

    def carry(self, exchange: Exchange) -> None:
        self.carrying = True
        self.planned.busy += 1
        if self.ahead:
            self.ahead = False
            self.planned.plan.worth.used(self.planned.pool.loop.time())
        super().carry(exchange)
        self.requests += 1
        loop, plan = self.planned.pool.loop, self.planned.plan
        self.carried_at = loop.time()
        if self.idle_since and not exchange.careful and plan.watched(self.idle_before_s):
            self.doubt = loop.call_later(plan.silence_s(), self._silent, 1)

    def data_received(self, data: bytes) -> None:
        self._end_doubt()
        super().data_received(data)

    def connection_lost(self, problem: Exception | None) -> None:
        if self.exchange is None and self in self.planned.idle:
            self.planned.ended_idle(self)
        super().connection_lost(problem)

    def drop(self) -> None:
        self.freed()
        if self.ahead:
            self.ahead = False
            self.planned.plan.worth.unused(self.planned.pool.loop.time())
        super().drop()

    def freed(self) -> None:
        """It carries nothing any more."""
        self._end_doubt()
        if self.carrying:
            self.carrying = False
            self.planned.busy -= 1

    def _silent(self, looks: int) -> None:
        """Nothing has come back yet on a connection that had been idle."""
        self.doubt = None
        if self.exchange is None or self.received_bytes or self._unread():
            return
        loop, plan = self.planned.pool.loop, self.planned.plan
        if plan.is_dead(loop.time(), self.idle_before_s, self.carried_at, looks):
            self.silence = True
            self._break()
        else:
            self.doubt = loop.call_later(plan.silence_s(), self._silent, looks + 1)

    def _end_doubt(self) -> None:
        if self.doubt is not None:
            self.doubt.cancel()
            self.doubt = None

    def _finish(self) -> None:
        plan, answer = self.planned.plan, self.answer
        plan.answered(self.carried_at, self.planned.pool.loop.time() - self.carried_at)
        told = answer.header(b"keep-alive")
        if told is not None:
            seconds = keep_alive_s(told)
            if seconds is not None:
                plan.limits.of(self.address).keep_alive(seconds)
        super()._finish()

    def _break(self) -> None:
        exchange, kept = self.exchange, self.requests > 1
        now, plan = self.planned.pool.loop.time(), self.planned.plan
        if kept and not self.received_bytes:
            (plan.silent if self.silence else plan.ended)(now, self.idle_before_s)
        elif not kept and not self.received_bytes and now - self.began_at < AT_ONCE_S:
            plan.refused(now, self.planned.busy + len(self.planned.idle) - 1)  # taken only to be closed
        lost = exchange is not None and exchange.body is not None and exchange.body.replay_lost
        if exchange is None or self.flushed or not kept or exchange.was_moved or lost:
            super()._break()
            return
        self.drop()
        exchange.connection, exchange.was_moved = None, True
        self.planned.start(exchange, self.planned.pool.rules.dial_timeout_s)


class PlannedTarget(Target):
    """One server's connections, as its plan wants them."""

    pool: PlannedPool

    def __init__(self, pool: PlannedPool, endpoint: int, address: Address | None) -> None:
        super().__init__(pool, address)
        self.endpoint = endpoint
        self.queue: deque[Exchange] = deque()
        self.dials: dict[asyncio.Task[None], bool] = {}  # whether a request asked for it
        self.busy = 0
        self.life = 0
        self.stopped = False  # nothing new may go there
        self.plan = self._new_plan()

    def _new_plan(self) -> Plan:
        return Plan(self.address or ("", 0), self.pool.rules, self.pool.limits, self.pool.rng)

    def held(self) -> Held:
        waiting = sum(not exchange.over for exchange in self.queue) if self.queue else 0
        coming = len(self.dials)
        unclaimed = max(0, coming - waiting)
        return Held(self.busy, len(self.idle), coming, unclaimed, max(0, waiting - coming))

    # Requests

    def would_dial(self) -> bool:
        """The plan paces dials, also those to a server that has just started."""
        return False

    def start(self, exchange: Exchange, dial_timeout: float) -> None:
        now = self.pool.loop.time()
        if self.address is None or self.stopped:
            self._give_back(exchange)
            return
        connection = self._take(now, exchange.careful or exchange.again)
        held = self.held()
        server, usable = self.pool.server(self.endpoint), connection is not None
        way = self.plan.way(now, held, usable, server, exchange.again)
        if way is Way.DIAL and not self.pool.has_room():
            way = Way.WAIT if held.queue < held.busy + held.coming else Way.GIVE_BACK
        if way in (Way.WAIT, Way.GIVE_BACK) and exchange.again and not exchange.careful:
            connection = self._take(now, careful=False)  # a doubt is better than nothing
        self.plan.demand.changes(now, self.busy + held.queue + len(self.dials) - held.unclaimed + 1)
        self.pool.look_at(self)
        if connection is not None:
            connection.carry(exchange)
        elif way is Way.GIVE_BACK:
            self._give_back(exchange)
        else:
            self.queue.append(exchange)
            self.waiting.add(exchange)
            if way is Way.DIAL:
                self._open(asked=True)
            wait = dial_timeout if way is Way.DIAL else self.plan.wait_s()
            self.pool.loop.call_later(wait, self._waited, exchange)

    def _give_back(self, exchange: Exchange) -> None:
        """Nothing here takes it, which is no fault of the server's."""
        exchange.over = exchange.skipped = True
        self.pool.given_back += 1
        exchange.broken(written=False)

    def _waited(self, exchange: Exchange) -> None:
        """Long enough: another server serves it sooner."""
        if exchange in self.waiting and not exchange.over:
            self._leave_queue(exchange)
            self._give_back(exchange)

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
                self._give_back(exchange)
        return None

    def _take(self, now: float, careful: bool) -> PlannedConnection | None:
        """The freshest idle connection that will do; what is past its time goes."""
        settled = now - self.pool.reuse.required_rest_s(now)
        kept: list[Connection] = []
        found: PlannedConnection | None = None
        while self.idle and found is None:
            connection = self.idle.pop()
            assert isinstance(connection, PlannedConnection)
            idle_s = now - connection.idle_since
            if connection.idle_since > settled:
                kept.append(connection)
            elif not connection.is_usable():
                self.plan.ended(now, idle_s)
                connection.drop_unusable()
            elif self.plan.will_do(now, idle_s, connection.part, careful):
                found = connection
            elif self.plan.will_do(now, idle_s, connection.part, careful=False):
                kept.append(connection)  # in doubt: good enough for others
            else:
                connection.drop()
        self.idle.extend(reversed(kept))
        return found

    # Dials

    def _open(self, asked: bool) -> None:
        assert self.address is not None
        now = self.pool.loop.time()
        self.plan.pace.began(now, self.pool.server(self.endpoint).warmth)
        task = self.pool.loop.create_task(self._dial_planned(self.address, self.plan))
        self.dials[task] = asked
        self.pool.dials.add(task)
        self.pool.opened += 1
        self.pool.opened_ahead += not asked

        def ended(_: asyncio.Task[None]) -> None:  # also when cancelled before its first step
            self.dials.pop(task, None)
            self.pool.dials.discard(task)

        task.add_done_callback(ended)

    async def _dial_planned(self, address: Address, plan: Plan) -> None:
        loop, began = self.pool.loop, self.pool.loop.time()
        connection: Connection | None = None
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(self.pool.rules.dial_timeout_s):
                connection = await self._connect(address)
        task = asyncio.current_task()
        assert task is not None
        asked = self.dials.pop(task, True)
        self.pool.dials.discard(task)
        if connection is None or connection.transport.is_closing():
            plan.refused(loop.time(), self.busy + len(self.idle))
            self._dial_failed(address)
            return
        self.pool.connections.add(connection)
        plan.dialled(loop.time(), loop.time() - began)
        assert isinstance(connection, PlannedConnection)
        connection.ahead = not asked
        if address != self.address or self.stopped or plan is not self.plan:
            connection.drop()  # it was meant for a server that has moved, drained or started anew
            return
        self._came_free(connection)

    def _dial_failed(self, address: Address) -> None:
        exchange = self._next_waiting() if address == self.address else None
        if exchange is not None:
            exchange.over = exchange.refused = True
            exchange.broken(written=False)

    def prepare(self, sock: socket.socket) -> None:
        keep_alive(sock)

    def made(self, address: Address, sock: socket.socket) -> Connection:
        return PlannedConnection(self, address, sock)

    def _came_free(self, connection: PlannedConnection) -> None:
        """A connection may carry something now, or waits."""
        exchange = self._next_waiting()
        if exchange is not None:
            connection.carry(exchange)
            return
        connection.idle_since = self.pool.loop.time()
        self.idle.append(connection)
        self.pool.look_at(self)

    def release(self, connection: Connection) -> None:
        assert isinstance(connection, PlannedConnection)
        connection.freed()
        now = self.pool.loop.time()
        if connection.address != self.address or self.stopped:
            connection.drop()
            return
        if self.plan.retires(now, connection.began_at, 0.0, connection.requests, connection.part):
            connection.drop()
            return
        connection.idle_since = now
        self.idle.append(connection)
        self.pool.look_at(self)
        if self.queue:
            self.pool.loop.call_later(self.pool.reuse.required_rest_s(now) * 1.1, self._serve_queue)

    def _serve_queue(self) -> None:
        """A connection that came free has settled."""
        while self.queue and not self.stopped:
            connection = self._take(self.pool.loop.time(), careful=self.queue[0].careful)
            if connection is None:
                return
            exchange = self._next_waiting()
            if exchange is None:
                self.idle.append(connection)
                return
            connection.carry(exchange)

    def ended_idle(self, connection: PlannedConnection) -> None:
        """The other side has closed a connection that nobody used."""
        now = self.pool.loop.time()
        if connection.requests:
            self.plan.ended(now, now - connection.idle_since)
        else:
            self.plan.refused(now, self.busy + len(self.idle) - 1)

    # Looks

    def look(self, now: float) -> bool:
        """Close what has had its time, open what will be needed; whether it is worth another look."""
        plan, server = self.plan, self.pool.server(self.endpoint)
        held = self.held()
        plan.demand.changes(now, self.busy + held.queue + held.coming - held.unclaimed)
        for connection in list(self.idle):
            assert isinstance(connection, PlannedConnection)
            idle_s = now - connection.idle_since
            retired = plan.retires(now, connection.began_at, idle_s, connection.requests, connection.part)
            if retired or held.all() > plan.cap.most(now):
                self.idle.remove(connection)
                connection.drop()
                held = self.held()
        ahead = self.address is not None and not self.stopped and plan.ahead(now, held, server) > 0
        if ahead and self.pool.connection_count() < self.pool.limit():
            self._open(asked=False)
        return bool(self.idle or self.busy or self.queue or self.dials or plan.demand.wanted(now))

    def surplus(self, now: float) -> int:
        """Idle connections beyond what is most likely needed."""
        return len(self.idle) + self.busy - self.plan.demand.wanted(now)

    # Membership

    def move(self, address: Address | None) -> None:
        self.stopped = False
        if address != self.address:
            super().move(address)
            self.plan = self._new_plan()

    def began(self, started: int) -> None:
        if started != self.life:
            self.life = started
            self.plan = self._new_plan()  # another process: its dials are paced from the start
        super().began(started)

    def abandon_waiting(self) -> None:
        self.stopped = True
        super().abandon_waiting()
        self.queue.clear()
        self.waiting.clear()
        for task in list(self.dials):
            task.cancel()


class PlannedPool(Pool):
    """All servers' connections, planned. `server` tells what the module thinks of one."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        limit: Callable[[], int],
        idle_s: float,
        memory: AnswerMemory,
        rules: Rules,
        server: Callable[[int], Server],
        seed: int,
    ) -> None:
        super().__init__(loop, limit, idle_s, memory)
        self.rules = rules
        self.server = server
        self.rng = Random(seed)
        self.limits = IdleLimits(rules.idle_s, self.rng)
        self.active: dict[PlannedTarget, None] = {}
        self.looking: asyncio.TimerHandle | None = None
        self.opened = self.opened_ahead = self.given_back = 0

    def target(self, endpoint: int, address: Address | None) -> Target:
        return PlannedTarget(self, endpoint, address)

    def set_rules(self, rules: Rules) -> None:
        """Other bounds, from now on; what is open beyond them is closed as it comes free."""
        self.rules = rules
        for target in self.targets():
            assert isinstance(target, PlannedTarget)
            target.plan = target._new_plan()
            self.look_at(target)

    def watch_idle(self) -> None:
        """Nothing: the looks see to idle connections."""

    def look_at(self, target: PlannedTarget) -> None:
        self.active[target] = None
        if self.looking is None:
            self.looking = self.loop.call_later(LOOK_S, self._look)

    def _look(self) -> None:
        self.looking = None
        now = self.loop.time()
        for target in list(self.active)[:LOOKS_MOST]:
            del self.active[target]
            if target.look(now):
                self.active[target] = None  # behind the others
        if self.active:
            self.looking = self.loop.call_later(LOOK_S, self._look)

    def close_oldest_idle(self) -> bool:
        """Close an idle connection of the server that needs its own the least."""
        now = self.loop.time()
        spare = [target for target in self.active if target.idle]
        if not spare:
            return False
        least = max(spare, key=lambda target: (target.surplus(now), -target.idle[0].idle_since))
        least.idle.pop(0).drop()
        return True


def keep_alive(sock: socket.socket) -> None:
    """Let the kernel notice a peer's machine that is gone, where it can."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for name, value in KERNEL_KEEP_ALIVE.items():
        if hasattr(socket, name):
            sock.setsockopt(socket.IPPROTO_TCP, getattr(socket, name), value)


def keep_alive_s(header: bytes) -> float | None:
    """The time-out that a `Keep-Alive` header tells, in seconds; None where it tells none."""
    for part in header.split(b","):
        name, _, value = part.strip().partition(b"=")
        value = value.strip()
        if name.strip().lower() == b"timeout" and value.isdigit() and len(value) < 6:
            return float(min(int(value), KEEP_ALIVE_MOST_S))
    return None
