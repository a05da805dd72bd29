"""The Consul source against the stand-in cluster, which is checked with the client of py-consul."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator
from typing import Any

import consul
import pytest
from msgspec.structs import replace

from garnethaven.interface import State
from garnethaven.membership.consul.answers import (
    AnswerError,
    Trust,
    index_of,
    keys,
    serves,
    services,
    trust_of,
)
from garnethaven.membership.payloads import MAX_PAYLOAD_BYTES
from garnethaven.membership.table import Consul, ConsulHost, ConsulRegistration, Membership
from standins.consul.cluster import Cluster
from tests.loopback import run, wait_until
from tests.membership.estate import Estate, address, payload, stays_true


class World(Estate):
    def __init__(self, cluster: Cluster) -> None:
        super().__init__()
        self.cluster = cluster

    async def appear(self, *numbers: int, **meta: str) -> None:
        for number in numbers:
            self.cluster.catalog.register("checks", f"n{number}", *address(number), {"cell": "1"} | meta)
        await self.cluster.tell()

    async def vanish(self, *numbers: int) -> None:
        self.cluster.catalog.deregister(*(f"n{number}" for number in numbers))
        await self.cluster.tell()

    async def check(self, number: int, name: str, status: str | None) -> None:
        self.cluster.catalog.set_check(f"n{number}", name, status)
        await self.cluster.tell()

    def settings(self, **changes: Any) -> Consul:
        hosts = tuple(ConsulHost(("127.0.0.1", agent.port)) for agent in self.cluster.agents)
        made = Consul(hosts, service="checks", wait_ms=500, spread_ms=20)
        return replace(made, **changes)

    @property
    def consul(self) -> Any:
        return self.source_of("consul")

    def serving(self) -> Any:
        """The agent that answers the source's queries at present."""
        return next(agent for agent in self.cluster.agents if agent.writers)


@contextlib.asynccontextmanager
async def world(*numbers: int, agents: int = 2, token: str = "", **changes: Any) -> AsyncIterator[World]:
    cluster = await Cluster(agents, token).start()
    made = World(cluster)
    try:
        await made.appear(*numbers)
        made.follow_table(Membership(consul=made.settings(token=token, **changes)))
        await made.sees(*numbers)
        yield made
    finally:
        await made.close()
        await cluster.close()


def test_servers_come_and_go_each_told_once() -> None:
    async def case() -> None:
        async with world(1, 2, token="secret") as made:
            before = made.delta_count
            await made.appear(3)
            await made.sees(1, 2, 3)
            assert made.delta_count == before + 1 and len(made.received_deltas[-1]) == 1
            await made.vanish(1, 2)
            await made.sees(3)

    run(case())


@pytest.mark.parametrize("name", ["_node_maintenance", "_service_maintenance:n1", "service:n1"])
def test_maintenance_and_failed_checks_drain(name: str) -> None:
    async def case() -> None:
        async with world(1, 2) as made:
            await made.check(1, name, "critical")
            await made.sees(2)
            assert made.entry(1).state is State.DRAINING
            await made.check(1, name, "passing" if name == "service:n1" else None)
            await made.sees(1, 2)

    run(case())


def test_a_removal_in_a_break_is_found_by_absence_and_a_new_life_is_cold() -> None:
    async def case() -> None:
        async with world(1, 2, 3) as made:
            first_start = made.entry(3).started
            for agent in made.cluster.agents:
                agent.stop()
            await made.vanish(2, 3)
            await made.appear(3)
            await stays_true(lambda: made.up() == {1, 2, 3}, 0.2)
            for agent in made.cluster.agents:
                await agent.start()
            await wait_until(lambda: made.up() == {1, 3} and made.entry(3).started > first_start)
            await wait_until(lambda: made.consul.output.age_s() == 0.0)

    run(case())


def test_a_query_cut_in_a_drain_and_again_while_it_catches_up() -> None:
    async def case() -> None:
        async with world(1, 2, agents=1) as made:
            (agent,) = made.cluster.agents
            agent.stop()
            await made.check(2, "service:n2", "critical")
            for _ in range(3):
                await agent.start()
                await wait_until(lambda: bool(agent.writers))
                agent.stop()
            await agent.start()
            await wait_until(lambda: made.up() == {1} and made.entry(2).state is State.DRAINING)

    run(case())


