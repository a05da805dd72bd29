"""When a connection that has carried an answer may carry the next request. No clock, no I/O; seconds.

A faulty endpoint may write a second answer some milliseconds after a good one. HTTP/1.1 answers have no id:
if the connection already carries the next request, the second answer would be taken for that request's. A
connection therefore rests before it is reused, and is closed if bytes arrive while it rests.

| connections that have rested for | are used | because |
| --- | --- | --- |
| less than the required rest | never | a second answer may still arrive |
| the required rest | if none has rested for longer | a new connection would cost more than it gains |
| the preferred rest | before the above | choosing among several idle connections costs nothing |
| the full rest | before the above, while the allowance lasts | the safety is worth a few new connections |

The required rest is `min_rest_s` until unsolicited bytes are seen on any connection of the pool; from then on
it is twice the latest arrival seen, at least `MIN_PREFERRED_REST_S`. The arrival is forgotten after
`UNSOLICITED_MEMORY_S`.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

MIN_REST_S = 0.002  # until unsolicited bytes are seen
MIN_PREFERRED_REST_S = 0.005
# Of the mean answer time: each exchange occupies its connection for that much longer, so the share bounds how
# many more connections stay open (benchmarks/reuse.py has the figures).
PREFERRED_REST_SHARE = 0.15
FULL_REST_SHARE = 0.01  # of the time after which endpoints close idle connections
DEFAULT_FULL_REST_S = 0.1  # if that time is not known
ARRIVAL_FACTOR = 2.0  # the latest of a few observed arrivals is about half of the latest possible
UNSOLICITED_MEMORY_S = 600.0
ANSWER_TIME_SAMPLES = 32  # 1/32 is the smoothing factor of the mean answer time
# The allowance counts connections that may be opened although an idle one could be reused. It starts with
# INITIAL_ALLOWANCE and grows by ALLOWANCE_SHARE for each connection that is opened.
INITIAL_ALLOWANCE = 2.0
MAX_ALLOWANCE = 8.0
ALLOWANCE_SHARE = 0.03


class IdleConnection(Protocol):
    """An idle connection."""

    idle_since: float


class ReusePolicy:
    """Decides for one pool which idle connection to reuse; its state is constant in size."""

    __slots__ = ("allowance", "answer_s", "full_rest_s", "latest_arrival_s", "min_rest_s", "unsolicited_at")

    def __init__(self, idle_timeout_s: float, min_rest_s: float = MIN_REST_S) -> None:
        """`idle_timeout_s` is the time after which endpoints close idle connections (0: not known).

        With a `min_rest_s` of 0 every connection is reused at once, even after unsolicited bytes.
        """
        self.min_rest_s = min_rest_s
        self.full_rest_s = idle_timeout_s * FULL_REST_SHARE if idle_timeout_s > 0.0 else DEFAULT_FULL_REST_S
        self.answer_s = 0.0  # EWMA of the time from writing a request to the end of its answer
        self.allowance = INITIAL_ALLOWANCE
        self.unsolicited_at: float | None = None  # when unsolicited bytes were last seen
        self.latest_arrival_s = 0.0  # longest delay of unsolicited bytes after the answer before them

    # Events

    def answered(self, took_s: float) -> None:
        """Record that an answer was completed `took_s` after its request was written."""
        self.answer_s += (took_s - self.answer_s) / (ANSWER_TIME_SAMPLES if self.answer_s else 1)

    def opened(self) -> None:
        """Record that a connection is being opened."""
        self.allowance = min(MAX_ALLOWANCE, self.allowance + ALLOWANCE_SHARE)

    def record_unsolicited(self, now: float, after_s: float) -> None:
        """Record unsolicited bytes that were received `after_s` after the answer before them.

        Bytes later than the full rest are ignored: they are no second answer, but a notice before a close,
        for example.
        """
        if after_s > self.full_rest_s:
            return
        if not self._saw_unsolicited_recently(now):
            self.latest_arrival_s = 0.0
        self.unsolicited_at = now
        self.latest_arrival_s = max(self.latest_arrival_s, after_s)

    def _saw_unsolicited_recently(self, now: float) -> bool:
        return self.unsolicited_at is not None and now - self.unsolicited_at <= UNSOLICITED_MEMORY_S

    # Decisions

    def required_rest_s(self, now: float) -> float:
        """How long a connection must rest before it may be reused."""
        if not self.min_rest_s or not self._saw_unsolicited_recently(now):
            return self.min_rest_s
        measured_s = max(MIN_PREFERRED_REST_S, ARRIVAL_FACTOR * self.latest_arrival_s)
        return max(self.min_rest_s, min(self.full_rest_s, measured_s))

    def preferred_rest_s(self) -> float:
        """How long a connection should have rested if there is a choice."""
        return min(self.full_rest_s, max(MIN_PREFERRED_REST_S, PREFERRED_REST_SHARE * self.answer_s))

    def pick(self, now: float, idle: Sequence[IdleConnection], may_open: Callable[[], bool]) -> int | None:
        """The index of the connection to reuse, or None for a new one.

        `idle` is ordered, the freshest last; `may_open` returns whether a new connection may be opened
        although an idle one could be reused.
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

    def _cheapest(self, now: float, idle: Sequence[IdleConnection]) -> int | None:
        """The index of the connection to reuse if none may be opened; None if no connection has rested."""
        required = self.required_rest_s(now)
        preferred = _freshest(now, idle, max(required, self.preferred_rest_s()))
        if preferred is not None:
            return preferred
        return 0 if now - idle[0].idle_since >= required else None


def _freshest(now: float, idle: Sequence[IdleConnection], rest_s: float) -> int | None:
    """The index of the freshest connection that has rested for `rest_s`; None if there is none."""
    for index in range(len(idle) - 1, -1, -1):
        if now - idle[index].idle_since >= rest_s:
            return index
    return None
