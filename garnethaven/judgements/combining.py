"""Combines the evidence of many members into a factor for an endpoint's weight. Pure.

Theory. An endpoint's share of good outcomes is estimated from all evidence plus `PRIOR_GOOD` assumed good
outcomes, so that little evidence changes little. The evidence of other members

- counts for at most `MAX_COUNT_PER_MEMBER` outcomes per member, however many it has seen: one member alone
  leaves an endpoint without other evidence 0.41 of its weight, whatever it reports;
- decays with the age of its row, as it would locally;
- is weighted by its member's *trust*: if a member finds many of its endpoints bad, the likely common cause is
  the member itself. Trust falls from 1, at a normal share of bad endpoints (`USUAL_BAD_SHARE`), to 0 at
  `UNTRUSTED_BAD_SHARE`;
- from another zone is weighted by `OTHER_ZONE_WEIGHT`: an endpoint that can't be reached from there may well
  be reachable from here.

Own evidence has full weight. The *factor* is the estimated share, divided by that of a healthy endpoint, to
the power `FACTOR_EXPONENT`, between `MIN_FACTOR` and 1: it reduces an endpoint's weight, but never excludes
the endpoint. It does not affect cold starts, drains and endpoint lists.

Together the factors may remove at most `MAX_REMOVED_SHARE` of all weight. Beyond that all of them are 1: if a
third of the fleet seems bad, the rest could not carry the load, and the likelier cause is a network fault,
not the servers. Evidence decays, so a factor expires by itself.

Retrials without a burst: `RETRIAL_MEMBERS` of all members, chosen by a hash of the member's name and the
endpoint, give an endpoint with a low factor `RETRIAL_FACTOR` of its weight and publish the outcomes; all
others follow their rows.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple
from zlib import crc32

from garnethaven.judgements.evidence import Evidence, EvidenceRow, decayed

PRIOR_GOOD = 2.0
MAX_COUNT_PER_MEMBER = 1.0
USUAL_BAD_SHARE = 0.15
UNTRUSTED_BAD_SHARE = 0.5
MIN_ENDPOINTS_MET = 4  # with fewer endpoints used, a member's share of bad ones is not meaningful
OTHER_ZONE_WEIGHT = 0.5
MIN_FACTOR = 0.05
FACTOR_EXPONENT = 3.0  # half of the outcomes bad: an eighth of the weight
HEALTHY_SHARE = 0.9  # share of good outcomes from which the factor is 1
MAX_REMOVED_SHARE = 0.34
RETRIAL_BELOW = 0.5  # factor below which only a few members retry an endpoint
RETRIAL_MEMBERS = 2
RETRIAL_FACTOR = 0.3


class ReceivedEvidence(NamedTuple):
    """Another member's row and its maximum age in nanoseconds."""

    name: str
    zone: int
    age: int
    row: EvidenceRow


class ListedEndpoint(NamedTuple):
    """An endpoint of the current endpoint list."""

    endpoint: int
    incarnation: int
    weight: float  # before any factor


def trust(row: EvidenceRow) -> float:
    """The weight of a member's evidence, from 0 to 1, by its share of bad endpoints."""
    if row.endpoints_met < MIN_ENDPOINTS_MET:
        return 1.0 if row.endpoints_bad < row.endpoints_met or row.endpoints_met <= 1 else 0.5
    bad_share = row.endpoints_bad / row.endpoints_met
    return max(0.0, min(1.0, (UNTRUSTED_BAD_SHARE - bad_share) / (UNTRUSTED_BAD_SHARE - USUAL_BAD_SHARE)))


def retries_endpoint(name: str, endpoint: int, members: int) -> bool:
    """Whether this member is one of the few that retry an endpoint with a low factor."""
    return crc32(f"{name} {endpoint}".encode()) % max(1, members) < RETRIAL_MEMBERS


class CombinedEvidence:
    """The weighted outcome counts of all other members, by endpoint and incarnation."""

    def __init__(self, heard: Iterable[ReceivedEvidence], zone: int) -> None:
        self.counts: dict[tuple[int, int], tuple[float, float]] = {}
        for received in heard:
            weight = trust(received.row) * (1.0 if received.zone == zone else OTHER_ZONE_WEIGHT)
            if weight <= 0.0:
                continue
            for report in received.row.told:
                good, bad = max(0.0, report.good), max(0.0, report.bad)
                total = good + bad
                if not 0.0 < total < float("inf"):
                    continue
                scale = weight * decayed(min(1.0, MAX_COUNT_PER_MEMBER / total), received.age)
                previous = self.counts.get((report.endpoint, report.incarnation), (0.0, 0.0))
                key = report.endpoint, report.incarnation
                self.counts[key] = previous[0] + good * scale, previous[1] + bad * scale


def factor(own: tuple[float, float], others: tuple[float, float]) -> float:
    """The factor for an endpoint's weight, from `MIN_FACTOR` to 1; arguments are (good, bad) counts."""
    good = PRIOR_GOOD + own[0] + others[0]
    share = good / (good + own[1] + others[1])
    remaining: float = (share / HEALTHY_SHARE) ** FACTOR_EXPONENT
    return max(MIN_FACTOR, min(1.0, remaining))


def factors(
    now: int,
    name: str,
    members: int,
    evidence: Evidence,
    sums: CombinedEvidence,
    known: Iterable[ListedEndpoint],
) -> Mapping[int, float]:
    """The factors below 1, by endpoint; empty if they would remove too much weight in total."""
    reduced: dict[int, float] = {}
    total_weight = removed_weight = 0.0
    for listed in known:
        total_weight += listed.weight
        others = sums.counts.get((listed.endpoint, listed.incarnation))
        if others is None:
            continue  # own evidence alone is handled by the balancer
        remaining = factor(evidence.counts_of(now, listed.endpoint, listed.incarnation), others)
        if remaining >= 1.0:
            continue
        if remaining < RETRIAL_BELOW and retries_endpoint(name, listed.endpoint, members):
            remaining = max(remaining, RETRIAL_FACTOR)
        reduced[listed.endpoint] = remaining
        removed_weight += (1.0 - remaining) * listed.weight
    return reduced if removed_weight <= MAX_REMOVED_SHARE * total_weight else {}
