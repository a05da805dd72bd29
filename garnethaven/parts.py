"""What a program is made of, for its features. Made in `app/`, in this order; nothing is imported for it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from garnethaven.addresses import Address
    from garnethaven.config import Config
    from garnethaven.engine.engine import Engine
    from garnethaven.interface import Endpoint, ListKind
    from garnethaven.limits.lists import FreshList
    from garnethaven.net.listener import Listener
    from garnethaven.net.transport import HttpTransport, MakePool
    from garnethaven.peers.conversation import Peer
    from garnethaven.peers.table import Peers

    Learn = Callable[[ListKind, list[tuple[Endpoint, Address | None]]], None]


class Discovery(Protocol):
    """The platform's list."""

    fresh: FreshList
    clock_offset: int


class Keeper(Protocol):
    """Who owns a part of what outlives the process, in a form of its own (state/)."""

    def keep(self) -> bytes:
        """What is to be kept; called between events, so it has to be quick."""

    def take_back(self, kept: bytes, away_s: float) -> None:
        """What an earlier life kept, so many seconds ago; raises ValueError where it can't be read."""


class PeerGroup(Protocol):
    """The members of `[peers]`, as other features use them (`PeersFeature`)."""

    table: Peers
    peer: Peer | None  # this member; None while the operator's file gives it no address
    after: list[Callable[[int], None]]  # called after each period with its time, in nanoseconds
    period_s: float  # seconds between two exchanges
    horizon_s: float  # seconds after which what a member said of itself no longer counts

    def listed(self) -> int:
        """The number of members in the operator's file, this one included."""


@dataclass
class Parts:
    """`make_pool` and `learn` may be replaced by a feature before they are used."""

    config: Config
    loop: asyncio.AbstractEventLoop
    engine: Engine
    make_pool: MakePool
    figures: Callable[[], dict[str, object]]
    known: dict[str, Any] = field(default_factory=dict)  # the list to begin with, in discovery's form
    peers: PeerGroup | None = None  # where members know of one another
    keepers: dict[str, Keeper] = field(default_factory=dict)  # by the part of the state that each owns
    transport: HttpTransport = field(init=False)
    learn: Learn = field(init=False)
    discovery: Discovery = field(init=False)
    listener: Listener = field(init=False)
