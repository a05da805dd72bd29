"""The HTTP/1.1 transport: attempts as exchanges with endpoints, probes, and the endpoints' addresses."""

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
    ByHand,
    Effect,
    Endpoint,
    ListKind,
    Membership,
    Outcome,
    ProbeEnded,
    Send,
    Settings,
    State,
)
from garnethaven.limits.budgets import AnswerMemory
from garnethaven.net.exchange import Answer, Exchange
from garnethaven.net.flow import Body
from garnethaven.net.upstream import Pool, Target

PROBE_LIMIT = S
MakePool = Callable[[asyncio.AbstractEventLoop, Callable[[], int], float, AnswerMemory], Pool]
REPORT_NAMES = {"active": "inflight", "waiting": "queue", "cpu": "util"}  # the module's names, on sockets
REPORT_NAMES |= {"avg_ms": "latency_ms", "rps": "qps", "err_rps": "eps"}


class Served(Protocol):
    """A client that takes an endpoint's answer."""

    def has_left(self) -> bool: ...
    def served(self, answer: Answer) -> None: ...
    def began(self, attempt: HttpAttempt, answer: Answer) -> None: ...
    def more(self, data: bytes) -> None: ...
    def ended(self) -> None: ...
    def broke(self) -> None: ...


class HttpRequest:
    """What this transport needs of a call: its head around the value of X-Budget-Ms, and its body."""

    __slots__ = ("after", "before", "body", "client")

    def __init__(self, client: Served, head: tuple[bytes, bytes], body: bytes | bytearray | Body) -> None:
        self.client = client
        self.before, self.after = head
        self.body = body


