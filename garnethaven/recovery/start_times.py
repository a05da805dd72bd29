"""Effective start times of servers: bounds on the starts that lists claim. No I/O, no clock.

A list reports a start by the wall clock of the server's machine or of discovery, which is converted with this
machine's wall clock. Any of these clocks may be wrong or be stepped, by seconds or by an hour. Slow start
needs a span of real time, so what this process observed on its own monotonic clock bounds the claimed start.

An *incarnation* of a server is its id with one claimed start. Let `now` be the time at which a list first
names an incarnation, and `absent_at` the last time at which a valid list did not name it: `now` for an update
on an open watch, which reports changes at once; otherwise the time of the previous valid answer; none before
the first answer. Discovery may learn of a start late, by at most `MAX_DISCOVERY_LAG_NS` ("lag" below). So the
start lies between `absent_at - lag` and `now`:

| claimed start c | effective start |
| --- | --- |
| 0 (long ago) | 0: no clock is read for it |
| absent_at - lag <= c <= now | c |
| c > now | now: a future start must not keep the server cold for longer than its ramp |
| c < absent_at - lag | now: the server was absent then, so the clock is wrong; now is the coldest case |

So a wrong clock can make a server appear older by at most the lag, and younger by at most the time between
its start and the moment it is first listed. Nothing bounds the first list after the start of this process
from below: its claims up to `now` are accepted.

The effective start is fixed when the incarnation is first listed; later clock steps don't move it. An
incarnation that is listed again after an absence keeps it for `RETENTION_NS`, because lists leave out servers
that drain. If the claims for one id go back in time, its latest effective start remains in force.

Limitation: a list that is later than the lag makes a server that has been warming up start over, which costs
a share of one server for a while.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

SECOND = 1_000_000_000
MAX_DISCOVERY_LAG_NS = 6 * SECOND  # between a start and the list that names it, as for any change
RETENTION_NS = 60 * SECOND  # how long the starts of an unlisted server are kept
MAX_STARTS_PER_SERVER = 4  # remembered claimed starts of one id; few servers start that often in a minute


@dataclass(slots=True)
class ServerStarts:
    """The incarnations of one server id."""

    starts: dict[int, int] = field(default_factory=dict)  # effective start by claimed start
    latest: int | None = None  # latest effective start; None if all claims were 0 (long ago)
    unlisted_at: int | None = None  # None: the server is listed


class StartTimes:
    """Effective starts by server id. All times are nanoseconds of this machine's monotonic clock."""

    def __init__(self) -> None:
        self.servers: dict[int, ServerStarts] = {}
        self.unlisted: dict[int, None] = {}  # ids in the order in which they left the list

    def effective_start(self, endpoint: int, claimed: int, now: int, absent_at: int | None) -> int:
        """Return the effective start of a listed server; 0 means long ago.

        `claimed` is the start in the list and `now` the time at which the list arrived; for `absent_at` see
        the module's docstring.
        """
        if not claimed and endpoint not in self.servers:
            return 0
        server = self.servers.setdefault(endpoint, ServerStarts())
        server.unlisted_at = None
        self.unlisted.pop(endpoint, None)
        if claimed not in server.starts:
            self._add(server, claimed, now, absent_at)
        return server.latest or 0

    @staticmethod
    def _add(server: ServerStarts, claimed: int, now: int, absent_at: int | None) -> None:
        """Record an incarnation that is listed for the first time."""
        earliest = absent_at - MAX_DISCOVERY_LAG_NS if absent_at is not None else None
        effective = claimed
        if claimed and (claimed > now or (earliest is not None and claimed < earliest)):
            effective = now
        if len(server.starts) >= MAX_STARTS_PER_SERVER:
            del server.starts[next(iter(server.starts))]
        server.starts[claimed] = effective
        if claimed:
            server.latest = effective if server.latest is None else max(server.latest, effective)

    def mark_unlisted(self, endpoint: int, now: int) -> None:
        """Mark a server as no longer listed."""
        server = self.servers.get(endpoint)
        if server is not None and server.unlisted_at is None:
            server.unlisted_at = now
            self.unlisted[endpoint] = None

    def mark_unlisted_except(self, listed: Iterable[int], now: int) -> None:
        """Mark all servers that a full list does not name as no longer listed."""
        listed_ids = set(listed)
        for endpoint in [known for known in self.servers if known not in listed_ids]:
            self.mark_unlisted(endpoint, now)

    def drop_expired(self, now: int) -> None:
        """Drop the servers that have been unlisted for `RETENTION_NS`."""
        while self.unlisted:
            endpoint = next(iter(self.unlisted))
            unlisted_at = self.servers[endpoint].unlisted_at
            if unlisted_at is not None and now - unlisted_at < RETENTION_NS:
                return
            del self.unlisted[endpoint], self.servers[endpoint]
