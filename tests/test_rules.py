"""Property test of the four rules over arbitrary valid sequences of events."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

import hypothesis.strategies as st
from hypothesis import HealthCheck, given, settings

from garnethaven.brain import Balancer
from garnethaven.interface import (
    NEVER_RAN,
    Action,
    AttemptEnded,
    Cancel,
    ClientLeft,
    DedupScope,
    Endpoint,
    Event,
    Fail,
    Idempotency,
    ListKind,
    Membership,
    Outcome,
    Probe,
    ProbeEnded,
    Refuse,
    Request,
    RequestClass,
    Send,
    SetTimer,
    Started,
    State,
    TimerFired,
)
from tests.helpers import DEDUP_EVERYWHERE, DEDUP_IN_CELL, FRAGILE, MS, RETRYABLE, SETTINGS, START, S

REQUEST_CLASSES = (
    RETRYABLE,
    FRAGILE,
    DEDUP_IN_CELL,
    DEDUP_EVERYWHERE,
    replace(DEDUP_IN_CELL, scope=DedupScope.ZONE),
)
ATTEMPT_OUTCOMES = [outcome for outcome in Outcome if outcome not in (Outcome.CANCELLED, Outcome.SKIPPED)]


@dataclass
class SentAttempt:
    """An attempt that the balancer started; `outcome` is None while it is open."""

    endpoint: int
    sent_at: int
    ends_at: int
    outcome: Outcome | None = None


@dataclass
class Client:
    """The client of one request, and the attempts made for it."""

    grade: RequestClass
    deadline: int
    tries: list[SentAttempt] = field(default_factory=list)
    answered: bool = False
    left: bool = False


class World:
    """Simulates clients, servers and discovery and checks every action against the rules."""

    def __init__(self, seed: int, hedging: bool, calls_discovery: bool) -> None:
        self.settings = replace(
            SETTINGS,
            request_classes=REQUEST_CLASSES,
            hedging=hedging,
            calls_discovery=calls_discovery,
            probes=True,
            key_affinity=True,
        )
        self.balancer = Balancer(self.settings, seed)
        self.now = START
        self.clients: dict[str, Client] = {}
        self.endpoints: dict[int, Endpoint] = {}
        self.unavailable_since: dict[int, int] = {}  # endpoints that drain or are removed
        self.ever_listed: set[int] = set()
        self.timers: list[tuple[int, int]] = []  # due time and token
        self.open_probes: list[int] = []
        self.feed(Started())

    def feed(self, event: Event) -> None:
        for action in self.balancer.handle(self.now, event):
            self.check(action)

    def check(self, action: Action) -> None:
        if isinstance(action, Send):
            self.check_send(action)
        elif isinstance(action, Refuse | Fail):
            self.check_finish(action)
        elif isinstance(action, Cancel):
            attempt = self.clients[action.id].tries[action.attempt]
            if attempt.outcome is None:
                attempt.ends_at = self.now
        elif isinstance(action, SetTimer):
            assert action.delay >= 0
            self.timers.append((self.now + action.delay, action.token))
        elif isinstance(action, Probe):
            assert action.endpoint in self.ever_listed
            self.open_probes.append(action.endpoint)

    def check_send(self, action: Send) -> None:
        client = self.clients[action.id]
        assert not client.answered and not client.left
        assert action.endpoint in self.ever_listed
        assert len(client.tries) < self.settings.max_attempts
        unavailable_since = self.unavailable_since.get(action.endpoint)
        assert unavailable_since is None or self.now <= unavailable_since + self.settings.drain_grace
        running = [attempt for attempt in client.tries if attempt.outcome is None]
        assert self.settings.hedging or not running
        executed = [attempt for attempt in client.tries if attempt.outcome not in NEVER_RAN]
        if client.grade.effect is Idempotency.FRAGILE:
            assert not executed
        elif client.grade.effect is Idempotency.DEDUP and executed:
            assert self.now <= executed[0].sent_at + client.grade.dedup_window
            assert self.group(client.grade, executed[0].endpoint) == self.group(client.grade, action.endpoint)
        limit = action.timeout or client.deadline - self.now
        assert limit > 0
        ends_at = min(self.now + limit, client.deadline)
        client.tries.append(SentAttempt(action.endpoint, self.now, ends_at))

    def group(self, grade: RequestClass, endpoint: int) -> int:
        entry = self.endpoints[endpoint]
        return {DedupScope.ALL: 0, DedupScope.ZONE: entry.zone, DedupScope.CELL: entry.cell}[grade.scope]

    def check_finish(self, action: Refuse | Fail) -> None:
        client = self.clients[action.id]
        assert not client.answered and not client.left
        client.answered = True
        if isinstance(action, Refuse) and client.grade.effect is not Idempotency.RETRYABLE:
            executed = [attempt for attempt in client.tries if attempt.outcome not in NEVER_RAN]
            dedup_everywhere = (
                client.grade.effect is Idempotency.DEDUP and client.grade.scope is DedupScope.ALL
            )
            assert dedup_everywhere or not executed

    def members(self, changes: list[tuple[int, State, bool]], kind: ListKind) -> None:
        entries = {} if kind is not ListKind.DELTA else dict(self.endpoints)
        for number, state, restarted in changes:
            if state is State.REMOVED and kind is not ListKind.DELTA:
                continue
            started = self.now - S if restarted else 0
            entries[number] = Endpoint(number, number % 2, 0, number // 3, state, 1.0, started)
        listed = tuple(entries[n] for n in dict.fromkeys(n for n, _, _ in changes) if n in entries)
        for number in set(self.endpoints) | set(entries):
            up = number in entries and entries[number].state is State.UP
            if up:
                self.unavailable_since.pop(number, None)
            else:
                self.unavailable_since.setdefault(number, self.now)
        self.ever_listed |= set(entries)
        self.endpoints |= entries
        self.feed(Membership(kind, listed))

    def request(self, grade: int, budget: int, key: str, tenant: int) -> None:
        request_id = f"q{len(self.clients)}"
        request_class = REQUEST_CLASSES[grade] if grade < len(REQUEST_CLASSES) else FRAGILE
        self.clients[request_id] = Client(request_class, self.now + budget)
        self.feed(Request(request_id, grade, budget, tenant, key))

    def finish(self, pick: int, outcome: Outcome) -> None:
        running = self.running()
        if running:
            _, request_id, number = running[pick % len(running)]
            self.end(request_id, number, outcome)

    def running(self) -> list[tuple[int, str, int]]:
        """Return the open attempts: latest end time, request id and attempt number of each."""
        return [
            (attempt.ends_at, request_id, number)
            for request_id, client in self.clients.items()
            for number, attempt in enumerate(client.tries)
            if attempt.outcome is None
        ]

    def end(self, request_id: str, number: int, outcome: Outcome) -> None:
        client, attempt = self.clients[request_id], self.clients[request_id].tries[number]
        attempt.outcome = outcome
        if outcome is Outcome.DONE and not client.left:
            client.answered = True
        duration = self.now - attempt.sent_at
        self.feed(AttemptEnded(request_id, number, attempt.endpoint, outcome, duration, client.answered))

    def leave(self, pick: int) -> None:
        waiting = [
            request_id
            for request_id, client in self.clients.items()
            if not client.answered and not client.left
        ]
        if waiting:
            request_id = waiting[pick % len(waiting)]
            self.clients[request_id].left = True
            self.feed(ClientLeft(request_id))

    def probe_ends(self, outcome: Outcome) -> None:
        if self.open_probes:
            self.feed(ProbeEnded(self.open_probes.pop(0), outcome, 5 * MS))

    def advance(self, span: int) -> None:
        """Advance the clock by `span`, with the timeouts and timers that are due on the way."""
        end = self.now + span
        while True:
            due = [(ends_at, 0, request_id, number) for ends_at, request_id, number in self.running()]
            due += [(ends_at, 1, "", index) for index, (ends_at, _) in enumerate(self.timers)]
            if not due or min(due)[0] > end:
                break
            ends_at, kind, request_id, number = min(due)
            self.now = max(self.now, ends_at)
            if kind:
                self.feed(TimerFired(self.timers.pop(number)[1]))
            else:
                self.end(request_id, number, Outcome.TIMED_OUT)
            self.check_overdue()
        self.now = end
        self.check_overdue()

    def check_overdue(self) -> None:
        for client in self.clients.values():
            assert client.answered or client.left or self.now <= client.deadline


changes = st.lists(
    st.tuples(st.integers(1, 9), st.sampled_from(State), st.booleans()), max_size=9, unique_by=lambda c: c[0]
)
steps = st.one_of(
    st.tuples(
        st.just("request"),
        st.integers(0, len(REQUEST_CLASSES)),
        st.integers(1, 2 * S),
        st.sampled_from(["", "a", "b"]),
        st.integers(0, 3),
    ),
    st.tuples(st.just("finish"), st.integers(0, 99), st.sampled_from(ATTEMPT_OUTCOMES)),
    st.tuples(st.just("advance"), st.integers(1, S)),
    st.tuples(st.just("members"), changes, st.sampled_from([ListKind.DELTA, ListKind.FULL])),
    st.tuples(st.just("leave"), st.integers(0, 99)),
    st.tuples(st.just("probe_ends"), st.sampled_from(ATTEMPT_OUTCOMES)),
)


@settings(derandomize=True, max_examples=400, deadline=None, suppress_health_check=list(HealthCheck))
@given(st.integers(0, 2**32), st.booleans(), st.booleans(), st.lists(steps, max_size=60))
def test_rules_hold_whatever_happens(
    seed: int, hedging: bool, calls_discovery: bool, script: list[tuple]
) -> None:
    world = World(seed, hedging, calls_discovery)
    world.members([(n, State.UP, False) for n in range(1, 7)], ListKind.PERSISTED)
    for name, *arguments in script:
        getattr(world, name)(*arguments)
    world.advance(3 * S)
    assert all(client.answered or client.left for client in world.clients.values())
