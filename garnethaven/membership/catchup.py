"""Keeps a copy of a key-value registry consistent across connection losses. No I/O, no clock.

A registry numbers its changes: each has a *revision* (etcd's revision, Consul's index), and each answer
states the revision up to which it is complete. `CatchUp` holds the entries as of one revision R, so that the
copy always shows the whole registry at one moment. What a source receives is an event here; what the source
must do next is returned as orders.

| standing | copy | meaning |
| --- | --- | --- |
| reading | none | no complete snapshot has been received yet |
| following | all as of R | changes are received as they happen |
| broken | all as of R | contact is lost: the last list stays in use, however long that lasts |
| catching up | all as of R | contact is back, but the changes during the gap are not known yet |
| uncertain | all as of R | an answer was older than R, without proof that the registry itself went back |

| event | standing | next | orders |
| --- | --- | --- | --- |
| opened | reading | reading | read all |
| opened | any other | catching up | watch after R if the registry keeps its history, else read all |
| snapshot at r >= R | any | following | report the difference, contact is good, watch after r |
| snapshot at r < R, unproven | any | uncertain | read all, proven |
| snapshot at r < R, proven | any | following | as at r >= R: the history of the registry restarted |
| watching, at h >= R | catching up | following once R >= h | contact is good, once following |
| watching, or quiet, at h < R | any | uncertain | read all, proven |
| changes up to r > R | following, catching up | the same | report them |
| changes up to r <= R | any | the same | none: duplicate or out of order |
| quiet up to r >= R | following, catching up | following | contact is good |
| doubted | any other than reading | uncertain | read all, proven |
| compacted | any | catching up | read all, proven |
| lost | any | broken; reading stays reading | contact is lost |

A *proven* answer is confirmed by the registry's leader (etcd's linearizable reads, Consul's consistent mode).
Only a proven answer may decrease R.

Every removal is detected, and nothing else is taken for one:

1. A reported removal has a revision above R, and everything before it has been received, because changes
   arrive in the order of their revisions and R advances only to where an answer is complete.
2. A removal during a gap is reported when the watch continues after R; or, where history is gone, the key is
   *absent* from a snapshot at r >= R. The key existed at R, so absence proves that it was removed in between.
3. A snapshot older than R proves nothing, because the key may have been created after it. It is ignored
   unless it is proven; then R no longer belongs to the registry's history, and the snapshot replaces the
   copy.
4. Silence is never a removal.

A removed key never reappears: every answer that could still contain it is older than R.

A registry that answers for one name at a time (ephemeral nodes: the names as a list, each node separately)
has no single revision for the whole copy. `NameTracker` ensures the same for each name: a name that is absent
from a list requested after the name was recorded has been removed, and a node created no later than the known
removal of its name comes from a lagging host. Its standings are the same.

Bounds: at most `MAX_ENTRIES` entries. Further ones, in the order of the keys, are left out and counted, so
that a registry that is also used for other purposes can't exhaust this program's memory.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Generic, TypeVar

MAX_ENTRIES = 20_000
MAX_REMEMBERED_REMOVALS = (
    20_000  # removals of names that are remembered; a name whose removal is forgotten may reappear
)


class SyncState(Enum):
    """The standing of a copy; see the module's tables."""

    READING = "reading"
    FOLLOWING = "following"
    BROKEN = "broken"
    CATCHING_UP = "catching up"
    UNCERTAIN = "uncertain"


@dataclass(slots=True, frozen=True)
class Entry:
    """The value of a key, and the revisions of its creation and of its last change.

    A key that was removed and created again has another `created`. Sources truncate a value just beyond the
    maximum length, so that the memory for entries is bounded.
    """

    value: bytes
    created: int
    modified: int


# Orders


@dataclass(slots=True, frozen=True)
class ReadSnapshot:
    """Read a snapshot of the registry; `proven`: confirmed by the registry's leader."""

    proven: bool = False


@dataclass(slots=True, frozen=True)
class WatchChanges:
    """Request all changes after a revision."""

    after: int


