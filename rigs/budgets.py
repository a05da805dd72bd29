"""The rig `budgets`: a retry storm at 24 sidecars that transfer rights to one another over bad links.

Every retry that runs at a server is counted there by request id: marked retries of clients and retries that
the sidecars send. No time span may contain more of them than the rate and burst of the budget allow, on any
side of a network partition, over kills, stalls and restarts, and while half of the sidecars have read another
budget. The storm hits all sidecars first, then one, then another one; then two hard acts follow, chosen by
the seed. Servers that crash and return cold count the connections that the sidecars open to them.
"""

from __future__ import annotations

import asyncio
from bisect import bisect_left, bisect_right
from dataclasses import dataclass
from typing import Any

from rigs.fleet import Plan
from rigs.peers_fleet import PeerFleet
from rigs.report import Report, finish_run
from rigs.stage import now, select_acts, tracking_published_changes

PROGRAMS = 24
PER_S = 24.0  # retries of the whole fleet
SHARE = 0.02  # further retries for each first try
RIGHTS_LIFETIME_S = 2.0  # unspent rights expire after this time
DIALS_PER_S = 8.0  # new connections of the whole fleet to one cold server
FIRST_TRIES_PER_S = 120.0
STORM_PER_S = 240.0
RAMP_S = 6.0
SKEW_S = 0.25  # from a decision to its count at the server; one event loop simulates all peers
MAX_UNUSED_SHARE = 0.25  # of the rights, while all sidecars are in the storm
MIN_SPENT_SHARE = 0.75  # of the rate, over one second: the rights have followed the storm
MAX_TO_NEED_S = 4.0
CALM_S = 5.0  # sidecars earn rights only after one horizon


def table(per_s: float = PER_S) -> str:
    return f"""
[state]
keep = true
every_s = 0.5
[budgets]
retries_per_s = {per_s}
retries_share = {SHARE}
cold_dials_per_s = {DIALS_PER_S}
lasts_s = {RIGHTS_LIFETIME_S}
"""


@dataclass(frozen=True)
class Act:
    """A fault schedule and the place of the storm: `all`, `one`, `another`, or the first `side` of a cut."""

    name: str
    schedule: str
    seconds: float
    where: str = "all"
    halve_budget: bool = False  # half of the sidecars read half of the budget


MIN_FIRST_ACT_S = 6.0  # of the first act; rights saved up before it are spent by then
FIXED_ACTS = (Act("all", "", 7.0), Act("one", "", 7.0, "one"), Act("another", "", 6.0, "another"))
HARD_ACTS = (
    Act("halves", "part 12 of 24 for 6 s at 1", 9.0, "side"),
    Act("one way", "deafen 12 of 24 for 6 s at 1", 9.0, "side"),
    Act("islands", "part 1 of 24 for 6 s at 1\npart 1 of 24 for 6 s at 1.2", 9.0),
    Act("weather", "weather loss=0.2 delay=0.6 jitter=0.6 repeat=0.3 for 7 s at 0", 9.0, "one"),
    Act("stall", "stall 6 of 24 for 2.8 s at 2", 8.0),
    Act("killed", "kill 8 of 24 at 2\nlose-state all at 2.1\nstart all at 2.5", 9.0),
    Act("kept", "kill 8 of 24 at 2\nold-state all at 2.1\nstart all at 2.5", 9.0),
    Act("all restart", "kill 24 of 24 at 2\nstart all at 2.2", 10.0),
    Act("halved", "kill 12 of 24 at 1\nstart all at 4", 9.0),
    Act("reload", "", 9.0, halve_budget=True),
    Act("crash", "crash 2 of 6 for 1 s at 1", 9.0),
)
HARD_ACTS_PER_RUN = 2


