"""The retry budget: how many further attempts (retries and hedges) one sidecar may make.

A further attempt is useful if the previous one met a single bad server. If all servers are full it adds to
the overload: each retry is rejected by another full server, each hedge doubles a request's work, and the more
the servers are asked, the less they serve. One outcome does not distinguish the two cases, but the mix of
outcomes does. A token bucket tracks it, as in client-side throttling:

- It starts full, with `MAX_TOKENS`.
- Each good answer adds one token, each further attempt takes one. In the long run there is at most one
  further attempt per good answer, so that a lost zone or a link with many resets does not close the budget.
- Each attempt that a server rejects for lack of capacity takes `REJECTION_TOKENS`.
- Further attempts are allowed while more than half of the tokens are left. Below that only good answers
  reopen the budget, and at most `MAX_TOKENS / 2` of them are needed, however many attempts were rejected
  meanwhile.

If a share p of the attempts is rejected and each of these is retried once, the bucket keeps its level at
`p * (REJECTION_TOKENS + 1) = 1 - p`, that is p = 1/12. This follows from the model, not from a deployment:
sidecars that collide at a short queue by chance stay below that share while the servers have spare capacity;
full servers reject several times as many.

The first attempt of a request never needs the budget, whatever its class. The budget only denies attempts; it
does not permit one that the rules for the request's class forbid.

No clock, no I/O, no randomness: equal calls give equal results.
"""

from __future__ import annotations

REJECTION_TOKENS = 10.0
MAX_TOKENS = 100.0  # half of them closes the budget: five rejected attempts without an answer in between


class RetryBudget:
    """Token bucket for the further attempts of one sidecar."""

    def __init__(self) -> None:
        self.tokens = MAX_TOKENS

    def allows(self) -> bool:
        """Whether a further attempt may be made now; takes no token."""
        return self.tokens > MAX_TOKENS / 2.0

    def spend(self) -> None:
        """Take one token for a further attempt (a retry or a hedge)."""
        self._add(-1.0)

    def record_answer(self) -> None:
        """Record a good answer."""
        self._add(1.0)

    def record_rejection(self) -> None:
        """Record an attempt that a server rejected for lack of capacity."""
        self._add(-REJECTION_TOKENS)

    def _add(self, tokens: float) -> None:
        self.tokens = min(MAX_TOKENS, max(0.0, self.tokens + tokens))
