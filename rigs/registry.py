"""The rig `registry`: one fault script, played against etcd and Consul at once.

Each registry has its own sidecar and twelve servers. Watches are interrupted on a schedule drawn from the
seed, with drains, removals, restarts under the same name (new lives) and compactions during the gaps. A
cluster member lags while the sidecar has to fail over to it; a quarter of the servers disappears, then all.
Every first byte at a server is compared with the time at which the registry wrote that server's end to the
sidecar. All counts are taken from sockets.
"""

from __future__ import annotations

import asyncio
import json
import random
import tempfile
from pathlib import Path
from typing import Any, Generic, Protocol, TypeVar

from rigs.report import Report, print_report
from rigs.stage import Stage, now, tracking_published_changes
from standins.check_server import CheckServer
from standins.clients import ApplicationSettings
from standins.consul.cluster import Cluster as Catalog
from standins.etcd.cluster import Cluster as Keys
from standins.ledger import ServerLifetime
from standins.platform import TARGET_S

SERVERS = 12
REQUESTS_PER_S = 90.0  # sent by the one application of each registry
DEFAULT_DURATION_S = 26.0
SERVICE_TIME_S = 0.035
PREFIX = "/estate/checks/"
SERVICE = "checks"
MIN_SERVED_SHARE = 0.75
MIN_CUTS, MIN_COMPACTIONS, MIN_REMOVALS_IN_GAPS = 5, 2, 4
# Limit for reporting every end of a gap to the sidecar, counted from when contact is possible again: a
# source that has failed several times in a row waits up to 5 s before its next attempt.
MAX_CATCH_UP_S = 8.0
RESURRECTED_AFTER_S = 1.0  # a request this long after an end is not late: the ended server was added again


class Registry(Protocol):
    """The operations of the fault script, implemented for each kind of registry."""

    name: str

    @property
    def cuts(self) -> int: ...
    @property
    def compactions(self) -> int: ...
    def followed(self) -> bool: ...
    async def start(self) -> None: ...
    async def close(self) -> None: ...
    def operator_file(self) -> str: ...
    async def put(self, servers: list[CheckServer], drains: bool = False) -> None: ...
    async def remove(self, servers: list[CheckServer]) -> None: ...
    async def cut(self) -> None: ...
    async def restore(self) -> None: ...
    def compact(self) -> None: ...
    async def lag(self) -> None: ...
    async def catch_up(self) -> None: ...
    async def switch_cluster(self) -> None: ...


C = TypeVar("C", bound=Keys | Catalog)


class RegistryKind(Generic[C]):
    """The clusters of one kind: the one that the sidecar follows, and those it left on a reload."""

    def __init__(self, scenario: RegistryScenario) -> None:
        self.scenario = scenario
        self.former_clusters: list[C] = []
        self.cluster: C = self._new_cluster()

    def _new_cluster(self) -> C:
        raise NotImplementedError

    async def start(self) -> None:
        await self.cluster.start()

    async def close(self) -> None:
        clusters: list[C] = [*self.former_clusters, self.cluster]
        for cluster in clusters:
            await cluster.close()


class Etcd(RegistryKind[Keys]):
    name = "etcd"

    def _new_cluster(self) -> Keys:
        cluster, scenario = Keys(), self.scenario
        cluster.on_change_sent = lambda key, ended, at: scenario.answer_written(
            {key.removeprefix(PREFIX)}, at
        )
        cluster.on_range_read = lambda prefix, keys, at: scenario.answer_written(None, at)
        cluster.max_events_per_response = 3
        return cluster

    @property
    def cuts(self) -> int:
        return sum(cluster.watches_cut for cluster in (*self.former_clusters, self.cluster))

    @property
    def compactions(self) -> int:
        return sum(cluster.compactions for cluster in (*self.former_clusters, self.cluster))

    def followed(self) -> bool:
        return any(member.watches for member in self.cluster.members)

    async def switch_cluster(self) -> None:
        """Start another cluster with the same keys at its own revision; the old one does not change again."""
        self.former_clusters.append(self.cluster)
        records = self.cluster.store.keys_in_range(PREFIX.encode(), b"\0")
        self.cluster = self._new_cluster()
        await self.cluster.start()
        for kv in records:
            self.cluster.put(kv.key.decode(), kv.value)

    def operator_file(self) -> str:
        hosts = json.dumps(self.cluster.addresses())
        return f'[membership.etcd]\nhosts = {hosts}\nprefix = "{PREFIX}"\nquiet_ms = 300\nspread_ms = 100\n'

    async def put(self, servers: list[CheckServer], drains: bool = False) -> None:
        for server in servers:
            record = server.member("DRAINING" if drains else "SERVING")
            del record["up_since_ms"]  # without proof of uptime the sidecar has to treat the server as cold
            self.cluster.put(PREFIX + server.name, json.dumps(record).encode())

    async def remove(self, servers: list[CheckServer]) -> None:
        self.cluster.delete(*(PREFIX + server.name for server in servers))

    async def cut(self) -> None:
        for member in self.cluster.members:
            member.stop_serving()

    async def restore(self) -> None:
        for member in self.cluster.members:
            member.down = False

    def compact(self) -> None:
        self.cluster.compact()

    async def lag(self) -> None:
        first, *others = self.cluster.members
        first.fall_behind()
        for member in others:
            member.stop_serving()

    async def catch_up(self) -> None:
        for member in self.cluster.members:
            member.frozen, member.down = None, False
            member.cut()


