"""The rig `connections`: eight processes of the program before twelve servers whose connections fail.

400 requests a second in all. The same script is played with the planner and, on the same seed, without it:
idle connections dropped in silence at one server and then at all, others closed early or after each answer,
a crash and cold return of three, a server at its cap, a drain with a replacement, and a lull before a
burst. All counts are of what the servers and the clients saw.
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
from rigs.stage import Stage, keeping_book, now
from standins.clients import Allowance, Application, Habits
from standins.line_faults import FaultyServer
from standins.platform import AIM_S, Program, settings

SERVERS = 12
PROGRAMS = 8
RATE = 50.0  # of each program's application
USUAL_S = 13.0  # of either half
WORK_S = 0.03  # of two cores at each server: some 800 requests a second in all
OPENS_PER_S = 30.0  # of the fleet at one warm server
BURST = 0.5  # of that rate may come at once
DROPS_IDLE_S = 1.5
PREWARMED_S = 0.03  # a connection that is used later than this after its opening was opened ahead
SERVED_LEAST = 0.85


@dataclass
class Half:
    """One half of the rig, with the planner or without."""

    stage: Stage
    programs: list[Program] = field(default_factory=list)
    applications: list[Application] = field(default_factory=list)
    returned_at: float = 0.0
    code: int = 0

    @property
    def servers(self) -> list[FaultyServer]:
        return [server for server in self.stage.servers if isinstance(server, FaultyServer)]


class FaultyStage(Stage):
    """A stage whose servers have failing connections; keeps those that have gone, for the count."""

    def _new_server(self, number: int) -> FaultyServer:
        rack = self.racks[number % len(self.racks)]
        rng = random.Random(self.rng.getrandbits(32))
        server = FaultyServer(
            f"s{number}", rack, self.ledger, rng, work_s=self.work_s, ramp_s=self.ramp_s, cap=370
        )
        self.every.append(server)
        return server

    def __init__(self, seed: int) -> None:
        self.every: list[FaultyServer] = []
        super().__init__(seed, SERVERS, sockets=512, work_s=WORK_S)


async def play(seed: int, seconds: float | None, as_json: bool) -> bool:
    """Send for `seconds` (13) in either half; true where every promise held with the planner."""
    length = seconds or USUAL_S
    report = Report("connections", seed)
    began = now()
    off = await _half(seed, length, plan=False)
    on = await _half(seed, length, plan=True)
    _judge(report, on, off, began)
    print_report(report, on.stage.ledger, as_json)
    return report.held(on.stage.ledger)


async def _half(seed: int, length: float, plan: bool) -> Half:
    stage = FaultyStage(seed)
    half = Half(stage)
    await stage.open_peers()
    stage.discovery.publish(server.member() for server in stage.servers)
    stage.discovery.known_at.clear()
    stage.progress.say(f"{PROGRAMS} programs, {'with' if plan else 'without'} the planner")
    with tempfile.TemporaryDirectory(prefix="rig-") as folder:
        environment = _operator_file(folder) if plan else {}
        for slot in range(PROGRAMS):
            facts = settings(fleet_size=PROGRAMS, ramp_s=stage.ramp_s)
            facts["slotNo"] = slot
            program = Program(
                stage.discovery.port,
                stage.rng.getrandbits(32),
                stage.discovery.snapshot(),
                facts,
                512,
                environment,
            )
            half.programs.append(program)
        await asyncio.gather(*(program.start() for program in half.programs))
        for slot, program in enumerate(half.programs):
            rng = random.Random(stage.rng.getrandbits(32))
            half.applications.append(
                Application(f"a{slot}", program.port, stage.ledger, Allowance(170), rng, Habits(rate=RATE))
            )
        async with keeping_book(stage):
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
    """All applications at their rate, with a lull of a tenth before the last fifth."""
    first, lull, last = length * 0.7, length * 0.1, length * 0.2
    await asyncio.gather(*(application.run(first) for application in half.applications))
    await asyncio.sleep(lull)
    half.stage.progress.say("the burst after a lull")
    await asyncio.gather(*(application.run(last) for application in half.applications))


async def _faults(half: Half, length: float) -> None:
    stage, servers, unit = half.stage, half.servers, length / 13
    rng = random.Random(stage.rng.getrandbits(32))
    chosen = rng.sample(servers, 9)
    await asyncio.sleep(1.0 * unit)
    stage.progress.say("one server's idle connections are dropped in silence, two close theirs early")
    chosen[0].drops_idle_s = DROPS_IDLE_S
    chosen[1].idle_close_s = 0.3
    chosen[2].resets_kept = 0.05
    await asyncio.sleep(2.0 * unit)
    stage.progress.say("three servers die and come back cold")
    await stage.outage(list(chosen[3:6]), 0.8 * unit)
    half.returned_at = now()
    await asyncio.sleep(1.5 * unit)
    stage.progress.say("one server is at its cap, one closes after each answer")
    chosen[6].cap = max(2, len(chosen[6].writers))
    chosen[7].closes_after = True
    await asyncio.sleep(1.0 * unit)
    stage.progress.say("one server is drained and replaced; then all drop what is idle")
    await stage.replace(chosen[8])
    for server in servers:
        server.drops_idle_s = DROPS_IDLE_S


def _judge(report: Report, on: Half, off: Half, began: float) -> None:
    ledger = on.stage.ledger
    good, tries = ledger.in_time(AIM_S)
    book = [one for server in on.stage.every for one in server.book]  # type: ignore[attr-defined]
    ahead = [one for one in book if one.used_at is None or one.used_at - one.at > PREWARMED_S]
    requests = ledger.counts["attempts"]
    bound = OPENS_PER_S * (1.0 + 2 * BURST)  # the burst, and as much that repeats may borrow
    peak, peak_off = _peak(on), _peak(off)
    lost = _lost_to_stale(on)
    report.fields = {
        "first_try_in_time": round(good / max(1, tries), 4),
        "lost_to_stale": len(lost),
        "lost_to_stale_off": len(_lost_to_stale(off)),
        "stale_hits": _hits(on),
        "stale_hits_off": _hits(off),
        "opens_per_s_peak": peak,
        "opens_per_s_peak_off": peak_off,
        "opens_per_s_bound": bound,
        "opens_total": len(book),
        "opens_ahead": len(ahead),
        "opens_total_off": _opens(off),
        "reused_share": round(
            1.0 - len([1 for one in book if one.used_at is not None]) / max(1, requests), 4
        ),
        "prewarmed_used_share": round(
            len([1 for one in ahead if one.used_at is not None]) / max(1, len(ahead)), 4
        ),
        "idle_limits_learned": _learned(on),
        "off": _figures(off),
        "seconds": round(now() - began, 1),
    }
    if peak > bound:
        report.unkept.append(f"{peak} connections in one second at one server, {bound:g} are allowed")
    if lost:
        report.unkept.append(f"requests were lost on stale connections: {lost[:5]}")
    if on.code:
        report.unkept.append(f"a program ended with code {on.code}")
    tally = ledger.tally()
    if tally["served"] < SERVED_LEAST * tally["sent"]:
        report.unkept.append(f"only {tally['served']} of {tally['sent']} requests were served")


def _peak(half: Half) -> int:
    """The most connections opened within a second at one server, from the cold return on or before it."""
    every: list[FaultyServer] = half.stage.every  # type: ignore[attr-defined]
    return max(server.opens_peak(0.0, time.monotonic()) for server in every)


def _opens(half: Half) -> int:
    every: list[FaultyServer] = half.stage.every  # type: ignore[attr-defined]
    return sum(len(server.book) for server in every)


def _hits(half: Half) -> int:
    every: list[FaultyServer] = half.stage.every  # type: ignore[attr-defined]
    return sum(len(server.swallowed) for server in every)


def _lost_to_stale(half: Half) -> list[str]:
    """Requests that came on a dead connection and got no answer, with what they met."""
    every: list[FaultyServer] = half.stage.every  # type: ignore[attr-defined]
    met: dict[str, list[str]] = {}
    sent = half.stage.ledger.sent
    for server in every:
        for call_id, at in server.swallowed:
            if call_id in sent:
                met.setdefault(call_id, []).append(f"{server.name} at {at - sent[call_id].at:.2f}")
    lost = [sent[call_id] for call_id in met if sent[call_id].final in (None, "failed")]
    return [f"{one.id}: {met[one.id]}, {one.final} after {one.final_at - one.at:.2f} s" for one in lost]


def _learned(half: Half) -> int:
    """Servers that dropped idle connections in silence, and were asked on none in their last second."""
    every: list[FaultyServer] = half.stage.every  # type: ignore[attr-defined]
    end = max((one.final_at for one in half.stage.ledger.sent.values()), default=0.0)
    dropping = [server for server in every if server.drops_idle_s and server.swallowed]
    return len([1 for server in dropping if server.swallowed[-1][1] < end - 1.0])


def _figures(half: Half) -> dict[str, Any]:
    ledger = half.stage.ledger
    good, tries = ledger.in_time(AIM_S)
    return {**ledger.tally(), "first_try_in_time": round(good / max(1, tries), 4)}
