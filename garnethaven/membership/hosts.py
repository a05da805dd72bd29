"""Which host of an ensemble to try next, and when. No I/O; equal seeds give equal answers.

Theory. When a host goes, all its clients are cut at the same moment. Each waits a random part of `spread_s`
before its first try, so that their connects come over that span, and picks the next host of an order of its
own, so that they spread over those that are left. Each further round of failures doubles the span, up to
`WAIT_MOST_S`, with full jitter: a random part of the whole, not a fixed part and a random rest, which would
keep crowds together. A host that refuses what we are (a credential, a read-only server where that is not
allowed) is no reason to hurry. Once a session has been up for as long as its time-out the span starts anew;
sooner a host that accepts and cuts at once would be tried without end.
"""

from __future__ import annotations

from random import Random

WAIT_MOST_S = 5.0
DOUBLINGS_MOST = 6
REFUSED_S = 2.0  # the least pause after a refusal


class EndpointLostError(Exception):
    """An endpoint can't be used any more; the text is the log's. `refused`: what we are is the reason."""

    def __init__(self, reason: str, refused: bool = False) -> None:
        super().__init__(reason)
        self.refused = refused


class Hosts:
    def __init__(self, addresses: tuple[tuple[str, int], ...], spread_s: float, rng: Random) -> None:
        if not addresses:
            raise ValueError("no host")
        self.order = list(addresses)
        rng.shuffle(self.order)
        self.spread_s = spread_s
        self.rng = rng
        self.failures = 0
        self.at = -1

    def next(self) -> tuple[str, int]:
        """The host to try now."""
        self.at = (self.at + 1) % len(self.order)
        return self.order[self.at]

    def wait_s(self, refused: bool = False) -> float:
        """How long to wait before the next try, after one more failure or loss."""
        rounds = self.failures // len(self.order)
        span = min(WAIT_MOST_S, self.spread_s * (1 << min(rounds, DOUBLINGS_MOST)))
        self.failures += 1
        return self.rng.random() * span + (REFUSED_S if refused else 0.0)

    def lasted(self) -> None:
        """A session has been up for long enough to believe in."""
        self.failures = 0
