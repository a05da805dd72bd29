"""Fresh lists: how long a watch may be silent, when to ask out of turn, and which answer to believe.

Theory. Every call costs discovery work, also one that brings nothing, and the fleet shares one service.
The settings tell within what time (`ask_within`) it can answer one call of every instance; a fleet smaller
than `FULL_FLEET` needs only its part of that time. From this *call time* all else follows:

- A watch waits so long that the fleet's idle watches use `WATCH_SHARE` of the service: the call time over
  that share, from `WAIT_LEAST_S` to `WAIT_MOST_S`. A small fleet renews its watch every few seconds and so
  notices soon when discovery has forgotten it; a large one must wait.
- A watch that is silent beyond its wait is overdue after `DOUBLE_S` more, and another call begins: news
  counts as told 2 s after the wait, whether or not it came. What follows an overdue watch, a failed call or
  a start with an old list is in membership/call_schedule.py.
- A change counts as told `TOLD_S` after discovery had it, whatever failed. Where discovery can bear it, no
  watch waits for longer than `TOLD_WAIT_S`; where it can't, the clock of a call that may wait holds.
- A pushed list's agent is on this machine and its calls cost nothing, but what it has counts at once, so that
  all of this is quicker there: a watch of `AGENT_WAIT_S`, overdue after `AGENT_DOUBLE_S`.
- Evidence asks out of turn. Servers that are listed and refuse a dial, reset or turn away contradict the
  list. Several of them at once, within `EVIDENCE_S`, are worth a call, from a budget that keeps the fleet's
  sum under `EVIDENCE_SHARE` of the service; a call that explains nothing doubles the pause before the next.
  All instances may see the same at the same moment, so a call waits for a seeded part of the time that
  the fleet's calls need, less the `QUEUE_S` that discovery lets calls wait. In a small fleet that is
  nothing; in a large one the watch most often brings the news first, and the call is not made.
- An answer with a revision below ours comes from a copy that is behind: taken in, it would bring back what
  has drained. It is passed over, until `BEHIND_MOST` in a row say that the older count is all there is.
- A whole list without any entry is believed, for it may be so and the rule on drains allows nothing else; but
  it is asked for again, after `EMPTY_FIRST` of the call time, then twice that and so on up to the whole, for
  as long as it is empty and whatever becomes of those calls: a watch would tell changes only, and there may
  be none, and nothing is served meanwhile. In the long run a fleet asks for what discovery can answer.

Times are seconds of the caller's clock.
"""

from __future__ import annotations

from enum import Enum
from random import Random

WAIT_LEAST_S = 2.0
WAIT_MOST_S = 20.0  # what was used for all fleets before; a watch may wait for 60 s
WATCH_SHARE = 0.5
EVIDENCE_SHARE = 0.3
QUEUE_S = 2.0  # a call that waits longer fails at discovery
FULL_FLEET = 50  # sidecars whose calls need the whole call time
DOUBLE_S = 0.6
TOLD_S = 6.0
TOLD_WAIT_S = 3.4  # and DOUBLE_S, and QUEUE_S: within TOLD_S
WATCH_MOST = 0.8  # the share of the service that watches may use for the sake of TOLD_WAIT_S
AGENT_CALL_S = 0.5  # the call time of an agent: what bounds evidence and empty lists
AGENT_WAIT_S = 1.0
AGENT_DOUBLE_S = 0.2
EVIDENCE_S = 2.0
PAUSE_LEAST_S = 0.5  # between two calls for evidence, however small the fleet
PAUSES_MOST = 8  # by which the pause grows at most
BURST = 2.0  # calls that may be saved up
BEHIND_MOST = 3
EMPTY_FIRST = 0.25  # of the call time: most often a discovery that has just begun is about to be filled
ENOUGH = 1.5  # evidence, summed over servers, that is worth a call


class Evidence(Enum):
    """What a listed server did that its place on the list does not explain, with its weight."""

    REFUSED_DIAL = 1.0
    RESET = 0.75
    TURNED_AWAY = 0.5


class Verdict(Enum):
    TAKE = "take it in"
    TAKE_AND_ASK = "take it in and ask for the whole list anew"
    PASS_OVER = "it is behind: keep what is known and ask for the whole list"


