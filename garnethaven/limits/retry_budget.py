"""The retry budget: how many further attempts, retries and hedges, one sidecar may make.

Theory. A further attempt is worth its work where the one before met a single bad server, and feeds the
overload where all are full: each retry finds another full server and is turned away too, each hedge doubles
a request's work, and the servers serve less the more they are asked. One outcome doesn't tell the two apart,
but their mix does. So a token bucket follows it, as in client-side throttling:

- It begins full, with `MAX_TOKENS`.
- Each good answer puts in one token, each further attempt takes one out: in the long run there is one further
  attempt for each good answer at the most, so that a lost zone or a line with many resets doesn't close it.
- Each try that a server turns away, having no place for it, takes out `TURNED_AWAY_TOKENS`.
- Further attempts are allowed while more than half is left. Below that only answers open it again, and
  never more than `MAX_TOKENS / 2` of them are needed, however many tries were turned away meanwhile.

With a share p of tries turned away and each of them tried once more the bucket holds its level where
`p * (TURNED_AWAY_TOKENS + 1) = 1 - p`, that is p = 1/12. That follows from the model, not from a deployment:
sidecars that meet at a short queue by chance stay below it where the servers have room, full servers turn
away several times as many.

A request's first attempt never asks the budget, whatever its class. A class that may not be repeated is none
the freer for it: the rules are kept elsewhere, and the budget only ever says no.

No clock, no I/O, no luck: equal calls give equal answers.
"""

from __future__ import annotations

TURNED_AWAY_TOKENS = 10.0
MAX_TOKENS = 100.0  # half of them closes it: five tries turned away with no answer between them


class RetryBudget:
    """One sidecar's budget of further attempts."""

    def __init__(self) -> None:
        self.tokens = MAX_TOKENS

    def allows(self) -> bool:
        """Whether one more further attempt may be made now; it is not booked by asking."""
        return self.tokens > MAX_TOKENS / 2.0

    def spend(self) -> None:
        """A further attempt, a retry or a hedge, is made."""
        self._add(-1.0)

    def answered(self) -> None:
        """A good answer has come."""
        self._add(1.0)

    def turned_away(self) -> None:
        """A server had no place for a try."""
        self._add(-TURNED_AWAY_TOKENS)

    def _add(self, tokens: float) -> None:
        self.tokens = min(MAX_TOKENS, max(0.0, self.tokens + tokens))
