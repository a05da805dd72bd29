"""When one server may be dialled, by one of many instances that do not talk. No I/O; times are seconds.

Theory. A new connection costs a server work, most of all a cold one, and every instance has its own reason
to open one at the same moment. The fleet is given `opens_per_s` new connections a second for each server,
times its warmth, and each instance an even part of that.

- Where an instance's part of the burst is one connection or more it has a bucket of so many, which it
  starts with filled to a random part. The fleet's sum in any second is at most `opens_per_s` and the burst,
  which repeats may borrow once more.
- In a larger fleet a stored connection each would be a storm at a server that all meet at the same moment,
  and that is one that has just come back. While a server is cold the first demand draws a random part of
  the time that one connection stands for, and dials when that has passed: the demands of a whole fleet are
  spread evenly over it. At a warm server the first demand after a lull dials at once, for an instance with
  a request a minute must be served, and instances that ask seldom do not meet one server together.
- A server that refused is tried by one dial at a time, after a random part of a span that doubles with each
  failure up to `BACK_OFF_MOST_S` (full jitter). A dial that comes up ends that.
"""

from __future__ import annotations

from random import Random

BACK_OFF_S = 0.1
BACK_OFF_MOST_S = 5.0
DOUBLINGS_MOST = 10
BURST_S = 0.5  # of the rate that may come at once
LULL = 2.0  # of one connection's time, after which demand is new


class Pace:
    """One server's dials. `opens_per_s` is the fleet's for a warm server; a new life gets a new one."""

    def __init__(self, opens_per_s: float, fleet_size: int, rng: Random) -> None:
        self.rate = opens_per_s / max(1, fleet_size)
        self.most = opens_per_s * BURST_S / max(1, fleet_size)
        self.rng = rng
        self.tokens = rng.random() * self.most
        self.tokens_at: float | None = None
        self.asked_at: float | None = None
        self.progress = self.needed = 0.0  # of one connection's time
        self.failures = 0
        self.held_until = 0.0

    def allows(self, now: float, warmth: float, coming: int, urgent: bool = False) -> bool:
        """Whether a dial may begin now; `coming` dials are out already.

        An `urgent` one, for a request that has nowhere else to go, may borrow as much as the burst.
        """
        if self.failures and (coming or now < self.held_until):
            return False
        rate = self.rate * max(1e-3, warmth)
        if self.most < 1.0:
            return self._drawn(now, rate, warmth >= 1.0) or urgent
        if self.tokens_at is not None:
            self.tokens = min(self.most, self.tokens + (now - self.tokens_at) * rate)
        self.tokens_at = now
        return self.tokens >= (1.0 - self.most if urgent else 1.0)

    def _drawn(self, now: float, rate: float, warm: bool) -> bool:
        passed = (now - self.asked_at) * rate if self.asked_at is not None else LULL
        self.asked_at = now
        if passed >= LULL:
            self.progress, self.needed = 0.0, 0.0 if warm else self.rng.random()
        else:
            self.progress += passed
        return self.progress >= self.needed

    def began(self, now: float, warmth: float) -> None:
        """A dial has begun."""
        if self.most < 1.0:
            self.progress, self.needed = 0.0, 1.0
        else:
            self.tokens -= 1.0

    def failed(self, now: float) -> None:
        span = min(BACK_OFF_MOST_S, BACK_OFF_S * (1 << min(self.failures, DOUBLINGS_MOST)))
        self.failures += 1
        self.held_until = now + self.rng.random() * span

    def succeeded(self) -> None:
        self.failures = 0
