"""The rig `connections`: eight processes of the program with twelve servers whose connections fail.

The applications send 400 requests per second in all. The same script runs without the connection planner
and, with the same seed, with it: one server and later all drop idle connections silently, others close early
or after each answer, three crash and restart cold, one is at its connection cap, one is drained and replaced,
and a burst follows a pause. All counts come from the servers and the clients.
"""

from __future__ import annotations

import asyncio
import random
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from rigs.report import Report, print_report
from rigs.stage import Stage, now, tracking_published_changes
from standins.clients import Application, ApplicationSettings, ConnectionAllowance
from standins.line_faults import FaultyServer
from standins.platform import TARGET_S, Program, settings

SERVERS = 12
PROGRAMS = 8
RATE = 50.0  # of each program's application
DEFAULT_S = 13.0  # of each half
WORK_S = 0.03  # per request; with two cores per server the capacity is some 800 requests per second
OPENS_PER_S = 30.0  # connections that the fleet may open to one warm server
BURST_SHARE = 0.5  # share of `OPENS_PER_S` that may be opened at once
IDLE_DROP_S = 1.5
MIN_OPENED_AHEAD_S = 0.03  # a connection first used later than this after its opening was opened ahead
MIN_SERVED_SHARE = 0.85


@dataclass
class Half:
    """One half of the rig: the script run with or without the planner."""

    stage: Stage
    programs: list[Program] = field(default_factory=list)
    applications: list[Application] = field(default_factory=list)
    returned_at: float = 0.0
    code: int = 0

    @property
    def servers(self) -> list[FaultyServer]:
        return [server for server in self.stage.servers if isinstance(server, FaultyServer)]


class FaultyStage(Stage):
    """A test cluster whose servers have failing connections; keeps removed servers for the counts."""

    def _new_server(self, number: int) -> FaultyServer:
        rack = self.racks[number % len(self.racks)]
        rng = random.Random(self.rng.getrandbits(32))
        server = FaultyServer(
            f"s{number}", rack, self.ledger, rng, work_s=self.work_s, ramp_s=self.ramp_s, cap=370
        )
        self.all_servers.append(server)
        return server

    def __init__(self, seed: int) -> None:
        self.all_servers: list[FaultyServer] = []
        super().__init__(seed, SERVERS, sockets=512, work_s=WORK_S)


async def play(seed: int, seconds: float | None, as_json: bool) -> bool:
    """Send for `seconds` (default 13) per half; true where the one with the planner met every requirement."""
    length = seconds or DEFAULT_S
    report = Report("connections", seed)
    started_at = now()
    off = await _half(seed, length, plan=False)
    on = await _half(seed, length, plan=True)
    _judge(report, on, off, started_at)
    print_report(report, on.stage.ledger, as_json)
    return report.passed(on.stage.ledger)


async def _half(seed: int, length: float, plan: bool) -> Half:
    stage = FaultyStage(seed)
    half = Half(stage)
    await stage.open_peers()
    stage.discovery.publish(server.member() for server in stage.servers)
    stage.discovery.known_at.clear()
    stage.progress.log(f"{PROGRAMS} programs, {'with' if plan else 'without'} the planner")
    with tempfile.TemporaryDirectory(prefix="rig-") as folder:
        environment = _operator_file(folder) if plan else {}
        for slot in range(PROGRAMS):
            document = settings(fleet_size=PROGRAMS, ramp_s=stage.ramp_s)
            document["slotNo"] = slot
            program = Program(
                stage.discovery.port,
                stage.rng.getrandbits(32),
                stage.discovery.snapshot(),
                document,
                512,
                environment,
            )
            half.programs.append(program)
        await asyncio.gather(*(program.start() for program in half.programs))
        for slot, program in enumerate(half.programs):
            rng = random.Random(stage.rng.getrandbits(32))
            half.applications.append(
                Application(
                    f"a{slot}",
                    program.port,
                    stage.ledger,
                    ConnectionAllowance(170),
                    rng,
                    ApplicationSettings(rate=RATE),
                )
            )
        async with tracking_published_changes(stage):
            await asyncio.gather(_send(half, length), _faults(half, length))
            for application in half.applications:
                await application.settle()
        codes = await asyncio.gather(*(program.stop() for program in half.programs))
        half.code = max(codes, key=abs)
        for program in half.programs:
            program.cleanup()
    for server in stage.servers:
        await server.close()
    stage.discovery.close()
    return half


def _operator_file(folder: str) -> dict[str, str]:
    file = Path(folder) / "operator.toml"
    file.write_text(f"[connections]\nplan = true\nopens_per_s = {OPENS_PER_S}\naccepts = 370\n")
    return {"NODE_OPERATOR": str(file)}


async def _send(half: Half, length: float) -> None:
    """Run all applications at their rate, with a pause of a tenth of `length` before the last fifth."""
    first, pause, last = length * 0.7, length * 0.1, length * 0.2
    await asyncio.gather(*(application.run(first) for application in half.applications))
    await asyncio.sleep(pause)
    half.stage.progress.log("the burst after a pause")
    await asyncio.gather(*(application.run(last) for application in half.applications))


