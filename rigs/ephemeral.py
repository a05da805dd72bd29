"""The rig `ephemeral`: sixteen servers as ephemeral nodes of three registry hosts, 300 requests a second.

Sessions expire on a schedule drawn from the seed: one while its server still answers, a quarter at once, all
at once, and some while the sidecar's registry host is down, the whole registry is down, or the event itself
is lost. Every first byte at a server is compared with the time at which the registry wrote the event, or a
list without the server, to the sidecar.
"""

from __future__ import annotations

import asyncio
import json
import random
import tempfile
from pathlib import Path

from rigs.report import Report, print_report
from rigs.stage import Stage, now, tracking_published_changes
from standins.check_server import CheckServer
from standins.clients import ApplicationSettings
from standins.ledger import ServerLifetime
from standins.platform import TARGET_S
from standins.zookeeper.ensemble import Ensemble
from standins.zookeeper.records import EventType
from standins.zookeeper.sessions import Session

SERVERS = 16
REQUESTS_PER_S = 100.0  # sent by each application
APPLICATIONS = 3
DEFAULT_DURATION_S = 26.0
SERVICE_TIME_S = 0.035  # two cores at each server: about 910 requests a second in total
ROOT = "/estate/checks"
SESSION_MS = 4_000  # of the sidecar
MIN_SERVED_SHARE = 0.75


class EnsembleScenario:
    """The registry and the servers' sessions in it."""

    def __init__(self, stage: Stage) -> None:
        self.stage = stage
        self.ensemble = Ensemble()
        self.sessions: dict[str, Session] = {}
        self.sidecar_session = 0  # session id of the sidecar in the latest answer; 0: none yet
        self.sessions_killed = self.nodes_vanished = self.returned_cold = self.own_sessions_lost = 0
        self.registry_cut_s = 0.0
        self.ensemble.on_event_sent = self._event_written
        self.ensemble.on_children_sent = self._list_written

    async def start(self) -> None:
        await self.ensemble.start()
        self.ensemble.create_node("/estate")
        self.ensemble.create_node(ROOT)
        for server in self.stage.servers:
            self.register(server)

    # What the registry wrote to the sidecar, recorded when the bytes were written

    def _event_written(self, session: int, kind: EventType, path: str, at: float) -> None:
        self.sidecar_session = session
        if kind is EventType.DELETED and path.startswith(ROOT + "/"):
            self._record_end(path.rpartition("/")[2], at)

    def _list_written(self, session: int, path: str, names: list[str], at: float) -> None:
        self.sidecar_session = session
        if path == ROOT:
            for server in self.stage.servers:
                if server.name not in names:
                    self._record_end(server.name, at)

    def _record_end(self, name: str, at: float) -> None:
        if name not in self.sessions:  # not registered again since
            self.stage.ledger.record_end_delivered(name, at)

    # Servers

    def register(self, server: CheckServer) -> None:
        """Create an ephemeral node for the server under a new session."""
        session = self.sessions[server.name] = self.ensemble.create_session(40_000)
        session.last_request_at += 3600.0  # keeps the session alive without simulated pings
        record = server.member()
        del record["up_since_ms"]  # without proof of uptime the sidecar has to treat the server as cold
        self.stage.ledger.record_serving_delivered(server.name)
        self.ensemble.create_node(f"{ROOT}/{server.name}", json.dumps(record).encode(), session)

    def expire_sessions(self, servers: list[CheckServer]) -> None:
        """Expire the servers' sessions now; the server processes keep running."""
        sessions = [self.sessions.pop(server.name) for server in servers]
        for session in sessions:
            self.ensemble.expire(session.id)
        self.sessions_killed += len(sessions)
        self.nodes_vanished += len(sessions)

    def register_restarted(self, servers: list[CheckServer]) -> None:
        """Register the servers under the same names with new sessions.

        The sidecar has to treat them as cold, because nothing proves that they kept running.
        """
        for server in servers:
            self.stage.ledger.server_lifetimes.append(self._new_life(server))
            self.register(server)
            self.returned_cold += 1

    def _new_life(self, server: CheckServer) -> ServerLifetime:
        life = ServerLifetime(server.name, now(), server.ramp_s, server.cores)
        server.life = life  # requests that arrive from now on count as sent to a cold server
        return life

    async def crash_and_restart(self, servers: list[CheckServer], seconds: float) -> None:
        """End processes and sessions together; after `seconds` start the servers cold and register them."""
        for server in servers:
            server.crash()
        self.expire_sessions(servers)
        await asyncio.sleep(seconds)
        for server in servers:
            await server.start(cold=True)
            self.register(server)
            self.returned_cold += 1


