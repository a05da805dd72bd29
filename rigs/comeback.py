"""The rig `comeback`: most of 24 processes are killed at once under load, and come back.

Twelve servers, half of what they can do is asked for; a third of them is replaced while the programs are
down, one at an address that another had. Discovery works through four calls a second. Acts: most of the fleet
with its state lost, a lone restart, most of the fleet with its state kept while one server ails, and two of
the hard ones, in turn by the seed. Clients that were refused try again at once with an even seed, half of
them wait as advised with an odd one. The schedule is drawn from the seed and printed.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

from rigs.fleet import Fleet, Plan, overrun_s
from rigs.report import Report, finished
from rigs.schedule import SERVER_VERBS, Fault
from rigs.stage import keeping_book, now, recovered_after
from standins.platform import AIM_S

CAPACITY = 4.0
FULL_S = 2.0
READY_SHARE = 0.9
READY_S = 10.0  # for so many of the restarted
FULL_SHARE = 0.95
FIRST_SHARE = 0.65  # of first tries in the first second, or of what the servers could do there
EMPTY_FULL_S = 7.0  # who was told that nobody is there asks again, within discovery's capacity
AILS = 0.6  # share of the ailing server's answers that are errors
AIL_S = 4.0  # so long before the kill, and until all are back

RETURN = """
kill 20 of 24 at 0
replace 3 of 12 at 0.15
reuse 1 of 12 at 0.15
start all at 1
"""
LONE = """
kill 1 of 24 at 0
start all at 1
"""
LOSE = "lose-state all at 0.1\n"
ALL = """
kill 24 of 24 at 0
discovery down for 2.4 s at 0
start all at 1
discovery empty for 1 s at 2.5
discovery behind for 1 s at 3.6
"""
ROLLING = """
end 3 of 24 at 1.4
end 3 of 24 at 1.9
end 3 of 24 at 2.4
"""
AGAIN = "".join(f"kill 20 of 24 at {2 * turn}\nstart all at {2 * turn + 0.8}\n" for turn in range(5))


@dataclass(frozen=True)
class Scene:
    """What is played, and for how long from its beginning on."""

    name: str
    schedule: str
    seconds: float
    full_s: float = FULL_S  # promised


CALM_S = 4.0  # before the first
SCENES = (Scene("lost", LOSE + RETURN, 9.0), Scene("lone", LONE, 6.0), Scene("kept", RETURN, 7.0))
HARD = (
    Scene("old", "old-state all at 0.1\n" + RETURN, 7.0),
    Scene("another's", "swap-state all at 0.1\n" + RETURN, 7.0),
    Scene("spoilt", "spoil-state all at 0.1\n" + RETURN, 7.0),
    Scene("all", ALL, 12.0, EMPTY_FULL_S),
    Scene("again", AGAIN, 14.0),
    Scene("rolling", RETURN + ROLLING, 8.0),
    Scene("stall", "stall 12 of 24 for 3 s at 0\n", 8.0),
)
TURNS = 2  # of the hard ones in one play
SCENE_LEAST_S = 4.0
STATE = "[state]\nkeep = true\nevery_s = 0.5\n"


def scenes_of(seed: int, seconds: float | None) -> list[Scene]:
    """Those that are played; where `seconds` is given (at least 8), those that fit."""
    hard = [HARD[(seed * TURNS + turn) % len(HARD)] for turn in range(TURNS)]
    chosen: list[Scene] = []
    end = CALM_S
    for scene in (*SCENES, *hard):
        if seconds is not None and chosen and end + SCENE_LEAST_S > seconds:
            break
        chosen.append(scene)
        end += scene.seconds
    return chosen


@dataclass
class Act:
    """One return: from when to when, and its figures."""

    name: str
    killed_at: float
    ready_at: float
    until: float
    ailing: str = ""  # the server that answered with errors before and after

    def figures(self, fleet: Fleet) -> dict[str, Any]:
        ledger, ready = fleet.ledger, self.ready_at
        good, tries = ledger.in_time(AIM_S, ready, ready + 1.0)
        able = min(tries, fleet.server_capacity(ready, ready + 1.0))
        calls = [at for at in fleet.discovery.worked_times if self.killed_at <= at < self.until]
        return {
            "full_service_s": recovered_after(ledger, ready, AIM_S, self.until, FULL_SHARE),
            "first_second_share": round(good / max(1.0, able), 3),
            "first_second": f"{good} of {tries}, the servers could do {able:.0f}",
            "down_s": round(ready - self.killed_at, 2),
            "dials_server_peak_100ms": fleet.peak_dials(0.1, self.killed_at, self.until),
            "discovery_overrun_s": round(overrun_s(calls, CAPACITY), 2),
        } | (self.penalty(fleet) if self.ailing else {})

    def penalty(self, fleet: Fleet) -> dict[str, float]:
        before = self.ailing_share(fleet, self.killed_at - 1.5, self.killed_at)
        after = self.ailing_share(fleet, self.killed_at + 0.1, self.ready_at + 1.0)
        return {"ailing_before": before, "ailing_after": after}

    def ailing_share(self, fleet: Fleet, since: float, until: float) -> float:
        """What the ailing server got in a span, as a part of what is even."""
        runs = [run for some in fleet.ledger.ran.values() for run in some if since <= run.at < until]
        there = sum(run.server == self.ailing for run in runs)
        return round(there / max(1.0, len(runs) / len(fleet.servers)), 3)


async def play(seed: int, seconds: float | None, as_json: bool, plan: Plan | None = None) -> bool:
    """Play the scenes; where `seconds` are few, the later ones are left out."""
    scenes = scenes_of(seed, seconds)
    length = max(seconds or 0.0, CALM_S + SCENE_LEAST_S)
    if seconds is None:
        length = CALM_S + sum(scene.seconds for scene in scenes)
    waits = 0.5 * (seed % 2)
    plan = plan or Plan(capacity=CAPACITY, operator=STATE, honours=waits, retry_after=waits > 0.0)
    fleet = Fleet(seed, plan)
    report = Report("comeback", seed)
    began = now()
    await fleet.open()
    fleet.progress.say(f"{len(fleet.nodes)} programs are up after {now() - began:.1f} s")
    acts: list[Act] = []
    async with keeping_book(fleet, waits_s=10.0):
        sending = asyncio.create_task(fleet.send(length))
        at = now() + CALM_S
        await asyncio.sleep(CALM_S / 2)
        fleet.set_state_aside()
        for scene in scenes:
            schedule = fleet.draw(scene.schedule)
            ailing = await ail(fleet, schedule, at) if scene.name == "kept" else ""
            await asyncio.sleep(max(0.0, at - now()))
            if acts:
                acts[-1].until = now() - AIM_S
            acts.append(await act(fleet, scene.name, schedule))
            if ailing:
                acts[-1].ailing = ailing
                fleet.server_named(ailing).error_rate = 0.0
            at += scene.seconds
        await sending
        acts[-1].until = now() - AIM_S
        await fleet.settle()
    judge(report, fleet, acts)
    return await finished(report, fleet, began, as_json)


async def ail(fleet: Fleet, schedule: list[Fault], until: float) -> str:
    """So long before `until` a server that is not replaced begins to answer with errors; its name."""
    await asyncio.sleep(max(0.0, until - AIL_S - now()))
    goes = {name for fault in schedule if fault.verb in SERVER_VERBS for name in fault.who}
    server = next(one for one in fleet.servers if one.name not in goes)
    server.error_rate = AILS
    return server.name


async def act(fleet: Fleet, name: str, schedule: list[Fault]) -> Act:
    """Play one schedule."""
    began = now()
    await fleet.play(schedule)
    ready = now()  # the last program is, and the last fault has ended
    fleet.progress.say(f"{name}: all are there {ready - began:.2f} s after the first fault")
    return Act(name, began, ready, ready)


def judge(report: Report, fleet: Fleet, acts: list[Act]) -> None:
    figures = {one.name: one.figures(fleet) for one in acts}
    lost, returns = figures["lost"], [one for name, one in figures.items() if name != "lone"]
    report.fields = {
        "processes": len(fleet.nodes),
        "full_service_s": max(one["full_service_s"] for one in returns),
        "first_second_share": lost["first_second_share"],
        "dials_server_peak_100ms": max(one["dials_server_peak_100ms"] for one in returns),
        "discovery_overrun_s": max(one["discovery_overrun_s"] for one in returns),
        "acts": figures,
    }
    report.fields["ready_s"] = round(fleet.ready_within_s(READY_SHARE), 2)
    if report.fields["ready_s"] > READY_S:
        report.unkept.append(f"nine in ten are ready after {report.fields['ready_s']:g} s, not {READY_S:g} s")
    two_racks, excused = fleet.repeats_in_two_racks()
    report.fields |= {
        "stale_sends": len(fleet.ledger.late_sends),
        "repeats_in_two_racks": two_racks,
        "repeats_that_nobody_could_know": excused,
        "state_loads": fleet.count_log_lines("state: "),
        "state_rejected": fleet.count_log_lines("is not used", "is broken", "cannot be read"),
    }
    if two_racks:
        report.unkept.append(f"{two_racks} keys ran in two racks, and their sidecars could know")
    bounds = {scene.name: scene.full_s for scene in (*SCENES, *HARD)}
    for name, one in figures.items():
        took_s, most_s = one["full_service_s"], bounds[name]
        if took_s > most_s:
            report.unkept.append(f"{name}: full service after {took_s:g} s, not {most_s:g} s")
    if lost["first_second_share"] < FIRST_SHARE:
        report.unkept.append(f"{lost['first_second_share']:g} of the first second, not {FIRST_SHARE:g}")
    if "kept" in figures:
        report.fields["first_second_share_kept"] = figures["kept"]["first_second_share"]
        report.fields["penalty_kept"] = [figures["kept"][name] for name in ("ailing_before", "ailing_after")]
    if "lone" in figures:
        report.fields["full_service_calm_s"] = figures["lone"]["full_service_s"]
