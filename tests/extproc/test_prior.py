"""Retries after a restart: the decision module applies the retry rules to the proven earlier attempt."""

from __future__ import annotations

from dataclasses import replace

import pytest

from garnethaven.interface import (
    Action,
    Fail,
    ListKind,
    Membership,
    Outcome,
    PriorAttempt,
    Refuse,
    Send,
    State,
)
from tests.helpers import MS, Driver, S, actions_of_type, fleet, sends

SAFE, FRAGILE, CELLED, DEDUP_EVERYWHERE = range(4)


def ask_with_prior(prior: PriorAttempt, grade: int) -> list[Action]:
    return Driver(fleet(8)).ask(grade=grade, prior=prior, budget=2 * S)


def test_a_keyed_request_goes_to_the_rack_that_drops_its_repeat() -> None:
    for _ in range(5):
        (send,) = sends(ask_with_prior(PriorAttempt(endpoint=3, zone=0, cell=1, age=500 * MS), CELLED))
        assert send.endpoint in (3, 4)


def test_also_where_the_server_is_gone() -> None:
    (send,) = sends(ask_with_prior(PriorAttempt(endpoint=99, zone=0, cell=2, age=500 * MS), CELLED))
    assert send.endpoint in (5, 6)


@pytest.mark.parametrize(
    ("grade", "prior"),
    [
        (
            CELLED,
            PriorAttempt(endpoint=3, zone=0, cell=1, age=3 * S),
        ),  # past the deduplication window of the cell
        (CELLED, PriorAttempt(endpoint=3, zone=0, cell=77, age=S)),  # no server of that cell is left
        (CELLED, PriorAttempt()),
        (FRAGILE, PriorAttempt(endpoint=3, zone=0, cell=1, age=S)),
        (FRAGILE, PriorAttempt()),
        (DEDUP_EVERYWHERE, PriorAttempt(endpoint=3, zone=0, cell=1, age=S)),
    ],
)
def test_what_may_not_be_repeated_is_neither_sent_nor_refused_unless_that_is_harmless(
    grade: int, prior: PriorAttempt
) -> None:
    actions = ask_with_prior(prior, grade)
    assert not actions_of_type(actions, Send)
    if grade == DEDUP_EVERYWHERE:  # all servers deduplicate it, so a client's retry after a refusal is safe
        assert actions_of_type(actions, Refuse)
    else:
        assert actions_of_type(actions, Fail) and not actions_of_type(actions, Refuse)


def test_a_safe_request_goes_anywhere() -> None:
    assert sends(ask_with_prior(PriorAttempt(), SAFE))


def test_an_end_that_proves_nothing_ran_does_not_unprove_the_earlier_attempt() -> None:
    driver = Driver(fleet(8))
    (send,) = sends(driver.ask(grade=CELLED, prior=PriorAttempt(endpoint=3, zone=0, cell=1, age=100 * MS)))
    assert send.endpoint == 4
    actions = driver.end(send, Outcome.CONNECT_FAILED, attempt=1)
    assert actions_of_type(actions, Fail) and not actions_of_type(actions, Refuse)


def test_a_server_that_drains_by_now_takes_no_repeat() -> None:
    for state in (State.DRAINING, State.REMOVED):
        driver = Driver(fleet(8))
        changed = tuple(replace(entry, state=state) for entry in fleet(4)[2:])
        driver.feed(Membership(ListKind.DELTA, changed))
        actions = driver.ask(grade=CELLED, prior=PriorAttempt(endpoint=3, zone=0, cell=1, age=100 * MS))
        assert actions_of_type(actions, Fail) and not sends(actions)
