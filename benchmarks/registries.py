"""Benchmark of catching up after a watch gap against a full read, and of the CPU time of one change.

Run it with `python -m benchmarks.registries`. It measures 100, 1,000 and 5,000 servers, of which 1 % change
during the gap. The etcd cluster is a stand-in in the same process, so times include both sides; bytes are
those of the answers. The reference is the same code reading everything again.
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
ROUNDS_PER_KIND = 5
CHANGES = 2_000


def server_record(number: int, version: int) -> bytes:
    host = f"10.{number // 62_500}.{number // 250 % 250}.{number % 250 + 1}:80"
    record = {"host_port": host, "phase": "SERVING", "cell": number // 3, "size": 1 + version % 7}
    return json.dumps(record).encode()


class Program:
    def __init__(self, cluster: Cluster) -> None:
        raw_settings = settings()
        config = Config(
            *("bench", ("127.0.0.1", 9), ("127.0.0.1", 9), 1, 256, 4096, {}),
            read_settings(raw_settings),
            read_names(raw_settings),
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


async def catch_up_s(cluster: Cluster, program: Program, size: int, version: int, compact: bool) -> float:
    """Interrupt the watch, change 1 % of the servers and return the seconds needed to catch up.

    The time runs from the moment the cluster is reachable again until the last change is handed over. With
    `compact`, the history is compacted, which forces a full read.
    """
    for member in cluster.members:
        member.stop_serving()
    for number in range(0, size, 100):
        cluster.put(f"{PREFIX}n{number}", server_record(number, version + 1))
    if compact:
        cluster.compact()
    await asyncio.sleep(0.05)
    began_at = time.perf_counter()
    for member in cluster.members:
        member.down = False
    await program.caught_up(cluster.store.revision)
    return time.perf_counter() - began_at


async def measure(size: int) -> None:
    cluster = await Cluster(1).start()
    for number in range(size):
        cluster.put(f"{PREFIX}n{number}", server_record(number, 0))
    program = Program(cluster)
    program.sources.start()
    await program.caught_up(cluster.store.revision)
    full_read_bytes = sum(kv.ByteSize() for kv in cluster.store.keys.values())
    revision_before = cluster.store.revision
    by_history_s = [await catch_up_s(cluster, program, size, n, False) for n in range(ROUNDS_PER_KIND)]
    events = [event for event in cluster.store.history if event.kv.mod_revision > revision_before]
    changed_bytes = sum(event.ByteSize() for event in events) // ROUNDS_PER_KIND
    by_read_s = [
        await catch_up_s(cluster, program, size, n + ROUNDS_PER_KIND, True) for n in range(ROUNDS_PER_KIND)
    ]
    program.handed_over.clear()
    cluster.put(f"{PREFIX}n1", server_record(1, 5))
    while not program.handed_over:
        await asyncio.sleep(0.001)
    print(
        f"{size:6d} servers, 1% changed in the gap: {changed_bytes:8d} bytes of history,"
        f" {full_read_bytes:8d} of a full read (1 to {full_read_bytes / changed_bytes:.0f});"
        f" {1000 * statistics.median(by_history_s):6.1f} ms"
        f" against {1000 * statistics.median(by_read_s):6.1f} ms;"
        f" one change is handed over as {program.handed_over}"
    )
    await program.sources.close()
    await cluster.close()


async def measure_cpu(size: int) -> None:
    """Print the CPU time of one change among `size` servers, from its entry to the decision module."""
    core, entries = CatchUp(True), EntryConverter(PREFIX, Payload(Rules(), {}, {}, lambda wall: 1))
    handed_over: list[int] = []
    loop = asyncio.get_running_loop()
    merger = Merger(Model(("etcd",)), loop, lambda kind, changed: handed_over.append(len(changed)))
    core.opened()
    initial = core.snapshot(1, {f"n{n}": Entry(server_record(n, 0), 1, 1) for n in range(size)}, True)[0]
    assert isinstance(initial, ReportChanges)
    merger.change("etcd", entries.convert(initial, 1))
    merger.flush()
    cpu_before = time.process_time()
    for number in range(CHANGES):
        revision = number + 2
        (update,) = core.changes(
            revision, [(f"n{number % size}", Entry(server_record(number % size, revision), 1, revision))]
        )
        assert isinstance(update, ReportChanges)
        merger.model.change("etcd", entries.convert(update, revision), 0.0)
        merger.flush()
    cpu_used = time.process_time() - cpu_before
    print(f"{size:6d} servers: {1e6 * cpu_used / CHANGES:6.1f} us of CPU a change")
    merger.close()


async def main() -> None:
    for size in SIZES:
        await measure(size)
    for size in SIZES:
        await measure_cpu(size)


if __name__ == "__main__":
    asyncio.run(main())
