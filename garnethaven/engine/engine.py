"""The one caller of the decision module: events go in through one queue, its actions are carried out.

Nothing is decided here, and no protocol is known here. The clock, the timers, the calls and their attempts
are kept here, so that each call gets exactly one answer whatever happens to the module, the endpoints or the
client. Fronts bring calls, transports carry attempts (calls.py).

| a call is | until |
| --- | --- |
| taken | `take`; from here on it is owed one answer |
| held | the module has it; attempts may be open |
| answered | `_answer`, the only way there: served, refused, failed, or its client has left |
| forgotten | it is answered and its last attempt has ended |
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
from garnethaven.engine.account import Account, End
from garnethaven.engine.calls import Attempt, Call
from garnethaven.engine.log import write_line
from garnethaven.engine.spending import Spend, Spending
from garnethaven.interface import (
    NEVER_RAN,
    Action,
    AttemptEnded,
    Cancel,
    ClientLeft,
    CloseIdle,
    Effect,
    Event,
    Fail,
    Membership,
    Note,
    Outcome,
    Prior,
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
from garnethaven.records import COMING_MOST

MS = 1_000_000
S = 1_000_000_000
LOG_EVERY = S  # one line to stderr in this time
# A call has its answer so long before its time is up, or this part of its time if that is less: the time
# began with the client's sending, and an answer at its very end comes too late where this process is busy.
ANSWER_MARGIN = 30 * MS
ANSWER_MARGIN_PART = 20


class Prober(Protocol):
    """The transport that also probes endpoints and keeps idle connections to them."""

    def probe(self, endpoint: int) -> None: ...
    def close_idle(self, endpoint: int) -> None: ...


class KeyedSends(Protocol):
    """Where keyed requests may have run, also in a life before this one (state/)."""

    def prior(self, call: Call) -> Prior | None: ...
    def sends(self, call: Call, endpoint: int) -> None: ...
    def never_ran(self, call: Call) -> None: ...


class Admission(Protocol):
    """What is held to less than the module would take (tenants/)."""

    def turns_away(self, call: Call) -> int | None:
        """None where the call may go on; else the nanoseconds after which its client may come again."""


class Engine:
    """One sidecar's decisions, carried out."""

    def __init__(self, name: str, settings: Settings, seed: int, loop: asyncio.AbstractEventLoop) -> None:
        self.name = name
        self.settings = with_unsafe_twins(settings)
        self.account = Account(len(settings.grades))
        self.loop = loop
        self.balancer = Balancer(self.settings, seed)
        self.queue: deque[Event] = deque()
        self.busy = False
        self.calls: dict[str, Call] = {}
        self.open_ids: set[bytes] = set()  # of the requests that are owed an answer
        self.numbers = count(1)
        self.timers: list[tuple[int, int, Callable[[Any], None], Any]] = []
        self.timer_numbers = count()
        self.alarm: asyncio.TimerHandle | None = None
        self.alarm_at = 0
        self.prober: Prober | None = None
        self.keyed: KeyedSends | None = None
        self.admission: Admission | None = None
        self.spending: Spending | None = None
        self.watch: Callable[[], None] = lambda: None  # discovery's part, as the next
        self.contradicts: Callable[[int, Outcome], None] = lambda endpoint, outcome: None
        self.logged_at = 0
        self.ends_at = 0  # of a planned end: by then every call has its answer; 0: none is near
        self.carriers: dict[type[Action], Callable[[Any], None]] = {
            Send: self._send,
            Refuse: self._refuse,
            Fail: self._fail,
            Cancel: self._cancel,
            Probe: self._probe,
            SetTimer: self._set_timer,
            Watch: lambda action: self.watch(),
            CloseIdle: self._close_idle,
            Note: lambda action: self.log(action.text),
        }

    # Events in, actions out

    def start(self) -> None:
        self.post(Started())

    def post(self, event: Event) -> None:
        """Hand an event to the module, after those that wait: an action that ends at once must not
        re-enter it."""
        self.queue.append(event)
        if self.busy:
            return
        self.busy = True
        try:
            while self.queue:
                self._handle(self.queue.popleft())
        finally:
            self.busy = False

    def _handle(self, event: Event) -> None:
        try:
            for action in self.balancer.handle(time.monotonic_ns(), event):
                self.carriers[type(action)](action)
        except Exception:  # a fault in one decision must not cost the other clients their answers
            self.log(traceback.format_exc())
            self._recover(event)

    def _recover(self, event: Event) -> None:
        """Give what the failed event concerned its answer; what the module forgot is asked for again."""
        if isinstance(event, Membership | TimerFired):
            self.at(time.monotonic_ns() + S, lambda _: self.watch(), None)
        call = self.calls.get(getattr(event, "id", ""))
        if call is not None and not call.answered and not call.open:
            self._answer(call, lambda: call.client.failed(500), End.FAILED)
            if not isinstance(event, ClientLeft):
                self.post(ClientLeft(call.id))

    def oldest_s(self) -> float:
        """How long the oldest request that is owed an answer has waited, in seconds."""
        oldest = next((call for call in self.calls.values() if not call.answered), None)
        return (time.monotonic_ns() - oldest.taken_at) / S if oldest is not None else 0.0

    def log(self, text: str) -> None:
        self.says(text)

    def says(self, text: str) -> bool:
        """Write one line, unless there was one within `LOG_EVERY`; whether it was written."""
        now = time.monotonic_ns()
        if now - self.logged_at < LOG_EVERY:
            return False
        self.logged_at = now
        return write_line(f"garnethaven {self.name}: {text}")

    # Timers

    def at(self, due: int, call: Callable[[Any], None], argument: Any) -> None:
        heappush(self.timers, (due, next(self.timer_numbers), call, argument))
        if self.alarm is None or due < self.alarm_at:
            self._arm(due)

    def _arm(self, due: int) -> None:
        if self.alarm is not None:
            self.alarm.cancel()
        self.alarm_at = due
        # The loop's timers count whole milliseconds; one too early would only be set again.
        delay = max(0, due - time.monotonic_ns()) / S + 0.0005
        self.alarm = self.loop.call_later(delay, self._ring)

    def _ring(self) -> None:
        self.alarm = None
        now = time.monotonic_ns()
        while self.timers and self.timers[0][0] <= now:
            _, _, call, argument = heappop(self.timers)
            call(argument)
        if self.timers and (self.alarm is None or self.timers[0][0] < self.alarm_at):
            self._arm(self.timers[0][0])

    def _set_timer(self, action: SetTimer) -> None:
        self.at(time.monotonic_ns() + action.delay, self._fire, action.token)

    def _fire(self, token: int) -> None:
        self.post(TimerFired(token))

    # Requests

    def take(self, call: Call) -> bool:
        """A whole request has come: from here on it is owed one answer.

        False where its id is that of a request under way: endpoints know requests by their ids, and
        would take one for the other's second copy.
        """
        if call.call_id in self.open_ids:
            return False
        self.open_ids.add(call.call_id)
        call.id = str(next(self.numbers))
        self.calls[call.id] = call
        if call.coming:  # its time runs from its last byte
            self._runs_for(call, COMING_MOST)
        else:
            self.account.take(call.grade)
            self._runs_for(call, call.budget)
        if call.dedup_key and call.prior is None and self.keyed is not None:
            call.prior = self.keyed.prior(call)
        if call.prior is not None:
            call.attempts.append(None)  # the module counts it as the first
        elif self._turned_away(call):  # not what may have run: it was admitted, and can't be refused
            return True
        self.post(
            Request(
                call.id, call.grade, call.budget, call.caller, call.key, call.repeat, call.prior, call.coming
            )
        )
        return True

    def _turned_away(self, call: Call) -> bool:
        """Whether a budget or an allowance of the whole fleet has no room for it; it is refused then."""
        if self.admission is not None:
            wait = self.admission.turns_away(call)
            if wait is not None:
                self._answer(call, lambda: call.client.refused(wait, True), End.REFUSED)
                return True
        if self.spending is not None:
            if not call.repeat:
                self.spending.first_try()
            elif not self.spending.may_spend(Spend.RETRY):
                most = self.settings.max_retry_after
                self._answer(call, lambda: call.client.refused(most, False), End.REFUSED)
                return True
        return False

    def whole(self, call: Call) -> None:
        """The last byte of a request that was taken while it came is here: its time begins."""
        if call.answered or not call.coming:
            return
        call.coming = False
        self.account.take(call.grade)
        self._runs_for(call, call.budget)

    def _runs_for(self, call: Call, span: int) -> None:
        """From now on the call has so many nanoseconds."""
        call.taken_at = time.monotonic_ns()
        if self.ends_at:
            span = max(0, min(span, self.ends_at - call.taken_at))
            call.budget = min(call.budget, span)
        call.deadline = call.taken_at + span - min(ANSWER_MARGIN, span // ANSWER_MARGIN_PART)
        self.at(call.deadline, self._time_is_up, call)

    def end_by(self, seconds: float) -> None:
        """Owe no answer any more after so many seconds: this process ends then."""
        self.ends_at = time.monotonic_ns() + int(seconds * S)
        for call in self.calls.values():
            call.deadline = min(call.deadline, self.ends_at)
            self.at(call.deadline, self._time_is_up, call)

    def began(self, attempt: Attempt) -> bool:
        """An answer is about to go to the client as it comes: from here on this attempt is the client's.

        False where the client has its answer already, or another attempt's has begun.
        """
        call = attempt.call
        if call.answered or call.bound is not None:
            return False
        call.bound = attempt
        self.post(StreamBegan(call.id, attempt.number))
        self._cancel_open(call, but=attempt)
        return True

    def left(self, call: Call, end: End = End.GONE) -> None:
        """The client has gone away, or is shown out by its front; nothing is owed any more."""
        if call.answered:
            return
        self._answer(call, lambda: None, end)
        if call.coming or call.bound is not None:  # the module does not withdraw these
            self._cancel_open(call)
        self.post(ClientLeft(call.id))
        self._withdraw(call)

    def _answer(self, call: Call, say: Callable[[], None], end: End) -> None:
        """The only way to a client's final answer."""
        if call.answered:
            return
        call.answered = True
        call.request = None
        if call.coming:
            self.account.at_once(call.grade, end)
        else:
            self.account.end(call.grade, end)
        self.open_ids.discard(call.call_id)
        if not call.open:
            self._forget(call)
        say()

    def _withdraw(self, call: Call) -> None:
        """End what has not been sent whole, once nobody waits: nothing may begin after the final answer.

        Also where running work is not to be cancelled, which the module decides: this is none yet.
        """
        for attempt in call.attempts if call.answered and call.open else ():
            if attempt is not None and not attempt.over and not attempt.written():
                self.cancel(attempt)

    def _forget(self, call: Call) -> None:
        """Answered, and nothing of it is out: a timer may hold the call for a while, but not its parts."""
        self.calls.pop(call.id, None)
        call.attempts = []

    def _refuse(self, action: Refuse) -> None:
        call = self.calls.get(action.id)
        if call is not None:
            say = lambda: call.client.refused(action.retry_after, action.over_share)  # noqa: E731
            self._answer(call, say, End.REFUSED)
            self._withdraw(call)

    def _fail(self, action: Fail) -> None:
        call = self.calls.get(action.id)
        if call is not None:
            late = time.monotonic_ns() >= call.deadline
            self._answer(call, lambda: call.client.failed(504 if late else 502), End.FAILED)
            self._withdraw(call)

    def _time_is_up(self, call: Call) -> None:
        if call.bound is not None or time.monotonic_ns() < call.deadline:
            return  # the answer has begun, or the request was not whole yet when this was set
        for attempt in call.attempts:
            if attempt is not None and not attempt.over:
                self._time_out(attempt)
        if not call.answered:
            # Held with nothing under way: the module was not told of its end by any attempt.
            self._answer(call, lambda: call.client.failed(504), End.FAILED)
            self.post(ClientLeft(call.id))

    # Attempts

    def _send(self, action: Send) -> None:
        call = self.calls.get(action.id)
        if call is None:
            return
        now = time.monotonic_ns()
        left = call.deadline - now
        limit = min(action.limit, left) if action.limit else left
        skipped = call.answered or limit <= 0 or len(call.attempts) >= self.settings.max_attempts
        if skipped or (call.attempts and not self._may_repeat(call)):
            number = len(call.attempts)
            call.attempts.append(None)
            self.post(AttemptEnded(call.id, number, action.endpoint, Outcome.SKIPPED, final=call.answered))
            return
        if call.dedup_key and self.keyed is not None:
            self.keyed.sends(call, action.endpoint)
        attempt = call.transport.attempt(call, action, limit, now)
        call.attempts.append(attempt)
        call.open += 1
        if limit < left:
            for one in call.attempts:  # those before it too: they could begin after this one is forgotten
                if one is not None and not one.over:
                    self.at(now + limit, self._time_out, one)
        attempt.start()

    def _may_repeat(self, call: Call) -> bool:
        """Whether the budget of the whole fleet has room for one more attempt of this call."""
        if self.spending is None:
            return True
        return self.spending.may_spend(Spend.COPY if call.open else Spend.RETRY)

    def _time_out(self, attempt: Attempt) -> None:
        if not attempt.over and attempt is not attempt.call.bound:
            # What has not been written whole cannot have run.
            never_ran = Outcome.SKIPPED if attempt.hindered else Outcome.CONNECT_FAILED
            written = attempt.give_up()
            self.attempt_ended(attempt, Outcome.TIMED_OUT if written else never_ran)

    def _cancel(self, action: Cancel) -> None:
        call = self.calls.get(action.id)
        attempt = call.attempts[action.attempt] if call and action.attempt < len(call.attempts) else None
        if attempt is not None and not attempt.over:
            self.cancel(attempt)

    def _cancel_open(self, call: Call, but: Attempt | None = None) -> None:
        for attempt in call.attempts:
            if attempt is not None and attempt is not but and not attempt.over:
                self.cancel(attempt)

    def cancel(self, attempt: Attempt) -> None:
        """End an attempt that is open and of no use any more."""
        attempt.give_up()
        self.attempt_ended(attempt, Outcome.CANCELLED)

    def attempt_ended(
        self,
        attempt: Attempt,
        outcome: Outcome,
        report: tuple[float, ...] = (),
        say: Callable[[], None] | None = None,
    ) -> None:
        """Tell the module how an attempt ended; an answer that serves goes to the client first."""
        call = attempt.call
        call.open -= 1
        if call.dedup_key and outcome in NEVER_RAN and self.keyed is not None:
            self.keyed.never_ran(call)
        if outcome is not Outcome.CONNECT_FAILED or attempt.refused:
            self.contradicts(attempt.endpoint, outcome)
        if say is not None:
            self._answer(call, say, End.SERVED if outcome is Outcome.DONE else End.FAILED)
        if call.answered and not call.open:
            self._forget(call)
        duration = time.monotonic_ns() - attempt.sent_at
        ended = AttemptEnded(
            call.id, attempt.number, attempt.endpoint, outcome, duration, call.answered, report
        )
        self.post(ended)
        self._withdraw(call)

    # Probes and idle connections

    def _probe(self, action: Probe) -> None:
        allowed = self.spending is None or self.spending.may_spend(Spend.PROBE, action.endpoint)
        if self.prober is not None and allowed:
            self.prober.probe(action.endpoint)

    def _close_idle(self, action: CloseIdle) -> None:
        if self.prober is not None:
            self.prober.close_idle(action.endpoint)


def with_unsafe_twins(settings: Settings) -> Settings:
    """Add to each class one of the strictest treatment, for a request that came without its key."""
    twins = tuple(replace(grade, effect=Effect.FRAGILE) for grade in settings.grades)
    return replace(settings, grades=settings.grades + twins)