class FreshList:
    """The pure side of one instance's discovery client.

    `fleet_size` counts instances, `ask_within_s` is the time in which discovery can answer one call of each
    (0: not told, then a large fleet's waits hold), and no watch waits longer than `wait_most_s`. Lists that
    are `pushed` come from an agent on this machine. The same seed and calls give the same answers.
    """

    def __init__(
        self,
        fleet_size: int,
        ask_within_s: float,
        seed: int = 0,
        wait_most_s: float = WAIT_MOST_S,
        pushed: bool = False,
    ) -> None:
        self.rng = Random(seed)
        self.pushed = pushed
        part = min(1.0, max(1, fleet_size) / FULL_FLEET)
        self.call_time_s = ask_within_s * part if ask_within_s > 0.0 else WAIT_MOST_S * WATCH_SHARE
        if pushed:
            self.call_time_s = AGENT_CALL_S
        self.double_s = AGENT_DOUBLE_S if pushed else DOUBLE_S
        self.set_wait_most(wait_most_s)
        self.pause_s = max(PAUSE_LEAST_S, self.call_time_s / EVIDENCE_SHARE)
        self.spread_s = max(0.0, self.pause_s - QUEUE_S)
        self.pauses = 1
        self.budget = 1.0
        self.budget_at = 0.0
        self.seen: dict[int, tuple[float, float]] = {}  # by server: when, and its weight
        self.behind = 0
        self.empties = 0  # times that an empty list was asked for again
        self.revision = 0
        self.fresh_at: float | None = None  # when a sound answer came last

    def set_wait_most(self, wait_most_s: float) -> None:
        """Bound the waits of the watches that begin from now on."""
        wait_s = max(WAIT_LEAST_S, self.call_time_s / WATCH_SHARE)
        if self.call_time_s <= TOLD_WAIT_S * WATCH_MOST:
            wait_s = min(wait_s, TOLD_WAIT_S)
        self.wait_s = min(wait_most_s, AGENT_WAIT_S if self.pushed else wait_s)

    def age_s(self, now: float) -> float:
        """How long ago discovery said anything sound; 0 before it ever did."""
        return now - self.fresh_at if self.fresh_at is not None else 0.0

    # Evidence

    def contradicted(self, now: float, server: int, kind: Evidence) -> float | None:
        """Seconds after which to ask, where what a listed server did, with others lately, is worth a call."""
        self.seen = {known: fact for known, fact in self.seen.items() if now - fact[0] < EVIDENCE_S}
        weight = max(kind.value, self.seen.get(server, (0.0, 0.0))[1])
        self.seen[server] = (now, weight)
        if len(self.seen) < 2 or sum(weight for _, weight in self.seen.values()) < ENOUGH:
            return None
        return self.rng.random() * self.spread_s if self.spend(now) else None

    def still_wanted(self) -> bool:
        """Whether no news has come since the evidence that a call waits for."""
        return bool(self.seen)

    def spend(self, now: float) -> bool:
        """Take one call out of turn from the budget, if it lasts."""
        grown = (now - self.budget_at) / (self.pause_s * self.pauses) if self.budget_at else 0.0
        self.budget = min(BURST, self.budget + grown)
        self.budget_at = now
        if self.budget < 1.0:
            return False
        self.budget -= 1.0
        self.pauses = min(PAUSES_MOST, self.pauses * 2)  # until an answer explains something
        return True

    # Answers

    def moved(self) -> None:
        """Discovery is at another address: its revisions mean nothing beside the old ones."""
        self.revision = self.behind = 0

    def judge(self, now: float, revision: int, complete: bool, entries: int) -> Verdict:
        """What to do with an answer that could be read."""
        if revision < self.revision:
            self.behind += 1
            if self.behind < BEHIND_MOST or not complete:
                return Verdict.PASS_OVER
        changed = revision != self.revision
        self.behind = 0
        self.revision = revision
        self.fresh_at = now
        if entries:
            self.empties = 0
        if entries and changed:
            self.pauses = 1
            self.seen.clear()
        return Verdict.TAKE_AND_ASK if complete and not entries else Verdict.TAKE

    def ask_again_s(self) -> float:
        """Seconds after which to ask for a list again that was empty."""
        part = min(1.0, EMPTY_FIRST * 2.0**self.empties)
        self.empties += 1
        return self.call_time_s * part * (0.5 + self.rng.random())