class Consul(RegistryKind[Catalog]):
    name = "consul"

    def __init__(self, scenario: RegistryScenario) -> None:
        super().__init__(scenario)
        self.index_resets = 0

    def _new_cluster(self) -> Catalog:
        cluster, scenario = Catalog(3), self.scenario
        cluster.on_entries_sent = lambda names, at: scenario.answer_written(None, at)
        return cluster

    @property
    def cuts(self) -> int:
        return sum(cluster.queries_cut for cluster in (*self.former_clusters, self.cluster))

    @property
    def compactions(self) -> int:
        return self.index_resets

    def followed(self) -> bool:
        return any(agent.writers for agent in self.cluster.agents)

    async def switch_cluster(self) -> None:
        """Start another cluster with the same catalog; the old one does not change again."""
        self.former_clusters.append(self.cluster)
        catalog = self.cluster.catalog.backup()
        self.cluster = self._new_cluster()
        self.cluster.catalog = catalog
        await self.cluster.start()

    def operator_file(self) -> str:
        hosts = json.dumps(self.cluster.addresses())
        return (
            f'[membership.consul]\nhosts = {hosts}\nservice = "{SERVICE}"\nwait_ms = 2000\nspread_ms = 100\n'
        )

    async def put(self, servers: list[CheckServer], drains: bool = False) -> None:
        for server in servers:
            record = server.member()
            names: list[str] = [name for name in ("cell", "locality", "flavor") if name in record]
            meta = {name: str(record[name]) for name in names}
            registered = self.cluster.catalog.instances.get(server.name)
            if registered is None:
                host, _, port = str(record["host_port"]).partition(":")
                self.cluster.catalog.register(SERVICE, server.name, host, int(port), meta)
            status = "critical" if drains else "passing"
            self.cluster.catalog.set_check(server.name, f"service:{server.name}", status)
        await self.cluster.tell()

    async def remove(self, servers: list[CheckServer]) -> None:
        self.cluster.catalog.deregister(*(server.name for server in servers))
        await self.cluster.tell()

    async def cut(self) -> None:
        for agent in self.cluster.agents:
            agent.stop()

    async def restore(self) -> None:
        for agent in self.cluster.agents:
            await agent.start()

    def compact(self) -> None:
        """Reset the index, because a catalog has no history to compact."""
        self.index_resets += 1
        self.cluster.catalog.reset_index()

    async def lag(self) -> None:
        first, *others = self.cluster.agents
        first.fall_behind(knows_leader=False)
        for agent in others:
            agent.stop()
        first.cut()

    async def catch_up(self) -> None:
        first, *others = self.cluster.agents
        first.catch_up()
        for agent in others:
            await agent.start()


