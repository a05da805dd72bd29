"""When to call discovery: tracks since when the list may be stale and schedules watches and fetches.

A list is *confirmed* by a valid answer and stays confirmed while a watch is open, because discovery writes
each change to an open watch. It is *suspect* as soon as changes may be missed: after the start, when the list
was persisted by a previous process; after any failed call, whatever its kind; when a watch is overdue; after
a change of discovery's address. Only the next valid answer confirms a suspect list, so that the end of some
other call cannot cancel the pending confirmation.

While the list is suspect, one fetch at a time (`CallKind.FETCH`, which discovery answers at once) is open. A
fetch may wait in discovery's queue, and a new one would start at the end of the queue, so it is abandoned
only after `fetch_timeout_s`. The pause after a failed call depends on the failure:

- Refused, broken or unanswered: half of the time that is left until a change counts as known to this
  instance, between `min_pause_s` and `pause_s`.
- Rejected with an error: discovery is down or overloaded. The pause is half of `pause_s` after the first
  rejection in a row, because a burst is over soon, and `pause_s` from the second on. Longer pauses would
  exceed the time after which a change counts as known. An overloaded discovery once answered no instance for
  15 s because each made two calls where one is enough (a fetch and then a watch), and new ones every 1.5 s.

Each pause is drawn from the second half of its range, so that instances that failed together do not retry
together.

With the timing of `CallTiming.asked`, a call that is lost silently is repeated after 3.0 + 2.0 s, and a
rejected one after at most 2.0 s, of the 6 s after which a change counts as known.

Once the list is confirmed, a watch follows at once (a watch that begins within 0.2 s of the last answer costs
discovery nothing).

The module reads no clock and does no I/O. Times are in seconds of the caller's clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from random import Random

MAX_OPEN_CALLS = 2  # connections to discovery: a watch and a fetch

# A change counts as known to an instance once discovery has had it, and was reachable, for this time: the
# instance must then act on it.
CHANGE_KNOWN_AFTER_SECONDS = 6.0
CHANGE_KNOWN_AFTER_MOVE_SECONDS = 4.0  # the same after a change of discovery's address
CHANGE_KNOWN_AFTER_WATCH_SECONDS = 2.0  # the same, from the end of the wait of a watch that stopped reporting

# The same after a start: a list persisted by a previous process may lack changes of any age.
CHANGE_KNOWN_AFTER_START_SECONDS = 2.0

MAX_PAUSE_SECONDS = 2.0
MIN_PAUSE_SECONDS = 0.5
FULL_PAUSE_FLEET = 25  # fleet size from which pauses have full length; a smaller fleet loads discovery less
# A discovery that queues calls answers after a wait. No such service seen so far keeps a call queued for
# longer than this before it rejects it.
FETCH_TIMEOUT_SECONDS = 3.0
# Discovery treats a call that may wait, however briefly, as a watch: a watch that follows within 0.2 s
# continues it at no cost. After a call that may not wait, the watch would cost discovery work again.
FETCH_WAIT_SECONDS = 0.02
EARLY_WATCH_PAUSE_SECONDS = 0.1  # before the next watch, after one answered at once without changes

AGENT_PAUSE_SECONDS = 0.1  # an agent runs on this machine; its changes count as known at once
AGENT_FETCH_TIMEOUT_SECONDS = 0.25
RETRY_SECONDS = 0.5  # pause after a failed call to a new address, or after an outdated answer


class CallKind(Enum):
    """What a call requests from discovery."""

    WATCH = "changes, as soon as there are any"
    FETCH = "changes so far, or the full list, at once"


@dataclass(slots=True, frozen=True)
class BeginCall:
    """Begin a call, for the full list if `full`, else for the changes since the last revision received."""

    number: int
    kind: CallKind
    full: bool
    wait_s: float  # how long discovery may delay the answer


@dataclass(slots=True, frozen=True)
class AbandonCall:
    """Close the connection of a call whose answer is no longer needed."""

    number: int
    timed_out: bool = False  # False: another answer made the call redundant


CallAction = BeginCall | AbandonCall


class Failure(Enum):
    """Why a call ended without a valid answer."""

    BROKEN = "refused, reset or unanswered"
    REJECTED = "answered with an error: discovery is overloaded or down"
    BEHIND = "answered with an older revision than the one held"


@dataclass(slots=True, frozen=True)
class CallTiming:
    """Timeouts and pauses of one instance, in seconds."""

    overdue_s: float  # time after the end of its wait at which an unanswered watch is overdue
    fetch_timeout_s: float
    pause_s: float
    min_pause_s: float

    @classmethod
    def for_service(cls, overdue_s: float, ask_within_s: float, fleet_size: int) -> CallTiming:
        """Timing for a discovery service shared by `fleet_size` instances.

        `ask_within_s` is the time after which a change counts as known to an instance that did not ask; 0 if
        the settings leave it out.
        """
        known_after_s = CHANGE_KNOWN_AFTER_SECONDS
        if ask_within_s > 0.0:
            known_after_s = min(known_after_s, ask_within_s)
        scale = known_after_s / CHANGE_KNOWN_AFTER_SECONDS
        fleet_share = min(1.0, fleet_size / FULL_PAUSE_FLEET)
        return cls(
            overdue_s=overdue_s,
            fetch_timeout_s=FETCH_TIMEOUT_SECONDS * scale,
            pause_s=max(MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS * fleet_share) * scale,
            min_pause_s=MIN_PAUSE_SECONDS * scale,
        )

    @classmethod
    def for_agent(cls, overdue_s: float) -> CallTiming:
        """Timing for an agent on this machine, to which lists are pushed: a call to it costs nothing."""
        return cls(
            overdue_s=overdue_s,
            fetch_timeout_s=AGENT_FETCH_TIMEOUT_SECONDS,
            pause_s=AGENT_PAUSE_SECONDS,
            min_pause_s=AGENT_PAUSE_SECONDS,
        )


@dataclass(slots=True)
class OpenCall:
    """A call that has been neither answered nor ended."""

    kind: CallKind
    began_at: float
    wait_s: float
    full: bool


@dataclass(slots=True)
class CallSchedule:
    """Schedules the calls of one instance.

    Each event method returns actions for the caller to execute in order. `next_at` is the time at which
    `advance` must be called next. The same seed and events give the same actions.
    """

    timing: CallTiming
    watch_wait_s: float  # wait of the watches that begin from now on
    rng: Random
    open_calls: dict[int, OpenCall] = field(default_factory=dict)
    suspect_since: float | None = None
    change_known_at: float = 0.0  # while suspect: estimated time at which a missed change counts as known
    next_fetch_at: float = 0.0
    next_watch_at: float = 0.0
    needs_full_list: bool = False
    address_changed: bool = False  # the current address has not answered yet
    consecutive_rejections: int = 0
    started: bool = False
    call_count: int = 0

    # Events

    def start(self, now: float, first_call_within_s: float) -> list[CallAction]:
        """The instance starts with a list persisted by a previous process."""
        self.started = True
        self._suspect(now, now + CHANGE_KNOWN_AFTER_START_SECONDS)
        self.next_fetch_at = now + first_call_within_s
        return self.advance(now)

    def move(self, now: float) -> list[CallAction]:
        """Discovery has another address: abandon all calls to the old one and fetch the full list."""
        self.started = self.address_changed = self.needs_full_list = True
        actions: list[CallAction] = [AbandonCall(number) for number in self.open_calls]
        self.open_calls.clear()
        self.suspect_since = None
        self._suspect(now, now + CHANGE_KNOWN_AFTER_MOVE_SECONDS)
        self.next_fetch_at = now
        return actions + self.advance(now)

    def ask(self, now: float, full: bool = False) -> list[CallAction]:
        """Fetch the list now, unless a fetch is open already."""
        self.needs_full_list = self.needs_full_list or full
        if self._is_fetching():
            return []
        return [self._begin(now, CallKind.FETCH, FETCH_WAIT_SECONDS), *self.advance(now)]

    def answered(self, now: float, number: int, changed: bool) -> list[CallAction]:
        """A call was answered with a valid list; `changed`: the answer contained entries."""
        call = self.open_calls.pop(number, None)
        if call is None:
            return []
        if call.full:
            self.needs_full_list = False
        self.address_changed = False
        self.consecutive_rejections = 0
        self.suspect_since = None
        early = (
            call.kind is CallKind.WATCH and not changed and now - call.began_at < EARLY_WATCH_PAUSE_SECONDS
        )
        self.next_watch_at = now + EARLY_WATCH_PAUSE_SECONDS if early else now
        return [*self._abandon_redundant(now), *self.advance(now)]

    def failed(self, now: float, number: int, failure: Failure = Failure.BROKEN) -> list[CallAction]:
        """A call of any kind ended without a valid answer."""
        if self.open_calls.pop(number, None) is None:
            return []
        if failure is Failure.BEHIND:
            self.needs_full_list = True
        self.consecutive_rejections = self.consecutive_rejections + 1 if failure is Failure.REJECTED else 0
        self._suspect(now, now + CHANGE_KNOWN_AFTER_SECONDS)
        pause_s = self._pause_s(now, failure)
        self.next_fetch_at = now + pause_s * (1.0 - 0.5 * self.rng.random())
        return self.advance(now)

    @property
    def is_confirmed(self) -> bool:
        """Whether no event suggests that the list lacks a change that discovery has."""
        return self.started and self.suspect_since is None

    # Time

    @property
    def next_at(self) -> float | None:
        """When `advance` is due; None before the start."""
        if not self.started:
            return None
        due = [self._times_out_at(call) for call in self.open_calls.values()]
        watch = self._watch()
        if self.suspect_since is not None:
            if not self._is_fetching():
                due.append(self.next_fetch_at)
        elif watch is None:
            due.append(self.next_watch_at)
        else:
            due.append(self._overdue_at(watch))
        return min(due)

    def advance(self, now: float) -> list[CallAction]:
        """Handle timeouts, overdue watches and calls that are due at `now`."""
        if not self.started:
            return []
        actions: list[CallAction] = []
        for number, call in list(self.open_calls.items()):
            if now >= self._times_out_at(call):
                actions.append(AbandonCall(number, timed_out=True))
                actions += self.failed(now, number)
        watch = self._watch()
        if self.suspect_since is None and watch is not None and now >= self._overdue_at(watch):
            self._suspect(now, watch.began_at + watch.wait_s + CHANGE_KNOWN_AFTER_WATCH_SECONDS)
            self.next_fetch_at = now
        if self.suspect_since is not None:
            if now >= self.next_fetch_at and not self._is_fetching():
                actions.append(self._begin(now, CallKind.FETCH, FETCH_WAIT_SECONDS))
        elif watch is None and now >= self.next_watch_at:
            actions.append(self._begin(now, CallKind.WATCH, self.watch_wait_s))
        return actions

    # State

    def _suspect(self, now: float, change_known_at: float) -> None:
        if self.suspect_since is None:
            self.suspect_since = now
            self.change_known_at = change_known_at

    def _pause_s(self, now: float, failure: Failure) -> float:
        """The maximum pause after a failed call; the actual one is between half of it and all of it."""
        timing = self.timing
        if self.address_changed or failure is Failure.BEHIND:
            return min(RETRY_SECONDS, timing.pause_s)
        if failure is Failure.REJECTED:
            return timing.pause_s / 2 if self.consecutive_rejections == 1 else timing.pause_s
        if now >= self.change_known_at:
            return timing.pause_s
        return min(timing.pause_s, max(timing.min_pause_s, (self.change_known_at - now) / 2))

    def _is_fetching(self) -> bool:
        return any(call.kind is CallKind.FETCH for call in self.open_calls.values())

    def _begin(self, now: float, kind: CallKind, wait_s: float) -> BeginCall:
        self.call_count += 1
        full = kind is CallKind.FETCH and self.needs_full_list
        self.open_calls[self.call_count] = OpenCall(kind, now, wait_s, full)
        return BeginCall(self.call_count, kind, full, wait_s)

    def _watch(self) -> OpenCall | None:
        watches = (call for call in self.open_calls.values() if call.kind is CallKind.WATCH)
        return next(watches, None)

    def _overdue_at(self, watch: OpenCall) -> float:
        return watch.began_at + watch.wait_s + self.timing.overdue_s

    def _times_out_at(self, call: OpenCall) -> float:
        """When an unanswered call is abandoned."""
        return call.began_at + call.wait_s + self.timing.fetch_timeout_s

    def _abandon_redundant(self, now: float) -> list[CallAction]:
        """Abandon the calls that a valid answer makes redundant: other fetches, and an overdue watch."""
        redundant = [number for number, call in self.open_calls.items() if self._is_redundant(call, now)]
        for number in redundant:
            del self.open_calls[number]
        return [AbandonCall(number) for number in redundant]

    def _is_redundant(self, call: OpenCall, now: float) -> bool:
        if call.kind is CallKind.WATCH:
            return now >= self._overdue_at(call)
        return not (call.full and self.needs_full_list)
