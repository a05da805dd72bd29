"""Long lists: 1,100 or 15,000 servers within limits on memory and file descriptors."""

from __future__ import annotations

import asyncio
import contextlib
import importlib
import json
import signal
import sys
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest

from garnethaven.limits.budgets import MB, MIN_LIST_BYTES, max_list_bytes
from garnethaven.membership.catchup import Entry, ReportChanges
from garnethaven.membership.entries import EntryConverter
from garnethaven.membership.model import Model
from garnethaven.membership.payloads import Payload, Rules
from garnethaven.peers.table import Peers
from standins.ports import PORTS
from tests.loopback import (
    ANSWER,
    Peer,
    Sidecar,
    answers_with,
    never_answers,
    read_message,
    request,
    run,
    settings_document,
    wait_until,
    wait_until_ready,
    write_config_file,
)

ROOT = Path(__file__).parents[2]
SERVERS = 1_100
LISTENERS = 20  # listening sockets shared by all servers, to limit the descriptors of this process
CHANGES = 12
REPLACED = 50  # servers in each change
CLIENTS = 40
PAUSE_S = 0.1  # pause of a client between an answer and its next request
CHUNK_BYTES = 4_000


def members_of(first: int, count: int, ports: list[int]) -> list[dict[str, Any]]:
    """Entries of usual length."""
    return [
        {
            "id": f"s-{number:08x}",
            "host_port": f"127.0.0.1:{ports[number % len(ports)]}",
            "locality": "a",
            "flavor": "m",
            "cell": number % 40,
            "phase": "SERVING",
            "size": 1.0,
            "up_since_ms": 1_700_000_000_000 + number,
        }
        for number in range(first, first + count)
    ]


