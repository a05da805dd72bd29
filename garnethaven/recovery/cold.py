"""Cold servers: what capacity a starting server has, and how much all sidecars may send to it. No clock.

A started server has `cold_share` of its capacity, rising to all of it at the end of the ramp; both come from
the settings. This guaranteed part is its *warmth*. A server that all sidecars together send more than
`max_cold_load_multiple` times as much fails. Its *likely* capacity is higher, about twice as much at first.
If servers were weighted by warmth, new ones would idle while all others are overloaded, because six in ten
servers of a fleet may be cold at once. So a cold server is weighted by its likely capacity, up to
`MAX_COLD_LOAD_SHARE` of what the rule allows the fleet to send it.
"""

from __future__ import annotations

MAX_COLD_LOAD_SHARE = 0.75  # of the allowed load on a cold server; the rest covers random peaks and overload


def warmth_at_age(age: int, cold_share: float, ramp: int) -> float:
    """The guaranteed share of a server's capacity at an age; `age` and `ramp` have the same unit of time.

    A negative age counts as 0.
    """
    if age >= ramp:
        return 1.0
    return cold_share + (1.0 - cold_share) * max(0, age) / ramp


def likely_capacity(warmth: float) -> float:
    """The estimated share of capacity of a starting server with this warmth."""
    return 1.0 - (1.0 - warmth) ** 2
