"""The endpoint list: read from discovery, kept up to date by a watch.

`membership/call_schedule.py` decides when to call; `limits/lists.py` how long a watch waits, when what
servers do contradicts the list, and which answer to believe; `membership/list_reader.py` reads a list. Here
are the calls themselves.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Any

from garnethaven.addresses import Address
from garnethaven.config import Config
from garnethaven.engine.engine import Engine, S
from garnethaven.engine.spending import Spend
from garnethaven.interface import ListKind, Outcome, State
from garnethaven.limits.budgets import AnswerMemory, max_list_bytes
from garnethaven.limits.lists import (
    FULL_LOAD_FLEET_SIZE,
    MAX_WATCH_WAIT_S,
    AnswerAction,
    Evidence,
    ListFreshness,
)
from garnethaven.membership.call_schedule import (
    MAX_OPEN_CALLS,
    AbandonCall,
    BeginCall,
    CallAction,
    CallKind,
    CallSchedule,
    CallTiming,
    Failure,
)
from garnethaven.membership.list_reader import Entries, ListError, ListReader
from garnethaven.net.exchange import Answer, Exchange
from garnethaven.net.transport import HttpTransport
from garnethaven.net.upstream import Pool, Target
from garnethaven.recovery.start_times import StartTimes
from garnethaven.settings import index_by_name

DIAL_S = 1.0
MAX_CONNECTIONS = MAX_OPEN_CALLS + 1  # and one that is being closed
RETRY_S = 0.5  # until a budget of the fleet is asked again whether a call may be spent
# After a start the known list may be old, and what changed counts as known whether or not this process ran.
# Many instances may start together: their first calls are drawn from this span in a fleet of `FULL_FLEET`.
FIRST_CALL_SPAN_S = 0.5
REPEATED_LINE_S = 10.0
MAX_LINE_CHARACTERS = 500  # of what an answer may put into a line of the log
HEARS_S = 0.02  # an answer that came while this process stood still is read before its call is given up
EVIDENCE = {
    Outcome.CONNECT_FAILED: Evidence.REFUSED_DIAL,
    Outcome.RESET: Evidence.RESET,
    Outcome.BUSY: Evidence.REJECTED,
}


class ListCall(Exchange):
    """One call to discovery; the schedule knows it by its number."""

    failure = "no answer in time"  # why it ended without an answer, for the log

    def __init__(self, discovery: Discovery, payload: bytes, action: BeginCall) -> None:
        super().__init__((payload,))
        self.discovery = discovery
        self.body_limit = discovery.max_list_bytes
        self.number = action.number
        self.full = action.full
        self.kind = action.kind

    def answered(self, answer: Answer) -> None:
        self.discovery.told(self, answer)

    def broken(self, written: bool) -> None:
        if self.oversized:
            self.failure = f"the answer is longer than the {self.body_limit} bytes that a list may have"
        elif self.refused:
            self.failure = "no connection comes up"
        else:
            self.failure = "the connection ended before the whole answer"
        self.discovery.ended(self)


class Discovery:
    """One instance's client of discovery, or of an agent to which lists are pushed."""

    def __init__(
        self,
        config: Config,
        engine: Engine,
        transport: HttpTransport,
        loop: asyncio.AbstractEventLoop,
        learn: Callable[[ListKind, Entries], None] | None = None,
    ) -> None:
        self.config = config
        self.engine = engine
        self.learn = learn or transport.apply_list  # to the transport, or to a model of several sources
        self.transport = transport
        self.loop = loop
        self.pushed = not config.settings.calls_discovery
        # One difference for the whole life: an endpoint whose start seemed to move would seem restarted.
        # Where it is wrong, or the wall clock is stepped later, `start_times` bounds what follows.
        self.clock_offset = time.time_ns() - time.monotonic_ns()
        self.reader = ListReader(
            index_by_name(config.names.zones), index_by_name(config.names.kinds), self.clock_offset
        )
        self.pool = Pool(
            loop, limit=lambda: MAX_CONNECTIONS, idle_s=0.0, memory=AnswerMemory(config.memory_mb)
        )
        self.start_times = StartTimes()
        self.answered_at: int | None = None  # local nanoseconds: when a sound answer came last
        self.max_list_bytes = max_list_bytes(config.memory_mb)
        self.pool.targets = lambda: (self.target,)
        self.pool.min_rest_s = 0.0  # the next call must follow at once, and one answer is like the other
        self.address = config.discovery
        self.target = Target(self.pool, self.address)
        fleet_size, ask_within_s = config.settings.fleet_size, config.settings.discovery_call_span / S
        self.fresh = ListFreshness(fleet_size, ask_within_s, config.seed, MAX_WATCH_WAIT_S, self.pushed)
        overdue_s = self.fresh.overdue_s
        if self.pushed:
            timing = CallTiming.pushed(overdue_s)
        else:
            timing = CallTiming.asked(overdue_s, ask_within_s, fleet_size)
        self.schedule = CallSchedule(timing, self.fresh.watch_wait_s, Random(config.seed))
        self.calls: dict[int, ListCall] = {}  # by number: those that have neither been answered nor ended
        self.alarm: asyncio.TimerHandle | None = None  # when the schedule wants to advance
        self.told_empty = False  # the list has no entry, and changes are all that the watch would tell
        self.again: asyncio.TimerHandle | None = None  # when it is asked for again for that
        self.owes_news = False  # the module asked and has not been answered
        self.last_line = ""
        self.last_line_at = 0.0
        self.calls_made = 0
        self.extra_calls = 0  # of these, calls that may not wait for news
        engine.watch = self.watch
        engine.report_outcome = self.contradicts

    def start(self, known: dict[str, Any]) -> None:
        """Give the module the list of an earlier life, and have it confirmed."""
        try:
            listed = self.reader.read_list(known)
            self.fresh.revision, entries = listed.revision, listed.entries
        except ListError as problem:
            self.engine.log(f"the known list cannot be read: {problem}")
            entries = []
        self._apply(ListKind.PERSISTED, entries, absent_at=None)
        self._carry_out(self.schedule.start(self.loop.time(), self._first_call_in_s()))

    def _first_call_in_s(self) -> float:
        """Seconds from the start to the first call; an agent serves this instance alone."""
        if self.pushed:
            return 0.0
        fleet_size = self.config.settings.fleet_size
        return (
            self.schedule.rng.random() * FIRST_CALL_SPAN_S * min(1.0, (fleet_size - 1) / FULL_LOAD_FLEET_SIZE)
        )

    def move(self, address: Address) -> None:
        """Discovery has another address: leave the old one and have the full list from the new.

        Versions of the one may mean nothing to the other. It is asked at once, also while the module waits
        after a failure: what was asked of the old address says nothing of this one.
        """
        if address == self.address:
            return
        self.address = address
        self.target.move(None)
        self.target = Target(self.pool, address)
        self.fresh.reset_revision()
        self._carry_out(self.schedule.move(self.loop.time()))

    def watch(self) -> None:
        """The module wants a fresh list."""
        self.owes_news = True  # the schedule sees to it that there are some

    # Calls out of turn

    def contradicts(self, endpoint: int, outcome: Outcome) -> None:
        """A listed server did what its place on the list does not explain: ask anew, if it is worth that."""
        kind = EVIDENCE.get(outcome)
        delay = self.fresh.record_evidence(self.loop.time(), endpoint, kind) if kind is not None else None
        if delay is not None:
            self.loop.call_later(delay, self._ask_if_wanted)

    def _ask_if_wanted(self) -> None:
        if not self.fresh.is_call_needed():
            return
        spending = self.engine.spending
        if spending is None or spending.may_spend(Spend.DISCOVERY):
            self.ask_for_full_list()
        else:
            self.loop.call_later(RETRY_S, self._ask_if_wanted)

    def ask_for_full_list(self) -> None:
        """Ask for the full list beside the watch, unless such a call is out."""
        self._carry_out(self.schedule.ask(self.loop.time(), full=True))

    def _ask_again(self) -> None:
        """Have the list again where it is empty, also after a call for it that failed."""
        if self.told_empty and self.again is None:
            self.again = self.loop.call_later(self.fresh.empty_list_retry_s(), self._ask_if_empty)

    def _ask_if_empty(self) -> None:
        self.again = None
        if self.told_empty:
            self.ask_for_full_list()

    # Calls, as the schedule wants them

    def _carry_out(self, actions: list[CallAction]) -> None:
        for action in actions:
            if isinstance(action, BeginCall):
                self._begin(action)
            else:
                self._abandon(action)
        self._set_alarm()

    def _abandon(self, action: AbandonCall) -> None:
        call = self.calls.pop(action.number)
        if action.timed_out:
            self._log(call.failure)
        call.give_up()  # tells nobody: the schedule knows

    def _set_alarm(self) -> None:
        """Have the schedule advance when it is due."""
        if self.alarm is not None:
            self.alarm.cancel()
        due = self.schedule.next_at
        self.alarm = self.loop.call_at(due, self._due) if due is not None else None

    def _due(self) -> None:
        # Answers that came while this process stood still are read before their calls are given up.
        self.alarm = self.loop.call_later(HEARS_S, self._advance)

    def _advance(self) -> None:
        self.schedule.watch_wait_s = self.fresh.watch_wait_s
        self._carry_out(self.schedule.advance(self.loop.time()))

    def _begin(self, action: BeginCall) -> None:
        query = b"?after=%d&wait_ms=%d" % (self.fresh.revision, int(action.wait_s * 1000))
        host = b"%s:%d" % (self.address[0].encode(), self.address[1])
        path = b"/api/targets%s" % (b"" if action.full else query)
        payload = b"GET %s HTTP/1.1\r\nHost: %s\r\n\r\n" % (path, host)
        call = ListCall(self, payload, action)
        self.calls[action.number] = call
        self.calls_made += 1
        self.extra_calls += action.kind is CallKind.FETCH
        self.loop.call_soon(self._carry, call, self.target)  # its failure must find it in its place

    def _carry(self, call: ListCall, target: Target) -> None:
        if not call.over:
            target.start(call, DIAL_S)

    def ended(self, call: ListCall) -> None:
        """A call has ended without an answer."""
        if self.calls.pop(call.number, None) is not None:
            self._log(call.failure)
            self._failed(call, Failure.BROKEN)

    def _failed(self, call: ListCall, failure: Failure) -> None:
        self._carry_out(self.schedule.failed(self.loop.time(), call.number, failure))
        self._ask_again()

    def told(self, call: ListCall, answer: Answer) -> None:
        if self.calls.pop(call.number, None) is None:
            return
        now = self.loop.time()
        try:
            if answer.status != 200:
                raise ListError(f"status {answer.status}")
            listed = self.reader.read_list(b"".join(answer.body))
        except ListError as problem:
            self._log(str(problem))
            self._failed(call, Failure.TURNED_AWAY)
            return
        revision, complete, entries = listed.revision, listed.complete, listed.entries
        verdict = self.fresh.classify_answer(now, revision, complete, len(entries))
        self.told_empty = not entries and (verdict is AnswerAction.APPLY_AND_REFETCH or self.told_empty)
        if verdict is AnswerAction.IGNORE_STALE:
            self._log(f"revision {revision} is behind {self.fresh.revision}, passed over")
            self._failed(call, Failure.BEHIND)
            return
        if listed.flaws:
            self._log(listed.problems())
        absent_at = self._absent_at(call)
        # The next call goes out first: taking in a long list must not end the watch.
        self._carry_out(self.schedule.answered(now, call.number, changed=bool(entries)))
        if listed.hides_changes() and not call.full:
            self._carry_out(self.schedule.ask(now, full=True))
        if verdict is AnswerAction.APPLY_AND_REFETCH:
            self._log("an empty list; asked for again")
        if entries or complete or self.owes_news:
            self.owes_news = False
            self._apply(ListKind.FULL if complete else ListKind.DELTA, entries, absent_at)
        self.answered_at = time.monotonic_ns()
        self._ask_again()

    # Lists, as they count here

    def _absent_at(self, call: ListCall) -> int | None:
        """Until when what an answer names for the first time was surely not listed (start_times.py)."""
        if call.kind is CallKind.WATCH and self.schedule.is_confirmed:
            return time.monotonic_ns()
        return self.answered_at

    def _apply(self, kind: ListKind, entries: Entries, absent_at: int | None) -> None:
        """Pass a list on, with the starts of its servers as far as they may be believed."""
        now = time.monotonic_ns()
        if kind is not ListKind.DELTA:
            self.start_times.mark_unlisted_except((endpoint.id for endpoint, _ in entries), now)
        judged: Entries = []
        for endpoint, address in entries:
            if endpoint.state is State.REMOVED:
                self.start_times.mark_unlisted(endpoint.id, now)
            else:
                started = self.start_times.effective_start(endpoint.id, endpoint.started, now, absent_at)
                if started != endpoint.started:
                    endpoint = replace(endpoint, started=started)
            judged.append((endpoint, address))
        self.start_times.drop_expired(now)
        self.learn(kind, judged)

    def _log(self, text: str) -> None:
        """One line that names discovery's address; not again the same within `REPEATED_LINE_S`.

        Without that, a discovery that is down would take all of the lines that a second allows.
        """
        now = self.loop.time()
        if text == self.last_line and now - self.last_line_at < REPEATED_LINE_S:
            return
        host, port = self.address
        if self.engine.try_log(f"discovery: {text[:MAX_LINE_CHARACTERS]} ({host}:{port})"):
            self.last_line, self.last_line_at = text, now
