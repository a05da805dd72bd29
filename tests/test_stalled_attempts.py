"""Decisions about attempts whose answers have begun and pause."""

from __future__ import annotations

from dataclasses import replace

import pytest

from garnethaven.interface import (
    Action,
    AttemptResumed,
    AttemptStalled,
    Cancel,
    Fail,
    Outcome,
    Refuse,
    Send,
    SetTimer,
    StreamBegan,
    TimerFired,
)
from tests.helpers import MS, SETTINGS, Driver, S, actions_of_type, fleet, sends

RETRYABLE, FRAGILE, DEDUP_IN_CELL = 0, 1, 2
ONE_AT_A_TIME = replace(SETTINGS, hedging=False)


def start(driver: Driver, class_index: int) -> Send:
    (send,) = sends(driver.ask(class_index))
    return send


def stall(driver: Driver, send: Send, attempt: int = 0) -> list[Action]:
    return driver.feed(AttemptStalled(send.id, attempt), after=300 * MS)


def fire_last_timer(driver: Driver, actions: list[Action]) -> list[Action]:
    timer = actions_of_type(actions, SetTimer)[-1]
    assert isinstance(timer, SetTimer)
    return driver.feed(TimerFired(timer.token), after=timer.delay)


def ended(actions: list[Action]) -> bool:
    return bool(actions_of_type(actions, Fail) + actions_of_type(actions, Refuse))


@pytest.mark.parametrize("class_index", [RETRYABLE, DEDUP_IN_CELL])
def test_another_server_is_asked_beside_a_stalled_attempt(class_index: int) -> None:
    driver = Driver(fleet(4))
    first = start(driver, class_index)
    actions = stall(driver, first)
    (second,) = sends(actions)
    assert second.endpoint != first.endpoint
    assert not actions_of_type(actions, Cancel)
    if class_index == DEDUP_IN_CELL:
        assert (second.endpoint - 1) // 2 == (first.endpoint - 1) // 2
    assert driver.balancer.servers[first.endpoint].errors == 1.0


def test_a_request_that_may_not_be_repeated_waits_for_its_stalled_attempt() -> None:
    driver = Driver(fleet(4))
    first = start(driver, FRAGILE)
    actions = stall(driver, first)
    assert not sends(actions) and not ended(actions)
    assert driver.end(first, Outcome.DONE) == []
    assert driver.balancer.servers[first.endpoint].errors == 0.0


def test_the_attempts_stay_within_their_limit() -> None:
    driver = Driver(fleet(9))
    first = start(driver, RETRYABLE)
    count = 1
    for number in range(9):
        count += len(sends(stall(driver, first, min(number, count - 1))))
    assert count == SETTINGS.max_attempts


def test_the_retry_budget_holds_for_attempts_beside_a_stalled_one() -> None:
    driver = Driver(fleet(4))
    driver.balancer.retry_budget.tokens = 0.0
    first = start(driver, RETRYABLE)
    actions = stall(driver, first)
    assert not sends(actions) and not ended(actions)


def test_a_request_goes_on_while_a_stalled_attempt_is_open() -> None:
    driver = Driver(fleet(2))
    first = start(driver, RETRYABLE)
    (second,) = sends(stall(driver, first))
    actions = driver.end(second, Outcome.RESET, attempt=1)
    while sends(actions):  # the same server may be asked once more
        assert len(driver.balancer.pending_requests[first.id].attempts) <= SETTINGS.max_attempts
        number = len(driver.balancer.pending_requests[first.id].attempts) - 1
        actions = driver.end(sends(actions)[0], Outcome.RESET, attempt=number)
    assert not ended(actions)
    assert ended(driver.end(first, Outcome.RESET))


def test_a_failed_attempt_is_retried_beside_a_stalled_one_but_not_beside_one_that_goes_on() -> None:
    driver = Driver(fleet(6))
    first = start(driver, RETRYABLE)
    (second,) = sends(stall(driver, first))
    (third,) = sends(driver.end(second, Outcome.RESET, attempt=1))
    driver.feed(AttemptResumed(first.id, 0))
    assert driver.end(third, Outcome.RESET, attempt=2) == []


def test_nothing_is_sent_beside_an_answer_that_streams_or_a_body_that_is_being_received() -> None:
    driver = Driver(fleet(4))
    first = start(driver, RETRYABLE)
    driver.feed(StreamBegan(first.id, 0))
    assert stall(driver, first) == []
    (upload,) = sends(driver.ask(RETRYABLE, body_incomplete=True))
    assert stall(driver, upload) == []


def test_a_stalled_attempt_is_replaced_late_where_only_one_may_be_open() -> None:
    driver = Driver(fleet(4), ONE_AT_A_TIME)
    for _ in range(20):
        driver.serve()  # 20 ms each
    first = start(driver, RETRYABLE)
    actions = stall(driver, first)
    assert not sends(actions) and not actions_of_type(actions, Cancel)
    actions = fire_last_timer(driver, actions)
    (cancel,) = actions_of_type(actions, Cancel)
    assert isinstance(cancel, Cancel) and cancel.attempt == 0
    (second,) = sends(actions)
    assert actions.index(cancel) < actions.index(second)
    assert second.endpoint != first.endpoint
    assert 20 * MS <= second.timeout <= 200 * MS  # late, and in time
    assert driver.balancer.servers[second.endpoint].errors == 0.0


@pytest.mark.parametrize("class_index", [FRAGILE, DEDUP_IN_CELL])
def test_a_stalled_attempt_that_nothing_may_replace_is_kept(class_index: int) -> None:
    driver = Driver(fleet(4 if class_index == FRAGILE else 1), ONE_AT_A_TIME)
    first = start(driver, class_index)
    driver.balancer.retry_budget.tokens = 0.0 if class_index == DEDUP_IN_CELL else 100.0
    actions = stall(driver, first)
    assert not actions_of_type(fire_last_timer(driver, actions), Cancel)
    assert driver.balancer.pending_requests[first.id].attempts[0].open


def test_an_attempt_that_goes_on_is_not_replaced() -> None:
    driver = Driver(fleet(4), ONE_AT_A_TIME)
    first = start(driver, RETRYABLE)
    actions = stall(driver, first)
    driver.feed(AttemptResumed(first.id, 0))
    assert not sends(fire_last_timer(driver, actions))


def test_what_is_told_of_a_request_that_has_ended_is_ignored() -> None:
    driver = Driver(fleet(4))
    first = start(driver, RETRYABLE)
    driver.end(first, Outcome.DONE)
    assert stall(driver, first) == []
    assert driver.feed(AttemptResumed(first.id, 0), after=S) == []
