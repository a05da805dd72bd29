"""One member's share of a rate that all members divide, computed from their demands. No I/O.

Theory. An available rate is divided among m members with demands d_1 .. d_m.

- If the demands exceed the rate, shares are max-min fair: the *level* L solves sum(min(d_j, L)) = rate, and
  each member gets min(d_j, L). Small demands are met in full, the others get equal shares.
- If the rate exceeds the demands, the surplus is divided by demand, with a little for idle members so that
  there is room for growth. With e = `IDLE_WEIGHT` * rate / m and D = sum(d_j) + m * e:

      share_i = (rate + m * e) * (d_i + e) / D - e

  Both formulas agree where sum(d_j) = rate, and in both the shares add up to the rate.

tenants/admission.py relies on two properties (tested for arbitrary demands):

1. the shares of all members add up to the rate;
2. a share grows with the member's own demand and falls with every other demand.

So each member counts itself with the least demand that it has published recently, and the others with the
latest demand received. A received demand is at least the least one published in that time; by (2) no member
takes more than it would if all used the least demands, and by (1) those shares add up to the rate. This holds
at every moment without agreement, however the demands change, as long as received demands are no older than
that time.
"""

from __future__ import annotations

from collections.abc import Sequence

IDLE_WEIGHT = 1.0  # demand of idle members, as a multiple of the rate; with less, random peaks are refused


def share_of(
    available_rate: float, own_demand: float, remote_demands: Sequence[float], idle_members: int = 0
) -> float:
    """Returns the share of a member with `own_demand`; `idle_members` are further members without demand."""
    members = 1 + len(remote_demands) + idle_members
    total_demand = own_demand + sum(remote_demands)
    if total_demand <= available_rate:
        idle_demand = IDLE_WEIGHT * available_rate / members
        total_weight = total_demand + members * idle_demand
        return (
            (available_rate + members * idle_demand) * (own_demand + idle_demand) / total_weight - idle_demand
            if total_weight
            else available_rate / members
        )
    if own_demand * members <= available_rate:  # not above the fair level
        return own_demand
    return min(own_demand, fair_level(available_rate, [own_demand, *remote_demands]))


def fair_level(available_rate: float, demands: Sequence[float]) -> float:
    """Returns the cap on demands with which they add up to the rate; expects demands in excess of it."""
    remaining, remaining_members = available_rate, len(demands)
    for demand in sorted(demands):
        if demand * remaining_members >= remaining:
            return remaining / remaining_members
        remaining -= demand
        remaining_members -= 1
    return remaining
