"""What to do about one server's connections; the parts put together. No I/O, no clock; times are seconds.

For a request that comes:

| there is | it | because |
| --- | --- | --- |
| an idle connection that will do | uses it | it costs nothing |
| a dial that nobody waits for | waits for it | it was opened ahead of this |
| room under the cap, and the pace allows | opens one | |
| none of these, and somebody else's connection may come free in time | waits, as long as a dial takes | |
| a queue of as many as are open | is given back to the module | another server serves it sooner |

An idle connection *will do* where it is below its limit, and for a request that must not be lost (of a
class that may not be repeated) where it is trusted (idle_limits.py).

Opened ahead: what demand wants (demand.py), under the cap, times the server's warmth, and nothing to a
server that is penalised. Closed: at its jittered idle limit, after `age_s`, after `requests_most`, each
with a jitter of its own.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random

from garnethaven.addresses import Address
from garnethaven.connections.ahead import Ahead
from garnethaven.connections.caps import Cap
from garnethaven.connections.demand import Demand
from garnethaven.connections.idle_limits import IdleLimits
from garnethaven.connections.pacing import Pace

DIAL_MEMORY = 8  # dials over which their usual time is smoothed
WAIT_LEAST_S = 0.005
ANSWERS = 4.0  # times the usual answer's time, after which silence on a connection in doubt is its end
ANSWER_MEMORY = 16
WATCH_LEAST_S = 0.25  # of idle time; what was used just now is there
LATER_S = 0.05  # by which a later request must have been written, for answers overtake one another a little
LOOKS_MOST = 3


class Way(Enum):
    USE = "an idle connection"
    WAIT = "one that is coming, or comes free"
    DIAL = "a new one"
    GIVE_BACK = "none here"


@dataclass(slots=True, frozen=True)
class Rules:
    """What holds for all servers."""

    opens_per_s: float = 40.0  # of the whole fleet, at one warm server
    accepts: int = 370  # connections that a server accepts from the whole fleet
    fleet_size: int = 1
    idle_s: float = 15.0  # as the settings tell; 0: not told
    dial_timeout_s: float = 1.0
    age_s: float = 600.0
    requests_most: int = 10_000
    ahead: bool = True


@dataclass(slots=True, frozen=True)
class Server:
    """What the module thinks of a server: its warmth from 0 to 1, and whether it is penalised."""

    warmth: float = 1.0
    penalised: bool = False


@dataclass(slots=True)
class Held:
    """What is open to one server now."""

    busy: int = 0
    idle: int = 0
    coming: int = 0  # dials that are out
    unclaimed: int = 0  # of these, those that nobody waits for
    queue: int = 0  # requests that wait for a connection to come free

    def all(self) -> int:
        return self.busy + self.idle + self.coming


class Plan:
    """One server's; a new life of the server gets a new one."""

    __slots__ = (
        "address",
        "answer_s",
        "answered_of",
        "cap",
        "demand",
        "dial_s",
        "limits",
        "pace",
        "rng",
        "rules",
        "worth",
    )

    def __init__(self, address: Address, rules: Rules, limits: IdleLimits, rng: Random) -> None:
        self.address = address
        self.rules = rules
        self.limits = limits
        self.rng = rng
        self.pace = Pace(rules.opens_per_s, rules.fleet_size, rng)
        self.cap = Cap(rules.accepts, rules.fleet_size)
        self.demand = Demand()
        self.worth = Ahead()
        self.dial_s = 0.0
        self.answer_s = 0.0
        self.answered_of = 0.0  # when the latest request was written that has an answer

    # A request

    def way(self, now: float, held: Held, usable: bool, server: Server, again: bool = False) -> Way:
        """Where one request goes; `usable` tells whether an idle connection will do for it.

        `again` is one that repeats a lost try: most often no other server may take it, so its dial is urgent.
        """
        if usable:
            return Way.USE
        if held.unclaimed > 0:
            return Way.WAIT
        if held.all() < self.cap.most(now) and self.pace.allows(now, server.warmth, held.coming, again):
            return Way.DIAL
        if held.queue < held.busy + held.coming:
            return Way.WAIT
        return Way.GIVE_BACK

    def will_do(self, now: float, idle_s: float, part: float, careful: bool) -> bool:
        """Whether a connection that was idle for so long takes a request; `part` is the connection's own."""
        limit = self.limits.limit_s(self.address, now) * part
        if careful:
            return idle_s <= min(limit, self.limits.sure_s(self.address, now))
        return idle_s <= limit

    def watched(self, idle_s: float) -> bool:
        """Whether silence after a request may mean that a connection had died while it was idle."""
        return idle_s >= WATCH_LEAST_S

    def is_dead(self, now: float, idle_s: float, asked_at: float, looks: int) -> bool:
        """Whether a request that has met silence for `looks` times `silence_s` is on a dead connection.

        It is where the server has answered a later one meanwhile. A server that answers nobody is slow or
        gone, which is the module's matter: to repeat its requests would feed an overload. Where nobody else
        asks it, a connection in doubt counts as dead after `LOOKS_MOST`.
        """
        if self.answered_of > asked_at + LATER_S:
            return True
        return looks >= LOOKS_MOST and idle_s > self.limits.sure_s(self.address, now)

    def wait_s(self) -> float:
        """How long a request waits for a connection: no longer than a dial takes."""
        usual = 2.0 * self.dial_s if self.dial_s else self.rules.dial_timeout_s
        return min(self.rules.dial_timeout_s, max(WAIT_LEAST_S, usual))

    def silence_s(self) -> float:
        """How long a kept connection may say nothing after a request until it is looked at."""
        return max(self.rules.dial_timeout_s, ANSWERS * self.answer_s)

    # Opening and closing

    def ahead(self, now: float, held: Held, server: Server) -> int:
        """Connections to open now, ahead of need."""
        if not self.rules.ahead or server.penalised or not self.worth.pays(now):
            return 0
        wanted = min(self.demand.wanted(now), self.cap.most(now))
        missing = int(wanted * min(1.0, server.warmth)) - held.all()
        if missing <= 0 or not self.pace.allows(now, server.warmth, held.coming):
            return 0
        return 1  # one for each look: the pace is looked at again for the next

    def retires(self, now: float, opened_at: float, idle_s: float, requests: int, part: float) -> bool:
        """Whether an idle connection is to be closed now."""
        return (
            idle_s > self.limits.limit_s(self.address, now) * part
            or now - opened_at > self.rules.age_s * part
            or requests >= self.rules.requests_most * part
        )

    # What happened

    def dialled(self, now: float, took_s: float) -> None:
        """A connection has come up."""
        self.pace.succeeded()
        self.dial_s += (took_s - self.dial_s) / (DIAL_MEMORY if self.dial_s else 1)

    def refused(self, now: float, open_now: int) -> None:
        """A connection did not come up, or was closed before anything was asked; others are open or not."""
        self.pace.failed(now)
        if open_now:
            self.cap.full(now, open_now)

    def answered(self, asked_at: float, took_s: float) -> None:
        """A request that was written at `asked_at` has its answer."""
        self.answered_of = max(self.answered_of, asked_at)
        self.answer_s += (took_s - self.answer_s) / (ANSWER_MEMORY if self.answer_s else 1)

    def ended(self, now: float, idle_s: float) -> None:
        """A kept connection ended by itself after so long an idle time."""
        self.limits.ended(self.address, now, idle_s)

    def silent(self, now: float, idle_s: float) -> None:
        """A request on a connection in doubt met silence."""
        self.limits.silent(self.address, now, idle_s)
