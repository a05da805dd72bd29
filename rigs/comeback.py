"""The rig `comeback`: most of 24 processes are killed at once under load and restart.

There are twelve servers at half of their capacity; a third of them is replaced while the programs are down,
one at an address that another server had. Discovery handles four calls per second. Scenes: most of the fleet
with its state lost, a single restart, most of the fleet with its state kept while one server returns errors,
and two of the hard scenes, chosen by the seed. Refused clients retry immediately with an even seed; with an
odd seed half of them obey Retry-After. The schedule is drawn from the seed and printed.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

from rigs.fleet import Fleet, Plan, overrun_s
from rigs.report import Report, finish_run
from rigs.schedule import SERVER_VERBS, Fault
from rigs.stage import now, recovered_after, tracking_published_changes
from standins.platform import TARGET_S

CAPACITY = 4.0
MAX_FULL_SERVICE_S = 2.0
READY_SHARE = 0.9
MAX_READY_S = 10.0  # for the share `READY_SHARE` of the starts
FULL_SHARE = 0.95
MIN_FIRST_SECOND_SHARE = 0.65  # of the first second's first tries, or of the servers' capacity if lower
MAX_FULL_SERVICE_EMPTY_S = 7.0  # programs that got an empty list call again, within discovery's capacity
ERROR_SHARE = 0.6  # share of errors in the answers of the failing server
FAILING_S = 4.0  # the server fails from this long before the kill until all programs are ready

KILL_AND_RESTART = """
kill 20 of 24 at 0
replace 3 of 12 at 0.15
reuse 1 of 12 at 0.15
start all at 1
"""
SINGLE = """
kill 1 of 24 at 0
start all at 1
"""
LOSE_STATE = "lose-state all at 0.1\n"
ALL_KILLED = """
kill 24 of 24 at 0
discovery down for 2.4 s at 0
start all at 1
discovery empty for 1 s at 2.5
discovery behind for 1 s at 3.6
"""
ROLLING_RESTARTS = """
end 3 of 24 at 1.4
end 3 of 24 at 1.9
end 3 of 24 at 2.4
"""
REPEATED = "".join(f"kill 20 of 24 at {2 * index}\nstart all at {2 * index + 0.8}\n" for index in range(5))


@dataclass(frozen=True)
class Scene:
    """A fault schedule and the seconds from its start to the next scene."""

    name: str
    schedule: str
    seconds: float
    max_full_service_s: float = MAX_FULL_SERVICE_S  # required time to full service


CALM_S = 4.0  # before the first scene
SCENES = (
    Scene("lost", LOSE_STATE + KILL_AND_RESTART, 9.0),
    Scene("lone", SINGLE, 6.0),
    Scene("kept", KILL_AND_RESTART, 7.0),
)
HARD_SCENES = (
    Scene("old", "old-state all at 0.1\n" + KILL_AND_RESTART, 7.0),
    Scene("another's", "swap-state all at 0.1\n" + KILL_AND_RESTART, 7.0),
    Scene("spoilt", "spoil-state all at 0.1\n" + KILL_AND_RESTART, 7.0),
    Scene("all", ALL_KILLED, 12.0, MAX_FULL_SERVICE_EMPTY_S),
    Scene("again", REPEATED, 14.0),
    Scene("rolling", KILL_AND_RESTART + ROLLING_RESTARTS, 8.0),
    Scene("stall", "stall 12 of 24 for 3 s at 0\n", 8.0),
)
HARD_SCENES_PER_RUN = 2
MIN_SCENE_S = 4.0
STATE = "[state]\nkeep = true\nevery_s = 0.5\n"


def scenes_of(seed: int, seconds: float | None) -> list[Scene]:
    """The scenes of a run; where `seconds` is given (at least 8), those that fit."""
    hard = [
        HARD_SCENES[(seed * HARD_SCENES_PER_RUN + index) % len(HARD_SCENES)]
        for index in range(HARD_SCENES_PER_RUN)
    ]
    chosen: list[Scene] = []
    end = CALM_S
    for scene in (*SCENES, *hard):
        if seconds is not None and chosen and end + MIN_SCENE_S > seconds:
            break
        chosen.append(scene)
        end += scene.seconds
    return chosen


@dataclass
class Act:
    """The times of one recovery, from which its measurements follow."""

    name: str
    killed_at: float
    ready_at: float
    until: float
    failing: str = ""  # name of the server that returned errors before the kill and until recovery

    def figures(self, fleet: Fleet) -> dict[str, Any]:
        ledger, ready = fleet.ledger, self.ready_at
        in_time, tries = ledger.in_time(TARGET_S, ready, ready + 1.0)
        feasible = min(tries, fleet.server_capacity(ready, ready + 1.0))
        calls = [at for at in fleet.discovery.capacity_call_times if self.killed_at <= at < self.until]
        return {
            "full_service_s": recovered_after(ledger, ready, TARGET_S, self.until, FULL_SHARE),
            "first_second_share": round(in_time / max(1.0, feasible), 3),
            "first_second": f"{in_time} of {tries}, server capacity {feasible:.0f}",
            "down_s": round(ready - self.killed_at, 2),
            "dials_server_peak_100ms": fleet.peak_dials(0.1, self.killed_at, self.until),
            "discovery_overrun_s": round(overrun_s(calls, CAPACITY), 2),
        } | (self.failing_shares(fleet) if self.failing else {})

    def failing_shares(self, fleet: Fleet) -> dict[str, float]:
        before = self.failing_share(fleet, self.killed_at - 1.5, self.killed_at)
        after = self.failing_share(fleet, self.killed_at + 0.1, self.ready_at + 1.0)
        return {"ailing_before": before, "ailing_after": after}

    def failing_share(self, fleet: Fleet, since: float, until: float) -> float:
        """Requests of the failing server between two times, relative to an even share."""
        runs = [
            run
            for attempts in fleet.ledger.executions.values()
            for run in attempts
            if since <= run.at < until
        ]
        at_failing = sum(run.server == self.failing for run in runs)
        return round(at_failing / max(1.0, len(runs) / len(fleet.servers)), 3)


async def play(seed: int, seconds: float | None, as_json: bool, plan: Plan | None = None) -> bool:
    """Run the scenes; later ones are left out where they don't fit into `seconds`."""
    scenes = scenes_of(seed, seconds)
    length = max(seconds or 0.0, CALM_S + MIN_SCENE_S)
    if seconds is None:
        length = CALM_S + sum(scene.seconds for scene in scenes)
    obeying_share = 0.5 * (seed % 2)
    plan = plan or Plan(
        capacity=CAPACITY, operator=STATE, honours=obeying_share, retry_after=obeying_share > 0.0
    )
    fleet = Fleet(seed, plan)
    report = Report("comeback", seed)
    started_at = now()
    await fleet.open()
    fleet.progress.log(f"{len(fleet.nodes)} programs are up after {now() - started_at:.1f} s")
    acts: list[Act] = []
    async with tracking_published_changes(fleet, waits_s=10.0):
        send_task = asyncio.create_task(fleet.send(length))
        at = now() + CALM_S
        await asyncio.sleep(CALM_S / 2)
        fleet.back_up_state()
        for scene in scenes:
            schedule = fleet.draw(scene.schedule)
            failing = await start_errors(fleet, schedule, at) if scene.name == "kept" else ""
            await asyncio.sleep(max(0.0, at - now()))
            if acts:
                acts[-1].until = now() - TARGET_S
            acts.append(await run_scene(fleet, scene.name, schedule))
            if failing:
                acts[-1].failing = failing
                fleet.server_named(failing).error_rate = 0.0
            at += scene.seconds
        await send_task
        acts[-1].until = now() - TARGET_S
        await fleet.settle()
    judge(report, fleet, acts)
    return await finish_run(report, fleet, started_at, as_json)


