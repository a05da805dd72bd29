"""Parses discovery's lists: the JSON of an answer into typed entries. No I/O, no clock.

An entry that can't be parsed completely gets no requests, and does not affect other entries:

- An endpoint in an unknown phase is treated as draining, and so is one that is SERVING without an address or
  with an invalid cell, size or start time.
- An entry without an id is ignored.
- Two entries of one endpoint become one entry: the stricter phase counts (DELETED, then DRAINING, then
  SERVING), and of two with the same phase the later start. A wrong SERVING may break a drain, and a start
  that is too early may overload a cold server; the opposite errors only cost a share of one server.

Such entries are counted in `flaws` of the list.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from garnethaven.addresses import Address, parse_address
from garnethaven.interface import Endpoint, State

NANOSECONDS_PER_MS = 1_000_000
MAX_ID_BYTES = 1024
MAX_SIZE = 1e6  # capacity of an endpoint, relative to a usual one
MAX_START_MS = 1 << 62
MAX_LOGGED_ENTRY_CHARACTERS = 100  # of an entry in the log
STATES = {"SERVING": State.UP, "DRAINING": State.DRAINING, "DELETED": State.REMOVED}
STRICTNESS = {State.UP: 0, State.DRAINING: 1, State.REMOVED: 2}

Entry = tuple[Endpoint, Address | None]
Entries = list[Entry]


class ListError(Exception):
    """An answer of discovery is not a list of endpoints."""


class Flaw(Enum):
    """A defect of an entry and its consequence; the text is logged."""

    UNREADABLE = "ignored, without an id"
    UNKNOWN_PHASE = "of an unknown phase, treated as draining"
    INVALID_VALUE = "without an address or with an invalid value, treated as draining"
    REPEATED = "that repeat an endpoint, the stricter phase counts"


@dataclass(slots=True)
class FlawedEntries:
    """The number of entries in a list with a certain flaw, and the first such entry."""

    count: int
    first: str


@dataclass(slots=True, frozen=True)
class EndpointList:
    """A list from discovery: the full list if `complete`, else the changes up to `revision`."""

    revision: int
    complete: bool
    entries: Entries
    flaws: Mapping[Flaw, FlawedEntries] = field(default_factory=dict)

    def may_lack_changes(self) -> bool:
        """Whether a change may be missing from this partial list, so that the full list is needed."""
        return not self.complete and (Flaw.UNREADABLE in self.flaws or Flaw.REPEATED in self.flaws)

    def describe_flaws(self) -> str:
        """The flaws of the entries as one line for the log; empty if there are none."""
        return "; ".join(
            f"entries {flaw.value}: {flawed.count}, the first is {flawed.first}"
            for flaw, flawed in self.flaws.items()
        )


def number_of(endpoint: str) -> int:
    """The balancer's number for an endpoint id; the same in every sidecar."""
    return int.from_bytes(endpoint.encode(), "big")


def name_of(number: int) -> str:
    """The endpoint id for a number from `number_of`."""
    return number.to_bytes((number.bit_length() + 7) // 8, "big").decode(errors="surrogateescape")


class ListReader:
    """Parses lists in discovery's format.

    `zones` and `kinds` map the names of localities and flavors to numbers. `clock_offset` is wall-clock time
    minus local monotonic time, in nanoseconds; it must not change during the life of the process, or
    endpoints would look restarted.
    """

    def __init__(self, zones: Mapping[str, int], kinds: Mapping[str, int], clock_offset: int) -> None:
        self.zones = zones
        self.kinds = kinds
        self.clock_offset = clock_offset

    def read_list(self, data: bytes | dict[str, Any]) -> EndpointList:
        """Parse an answer's body, or JSON that is decoded already; raises ListError."""
        try:
            fields = json.loads(data) if isinstance(data, bytes) else data
            revision, members = fields["revision"], fields["members"]
            complete = fields.get("complete", False)
        except (ValueError, TypeError, KeyError, AttributeError, RecursionError) as problem:
            # Not the repr: that of a UnicodeDecodeError contains the whole answer.
            raise ListError(f"cannot be read: {type(problem).__name__}: {problem}") from None
        if isinstance(revision, bool) or not isinstance(revision, int) or not isinstance(members, list):
            raise ListError("'revision' is not an integer or 'members' is not a list")
        if not isinstance(complete, bool):
            raise ListError("'complete' is neither true nor false")
        entries, flaws = self._read_entries(members)
        if complete and members and not entries:
            raise ListError(f"none of its {len(members)} entries can be read")
        return EndpointList(revision, complete, entries, flaws)

    def _read_entries(self, members: list[Any]) -> tuple[Entries, dict[Flaw, FlawedEntries]]:
        """All entries that can be parsed, one per endpoint, and the flaws found."""
        entries: dict[int, Entry] = {}
        flaws: dict[Flaw, FlawedEntries] = {}

        def record(flaw: Flaw, member: object) -> None:
            text = repr(member)[:MAX_LOGGED_ENTRY_CHARACTERS] if flaw not in flaws else ""
            flaws.setdefault(flaw, FlawedEntries(0, text)).count += 1

        for member in members:
            name = _read_id(member)
            if name is None:
                record(Flaw.UNREADABLE, member)
                continue
            entry, flaw = self._read_entry(name, member)
            if flaw is not None:
                record(flaw, name)
            number = entry[0].id
            if number in entries:
                record(Flaw.REPEATED, name)
                entry = max(entry, entries[number], key=_strictness)
            entries[number] = entry
        return list(entries.values()), flaws

    def _read_entry(self, name: str, member: dict[str, Any]) -> tuple[Entry, Flaw | None]:
        """The endpoint of one entry, and its flaw, if any."""
        address = parse_address(member.get("host_port"))
        known_phase = STATES.get(str(member.get("phase")))
        state = known_phase or State.DRAINING
        cell, size, up_since = member.get("cell", 0), member.get("size", 1.0), member.get("up_since_ms", 0)
        valid = _is_int(cell) and _is_size(size) and _is_int(up_since) and 0 <= up_since <= MAX_START_MS
        flaw = Flaw.UNKNOWN_PHASE if known_phase is None else None
        if state is State.UP and (address is None or not valid):
            state, flaw = State.DRAINING, Flaw.INVALID_VALUE
        endpoint = Endpoint(
            id=number_of(name),
            zone=self.zones.get(str(member.get("locality")), len(self.zones)),
            kind=self.kinds.get(str(member.get("flavor")), len(self.kinds)),
            cell=cell if valid else 0,
            state=state,
            relative_capacity=float(size) if valid else 1.0,
            started=up_since * NANOSECONDS_PER_MS - self.clock_offset if valid and up_since else 0,
        )
        return (endpoint, address), flaw


def _strictness(entry: Entry) -> tuple[int, int]:
    """Sort key for entries of one endpoint; the entry with the largest key counts."""
    endpoint, _ = entry
    return STRICTNESS[endpoint.state], endpoint.started


def _read_id(member: object) -> str | None:
    """The id of an entry; None if it has none that `number_of` and `name_of` can convert."""
    name = member.get("id") if isinstance(member, dict) else None
    if not isinstance(name, str) or not name or name[0] == "\0":
        return None
    try:
        return name if len(name.encode()) <= MAX_ID_BYTES else None
    except UnicodeEncodeError:  # a lone surrogate
        return None


def _is_int(value: object) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _is_size(value: object) -> bool:
    """Whether the value is a valid size; excludes NaN and infinity, which `json` accepts."""
    return isinstance(value, int | float) and not isinstance(value, bool) and 0 < value <= MAX_SIZE
