"""What the planner costs a request, and what opening ahead saves the first requests after a lull.

    python -m benchmarks.connections [--requests 20000] [--lulls 20]

Cost: the way of a request, its demand and its connection's return, with as many servers as are told; the
floor is a dictionary's look-up and a deque's turn, which is what a pool without a plan does. First requests:
bursts of eight on loopback after a lull in which all connections retire, with opening ahead and without.
"""

from __future__ import annotations

import argparse
import asyncio
import time
from collections import deque
from collections.abc import Callable
from itertools import count
from random import Random

import uvloop

from garnethaven.connections.idle_limits import IdleLimits
from garnethaven.connections.planner import ConnectionCounts, ConnectionPlan, Rules, ServerState
from garnethaven.connections.pool import PlannedPool, PlannedTarget
from garnethaven.limits.budgets import AnswerMemory
from garnethaven.net.exchange import Answer, Exchange

SIZES = (15, 500, 5_000)
ROUNDS = 3
BURST = 8
LULL_S = 1.0
HANDSHAKE_S = 0.004  # what a server spends on a new connection
REQUEST = b"POST /api HTTP/1.1\r\nHost: t\r\nContent-Length: 2\r\n\r\nhi"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def planned(servers: int) -> Callable[[], object]:
    """One request's part of the planner, at one of so many servers in turn."""
    limits, rng, warm = IdleLimits(15.0, Random(1)), Random(2), ServerState()
    rules = Rules(opens_per_s=1e6, accepts=10**6)
    plans = [ConnectionPlan((f"10.{n >> 8}.{n & 255}.1", 80), rules, limits, rng) for n in range(servers)]
    numbers = count()

    def once() -> None:
        number = next(numbers)
        plan, now = plans[number % servers], number * 1e-4
        usable = plan.is_usable(now, 0.1, 0.9, False)
        plan.decide(now, ConnectionCounts(2, 1, 0, 0, 0), usable, warm)
        plan.demand.set_busy(now, 3)
        plan.record_answer(now, 0.02)
        plan.should_close(now, 0.0, 0.0, 10, 0.9)

    return once


def floor(servers: int) -> Callable[[], object]:
    idle = {n: deque([object()]) for n in range(servers)}
    numbers = count()

    def once() -> None:
        connections = idle[next(numbers) % servers]
        connections.append(connections.pop())

    return once


def microseconds(once: Callable[[], object], times: int) -> float:
    began = time.perf_counter()
    for _ in range(times):
        once()
    return (time.perf_counter() - began) / times * 1e6


def cost(requests: int) -> None:
    for servers in SIZES:
        plan, least = planned(servers), floor(servers)
        best = min(microseconds(plan, requests) for _ in range(ROUNDS))
        base = min(microseconds(least, requests) for _ in range(ROUNDS))
        print(f"{servers:5} servers: {best:.2f} us a request (floor {base:.2f})", flush=True)


class Asked(Exchange):
    def __init__(self) -> None:
        super().__init__((REQUEST,))
        self.done = asyncio.Event()
        self.began = time.perf_counter()
        self.taken = 0.0

    def answered(self, answer: Answer) -> None:
        self.taken = time.perf_counter() - self.began
        self.done.set()

    def broken(self, written: bool) -> None:
        self.answered(Answer())


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(HANDSHAKE_S)
    try:
        while await reader.readuntil(b"hi"):
            writer.write(ANSWER)
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


async def after_lulls(ahead: bool, lulls: int) -> tuple[float, float]:
    """p50 and p99 in milliseconds of the bursts after lulls in which all connections retire."""
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    rules = Rules(opens_per_s=1000.0, idle_s=LULL_S / 2, ahead=ahead)
    loop = asyncio.get_running_loop()
    pool = PlannedPool(loop, lambda: 100, 0.5, AnswerMemory(64), rules, lambda endpoint: ServerState(), 1)
    target = pool.target(1, server.sockets[0].getsockname()[:2])
    assert isinstance(target, PlannedTarget)
    pool.targets = lambda: (target,)
    times: list[float] = []
    for _ in range(lulls + 2):
        asked = [Asked() for _ in range(BURST)]
        for one in asked:
            target.start(one, 1.0)
        await asyncio.gather(*(one.done.wait() for one in asked))
        times += [one.taken for one in asked]
        await asyncio.sleep(LULL_S)
    target.abandon_waiting()
    for connection in list(pool.connections):
        connection.drop()
    server.close()
    times = sorted(times[2 * BURST :])
    return times[len(times) // 2] * 1000, times[int(len(times) * 0.99)] * 1000


async def first_requests(lulls: int) -> None:
    for ahead in (False, True):
        p50, p99 = await after_lulls(ahead, lulls)
        print(
            f"after a lull, {'with' if ahead else 'without'} opening ahead: p50 {p50:.2f}, p99 {p99:.2f} ms"
        )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=20_000)
    parser.add_argument("--lulls", type=int, default=20)
    wanted = parser.parse_args()
    cost(wanted.requests)
    uvloop.run(first_requests(wanted.lulls))


if __name__ == "__main__":
    main()