async def _faults(half: Half, length: float) -> None:
    stage, servers, unit = half.stage, half.servers, length / 13
    rng = random.Random(stage.rng.getrandbits(32))
    chosen = rng.sample(servers, 9)
    await asyncio.sleep(1.0 * unit)
    stage.progress.log("one server drops idle connections silently, two close theirs early")
    chosen[0].silent_drop_after_idle_s = IDLE_DROP_S
    chosen[1].close_after_idle_s = 0.3
    chosen[2].reset_share_of_reused = 0.05
    await asyncio.sleep(2.0 * unit)
    stage.progress.log("three servers crash and restart cold")
    await stage.outage(list(chosen[3:6]), 0.8 * unit)
    half.returned_at = now()
    await asyncio.sleep(1.5 * unit)
    stage.progress.log("one server is at its connection cap, one closes after each answer")
    chosen[6].max_connections = max(2, len(chosen[6].writers))
    chosen[7].closes_after_answer = True
    await asyncio.sleep(1.0 * unit)
    stage.progress.log("one server is drained and replaced; then all drop idle connections silently")
    await stage.replace(chosen[8])
    for server in servers:
        server.silent_drop_after_idle_s = IDLE_DROP_S


def _judge(report: Report, on: Half, off: Half, started_at: float) -> None:
    ledger = on.stage.ledger
    in_time, tries = ledger.in_time(TARGET_S)
    opened = [item for server in on.stage.all_servers for item in server.connection_log]  # type: ignore[attr-defined]
    ahead = [item for item in opened if item.used_at is None or item.used_at - item.at > MIN_OPENED_AHEAD_S]
    requests = ledger.counts["attempts"]
    bound = OPENS_PER_S * (1.0 + 2 * BURST_SHARE)  # with the burst, and as much again for retries
    peak, peak_off = _peak_opens(on), _peak_opens(off)
    lost = _lost_to_stale(on)
    report.fields = {
        "first_try_in_time": round(in_time / max(1, tries), 4),
        "lost_to_stale": len(lost),
        "lost_to_stale_off": len(_lost_to_stale(off)),
        "stale_hits": _stale_hits(on),
        "stale_hits_off": _stale_hits(off),
        "opens_per_s_peak": peak,
        "opens_per_s_peak_off": peak_off,
        "opens_per_s_bound": bound,
        "opens_total": len(opened),
        "opens_ahead": len(ahead),
        "opens_total_off": _opens(off),
        "reused_share": round(
            1.0 - len([1 for item in opened if item.used_at is not None]) / max(1, requests), 4
        ),
        "prewarmed_used_share": round(
            len([1 for item in ahead if item.used_at is not None]) / max(1, len(ahead)), 4
        ),
        "idle_limits_learned": _learned_idle_limits(on),
        "off": _results(off),
        "seconds": round(now() - started_at, 1),
    }
    if peak > bound:
        report.violations.append(
            f"{peak} connections were opened to one server in one second, {bound:g} are allowed"
        )
    if lost:
        report.violations.append(f"requests were lost on stale connections: {lost[:5]}")
    if on.code:
        report.violations.append(f"a program exited with code {on.code}")
    tally = ledger.tally()
    if tally["served"] < MIN_SERVED_SHARE * tally["sent"]:
        report.violations.append(f"only {tally['served']} of {tally['sent']} requests were served")


def _peak_opens(half: Half) -> int:
    """Maximum number of connections opened to one server within any second of the run."""
    all_servers: list[FaultyServer] = half.stage.all_servers  # type: ignore[attr-defined]
    return max(server.max_opens_per_s(0.0, time.monotonic()) for server in all_servers)


def _opens(half: Half) -> int:
    all_servers: list[FaultyServer] = half.stage.all_servers  # type: ignore[attr-defined]
    return sum(len(server.connection_log) for server in all_servers)


def _stale_hits(half: Half) -> int:
    all_servers: list[FaultyServer] = half.stage.all_servers  # type: ignore[attr-defined]
    return sum(len(server.requests_on_dead_connections) for server in all_servers)


def _lost_to_stale(half: Half) -> list[str]:
    """Describe the requests that were sent on a dead connection and were not served."""
    all_servers: list[FaultyServer] = half.stage.all_servers  # type: ignore[attr-defined]
    stale_hits: dict[str, list[str]] = {}
    sent = half.stage.ledger.sent
    for server in all_servers:
        for call_id, at in server.requests_on_dead_connections:
            if call_id in sent:
                stale_hits.setdefault(call_id, []).append(f"{server.name} at {at - sent[call_id].at:.2f}")
    lost = [sent[call_id] for call_id in stale_hits if sent[call_id].final in (None, "failed")]
    return [
        f"{request.id}: {stale_hits[request.id]}, {request.final} after {request.final_at - request.at:.2f} s"
        for request in lost
    ]


def _learned_idle_limits(half: Half) -> int:
    """Count servers that dropped idle connections silently and got no request on one in the last second."""
    all_servers: list[FaultyServer] = half.stage.all_servers  # type: ignore[attr-defined]
    end = max((request.final_at for request in half.stage.ledger.sent.values()), default=0.0)
    dropping = [
        server
        for server in all_servers
        if server.silent_drop_after_idle_s and server.requests_on_dead_connections
    ]
    return len([1 for server in dropping if server.requests_on_dead_connections[-1][1] < end - 1.0])


def _results(half: Half) -> dict[str, Any]:
    ledger = half.stage.ledger
    in_time, tries = ledger.in_time(TARGET_S)
    return {**ledger.tally(), "first_try_in_time": round(in_time / max(1, tries), 4)}