@dataclass(slots=True, frozen=True)
class ReportChanges:
    """Report changed keys; None: removed."""

    entries: Mapping[str, Entry | None]
    from_snapshot: bool = False  # from a snapshot: the whole copy has been reported after this


@dataclass(slots=True, frozen=True)
class ReportContact:
    """Report whether the copy is up to date (`good`) or may lack changes."""

    good: bool


SyncAction = ReadSnapshot | WatchChanges | ReportChanges | ReportContact

CONNECTED_STATES = (SyncState.FOLLOWING, SyncState.CATCHING_UP)


class CatchUp:
    """The copy of a registry and its standing; see the tables above.

    `keeps_history`: the registry can send the changes after a revision (etcd), not only snapshots.
    """

    def __init__(self, keeps_history: bool) -> None:
        self.keeps_history = keeps_history
        self.sync_state = SyncState.READING
        self.revision = 0
        self.entries: dict[str, Entry] = {}
        self.excess_entries = 0  # entries beyond the bound in the last snapshot
        self.outdated_answers = 0  # number of answers older than the copy
        self.history_restarts = 0  # number of restarts of the registry's history
        self.gap_end = 0  # revision up to which a gap must be filled

    # Contact

    def opened(self) -> list[SyncAction]:
        """A connection to an endpoint is open."""
        if self.sync_state is SyncState.READING:
            return [ReadSnapshot()]
        self.sync_state = SyncState.CATCHING_UP
        return [WatchChanges(self.revision)] if self.keeps_history else [ReadSnapshot()]

    def lost(self) -> list[SyncAction]:
        if self.sync_state is not SyncState.READING:
            self.sync_state = SyncState.BROKEN
        return [ReportContact(False)]

    # Answers

    def snapshot(self, revision: int, entries: Mapping[str, Entry], proven: bool) -> list[SyncAction]:
        """A snapshot of the registry as of a revision."""
        if revision < self.revision:
            if not proven:
                return self._handle_outdated()
            self.outdated_answers += 1
            self.history_restarts += 1
        retained = dict(entries)
        if len(retained) > MAX_ENTRIES:
            retained = {key: retained[key] for key in sorted(retained)[:MAX_ENTRIES]}
        self.excess_entries = len(entries) - len(retained)
        changed: dict[str, Entry | None] = {key: None for key in self.entries if key not in retained}
        changed |= {key: entry for key, entry in retained.items() if self.entries.get(key) != entry}
        self.entries, self.revision = retained, revision
        self.sync_state = SyncState.FOLLOWING
        return [ReportChanges(changed, from_snapshot=True), ReportContact(True), WatchChanges(revision)]

    def watching(self, current_revision: int) -> list[SyncAction]:
        """A watch was opened when the registry was at `current_revision`."""
        if self.sync_state not in CONNECTED_STATES:
            return []
        if current_revision < self.revision:
            return self._handle_outdated()
        self.gap_end = current_revision
        return self._check_caught_up()

    def changes(self, revision: int, entries: Iterable[tuple[str, Entry | None]]) -> list[SyncAction]:
        """All changes since the last event, up to a revision, in the order in which they happened."""
        if self.sync_state not in CONNECTED_STATES or revision <= self.revision:
            return []
        reported: dict[str, Entry | None] = {}
        for key, entry in entries:
            if entry is None:
                if self.entries.pop(key, None) is not None or key in reported:
                    reported[key] = None
            elif entry.modified > self.revision and (key in self.entries or len(self.entries) < MAX_ENTRIES):
                self.entries[key] = reported[key] = entry
        self.revision = revision
        return [ReportChanges(reported), *self._check_caught_up()] if reported else self._check_caught_up()

    def progress(self, revision: int) -> list[SyncAction]:
        """There are no further changes up to a revision: the copy is up to date."""
        if self.sync_state not in CONNECTED_STATES:
            return []
        if revision < self.revision:
            return self._handle_outdated()
        self.revision = revision
        return self._check_caught_up()

    def compacted(self) -> list[SyncAction]:
        """The registry no longer has the changes after the revision of the copy."""
        self.sync_state = SyncState.CATCHING_UP
        return [ReadSnapshot(proven=True)]

    def leader_lost(self) -> list[SyncAction]:
        """An answer came from an endpoint that has had no contact with its leader for too long."""
        if self.sync_state is SyncState.READING:
            return [ReadSnapshot(proven=True)]
        self.sync_state = SyncState.UNCERTAIN
        return [ReportContact(False), ReadSnapshot(proven=True)]

    def _handle_outdated(self) -> list[SyncAction]:
        """An answer was older than the copy: the endpoint lags, or the registry's history restarted.

        Only a proven answer can distinguish the two.
        """
        self.outdated_answers += 1
        self.sync_state = SyncState.UNCERTAIN
        return [ReportContact(False), ReadSnapshot(proven=True)]

    def _check_caught_up(self) -> list[SyncAction]:
        if self.sync_state is SyncState.CATCHING_UP and self.revision >= self.gap_end:
            self.sync_state = SyncState.FOLLOWING
            return [ReportContact(True)]
        return []


