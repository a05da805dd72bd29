"""Admission of tenants' requests against a fleet-wide rate limit, as decided by one member. No I/O.

Theory. A tenant has an allowance over the whole fleet: requests per second and a burst. Each member has a
token bucket for it, refilled at the member's *share* of the rate and as deep as the same share of the burst
(at least one request). A request takes a token or is refused at once. So in any span the fleet admits at most

    sum(capacities) + the integral of the sum of all shares,

and it remains to show that the shares of all members never add up to more than the allowance. They are
computed by shares.py from the demand that each member publishes. Three rules keep the sum:

- *A member's own demand counts with the least value published recently* (within `settle`, slightly more than
  the horizon), the others' with the latest value received, which is no older than the horizon. Then the
  argument of shares.py holds at every moment.
- *Only members with the same view compete* (gossip/rows.py, `alike`): the rate to divide is the allowance
  times their fraction of all members. The remainder is reserved for the other members and not used by these,
  whatever the others do. A member that receives from nobody has its even share. The sides of a partition
  divide the allowance by their sizes.
- *A change of view takes effect at once where it lowers a share, and after `settle` where it raises one*: in
  between, a member uses the least of its shares under the views of that time. Others may see the change up
  to a horizon later.

A process starts with its even share, which the others reserve for members they do not hear. From its first
row on it publishes the floor (below) of each tenant with an allowance of its own: whoever receives the row
counts that much, so the process may count it too without waiting.

Limitation, included in bound.py: a member that starts where the others no longer count it, or do not count it
yet, uses its even share in excess for up to a horizon.

The demand is the rate of requests, admitted or refused, over `DEMAND_WINDOW_S`, plus one standard deviation
for the growth that is to be expected. For `FLOOR_RETENTION_S` it does not fall below its recent peak, limited
to `FLOOR_RATIO` of an even share: a tenant with occasional requests keeps what it needs for them, and a burst
that moves between members faster than rows spread finds that much at each. Demand that is not published does
not count: a member publishes `MAX_PUBLISHED_TENANTS` tenants, those with the highest demand, and counts its
own demand as 0 for the others.

Names. Each tenant with an allowance of its own has an id, a hash of its name that is the same on all members.
All other names share `slot_count` ids by hash, so that ten thousand invented names use no more memory than
that; two names in one slot share one allowance. The probability that a name collides with one of k others is
1 - (1 - 1/slot_count) ** k.

Times are integer nanoseconds of the caller's monotonic clock; rates are requests per second.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import NamedTuple

from garnethaven.tenants.shares import share_of

SECOND = 1_000_000_000
DEMAND_WINDOW_S = 2.0  # a burst no longer affects the demand after this time
FLOOR_RETENTION_S = 10.0  # a name without an allowance of its own is also forgotten after this time
FLOOR_RATIO = 0.5  # of an even share
MAX_PUBLISHED_TENANTS = 40  # in a row, which has to fit into one datagram
FIRST_CONFIGURED_ID = 1 << 32  # ids from here on belong to tenants with an allowance of their own
MAX_PLAUSIBLE_RATIO = 50.0  # times the allowance; a member that publishes more demand is reported in the log


class Allowance(NamedTuple):
    """A fleet-wide rate limit: requests per second and the burst in requests."""

    per_s: float
    burst: float


class TenantCounters(NamedTuple):
    """One member's counters of one tenant, as published in its row."""

    id: int
    demand: float
    requested: int  # since the process started
    admitted: int


class View(NamedTuple):
    """A member's view of the fleet. `demands`: by tenant id, published by members with the same view."""

    members: int  # all members that are counted
    same_view_count: int  # members with the same view, including this one
    demands: Mapping[int, list[float]]