def test_an_index_that_goes_back_after_a_restored_backup() -> None:
    async def case() -> None:
        async with world(1, 2) as made:
            backup = made.cluster.catalog.backup()
            await made.appear(3)
            await made.vanish(1)
            await made.sees(2, 3)
            await made.cluster.restore(backup)
            await made.sees(1, 2)
            assert made.consul.catch_up.history_restarts == 1
            await made.vanish(1)
            await made.sees(2)

    run(case())


def test_an_agent_that_lost_its_leader_brings_nothing_back() -> None:
    async def case() -> None:
        async with world(1, 2, mode="stale") as made:
            first = made.serving()
            (other,) = [agent for agent in made.cluster.agents if agent is not first]
            other.fall_behind(knows_leader=False)
            await made.vanish(1)
            await made.sees(2)
            first.stop()
            await wait_until(lambda: other.queries >= 2)
            assert made.up() == {2}
            await made.vanish(2)
            await first.start()
            await made.sees()

    run(case())


def test_a_follower_that_lags_behind_what_is_held_is_not_believed() -> None:
    async def case() -> None:
        async with world(1, 2, mode="stale", stale_most_ms=60_000) as made:
            first = made.serving()
            (other,) = [agent for agent in made.cluster.agents if agent is not first]
            other.fall_behind(knows_leader=True)
            await made.vanish(1)
            await made.sees(2)
            first.stop()
            await wait_until(lambda: made.consul.catch_up.outdated_answers > 0)
            assert made.up() == {2}
            other.catch_up()
            await wait_until(lambda: made.consul.output.age_s() == 0.0)
            assert made.up() == {2}

    run(case())


@pytest.mark.parametrize("status", [429, 500, 503])
def test_an_agent_that_turns_away_is_tried_again_with_pauses(status: int) -> None:
    async def case() -> None:
        async with world(1, 2, agents=1) as made:
            (agent,) = made.cluster.agents
            connects = made.consul.connects
            agent.status = status
            agent.cut()
            await made.vanish(1)
            await wait_until(lambda: any(f"status {status}" in line for line in made.log))
            await stays_true(lambda: made.up() == {1, 2}, 0.3)
            agent.status = 0
            await made.sees(2)
            assert made.consul.connects - connects < 40

    run(case())


def test_a_wrong_token_is_said() -> None:
    async def case() -> None:
        cluster = await Cluster(1, token="secret").start()
        made = World(cluster)
        made.follow_table(Membership(consul=made.settings(token="wrong")))
        await wait_until(lambda: any("Permission denied" in line for line in made.log))
        assert made.consul.connects <= 2
        await made.close()
        await cluster.close()

    run(case())


@pytest.mark.parametrize("told", ["0", "-4", "x"])
def test_an_index_that_is_none_is_an_error_and_no_busy_loop(told: str) -> None:
    async def case() -> None:
        async with world(1, agents=1) as made:
            (agent,) = made.cluster.agents
            agent.reported_index = told
            agent.cut()
            await wait_until(lambda: any("has an invalid index" in line for line in made.log))
            assert agent.queries < 40 and made.up() == {1}

    run(case())


def test_keys_under_a_prefix() -> None:
    async def case() -> None:
        async with world(service="", prefix="checks/") as made:
            catalog = made.cluster.catalog
            catalog.put("checks/", b"")
            catalog.put("checks/n1", payload(1))
            catalog.put("checks/bad", b"none")
            catalog.put("checks/large", b"x" * 500_000)
            await made.cluster.tell()
            await made.sees(1)
            catalog.put("checks/n1", payload(1, phase="DRAINING"))
            await made.cluster.tell()
            await wait_until(lambda: made.entry(1).state is State.DRAINING)
            catalog.delete("checks/n1", "checks/bad", "checks/large", "checks/")
            await made.cluster.tell()
            await wait_until(lambda: not made.known_endpoints)
            assert made.consul.figures()["flaws"] == {"no JSON": 1, "too large": 1}
            assert all(
                len(one.value) <= MAX_PAYLOAD_BYTES + 1 for one in made.consul.catch_up.entries.values()
            )

    run(case())


