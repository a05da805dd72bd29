"""Merges servers from several sources into one list, with a reason for each entry. No I/O, no clock.

A *source* reports *facts*, each under a key of its own (a name, a node's path): an address, what is known of
the server there, and the position of the fact in the source's order of creations. A server is identified by
its address: sources that report the same address report the same server, and all instances derive the same
number from the address.

- *Within a source* the newest fact of an address counts. A server that returned quickly is listed twice until
  its old session expires, and the removal of the old fact must not remove the new one.
- *Between sources* the first in precedence that lists an address owns it; only the owner makes a server
  usable. A source with lower precedence may drop it: during a migration from one registry to another, all
  servers are dropped there.
- *Removals take effect at once*, even if sources with lower precedence still list the server, because their
  facts are older than the removal. The server returns when a source reports something new: a fact that
  differs from the one that the source reported before the removal.
- *Moves*: where the operator declares that servers move from one source to another, a removal in the first
  changes the owner, if the second lists the address and is in contact. The server is not removed in between
  and keeps its known start time, unless the new fact proves another.
- *A zone may have its own precedence*: the zone in the fact of the first source counts.
- *DRAINING wins*, whichever source reports it, as long as it is in that source's newest fact of the address.
- *A restarted server is cold*. A fact of another creation means a new process, unless both facts have the
  same start time reported by the server, which proves that the process never stopped. Of several start times
  the latest counts: a server assumed too cold costs a share of its capacity, one assumed too warm may be
  overloaded.
- *Lost contact* removes no server: the last facts stay in use, and their age is reported.

| reason of an entry | meaning |
| --- | --- |
| listed | its owner lists it |
| draining | some source reports that it drains |
| vanished | its owner listed it and no longer does |
| unlisted | no source lists it any more |
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum

from garnethaven.addresses import Address
from garnethaven.interface import Endpoint, State


class Reason(Enum):
    LISTED = "listed"
    DRAINING = "draining"
    VANISHED = "vanished"
    UNLISTED = "unlisted"


@dataclass(slots=True, frozen=True)
class Fact:
    """What a source reports under one key. `entry.id` is not used: the address determines the number."""

    address: Address
    entry: Endpoint
    creation: int = 0  # position in the source's order of creations; the largest is the newest
    process_start: int = 0  # start time reported by the server itself, in the source's unit; 0: none


@dataclass(slots=True, frozen=True)
class Member:
    """One server of the merged list."""

    entry: Endpoint
    address: Address
    source: str
    reason: Reason


@dataclass(slots=True)
class SourceFacts:
    """The facts of one source, by key and by address."""

    name: str
    facts: dict[str, Fact] = field(default_factory=dict)
    keys: dict[Address, set[str]] = field(default_factory=dict)
    lost_at: float | None = None
    updated_at: float | None = None

    def set_fact(self, key: str, fact: Fact | None) -> set[Address]:
        """Set or drop one fact; returns the addresses that this affects."""
        touched: set[Address] = set()
        before = self.facts.pop(key, None)
        if before is not None:
            touched.add(before.address)
            keys = self.keys[before.address]
            keys.discard(key)
            if not keys:
                del self.keys[before.address]
        if fact is not None:
            touched.add(fact.address)
            self.facts[key] = fact
            self.keys.setdefault(fact.address, set()).add(key)
        return touched if before != fact else set()

    def newest(self, address: Address) -> Fact | None:
        keys = self.keys.get(address)
        if not keys:
            return None
        return max((self.facts[key] for key in keys), key=lambda fact: fact.creation)


@dataclass(slots=True)
class ServerRecord:
    """What is stored for one address: its owner and the start time of its server."""

    owner: str
    fact: Fact
    started: int
    removed: bool = False  # dropped by its owner
    stale_facts: dict[str, Fact] = field(default_factory=dict)  # the facts of the other sources at that time


class Model:
    """The merged list of servers. `precedence` names all sources, in descending precedence.

    Input comes by `snapshot`, `change`, `contact_lost` and `contact_regained`; `take_changes` returns the
    resulting changes.
    """

    MAX_REMOVED_RECORDS = 20_000  # bounds memory under endless churn

    def __init__(
        self,
        precedence: Iterable[str],
        moves: Iterable[tuple[str, str]] = (),
        zones: Mapping[int, tuple[str, ...]] | None = None,
    ) -> None:
        self.sources = {name: SourceFacts(name) for name in precedence}
        self.moves = frozenset(moves)
        self.zones = zones or {}
        self.moved = 0  # number of servers that changed their owner without a removal
        self.records: dict[Address, ServerRecord] = {}
        self.members: dict[Address, Member] = {}
        self.dirty: set[Address] = set()

    # Input from sources

    def snapshot(self, name: str, facts: Mapping[str, Fact], now: float) -> None:
        """Replace all facts of a source; earlier facts that are missing here are dropped."""
        source = self.sources[name]
        for key in [key for key in source.facts if key not in facts]:
            self.dirty |= source.set_fact(key, None)
        self.change(name, facts, now)

    def change(self, name: str, facts: Mapping[str, Fact | None], now: float) -> None:
        """Set some facts of a source; None drops one."""
        source = self.sources[name]
        source.updated_at = now
        for key, fact in facts.items():
            self.dirty |= source.set_fact(key, fact)

    def contact_lost(self, name: str, now: float) -> None:
        """Contact with a source is lost: its facts stay."""
        source = self.sources[name]
        if source.lost_at is None:
            source.lost_at = now

    def contact_regained(self, name: str) -> None:
        self.sources[name].lost_at = None

    def age_s(self, name: str, now: float) -> float:
        """Seconds since contact with the source was lost; 0 while there is contact."""
        lost_at = self.sources[name].lost_at
        return now - lost_at if lost_at is not None else 0.0

    # The merged list

    def has_changes(self) -> bool:
        return bool(self.dirty)

    def affects_members(self) -> bool:
        """Whether a pending change concerns a current member."""
        return any(address in self.members for address in self.dirty)

    def take_changes(self) -> list[Member]:
        """The members that changed since the last call; removed ones in the state REMOVED."""
        changed: list[Member] = []
        dirty, self.dirty = self.dirty, set()
        for address in sorted(dirty):
            before, after = self.members.get(address), self._merge(address)
            if after is None or after.entry.state is State.REMOVED:
                self.members.pop(address, None)
                if before is not None:
                    removed = replace(before.entry, state=State.REMOVED)
                    reason = after.reason if after is not None else Reason.UNLISTED
                    changed.append(Member(removed, address, before.source, reason))
            elif after != before:
                self.members[address] = after
                changed.append(after)
        self._forget()
        return changed

    def _merge(self, address: Address) -> Member | None:
        """The current member at an address; in the state REMOVED if its owner dropped it; None if unknown."""
        facts = {name: fact for name, source in self.sources.items() if (fact := source.newest(address))}
        record = self.records.get(address)
        if record is not None and not record.removed and record.owner not in facts:
            successor = self._successor(record, facts)
            if successor is not None:
                self.moved += 1
                fact = facts[successor]
                same_process = (
                    not fact.process_start
                    or not record.fact.process_start
                    or fact.process_start == record.fact.process_start
                )
                started = record.started if same_process else max(fact.entry.started, record.started)
                # From here on the successor's fact identifies the process.
                record = self.records[address] = ServerRecord(successor, fact, started)
        if record is not None and record.owner not in facts:
            if not record.removed:
                record.removed, record.stale_facts = True, dict(facts)
            facts = {name: fact for name, fact in facts.items() if record.stale_facts.get(name) != fact}
            if not facts:
                removed_entry = replace(record.fact.entry, id=number_of(address), state=State.REMOVED)
                return Member(removed_entry, address, record.owner, Reason.VANISHED)
        if not facts:
            return None
        owner = self._owner(facts)
        fact = facts[owner]
        started = self._started(record, owner, facts)
        self.records[address] = ServerRecord(owner, fact, started)
        draining = any(other.entry.state is not State.UP for other in facts.values())
        state = State.DRAINING if draining else State.UP
        reason = Reason.DRAINING if draining else Reason.LISTED
        entry = replace(fact.entry, id=number_of(address), state=state, started=started)
        return Member(entry, address, owner, reason)

    def _owner(self, facts: Mapping[str, Fact]) -> str:
        first = next(iter(facts))
        order = self.zones.get(facts[first].entry.zone, ())
        return next((name for name in order if name in facts), first)

    def _successor(self, record: ServerRecord, facts: Mapping[str, Fact]) -> str | None:
        """The source to which a server has moved, if any of those that list it."""
        for name in facts:
            if (record.owner, name) in self.moves and self.sources[name].lost_at is None:
                return name
        return None

    def _started(self, record: ServerRecord | None, owner: str, facts: Mapping[str, Fact]) -> int:
        """The start time of the server at an address, for slow start.

        A source to which servers move lists running servers as new ones, so it counts only with a proof.
        """
        fact = facts[owner]
        others = [
            other.entry.started
            for name, other in facts.items()
            if other is not fact and (other.process_start or (owner, name) not in self.moves)
        ]
        if record is None:
            return max(fact.entry.started, *others, 0)
        before = record.fact
        if fact.process_start and fact.process_start == before.process_start:
            return record.started  # the process proves that it never stopped
        same_creation = fact.creation != 0 or fact.entry.started == before.entry.started
        if same_creation and (fact.creation, fact.process_start) == (before.creation, before.process_start):
            return max(record.started, *others, 0)
        return max(fact.entry.started, *others, 0)

    def _forget(self) -> None:
        """Drop the oldest records of removed servers above the bound; one that returns then counts as new."""
        excess = len(self.records) - len(self.members) - self.MAX_REMOVED_RECORDS
        if excess > 0:
            for address in [removed for removed in self.records if removed not in self.members][:excess]:
                del self.records[address]


def number_of(address: Address) -> int:
    """The balancer's number for an address: the same at every instance."""
    return int.from_bytes("{}:{}".format(*address).encode(), "big")
