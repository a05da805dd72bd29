"""The table `[state]` at work: snapshots every few seconds and at a planned end, and what is taken back.

All that can go wrong with a file costs speed and one line of the log, never the start or a request. What is
written is written by a thread: a rename over an older file was seen to take 0.1 s on a disk that discards
what it frees, and 24 programs on one such disk stood still for seconds.
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
from garnethaven.state.ageing import LIST_MOST_S, Figures, Kept, Moment, away, recalled
from garnethaven.state.files import Files, moment
from garnethaven.state.remembering import KeyedSends, opened
from garnethaven.state.sealed import SealError, seal, unseal
from garnethaven.state.snapshot import KeptList, figures_of, kept_of, members_of, started_ms
from garnethaven.state.table import State

if TYPE_CHECKING:
    from garnethaven.parts import Parts

FIGURES, LIST = "figures", "list"
SLICE = 100  # servers that are read in one step
STEP_S = 0.002  # between two steps
TROUBLE_MOST = 200  # characters of one problem in the log
LAST_WRITE_S = 1.0  # that a planned end waits for the disk: a slower one costs what was learned since


class StateFeature(Feature[State, "Parts"]):
    """`loads` and `rejected` count parts and files that were taken back or refused."""

    name = "state"

    def __init__(self, table: State, parts: Parts) -> None:
        super().__init__(table, parts)
        self.files: Files | None = None
        self.keyed: KeyedSends | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.writing: asyncio.Future[OSError | None] | None = None
        self.closing = False
        self.kept: dict[str, bytes] = {}
        self.passed: int | None = None  # nanoseconds since it was kept
        self.loads = self.rejected = self.writes = self.failed_writes = 0
        self.pause_s = 0.0  # the longest that one snapshot has held the process up
        self.told: list[str] = []
        self.trouble = ""  # the last problem with writing, told once

    # Taking back

    def prepare(self) -> None:
        """Read what was kept before discovery is asked: the list that is younger is begun with."""
        folder = self.table.folder or os.environ.get("TMPDIR", "")
        if not self.table.keep:
            return
        if not folder:
            self.parts.engine.log("state: nothing is kept: neither 'folder' nor TMPDIR is set")
            return
        self.files = Files(folder, self.parts.config.name)
        now = moment()
        self._read(now)
        self._take_list()
        self._open_table(now)

    def _read(self, now: Moment) -> None:
        assert self.files is not None
        try:
            data = self.files.read(self.table.bytes_most)
            if data is None:
                return
            then, self.kept, broken = unseal(data, self.parts.config.name)
        except (OSError, SealError) as problem:
            self.rejected += 1
            self.told.append(f"{self.files.path.name} is not used: {short(problem)}")
            return
        self.rejected += len(broken)
        self.told += [f"its part {part!r} is broken" for part in broken]
        self.passed = away(then, now)

    def _take_list(self) -> None:
        """Begin with the kept list where it is younger than the platform's."""
        kept = self._part(LIST, KeptList)
        if kept is None:
            return
        known = self.parts.known.get("revision")
        older = not isinstance(known, int) or kept.revision > known
        age_s = self.passed / S + kept.age_s if self.passed is not None else None
        if age_s is not None and age_s > LIST_MOST_S:
            self.told.append(f"its list is of {age_s:.0f} s ago, too old")
        elif older and kept.members:
            self.parts.known = {"revision": kept.revision, "complete": True, "members": kept.members}
            when = f"{age_s:.1f} s ago" if age_s is not None else "an unknown time ago"
            self.told.append(f"a list of {len(kept.members)} servers of {when}")

    def _part(self, name: str, kind: Any) -> Any:
        content = self.kept.get(name)
        if content is None:
            return None
        try:
            part = msgspec.json.decode(content, type=kind)
        except (msgspec.MsgspecError, RecursionError) as problem:
            self.rejected += 1
            self.told.append(f"its part {name!r} cannot be read: {short(problem)}")
            return None
        self.loads += 1
        return part

    def _open_table(self, now: Moment) -> None:
        if not self.table.keyed_most:
            return
        assert self.files is not None
        parts = self.parts
        try:
            self.keyed, taken = opened(
                self.files,
                parts.config.name,
                now.boot,
                self.table.keyed_most,
                parts.engine.balancer,
                self.told.append,
            )
        except (OSError, ValueError) as problem:
            self.told.append(f"keyed requests are not remembered: {short(problem)}")
            return
        parts.engine.keyed = self.keyed
        if taken:
            self.loads += 1
            self.told.append(f"{taken} keyed requests")

    async def open(self) -> None:
        """The list has been begun with: the figures of its servers count now."""
        if self.files is None:
            return
        figures = self._part(FIGURES, Figures)
        if figures is not None and self.passed is not None:
            self._recall(figures, self.passed)
        if self.passed is not None:
            self._give_back(self.passed / S)
        self.kept = {}
        if self.told:
            self.parts.engine.log("state: " + "; ".join(self.told))
        self._wait()

    def _recall(self, figures: Figures, passed: int) -> None:
        parts = self.parts
        offset = parts.discovery.clock_offset
        balancer = parts.engine.balancer
        number = {
            name_of(server.id): (server.id, started_ms(server.started, offset))
            for server in balancer.servers.values()
        }
        told = recalled(figures, passed, balancer.half_life, number)
        self.told.append(f"figures of {len(told.servers)} servers, {passed / S:.1f} s old")
        parts.engine.post(told)

    def _give_back(self, away_s: float) -> None:
        """To each owner of a part what it kept."""
        for name, keeper in self.parts.keepers.items():
            content = self.kept.get(name)
            if content is None:
                continue
            try:
                keeper.take_back(content, away_s)
                self.loads += 1
            except ValueError as problem:
                self.rejected += 1
                self.told.append(f"its part {name!r} cannot be read: {short(problem)}")

    # Keeping

    def _wait(self) -> None:
        self.timer = self.parts.loop.call_later(self.table.every_s, self._turn)

    def _turn(self) -> None:
        self._advance(self._steps())

    def _advance(self, steps: Iterator[None]) -> None:
        """Take one step of a snapshot: all of it at once would hold requests up where servers are many."""
        began = time.perf_counter()
        going_on = next(steps, self) is None
        self.pause_s = max(self.pause_s, time.perf_counter() - began)
        if going_on:
            self.timer = self.parts.loop.call_later(STEP_S, self._advance, steps)

    def _steps(self) -> Iterator[None]:
        """Make a snapshot and have it written; between two steps anything may happen to what is read."""
        parts = self.parts
        balancer, discovery = parts.engine.balancer, parts.discovery
        offset, fresh = discovery.clock_offset, discovery.fresh
        revision, age_s = fresh.revision, fresh.age_s(parts.loop.time())
        servers = list(balancer.servers.values())
        kept: list[Kept] = []
        members: list[dict[str, Any]] = []
        for first in range(0, len(servers), SLICE):
            some = servers[first : first + SLICE]
            kept += kept_of(balancer, some, offset)
            yield
            members += members_of(some, parts.transport.targets, parts.config.names, offset)
            yield
        told = {FIGURES: msgspec.json.encode(figures_of(balancer, kept))}
        yield
        told[LIST] = msgspec.json.encode(KeptList(revision, round(age_s, 3), members))
        yield
        told |= {name: keeper.keep() for name, keeper in parts.keepers.items()}
        yield
        data = self._sealed(told)
        yield
        self._write(data)

    def _sealed(self, told: dict[str, bytes]) -> bytes:
        name = self.parts.config.name
        data = seal(name, moment(), told)
        while len(data) > self.table.bytes_most and told:
            largest = max(told, key=lambda part: len(told[part]))
            self._fails(f"part {largest!r} is left out: all would be {len(data)} bytes")
            del told[largest]
            data = seal(name, moment(), told)
        return data

    def _write(self, data: bytes) -> None:
        """In a thread, and one at a time: the next snapshot is made after this one has been written.

        A daemon: the interpreter must not wait for a disk that stands still.
        """
        self.writing = self.parts.loop.create_future()
        self.writing.add_done_callback(self._written)
        Thread(target=self._write_aside, args=(data, self.writing), name="state", daemon=True).start()

    def _write_aside(self, data: bytes, writing: asyncio.Future[OSError | None]) -> None:
        assert self.files is not None
        problem: OSError | None = None
        try:
            self.files.write(data)
        except OSError as found:
            problem = found
        with contextlib.suppress(RuntimeError):  # the loop has ended meanwhile
            self.parts.loop.call_soon_threadsafe(writing.set_result, problem)

    def _written(self, writing: asyncio.Future[OSError | None]) -> None:
        problem = writing.result()
        if problem is None:
            self.writes += 1
            self.trouble = ""
        else:
            self._fails(short(problem))
        if not self.closing:
            self._wait()

    def _fails(self, problem: str) -> None:
        self.failed_writes += 1
        if problem != self.trouble and self.parts.engine.says(f"state: not kept: {problem}"):
            self.trouble = problem

    async def close(self) -> None:
        self.closing = True
        if self.timer is not None:
            self.timer.cancel()
            await self._last_write()
        if self.files is not None:
            self.files.let_go()

    async def _last_write(self) -> None:
        """What is known at the end, unless the disk is slow."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LAST_WRITE_S):
                await self._is_written()  # the snapshot before
                for _ in self._steps():
                    pass
                await self._is_written()

    async def _is_written(self) -> None:
        if self.writing is not None:
            await asyncio.wait([self.writing])

    def figures(self) -> dict[str, Any]:
        if self.files is None:
            return {}
        return {
            "state_loads": self.loads,
            "state_rejected": self.rejected,
            "state_writes": self.writes,
            "state_failed_writes": self.failed_writes,
            "state_pause_ms": round(self.pause_s * 1000, 3),
            "keyed_found": self.keyed.found if self.keyed is not None else 0,
            "keyed_forgotten": self.keyed.own.forgotten if self.keyed is not None else 0,
        }


def short(problem: object) -> str:
    return str(problem)[:TROUBLE_MOST]


FEATURE = StateFeature
