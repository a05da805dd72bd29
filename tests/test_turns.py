"""Turns as a tree against the plain walk: shares, seeds, changes of weight."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from garnethaven.turns import FAN_OUT, Turns


def plain(weights: list[float], picks: int) -> list[int]:
    """Smooth weighted round-robin as it is published, over all servers."""
    total, tallies, counts = sum(weights), [0.0] * len(weights), [0] * len(weights)
    for _ in range(picks):
        for number, weight in enumerate(weights):
            tallies[number] += weight / total
        best = max(range(len(weights)), key=lambda number: tallies[number])
        tallies[best] -= 1.0
        counts[best] += 1
    return counts


def made(weights: list[float]) -> Turns:
    turns = Turns(len(weights))
    turns.set_weights(weights)
    return turns


@settings(deadline=None, max_examples=60)
@given(st.lists(st.floats(0.01, 50.0), min_size=1, max_size=120), st.integers(1, 400))
def test_over_any_run_every_seat_is_within_two_turns_of_its_share_and_of_the_plain_walk(
    weights: list[float], picks: int
) -> None:
    turns, total = made(weights), sum(weights)
    counts = [0] * len(weights)
    for done in range(1, picks + 1):
        seat = turns.pick()
        assert seat is not None
        counts[seat] += 1
        if done % 37 == 0 or done == picks:
            for count, weight in zip(counts, weights, strict=True):
                assert abs(count - done * weight / total) <= 2.0
    for count, other in zip(counts, plain(weights, picks), strict=True):
        assert abs(count - other) <= 2


@pytest.mark.parametrize("size", [1, 2, FAN_OUT, FAN_OUT + 1, FAN_OUT * FAN_OUT, 500, 5000])
def test_equal_weights_are_visited_evenly(size: int) -> None:
    turns = made([1.0] * size)
    counts = [0] * size
    for _ in range(3 * size):
        seat = turns.pick()
        assert seat is not None
        counts[seat] += 1
    assert min(counts) >= 1 and max(counts) <= 5
    assert sum(counts) == 3 * size


def test_a_seat_without_weight_takes_no_turn_and_without_any_there_is_none() -> None:
    turns = made([1.0, 0.0, 1.0] * 10)
    assert all(seat is not None and seat % 3 != 1 for seat in (turns.pick() for _ in range(100)))
    assert made([0.0] * 20).pick() is None
    assert Turns(0).pick() is None


def test_a_weight_that_changes_is_followed_and_no_rounding_adds_up() -> None:
    rng = random.Random(4)
    weights = [1.0] * 200
    turns = made(weights)
    for _ in range(2000):
        seat = rng.randrange(200)
        weights[seat] = rng.choice((0.0, 0.05, 1.0, 3.0))
        turns.set_weight(seat, weights[seat])
        turns.pick()
    assert turns.total() == pytest.approx(sum(weights))
    counts = [0] * 200
    for _ in range(20_000):
        seat = turns.pick()  # type: ignore[assignment]
        counts[seat] += 1
    for count, weight in zip(counts, weights, strict=True):
        assert abs(count - 20_000 * weight / sum(weights)) <= 4.0


def test_a_turn_out_of_order_is_booked() -> None:
    turns = made([1.0] * 100)
    for _ in range(30):
        turns.charge(42)
    counts = [0] * 100
    for _ in range(3000 - 30):
        seat = turns.pick()
        assert seat is not None
        counts[seat] += 1
    assert counts[42] <= 2
    assert min(counts[:40]) >= 27


def test_a_mark_goes_one_way_as_long_as_turns_allow() -> None:
    turns = made([1.0] * 64)
    counts: dict[int, int] = {}
    for number in range(640):
        if number % 10 == 0:
            seat = turns.pick(key_hash=12345, max_lead=0.8)
            assert seat is not None
            counts[seat] = counts.get(seat, 0) + 1
        else:
            turns.pick()
    assert max(counts.values()) >= 5  # its even part is one


def test_equal_calls_give_equal_turns() -> None:
    one, other = made([1.0, 2.0, 3.0] * 50), made([1.0, 2.0, 3.0] * 50)
    assert [one.pick() for _ in range(500)] == [other.pick() for _ in range(500)]
