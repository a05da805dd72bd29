"""Reading discovery's list: the JSON of an answer to typed entries. No I/O, no clock."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from garnethaven.addresses import Address, parse_address
from garnethaven.interface import Endpoint, State

NANOSECONDS_PER_MS = 1_000_000
MAX_LIST_BYTES = 2 * 1024 * 1024
STATES = {"SERVING": State.UP, "DRAINING": State.DRAINING, "DELETED": State.REMOVED}

Entries = list[tuple[Endpoint, Address | None]]


class ListError(Exception):
    """What discovery told is not a list of endpoints."""


@dataclass(slots=True, frozen=True)
class EndpointList:
    """One list of discovery: the whole one where it is `complete`, else what changed up to `revision`."""

    revision: int
    complete: bool
    entries: Entries


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
            if isinstance(revision, bool) or not isinstance(revision, int) or not isinstance(members, list):
                raise ListError("no revision or no members")
            entries = [entry for entry in map(self._read_entry, members) if entry is not None]
            return EndpointList(revision, bool(facts.get("complete", False)), entries)
        except (ValueError, TypeError, KeyError, AttributeError, RecursionError) as problem:
            raise ListError(f"cannot be read: {problem!r}") from None

    def _read_entry(self, member: Any) -> tuple[Endpoint, Address | None] | None:
        """One endpoint; what cannot be read of it is no licence to send, and harms no other."""
        if not isinstance(member, dict) or not isinstance(member.get("id"), str):
            return None
        address = parse_address(member.get("host_port"))
        state = STATES.get(str(member.get("phase")), State.DRAINING)
        cell, size, up_since = member.get("cell", 0), member.get("size", 1.0), member.get("up_since_ms", 0)
        sound = isinstance(cell, int) and isinstance(size, int | float) and isinstance(up_since, int)
        if state is State.UP and (address is None or not sound):
            state = State.DRAINING
        entry = Endpoint(
            id=number_of(member["id"]),
            zone=self.zones.get(str(member.get("locality")), len(self.zones)),
            kind=self.kinds.get(str(member.get("flavor")), len(self.kinds)),
            cell=cell if sound else 0,
            state=state,
            units=float(size) if sound else 1.0,
            started=up_since * NANOSECONDS_PER_MS - self.clock_offset if sound and up_since else 0,
        )
        return entry, address
