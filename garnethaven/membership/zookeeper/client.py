"""The I/O of a ZooKeeper client: one connection at a time, its timers, and the reconnects.

session.py implements the protocol, hosts.py chooses the next host and the delay before it. Everything
runs on the program's event loop: an event is handled in the loop iteration that reads its bytes.
"""

from __future__ import annotations

import asyncio
import contextlib
import ssl
from typing import Protocol, cast

from garnethaven.membership.hosts import Hosts
from garnethaven.membership.zookeeper.records import Op
from garnethaven.membership.zookeeper.session import (
    Event,
    HostUnusable,
    Session,
    SessionExpired,
    SessionResumed,
    SessionStarted,
    State,
)

MAX_CONNECT_TIMEOUT_S = 2.0
CLOSE_TIMEOUT_S = 1.0  # for the host to confirm that the session is closed
MAX_UNWRITTEN_BYTES = 1024 * 1024  # written but not read by the host; above it the connection is dropped


class SessionUser(Protocol):
    """The callbacks of the session's user."""

    def up(self) -> None:
        """A session is up, new or resumed: set the watches and read everything."""

    def down(self, reason: str) -> None:
        """The connection is lost; this does not invalidate what was read before."""

    def expired(self) -> None:
        """The session has expired, and its ephemeral nodes no longer exist."""

    def event(self, event: Event) -> None:
        """A reply, a lost request or a watch event."""


class Connection(asyncio.Protocol):
    """One connection; reports to its client while it is the client's current one."""

    def __init__(self, client: Client) -> None:
        self.client = client
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transports do not derive from it
        self.transport.set_write_buffer_limits(high=MAX_UNWRITTEN_BYTES)
        self.client.connected(self)

    def data_received(self, data: bytes) -> None:
        if self.client.connection is self:
            self.client.received(data)

    def pause_writing(self) -> None:
        """The host does not read: `MAX_UNWRITTEN_BYTES` bytes are waiting to be sent."""
        if self.client.connection is self:
            self.client.drop_connection("the host does not read requests")

    def connection_lost(self, error: Exception | None) -> None:
        if self.client.connection is self:
            self.client.drop_connection(f"the connection ended{f': {error}' if error else ''}")

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class Client:
    """Keeps a session up for its user until `close` is called, reconnecting to one host after another."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        session: Session,
        hosts: Hosts,
        user: SessionUser,
        tls: ssl.SSLContext | None = None,
        tls_name: str = "",
    ) -> None:
        self.loop = loop
        self.session = session
        self.hosts = hosts
        self.user = user
        self.tls = tls
        self.tls_name = tls_name
        self.connection: Connection | None = None
        self.connect_task: asyncio.Task[None] | None = None
        self.reconnect_timer: asyncio.TimerHandle | None = None
        self.tick_timer: asyncio.TimerHandle | None = None
        self.up_at = 0.0
        self.closing = False
        self.connection_ended: asyncio.Future[None] = loop.create_future()
        self.connects = 0
        self.expirations = 0

    def start(self) -> None:
        self._start_connecting()

    def request(self, op: Op, body: bytes, tag: object) -> bool:
        """Queue a request if a session is up; `flush` writes it. Returns whether it was queued."""
        if self.session.state is not State.UP:
            return False
        self.session.request(op, body, tag)
        return True

    def flush(self) -> None:
        """Write the queued requests and set the timer for the next ping or the silence limit."""
        wire = self.connection
        if wire is None or wire.transport is None:
            return
        output = self.session.take_output(self.loop.time())
        if output:
            wire.transport.write(output)
        if self.connection is wire:  # `write` may have dropped the connection because of a full buffer
            self._set_tick_timer()

    async def close(self) -> None:
        """Close the session, so that its nodes are deleted now and not after the session timeout."""
        self.closing = True
        for timer in (self.reconnect_timer, self.tick_timer):
            if timer is not None:
                timer.cancel()
        if self.connect_task is not None:
            self.connect_task.cancel()
        if self.connection is not None and self.session.state is State.UP:
            self.session.request(Op.CLOSE, b"", None)
            self.flush()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(asyncio.shield(self.connection_ended), CLOSE_TIMEOUT_S)
        wire, self.connection = self.connection, None
        if wire is not None:
            wire.abort()

    # Connecting

    def _start_connecting(self) -> None:
        self.reconnect_timer = None
        if not self.closing:
            self.connect_task = self.loop.create_task(self._connect())

    async def _connect(self) -> None:
        host, port = self.hosts.next()
        timeout_s = min(MAX_CONNECT_TIMEOUT_S, self.session.timeout_s / 3)
        tls, server_name = self.tls, (self.tls_name or host) if self.tls else None
        try:
            async with asyncio.timeout(timeout_s):
                await self.loop.create_connection(
                    lambda: Connection(self), host, port, ssl=tls, server_hostname=server_name
                )
        except (OSError, TimeoutError) as error:
            self.connect_task = None
            if self.connection is None:
                self._schedule_reconnect(f"{host}:{port} can't be reached: {str(error) or 'timed out'}")

    def connected(self, wire: Connection) -> None:
        self.connect_task = None
        if self.closing or self.connection is not None:
            wire.abort()
            return
        self.connection = wire
        self.connects += 1
        self.session.connect(self.loop.time())
        self.flush()

    def _schedule_reconnect(self, reason: str, refused: bool = False) -> None:
        """Connect to the next host after the backoff; when closing, only report that the connection ended."""
        if self.closing:
            if not self.connection_ended.done():
                self.connection_ended.set_result(None)
            return
        self.user.down(reason)
        self.reconnect_timer = self.loop.call_later(self.hosts.wait_s(refused), self._start_connecting)

    def drop_connection(self, reason: str, refused: bool = False) -> None:
        """Drop the connection: its pending requests are lost, the session may be resumed on another."""
        wire, self.connection = self.connection, None
        if wire is not None:
            wire.abort()
        if self.tick_timer is not None:
            self.tick_timer.cancel()
        if self.up_at and self.loop.time() - self.up_at > self.session.timeout_s:
            self.hosts.reset_backoff()
        self.up_at = 0.0
        for event in self.session.closed():
            self.user.event(event)
        self._schedule_reconnect(reason, refused)

    # Input

    def received(self, data: bytes) -> None:
        for event in self.session.received(data, self.loop.time()):
            if self.closing:
                break
            if isinstance(event, HostUnusable):
                self.drop_connection(event.reason, event.refused)
                return
            if isinstance(event, SessionStarted | SessionResumed):
                self.up_at = self.loop.time()
                self.user.up()
            elif isinstance(event, SessionExpired):
                self.expirations += 1
                self.user.expired()
                self.drop_connection("the session has expired")
                return
            else:
                self.user.event(event)
        self.flush()

    # Timers

    def _set_tick_timer(self) -> None:
        if self.tick_timer is not None:
            self.tick_timer.cancel()
        self.tick_timer = self.loop.call_at(self.session.next_tick_at(), self._tick)

    def _tick(self) -> None:
        if self.connection is None:
            return
        for event in self.session.tick(self.loop.time()):
            if isinstance(event, HostUnusable):
                self.drop_connection(event.reason)
                return
        self.flush()