class HttpAttempt(Exchange):
    """One try of a call at one endpoint; the engine's `Attempt`."""

    def __init__(self, transport: HttpTransport, call: Call, endpoint: int, limit: int, now: int) -> None:
        request: HttpRequest = call.request
        super().__init__(())
        self.request = request
        if isinstance(request.body, Body):
            self.body = request.body
        self.transport = transport
        self.call = call
        self.client: Served = request.client
        self.endpoint = endpoint
        self.number = len(call.attempts)
        self.sent_at = now
        self.ends_at = now + limit
        self.again = self.number > 0
        self.careful = transport.engine.settings.grades[call.grade].effect is Effect.FRAGILE

    def message(self) -> tuple[bytes | bytearray, ...]:
        """Head and body; the time that the endpoint is told of is what is left now, after any dial.

        Where the body is still to come, the client's time has not begun.
        """
        now = time.monotonic_ns()
        left = min(self.ends_at - now, self.call.deadline - now, self.call.budget)
        head = b"%s%d%s" % (self.request.before, max(1, left // MS), self.request.after)
        body = self.request.body
        if isinstance(body, Body):
            return (head,)
        return (head + body,) if len(body) <= len(head) else (head, body)

    def start(self) -> None:
        transport = self.transport
        if self.again and self.client.has_left():
            transport.engine.left(self.call)
            return
        target = transport.targets.get(self.endpoint)
        self.skipped = self.body is not None and self.body.lost  # it can't be sent again
        if target is not None and target.would_dial():
            self.skipped = self.skipped or not transport.may_dial(self.endpoint)
        if target is None or self.skipped:
            self.over = True
            self.broken(written=False)
        else:
            target.start(self, transport.dial_timeout)

    def may_begin(self) -> bool:
        takes_new = self.transport.engine.balancer.takes_new(self.endpoint)
        return takes_new and time.monotonic_ns() < self.ends_at and not self.client.has_left()

    def patience_s(self) -> float:
        """An equal part of the time that is left for each attempt that is left."""
        attempts = max(1, self.transport.settings.max_attempts - self.number)
        return max(0, self.ends_at - time.monotonic_ns()) / attempts / S

    def may_open_spare(self) -> bool:
        return self.transport.is_warm(self.endpoint)

    def went_out(self) -> None:
        self.transport.engine.account.attempts += 1

    def answered(self, answer: Answer) -> None:
        outcome = outcome_of(answer.status, answer.header(b"x-rejected") == b"1")
        engine, report = self.transport.engine, self.transport.report(answer)
        if self.call.bound is self:
            engine.attempt_ended(self, outcome, report, self.client.ended)
        elif outcome is Outcome.DONE and not self.call.answered:
            engine.attempt_ended(self, outcome, report, lambda: self.client.served(answer))
        else:
            engine.attempt_ended(self, outcome, report)

    def broken(self, written: bool) -> None:
        lost = Outcome.STALE if self.stale else Outcome.RESET
        never = Outcome.SKIPPED if self.skipped else Outcome.CONNECT_FAILED
        say = self.client.broke if self.call.bound is self else None
        self.transport.engine.attempt_ended(self, lost if written else never, say=say)

    # An answer too long to be held

    def begins(self, answer: Answer) -> bool:
        if not self.transport.engine.began(self):
            return False
        self.client.began(self, answer)
        return True

    def more(self, data: bytes) -> None:
        self.client.more(data)

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
    """Carries attempts over pooled connections; knows where endpoints are. The engine's prober."""

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
        self.pool = make_pool(loop, connections, settings.conn_idle / S, AnswerMemory(memory_mb))
        self.targets: dict[int, Target] = {}
        self.out: set[int] = set()  # by hand: these take nothing new, whatever the list says
        self.pool.targets = self.targets.values
        self.dial_timeout = (settings.dial_timeout or S) / S
        engine.prober = self

    def attempt(self, call: Call, action: Send, limit: int, now: int) -> HttpAttempt:
        return HttpAttempt(self, call, action.endpoint, limit, now)

    def may_dial(self, endpoint: int) -> bool:
        """Whether a connection may be opened there now: dials to one that has just started are bounded."""
        spending = self.engine.spending
        if spending is None or self.is_warm(endpoint):
            return True
        return spending.may_spend(Spend.COLD_DIAL, endpoint)

    def is_warm(self, endpoint: int) -> bool:
        return self.engine.balancer.standing(endpoint)[0] >= 1.0

    # Load reports

    def report(self, answer: Answer) -> tuple[float, ...]:
        """The load report that an answer carries, where the settings name its fields."""
        text = answer.header(b"x-load-report") if self.settings.report_fields else None
        return self._read_report(text) if text else ()

    def _read_report(self, text: bytes) -> tuple[float, ...]:
        try:
            told = json.loads(text)
            fields = self.settings.report_fields
            return tuple(float(told.get(name, told.get(REPORT_NAMES.get(name)))) for name in fields)
        except (ValueError, TypeError, AttributeError, OverflowError, RecursionError):
            return ()  # whatever it holds, the answer that carried it stays good

    # Probes and idle connections

    def probe(self, endpoint: int) -> None:
        path = b"/-/load" if self.settings.report_fields else b"/-/healthy"
        probe = ProbeCall(self, endpoint, b"GET %s HTTP/1.1\r\nHost: backend.local\r\n\r\n" % path)
        target = self.targets.get(endpoint)
        if target is None:
            probe.over = True
            probe.broken(written=False)
            return
        self.engine.at(probe.sent_at + PROBE_LIMIT, self._probe_time_out, probe)
        target.start(probe, self.dial_timeout)

    def _probe_time_out(self, probe: ProbeCall) -> None:
        if not probe.over:
            written = probe.give_up()
            self.probe_ended(probe, Outcome.TIMED_OUT if written else Outcome.CONNECT_FAILED)

    def probe_ended(self, probe: ProbeCall, outcome: Outcome, answer: Answer | None = None) -> None:
        report: tuple[float, ...] = ()
        if answer is not None and self.settings.report_fields:
            report = self.report(answer) or self._read_report(b"".join(answer.body))
        duration = time.monotonic_ns() - probe.sent_at
        self.engine.post(ProbeEnded(probe.endpoint, outcome, duration, report))

    def close_idle(self, endpoint: int) -> None:
        target = self.targets.get(endpoint)
        if target is not None:
            target.close_idle()

    # Membership

    def learn(self, kind: ListKind, entries: list[tuple[Endpoint, Address | None]]) -> None:
        """Take in a list: addresses stay here, the rest is the module's."""
        for entry, address in entries:
            if entry.state is not State.REMOVED:
                self._learn_target(entry, address)
        told = {entry.id: entry.state for entry, _ in entries}
        if kind is not ListKind.DELTA:
            told = dict.fromkeys(self.targets, State.REMOVED) | told
        stopped = [known for known, state in told.items() if state is not State.UP and known in self.targets]
        self.engine.post(Membership(kind, tuple(entry for entry, _ in entries)))
        # After the module knows, for it is asked for another endpoint at once.
        for known in stopped:
            target = self.targets[known]
            if told[known] is State.REMOVED:
                del self.targets[known]
                target.move(None)  # what is still in use there is closed when it comes back
            target.stop()

    def by_hand(self, endpoint: int, out: bool) -> None:
        """An operator takes an endpoint out or puts it back; what it works on ends as ever."""
        (self.out.add if out else self.out.discard)(endpoint)
        self.engine.post(ByHand(endpoint, out))
        target = self.targets.get(endpoint)
        if target is None:
            return
        target.stop()  # also where it comes back: what is idle leads to the process that has gone
        if not out:
            target.move(target.address)

    def _learn_target(self, entry: Endpoint, address: Address | None) -> None:
        target = self.targets.get(entry.id)
        if target is None:
            target = self.targets[entry.id] = self.pool.target(entry.id, address)
        else:
            target.move(address)
        target.began(entry.started)
        if entry.id in self.out:
            target.stop()