async def start_errors(fleet: Fleet, schedule: list[Fault], until: float) -> str:
    """`FAILING_S` before `until`, make a server that is not replaced return errors; returns its name."""
    await asyncio.sleep(max(0.0, until - FAILING_S - now()))
    replaced = {name for fault in schedule if fault.verb in SERVER_VERBS for name in fault.targets}
    server = next(one for one in fleet.servers if one.name not in replaced)
    server.error_rate = ERROR_SHARE
    return server.name


async def run_scene(fleet: Fleet, name: str, schedule: list[Fault]) -> Act:
    """Run one schedule and record when it began and ended."""
    started_at = now()
    await fleet.play(schedule)
    ready = now()  # the last program is ready and the last fault has ended
    fleet.progress.log(f"{name}: all programs are ready {ready - started_at:.2f} s after the first fault")
    return Act(name, started_at, ready, ready)


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
    if report.fields["ready_s"] > MAX_READY_S:
        report.violations.append(
            f"90 % of the starts were ready after {report.fields['ready_s']:g} s, not {MAX_READY_S:g} s"
        )
    two_racks, excused = fleet.repeats_in_two_racks()
    report.fields |= {
        "stale_sends": len(fleet.ledger.late_arrivals),
        "repeats_in_two_racks": two_racks,
        "repeats_that_nobody_could_know": excused,
        "state_loads": fleet.count_log_lines("state: "),
        "state_rejected": fleet.count_log_lines("is not used", "is broken", "cannot be read"),
    }
    if two_racks:
        report.violations.append(f"{two_racks} keys ran in two racks, avoidable for their sidecars")
    bounds = {scene.name: scene.max_full_service_s for scene in (*SCENES, *HARD_SCENES)}
    for name, one in figures.items():
        took_s, max_s = one["full_service_s"], bounds[name]
        if took_s > max_s:
            report.violations.append(f"{name}: full service after {took_s:g} s, not {max_s:g} s")
    if lost["first_second_share"] < MIN_FIRST_SECOND_SHARE:
        report.violations.append(
            f"{lost['first_second_share']:g} of the first second served, not {MIN_FIRST_SECOND_SHARE:g}"
        )
    if "kept" in figures:
        report.fields["first_second_share_kept"] = figures["kept"]["first_second_share"]
        report.fields["penalty_kept"] = [figures["kept"][name] for name in ("ailing_before", "ailing_after")]
    if "lone" in figures:
        report.fields["full_service_calm_s"] = figures["lone"]["full_service_s"]
