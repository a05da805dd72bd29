"""The rig `ephemeral`: sixteen servers as ephemeral nodes of three registry hosts, 300 requests a second.

Sessions end on the seed's schedule: one while its server still answers, a quarter at once, all at once,
some while the program's host, the whole registry or the event itself is lost. Every first byte at each
server is checked against the time at which the event, or a list without the server, was written to the
program.
"""

from __future__ import annotations

import asyncio
import json
import random
import tempfile
from pathlib import Path

from rigs.report import Report, print_report
from rigs.stage import Stage, keeping_book, now
from standins.check_server import CheckServer
from standins.clients import Habits
from standins.ledger import Life
from standins.platform import AIM_S
from standins.zookeeper.ensemble import Ensemble
from standins.zookeeper.records import Kind
from standins.zookeeper.sessions import Session

SERVERS = 16
RATE = 100.0  # of each of three applications
APPLICATIONS = 3
USUAL_S = 26.0
WORK_S = 0.035  # of two cores at each server: some 910 requests a second in all
ROOT = "/estate/checks"
SESSION_MS = 4_000  # the program's
SERVED_LEAST = 0.75


class Estate:
    """The registry and the servers' sessions there."""

    def __init__(self, stage: Stage) -> None:
        self.stage = stage
        self.ensemble = Ensemble()
        self.sessions: dict[str, Session] = {}
        self.own = 0  # the program's session, as the registry saw it last
        self.killed = self.vanished = self.returned_cold = self.own_lost = 0
        self.cut_s = 0.0
        self.ensemble.on_told = self._told
        self.ensemble.on_listed = self._listed

    async def start(self) -> None:
        await self.ensemble.start()
        self.ensemble.make("/estate")
        self.ensemble.make(ROOT)
        for server in self.stage.servers:
            self.register(server)

    # What the program was told, from the bytes that were written to it

    def _told(self, session: int, kind: Kind, path: str, at: float) -> None:
        self.own = session
        if kind is Kind.DELETED and path.startswith(ROOT + "/"):
            self._ended(path.rpartition("/")[2], at)

    def _listed(self, session: int, path: str, names: list[str], at: float) -> None:
        self.own = session
        if path == ROOT:
            for server in self.stage.servers:
                if server.name not in names:
                    self._ended(server.name, at)

    def _ended(self, name: str, at: float) -> None:
        if name not in self.sessions:  # it may have come back since
            self.stage.ledger.told_end(name, at)

    # Servers

    def register(self, server: CheckServer) -> None:
        """A node of its own for a server, with another session than any before."""
        session = self.sessions[server.name] = self.ensemble.begin(40_000)
        session.heard_at += 3600.0  # its pings are not played
        told = server.member()
        del told["up_since_ms"]  # nothing proves that it never stopped: the cold rule decides
        self.stage.ledger.told_up(server.name)
        self.ensemble.make(f"{ROOT}/{server.name}", json.dumps(told).encode(), session)

    def kill(self, servers: list[CheckServer]) -> None:
        """These sessions expire now; the servers' processes know nothing of it."""
        sessions = [self.sessions.pop(server.name) for server in servers]
        for session in sessions:
            self.ensemble.expire(session.id)
        self.killed += len(sessions)
        self.vanished += len(sessions)

    def come_back(self, servers: list[CheckServer]) -> None:
        """Under the same names, as new sessions: to be treated as cold, for nothing proves otherwise."""
        for server in servers:
            self.stage.ledger.lives.append(self._life(server))
            self.register(server)
            self.returned_cold += 1

    def _life(self, server: CheckServer) -> Life:
        life = Life(server.name, now(), server.ramp_s, server.cores)
        server.life = life  # its receipts from now on are judged as those of a cold one
        return life

    async def crash_and_return(self, servers: list[CheckServer], seconds: float) -> None:
        """Processes and sessions end together; the servers start anew and register."""
        for server in servers:
            server.crash()
        self.kill(servers)
        await asyncio.sleep(seconds)
        for server in servers:
            await server.start(cold=True)
            self.register(server)
            self.returned_cold += 1


async def play(seed: int, seconds: float | None, as_json: bool) -> bool:
    """Send for `seconds` (26); true where every promise held."""
    length = seconds or USUAL_S
    stage = Stage(seed, SERVERS, sockets=768, work_s=WORK_S)
    stage.listed = False
    report = Report("ephemeral", seed)
    estate = Estate(stage)
    with tempfile.TemporaryDirectory(prefix="rig-") as folder:
        await stage.open_peers()
        await estate.start()
        await stage.up(environment=_operator_file(folder, estate.ensemble))
        applications = [stage.application(f"app{n}", Habits(rate=RATE)) for n in range(APPLICATIONS)]
        began = now()
        await _until_followed(estate)
        async with keeping_book(stage):
            sending = [asyncio.create_task(one.run(length)) for one in applications]
            await _faults(stage, estate, length)
            await asyncio.gather(*sending)
            for application in applications:
                await application.settle()
        _judge(report, stage, estate, began)
        code = await stage.down()
        await estate.ensemble.close()
    if code:
        report.unkept.append(f"the program ended with code {code}")
    print_report(report, stage.ledger, as_json)
    return report.held(stage.ledger)


