"""The state of a Consul cluster: services with checks, keys, and an index that counts changes. No I/O."""

from __future__ import annotations

import base64
import copy
import time
from dataclasses import dataclass, field
from typing import Any


@dataclass
class Check:
    """A health check; `heard_at` is the monotonic time of its last heartbeat."""

    status: str = "passing"
    ttl_s: float = 0.0  # 0: needs no heartbeats
    heard_at: float = 0.0


@dataclass
class Instance:
    """A registered service instance with its checks by check id."""

    node: str
    id: str
    name: str
    address: str
    port: int
    meta: dict[str, str]
    created: int
    modified: int
    checks: dict[str, Check] = field(default_factory=dict)

    def health_entry(self) -> dict[str, Any]:
        """The entry of the instance in a response of `/v1/health/service`."""
        return {
            "Node": {"Node": self.node, "Address": "127.0.0.1"},
            "Service": {
                "ID": self.id,
                "Service": self.name,
                "Address": self.address,
                "Port": self.port,
                "Meta": self.meta,
                "CreateIndex": self.created,
                "ModifyIndex": self.modified,
            },
            "Checks": [{"CheckID": name, "Status": check.status} for name, check in self.checks.items()],
        }


@dataclass
class Key:
    value: bytes
    created: int
    modified: int


class Catalog:
    """Service instances by id, and keys; each change increments the index."""

    def __init__(self) -> None:
        self.index = 10
        self.instances: dict[str, Instance] = {}
        self.keys: dict[str, Key] = {}

    def reset_index(self) -> None:
        """Reset the index to its start and keep the data, as after the restore of a snapshot."""
        self.index = 10

    def backup(self) -> Catalog:
        return copy.deepcopy(self)

    def _next_index(self) -> int:
        self.index += 1
        return self.index

    # Services

    def register(
        self, name: str, id: str, address: str, port: int, meta: dict[str, str], ttl_s: float = 0.0
    ) -> None:
        index = self._next_index()
        previous = self.instances.get(id)
        created = previous.created if previous is not None else index
        status = "critical" if ttl_s else "passing"
        checks = {f"service:{id}": Check(status, ttl_s, time.monotonic())}
        self.instances[id] = Instance("node", id, name, address, port, meta, created, index, checks)

    def deregister(self, *ids: str) -> None:
        removed = [self.instances.pop(id) for id in ids if id in self.instances]
        if removed:
            self._next_index()

    def set_check(self, id: str, check: str, status: str | None) -> None:
        """Set the status of a check of an instance, or remove the check if `status` is None."""
        instance = self.instances[id]
        if status is None:
            instance.checks.pop(check, None)
        else:
            instance.checks.setdefault(check, Check()).status = status
        self._next_index()

    def heartbeat(self, check_id: str) -> bool:
        """Record a heartbeat of a check; return whether the check exists."""
        for instance in self.instances.values():
            check = instance.checks.get(check_id)
            if check is not None:
                check.heard_at = time.monotonic()
                if check.status != "passing":
                    check.status = "passing"
                    self._next_index()
                return True
        return False

    def expire(self, now: float) -> bool:
        """Set checks without a heartbeat within their time to live to critical; return whether any was."""
        expired = [
            check
            for instance in self.instances.values()
            for check in instance.checks.values()
            if check.ttl_s and check.status == "passing" and now > check.heard_at + check.ttl_s
        ]
        for check in expired:
            check.status = "critical"
        if expired:
            self._next_index()
        return bool(expired)

    # Keys

    def put(self, key: str, value: bytes) -> None:
        index = self._next_index()
        previous = self.keys.get(key)
        self.keys[key] = Key(value, previous.created if previous is not None else index, index)

    def delete(self, *keys: str) -> None:
        removed = [self.keys.pop(key) for key in keys if key in self.keys]
        if removed:
            self._next_index()

    # API responses

    def service(self, name: str, passing: bool) -> list[dict[str, Any]]:
        """The instances of a service; with `passing` only those whose checks all pass."""
        return [
            instance.health_entry()
            for instance in self.instances.values()
            if instance.name == name
            and (not passing or all(check.status == "passing" for check in instance.checks.values()))
        ]

    def keys_with_prefix(self, prefix: str) -> list[dict[str, Any]]:
        """The keys with a prefix, in order."""
        return [
            {
                "Key": key,
                "Value": base64.b64encode(entry.value).decode(),
                "CreateIndex": entry.created,
                "ModifyIndex": entry.modified,
                "LockIndex": 0,
                "Flags": 0,
            }
            for key, entry in sorted(self.keys.items())
            if key.startswith(prefix)
        ]
