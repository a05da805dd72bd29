"""When to hand changes of the list to the decision module. No I/O, no clock.

Each hand-over costs it time in proportion to the whole list, whatever changed. Fifty changes a second of
5,000 servers, each on its own, would take a large part of the loop. So a change after a calm is handed over
at once, and the next ones wait for as long as the last one cost times `SHARE`, but never beyond
`WAIT_MOST_S`: an end that is known must act well within the grace of drains.
"""

from __future__ import annotations

SHARE = 9.0  # the rest of the time for one part of handing over: a tenth of the loop
WAIT_MOST_S = 0.1


class Batches:
    def __init__(self) -> None:
        self.ready_at = 0.0

    def wait_s(self, now: float) -> float:
        """How long a change that is known now waits; 0: it is handed over at once."""
        return min(WAIT_MOST_S, max(0.0, self.ready_at - now))

    def done(self, began: float, ended: float) -> None:
        """A hand-over took this long."""
        self.ready_at = ended + (ended - began) * SHARE
