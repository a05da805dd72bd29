"""Chooses the connection to a server that carries the next stream, or opens another one. No I/O.

A stream goes to the connection with the most streams that is still below its limit. The other connections
become idle and can be closed, and a server's graceful shutdown affects few connections. If every connection
is full, another one is opened, up to `MAX_CONNECTIONS` per server. At that limit, and while a connection is
being opened, attempts wait: at most `MAX_WAITING_ATTEMPTS` of them, each for at most the dial timeout. A
server that allows no streams at all (a limit of 0) is not dialled again for an attempt.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

MAX_CONNECTIONS = 4  # to one server
MAX_WAITING_ATTEMPTS = 200  # for one server


class Placement(Enum):
    """What to do with an attempt for which no connection has room."""

    OPEN = "open another connection and wait for it"
    WAIT = "wait for room on a connection"
    SKIP_SERVER = "use another server"


@dataclass(slots=True, frozen=True)
class ConnectionLoad:
    """Open streams of a connection, the server's stream limit, and whether new streams are allowed."""

    streams: int
    max_streams: int
    accepts_streams: bool = True


def choose_connection(loads: Sequence[ConnectionLoad], dialing: bool, waiting: int) -> int | Placement:
    """Return the index of the connection for one more stream, or what to do instead.

    `waiting` is the number of attempts that already wait for the server.
    """
    with_room = [
        (load.streams, index)
        for index, load in enumerate(loads)
        if load.accepts_streams and load.streams < load.max_streams
    ]
    if with_room:
        return max(with_room, key=lambda candidate: (candidate[0], -candidate[1]))[1]
    if waiting >= MAX_WAITING_ATTEMPTS:
        return Placement.SKIP_SERVER
    accepting = [load for load in loads if load.accepts_streams]
    if accepting and all(load.max_streams == 0 for load in accepting):
        return Placement.SKIP_SERVER
    if not dialing and len(accepting) < MAX_CONNECTIONS:
        return Placement.OPEN
    return Placement.WAIT