@dataclass(slots=True)
class Tenant:
    """The state of one tenant at one member."""

    id: int
    allowance: Allowance
    refilled_at: int
    last_request_at: int
    tokens: float = 0.0
    share: float = 0.0
    requested: int = 0
    admitted: int = 0
    peaks: tuple[float, float] = (0.0, 0.0)  # highest demand in the previous and this half of the retention
    peaks_rotated_at: int = 0
    request_counts: deque[tuple[int, int]] = field(default_factory=deque)  # (time, `requested`)
    published_since_start: bool = False  # its demand is published since the process started
    published: deque[tuple[int, float]] = field(default_factory=deque)  # (since when, demand)
    recent_shares: deque[tuple[int, float]] = field(default_factory=deque)  # (time, share)

    def mark_process_start(self, now: int) -> None:
        """Marks the start of the process: the floor holds, and the share may not rise before `settle`."""
        self.published_since_start = True
        self.peaks, self.peaks_rotated_at = (0.0, math.inf), now
        self.recent_shares.append((now, self.share))

    @property
    def capacity(self) -> float:
        """Bucket size in requests: its share of the burst, so that all buckets hold at most the burst."""
        return max(1.0, self.allowance.burst * self.share / self.allowance.per_s)

    def set_share(self, share: float) -> None:
        """Sets the share and discards tokens beyond the new capacity."""
        self.share = share
        self.tokens = min(self.tokens, self.capacity)

    def refill(self, now: int) -> None:
        elapsed = now - self.refilled_at
        if elapsed > 0:
            self.tokens = min(self.capacity, self.tokens + self.share * elapsed / SECOND)
            self.refilled_at = now

    def demand(self, now: int, even_share: float) -> float:
        """Returns the demand to publish, rounded to 0.01; called once per period."""
        rate = self.rate(now)
        demand = rate + math.sqrt(rate / DEMAND_WINDOW_S)
        if now - self.peaks_rotated_at >= FLOOR_RETENTION_S * SECOND / 2:
            self.peaks, self.peaks_rotated_at = (self.peaks[1], 0.0), now
        self.peaks = self.peaks[0], max(self.peaks[1], demand)
        return round(max(demand, min(max(self.peaks), FLOOR_RATIO * even_share)), 2)

    def rate(self, now: int) -> float:
        """Returns the rate of requests, admitted or refused, over the window."""
        request_counts, since = self.request_counts, now - int(DEMAND_WINDOW_S * SECOND)
        request_counts.append((now, self.requested))
        while len(request_counts) > 1 and request_counts[1][0] <= since:
            request_counts.popleft()
        return (self.requested - request_counts[0][1]) / DEMAND_WINDOW_S

    def min_published(self, now: int, settle: int) -> float:
        """Returns the least demand in force within the last `settle`; 0 if there was a time without one."""
        since, published = now - settle, self.published
        while len(published) > 1 and published[1][0] <= since:
            published.popleft()
        if not published or (published[0][0] > since and not self.published_since_start):
            return 0.0
        return min(demand for _, demand in published)

    def min_share(self, now: int, settle: int, share: float) -> float:
        """Records `share` and returns the least share under the views of the last `settle`."""
        self.recent_shares.append((now, share))
        while self.recent_shares[0][0] < now - settle:
            self.recent_shares.popleft()
        return min(recent_share for _, recent_share in self.recent_shares)


