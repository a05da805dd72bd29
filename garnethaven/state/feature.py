"""The feature `[state]`: snapshots every few seconds and at a planned end, and their restoration.

A file error costs speed after a restart and one log line, but fails neither the start nor a request.
Snapshots are written by a thread: a rename over an older file was seen to take 0.1 s on a disk that discards
freed blocks, and 24 programs on one such disk were blocked for seconds.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import time
from collections.abc import Iterator
from threading import Thread
from typing import TYPE_CHECKING, Any

import msgspec

from garnethaven.engine.engine import S
from garnethaven.feature import Feature
from garnethaven.membership.list_reader import name_of
from garnethaven.state.ageing import MAX_LIST_AGE_S, Statistics, StoredServer, Timestamp, elapsed, restore
from garnethaven.state.files import StateFiles, current_timestamp
from garnethaven.state.remembering import KeyedAttempts, open_tables
from garnethaven.state.sealed import SnapshotError, decode_snapshot, encode_snapshot
from garnethaven.state.snapshot import (
    StoredList,
    collect_statistics,
    list_members,
    started_ms,
    stored_servers,
)
from garnethaven.state.table import State

if TYPE_CHECKING:
    from garnethaven.parts import Parts

STATISTICS_PART, LIST_PART = "figures", "list"  # names of parts in the snapshot
SERVERS_PER_STEP = 100  # servers read per step of a snapshot
STEP_INTERVAL_S = 0.002  # between two steps of a snapshot
MAX_PROBLEM_LENGTH = 200  # characters in the log
FINAL_WRITE_TIMEOUT_S = 1.0  # a slower disk at a planned end loses the statistics since the last snapshot


class StateFeature(Feature[State, "Parts"]):
    """`loads` counts restored parts, `rejected` parts and files that could not be used."""

    name = "state"

    def __init__(self, table: State, parts: Parts) -> None:
        super().__init__(table, parts)
        self.files: StateFiles | None = None
        self.keyed: KeyedAttempts | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.write_result: asyncio.Future[OSError | None] | None = None
        self.closing = False
        self.saved_parts: dict[str, bytes] = {}
        self.elapsed_ns: int | None = None  # since the snapshot was saved; None: unknown
        self.loads = self.rejected = self.writes = self.failed_writes = 0
        self.max_pause_s = 0.0  # the longest step of a snapshot, which blocks the event loop
        self.log_messages: list[str] = []
        self.last_problem = ""  # the last write failure, logged once

    # Restoring

    def prepare(self) -> None:
        """Read the snapshot before discovery is called, and start with the younger of the lists."""
        folder = self.table.folder or os.environ.get("TMPDIR", "")
        if not self.table.keep:
            return
        if not folder:
            self.parts.engine.log("state: nothing is saved: neither 'folder' nor TMPDIR is set")
            return
        self.files = StateFiles(folder, self.parts.config.name)
        now = current_timestamp()
        self._read_snapshot(now)
        self._restore_list()
        self._open_tables(now)

    def _read_snapshot(self, now: Timestamp) -> None:
        assert self.files is not None
        try:
            data = self.files.read(self.table.bytes_most)
            if data is None:
                return
            saved_at, self.saved_parts, corrupt = decode_snapshot(data, self.parts.config.name)
        except (OSError, SnapshotError) as problem:
            self.rejected += 1
            self.log_messages.append(f"{self.files.path.name} is not used: {truncated(problem)}")
            return
        self.rejected += len(corrupt)
        self.log_messages += [f"its part {part!r} is broken and skipped" for part in corrupt]
        self.elapsed_ns = elapsed(saved_at, now)

    def _restore_list(self) -> None:
        """Start with the saved list if it is younger than the platform's."""
        stored = self._decode_part(LIST_PART, StoredList)
        if stored is None:
            return
        known_revision = self.parts.known.get("revision")
        is_newer = not isinstance(known_revision, int) or stored.revision > known_revision
        age_s = self.elapsed_ns / S + stored.age_s if self.elapsed_ns is not None else None
        if age_s is not None and age_s > MAX_LIST_AGE_S:
            self.log_messages.append(f"its list is {age_s:.0f} s old, too old to be used")
        elif is_newer and stored.members:
            self.parts.known = {"revision": stored.revision, "complete": True, "members": stored.members}
            saved_when = f"{age_s:.1f} s ago" if age_s is not None else "an unknown time ago"
            self.log_messages.append(f"list of {len(stored.members)} servers from {saved_when}")

    def _decode_part(self, name: str, part_type: Any) -> Any:
        content = self.saved_parts.get(name)
        if content is None:
            return None
        try:
            part = msgspec.json.decode(content, type=part_type)
        except (msgspec.MsgspecError, RecursionError) as problem:
            self.rejected += 1
            self.log_messages.append(f"its part {name!r} cannot be read: {truncated(problem)}")
            return None
        self.loads += 1
        return part

    def _open_tables(self, now: Timestamp) -> None:
        if not self.table.keyed_most:
            return
        assert self.files is not None
        parts = self.parts
        try:
            self.keyed, imported = open_tables(
                self.files,
                parts.config.name,
                now.boot,
                self.table.keyed_most,
                parts.engine.balancer,
                self.log_messages.append,
            )
        except (OSError, ValueError) as problem:
            self.log_messages.append(f"keyed requests are not remembered: {truncated(problem)}")
            return
        parts.engine.keyed_sends = self.keyed
        if imported:
            self.loads += 1
            self.log_messages.append(f"records of {imported} keyed requests")

    async def open(self) -> None:
        """Restore statistics and other parts; the starting list, which names the servers, is in place now."""
        if self.files is None:
            return
        statistics = self._decode_part(STATISTICS_PART, Statistics)
        if statistics is not None and self.elapsed_ns is not None:
            self._restore_statistics(statistics, self.elapsed_ns)
        if self.elapsed_ns is not None:
            self._restore_keepers(self.elapsed_ns / S)
        self.saved_parts = {}
        if self.log_messages:
            self.parts.engine.log("state: " + "; ".join(self.log_messages))
        self._schedule_snapshot()

    def _restore_statistics(self, statistics: Statistics, elapsed_ns: int) -> None:
        parts = self.parts
        offset = parts.discovery.clock_offset
        balancer = parts.engine.balancer
        listed = {
            name_of(server.id): (server.id, started_ms(server.started, offset))
            for server in balancer.servers.values()
        }
        restored = restore(statistics, elapsed_ns, balancer.error_half_life, listed)
        self.log_messages.append(
            f"restored figures of {len(restored.servers)} servers, {elapsed_ns / S:.1f} s old"
        )
        parts.engine.post(restored)

    def _restore_keepers(self, downtime_s: float) -> None:
        """Pass each saved part to its owner."""
        for name, keeper in self.parts.state_sections.items():
            content = self.saved_parts.get(name)
            if content is None:
                continue
            try:
                keeper.take_back(content, downtime_s)
                self.loads += 1
            except ValueError as problem:
                self.rejected += 1
                self.log_messages.append(f"its part {name!r} cannot be read: {truncated(problem)}")

    # Saving

    def _schedule_snapshot(self) -> None:
        self.timer = self.parts.loop.call_later(self.table.every_s, self._start_snapshot)

    def _start_snapshot(self) -> None:
        self._run_step(self._snapshot_steps())

    def _run_step(self, steps: Iterator[None]) -> None:
        """Run one step of a snapshot; with many servers, a whole one would delay requests."""
        started_at = time.perf_counter()
        unfinished = next(steps, self) is None
        self.max_pause_s = max(self.max_pause_s, time.perf_counter() - started_at)
        if unfinished:
            self.timer = self.parts.loop.call_later(STEP_INTERVAL_S, self._run_step, steps)

    def _snapshot_steps(self) -> Iterator[None]:
        """Make a snapshot and start its write; the balancer and the list may change between two steps."""
        parts = self.parts
        balancer, discovery = parts.engine.balancer, parts.discovery
        offset, fresh_list = discovery.clock_offset, discovery.freshness
        revision, age_s = fresh_list.revision, fresh_list.age_s(parts.loop.time())
        servers = list(balancer.servers.values())
        stored: list[StoredServer] = []
        members: list[dict[str, Any]] = []
        for first in range(0, len(servers), SERVERS_PER_STEP):
            batch = servers[first : first + SERVERS_PER_STEP]
            stored += stored_servers(balancer, batch, offset)
            yield
            members += list_members(batch, parts.transport.targets, parts.config.names, offset)
            yield
        parts_by_name = {STATISTICS_PART: msgspec.json.encode(collect_statistics(balancer, stored))}
        yield
        parts_by_name[LIST_PART] = msgspec.json.encode(StoredList(revision, round(age_s, 3), members))
        yield
        parts_by_name |= {name: keeper.keep() for name, keeper in parts.state_sections.items()}
        yield
        data = self._encode(parts_by_name)
        yield
        self._start_write(data)

    def _encode(self, parts: dict[str, bytes]) -> bytes:
        name = self.parts.config.name
        data = encode_snapshot(name, current_timestamp(), parts)
        while len(data) > self.table.bytes_most and parts:
            largest = max(parts, key=lambda part: len(parts[part]))
            self._log_failure(f"part {largest!r} is left out: the snapshot would have {len(data)} bytes")
            del parts[largest]
            data = encode_snapshot(name, current_timestamp(), parts)
        return data

    def _start_write(self, data: bytes) -> None:
        """Write in a thread, one at a time: the next snapshot starts only after this write has ended.

        The thread is a daemon, so that the interpreter's exit does not wait for a blocked disk.
        """
        self.write_result = self.parts.loop.create_future()
        self.write_result.add_done_callback(self._write_ended)
        Thread(
            target=self._write_in_thread, args=(data, self.write_result), name="state", daemon=True
        ).start()

    def _write_in_thread(self, data: bytes, write_result: asyncio.Future[OSError | None]) -> None:
        assert self.files is not None
        problem: OSError | None = None
        try:
            self.files.write(data)
        except OSError as error:
            problem = error
        with contextlib.suppress(RuntimeError):  # the event loop has been closed meanwhile
            self.parts.loop.call_soon_threadsafe(write_result.set_result, problem)

    def _write_ended(self, write_result: asyncio.Future[OSError | None]) -> None:
        problem = write_result.result()
        if problem is None:
            self.writes += 1
            self.last_problem = ""
        else:
            self._log_failure(truncated(problem))
        if not self.closing:
            self._schedule_snapshot()

    def _log_failure(self, problem: str) -> None:
        self.failed_writes += 1
        if problem != self.last_problem and self.parts.engine.try_log(f"state: not saved: {problem}"):
            self.last_problem = problem

    async def close(self) -> None:
        self.closing = True
        if self.timer is not None:
            self.timer.cancel()
            await self._write_final_snapshot()
        if self.files is not None:
            self.files.unlock()

    async def _write_final_snapshot(self) -> None:
        """Write a final snapshot, unless the disk is slow."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FINAL_WRITE_TIMEOUT_S):
                await self._wait_for_write()  # the previous snapshot
                for _ in self._snapshot_steps():
                    pass
                await self._wait_for_write()

    async def _wait_for_write(self) -> None:
        if self.write_result is not None:
            await asyncio.wait([self.write_result])

    def figures(self) -> dict[str, Any]:
        if self.files is None:
            return {}
        return {
            "state_loads": self.loads,
            "state_rejected": self.rejected,
            "state_writes": self.writes,
            "state_failed_writes": self.failed_writes,
            "state_pause_ms": round(self.max_pause_s * 1000, 3),
            "keyed_found": self.keyed.found_count if self.keyed is not None else 0,
            "keyed_forgotten": self.keyed.own_table.evictions if self.keyed is not None else 0,
        }


def truncated(problem: object) -> str:
    return str(problem)[:MAX_PROBLEM_LENGTH]


FEATURE = StateFeature
