"""When to pass changes of the list on to the balancer. No I/O, no clock.

Each time, the balancer needs time in proportion to the whole list, however few servers changed. Fifty
separate changes a second in a list of 5,000 servers would take a large part of the event loop's time. So the
first change after a quiet time is passed on at once, and later ones are delayed by the duration of the last
batch times `IDLE_RATIO`, but at most by `MAX_DELAY_S`: a known removal must take effect well within the grace
period of drains.
"""

from __future__ import annotations

IDLE_RATIO = 9.0  # idle time per time spent on a batch: batches take at most a tenth of the loop's time
MAX_DELAY_S = 0.1


class Batches:
    """Delays the next batch in proportion to the duration of the last one."""

    def __init__(self) -> None:
        self.ready_at = 0.0

    def wait_s(self, now: float) -> float:
        """Seconds by which a change received at `now` is delayed; 0: it is passed on at once."""
        return min(MAX_DELAY_S, max(0.0, self.ready_at - now))

    def done(self, started_at: float, ended_at: float) -> None:
        """A batch was passed on between these times."""
        self.ready_at = ended_at + (ended_at - started_at) * IDLE_RATIO
