"""The planned pool on loopback sockets: servers, and what is between, end connections in every way."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any

import pytest

from garnethaven.connections.planner import Rules, Server
from garnethaven.connections.pool import PlannedPool, PlannedTarget
from garnethaven.limits.budgets import AnswerMemory
from garnethaven.net.exchange import Answer, Exchange
from tests.loopback import ANSWER, read_message, run, wait_until

REQUEST = b"POST /api HTTP/1.1\r\nHost: t\r\nContent-Length: 2\r\n\r\nhi"


class Asked(Exchange):
    """One request, and what came of it."""

    def __init__(self, payload: bytes = REQUEST, careful: bool = False, again: bool = False) -> None:
        super().__init__((payload,))
        self.careful, self.again = careful, again
        self.status = 0
        self.lost: bool | None = None  # written or not
        self.done = asyncio.Event()

    def answered(self, answer: Answer) -> None:
        self.status = answer.status
        self.done.set()

    def broken(self, written: bool) -> None:
        self.lost = written
        self.done.set()


class Far:
    """A server whose connections end as it is told."""

    def __init__(self) -> None:
        self.opened = self.requests = 0
        self.writers: list[asyncio.StreamWriter] = []
        self.deaf: set[int] = set()  # connections, by number, that nobody is behind any more
        self.close_at_once = False
        self.close_after = False
        self.slow_s = 0.0
        self.header = b""

    async def start(self) -> Far:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number = self.opened
        self.opened += 1
        self.writers.append(writer)
        if self.close_at_once:
            writer.close()
            return
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await read_message(reader)
                if number in self.deaf:
                    await reader.read()
                    break
                self.requests += 1
                await asyncio.sleep(self.slow_s)
                writer.write(ANSWER.replace(b"\r\n\r\n", b"\r\n" + self.header + b"\r\n", 1))
                if self.close_after:
                    break
        writer.close()

    def close(self) -> None:
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()


class Stage:
    def __init__(self, far: Far, pool: PlannedPool) -> None:
        self.far = far
        self.pool = pool
        self.target = self.add(1, far)

    def add(self, endpoint: int, far: Far) -> PlannedTarget:
        target = self.pool.target(endpoint, ("127.0.0.1", far.port))
        assert isinstance(target, PlannedTarget)
        self.targets = [*getattr(self, "targets", []), target]
        self.pool.targets = lambda: tuple(self.targets)
        return target

    def begin(self, **words: Any) -> Asked:
        asked = Asked(**words)
        self.target.start(asked, 0.5)
        return asked

    async def ask(self, **words: Any) -> Asked:
        asked = self.begin(**words)
        await asked.done.wait()
        return asked

    async def settled(self) -> None:
        await wait_until(lambda: not self.target.busy and not self.target.dials)
        await asyncio.sleep(0.01)  # a connection is used again a moment after its answer


@contextlib.asynccontextmanager
async def stage(**rules: Any) -> AsyncIterator[Stage]:
    far = await Far().start()
    loop = asyncio.get_running_loop()
    told = Rules(**({"opens_per_s": 1000.0, "dial_timeout_s": 0.3, "ahead": False} | rules))
    pool = PlannedPool(loop, lambda: 100, 15.0, AnswerMemory(64), told, lambda endpoint: Server(), 1)
    made = Stage(far, pool)
    for target in (made.target,):
        target.plan.pace.tokens = target.plan.pace.most
    try:
        yield made
    finally:
        for target in made.targets:
            target.abandon_waiting()
            target.close_idle()
        for connection in list(pool.connections):
            connection.drop()
        far.close()


def test_a_connection_is_kept_and_used_again() -> None:
    async def case() -> None:
        async with stage() as made:
            for _ in range(5):
                assert (await made.ask()).status == 200
                await made.settled()
            assert made.far.opened == 1

    run(case())


def test_a_connection_rests_for_as_long_as_was_learned_from_second_answers() -> None:
    async def case() -> None:
        async with stage() as made:
            assert (await made.ask()).status == 200
            await made.settled()
            reuse = made.pool.reuse
            reuse.full_rest_s = 20.0
            reuse.record_unsolicited(made.pool.loop.time(), 10.0)
            assert (await made.ask()).status == 200
            assert made.far.opened == 2
            await made.settled()
            reuse.unsolicited_at = None
            assert (await made.ask()).status == 200
            assert made.far.opened == 2

    run(case())


def test_fifty_requests_at_an_empty_pool_open_few_and_keep_nobody_waiting() -> None:
    async def case() -> None:
        async with stage(opens_per_s=20.0, accepts=370) as made:
            made.far.slow_s = 0.05
            asked = [made.begin() for _ in range(50)]
            await asyncio.gather(*(one.done.wait() for one in asked))
            served = [one for one in asked if one.status == 200]
            back = [one for one in asked if one.skipped]
            assert len(served) + len(back) == 50
            assert served and all(one.lost is False for one in back)
            assert made.far.opened <= 11

    run(case())


def test_a_request_that_was_not_written_moves_to_another_connection_without_a_word() -> None:
    async def case() -> None:
        async with stage() as made:
            assert (await made.ask()).status == 200
            await made.settled()
            (connection,) = made.target.idle
            connection.is_usable = lambda: True  # type: ignore[method-assign]  # it closes in this very moment
            connection.transport.abort()
            asked = await made.ask()
            assert (asked.status, asked.was_moved) == (200, True)
            assert made.far.opened == 2

    run(case())


def test_a_server_that_closes_after_each_answer_is_asked_on_new_connections() -> None:
    async def case() -> None:
        async with stage() as made:
            made.far.close_after = True
            for _ in range(6):
                assert (await made.ask()).status == 200
                await made.settled()
            assert made.far.opened == 6

    run(case())


def test_a_connection_that_was_dropped_in_silence_costs_one_pause_and_teaches_its_limit() -> None:
    async def case() -> None:
        async with stage() as made:
            assert (await made.ask()).status == 200
            await made.settled()
            made.far.deaf.add(0)
            (connection,) = made.target.idle
            connection.idle_since -= 4.0  # as if it had been idle for so long
            stale = made.begin()
            other = await made.ask()  # meanwhile the server answers others
            assert other.status == 200
            await stale.done.wait()
            assert (stale.lost, stale.stale) == (True, True)
            limit = made.pool.limits.limit_s(("127.0.0.1", made.far.port), made.pool.loop.time())
            assert limit == pytest.approx(3.2, abs=0.1)
            again = await made.ask(again=True)
            assert again.status == 200

    run(case())


def test_a_slow_server_is_no_dead_connection() -> None:
    async def case() -> None:
        async with stage(dial_timeout_s=0.05) as made:
            assert (await made.ask()).status == 200
            await made.settled()
            made.target.idle[0].idle_since -= 0.5
            made.far.slow_s = 0.6
            asked = await made.ask()
            assert asked.status == 200
            assert made.pool.limits.learned == 0

    run(case())


def test_what_must_not_be_lost_gets_a_new_connection_rather_than_one_in_doubt() -> None:
    async def case() -> None:
        async with stage() as made:
            assert (await made.ask()).status == 200
            await made.settled()
            made.target.idle[0].idle_since -= 4.0
            assert (await made.ask(careful=True)).status == 200
            assert made.far.opened == 2
            await made.settled()
            assert len(made.target.idle) == 2  # the one in doubt is still there for others

    run(case())


def test_a_servers_own_word_on_idle_connections_is_kept() -> None:
    async def case() -> None:
        async with stage() as made:
            made.far.header = b"Keep-Alive: timeout=2\r\n"
            assert (await made.ask()).status == 200
            await made.settled()
            made.target.idle[0].idle_since -= 1.8
            await wait_until(lambda: not made.target.idle)

    run(case())


def test_a_full_server_is_not_asked_in_a_loop() -> None:
    async def case() -> None:
        async with stage() as made:
            made.far.slow_s = 0.3
            first = made.begin()
            await wait_until(lambda: made.target.busy == 1)
            made.far.close_at_once = True
            others = [made.begin() for _ in range(10)]
            await asyncio.gather(*(one.done.wait() for one in others), first.done.wait())
            assert first.status == 200
            before = made.far.opened
            assert before <= 12
            assert made.target.plan.cap.most(made.pool.loop.time()) <= 2 or made.target.plan.pace.failures

    run(case())


def test_a_drain_and_a_move_while_connections_are_being_opened_leave_nothing() -> None:
    async def case() -> None:
        async with stage(ahead=True) as made:
            asked = [made.begin() for _ in range(5)]
            made.target.abandon_waiting()
            await asyncio.gather(*(one.done.wait() for one in asked))
            assert all(one.lost is False for one in asked)
            await wait_until(lambda: not made.target.dials and not made.pool.dials)
            assert not made.target.idle
            assert (await made.ask()).skipped  # nothing new while it drains
            other = await Far().start()
            made.target.move(("127.0.0.1", other.port))
            assert (await made.ask()).status == 200
            assert (other.requests, made.far.requests) == (1, 0)
            other.close()

    run(case())


def test_another_process_behind_the_address_is_paced_anew() -> None:
    async def case() -> None:
        async with stage() as made:
            assert (await made.ask()).status == 200
            await made.settled()
            before = made.target.plan
            made.target.began(made.target.idle[0].opened_at + 10)
            assert made.target.plan is not before
            assert not made.target.idle

    run(case())


def test_connections_are_opened_ahead_and_the_next_burst_finds_them() -> None:
    async def case() -> None:
        async with stage(ahead=True) as made:
            made.far.slow_s = 0.05
            asked = [made.begin() for _ in range(6)]
            await asyncio.gather(*(one.done.wait() for one in asked))
            made.target.close_idle()
            await wait_until(lambda: len(made.target.idle) >= 4)
            opened = made.far.opened
            again = [made.begin() for _ in range(4)]
            await asyncio.gather(*(one.done.wait() for one in again))
            assert all(one.status == 200 for one in again)
            assert made.pool.opened_ahead >= 4
            assert made.far.opened - opened <= 2

    run(case())


def test_under_pressure_the_server_that_needs_its_connections_least_gives_one() -> None:
    async def case() -> None:
        async with stage() as made:
            needed = [made.begin() for _ in range(2)]
            await asyncio.gather(*(one.done.wait() for one in needed))
            await made.settled()
            far = await Far().start()
            spare = made.add(2, far)
            spare.plan.pace.tokens = spare.plan.pace.most
            asked = Asked()
            spare.start(asked, 0.5)
            await asked.done.wait()
            spare.plan.demand.peak = 0  # asked long ago
            spare.plan.demand.peaks.clear()
            assert made.pool.close_oldest_idle()
            assert (len(spare.idle), len(made.target.idle)) == (0, 2)
            far.close()

    run(case())


def test_churn_leaves_nothing_behind() -> None:
    async def case() -> None:
        async with stage() as made:
            for number in range(200):
                target = made.add(10 + number, made.far)
                target.plan.pace.tokens = target.plan.pace.most
                asked = Asked()
                target.start(asked, 0.5)
                await asked.done.wait()
                made.targets.remove(target)
                target.move(None)
                target.close_idle()
                target.abandon_waiting()
            await wait_until(lambda: not made.pool.connections and not made.pool.dials)
            await wait_until(lambda: len(made.pool.active) <= 1 or not any(t.idle for t in made.pool.active))

    run(case())


def test_what_holds_no_more_when_its_dial_ends_is_not_written(monkeypatch: pytest.MonkeyPatch) -> None:
    """A dial that comes up late finds its request's time over: the connection serves the next."""

    async def case() -> None:
        async with stage() as one:
            may_end = asyncio.Event()
            connect = PlannedTarget._connect

            async def held(target: PlannedTarget, address: tuple[str, int]) -> Any:
                connection = await connect(target, address)
                await may_end.wait()
                return connection

            monkeypatch.setattr(PlannedTarget, "_connect", held)
            late = one.begin()
            late.may_begin = lambda: False  # type: ignore[method-assign]
            await wait_until(lambda: one.far.opened == 1)
            may_end.set()
            await late.done.wait()
            assert late.lost is False and late.skipped and one.far.requests == 0
            await one.settled()
            assert (await one.ask()).status == 200 and one.far.opened == 1

    run(case())
