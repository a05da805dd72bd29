"""Merges the facts of all sources and passes the resulting changes on in batches.

This module holds the event loop and the timers; model.py computes the changes, and batches.py decides when
they are passed on.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from garnethaven.addresses import Address
from garnethaven.interface import Endpoint, ListKind, State
from garnethaven.membership.batches import Batches
from garnethaven.membership.model import Fact, Member, Model
from garnethaven.membership.table import DISCOVERY

# A removal of this share of the servers, and of at least this many, is logged.
MASS_REMOVAL_SHARE, MASS_REMOVAL_MIN = 0.25, 2
Entries = list[tuple[Endpoint, Address | None]]
Learn = Callable[[ListKind, Entries], None]


class Merger:
    """Takes facts from sources and passes the resulting list changes to `learn`."""

    def __init__(
        self,
        model: Model,
        loop: asyncio.AbstractEventLoop,
        learn: Learn,
        log: Callable[[str], None] = lambda text: None,
    ) -> None:
        self.model = model
        self.log = log
        self.loop = loop
        self.learn = learn
        self.batches = Batches()
        self.timer: asyncio.TimerHandle | None = None
        self.batch_count = 0
        self.flush_callbacks: list[Callable[[], None]] = []  # callbacks, called after each flush

    # Sources

    def snapshot(self, name: str, facts: Mapping[str, Fact]) -> None:
        self.model.snapshot(name, facts, self.loop.time())
        self._schedule_flush()

    def change(self, name: str, facts: Mapping[str, Fact | None]) -> None:
        self.model.change(name, facts, self.loop.time())
        self._schedule_flush()

    def from_discovery(self, kind: ListKind, entries: Entries) -> None:
        """Take a list from discovery; replaces the transport's `learn` there."""
        facts: dict[str, Fact | None] = {
            str(entry.id): Fact(address, entry) if address is not None else None
            for entry, address in entries
            if entry.state is not State.REMOVED
        }
        if kind is ListKind.DELTA:
            facts |= {str(entry.id): None for entry, _ in entries if entry.state is State.REMOVED}
            self.model.change(DISCOVERY, facts, self.loop.time())
        else:
            known = {key: fact for key, fact in facts.items() if fact is not None}
            self.model.snapshot(DISCOVERY, known, self.loop.time())
        self.model.contact_regained(DISCOVERY)
        self.flush()  # the engine waits for discovery's answer, even if nothing changed

    # Passing changes on

    def _schedule_flush(self) -> None:
        if not self.model.has_changes() or self.timer is not None:
            return
        delay = self.batches.wait_s(self.loop.time())
        if delay <= 0.0:
            self.flush()
        else:
            self.timer = self.loop.call_later(delay, self.flush)

    def flush(self) -> None:
        """Pass all pending changes on now."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        started_at = self.loop.time()
        count_before = len(self.model.members)
        changed = self.model.take_changes()
        self.learn(ListKind.DELTA, [(member.entry, member.address) for member in changed])
        self._log_mass_removal(changed, count_before)
        self.batch_count += 1
        self.batches.done(started_at, self.loop.time())
        for callback in self.flush_callbacks:
            callback()

    def _log_mass_removal(self, changed: list[Member], total: int) -> None:
        """Log a removal of many servers at once, which takes effect like any other."""
        removed = [member for member in changed if member.entry.state is State.REMOVED]
        if len(removed) >= MASS_REMOVAL_MIN and len(removed) >= MASS_REMOVAL_SHARE * total:
            sources = ", ".join(sorted({member.source for member in removed}))
            self.log(
                f"{sources}: {len(removed)} of {total} servers have vanished at once; they get no requests"
            )

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
