"""Microseconds for one decision of the module, by the number of servers; of two checkouts, interleaved.

    python -m benchmarks.decisions [--before PATH] [--decisions 4000]

A decision is a request, its send and its good answer; one in fifty ends with an error first and is tried
again. With `--before` another checkout is measured in turn, by the same script. `changes` is the cost of a
change of the list that touches one server.
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
GAP = MS  # a thousand a second
SETTINGS = Settings(
    request_classes=(RequestClass(target=500 * MS, deadline=2 * S, late_value=0.25),),
    fleet_size=10,
    cold_share=0.2,
    ramp_time=10 * S,
    max_attempts=4,
    hedging=True,
    cancel=True,
)


def one(balancer: Balancer, now: int, number: int) -> None:
    name = f"r{number}"
    actions = balancer.handle(now, Request(name, 0, 2 * S))
    send = next((action for action in actions if isinstance(action, Send)), None)
    if send is None:
        return
    attempt = 0
    if number % 50 == 0:
        ended = AttemptEnded(name, 0, send.endpoint, Outcome.ERROR, 20 * MS)
        again = [action for action in balancer.handle(now, ended) if isinstance(action, Send)]
        if not again:
            return
        send, attempt = again[0], 1
    balancer.handle(now, AttemptEnded(name, attempt, send.endpoint, Outcome.DONE, 20 * MS, True))
    for token in list(balancer.timers):
        balancer.handle(now, TimerFired(token))


def measure(servers: int, decisions: int) -> tuple[float, float]:
    balancer = Balancer(SETTINGS, 1)
    now = 100 * S
    balancer.handle(now, Membership(ListKind.FULL, tuple(Endpoint(n, cell=n // 4) for n in range(servers))))
    for number in range(200):
        one(balancer, now + number * GAP, number)
    now += 200 * GAP
    began = time.perf_counter()
    for number in range(decisions):
        one(balancer, now + number * GAP, number)
    spent = (time.perf_counter() - began) / decisions * 1e6
    now += decisions * GAP
    began = time.perf_counter()
    changes = 40
    for number in range(changes):
        state = State.REMOVED if number % 2 else State.DRAINING
        balancer.handle(now, Membership(ListKind.DELTA, (Endpoint(number // 2, state=state),)))
        balancer.handle(now, Request(f"c{number}", 0, 2 * S))
    return spent, (time.perf_counter() - began) / changes * 1e6


def measure_all(decisions: int) -> dict[int, tuple[float, float]]:
    return {size: measure(size, decisions if size <= 5_000 else decisions // 4) for size in SIZES}


def elsewhere(path: Path, decisions: int) -> dict[int, tuple[float, float]]:
    """The same, of another checkout's module."""
    command = [sys.executable, str(Path(__file__).resolve()), "--json", "--decisions", str(decisions)]
    environment = os.environ | {"PYTHONPATH": str(path)}
    done = subprocess.run(command, cwd=path, env=environment, capture_output=True, text=True, check=True)
    return {int(size): tuple(told) for size, told in json.loads(done.stdout).items()}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--before", type=Path)
    parser.add_argument("--decisions", type=int, default=4000)
    parser.add_argument("--json", action="store_true")
    wanted = parser.parse_args()
    if wanted.json:
        print(json.dumps(measure_all(wanted.decisions)))
        return
    best: dict[str, dict[int, tuple[float, float]]] = {}
    roots = {"before": wanted.before} if wanted.before else {}
    roots["now"] = Path(__file__).resolve().parent.parent
    for _ in range(ROUNDS):
        for name, root in roots.items():
            for size, told in elsewhere(root, wanted.decisions).items():
                least = best.setdefault(name, {}).get(size, (1e9, 1e9))
                best[name][size] = (min(least[0], told[0]), min(least[1], told[1]))
    for name, sizes in best.items():
        for size, (spent, change) in sizes.items():
            ratio = spent / sizes[SIZES[0]][0]
            print(
                f"{name:7} {size:6} servers: {spent:8.1f} us ({ratio:5.2f} of 15), a change {change:9.1f} us"
            )


if __name__ == "__main__":
    main()
