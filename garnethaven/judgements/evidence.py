"""One member's own evidence on endpoints, and what it publishes of it. Pure.

Theory. Outcomes of attempts at an endpoint are counted as good and bad, and the counts decay by half in
`HALF_LIFE`. A verdict would hide how much evidence stands behind it; counts can be added, and decay in
transit as they do locally. An outcome counts for the incarnation of the endpoint (its start time) that it
happened in: a restart resets the counts, and outcomes of attempts from before the restart are ignored.

A row reports at most `MAX_REPORTS` endpoints: those with the largest bad share (times the bad count) first,
and, as long as other members avoid them, endpoints that have recovered. Each row also has how many endpoints
this member has used recently, and how many of those it finds bad: a member that finds nearly all bad probably
has a fault itself (combining.py).

Bounds: `MAX_ENDPOINTS` endpoints, of which the least recently used is dropped; a count is at most
`MAX_COUNT`. Times are integer nanoseconds of the caller's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass
from typing import NamedTuple

SECOND = 1_000_000_000
HALF_LIFE = 8 * SECOND
MAX_ENDPOINTS = 5_000
MAX_REPORTS = 16
MAX_COUNT = 50.0
# Part of the opposite count that each outcome keeps: after a change, earlier outcomes say little.
OPPOSITE_COUNT_KEPT = 0.1
MIN_COUNT = 0.1  # decayed total below which there is no evidence
BAD_SHARE = 0.3  # share of bad outcomes from which an endpoint is bad


class EndpointReport(NamedTuple):
    """A member's report on one endpoint: the decayed outcome counts of one of its incarnations."""

    endpoint: int
    incarnation: int  # the endpoint's start, milliseconds of the platform's clock
    good: float
    bad: float


class EvidenceRow(NamedTuple):
    """All that a member publishes of its evidence."""

    endpoints_met: int  # endpoints that it has used recently
    endpoints_bad: int  # how many of those it finds bad
    told: list[EndpointReport]


def decayed(count: float, age: int) -> float:
    """A count after `age` nanoseconds of decay."""
    return count * float(0.5 ** (max(0, age) / HALF_LIFE))


@dataclass(slots=True)
class OutcomeCounts:
    """The decayed outcome counts of one incarnation of an endpoint."""

    incarnation: int
    good: float
    bad: float
    updated_at: int  # when the counts were last decayed

    def decay(self, now: int) -> None:
        if now > self.updated_at:
            age, self.updated_at = now - self.updated_at, now
            self.good, self.bad = decayed(self.good, age), decayed(self.bad, age)

    def bad_share(self) -> float:
        """The share of bad outcomes; 0 without enough evidence."""
        total = self.good + self.bad
        return self.bad / total if total >= MIN_COUNT else 0.0


class Evidence:
    """The outcome counts that one member has observed itself."""

    def __init__(self) -> None:
        self.by_endpoint: dict[int, OutcomeCounts] = {}

    def record(self, now: int, endpoint: int, incarnation: int, good: bool, weight: float = 1.0) -> None:
        """Record an outcome; a smaller `weight` is for weaker evidence, such as a late answer."""
        counts = self.by_endpoint.pop(endpoint, None)
        if counts is None or counts.incarnation < incarnation:
            counts = OutcomeCounts(incarnation, 0.0, 0.0, now)
        self.by_endpoint[endpoint] = counts  # the least recently used is first
        if counts.incarnation > incarnation:
            return  # an outcome of an earlier incarnation
        if len(self.by_endpoint) > MAX_ENDPOINTS:
            del self.by_endpoint[next(iter(self.by_endpoint))]
        counts.decay(now)
        if good:
            counts.good, counts.bad = min(MAX_COUNT, counts.good + weight), counts.bad * OPPOSITE_COUNT_KEPT
        else:
            counts.good, counts.bad = counts.good * OPPOSITE_COUNT_KEPT, min(MAX_COUNT, counts.bad + weight)

    def counts_of(self, now: int, endpoint: int, incarnation: int) -> tuple[float, float]:
        """The decayed good and bad counts of an endpoint's incarnation."""
        counts = self.by_endpoint.get(endpoint)
        if counts is None or counts.incarnation != incarnation:
            return 0.0, 0.0
        counts.decay(now)
        return counts.good, counts.bad

    def forget(self, endpoint: int) -> None:
        """Drop the counts of an endpoint that has been removed."""
        self.by_endpoint.pop(endpoint, None)

    def make_row(self, now: int, avoided: Container[int] = ()) -> EvidenceRow:
        """The row to publish now; `avoided`: endpoints that other members give fewer requests."""
        endpoints_met = endpoints_bad = 0
        ranked_bad: list[tuple[float, int, OutcomeCounts]] = []
        ranked_recovered: list[tuple[float, int, OutcomeCounts]] = []
        for endpoint, counts in list(self.by_endpoint.items()):
            counts.decay(now)
            if counts.good + counts.bad < MIN_COUNT:
                del self.by_endpoint[endpoint]
                continue
            endpoints_met += 1
            bad_share = counts.bad_share()
            if bad_share >= BAD_SHARE:
                endpoints_bad += 1
                ranked_bad.append((bad_share * counts.bad, endpoint, counts))
            elif endpoint in avoided:
                ranked_recovered.append((counts.good, endpoint, counts))
        # A quarter is reserved: otherwise recovered endpoints would wait behind all bad ones.
        chosen = _largest(ranked_recovered, MAX_REPORTS // 4)
        chosen += _largest(ranked_bad, MAX_REPORTS - len(chosen))
        reports = [
            EndpointReport(number, counts.incarnation, round(counts.good, 2), round(counts.bad, 2))
            for _, number, counts in chosen
        ]
        return EvidenceRow(endpoints_met, endpoints_bad, reports)


def _largest(
    ranked: list[tuple[float, int, OutcomeCounts]], count: int
) -> list[tuple[float, int, OutcomeCounts]]:
    return sorted(ranked, key=lambda item: -item[0])[:count]
