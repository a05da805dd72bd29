"""One member's token balance for a budget: tokens are earned, spent, transferred, and expire. No I/O.

Theory. A budget allows the fleet `rate` actions per second and a burst of `burst`. The rate is divided at the
source: each member that tokens originate from earns an even share of the rate, whether or not it receives
messages from the others, and no other member earns any. (A budget that is a ratio of some event, such as
retries per first attempt, is earned where that event happens.) One token pays for one action. It has exactly
one holder. It is either spent once by its holder, or removed from the holder's balance before the datagram
that transfers it is built and added once by the receiver, however often that datagram arrives. It expires
when it is older than `lifetime` = burst / rate. Ages are bounded from above in each direction
(gossip/rows.py), and `lifetime` is shortened by `CLOCK_DRIFT` to allow for a slow clock, so that no token
outlives it by any clock.

Invariant. Let spent(t1, t2) be what all members spend in a span. Each token spent in it was earned in
(t1 - lifetime, t2), and each at most once:

    spent(t1, t2) <= rate * (t2 - t1 + lifetime) = rate * (t2 - t1) + burst

at every moment, in any partition, with any loss, duplication or delay of messages, and after any crash: a
token in transit, or held by a member that crashed, is never issued a second time. There is no consensus, so
there is none that could fail.

A process starts with an empty balance and earns from then on: a crash loses at most the tokens held, and a
restart issues no token twice. Earning needs no permission, so no member is without a token for longer than it
takes to earn one.

Times are integer nanoseconds of the caller's monotonic clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

SECOND = 1_000_000_000
BATCHES_PER_LIFETIME = 16  # batches that a balance is kept in: ages are exact to 1/16 of the lifetime
UPDATES_PER_LIFETIME = 128  # how often tokens earned by time are added
CLOCK_DRIFT = 0.02  # largest relative clock error that is allowed for
EPSILON = 1e-9  # tolerance for floating-point rounding, in tokens
MAX_TRANSFER_AGE = 0.75  # of the lifetime; an older token would expire in transit


class TokenBatch(NamedTuple):
    """An amount of tokens, and the latest time at which any of them was earned."""

    earned_at: int
    amount: float


class TokenBalance:
    """One member's tokens of one budget for one subject. `rate`: tokens earned here per second.

    Tokens are added and expired only when an update is due, at most every 1 / `UPDATES_PER_LIFETIME` of the
    lifetime or when the oldest batch expires, so that the usual call costs one comparison.
    """

    __slots__ = ("accrued_until", "batches", "lifetime", "next_update", "rate", "spent", "total")

    def __init__(self, rate: float, lifetime: int, now: int) -> None:
        self.rate = rate
        self.lifetime = int(lifetime / (1.0 + CLOCK_DRIFT))
        self.batches: deque[TokenBatch] = deque()  # oldest first
        self.total = 0.0  # tokens in `batches`
        self.accrued_until = now
        self.next_update = now
        self.spent = 0.0

    @property
    def batch_span(self) -> int:
        return max(1, self.lifetime // BATCHES_PER_LIFETIME)

    def available(self, now: int) -> float:
        """Returns the number of unexpired tokens."""
        if now >= self.next_update:
            self._update(now)
        return self.total

    def _update(self, now: int) -> None:
        """Adds the tokens earned by time and removes expired batches."""
        self._earn_by_clock(now)
        expired_before = now - self.lifetime
        while self.batches and self.batches[0].earned_at <= expired_before:
            self.batches.popleft()
        self.total = sum(batch.amount for batch in self.batches)
        self.next_update = now + max(1, self.lifetime // UPDATES_PER_LIFETIME)
        if self.batches:
            self.next_update = min(self.next_update, self.batches[0].earned_at + self.lifetime)

    def _earn_by_clock(self, now: int) -> None:
        """Adds tokens earned since the last update; each counts as earned at the start of its batch span."""
        if self.rate <= 0.0 or now <= self.accrued_until:
            self.accrued_until = max(self.accrued_until, now)
            return
        start, span = max(self.accrued_until, now - self.lifetime), self.batch_span
        while start < now:
            batch_start = start - start % span
            end = min(now, batch_start + span)
            self._add(TokenBatch(batch_start, self.rate * (end - start) / SECOND))
            start = end
        self.accrued_until = now

    def _add(self, batch: TokenBatch) -> None:
        """Adds tokens, merged into the batch of the same span."""
        batches = self.batches
        if batches and batches[-1].earned_at == batch.earned_at:
            batches[-1] = TokenBatch(batch.earned_at, batches[-1].amount + batch.amount)
        elif batches and batches[-1].earned_at > batch.earned_at:
            self.batches = deque(_merge_batches(sorted([*batches, batch]), self.batch_span))
        else:
            batches.append(batch)
        self.total += batch.amount
        self.next_update = min(self.next_update, batch.earned_at + self.lifetime)

    def earn(self, now: int, amount: float) -> None:
        """Adds tokens for an event that earns them."""
        self._add(TokenBatch(now - now % self.batch_span, amount))

    def spend(self, now: int, cost: float) -> bool:
        """Spends `cost` tokens, oldest first; returns False and spends nothing where there are too few."""
        if now >= self.next_update:
            self._update(now)
        if self.total + EPSILON < cost:
            return False
        self.total -= cost
        self.spent += cost
        batches, remaining = self.batches, cost
        while remaining > EPSILON and batches:
            earned_at, amount = batches[0]
            if amount > remaining + EPSILON:
                batches[0] = TokenBatch(earned_at, amount - remaining)
                break
            remaining -= amount
            batches.popleft()
        return True

    def withdraw(self, now: int, amount: float) -> list[TokenBatch]:
        """Removes and returns at most `amount` tokens: the oldest that would not expire in transit.

        The youngest tokens stay, so that the member's own reserve does not expire early.
        """
        remaining, withdrawn, retained = min(amount, self.available(now)), [], []
        too_old = now - int(self.lifetime * MAX_TRANSFER_AGE)
        for batch in self.batches:
            moved = min(remaining, batch.amount) if batch.earned_at > too_old else 0.0
            if moved > EPSILON:
                withdrawn.append(TokenBatch(batch.earned_at, moved))
                remaining -= moved
            if batch.amount - moved > EPSILON:
                retained.append(TokenBatch(batch.earned_at, batch.amount - moved))
        self.batches = deque(retained)
        self.next_update = now
        return withdrawn

    def deposit(self, now: int, batches: Iterable[TokenBatch]) -> float:
        """Adds tokens received from another member; returns the amount that has not expired."""
        accepted = 0.0
        for batch in batches:
            if now - self.lifetime < batch.earned_at <= now and batch.amount > 0.0:
                self._add(batch)
                accepted += batch.amount
        return accepted


def _merge_batches(batches: list[TokenBatch], span: int) -> list[TokenBatch]:
    """Merges batches that lie within one span; the result has the age of the oldest."""
    merged: list[TokenBatch] = []
    for batch in batches:
        if merged and batch.earned_at - merged[-1].earned_at < span:
            merged[-1] = TokenBatch(merged[-1].earned_at, merged[-1].amount + batch.amount)
        else:
            merged.append(batch)
    return merged