class Admission:
    """One member's admission decisions.

    `settle`: nanoseconds before a share may rise, slightly more than the horizon.
    """

    def __init__(
        self,
        allowances: Mapping[str, Allowance],
        default_allowance: Allowance | None,
        slot_count: int,
        settle: int,
        now: int,
        members: int,
        salt: bytes = b"",
    ) -> None:
        self.salt = salt
        self.settle = settle
        self.started_at = now
        self.members = max(1, members)  # assumed until a view is received
        self.same_view_count = 1
        self.view_changed_at = self.view_updated_at = now
        self.view: View | None = None  # None until the first update
        self.tenants: dict[int, Tenant] = {}
        self.set_allowances(allowances, default_allowance, slot_count)
        for tenant_id in self.configured:
            self._add_tenant(now, tenant_id).mark_process_start(now)

    def set_allowances(
        self, allowances: Mapping[str, Allowance], default_allowance: Allowance | None, slot_count: int
    ) -> None:
        """Applies the operator's table; the tenants' buckets and counters are kept."""
        self.configured = {
            self._hash(name) | FIRST_CONFIGURED_ID: allowance for name, allowance in allowances.items()
        }
        self.default_allowance = default_allowance
        self.slot_count = max(1, slot_count)
        self.ids = {name: self._hash(name) | FIRST_CONFIGURED_ID for name in allowances}
        for tenant in list(self.tenants.values()):
            allowance = self._allowance(tenant.id)
            if allowance is None:
                del self.tenants[tenant.id]
            else:
                tenant.allowance = allowance
                tenant.set_share(min(tenant.share, allowance.per_s))

    def _hash(self, name: str) -> int:
        digest = blake2b(name.encode("utf-8", "surrogateescape"), digest_size=4, key=self.salt[:64])
        return int.from_bytes(digest.digest(), "big")

    def _allowance(self, tenant_id: int) -> Allowance | None:
        return self.configured.get(tenant_id, self.default_allowance if tenant_id < self.slot_count else None)

    # Per request

    def id_of(self, name: str) -> int | None:
        """Returns a tenant's id; None if no allowance applies to the name."""
        tenant_id = self.ids.get(name)
        if tenant_id is None and self.default_allowance is not None:
            return self._hash(name) % self.slot_count
        return tenant_id

    def admit(self, now: int, tenant_id: int) -> int | None:
        """Decides on one request: None if admitted, else the nanoseconds until a token may be available."""
        tenant = self.tenants.get(tenant_id)
        if tenant is None:
            tenant = self._add_tenant(now, tenant_id)
        if now - self.view_updated_at > self.settle and self.same_view_count > 1:
            self._reset_view(now)
        tenant.requested += 1
        tenant.last_request_at = now
        tenant.refill(now)
        if tenant.tokens >= 1.0:
            tenant.tokens -= 1.0
            tenant.admitted += 1
            return None
        if tenant.share <= 0.0:
            return self.settle
        return min(self.settle, int((1.0 - tenant.tokens) / tenant.share * SECOND))

    def _reset_view(self, now: int) -> None:
        """Falls back to the even share: the process was suspended for longer than the view is valid."""
        self.update_view(now, View(self.members, 1, {}))

    def _add_tenant(self, now: int, tenant_id: int) -> Tenant:
        """Adds a tenant; its bucket was empty at the start of the process and is refilled since then."""
        allowance = self._allowance(tenant_id)
        assert allowance is not None  # the id comes from `id_of`
        tenant = Tenant(tenant_id, allowance, self.started_at, now)
        tenant.request_counts.append((now, 0))
        tenant.share = self._share(now, tenant)
        tenant.refill(now)
        self.tenants[tenant_id] = tenant
        return tenant

    # Once per period

    def publish(self, now: int) -> list[TenantCounters]:
        """Returns the counters to publish, highest demand first, and forgets idle tenants."""
        rows = []
        for tenant in list(self.tenants.values()):
            tenant.refill(now)
            demand = tenant.demand(now, tenant.allowance.per_s / self.members)
            idle = now - tenant.last_request_at > FLOOR_RETENTION_S * SECOND
            if idle and tenant.id < FIRST_CONFIGURED_ID and tenant.tokens >= tenant.capacity:
                del self.tenants[tenant.id]
            elif tenant.requested or demand:
                rows.append(TenantCounters(tenant.id, demand, tenant.requested, tenant.admitted))
        rows.sort(key=lambda row: (-row.demand, -row.requested))
        chosen = rows[:MAX_PUBLISHED_TENANTS]
        demands = {row.id: row.demand for row in chosen}
        for tenant in self.tenants.values():
            published_demand = demands.get(tenant.id, 0.0)
            if not tenant.published or tenant.published[-1][1] != published_demand:
                tenant.published.append((now, published_demand))
        return chosen

    def update_view(self, now: int, view: View) -> None:
        """Applies a new view of the fleet and recomputes all shares."""
        self.view, self.view_updated_at = view, now
        if (view.members, view.same_view_count) != (self.members, self.same_view_count):
            self.members, self.same_view_count, self.view_changed_at = (
                max(1, view.members),
                max(1, view.same_view_count),
                now,
            )
        for tenant in self.tenants.values():
            tenant.refill(now)
            share = self._share(now, tenant)
            recent_min = tenant.min_share(now, self.settle, share)
            tenant.set_share(recent_min if now - self.view_changed_at <= self.settle else share)

    def _share(self, now: int, tenant: Tenant) -> float:
        available_rate = tenant.allowance.per_s * self.same_view_count / self.members
        remote_demands = self.view.demands.get(tenant.id, ()) if self.view is not None else ()
        own_demand = tenant.min_published(now, self.settle)
        return share_of(
            available_rate, own_demand, remote_demands, max(0, self.same_view_count - 1 - len(remote_demands))
        )

    # Figures

    def tokens(self) -> dict[int, float]:
        """Returns the tokens in each bucket, for the persisted state."""
        return {tenant.id: round(tenant.tokens, 2) for tenant in self.tenants.values()}

    def restore(self, now: int, tokens: Mapping[int, float]) -> None:
        """Restores buckets of a previous process; they are not refilled for the time in between."""
        for tenant_id, remaining in tokens.items():
            if self._allowance(tenant_id) is None or not math.isfinite(remaining):
                continue
            tenant = self.tenants.get(tenant_id) or self._add_tenant(now, tenant_id)
            tenant.tokens, tenant.refilled_at = max(0.0, min(tenant.capacity, remaining)), now


def implausible(
    rows: Iterable[TenantCounters], allowance_of: Mapping[int, Allowance]
) -> TenantCounters | None:
    """Returns the first counters whose demand is implausibly above the allowance, or None."""
    for counters in rows:
        allowance = allowance_of.get(counters.id)
        if allowance is not None and counters.demand > MAX_PLAUSIBLE_RATIO * allowance.per_s:
            return counters
    return None