class FullListDiscovery(Peer):
    """A discovery that answers each call with the next version of its full list, written in pieces."""

    def __init__(self, ports: list[int], count: int, changes: int, indent: int | None) -> None:
        super().__init__(self._answer)
        self.ports = ports
        self.count = count
        self.changes = changes
        self.indent = indent
        self.revision = 100

    async def _answer(self, head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.revision - 100 >= self.changes:
            await never_answers(head, reader, writer)
        first = REPLACED * (self.revision - 100)
        self.revision += 1
        content = {
            "revision": self.revision,
            "complete": True,
            "members": members_of(first, self.count, self.ports),
        }
        body = json.dumps(content, indent=self.indent).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
        for at in range(0, len(body), CHUNK_BYTES):
            writer.write(body[at : at + CHUNK_BYTES])
            await writer.drain()
            await asyncio.sleep(0)
        await asyncio.sleep(0.1)  # time to serve requests between two changes

    def is_done(self) -> bool:
        return self.revision - 100 >= self.changes


class Program:
    """A sidecar in a separate process; its memory and descriptors are read from /proc."""

    def __init__(self, process: asyncio.subprocess.Process, port: int) -> None:
        self.process = process
        self.port = port
        self.max_descriptors = 0

    def peak_mb(self) -> float:
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        (line,) = (line for line in status.splitlines() if line.startswith("VmHWM"))
        return int(line.split()[1]) / 1024

    def sample_descriptors(self) -> None:
        open_count = len(list(Path(f"/proc/{self.process.pid}/fd").iterdir()))
        self.max_descriptors = max(self.max_descriptors, open_count)

    async def ask(self, client: str, stop: asyncio.Event) -> list[bytes]:
        """Send requests one after the other until `stop` is set; returns their status lines."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        statuses = []
        while not stop.is_set():
            writer.write(request(X_Call_Id=f"{client}-{len(statuses)}", Idempotency_Key=f"k{client}"))
            head, _ = await read_message(reader)
            statuses.append(head.split(b"\r\n")[0])
            if b"connection: close" in head.lower():
                writer.close()
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            self.sample_descriptors()
            await asyncio.sleep(PAUSE_S)
        writer.close()
        return statuses


@contextlib.asynccontextmanager
async def program(
    path: Path, discovery: Peer, limits: dict[str, int], **changes: Any
) -> AsyncIterator[Program]:
    port = PORTS.next_free()
    config = write_config_file(
        path, listen=f"127.0.0.1:{port}", discovery=f"127.0.0.1:{discovery.port}", limits=limits, **changes
    )
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "garnethaven"),
        env={"NODE_CONFIG": str(config)},
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        await wait_until_ready(port)
        yield Program(process, port)
    finally:
        process.send_signal(signal.SIGTERM)
        _, stderr = await process.communicate()
    assert b"Traceback" not in stderr and process.returncode == 0, stderr.decode()


def settings_of(fleet_size: int) -> dict[str, Any]:
    settings = settings_document() | {"membershipMode": "ask", "fleetSize": fleet_size, "slotNo": 13}
    settings["limits"]["connIdleNs"] = 2 * 10**9
    return settings


@pytest.mark.parametrize("indent", [None, 2])
def test_eleven_hundred_servers_and_processes_fit_in_32_mb_and_256_descriptors(
    indent: int | None, tmp_path: Path
) -> None:
    limits = {"memory_mb": 32, "sockets": 256}

    async def case() -> None:
        servers = [await Peer(answers_with(ANSWER)).start() for _ in range(LISTENERS)]
        ports = [server.port for server in servers]
        discovery = await FullListDiscovery(ports, SERVERS, CHANGES, indent).start()
        known = {"revision": 90, "complete": True, "members": members_of(0, SERVERS, ports)}
        settings = settings_of(SERVERS)
        async with program(tmp_path / "c.json", discovery, limits, settings=settings, known=known) as sidecar:
            stop = asyncio.Event()
            clients = []
            # Staggered, because a program that has just started accepts only a few connections.
            for number in range(CLIENTS):
                clients.append(asyncio.create_task(sidecar.ask(f"c{number}", stop)))
                await asyncio.sleep(0.01)
            await wait_until(discovery.is_done)
            await asyncio.sleep(1.0)
            stop.set()
            statuses = [status for client in clients for status in await client]
            peak_mb = sidecar.peak_mb()
            print(f"{len(statuses)} requests, peak {peak_mb:.1f} MB, {sidecar.max_descriptors} descriptors")
            assert len(statuses) > CLIENTS * 5
            assert set(statuses) == {b"HTTP/1.1 200 OK"}
            assert peak_mb < limits["memory_mb"]
            assert sidecar.max_descriptors < limits["sockets"]
            assert len(discovery.requests) == CHANGES + 1  # each list was accepted the first time
        for peer in (*servers, discovery):
            peer.server.close()

    run(case())


def test_fifteen_thousand_servers_are_taken_where_memory_allows(tmp_path: Path) -> None:
    limits = {"memory_mb": 192, "sockets": 256}

    async def case() -> None:
        servers = [await Peer(answers_with(ANSWER)).start() for _ in range(LISTENERS)]
        discovery = await FullListDiscovery([server.port for server in servers], 15_000, 2, None).start()
        async with program(tmp_path / "c.json", discovery, limits, settings=settings_of(SERVERS)) as sidecar:
            # Both lists were accepted, and the next watch is open.
            await wait_until(lambda: len(discovery.requests) == 3)
            stop = asyncio.Event()
            asking = asyncio.create_task(sidecar.ask("c", stop))
            await asyncio.sleep(0.5)
            stop.set()
            assert set(await asking) == {b"HTTP/1.1 200 OK"}
            peak_mb = sidecar.peak_mb()
            print(f"peak {peak_mb:.1f} MB")
            assert peak_mb < limits["memory_mb"]
        for peer in (*servers, discovery):
            peer.server.close()

    run(case())


@pytest.mark.parametrize("memory_mb", [20, 32, 64, 65, 192, 2048])
def test_the_longest_list_grows_with_the_memory_and_is_never_under_two_megabytes(memory_mb: int) -> None:
    max_bytes = max_list_bytes(memory_mb)
    assert max_bytes == max(MIN_LIST_BYTES, memory_mb * MB // 32)
    entry = json.dumps(members_of(15_000, 1, [65_535])[0], indent=2)
    assert max_bytes > SERVERS * len(entry) * 2  # half of it is left for longer names


# The failure to guard against: a list within the bound does not fit into the account of buffered bytes.
def test_the_longest_list_fits_into_the_account_of_discoverys_connections() -> None:
    async def case() -> None:
        sidecar = Sidecar([])
        memory = sidecar.discovery.pool.memory
        assert not memory.is_full()
        memory.reserve(max_list_bytes(sidecar.config.memory_mb))
        assert not memory.is_full()

    run(case())


def test_each_of_eleven_hundred_bad_entries_of_a_registry_is_told_of_once() -> None:
    entries = EntryConverter("", Payload(Rules(), {}, {}, lambda wall_ms: wall_ms))
    bad = ReportChanges(
        {f"k{number}": Entry(b"no JSON", number, number) for number in range(SERVERS)}, from_snapshot=True
    )
    for _ in range(2):  # as after a reconnect, which reads all of them again
        entries.convert(bad, 0)
    assert entries.flaws.total() == SERVERS


@pytest.mark.parametrize(
    ("module", "name"),
    [
        ("budgets.lending", "MAX_LENDERS"),
        ("budgets.lending", "MAX_ORIGIN_COUNT"),
        ("budgets.lending", "MAX_ACCOUNTS"),
        ("connections.idle_limits", "MAX_ADDRESSES"),
        ("extproc.answers", "MAX_CACHED_ADDRESSES"),
        ("judgements.evidence", "MAX_ENDPOINTS"),
        ("membership.catchup", "MAX_REMEMBERED_REMOVALS"),
        ("membership.catchup", "MAX_ENTRIES"),
        ("membership.entries", "MAX_REMEMBERED_FLAWS"),
        ("membership.etcd.answers", "MAX_FRAGMENT_EVENTS"),
        ("membership.zookeeper.following", "MAX_MEMBERS"),
        ("ops.cordons", "MAX_CORDONED"),
        ("peers.datagrams", "MAX_PROCESSES"),
        ("peers.datagrams", "MAX_SOURCES"),
        ("peers.membership", "MAX_PENDING_PROBES"),
    ],
)
def test_no_list_of_servers_or_processes_is_bounded_below_1024(module: str, name: str) -> None:
    assert getattr(importlib.import_module(f"garnethaven.{module}"), name) >= 1024


def test_so_many_processes_are_known_without_a_word_of_the_operator() -> None:
    assert Peers().members_most >= 1024 and Model.MAX_REMOVED_RECORDS >= 1024
