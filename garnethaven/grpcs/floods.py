"""How much of what costs us and brings nothing one connection may send. No I/O; times are seconds.

A budget that refills: resets of streams that had hardly begun, pings, settings, empty DATA frames. A client
that lives by the protocol stays far below; one that floods is told ENHANCE_YOUR_CALM and its connection
ends. The bound would do harm to a client that cancels more than `RATE` calls a second on one connection for
long.
"""

from __future__ import annotations

BURST = 200.0
RATE = 50.0  # a second


class Floods:
    def __init__(self) -> None:
        self.left = BURST
        self.at: float | None = None

    def takes(self, now: float, cost: float = 1.0) -> bool:
        """Whether one more is borne."""
        if self.at is not None:
            self.left = min(BURST, self.left + (now - self.at) * RATE)
        self.at = now
        self.left -= cost
        return self.left >= 0.0
