"""The only caller of the decision module: feeds it events through one queue and executes its actions.

The engine makes no decisions and contains no protocol code. It owns the clock, the timers, the calls and
their attempts, so that each call gets exactly one answer even if the module, an endpoint or the client fails.
Fronts deliver calls and transports carry attempts (calls.py).

| state of a call | meaning |
| --- | --- |
| taken | `take` has accepted it; from now on it must get one answer |
| pending | the module has it; attempts may be open |
| answered | `_answer`, the only transition: served, refused, failed, or the client has left |
| removed | it is answered and its last attempt has ended |
"""

from __future__ import annotations

import asyncio
import time
import traceback
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from heapq import heappop, heappush
from itertools import count
from typing import Any, Protocol

from garnethaven.brain import Balancer
from garnethaven.engine.account import Account, CallResult
from garnethaven.engine.calls import Attempt, Call
from garnethaven.engine.log import write_line
from garnethaven.engine.spending import Spend, Spending
from garnethaven.engine.unserved import UnservedLog
from garnethaven.interface import (
    NEVER_RAN,
    Action,
    AttemptEnded,
    AttemptResumed,
    AttemptStalled,
    Cancel,
    ClientLeft,
    CloseIdle,
    Event,
    Fail,
    Idempotency,
    LogMessage,
    Membership,
    Outcome,
    PriorAttempt,
    Probe,
    Refuse,
    Request,
    Send,
    SetTimer,
    Settings,
    Started,
    StreamBegan,
    TimerFired,
    Watch,
)
from garnethaven.records import MAX_BODY_RECEIVE_NS

MS = 1_000_000
S = 1_000_000_000
MIN_LOG_INTERVAL = S  # at most one line to stderr per interval
# A call is answered this long before its time budget ends, or `1 / ANSWER_MARGIN_DIVISOR` of the budget if
# that is shorter: the client's budget starts when it sends, so an answer at its end is late on a busy host.
ANSWER_MARGIN = 30 * MS
ANSWER_MARGIN_DIVISOR = 20


class Prober(Protocol):
    """The transport that also probes endpoints and keeps idle connections to them."""

    def probe(self, endpoint: int) -> None: ...
    def close_idle(self, endpoint: int) -> None: ...


class KeyedSends(Protocol):
    """Records where keyed requests may have run, also before this process started (state/)."""

    def prior(self, call: Call) -> PriorAttempt | None: ...
    def sends(self, call: Call, endpoint: int) -> None: ...
    def never_ran(self, call: Call) -> None: ...


class Admission(Protocol):
    """Rejects calls that the decision module alone would accept (tenants/)."""

    def turns_away(self, call: Call) -> int | None:
        """None if the call is admitted; else the nanoseconds after which its client may retry."""


