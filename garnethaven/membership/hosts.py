"""Which host of an ensemble to try next, and when: backoff with full jitter. No I/O, deterministic by seed.

When a host fails, all its clients lose their connections at the same time. Each waits for a random part of
`spread_s` before its first try, so that the new connections are spread over that time, and takes the next
host of its own random order, so that the clients spread over the remaining hosts. Each further round of
failures doubles the span, up to `MAX_WAIT_S`, with full jitter: the wait is a random part of the whole span.
A fixed part plus a random one would keep clients synchronised. After a refusal (a rejected credential, or a
read-only server where that is not allowed) a retry is not urgent. The span is reset only once a session has
lasted as long as its timeout; otherwise a host that accepts and closes at once would be retried endlessly
without backoff.
"""

from __future__ import annotations

from random import Random

MAX_WAIT_S = 5.0
MAX_DOUBLINGS = 6
REFUSED_PAUSE_S = 2.0  # minimum pause after a refusal


class EndpointLostError(Exception):
    """An endpoint can no longer be used; the text is logged.

    `refused`: the endpoint rejects this client, for example its credentials.
    """

    def __init__(self, reason: str, refused: bool = False) -> None:
        super().__init__(reason)
        self.refused = refused


class Hosts:
    """The hosts of an ensemble in a random order, and the backoff between tries."""

    def __init__(self, addresses: tuple[tuple[str, int], ...], spread_s: float, rng: Random) -> None:
        if not addresses:
            raise ValueError("no host")
        self.order = list(addresses)
        rng.shuffle(self.order)
        self.spread_s = spread_s
        self.rng = rng
        self.failures = 0
        self.position = -1

    def next(self) -> tuple[str, int]:
        """Advance to the next host and return it."""
        self.position = (self.position + 1) % len(self.order)
        return self.order[self.position]

    def wait_s(self, refused: bool = False) -> float:
        """Seconds to wait before the next try; counts one more failure or lost connection."""
        rounds = self.failures // len(self.order)
        span_s = min(MAX_WAIT_S, self.spread_s * (1 << min(rounds, MAX_DOUBLINGS)))
        self.failures += 1
        return self.rng.random() * span_s + (REFUSED_PAUSE_S if refused else 0.0)

    def reset_backoff(self) -> None:
        """Reset the backoff, because a session has lasted long enough."""
        self.failures = 0
