"""Freshness of server lists: how long a watch waits, when to call off schedule, which answers to apply.

Every call costs the discovery service work, even if it returns nothing new, and the whole fleet shares one
service. The settings state in what time (`discovery_call_span`) the service can answer one call of every
instance; a small fleet needs only its part of that time. This *call time* determines everything else:

- Watch wait. The idle watches of the fleet use `WATCH_LOAD_SHARE` of the service: a watch waits for the call
  time divided by that share, between `MIN_WATCH_WAIT_S` and the configured maximum. A small fleet renews its
  watches every few seconds and soon notices that discovery has lost one; a large fleet has to wait.
- Overdue watch. A watch without an answer is overdue `OVERDUE_S` after its wait has ended, and another call
  begins: the sidecar has to know an update 2 s after the wait, whether or not it arrived.
  membership/call_schedule.py decides what follows an overdue watch, a failed call or a start with an old
  list.
- Maximum delay. The sidecar has to know a change 6 s after discovery has it, whatever failed. If discovery
  can sustain it, no watch waits longer than `BOUNDED_WATCH_WAIT_S`; if not, the wait above applies.
- Pushed lists. Their agent runs on this machine and calls to it are free, but what it has must be known at
  once, so its times are shorter: a watch waits for `AGENT_WATCH_WAIT_S` and is overdue after
  `AGENT_OVERDUE_S`.
- Evidence. A listed server that refuses a dial, resets a connection or rejects a request contradicts the
  list. Several such servers within `EVIDENCE_WINDOW_S` cause a call off schedule. A token bucket keeps these
  calls of the whole fleet below `EVIDENCE_LOAD_SHARE` of the service, and a call that explains nothing
  doubles the interval to the next one. All instances may observe the same failure at the same moment, so each
  call is delayed by a seeded random part of the time that the fleet's calls need, less the time for which
  discovery queues calls. In a small fleet that delay is zero; in a large one the watch usually returns first,
  and the call is not made.
- Stale answers. An answer with a revision below the current one comes from a stale replica; applying it would
  restore servers that have drained. It is ignored, until `MAX_STALE_ANSWERS` in a row show that there is no
  newer state.
- Empty lists. A full list without entries is applied, because it may be true and the drain rule allows
  nothing else. But it is fetched again, first after `FIRST_EMPTY_RETRY_FRACTION` of the call time, then after
  twice that and so on up to the whole, for as long as it is empty and whatever becomes of those calls: a
  watch would report only changes, of which there may be none, and meanwhile nothing is served. In the long
  run a fleet makes no more of these calls than discovery can answer.

Times are seconds of the caller's clock.
"""

from __future__ import annotations

from enum import Enum
from random import Random

MIN_WATCH_WAIT_S = 2.0
MAX_WATCH_WAIT_S = 20.0  # the longest wait of a watch by default; discovery permits 60 s
WATCH_LOAD_SHARE = 0.5  # of the service's capacity
EVIDENCE_LOAD_SHARE = 0.3  # of the service's capacity
MAX_QUEUE_WAIT_S = 2.0  # discovery fails a call that is queued for longer
FULL_LOAD_FLEET_SIZE = 50  # from this number of sidecars on, their calls need the whole call time
OVERDUE_S = 0.6  # after the end of a watch's wait
MAX_CHANGE_DELAY_S = 6.0  # maximum delay of a change
BOUNDED_WATCH_WAIT_S = 3.4  # plus OVERDUE_S and discovery's queue time: within the maximum delay
MAX_BOUNDED_WATCH_LOAD_SHARE = 0.8  # of the service's capacity, up to which watches are bounded so
AGENT_CALL_TIME_S = 0.5  # call time of a local agent; limits calls for evidence and for empty lists
AGENT_WATCH_WAIT_S = 1.0
AGENT_OVERDUE_S = 0.2
EVIDENCE_WINDOW_S = 2.0
MIN_EVIDENCE_INTERVAL_S = 0.5  # between two calls for evidence, however small the fleet
MAX_BACKOFF_FACTOR = 8  # of that interval
MAX_CALL_TOKENS = 2.0  # calls that may be saved up
MAX_STALE_ANSWERS = 3  # the last of so many in a row is applied, if it is a full list
# Of the call time; a discovery service that has just started usually has entries soon.
FIRST_EMPTY_RETRY_FRACTION = 0.25
MIN_EVIDENCE_WEIGHT = 1.5  # sum over servers that causes a call


class Evidence(Enum):
    """Behavior of a listed server that contradicts the list, with its weight."""

    REFUSED_DIAL = 1.0
    RESET = 0.75
    REJECTED = 0.5


class AnswerAction(Enum):
    """What to do with an answer of discovery."""

    APPLY = "apply the answer"
    APPLY_AND_REFETCH = "apply the answer and fetch the full list again"
    IGNORE_STALE = "ignore the stale answer and fetch the full list"


