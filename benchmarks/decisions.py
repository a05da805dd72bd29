"""Benchmark of the decision module: microseconds a decision, by the number of servers.

    python -m benchmarks.decisions [--before PATH] [--decisions 4000]

A decision is a request, its send and its successful answer; one in fifty requests fails first and is retried.
With `--before`, the same script also measures another checkout, and the rounds of both are interleaved. The
output also shows the cost of a change, an update of the endpoint list that affects one server.
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
import time
from pathlib import Path

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
    State,
    TimerFired,
)

SIZES = (15, 78, 300, 1_000, 5_000, 20_000)
ROUNDS = 3
MS = 1_000_000
S = 1_000 * MS
REQUEST_INTERVAL = MS  # 1000 requests a second
SETTINGS = Settings(
    request_classes=(RequestClass(target=500 * MS, deadline=2 * S, late_value=0.25),),
    fleet_size=10,
    cold_share=0.2,
    ramp_time=10 * S,
    max_attempts=4,
    hedging=True,
    cancel=True,
)


def decide_once(balancer: Balancer, now: int, number: int) -> None:
    request_id = f"r{number}"
    actions = balancer.handle(now, Request(request_id, 0, 2 * S))
    send = next((action for action in actions if isinstance(action, Send)), None)
    if send is None:
        return
    attempt = 0
    if number % 50 == 0:
        ended = AttemptEnded(request_id, 0, send.endpoint, Outcome.ERROR, 20 * MS)
        retries = [action for action in balancer.handle(now, ended) if isinstance(action, Send)]
        if not retries:
            return
        send, attempt = retries[0], 1
    balancer.handle(now, AttemptEnded(request_id, attempt, send.endpoint, Outcome.DONE, 20 * MS, True))
    for token in list(balancer.timers):
        balancer.handle(now, TimerFired(token))


def measure(servers: int, decisions: int) -> tuple[float, float]:
    balancer = Balancer(SETTINGS, 1)
    now = 100 * S
    balancer.handle(now, Membership(ListKind.FULL, tuple(Endpoint(n, cell=n // 4) for n in range(servers))))
    for number in range(200):
        decide_once(balancer, now + number * REQUEST_INTERVAL, number)
    now += 200 * REQUEST_INTERVAL
    began_at = time.perf_counter()
    for number in range(decisions):
        decide_once(balancer, now + number * REQUEST_INTERVAL, number)
    decision_us = (time.perf_counter() - began_at) / decisions * 1e6
    now += decisions * REQUEST_INTERVAL
    began_at = time.perf_counter()
    changes = 40
    for number in range(changes):
        state = State.REMOVED if number % 2 else State.DRAINING
        balancer.handle(now, Membership(ListKind.DELTA, (Endpoint(number // 2, state=state),)))
        balancer.handle(now, Request(f"c{number}", 0, 2 * S))
    return decision_us, (time.perf_counter() - began_at) / changes * 1e6


def measure_all(decisions: int) -> dict[int, tuple[float, float]]:
    return {size: measure(size, decisions if size <= 5_000 else decisions // 4) for size in SIZES}


def measure_checkout(path: Path, decisions: int) -> dict[int, tuple[float, float]]:
    """Run `measure_all` in a process that imports the decision module of another checkout."""
    command = [sys.executable, str(Path(__file__).resolve()), "--json", "--decisions", str(decisions)]
    environment = os.environ | {"PYTHONPATH": str(path)}
    completed = subprocess.run(command, cwd=path, env=environment, capture_output=True, text=True, check=True)
    return {int(size): tuple(costs) for size, costs in json.loads(completed.stdout).items()}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--before", type=Path)
    parser.add_argument("--decisions", type=int, default=4000)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    if options.json:
        print(json.dumps(measure_all(options.decisions)))
        return
    best_by_name: dict[str, dict[int, tuple[float, float]]] = {}
    roots = {"before": options.before} if options.before else {}
    roots["now"] = Path(__file__).resolve().parent.parent
    for _ in range(ROUNDS):
        for name, root in roots.items():
            for size, costs in measure_checkout(root, options.decisions).items():
                best_costs = best_by_name.setdefault(name, {}).get(size, (1e9, 1e9))
                best_by_name[name][size] = (min(best_costs[0], costs[0]), min(best_costs[1], costs[1]))
    for name, costs_by_size in best_by_name.items():
        for size, (decision_us, change_us) in costs_by_size.items():
            ratio = decision_us / costs_by_size[SIZES[0]][0]
            print(
                f"{name:7} {size:6} servers: {decision_us:8.1f} us ({ratio:5.2f} of 15), "
                f"a change {change_us:9.1f} us"
            )


if __name__ == "__main__":
    main()
