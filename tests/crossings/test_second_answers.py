"""A duplicate answer that arrives some milliseconds after a good one, in virtual time and over loopback.

HTTP/1.1 answers carry no id: on a reused connection, the duplicate could be taken for the answer to the next
request. The endpoints here put the request's id into the body, so that a mismatch is detected.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
import socket
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass

import pytest

from benchmarks.reuse import Load, play
from garnethaven.net.reuse import (
    ALLOWANCE_SHARE,
    INITIAL_ALLOWANCE,
    MAX_ALLOWANCE,
    MIN_PREFERRED_REST_S,
    MIN_REST_S,
    UNSOLICITED_MEMORY_S,
    ReusePolicy,
)
from tests.loopback import WAIT_S, Sidecar, answers_with, request, run, running_sidecar, wait_until

SECOND_REQUEST_S = 0.003  # after the answer to the first request
WORK_S = 0.04  # longer than the latest duplicate answer


def answer_to(head: bytes) -> bytes:
    """An answer whose body is the request's id."""
    match = re.search(rb"X-Call-Id: (\S+)", head)
    assert match is not None
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(match[1]), match[1])


class RepeatsAnswers:
    """An endpoint that repeats its first `doubled` answers `after_s` later; later ones take `WORK_S`."""

    def __init__(self, after_s: float, doubled: int = 1) -> None:
        self.after_s = after_s
        self.doubled = doubled

    async def __call__(self, head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.doubled <= 0:
            await asyncio.sleep(WORK_S)
        answer = answer_to(head)
        writer.write(answer)
        if self.doubled > 0:
            self.doubled -= 1
            asyncio.get_running_loop().call_later(self.after_s, self._repeat, writer, answer)

    def _repeat(self, writer: asyncio.StreamWriter, answer: bytes) -> None:
        if not writer.is_closing():
            writer.write(answer)


# Over loopback


@pytest.mark.parametrize("after_ms", [1, 2, 3, 4, 5, 7, 10, 15, 20, 25, 30])
def test_the_first_second_answer_of_all_serves_nobody(after_ms: int) -> None:
    async def case() -> None:
        async with running_sidecar(RepeatsAnswers(after_ms / 1000.0)) as (sidecar, _):
            assert await sidecar.ask(request(X_Call_Id="first")) == (200, b"first")
            await asyncio.sleep(SECOND_REQUEST_S)
            assert await sidecar.ask(request(X_Call_Id="second")) == (200, b"second")

    run(case())


def test_second_answers_to_a_row_of_requests_serve_nobody() -> None:
    async def case() -> None:
        async with running_sidecar(RepeatsAnswers(0.01, doubled=1_000)) as (sidecar, _):
            sidecar.transport.pool.reuse.allowance = MAX_ALLOWANCE  # lasts until the first duplicate is seen
            for n in range(60):
                name = f"c{n}"
                assert await sidecar.ask(request(X_Call_Id=name)) == (200, name.encode())
                await asyncio.sleep(SECOND_REQUEST_S)

    run(case())


def test_a_second_answer_on_a_resting_connection_lengthens_the_rest_of_all() -> None:
    async def case() -> None:
        async with running_sidecar(RepeatsAnswers(0.2)) as (sidecar, _):
            reuse = sidecar.transport.pool.reuse
            reuse.full_rest_s = WAIT_S  # even on a slow machine
            assert (await sidecar.ask(request()))[0] == 200
            assert reuse.required_rest_s(asyncio.get_running_loop().time()) == MIN_REST_S
            await wait_until(lambda: not sidecar.transport.pool.connections)
            now = asyncio.get_running_loop().time()
            assert reuse.latest_arrival_s > 0.1
            assert reuse.required_rest_s(now) >= 2.0 * reuse.latest_arrival_s

    run(case())


def test_the_rest_that_was_learned_is_kept_without_an_allowance() -> None:
    async def case() -> None:
        async with running_sidecar(RepeatsAnswers(0.0, doubled=0)) as (sidecar, (peer,)):
            reuse = sidecar.transport.pool.reuse
            reuse.allowance = 0.0
            reuse.full_rest_s = reuse.latest_arrival_s = WAIT_S
            reuse.unsolicited_at = asyncio.get_running_loop().time()
            for n in range(3):
                assert (await sidecar.ask(request(X_Call_Id=f"c{n}")))[0] == 200
                await asyncio.sleep(0.01)
            assert peer.connections == 3
            reuse.unsolicited_at -= UNSOLICITED_MEMORY_S + 1.0
            reuse.full_rest_s = 0.01
            assert (await sidecar.ask(request(X_Call_Id="later")))[0] == 200
            assert peer.connections == 3

    run(case())


def test_a_second_answer_right_behind_a_good_one_is_noted() -> None:
    async def case() -> None:
        async with running_sidecar(answers_with(answer_to(request()) * 2)) as (sidecar, _):
            assert (await sidecar.ask(request())) == (200, b"c1")
            assert sidecar.transport.pool.reuse.unsolicited_at is not None

    run(case())


def test_a_connection_that_is_opened_adds_to_the_allowance() -> None:
    async def case() -> None:
        async with running_sidecar(answers_with(answer_to(request()))) as (sidecar, _):
            assert (await sidecar.ask(request()))[0] == 200
            allowance = sidecar.transport.pool.reuse.allowance
            assert allowance == pytest.approx(INITIAL_ALLOWANCE + ALLOWANCE_SHARE)

    run(case())


def test_a_server_whose_connections_have_not_rested_needs_a_new_one() -> None:
    async def case() -> None:
        async with running_sidecar(answers_with(answer_to(request()))) as (sidecar, _):
            assert (await sidecar.ask(request()))[0] == 200
            (target,) = sidecar.transport.targets.values()
            sidecar.transport.pool.min_rest_s = WAIT_S
            assert target.would_dial()
            sidecar.transport.pool.min_rest_s = 0.0
            assert not target.would_dial()

    run(case())


@pytest.mark.parametrize("reason", ["the pool is full", "the server has just started"])
def test_no_connection_is_opened_beyond_need_where(reason: str) -> None:
    async def case() -> None:
        full = reason == "the pool is full"
        async with running_sidecar(answers_with(answer_to(request())), connections=1 if full else 32) as (
            sidecar,
            (peer,),
        ):
            if not full:
                sidecar.set_members([peer.member("s0") | {"up_since_ms": int(time.time() * 1000)}])
            sidecar.transport.pool.reuse.full_rest_s = WAIT_S
            for _ in range(3):
                assert (await sidecar.ask(request()))[0] == 200
                await asyncio.sleep(MIN_PREFERRED_REST_S)
            assert peer.connections == 1

    run(case())


def test_a_second_answer_that_waits_to_be_read_is_noted() -> None:
    async def case() -> None:
        async with running_sidecar(RepeatsAnswers(0.0, doubled=0)) as (sidecar, (peer,)):
            pool = sidecar.transport.pool
            assert (await sidecar.ask(request()))[0] == 200
            (connection,) = pool.connections
            connection.transport.pause_reading()  # as if the event loop were late
            peer.writers[0].write(answer_to(request()))
            await wait_until(connection._unread)
            pool.reuse.full_rest_s = WAIT_S
            pool.min_rest_s = 0.0
            assert (await sidecar.ask(request(X_Call_Id="c2"))) == (200, b"c2")
            assert pool.reuse.unsolicited_at is not None

    run(case())


def test_the_end_of_an_idle_connection_is_no_second_answer() -> None:
    async def case() -> None:
        async with running_sidecar(RepeatsAnswers(0.0, doubled=0)) as (sidecar, (peer,)):
            pool = sidecar.transport.pool
            pool.min_rest_s = 0.0
            assert (await sidecar.ask(request()))[0] == 200
            (connection,) = pool.connections
            connection.transport.pause_reading()
            peer.writers[0].close()
            await wait_until(connection._unread)
            assert (await sidecar.ask(request(X_Call_Id="c2"))) == (200, b"c2")
            assert pool.reuse.unsolicited_at is None

    run(case())


@dataclass
class StalledEndpoint:
    """An endpoint that answers after the head and never reads the body: its TCP window stays closed."""

    listener: socket.socket
    first_connection: socket.socket | None = None

    def member(self) -> dict[str, object]:
        port = self.listener.getsockname()[1]
        return {"id": "s0", "host_port": f"127.0.0.1:{port}", "phase": "SERVING", "cell": 0}

    async def answer_first(self) -> None:
        loop = asyncio.get_running_loop()
        self.first_connection, _ = await loop.sock_accept(self.listener)
        head = await self._read_head(self.first_connection)
        await loop.sock_sendall(self.first_connection, answer_to(head))

    async def answer_later(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self.listener)
            with contextlib.closing(sock):
                head = await self._read_head(sock)
                await loop.sock_sendall(sock, answer_to(head))

    async def _read_head(self, sock: socket.socket) -> bytes:
        head = b""
        while not head.endswith(b"\r\n\r\n"):  # and not a byte of the body
            head += await asyncio.get_running_loop().sock_recv(sock, 1)
        return head


@contextlib.asynccontextmanager
async def stalled_endpoint() -> AsyncIterator[tuple[Sidecar, StalledEndpoint]]:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1)
        listener.setblocking(False)
        endpoint = StalledEndpoint(listener)
        sidecar = Sidecar([endpoint.member()])
        try:
            yield sidecar, endpoint
        finally:
            sidecar.listener.drain()
            if endpoint.first_connection is not None:
                endpoint.first_connection.close()


