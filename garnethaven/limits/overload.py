"""Overload control: which share of the arrivals to refuse, and when to stop. Consulted once per request.

A queue that all sidecars keep filling makes every answer late, whereas a request that is refused at once
costs the servers nothing. The state is one number, the *refused share* of arrivals. Two signals that a
sidecar has on its own drive admission:

- *Late answers*, for every sidecar. Each first attempt is counted once, as in time or late, no later than its
  latency target. The share rises while more than `LATE_SHARE_TARGET` of them are late and falls otherwise, in
  steps of `REFUSED_SHARE_GAIN`. The signal is exact but slow: it lags by one latency target and is only as
  frequent as answers are.
- *Work in flight*, for a busy sidecar (less than `BUSY_GAP_NS` between requests). The number of requests in
  flight times the smoothed gap between good answers estimates the time to serve them. This reacts at once,
  whatever has taken the capacity, and needs no history: above `MAX_QUEUE_FRACTION` of the target, new
  requests are refused.

How refusals end. If only good answers lowered the share, it would be a trap: the more is refused, the fewer
answers arrive. A sidecar with eight requests a second went on refusing for a quarter of a minute after the
cause had gone. So low latency also ends them. The latency fraction of an answer is its latency divided by the
target. While its smoothed value is under `MAX_UNQUEUED_FRACTION`, there is no queue, whatever the share is,
and the share halves every `REFUSED_SHARE_HALF_LIFE_NS` by the clock, independent of answers. A late answer
counts as a latency fraction of 1, so the smoothed value can't be under the bound while most answers are late.

Retries. A client that retries immediately repeats its request up to three times as long as it is refused, so
the share would climb until nearly everything is refused. While any share is refused, marked retries get at
most `RETRY_SHARE` of what is admitted; the other retries are refused, which is safe to report to the client.

Times are integer nanoseconds of the caller's clock. Without events, state changes only with the clock.
"""

from __future__ import annotations

from random import Random

from garnethaven.recovery.startup_window import StartupWindow

LATE_SHARE_TARGET = 0.3  # a few bad servers can make this share of answers late; more is overload
REFUSED_SHARE_GAIN = 1 / 16  # how far one answer moves the refused share
MAX_REFUSED_SHARE = 0.9  # the rest is admitted, to detect the end of the overload
# Spans of the EWMAs: a new sample has the weight 1 / span.
ARRIVAL_MIX_EWMA_REQUESTS = 64  # arrivals by value
ARRIVAL_GAP_EWMA_REQUESTS = 16  # time between arrivals
MAX_ANSWER_GAP_EWMA_ANSWERS = 64  # bounds of the span for the time between answers
MIN_ANSWER_GAP_EWMA_ANSWERS = 8
# Time that this span covers, within the bounds: against an estimate that is seconds old, a rise in arrivals
# looks like a queue.
ANSWER_GAP_EWMA_NS = 400_000_000
BUSY_GAP_NS = 50_000_000  # with shorter gaps between requests, a sidecar can detect a queue on its own
MAX_QUEUE_FRACTION = 1.0  # of the latency target: estimated time to serve the requests in flight
MAX_QUEUE_FRACTION_OVER_SHARE = 0.8  # the same for a tenant that exceeds its share
LATENCY_EWMA_ANSWERS = 3  # EWMA span of the latency fraction
MAX_UNQUEUED_FRACTION = 0.4  # an average latency fraction below this means that there is no queue
REFUSED_SHARE_HALF_LIFE_NS = 250_000_000  # while there is no queue
# A smaller share becomes 0: one refusal in fifty requests gives no information and costs its client an
# attempt.
MIN_REFUSED_SHARE = 0.02
RETRY_SHARE = 0.25  # marked retries per admitted first attempt while a share is refused
RETRY_BURST = 4.0  # retries that may be saved up


