"""The rig `tenants`: one tenant sends many times its allowance to sidecars that share their counts.

Sixteen sidecars get a low load at first, then a burst of twenty times the allowance at all of them. In the
next act the links also lose, delay, duplicate and reorder datagrams; then two hard acts follow, chosen by the
seed. Accepted requests are counted at the servers and compared with the bound of `tenants/bound.py` for each
act, independently of what the sidecars report.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

from garnethaven.tenants.bound import FleetParameters, max_excess, max_shortfall
from rigs.fleet import Plan
from rigs.members import worst_over, worst_under
from rigs.peers_fleet import PeerFleet
from rigs.report import Report, finish_run
from rigs.stage import now, select_acts, tracking_published_changes

PROGRAMS = 16
PER_S = 20.0
BURST = 32.0
BURST_FACTOR = 20.0  # load of the burst, in multiples of the allowance
CALM_S = 4.0
STORM_S = 8.0
MIN_FIRST_ACT_S = 5.0  # of the first act, during which one sidecar joins
SKEW_REQUESTS = 3.0  # requests that the event loop of all simulated peers may shift across a span's ends
OTHERS_PER_S = 48.0  # of the tenant that stays within its allowance, over all sidecars
# Share of the counts that killed sidecars had not yet sent to a peer (within 0.2 s, or a horizon).
MAX_LOST_COUNT_SHARE = 0.05
MAX_BOUND_SLACK = 4.0  # the storm has to reach the bound divided by this
TABLES = f"""
[state]
keep = true
every_s = 0.5
[tenants]
others_per_s = 4
others_burst = 4
slots = 64
[[tenants.allowances]]
name = "big"
per_s = {PER_S}
burst = {BURST}
[[tenants.allowances]]
name = "calm"
per_s = {2.5 * OTHERS_PER_S}
burst = {2 * OTHERS_PER_S}
"""


@dataclass(frozen=True)
class Act:
    """A fault schedule, its duration, the place of the burst, and the parameters of the act's bound.

    `where` is "all" sidecars, those of the "fault", "moving" between sidecars, or "names" (under invented
    names).
    """

    name: str
    schedule: str
    seconds: float
    where: str = "all"
    cut: float = 0.0
    cut_s: float = 0.0
    beginners: int = 0
    changes: int = 1


STORM = Act("storm", "", STORM_S)
BAD_LINKS = Act(
    "weather", "weather loss=0.1 delay=1 jitter=0.5 repeat=0.1 for 6 s at 0", 6.0, cut=15 / 16, cut_s=6.0
)
HARD_ACTS = (
    Act("halves", "part 8 of 16 for 6 s at 1", 10.0, cut=0.5, cut_s=6.0),
    Act("one way", "deafen 8 of 16 for 6 s at 1", 10.0, cut=0.5, cut_s=6.0),
    Act("deaf", "deafen 1 of 16 for 8 s at 0", 10.0, "fault", cut=15 / 16, cut_s=8.0, changes=2),
    Act("stall", "stall 4 of 16 for 3 s at 2", 8.0, cut=0.25, cut_s=3.0),
    Act("killed", "kill 4 of 16 at 2\nlose-state all at 2.1\nstart all at 2.5", 9.0, cut=0.25, cut_s=1.0),
    Act("kept", "kill 4 of 16 at 2\nstart all at 2.5", 9.0, cut=0.25, cut_s=1.0),
    Act("all", "kill 16 of 16 at 2\nlose-state all at 2.1\nstart all at 2.3", 10.0, cut=15 / 16, cut_s=2.0),
    Act("ended", "end 4 of 16 at 2", 9.0, cut=0.25, cut_s=1.0, beginners=4),
    Act("moving", "", 9.0, "moving", changes=4),
    Act("names", "", 8.0, "names"),
    Act("islands", "part 1 of 16 for 6 s at 1\npart 4 of 16 for 6 s at 1.5", 11.0, cut=0.5, cut_s=6.5),
)
HARD_ACTS_PER_RUN = 2
MOVE_S = 0.2
INVENTED_NAMES = 10_000
JOINING_PROGRAM = f"n{PROGRAMS - 1}"


def acts_of(seed: int, seconds: float | None) -> list[Act]:
    """Return the acts to play; with `seconds`, only those that fit."""
    hard = [
        HARD_ACTS[(seed * HARD_ACTS_PER_RUN + index) % len(HARD_ACTS)] for index in range(HARD_ACTS_PER_RUN)
    ]
    return select_acts([STORM, BAD_LINKS, *hard], CALM_S, seconds, MIN_FIRST_ACT_S)


class Stage(PeerFleet):
    """The fleet, the load of the burst and the measurements."""

    def __init__(self, seed: int, programs: int = PROGRAMS) -> None:
        plan = Plan(programs=programs, late_starters=1, servers=6, work_s=0.01, operator=TABLES)
        super().__init__(seed, plan, TABLES, "forget_s = 60")
        self.min_heard_share = 1.0
        self.false_alarms = 0
        self.join_time_s = -1.0

    def running(self) -> list[str]:
        return [name for name, node in self.nodes.items() if not node.down]

    async def run_burst(self, act: Act, members: list[str]) -> None:
        if act.where == "moving":
            turns = int(act.seconds / MOVE_S)
            order = [self.rng.choice(members) for _ in range(turns)]
            for name in order:
                await self.ask([name], "big", BURST_FACTOR * PER_S, MOVE_S)
            return
        rate = BURST_FACTOR * PER_S / len(members)
        if act.where == "names":
            await self.ask(members, "names", rate, act.seconds, random_tenants=INVENTED_NAMES)
        else:
            await self.ask(members, "big", rate, act.seconds)

    async def sample_heard_share(self) -> None:
        """Sample every 0.5 s the share of members that each sidecar hears, until cancelled."""
        while True:
            for name in self.running():
                peers = (await self.view(name)).get("peers", {})
                if peers.get("members"):
                    self.min_heard_share = min(self.min_heard_share, peers["heard"] / peers["members"])
            await asyncio.sleep(0.5)

    async def measure_join(self) -> None:
        """Measure how long the sidecar that joins during the burst takes to hear all members."""
        began_at = now()
        while now() < began_at + 15.0:
            peers = (await self.view(JOINING_PROGRAM)).get("peers", {})
            if peers and peers["heard"] == peers["members"]:
                self.join_time_s = now() - began_at
                return
            await asyncio.sleep(0.05)

    def accepted_at(self, tenant: str, since: float, until: float) -> list[float]:
        """Return when the tenant's requests that were sent in a span ran at a server."""
        sent = [one for one in self.ledger.sent.values() if one.id.startswith(f"{tenant}-")]
        runs = self.ledger.executions
        return [runs[one.id][0].at for one in sent if since <= one.at < until and one.id in runs]

    def sent_at(self, tenant: str, since: float, until: float) -> list[float]:
        sent = [one for one in self.ledger.sent.values() if one.id.startswith(f"{tenant}-")]
        return [one.at for one in sent if since <= one.at < until and (one.final or one.abandoned)]


