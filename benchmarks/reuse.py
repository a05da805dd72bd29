"""What a rest before the reuse of connections costs and prevents, in pure time.

    python -m benchmarks.reuse

One sidecar's requests come at random to its servers; a part of the answers is followed by a second one, 1
to 30 ms later, whatever the connection carries by then. The pool is kept as `net/upstream.py` keeps it.
"""

from __future__ import annotations

import heapq
import itertools
import math
from dataclasses import dataclass, field
from random import Random

from garnethaven.net.reuse import ReusePolicy

IDLE_TIMEOUT_S = 15.0
KEPT_S = 0.85 * IDLE_TIMEOUT_S
LATEST_COPY_S = 0.03
ANSWER_SPREAD = 0.5  # coefficient of variation


@dataclass(slots=True, frozen=True)
class Load:
    """One sidecar's requests a second, over so many servers, that take so long."""

    name: str
    requests_per_s: float
    servers: int
    answer_s: float
    seconds: float = 300.0


@dataclass(slots=True, eq=False)
class SimulatedConnection:
    """One connection; `copy_at` is when a second answer comes on it, `carries` whether a request is out."""

    idle_since: float = 0.0
    copy_at: float = math.inf
    answer_ends: float = 0.0
    carries: bool = False
    closed: bool = False


@dataclass(slots=True)
class Result:
    """What one play opened, kept open on the mean, and answered wrongly."""

    requests: int = 0
    opened: int = 0
    mean_open: float = 0.0
    wrong: int = 0


class FlatRest(ReusePolicy):
    """The freshest connection that has rested for a fixed time."""

    def __init__(self, rest_s: float) -> None:
        super().__init__(IDLE_TIMEOUT_S, rest_s)
        self.allowance = -math.inf

    def preferred_rest_s(self) -> float:
        return self.min_rest_s

    def record_unsolicited(self, now: float, after_s: float) -> None:
        pass


@dataclass(slots=True)
class Play:
    """One play of a load under a policy."""

    load: Load
    policy: ReusePolicy
    rng: Random
    copies: float  # the part of the answers that a second one follows
    result: Result = field(default_factory=Result)
    idle: list[list[SimulatedConnection]] = field(default_factory=list)
    events: list[tuple[float, int, SimulatedConnection, int, bool]] = field(default_factory=list)
    numbers: itertools.count[int] = field(default_factory=itertools.count)
    open: int = 0

    def run(self) -> Result:
        """Play it to its end."""
        self.idle = [[] for _ in range(self.load.servers)]
        now = 0.0
        while now < self.load.seconds:
            now += self.rng.expovariate(self.load.requests_per_s)
            self._advance(now)
            self._request(now, self.rng.randrange(self.load.servers))
            self.result.requests += 1
            self.result.mean_open += (self.open - self.result.mean_open) / self.result.requests
        return self.result

    def _advance(self, now: float) -> None:
        while self.events and self.events[0][0] <= now:
            at, _, connection, server, is_copy = heapq.heappop(self.events)
            if connection.closed:
                continue
            if is_copy:
                self._copy_comes(at, connection, server)
            elif connection.carries:
                self._answer_comes(at, connection, server)

    def _request(self, now: float, server: int) -> None:
        idle = self.idle[server]
        while idle and idle[0].idle_since <= now - KEPT_S:
            self._close(idle.pop(0))
        index = self.policy.pick(now, idle, lambda: True)
        if index is None:
            connection = SimulatedConnection()
            self.policy.opened()
            self.result.opened += 1
            self.open += 1
        else:
            connection = idle.pop(index)
        connection.carries = True
        deviation = math.sqrt(math.log(1.0 + ANSWER_SPREAD**2))
        took_s = self.rng.lognormvariate(math.log(self.load.answer_s) - deviation**2 / 2.0, deviation)
        connection.answer_ends = now + took_s
        self.policy.answered(took_s)
        self._at(now + took_s, connection, server, is_copy=False)

    def _answer_comes(self, now: float, connection: SimulatedConnection, server: int) -> None:
        connection.carries = False
        connection.idle_since = now
        self.idle[server].append(connection)
        if self.rng.random() < self.copies:
            self._at(now + self.rng.uniform(0.001, LATEST_COPY_S), connection, server, is_copy=True)

    def _copy_comes(self, now: float, connection: SimulatedConnection, server: int) -> None:
        self.policy.record_unsolicited(now, now - connection.idle_since)
        if connection.carries:
            self.result.wrong += 1
        else:
            self.idle[server].remove(connection)
        self._close(connection)

    def _close(self, connection: SimulatedConnection) -> None:
        connection.closed = True
        self.open -= 1

    def _at(self, at: float, connection: SimulatedConnection, server: int, is_copy: bool) -> None:
        heapq.heappush(self.events, (at, next(self.numbers), connection, server, is_copy))


def play(load: Load, policy: ReusePolicy, seed: int, copies: float = 0.0) -> Result:
    """One play; the same seed has the same requests."""
    return Play(load, policy, Random(seed), copies).run()


LOADS = (
    Load("sparse", 2.0, 100, 0.13, 3000.0),
    Load("sparse, quick answers", 2.0, 100, 0.003, 3000.0),
    Load("busy", 30.0, 10, 0.13),
    Load("dense", 300.0, 10, 0.13),
    Load("dense, quicker answers", 300.0, 10, 0.02),
    Load("dense, quick answers", 300.0, 10, 0.003),
)
FLAT_RESTS_S = (0.002, 0.005, 0.010, 0.020, 0.040)


def main() -> None:
    """Print the table."""
    for load in LOADS:
        print(f"{load.name}: {load.requests_per_s:g}/s, {load.servers} servers, {load.answer_s * 1000:g} ms")
        policies = {f"{rest_s * 1000:g} ms": rest_s for rest_s in FLAT_RESTS_S} | {"learned": None}
        base: Result | None = None
        for name, rest_s in policies.items():
            calm = _sum(load, rest_s, 0.0)
            faulty = _sum(load, rest_s, 0.02)
            base = base or calm
            opened = 100.0 * (calm.opened / base.opened - 1.0)
            kept = 100.0 * (calm.mean_open / base.mean_open - 1.0)
            print(
                f"  {name:8} opened {calm.opened:6d} ({opened:+6.1f} %)"
                f"  open {calm.mean_open:7.1f} ({kept:+6.1f} %)"
                f"  with copies: wrong {faulty.wrong:5d} of {faulty.requests}, opened {faulty.opened}"
            )


def _sum(load: Load, rest_s: float | None, copies: float, seeds: int = 3) -> Result:
    total = Result()
    for seed in range(1, seeds + 1):
        policy = ReusePolicy(IDLE_TIMEOUT_S) if rest_s is None else FlatRest(rest_s)
        result = play(load, policy, seed, copies)
        total.requests += result.requests
        total.opened += result.opened
        total.wrong += result.wrong
        total.mean_open += result.mean_open / seeds
    return total


if __name__ == "__main__":
    main()
