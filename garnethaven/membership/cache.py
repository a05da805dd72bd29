"""A file that keeps a source's last list across a restart, for a start while the registry is down.

The content may be outdated: the first list from the registry replaces it as a whole. A file that is missing,
damaged or in another format is ignored, because it might be incomplete. Writes go to a temporary file that is
renamed, at most once a second; a failed write is retried after the same time.
"""

from __future__ import annotations

import asyncio
import json
import os
from collections.abc import Callable, Mapping
from pathlib import Path

from garnethaven.interface import Endpoint, State
from garnethaven.membership.model import Fact
from garnethaven.membership.payloads import MS

FORMAT = 1
WRITE_INTERVAL_S = 1.0
MAX_FILE_BYTES = 64 * 1024 * 1024


class Cache:
    """The cache file of one source.

    `clock_offset`, shared with the source, is wall-clock minus local monotonic time, in nanoseconds.
    """

    def __init__(
        self, path: str, loop: asyncio.AbstractEventLoop, log: Callable[[str], None], clock_offset: int
    ) -> None:
        self.path = Path(path)
        self.loop = loop
        self.log = log
        self.clock_offset = clock_offset
        self.facts: Mapping[str, Fact] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.last_problem = ""  # of the last write; logged once
        self.closed = False

    def read(self) -> dict[str, Fact]:
        """The stored facts by key; empty if there is no valid file."""
        try:
            if self.path.stat().st_size > MAX_FILE_BYTES:
                raise ValueError("too large")
            content = json.loads(self.path.read_bytes())
            if content["form"] != FORMAT:
                raise ValueError(f"unknown format {content['form']}")
            return {key: self._decode(value) for key, value in content["facts"].items()}
        except FileNotFoundError:
            return {}
        except (OSError, ValueError, TypeError, KeyError, AttributeError, RecursionError) as problem:
            self.log(f"registry: {self.path} is not used: {problem!r}")
            return {}

    def keep(self, facts: Mapping[str, Fact]) -> None:
        """Write `facts` after at most `WRITE_INTERVAL_S`, in their state at that time."""
        self.facts = facts
        if self.timer is None:
            self.timer = self.loop.call_later(WRITE_INTERVAL_S, self._write)

    def close(self) -> None:
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
            self._write()

    def _write(self) -> None:
        self.timer = None
        content = {"form": FORMAT, "facts": {key: self._encode(fact) for key, fact in self.facts.items()}}
        temporary = self.path.with_name(self.path.name + ".new")
        try:
            temporary.write_text(json.dumps(content))
            os.replace(temporary, self.path)
        except OSError as problem:
            self._write_failed(f"registry: {self.path} can't be written, retrying: {problem}")
        else:
            self.last_problem = ""

    def _write_failed(self, problem: str) -> None:
        """Log a problem unless it is the same as the last one, and schedule another write."""
        if problem != self.last_problem:
            self.log(problem)
        self.last_problem = problem
        if not self.closed:
            self.keep(self.facts)

    def _encode(self, fact: Fact) -> list[object]:
        entry = fact.entry
        started_ms = (entry.started + self.clock_offset) // MS if entry.started else 0
        state = entry.state.value
        fields: list[object] = [
            *fact.address,
            entry.zone,
            entry.kind,
            entry.cell,
            state,
            entry.relative_capacity,
        ]
        return [*fields, started_ms, fact.creation, fact.process_start]

    def _decode(self, fields: list[object]) -> Fact:
        host, port, zone, kind, cell, state, units, started_ms, born, proof = fields
        numbers = (port, zone, kind, cell, started_ms, born, proof)
        if not isinstance(host, str) or not all(isinstance(number, int) for number in numbers):
            raise ValueError("an entry has fields of wrong types")
        if not isinstance(units, int | float) or not 0 < int(port) < 65536:  # type: ignore[call-overload]
            raise ValueError("an entry has an invalid size or port")
        started = max(1, int(started_ms) * MS - self.clock_offset) if started_ms else 0  # type: ignore[call-overload]
        entry = Endpoint(0, zone, kind, cell, State(state), float(units), started)  # type: ignore[arg-type]
        return Fact((host, port), entry, born, proof)  # type: ignore[arg-type]
