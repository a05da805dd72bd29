"""The rig `soak`: drawn plays of one program under mixed trouble, ended by signals and an early kill.

`python -m rigs soak --seed N [--runs K]` plays the seeds N to N + K - 1, `JOBS` at a time. A play draws
deadlines, classes, trouble and signals from its seed and lasts `PLAY_S` and the planned end. The judge is the
ledger on the peers' sockets (soak_judge.py); clients send on open connections up to the kill.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from rigs.soak_callers import Callers
from rigs.soak_judge import Judge, Verdict, WatchedServer
from rigs.stage import Stage, keeping_book
from standins.discovery import Mood
from standins.platform import NS, Program, settings

PLAY_S = 6.0
JOBS = 3
SERVERS = 6
SOCKETS = 384
RATE = 60.0
KILL_AFTER_S = 0.7  # and the longest deadline: the earliest kill after the first signal to end
MAX_DEADLINE_S = 3.0
NEW_CONNECTIONS_S = 0.4  # after the first signal to end clients open no more
CROWD = 100  # connections that say nothing, more than there are places for with `CROWD_SOCKETS`
CROWD_SOCKETS = 192


@dataclass(frozen=True)
class Step:
    """One signal of a series, so many seconds after the one before."""

    number: signal.Signals
    after_s: float


SERIES: list[list[signal.Signals]] = [
    [signal.SIGTERM],
    [signal.SIGTERM, signal.SIGTERM],
    [signal.SIGINT, signal.SIGTERM],
    [signal.SIGTERM, signal.SIGHUP],
    [signal.SIGHUP, signal.SIGHUP, signal.SIGHUP, signal.SIGTERM],
    [signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGHUP],
]


@dataclass(frozen=True)
class Plan:
    """What a seed draws."""

    deadlines_s: dict[str, float]  # by class
    crowd: bool
    series: list[Step]
    faults: list[str]

    @classmethod
    def draw(cls, rng: random.Random) -> Plan:
        shortest = rng.choice([0.3, 0.5, 1.0, 2.0, 3.0])
        deadlines_s = {name: shortest * rng.uniform(1.0, 1.2) for name in ("safe", "keyed", "unsafe")}
        series = [Step(number, rng.uniform(0.001, 0.3)) for number in rng.choice(SERIES)]
        faults = rng.sample(sorted(FAULTS), k=3)
        return cls(deadlines_s, rng.random() < 0.25, series, faults)

    @property
    def longest_s(self) -> float:
        return max(self.deadlines_s.values())

    def settings(self) -> dict[str, Any]:
        facts = settings()
        (usual,) = facts["grades"]
        effects = {"safe": "retryable", "keyed": "dedup", "unsafe": "fragile"}
        facts["grades"] = [
            usual
            | {
                "name": name,
                "effect": effects[name],
                "deadlineNs": int(deadline_s * NS),
                "aimNs": int(deadline_s * NS / 3),
            }
            for name, deadline_s in self.deadlines_s.items()
        ]
        return facts


class Play:
    """One seed."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.rng = random.Random(seed)
        self.plan = Plan.draw(self.rng)
        sockets = CROWD_SOCKETS if self.plan.crowd else SOCKETS
        self.stage = Stage(seed, SERVERS, sockets, ramp_s=4.0, work_s=0.04)
        self.judge = Judge(self.stage.ledger)
        self.stage.servers = [WatchedServer.of(server, self.judge) for server in self.stage.servers]
        self.tasks: list[asyncio.Task[Any]] = []

    async def run(self) -> Verdict:
        lag = asyncio.create_task(self.judge.watch_lag())
        try:
            async with asyncio.timeout(60.0):
                return await self._run()
        finally:
            for task in (lag, *self.tasks):
                task.cancel()
            await self._close()

    async def _run(self) -> Verdict:
        stage, judge = self.stage, self.judge
        program = await stage.up(self.plan.settings())
        callers = Callers(program.port, judge, self.plan.deadlines_s, self.rng, RATE)
        async with keeping_book(stage):
            self._begin(callers.run())
            if self.plan.crowd:
                self._begin(stage.guests("crowd").say_nothing(CROWD, PLAY_S))
            await self._trouble()
            await self._end(program, callers)
            await self._second_life(program, callers)
        return judge.verdict()

    def _begin(self, work: Any) -> None:
        self.tasks.append(asyncio.create_task(work))

    async def _trouble(self) -> None:
        """The drawn faults, one after the other, with the last still on at the end."""
        for name in self.plan.faults:
            await asyncio.sleep(PLAY_S / 8)
            self._begin(FAULTS[name](self.stage))
            await asyncio.sleep(PLAY_S / 8 + self.rng.random())

    async def _end(self, program: Program, callers: Callers) -> None:
        """The series of signals; SIGKILL at the earliest moment after the first that ends it."""
        ends_at = 0.0
        for step in self.plan.series:
            await asyncio.sleep(step.after_s)
            if program.process is not None and program.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    program.signal(step.number)
            if step.number is not signal.SIGHUP and not ends_at:
                ends_at = time.monotonic()
                callers.dial_until = ends_at + NEW_CONNECTIONS_S
        kill_at = ends_at + min(self.plan.longest_s, MAX_DEADLINE_S) + KILL_AFTER_S
        assert program.process is not None
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(program.process.wait(), kill_at - time.monotonic())
        if program.process.returncode is None:
            self.judge.killed += 1
        await program.kill()
        self.judge.exit_codes.append(program.process.returncode)
        callers.ended()

    async def _second_life(self, program: Program, callers: Callers) -> None:
        """A start at once, under the clients that went on, until they have stopped."""
        began = time.monotonic()
        self.stage.discovery.begins_anew(self.stage.discovery.views[0])
        await program.start()
        self.judge.ready_s = time.monotonic() - began
        callers.dial_until = float("inf")
        await asyncio.sleep(1.0)
        callers.stop()
        await callers.settle()

    async def _close(self) -> None:
        program = self.stage.program
        if program is not None:
            await program.kill()
            program.cleanup()
        for server in self.stage.servers:
            await server.close()
        self.stage.discovery.close()


