"""Connects one registry source to the model, the log and the cache."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Container, Mapping

from garnethaven.membership.cache import Cache
from garnethaven.membership.merger import Merger
from garnethaven.membership.model import Fact
from garnethaven.membership.payloads import MS, Payload, Rules

LOG_INTERVAL_S = 5.0  # minimum interval between two log lines of one kind


class SourceOutput:
    """The output of one registry source. Until it is `fully_read`, an earlier list stays in use.

    That list comes from the cache file or, after a reload, from the registry followed before.
    """

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
        self.logged_at: dict[str, float] = {}
        self.fully_read = False  # whether a full read has replaced the earlier list
        self.cache = Cache(cache, loop, log, self.clock_offset) if cache else None

    def load_cache(self) -> None:
        """Use the cached list, if there is one, until the registry has been read."""
        if self.cache is not None:
            known = self.cache.read()
            if known:
                self.merger.change(self.name, known)
            self.merger.flush_callbacks.append(self._save)

    def payload(self, rules: Rules) -> Payload:
        return Payload(rules, *self.names, self._to_local_ns)

    def _to_local_ns(self, wall_ms: int) -> int:
        """Monotonic nanoseconds of a wall-clock time; a future time counts as now, the coldest start."""
        return max(1, min(wall_ms * MS - self.clock_offset, time.monotonic_ns()))

    def wall_ms(self) -> int:
        """Wall-clock milliseconds, unaffected by steps of the clock after the start."""
        return (time.monotonic_ns() + self.clock_offset) // MS

    def facts(self) -> Mapping[str, Fact]:
        """The facts of this registry in the model."""
        return self.merger.model.sources[self.name].facts

    def initial_removals(self, current: Container[str]) -> dict[str, Fact | None]:
        """Removals of earlier facts whose keys are not in `current`; empty except at the first full read."""
        if self.fully_read:
            return {}
        self.fully_read = True
        return {key: None for key in self.facts() if key not in current}

    def set_contact(self, good: bool) -> None:
        """Record whether the list is known to be up to date."""
        if good:
            self.merger.model.contact_regained(self.name)
        else:
            self.merger.model.contact_lost(self.name, self.loop.time())

    def age_s(self) -> float:
        """Seconds since the list was last known to be up to date; 0 while it is."""
        return self.merger.model.age_s(self.name, self.loop.time())

    def log_limited(self, kind: str, text: str) -> None:
        """Log a line, at most one of each kind in `LOG_INTERVAL_S`."""
        now = self.loop.time()
        if now - self.logged_at.get(kind, -LOG_INTERVAL_S) >= LOG_INTERVAL_S:
            self.logged_at[kind] = now
            self.log(text)

    def close(self) -> None:
        if self.cache is not None:
            self.cache.close()

    def _save(self) -> None:
        if self.cache is not None and self.fully_read:
            self.cache.keep(self.facts())
