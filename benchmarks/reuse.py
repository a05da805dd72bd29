"""Benchmark, in virtual time, of the cost and effect of a rest before a connection is reused.

    python -m benchmarks.reuse

The requests of one sidecar arrive at random at its servers. A share of the answers is followed by an
unsolicited second answer 1 to 30 ms later, whether or not the connection carries another request by then. The
pool is managed as in `net/upstream.py`.
"""

from __future__ import annotations

import heapq
import itertools
import math
from dataclasses import dataclass, field
from random import Random

from garnethaven.net.reuse import ReusePolicy

IDLE_TIMEOUT_S = 15.0
MAX_IDLE_S = 0.85 * IDLE_TIMEOUT_S
MAX_COPY_DELAY_S = 0.03
ANSWER_SPREAD = 0.5  # coefficient of variation


@dataclass(slots=True, frozen=True)
class Load:
    """The load of one sidecar: its request rate, its number of servers and their mean answer time."""

    name: str
    requests_per_s: float
    servers: int
    answer_s: float
    seconds: float = 300.0


@dataclass(slots=True, eq=False)
class SimulatedConnection:
    """A connection; `in_flight` is set while it carries a request, `copy_at` is a second answer's time."""

    idle_since: float = 0.0
    copy_at: float = math.inf
    answer_at: float = 0.0
    in_flight: bool = False
    closed: bool = False


@dataclass(slots=True)
class Result:
    """Connections opened, mean number of open connections, and requests that got a wrong answer."""

    requests: int = 0
    opened: int = 0
    mean_open: float = 0.0
    wrong: int = 0


class FixedRest(ReusePolicy):
    """Reuse the most recently used connection that has rested for a fixed time."""

    def __init__(self, rest_s: float) -> None:
        super().__init__(IDLE_TIMEOUT_S, rest_s)
        self.allowance = -math.inf

    def preferred_rest_s(self) -> float:
        return self.min_rest_s

    def record_unsolicited(self, now: float, after_s: float) -> None:
        pass


@dataclass(slots=True)
class Simulation:
    """Simulation of a load under a reuse policy."""

    load: Load
    policy: ReusePolicy
    rng: Random
    copy_share: float  # share of answers that are followed by a second one
    result: Result = field(default_factory=Result)
    idle: list[list[SimulatedConnection]] = field(default_factory=list)
    events: list[tuple[float, int, SimulatedConnection, int, bool]] = field(default_factory=list)
    event_numbers: itertools.count[int] = field(default_factory=itertools.count)
    open_connections: int = 0

    def run(self) -> Result:
        """Run the simulation to its end."""
        self.idle = [[] for _ in range(self.load.servers)]
        now = 0.0
        while now < self.load.seconds:
            now += self.rng.expovariate(self.load.requests_per_s)
            self._advance(now)
            self._request(now, self.rng.randrange(self.load.servers))
            self.result.requests += 1
            self.result.mean_open += (self.open_connections - self.result.mean_open) / self.result.requests
        return self.result

    def _advance(self, now: float) -> None:
        while self.events and self.events[0][0] <= now:
            at, _, connection, server, is_copy = heapq.heappop(self.events)
            if connection.closed:
                continue
            if is_copy:
                self._receive_copy(at, connection, server)
            elif connection.in_flight:
                self._receive_answer(at, connection, server)

    def _request(self, now: float, server: int) -> None:
        idle = self.idle[server]
        while idle and idle[0].idle_since <= now - MAX_IDLE_S:
            self._close(idle.pop(0))
        index = self.policy.pick(now, idle, lambda: True)
        if index is None:
            connection = SimulatedConnection()
            self.policy.opened()
            self.result.opened += 1
            self.open_connections += 1
        else:
            connection = idle.pop(index)
        connection.in_flight = True
        sigma = math.sqrt(math.log(1.0 + ANSWER_SPREAD**2))
        took_s = self.rng.lognormvariate(math.log(self.load.answer_s) - sigma**2 / 2.0, sigma)
        connection.answer_at = now + took_s
        self.policy.answered(took_s)
        self._schedule(now + took_s, connection, server, is_copy=False)

    def _receive_answer(self, now: float, connection: SimulatedConnection, server: int) -> None:
        connection.in_flight = False
        connection.idle_since = now
        self.idle[server].append(connection)
        if self.rng.random() < self.copy_share:
            self._schedule(now + self.rng.uniform(0.001, MAX_COPY_DELAY_S), connection, server, is_copy=True)

    def _receive_copy(self, now: float, connection: SimulatedConnection, server: int) -> None:
        self.policy.record_unsolicited(now, now - connection.idle_since)
        if connection.in_flight:
            self.result.wrong += 1
        else:
            self.idle[server].remove(connection)
        self._close(connection)

    def _close(self, connection: SimulatedConnection) -> None:
        connection.closed = True
        self.open_connections -= 1

    def _schedule(self, at: float, connection: SimulatedConnection, server: int, is_copy: bool) -> None:
        heapq.heappush(self.events, (at, next(self.event_numbers), connection, server, is_copy))


def play(load: Load, policy: ReusePolicy, seed: int, copies: float = 0.0) -> Result:
    """Simulate a load under a policy; the same seed gives the same requests."""
    return Simulation(load, policy, Random(seed), copies).run()


LOADS = (
    Load("sparse", 2.0, 100, 0.13, 3000.0),
    Load("sparse, quick answers", 2.0, 100, 0.003, 3000.0),
    Load("busy", 30.0, 10, 0.13),
    Load("dense", 300.0, 10, 0.13),
    Load("dense, quicker answers", 300.0, 10, 0.02),
    Load("dense, quick answers", 300.0, 10, 0.003),
)
FIXED_RESTS_S = (0.002, 0.005, 0.010, 0.020, 0.040)


def main() -> None:
    """Print the table."""
    for load in LOADS:
        print(f"{load.name}: {load.requests_per_s:g}/s, {load.servers} servers, {load.answer_s * 1000:g} ms")
        policies = {f"{rest_s * 1000:g} ms": rest_s for rest_s in FIXED_RESTS_S} | {"learned": None}
        reference: Result | None = None
        for name, rest_s in policies.items():
            normal = _run_seeds(load, rest_s, 0.0)
            with_copies = _run_seeds(load, rest_s, 0.02)
            reference = reference or normal
            opened_change = 100.0 * (normal.opened / reference.opened - 1.0)
            open_change = 100.0 * (normal.mean_open / reference.mean_open - 1.0)
            print(
                f"  {name:8} opened {normal.opened:6d} ({opened_change:+6.1f} %)"
                f"  open {normal.mean_open:7.1f} ({open_change:+6.1f} %)"
                f"  with copies: wrong {with_copies.wrong:5d} of {with_copies.requests},"
                f" opened {with_copies.opened}"
            )


def _run_seeds(load: Load, rest_s: float | None, copies: float, seeds: int = 3) -> Result:
    total = Result()
    for seed in range(1, seeds + 1):
        policy = ReusePolicy(IDLE_TIMEOUT_S) if rest_s is None else FixedRest(rest_s)
        result = play(load, policy, seed, copies)
        total.requests += result.requests
        total.opened += result.opened
        total.wrong += result.wrong
        total.mean_open += result.mean_open / seeds
    return total


if __name__ == "__main__":
    main()
