"""What hosts ask of the ensemble that they belong to, and a client's session in it."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from standins.zookeeper.records import Kind
from standins.zookeeper.tree import Change, Tree


@dataclass
class Session:
    id: int
    password: bytes
    timeout_ms: int
    heard_at: float = field(default_factory=time.monotonic)


class Member(Protocol):
    """A host, as the others see it."""

    def cut(self, session: int) -> None: ...


class Keeper(Protocol):
    """The ensemble, as a host sees it."""

    tree: Tree
    sessions: dict[int, Session]
    on_told: Callable[[int, Kind, str, float], None]
    on_listed: Callable[[int, str, list[str], float], None]

    @property
    def members(self) -> Sequence[Member]: ...
    def begin(self, timeout_ms: int) -> Session: ...
    def resume(self, session: int, password: bytes) -> Session | None: ...
    def ended(self, session: int) -> None: ...
    def changed(self, changes: list[Change]) -> None: ...
