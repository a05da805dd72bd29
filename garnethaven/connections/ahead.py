"""Whether opening connections ahead of need pays off at one server. No I/O; times are seconds.

A connection that was opened ahead and is closed unused cost the server a handshake for nothing. `score` falls
with each of those and rises with each that was used; below `MIN_SCORE` nothing is opened ahead. Because
demand changes, the score recovers with time, from 0 to 1 in `RECOVERY_S`.
"""

from __future__ import annotations

UNUSED_FACTOR = 0.92
USED_STEP = 0.3
MIN_SCORE = 0.5
RECOVERY_S = 20.0


class PrewarmGate:
    """Decides from the use of earlier prewarmed connections whether to open more."""

    def __init__(self) -> None:
        self.score = 1.0
        self.updated_at = 0.0

    def _recovered_score(self, now: float) -> float:
        self.score = min(1.0, self.score + max(0.0, now - self.updated_at) / RECOVERY_S)
        self.updated_at = now
        return self.score

    def allows(self, now: float) -> bool:
        return self._recovered_score(now) >= MIN_SCORE

    def record_used(self, now: float) -> None:
        self.score = self._recovered_score(now) + (1.0 - self.score) * USED_STEP

    def record_unused(self, now: float) -> None:
        self.score = self._recovered_score(now) * UNUSED_FACTOR
