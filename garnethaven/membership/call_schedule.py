"""When to call discovery: one object knows since when the list may be stale, and what follows from it.

A list is *confirmed* by a sound answer and stays so while a watch is open, because discovery writes each
change to an open watch. It is *suspect* from the moment on at which changes may be missed: from the start,
when the list is that of an earlier life of the process; from any call that failed, whatever its kind; from
the moment at which a watch is overdue; from a change of discovery's address. A suspect list is confirmed by
the next sound answer and by nothing else, so that no call's end can lose the need for it.

While the list is suspect, calls that discovery answers at once (`CallKind.FETCH`) begin one after another,
also beside one that has no answer yet: a call may wait in discovery's queue, and giving it up for a new one
would lose its place there. The pause between two of them is half of the time that is left until a change
counts as known to this instance, between `min_fetch_interval_s` and `fetch_interval_s`. With the timing that
`CallTiming.asked` gives, a change that was made as a call failed has been asked for after 1.5 s, 3.0 s,
4.5 s and 5.25 s of the 6 s after which it counts as known.

Once the list is confirmed a watch follows at once (a watch that begins within 0.2 s of the last answer costs
discovery nothing).

The module reads no clock and does no I/O. Times are seconds of the caller's clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from random import Random

MAX_OPEN_CALLS = 3  # connections to discovery: a watch and two fetches, or three fetches

# A change that discovery has, and that it could be asked for, counts as known to an instance after this time.
CHANGE_KNOWN_AFTER_SECONDS = 6.0
CHANGE_KNOWN_AFTER_MOVE_SECONDS = 4.0  # the same after a change of discovery's address
CHANGE_KNOWN_AFTER_WATCH_SECONDS = 2.0  # the same after the end of the wait of a watch that fell silent

# An instance that starts with the list of an earlier life may have missed changes of any age.
CHANGE_KNOWN_AFTER_START_SECONDS = 2.0

MAX_FETCH_INTERVAL_SECONDS = 1.5
MIN_FETCH_INTERVAL_SECONDS = 0.5
# A discovery that works through calls in turn answers after a wait. No such service seen so far lets a call
# wait for longer than this before it turns it away.
FETCH_TIMEOUT_SECONDS = 3.0
EARLY_WATCH_PAUSE_SECONDS = 0.1  # before the next watch, where one was answered at once without any change

AGENT_FETCH_INTERVAL_SECONDS = 0.2  # an agent is on this machine, and what it has counts as known at once
AGENT_FETCH_TIMEOUT_SECONDS = 0.4
AGENT_RETRY_SECONDS = 0.1
RETRY_SECONDS = 0.5  # after a refused or broken call to a new address, or an answer that was behind


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


@dataclass(slots=True, frozen=True)
class CallTiming:
    """The intervals of one instance, in seconds."""

    overdue_s: float  # after the end of its wait a watch without an answer is overdue
    fetch_timeout_s: float
    fetch_interval_s: float
    min_fetch_interval_s: float
    retry_s: float  # after a refused or broken call, where calls may follow one another quickly
    quick_retries: bool  # whether that holds for every call: a failed one costs nothing

    @classmethod
    def asked(cls, overdue_s: float, ask_within_s: float) -> CallTiming:
        """For a discovery service that all instances share.

        `ask_within_s` is the time after which an instance that has not asked counts as having been told; 0
        where the settings do not say.
        """
        known_after_s = CHANGE_KNOWN_AFTER_SECONDS
        if ask_within_s > 0.0:
            known_after_s = min(known_after_s, ask_within_s)
        interval_s = min(MAX_FETCH_INTERVAL_SECONDS, known_after_s / 4)
        return cls(
            overdue_s=overdue_s,
            fetch_timeout_s=FETCH_TIMEOUT_SECONDS,
            fetch_interval_s=interval_s,
            min_fetch_interval_s=min(MIN_FETCH_INTERVAL_SECONDS, interval_s),
            retry_s=RETRY_SECONDS,
            quick_retries=False,
        )

    @classmethod
    def pushed(cls, overdue_s: float) -> CallTiming:
        """For an agent on this machine, to which lists are pushed."""
        return cls(
            overdue_s=overdue_s,
            fetch_timeout_s=AGENT_FETCH_TIMEOUT_SECONDS,
            fetch_interval_s=AGENT_FETCH_INTERVAL_SECONDS,
            min_fetch_interval_s=AGENT_FETCH_INTERVAL_SECONDS,
            retry_s=AGENT_RETRY_SECONDS,
            quick_retries=True,
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
    behind: bool = False  # the last answer was older than the known list
    confirmed_at: float | None = None
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
        self.started = True
        self.needs_full_list = self.needs_full_list or full
        if any(call.kind is CallKind.FETCH for call in self.open_calls.values()):
            return self.advance(now)
        return [self._begin_fetch(now), *self.advance(now)]

    def answered(self, now: float, number: int, changed: bool) -> list[CallAction]:
        """A call was answered with a list that holds; `changed` tells whether it brought anything new."""
        call = self.open_calls.pop(number, None)
        if call is None:
            return []
        if call.kind is CallKind.FETCH:
            self.needs_full_list = False
        self.moved = self.behind = False
        self.confirmed_at = now
        self.suspect_since = None
        early = (
            call.kind is CallKind.WATCH and not changed and now - call.began_at < EARLY_WATCH_PAUSE_SECONDS
        )
        self.next_watch_at = now + EARLY_WATCH_PAUSE_SECONDS if early else now
        return [*self._abandon_needless(now), *self.advance(now)]

    def answered_behind(self, now: float, number: int) -> list[CallAction]:
        """A call was answered with an older list than the known one: the full list has to tell."""
        self.needs_full_list = self.behind = True
        return self.failed(now, number)

    def failed(self, now: float, number: int) -> list[CallAction]:
        """A call has ended without an answer that holds, whatever its kind."""
        if self.open_calls.pop(number, None) is None:
            return []
        if self.suspect_since is None:
            self._suspect(now, now + CHANGE_KNOWN_AFTER_SECONDS)
            self._plan_fetch(now)
        if self.moved or self.behind or self.timing.quick_retries:
            self.next_fetch_at = min(self.next_fetch_at, now + self.timing.retry_s)
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
            if len(self.open_calls) < MAX_OPEN_CALLS:
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
            if now >= self.next_fetch_at and len(self.open_calls) < MAX_OPEN_CALLS:
                actions.append(self._begin_fetch(now))
        elif watch is None and now >= self.next_watch_at:
            actions.append(self._begin(now, CallKind.WATCH, self.watch_wait_s))
        return actions

    # State

    def _suspect(self, now: float, known_at: float) -> None:
        if self.suspect_since is None:
            self.suspect_since = now
            self.known_at = known_at

    def _plan_fetch(self, now: float) -> None:
        """Plan the next fetch by the time that is left; drawn, or all instances would ask together."""
        timing = self.timing
        interval_s = (self.known_at - now) / 2
        interval_s = min(timing.fetch_interval_s, max(timing.min_fetch_interval_s, interval_s))
        if now >= self.known_at:
            interval_s = timing.fetch_interval_s
        self.next_fetch_at = now + interval_s * (1.0 - 0.2 * self.rng.random())

    def _begin_fetch(self, now: float) -> BeginCall:
        self._plan_fetch(now)
        return self._begin(now, CallKind.FETCH, 0.0)

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