def test_a_reload_moves_to_another_cluster_without_a_moment_of_nobody() -> None:
    async def case() -> None:
        other = await Cluster(1).start()
        async with world(1, 2) as made:
            for number in (2, 3):
                other.catalog.register("checks", f"n{number}", *address(number), {})
            server_counts: list[int] = []
            assert made.sources is not None
            made.sources.merger.flush_callbacks.append(lambda: server_counts.append(len(made.up())))
            hosts = (ConsulHost(("127.0.0.1", other.agents[0].port)),)
            made.sources.reload(Membership(consul=made.settings(hosts=hosts)))
            await made.sees(2, 3)
            assert min(server_counts) >= 2
        await other.close()

    run(case())


def test_the_programs_own_service_is_kept_put_back_and_taken_back() -> None:
    async def case() -> None:
        own = ConsulRegistration("sidecars", id="t", ttl_s=2, facts={"name": "t"})
        async with world(1, register=own) as made:

            def instances() -> Any:
                return made.cluster.catalog.instances

            await wait_until(lambda: "t" in instances() and made.consul.announcement.is_registered)
            assert (instances()["t"].port, instances()["t"].checks["service:t"].status) == (999, "passing")
            made.cluster.catalog.deregister("t")  # the agent loses the registration
            await wait_until(lambda: "t" in instances() and made.consul.announcement.is_registered)
            await made.consul.withdraw()
            assert "t" not in instances()

    run(case())


def test_what_answers_say() -> None:
    assert trust_of("default", {}, 0) is trust_of("consistent", {}, 0) is Trust.PROVEN
    headers = {"x-consul-knownleader": "true", "x-consul-lastcontact": "900"}
    assert trust_of("stale", headers, 1000) is Trust.PLAIN
    assert trust_of("stale", headers, 800) is Trust.DOUBTFUL
    assert trust_of("stale", headers | {"x-consul-knownleader": "false"}, 1000) is Trust.DOUBTFUL
    assert serves([{"CheckID": "a", "Status": "warning"}], warning=True)
    assert not serves([{"CheckID": "a", "Status": "warning"}], warning=False)
    assert index_of({"x-consul-index": "7"}) == 7


@pytest.mark.parametrize("body", [b"", b"{}", b"[1]", b'[{"Node":{}}]', b"[" * 100_000])
def test_an_answer_that_is_none_is_an_error(body: bytes) -> None:
    for read in (lambda: services(body, True), lambda: keys(body, "a/")):
        with pytest.raises(AnswerError):
            read()


def test_the_stand_in_is_a_registry_to_the_librarys_own_client() -> None:
    def check_with_library(port: int) -> None:
        client = consul.Consul(host="127.0.0.1", port=port)
        assert client.kv.put("a/1", "x")
        index, found = client.kv.get("a/", recurse=True)
        assert [one["Key"] for one in found] == ["a/1"] and found[0]["Value"] == b"x"
        assert client.agent.service.register("checks", service_id="s1", address="127.0.0.1", port=5)
        after, instances = client.health.service("checks", passing=True)
        assert int(after) > int(index) and instances[0]["Service"]["Port"] == 5
        assert client.agent.service.deregister("s1")
        last, instances = client.health.service("checks", index=after, wait="2s")
        assert (instances, int(last) > int(after)) == ([], True)
        client.kv.delete("a/", recurse=True)
        assert client.kv.get("a/", recurse=True)[1] is None

    async def case() -> None:
        cluster = await Cluster(1).start()
        await asyncio.to_thread(check_with_library, cluster.agents[0].port)
        await cluster.close()

    run(case())


def test_a_services_texts_become_an_entry_of_our_own_form() -> None:
    item = {
        "Node": {"Node": "m", "Address": "10.0.0.9"},
        "Service": {
            "ID": "i",
            "Address": "",
            "Port": 80,
            "Meta": {"locality": "a", "up_since_ms": "1700000000000"},
            "CreateIndex": 5,
            "ModifyIndex": 6,
        },
        "Checks": [],
    }
    (entry,) = services(json.dumps([item]).encode(), warning=True).values()
    document = json.loads(entry.value)
    assert (document["host_port"], document["phase"], document["up_since_ms"]) == (
        "10.0.0.9:80",
        "SERVING",
        1700000000000,
    )
    assert (entry.created, entry.modified) == (5, 6)
