"""Cordoned endpoints in the balancer, in virtual time."""

from __future__ import annotations

import pytest

from garnethaven import Balancer
from garnethaven.brain import LARGE_POOL_THRESHOLD
from garnethaven.interface import (
    AttemptEnded,
    CordonChange,
    DedupScope,
    Endpoint,
    Fail,
    Idempotency,
    ListKind,
    Membership,
    Outcome,
    Refuse,
    Request,
    RequestClass,
    Send,
    Settings,
    State,
)

S = 1_000_000_000
SLOW_START = 10 * S
COUNTS = [3, LARGE_POOL_THRESHOLD + 10]  # weighted round-robin by a linear scan, and by a tree


def make_balancer(count: int, started: int = 0) -> Balancer:
    request_class = RequestClass(target=S, deadline=3 * S, effect=Idempotency.RETRYABLE)
    settings = Settings(
        request_classes=(request_class,), max_attempts=3, ramp_time=SLOW_START, cold_share=0.2
    )
    balancer = Balancer(settings, seed=5)
    balancer.handle(0, Membership(ListKind.FULL, tuple(Endpoint(n, started=started) for n in range(count))))
    return balancer


def send_requests(balancer: Balancer, start: int, count: int, prefix: str) -> list[int]:
    """The endpoints that get `count` requests, one request each 10 ms."""
    endpoints: list[int] = []
    for number in range(count):
        actions = balancer.handle(start + number * S // 100, Request(f"{prefix}{number}", 0, 3 * S))
        endpoints += [action.endpoint for action in actions if isinstance(action, Send)]
    return endpoints


@pytest.mark.parametrize("count", COUNTS)
def test_one_that_is_out_gets_nothing_whatever_the_list_says(count: int) -> None:
    balancer = make_balancer(count)
    balancer.handle(S, CordonChange(0, True))
    balancer.handle(S, CordonChange(0, True))
    assert balancer.excluded_count() == 1 and 0 not in send_requests(balancer, S, 3 * count, "a")
    for entry in (Endpoint(0, state=State.REMOVED), Endpoint(0), Endpoint(0, started=S)):
        balancer.handle(2 * S, Membership(ListKind.DELTA, (entry,)))
        assert 0 not in send_requests(balancer, 2 * S, 3 * count, f"{entry.state}{entry.started}")
    balancer.handle(8 * S, CordonChange(0, False))
    assert balancer.excluded_count() == 0 and 0 in send_requests(balancer, 8 * S, 10 * count, "b")


@pytest.mark.parametrize("count", COUNTS)
def test_one_that_comes_back_is_cold_whatever_the_list_says(count: int) -> None:
    balancer = make_balancer(count)
    balancer.handle(S, CordonChange(0, True))
    balancer.handle(3 * S, CordonChange(0, False))
    assert balancer.warmth_and_penalty(0)[0] == pytest.approx(0.2)
    balancer.handle(4 * S, Membership(ListKind.FULL, tuple(Endpoint(n) for n in range(count))))
    assert balancer.warmth_and_penalty(0)[0] == pytest.approx(0.28)
    # Discovery reports its start time.
    balancer.handle(5 * S, Membership(ListKind.DELTA, (Endpoint(0, started=2 * S),)))
    assert balancer.warmth_and_penalty(0)[0] == pytest.approx(0.44)
    request_count = send_requests(balancer, 5 * S, 10 * count, "c").count(0)
    assert 0 < request_count < 10
    balancer.handle(3 * S + SLOW_START, CordonChange(1, False))  # was never cordoned
    assert balancer.warmth_and_penalty(0)[0] == 1.0 and balancer.warmth_and_penalty(1)[0] == 1.0


def test_the_last_of_a_rack_out_leaves_a_lost_keyed_request_no_place() -> None:
    request_class = RequestClass(
        target=S, deadline=3 * S, effect=Idempotency.DEDUP, scope=DedupScope.CELL, dedup_window=6 * S
    )
    balancer = Balancer(
        Settings(request_classes=(request_class,), max_attempts=5, ramp_time=SLOW_START), seed=5
    )
    balancer.handle(
        0, Membership(ListKind.FULL, (Endpoint(0, cell=0), Endpoint(1, cell=0), Endpoint(2, cell=1)))
    )
    balancer.handle(0, CordonChange(2, True))
    (first,) = send_requests(balancer, S, 1, "a")
    second = 1 - first
    balancer.handle(S, CordonChange(second, True))
    balancer.handle(S, CordonChange(first, True))  # its attempt in progress continues
    (failure,) = balancer.handle(2 * S, AttemptEnded("a0", 0, first, Outcome.RESET))
    # The request may have run, and no endpoint is left that would deduplicate a retry.
    assert isinstance(failure, Fail)
    balancer.handle(2 * S, CordonChange(second, False))
    balancer.handle(2 * S, Request("b", 0, 3 * S))
    (refusal,) = balancer.handle(2 * S, AttemptEnded("b", 0, second, Outcome.CONNECT_FAILED))
    assert isinstance(refusal, Refuse)


def test_all_of_them_out_refuses_and_does_not_fail() -> None:
    balancer = make_balancer(2)
    for endpoint in (0, 1, 9):  # discovery does not list endpoint 9
        balancer.handle(S, CordonChange(endpoint, True))
    assert send_requests(balancer, S, 3, "a") == [] and balancer.excluded_count() == 2
    balancer.handle(2 * S, CordonChange(0, False))
    assert set(send_requests(balancer, 2 * S, 3, "b")) == {0}
