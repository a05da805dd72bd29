"""Client sessions, and the interface of the ensemble to its hosts."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from standins.zookeeper.records import EventType
from standins.zookeeper.tree import Change, Tree


@dataclass
class Session:
    """A client session; `heard_at` is the monotonic time of its last request."""

    id: int
    password: bytes
    timeout_ms: int
    last_request_at: float = field(default_factory=time.monotonic)


class Member(Protocol):
    """The interface of a host to the other hosts."""

    def cut(self, session: int) -> None: ...


class EnsembleProtocol(Protocol):
    """The interface of the ensemble to its hosts."""

    tree: Tree
    sessions: dict[int, Session]
    on_event_sent: Callable[[int, EventType, str, float], None]
    on_children_sent: Callable[[int, str, list[str], float], None]

    @property
    def members(self) -> Sequence[Member]: ...
    def create_session(self, timeout_ms: int) -> Session: ...
    def resume(self, session: int, password: bytes) -> Session | None: ...
    def session_closed(self, session: int) -> None: ...
    def publish(self, changes: list[Change]) -> None: ...