def test_an_answer_that_comes_before_the_endpoint_has_any_of_the_request_serves_nobody() -> None:
    async def case() -> None:
        async with stalled_endpoint() as (sidecar, endpoint):
            pool = sidecar.transport.pool
            pool.min_rest_s = 0.0
            body = b"x" * 8_000
            first = request(X_Call_Id="first", Content_Length=str(len(body))).removesuffix(b"hi") + body
            answer_task = asyncio.create_task(endpoint.answer_first())
            assert await sidecar.ask(first) == (200, b"first")
            await answer_task
            (connection,) = pool.connections
            second_task = asyncio.create_task(sidecar.ask(request(X_Call_Id="second")))
            await wait_until(lambda: connection.exchange is not None and connection.flushed)
            later_task = asyncio.create_task(endpoint.answer_later())
            assert endpoint.first_connection is not None
            endpoint.first_connection.send(answer_to(b"X-Call-Id: first"))
            assert await second_task == (200, b"second")
            assert pool.reuse.unsolicited_at is not None
            later_task.cancel()

    run(case())


# In virtual time


@dataclass
class IdleConnection:
    idle_since: float


def idle_connections(*idle_ms: float) -> list[IdleConnection]:
    """Connections that have been idle for `idle_ms` at time 0, the most recently used last."""
    return [IdleConnection(-duration_ms / 1000.0) for duration_ms in idle_ms]


