"""Converts the entries of a key-value registry to facts, and reports unusable entries. No I/O.

Each key under the prefix is a server; its value has one of the formats of payloads.py. An entry that can't be
parsed is left out, without effect on others, and logged once for each of its versions.
"""

from __future__ import annotations

from collections import Counter

from garnethaven.membership.catchup import CreationTracker, Entry, ReportChanges
from garnethaven.membership.model import Fact
from garnethaven.membership.payloads import Payload, PayloadError

MAX_REMEMBERED_FLAWS = 4_096  # remembered versions of logged entries; a forgotten version may be logged again


class EntryConverter:
    """Converts entries to facts. `prefix` is put before each key, so that the keys of two places differ."""

    def __init__(self, prefix: str, payload: Payload) -> None:
        self.prefix = prefix
        self.payload = payload
        self.creations: CreationTracker[Fact] = CreationTracker(self._read)
        self.flaws: Counter[str] = Counter()  # number of unusable entries since the start, by reason
        self.logged_versions: dict[tuple[str, int], None] = {}  # key and revision, oldest first
        self.unlogged: list[str] = []  # messages that are not logged yet

    def convert(self, changes: ReportChanges, wall_ms: int) -> dict[str, Fact | None]:
        """The facts of the changed keys; None: the key was removed or its value is unusable."""
        facts = self.creations.update(changes, wall_ms)
        return {self.prefix + key: fact for key, fact in facts.items()}

    def _read(self, key: str, entry: Entry, since_ms: int) -> Fact | None:
        try:
            return self.payload.read(entry.value, entry.created, since_ms)
        except PayloadError as flaw:
            self._record_flaw(key, entry, str(flaw))
            return None

    def _record_flaw(self, key: str, entry: Entry, reason: str) -> None:
        version = (key, entry.modified)
        if version in self.logged_versions:
            return
        self.logged_versions[version] = None
        if len(self.logged_versions) > MAX_REMEMBERED_FLAWS:
            del self.logged_versions[next(iter(self.logged_versions))]
        self.flaws[reason] += 1
        self.unlogged.append(f"{key[:100]!r}: {reason}")

    def take_log_line(self) -> str:
        """One line of the messages that are not logged yet; empty if there are none."""
        unlogged, self.unlogged = self.unlogged, []
        if not unlogged:
            return ""
        rest = f" and {len(unlogged) - 3} more" if len(unlogged) > 3 else ""
        return "; ".join(unlogged[:3]) + rest
