"""What every source of a registry does with what it hears: to the model, the log and the cache."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Container, Mapping

from garnethaven.membership.cache import Cache
from garnethaven.membership.merger import Merger
from garnethaven.membership.model import Fact
from garnethaven.membership.payloads import MS, Payload, Rules

LINE_S = 5.0  # between two log lines of one kind


class Telling:
    """One registry's side of the model. Until it is `settled` an earlier list serves: kept, or of before."""

    def __init__(
        self,
        name: str,
        merger: Merger,
        loop: asyncio.AbstractEventLoop,
        names: tuple[Mapping[str, int], Mapping[str, int]],
        log: Callable[[str], None],
        cache: str,
    ) -> None:
        self.name = name
        self.merger = merger
        self.loop = loop
        self.names = names
        self.log = log
        self.clock_offset = time.time_ns() - time.monotonic_ns()
        self.said_at: dict[str, float] = {}
        self.settled = False  # whether what an earlier life or another place told has been replaced
        self.cache = Cache(cache, loop, log, self.clock_offset) if cache else None

    def recall(self) -> None:
        """The list of an earlier life, if one was kept, serves until the registry is heard."""
        if self.cache is not None:
            known = self.cache.read()
            if known:
                self.merger.change(self.name, known)
            self.merger.changed.append(self._keep)

    def payload(self, rules: Rules) -> Payload:
        return Payload(rules, *self.names, self._local)

    def _local(self, wall_ms: int) -> int:
        """Local nanoseconds of a wall-clock time; one that is to come counts as now: the coldest there is."""
        return max(1, min(wall_ms * MS - self.clock_offset, time.monotonic_ns()))

    def wall_ms(self) -> int:
        """The wall clock as it went on since the start: a step of it is no change of the time."""
        return (time.monotonic_ns() + self.clock_offset) // MS

    def facts(self) -> Mapping[str, Fact]:
        """What the model holds of this registry."""
        return self.merger.model.sources[self.name].facts

    def left_over(self, now: Container[str]) -> dict[str, Fact | None]:
        """Ends of what was told before and is not there now; once, when all has been read first."""
        if self.settled:
            return {}
        self.settled = True
        return {key: None for key in self.facts() if key not in now}

    def contact(self, good: bool) -> None:
        if good:
            self.merger.model.regained(self.name)
        else:
            self.merger.model.lost(self.name, self.loop.time())

    def age_s(self) -> float:
        """How long it has not been sure that the list is the registry's, in seconds."""
        return self.merger.model.age_s(self.name, self.loop.time())

    def say(self, kind: str, text: str) -> None:
        """One line; one of each kind in `LINE_S`."""
        now = self.loop.time()
        if now - self.said_at.get(kind, -LINE_S) >= LINE_S:
            self.said_at[kind] = now
            self.log(text)

    def close(self) -> None:
        if self.cache is not None:
            self.cache.close()

    def _keep(self) -> None:
        if self.cache is not None and self.settled:
            self.cache.keep(self.facts())
