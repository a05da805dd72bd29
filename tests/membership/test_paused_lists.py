"""Answers of discovery that pause: a slow one is followed, one whose answers never end is asked again."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from garnethaven.net import connection as server_connection
from tests.loopback import ANSWER, Peer, Sidecar, answers_with, request, run, running_sidecar, wait_until
from tests.membership.test_bad_lists import answer, chunked, list_of

STALL_S = 0.1
PAUSE_S = 0.4
KNOWN_AFTER_S = 6.0  # a change that discovery has counts as known after this time


@pytest.fixture(autouse=True)
def short_stall(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server_connection, "STALL_S", STALL_S)


class SlowDiscovery(Peer):
    """Pauses in each answer; answers watches once `drains` is set, and then lists s0 as draining."""

    def __init__(self, members: list[dict[str, Any]], framing: str) -> None:
        super().__init__(self._answer)
        self.members = members
        self.framing = framing
        self.drains = asyncio.Event()
        self.listed_revision = 0

    async def _answer(self, head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if b"wait_ms=20 " not in head and b"after=" in head and self.listed_revision:
            await self.drains.wait()
        revision = 20 if self.drains.is_set() else 10
        phase = {"phase": "DRAINING"} if self.drains.is_set() else {}
        body = list_of([self.members[0] | phase, *self.members[1:]], revision)
        text = chunked(body, 40) if self.framing == "chunked" else answer(body)
        middle = len(text) - len(body) // 2
        writer.write(text[:middle])
        await writer.drain()
        await asyncio.sleep(PAUSE_S)
        writer.write(text[middle:])
        await writer.drain()
        self.listed_revision = revision


def states(sidecar: Sidecar) -> list[str]:
    return sorted(server.state.value for server in sidecar.engine.balancer.servers.values())


# The failure: each answer of a discovery that pauses was cut off after 0.3 s, so no change was learned.
@pytest.mark.parametrize("framing", ["length", "chunked"])
@pytest.mark.parametrize("mode", ["ask", "push"])
def test_the_changes_of_a_discovery_that_pauses_in_its_answers_are_learned_in_time(
    mode: str, framing: str
) -> None:
    async def case() -> None:
        servers = [await Peer(answers_with(ANSWER)).start() for _ in range(2)]
        members = [server.member(f"s{number}") for number, server in enumerate(servers)]
        discovery = await SlowDiscovery(members, framing).start()
        sidecar = Sidecar(members, membershipMode=mode)
        assert sidecar.discovery.pushed == (mode == "push")
        sidecar.discovery.move(("127.0.0.1", discovery.port))
        await wait_until(lambda: sidecar.discovery.freshness.revision == 10)
        discovery.drains.set()
        loop = asyncio.get_running_loop()
        drained_at = loop.time()
        await wait_until(lambda: states(sidecar) == ["draining", "up"])
        assert loop.time() - drained_at < KNOWN_AFTER_S
        assert (await sidecar.ask(request()))[0] == 200
        sidecar.listener.drain()
        discovery.server.close()

    run(case())


# The failure to guard against: a paused answer of an old address is taken for one of the new address.
def test_a_paused_answer_of_an_old_address_is_dropped_with_it() -> None:
    async def case() -> None:
        async with running_sidecar(answers_with(ANSWER), answers_with(ANSWER)) as (sidecar, servers):
            members = [server.member(f"s{number}") for number, server in enumerate(servers)]

            async def begins(head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                writer.write(answer(list_of(members[:1], 99))[:-20])
                await reader.read()
                raise ConnectionError

            old = await Peer(begins).start()
            sidecar.discovery.move(("127.0.0.1", old.port))
            await wait_until(lambda: old.connections >= 2)  # the first answer pauses and is kept
            discovery = await SlowDiscovery(members, "length").start()
            sidecar.discovery.move(("127.0.0.1", discovery.port))
            await wait_until(lambda: old.open == 0)
            await wait_until(lambda: sidecar.discovery.freshness.revision == 10)
            assert len(states(sidecar)) == 2
            old.server.close()
            discovery.server.close()

    run(case())


# The failure to guard against: answers that never end are collected, or keep the next calls waiting.
def test_one_paused_answer_is_kept_at_a_time_and_for_a_bounded_time() -> None:
    async def case() -> None:
        async with running_sidecar(answers_with(ANSWER)) as (sidecar, servers):
            members = [servers[0].member("s0")]

            async def begins(head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                writer.write(answer(list_of(members, 99))[:-20])
                await reader.read()
                raise ConnectionError

            discovery = await Peer(begins).start()
            sidecar.discovery.move(("127.0.0.1", discovery.port))
            most_open = 0
            while discovery.connections < 8:
                most_open = max(most_open, discovery.open)
                await asyncio.sleep(0.01)
            assert most_open <= 2
            discovery.server.close()

    run(case(), wait_s=40.0)