def pick_index(policy: ReusePolicy, *idle_ms: float, may_open: bool = True) -> int | None:
    return policy.pick(0.0, idle_connections(*idle_ms), lambda: may_open)


def without_allowance() -> ReusePolicy:
    policy = ReusePolicy(15.0)
    policy.allowance = 0.0
    return policy


def test_one_that_has_rested_fully_is_used_first() -> None:
    policy = ReusePolicy(15.0)
    assert policy.full_rest_s == 0.15
    assert pick_index(policy, 900, 151, 149, 1) == 1
    assert policy.allowance == INITIAL_ALLOWANCE


def test_a_new_connection_is_used_before_a_young_one_while_the_allowance_lasts() -> None:
    policy = ReusePolicy(15.0)
    assert [pick_index(policy, 40, 3) for _ in range(3)] == [None, None, 0]
    for _ in range(40):
        policy.opened()
    assert pick_index(policy, 40, 3) is None


def test_the_allowance_is_spent_only_where_a_connection_may_be_opened() -> None:
    policy = ReusePolicy(15.0)
    assert pick_index(policy, 40, 3, may_open=False) == 0
    assert policy.allowance == INITIAL_ALLOWANCE


def test_a_connection_that_is_needed_costs_no_allowance() -> None:
    policy = ReusePolicy(15.0)
    assert pick_index(policy) is None
    assert pick_index(policy, 1.9, 0.5) is None
    assert policy.allowance == INITIAL_ALLOWANCE


def test_the_allowance_has_a_bound() -> None:
    policy = ReusePolicy(15.0)
    for _ in range(100_000):
        policy.opened()
    assert policy.allowance == MAX_ALLOWANCE


def test_the_freshest_that_has_rested_for_long_enough_is_preferred_and_else_the_most_rested() -> None:
    policy = without_allowance()
    assert pick_index(policy, 90, 8, 4) == 1
    assert pick_index(policy, 4, 3, 1) == 0
    assert pick_index(policy, 1, 0) is None