class Overload:
    """Overload state of one sidecar. Deterministic for equal seeds and calls."""

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self.window = StartupWindow()  # admission limit after a start, before there is a latency estimate
        self.arrival_gap = 0.0  # smoothed time between arrivals
        self.last_arrival = 0
        self.answer_gap = 0.0  # smoothed time between good answers
        self.last_answer = 0
        self.refused_share = 0.0  # of arrivals
        self.share_updated_at = 0
        self.smoothed_latency_fraction = 0.0  # smoothed latency fraction
        self.retry_tokens = RETRY_BURST  # tokens for marked retries
        self.arrivals_by_value: dict[float, float] = {}  # recent arrivals, exponentially decayed

    def record_arrival(self, now: int) -> None:
        """Record the arrival of a request."""
        if self.last_arrival:
            self.arrival_gap += (now - self.last_arrival - self.arrival_gap) / ARRIVAL_GAP_EWMA_REQUESTS
        self.last_arrival = now
        self._decay_refused_share(now)

    def record_answer(self, now: int, latency_fraction: float) -> None:
        """Record a good answer; `latency_fraction` is its latency divided by the latency target."""
        self.window.record_answer(now, latency_fraction)
        self._smooth_latency(now, latency_fraction)
        if self.last_answer:
            span = min(
                MAX_ANSWER_GAP_EWMA_ANSWERS,
                max(MIN_ANSWER_GAP_EWMA_ANSWERS, ANSWER_GAP_EWMA_NS / max(1.0, self.answer_gap)),
            )
            self.answer_gap += (now - self.last_answer - self.answer_gap) / span
        self.last_answer = now

    def record_first_attempt(self, now: int, late: bool) -> None:
        """Record a first attempt as in time or late, and move the refused share."""
        if late:
            self.window.record_answer(now, 1.0)
            self._smooth_latency(now, 1.0)
        step = REFUSED_SHARE_GAIN * ((1.0 if late else 0.0) - LATE_SHARE_TARGET)
        if step < 0.0:
            # The fewer requests are admitted, the fewer are counted: forty sparse sidecars that refused nine
            # in ten went on for 6 s beside idle servers. The full factor 1 / (1 - share) oscillates on
            # overload.
            step /= (1.0 - self.refused_share) ** 0.5
        self.refused_share = min(MAX_REFUSED_SHARE, max(0.0, self.refused_share + step))

    def _smooth_latency(self, now: int, latency_fraction: float) -> None:
        self._decay_refused_share(now)
        self.smoothed_latency_fraction += (
            min(1.0, latency_fraction) - self.smoothed_latency_fraction
        ) / LATENCY_EWMA_ANSWERS

    def _decay_refused_share(self, now: int) -> None:
        """Halve the share once per half-life for the time since the last update, if there is no queue."""
        elapsed, self.share_updated_at = now - self.share_updated_at, now
        if self.refused_share > 0.0 and self.smoothed_latency_fraction < MAX_UNQUEUED_FRACTION:
            self.refused_share *= 0.5 ** (elapsed / REFUSED_SHARE_HALF_LIFE_NS)
            if self.refused_share < MIN_REFUSED_SHARE:
                self.refused_share = 0.0

    def should_refuse(
        self, value: float, target: int, in_flight: int, over_share: bool, is_retry: bool
    ) -> bool:
        """Whether to refuse an arrival; requests of the lowest value are refused first.

        `target` is the latency target in nanoseconds. `in_flight` excludes the arrival itself. `over_share`
        means that its tenant exceeds its share.
        """
        for other_value in self.arrivals_by_value:
            self.arrivals_by_value[other_value] -= (
                self.arrivals_by_value[other_value] / ARRIVAL_MIX_EWMA_REQUESTS
            )
        self.arrivals_by_value[value] = self.arrivals_by_value.get(value, 0.0) + 1.0
        refused = (
            self._queue_is_long(target, in_flight, over_share)
            or self.window.should_refuse(self.last_arrival, in_flight)
            or self._refused_by_share(value, is_retry)
        )
        if not refused:
            self.retry_tokens = min(
                RETRY_BURST, self.retry_tokens - 1.0 if is_retry else self.retry_tokens + RETRY_SHARE
            )
        return refused

    def _queue_is_long(self, target: int, in_flight: int, over_share: bool) -> bool:
        """Whether the requests in flight will need too much of the target, at the current rate of answers.

        A busy sidecar that waited for late answers, which report an overload one whole target later, would
        swing between refusing nothing and nearly everything.
        Limitation: many requests that hang at a silent server count here, until they are attributed to it and
        end.
        """
        if not 0.0 < self.arrival_gap < BUSY_GAP_NS:
            return False
        max_fraction = MAX_QUEUE_FRACTION_OVER_SHARE if over_share else MAX_QUEUE_FRACTION
        return in_flight * self.answer_gap > max_fraction * target

    def _refused_by_share(self, value: float, is_retry: bool) -> bool:
        """Whether the refused share, filled from the lowest value upwards, takes this arrival."""
        if self.refused_share <= 0.0:
            return False
        if is_retry and self.retry_tokens < 1.0:
            return True
        lower_valued = sum(count for other, count in self.arrivals_by_value.items() if other < value)
        to_refuse = self.refused_share * sum(self.arrivals_by_value.values()) - lower_valued
        return to_refuse > 0.0 and self.rng.random() * self.arrivals_by_value[value] < to_refuse
