"""The balancer with a closed retry budget: first attempts continue, further ones wait for good answers."""

from __future__ import annotations

import pytest

from garnethaven.interface import AttemptEnded, Cancel, Fail, Outcome, PriorAttempt, Refuse, TimerFired
from garnethaven.limits.retry_budget import MAX_TOKENS
from tests.helpers import DEDUP_IN_CELL, MS, SETTINGS, Driver, S, actions_of_type, fleet, sends

SAFE_CLASS, FRAGILE_CLASS, CELLED_CLASS = 0, 1, 2


def closed_driver(servers: int = 8) -> Driver:
    """A sidecar whose attempts were rejected until its retry budget closed."""
    driver = Driver(fleet(servers))
    for _ in range(5):
        send = sends(driver.ask())[0]
        for number in range(SETTINGS.max_attempts):
            further = sends(driver.end(send, Outcome.BUSY, after=1 * MS, attempt=number))
            if not further:
                break
            send = further[0]
    assert not driver.balancer.retry_budget.allows()
    return driver


def test_tries_turned_away_end_further_attempts_at_once_and_harmlessly() -> None:
    driver = closed_driver()
    send = sends(driver.ask())[0]
    actions = driver.end(send, Outcome.BUSY)
    assert not sends(actions)
    assert (
        len(actions_of_type(actions, Refuse)) == 1
    )  # the attempt was not executed, so the client may retry safely


def test_the_first_attempt_is_never_held_back() -> None:
    driver = closed_driver()
    for request_class in (SAFE_CLASS, FRAGILE_CLASS, CELLED_CLASS):
        for _ in range(20):
            send = sends(driver.ask(request_class))[0]
            driver.end(send, Outcome.BUSY, after=1 * MS)


def test_the_first_attempt_of_this_life_is_none_of_the_further_ones() -> None:
    driver = closed_driver()
    prior = PriorAttempt(endpoint=1, zone=0, cell=0, age=100 * MS)
    assert sends(driver.ask(CELLED_CLASS, prior=prior))


def test_answers_open_it_again() -> None:
    driver = closed_driver()
    for _ in range(int(MAX_TOKENS)):
        driver.serve(Outcome.DONE, after=1 * MS)
    send = sends(driver.ask())[0]
    assert sends(driver.end(send, Outcome.BUSY))


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.RESET, Outcome.TIMED_OUT])
def test_what_may_have_run_fails_where_a_refusal_would_not_be_harmless(outcome: Outcome) -> None:
    driver = closed_driver()
    send = sends(driver.ask(CELLED_CLASS))[0]
    actions = driver.end(send, outcome)
    assert not sends(actions) and not actions_of_type(actions, Refuse)
    assert len(actions_of_type(actions, Fail)) == 1


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.RESET, Outcome.TIMED_OUT])
def test_what_is_safe_to_repeat_is_refused(outcome: Outcome) -> None:
    driver = closed_driver()
    send = sends(driver.ask(SAFE_CLASS))[0]
    assert len(actions_of_type(driver.end(send, outcome), Refuse)) == 1


def test_an_open_budget_frees_no_class_from_its_rules() -> None:
    driver = Driver(fleet(8))
    assert driver.balancer.retry_budget.allows()
    send = sends(driver.ask(FRAGILE_CLASS))[0]
    assert not sends(driver.end(send, Outcome.RESET))  # it may have been executed
    send = sends(driver.ask(FRAGILE_CLASS))[0]
    assert sends(driver.end(send, Outcome.CONNECT_FAILED))  # it has not been executed
    send = sends(driver.ask(CELLED_CLASS))[0]
    (further,) = sends(driver.end(send, Outcome.RESET))
    assert (send.endpoint - 1) // 2 == (further.endpoint - 1) // 2  # only within its cell


def test_a_keyed_request_goes_on_within_its_cell_and_window_alone_after_it_opens() -> None:
    driver = closed_driver()
    for _ in range(int(MAX_TOKENS / 2) + 1):
        driver.serve(Outcome.DONE, after=1 * MS)
    send = sends(driver.ask(CELLED_CLASS, budget=20 * S))[0]
    actions = driver.end(send, Outcome.RESET, after=DEDUP_IN_CELL.dedup_window)
    assert not sends(actions)


def test_no_hedge_while_it_is_closed() -> None:
    for budget_closed in (False, True):
        driver = closed_driver() if budget_closed else Driver(fleet(8))
        driver.balancer.overload.refused_share = 0.0
        driver.balancer.hedge_tokens = 5.0
        for _ in range(4):
            driver.serve(Outcome.DONE, after=1 * MS)
        driver.balancer.overload.arrival_gap = 2 * S  # sparse requests, so that a hedge is useful
        send = sends(driver.ask())[0]
        hedges = 0
        for token in sorted(driver.balancer.timers)[-2:]:
            hedges += len(sends(driver.feed(TimerFired(token), 30 * MS)))
        assert hedges == (0 if budget_closed else 1)
        done = AttemptEnded(send.id, 0, send.endpoint, Outcome.DONE, duration=60 * MS, final=True)
        assert len(actions_of_type(driver.feed(done), Cancel)) == hedges


def test_each_further_attempt_is_booked() -> None:
    driver = Driver(fleet(8))
    before = driver.balancer.retry_budget.tokens
    send = sends(driver.ask())[0]
    assert sends(driver.end(send, Outcome.CONNECT_FAILED))
    assert driver.balancer.retry_budget.tokens == before - 1.0
