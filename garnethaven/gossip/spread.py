"""How long an update takes to reach all members, by fleet size, probes, loss and delay. Pure.

Theory. Each member asks `asks` others, chosen uniformly at random, once per period, and takes over all rows
that they have. Let u be the share of members that do not have an update yet. A member stays without it in a
period if each of its requests or the answer is lost, or reaches a member that does not have it either:

    u' = u * (1 - (1 - q) * (1 - u)) ** asks,     q = 1 - (1 - loss) ** 2

From u = 1 - 1/N it first falls slowly, then as a power: about log(N) / log(1 + asks) periods, and a few more.
`rounds` is the first number of periods after which the expected number of members without the update, N * u,
is below `MAX_EXPECTED_MISSING`. A hop takes a period plus a request and its answer, included in ages too; so

    horizon = (rounds + 1) * (period + 2 * delay)

is the maximum age of a row without a partition. With a shorter horizon, reachable members count as silent by
chance; with a longer one, a partition is detected later. Times are seconds.
"""

from __future__ import annotations

import math

# Expected number of members that an update may reach late; with more, chance would look like a partition.
MAX_EXPECTED_MISSING = 1e-6
MAX_ROUNDS = 200  # limit; as a result it means that the update does not reach all members
FULL_ANSWER_MEMBERS = 32  # up to this size each answer has all rows, at the base period


def rounds(members: int, asks: int, loss: float) -> int:
    """Periods until an update has reached all members; ROUNDS_MOST if it does not."""
    if members <= 1:
        return 0
    delivered_share = (1.0 - loss) ** 2
    missing_share = 1.0 - 1.0 / members
    for round_number in range(1, MAX_ROUNDS):
        missing_share *= (1.0 - delivered_share * (1.0 - missing_share)) ** min(asks, members - 1)
        if members * missing_share < MAX_EXPECTED_MISSING:
            return round_number
    return MAX_ROUNDS


def horizon_s(members: int, asks: int, period_s: float, loss: float, delay_s: float) -> float:
    """The maximum age of a fresh row, in seconds."""
    return (rounds(members, asks, loss) + 1) * (period_s + 2.0 * delay_s)


def scaled_period(members: int, base_s: float) -> float:
    """The time between two rounds of requests, which grows with the fleet beyond `FULL_ANSWER_MEMBERS`.

    It grows with the square root: the size of the answers and the length of a period both grow with the
    fleet, and neither should grow linearly.
    """
    return base_s * math.sqrt(max(1.0, members / FULL_ANSWER_MEMBERS))
