"""Who keeps the connections of clients, as these see it (listener.py)."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, Protocol

from garnethaven.engine.classes import Classes
from garnethaven.engine.engine import Engine
from garnethaven.limits.places import Places
from garnethaven.net.transport import HttpTransport

if TYPE_CHECKING:
    from garnethaven.net.client import ClientConnection


class Owner(Protocol):
    engine: Engine
    transport: HttpTransport
    classes: Classes
    loop: asyncio.AbstractEventLoop
    places: Places
    calm_idle_s: float
    never_asked: int
    connections: set[ClientConnection]
    leaving: set[ClientConnection]  # closed and about to be gone
    accepted: set[socket.socket]  # not a connection yet
    draining: bool
    lingers_until: float  # by the loop's clock; a planned end ends what lingers

    def hears_first(self, now: float) -> bool: ...
    def is_late(self) -> bool: ...
    def lingers(self, connection: ClientConnection) -> None: ...
    def forget(self, connection: ClientConnection) -> None: ...
    def ends_with_answer(self, connection: ClientConnection) -> bool: ...
