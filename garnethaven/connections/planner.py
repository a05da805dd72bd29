"""Decides on the connections to one server; combines the other modules. No I/O, no clock; times are seconds.

For each request:

| condition | decision | reason |
| --- | --- | --- |
| an idle connection is usable | use it | it costs nothing |
| a dial is in progress that no request waits for | wait for it | it was opened ahead for this |
| the connection cap and the pacer allow a dial | open one | |
| none of these, and a busy connection may become free in time | wait, as long as a dial takes | |
| as many requests are queued as connections are open | return it to the engine | another server is faster |

An idle connection is *usable* below its limit, and for a request that must not be lost (of a class that may
not be retried) only where it is trusted (idle_limits.py).

Opened ahead: the forecast (demand.py), bounded by the connection cap, times the server's warmth; nothing to a
penalised server. Closed: at the jittered idle limit, after `age_s`, after `max_requests`, each with a
connection's own jitter.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random

from garnethaven.addresses import Address
from garnethaven.connections.ahead import PrewarmGate
from garnethaven.connections.caps import ConnectionCap
from garnethaven.connections.demand import DemandForecast
from garnethaven.connections.idle_limits import IdleLimits
from garnethaven.connections.pacing import DialPacer

DIAL_SMOOTHING = 8  # number of dials that the smoothed dial time covers
MIN_WAIT_S = 0.005
SILENCE_FACTOR = 4.0  # times the mean answer time, after which a silent connection is checked
ANSWER_SMOOTHING = 16  # number of answers that the smoothed answer time covers
MIN_WATCHED_IDLE_S = 0.25  # a connection that was idle for less is not watched
REORDERING_S = 0.05  # a later request counts only if sent this much later: answers may overtake one another
MAX_SILENCE_CHECKS = 3


class Decision(Enum):
    USE = "an idle connection"
    WAIT = "one that is coming, or comes free"
    DIAL = "a new one"
    RETURN = "none here"


@dataclass(slots=True, frozen=True)
class Rules:
    """Settings for all servers."""

    opens_per_s: float = 40.0  # by the whole fleet to one warm server
    accepts: int = 370  # connections that a server accepts from the whole fleet
    fleet_size: int = 1
    idle_s: float = 15.0  # idle limit from the settings; 0: none
    dial_timeout_s: float = 1.0
    age_s: float = 600.0
    max_requests: int = 10_000
    ahead: bool = True


@dataclass(slots=True, frozen=True)
class ServerState:
    """A server's state in the balancer: its warmth from 0 to 1, and whether it is penalised."""

    warmth: float = 1.0
    penalised: bool = False


@dataclass(slots=True)
class ConnectionCounts:
    """Counts of connections and waiting requests of one server."""

    busy: int = 0
    idle: int = 0
    dialing: int = 0  # dials in progress
    unclaimed_dials: int = 0  # of these, dials that no request waits for
    queued: int = 0  # requests that wait for a connection to become free

    def total(self) -> int:
        return self.busy + self.idle + self.dialing


