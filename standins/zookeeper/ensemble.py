"""Three hosts, or as many as are wanted, on loopback ports, that share one tree and its sessions.

Faults, by script:

- `expire(session)`: the session ends now, as after a silence; its nodes go, its connections are cut.
- `host.cut()` ends a host's connections and `host.stop()` also refuses new ones, until `host.start()`.
- `host.stalled = True` accepts and reads but says nothing; `host.lag_s` delays all that it says.
- `host.loses_events = True` cuts a connection in place of telling it an event: the event is lost with it.
- `host.fall_behind()` freezes what it serves; `answers_old` lets it serve clients that have seen newer,
  which a sound host refuses.
- `host.cut_off = True` partitions it from the others: it ends its connections and serves nobody.
- `host.read_only = True` answers only clients that take a read-only server.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import ssl
import time
from collections.abc import Callable

from standins.zookeeper.host import Host
from standins.zookeeper.records import ANYONE, Kind
from standins.zookeeper.sessions import Session
from standins.zookeeper.tree import EPHEMERAL, Change, Tree, Who

LOOK_S = 0.02
TIMEOUT_LEAST_MS, TIMEOUT_MOST_MS = 200, 40_000


class Ensemble:
    """`on_told(session, kind, path, at)` is called after an event's bytes have been written to a client, and
    `on_listed(session, path, names, at)` after a reply that tells a node's children."""

    def __init__(self, hosts: int = 3, tls: ssl.SSLContext | None = None) -> None:
        self.tree = Tree(lambda: int(time.time() * 1000))
        self.sessions: dict[int, Session] = {}
        self.numbers = itertools.count((int(time.time() * 1000) << 24 & 0x00FFFFFFFFFFFFFF) + 1)
        self.hosts = [Host(self, tls) for _ in range(hosts)]
        self.on_told: Callable[[int, Kind, str, float], None] = lambda session, kind, path, at: None
        self.on_listed: Callable[[int, str, list[str], float], None] = lambda session, path, names, at: None
        self.expired: list[int] = []
        self.looking: asyncio.Task[None] | None = None

    async def start(self) -> Ensemble:
        for host in self.hosts:
            await host.start()
        self.looking = asyncio.create_task(self._look())
        return self

    async def close(self) -> None:
        if self.looking is not None:
            self.looking.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.looking
        for host in self.hosts:
            host.stop()
        for host in self.hosts:
            await host.tasks_ended()

    @property
    def members(self) -> list[Host]:
        return self.hosts

    def addresses(self) -> list[str]:
        return [f"127.0.0.1:{host.port}" for host in self.hosts]

    # Short ways for those who play servers

    def make(self, path: str, data: bytes = b"", session: Session | None = None) -> None:
        """A node, ephemeral where a session owns it; raises RequestError."""
        who = Who(session.id if session is not None else 0)
        with self.tree.write() as changes:
            self.tree.create(path, data, ANYONE, EPHEMERAL if session is not None else 0, who)
        self.changed(list(changes))

    def set(self, path: str, data: bytes) -> None:
        with self.tree.write() as changes:
            self.tree.set_data(path, data, -1, Who())
        self.changed(list(changes))

    def remove(self, path: str) -> None:
        with self.tree.write() as changes:
            self.tree.delete(path, -1, Who())
        self.changed(list(changes))

    # Sessions

    def begin(self, timeout_ms: int) -> Session:
        timeout = max(TIMEOUT_LEAST_MS, min(TIMEOUT_MOST_MS, timeout_ms))
        session = Session(next(self.numbers), os.urandom(16), timeout)
        self.sessions[session.id] = session
        return session

    def resume(self, session: int, password: bytes) -> Session | None:
        """The session, where it lives and the password is its own."""
        known = self.sessions.get(session)
        if known is None or known.password != password:
            return None
        known.heard_at = time.monotonic()
        return known

    def expire(self, session: int) -> None:
        """End a session: its ephemeral nodes vanish in one write, and its connections are cut."""
        if self.sessions.pop(session, None) is None:
            return
        self.expired.append(session)
        for host in self.hosts:
            host.cut(session)
        with self.tree.write() as changes:
            self.tree.end_session(session)
        self.changed(list(changes))

    def ended(self, session: int) -> None:
        """The client has closed it; its nodes are gone already."""
        self.sessions.pop(session, None)

    def changed(self, changes: list[Change]) -> None:
        """A write has been done: every host tells those that watch there."""
        for host in self.hosts:
            host.tell(changes)

    async def _look(self) -> None:
        while True:
            await asyncio.sleep(LOOK_S)
            now = time.monotonic()
            for session in list(self.sessions.values()):
                if now > session.heard_at + session.timeout_ms / 1000:
                    self.expire(session.id)
