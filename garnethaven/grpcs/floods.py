"""Limits frames that cost the sidecar work without carrying a call, per client connection. No I/O.

Token bucket: stream resets, pings, settings and empty DATA frames each take one token. A client that
behaves normally stays far below the limit; a flooding client receives ENHANCE_YOUR_CALM and its connection
is closed. Limitation: a client that cancels more than `RATE_PER_S` calls per second on one connection for
long is disconnected too.
"""

from __future__ import annotations

BURST = 200.0
RATE_PER_S = 50.0


class FloodLimiter:
    def __init__(self) -> None:
        self.tokens = BURST
        self.refilled_at: float | None = None  # seconds

    def allows(self, now: float, cost: float = 1.0) -> bool:
        """Charge `cost` tokens at time `now` (seconds); return whether the connection is within its limit."""
        if self.refilled_at is not None:
            self.tokens = min(BURST, self.tokens + (now - self.refilled_at) * RATE_PER_S)
        self.refilled_at = now
        self.tokens -= cost
        return self.tokens >= 0.0
