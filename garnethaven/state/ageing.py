"""How far saved statistics are still valid after a downtime. No I/O, no clock; times are nanoseconds.

Theory. Statistics age with the memory of what they describe, whether or not a process ran meanwhile. After a
downtime t, each one therefore counts as much as it would after t without new observations:

| statistic | memory | after a downtime t |
| --- | --- | --- |
| errors of a server | health's half-life h (the settings' ramp) | errors * 0.5^(t/h), as in the balancer |
| a server's own latency ratio | noisy neighbours: `SERVER_HALF_LIFE_S` | samples * 0.5^(t/that) |
| a kind's latency ratio, a class's usual latency | a release: `RELEASE_S` | unchanged, then dropped |
| the interval between two requests | 16 requests | unchanged: a burst at the start would shorten it |
| the budgets of hedges and retries | none: they grow with requests, not with time | unchanged, never more |
| the refused share | under a second | dropped: the window of a new process replaces it |
| the endpoint list | past membership; discovery has the present one | a hint where to dial, until confirmed |
| an idle limit | grows by half in `RECOVER_S` of idle_limits.py | learned * 1.5^(t/`RECOVER_S`) |
| where a keyed request ran | its dedup window | the rack, until the window has ended; see keyed.py |

The downtime. Within one boot of the machine it is the difference of the clock that counts from the boot,
sleep included, whatever the wall clock was set to. Across a boot there is only the wall clock, which may have
been set: its difference is the downtime, but if it is negative the downtime is unknown and all statistics
that age are dropped.

Restoring never makes a server look better than when its statistics were saved: errors decay as in a running
process, a restarted server is a new one and inherits nothing, and a budget stays as it was.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from garnethaven.interface import RestoredServer, RestoredState

S = 1_000_000_000
SERVER_HALF_LIFE_S = 60.0  # half-life of the confidence in a server's own latency ratio
RELEASE_S = 600.0  # after this, a kind's latency ratio and the usual latencies may be another release's
MIN_LATENCY_SAMPLES = 0.5  # a latency ratio of fewer answers says nothing
MIN_ERRORS = 0.05  # fewer count as none
MAX_LIST_AGE_S = 86_400.0  # an older list may have no server in common with the present one


class Timestamp(msgspec.Struct, frozen=True):
    """A point in time: the machine's boot id, the clock since that boot, and the wall clock."""

    boot: str
    boottime: int
    wall: int


class StoredServer(msgspec.Struct, frozen=True, array_like=True):
    """Statistics of one server. `started_ms` is its start as discovery reports it; 0: long ago."""

    endpoint: str
    started_ms: int
    errors: float  # decayed to the time of saving
    pace: float  # latency ratio relative to the server's kind
    paces: float  # number of answers behind `pace`, decayed


class Statistics(msgspec.Struct, frozen=True):
    """The balancer's statistics."""

    servers: list[StoredServer]
    kinds: dict[int, float]  # latency ratio by kind
    usual: dict[int, float]  # latency of a good answer by class, in nanoseconds
    copies: float  # budget of hedges
    retries: float  # budget of retries
    gap: float = 0.0  # interval between two requests, in nanoseconds


def elapsed(then: Timestamp, now: Timestamp) -> int | None:
    """The time from `then` to `now`; None if it is unknown."""
    same_boot = then.boot == now.boot
    elapsed_ns = now.boottime - then.boottime if same_boot else now.wall - then.wall
    return elapsed_ns if elapsed_ns >= 0 else None


def restore(
    statistics: Statistics, elapsed_ns: int, half_life: int, listed: dict[str, tuple[int, int]]
) -> RestoredState:
    """The statistics that are still valid after `elapsed_ns`.

    `listed` has the number and the start, in discovery's milliseconds, of each listed server by endpoint id;
    the statistics of a server with another start are dropped.
    """
    recent = elapsed_ns < RELEASE_S * S
    return RestoredState(
        servers=tuple(_restore_servers(statistics.servers, elapsed_ns, half_life, listed)),
        kind_latency_ratios=dict(statistics.kinds) if recent else {},
        latency_estimates=dict(statistics.usual) if recent else {},
        hedge_tokens=max(0.0, statistics.copies),
        retry_tokens=max(0.0, statistics.retries),
        request_interval=max(0.0, statistics.gap),
    )


def _restore_servers(
    stored_servers: Iterable[StoredServer],
    elapsed_ns: int,
    half_life: int,
    listed: dict[str, tuple[int, int]],
) -> Iterable[RestoredServer]:
    latency_decay = 0.5 ** (elapsed_ns / S / SERVER_HALF_LIFE_S)
    error_decay = 0.5 ** (elapsed_ns / half_life)
    for stored in stored_servers:
        server = listed.get(stored.endpoint)
        if server is None or server[1] != stored.started_ms:
            continue
        errors, samples = stored.errors * error_decay, stored.paces * latency_decay
        errors = errors if errors >= MIN_ERRORS else 0.0
        samples = samples if samples >= MIN_LATENCY_SAMPLES else 0.0
        if errors or samples:
            yield RestoredServer(server[0], errors, stored.pace if samples else 0.0, samples)