def test_the_preferred_rest_follows_the_usual_answer() -> None:
    policy = without_allowance()
    assert policy.preferred_rest_s() == MIN_PREFERRED_REST_S
    for _ in range(200):
        policy.answered(0.2)
    assert policy.preferred_rest_s() == pytest.approx(0.03)
    assert pick_index(policy, 90, 31, 29) == 1
    for _ in range(200):
        policy.answered(30.0)
    assert policy.preferred_rest_s() == policy.full_rest_s


def test_what_was_seen_is_required_of_all_and_forgotten() -> None:
    policy = without_allowance()
    policy.record_unsolicited(0.0, 0.02)
    assert policy.required_rest_s(0.0) == pytest.approx(0.04)
    assert pick_index(policy, 39) is None and pick_index(policy, 41) == 0
    policy.record_unsolicited(1.0, 0.01)
    assert policy.required_rest_s(1.0) == pytest.approx(0.04)
    assert policy.required_rest_s(UNSOLICITED_MEMORY_S + 1.0) == pytest.approx(0.04)
    assert policy.required_rest_s(UNSOLICITED_MEMORY_S + 1.1) == MIN_REST_S
    policy.record_unsolicited(2.0 * UNSOLICITED_MEMORY_S, 0.003)
    assert policy.required_rest_s(2.0 * UNSOLICITED_MEMORY_S) == pytest.approx(0.006)


def test_what_was_seen_right_behind_an_answer_makes_the_least_preferred_rest_required() -> None:
    policy = without_allowance()
    for _ in range(200):
        policy.answered(0.5)
    policy.record_unsolicited(0.0, 0.0)
    assert policy.required_rest_s(0.0) == MIN_PREFERRED_REST_S  # independent of how long answers take
    assert policy.preferred_rest_s() > 10.0 * MIN_PREFERRED_REST_S


def test_a_notice_long_after_an_answer_lengthens_no_rest() -> None:
    policy = without_allowance()
    policy.record_unsolicited(0.0, 12.0)
    assert policy.required_rest_s(0.0) == MIN_REST_S


def test_no_rest_is_learned_beyond_the_full_one() -> None:
    policy = without_allowance()
    policy.record_unsolicited(0.0, 0.14)
    assert policy.required_rest_s(0.0) == policy.full_rest_s


def test_where_no_rest_is_wanted_the_freshest_is_used_whatever_was_seen() -> None:
    policy = ReusePolicy(0.0, min_rest_s=0.0)
    policy.record_unsolicited(0.0, 0.05)
    assert pick_index(policy, 50, 0) == 1


def test_a_least_rest_beyond_the_full_one_holds() -> None:
    policy = ReusePolicy(15.0, min_rest_s=20.0)
    assert pick_index(policy, 19_000, 200) is None


class MostRecentlyUsed(ReusePolicy):
    """The earlier policy: the most recently used connection that has been idle for 2 ms."""

    def pick(self, now, idle, may_open):  # type: ignore[no-untyped-def]
        return next((n for n in reversed(range(len(idle))) if now - idle[n].idle_since >= MIN_REST_S), None)


LOADS = [
    Load("sparse", 2.0, 100, 0.13, 1500.0),
    Load("dense", 300.0, 10, 0.13, 60.0),
    Load("dense, quick answers", 300.0, 10, 0.003, 60.0),
]


@pytest.mark.parametrize("load", LOADS, ids=lambda load: load.name)
def test_calm_traffic_opens_and_keeps_at_most_a_twentieth_more(load: Load) -> None:
    for seed in range(1, 4):
        baseline = play(load, MostRecentlyUsed(15.0), seed)
        current = play(load, ReusePolicy(15.0), seed)
        print(
            f"seed {seed}: opened {baseline.opened} {current.opened},"
            f" open {baseline.mean_open} {current.mean_open}"
        )
        assert current.opened <= baseline.opened * 1.05
        assert current.mean_open <= baseline.mean_open * 1.05


def test_nearly_no_second_answer_meets_a_request_in_dense_traffic() -> None:
    for seed in range(1, 4):
        baseline = play(LOADS[1], MostRecentlyUsed(15.0), seed, copies=0.02)
        current = play(LOADS[1], ReusePolicy(15.0), seed, copies=0.02)
        print(f"seed {seed}: wrong {baseline.wrong} {current.wrong}")
        assert baseline.wrong > 50 and current.wrong <= 2
