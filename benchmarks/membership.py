"""Benchmark of a registry's updates at 16, 500 and 5,000 nodes: event latency, a full re-read, memory a node.

    python -m benchmarks.membership [--events 60] [--kazoo]

The registry runs as a separate process. `event` is the time from the arrival of an event's bytes until the
decision module has processed it, for one server that vanishes and returns while all others stay. `floor` is
the CPU time to read the same bytes from a socket and decode their JSON; `pause` is the longest pause of the
event loop. `--kazoo` adds the same re-read with kazoo's client, which uses threads beside this event loop,
and the longest pause of the event loop during it.
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
PAUSE_PROBE_S = 0.001
RETURN_DELAY_S = 0.15  # from a removal to the return; longer than the delay of any batch


def node_record(number: int) -> bytes:
    host = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
    record = {
        "host_port": f"{host}:80",
        "phase": "SERVING",
        "cell": number // 3,
        "locality": "a",
        "flavor": "m",
    }
    return json.dumps(record).encode()


# The registry process


async def serve_registry(nodes: int) -> None:
    """Print the port; then, for each line of input, expire one session and start a new one."""
    ensemble = await Ensemble(hosts=1).start()
    ensemble.create_node(ROOT)
    owner = ensemble.create_session(40_000)
    owner.last_request_at += 3600.0
    for number in range(1, nodes):
        ensemble.create_node(f"{ROOT}/n{number}", node_record(number), owner)
    session = ensemble.create_session(40_000)
    ensemble.create_node(f"{ROOT}/n0", node_record(0), session)
    print(ensemble.hosts[0].port, flush=True)
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while await reader.readline():
        ensemble.expire(session.id)
        await asyncio.sleep(RETURN_DELAY_S)
        session = ensemble.create_session(40_000)
        session.last_request_at += 3600.0
        ensemble.create_node(f"{ROOT}/n0", node_record(0), session)
    await ensemble.close()


# The sidecar


@dataclass
class EventTimes:
    arrived_at: float = 0.0
    durations_s: list[float] = field(default_factory=list)


class Program:
    """Engine, decision module, transport and membership sources, assembled as in the sidecar."""

    def __init__(self, port: int) -> None:
        raw_settings = settings()
        parsed = read_settings(raw_settings)
        loop = asyncio.get_running_loop()
        config = Config(
            "bench",
            ("127.0.0.1", 9),
            ("127.0.0.1", 9),
            1,
            256,
            4096,
            {},
            parsed,
            read_names(raw_settings),
        )
        self.engine = Engine("bench", parsed, 1, loop)
        self.transport = HttpTransport(self.engine, parsed, loop, lambda: 100, 256)
        self.engine.start()
        self.times = EventTimes()
        registry = ZooKeeper((ZooKeeperHost(("127.0.0.1", port)),), ROOT, spread_ms=0)
        self.sources = Sources(Membership(zookeeper=registry), config, loop, self.learn, lambda text: None)
        source = self.sources.registries["zookeeper"]
        assert isinstance(source, RegistrySource)
        self.source = source
        client = source.client
        received = client.received

        def received_and_timed(data: bytes) -> None:
            self.times.arrived_at = time.perf_counter()
            received(data)

        client.received = received_and_timed  # type: ignore[method-assign]

    def learn(self, kind: ListKind, entries: list[tuple[Endpoint, Any]]) -> None:
        self.transport.apply_list(kind, entries)
        self.times.durations_s.append(time.perf_counter() - self.times.arrived_at)

    def servers(self) -> int:
        return len(self.engine.balancer.servers)


async def until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.002)


def cpu_time_s() -> float:
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
        traced_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        reread_cpu_s, pause_s = await _reread(program, nodes)
        floor_cpu_s = await _floor(port, nodes)
        program.times.durations_s.clear()
        for _ in range(events):
            await asyncio.sleep(RETURN_DELAY_S)
            completed = len(program.times.durations_s)
            process.stdin.write(b"\n")
            await until(lambda completed=completed: len(program.times.durations_s) >= completed + 2)  # type: ignore[misc]
        durations_s = sorted(program.times.durations_s)
        p50, p99 = durations_s[len(durations_s) // 2] * 1000, durations_s[int(len(durations_s) * 0.99)] * 1000
        print(
            f"{nodes:5} nodes: event p50 {p50:.2f} ms, p99 {p99:.2f} ms; "
            f"re-read {reread_cpu_s * 1000:.0f} ms CPU ({reread_cpu_s / floor_cpu_s:.1f} of the floor of "
            f"{floor_cpu_s * 1000:.0f} ms), pause {pause_s * 1000:.0f} ms; "
            f"{traced_bytes / nodes / 1024:.1f} KiB a node",
            flush=True,
        )
        await program.sources.close()
        if kazoo:
            await _kazoo(port, nodes)
    finally:
        process.send_signal(signal.SIGKILL)
        await process.wait()


async def _reread(program: Program, nodes: int) -> tuple[float, float]:
    """Return the CPU seconds of a full re-read after a lost connection, and the loop's longest pause."""
    registry = program.source
    connects = registry.client.connects
    pause_task = asyncio.create_task(_longest_pause())
    cpu_before = cpu_time_s()
    assert registry.client.connection is not None
    registry.client.connection.abort()
    await until(lambda: registry.client.connects > connects and registry.age_s() == 0.0)
    cpu_used = cpu_time_s() - cpu_before
    pause_task.cancel()
    return cpu_used, await pause_task


async def _longest_pause() -> float:
    longest, loop = 0.0, asyncio.get_running_loop()
    try:
        while True:
            began = loop.time()
            await asyncio.sleep(PAUSE_PROBE_S)
            longest = max(longest, loop.time() - began - PAUSE_PROBE_S)
    except asyncio.CancelledError:
        return longest


async def _floor(port: int, nodes: int) -> float:
    """Return the CPU seconds to read the same bytes from a socket and decode their JSON."""
    records = [node_record(number) for number in range(nodes)]
    # The 88 bytes stand for the header and the stat of a reply.
    text = b"\n".join(record + b" " * 88 for record in records) + b"\n"

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(text)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname()[:2])
    cpu_before, decoded = cpu_time_s(), 0
    while line := await reader.readline():
        decoded += len(json.loads(line)) > 0
    cpu_used = cpu_time_s() - cpu_before
    assert decoded == nodes
    writer.close()
    server.close()
    return max(cpu_used, 1e-4)


async def _kazoo(port: int, nodes: int) -> None:
    from kazoo.client import KazooClient

    client = KazooClient(hosts=f"127.0.0.1:{port}", timeout=10.0)
    await asyncio.to_thread(client.start, 10.0)

    def read() -> int:
        names = client.get_children(ROOT)
        pending = [client.get_async(f"{ROOT}/{name}") for name in names]
        return sum(len(json.loads(reply.get()[0])) > 0 for reply in pending)

    pause_task, cpu_before = asyncio.create_task(_longest_pause()), cpu_time_s()
    assert await asyncio.to_thread(read) == nodes
    cpu_used = cpu_time_s() - cpu_before
    pause_task.cancel()
    longest_pause_s = await pause_task
    print(
        f"      kazoo: re-read {cpu_used * 1000:.0f} ms CPU, longest pause {longest_pause_s * 1000:.0f} ms",
        flush=True,
    )
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
    options = parser.parse_args()
    os.environ.setdefault("PYTHONUNBUFFERED", "1")
    uvloop.run(serve_registry(options.serve) if options.serve else measure_all(options.events, options.kazoo))


if __name__ == "__main__":
    main()
