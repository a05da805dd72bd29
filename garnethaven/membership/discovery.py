"""The client of the discovery service: reads the endpoint list and keeps it up to date by a watch.

`membership/call_schedule.py` decides when to call; `limits/list_freshness.py` decides how long a watch waits,
when the behaviour of servers contradicts the list, and which answers to accept; `membership/list_reader.py`
parses lists. This module makes the calls.
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
from garnethaven.limits.budgets import BufferMemory, max_list_bytes
from garnethaven.limits.list_freshness import (
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
from garnethaven.membership.list_reader import Entries, ListError, ListReader, name_of
from garnethaven.net.exchange import Answer, Exchange
from garnethaven.net.transport import HttpTransport
from garnethaven.net.upstream import Pool, Target
from garnethaven.recovery.start_times import StartTimes
from garnethaven.settings import index_by_name

DIAL_TIMEOUT_S = 1.0
MAX_CONNECTIONS = MAX_OPEN_CALLS + 2  # a stalled call, and a connection that is being closed
MAX_STALLED_S = 3.0  # for which a call is kept whose answer has begun and pauses
BUDGET_RETRY_S = 0.5  # interval between checks whether the fleet's budget allows a call to discovery
# After a start the persisted list may be old, and changes count as known whether or not this process was
# running. Many instances may start together: in a fleet of `FULL_FLEET` or more, each draws the delay of its
# first call from this span; in a smaller fleet the span is shorter in proportion.
FIRST_CALL_SPAN_S = 0.5
REPEATED_LINE_INTERVAL_S = 10.0
MAX_LOGGED_CHARACTERS = 500  # limit on text from an answer in one log line
LATE_ANSWER_S = 0.02  # timeouts are delayed by this, to read answers that arrived during a suspension first
EVIDENCE = {
    Outcome.CONNECT_FAILED: Evidence.REFUSED_DIAL,
    Outcome.RESET: Evidence.RESET,
    Outcome.BUSY: Evidence.REJECTED,
}


class ListCall(Exchange):
    """One call to discovery, identified in the schedule by its number."""

    failure = "no answer in time"  # reason logged if the call ends without an answer

    def __init__(self, discovery: Discovery, payload: bytes, action: BeginCall) -> None:
        super().__init__((payload,))
        self.discovery = discovery
        self.body_limit = discovery.max_list_bytes
        self.number = action.number
        self.full = action.full
        self.kind = action.kind
        self.kept_until = 0.0  # by the loop's clock, once its answer has stalled

    def answer_stalled(self) -> bool:
        return self.discovery.handle_stalled(self)

    def answered(self, answer: Answer) -> None:
        self.discovery.handle_answer(self, answer)

    def broken(self, written: bool) -> None:
        if self.oversized:
            self.failure = f"the answer is longer than the {self.body_limit} bytes that a list may have"
        elif self.refused:
            self.failure = "cannot connect"
        else:
            self.failure = "the connection ended before the whole answer"
        self.discovery.handle_unanswered(self)


class Discovery:
    """The client of a discovery service, or of a local agent to which the service pushes lists."""

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
        self.learn = learn or transport.apply_list  # the transport, or the merger of several sources
        self.transport = transport
        self.loop = loop
        self.pushed = not config.settings.calls_discovery
        # Wall-clock minus monotonic time, measured once: if it changed, start times would move and endpoints
        # would look restarted. If it is wrong, or the wall clock is stepped later, `start_times` limits the
        # error.
        self.clock_offset = time.time_ns() - time.monotonic_ns()
        self.reader = ListReader(
            index_by_name(config.names.zones), index_by_name(config.names.kinds), self.clock_offset
        )
        self.pool = Pool(
            loop,
            limit=lambda: MAX_CONNECTIONS,
            idle_s=0.0,
            memory=BufferMemory.of_size(MAX_CONNECTIONS * max_list_bytes(config.memory_mb)),
        )
        self.start_times = StartTimes()
        self.last_answer_at: int | None = None  # monotonic nanoseconds of the last valid answer
        self.max_list_bytes = max_list_bytes(config.memory_mb)
        self.pool.targets = lambda: (self.target,)
        self.pool.min_rest_s = 0.0  # the next call must follow at once; all answers are alike
        self.address = config.discovery
        self.target = Target(self.pool, self.address)
        fleet_size, ask_within_s = config.settings.fleet_size, config.settings.discovery_call_span / S
        self.freshness = ListFreshness(fleet_size, ask_within_s, config.seed, MAX_WATCH_WAIT_S, self.pushed)
        overdue_s = self.freshness.overdue_s
        if self.pushed:
            timing = CallTiming.for_agent(overdue_s)
        else:
            timing = CallTiming.for_service(overdue_s, ask_within_s, fleet_size)
        self.schedule = CallSchedule(timing, self.freshness.watch_wait_s, Random(config.seed))
        self.calls: dict[int, ListCall] = {}  # by number; calls neither answered nor ended
        self.stalled_call: ListCall | None = None  # has failed for the schedule, but its answer may go on
        self.timer: asyncio.TimerHandle | None = None  # fires when the schedule is due
        self.list_is_empty = False  # an empty list must be fetched again: a watch reports only changes
        self.empty_list_timer: asyncio.TimerHandle | None = None  # until the next fetch of an empty list
        self.engine_awaits_list = False  # the engine asked for a list and has not been given one
        self.last_logged = ""
        self.last_logged_at = 0.0
        self.calls_made = 0
        self.fetch_calls = 0  # the calls among `calls_made` that are fetches, not watches
        engine.watch = self.watch
        engine.report_outcome = self.contradicts
        engine.unserved.endpoint_name = name_of

    def start(self, known: dict[str, Any]) -> None:
        """Hand over the list persisted by a previous process (`known`), and schedule its confirmation."""
        try:
            listed = self.reader.read_list(known)
            self.freshness.revision, entries = listed.revision, listed.entries
        except ListError as problem:
            self.engine.log(f"the persisted list cannot be read, starting with an empty one: {problem}")
            entries = []
        self._apply(ListKind.PERSISTED, entries, absent_at=None)
        self._execute(self.schedule.start(self.loop.time(), self._first_call_delay_s()))

    def _first_call_delay_s(self) -> float:
        """Seconds from the start to the first call; 0 for an agent, which serves only this instance."""
        if self.pushed:
            return 0.0
        fleet_size = self.config.settings.fleet_size
        return (
            self.schedule.rng.random() * FIRST_CALL_SPAN_S * min(1.0, (fleet_size - 1) / FULL_LOAD_FLEET_SIZE)
        )

    def move(self, address: Address) -> None:
        """Switch to another address of discovery and fetch the full list from it.

        Revisions of the old address may mean nothing at the new one. The fetch starts at once, even during a
        pause after a failure, because failures of the old address say nothing about the new one.
        """
        if address == self.address:
            return
        self.address = address
        self._drop_stalled_call()
        self.target.move(None)
        self.target = Target(self.pool, address)
        self.freshness.reset_revision()
        self._execute(self.schedule.move(self.loop.time()))

    def watch(self) -> None:
        """Called by the engine to request a fresh list."""
        self.engine_awaits_list = True  # the schedule already keeps a call open

    # Calls outside the schedule

    def contradicts(self, endpoint: int, outcome: Outcome) -> None:
        """Record an outcome at a listed server that contradicts the list; fetch the list if justified."""
        kind = EVIDENCE.get(outcome)
        delay = self.freshness.record_evidence(self.loop.time(), endpoint, kind) if kind is not None else None
        if delay is not None:
            self.loop.call_later(delay, self._fetch_if_needed)

    def _fetch_if_needed(self) -> None:
        if not self.freshness.is_call_needed():
            return
        spending = self.engine.spending
        if spending is None or spending.may_spend(Spend.DISCOVERY):
            self.ask_for_full_list()
        else:
            self.loop.call_later(BUDGET_RETRY_S, self._fetch_if_needed)

    def ask_for_full_list(self) -> None:
        """Fetch the full list in parallel with the watch, unless a fetch is already open."""
        self._execute(self.schedule.ask(self.loop.time(), full=True))

    def _retry_empty_list(self) -> None:
        """Schedule another fetch while the list is empty, also after a fetch that failed."""
        if self.list_is_empty and self.empty_list_timer is None:
            self.empty_list_timer = self.loop.call_later(
                self.freshness.empty_list_retry_s(), self._fetch_if_empty
            )

    def _fetch_if_empty(self) -> None:
        self.empty_list_timer = None
        if self.list_is_empty:
            self.ask_for_full_list()

    # Actions of the schedule

    def _execute(self, actions: list[CallAction]) -> None:
        for action in actions:
            if isinstance(action, BeginCall):
                self._begin(action)
            else:
                self._abandon(action)
        self._set_timer()

    def _abandon(self, action: AbandonCall) -> None:
        call = self.calls.pop(action.number)
        if action.timed_out:
            self._log(call.failure)
        call.give_up()  # not reported to the schedule, which requested it

    def _set_timer(self) -> None:
        """Set the timer for when the schedule is due."""
        if self.timer is not None:
            self.timer.cancel()
        due = self.schedule.next_at
        self.timer = self.loop.call_at(due, self._timer_due) if due is not None else None

    def _timer_due(self) -> None:
        # Answers that arrived while this process was suspended are read before their calls time out.
        self.timer = self.loop.call_later(LATE_ANSWER_S, self._advance)

    def _advance(self) -> None:
        self.schedule.watch_wait_s = self.freshness.watch_wait_s
        self._execute(self.schedule.advance(self.loop.time()))

    def _begin(self, action: BeginCall) -> None:
        query = b"?after=%d&wait_ms=%d" % (self.freshness.revision, int(action.wait_s * 1000))
        host = b"%s:%d" % (self.address[0].encode(), self.address[1])
        path = b"/api/targets%s" % (b"" if action.full else query)
        payload = b"GET %s HTTP/1.1\r\nHost: %s\r\n\r\n" % (path, host)
        call = ListCall(self, payload, action)
        self.calls[action.number] = call
        self.calls_made += 1
        self.fetch_calls += action.kind is CallKind.FETCH
        self.loop.call_soon(self._send, call, self.target)  # a synchronous failure needs it in `calls`

    def _send(self, call: ListCall, target: Target) -> None:
        if not call.over:
            target.start(call, DIAL_TIMEOUT_S)

    def handle_stalled(self, call: ListCall) -> bool:
        """Handle an answer that pauses: call again, and return whether this call is kept beside the next.

        A slow discovery may pause in all its answers, and an answer may never end. One such call is kept at a
        time: if each replaced the one before, none might end.
        """
        now = self.loop.time()
        if call is self.stalled_call:
            return now < call.kept_until
        if self.stalled_call is not None or self.calls.pop(call.number, None) is None:
            return False
        self.stalled_call, call.kept_until = call, now + MAX_STALLED_S
        self._log("the answer pauses")
        self._failed(call, Failure.BROKEN)
        return call is self.stalled_call

    def _drop_stalled_call(self) -> None:
        call, self.stalled_call = self.stalled_call, None
        if call is not None and not call.over:
            call.give_up()

    def handle_unanswered(self, call: ListCall) -> None:
        """Handle a call that ended without an answer."""
        if call is self.stalled_call:
            self.stalled_call = None
        if self.calls.pop(call.number, None) is not None:
            self._log(call.failure)
            self._failed(call, Failure.BROKEN)

    def _failed(self, call: ListCall, failure: Failure) -> None:
        self._execute(self.schedule.failed(self.loop.time(), call.number, failure))
        self._retry_empty_list()

    def handle_answer(self, call: ListCall, answer: Answer) -> None:
        was_stalled = call is self.stalled_call
        if self.calls.pop(call.number, None) is None and not was_stalled:
            return
        if was_stalled:
            self.stalled_call = None
        now = self.loop.time()
        try:
            if answer.status != 200:
                raise ListError(f"status {answer.status}")
            listed = self.reader.read_list(bytes(answer.body))
        except ListError as problem:
            self._log(str(problem))
            self._failed(call, Failure.REJECTED)
            return
        revision, complete, entries = listed.revision, listed.complete, listed.entries
        if was_stalled and revision < self.freshness.revision:
            return  # a later call was answered first
        verdict = self.freshness.classify_answer(now, revision, complete, len(entries))
        self.list_is_empty = not entries and (verdict is AnswerAction.APPLY_AND_REFETCH or self.list_is_empty)
        if verdict is AnswerAction.IGNORE_STALE:
            self._log(
                f"revision {revision} is older than {self.freshness.revision}: ignored, "
                "the full list is fetched"
            )
            self._failed(call, Failure.BEHIND)
            return
        if listed.flaws:
            self._log(listed.describe_flaws())
        absent_at = self._known_absent_at(call)
        # The next call is sent first, so that applying a long list does not interrupt the watch.
        self._execute(self.schedule.answered(now, call.number, changed=bool(entries)))
        if listed.may_lack_changes() and not call.full:
            self._execute(self.schedule.ask(now, full=True))
        if verdict is AnswerAction.APPLY_AND_REFETCH:
            self._log("empty list; fetching it again")
        if entries or complete or self.engine_awaits_list:
            self.engine_awaits_list = False
            self._apply(ListKind.FULL if complete else ListKind.DELTA, entries, absent_at)
        self.last_answer_at = time.monotonic_ns()
        self._retry_empty_list()

    # Applying lists

    def _known_absent_at(self, call: ListCall) -> int | None:
        """Latest time at which an endpoint first named in this answer was certainly not listed.

        Monotonic nanoseconds, or None before the first answer; see start_times.py.
        """
        if call.kind is CallKind.WATCH and self.schedule.is_confirmed:
            return time.monotonic_ns()
        return self.last_answer_at

    def _apply(self, kind: ListKind, entries: Entries, absent_at: int | None) -> None:
        """Hand a list to the engine, with start times corrected by `start_times`."""
        now = time.monotonic_ns()
        if kind is not ListKind.DELTA:
            self.start_times.mark_unlisted_except((endpoint.id for endpoint, _ in entries), now)
        corrected: Entries = []
        for endpoint, address in entries:
            if endpoint.state is State.REMOVED:
                self.start_times.mark_unlisted(endpoint.id, now)
            else:
                started = self.start_times.effective_start(endpoint.id, endpoint.started, now, absent_at)
                if started != endpoint.started:
                    endpoint = replace(endpoint, started=started)
            corrected.append((endpoint, address))
        self.start_times.drop_expired(now)
        self.learn(kind, corrected)

    def _log(self, text: str) -> None:
        """Log a line with discovery's address; a repeated line only every `REPEATED_LINE_INTERVAL_S`.

        Without this limit, repeated failures of an unavailable discovery would use up the log's rate limit.
        """
        now = self.loop.time()
        if text == self.last_logged and now - self.last_logged_at < REPEATED_LINE_INTERVAL_S:
            return
        host, port = self.address
        if self.engine.try_log(f"discovery: {text[:MAX_LOGGED_CHARACTERS]} ({host}:{port})"):
            self.last_logged, self.last_logged_at = text, now
