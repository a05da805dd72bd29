"""When to call discovery: one object knows since when the list may be stale, and what follows from it.

A list is *confirmed* by a sound answer and stays so while a watch is open, because discovery writes each
change to an open watch. It is *suspect* from the moment on at which changes may be missed: from the start,
when the list is that of an earlier life of the process; from any call that failed, whatever its kind; from
the moment at which a watch is overdue; from a change of discovery's address. A suspect list is confirmed by
the next sound answer and by nothing else, so that no call's end can lose the need for it.

While the list is suspect, one call at a time that discovery answers at once (`CallKind.FETCH`) is out. A call
may wait in discovery's queue, where a new one would begin at the end: it is given up only after
`fetch_timeout_s`. The pause after one that failed depends on how it failed:

- Refused, broken or without an answer: half of the time that is left until a change counts as known to this
  instance, between `min_pause_s` and `pause_s`.
- Turned away: discovery is down, or has more calls than it can work through. The pause is half of `pause_s`
  after the first such answer in a row, for a burst is over soon, and `pause_s` from then on. Longer ones
  would outlast the time after which a change counts as known. What kept an overloaded discovery from
  answering anybody for 15 s were two calls where one is enough: a fetch and then a watch, and new ones
  every 1.5 s.

Pauses are drawn from their second half, or instances that failed together would call together.

With the timing of `CallTiming.asked` a call that is lost without a sign leads to another one after
3.0 + 2.0 s, and one that is turned away after 2.0 s at the most, of the 6 s after which a change counts as
known.

Once the list is confirmed a watch follows at once (a watch that begins within 0.2 s of the last answer costs
discovery nothing).

The module reads no clock and does no I/O. Times are seconds of the caller's clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from random import Random

MAX_OPEN_CALLS = 2  # connections to discovery: a watch and a fetch

# A change that discovery has, and that it could be asked for, counts as known to an instance after this time.
CHANGE_KNOWN_AFTER_SECONDS = 6.0
CHANGE_KNOWN_AFTER_MOVE_SECONDS = 4.0  # the same after a change of discovery's address
CHANGE_KNOWN_AFTER_WATCH_SECONDS = 2.0  # the same after the end of the wait of a watch that fell silent

# An instance that starts with the list of an earlier life may have missed changes of any age.
CHANGE_KNOWN_AFTER_START_SECONDS = 2.0

MAX_PAUSE_SECONDS = 2.0
MIN_PAUSE_SECONDS = 0.5
FULL_PAUSE_FLEET = 25  # instances from which on pauses are whole; fewer burden discovery less
# A discovery that works through calls in turn answers after a wait. No such service seen so far lets a call
# wait for longer than this before it turns it away.
FETCH_TIMEOUT_SECONDS = 3.0
# A call that may wait, however briefly, is a watch to discovery: the next one within 0.2 s goes on with it
# and costs nothing, where one that may not wait would be followed by a second call that costs work.
FETCH_WAIT_SECONDS = 0.02
EARLY_WATCH_PAUSE_SECONDS = 0.1  # before the next watch, where one was answered at once without any change

AGENT_PAUSE_SECONDS = 0.1  # an agent is on this machine, and what it has counts as known at once
AGENT_FETCH_TIMEOUT_SECONDS = 0.25
RETRY_SECONDS = 0.5  # after a failed call to a new address, or an answer that was behind


class CallKind(Enum):
    """What a call asks discovery for."""

    WATCH = "changes, once there are any"
    FETCH = "changes so far, or the full list, at once"


@dataclass(slots=True, frozen=True)
class BeginCall:
    """Begin a call. `full` asks for the full list, else for the changes since the known revision."""

    number: int
    kind: CallKind
    full: bool
    wait_s: float  # for which discovery may hold the answer back


@dataclass(slots=True, frozen=True)
class AbandonCall:
    """Close the connection of a call whose answer is not awaited any longer."""

    number: int
    timed_out: bool = False  # else another answer made it needless


CallAction = BeginCall | AbandonCall


class Failure(Enum):
    """How a call ended without an answer that holds."""

    BROKEN = "refused, reset or unanswered"
    TURNED_AWAY = "answered with an error: overload, or discovery is down"
    BEHIND = "answered with an older list than the known one"


@dataclass(slots=True, frozen=True)
class CallTiming:
    """The intervals of one instance, in seconds."""

    overdue_s: float  # after the end of its wait a watch without an answer is overdue
    fetch_timeout_s: float
    pause_s: float
    min_pause_s: float

    @classmethod
    def asked(cls, overdue_s: float, ask_within_s: float, fleet_size: int) -> CallTiming:
        """For a discovery service that `fleet_size` instances share.

        `ask_within_s` is the time after which an instance that has not asked counts as having been told; 0
        where the settings do not say.
        """
        known_after_s = CHANGE_KNOWN_AFTER_SECONDS
        if ask_within_s > 0.0:
            known_after_s = min(known_after_s, ask_within_s)
        scale = known_after_s / CHANGE_KNOWN_AFTER_SECONDS
        part = min(1.0, fleet_size / FULL_PAUSE_FLEET)
        return cls(
            overdue_s=overdue_s,
            fetch_timeout_s=FETCH_TIMEOUT_SECONDS * scale,
            pause_s=max(MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS * part) * scale,
            min_pause_s=MIN_PAUSE_SECONDS * scale,
        )

    @classmethod
    def pushed(cls, overdue_s: float) -> CallTiming:
        """For an agent on this machine, to which lists are pushed: a call to it costs nothing."""
        return cls(
            overdue_s=overdue_s,
            fetch_timeout_s=AGENT_FETCH_TIMEOUT_SECONDS,
            pause_s=AGENT_PAUSE_SECONDS,
            min_pause_s=AGENT_PAUSE_SECONDS,
        )


@dataclass(slots=True)
class OpenCall:
    """A call that has neither been answered nor ended."""

    kind: CallKind
    began_at: float
    wait_s: float
    full: bool


@dataclass(slots=True)
class CallSchedule:
    """The calls of one instance. Feed it what happens, and carry out the actions that come back in order.

    `next_at` tells when `advance` wants to be called next. The same seed and events give the same actions.
    """

    timing: CallTiming
    watch_wait_s: float  # of the watches that begin from now on
    rng: Random
    open_calls: dict[int, OpenCall] = field(default_factory=dict)
    suspect_since: float | None = None
    known_at: float = 0.0  # while suspect: when an unseen change counts as known, as far as can be told
    next_fetch_at: float = 0.0
    next_watch_at: float = 0.0
    needs_full_list: bool = False
    moved: bool = False  # to an address that has not answered yet
    turned_away: int = 0  # calls in a row that were
    started: bool = False
    call_count: int = 0

    # Events

    def start(self, now: float, first_call_within_s: float) -> list[CallAction]:
        """The instance starts with the list of an earlier life."""
        self.started = True
        self._suspect(now, now + CHANGE_KNOWN_AFTER_START_SECONDS)
        self.next_fetch_at = now + first_call_within_s
        return self.advance(now)

    def move(self, now: float) -> list[CallAction]:
        """Discovery has another address: what was asked of the old one says nothing of this one."""
        self.started = self.moved = self.needs_full_list = True
        actions: list[CallAction] = [AbandonCall(number) for number in self.open_calls]
        self.open_calls.clear()
        self.suspect_since = None
        self._suspect(now, now + CHANGE_KNOWN_AFTER_MOVE_SECONDS)
        self.next_fetch_at = now
        return actions + self.advance(now)

    def ask(self, now: float, full: bool = False) -> list[CallAction]:
        """Somebody wants a fresh list now: fetch it, unless a fetch is out already."""
        self.needs_full_list = self.needs_full_list or full
        if self._is_fetching():
            return []
        return [self._begin(now, CallKind.FETCH, FETCH_WAIT_SECONDS), *self.advance(now)]

    def answered(self, now: float, number: int, changed: bool) -> list[CallAction]:
        """A call was answered with a list that holds; `changed` tells whether it brought anything new."""
        call = self.open_calls.pop(number, None)
        if call is None:
            return []
        if call.full:
            self.needs_full_list = False
        self.moved = False
        self.turned_away = 0
        self.suspect_since = None
        early = (
            call.kind is CallKind.WATCH and not changed and now - call.began_at < EARLY_WATCH_PAUSE_SECONDS
        )
        self.next_watch_at = now + EARLY_WATCH_PAUSE_SECONDS if early else now
        return [*self._abandon_needless(now), *self.advance(now)]

    def failed(self, now: float, number: int, failure: Failure = Failure.BROKEN) -> list[CallAction]:
        """A call has ended without an answer that holds, whatever its kind."""
        if self.open_calls.pop(number, None) is None:
            return []
        if failure is Failure.BEHIND:
            self.needs_full_list = True
        self.turned_away = self.turned_away + 1 if failure is Failure.TURNED_AWAY else 0
        self._suspect(now, now + CHANGE_KNOWN_AFTER_SECONDS)
        pause_s = self._pause_s(now, failure)
        self.next_fetch_at = now + pause_s * (1.0 - 0.5 * self.rng.random())
        return self.advance(now)

    @property
    def is_confirmed(self) -> bool:
        """Whether the list is as new as discovery's, as far as this instance can tell."""
        return self.started and self.suspect_since is None

    # Time

    @property
    def next_at(self) -> float | None:
        """When `advance` is due; None before the start."""
        if not self.started:
            return None
        due = [self._ends_at(call) for call in self.open_calls.values()]
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
        """Do what is due by the clock."""
        if not self.started:
            return []
        actions: list[CallAction] = []
        for number, call in list(self.open_calls.items()):
            if now >= self._ends_at(call):
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

    def _suspect(self, now: float, known_at: float) -> None:
        if self.suspect_since is None:
            self.suspect_since = now
            self.known_at = known_at

    def _pause_s(self, now: float, failure: Failure) -> float:
        """The longest pause after a call that failed."""
        timing = self.timing
        if self.moved or failure is Failure.BEHIND:
            return min(RETRY_SECONDS, timing.pause_s)
        if failure is Failure.TURNED_AWAY:
            return timing.pause_s / 2 if self.turned_away == 1 else timing.pause_s
        if now >= self.known_at:
            return timing.pause_s
        return min(timing.pause_s, max(timing.min_pause_s, (self.known_at - now) / 2))

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

    def _ends_at(self, call: OpenCall) -> float:
        """When a call without an answer is given up."""
        return call.began_at + call.wait_s + self.timing.fetch_timeout_s

    def _abandon_needless(self, now: float) -> list[CallAction]:
        """Give up what a sound answer has made needless: other fetches, and a watch that is overdue."""
        needless = [number for number, call in self.open_calls.items() if self._is_needless(call, now)]
        for number in needless:
            del self.open_calls[number]
        return [AbandonCall(number) for number in needless]

    def _is_needless(self, call: OpenCall, now: float) -> bool:
        if call.kind is CallKind.WATCH:
            return now >= self._overdue_at(call)
        return not (call.full and self.needs_full_list)
