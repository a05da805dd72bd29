"""How long a change may take to arrive after discovery, or a local agent, was silent or unreachable."""

from __future__ import annotations

import asyncio
import json
import time
from random import Random

import pytest

from garnethaven.limits.list_freshness import MAX_CHANGE_DELAY_S, MAX_QUEUE_WAIT_S, ListFreshness
from garnethaven.membership.call_schedule import BeginCall, CallSchedule, CallTiming
from tests.loopback import (
    ANSWER,
    Peer,
    ScriptedDiscovery,
    Sidecar,
    answers_with,
    never_answers,
    run,
    running_sidecar,
    wait_until,
)

GRACE_S = 0.5


class Agent(Peer):
    """A discovery agent that fails calls in the way of `fails` until `is_back` is set."""

    def __init__(self, members: list[dict[str, object]], fails: str) -> None:
        self.members = members
        self.fails = fails
        self.is_back = False
        super().__init__(self._answer)

    async def _answer(self, head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not self.is_back:
            if self.fails == "silent":
                await never_answers(head, reader, writer)
            elif self.fails == "turns away":
                writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                return
            raise ConnectionError
        body = json.dumps({"revision": 7, "complete": True, "members": self.members}, indent=2).encode()
        for chunk in (b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body), body[:9], body[9:]):
            writer.write(chunk)  # in several writes
            await writer.drain()


@pytest.mark.parametrize("fails", ["silent", "turns away", "resets"])
def test_what_an_agent_has_at_its_return_is_known_within_a_drains_grace(fails: str) -> None:
    async def case() -> None:
        async with running_sidecar(answers_with(ANSWER)) as (sidecar, (peer,)):
            agent = await Agent([peer.member("s0") | {"phase": "DRAINING"}], fails).start()
            # As after a successful move to another address.
            sidecar.discovery.address = ("127.0.0.1", agent.port)
            sidecar.discovery.target.move(sidecar.discovery.address)
            await wait_until(lambda: len(agent.requests) >= 3)
            assert sidecar.engine.balancer.pool
            agent.is_back = True
            returned_at = time.monotonic()
            await wait_until(lambda: not sidecar.engine.balancer.pool)
            assert time.monotonic() - returned_at < GRACE_S
            agent.server.close()

    run(case())


@pytest.mark.parametrize("size", [1, 5, 24, 50, 200, 1200])
@pytest.mark.parametrize("ask_within_s", [1, 2, 4, 8, 10])
def test_after_failures_two_more_calls_may_fail_before_the_clock_is_over(
    size: int, ask_within_s: int
) -> None:
    """For any schedule, three calls begin within the time limit, the last of them at least 1 s before it."""
    fresh = ListFreshness(size, float(ask_within_s))
    for seed in range(20):
        timing = CallTiming.for_service(fresh.overdue_s, float(ask_within_s), size)
        schedule = CallSchedule(timing, fresh.watch_wait_s, Random(seed))
        (fetch,) = schedule.start(0.0, 0.0)
        (watch,) = schedule.answered(0.1, fetch.number, changed=False)
        start_times: list[float] = []
        now = 10.0
        actions = schedule.failed(now, watch.number)
        while len(start_times) < 3:
            started_calls = [action.number for action in actions if isinstance(action, BeginCall)]
            start_times += [now for _ in started_calls]
            if not started_calls:
                assert schedule.next_at is not None
                now = schedule.next_at
                actions = schedule.advance(now)
            else:
                actions = schedule.failed(now, started_calls[0])
        assert start_times[2] <= 10.0 + MAX_CHANGE_DELAY_S - 1.0, (seed, start_times)


@pytest.mark.parametrize("ask_within_s", [1, 2, 2.7])
def test_a_silent_watch_of_a_large_fleet_is_doubled_in_time_where_discovery_bears_it(
    ask_within_s: float,
) -> None:
    fresh = ListFreshness(200, ask_within_s)
    assert fresh.watch_wait_s + fresh.overdue_s + MAX_QUEUE_WAIT_S <= MAX_CHANGE_DELAY_S


@pytest.mark.parametrize("slot", [3, 55, 212])  # without an early call, these first call after 4.3 to 4.9 s
def test_a_program_of_a_large_fleet_that_starts_with_an_old_list_has_the_new_one_soon(slot: int) -> None:
    """The zone was down for 5 s and a server left meanwhile: the change is due 2 s after the start."""

    async def case() -> None:
        peer = await Peer(answers_with(ANSWER)).start()
        lists = await ScriptedDiscovery([peer.member("s0") | {"phase": "DRAINING"}]).start()
        started_at = time.monotonic()
        sidecar = Sidecar(
            [peer.member("s0")],
            discovery=lists.port,
            membershipMode="ask",
            fleetSize=214,
            slotNo=slot,
        )
        assert sidecar.engine.balancer.pool
        await wait_until(lambda: not sidecar.engine.balancer.pool)
        assert time.monotonic() - started_at < 1.5
        lists.server.close()
        peer.server.close()

    run(case())


def test_a_call_for_evidence_that_fails_is_repeated_though_a_watch_waits() -> None:
    """In a fleet of 214 the watch waits for 20 s; here it reports nothing because it has fallen silent."""

    async def case() -> None:
        peer = await Peer(answers_with(ANSWER)).start()
        lists = await ScriptedDiscovery([peer.member("s0")]).start()
        sidecar = Sidecar([peer.member("s0")], discovery=lists.port, membershipMode="ask", fleetSize=214)
        await wait_until(lambda: any(b"wait_ms=20000" in head for head in lists.requests))
        lists.members = [peer.member("s0") | {"phase": "DRAINING"}]
        answering_script, lists.script = lists.script, reject
        request_count = len(lists.requests)
        sidecar.discovery.ask_for_full_list()
        await wait_until(lambda: len(lists.requests) > request_count)
        await asyncio.sleep(0.1)
        lists.script = answering_script
        returned_at = time.monotonic()
        await wait_until(lambda: not sidecar.engine.balancer.pool)
        assert time.monotonic() - returned_at < MAX_CHANGE_DELAY_S
        lists.server.close()
        peer.server.close()

    run(case())


async def reject(head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