class ListFreshness:
    """Call timing and answer checks of one instance's discovery client; no I/O.

    `fleet_size` counts instances. `ask_within_s` is the time in which discovery can answer one call of each
    (0: not configured; then the waits of a large fleet apply). No watch waits longer than `max_wait_s`. Lists
    are `pushed` if they come from an agent on this machine. Deterministic for equal seeds and calls.
    """

    def __init__(
        self,
        fleet_size: int,
        ask_within_s: float,
        seed: int = 0,
        max_wait_s: float = MAX_WATCH_WAIT_S,
        pushed: bool = False,
    ) -> None:
        self.rng = Random(seed)
        self.pushed = pushed
        fleet_fraction = min(1.0, max(1, fleet_size) / FULL_LOAD_FLEET_SIZE)
        self.call_time_s = (
            ask_within_s * fleet_fraction if ask_within_s > 0.0 else MAX_WATCH_WAIT_S * WATCH_LOAD_SHARE
        )
        if pushed:
            self.call_time_s = AGENT_CALL_TIME_S
        self.overdue_s = AGENT_OVERDUE_S if pushed else OVERDUE_S
        self.set_max_watch_wait(max_wait_s)
        self.evidence_interval_s = max(MIN_EVIDENCE_INTERVAL_S, self.call_time_s / EVIDENCE_LOAD_SHARE)
        self.max_call_delay_s = max(0.0, self.evidence_interval_s - MAX_QUEUE_WAIT_S)
        self.backoff_factor = 1
        self.call_tokens = 1.0
        self.tokens_updated_at = 0.0
        self.evidence: dict[int, tuple[float, float]] = {}  # by server: time and weight
        self.stale_answers = 0  # stale answers in a row
        self.empty_retries = 0  # times that the current empty list was fetched again
        self.revision = 0
        self.last_valid_answer_at: float | None = None

    def set_max_watch_wait(self, max_wait_s: float) -> None:
        """Limit the wait of all watches that begin from now on."""
        wait_s = max(MIN_WATCH_WAIT_S, self.call_time_s / WATCH_LOAD_SHARE)
        if self.call_time_s <= BOUNDED_WATCH_WAIT_S * MAX_BOUNDED_WATCH_LOAD_SHARE:
            wait_s = min(wait_s, BOUNDED_WATCH_WAIT_S)
        self.watch_wait_s = min(max_wait_s, AGENT_WATCH_WAIT_S if self.pushed else wait_s)

    def age_s(self, now: float) -> float:
        """Seconds since the last valid answer of discovery; 0 before the first."""
        return now - self.last_valid_answer_at if self.last_valid_answer_at is not None else 0.0

    # Evidence

    def record_evidence(self, now: float, server: int, kind: Evidence) -> float | None:
        """Record evidence from a listed server; return the delay in seconds of the call it causes, if any."""
        self.evidence = {
            known: entry for known, entry in self.evidence.items() if now - entry[0] < EVIDENCE_WINDOW_S
        }
        weight = max(kind.value, self.evidence.get(server, (0.0, 0.0))[1])
        self.evidence[server] = (now, weight)
        if (
            len(self.evidence) < 2
            or sum(weight for _, weight in self.evidence.values()) < MIN_EVIDENCE_WEIGHT
        ):
            return None
        return self.rng.random() * self.max_call_delay_s if self.take_call_token(now) else None

    def is_call_needed(self) -> bool:
        """Whether a delayed call is still needed: no change has arrived since its evidence."""
        return bool(self.evidence)

    def take_call_token(self, now: float) -> bool:
        """Take the token for one call off schedule; returns whether there was one."""
        refill = (
            (now - self.tokens_updated_at) / (self.evidence_interval_s * self.backoff_factor)
            if self.tokens_updated_at
            else 0.0
        )
        self.call_tokens = min(MAX_CALL_TOKENS, self.call_tokens + refill)
        self.tokens_updated_at = now
        if self.call_tokens < 1.0:
            return False
        self.call_tokens -= 1.0
        # An answer with a change resets the factor.
        self.backoff_factor = min(MAX_BACKOFF_FACTOR, self.backoff_factor * 2)
        return True

    # Answers

    def reset_revision(self) -> None:
        """Forget the revision, because discovery has another address and counts revisions of its own."""
        self.revision = self.stale_answers = 0

    def classify_answer(self, now: float, revision: int, complete: bool, entries: int) -> AnswerAction:
        """Decide what to do with a valid answer; `complete` marks a full list, `entries` is their number."""
        if revision < self.revision:
            self.stale_answers += 1
            if self.stale_answers < MAX_STALE_ANSWERS or not complete:
                return AnswerAction.IGNORE_STALE
        changed = revision != self.revision
        self.stale_answers = 0
        self.revision = revision
        self.last_valid_answer_at = now
        if entries:
            self.empty_retries = 0
        if entries and changed:
            self.backoff_factor = 1
            self.evidence.clear()
        return AnswerAction.APPLY_AND_REFETCH if complete and not entries else AnswerAction.APPLY

    def empty_list_retry_s(self) -> float:
        """Seconds until the next fetch of a list that was empty, with jitter; doubles with each call."""
        fraction = min(1.0, FIRST_EMPTY_RETRY_FRACTION * 2.0**self.empty_retries)
        self.empty_retries += 1
        return self.call_time_s * fraction * (0.5 + self.rng.random())
