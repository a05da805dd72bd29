"""How many connections a server will need soon, from what was used lately. No I/O; times are seconds.

The most that were busy at once is kept for each of the last `SLOTS` spans of `SLOT_S`. The mean of these
and their spread is what will most likely be needed. One slot of a burst is forgotten after `SLOTS *
SLOT_S`.
"""

from __future__ import annotations

import math
from collections import deque

SLOT_S = 2.0
SLOTS = 5


class Demand:
    def __init__(self) -> None:
        self.peaks: deque[int] = deque(maxlen=SLOTS)
        self.peak = self.busy = 0
        self.slot_at: float | None = None

    def changes(self, now: float, busy: int) -> None:
        """So many connections are in use, or asked for, from now on."""
        self._roll(now)
        self.busy = busy
        self.peak = max(self.peak, busy)

    def _roll(self, now: float) -> None:
        if self.slot_at is None:
            self.slot_at = now
            return
        past = int((now - self.slot_at) / SLOT_S)
        for _ in range(min(past, SLOTS + 1)):
            self.peaks.append(self.peak)
            self.peak = self.busy
        self.slot_at += past * SLOT_S

    def wanted(self, now: float) -> int:
        """Connections that should be open, busy ones with them; 0 where nothing was asked lately."""
        self._roll(now)
        peaks = [*self.peaks, self.peak]
        if not any(peaks):
            return 0
        mean = sum(peaks) / len(peaks)
        spread = math.sqrt(sum((peak - mean) ** 2 for peak in peaks) / len(peaks))
        return math.ceil(mean + spread)
