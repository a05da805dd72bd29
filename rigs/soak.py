"""The rig `soak`: randomized runs of one program under mixed faults, ended by signals and an early SIGKILL.

`python -m rigs soak --seed N [--runs K]` runs the seeds N to N + K - 1, `JOBS` at a time. A run draws
deadlines, classes, faults and signals from its seed and lasts `RUN_S` plus the planned shutdown. The checks
use the ledger on the peers' sockets (soak_judge.py); clients send on open connections until the SIGKILL.
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

from rigs.soak_callers import LoadGenerator
from rigs.soak_judge import Judge, Verdict, WatchedServer
from rigs.stage import Stage, tracking_published_changes
from standins.discovery import DiscoveryFault
from standins.platform import NS, Program, settings

RUN_S = 6.0
JOBS = 3
SERVERS = 6
SOCKETS = 384
RATE = 60.0
KILL_AFTER_S = 0.7  # the earliest SIGKILL is this plus the longest deadline after the first SIGTERM or SIGINT
MAX_DEADLINE_S = 3.0
NEW_CONNECTION_GRACE_S = 0.4  # clients open no connections later than this after the first SIGTERM or SIGINT
CROWD_CONNECTIONS = 100  # silent connections; more than the program admits with `CROWD_SOCKETS` descriptors
CROWD_SOCKETS = 192


@dataclass(frozen=True)
class Step:
    """One signal of a series, sent `after_s` seconds after the previous one."""

    number: signal.Signals
    after_s: float


SIGNAL_SERIES: list[list[signal.Signals]] = [
    [signal.SIGTERM],
    [signal.SIGTERM, signal.SIGTERM],
    [signal.SIGINT, signal.SIGTERM],
    [signal.SIGTERM, signal.SIGHUP],
    [signal.SIGHUP, signal.SIGHUP, signal.SIGHUP, signal.SIGTERM],
    [signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGHUP],
]


@dataclass(frozen=True)
class Plan:
    """The parameters that a run draws from its seed."""

    deadlines_s: dict[str, float]  # by class name
    crowd: bool
    series: list[Step]
    faults: list[str]

    @classmethod
    def draw(cls, rng: random.Random) -> Plan:
        shortest = rng.choice([0.3, 0.5, 1.0, 2.0, 3.0])
        deadlines_s = {name: shortest * rng.uniform(1.0, 1.2) for name in ("safe", "keyed", "unsafe")}
        series = [Step(number, rng.uniform(0.001, 0.3)) for number in rng.choice(SIGNAL_SERIES)]
        faults = rng.sample(sorted(FAULTS), k=3)
        return cls(deadlines_s, rng.random() < 0.25, series, faults)

    @property
    def max_deadline_s(self) -> float:
        return max(self.deadlines_s.values())

    def settings(self) -> dict[str, Any]:
        document = settings()
        (default_class,) = document["grades"]
        idempotency = {"safe": "retryable", "keyed": "dedup", "unsafe": "fragile"}
        document["grades"] = [
            default_class
            | {
                "name": name,
                "effect": idempotency[name],
                "deadlineNs": int(deadline_s * NS),
                "aimNs": int(deadline_s * NS / 3),
            }
            for name, deadline_s in self.deadlines_s.items()
        ]
        return document


class SoakRun:
    """One run of the soak, determined by its seed."""

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
        lag_task = asyncio.create_task(self.judge.watch_lag())
        try:
            async with asyncio.timeout(60.0):
                return await self._run()
        finally:
            for task in (lag_task, *self.tasks):
                task.cancel()
            await self._close()

    async def _run(self) -> Verdict:
        stage, judge = self.stage, self.judge
        program = await stage.up(self.plan.settings())
        load = LoadGenerator(program.port, judge, self.plan.deadlines_s, self.rng, RATE)
        async with tracking_published_changes(stage):
            self._start_task(load.run())
            if self.plan.crowd:
                self._start_task(stage.guests("crowd").hold_silent_connections(CROWD_CONNECTIONS, RUN_S))
            await self._inject_faults()
            await self._shut_down(program, load)
            await self._restart(program, load)
        return judge.verdict()

    def _start_task(self, coroutine: Any) -> None:
        self.tasks.append(asyncio.create_task(coroutine))

    async def _inject_faults(self) -> None:
        """Start the drawn faults one after the other; the last is still active at shutdown."""
        for name in self.plan.faults:
            await asyncio.sleep(RUN_S / 8)
            self._start_task(FAULTS[name](self.stage))
            await asyncio.sleep(RUN_S / 8 + self.rng.random())

    async def _shut_down(self, program: Program, load: LoadGenerator) -> None:
        """Send the series of signals; SIGKILL the program if it still runs after the longest deadline."""
        shutdown_at = 0.0
        for step in self.plan.series:
            await asyncio.sleep(step.after_s)
            if program.process is not None and program.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    program.signal(step.number)
            if step.number is not signal.SIGHUP and not shutdown_at:
                shutdown_at = time.monotonic()
                load.connect_until = shutdown_at + NEW_CONNECTION_GRACE_S
        kill_at = shutdown_at + min(self.plan.max_deadline_s, MAX_DEADLINE_S) + KILL_AFTER_S
        assert program.process is not None
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(program.process.wait(), kill_at - time.monotonic())
        if program.process.returncode is None:
            self.judge.forced_kills += 1
        await program.kill()
        self.judge.exit_codes.append(program.process.returncode)
        load.program_exited()

    async def _restart(self, program: Program, load: LoadGenerator) -> None:
        """Restart at once while the clients continue, then stop the clients and wait for their requests."""
        started_at = time.monotonic()
        self.stage.discovery.program_restarted(self.stage.discovery.views[0])
        await program.start()
        self.judge.ready_s = time.monotonic() - started_at
        load.connect_until = float("inf")
        await asyncio.sleep(1.0)
        load.stop()
        await load.settle()

    async def _close(self) -> None:
        program = self.stage.program
        if program is not None:
            await program.kill()
            program.cleanup()
        for server in self.stage.servers:
            await server.close()
        self.stage.discovery.close()


# Faults


async def _hang(stage: Stage) -> None:
    """Two servers neither read nor write until the run ends."""
    for server in stage.rng.sample(stage.servers, 2):
        server.silent = True


async def _crash(stage: Stage) -> None:
    """Two servers crash at the same time and restart cold."""
    victims = [server for server in stage.servers if not server.silent][:2]
    await stage.outage(victims, 1.0)


async def _drain(stage: Stage) -> None:
    """A server drains, as discovery reports; it continues to answer the requests that it has."""
    server = stage.rng.choice(stage.servers)
    server.draining = True
    stage.discovery.publish([server.member("DRAINING")])


async def _slow(stage: Stage) -> None:
    """Two servers are six times slower, and one of them fails every second request, so retries start late."""
    slow, failing = stage.rng.sample(stage.servers, 2)
    slow.work_factor = failing.work_factor = 6.0
    failing.error_rate = 0.5


async def _discovery_down(stage: Stage) -> None:
    """Discovery refuses all connections for 1.5 s; a server drains meanwhile."""
    await stage.discovery.set_fault(DiscoveryFault.DOWN)
    await asyncio.sleep(0.5)
    await _drain(stage)
    await asyncio.sleep(1.0)
    _mark_known_now(stage)
    await stage.discovery.set_fault(DiscoveryFault.GOOD)


async def _discovery_turns_away(stage: Stage) -> None:
    """Discovery is overloaded for 2 s and rejects calls; a server drains meanwhile."""
    stage.discovery.capacity, stage.discovery.max_queue_wait_s = 0.5, 0.3
    stage.discovery.next_capacity_at = time.monotonic() + 2.0
    stage.discovery.forget_watches()
    await _drain(stage)
    await asyncio.sleep(2.0)
    stage.discovery.capacity = 0.0
    _mark_known_now(stage)


def _mark_known_now(stage: Stage) -> None:
    """Count the current list of discovery as available from now on, not from when it was published."""
    known_at = stage.discovery.known_at
    for name in known_at:
        known_at[name] = time.monotonic()


FAULTS: dict[str, Callable[[Stage], Awaitable[None]]] = {
    "hang": _hang,
    "crash": _crash,
    "drain": _drain,
    "slow": _slow,
    "discovery down": _discovery_down,
    "discovery turns away": _discovery_turns_away,
}


# Many seeds


async def run_seeds(seeds: list[int], jobs: int = JOBS) -> dict[int, Verdict]:
    """Run the seeds, at most `jobs` at a time; returns the verdict of each seed."""
    limiter = asyncio.Semaphore(jobs)

    async def run_seed(seed: int) -> tuple[int, Verdict]:
        async with limiter:
            verdict = await SoakRun(seed).run()
            print(f"seed {seed}: {verdict}", file=sys.stderr, flush=True)
            return seed, verdict

    return dict(await asyncio.gather(*map(run_seed, seeds)))


async def play(seed: int, seconds: float | None, as_json: bool, runs: int = 1) -> bool:
    """Entry point of `python -m rigs soak`; true where no run broke a rule."""
    verdicts = await run_seeds(list(range(seed, seed + runs)))
    broken = {number: verdict.faults for number, verdict in verdicts.items() if verdict.faults}
    if as_json:
        print(json.dumps({"runs": len(verdicts), "broken": broken}))
    else:
        print(f"{len(verdicts)} runs, {len(broken)} with broken rules: {broken}")
    return not broken
