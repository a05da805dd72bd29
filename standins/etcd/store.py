"""The key-value store of a cluster: revisions, event history, compaction and leases. No I/O but the clock."""

from __future__ import annotations

import copy
import time
from dataclasses import dataclass, field

from aetcd import rpc

PUT, DELETE = 0, 1


@dataclass
class Lease:
    """A lease; `heard_at` is the monotonic time of its last keep-alive."""

    id: int
    ttl_s: int
    heard_at: float = field(default_factory=time.monotonic)
    keys: set[bytes] = field(default_factory=set)


class Compacted(Exception):  # noqa: N818 - the term of etcd
    """The requested revision has been compacted."""


class Store:
    """Keys with their history; each write returns its events."""

    def __init__(self) -> None:
        self.revision = 1
        self.keys: dict[bytes, rpc.KeyValue] = {}
        self.history: list[rpc.Event] = []
        self.compacted = 0
        self.leases: dict[int, Lease] = {}

    def put(self, key: bytes, value: bytes, lease: int = 0) -> rpc.Event:
        self.revision += 1
        before = self.keys.get(key)
        kv = rpc.KeyValue(
            key=key,
            value=value,
            create_revision=before.create_revision if before is not None else self.revision,
            mod_revision=self.revision,
            version=before.version + 1 if before is not None else 1,
            lease=lease,
        )
        self.keys[key] = kv
        if lease:
            self.leases[lease].keys.add(key)
        event = rpc.Event(type=PUT, kv=kv, prev_kv=before)
        self.history.append(event)
        return event

    def delete(self, keys: list[bytes]) -> list[rpc.Event]:
        """Delete the keys that exist, in one revision, and return the events."""
        existing = [key for key in keys if key in self.keys]
        if not existing:
            return []
        self.revision += 1
        events = []
        for key in existing:
            before = self.keys.pop(key)
            deleted = rpc.KeyValue(key=key, mod_revision=self.revision)
            events.append(rpc.Event(type=DELETE, kv=deleted, prev_kv=before))
        self.history += events
        return events

    def keys_in_range(self, start: bytes, end: bytes) -> list[rpc.KeyValue]:
        return [self.keys[key] for key in sorted(self.keys) if in_range(key, start, end)]

    def events_since(self, revision: int, start: bytes, end: bytes) -> list[rpc.Event]:
        """The events of a key range from a revision on; raises Compacted."""
        if revision <= self.compacted:
            raise Compacted
        return [
            event
            for event in self.history
            if event.kv.mod_revision >= revision and in_range(event.kv.key, start, end)
        ]

    def compact(self, revision: int) -> None:
        self.compacted = revision
        self.history = [event for event in self.history if event.kv.mod_revision > revision]

    def backup(self) -> Store:
        return copy.deepcopy(self)


def in_range(key: bytes, start: bytes, end: bytes) -> bool:
    """Whether a key is in a range of the API.

    An empty `end` means the single key `start`, a zero byte all keys from `start` on.
    """
    if not end:
        return key == start
    return key >= start and (end == b"\0" or key < end)