# Trouble


async def _hang(stage: Stage) -> None:
    """Two servers read nothing and say nothing until the play ends."""
    for server in stage.rng.sample(stage.servers, 2):
        server.silent = True


async def _crash(stage: Stage) -> None:
    """Two servers die at once and come back cold."""
    victims = [server for server in stage.servers if not server.silent][:2]
    await stage.outage(victims, 1.0)


async def _drain(stage: Stage) -> None:
    """A server drains, as discovery tells; it goes on answering what it has."""
    server = stage.rng.choice(stage.servers)
    server.draining = True
    stage.discovery.publish([server.member("DRAINING")])


async def _slow(stage: Stage) -> None:
    """Two servers are six times slower, and one of them fails every second request: retries begin late."""
    slow, failing = stage.rng.sample(stage.servers, 2)
    slow.slow = failing.slow = 6.0
    failing.error_rate = 0.5


async def _discovery_down(stage: Stage) -> None:
    """Discovery refuses everybody for 1.5 s; a server drains meanwhile."""
    await stage.discovery.become(Mood.DOWN)
    await asyncio.sleep(0.5)
    await _drain(stage)
    await asyncio.sleep(1.0)
    _known_from_now(stage)
    await stage.discovery.become(Mood.GOOD)


async def _discovery_turns_away(stage: Stage) -> None:
    """Discovery has too many callers for 2 s; a server drains meanwhile."""
    stage.discovery.capacity, stage.discovery.patience_s = 0.5, 0.3
    stage.discovery.free_at = time.monotonic() + 2.0
    stage.discovery.forget_watches()
    await _drain(stage)
    await asyncio.sleep(2.0)
    stage.discovery.capacity = 0.0
    _known_from_now(stage)


def _known_from_now(stage: Stage) -> None:
    """What discovery has can be reached from now on."""
    known = stage.discovery.known_at
    for name in known:
        known[name] = time.monotonic()


FAULTS: dict[str, Callable[[Stage], Awaitable[None]]] = {
    "hang": _hang,
    "crash": _crash,
    "drain": _drain,
    "slow": _slow,
    "discovery down": _discovery_down,
    "discovery turns away": _discovery_turns_away,
}


# Many seeds


async def plays(seeds: list[int], jobs: int = JOBS) -> dict[int, Verdict]:
    """The verdict of each seed."""
    room = asyncio.Semaphore(jobs)

    async def one(seed: int) -> tuple[int, Verdict]:
        async with room:
            verdict = await Play(seed).run()
            print(f"seed {seed}: {verdict}", file=sys.stderr, flush=True)
            return seed, verdict

    return dict(await asyncio.gather(*map(one, seeds)))


async def play(seed: int, seconds: float | None, as_json: bool, runs: int = 1) -> bool:
    """For `python -m rigs`; whether nothing was broken."""
    verdicts = await plays(list(range(seed, seed + runs)))
    broken = {number: verdict.faults for number, verdict in verdicts.items() if verdict.faults}
    if as_json:
        print(json.dumps({"runs": len(verdicts), "broken": broken}))
    else:
        print(f"{len(verdicts)} runs, {len(broken)} with a broken rule: {broken}")
    return not broken