Value = TypeVar("Value")


class CreationTracker(Generic[Value]):
    """Tracks since when the current creation of each key is known, and parses the values.

    A registry of keys does not report when a key was created. Keys in the first snapshot may be of any age
    and count as no start. A key that appears later counts as a server start at that time, unless its value
    contains a start time: a server assumed too cold gets less load than it could serve for a while, one
    assumed too warm may be overloaded.
    """

    def __init__(self, parse: Callable[[str, Entry, int], Value | None]) -> None:
        self.parse = parse
        # By key: `created` of its current creation, and the wall-clock milliseconds since when that is known;
        # 0 for a key of the first snapshot.
        self.creations: dict[str, tuple[int, int]] = {}
        self.has_snapshot = False

    def update(self, changes: ReportChanges, wall_ms: int) -> dict[str, Value | None]:
        """The parsed value of each key that changed; None: it was removed, or its value is unusable."""
        parsed: dict[str, Value | None] = {}
        for key, entry in changes.entries.items():
            if entry is None:
                self.creations.pop(key, None)
                parsed[key] = None
                continue
            known = self.creations.get(key)
            if known is None or known[0] != entry.created:
                known = self.creations[key] = entry.created, wall_ms if self.has_snapshot else 0
            parsed[key] = self.parse(key, entry, known[1])
        self.has_snapshot = self.has_snapshot or changes.from_snapshot
        return parsed


class NameTracker:
    """The current and the removed names of a registry that answers for one name at a time."""

    def __init__(self) -> None:
        self.current: dict[str, int] = {}  # revision of creation, by current name
        self.removed: dict[str, int] = {}  # the same, by removed name
        self.sync_state = SyncState.READING
        self.has_full_list = False

    # Contact

    def opened(self) -> None:
        """A connection to an endpoint is open; all names must be listed and read again."""
        self.sync_state = SyncState.CATCHING_UP if self.has_full_list else SyncState.READING

    def lost(self) -> None:
        if self.has_full_list:
            self.sync_state = SyncState.BROKEN

    def mark_complete(self) -> None:
        """All names have been received since contact came back."""
        self.has_full_list = True
        self.sync_state = SyncState.FOLLOWING

    # Names

    def accept(self, name: str, created: int) -> bool:
        """Record a name; False if its creation is older than its known removal: the endpoint lags.

        `created` is the revision of the node's creation.
        """
        if created <= self.removed.get(name, 0):
            self.sync_state = SyncState.UNCERTAIN
            return False
        self.current[name] = created
        return True

    def drop(self, name: str) -> None:
        """Drop a name without recording a removal: its node is missing or unusable."""
        self.current.pop(name, None)

    def remove(self, name: str) -> None:
        """Record the removal of a name."""
        created = self.current.pop(name, None)
        if created is None:
            return
        self.removed.pop(name, None)
        self.removed[name] = created
        if len(self.removed) > MAX_REMEMBERED_REMOVALS:
            del self.removed[next(iter(self.removed))]

    def remove_absent(self, listed: set[str]) -> list[str]:
        """Remove the names that a list requested after they were recorded lacks; returns them."""
        removed = [name for name in self.current if name not in listed]
        for name in removed:
            self.remove(name)
        return removed
