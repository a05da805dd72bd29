"""How long news may take where discovery, or an agent on this machine, was silent or gone."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import replace

import pytest

from garnethaven.interface import ListKind, Membership, SetTimer
from garnethaven.limits.lists import QUEUE_S, TOLD_S, FreshList
from tests.helpers import SETTINGS, Driver, S, fleet
from tests.loopback import ANSWER, Peer, run, running, says, silent, until

GRACE_S = 0.5


class Agent(Peer):
    """An agent that fails calls in one way until it is back."""

    def __init__(self, members: list[dict[str, object]], fails: str) -> None:
        self.members = members
        self.fails = fails
        self.back = False
        super().__init__(self._tell)

    async def _tell(self, head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not self.back:
            if self.fails == "silent":
                await silent(head, reader, writer)
            elif self.fails == "turns away":
                writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                return
            raise ConnectionError
        body = json.dumps({"revision": 7, "complete": True, "members": self.members}, indent=2).encode()
        for part in (b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body), body[:9], body[9:]):
            writer.write(part)  # in pieces
            await writer.drain()


@pytest.mark.parametrize("fails", ["silent", "turns away", "resets"])
def test_what_an_agent_has_at_its_return_is_known_within_a_drains_grace(fails: str) -> None:
    async def case() -> None:
        async with running(says(ANSWER)) as (sidecar, (peer,)):
            agent = await Agent([peer.member("s0") | {"phase": "DRAINING"}], fails).start()
            sidecar.discovery.address = ("127.0.0.1", agent.port)  # as after a move that was answered
            sidecar.discovery.target.move(sidecar.discovery.address)
            await until(lambda: len(agent.requests) >= 3)
            assert sidecar.engine.balancer.pool
            agent.back = True
            returned = time.monotonic()
            await until(lambda: not sidecar.engine.balancer.pool)
            assert time.monotonic() - returned < GRACE_S
            agent.server.close()

    run(case())


@pytest.mark.parametrize("size", [1, 5, 24, 50, 200, 1200])
@pytest.mark.parametrize("ask_within_s", [1, 2, 4, 8, 10])
def test_the_longest_way_to_a_fresh_list_after_failures_is_shorter_than_the_clock(
    size: int, ask_within_s: int
) -> None:
    fresh = FreshList(size, float(ask_within_s))
    settings = replace(SETTINGS, ask_discovery=True, fleet_size=size, ask_within=ask_within_s * S)
    for seed in range(20):
        driver = Driver(fleet(2), settings, seed)
        for _ in range(4):
            (timer,) = driver.feed(Membership(ListKind.FAILED))
            assert isinstance(timer, SetTimer)
            assert fresh.doubt_wait_s + fresh.give_up_s + timer.delay / S <= TOLD_S - GRACE_S


@pytest.mark.parametrize("ask_within_s", [1, 2, 2.7])
def test_a_silent_watch_of_a_large_fleet_is_doubled_in_time_where_discovery_bears_it(
    ask_within_s: float,
) -> None:
    fresh = FreshList(200, ask_within_s)
    assert fresh.wait_s + fresh.double_s + QUEUE_S <= TOLD_S
