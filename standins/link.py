"""A TCP relay between two processes with faults per direction: hold, drop, delay; and cut for both.

Each direction has its own fault, so that a link can be faulty in one direction only:

| fault | effect on the direction | when the fault ends |
| --- | --- | --- |
| hold | bytes are buffered | they are forwarded in order |
| drop | bytes are discarded, as in a network partition | connections that lost bytes are reset |
| delay | bytes are forwarded later by a fixed time, in order | |

`cut` resets all connections and refuses new ones until `mend`. `shut` and `open` do the same when the target
stops and starts listening: a dial that the target would refuse must be refused by the link, too.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from standins.ports import PORTS

BACKLOG = 512
CONNECT_S = 1.0


class Direction(Enum):
    TO_TARGET = 0  # from the dialing side to the target
    FROM_TARGET = 1  # from the target to the dialing side


@dataclass(slots=True)
class Fault:
    """The fault of one direction of a link."""

    held: bool = False
    dropped: bool = False
    delay_s: float = 0.0


@dataclass(slots=True, eq=False)
class RelayedConnection:
    """One relayed connection: a transport to the dialing side and one to the target."""

    link: Link
    sides: dict[Direction, asyncio.Transport] = field(
        default_factory=dict
    )  # by the direction of received bytes
    buffered: dict[Direction, deque[bytes]] = field(
        default_factory=lambda: {way: deque() for way in Direction}
    )
    lost_bytes: bool = False  # bytes of this connection were discarded
    ended: bool = False

    def received(self, way: Direction, data: bytes) -> None:
        """Forward, buffer or discard bytes received in a direction."""
        fault = self.link.faults[way]
        if fault.dropped:
            self.lost_bytes = True
            return
        self.buffered[way].append(data)
        if fault.delay_s:
            asyncio.get_running_loop().call_later(fault.delay_s, self.flush, way)
        else:
            self.flush(way)

    def flush(self, way: Direction) -> None:
        """Forward the buffered bytes if the other side is connected and the direction is not held."""
        destination = self.sides.get(
            Direction.FROM_TARGET if way is Direction.TO_TARGET else Direction.TO_TARGET
        )
        if destination is None or self.ended or self.link.faults[way].held:
            return
        while self.buffered[way]:
            destination.write(self.buffered[way].popleft())

    def end(self) -> None:
        """Reset both sides."""
        if not self.ended:
            self.ended = True
            self.link.connections.discard(self)
            for transport in self.sides.values():
                transport.abort()


class RelayProtocol(asyncio.Protocol):
    """One end of a relayed connection; bytes received here travel in direction `way`."""

    def __init__(self, connection: RelayedConnection, way: Direction) -> None:
        self.connection = connection
        self.way = way

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        if self.connection.ended:
            transport.abort()
            return
        self.connection.sides[self.way] = transport
        if self.way is Direction.TO_TARGET:
            self.connection.link.connect_to_target(self.connection)
        else:
            self.connection.flush(Direction.TO_TARGET)

    def data_received(self, data: bytes) -> None:
        self.connection.received(self.way, data)

    def eof_received(self) -> bool:
        self.connection.end()
        return False

    def connection_lost(self, problem: Exception | None) -> None:
        fault = self.connection.link.faults[self.way]
        if fault.held or fault.dropped:
            return  # the end of the connection is not forwarded either
        self.connection.end()


class Link:
    """A link to a target port on loopback; it listens on its own port from `open` on."""

    def __init__(self, name: str, target: int) -> None:
        self.name = name
        self.target = target
        self.port = PORTS.next_free()
        self.faults = {way: Fault() for way in Direction}
        self.connections: set[RelayedConnection] = set()
        self.dial_times: list[float] = []
        self.is_cut = False
        self.should_listen = False
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> Link:
        """Listen, unless the link is cut."""
        self.should_listen = True
        if self.server is None and not self.is_cut:
            loop = asyncio.get_running_loop()
            self.server = await loop.create_server(
                lambda: RelayProtocol(RelayedConnection(self), Direction.TO_TARGET),
                "127.0.0.1",
                self.port,
                backlog=BACKLOG,
            )
        return self

    def stop_listening(self) -> None:
        """Refuse dials and reset open connections."""
        self.should_listen = False
        self._stop()

    def _stop(self) -> None:
        if self.server is not None:
            self.server.close()
            self.server = None
        for connection in list(self.connections):
            connection.end()

    def cut(self) -> None:
        self.is_cut = True
        self._stop()

    async def mend(self) -> None:
        """End all faults: forward held bytes, and reset connections that lost bytes."""
        self.faults = {way: Fault() for way in Direction}
        for connection in list(self.connections):
            one_side_closed = any(transport.is_closing() for transport in connection.sides.values())
            if connection.lost_bytes or one_side_closed:
                connection.end()
            else:
                for way in Direction:
                    connection.flush(way)
        if self.is_cut:
            self.is_cut = False
            if self.should_listen:
                await self.open()

    def connect_to_target(self, connection: RelayedConnection) -> None:
        """Connect to the target for a new connection; a refusal resets the connection."""
        self.connections.add(connection)
        self.dial_times.append(asyncio.get_running_loop().time())
        task = asyncio.create_task(self._connect(connection))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _connect(self, connection: RelayedConnection) -> None:
        loop = asyncio.get_running_loop()
        dial = loop.create_connection(
            lambda: RelayProtocol(connection, Direction.FROM_TARGET), "127.0.0.1", self.target
        )
        try:
            await asyncio.wait_for(dial, CONNECT_S)
        except (OSError, TimeoutError):
            connection.end()

    async def close(self) -> None:
        self.stop_listening()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