def acts_of(seed: int, seconds: float | None) -> list[Act]:
    """Return the acts to play; with `seconds`, only those that fit."""
    hard = [
        HARD_ACTS[(seed * HARD_ACTS_PER_RUN + index) % len(HARD_ACTS)] for index in range(HARD_ACTS_PER_RUN)
    ]
    return select_acts([*FIXED_ACTS, *hard], CALM_S, seconds, MIN_FIRST_ACT_S)


@dataclass
class PlayedAct:
    act: Act
    since: float
    until: float
    storm: tuple[str, ...]


class Stage(PeerFleet):
    """The fleet, with counts of retries at servers and of connections on links."""

    def __init__(
        self, seed: int, programs: int = PROGRAMS, servers: int = 6, work_s: float = 0.01, told_size: int = 0
    ) -> None:
        plan = Plan(
            programs=programs,
            servers=servers,
            work_s=work_s,
            ramp_s=RAMP_S,
            operator="-",
            configured_fleet_size=told_size,
        )
        super().__init__(seed, plan, table())

    def repeats(self) -> list[tuple[float, str]]:
        """Return when each retry ran at a server and which sidecar sent it."""
        retries_found = []
        for sent in self.ledger.sent.values():
            runs = self.ledger.executions.get(sent.id, ())
            retries_found += [(run.at, sent.program) for run in (runs if not sent.first_try else runs[1:])]
        return sorted(retries_found)

    def first_tries(self) -> list[float]:
        return sorted(sent.at for sent in self.ledger.sent.values() if sent.first_try)

    def dials(self) -> dict[str, list[float]]:
        """Return by server the times of the connections opened to it while it was cold."""
        dials_by_server = {}
        for server in self.all_servers:
            lives = [
                life
                for life in self.ledger.server_lifetimes
                if life.server == server.name and life.ramp_s > 0.0
            ]
            times = [at for node in self.nodes.values() for at in node.links[str(server.port)].dial_times]
            cold = [
                at for at in times if any(0.0 <= at - life.cold_from < life.ramp_s - 0.5 for life in lives)
            ]
            if cold:
                dials_by_server[server.name] = sorted(cold)
        return dials_by_server


def overspent(spent: list[float], per_s: float, share: float, first_tries: list[float]) -> float:
    """Return the largest excess over rate and burst in any time span; negative if there is none."""
    worst = float("-inf")
    for begin, since in enumerate(spent):
        first_index = bisect_left(first_tries, since - RIGHTS_LIFETIME_S - SKEW_S)
        for end in range(begin, len(spent)):
            until = spent[end]
            earning_tries = bisect_right(first_tries, until + SKEW_S) - first_index
            allowed = per_s * (until - since + RIGHTS_LIFETIME_S + SKEW_S) + share * earning_tries
            worst = max(worst, end - begin + 1 - allowed)
    return worst


async def play(seed: int, seconds: float | None, as_json: bool, programs: int = PROGRAMS) -> bool:
    acts = acts_of(seed, seconds)
    stage = Stage(seed, programs)
    report = Report("budgets", seed)
    began_at = now()
    await stage.open()
    duration_s = CALM_S + sum(act.seconds for act in acts)
    played: list[PlayedAct] = []
    async with tracking_published_changes(stage, waits_s=10.0):
        names = list(stage.nodes)
        first_tries_load = asyncio.create_task(
            stage.ask(names, "first", FIRST_TRIES_PER_S / programs, duration_s)
        )
        await asyncio.sleep(CALM_S / 2)
        stage.back_up_state()
        await asyncio.sleep(CALM_S / 2)
        for act in acts:
            played.append(await play_act(stage, act))
        await first_tries_load
        await stage.settle()
    evaluate(report, stage, played)
    return await finish_run(report, stage, began_at, as_json)


