"""How long a kept connection may be idle before it is no longer trusted. No I/O; times are seconds.

Theory. Idle connections end in three ways: the server closes them at a time that the settings or its
`Keep-Alive` header announce; the server closes them earlier; or a middlebox drops them silently. The first is
known in advance. The second shows as a close while no request is in progress. The third shows only as a
request without an answer, and that request is the price of learning the limit.

The learned limit is `OBSERVED_FRACTION` of the idle time at which connections were found dead. Events that
are no idle limit must not be learned: a process that crashes ends all its connections whatever their idle
time, and noise (random failures) ends any.

- *Silence* after a request, while the same server answers later requests, is learned at once: crashes and
  noise end connections visibly.
- *A close* is learned only with a second one after a similar idle time (`SIMILARITY_RATIO`), within
  `MAX_PAIR_GAP_S` and at least `MIN_PAIR_GAP_S` later, since closes at the same moment have one cause.
- A server's learned limit grows back by half every `RECOVER_S`, since the middlebox may be gone.
- Similar limits learned from `MIN_SIMILAR_SERVERS` servers within `COMMON_WINDOW_S` apply to all servers: the
  cause is most likely on this side.
- Addresses are remembered after their server has gone, so that one that returns need not be learned again.

A connection is closed at a random fraction of its limit, at least `MIN_RETIRE_FRACTION`, so that connections
opened together do not end together. Below `TRUSTED_FRACTION` of the limit a connection is trusted; between
the two it is *in doubt*, and no request that must not be lost is sent on it.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from random import Random

MIN_LIMIT_S = 0.05
ANNOUNCED_FRACTION = 0.85  # of an announced limit: a request must not cross the server's own close
OBSERVED_FRACTION = 0.8  # of the idle time at which a connection was found dead
MIN_RETIRE_FRACTION = 0.85
TRUSTED_FRACTION = 0.5
MAX_TRUSTED_S = 1.0  # middleboxes that drop connections sooner are unusual
RECOVER_S = 300.0
SIMILARITY_RATIO = 1.3  # largest ratio of two similar idle times
MIN_PAIR_GAP_S = 0.1
MAX_PAIR_GAP_S = 60.0
COMMON_WINDOW_S = 60.0
MIN_SIMILAR_SERVERS = 2
MAX_ADDRESSES = 4096  # addresses


def are_similar(first_s: float, second_s: float) -> bool:
    return max(first_s, second_s) <= SIMILARITY_RATIO * min(first_s, second_s)


@dataclass(slots=True)
class IdleEnd:
    """When a connection ended by itself, and how long it had been idle."""

    at: float
    idle_s: float


class IdleLimit:
    """One server's limit. `configured_s`: from the settings (0: none)."""

    def __init__(self, configured_s: float) -> None:
        self.configured_s = configured_s * ANNOUNCED_FRACTION if configured_s > 0.0 else float("inf")
        self.announced_s = float("inf")
        self.learned_s = float("inf")
        self.learned_at = 0.0
        self.last_end: IdleEnd | None = None

    def limit_s(self, now: float) -> float:
        """Returns the longest idle time after which a connection is still used."""
        learned_s = self.learned_s
        if learned_s != float("inf"):
            learned_s *= 1.5 ** ((now - self.learned_at) / RECOVER_S)
        return max(MIN_LIMIT_S, min(self.configured_s, self.announced_s, learned_s))

    def set_announced(self, seconds: float) -> None:
        """Sets the limit announced by the server (`Keep-Alive: timeout=`)."""
        self.announced_s = max(MIN_LIMIT_S, seconds * ANNOUNCED_FRACTION)

    def record_end(self, now: float, idle_s: float) -> bool:
        """Records that a connection ended by itself; returns whether two such ends lower the limit."""
        previous, self.last_end = self.last_end, IdleEnd(now, idle_s)
        if previous is None or now - previous.at > MAX_PAIR_GAP_S or now - previous.at < MIN_PAIR_GAP_S:
            return False
        return are_similar(previous.idle_s, idle_s) and self.learn(now, min(previous.idle_s, idle_s))

    def learn(self, now: float, idle_s: float) -> bool:
        """Records that connections are dead after `idle_s`; returns whether that lowers the limit."""
        limit = max(MIN_LIMIT_S, idle_s * OBSERVED_FRACTION)
        if limit >= self.limit_s(now):
            return False
        self.learned_s, self.learned_at = limit, now
        return True


class IdleLimits:
    """The limits of all servers, and the limit learned from several of them."""

    def __init__(self, configured_s: float, rng: Random) -> None:
        self.configured_s = configured_s
        self.rng = rng
        self.limits: OrderedDict[tuple[str, int], IdleLimit] = OrderedDict()
        self.recent_findings: dict[tuple[str, int], IdleEnd] = {}
        self.common_limit = IdleLimit(configured_s)
        self.learned_count = 0

    def limit_of(self, address: tuple[str, int]) -> IdleLimit:
        limit = self.limits.get(address)
        if limit is None:
            limit = self.limits[address] = IdleLimit(self.configured_s)
            if len(self.limits) > MAX_ADDRESSES:
                self.limits.popitem(last=False)
        else:
            self.limits.move_to_end(address)
        return limit

    def limit_s(self, address: tuple[str, int], now: float) -> float:
        return min(self.limit_of(address).limit_s(now), self.common_limit.limit_s(now))

    def trusted_s(self, address: tuple[str, int], now: float) -> float:
        """Returns the idle time up to which a connection is trusted with any request."""
        return min(MAX_TRUSTED_S, self.limit_s(address, now) * TRUSTED_FRACTION)

    def record_end(self, address: tuple[str, int], now: float, idle_s: float) -> None:
        """Records that a connection to this address ended by itself, idle or with a request on it."""
        if self.limit_of(address).record_end(now, idle_s):
            self._add_finding(address, now, idle_s)

    def record_silence(self, address: tuple[str, int], now: float, idle_s: float) -> None:
        """Records that a request on a connection idle for `idle_s` got no answer."""
        if self.limit_of(address).learn(now, idle_s):
            self._add_finding(address, now, idle_s)

    def _add_finding(self, address: tuple[str, int], now: float, idle_s: float) -> None:
        self.learned_count += 1
        self.recent_findings = {
            known_address: finding
            for known_address, finding in self.recent_findings.items()
            if now - finding.at < COMMON_WINDOW_S
        }
        self.recent_findings[address] = IdleEnd(now, idle_s)
        similar_idle_times = [
            finding.idle_s for finding in self.recent_findings.values() if are_similar(finding.idle_s, idle_s)
        ]
        if len(similar_idle_times) >= MIN_SIMILAR_SERVERS:
            self.common_limit.learn(now, max(similar_idle_times))

    # Persistence

    def snapshot(self, now: float) -> list[tuple[str, int, float]]:
        """Returns (host, port, limit) for each address with a learned limit."""
        return [
            (*address, limit.limit_s(now))
            for address, limit in self.limits.items()
            if limit.learned_s != float("inf")
        ]

    def restore(self, now: float, snapshot: list[tuple[str, int, float]], away_s: float) -> None:
        """Restores limits learned by a previous process, grown by the time since; not the common limit."""
        for host, port, limit_s in snapshot[-MAX_ADDRESSES:]:
            limit = self.limit_of((host, port))
            limit.learned_s, limit.learned_at = max(MIN_LIMIT_S, limit_s), now - max(0.0, away_s)

    def random_retire_fraction(self) -> float:
        """Returns the fraction of its limits at which one connection is closed."""
        return MIN_RETIRE_FRACTION + (1.0 - MIN_RETIRE_FRACTION) * self.rng.random()
