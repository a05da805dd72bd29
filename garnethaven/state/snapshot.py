"""The content of a snapshot, read from the balancer and the endpoint list; no decisions, no I/O.

The list has the form that discovery uses, so that one reader serves both; a server's start is in discovery's
milliseconds.
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
from garnethaven.state.ageing import Statistics, StoredServer

PHASE_BY_STATE = {state: phase for phase, state in STATES.items()}


class Target(Protocol):
    address: Address | None


class StoredList(msgspec.Struct, frozen=True):
    """The endpoint list in discovery's form, with its age when saved; 0 also if it was never received."""

    revision: int
    age_s: float
    members: list[dict[str, Any]]


def started_ms(started: int, clock_offset: int) -> int:
    """A server's start in discovery's milliseconds, from nanoseconds; 0 stands for long ago."""
    return (started + clock_offset) // MS if started else 0


def stored_servers(
    balancer: Balancer, servers: Iterable[Server], clock_offset: int
) -> Iterator[StoredServer]:
    """The balancer's statistics of these servers, as of its last event."""
    for server in servers:
        errors = balancer.decayed_errors(server)
        if errors or server.latency_samples:
            start = started_ms(server.started, clock_offset)
            yield StoredServer(
                name_of(server.id), start, errors, server.log_latency_ratio, server.latency_samples
            )


def collect_statistics(balancer: Balancer, servers: list[StoredServer]) -> Statistics:
    """All statistics of the balancer, with those of `servers`."""
    overload = balancer.overload
    latency_ratios, usual = dict(balancer.kind_latency_ratios), dict(balancer.latency_estimates)
    return Statistics(
        servers, latency_ratios, usual, balancer.hedge_tokens, overload.retry_tokens, overload.arrival_gap
    )


def list_members(
    servers: Iterable[Server], targets: dict[int, Any], names: Names, clock_offset: int
) -> Iterator[dict[str, Any]]:
    """The list entries of these servers; leaves out servers without an address, which can't be dialled."""
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
            "phase": PHASE_BY_STATE[server.state],
            "size": server.relative_capacity,
            "up_since_ms": started_ms(server.started, clock_offset),
        }
