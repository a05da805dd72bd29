"""Whether opening ahead of need is worth it at one server. No I/O; times are seconds.

A connection that was opened ahead and retires unused cost the server a handshake for nothing. `worth` falls
with each of those and rises with each that was used; under `WORTH_LEAST` nothing is opened ahead. It comes
back with time, `RETURN_S` from nothing to all, for demand changes.
"""

from __future__ import annotations

FALL = 0.92
RISE = 0.3
WORTH_LEAST = 0.5
RETURN_S = 20.0


class Ahead:
    def __init__(self) -> None:
        self.worth = 1.0
        self.at = 0.0

    def _now(self, now: float) -> float:
        self.worth = min(1.0, self.worth + max(0.0, now - self.at) / RETURN_S)
        self.at = now
        return self.worth

    def pays(self, now: float) -> bool:
        return self._now(now) >= WORTH_LEAST

    def used(self, now: float) -> None:
        self.worth = self._now(now) + (1.0 - self.worth) * RISE

    def unused(self, now: float) -> None:
        self.worth = self._now(now) * FALL
