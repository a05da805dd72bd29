"""Catching up after a gap against a full read, at 100, 1,000 and 5,000 servers with 1% changed; CPU a change.

`python -m benchmarks.registries`. The cluster is a stand-in in this process, so times hold both sides; bytes
are those of the answers. The floor is the same program reading everything again.
"""

from __future__ import annotations

import asyncio
import json
import statistics
import time
from typing import Any

from garnethaven.config import Config
from garnethaven.interface import Endpoint, ListKind
from garnethaven.membership.catchup import CatchUp, Entry, ReportChanges
from garnethaven.membership.entries import EntryConverter
from garnethaven.membership.etcd.source import EtcdSource
from garnethaven.membership.merger import Merger
from garnethaven.membership.model import Model
from garnethaven.membership.payloads import Payload, Rules
from garnethaven.membership.sources import Sources
from garnethaven.membership.table import Etcd, EtcdHost, Membership
from garnethaven.settings import read_names, read_settings
from standins.etcd.cluster import Cluster
from standins.platform import settings

SIZES = (100, 1_000, 5_000)
PREFIX = "/checks/"
ROUNDS = 5
CHANGES = 2_000


def value(number: int, version: int) -> bytes:
    host = f"10.{number // 62_500}.{number // 250 % 250}.{number % 250 + 1}:80"
    told = {"host_port": host, "phase": "SERVING", "cell": number // 3, "size": 1 + version % 7}
    return json.dumps(told).encode()


class Program:
    def __init__(self, cluster: Cluster) -> None:
        told = settings()
        config = Config(
            *("bench", ("127.0.0.1", 9), ("127.0.0.1", 9), 1, 256, 4096, {}),
            read_settings(told),
            read_names(told),
        )
        self.handed_over: list[int] = []
        hosts = tuple(EtcdHost(("127.0.0.1", member.port)) for member in cluster.members)
        table = Membership(etcd=Etcd(hosts, PREFIX, spread_ms=0))
        loop = asyncio.get_running_loop()
        self.sources = Sources(table, config, loop, self.learn, lambda text: None)
        source = self.sources.registries["etcd"]
        assert isinstance(source, EtcdSource)
        self.source = source

    def learn(self, kind: ListKind, entries: list[tuple[Endpoint, Any]]) -> None:
        self.handed_over.append(len(entries))

    async def caught_up(self, revision: int) -> None:
        while self.source.catch_up.revision < revision or self.source.output.age_s():
            await asyncio.sleep(0.001)


async def gap(cluster: Cluster, program: Program, size: int, round_: int, compacts: bool) -> float:
    """Seconds from the moment contact is possible again to the last change handed over."""
    for member in cluster.members:
        member.go()
    for number in range(0, size, 100):
        cluster.put(f"{PREFIX}n{number}", value(number, round_ + 1))
    if compacts:
        cluster.compact()
    await asyncio.sleep(0.05)
    began = time.perf_counter()
    for member in cluster.members:
        member.down = False
    await program.caught_up(cluster.store.revision)
    return time.perf_counter() - began


async def measure(size: int) -> None:
    cluster = await Cluster(1).start()
    for number in range(size):
        cluster.put(f"{PREFIX}n{number}", value(number, 0))
    program = Program(cluster)
    program.sources.start()
    await program.caught_up(cluster.store.revision)
    whole = sum(kv.ByteSize() for kv in cluster.store.keys.values())
    before = cluster.store.revision
    by_history = [await gap(cluster, program, size, n, False) for n in range(ROUNDS)]
    events = [event for event in cluster.store.history if event.kv.mod_revision > before]
    changed = sum(event.ByteSize() for event in events) // ROUNDS
    by_read = [await gap(cluster, program, size, n + ROUNDS, True) for n in range(ROUNDS)]
    program.handed_over.clear()
    cluster.put(f"{PREFIX}n1", value(1, 5))
    while not program.handed_over:
        await asyncio.sleep(0.001)
    print(
        f"{size:6d} servers, 1% changed in the gap: {changed:8d} bytes of history, {whole:8d} of a full read"
        f" (1 to {whole / changed:.0f}); {1000 * statistics.median(by_history):6.1f} ms against"
        f" {1000 * statistics.median(by_read):6.1f} ms; one change is handed over as {program.handed_over}"
    )
    await program.sources.close()
    await cluster.close()


async def cost(size: int) -> None:
    """CPU of one change, from its entry to the module's door, among so many servers."""
    core, entries = CatchUp(True), EntryConverter(PREFIX, Payload(Rules(), {}, {}, lambda wall: 1))
    told: list[int] = []
    loop = asyncio.get_running_loop()
    merger = Merger(Model(("etcd",)), loop, lambda kind, changed: told.append(len(changed)))
    core.opened()
    first = core.snapshot(1, {f"n{n}": Entry(value(n, 0), 1, 1) for n in range(size)}, True)[0]
    assert isinstance(first, ReportChanges)
    merger.change("etcd", entries.convert(first, 1))
    merger.flush()
    began = time.process_time()
    for number in range(CHANGES):
        at = number + 2
        (order,) = core.changes(at, [(f"n{number % size}", Entry(value(number % size, at), 1, at))])
        assert isinstance(order, ReportChanges)
        merger.model.change("etcd", entries.convert(order, at), 0.0)
        merger.flush()
    spent = time.process_time() - began
    print(f"{size:6d} servers: {1e6 * spent / CHANGES:6.1f} us of CPU a change")
    merger.close()


async def main() -> None:
    for size in SIZES:
        await measure(size)
    for size in SIZES:
        await cost(size)


if __name__ == "__main__":
    asyncio.run(main())
