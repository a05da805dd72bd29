"""The interfaces between a client's connection (client.py) and the listener that owns it (listener.py)."""

from __future__ import annotations

import asyncio
import socket
from typing import Protocol

from garnethaven.engine.classes import Classes
from garnethaven.engine.engine import Engine
from garnethaven.limits.connection_limit import ConnectionHistory
from garnethaven.net.costly_reads import CostlyReads
from garnethaven.net.transport import HttpTransport


class OwnedConnection(Protocol):
    """A client's connection as the listener uses it; times are seconds of the loop's clock."""

    sock: socket.socket
    usage: ConnectionHistory

    @property
    def waiting_since(self) -> float:
        """Since when a complete request has been awaited; 0 if none is."""

    def is_awaiting_request(self) -> bool:
        """Whether no byte of the next request has been received yet."""

    def is_idle(self) -> bool:
        """Whether it awaits a request, nothing is unread in the kernel and nothing remains to be written."""

    def is_evictable(self, now: float) -> bool:
        """Whether the client is silent or slow, or its last request was invalid."""

    def check_timeouts(self, now: float) -> None:
        """End the connection if a timeout has expired."""

    def stop_reading(self) -> None:
        """Close the connection with a lingering close, unless a complete request is in progress."""

    def evict(self) -> bool:
        """Close the connection at once to free its descriptor; returns whether it was closed.

        It is kept if there may be a complete request, also one that is unread in the kernel.
        """

    def abort(self) -> None:
        """Close the connection at once; bytes that are not yet written are dropped."""


class Owner(Protocol):
    """The listener as its connections use it."""

    engine: Engine
    transport: HttpTransport
    classes: Classes
    loop: asyncio.AbstractEventLoop
    calm_idle_s: float
    draining: bool
    costly_reads: CostlyReads
    linger_deadline: float  # by the loop's clock; a shutdown closes lingering connections then

    def should_defer_reading(self, now: float) -> bool:
        """Whether received bytes must wait, because the process was suspended."""

    def is_lagging(self) -> bool:
        """Whether the event loop lags, so that a client may have left since it sent its request."""

    def opened(self, connection: OwnedConnection) -> None:
        """The connection is established."""

    def request_received(self, usage: ConnectionHistory, now: float) -> None:
        """A complete request was received on the connection with this usage."""

    def ends_with_answer(self, connection: OwnedConnection) -> bool:
        """Whether the answer that is about to be written should be the connection's last."""

    def linger_started(self, connection: OwnedConnection) -> None:
        """The connection has closed its writing side and waits for the client to close its own."""

    def close_started(self, connection: OwnedConnection) -> None:
        """The connection is being closed and no longer counts against the limit."""

    def forget(self, connection: OwnedConnection) -> None:
        """The connection is closed."""
