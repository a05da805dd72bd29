"""Client connections: which idle ones to close when the connection limit comes near.

An unused connection counts against two limits: a descriptor in this process, and the connections that the
clients may hold on their side, which are fewer and whose number is never reported to the sidecar. Under
normal load it is right to keep unused connections, because the next request saves a handshake. Near the limit
each of them displaces a client that has a request, which from outside looks like an overload though no server
is busy.

So every connection has an expected wait until its next request, derived from its history:

| history | expected wait |
| --- | --- |
| no request | `UNUSED_WAIT_FACTOR` times its idle time, as it most likely never sends one |
| one request | idle time plus typical gap, divided by the share of such connections that return |
| more requests | its own smoothed gap; its idle time once that is over `OVERDUE_FACTOR` gaps |
| a rejected request | `REJECTED_WAIT_FACTOR` times the above |

Connections with the longest expected wait are closed first. Pressure runs from 0, at `PRESSURE_START` of the
limit, to 1, at `PRESSURE_FULL` of it. Above 0, connections are closed in the order of their expected wait,
and the higher the pressure, the more of them at once. An answer with `Connection: close` is the safe way and
is preferred, because no request can cross it. A connection is closed without an answer only if it has been
idle for `REQUEST_IN_TRANSIT_S`, or, without a request so far, for the grace period
of the first request.

Bounds. Below `PRESSURE_START` nothing is closed, so normal load is not affected. A connection whose expected
wait is within `PROTECTED_WAIT_S` is kept until pressure is full.
Limitation: clients that open many connections ahead of need and use each rarely pay a handshake on loopback
for each request.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil
from typing import Protocol, TypeVar

PRESSURE_START = 0.5  # share of the limit at which pressure rises above 0
PRESSURE_FULL = 0.85  # share of the limit at which pressure is 1; the rest takes arrivals between two sweeps
UNPRESSURED_WAIT_S = 6.0  # longest expected wait of a connection that is kept at pressure 0
FULL_PRESSURE_WAIT_S = 0.15  # the same at pressure 1
PROTECTED_WAIT_S = 1.0  # a connection with a shorter expected wait is not closed below full pressure
REQUEST_IN_TRANSIT_S = 0.02  # after such a short idle time the next request may be on its way
# Grace period for the first request. A client that opens many connections at once writes its first request
# after the last of them is open, and later on a busy machine. With a shorter period, clients that all return
# to a restarted process lose requests; with a longer one, unused connections stay open for longer.
FIRST_REQUEST_GRACE_S = 0.2
UNUSED_WAIT_FACTOR = 8.0
REJECTED_WAIT_FACTOR = 4.0
OVERDUE_FACTOR = 4.0  # after an idle time of so many gaps, the gap no longer predicts the next request
# Spans of the EWMAs: a new sample has the weight 1 / span.
GAP_EWMA_REQUESTS = 4  # request gap of one connection
RETURN_EWMA_CONNECTIONS = 64  # return share, and typical gap
MIN_RETURN_SHARE = 0.02
TRIAL_INTERVAL = 8  # every so many candidates, one is kept, to detect that such connections return again


@dataclass(slots=True)
class ConnectionHistory:
    """History of one client connection; times are seconds of the caller's clock."""

    idle_since: float  # when it was accepted or had its last answer
    request_count: int = 0  # complete requests
    rejected_count: int = 0  # requests that were rejected before any endpoint could see them
    gap: float = 0.0  # smoothed time from an answer to the next request
    return_counted: bool = False  # whether the return share includes this connection


class HasUsage(Protocol):
    """A connection with a usage history."""

    usage: ConnectionHistory


T = TypeVar("T", bound=HasUsage)


