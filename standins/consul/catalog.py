"""What a Consul cluster holds: services with checks, keys, and an index that counts all changes. No I/O."""

from __future__ import annotations

import base64
import copy
import time
from dataclasses import dataclass, field
from typing import Any


@dataclass
class Check:
    status: str = "passing"
    ttl_s: float = 0.0  # 0: nothing has to keep it alive
    heard_at: float = 0.0


@dataclass
class Instance:
    node: str
    id: str
    name: str
    address: str
    port: int
    meta: dict[str, str]
    created: int
    modified: int
    checks: dict[str, Check] = field(default_factory=dict)

    def told(self) -> dict[str, Any]:
        """As `/v1/health/service` tells it."""
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
    def __init__(self) -> None:
        self.index = 10
        self.instances: dict[str, Instance] = {}
        self.keys: dict[str, Key] = {}

    def begin_anew(self) -> None:
        """The index starts again from its beginning, with all that is there, as after a restored snapshot."""
        self.index = 10

    def backup(self) -> Catalog:
        return copy.deepcopy(self)

    def _next(self) -> int:
        self.index += 1
        return self.index

    # Services

    def register(
        self, name: str, id: str, address: str, port: int, meta: dict[str, str], ttl_s: float = 0.0
    ) -> None:
        at = self._next()
        before = self.instances.get(id)
        created = before.created if before is not None else at
        status = "critical" if ttl_s else "passing"
        checks = {f"service:{id}": Check(status, ttl_s, time.monotonic())}
        self.instances[id] = Instance("node", id, name, address, port, meta, created, at, checks)

    def deregister(self, *ids: str) -> None:
        gone = [self.instances.pop(id) for id in ids if id in self.instances]
        if gone:
            self._next()

    def set_check(self, id: str, check: str, status: str | None) -> None:
        """Set a check of an instance, or take one away."""
        instance = self.instances[id]
        if status is None:
            instance.checks.pop(check, None)
        else:
            instance.checks.setdefault(check, Check()).status = status
        self._next()

    def hears(self, check_id: str) -> bool:
        """A sign of life for a check; whether there is one."""
        for instance in self.instances.values():
            check = instance.checks.get(check_id)
            if check is not None:
                check.heard_at = time.monotonic()
                if check.status != "passing":
                    check.status = "passing"
                    self._next()
                return True
        return False

    def expire(self, now: float) -> bool:
        """Checks that were not kept alive become critical; whether any did."""
        ended = [
            check
            for instance in self.instances.values()
            for check in instance.checks.values()
            if check.ttl_s and check.status == "passing" and now > check.heard_at + check.ttl_s
        ]
        for check in ended:
            check.status = "critical"
        if ended:
            self._next()
        return bool(ended)

    # Keys

    def put(self, key: str, value: bytes) -> None:
        at = self._next()
        before = self.keys.get(key)
        self.keys[key] = Key(value, before.created if before is not None else at, at)

    def delete(self, *keys: str) -> None:
        gone = [self.keys.pop(key) for key in keys if key in self.keys]
        if gone:
            self._next()

    # As the API tells it

    def service(self, name: str, passing: bool) -> list[dict[str, Any]]:
        return [
            one.told()
            for one in self.instances.values()
            if one.name == name and (not passing or all(c.status == "passing" for c in one.checks.values()))
        ]

    def under(self, prefix: str) -> list[dict[str, Any]]:
        return [
            {
                "Key": key,
                "Value": base64.b64encode(one.value).decode(),
                "CreateIndex": one.created,
                "ModifyIndex": one.modified,
                "LockIndex": 0,
                "Flags": 0,
            }
            for key, one in sorted(self.keys.items())
            if key.startswith(prefix)
        ]