async def play_act(stage: Stage, act: Act) -> PlayedAct:
    since = now()
    names = list(stage.nodes)
    schedule = stage.draw(act.schedule)
    cut_members = next((fault.targets for fault in schedule if fault.verb in ("part", "deafen")), ())
    members = {"one": names[:1], "another": names[-1:], "side": list(cut_members)}.get(act.where, names)
    if act.halve_budget:
        stage.retable(names[::2], table(PER_S / 2))
    storm = stage.ask(members, "storm", STORM_PER_S / len(members), act.seconds, marks_all_as_retries=True)
    await asyncio.gather(stage.play(schedule), storm)
    if act.halve_budget:
        stage.retable(names[::2], table())
    return PlayedAct(act, since, now(), tuple(members))


def to_need_s(spent: list[float], since: float, until: float) -> float:
    """Return the seconds until one second's spending reaches `MIN_SPENT_SHARE` of the rate.

    `since` is the time at which the storm moves; if the share is never reached, the whole span counts.
    """
    window_from = since
    while window_from + 1.0 <= until:
        if bisect_left(spent, window_from + 1.0) - bisect_left(spent, window_from) >= MIN_SPENT_SHARE * PER_S:
            return window_from - since
        window_from += 0.1
    return until - since


def evaluate(report: Report, stage: Stage, played: list[PlayedAct]) -> None:
    repeats, first_tries = stage.repeats(), stage.first_tries()
    spent = [at for at, _ in repeats]
    overspent_by = overspent(spent, PER_S, SHARE, first_tries)
    dials_over = {name: overspent(times, DIALS_PER_S, 0.0, []) for name, times in stage.dials().items()}
    measurements = {one.act.name: measure_act(one, repeats) for one in played}
    shifts = [measurements[name]["to_need_s"] for name in ("one", "another") if name in measurements]
    side_shares = [
        one["islands_served_share"] for one in measurements.values() if "islands_served_share" in one
    ]
    report.fields = {
        "processes": len(stage.nodes),
        "repeats": len(spent),
        "overspent": round(overspent_by, 1),
        "dials_overspent": round(max(dials_over.values(), default=0.0), 1),
        "unused_share": measurements["all"]["unused_share"],
        "to_need_s": max(shifts, default=0.0),
        "islands_served_share": min(side_shares, default=1.0),
        "minted_twice": int(overspent_by > 0.0),
        "acts": measurements,
    }
    if overspent_by > 0.0:
        report.violations.append(f"{overspent_by:.1f} retries more than the budget allows in some time span")
    report.violations += [
        f"{name} got {one:.1f} connections more than the cold-dial budget allows"
        for name, one in dials_over.items()
        if one > 0.0
    ]
    if measurements["all"]["unused_share"] > MAX_UNUSED_SHARE:
        report.violations.append(
            f"{measurements['all']['unused_share']:g} of the rights were unused while retries were refused"
        )
    if shifts and max(shifts) > MAX_TO_NEED_S:
        report.violations.append(
            f"rights followed the storm after {max(shifts):g} s, limit {MAX_TO_NEED_S:g} s"
        )


def measure_act(played: PlayedAct, repeats: list[tuple[float, str]]) -> dict[str, Any]:
    spent = [at for at, via in repeats if via in played.storm]
    spent_late = bisect_left(spent, played.until) - bisect_left(spent, played.until - 3.0)
    earned = (PER_S + SHARE * FIRST_TRIES_PER_S) * 3.0
    measurements: dict[str, Any] = {
        "spent": bisect_left(spent, played.until) - bisect_left(spent, played.since),
        "unused_share": round(max(0.0, 1.0 - spent_late / earned), 3),
    }
    if played.act.where in ("one", "another"):
        measurements["to_need_s"] = round(to_need_s(spent, played.since, played.until), 1)
    if played.act.where == "side":
        # The cut lasts from 1 s to 7 s; rights earned before it are spent by 3 s.
        since, until = (played.since + 3.0, played.since + 7.0)
        spent_in_part = bisect_left(spent, until) - bisect_left(spent, since)
        earned_in_part = (until - since) * (PER_S + SHARE * FIRST_TRIES_PER_S) * len(played.storm) / PROGRAMS
        measurements["islands_served_share"] = round(spent_in_part / earned_in_part, 3)
    return measurements
