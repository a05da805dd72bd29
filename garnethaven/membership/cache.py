"""A file that keeps a source's last list over a restart, for a start while the registry is down.

What it holds was true once: the first list of the registry replaces it as a whole. A file that is missing,
broken or of another form is none; it can't be trusted to be complete. Written aside and renamed, at most
once a second; a write that fails is tried again after as long.
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

FORM = 1
EVERY_S = 1.0
FILE_MOST = 64 * 1024 * 1024


class Cache:
    """`clock_offset` is its source's: local nanoseconds and this are wall-clock ones."""

    def __init__(
        self, path: str, loop: asyncio.AbstractEventLoop, log: Callable[[str], None], clock_offset: int
    ) -> None:
        self.path = Path(path)
        self.loop = loop
        self.log = log
        self.clock_offset = clock_offset
        self.facts: Mapping[str, Fact] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.problem = ""  # of the last write, told once
        self.closed = False

    def read(self) -> dict[str, Fact]:
        """What was kept; nothing where there is no sound file."""
        try:
            if self.path.stat().st_size > FILE_MOST:
                raise ValueError("too large")
            told = json.loads(self.path.read_bytes())
            if told["form"] != FORM:
                raise ValueError(f"form {told['form']}")
            return {key: self._fact(value) for key, value in told["facts"].items()}
        except FileNotFoundError:
            return {}
        except (OSError, ValueError, TypeError, KeyError, AttributeError, RecursionError) as problem:
            self.log(f"registry: {self.path} is not used: {problem!r}")
            return {}

    def keep(self, facts: Mapping[str, Fact]) -> None:
        """Write what is known, soon; `facts` may go on changing."""
        self.facts = facts
        if self.timer is None:
            self.timer = self.loop.call_later(EVERY_S, self._write)

    def close(self) -> None:
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
            self._write()

    def _write(self) -> None:
        self.timer = None
        told = {"form": FORM, "facts": {key: self._told(fact) for key, fact in self.facts.items()}}
        aside = self.path.with_name(self.path.name + ".new")
        try:
            aside.write_text(json.dumps(told))
            os.replace(aside, self.path)
        except OSError as problem:
            self._fails(f"registry: {self.path} can't be written: {problem}")
        else:
            self.problem = ""

    def _fails(self, problem: str) -> None:
        """Tell of a problem once, and write again soon."""
        if problem != self.problem:
            self.log(problem)
        self.problem = problem
        if not self.closed:
            self.keep(self.facts)

    def _told(self, fact: Fact) -> list[object]:
        entry = fact.entry
        started_ms = (entry.started + self.clock_offset) // MS if entry.started else 0
        state = entry.state.value
        facts: list[object] = [
            *fact.address,
            entry.zone,
            entry.kind,
            entry.cell,
            state,
            entry.relative_capacity,
        ]
        return [*facts, started_ms, fact.born, fact.proof]

    def _fact(self, told: list[object]) -> Fact:
        host, port, zone, kind, cell, state, units, started_ms, born, proof = told
        numbers = (port, zone, kind, cell, started_ms, born, proof)
        if not isinstance(host, str) or not all(isinstance(number, int) for number in numbers):
            raise ValueError("an entry can't be read")
        if not isinstance(units, int | float) or not 0 < int(port) < 65536:  # type: ignore[call-overload]
            raise ValueError("an entry can't be read")
        started = max(1, int(started_ms) * MS - self.clock_offset) if started_ms else 0  # type: ignore[call-overload]
        entry = Endpoint(0, zone, kind, cell, State(state), float(units), started)  # type: ignore[arg-type]
        return Fact((host, port), entry, born, proof)  # type: ignore[arg-type]