@dataclass
class PlayedAct:
    act: Act
    since: float
    until: float
    figures: dict[str, Any]


def bound_parameters(act: Act, programs: int) -> FleetParameters:
    return FleetParameters(
        programs, PER_S, BURST, cut=act.cut, cut_s=act.cut_s, beginners=act.beginners, changes=act.changes
    )


def measure_act(stage: Stage, act: Act, since: float, until: float) -> dict[str, Any]:
    """Return the measurements of an act and its bounds.

    `worst_under` means something only in acts without kills: requests that wait in a killed sidecar are lost.
    """
    estate = bound_parameters(act, len(stage.nodes))
    accepted, sent = stage.accepted_at("big", since, until), stage.sent_at("big", since, until)
    return {
        "bound_over": round(max_excess(estate) + SKEW_REQUESTS, 1),
        "worst_over": round(worst_over(accepted, PER_S), 1),
        "bound_under": round(max_shortfall(estate) + SKEW_REQUESTS, 1),
        "worst_under": round(worst_under(accepted, sent, PER_S), 1),
        "asked": len(sent),
        "taken": len(accepted),
    }


async def play(seed: int, seconds: float | None, as_json: bool, programs: int = PROGRAMS) -> bool:
    acts = acts_of(seed, seconds)
    stage = Stage(seed, programs)
    report = Report("tenants", seed)
    began_at = now()
    await stage.open()
    duration_s = CALM_S + sum(act.seconds for act in acts)
    played: list[PlayedAct] = []
    async with tracking_published_changes(stage, waits_s=10.0):
        load_began = now()
        sampling = asyncio.create_task(stage.sample_heard_share())
        calm = asyncio.create_task(stage.ask(stage.running(), "calm", OTHERS_PER_S / programs, duration_s))
        await stage.ask(stage.running(), "big", 0.25 * PER_S / programs, CALM_S)
        for number, act in enumerate(acts):
            since = now()
            schedule = stage.draw(act.schedule + (f"\nstart {JOINING_PROGRAM} at 2" if not number else ""))
            deafened = [fault.targets for fault in schedule if fault.verb == "deafen"]
            members = list(deafened[0]) if act.where == "fault" else stage.running()
            joining = asyncio.create_task(stage.measure_join()) if not number else None
            await asyncio.gather(stage.play(schedule), stage.run_burst(act, members))
            played.append(PlayedAct(act, since, now(), {}))
            if joining is not None:
                await joining
        await calm
        sampling.cancel()
        sent_s = now() - load_began
        await stage.settle()
        await check_counts(stage, report)
    for one in played:
        one.figures = measure_act(stage, one.act, one.since, one.until)
    evaluate(report, stage, played, sent_s)
    return await finish_run(report, stage, began_at, as_json)


