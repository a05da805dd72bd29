"""The parts of the program, as its features use them. `app/` creates them in the order of the fields.

The types are imported for type checking only.
"""

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
    from garnethaven.limits.list_freshness import ListFreshness
    from garnethaven.net.listener import Listener
    from garnethaven.net.transport import HttpTransport, MakePool
    from garnethaven.peers.conversation import Peer
    from garnethaven.peers.table import Peers

    Learn = Callable[[ListKind, list[tuple[Endpoint, Address | None]]], None]


class Discovery(Protocol):
    """The client of the platform's discovery service, which provides the endpoint list."""

    freshness: ListFreshness
    clock_offset: int


class StateSection(Protocol):
    """Owns one section of the persisted state, in its own format (state/)."""

    def keep(self) -> bytes:
        """Serialize the section. Called on the event loop, so it must be fast."""

    def take_back(self, kept: bytes, away_s: float) -> None:
        """Restore what an earlier process saved `away_s` seconds ago; raises ValueError if unreadable."""


class PeerGroup(Protocol):
    """The members of `[peers]`, as other features use them (`PeersFeature`)."""

    table: Peers
    peer: Peer | None  # this member; None while the operator's file names no address for it
    after: list[Callable[[int], None]]  # called after each period with the time in nanoseconds
    period_s: float  # between two exchanges, in seconds
    horizon_s: float  # age in seconds at which a member's report is stale

    def listed(self) -> int:
        """The number of members in the operator's file, including this one."""


@dataclass
class Parts:
    """Shared with every feature. A feature may replace `make_pool` and `learn` before they are used."""

    config: Config
    loop: asyncio.AbstractEventLoop
    engine: Engine
    make_pool: MakePool
    figures: Callable[[], dict[str, object]]
    known: dict[str, Any] = field(default_factory=dict)  # the initial endpoint list, in discovery's format
    peers: PeerGroup | None = None  # set by the feature `[peers]`
    state_sections: dict[str, StateSection] = field(default_factory=dict)  # by section of the persisted state
    transport: HttpTransport = field(init=False)
    learn: Learn = field(init=False)
    discovery: Discovery = field(init=False)
    listener: Listener = field(init=False)
