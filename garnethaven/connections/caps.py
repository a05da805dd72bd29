"""How many connections this instance may open to one server. No I/O; times are seconds.

There are two bounds. One is this instance's share of the connections that the server accepts (`accepts`
divided by the fleet size, of which only `USED_FRACTION` is used: the rest is for instances that hold more
than their share). The other is observed: a connection that is refused, or accepted and closed before a
request, while others are open to the same server shows that the server is full. The bound is then set to the
number of open connections, at least one. It grows by one every `GROW_S` up to the share, and a full server is
not dialled again before it has grown.
"""

from __future__ import annotations

USED_FRACTION = 0.6
GROW_S = 2.0


class ConnectionCap:
    """`accepts`: configured number of connections that a server accepts from the whole fleet."""

    def __init__(self, accepts: int, fleet_size: int) -> None:
        self.share = max(1, int(accepts * USED_FRACTION / max(1, fleet_size)))
        self.observed: int | None = None
        self.observed_at = 0.0

    def max_connections(self, now: float) -> int:
        if self.observed is None:
            return self.share
        grown = self.observed + int((now - self.observed_at) / GROW_S)
        if grown >= self.share:
            self.observed = None
            return self.share
        return grown

    def record_full(self, now: float, open_connections: int) -> None:
        """Records that the server refused a connection while `open_connections` were open to it."""
        self.observed, self.observed_at = max(1, min(open_connections, self.share)), now
