"""What a snapshot holds of the module and of the list, read off them; nothing is decided and no file touched.

The list is in discovery's own form, so that one reader serves both; a server's start is in its milliseconds.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any, Protocol

import msgspec

from garnethaven.addresses import Address
from garnethaven.brain import Balancer
from garnethaven.engine.engine import MS
from garnethaven.interface import State
from garnethaven.membership.list_reader import STATES, name_of
from garnethaven.records import Server
from garnethaven.settings import Names
from garnethaven.state.ageing import Figures, Kept

PHASES = {state: phase for phase, state in STATES.items()}


class Target(Protocol):
    address: Address | None


class KeptList(msgspec.Struct, frozen=True):
    """The list as discovery would tell it, and how old it was when it was kept; 0 also where never told."""

    revision: int
    age_s: float
    members: list[dict[str, Any]]


def started_ms(started: int, clock_offset: int) -> int:
    return (started + clock_offset) // MS if started else 0


def kept_of(balancer: Balancer, servers: Iterable[Server], clock_offset: int) -> Iterator[Kept]:
    """What the module knows of these, as of its last event."""
    for server in servers:
        errors = balancer.errors_of(server)
        if errors or server.paces:
            start = started_ms(server.started, clock_offset)
            yield Kept(name_of(server.id), start, errors, server.pace, server.paces)


def figures_of(balancer: Balancer, kept: list[Kept]) -> Figures:
    """All of the module's figures, with those of its servers."""
    overload = balancer.overload
    paces, usual = dict(balancer.pace), dict(balancer.usual)
    return Figures(kept, paces, usual, balancer.copies, overload.retries, overload.gap)


def members_of(
    servers: Iterable[Server], targets: dict[int, Any], names: Names, clock_offset: int
) -> Iterator[dict[str, Any]]:
    """Their lines of the list; servers without an address are left out, for nobody could dial them."""
    for server in servers:
        target: Target | None = targets.get(server.id)
        if target is None or target.address is None or server.state is State.REMOVED:
            continue
        yield {
            "id": name_of(server.id),
            "host_port": "{}:{}".format(*target.address),
            "locality": names.zones[server.zone] if server.zone < len(names.zones) else "",
            "flavor": names.kinds[server.kind] if server.kind < len(names.kinds) else "",
            "cell": server.cell,
            "phase": PHASES[server.state],
            "size": server.units,
            "up_since_ms": started_ms(server.started, clock_offset),
        }
