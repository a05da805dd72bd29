"""Places for clients: who keeps a connection while places are scarce.

Theory. A connection that nobody uses costs two budgets at once: a descriptor here, and one of the places
that the clients may hold on their side, which is smaller and which we are never told of. On calm days
keeping it is right: the next request saves a handshake. When places run out, each kept for nobody turns
away somebody who asks now, and from outside that looks like an overload though no server is busy.

So every connection has an expected wait until it is used again, from what it has done so far:

| it has | expected wait |
| --- | --- |
| never asked | `SILENT_WEIGHT` times its silence: it most likely never will |
| asked once | its idle time and the usual return time, over the share of such connections that came back |
| asked again | its own gap while that is not overdue by far, then its idle time: it will wait as long again |
| been turned away | `BLAME_WEIGHT` times that |

The longest wait is worth least. Pressure runs from 0, at `EASE` of the places, to 1, at `FULL` of them. From
0 on connections end in order of their worth, and the more of them at once the higher it is. An answer
that says `Connection: close` is the harmless way and comes first: no request can cross it. Closing in
silence is left to connections that have not been used for `CROSSING_S`, or are older than `FIRST_S` without
a request.

Bounds. Below `EASE` nothing here acts, so calm days keep what they have. A connection that is expected back
within `SPARED_S` is spared until the places are full. It would do harm to clients that open many
connections ahead of need and use each rarely; they pay a handshake on loopback for each request.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil
from typing import Protocol, TypeVar

EASE = 0.5  # share of the places from which on connections are weighed against each other
FULL = 0.85  # the same for full pressure: what is left takes the arrivals between two looks
CALM_WAIT_S = 6.0  # an expected wait that is worth a place while none is scarce
TIGHT_WAIT_S = 0.15  # the same at full pressure
SPARED_S = 1.0  # expected back within this: not closed below full pressure
CROSSING_S = 0.02  # a connection that was used so lately may have its next request on the way
# A client that connects many at once writes its first request after the last of them is open, and later on a
# busy machine: until then silence means nothing. Where it is shorter, clients that all come back to a program
# that has just started lose requests; longer, connections that never ask hold their places for longer.
FIRST_S = 0.2
SILENT_WEIGHT = 8.0
BLAME_WEIGHT = 4.0
OVERDUE = 4.0  # a gap that has passed this many times tells nothing any more
GAP_MEMORY = 4  # gaps of one connection over which its own is smoothed
RETURN_MEMORY = 64  # connections over which the share that comes back is smoothed
RETURN_LEAST = 0.02
TRIAL_EVERY = 8  # one in so many is kept against the odds: or nothing would tell that they are better now


@dataclass(slots=True)
class Usage:
    """What one client's connection has done so far; times in seconds of the caller's clock."""

    since: float  # when it came, or had its last answer
    asked: int = 0  # whole requests
    turned_away: int = 0  # of these, requests that no endpoint might see
    gap: float = 0.0  # smoothed time from an answer to the next request
    counted: bool = False  # whether it came back after its first answer is already in the share


class Ranked(Protocol):
    """Something with a usage that can be closed."""

    usage: Usage


T = TypeVar("T", bound=Ranked)


class Places:
    """Weighs the connections of one front against its places.

    `ours` is the most connections that this side holds, `theirs` the most that the clients hold on
    theirs (0: not known). Both are counts, at least 1 for `ours`. An idle connection is worth keeping for
    `calm_wait_s` seconds while places are plenty.
    """

    def __init__(self, ours: int, theirs: int = 0, calm_wait_s: float = CALM_WAIT_S) -> None:
        self.resize(ours, theirs, calm_wait_s)
        self.ended_early = 0  # connections that were ended for want of places
        self.returning = 1.0  # share of connections that ask a second time
        self.usual_gap = 0.05
        self.leaving = 0  # answers that would have ended their connection, for trials

    def resize(self, ours: int, theirs: int, calm_wait_s: float) -> None:
        """Change the bounds; what was learned of the connections stays."""
        if ours < 1 or theirs < 0:
            raise ValueError(f"places must be positive: {ours} here, {theirs} there")
        self.most = min(ours, theirs) if theirs else ours
        self.calm_wait_s = calm_wait_s

    def pressure(self, held: int) -> float:
        """How scarce places are, from 0 to 1, with `held` of them taken."""
        return min(1.0, max(0.0, (held / self.most - EASE) / (FULL - EASE)))

    # What connections do

    def asks(self, usage: Usage, now: float) -> None:
        """A whole request came on it."""
        if usage.asked:
            gap = max(0.0, now - usage.since)
            usage.gap = usage.gap + (gap - usage.gap) / GAP_MEMORY if usage.gap else gap
            self.usual_gap += (gap - self.usual_gap) / RETURN_MEMORY
            self._count(usage, 1.0)
        usage.asked += 1

    def gone(self, usage: Usage, now: float) -> None:
        """It ended: one that idled for long after its first answer did not come back."""
        if now - usage.since >= SPARED_S:
            self._did_not_return(usage)

    def _did_not_return(self, usage: Usage) -> None:
        if usage.asked == 1:
            self._count(usage, 0.0)

    def _count(self, usage: Usage, came_back: float) -> None:
        if not usage.counted:
            usage.counted = True
            self.returning += (came_back - self.returning) / RETURN_MEMORY

    # What becomes of them

    def may_be_asking(self, usage: Usage, now: float) -> bool:
        """Whether a request may be on its way on it: a close in silence would cost that."""
        return now - usage.since < (CROSSING_S if usage.asked else FIRST_S)

    def expected_wait(self, usage: Usage, now: float) -> float:
        """Seconds until it is likely to be used again; the larger, the less it is worth."""
        idle = max(0.0, now - usage.since)
        if not usage.asked:
            wait = SILENT_WEIGHT * idle
        elif usage.asked == 1:
            wait = (idle + self.usual_gap) / max(RETURN_LEAST, self.returning)
        else:
            wait = usage.gap if idle <= OVERDUE * usage.gap else idle
        return wait * BLAME_WEIGHT if usage.turned_away else wait

    def worth_keeping_s(self, held: int) -> float:
        """The longest expected wait, in seconds, that is worth a place now."""
        pressure = self.pressure(held)
        return float(self.calm_wait_s ** (1.0 - pressure) * TIGHT_WAIT_S**pressure)

    def ends_with_answer(self, usage: Usage, held: int, now: float) -> bool:
        """Whether the answer that is about to be written should be the connection's last."""
        if self.pressure(held) <= 0.0 or self.expected_wait(usage, now) <= self.worth_keeping_s(held):
            return False
        self.leaving += 1
        ends = self.leaving % TRIAL_EVERY != 0
        self.ended_early += ends
        return ends

    def to_close(self, idle: Iterable[T], held: int, now: float) -> list[T]:
        """Those of the idle connections that should go now, the least worth first.

        As many as bring the places back to `EASE` within a few looks; at full pressure all that is not
        worth keeping. Connections that never asked press on one another only: however many come and say
        nothing, those that asked do not lose their places to them.
        """
        silent: list[T] = []
        asked: list[T] = []
        for one in idle:
            (asked if one.usage.asked else silent).append(one)
        chosen = self._worst(silent, held, now)
        chosen += self._worst(asked, held - len(silent), now)
        self.ended_early += len(chosen)
        for one in chosen:
            self._did_not_return(one.usage)
        return chosen

    def _worst(self, idle: list[T], held: int, now: float) -> list[T]:
        pressure = self.pressure(held)
        if pressure <= 0.0:
            return []
        bar = max(self.worth_keeping_s(held), SPARED_S if pressure < 1.0 else 0.0)
        ranked = [
            (wait, one)
            for one in idle
            if not self.may_be_asking(one.usage, now) and (wait := self.expected_wait(one.usage, now)) > bar
        ]
        ranked.sort(key=lambda pair: -pair[0])
        wanted = ceil((held - EASE * self.most) * max(0.25, pressure))
        return [one for _, one in ranked[:wanted]]
