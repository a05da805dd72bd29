"""Who keeps a connection while places are scarce: the decisions alone, by a clock of the test's own."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import pytest

from garnethaven.limits.places import CALM_WAIT_S, EASE, FIRST_S, FULL, TIGHT_WAIT_S, Places, Usage


@dataclass
class One:
    name: str
    usage: Usage = field(default_factory=lambda: Usage(0.0))


def used(name: str, times: list[float], places: Places) -> One:
    """A connection that came at the first of the times and was answered at each further one at once."""
    one = One(name, Usage(times[0]))
    for at in times[1:]:
        places.asks(one.usage, at)
        one.usage.since = at
    return one


def test_no_connection_is_closed_while_half_of_the_places_are_free() -> None:
    places = Places(ours=160, theirs=128)
    idle = [used(f"c{n}", [0.0, 0.1], places) for n in range(64)]
    assert places.to_close(idle, held=64, now=1000.0) == []
    assert not places.ends_with_answer(idle[0].usage, held=64, now=1000.0)
    assert places.worth_keeping_s(64) == pytest.approx(CALM_WAIT_S)


def test_the_smaller_side_is_the_limit() -> None:
    assert Places(ours=160, theirs=128).most == 128
    assert Places(ours=100, theirs=128).most == 100
    assert Places(ours=160).most == 160


def test_places_need_a_positive_count() -> None:
    with pytest.raises(ValueError, match="0 here"):
        Places(0)


def test_those_that_asked_once_and_stay_go_before_those_that_come_round() -> None:
    places = Places(100)
    usual = [used(f"u{n}", [0.0, 1.0, 1.2, 1.4, 1.6, 1.8], places) for n in range(10)]
    once = [used(f"o{n}", [0.0, 0.5], places) for n in range(70)]
    closed = places.to_close(usual + once, held=80, now=2.0)
    assert closed
    assert {one.name[0] for one in closed} == {"o"}


def test_silent_connections_press_on_one_another_only() -> None:
    places = Places(100)
    asked = [used(f"a{n}", [0.0, 0.1], places) for n in range(10)]
    silent = [One(f"s{n}", Usage(0.0)) for n in range(90)]
    closed = places.to_close(asked + silent, held=100, now=0.9)
    assert len(closed) >= 50
    assert {one.name[0] for one in closed} == {"s"}


def test_a_request_that_may_be_crossing_is_spared() -> None:
    places = Places(100)
    for _ in range(500):
        places.gone(used("x", [0.0, 0.1], places).usage, 5.0)
    idle = [used(f"o{n}", [0.0, 9.999], places) for n in range(100)]
    assert places.to_close(idle, held=100, now=10.0) == []
    assert places.to_close(idle, held=100, now=10.2)


def test_one_that_has_just_come_is_spared_until_its_first_request_must_have_come() -> None:
    places = Places(100)
    new = [One(f"n{n}", Usage(10.0)) for n in range(100)]
    assert places.to_close(new, held=100, now=10.05) == []  # all came at once, and write one after the other
    assert places.may_be_asking(new[0].usage, 10.0 + FIRST_S / 2)
    assert places.to_close(new, held=100, now=10.01 + FIRST_S)


def test_expected_back_within_a_second_is_spared_below_full_pressure() -> None:
    places = Places(100)
    soon = [used(f"u{n}", [0.0, 1.0, 1.9], places) for n in range(80)]  # gaps of 0.9 s
    assert places.to_close(soon, held=80, now=2.4) == []
    assert places.to_close(soon, held=86, now=2.4)


def test_an_answer_ends_its_connection_once_such_connections_are_seen_not_to_return() -> None:
    places = Places(100)
    fresh = used("f", [0.0, 1.0], places)
    assert not places.ends_with_answer(fresh.usage, held=95, now=1.0)
    for _ in range(300):
        places.gone(used("x", [0.0, 1.0], places).usage, 4.0)
    ended = [places.ends_with_answer(fresh.usage, held=95, now=1.0) for _ in range(16)]
    assert ended.count(True) == 14  # the others are kept to learn whether they return by now
    assert not places.ends_with_answer(fresh.usage, held=40, now=1.0)


def test_the_share_that_returns_recovers_when_clients_come_round_again() -> None:
    places = Places(100)
    for _ in range(500):
        places.gone(used("x", [0.0, 1.0], places).usage, 4.0)
    low = places.returning
    for _ in range(300):
        used("u", [0.0, 1.0, 1.1], places)
    assert low < 0.05
    assert places.returning > 0.9


def test_one_that_was_turned_away_is_worth_less() -> None:
    places = Places(100)
    good, bad = used("g", [0.0, 1.0], places), used("b", [0.0, 1.0], places)
    bad.usage.turned_away = 1
    assert places.expected_wait(bad.usage, 1.5) > places.expected_wait(good.usage, 1.5)


@pytest.mark.parametrize("seed", range(8))
def test_usual_clients_find_places_among_those_that_ask_once_and_stay(seed: int) -> None:
    """A front of 128 places, 100 clients a second that ask once and stay, 30 that come round.

    With connections kept for `CALM_WAIT_S` the first would hold 600 places.
    """
    rng = random.Random(seed)
    places, held, now, missed, closed_usual = Places(160, 128), [], 0.0, 0, 0
    usual = [One(f"u{n}", Usage(0.0)) for n in range(30)]
    held = list(usual)
    due = {one.name: rng.uniform(0.0, 0.3) for one in usual}
    while now < 20.0:
        now += 0.01
        for _ in range(rng.choice((0, 1, 2))):
            if len(held) >= 128:
                missed += 1
                continue
            one = used("o", [now, now], places)
            if not places.ends_with_answer(one.usage, len(held), now):
                held.append(one)
        for one in usual:
            if due[one.name] <= now:
                due[one.name] = now + rng.uniform(0.1, 0.4)
                places.asks(one.usage, now)
                one.usage.since = now
        for one in places.to_close(held, len(held), now):
            closed_usual += one.name != "o"
            held.remove(one)
    assert missed == 0, seed
    assert closed_usual == 0, seed
    assert len(held) <= FULL * 128
    assert places.pressure(len(held)) < 1.0


def test_pressure_runs_from_ease_to_full() -> None:
    places = Places(100)
    assert places.pressure(int(EASE * 100)) == 0.0
    assert places.pressure(int(FULL * 100)) == 1.0
    assert places.worth_keeping_s(100) == pytest.approx(TIGHT_WAIT_S)
