"""Unmarked retries that arrive too late to be useful are recognized by the time budget they have left."""

from __future__ import annotations

from dataclasses import replace

from garnethaven.interface import ClientLeft, Outcome, Refuse
from tests.helpers import MS, RETRYABLE, SETTINGS, Driver, S, actions_of_type, fleet, sends

PROMPT = replace(RETRYABLE, late_value=0.0)  # an answer after the latency target has no value
LASTING = replace(RETRYABLE, late_value=0.25)
PROMPT_CLASS, LASTING_CLASS = 0, 1
FIRST_ATTEMPT_TIMEOUT = 1_600 * MS  # client timeout of a first attempt; the deadline is 2 s


def sidecar() -> Driver:
    driver = Driver(fleet(8), replace(SETTINGS, request_classes=(PROMPT, LASTING)))
    for request_class in (PROMPT_CLASS, LASTING_CLASS):
        driver.serve(grade=request_class, budget=FIRST_ATTEMPT_TIMEOUT)
    return driver


def refuse_one(driver: Driver) -> None:
    """Leave one request unserved: its server fails and the retry budget allows no further attempt."""
    driver.balancer.retry_budget.tokens = 0.0
    send = sends(driver.ask(budget=FIRST_ATTEMPT_TIMEOUT))[0]
    assert actions_of_type(driver.end(send, Outcome.ERROR), Refuse)


def test_one_past_its_aim_is_refused_and_takes_no_servers_room() -> None:
    driver = sidecar()
    refuse_one(driver)
    # 0.6 s of its 2 s are over, and the latency target is 0.5 s.
    actions = driver.ask(PROMPT_CLASS, budget=1_400 * MS)
    assert not sends(actions)
    assert len(actions_of_type(actions, Refuse)) == 1


def test_one_before_its_aim_is_sent_as_a_first_try_is() -> None:
    driver = sidecar()
    refuse_one(driver)
    driver.balancer.max_client_budgets[PROMPT_CLASS] = 2 * S  # clients use the whole deadline as timeout
    (send,) = sends(driver.ask(PROMPT_CLASS, budget=1_700 * MS))
    assert send.timeout == PROMPT.target


def test_one_whose_late_answer_has_worth_is_sent() -> None:
    driver = sidecar()
    refuse_one(driver)
    assert sends(driver.ask(LASTING_CLASS, budget=1_400 * MS))


def test_where_all_were_served_less_time_means_no_retry() -> None:
    driver = sidecar()
    assert sends(driver.ask(PROMPT_CLASS, budget=1_400 * MS))


def test_where_the_last_unserved_is_past_its_deadline_less_time_means_no_retry() -> None:
    driver = sidecar()
    refuse_one(driver)
    assert sends(driver.ask(PROMPT_CLASS, after=PROMPT.deadline, budget=1_400 * MS))


def test_where_clients_mark_their_retries_an_unmarked_one_is_none() -> None:
    driver = sidecar()
    driver.ask(LASTING_CLASS, budget=1_500 * MS, is_retry=True)
    refuse_one(driver)
    assert sends(driver.ask(PROMPT_CLASS, budget=1_400 * MS))


def test_a_client_that_gave_its_try_up_may_come_again() -> None:
    driver = sidecar()
    send = sends(driver.ask(budget=FIRST_ATTEMPT_TIMEOUT))[0]
    driver.feed(ClientLeft(send.id), 300 * MS)
    assert not sends(driver.ask(PROMPT_CLASS, budget=1_400 * MS))


def test_refusing_those_that_come_too_late_does_not_go_on_by_itself() -> None:
    driver = sidecar()
    refuse_one(driver)
    sent = [len(sends(driver.ask(PROMPT_CLASS, after=100 * MS, budget=1_400 * MS))) for _ in range(30)]
    assert sent[:19] == [0] * 19  # until the deadline of the unserved request, 2 s
    assert sent[19:] == [1] * 11
