"""The servers of a key-value registry: entries to facts, and word of those that can't be used. No I/O.

A key under the prefix is a server; its value is one of the forms of payloads.py. What can't be read harms
only itself: it is told of once for each of its versions, and left out.
"""

from __future__ import annotations

from collections import Counter

from garnethaven.membership.catchup import CreationTracker, Entry, Tell
from garnethaven.membership.model import Fact
from garnethaven.membership.payloads import Payload, PayloadError

FLAWS_MOST = 4_096  # versions that are remembered as told; beyond it the oldest may be told of again


class Entries:
    """`prefix` stands before each key of a fact, so that two places never meet."""

    def __init__(self, prefix: str, payload: Payload) -> None:
        self.prefix = prefix
        self.payload = payload
        self.creations: CreationTracker[Fact] = CreationTracker(self._read)
        self.flaws: Counter[str] = Counter()  # entries that could not be used, by reason, since the start
        self.told: dict[tuple[str, int], None] = {}  # the oldest first
        self.unsaid: list[str] = []  # lines for the log

    def take(self, told: Tell, wall_ms: int) -> dict[str, Fact | None]:
        made = self.creations.update(told, wall_ms)
        return {self.prefix + key: fact for key, fact in made.items()}

    def _read(self, key: str, entry: Entry, since_ms: int) -> Fact | None:
        try:
            return self.payload.read(entry.value, entry.created, since_ms)
        except PayloadError as flaw:
            self._note(key, entry, str(flaw))
            return None

    def _note(self, key: str, entry: Entry, reason: str) -> None:
        version = (key, entry.modified)
        if version in self.told:
            return
        self.told[version] = None
        if len(self.told) > FLAWS_MOST:
            del self.told[next(iter(self.told))]
        self.flaws[reason] += 1
        self.unsaid.append(f"{key[:100]!r}: {reason}")

    def say(self) -> str:
        """One line for what has not been said yet; empty: nothing."""
        unsaid, self.unsaid = self.unsaid, []
        if not unsaid:
            return ""
        more = f" and {len(unsaid) - 3} more" if len(unsaid) > 3 else ""
        return "; ".join(unsaid[:3]) + more
