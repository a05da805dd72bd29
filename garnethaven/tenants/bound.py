"""Bounds on how far a tenant gets above or below its allowance. No I/O; units are seconds and requests.

For N members, an allowance of A per second with a burst B, and times from gossip/spread.py (horizon H by
loss, delay, period and questions per period) and admission.py (settle S = 1.02 H + 2 periods, demand window
M), the excess in any span, beyond A times the span, is

    over  <= B + N  +  n * A / N * S

The first terms are the buckets of all members, full at the start of the span, each at least one request
deep. The last is for n members that started in it and that the others did not count (any more): each uses
its even share until they do. Partitions, losses and delays do not add to the excess: they make shares smaller
(admission.py), which the second bound covers. A tenant gets less than it requests and may have

    after each change of demand, at most        A * (P + H + S + M + F * K)
    per second while a fraction c is cut off    c * A
    and after the partition ends                A * (H + S)

The first is for demand that moves to members that have published none, while the previous ones keep the
fraction F of an even share for K seconds (`FLOOR_RATIO`, `FLOOR_RETENTION_S`). The second is the part of the
allowance reserved for members that are not heard: it is used by requests there, and unused where there are
none. On links that lose so much that updates do not reach all members, H has no meaning and c is 1 - 1/N.
"""

from __future__ import annotations

from dataclasses import dataclass

from garnethaven.gossip.spread import MAX_ROUNDS, horizon_s, rounds, scaled_period
from garnethaven.tenants.admission import DEMAND_WINDOW_S, FLOOR_RATIO, FLOOR_RETENTION_S

CLOCK_DRIFT = 0.02  # relative, between two clocks: twice the tolerance of one clock


@dataclass(frozen=True)
class FleetParameters:
    """The parameters of the bounds."""

    members: int
    per_s: float
    burst: float
    asks: int = 3
    base_period_s: float = 0.2
    loss: float = 0.1
    delay_s: float = 0.05
    cut: float = 0.0  # fraction of the members that this one does not hear
    cut_s: float = 0.0  # duration of the partition
    beginners: int = 0  # members that started and were not counted
    changes: int = 1  # how often demand moves between members

    @property
    def period_s(self) -> float:
        return scaled_period(self.members, self.base_period_s)

    @property
    def horizon_s(self) -> float:
        return horizon_s(self.members, self.asks, self.period_s, self.loss, self.delay_s)

    @property
    def settle_s(self) -> float:
        return settle_s(self.horizon_s, self.period_s)

    @property
    def updates_reach_all(self) -> bool:
        """Whether updates reach all members with such losses."""
        return rounds(self.members, self.asks, self.loss) < MAX_ROUNDS


def settle_s(horizon: float, period: float) -> float:
    """Returns how long a share waits before it rises: no member uses older demands, by any clock."""
    return horizon * (1.0 + CLOCK_DRIFT) + 2.0 * period


def max_excess(estate: FleetParameters) -> float:
    """Returns the bound on requests admitted beyond the allowance times the span, in any span."""
    even_share = estate.per_s / estate.members
    return estate.burst + estate.members + estate.beginners * even_share * estate.settle_s


def max_shortfall(estate: FleetParameters) -> float:
    """Returns the bound on requests refused although within the allowance, over a whole episode."""
    adaptation_s = (
        estate.period_s
        + estate.horizon_s
        + estate.settle_s
        + DEMAND_WINDOW_S
        + FLOOR_RATIO * FLOOR_RETENTION_S
    )
    recovery_s = estate.horizon_s + estate.settle_s if estate.cut_s else 0.0
    cut_fraction = 1.0 - 1.0 / estate.members if not estate.updates_reach_all else estate.cut
    return estate.per_s * (estate.changes * adaptation_s + cut_fraction * estate.cut_s + recovery_s)
