"""The module's part of endpoints out by hand, in pure time."""

from __future__ import annotations

import pytest

from garnethaven import Balancer
from garnethaven.brain import MANY
from garnethaven.interface import (
    AttemptEnded,
    ByHand,
    Effect,
    Endpoint,
    Fail,
    Grade,
    ListKind,
    Membership,
    Outcome,
    Refuse,
    Request,
    Scope,
    Send,
    Settings,
    State,
)

S = 1_000_000_000
RAMP = 10 * S
COUNTS = [3, MANY + 10]  # turns as a plain walk, and as a tree


def balancer(count: int, started: int = 0) -> Balancer:
    grade = Grade(aim=S, deadline=3 * S, effect=Effect.RETRYABLE)
    settings = Settings(grades=(grade,), max_attempts=3, ramp_time=RAMP, cold_share=0.2)
    one = Balancer(settings, seed=5)
    one.handle(0, Membership(ListKind.FULL, tuple(Endpoint(n, started=started) for n in range(count))))
    return one


def sent(one: Balancer, at: int, count: int, name: str) -> list[int]:
    """Where so many requests go, one each 10 ms."""
    found: list[int] = []
    for number in range(count):
        actions = one.handle(at + number * S // 100, Request(f"{name}{number}", 0, 3 * S))
        found += [action.endpoint for action in actions if isinstance(action, Send)]
    return found


@pytest.mark.parametrize("count", COUNTS)
def test_one_that_is_out_gets_nothing_whatever_the_list_says(count: int) -> None:
    one = balancer(count)
    one.handle(S, ByHand(0, True))
    one.handle(S, ByHand(0, True))
    assert one.excluded() == 1 and 0 not in sent(one, S, 3 * count, "a")
    for entry in (Endpoint(0, state=State.REMOVED), Endpoint(0), Endpoint(0, started=S)):
        one.handle(2 * S, Membership(ListKind.DELTA, (entry,)))
        assert 0 not in sent(one, 2 * S, 3 * count, f"{entry.state}{entry.started}")
    one.handle(8 * S, ByHand(0, False))
    assert one.excluded() == 0 and 0 in sent(one, 8 * S, 10 * count, "b")


@pytest.mark.parametrize("count", COUNTS)
def test_one_that_comes_back_is_cold_whatever_the_list_says(count: int) -> None:
    one = balancer(count)
    one.handle(S, ByHand(0, True))
    one.handle(3 * S, ByHand(0, False))
    assert one.standing(0)[0] == pytest.approx(0.2)
    one.handle(4 * S, Membership(ListKind.FULL, tuple(Endpoint(n) for n in range(count))))
    assert one.standing(0)[0] == pytest.approx(0.28)
    one.handle(5 * S, Membership(ListKind.DELTA, (Endpoint(0, started=2 * S),)))  # the list tells its start
    assert one.standing(0)[0] == pytest.approx(0.44)
    turns = sent(one, 5 * S, 10 * count, "c").count(0)
    assert 0 < turns < 10
    one.handle(3 * S + RAMP, ByHand(1, False))  # was never out
    assert one.standing(0)[0] == 1.0 and one.standing(1)[0] == 1.0


def test_the_last_of_a_rack_out_leaves_a_lost_keyed_request_no_place() -> None:
    grade = Grade(aim=S, deadline=3 * S, effect=Effect.DEDUP, scope=Scope.CELL, window=6 * S)
    one = Balancer(Settings(grades=(grade,), max_attempts=5, ramp_time=RAMP), seed=5)
    one.handle(0, Membership(ListKind.FULL, (Endpoint(0, cell=0), Endpoint(1, cell=0), Endpoint(2, cell=1))))
    one.handle(0, ByHand(2, True))
    (first,) = sent(one, S, 1, "a")
    other = 1 - first
    one.handle(S, ByHand(other, True))
    one.handle(S, ByHand(first, True))  # the attempt that is under way there goes on
    (end,) = one.handle(2 * S, AttemptEnded("a0", 0, first, Outcome.RESET))
    assert isinstance(end, Fail)  # it may have run, and nobody is left who would drop its repeat
    one.handle(2 * S, ByHand(other, False))
    one.handle(2 * S, Request("b", 0, 3 * S))
    (again,) = one.handle(2 * S, AttemptEnded("b", 0, other, Outcome.CONNECT_FAILED))
    assert isinstance(again, Refuse)


def test_all_of_them_out_refuses_and_does_not_fail() -> None:
    one = balancer(2)
    for endpoint in (0, 1, 9):  # 9 is on no list
        one.handle(S, ByHand(endpoint, True))
    assert sent(one, S, 3, "a") == [] and one.excluded() == 2
    one.handle(2 * S, ByHand(0, False))
    assert set(sent(one, 2 * S, 3, "b")) == {0}