class RegistryScenario:
    """The servers of one registry: their registered states and what the registry wrote to the sidecar."""

    def __init__(self, stage: Stage) -> None:
        self.stage = stage
        self.ended_names: set[str] = set()  # servers that drain or are removed in the registry
        self.ended_in_gap: set[str] | None = None  # servers that ended in the open gap
        # Per closed gap: its ends that are not written to the sidecar yet, and when the gap closed.
        self.pending_ends: list[tuple[set[str], float]] = []
        self.removals_in_gaps = self.missed_removals = 0
        self.catch_up_s = 0.0
        self.answers_written = 0  # to the sidecar
        self.registry: Registry
        self.operator_path = Path()  # the operator file

    def answer_written(self, names: set[str] | None, at: float) -> None:
        """Record that an answer about `names` (None: all servers) was written to the sidecar."""
        self.answers_written += 1
        for name in self.ended_names if names is None else names & self.ended_names:
            self.stage.ledger.record_end_delivered(name, at)
        for pending, since in self.pending_ends:
            if pending and all(("", name) in self.stage.ledger.end_delivered_at for name in pending):
                self.catch_up_s = max(self.catch_up_s, at - since)
                pending.clear()

    async def up(self, servers: list[CheckServer]) -> None:
        for server in servers:
            self.ended_names.discard(server.name)
            if self.ended_in_gap is not None:
                self.ended_in_gap.discard(server.name)
            self.stage.ledger.record_serving_delivered(server.name)
        await self.registry.put(servers)

    async def end(self, servers: list[CheckServer], drains: bool = False) -> None:
        """Drain or remove the servers in the registry; their processes keep running and count requests."""
        for server in servers:
            self.ended_names.add(server.name)
            if self.ended_in_gap is not None:
                self.ended_in_gap.add(server.name)
                self.removals_in_gaps += 1
        await (self.registry.put(servers, drains=True) if drains else self.registry.remove(servers))

    async def new_life(self, server: CheckServer) -> None:
        """Remove the server and register it again within a gap; the sidecar has to treat it as cold."""
        await self.registry.remove([server])
        life = ServerLifetime(server.name, now(), server.ramp_s, server.cores)
        server.life = life
        self.stage.ledger.server_lifetimes.append(life)
        await self.registry.put([server])

    async def open_gap(self) -> None:
        self.ended_in_gap = set()
        await self.registry.cut()

    async def switch_cluster(self) -> None:
        """Reload the sidecar under load with another cluster in its operator file."""
        assert self.stage.program is not None
        await self.registry.switch_cluster()
        self.operator_path.write_text(self.registry.operator_file())
        self.stage.program.reload()

    async def close_gap(self) -> None:
        ended, self.ended_in_gap = self.ended_in_gap or set(), None
        self.pending_ends.append((ended, now()))
        await self.registry.restore()

    async def wait_until_caught_up(self) -> None:
        """Wait until all ends of the last gap are written; count those missing after `MAX_CATCH_UP_S`."""
        names, since = self.pending_ends[-1]
        while names and now() < since + MAX_CATCH_UP_S:
            await asyncio.sleep(0.01)
        self.missed_removals += len(names)

    def fields(self) -> dict[str, Any]:
        late_sends = self.stage.ledger.late_arrivals
        own_sends = [(name, after) for _, name, after in late_sends if name.startswith(self.stage.prefix)]
        resurrected = {name for name, after in own_sends if after > RESURRECTED_AFTER_S}
        return {
            "watches_cut": self.registry.cuts,
            "compactions": self.registry.compactions,
            "removals_in_gaps": self.removals_in_gaps,
            "removals_missed": self.missed_removals + len({name for name, _ in own_sends}),
            "resurrected": len(resurrected),
            "catch_up_ms_max": round(self.catch_up_s * 1000, 1),
            "answers_heard": self.answers_written,
        }


async def play(seed: int, seconds: float | None, as_json: bool) -> bool:
    """Send for `seconds` (default 26); return whether every check passed."""
    duration_s = seconds or DEFAULT_DURATION_S
    etcd_stage = Stage(seed, SERVERS, sockets=384, work_s=SERVICE_TIME_S, prefix="e")
    consul_stage = Stage(
        seed + 1, SERVERS, sockets=384, work_s=SERVICE_TIME_S, prefix="c", ledger=etcd_stage.ledger
    )
    report = Report("registry", seed)
    scenarios = [RegistryScenario(etcd_stage), RegistryScenario(consul_stage)]
    scenarios[0].registry, scenarios[1].registry = Etcd(scenarios[0]), Consul(scenarios[1])
    began_at = now()
    with tempfile.TemporaryDirectory(prefix="rig-") as folder:
        for scenario in scenarios:
            await _start(scenario, folder)
        codes = await asyncio.gather(*(_run_load(scenario, duration_s) for scenario in scenarios))
    _evaluate(report, scenarios, began_at)
    for scenario, code in zip(scenarios, codes, strict=True):
        if code:
            report.violations.append(f"the sidecar of {scenario.registry.name} ended with code {code}")
    print_report(report, etcd_stage.ledger, as_json)
    return report.passed(etcd_stage.ledger)


async def _start(scenario: RegistryScenario, folder: str) -> None:
    stage = scenario.stage
    stage.publishes_servers = False
    await stage.open_peers()
    await scenario.registry.start()
    await scenario.up(stage.servers)
    scenario.operator_path = Path(folder) / f"{scenario.registry.name}.toml"
    scenario.operator_path.write_text(scenario.registry.operator_file())
    await stage.up(environment={"NODE_OPERATOR": str(scenario.operator_path)})
    while not scenario.answers_written:
        await asyncio.sleep(0.02)
    await asyncio.sleep(0.3)


async def _run_load(scenario: RegistryScenario, duration_s: float) -> int:
    stage = scenario.stage
    application = stage.application(scenario.registry.name, ApplicationSettings(rate=REQUESTS_PER_S))
    async with tracking_published_changes(stage):
        sending = asyncio.create_task(application.run(duration_s))
        await _inject_faults(scenario, duration_s)
        await sending
        await application.settle()
    code = await stage.down()
    await scenario.registry.close()
    return code


