"""The rig `tenants`: one tenant asks for many times its allowance, of programs that share counts.

Sixteen programs. First a calm, then a burst of twenty times the allowance at all of them; then lossy, late,
doubled and reordered datagrams under it, and two hard acts in turn by the seed. What was taken is counted
where it ran and compared with the bound of tenants/bound.py for each act, whatever the program says.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

from garnethaven.tenants.bound import FleetParameters, max_excess, max_shortfall
from rigs.fleet import Plan
from rigs.members import worst_over, worst_under
from rigs.peers_fleet import PeerFleet
from rigs.report import Report, finished
from rigs.stage import fitting, keeping_book, now

PROGRAMS = 16
PER_S = 20.0
BURST = 32.0
TIMES = 20.0  # the allowance, in the burst
CALM_S = 4.0
STORM_S = 8.0
LEAST_S = 5.0  # of it: one joins in it
SKEW = 3.0  # requests by which the stage's one loop may shift a span's ends
OTHERS_PER_S = 48.0  # of the tenant that keeps to its allowance, over all
COUNT_LOST = 0.05  # of the counts: what a killed program had not told, in a fifth of a second or a horizon
FACTOR = 4.0  # the worst comes within this of the bound
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
    """What is played, for how long; `where` the burst is, and what the bound is told of it."""

    name: str
    schedule: str
    seconds: float
    where: str = "all"
    cut: float = 0.0
    cut_s: float = 0.0
    beginners: int = 0
    changes: int = 1


STORM = Act("storm", "", STORM_S)
WEATHER = Act(
    "weather", "weather loss=0.1 delay=1 jitter=0.5 repeat=0.1 for 6 s at 0", 6.0, cut=15 / 16, cut_s=6.0
)
HARD = (
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
TURNS = 2
MOVE_S = 0.2
NAMES = 10_000
JOINS = f"n{PROGRAMS - 1}"


def acts_of(seed: int, seconds: float | None) -> list[Act]:
    """Those that are played; where `seconds` is given, those that fit."""
    hard = [HARD[(seed * TURNS + turn) % len(HARD)] for turn in range(TURNS)]
    return fitting([STORM, WEATHER, *hard], CALM_S, seconds, LEAST_S)


class Stage(PeerFleet):
    """The fleet with the burst and what is read off it."""

    def __init__(self, seed: int, programs: int = PROGRAMS) -> None:
        plan = Plan(programs=programs, later=1, servers=6, work_s=0.01, operator=TABLES)
        super().__init__(seed, plan, TABLES, "forget_s = 60")
        self.heard_least = 1.0
        self.false_alarms = 0
        self.join_s = -1.0

    def there(self) -> list[str]:
        return [name for name, node in self.nodes.items() if not node.down]

    async def burst(self, act: Act, who: list[str]) -> None:
        if act.where == "moving":
            turns = int(act.seconds / MOVE_S)
            order = [self.rng.choice(who) for _ in range(turns)]
            for name in order:
                await self.ask([name], "big", TIMES * PER_S, MOVE_S)
            return
        rate = TIMES * PER_S / len(who)
        if act.where == "names":
            await self.ask(who, "names", rate, act.seconds, invented=NAMES)
        else:
            await self.ask(who, "big", rate, act.seconds)

    async def look(self) -> None:
        """What the programs hear, all the time; cancelled at the end."""
        while True:
            for name in self.there():
                told = (await self.view(name)).get("peers", {})
                if told.get("members"):
                    self.heard_least = min(self.heard_least, told["heard"] / told["members"])
            await asyncio.sleep(0.5)

    async def joins(self) -> None:
        """How long the one that starts in the middle of the burst takes until it hears all."""
        began = now()
        while now() < began + 15.0:
            told = (await self.view(JOINS)).get("peers", {})
            if told and told["heard"] == told["members"]:
                self.join_s = now() - began
                return
            await asyncio.sleep(0.05)

    def taken(self, tenant: str, since: float, until: float) -> list[float]:
        """When this tenant's requests ran that were sent in a span."""
        sent = [one for one in self.ledger.sent.values() if one.id.startswith(f"{tenant}-")]
        runs = self.ledger.ran
        return [runs[one.id][0].at for one in sent if since <= one.at < until and one.id in runs]

    def asked(self, tenant: str, since: float, until: float) -> list[float]:
        sent = [one for one in self.ledger.sent.values() if one.id.startswith(f"{tenant}-")]
        return [one.at for one in sent if since <= one.at < until and (one.final or one.gone)]


@dataclass
class Played:
    act: Act
    since: float
    until: float
    figures: dict[str, Any]


def estate_of(act: Act, programs: int) -> FleetParameters:
    return FleetParameters(
        programs, PER_S, BURST, cut=act.cut, cut_s=act.cut_s, beginners=act.beginners, changes=act.changes
    )


def figures_of(stage: Stage, act: Act, since: float, until: float) -> dict[str, Any]:
    """An act against its bound. Held below is judged in acts that nobody is killed in: what waits there is
    gone with its program."""
    estate = estate_of(act, len(stage.nodes))
    taken, asked = stage.taken("big", since, until), stage.asked("big", since, until)
    return {
        "bound_over": round(max_excess(estate) + SKEW, 1),
        "worst_over": round(worst_over(taken, PER_S), 1),
        "bound_under": round(max_shortfall(estate) + SKEW, 1),
        "worst_under": round(worst_under(taken, asked, PER_S), 1),
        "asked": len(asked),
        "taken": len(taken),
    }


