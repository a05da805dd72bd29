"""When a connection that has carried an answer may carry the next request. No clock, no I/O; seconds.

An endpoint may write a second answer some milliseconds behind a good one. HTTP/1.1 gives answers no id: on
a connection that carries the next request by then, the second answer would be taken for that request's. A
connection therefore rests before it is reused, and bytes that come while it rests condemn it.

| connections that have rested for | are used | because |
| --- | --- | --- |
| less than the required rest | never | a second answer is likely still to come |
| the required rest | if none has rested for longer | a new connection would cost more than it is worth |
| the preferred rest | before the above | one of several connections costs nothing more than another |
| the full rest | before the above, while the allowance lasts | few new connections are worth the caution |

The required rest is `min_rest_s` until unasked bytes are seen anywhere in the pool: from then on it is twice
the latest arrival seen, `MIN_PREFERRED_REST_S` at the least. It is forgotten after `MEMORY_S`.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

MIN_REST_S = 0.002  # before anything is known of the endpoints
MIN_PREFERRED_REST_S = 0.005
# Of the usual answer's time: a connection that answers and then rests is taken for that much longer, so
# the share bounds how many more connections stay open (benchmarks/reuse.py has the figures).
PREFERRED_REST_SHARE = 0.15
FULL_REST_SHARE = 0.01  # of the time after which endpoints close idle connections
DEFAULT_FULL_REST_S = 0.1  # where that time is not known
ARRIVAL_FACTOR = 2.0  # the latest of a few arrivals is about half of the latest possible
MEMORY_S = 600.0
ANSWERS_SMOOTHED = 32
# New connections beyond those that are needed: so many at first, and so many for each that is needed.
INITIAL_ALLOWANCE = 2.0
MAX_ALLOWANCE = 8.0
ALLOWANCE_SHARE = 0.03


class Resting(Protocol):
    """An idle connection."""

    idle_since: float


class ReusePolicy:
    """What one pool of connections has learned of its endpoints; a few figures, whatever their number."""

    __slots__ = ("allowance", "answer_s", "full_rest_s", "latest_arrival_s", "min_rest_s", "unasked_at")

    def __init__(self, idle_timeout_s: float, min_rest_s: float = MIN_REST_S) -> None:
        """`idle_timeout_s` is when endpoints close idle connections (0: not known).

        With a `min_rest_s` of 0 every connection is reused at once, whatever has been seen.
        """
        self.min_rest_s = min_rest_s
        self.full_rest_s = idle_timeout_s * FULL_REST_SHARE if idle_timeout_s > 0.0 else DEFAULT_FULL_REST_S
        self.answer_s = 0.0  # the usual time from a request's writing to the end of its answer
        self.allowance = INITIAL_ALLOWANCE
        self.unasked_at: float | None = None  # when unasked bytes were seen last
        self.latest_arrival_s = 0.0  # of unasked bytes, after the answer before them

    # What happens

    def answered(self, took_s: float) -> None:
        """A request that was written `took_s` ago has its whole answer."""
        self.answer_s += (took_s - self.answer_s) / (ANSWERS_SMOOTHED if self.answer_s else 1)

    def opened(self) -> None:
        """A connection is being opened."""
        self.allowance = min(MAX_ALLOWANCE, self.allowance + ALLOWANCE_SHARE)

    def unasked(self, now: float, after_s: float) -> None:
        """Bytes that belong to no request came `after_s` after the answer before them.

        What comes later than the full rest is no second answer, but a notice before a close, for example.
        """
        if after_s > self.full_rest_s:
            return
        if not self._remembers(now):
            self.latest_arrival_s = 0.0
        self.unasked_at = now
        self.latest_arrival_s = max(self.latest_arrival_s, after_s)

    def _remembers(self, now: float) -> bool:
        return self.unasked_at is not None and now - self.unasked_at <= MEMORY_S

    # What follows

    def required_rest_s(self, now: float) -> float:
        """How long a connection has to rest before it may be reused at all."""
        if not self.min_rest_s or not self._remembers(now):
            return self.min_rest_s
        learned = max(MIN_PREFERRED_REST_S, ARRIVAL_FACTOR * self.latest_arrival_s)
        return max(self.min_rest_s, min(self.full_rest_s, learned))

    def preferred_rest_s(self) -> float:
        """How long a connection should have rested where there is a choice."""
        return min(self.full_rest_s, max(MIN_PREFERRED_REST_S, PREFERRED_REST_SHARE * self.answer_s))

    def pick(self, now: float, idle: Sequence[Resting], may_open: Callable[[], bool]) -> int | None:
        """The index of the connection to reuse, or None for a new one.

        `idle` holds the freshest last; `may_open` tells whether one may be opened that is not needed.
        """
        if not idle:
            return None
        if not self.min_rest_s:
            return len(idle) - 1
        cheapest = self._cheapest(now, idle)
        if cheapest is None or self.allowance < 1.0:
            return cheapest
        rested = _freshest(now, idle, max(self.full_rest_s, self.required_rest_s(now)))
        if rested is not None:
            return rested
        if not may_open():
            return cheapest
        self.allowance -= 1.0
        return None

    def _cheapest(self, now: float, idle: Sequence[Resting]) -> int | None:
        """The index of the connection to reuse where no new one is affordable; None if none has rested."""
        required = self.required_rest_s(now)
        preferred = _freshest(now, idle, max(required, self.preferred_rest_s()))
        if preferred is not None:
            return preferred
        return 0 if now - idle[0].idle_since >= required else None


def _freshest(now: float, idle: Sequence[Resting], rest_s: float) -> int | None:
    """The index of the freshest connection that has rested for so long."""
    for index in range(len(idle) - 1, -1, -1):
        if now - idle[index].idle_since >= rest_s:
            return index
    return None