class Engine:
    """Executes the decisions of one sidecar."""

    def __init__(self, name: str, settings: Settings, seed: int, loop: asyncio.AbstractEventLoop) -> None:
        self.name = name
        self.settings = with_unsafe_twins(settings)
        self.account = Account(len(settings.request_classes))
        self.loop = loop
        self.balancer = Balancer(self.settings, seed)
        self.queue: deque[Event] = deque()
        self.processing = False
        self.calls: dict[str, Call] = {}
        # Of the requests that have no answer yet, or whose attempts may still run.
        self.open_ids: set[bytes] = set()
        self.call_numbers = count(1)
        self.timers: list[tuple[int, int, Callable[[Any], None], Any]] = []
        self.timer_sequence = count()
        self.timer_handle: asyncio.TimerHandle | None = None
        self.timer_handle_due = 0
        self.prober: Prober | None = None
        self.keyed_sends: KeyedSends | None = None
        self.admission: Admission | None = None
        self.spending: Spending | None = None
        self.watch: Callable[[], None] = lambda: None  # set by discovery, as is `report_outcome`
        self.report_outcome: Callable[[int, Outcome], None] = lambda endpoint, outcome: None
        self.logged_at = 0
        self.unserved = UnservedLog(self.try_log)
        # Monotonic time by which a draining process must have answered every call; 0: no such time is set.
        self.drain_deadline = 0
        self.action_handlers: dict[type[Action], Callable[[Any], None]] = {
            Send: self._send,
            Refuse: self._refuse,
            Fail: self._fail,
            Cancel: self._cancel,
            Probe: self._probe,
            SetTimer: self._set_timer,
            Watch: lambda action: self.watch(),
            CloseIdle: self._close_idle,
            LogMessage: lambda action: self.log(action.text),
        }

    # Events and actions

    def start(self) -> None:
        self.post(Started())

    def post(self, event: Event) -> None:
        """Append an event to the module's queue and process the queue.

        Queued because an action that completes immediately must not re-enter the module.
        """
        self.queue.append(event)
        if self.processing:
            return
        self.processing = True
        try:
            while self.queue:
                self._handle(self.queue.popleft())
        finally:
            self.processing = False

    def _handle(self, event: Event) -> None:
        try:
            for action in self.balancer.handle(time.monotonic_ns(), event):
                self.action_handlers[type(action)](action)
        except Exception:  # a fault in one decision must not leave other clients unanswered
            self.log(traceback.format_exc())
            self._recover(event)

    def _recover(self, event: Event) -> None:
        """Answer the failed event's call, and request the endpoint list again if a change may be lost."""
        if isinstance(event, Membership | TimerFired):
            self.call_at(time.monotonic_ns() + S, lambda _: self.watch(), None)
        call = self.calls.get(getattr(event, "id", ""))
        if call is not None and not call.answered and not call.open_attempts:
            self._answer(call, lambda: call.client.failed(500), CallResult.FAILED)
            if not isinstance(event, ClientLeft):
                self.post(ClientLeft(call.id))

    def oldest_age_s(self) -> float:
        """Age of the oldest unanswered request, in seconds; 0 if there is none."""
        oldest = next((call for call in self.calls.values() if not call.answered), None)
        return (time.monotonic_ns() - oldest.taken_at) / S if oldest is not None else 0.0

    def log(self, text: str) -> None:
        self.try_log(text)

    def try_log(self, text: str) -> bool:
        """Write one line unless one was written within `MIN_LOG_INTERVAL`; return whether it was written."""
        now = time.monotonic_ns()
        if now - self.logged_at < MIN_LOG_INTERVAL:
            return False
        self.logged_at = now
        return write_line(f"garnethaven {self.name}: {text}")

    # Timers

    def call_at(self, due: int, callback: Callable[[Any], None], argument: Any) -> None:
        """Call `callback(argument)` at the monotonic time `due`, in nanoseconds."""
        heappush(self.timers, (due, next(self.timer_sequence), callback, argument))
        if self.timer_handle is None or due < self.timer_handle_due:
            self._schedule_timers(due)

    def _schedule_timers(self, due: int) -> None:
        if self.timer_handle is not None:
            self.timer_handle.cancel()
        self.timer_handle_due = due
        # The loop's timers have millisecond resolution; half a millisecond is added so that none fires early.
        delay = max(0, due - time.monotonic_ns()) / S + 0.0005
        self.timer_handle = self.loop.call_later(delay, self._run_due_timers)

    def _run_due_timers(self) -> None:
        self.timer_handle = None
        now = time.monotonic_ns()
        while self.timers and self.timers[0][0] <= now:
            _, _, callback, argument = heappop(self.timers)
            callback(argument)
        if self.timers and (self.timer_handle is None or self.timers[0][0] < self.timer_handle_due):
            self._schedule_timers(self.timers[0][0])

    def _set_timer(self, action: SetTimer) -> None:
        self.call_at(time.monotonic_ns() + action.delay, self._fire, action.token)

    def _fire(self, token: int) -> None:
        self.post(TimerFired(token))

    # Requests

    def take(self, call: Call, written_at: int | None = None) -> bool:
        """Accept a request, which from now on must get exactly one answer.

        `written_at` is when the client can have written its last byte, in monotonic nanoseconds; None: now.
        Returns False if a request with the same id is in progress: endpoints identify requests by id and
        would treat one as a duplicate of the other.
        """
        if call.call_id in self.open_ids:
            return False
        self.open_ids.add(call.call_id)
        call.id = str(next(self.call_numbers))
        self.calls[call.id] = call
        if call.body_incomplete:  # its time budget starts at its last byte
            self._set_deadline(call, MAX_BODY_RECEIVE_NS)
        else:
            self.account.take(call.class_index)
            self._set_deadline(call, call.budget, written_at)
        if call.dedup_key and call.prior is None and self.keyed_sends is not None:
            call.prior = self.keyed_sends.prior(call)
        if call.prior is not None:
            call.attempts.append(None)  # the module counts the prior attempt as the first one
        # A call with a prior attempt is not checked: it was admitted before and may have run already.
        elif self._refused_by_fleet_limits(call):
            return True
        spent = 0 if written_at is None else time.monotonic_ns() - written_at
        self.post(
            Request(
                call.id,
                call.class_index,
                max(1, call.budget - spent),
                call.caller,
                call.key,
                call.is_retry,
                call.prior,
                call.body_incomplete,
            )
        )
        return True

    def _refused_by_fleet_limits(self, call: Call) -> bool:
        """Refuse the call if a fleet-wide budget or allowance is exhausted; return whether it was refused."""
        if self.admission is not None:
            wait = self.admission.turns_away(call)
            if wait is not None:
                self._answer(call, lambda: call.client.refused(wait, True), CallResult.REFUSED)
                return True
        if self.spending is not None:
            if not call.is_retry:
                self.spending.first_try()
            elif not self.spending.may_spend(Spend.RETRY):
                max_wait = self.settings.max_retry_after
                self._answer(call, lambda: call.client.refused(max_wait, False), CallResult.REFUSED)
                return True
        return False

    def request_complete(self, call: Call, complete_at: int | None = None) -> None:
        """The client has written the last byte of a request that was taken early: start its time budget.

        `complete_at` is when that was, in monotonic nanoseconds; None: now.
        """
        if call.answered or not call.body_incomplete:
            return
        call.body_incomplete = False
        self.account.take(call.class_index)
        self._set_deadline(call, call.budget, complete_at)

    def expect_complete(self, call: Call, complete_at: int | None) -> None:
        """The client has probably written the last byte at `complete_at`, which is to be received still.

        The call's time counts from then, in monotonic nanoseconds; None: it has not written it after all.
        """
        if call.answered or not call.body_incomplete:
            return
        if complete_at is None:
            self._set_deadline(call, MAX_BODY_RECEIVE_NS)
        else:
            self._set_deadline(call, call.budget, complete_at)

    def _set_deadline(self, call: Call, span: int, taken_at: int | None = None) -> None:
        """Set the call's deadline `span` nanoseconds from `taken_at` or now, less the answer margin."""
        call.taken_at = time.monotonic_ns() if taken_at is None else taken_at
        if self.drain_deadline:
            span = max(0, min(span, self.drain_deadline - call.taken_at))
            call.budget = min(call.budget, span)
        call.deadline = call.taken_at + span - min(ANSWER_MARGIN, span // ANSWER_MARGIN_DIVISOR)
        self.call_at(call.deadline, self._expire, call)

    def set_drain_deadline(self, seconds: float) -> None:
        """Answer every call within `seconds`, after which this process exits."""
        self.drain_deadline = time.monotonic_ns() + int(seconds * S)
        for call in self.calls.values():
            call.deadline = min(call.deadline, self.drain_deadline)
            self.call_at(call.deadline, self._expire, call)

    def start_streaming(self, attempt: Attempt) -> bool:
        """Start streaming this attempt's answer to the client and cancel the call's other attempts.

        Returns False if the client has its answer already or another attempt is streaming.
        """
        call = attempt.call
        if call.answered or call.streaming_attempt is not None:
            return False
        call.streaming_attempt = attempt
        self.post(StreamBegan(call.id, attempt.number))
        self._cancel_open(call, keep=attempt)
        return True

    def client_left(self, call: Call, end: CallResult = CallResult.GONE) -> None:
        """The client has disconnected, or its front has closed the call; no answer is needed any more."""
        if call.answered:
            return
        self._answer(call, lambda: None, end)
        if (
            call.body_incomplete or call.streaming_attempt is not None
        ):  # the module does not cancel these attempts
            self._cancel_open(call)
        self.post(ClientLeft(call.id))
        self._cancel_unsent(call)

    def _answer(self, call: Call, send_answer: Callable[[], None], end: CallResult) -> None:
        """Record and send the final answer; nothing else may answer a client."""
        if call.answered:
            return
        call.answered = True
        self.unserved.record(call, end, time.monotonic_ns())
        call.request = call.describe_request = None
        if call.body_incomplete:
            self.account.record_immediate(call.class_index, end)
        else:
            self.account.end(call.class_index, end)
        if not call.open_attempts:
            self._forget(call)
        send_answer()

    def _cancel_unsent(self, call: Call) -> None:
        """Cancel an answered call's attempts that are not fully sent, so that none starts after the answer.

        This also holds for classes whose running work the module does not cancel: these attempts have not
        started to run.
        """
        for attempt in call.attempts if call.answered and call.open_attempts else ():
            if attempt is not None and not attempt.over and not attempt.written():
                self.cancel(attempt)

    def _forget(self, call: Call) -> None:
        """Remove an answered call without open attempts.

        A timer may reference the call for a while longer; its attempts are released now.
        """
        if self.calls.pop(call.id, None) is not None:
            self.open_ids.discard(call.call_id)
        call.attempts = []

    def _refuse(self, action: Refuse) -> None:
        call = self.calls.get(action.id)
        if call is not None:
            send_refusal = lambda: call.client.refused(action.retry_after, action.over_share)  # noqa: E731
            self._answer(call, send_refusal, CallResult.REFUSED)
            self._cancel_unsent(call)

    def _fail(self, action: Fail) -> None:
        call = self.calls.get(action.id)
        if call is not None:
            late = time.monotonic_ns() >= call.deadline
            self._answer(call, lambda: call.client.failed(504 if late else 502), CallResult.FAILED)
            self._cancel_unsent(call)

    def _expire(self, call: Call) -> None:
        if call.streaming_attempt is not None or time.monotonic_ns() < call.deadline:
            return  # the answer is streaming, or the deadline moved when the request became complete
        for attempt in call.attempts:
            if attempt is not None and not attempt.over:
                self._time_out(attempt)
        if not call.answered:
            # Pending without open attempts: no attempt has reported an end to the module.
            self._answer(call, lambda: call.client.failed(504), CallResult.FAILED)
            self.post(ClientLeft(call.id))

    # Attempts

    def _send(self, action: Send) -> None:
        call = self.calls.get(action.id)
        if call is None:
            return
        now = time.monotonic_ns()
        remaining = call.deadline - now
        limit = min(action.timeout, remaining) if action.timeout else remaining
        skip = call.answered or limit <= 0 or len(call.attempts) >= self.settings.max_attempts
        if skip or (call.attempts and not self._may_send_another(call)):
            number = len(call.attempts)
            call.attempts.append(None)
            self.post(AttemptEnded(call.id, number, action.endpoint, Outcome.SKIPPED, final=call.answered))
            return
        if call.dedup_key and self.keyed_sends is not None:
            self.keyed_sends.sends(call, action.endpoint)
        attempt = call.transport.attempt(call, action, limit, now)
        call.attempts.append(attempt)
        call.open_attempts += 1
        if limit < remaining:
            # All open attempts time out: an earlier one could still start after this one has ended.
            for open_attempt in call.attempts:
                if open_attempt is not None and not open_attempt.over:
                    self.call_at(now + limit, self._end_with_window, open_attempt)
        attempt.start()

    def _may_send_another(self, call: Call) -> bool:
        """Whether the fleet-wide budget allows one more attempt of this call."""
        if self.spending is None:
            return True
        return self.spending.may_spend(Spend.COPY if call.open_attempts else Spend.RETRY)

    def _end_with_window(self, attempt: Attempt) -> None:
        """End an attempt that could still start; one that answers has started and has until its deadline."""
        if not attempt.answer_has_begun():
            self._time_out(attempt)

    def _time_out(self, attempt: Attempt) -> None:
        if not attempt.over and attempt is not attempt.call.streaming_attempt:
            # A request that has not been fully written cannot have run.
            never_ran = Outcome.SKIPPED if attempt.hindered else Outcome.CONNECT_FAILED
            written = attempt.give_up()
            self.attempt_ended(attempt, Outcome.TIMED_OUT if written else never_ran)

    def _cancel(self, action: Cancel) -> None:
        call = self.calls.get(action.id)
        attempt = call.attempts[action.attempt] if call and action.attempt < len(call.attempts) else None
        if attempt is not None and not attempt.over:
            self.cancel(attempt)

    def _cancel_open(self, call: Call, keep: Attempt | None = None) -> None:
        for attempt in call.attempts:
            if attempt is not None and attempt is not keep and not attempt.over:
                self.cancel(attempt)

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an open attempt whose result is no longer needed."""
        attempt.give_up()
        self.attempt_ended(attempt, Outcome.CANCELLED)

    def attempt_stalled(self, attempt: Attempt) -> None:
        """Report that an attempt's answer has begun and pauses; the module may end the attempt."""
        self.post(AttemptStalled(attempt.call.id, attempt.number))

    def attempt_resumed(self, attempt: Attempt) -> None:
        """Report that the answer of a stalled attempt goes on."""
        self.post(AttemptResumed(attempt.call.id, attempt.number))

    def attempt_ended(
        self,
        attempt: Attempt,
        outcome: Outcome,
        report: tuple[float, ...] = (),
        send_answer: Callable[[], None] | None = None,
    ) -> None:
        """Report how an attempt ended; `send_answer`, if set, first sends the answer to the client."""
        call = attempt.call
        call.open_attempts -= 1
        call.outcomes.append((attempt.endpoint, outcome))
        if call.dedup_key and outcome in NEVER_RAN and self.keyed_sends is not None:
            self.keyed_sends.never_ran(call)
        if outcome is not Outcome.CONNECT_FAILED or attempt.refused:
            self.report_outcome(attempt.endpoint, outcome)
        if send_answer is not None:
            self._answer(
                call, send_answer, CallResult.SERVED if outcome is Outcome.DONE else CallResult.FAILED
            )
        if call.answered and not call.open_attempts:
            self._forget(call)
        duration = time.monotonic_ns() - attempt.sent_at
        ended = AttemptEnded(
            call.id, attempt.number, attempt.endpoint, outcome, duration, call.answered, report
        )
        self.post(ended)
        self._cancel_unsent(call)

    # Probes and idle connections

    def _probe(self, action: Probe) -> None:
        allowed = self.spending is None or self.spending.may_spend(Spend.PROBE, action.endpoint)
        if self.prober is not None and allowed:
            self.prober.probe(action.endpoint)

    def _close_idle(self, action: CloseIdle) -> None:
        if self.prober is not None:
            self.prober.close_idle(action.endpoint)


def with_unsafe_twins(settings: Settings) -> Settings:
    """Add for each class a twin that allows no repeats, for requests without an idempotency key."""
    twins = tuple(replace(grade, effect=Idempotency.FRAGILE) for grade in settings.request_classes)
    return replace(settings, request_classes=settings.request_classes + twins)