async def play(seed: int, seconds: float | None, as_json: bool, programs: int = PROGRAMS) -> bool:
    acts = acts_of(seed, seconds)
    stage = Stage(seed, programs)
    report = Report("tenants", seed)
    began = now()
    await stage.open()
    length = CALM_S + sum(act.seconds for act in acts)
    played: list[Played] = []
    async with keeping_book(stage, waits_s=10.0):
        first = now()
        looking = asyncio.create_task(stage.look())
        calm = asyncio.create_task(stage.ask(stage.there(), "calm", OTHERS_PER_S / programs, length))
        await stage.ask(stage.there(), "big", 0.25 * PER_S / programs, CALM_S)
        for number, act in enumerate(acts):
            since = now()
            schedule = stage.draw(act.schedule + (f"\nstart {JOINS} at 2" if not number else ""))
            who = [fault.who for fault in schedule if fault.verb == "deafen"]
            where = list(who[0]) if act.where == "fault" else stage.there()
            joining = asyncio.create_task(stage.joins()) if not number else None
            await asyncio.gather(stage.play(schedule), stage.burst(act, where))
            played.append(Played(act, since, now(), {}))
            if joining is not None:
                await joining
        await calm
        looking.cancel()
        sent_s = now() - first
        await stage.settle()
        await count(stage, report)
    for one in played:
        one.figures = figures_of(stage, one.act, one.since, one.until)
    judge(report, stage, played, sent_s)
    return await finished(report, stage, began, as_json)


async def count(stage: Stage, report: Report) -> None:
    """Shared counts against what was sent, once nothing is under way; and what each says of itself."""
    await asyncio.sleep(estate_of(STORM, len(stage.nodes)).horizon_s)
    told = [await stage.view(name) for name in stage.there()]
    fleet = [one["tenants"]["tenants"].get("calm", {}).get("fleet_asked", 0) for one in told if one]
    sent = sum(one.id.startswith("calm-") and one.written for one in stage.ledger.sent.values())
    report.fields["shared_count"] = [min(fleet, default=0), max(fleet, default=0), sent]
    stage.false_alarms = sum(
        one["peers"]["members"] != len(stage.nodes) or one["peers"]["live"] != len(stage.nodes)
        for one in told
        if one
    )


def judge(report: Report, stage: Stage, played: list[Played], sent_s: float) -> None:
    acts = {one.act.name: one.figures for one in played}
    bounded = [one.figures for one in played]
    over_all = worst_over(stage.taken("big", 0.0, float("inf")), PER_S)
    calm = [one for one in stage.ledger.sent.values() if one.id.startswith("calm-")]
    big = [one for one in stage.ledger.sent.values() if one.id.startswith("big-")]
    violations = [
        f"{name}: {kind} {one[f'worst_{kind}']:g}, bound {one[f'bound_{kind}']:g}"
        for name, one in acts.items()
        for kind in ("over", "under")
        if one[f"worst_{kind}"] > one[f"bound_{kind}"]
    ]
    sent = [stage.bytes_sent(name) for name in stage.nodes]
    answered = [one for one in calm if one.final]
    report.fields = {
        "processes": len(stage.nodes),
        "bound_over": max(one["bound_over"] for one in bounded),
        "worst_over": max(one["worst_over"] for one in bounded),
        "worst_over_all": round(over_all, 1),
        "bound_under": max(one["bound_under"] for one in bounded),
        "worst_under": max(one["worst_under"] for one in bounded),
        "violations": len(violations),
        "heard_share_least": round(stage.heard_least, 3),
        "bytes_per_member_per_s": round(max(sent) / max(1.0, sent_s)),
        "join_periods": round(stage.join_s / estate_of(STORM, len(stage.nodes)).period_s, 1),
        "held_back_share": round(share(big, "refused"), 3),
        "others_served_share": round(share(answered, "served"), 3),
        "false_alarms": stage.false_alarms,
        "acts": acts,
        **report.fields,
    }
    report.unkept += violations
    least, most, true = report.fields["shared_count"]
    killed = [one.act.name for one in played if "kill" in one.act.schedule]
    lost = 1.0 if "all" in killed else COUNT_LOST if killed else 0.0  # all that know of it at once: none does
    if most > true or least < (1.0 - lost) * true:
        report.unkept.append(f"of {true} requests of the calm tenant {least} to {most} are counted")
    storm = acts["storm"]
    if FACTOR * storm["worst_over"] < storm["bound_over"]:
        report.unkept.append(f"the bound is never near: {storm['worst_over']:g} of {storm['bound_over']:g}")
    if stage.false_alarms:
        report.unkept.append(f"{stage.false_alarms} programs do not count every live one at the end")
    if stage.join_s < 0.0:
        report.unkept.append("the one that joined did not hear all others")
    if report.fields["others_served_share"] < 0.97:
        report.unkept.append(
            f"the calm tenant was served {report.fields['others_served_share']:g} of its own"
        )


def share(some: list[Any], final: str) -> float:
    return sum(int(one.final == final) for one in some) / max(1, len(some))
