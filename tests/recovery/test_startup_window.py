"""The startup window: its part of the requests of all restarted sidecars, its growth, cuts and end."""

from __future__ import annotations

import pytest

from garnethaven.brain import Balancer
from garnethaven.interface import (
    AttemptEnded,
    Endpoint,
    ListKind,
    Membership,
    Outcome,
    ProcessResumed,
    Refuse,
    Request,
    RequestClass,
    Send,
    Settings,
)
from garnethaven.recovery.startup_window import (
    CALM_NS,
    CUT_FACTOR,
    FAST_FRACTION,
    GROWTH_PER_TARGET,
    INITIAL_REQUESTS_PER_SERVER,
    MIN_LIMIT,
    SLOW_FRACTION,
    StartupWindow,
)

MS = 1_000_000
S = 1_000_000_000


def started_window(capacity: float, fleet: int) -> StartupWindow:
    window = StartupWindow()
    window.begin(0, capacity, fleet, S)
    return window


def admitted(window: StartupWindow, now: int, arrivals: int) -> int:
    """Count the admitted requests of a burst before any answer."""
    in_flight = 0
    for _ in range(arrivals):
        in_flight += not window.should_refuse(now, in_flight)
    return in_flight


@pytest.mark.parametrize("fleet", [1, 3, 24, 96])
def test_all_beginners_together_put_a_bounded_queue_on_each_server(fleet: int) -> None:
    capacity = 12.0
    total = sum(admitted(started_window(capacity, fleet), 0, 1_000) for _ in range(fleet))
    assert total <= max(INITIAL_REQUESTS_PER_SERVER * capacity + fleet, (MIN_LIMIT + 1) * fleet)
    assert total >= fleet  # each admits at least one


def test_before_it_begins_nothing_is_bounded() -> None:
    assert admitted(StartupWindow(), 0, 1_000) == 1_000


def test_good_answers_double_it_with_each_round() -> None:
    window = started_window(12.0, 24)
    first = admitted(window, 0, 100)
    for _ in range(first):
        window.record_answer(0, FAST_FRACTION / 2)
    assert admitted(window, 0, 100) == 2 * first


def test_it_grows_by_the_clock_for_those_who_come_while_a_burst_is_worked_on() -> None:
    window = started_window(12.0, 24)
    first = admitted(window, 0, 100)
    assert window.should_refuse(0, first)
    assert not window.should_refuse(S // 4, first)
    assert admitted(window, S, 100) == int(first * (1.0 + GROWTH_PER_TARGET))


def test_slow_answers_cut_it_once_an_aim_and_never_to_nothing() -> None:
    window = started_window(24.0, 1)
    before = window.limit
    for _ in range(50):
        window.record_answer(S, 1.0)
    assert before * 0.6 < window.limit < before
    for second in range(2, 60):
        window.record_answer(second * S, SLOW_FRACTION + 0.01)
    assert window.limit == MIN_LIMIT  # growth by the clock applies only to arrivals


def test_a_try_that_a_server_had_no_place_for_cuts_it_too() -> None:
    settings = Settings(request_classes=(RequestClass(target=S, deadline=3 * S),), max_attempts=2)
    balancer = Balancer(settings, 1)
    balancer.handle(0, Membership(ListKind.FULL, tuple(Endpoint(number) for number in range(4))))
    before = balancer.overload.window.limit
    (send,) = (a for a in balancer.handle(2 * S, Request("a", 0, 3 * S)) if isinstance(a, Send))
    balancer.handle(2 * S, AttemptEnded("a", 0, send.endpoint, Outcome.CONNECT_FAILED))
    # The limit has grown by the clock; a failed dial does not indicate a queue.
    assert balancer.overload.window.limit > before
    grown_limit = balancer.overload.window.limit
    balancer.handle(2 * S, AttemptEnded("a", 1, send.endpoint, Outcome.BUSY))
    assert balancer.overload.window.limit == pytest.approx(grown_limit * CUT_FACTOR)


def test_a_process_that_stood_still_begins_anew() -> None:
    settings = Settings(request_classes=(RequestClass(target=S, deadline=3 * S),), fleet_size=24)
    balancer = Balancer(settings, 1)
    listed = tuple(Endpoint(number) for number in range(12))
    balancer.handle(0, Membership(ListKind.FULL, listed))
    balancer.handle(4 * CALM_NS, Request("calm", 0, S))
    assert not balancer.overload.window.limit  # it has ended
    balancer.handle(5 * CALM_NS, ProcessResumed())
    actions = [balancer.handle(5 * CALM_NS, Request(str(n), 0, S)) for n in range(40)]
    refused = sum(isinstance(action, Refuse) for batch in actions for action in batch)
    assert 30 <= refused < 40


def test_it_ends_once_it_neither_refuses_nor_sees_slow_answers() -> None:
    window = started_window(2.0, 24)
    assert admitted(window, 0, 100) == MIN_LIMIT
    assert admitted(window, CALM_NS, 100) < 100  # it refused requests within the calm time
    assert admitted(window, 2 * CALM_NS + 1, 100) == 100
