"""How many connections a server will need soon, from recent use. No I/O; times are seconds.

The highest number of busy connections is kept for each of the last `SLOT_COUNT` slots of `SLOT_S`. The
forecast is the mean of these peaks plus their standard deviation. A burst within one slot is forgotten after
`SLOT_COUNT * SLOT_S`.
"""

from __future__ import annotations

import math
from collections import deque

SLOT_S = 2.0
SLOT_COUNT = 5


class DemandForecast:
    """The recent peaks of use of one server."""

    def __init__(self) -> None:
        self.peaks: deque[int] = deque(maxlen=SLOT_COUNT)
        self.peak = self.busy = 0
        self.slot_started_at: float | None = None

    def set_busy(self, now: float, busy: int) -> None:
        """Sets the number of connections that are in use or requested from now on."""
        self._advance(now)
        self.busy = busy
        self.peak = max(self.peak, busy)

    def _advance(self, now: float) -> None:
        if self.slot_started_at is None:
            self.slot_started_at = now
            return
        elapsed_slots = int((now - self.slot_started_at) / SLOT_S)
        for _ in range(min(elapsed_slots, SLOT_COUNT + 1)):
            self.peaks.append(self.peak)
            self.peak = self.busy
        self.slot_started_at += elapsed_slots * SLOT_S

    def forecast(self, now: float) -> int:
        """Returns how many connections should be open, including busy ones; 0 without recent requests."""
        self._advance(now)
        peaks = [*self.peaks, self.peak]
        if not any(peaks):
            return 0
        mean = sum(peaks) / len(peaks)
        spread = math.sqrt(sum((peak - mean) ** 2 for peak in peaks) / len(peaks))
        return math.ceil(mean + spread)