def _operator_file(folder: str, ensemble: Ensemble) -> dict[str, str]:
    file = Path(folder) / "operator.toml"
    hosts = ", ".join(f'"{address}"' for address in ensemble.addresses())
    file.write_text(
        f'[membership.zookeeper]\nhosts = [{hosts}]\nroot = "{ROOT}"\n'
        f"session_timeout_ms = {SESSION_MS}\nspread_ms = 200\n"
    )
    return {"NODE_OPERATOR": str(file)}


async def _until_followed(estate: Estate) -> None:
    """Wait for the program's first list; it asks for nothing before it is ready."""
    while not estate.own:
        await asyncio.sleep(0.02)
    await asyncio.sleep(0.3)


async def _faults(stage: Stage, estate: Estate, length: float) -> None:
    """All of the schedule, in `length` seconds; which servers and exactly when is the seed's."""
    rng = random.Random(stage.rng.getrandbits(32))
    ensemble, say = estate.ensemble, stage.progress.say
    unit = length / 26

    def some(count: int) -> list[CheckServer]:
        return rng.sample(stage.servers, count)

    async def wait(units: float) -> None:
        await asyncio.sleep(units * unit * rng.uniform(0.9, 1.1))

    await wait(1.5)
    say("a session expires while its server still answers, and comes back within a second")
    one = some(1)
    estate.kill(one)
    await wait(0.7)
    estate.come_back(one)
    await wait(1.5)
    say("a quarter dies at once and comes back cold")
    await estate.crash_and_return(some(4), 2.0 * unit)
    await wait(2.0)
    say("the program's registry host goes, and a session expires meanwhile")
    await _host_goes(estate, some(1), unit)
    await wait(1.0)
    say("the whole registry is down while two sessions end")
    await _registry_down(estate, some(2), unit)
    await wait(1.0)
    say("the program's own session expires")
    ensemble.expire(estate.own)
    estate.own_lost += 1
    await wait(1.5)
    say("an event is lost with its connection")
    lost = some(1)
    for host in ensemble.hosts:
        host.loses_events = True
    estate.kill(lost)
    for host in ensemble.hosts:
        host.loses_events = False
    await wait(1.0)
    estate.come_back(lost)
    say("a host lags and answers all the same, the others cut their connections")
    await _lagging_host(estate, some(1), unit)
    await wait(1.0)
    say("all nodes vanish, and return within a moment")
    everybody = list(stage.servers)
    estate.kill(everybody)
    await wait(0.6)
    for server in everybody:
        estate.come_back([server])
        await asyncio.sleep(0.1 / SERVERS)


async def _host_goes(estate: Estate, servers: list[CheckServer], unit: float) -> None:
    """The host that serves the program stops; the others still tell."""
    ensemble = estate.ensemble
    serving = [host for host in ensemble.hosts if any(line.session for line in host.lines)]
    began = now()
    for host in serving:
        host.stop()
    await asyncio.sleep(0.3 * unit)
    estate.kill(servers)
    await asyncio.sleep(1.5 * unit)
    estate.come_back(servers)
    for host in serving:
        await host.start()
    estate.cut_s += now() - began


async def _registry_down(estate: Estate, servers: list[CheckServer], unit: float) -> None:
    ensemble, began = estate.ensemble, now()
    for host in ensemble.hosts:
        host.stop()
    await asyncio.sleep(0.5 * unit)
    estate.kill(servers)
    await asyncio.sleep(1.0 * unit)
    for host in ensemble.hosts:
        await host.start()
    estate.cut_s += now() - began
    await asyncio.sleep(1.5 * unit)
    estate.come_back(servers)


async def _lagging_host(estate: Estate, servers: list[CheckServer], unit: float) -> None:
    """One host keeps an old tree in which a vanished server still stands."""
    first, *others = estate.ensemble.hosts
    first.fall_behind()
    first.answers_old = True
    estate.kill(servers)
    await asyncio.sleep(0.3 * unit)
    for host in others:
        host.cut()
    await asyncio.sleep(1.5 * unit)
    first.catch_up()
    first.answers_old = False
    estate.come_back(servers)


def _judge(report: Report, stage: Stage, estate: Estate, began: float) -> None:
    ledger = stage.ledger
    good, tries = ledger.in_time(AIM_S)
    report.fields = {
        "first_try_in_time": round(good / max(1, tries), 4),
        "sessions_killed": estate.killed,
        "vanished": estate.vanished,
        "returned_cold": estate.returned_cold,
        "latest_send_ms": round(ledger.latest_send_s * 1000, 1),
        "own_session_lost": estate.own_lost,
        "registry_cut_s": round(estate.cut_s, 2),
        "registry_connects": sum(len(host.connects) for host in estate.ensemble.hosts),
        "attempts": ledger.counts["attempts"],
        "seconds": round(now() - began, 1),
    }
    tally = ledger.tally()
    if tally["served"] < SERVED_LEAST * tally["sent"]:
        report.unkept.append(f"only {tally['served']} of {tally['sent']} requests were served")
