"""The rows of all members, merged by version, and the freshness of each. No clock, no I/O.

Theory. A *row* holds the counters that one member publishes in one incarnation (one process); its heartbeat
sequence number grows with each row that the member makes. Of two rows of one incarnation the one
with the larger heartbeat wins, so repeats, reordering and old rows change nothing: two tables that have
received the same rows are equal. Rows of earlier incarnations are kept for a while beside the current one,
because their counts are still valid.

Every row is read with its age. Clocks are not compared. An answer carries the age of each row *by the
answering member's clock*, and it was made after its request was sent; so a row is at most as old as stated
there, plus the time since the request was sent, on the reader's own clock. Delays and repeats in transit,
even of seconds, make a row look older than it is, never younger. A clock that is 1% fast or slow gives ages
with 1% error. Answers without a pending request (a repeat, a late answer) have no age and are dropped.

A member is *heard* while its row is not older than the horizon. Each row also states how many members its
author hears. If A hears B and B hears as many members as A, both hear the same ones, once the horizon has
passed since reachability last changed: rows are forwarded, so A has all rows that B hears, and B can't hear
as many with others missing. Such members share a view (`sharing_view`); all others, silent or isolated, are
ignored. So the sides of any partition, in one direction or both, each agree on who is on their side, without
exchanging lists of members.

Times are integer nanoseconds of the caller's monotonic clock, ages nanoseconds.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

import msgspec

MAX_PAST_INCARNATIONS = 3  # kept per member; bounds the memory for one that restarts repeatedly
NAME_MOST = 64  # characters


class Row(msgspec.Struct, frozen=True, array_like=True):
    """One member's published counters; `topics`: by topic, encoded; forwarded undecoded."""

    name: str
    incarnation: int  # incarnation
    beat: int  # heartbeat sequence number
    heard: int  # members that it hears, including itself
    topics: dict[str, msgspec.Raw] = {}

    @property
    def version(self) -> tuple[int, int]:
        """The order of a member's rows: a larger version is later and refutes reports about earlier ones."""
        return self.incarnation, self.beat


@dataclass(slots=True)
class StoredRow:
    """A row in one reader's table."""

    row: Row
    made_at: int  # earliest possible time, on this reader's clock
    serial: int  # sequence number of the change in this reader's table


class Freshness(NamedTuple):
    """How much of the fleet a reader has fresh rows of."""

    heard: int  # members with a fresh row, including the reader
    members: int  # all counted members
    oldest: int  # age of the oldest fresh row

    @property
    def share(self) -> float:
        return self.heard / max(1, self.members)


class Rows:
    """One reader's table. It holds at most `most` members; rows of further ones are left out and counted."""

    def __init__(self, own: str, horizon: int, most: int) -> None:
        self.own = own
        self.horizon = horizon
        self.most = most
        self.serial = 0
        self.current: dict[str, StoredRow] = {}  # rows of current incarnations
        self.past: dict[str, dict[int, StoredRow]] = {}  # earlier incarnations, until forgotten
        self.left_out = 0

    # Writing

    def publish(self, now: int, row: Row) -> None:
        """Store this member's own row."""
        self.learn(now, row, 0)

    def learn(self, now: int, row: Row, age: int) -> bool:
        """Merge a row; return whether it was new. Raises nothing, whatever the row holds."""
        kept = self.current.get(row.name)
        made_at = now - max(0, age)
        if kept is None:
            if len(self.current) >= self.most or len(row.name) > NAME_MOST:
                self.left_out += 1
                return False
            self.current[row.name] = self._store(row, made_at)
            return True
        if row.incarnation < kept.row.incarnation:
            return self._learn_past_incarnation(row, made_at)
        if row.version <= kept.row.version:
            if row.version == kept.row.version:
                kept.made_at = max(kept.made_at, made_at)  # the tighter bound of the two
            return False
        if row.incarnation > kept.row.incarnation:
            self._learn_past_incarnation(kept.row, kept.made_at)
        else:
            made_at = max(made_at, kept.made_at)  # it was made after the previous row
        self.current[row.name] = self._store(row, made_at)
        return True

    def _store(self, row: Row, made_at: int) -> StoredRow:
        self.serial += 1
        return StoredRow(row, made_at, self.serial)

    def _learn_past_incarnation(self, row: Row, made_at: int) -> bool:
        incarnations = self.past.setdefault(row.name, {})
        known = incarnations.get(row.incarnation)
        if known is not None and known.row.beat >= row.beat:
            return False
        incarnations[row.incarnation] = self._store(row, made_at)
        if len(incarnations) > MAX_PAST_INCARNATIONS:
            del incarnations[min(incarnations)]
        return row.incarnation in incarnations

    def forget(self, name: str) -> None:
        """Remove a member that is no longer counted."""
        self.current.pop(name, None)
        self.past.pop(name, None)

    def forget_past(self, before: int) -> None:
        """Drop earlier incarnations whose last row was made before that time."""
        for name, incarnations in list(self.past.items()):
            for incarnation in [
                incarnation for incarnation, kept in incarnations.items() if kept.made_at < before
            ]:
                del incarnations[incarnation]
            if not incarnations:
                del self.past[name]

    # Reading

    def age(self, now: int, name: str) -> int | None:
        """The maximum age of a member's row; None without a row."""
        kept = self.current.get(name)
        return None if kept is None else now - kept.made_at

    def is_fresh(self, now: int, name: str) -> bool:
        """Whether a member's row is not older than the horizon; always true for this member."""
        kept = self.current.get(name)
        return name == self.own or (kept is not None and now - kept.made_at <= self.horizon)

    def heard(self, now: int) -> int:
        """The number of members heard, including this one."""
        oldest_fresh = now - self.horizon
        others = sum(kept.made_at >= oldest_fresh for name, kept in self.current.items() if name != self.own)
        return 1 + others

    def freshness(self, now: int, members: int) -> Freshness:
        """The freshness of the table, for a fleet of `members`."""
        oldest_fresh = now - self.horizon
        ages = [now - kept.made_at for name, kept in self.current.items() if kept.made_at >= oldest_fresh]
        return Freshness(self.heard(now), members, max(ages, default=0))

    def sharing_view(self, now: int) -> list[Row]:
        """The rows of the others that share this member's view: heard, and hearing at least as many."""
        oldest_fresh, own_heard = now - self.horizon, self.heard(now)
        return [
            kept.row
            for name, kept in self.current.items()
            if name != self.own and kept.made_at >= oldest_fresh and kept.row.heard >= own_heard
        ]

    def all_incarnations(self) -> Iterator[Row]:
        """The rows of all known incarnations, for their counts."""
        for kept in self.current.values():
            yield kept.row
        for incarnations in self.past.values():
            for kept in incarnations.values():
                yield kept.row

    def since(self, serial: int) -> list[StoredRow]:
        """The rows changed after that serial, the latest change first."""
        changed = [kept for kept in self.current.values() if kept.serial > serial]
        changed += [kept for past in self.past.values() for kept in past.values() if kept.serial > serial]
        changed.sort(key=lambda kept: kept.serial, reverse=True)
        return changed
