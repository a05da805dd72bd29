"""How many connections to one server, and which of them carries the next stream. No I/O.

A stream goes to the connection that carries the most and has room: the others fall idle and may be closed,
and a server's planned end meets few connections. Where none has room another is opened, up to `LINES_MOST`;
beyond that, and while one is being opened, streams wait, up to `WAITING_MOST` of them and for as long as a
dial may take. A server that allows no streams at all (a limit of 0) is not dialled again for it: it wants
none.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

LINES_MOST = 4
WAITING_MOST = 200


class Next(Enum):
    OPEN = "open another connection, and wait for it"
    WAIT = "wait for room"
    GIVE_BACK = "another server serves it sooner"


@dataclass(slots=True, frozen=True)
class Line:
    """One connection: the streams it carries, how many the server allows, and whether it takes new ones."""

    streams: int
    most: int
    takes: bool = True


def choose(lines: Sequence[Line], dialing: bool, waiting: int) -> int | Next:
    """The connection, by its place, for one more stream; or what else to do."""
    room = [
        (line.streams, place) for place, line in enumerate(lines) if line.takes and line.streams < line.most
    ]
    if room:
        return max(room, key=lambda one: (one[0], -one[1]))[1]
    if waiting >= WAITING_MOST:
        return Next.GIVE_BACK
    taking = [line for line in lines if line.takes]
    if taking and all(line.most == 0 for line in taking):
        return Next.GIVE_BACK
    if not dialing and len(taking) < LINES_MOST:
        return Next.OPEN
    return Next.WAIT
