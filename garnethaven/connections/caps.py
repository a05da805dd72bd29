"""How many connections one server takes from us. No I/O; times are seconds.

Two bounds: our part of what it accepts (`accepts` over the fleet's size, of which `PART` is ever used: the
rest is for instances that hold more than their part), and what it was seen to take. A connection that is
refused, or accepted and closed before anything was asked, while others are open to the same server, says
that it is full: the bound goes to what is open, at least one. It grows by one in `GROW_S` up to our part.
Nobody loops: a full server is asked again only when the bound has grown.
"""

from __future__ import annotations

PART = 0.6
GROW_S = 2.0


class Cap:
    """`accepts` is what a server is said to accept from all."""

    def __init__(self, accepts: int, fleet_size: int) -> None:
        self.part = max(1, int(accepts * PART / max(1, fleet_size)))
        self.seen: int | None = None
        self.seen_at = 0.0

    def most(self, now: float) -> int:
        if self.seen is None:
            return self.part
        grown = self.seen + int((now - self.seen_at) / GROW_S)
        if grown >= self.part:
            self.seen = None
            return self.part
        return grown

    def full(self, now: float, held: int) -> None:
        """The server turned a connection away while so many were open to it."""
        self.seen, self.seen_at = max(1, min(held, self.part)), now
