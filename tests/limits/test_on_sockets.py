"""Limits of client connections and freshness of lists, on loopback sockets with stand-ins as peers."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator
from dataclasses import replace

from garnethaven.membership.discovery import Discovery as Client
from standins.check_server import CheckServer, Rack
from standins.clients import Application, ApplicationSettings, ConnectionAllowance, IdleClients
from standins.discovery import Discovery, DiscoveryFault
from standins.ledger import Ledger
from tests.loopback import ANSWER, Sidecar, answers_with, request, run, running_sidecar, wait_until


def new_ledger() -> Ledger:
    return Ledger(6.0, 0.5, 3.0, 3.0, 0.2)


class SidecarEnvironment:
    """A sidecar of a fleet of three, a discovery stand-in that it watches, and check servers in one rack."""

    def __init__(self) -> None:
        self.ledger = new_ledger()
        self.discovery = Discovery(self.ledger)
        self.rack = Rack(0, 6.0)
        self.servers: list[CheckServer] = []

    async def add(self, count: int) -> list[CheckServer]:
        added = []
        for number in range(len(self.servers), len(self.servers) + count):
            server = CheckServer(f"s{number}", self.rack, self.ledger, random.Random(number), work_s=0.01)
            added.append(await server.start())
        self.servers += added
        return added

    async def ask(self, count: int = 1) -> list[int]:
        """Send requests one after the other; returns their statuses."""
        statuses = []
        for _ in range(count):
            call_id = f"r{len(self.ledger.sent)}"
            self.ledger.record_sent(call_id, "k1", 0.0, 3.0, True)
            statuses.append((await self.sidecar.ask(request(X_Call_Id=call_id)))[0])
        return statuses

    def names(self) -> set[str]:
        """The servers that the sidecar may send to."""
        pool = self.sidecar.engine.balancer.pool
        return {server.id.to_bytes(8, "big").lstrip(b"\0").decode() for server in pool}


@contextlib.asynccontextmanager
async def sidecar_environment(servers: int, wait_s: float = 2.0) -> AsyncIterator[SidecarEnvironment]:
    env = SidecarEnvironment()
    await env.discovery.start()
    env.discovery.publish(server.member() for server in await env.add(servers))
    env.sidecar = Sidecar([])
    client: Client = env.sidecar.discovery
    client.freshness.watch_wait_s = wait_s
    client.move(("127.0.0.1", env.discovery.port))
    try:
        await wait_until(lambda: len(env.names()) == servers)
        yield env
    finally:
        env.sidecar.listener.drain()
        client.pushed = False  # otherwise it would keep calling
        env.discovery.close()
        for server in env.servers:
            await server.close()


def test_a_watch_that_discovery_has_forgotten_is_doubled_by_another_call() -> None:
    async def case() -> None:
        async with sidecar_environment(2) as env:
            await wait_until(lambda: len(env.discovery.call_times) >= 2)  # the watch has been sent
            env.discovery.forget_watches()
            env.discovery.publish(server.member() for server in await env.add(1))
            await wait_until(lambda: env.names() == {"s0", "s1", "s2"})
            assert env.sidecar.discovery.fetch_calls >= 1

    run(case())


def test_servers_that_refuse_while_they_are_listed_cause_a_call_at_once() -> None:
    async def case() -> None:
        async with sidecar_environment(4, wait_s=60.0) as env:
            await wait_until(lambda: len(env.discovery.call_times) >= 2)  # the watch has been sent
            env.discovery.forget_watches()
            env.discovery.publish(server.member() for server in await env.add(2))
            env.discovery.publish(server.member("DELETED") for server in env.servers[:3])
            for server in env.servers[:3]:
                server.crash()
            assert env.names() == {"s0", "s1", "s2", "s3"}
            assert set(await env.ask(12)) == {200}
            await wait_until(lambda: env.names() == {"s3", "s4", "s5"})

    run(case())


def test_a_list_that_lies_behind_brings_nothing_back() -> None:
    async def case() -> None:
        async with sidecar_environment(3) as env:
            await env.discovery.set_fault(DiscoveryFault.BEHIND)
            env.discovery.frozen = (0, [server.member() for server in env.servers])
            fresh = env.sidecar.discovery.freshness
            fresh.revision = 50
            before = env.names()
            env.discovery.publish([env.servers[0].member("DRAINING")])
            await wait_until(lambda: fresh.stale_answers > 0)
            assert env.names() == before
            await wait_until(
                lambda: fresh.revision == 0
            )  # only stale answers arrive: the count has been reset

    run(case())


def test_an_empty_list_is_obeyed_and_asked_for_again() -> None:
    async def case() -> None:
        async with sidecar_environment(2) as env:
            await env.discovery.set_fault(DiscoveryFault.EMPTY)
            env.sidecar.discovery.ask_for_full_list()
            await wait_until(lambda: env.names() == set())
            assert await env.ask() == [503]
            await env.discovery.set_fault(DiscoveryFault.GOOD)
            await wait_until(lambda: env.names() == {"s0", "s1"})
            assert await env.ask() == [200]

    run(case())


def test_an_empty_list_is_asked_for_again_also_after_calls_that_failed() -> None:
    async def case() -> None:
        async with sidecar_environment(2) as env:
            stand_in, client = env.discovery, env.sidecar.discovery
            client.freshness.call_time_s = 0.2
            await stand_in.set_fault(DiscoveryFault.EMPTY)
            client.ask_for_full_list()
            await wait_until(lambda: env.names() == set())
            await stand_in.set_fault(DiscoveryFault.DOWN)
            failed = client.fetch_calls
            await wait_until(lambda: client.fetch_calls >= failed + 3)
            await stand_in.set_fault(DiscoveryFault.GOOD)
            await wait_until(lambda: env.names() == {"s0", "s1"})
            asked = client.fetch_calls
            await asyncio.sleep(0.5)
            assert client.fetch_calls == asked

    run(case())


def test_a_slow_answer_is_still_taken_in() -> None:
    async def case() -> None:
        async with sidecar_environment(1) as env:
            env.discovery.lag_s = 0.4
            await env.discovery.set_fault(DiscoveryFault.SLOW)
            env.discovery.publish(server.member() for server in await env.add(1))
            await wait_until(lambda: env.names() == {"s0", "s1"})

    run(case())


def test_those_that_ask_once_and_stay_leave_room_for_the_usual_clients() -> None:
    """Limit of 16 connections: forty clients in turn send one request and stay, two others send regularly."""

    async def case() -> None:
        async with running_sidecar(answers_with(ANSWER), connections=32, client_places=16) as (sidecar, _):
            places = sidecar.listener.places
            assert places.limit == 16
            regulars = [await sidecar.connect() for _ in range(2)]
            guests = []
            for number in range(40):
                guests.append(await sidecar.connect())
                guests[-1][1].write(request(X_Call_Id=f"g{number}"))
                await guests[-1][0].readuntil(b"hello")
                for n, (reader, writer) in enumerate(regulars):
                    writer.write(request(X_Call_Id=f"u{number}-{n}"))
                    await reader.readuntil(b"hello")  # its connection has stayed open
                held = sidecar.listener.counted_connections()
                assert held <= 16, number
                await asyncio.sleep(0.06)
            assert places.ended_early >= 20
            for _, writer in regulars + guests:
                writer.close()

    run(case())


def test_no_connection_is_closed_early_on_a_calm_day() -> None:
    async def case() -> None:
        async with running_sidecar(answers_with(ANSWER), connections=32) as (sidecar, _):
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
        async with running_sidecar(answers_with(ANSWER), connections=32) as (sidecar, _):
            ledger, allowance = new_ledger(), ConnectionAllowance(4)
            guests = IdleClients("g", sidecar.port, ledger, allowance, random.Random(1))
            holding = asyncio.create_task(guests.hold_silent_connections(4, 1.0))
            await wait_until(lambda: allowance.open_connections == 4)
            settings = replace(ApplicationSettings(), retries=0)
            application = Application("a", sidecar.port, ledger, allowance, random.Random(2), settings)
            await application._ask()
            assert ledger.tally()["refused"] == 1  # the client had no connection left, so nothing was sent
            await holding
            assert allowance.open_connections == 0

    run(case())
