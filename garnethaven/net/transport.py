"""The HTTP/1.1 transport: sends attempts and probes to endpoints, and holds the endpoints' addresses."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from typing import Protocol

from garnethaven.addresses import Address
from garnethaven.engine.calls import Call
from garnethaven.engine.engine import MS, Engine, S
from garnethaven.engine.outcomes import outcome_of
from garnethaven.engine.spending import Spend
from garnethaven.interface import (
    CordonChange,
    Endpoint,
    Idempotency,
    ListKind,
    Membership,
    Outcome,
    ProbeEnded,
    Send,
    Settings,
    State,
)
from garnethaven.limits.budgets import BufferMemory
from garnethaven.net.exchange import MAX_HOLD_S, Answer, Exchange
from garnethaven.net.flow import StreamedBody
from garnethaven.net.upstream import Pool, Target

PROBE_TIMEOUT = S
MakePool = Callable[[asyncio.AbstractEventLoop, Callable[[], int], float, BufferMemory], Pool]
# Fields of a load report: the name in the settings, and the name that an endpoint may use instead.
ALTERNATIVE_REPORT_NAMES = {"active": "inflight", "waiting": "queue", "cpu": "util"}
ALTERNATIVE_REPORT_NAMES |= {"avg_ms": "latency_ms", "rps": "qps", "err_rps": "eps"}


class AnswerReceiver(Protocol):
    """The client's side of a call, which takes an endpoint's answer whole or streamed."""

    def has_left(self) -> bool: ...
    def send_answer(self, answer: Answer) -> None: ...
    def begin_answer(self, attempt: HttpAttempt, answer: Answer) -> None: ...
    def send_body(self, data: bytes) -> None: ...
    def end_answer(self) -> None: ...
    def abort_answer(self) -> None: ...


class HttpRequest:
    """The request of a call: its head, split around the value of X-Budget-Ms, and its body."""

    __slots__ = ("body", "client", "head_after_budget", "head_before_budget")

    def __init__(
        self, client: AnswerReceiver, head: tuple[bytes, bytes], body: bytes | bytearray | StreamedBody
    ) -> None:
        self.client = client
        self.head_before_budget, self.head_after_budget = head
        self.body = body

    def describe(self) -> str:
        """The state of the body, for the log."""
        if isinstance(self.body, StreamedBody):
            return self.body.describe()
        return f"body of {len(self.body)} bytes"


class HttpAttempt(Exchange):
    """One attempt of a call at one endpoint; the engine's `Attempt`."""

    def __init__(self, transport: HttpTransport, call: Call, endpoint: int, limit: int, now: int) -> None:
        request: HttpRequest = call.request
        super().__init__(())
        self.request = request
        if isinstance(request.body, StreamedBody):
            self.body = request.body
        self.transport = transport
        self.call = call
        self.client: AnswerReceiver = request.client
        self.endpoint = endpoint
        self.number = len(call.attempts)
        self.sent_at = now  # nanoseconds
        self.ends_at = now + limit
        self.again = self.number > 0
        self.careful = (
            transport.engine.settings.request_classes[call.class_index].effect is Idempotency.FRAGILE
        )

    def message(self) -> tuple[bytes | bytearray, ...]:
        """Head and body; X-Budget-Ms states the time that is left now, after any dial."""
        head = b"%s%d%s" % (
            self.request.head_before_budget,
            max(1, self._time_left_ns() // MS),
            self.request.head_after_budget,
        )
        body = self.request.body
        if isinstance(body, StreamedBody):
            return (head,)
        return (head + body,) if len(body) <= len(head) else (head, body)

    def _time_left_ns(self) -> int:
        """The time that is left to the attempt; at most the request's whole time.

        While the body is being received, the client's time has not begun, and may begin at any moment.
        """
        now = time.monotonic_ns()
        return min(self.ends_at - now, self.call.deadline - now, self.call.budget)

    def start(self) -> None:
        transport = self.transport
        if self.again and self.client.has_left():
            transport.engine.client_left(self.call)
            return
        target = transport.targets.get(self.endpoint)
        self.skipped = self.body is not None and self.body.replay_lost  # the body can't be sent again
        if target is not None and target.would_dial():
            self.skipped = self.skipped or not transport.may_dial(self.endpoint)
        if target is None or self.skipped:
            self.over = True
            self.broken(written=False)
        else:
            target.start(self, transport.dial_timeout)

    def may_begin(self) -> bool:
        takes_new = self.transport.engine.balancer.accepts_attempts(self.endpoint)
        return takes_new and self._time_left_ns() > 0 and not self.client.has_left()

    def patience_s(self) -> float:
        """The remaining time, divided equally among the remaining attempts."""
        remaining_attempts = max(1, self.transport.settings.max_attempts - self.number)
        return max(0, self._time_left_ns()) / remaining_attempts / S

    def may_open_extra(self) -> bool:
        return self.transport.is_warm(self.endpoint)

    def request_written(self) -> None:
        self.transport.engine.account.attempts += 1

    def answered(self, answer: Answer) -> None:
        outcome = outcome_of(answer.status, answer.header(b"x-rejected") == b"1")
        engine, report = self.transport.engine, self.transport.report(answer)
        if self.call.streaming_attempt is self:
            engine.attempt_ended(self, outcome, report, self.client.end_answer)
        elif outcome is Outcome.DONE and not self.call.answered:
            engine.attempt_ended(self, outcome, report, lambda: self.client.send_answer(answer))
        else:
            engine.attempt_ended(self, outcome, report)

    def answer_stalled(self) -> bool:
        if self.call.answered:
            return False
        if not self.stalled:
            self.stalled = True
            self.transport.engine.attempt_stalled(self)
        return not self.over

    def answer_resumed(self) -> None:
        self.stalled = False
        self.transport.engine.attempt_resumed(self)

    def max_hold_s(self) -> float:
        """At most half of the time that is left to the client."""
        return min(MAX_HOLD_S, max(0, self._time_left_ns()) / S / 2)

    def broken(self, written: bool) -> None:
        if_written = Outcome.STALE if self.stale else Outcome.RESET
        if_unwritten = Outcome.SKIPPED if self.skipped else Outcome.CONNECT_FAILED
        notify = self.client.abort_answer if self.call.streaming_attempt is self else None
        self.transport.engine.attempt_ended(self, if_written if written else if_unwritten, send_answer=notify)

    # Streamed answers

    def begin_streaming(self, answer: Answer) -> bool:
        if not self.transport.engine.start_streaming(self):
            return False
        self.client.begin_answer(self, answer)
        return True

    def body_received(self, data: bytes) -> None:
        self.client.send_body(data)

    def pause(self) -> None:
        if self.connection is not None:
            self.connection.pause()

    def resume(self) -> None:
        if self.connection is not None:
            self.connection.resume()


class ProbeCall(Exchange):
    def __init__(self, transport: HttpTransport, endpoint: int, payload: bytes) -> None:
        super().__init__((payload,))
        self.transport = transport
        self.endpoint = endpoint
        self.sent_at = time.monotonic_ns()

    def answered(self, answer: Answer) -> None:
        self.transport.probe_ended(self, Outcome.DONE if answer.status == 200 else Outcome.ERROR, answer)

    def broken(self, written: bool) -> None:
        self.transport.probe_ended(self, Outcome.RESET if written else Outcome.CONNECT_FAILED)


class HttpTransport:
    """Sends attempts over pooled connections, and holds the endpoints' addresses. The engine's prober."""

    def __init__(
        self,
        engine: Engine,
        settings: Settings,
        loop: asyncio.AbstractEventLoop,
        connections: Callable[[], int],
        memory_mb: int,
        make_pool: MakePool = Pool,
    ) -> None:
        self.engine = engine
        self.settings = settings
        self.pool = make_pool(
            loop, connections, settings.connection_idle_timeout / S, BufferMemory(memory_mb)
        )
        self.targets: dict[int, Target] = {}
        self.cordoned: set[int] = set()  # by an operator: get nothing new, whatever the list says
        self.pool.targets = self.targets.values
        self.dial_timeout = (settings.dial_timeout or S) / S
        engine.prober = self

    def attempt(self, call: Call, action: Send, limit: int, now: int) -> HttpAttempt:
        return HttpAttempt(self, call, action.endpoint, limit, now)

    def may_dial(self, endpoint: int) -> bool:
        """Whether a connection may be opened now: dials to a cold server are rate-limited."""
        spending = self.engine.spending
        if spending is None or self.is_warm(endpoint):
            return True
        return spending.may_spend(Spend.COLD_DIAL, endpoint)

    def is_warm(self, endpoint: int) -> bool:
        return self.engine.balancer.warmth_and_penalty(endpoint)[0] >= 1.0

    # Load reports

    def report(self, answer: Answer) -> tuple[float, ...]:
        """The values of an answer's load report, in the order of the settings' fields; empty if none."""
        text = answer.header(b"x-load-report") if self.settings.report_fields else None
        return self._read_report(text) if text else ()

    def _read_report(self, text: bytes) -> tuple[float, ...]:
        try:
            values = json.loads(text)
            fields = self.settings.report_fields
            return tuple(
                float(values.get(name, values.get(ALTERNATIVE_REPORT_NAMES.get(name)))) for name in fields
            )
        except (ValueError, TypeError, AttributeError, OverflowError, RecursionError):
            return ()  # an unreadable report does not invalidate the answer that carried it

    # Probes and idle connections

    def probe(self, endpoint: int) -> None:
        path = b"/-/load" if self.settings.report_fields else b"/-/healthy"
        probe = ProbeCall(self, endpoint, b"GET %s HTTP/1.1\r\nHost: backend.local\r\n\r\n" % path)
        target = self.targets.get(endpoint)
        if target is None:
            probe.over = True
            probe.broken(written=False)
            return
        self.engine.call_at(probe.sent_at + PROBE_TIMEOUT, self._probe_time_out, probe)
        target.start(probe, self.dial_timeout)

    def _probe_time_out(self, probe: ProbeCall) -> None:
        if not probe.over:
            written = probe.give_up()
            self.probe_ended(probe, Outcome.TIMED_OUT if written else Outcome.CONNECT_FAILED)

    def probe_ended(self, probe: ProbeCall, outcome: Outcome, answer: Answer | None = None) -> None:
        report: tuple[float, ...] = ()
        if answer is not None and self.settings.report_fields:
            report = self.report(answer) or self._read_report(bytes(answer.body))
        duration = time.monotonic_ns() - probe.sent_at
        self.engine.post(ProbeEnded(probe.endpoint, outcome, duration, report))

    def close_idle(self, endpoint: int) -> None:
        target = self.targets.get(endpoint)
        if target is not None:
            target.close_idle()

    # Membership

    def apply_list(self, kind: ListKind, entries: list[tuple[Endpoint, Address | None]]) -> None:
        """Apply a list of endpoints: addresses are kept here, the rest goes to the decision module."""
        for entry, address in entries:
            if entry.state is not State.REMOVED:
                self._update_target(entry, address)
        states = {entry.id: entry.state for entry, _ in entries}
        if kind is not ListKind.DELTA:
            states = dict.fromkeys(self.targets, State.REMOVED) | states
        stopped = [
            endpoint
            for endpoint, state in states.items()
            if state is not State.UP and endpoint in self.targets
        ]
        self.engine.post(Membership(kind, tuple(entry for entry, _ in entries)))
        # After the module has the list: stopping an exchange asks it at once for another endpoint.
        for endpoint in stopped:
            target = self.targets[endpoint]
            if states[endpoint] is State.REMOVED:
                del self.targets[endpoint]
                target.move(None)  # connections in use are closed when they are released
            target.stop()

    def by_hand(self, endpoint: int, cordoned: bool) -> None:
        """Cordon or uncordon an endpoint for an operator; exchanges in progress continue."""
        (self.cordoned.add if cordoned else self.cordoned.discard)(endpoint)
        self.engine.post(CordonChange(endpoint, cordoned))
        target = self.targets.get(endpoint)
        if target is None:
            return
        target.stop()  # also when uncordoned: idle connections lead to the previous process
        if not cordoned:
            target.move(target.address)

    def _update_target(self, entry: Endpoint, address: Address | None) -> None:
        target = self.targets.get(entry.id)
        if target is None:
            target = self.targets[entry.id] = self.pool.target(entry.id, address)
        else:
            target.move(address)
        target.began(entry.started)
        if entry.id in self.cordoned:
            target.stop()
