"""The planned pool on loopback sockets, with connections that servers and middleboxes end in many ways."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any

import pytest

from garnethaven.connections.planner import Rules, ServerState
from garnethaven.connections.pool import PlannedPool, PlannedTarget
from garnethaven.limits.budgets import BufferMemory
from garnethaven.net.exchange import Answer, Exchange
from tests.loopback import ANSWER, read_message, run, wait_until

REQUEST = b"POST /api HTTP/1.1\r\nHost: t\r\nContent-Length: 2\r\n\r\nhi"


class RequestStub(Exchange):
    """One request and its outcome."""

    def __init__(self, payload: bytes = REQUEST, careful: bool = False, again: bool = False) -> None:
        super().__init__((payload,))
        self.careful, self.again = careful, again
        self.status = 0
        self.lost: bool | None = None  # set when the connection breaks: whether the request was written
        self.done = asyncio.Event()

    def answered(self, answer: Answer) -> None:
        self.status = answer.status
        self.done.set()

    def broken(self, written: bool) -> None:
        self.lost = written
        self.done.set()


class ServerStub:
    """A server that ends its connections as configured."""

    def __init__(self) -> None:
        self.opened = self.requests = 0
        self.writers: list[asyncio.StreamWriter] = []
        self.unanswered_connections: set[int] = set()  # indexes of connections that get no answer
        self.close_at_once = False
        self.close_after = False
        self.slow_s = 0.0
        self.header = b""

    async def start(self) -> ServerStub:
        self.asyncio_server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.asyncio_server.sockets[0].getsockname()[1]
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
                if number in self.unanswered_connections:
                    await reader.read()
                    break
                self.requests += 1
                await asyncio.sleep(self.slow_s)
                writer.write(ANSWER.replace(b"\r\n\r\n", b"\r\n" + self.header + b"\r\n", 1))
                if self.close_after:
                    break
        writer.close()

    def close(self) -> None:
        self.asyncio_server.close()
        for writer in self.writers:
            writer.transport.abort()


class PoolFixture:
    """A planned pool with one server, or more."""

    def __init__(self, server: ServerStub, pool: PlannedPool) -> None:
        self.server = server
        self.pool = pool
        self.target = self.add(1, server)

    def add(self, endpoint: int, server: ServerStub) -> PlannedTarget:
        target = self.pool.target(endpoint, ("127.0.0.1", server.port))
        assert isinstance(target, PlannedTarget)
        self.targets = [*getattr(self, "targets", []), target]
        self.pool.targets = lambda: tuple(self.targets)
        return target

    def start_request(self, **arguments: Any) -> RequestStub:
        request = RequestStub(**arguments)
        self.target.start(request, 0.5)
        return request

    async def ask(self, **arguments: Any) -> RequestStub:
        request = self.start_request(**arguments)
        await request.done.wait()
        return request

    async def settled(self) -> None:
        await wait_until(lambda: not self.target.busy and not self.target.dials)
        await asyncio.sleep(0.01)  # a connection rests for a moment after its answer


@contextlib.asynccontextmanager
async def pool_fixture(**rules: Any) -> AsyncIterator[PoolFixture]:
    server = await ServerStub().start()
    loop = asyncio.get_running_loop()
    rules_with_defaults = Rules(**({"opens_per_s": 1000.0, "dial_timeout_s": 0.3, "ahead": False} | rules))
    pool = PlannedPool(
        loop, lambda: 100, 15.0, BufferMemory(64), rules_with_defaults, lambda endpoint: ServerState(), 1
    )
    fixture = PoolFixture(server, pool)
    for target in (fixture.target,):
        target.plan.pacer.tokens = target.plan.pacer.burst
    try:
        yield fixture
    finally:
        for target in fixture.targets:
            target.abandon_waiting()
            target.close_idle()
        for connection in list(pool.connections):
            connection.drop()
        server.close()


def test_a_connection_is_kept_and_used_again() -> None:
    async def case() -> None:
        async with pool_fixture() as fixture:
            for _ in range(5):
                assert (await fixture.ask()).status == 200
                await fixture.settled()
            assert fixture.server.opened == 1

    run(case())


def test_a_connection_rests_for_as_long_as_was_learned_from_second_answers() -> None:
    async def case() -> None:
        async with pool_fixture() as fixture:
            assert (await fixture.ask()).status == 200
            await fixture.settled()
            reuse = fixture.pool.reuse
            reuse.full_rest_s = 20.0
            reuse.record_unsolicited(fixture.pool.loop.time(), 10.0)
            assert (await fixture.ask()).status == 200
            assert fixture.server.opened == 2
            await fixture.settled()
            reuse.unsolicited_at = None
            assert (await fixture.ask()).status == 200
            assert fixture.server.opened == 2

    run(case())


def test_fifty_requests_at_an_empty_pool_open_few_and_keep_nobody_waiting() -> None:
    async def case() -> None:
        async with pool_fixture(opens_per_s=20.0, accepts=370) as fixture:
            fixture.server.slow_s = 0.05
            requests = [fixture.start_request() for _ in range(50)]
            await asyncio.gather(*(request.done.wait() for request in requests))
            served = [request for request in requests if request.status == 200]
            returned = [request for request in requests if request.skipped]
            assert len(served) + len(returned) == 50
            assert served and all(request.lost is False for request in returned)
            assert fixture.server.opened <= 11

    run(case())


def test_a_request_that_was_not_written_moves_to_another_connection_without_a_word() -> None:
    async def case() -> None:
        async with pool_fixture() as fixture:
            assert (await fixture.ask()).status == 200
            await fixture.settled()
            (connection,) = fixture.target.idle
            connection.is_usable = lambda: True  # type: ignore[method-assign]  # it closes at the same time
            connection.transport.abort()
            request = await fixture.ask()
            assert (request.status, request.was_moved) == (200, True)
            assert fixture.server.opened == 2

    run(case())


def test_a_server_that_closes_after_each_answer_is_asked_on_new_connections() -> None:
    async def case() -> None:
        async with pool_fixture() as fixture:
            fixture.server.close_after = True
            for _ in range(6):
                assert (await fixture.ask()).status == 200
                await fixture.settled()
            assert fixture.server.opened == 6

    run(case())


def test_a_connection_that_was_dropped_in_silence_costs_one_pause_and_teaches_its_limit() -> None:
    async def case() -> None:
        async with pool_fixture() as fixture:
            assert (await fixture.ask()).status == 200
            await fixture.settled()
            fixture.server.unanswered_connections.add(0)
            (connection,) = fixture.target.idle
            connection.idle_since -= 4.0  # simulates four seconds of idleness
            stale_request = fixture.start_request()
            other_request = await fixture.ask()  # meanwhile the server answers other requests
            assert other_request.status == 200
            await stale_request.done.wait()
            assert (stale_request.lost, stale_request.stale) == (True, True)
            limit = fixture.pool.limits.limit_s(("127.0.0.1", fixture.server.port), fixture.pool.loop.time())
            assert limit == pytest.approx(3.2, abs=0.1)
            retry_request = await fixture.ask(again=True)
            assert retry_request.status == 200

    run(case())


def test_a_slow_server_is_no_dead_connection() -> None:
    async def case() -> None:
        async with pool_fixture(dial_timeout_s=0.05) as fixture:
            assert (await fixture.ask()).status == 200
            await fixture.settled()
            fixture.target.idle[0].idle_since -= 0.5
            fixture.server.slow_s = 0.6
            request = await fixture.ask()
            assert request.status == 200
            assert fixture.pool.limits.learned_count == 0

    run(case())


def test_what_must_not_be_lost_gets_a_new_connection_rather_than_one_in_doubt() -> None:
    async def case() -> None:
        async with pool_fixture() as fixture:
            assert (await fixture.ask()).status == 200
            await fixture.settled()
            fixture.target.idle[0].idle_since -= 4.0
            assert (await fixture.ask(careful=True)).status == 200
            assert fixture.server.opened == 2
            await fixture.settled()
            assert len(fixture.target.idle) == 2  # the one in doubt is kept for other requests

    run(case())


def test_a_servers_own_word_on_idle_connections_is_kept() -> None:
    async def case() -> None:
        async with pool_fixture() as fixture:
            fixture.server.header = b"Keep-Alive: timeout=2\r\n"
            assert (await fixture.ask()).status == 200
            await fixture.settled()
            fixture.target.idle[0].idle_since -= 1.8
            await wait_until(lambda: not fixture.target.idle)

    run(case())


def test_a_full_server_is_not_asked_in_a_loop() -> None:
    async def case() -> None:
        async with pool_fixture() as fixture:
            fixture.server.slow_s = 0.3
            first = fixture.start_request()
            await wait_until(lambda: fixture.target.busy == 1)
            fixture.server.close_at_once = True
            others = [fixture.start_request() for _ in range(10)]
            await asyncio.gather(*(request.done.wait() for request in others), first.done.wait())
            assert first.status == 200
            before = fixture.server.opened
            assert before <= 12
            assert (
                fixture.target.plan.cap.max_connections(fixture.pool.loop.time()) <= 2
                or fixture.target.plan.pacer.failures
            )

    run(case())


def test_a_drain_and_a_move_while_connections_are_being_opened_leave_nothing() -> None:
    async def case() -> None:
        async with pool_fixture(ahead=True) as fixture:
            requests = [fixture.start_request() for _ in range(5)]
            fixture.target.abandon_waiting()
            await asyncio.gather(*(request.done.wait() for request in requests))
            assert all(request.lost is False for request in requests)
            await wait_until(lambda: not fixture.target.dials and not fixture.pool.dials)
            assert not fixture.target.idle
            assert (await fixture.ask()).skipped  # no new connection while it drains
            new_server = await ServerStub().start()
            fixture.target.move(("127.0.0.1", new_server.port))
            assert (await fixture.ask()).status == 200
            assert (new_server.requests, fixture.server.requests) == (1, 0)
            new_server.close()

    run(case())


def test_another_process_behind_the_address_is_paced_anew() -> None:
    async def case() -> None:
        async with pool_fixture() as fixture:
            assert (await fixture.ask()).status == 200
            await fixture.settled()
            before = fixture.target.plan
            fixture.target.began(fixture.target.idle[0].opened_at + 10)
            assert fixture.target.plan is not before
            assert not fixture.target.idle

    run(case())


def test_connections_are_opened_ahead_and_the_next_burst_finds_them() -> None:
    async def case() -> None:
        async with pool_fixture(ahead=True) as fixture:
            fixture.server.slow_s = 0.05
            requests = [fixture.start_request() for _ in range(6)]
            await asyncio.gather(*(request.done.wait() for request in requests))
            fixture.target.close_idle()
            await wait_until(lambda: len(fixture.target.idle) >= 4)
            opened = fixture.server.opened
            next_burst = [fixture.start_request() for _ in range(4)]
            await asyncio.gather(*(request.done.wait() for request in next_burst))
            assert all(request.status == 200 for request in next_burst)
            assert fixture.pool.opened_ahead >= 4
            assert fixture.server.opened - opened <= 2

    run(case())


def test_under_pressure_the_server_that_needs_its_connections_least_gives_one() -> None:
    async def case() -> None:
        async with pool_fixture() as fixture:
            needed = [fixture.start_request() for _ in range(2)]
            await asyncio.gather(*(needed_request.done.wait() for needed_request in needed))
            await fixture.settled()
            server = await ServerStub().start()
            spare = fixture.add(2, server)
            spare.plan.pacer.tokens = spare.plan.pacer.burst
            request = RequestStub()
            spare.start(request, 0.5)
            await request.done.wait()
            spare.plan.demand.peak = 0  # no recent demand
            spare.plan.demand.peaks.clear()
            assert fixture.pool.close_oldest_idle()
            assert (len(spare.idle), len(fixture.target.idle)) == (0, 2)
            server.close()

    run(case())


def test_churn_leaves_nothing_behind() -> None:
    async def case() -> None:
        async with pool_fixture() as fixture:
            for number in range(200):
                target = fixture.add(10 + number, fixture.server)
                target.plan.pacer.tokens = target.plan.pacer.burst
                request = RequestStub()
                target.start(request, 0.5)
                await request.done.wait()
                fixture.targets.remove(target)
                target.move(None)
                target.close_idle()
                target.abandon_waiting()
            await wait_until(lambda: not fixture.pool.connections and not fixture.pool.dials)
            await wait_until(
                lambda: (
                    len(fixture.pool.active) <= 1 or not any(active.idle for active in fixture.pool.active)
                )
            )

    run(case())


def test_what_holds_no_more_when_its_dial_ends_is_not_written(monkeypatch: pytest.MonkeyPatch) -> None:
    """A dial succeeds after its request's deadline: the connection serves the next request."""

    async def case() -> None:
        async with pool_fixture() as fixture:
            may_end = asyncio.Event()
            connect = PlannedTarget._connect

            async def delayed_connect(target: PlannedTarget, address: tuple[str, int]) -> Any:
                connection = await connect(target, address)
                await may_end.wait()
                return connection

            monkeypatch.setattr(PlannedTarget, "_connect", delayed_connect)
            late_request = fixture.start_request()
            late_request.may_begin = lambda: False  # type: ignore[method-assign]
            await wait_until(lambda: fixture.server.opened == 1)
            may_end.set()
            await late_request.done.wait()
            assert late_request.lost is False and late_request.skipped and fixture.server.requests == 0
            await fixture.settled()
            assert (await fixture.ask()).status == 200 and fixture.server.opened == 1

    run(case())