class ConnectionPlan:
    """The state and the decisions for one server process; a restarted server gets a new plan."""

    __slots__ = (
        "address",
        "cap",
        "demand",
        "latest_answered_at",
        "limits",
        "mean_answer_s",
        "mean_dial_s",
        "pacer",
        "prewarm_gate",
        "rng",
        "rules",
    )

    def __init__(self, address: Address, rules: Rules, limits: IdleLimits, rng: Random) -> None:
        self.address = address
        self.rules = rules
        self.limits = limits
        self.rng = rng
        self.pacer = DialPacer(rules.opens_per_s, rules.fleet_size, rng)
        self.cap = ConnectionCap(rules.accepts, rules.fleet_size)
        self.demand = DemandForecast()
        self.prewarm_gate = PrewarmGate()
        self.mean_dial_s = 0.0
        self.mean_answer_s = 0.0
        self.latest_answered_at = 0.0  # when the latest answered request was sent

    # A request

    def decide(
        self, now: float, counts: ConnectionCounts, usable: bool, server: ServerState, is_retry: bool = False
    ) -> Decision:
        """Decides where one request goes; `usable`: an idle connection is usable for it.

        A retry of a lost attempt usually can't go to another server, so its dial is urgent.
        """
        if usable:
            return Decision.USE
        if counts.unclaimed_dials > 0:
            return Decision.WAIT
        if counts.total() < self.cap.max_connections(now) and self.pacer.allows(
            now, server.warmth, counts.dialing, is_retry
        ):
            return Decision.DIAL
        if counts.queued < counts.busy + counts.dialing:
            return Decision.WAIT
        return Decision.RETURN

    def is_usable(self, now: float, idle_s: float, fraction: float, trusted_only: bool) -> bool:
        """Returns whether a connection may take a request; `fraction`: its jitter on the idle limit."""
        limit = self.limits.limit_s(self.address, now) * fraction
        if trusted_only:
            return idle_s <= min(limit, self.limits.trusted_s(self.address, now))
        return idle_s <= limit

    def should_watch(self, idle_s: float) -> bool:
        """Returns whether silence may mean that the connection had died while idle."""
        return idle_s >= MIN_WATCHED_IDLE_S

    def is_dead(self, now: float, idle_s: float, sent_at: float, checks: int) -> bool:
        """Returns whether a request without an answer after `checks` checks is on a dead connection.

        It is if the server has answered a later request meanwhile. A server that answers nothing is slow or
        gone, which the balancer handles: retrying its requests would add to an overload. Without other
        requests to the server, a connection in doubt counts as dead after `MAX_SILENCE_CHECKS`.
        """
        if self.latest_answered_at > sent_at + REORDERING_S:
            return True
        return checks >= MAX_SILENCE_CHECKS and idle_s > self.limits.trusted_s(self.address, now)

    def max_wait_s(self) -> float:
        """Returns how long a request waits for a connection: no longer than a dial takes."""
        usual_dial_s = 2.0 * self.mean_dial_s if self.mean_dial_s else self.rules.dial_timeout_s
        return min(self.rules.dial_timeout_s, max(MIN_WAIT_S, usual_dial_s))

    def silence_timeout_s(self) -> float:
        """Returns how long a kept connection may be silent after a request before it is checked."""
        return max(self.rules.dial_timeout_s, SILENCE_FACTOR * self.mean_answer_s)

    # Opening and closing

    def prewarm_count(self, now: float, counts: ConnectionCounts, server: ServerState) -> int:
        """Returns how many connections to open now, ahead of need (0 or 1)."""
        if not self.rules.ahead or server.penalised or not self.prewarm_gate.allows(now):
            return 0
        target = min(self.demand.forecast(now), self.cap.max_connections(now))
        missing = int(target * min(1.0, server.warmth)) - counts.total()
        if missing <= 0 or not self.pacer.allows(now, server.warmth, counts.dialing):
            return 0
        return 1  # one per update: the pacer is asked again for the next

    def should_close(
        self, now: float, opened_at: float, idle_s: float, requests: int, fraction: float
    ) -> bool:
        """Returns whether an idle connection is to be closed now."""
        return (
            idle_s > self.limits.limit_s(self.address, now) * fraction
            or now - opened_at > self.rules.age_s * fraction
            or requests >= self.rules.max_requests * fraction
        )

    # Events

    def record_connected(self, now: float, took_s: float) -> None:
        """Records that a dial succeeded."""
        self.pacer.record_success()
        self.mean_dial_s += (took_s - self.mean_dial_s) / (DIAL_SMOOTHING if self.mean_dial_s else 1)

    def record_refusal(self, now: float, open_connections: int) -> None:
        """Records a failed dial, or a connection closed before any request, while others were open."""
        self.pacer.record_failure(now)
        if open_connections:
            self.cap.record_full(now, open_connections)

    def record_answer(self, sent_at: float, took_s: float) -> None:
        """Records the answer to a request that was sent at `sent_at`."""
        self.latest_answered_at = max(self.latest_answered_at, sent_at)
        self.mean_answer_s += (took_s - self.mean_answer_s) / (ANSWER_SMOOTHING if self.mean_answer_s else 1)

    def record_end(self, now: float, idle_s: float) -> None:
        """Records that a kept connection ended by itself after being idle for `idle_s`."""
        self.limits.record_end(self.address, now, idle_s)

    def record_silence(self, now: float, idle_s: float) -> None:
        """Records that a request on a connection in doubt got no answer."""
        self.limits.record_silence(self.address, now, idle_s)
