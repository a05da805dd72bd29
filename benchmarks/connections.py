"""Benchmark of the connection planner: its cost a request, and the effect of opening connections ahead.

    python -m benchmarks.connections [--requests 20000] [--lulls 20]

Cost: the planner's decision for a request, the update of the demand and the return of the connection, by the
number of servers. The floor is a dictionary look-up and a pop and push on a deque, which is what a pool
without a planner does. First requests: latencies of bursts of eight on loopback after a lull in which all
connections retire, with and without opening ahead.
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
from garnethaven.limits.budgets import BufferMemory
from garnethaven.net.exchange import Answer, Exchange

SIZES = (15, 500, 5_000)
ROUNDS = 3
BURST = 8
LULL_S = 1.0
HANDSHAKE_S = 0.004  # time that a server needs for a new connection
REQUEST = b"POST /api HTTP/1.1\r\nHost: t\r\nContent-Length: 2\r\n\r\nhi"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def planner_decision(servers: int) -> Callable[[], object]:
    """Return a function that runs the planner for one request, at each of `servers` servers in turn."""
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


def microseconds(once: Callable[[], object], calls: int) -> float:
    began = time.perf_counter()
    for _ in range(calls):
        once()
    return (time.perf_counter() - began) / calls * 1e6


def cost(requests: int) -> None:
    for servers in SIZES:
        planner_part, floor_part = planner_decision(servers), floor(servers)
        best_us = min(microseconds(planner_part, requests) for _ in range(ROUNDS))
        floor_us = min(microseconds(floor_part, requests) for _ in range(ROUNDS))
        print(f"{servers:5} servers: {best_us:.2f} us a request (floor {floor_us:.2f})", flush=True)


class TimedExchange(Exchange):
    def __init__(self) -> None:
        super().__init__((REQUEST,))
        self.done = asyncio.Event()
        self.began_at = time.perf_counter()
        self.latency_s = 0.0

    def answered(self, answer: Answer) -> None:
        self.latency_s = time.perf_counter() - self.began_at
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


async def measure_after_lulls(open_ahead: bool, lulls: int) -> tuple[float, float]:
    """Return p50 and p99 in milliseconds of bursts after lulls in which all connections retire."""
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    rules = Rules(opens_per_s=1000.0, idle_s=LULL_S / 2, ahead=open_ahead)
    loop = asyncio.get_running_loop()
    pool = PlannedPool(loop, lambda: 100, 0.5, BufferMemory(64), rules, lambda endpoint: ServerState(), 1)
    target = pool.target(1, server.sockets[0].getsockname()[:2])
    assert isinstance(target, PlannedTarget)
    pool.targets = lambda: (target,)
    latencies: list[float] = []
    for _ in range(lulls + 2):
        exchanges = [TimedExchange() for _ in range(BURST)]
        for exchange in exchanges:
            target.start(exchange, 1.0)
        await asyncio.gather(*(exchange.done.wait() for exchange in exchanges))
        latencies += [exchange.latency_s for exchange in exchanges]
        await asyncio.sleep(LULL_S)
    target.abandon_waiting()
    for connection in list(pool.connections):
        connection.drop()
    server.close()
    latencies = sorted(latencies[2 * BURST :])
    return latencies[len(latencies) // 2] * 1000, latencies[int(len(latencies) * 0.99)] * 1000


async def first_requests(lulls: int) -> None:
    for open_ahead in (False, True):
        p50, p99 = await measure_after_lulls(open_ahead, lulls)
        print(
            f"after a lull, {'with' if open_ahead else 'without'} opening ahead: "
            f"p50 {p50:.2f}, p99 {p99:.2f} ms"
        )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=20_000)
    parser.add_argument("--lulls", type=int, default=20)
    options = parser.parse_args()
    cost(options.requests)
    uvloop.run(first_requests(options.lulls))


if __name__ == "__main__":
    main()
