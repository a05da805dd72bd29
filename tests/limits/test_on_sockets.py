"""Places and fresh lists on loopback sockets, with the stand-ins as peers: the hard cases one by one."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator
from dataclasses import replace

from garnethaven.membership.discovery import Discovery as Client
from standins.check_server import CheckServer, Rack
from standins.clients import Allowance, Application, Guests, Habits
from standins.discovery import Discovery, Mood
from standins.ledger import Ledger
from tests.loopback import ANSWER, Sidecar, request, run, running, says, until


def ledger() -> Ledger:
    return Ledger(6.0, 0.5, 3.0, 3.0, 0.2)


class Estate:
    """A sidecar of a fleet of three that watches a stand-in, before check servers of one rack."""

    def __init__(self) -> None:
        self.book = ledger()
        self.discovery = Discovery(self.book)
        self.rack = Rack(0, 6.0)
        self.servers: list[CheckServer] = []

    async def add(self, count: int) -> list[CheckServer]:
        new = []
        for number in range(len(self.servers), len(self.servers) + count):
            server = CheckServer(f"s{number}", self.rack, self.book, random.Random(number), work_s=0.01)
            new.append(await server.start())
        self.servers += new
        return new

    async def ask(self, count: int = 1) -> list[int]:
        """Requests one after the other; their statuses."""
        found = []
        for _ in range(count):
            call_id = f"r{len(self.book.sent)}"
            self.book.sends(call_id, "k1", 0.0, 3.0, True)
            found.append((await self.sidecar.ask(request(X_Call_Id=call_id)))[0])
        return found

    def names(self) -> set[str]:
        """The servers that the sidecar may send to."""
        pool = self.sidecar.engine.balancer.pool
        return {server.id.to_bytes(8, "big").lstrip(b"\0").decode() for server in pool}


@contextlib.asynccontextmanager
async def estate(servers: int, wait_s: float = 2.0) -> AsyncIterator[Estate]:
    small = Estate()
    await small.discovery.start()
    small.discovery.publish(server.member() for server in await small.add(servers))
    small.sidecar = Sidecar([])
    client: Client = small.sidecar.discovery
    client.fresh.wait_s = wait_s
    client.move(("127.0.0.1", small.discovery.port))
    try:
        await until(lambda: len(small.names()) == servers)
        yield small
    finally:
        small.sidecar.listener.drain()
        client.pushed = False  # or it would ask on
        small.discovery.close()
        for server in small.servers:
            await server.close()


def test_a_watch_that_discovery_has_forgotten_is_doubled_by_another_call() -> None:
    async def case() -> None:
        async with estate(2) as small:
            await until(lambda: len(small.discovery.call_times) >= 2)  # the watch is out
            small.discovery.forget_watches()
            small.discovery.publish(server.member() for server in await small.add(1))
            await until(lambda: small.names() == {"s0", "s1", "s2"})
            assert small.sidecar.discovery.extra_calls >= 1

    run(case())


def test_servers_that_refuse_while_they_are_listed_cause_a_call_at_once() -> None:
    async def case() -> None:
        async with estate(4, wait_s=60.0) as small:
            await until(lambda: len(small.discovery.call_times) >= 2)  # the watch is out
            small.discovery.forget_watches()
            small.discovery.publish(server.member() for server in await small.add(2))
            small.discovery.publish(server.member("DELETED") for server in small.servers[:3])
            for server in small.servers[:3]:
                server.crash()
            assert small.names() == {"s0", "s1", "s2", "s3"}
            assert set(await small.ask(12)) == {200}
            await until(lambda: small.names() == {"s3", "s4", "s5"})

    run(case())


def test_a_list_that_lies_behind_brings_nothing_back() -> None:
    async def case() -> None:
        async with estate(3) as small:
            await small.discovery.become(Mood.BEHIND)
            small.discovery.frozen = (0, [server.member() for server in small.servers])
            fresh = small.sidecar.discovery.fresh
            fresh.revision = 50
            before = small.names()
            small.discovery.publish([small.servers[0].member("DRAINING")])
            await until(lambda: fresh.behind > 0)
            assert small.names() == before
            await until(lambda: fresh.revision == 0)  # nothing else comes: its count has begun anew

    run(case())


def test_an_empty_list_is_obeyed_and_asked_for_again() -> None:
    async def case() -> None:
        async with estate(2) as small:
            await small.discovery.become(Mood.EMPTY)
            small.sidecar.discovery.ask_for_full_list()
            await until(lambda: small.names() == set())
            assert await small.ask() == [503]
            await small.discovery.become(Mood.GOOD)
            await until(lambda: small.names() == {"s0", "s1"})
            assert await small.ask() == [200]

    run(case())


def test_an_empty_list_is_asked_for_again_also_after_calls_that_failed() -> None:
    async def case() -> None:
        async with estate(2) as small:
            discovery, mine = small.discovery, small.sidecar.discovery
            mine.fresh.call_time_s = 0.2
            await discovery.become(Mood.EMPTY)
            mine.ask_for_full_list()
            await until(lambda: small.names() == set())
            await discovery.become(Mood.DOWN)
            failed = mine.extra_calls
            await until(lambda: mine.extra_calls >= failed + 3)
            await discovery.become(Mood.GOOD)
            await until(lambda: small.names() == {"s0", "s1"})
            asked = mine.extra_calls
            await asyncio.sleep(0.5)
            assert mine.extra_calls == asked

    run(case())


def test_a_slow_answer_is_still_taken_in() -> None:
    async def case() -> None:
        async with estate(1) as small:
            small.discovery.lag_s = 0.4
            await small.discovery.become(Mood.SLOW)
            small.discovery.publish(server.member() for server in await small.add(1))
            await until(lambda: small.names() == {"s0", "s1"})

    run(case())


def test_those_that_ask_once_and_stay_leave_room_for_the_usual_clients() -> None:
    """Forty of them in turn before 16 places; two usual ones come round all the while."""

    async def case() -> None:
        async with running(says(ANSWER), connections=32, client_places=16) as (sidecar, _):
            places = sidecar.listener.places
            assert places.most == 16
            usual = [await sidecar.connect() for _ in range(2)]
            guests = []
            for number in range(40):
                guests.append(await sidecar.connect())
                guests[-1][1].write(request(X_Call_Id=f"g{number}"))
                await guests[-1][0].readuntil(b"hello")
                for n, (reader, writer) in enumerate(usual):
                    writer.write(request(X_Call_Id=f"u{number}-{n}"))
                    await reader.readuntil(b"hello")  # on the connection that it has had all the time
                held = sidecar.listener.held()
                assert held <= 16, number
                await asyncio.sleep(0.06)
            assert places.ended_early >= 20
            for _, writer in usual + guests:
                writer.close()

    run(case())


def test_no_connection_is_closed_early_on_a_calm_day() -> None:
    async def case() -> None:
        async with running(says(ANSWER), connections=32) as (sidecar, _):
            clients = [await sidecar.connect() for _ in range(10)]
            for number in range(3):
                for n, (reader, writer) in enumerate(clients):
                    writer.write(request(X_Call_Id=f"u{number}-{n}"))
                    head = await reader.readuntil(b"hello")
                    assert b"Connection: close" not in head
                await asyncio.sleep(0.2)
            assert sidecar.listener.places.ended_early == 0
            assert len(sidecar.listener.connections) == 10
            for _, writer in clients:
                writer.close()

    run(case())


def test_the_stand_in_clients_share_one_allowance() -> None:
    async def case() -> None:
        async with running(says(ANSWER), connections=32) as (sidecar, _):
            book, allowance = ledger(), Allowance(4)
            guests = Guests("g", sidecar.port, book, allowance, random.Random(1))
            hogging = asyncio.create_task(guests.say_nothing(4, 1.0))
            await until(lambda: allowance.held == 4)
            habits = replace(Habits(), retries=0)
            application = Application("a", sidecar.port, book, allowance, random.Random(2), habits)
            await application._ask()
            assert book.tally()["refused"] == 1  # before it was sent
            await hogging
            assert allowance.held == 0

    run(case())