async def check_counts(stage: Stage, report: Report) -> None:
    """Compare the shared counts with the requests sent once nothing is in flight; count wrong memberships."""
    await asyncio.sleep(bound_parameters(STORM, len(stage.nodes)).horizon_s)
    views = [await stage.view(name) for name in stage.running()]
    fleet = [one["tenants"]["tenants"].get("calm", {}).get("fleet_asked", 0) for one in views if one]
    sent = sum(one.id.startswith("calm-") and one.written for one in stage.ledger.sent.values())
    report.fields["shared_count"] = [min(fleet, default=0), max(fleet, default=0), sent]
    stage.false_alarms = sum(
        one["peers"]["members"] != len(stage.nodes) or one["peers"]["live"] != len(stage.nodes)
        for one in views
        if one
    )


def evaluate(report: Report, stage: Stage, played: list[PlayedAct], sent_s: float) -> None:
    figures = {one.act.name: one.figures for one in played}
    all_figures = [one.figures for one in played]
    over_all = worst_over(stage.accepted_at("big", 0.0, float("inf")), PER_S)
    calm = [one for one in stage.ledger.sent.values() if one.id.startswith("calm-")]
    big = [one for one in stage.ledger.sent.values() if one.id.startswith("big-")]
    violations = [
        f"{name}: {kind} {one[f'worst_{kind}']:g}, bound {one[f'bound_{kind}']:g}"
        for name, one in figures.items()
        for kind in ("over", "under")
        if one[f"worst_{kind}"] > one[f"bound_{kind}"]
    ]
    sent = [stage.bytes_sent(name) for name in stage.nodes]
    answered = [one for one in calm if one.final]
    report.fields = {
        "processes": len(stage.nodes),
        "bound_over": max(one["bound_over"] for one in all_figures),
        "worst_over": max(one["worst_over"] for one in all_figures),
        "worst_over_all": round(over_all, 1),
        "bound_under": max(one["bound_under"] for one in all_figures),
        "worst_under": max(one["worst_under"] for one in all_figures),
        "violations": len(violations),
        "heard_share_least": round(stage.min_heard_share, 3),
        "bytes_per_member_per_s": round(max(sent) / max(1.0, sent_s)),
        "join_periods": round(stage.join_time_s / bound_parameters(STORM, len(stage.nodes)).period_s, 1),
        "held_back_share": round(final_share(big, "refused"), 3),
        "others_served_share": round(final_share(answered, "served"), 3),
        "false_alarms": stage.false_alarms,
        "acts": figures,
        **report.fields,
    }
    report.violations += violations
    min_counted, max_counted, sent_count = report.fields["shared_count"]
    killed = [one.act.name for one in played if "kill" in one.act.schedule]
    max_lost = (
        1.0 if "all" in killed else MAX_LOST_COUNT_SHARE if killed else 0.0
    )  # all killed at once: no copy is left
    if max_counted > sent_count or min_counted < (1.0 - max_lost) * sent_count:
        report.violations.append(
            f"of {sent_count} requests of the calm tenant the sidecars count {min_counted} to {max_counted}"
        )
    storm = figures["storm"]
    if MAX_BOUND_SLACK * storm["worst_over"] < storm["bound_over"]:
        report.violations.append(
            f"the bound is too loose: the storm reaches {storm['worst_over']:g} of {storm['bound_over']:g}"
        )
    if stage.false_alarms:
        report.violations.append(f"{stage.false_alarms} sidecars do not list every member as live at the end")
    if stage.join_time_s < 0.0:
        report.violations.append("the sidecar that joined did not hear all other members")
    if report.fields["others_served_share"] < 0.97:
        report.violations.append(
            f"the served share of the calm tenant is {report.fields['others_served_share']:g}, below 0.97"
        )


def final_share(requests: list[Any], final: str) -> float:
    return sum(int(one.final == final) for one in requests) / max(1, len(requests))
