"""From a registry's bytes to the module's decision, at 16, 500 and 5,000 nodes; a re-read; memory a node.

    python -m benchmarks.membership [--events 60] [--kazoo]

The registry is a process of its own. `event` is the time from the arrival of an event's bytes to the end of
the module's hand-over, for one server that vanishes and returns while all others stay. The floor reads the
same bytes from a socket and decodes their JSON; pause is the longest of the loop. `--kazoo` adds the same
re-read with kazoo's client (its threads, this loop), and the longest pause of the loop meanwhile.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
import os
import signal
import sys
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import uvloop

from garnethaven.config import Config
from garnethaven.engine.engine import Engine
from garnethaven.interface import Endpoint, ListKind
from garnethaven.membership.sources import Sources
from garnethaven.membership.table import Membership, ZooKeeper, ZooKeeperHost
from garnethaven.membership.zookeeper.source import RegistrySource
from garnethaven.net.transport import HttpTransport
from garnethaven.settings import read_names, read_settings
from standins.platform import settings
from standins.zookeeper.ensemble import Ensemble

SIZES = (16, 500, 5_000)
ROOT = "/checks"
TICK_S = 0.001
APART_S = 0.15  # between an end and the return: longer than any batch waits


def node(number: int) -> bytes:
    host = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
    told = {
        "host_port": f"{host}:80",
        "phase": "SERVING",
        "cell": number // 3,
        "locality": "a",
        "flavor": "m",
    }
    return json.dumps(told).encode()


# The registry's process


async def serve_registry(nodes: int) -> None:
    """Tell the port, then for each line of input end one session and begin it anew."""
    ensemble = await Ensemble(hosts=1).start()
    ensemble.make(ROOT)
    owner = ensemble.begin(40_000)
    owner.heard_at += 3600.0
    for number in range(1, nodes):
        ensemble.make(f"{ROOT}/n{number}", node(number), owner)
    one = ensemble.begin(40_000)
    ensemble.make(f"{ROOT}/n0", node(0), one)
    print(ensemble.hosts[0].port, flush=True)
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while await reader.readline():
        ensemble.expire(one.id)
        await asyncio.sleep(APART_S)
        one = ensemble.begin(40_000)
        one.heard_at += 3600.0
        ensemble.make(f"{ROOT}/n0", node(0), one)
    await ensemble.close()


# The program's side


@dataclass
class Times:
    arrived: float = 0.0
    taken: list[float] = field(default_factory=list)


class Program:
    """Engine, module, transport and the sources, as the sidecar puts them together."""

    def __init__(self, port: int) -> None:
        facts = settings()
        told = read_settings(facts)
        loop = asyncio.get_running_loop()
        config = Config(
            "bench", ("127.0.0.1", 9), ("127.0.0.1", 9), 1, 256, 4096, {}, told, read_names(facts)
        )
        self.engine = Engine("bench", told, 1, loop)
        self.transport = HttpTransport(self.engine, told, loop, lambda: 100, 256)
        self.engine.start()
        self.times = Times()
        registry = ZooKeeper((ZooKeeperHost(("127.0.0.1", port)),), ROOT, spread_ms=0)
        self.sources = Sources(Membership(zookeeper=registry), config, loop, self.learn, lambda text: None)
        source = self.sources.registries["zookeeper"]
        assert isinstance(source, RegistrySource)
        self.source = source
        client = source.client
        received = client.received

        def noted(data: bytes) -> None:
            self.times.arrived = time.perf_counter()
            received(data)

        client.received = noted  # type: ignore[method-assign]

    def learn(self, kind: ListKind, entries: list[tuple[Endpoint, Any]]) -> None:
        self.transport.apply_list(kind, entries)
        self.times.taken.append(time.perf_counter() - self.times.arrived)

    def servers(self) -> int:
        return len(self.engine.balancer.servers)


async def until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.002)


def spent() -> float:
    return time.process_time()


async def measure(nodes: int, events: int, kazoo: bool) -> None:
    command = [sys.executable, "-m", "benchmarks.membership", "--serve", str(nodes)]
    process = await asyncio.create_subprocess_exec(
        *command, stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE
    )
    assert process.stdin is not None and process.stdout is not None
    try:
        port = int(await process.stdout.readline())
        gc.collect()
        tracemalloc.start()
        program = Program(port)
        program.sources.start()
        await until(lambda: program.servers() == nodes)
        gc.collect()
        held = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        reread, lag = await _reread(program, nodes)
        floor = await _floor(port, nodes)
        program.times.taken.clear()
        for _ in range(events):
            await asyncio.sleep(APART_S)
            before = len(program.times.taken)
            process.stdin.write(b"\n")
            await until(lambda before=before: len(program.times.taken) >= before + 2)  # type: ignore[misc]
        taken = sorted(program.times.taken)
        p50, p99 = taken[len(taken) // 2] * 1000, taken[int(len(taken) * 0.99)] * 1000
        print(
            f"{nodes:5} nodes: event p50 {p50:.2f} ms, p99 {p99:.2f} ms; re-read {reread * 1000:.0f} ms CPU "
            f"({reread / floor:.1f} of the floor of {floor * 1000:.0f} ms), pause {lag * 1000:.0f} ms; "
            f"{held / nodes / 1024:.1f} KiB a node",
            flush=True,
        )
        await program.sources.close()
        if kazoo:
            await _kazoo(port, nodes)
    finally:
        process.send_signal(signal.SIGKILL)
        await process.wait()


async def _reread(program: Program, nodes: int) -> tuple[float, float]:
    """CPU seconds of a whole re-read after a lost connection, and the longest pause of the loop."""
    registry = program.source
    connects = registry.client.connects
    lag = asyncio.create_task(_longest_pause())
    before = spent()
    assert registry.client.connection is not None
    registry.client.connection.abort()
    await until(lambda: registry.client.connects > connects and registry.age_s() == 0.0)
    used = spent() - before
    lag.cancel()
    return used, await lag


async def _longest_pause() -> float:
    longest, loop = 0.0, asyncio.get_running_loop()
    try:
        while True:
            began = loop.time()
            await asyncio.sleep(TICK_S)
            longest = max(longest, loop.time() - began - TICK_S)
    except asyncio.CancelledError:
        return longest


async def _floor(port: int, nodes: int) -> float:
    """CPU seconds of reading as many bytes of nodes from a socket, and decoding their JSON."""
    payload = [node(number) for number in range(nodes)]
    text = b"\n".join(one + b" " * 88 for one in payload) + b"\n"  # with a reply's head and stat

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(text)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname()[:2])
    before, found = spent(), 0
    while line := await reader.readline():
        found += len(json.loads(line)) > 0
    used = spent() - before
    assert found == nodes
    writer.close()
    server.close()
    return max(used, 1e-4)


async def _kazoo(port: int, nodes: int) -> None:
    from kazoo.client import KazooClient

    client = KazooClient(hosts=f"127.0.0.1:{port}", timeout=10.0)
    await asyncio.to_thread(client.start, 10.0)

    def read() -> int:
        names = client.get_children(ROOT)
        waiting = [client.get_async(f"{ROOT}/{name}") for name in names]
        return sum(len(json.loads(one.get()[0])) > 0 for one in waiting)

    lag, before = asyncio.create_task(_longest_pause()), spent()
    assert await asyncio.to_thread(read) == nodes
    used = spent() - before
    lag.cancel()
    pause = await lag
    print(f"      kazoo: re-read {used * 1000:.0f} ms CPU, longest pause {pause * 1000:.0f} ms", flush=True)
    await asyncio.to_thread(client.stop)
    await asyncio.to_thread(client.close)


async def measure_all(events: int, kazoo: bool) -> None:
    for nodes in SIZES:
        await measure(nodes, events, kazoo)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--events", type=int, default=60)
    parser.add_argument("--kazoo", action="store_true")
    parser.add_argument("--serve", type=int)
    wanted = parser.parse_args()
    os.environ.setdefault("PYTHONUNBUFFERED", "1")
    uvloop.run(serve_registry(wanted.serve) if wanted.serve else measure_all(wanted.events, wanted.kazoo))


if __name__ == "__main__":
    main()