async def play(seed: int, seconds: float | None, as_json: bool) -> bool:
    """Send for `seconds` (default 26); return whether every check passed."""
    duration_s = seconds or DEFAULT_DURATION_S
    stage = Stage(seed, SERVERS, sockets=768, work_s=SERVICE_TIME_S)
    stage.publishes_servers = False
    report = Report("ephemeral", seed)
    scenario = EnsembleScenario(stage)
    with tempfile.TemporaryDirectory(prefix="rig-") as folder:
        await stage.open_peers()
        await scenario.start()
        await stage.up(environment=_operator_file(folder, scenario.ensemble))
        applications = [
            stage.application(f"app{n}", ApplicationSettings(rate=REQUESTS_PER_S))
            for n in range(APPLICATIONS)
        ]
        began_at = now()
        await _until_followed(scenario)
        async with tracking_published_changes(stage):
            sending = [asyncio.create_task(one.run(duration_s)) for one in applications]
            await _inject_faults(stage, scenario, duration_s)
            await asyncio.gather(*sending)
            for application in applications:
                await application.settle()
        _evaluate(report, stage, scenario, began_at)
        code = await stage.down()
        await scenario.ensemble.close()
    if code:
        report.violations.append(f"the sidecar ended with code {code}")
    print_report(report, stage.ledger, as_json)
    return report.passed(stage.ledger)


def _operator_file(folder: str, ensemble: Ensemble) -> dict[str, str]:
    file = Path(folder) / "operator.toml"
    hosts = ", ".join(f'"{address}"' for address in ensemble.addresses())
    file.write_text(
        f'[membership.zookeeper]\nhosts = [{hosts}]\nroot = "{ROOT}"\n'
        f"session_timeout_ms = {SESSION_MS}\nspread_ms = 200\n"
    )
    return {"NODE_OPERATOR": str(file)}


async def _until_followed(scenario: EnsembleScenario) -> None:
    """Wait for the sidecar's first list; it requests nothing before it is ready."""
    while not scenario.sidecar_session:
        await asyncio.sleep(0.02)
    await asyncio.sleep(0.3)


