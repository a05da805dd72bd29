"""What a client's connection and the listener that owns it ask of each other (client.py, listener.py)."""

from __future__ import annotations

import asyncio
import socket
from typing import Protocol

from garnethaven.engine.classes import Classes
from garnethaven.engine.engine import Engine
from garnethaven.limits.places import Usage
from garnethaven.net.transport import HttpTransport


class OwnedConnection(Protocol):
    """A client's connection as its owner manages it; times are seconds of the loop's clock."""

    sock: socket.socket
    usage: Usage

    @property
    def waits_since(self) -> float:
        """Since when a whole request has been due; 0 where none is."""

    def waits_for_request(self) -> bool:
        """Whether nothing of a request has been received yet."""

    def is_idle(self) -> bool:
        """The same, and nothing lies unread in the kernel or is still to be written."""

    def takes_room(self, now: float) -> bool:
        """Whether it is silent, slow or has been turned away."""

    def look_after(self, now: float) -> None:
        """End what has made no progress within its time."""

    def stop_reading(self) -> None:
        """End the connection, unless a whole request is under way."""

    def make_room(self) -> None:
        """End it at once, unless a whole request is under way: its descriptor is needed."""

    def abort(self) -> None:
        """Close it, whatever is still to be written."""


class Owner(Protocol):
    """The listener as its connections see it."""

    engine: Engine
    transport: HttpTransport
    classes: Classes
    loop: asyncio.AbstractEventLoop
    calm_idle_s: float
    draining: bool
    lingers_until: float  # by the loop's clock; a planned end ends what lingers

    def defers_reading(self, now: float) -> bool:
        """Whether received bytes must wait, because the process stood still."""

    def is_late(self) -> bool:
        """Whether the event loop lags, so that a client may have left since it wrote."""

    def opened(self, connection: OwnedConnection) -> None:
        """The connection is established."""

    def request_received(self, usage: Usage, now: float) -> None:
        """A whole request came on the connection of this usage."""

    def ends_with_answer(self, connection: OwnedConnection) -> bool:
        """Whether the answer that is about to be written should be the connection's last."""

    def lingers(self, connection: OwnedConnection) -> None:
        """The connection has ended its writing and waits for the client's end."""

    def closes(self, connection: OwnedConnection) -> None:
        """The connection is being closed and takes no place any more."""

    def forget(self, connection: OwnedConnection) -> None:
        """The connection is gone."""
