"""Startup window: limits the requests in flight of a restarted sidecar until it has a latency estimate.

The clients of a sidecar that was down return all at once when it is back. One such burst does not matter to
the servers. The bursts of most of a fleet are seconds of work: they fill queues that the spare capacity, a
part of the whole, drains only in seconds, while nearly every answer is late; and no sidecar has a latency
estimate yet that would show it. So the requests in flight of a restarted sidecar are limited by what is known
without any answer:

- All restarted sidecars together put at most `INITIAL_REQUESTS_PER_SERVER` requests on each warm server. The
  part of one sidecar is `INITIAL_REQUESTS_PER_SERVER * servers / fleet_size`, at least `MIN_LIMIT`. It does
  not depend on how many have restarted, which nobody reports: if only one has, its part holds the requests
  that arrived during a usual start. A server counts by its size as a multiple of the average size: what a
  unit of size can do is not reported; in one deployment a unit is a whole server, in another one core of
  eight.
- The limit grows by `GROWTH_PER_TARGET` times its initial value per latency target, by the clock. Requests
  that arrive while the burst is processed are not part of it; with a fixed limit on the requests in flight,
  all of them would be refused until the burst is done.
- An answer that needed less than `FAST_FRACTION` of its target met no queue and admits one more request: the
  limit doubles with each round of answers, at the rate that the servers set.
- An answer that is late or needed more than `SLOW_FRACTION` of its target multiplies the limit by
  `CUT_FACTOR`, at most once per target, because requests sent before the cut say nothing about it. An attempt
  that a server rejects for lack of capacity does the same.
- The window ends when for `CALM_NS` it refused no request and no answer was slow.

A request over the limit is refused at once, which is safe because it has not been sent.
Limitation: if a latency target is only a few times the duration of a request, the initial limit is a queue in
itself; and clients that never retry a refused request lose it. Both effects are bounded by `MIN_LIMIT` and by
the round of answers after which the limit has doubled.

Times are integer nanoseconds of the caller's clock.
"""

from __future__ import annotations

INITIAL_REQUESTS_PER_SERVER = 6.0  # of all restarted sidecars together, per warm server of average size
MIN_LIMIT = 2.0  # requests in flight; with 1, a request to a silent server would block all others
FAST_FRACTION = 0.4  # of the latency target: a faster answer met no queue
SLOW_FRACTION = 0.6  # of the latency target: a slower answer met a growing queue
CUT_FACTOR = 0.7  # of the limit, after a slow answer
GROWTH_PER_TARGET = 2.0  # growth in one latency target, as a multiple of the initial limit
CALM_NS = 2_000_000_000  # time without a refusal or a slow answer that ends the window


class StartupWindow:
    """Startup window of one sidecar. There is no limit before `begin` and after the window has ended."""

    def __init__(self) -> None:
        self.limit = 0.0  # limit of the requests in flight; 0: none
        self.target = 0  # shortest latency target
        self.initial_limit = 0.0
        self.grown_at = 0
        self.cut_at = 0
        self.busy_at = 0  # time of the last refusal or slow answer

    def begin(self, now: int, servers: float, fleet_size: int, target: int) -> None:
        """Start the window.

        `servers` counts servers of average size, each multiplied by its warmth. `target` is the shortest
        latency target of all request classes.
        """
        self.initial_limit = self.limit = max(
            MIN_LIMIT, INITIAL_REQUESTS_PER_SERVER * servers / max(1, fleet_size)
        )
        self.target = max(1, target)
        self.grown_at = self.cut_at = self.busy_at = now

    def should_refuse(self, now: int, in_flight: int) -> bool:
        """Whether to refuse an arrival; `in_flight` excludes it."""
        if not self.limit:
            return False
        if now - self.busy_at > CALM_NS:
            self.limit = 0.0
            return False
        self.limit += GROWTH_PER_TARGET * self.initial_limit * (now - self.grown_at) / self.target
        self.grown_at = now
        if in_flight < self.limit:
            return False
        self.busy_at = now
        return True

    def record_answer(self, now: int, latency_fraction: float) -> None:
        """Record an answer by its latency divided by its target; 1 or more means that it was late."""
        if not self.limit:
            return
        if latency_fraction < FAST_FRACTION:
            self.limit += 1.0
        elif latency_fraction > SLOW_FRACTION:
            self.busy_at = now
            if now - self.cut_at >= self.target:
                self.cut_at = now
                self.limit = max(MIN_LIMIT, self.limit * CUT_FACTOR)
