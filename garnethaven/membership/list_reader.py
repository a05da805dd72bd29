"""Reading discovery's list: the JSON of an answer to typed entries. No I/O, no clock.

What can't be read of an entry is no licence to send there, and harms no other entry:

- An unknown phase is draining, and so is SERVING without an address or with a cell, size or start that
  can't be.
- An entry without an id is left out.
- An endpoint that is listed twice is one entry: the stricter phase counts (DELETED, then DRAINING, then
  SERVING), and of two with the same phase the one with the later start. A wrong SERVING may break a drain,
  and a start that is too early may push a cold server over; the other way costs a share of one server.

Lists that hold such entries tell of them in `flaws`.
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
MAX_SIZE = 1e6  # of an endpoint, in units of the usual one
MAX_START_MS = 1 << 62
MAX_SHOWN_CHARACTERS = 100  # of an id in the log
STATES = {"SERVING": State.UP, "DRAINING": State.DRAINING, "DELETED": State.REMOVED}
STRICTNESS = {State.UP: 0, State.DRAINING: 1, State.REMOVED: 2}

Entry = tuple[Endpoint, Address | None]
Entries = list[Entry]


class ListError(Exception):
    """What discovery told is not a list of endpoints."""


class Flaw(Enum):
    """What is wrong with an entry, and what follows; the text is for the log."""

    UNREADABLE = "left out, without an id"
    UNKNOWN_PHASE = "of an unknown phase, taken for draining"
    UNSOUND = "without an address or with a figure that can't be, taken for draining"
    REPEATED = "of an endpoint that stands there already, the stricter phase counts"


@dataclass(slots=True)
class FlawedEntries:
    """How many entries of one list have one flaw, and the first of them."""

    count: int
    first: str


@dataclass(slots=True, frozen=True)
class EndpointList:
    """One list of discovery: the whole one where it is `complete`, else what changed up to `revision`."""

    revision: int
    complete: bool
    entries: Entries
    flaws: Mapping[Flaw, FlawedEntries] = field(default_factory=dict)

    def hides_changes(self) -> bool:
        """Whether these are changes of which one may have been lost: only a whole list tells."""
        return not self.complete and (Flaw.UNREADABLE in self.flaws or Flaw.REPEATED in self.flaws)

    def problems(self) -> str:
        """What is wrong with its entries, for the log; empty: nothing."""
        return "; ".join(
            f"entries {flaw.value}: {flawed.count}, the first {flawed.first}"
            for flaw, flawed in self.flaws.items()
        )


def number_of(endpoint: str) -> int:
    """The balancer's number of an endpoint's id, the same at every sidecar."""
    return int.from_bytes(endpoint.encode(), "big")


def name_of(number: int) -> str:
    """The id of an endpoint, given its `number_of`."""
    return number.to_bytes((number.bit_length() + 7) // 8, "big").decode(errors="surrogateescape")


class ListReader:
    """Reads lists in discovery's form.

    `zones` and `kinds` number the names of localities and flavors. `clock_offset` is wall-clock time less
    the local monotonic time, in nanoseconds; it stays the same for the life of the process, or an endpoint
    would seem restarted.
    """

    def __init__(self, zones: Mapping[str, int], kinds: Mapping[str, int], clock_offset: int) -> None:
        self.zones = zones
        self.kinds = kinds
        self.clock_offset = clock_offset

    def read_list(self, told: bytes | dict[str, Any]) -> EndpointList:
        """Read an answer's body, or JSON that has been decoded already; raises ListError."""
        try:
            facts = json.loads(told) if isinstance(told, bytes) else told
            revision, members = facts["revision"], facts["members"]
            complete = facts.get("complete", False)
        except (ValueError, TypeError, KeyError, AttributeError, RecursionError) as problem:
            # Not its repr: that of a UnicodeDecodeError holds the whole answer.
            raise ListError(f"cannot be read: {type(problem).__name__}: {problem}") from None
        if isinstance(revision, bool) or not isinstance(revision, int) or not isinstance(members, list):
            raise ListError("no revision or no members")
        if not isinstance(complete, bool):
            raise ListError("'complete' is neither true nor false")
        entries, flaws = self._read_entries(members)
        if complete and members and not entries:
            raise ListError(f"none of its {len(members)} entries can be read")
        return EndpointList(revision, complete, entries, flaws)

    def _read_entries(self, members: list[Any]) -> tuple[Entries, dict[Flaw, FlawedEntries]]:
        """All entries that can be read, one for each endpoint."""
        entries: dict[int, Entry] = {}
        flaws: dict[Flaw, FlawedEntries] = {}

        def note(flaw: Flaw, member: object) -> None:
            shown = repr(member)[:MAX_SHOWN_CHARACTERS] if flaw not in flaws else ""
            flaws.setdefault(flaw, FlawedEntries(0, shown)).count += 1

        for member in members:
            name = _read_id(member)
            if name is None:
                note(Flaw.UNREADABLE, member)
                continue
            entry, flaw = self._read_entry(name, member)
            if flaw is not None:
                note(flaw, name)
            number = entry[0].id
            if number in entries:
                note(Flaw.REPEATED, name)
                entry = max(entry, entries[number], key=_strictness)
            entries[number] = entry
        return list(entries.values()), flaws

    def _read_entry(self, name: str, member: dict[str, Any]) -> tuple[Entry, Flaw | None]:
        """One endpoint, and what is wrong with it."""
        address = parse_address(member.get("host_port"))
        known_phase = STATES.get(str(member.get("phase")))
        state = known_phase or State.DRAINING
        cell, size, up_since = member.get("cell", 0), member.get("size", 1.0), member.get("up_since_ms", 0)
        sound = _is_whole(cell) and _is_size(size) and _is_whole(up_since) and 0 <= up_since <= MAX_START_MS
        flaw = Flaw.UNKNOWN_PHASE if known_phase is None else None
        if state is State.UP and (address is None or not sound):
            state, flaw = State.DRAINING, Flaw.UNSOUND
        endpoint = Endpoint(
            id=number_of(name),
            zone=self.zones.get(str(member.get("locality")), len(self.zones)),
            kind=self.kinds.get(str(member.get("flavor")), len(self.kinds)),
            cell=cell if sound else 0,
            state=state,
            relative_capacity=float(size) if sound else 1.0,
            started=up_since * NANOSECONDS_PER_MS - self.clock_offset if sound and up_since else 0,
        )
        return (endpoint, address), flaw


def _strictness(entry: Entry) -> tuple[int, int]:
    """The order of two entries of one endpoint, the one that counts being the larger."""
    endpoint, _ = entry
    return STRICTNESS[endpoint.state], endpoint.started


def _read_id(member: object) -> str | None:
    """The id of an entry, if it has one that `number_of` and `name_of` can hold."""
    name = member.get("id") if isinstance(member, dict) else None
    if not isinstance(name, str) or not name or name[0] == "\0":
        return None
    try:
        return name if len(name.encode()) <= MAX_ID_BYTES else None
    except UnicodeEncodeError:  # half of a pair of surrogates
        return None


def _is_whole(value: object) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _is_size(value: object) -> bool:
    """Whether an endpoint may have this size; no NaN and no infinity, which JSON's reader lets through."""
    return isinstance(value, int | float) and not isinstance(value, bool) and 0 < value <= MAX_SIZE
