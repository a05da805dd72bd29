"""Benchmark of the limits: the cost of one decision of each, as a ratio to the floor of the same run.

The floor is one request through the whole decision module, from its arrival to its successful answer.
`python -m benchmarks.limits` prints microseconds and ratios; rounds are interleaved and the best one counts.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from itertools import count
from random import Random

from garnethaven.brain import Balancer
from garnethaven.interface import (
    AttemptEnded,
    Endpoint,
    ListKind,
    Membership,
    Outcome,
    Request,
    RequestClass,
    Send,
    Settings,
)
from garnethaven.limits.budgets import DescriptorBudget
from garnethaven.limits.connection_limit import ClientConnectionLimit, ConnectionHistory
from garnethaven.limits.list_freshness import Evidence, ListFreshness
from garnethaven.limits.overload import Overload

ROUNDS = 7
CALLS_PER_ROUND = 4000
S = 1_000_000_000


class IdleConnection:
    def __init__(self, since: float) -> None:
        self.usage = ConnectionHistory(since, request_count=1)


def floor() -> Callable[[], object]:
    """One request through the decision module, with 15 servers."""
    settings = Settings(request_classes=(RequestClass(target=S, deadline=3 * S),), max_attempts=5)
    balancer = Balancer(settings, 1)
    balancer.handle(0, Membership(ListKind.FULL, tuple(Endpoint(n) for n in range(1, 16))))
    numbers = count(1)

    def once() -> None:
        number = next(numbers)
        now = number * 3_000_000
        actions = balancer.handle(now, Request(f"r{number}", 0, 3 * S))
        send = next(action for action in actions if isinstance(action, Send))
        ended = AttemptEnded(send.id, 0, send.endpoint, Outcome.DONE, 50_000_000, final=True)
        balancer.handle(now + 50_000_000, ended)

    return once


def answer_on_a_full_front() -> Callable[[], object]:
    """Decide whether an answer closes its connection while all places are taken."""
    places, usage = ClientConnectionLimit(160, 128), ConnectionHistory(0.0, request_count=1)
    return lambda: places.ends_with_answer(usage, 128, 1.0)


def look_over_full_places() -> Callable[[], object]:
    """Check 128 idle connections: 20 checks a second, so one for every 15 of 300 requests a second."""
    places, idle = ClientConnectionLimit(160, 128), [IdleConnection(n / 128) for n in range(128)]
    calls = count()

    def once() -> None:
        if next(calls) % 15 == 0:
            places.select_surplus(idle, 128, 2.0)

    return once


def judge_overload() -> Callable[[], object]:
    """Record an arrival and an answer in the overload model while it refuses requests."""
    overload, numbers = Overload(Random(1)), count(1)
    overload.refused_share, overload.smoothed_latency_fraction = 0.5, 1.0

    def once() -> None:
        now = next(numbers) * 3_000_000
        overload.record_arrival(now)
        overload.should_refuse(1.0, S, 3, False, False)
        overload.record_answer(now, 0.9)

    return once


def weigh_evidence() -> Callable[[], object]:
    """Record a failed attempt as evidence that the endpoint list is stale."""
    fresh, numbers = ListFreshness(3, 10.0), count(1)
    return lambda: fresh.record_evidence(next(numbers) / 300, 1, Evidence.RESET)


def share_descriptors() -> Callable[[], object]:
    """Compute the connection limits of clients and endpoints."""
    budget = DescriptorBudget(384)
    return lambda: (budget.max_clients(100), budget.max_endpoints(100))


PARTS = (answer_on_a_full_front, look_over_full_places, judge_overload, weigh_evidence, share_descriptors)


def microseconds(once: Callable[[], object]) -> float:
    began = time.perf_counter()
    for _ in range(CALLS_PER_ROUND):
        once()
    return (time.perf_counter() - began) / CALLS_PER_ROUND * 1e6


def main() -> None:
    parts = {make_part.__name__: make_part() for make_part in (floor, *PARTS)}
    best_by_part = dict.fromkeys(parts, float("inf"))
    for _ in range(ROUNDS):
        for name, once in parts.items():
            best_by_part[name] = min(best_by_part[name], microseconds(once))
    for name, best_us in best_by_part.items():
        print(f"{name:26} {best_us:7.2f} us   {best_us / best_by_part['floor']:.3f} of the floor")


if __name__ == "__main__":
    main()