class ClientConnectionLimit:
    """Selects the client connections of one listener that are closed near the limit.

    `local_limit` (at least 1) is the largest number of connections on this side, `remote_limit` the largest
    number that the clients hold on their side (0: unknown). `unpressured_wait_s` is the longest expected
    wait, in seconds, of a connection that is kept while there is no pressure.
    """

    def __init__(
        self, local_limit: int, remote_limit: int = 0, unpressured_wait_s: float = UNPRESSURED_WAIT_S
    ) -> None:
        self.resize(local_limit, remote_limit, unpressured_wait_s)
        self.ended_early = 0  # connections closed because of the limit
        self.return_share = 1.0  # share of connections with a second request
        self.typical_gap = 0.05  # smoothed gap of all connections, in seconds
        self.close_candidates = 0  # answers at which a connection qualified for closing

    def resize(self, local_limit: int, remote_limit: int, unpressured_wait_s: float) -> None:
        """Change the limits; keeps the statistics. Raises ValueError if a limit is out of range."""
        if local_limit < 1 or remote_limit < 0:
            raise ValueError(f"connection limits out of range: local {local_limit}, remote {remote_limit}")
        self.limit = min(local_limit, remote_limit) if remote_limit else local_limit
        self.unpressured_wait_s = unpressured_wait_s

    def pressure(self, open_count: int) -> float:
        """How close the number of open connections is to the limit, from 0 to 1."""
        return min(
            1.0, max(0.0, (open_count / self.limit - PRESSURE_START) / (PRESSURE_FULL - PRESSURE_START))
        )

    # Connection events

    def record_request(self, usage: ConnectionHistory, now: float) -> None:
        """Record a complete request on a connection."""
        if usage.request_count:
            gap = max(0.0, now - usage.idle_since)
            usage.gap = usage.gap + (gap - usage.gap) / GAP_EWMA_REQUESTS if usage.gap else gap
            self.typical_gap += (gap - self.typical_gap) / RETURN_EWMA_CONNECTIONS
            self._count_return(usage, 1.0)
        usage.request_count += 1

    def record_close(self, usage: ConnectionHistory, now: float) -> None:
        """Record the end of a connection; one with a single request and a long idle time did not return."""
        if now - usage.idle_since >= PROTECTED_WAIT_S:
            self._count_not_returned(usage)

    def _count_not_returned(self, usage: ConnectionHistory) -> None:
        if usage.request_count == 1:
            self._count_return(usage, 0.0)

    def _count_return(self, usage: ConnectionHistory, returned: float) -> None:
        if not usage.return_counted:
            usage.return_counted = True
            self.return_share += (returned - self.return_share) / RETURN_EWMA_CONNECTIONS

    # Selection

    def may_have_request_in_transit(self, usage: ConnectionHistory, now: float) -> bool:
        """Whether a request may be on its way, which a close without an answer would lose."""
        return now - usage.idle_since < (
            REQUEST_IN_TRANSIT_S if usage.request_count else FIRST_REQUEST_GRACE_S
        )

    def expected_wait(self, usage: ConnectionHistory, now: float) -> float:
        """Estimated seconds until the next request."""
        idle = max(0.0, now - usage.idle_since)
        if not usage.request_count:
            wait = UNUSED_WAIT_FACTOR * idle
        elif usage.request_count == 1:
            wait = (idle + self.typical_gap) / max(MIN_RETURN_SHARE, self.return_share)
        else:
            wait = usage.gap if idle <= OVERDUE_FACTOR * usage.gap else idle
        return wait * REJECTED_WAIT_FACTOR if usage.rejected_count else wait

    def max_wait_s(self, open_count: int) -> float:
        """The longest expected wait, in seconds, of a connection that is kept at the current pressure."""
        pressure = self.pressure(open_count)
        return float(self.unpressured_wait_s ** (1.0 - pressure) * FULL_PRESSURE_WAIT_S**pressure)

    def ends_with_answer(self, usage: ConnectionHistory, open_count: int, now: float) -> bool:
        """Whether the next answer on a connection should close it."""
        if self.pressure(open_count) <= 0.0 or self.expected_wait(usage, now) <= self.max_wait_s(open_count):
            return False
        self.close_candidates += 1
        ends = self.close_candidates % TRIAL_INTERVAL != 0
        self.ended_early += ends
        return ends

    def select_surplus(self, idle: Iterable[T], open_count: int, now: float) -> list[T]:
        """Return the idle connections to close now, longest expected wait first.

        Their number brings the open connections back to `PRESSURE_START` of the limit within a few sweeps; at
        full pressure it is as many as exceed that. Connections without a request are counted and ranked
        separately, so that they never displace connections that send requests.
        """
        unused: list[T] = []
        used: list[T] = []
        for connection in idle:
            (used if connection.usage.request_count else unused).append(connection)
        chosen = self._longest_waits(unused, open_count, now)
        chosen += self._longest_waits(used, open_count - len(unused), now)
        self.ended_early += len(chosen)
        for connection in chosen:
            self._count_not_returned(connection.usage)
        return chosen

    def _longest_waits(self, idle: list[T], open_count: int, now: float) -> list[T]:
        pressure = self.pressure(open_count)
        if pressure <= 0.0:
            return []
        min_wait = max(self.max_wait_s(open_count), PROTECTED_WAIT_S if pressure < 1.0 else 0.0)
        ranked = [
            (wait, connection)
            for connection in idle
            if not self.may_have_request_in_transit(connection.usage, now)
            and (wait := self.expected_wait(connection.usage, now)) > min_wait
        ]
        ranked.sort(key=lambda pair: -pair[0])
        wanted = ceil((open_count - PRESSURE_START * self.limit) * max(0.25, pressure))
        return [connection for _, connection in ranked[:wanted]]
