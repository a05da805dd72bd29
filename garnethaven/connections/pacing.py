"""When one server may be dialled by one of many instances that do not communicate. No I/O; times are seconds.

Theory. A new connection costs a server work, most of all a cold server, and all instances may have a reason
to open one at the same moment. The fleet may open `opens_per_s` new connections per second to each server,
times its warmth, and each instance has an even share of that.

- Where an instance's share of the burst is at least one connection, it has a token bucket of that size, which
  starts at a random level. The fleet's sum in any second is at most `opens_per_s` plus the burst, which
  retries may borrow once more.
- In a larger fleet one stored token per instance would add up to a storm at a server that all dial at the
  same moment, such as one that has just come back. While a server is cold, the first demand therefore waits
  a random part of the interval between this instance's connections: the demands of a whole fleet are spread
  evenly over it. At a warm server the first demand after an idle period dials at once: an instance with one
  request per minute must be served, and instances with few requests rarely dial one server together.
- After a refusal, one dial at a time is tried, after a random part of a backoff that doubles with each
  failure up to `MAX_BACKOFF_S` (full jitter). A successful dial resets it.
"""

from __future__ import annotations

from random import Random

INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0
MAX_DOUBLINGS = 10
BURST_S = 0.5  # burst, as seconds of the rate
MIN_IDLE_INTERVALS = 2.0  # idle time, in intervals per connection, after which demand counts as new


class DialPacer:
    """Paces the dials to one server process. `opens_per_s`: the whole fleet's rate for a warm server."""

    def __init__(self, opens_per_s: float, fleet_size: int, rng: Random) -> None:
        self.rate = opens_per_s / max(1, fleet_size)
        self.burst = opens_per_s * BURST_S / max(1, fleet_size)
        self.rng = rng
        self.tokens = rng.random() * self.burst
        self.tokens_at: float | None = None
        self.last_demand_at: float | None = None
        self.progress = self.required_progress = 0.0  # in intervals per connection
        self.failures = 0
        self.blocked_until = 0.0

    def allows(self, now: float, warmth: float, dials_in_progress: int, urgent: bool = False) -> bool:
        """Returns whether a dial may start now.

        An `urgent` dial, for a request that no other server may take, may borrow as much as the burst.
        """
        if self.failures and (dials_in_progress or now < self.blocked_until):
            return False
        rate = self.rate * max(1e-3, warmth)
        if self.burst < 1.0:
            return self._random_wait_over(now, rate, warmth >= 1.0) or urgent
        if self.tokens_at is not None:
            self.tokens = min(self.burst, self.tokens + (now - self.tokens_at) * rate)
        self.tokens_at = now
        return self.tokens >= (1.0 - self.burst if urgent else 1.0)

    def _random_wait_over(self, now: float, rate: float, warm: bool) -> bool:
        elapsed_intervals = (
            (now - self.last_demand_at) * rate if self.last_demand_at is not None else MIN_IDLE_INTERVALS
        )
        self.last_demand_at = now
        if elapsed_intervals >= MIN_IDLE_INTERVALS:
            self.progress, self.required_progress = 0.0, 0.0 if warm else self.rng.random()
        else:
            self.progress += elapsed_intervals
        return self.progress >= self.required_progress

    def record_dial(self, now: float, warmth: float) -> None:
        """Records that a dial was started."""
        if self.burst < 1.0:
            self.progress, self.required_progress = 0.0, 1.0
        else:
            self.tokens -= 1.0

    def record_failure(self, now: float) -> None:
        backoff_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * (1 << min(self.failures, MAX_DOUBLINGS)))
        self.failures += 1
        self.blocked_until = now + self.rng.random() * backoff_s

    def record_success(self) -> None:
        self.failures = 0