async def _inject_faults(stage: Stage, scenario: EnsembleScenario, duration_s: float) -> None:
    """Play the whole schedule within `duration_s` seconds; the seed picks the servers and the exact times."""
    rng = random.Random(stage.rng.getrandbits(32))
    ensemble, log_step = scenario.ensemble, stage.progress.log
    scale = duration_s / 26

    def pick(count: int) -> list[CheckServer]:
        return rng.sample(stage.servers, count)

    async def wait(schedule_s: float) -> None:
        await asyncio.sleep(schedule_s * scale * rng.uniform(0.9, 1.1))

    await wait(1.5)
    log_step("a session expires while its server still answers; the server registers again within a second")
    expired = pick(1)
    scenario.expire_sessions(expired)
    await wait(0.7)
    scenario.register_restarted(expired)
    await wait(1.5)
    log_step("a quarter of the servers crashes at once and restarts cold")
    await scenario.crash_and_restart(pick(4), 2.0 * scale)
    await wait(2.0)
    log_step("the registry host that serves the sidecar stops; a session expires meanwhile")
    await _stop_serving_host(scenario, pick(1), scale)
    await wait(1.0)
    log_step("the whole registry is down while two sessions expire")
    await _stop_registry(scenario, pick(2), scale)
    await wait(1.0)
    log_step("the sidecar's own session expires")
    ensemble.expire(scenario.sidecar_session)
    scenario.own_sessions_lost += 1
    await wait(1.5)
    log_step("an event is lost together with its connection")
    unreported = pick(1)
    for host in ensemble.hosts:
        host.loses_events = True
    scenario.expire_sessions(unreported)
    for host in ensemble.hosts:
        host.loses_events = False
    await wait(1.0)
    scenario.register_restarted(unreported)
    log_step("one host lags but keeps answering; the others close their connections")
    await _play_lagging_host(scenario, pick(1), scale)
    await wait(1.0)
    log_step("all nodes vanish and are created again shortly after")
    all_servers = list(stage.servers)
    scenario.expire_sessions(all_servers)
    await wait(0.6)
    for server in all_servers:
        scenario.register_restarted([server])
        await asyncio.sleep(0.1 / SERVERS)


async def _stop_serving_host(scenario: EnsembleScenario, servers: list[CheckServer], scale: float) -> None:
    """Stop the host that serves the sidecar, while the other hosts still send events."""
    ensemble = scenario.ensemble
    serving_hosts = [
        host for host in ensemble.hosts if any(connection.session for connection in host.connections)
    ]
    began_at = now()
    for host in serving_hosts:
        host.stop()
    await asyncio.sleep(0.3 * scale)
    scenario.expire_sessions(servers)
    await asyncio.sleep(1.5 * scale)
    scenario.register_restarted(servers)
    for host in serving_hosts:
        await host.start()
    scenario.registry_cut_s += now() - began_at


async def _stop_registry(scenario: EnsembleScenario, servers: list[CheckServer], scale: float) -> None:
    ensemble, began_at = scenario.ensemble, now()
    for host in ensemble.hosts:
        host.stop()
    await asyncio.sleep(0.5 * scale)
    scenario.expire_sessions(servers)
    await asyncio.sleep(1.0 * scale)
    for host in ensemble.hosts:
        await host.start()
    scenario.registry_cut_s += now() - began_at
    await asyncio.sleep(1.5 * scale)
    scenario.register_restarted(servers)


async def _play_lagging_host(scenario: EnsembleScenario, servers: list[CheckServer], scale: float) -> None:
    """Let one host answer from an old tree that still contains a vanished server."""
    first, *others = scenario.ensemble.hosts
    first.fall_behind()
    first.answers_old = True
    scenario.expire_sessions(servers)
    await asyncio.sleep(0.3 * scale)
    for host in others:
        host.cut()
    await asyncio.sleep(1.5 * scale)
    first.catch_up()
    first.answers_old = False
    scenario.register_restarted(servers)


def _evaluate(report: Report, stage: Stage, scenario: EnsembleScenario, began_at: float) -> None:
    ledger = stage.ledger
    in_time, first_tries = ledger.in_time(TARGET_S)
    report.fields = {
        "first_try_in_time": round(in_time / max(1, first_tries), 4),
        "sessions_killed": scenario.sessions_killed,
        "vanished": scenario.nodes_vanished,
        "returned_cold": scenario.returned_cold,
        "latest_send_ms": round(ledger.max_arrival_delay_s * 1000, 1),
        "own_session_lost": scenario.own_sessions_lost,
        "registry_cut_s": round(scenario.registry_cut_s, 2),
        "registry_connects": sum(len(host.connect_times) for host in scenario.ensemble.hosts),
        "attempts": ledger.counts["attempts"],
        "seconds": round(now() - began_at, 1),
    }
    tally = ledger.tally()
    if tally["served"] < MIN_SERVED_SHARE * tally["sent"]:
        report.violations.append(f"only {tally['served']} of {tally['sent']} requests were served")
