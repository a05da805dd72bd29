"""An ensemble of hosts on loopback ports, three by default, that share one tree and its sessions.

Faults:

- `expire(session)`: the session ends now, as after a timeout; its ephemeral nodes are deleted and its
  connections are reset.
- `host.cut()` resets a host's connections; `host.stop()` also refuses new ones, until `host.start()`.
- `host.stalled = True`: the host accepts and reads but sends nothing.
- `host.lag_s`: the host delays all messages that it sends.
- `host.loses_events = True`: the host resets a connection instead of sending it an event, which is lost.
- `host.fall_behind()`: the host serves the current state from now on; with `answers_old` it also serves
  clients that have seen a newer state, which a correct host rejects.
- `host.cut_off = True`: the host is partitioned from the others; it closes connections and serves no client.
- `host.read_only = True`: the host serves only clients that accept a read-only server.
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
from standins.zookeeper.records import ANYONE, EventType
from standins.zookeeper.sessions import Session
from standins.zookeeper.tree import EPHEMERAL, Change, Identity, Tree

EXPIRY_CHECK_S = 0.02
MIN_TIMEOUT_MS, MAX_TIMEOUT_MS = 200, 40_000


class Ensemble:
    """A ZooKeeper ensemble with hooks on what it writes to clients.

    `on_event_sent(session, kind, path, at)` is called after an event has been written to a client, and
    `on_children_sent(session, path, names, at)` after a reply with the children of a node.
    """

    def __init__(self, hosts: int = 3, tls: ssl.SSLContext | None = None) -> None:
        self.tree = Tree(lambda: int(time.time() * 1000))
        self.sessions: dict[int, Session] = {}
        self.session_ids = itertools.count((int(time.time() * 1000) << 24 & 0x00FFFFFFFFFFFFFF) + 1)
        self.hosts = [Host(self, tls) for _ in range(hosts)]
        self.on_event_sent: Callable[[int, EventType, str, float], None] = lambda session, kind, path, at: (
            None
        )
        self.on_children_sent: Callable[[int, str, list[str], float], None] = (
            lambda session, path, names, at: None
        )
        self.expired: list[int] = []
        self.expiry_task: asyncio.Task[None] | None = None

    async def start(self) -> Ensemble:
        for host in self.hosts:
            await host.start()
        self.expiry_task = asyncio.create_task(self._expire_sessions())
        return self

    async def close(self) -> None:
        if self.expiry_task is not None:
            self.expiry_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.expiry_task
        for host in self.hosts:
            host.stop()
        for host in self.hosts:
            await host.wait_for_tasks()

    @property
    def members(self) -> list[Host]:
        return self.hosts

    def addresses(self) -> list[str]:
        return [f"127.0.0.1:{host.port}" for host in self.hosts]

    # Writes for tests that play servers

    def create_node(self, path: str, data: bytes = b"", session: Session | None = None) -> None:
        """Create a node, ephemeral if a session is given; raises RequestError."""
        who = Identity(session.id if session is not None else 0)
        with self.tree.write() as changes:
            self.tree.create(path, data, ANYONE, EPHEMERAL if session is not None else 0, who)
        self.publish(list(changes))

    def set(self, path: str, data: bytes) -> None:
        with self.tree.write() as changes:
            self.tree.set_data(path, data, -1, Identity())
        self.publish(list(changes))

    def remove(self, path: str) -> None:
        with self.tree.write() as changes:
            self.tree.delete(path, -1, Identity())
        self.publish(list(changes))

    # Sessions

    def create_session(self, timeout_ms: int) -> Session:
        timeout = max(MIN_TIMEOUT_MS, min(MAX_TIMEOUT_MS, timeout_ms))
        session = Session(next(self.session_ids), os.urandom(16), timeout)
        self.sessions[session.id] = session
        return session

    def resume(self, session: int, password: bytes) -> Session | None:
        """The session, or None if it does not exist or the password is wrong."""
        found = self.sessions.get(session)
        if found is None or found.password != password:
            return None
        found.last_request_at = time.monotonic()
        return found

    def expire(self, session: int) -> None:
        """End a session: reset its connections and delete its ephemeral nodes in one write."""
        if self.sessions.pop(session, None) is None:
            return
        self.expired.append(session)
        for host in self.hosts:
            host.cut(session)
        with self.tree.write() as changes:
            self.tree.end_session(session)
        self.publish(list(changes))

    def session_closed(self, session: int) -> None:
        """Remove a session that the client has closed; its ephemeral nodes are deleted already."""
        self.sessions.pop(session, None)

    def publish(self, changes: list[Change]) -> None:
        """Notify the watchers on every host of the changes of a write."""
        for host in self.hosts:
            host.notify_watchers(changes)

    async def _expire_sessions(self) -> None:
        """Expire sessions whose clients have been silent for longer than their timeout."""
        while True:
            await asyncio.sleep(EXPIRY_CHECK_S)
            now = time.monotonic()
            for session in list(self.sessions.values()):
                if now > session.last_request_at + session.timeout_ms / 1000:
                    self.expire(session.id)