async def _inject_faults(scenario: RegistryScenario, duration_s: float) -> None:
    """Play the whole schedule within `duration_s` seconds; the seed picks the servers and the exact times."""
    stage, registry = scenario.stage, scenario.registry
    rng = random.Random(stage.rng.getrandbits(32))
    scale = duration_s / DEFAULT_DURATION_S

    def log_step(text: str) -> None:
        stage.progress.log(f"{registry.name}: {text}")

    def pick(count: int) -> list[CheckServer]:
        return rng.sample(
            [candidate for candidate in stage.servers if candidate.name not in scenario.ended_names], count
        )

    async def wait(schedule_s: float) -> None:
        await asyncio.sleep(schedule_s * scale * rng.uniform(0.9, 1.1))

    await wait(1.5)
    log_step("one server drains and is removed; another is removed without a drain")
    drained = pick(1)
    await scenario.end(drained, drains=True)
    await wait(0.8)
    await scenario.registry.remove(drained)
    gone = pick(1)
    await scenario.end(gone)
    await wait(0.8)
    await scenario.up(drained + gone)
    for number in range(4):
        log_step(
            "watch interrupted: meanwhile one server drains, one is removed, one restarts under its name"
        )
        await scenario.open_gap()
        await wait(0.4)
        drained, gone, restarted = pick(1), pick(1), []
        await scenario.end(drained, drains=True)
        gone = [candidate for candidate in gone if candidate not in drained]
        await scenario.end(gone)
        if number:
            registry.compact()
            restarted = [candidate for candidate in pick(1) if candidate not in drained + gone]
            for server in restarted:
                await scenario.new_life(server)
        await wait(0.6)
        await scenario.close_gap()
        if number >= 2:
            log_step("watch interrupted again during the catch-up")
            await _until_followed(registry)
            await registry.cut()
            await asyncio.sleep(0.2)
            await registry.restore()
        await scenario.wait_until_caught_up()
        await wait(0.8)
        await scenario.up(drained + gone)
        await wait(0.4)
    log_step("one registry member lags and the others stop; one server is removed meanwhile")
    await registry.lag()
    gone = pick(1)
    await scenario.end(gone)
    await wait(1.0)
    await registry.catch_up()
    await wait(1.0)
    await scenario.up(gone)
    log_step("reload with another cluster, where one server is removed at once")
    await scenario.switch_cluster()
    gone = pick(1)
    await scenario.end(gone)
    await wait(1.5)
    await scenario.up(gone)
    log_step("a quarter of the servers is removed at once, later all servers for a moment")
    quarter = pick(SERVERS // 4)
    await scenario.end(quarter)
    await wait(2.0)
    await scenario.up(quarter)
    await wait(1.0)
    all_servers = list(stage.servers)
    await scenario.end(all_servers)
    await wait(0.4)
    for server in all_servers:
        life = ServerLifetime(server.name, now(), server.ramp_s, server.cores)
        server.life = life
        stage.ledger.server_lifetimes.append(life)
    await scenario.up(all_servers)


async def _until_followed(registry: Registry) -> None:
    """Wait up to 5 s until the sidecar watches again: only an open watch can be interrupted."""
    deadline = now() + 5.0
    while not registry.followed() and now() < deadline:
        await asyncio.sleep(0.005)


def _evaluate(report: Report, scenarios: list[RegistryScenario], began_at: float) -> None:
    ledger = scenarios[0].stage.ledger
    in_time, first_tries = ledger.in_time(TARGET_S)
    report.fields = {
        "first_try_in_time": round(in_time / max(1, first_tries), 4),
        "latest_send_ms": round(ledger.max_arrival_delay_s * 1000, 1),
        "attempts": ledger.counts["attempts"],
        "seconds": round(now() - began_at, 1),
    }
    for scenario in scenarios:
        name, figures = scenario.registry.name, scenario.fields()
        report.fields[name] = figures
        minimums = {
            "watches_cut": MIN_CUTS,
            "compactions": MIN_COMPACTIONS,
            "removals_in_gaps": MIN_REMOVALS_IN_GAPS,
        }
        report.violations += [
            f"{name}: {field} is {figures[field]}, expected at least {minimum}"
            for field, minimum in minimums.items()
            if figures[field] < minimum
        ]
        report.violations += [
            f"{name}: {field}" for field in ("removals_missed", "resurrected") if figures[field]
        ]
    tally = ledger.tally()
    if tally["served"] < MIN_SERVED_SHARE * tally["sent"]:
        report.violations.append(f"only {tally['served']} of {tally['sent']} requests were served")
