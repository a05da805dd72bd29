"""Helpers that the tests share: small fleets and a driver of a Balancer."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from garnethaven.brain import Balancer
from garnethaven.interface import (
    Action,
    AttemptEnded,
    DedupScope,
    Endpoint,
    Event,
    Idempotency,
    ListKind,
    Membership,
    Outcome,
    Request,
    RequestClass,
    Send,
    Settings,
    Started,
)

MS = 1_000_000
S = 1_000_000_000
START = 100 * S

RETRYABLE = RequestClass(
    target=500 * MS, deadline=2 * S, effect=Idempotency.RETRYABLE, value=1.0, late_value=0.25
)
FRAGILE = replace(RETRYABLE, effect=Idempotency.FRAGILE, value=10.0)
DEDUP_IN_CELL = replace(RETRYABLE, effect=Idempotency.DEDUP, scope=DedupScope.CELL, dedup_window=3 * S)
DEDUP_EVERYWHERE = replace(RETRYABLE, effect=Idempotency.DEDUP, scope=DedupScope.ALL, dedup_window=1 * S)

SETTINGS = Settings(
    request_classes=(RETRYABLE, FRAGILE, DEDUP_IN_CELL, DEDUP_EVERYWHERE),
    fleet_size=10,
    drain_grace=500 * MS,
    cold_share=0.2,
    ramp_time=10 * S,
    dial_timeout=250 * MS,
    connection_idle_timeout=15 * S,
    max_attempts=4,
    hedging=True,
    cancel=True,
)


def fleet(count: int, **changes: Any) -> tuple[Endpoint, ...]:
    """Return the endpoints 1 to `count`, two per cell."""
    return tuple(Endpoint(id=number, cell=(number - 1) // 2, **changes) for number in range(1, count + 1))


class Driver:
    """A Balancer with a simulated clock and an initial endpoint list."""

    def __init__(self, endpoints: tuple[Endpoint, ...], settings: Settings = SETTINGS, seed: int = 7) -> None:
        self.balancer = Balancer(settings, seed)
        self.now = START
        self.request_count = 0
        self.balancer.handle(self.now, Started())
        self.feed(Membership(ListKind.PERSISTED, endpoints))
        self.balancer.overload.window.limit = 0.0  # ends the startup window

    def feed(self, event: Event, after: int = 0) -> list[Action]:
        self.now += after
        return self.balancer.handle(self.now, event)

    def ask(self, grade: int = 0, after: int = 10 * MS, **fields: Any) -> list[Action]:
        """Send a request `after` ns; return all actions."""
        self.request_count += 1
        budget = fields.pop("budget", 2 * S)
        request = Request(id=f"r{self.request_count}", class_index=grade, budget=budget, **fields)
        return self.feed(request, after)

    def target(self, grade: int = 0, after: int = 10 * MS, **fields: Any) -> int:
        """Send a request; return the endpoint it was sent to."""
        return sends(self.ask(grade, after, **fields))[0].endpoint

    def end(self, send: Send, outcome: Outcome, after: int = 20 * MS, attempt: int = 0) -> list[Action]:
        final = outcome is Outcome.DONE
        return self.feed(
            AttemptEnded(send.id, attempt, send.endpoint, outcome, duration=after, final=final), after
        )

    def serve(self, outcome: Outcome = Outcome.DONE, after: int = 20 * MS, **fields: Any) -> int:
        """Send a request and end its first attempt; return its endpoint."""
        send = sends(self.ask(**fields))[0]
        self.end(send, outcome, after)
        return send.endpoint


def sends(actions: list[Action]) -> list[Send]:
    return [action for action in actions if isinstance(action, Send)]


def actions_of_type(actions: list[Action], kind: type) -> list[Action]:
    return [action for action in actions if isinstance(action, kind)]
