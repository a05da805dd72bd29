"""Round-robin as a tree, compared with the plain algorithm: shares, seeds, changes of weight."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from garnethaven.weighted_round_robin import FAN_OUT, WeightedRoundRobin


def plain_counts(weights: list[float], picks: int) -> list[int]:
    """Return the picks per server of the published smooth weighted round-robin."""
    total, current_weights, counts = sum(weights), [0.0] * len(weights), [0] * len(weights)
    for _ in range(picks):
        for index, weight in enumerate(weights):
            current_weights[index] += weight / total
        best = max(range(len(weights)), key=lambda index: current_weights[index])
        current_weights[best] -= 1.0
        counts[best] += 1
    return counts


def scheduler_with(weights: list[float]) -> WeightedRoundRobin:
    scheduler = WeightedRoundRobin(len(weights))
    scheduler.set_weights(weights)
    return scheduler


@settings(deadline=None, max_examples=60)
@given(st.lists(st.floats(0.01, 50.0), min_size=1, max_size=120), st.integers(1, 400))
def test_over_any_run_every_seat_is_within_two_turns_of_its_share_and_of_the_plain_walk(
    weights: list[float], picks: int
) -> None:
    scheduler, total = scheduler_with(weights), sum(weights)
    counts = [0] * len(weights)
    for pick_count in range(1, picks + 1):
        leaf = scheduler.pick()
        assert leaf is not None
        counts[leaf] += 1
        if pick_count % 37 == 0 or pick_count == picks:
            for count, weight in zip(counts, weights, strict=True):
                assert abs(count - pick_count * weight / total) <= 2.0
    for count, plain_count in zip(counts, plain_counts(weights, picks), strict=True):
        assert abs(count - plain_count) <= 2


@pytest.mark.parametrize("size", [1, 2, FAN_OUT, FAN_OUT + 1, FAN_OUT * FAN_OUT, 500, 5000])
def test_equal_weights_are_visited_evenly(size: int) -> None:
    scheduler = scheduler_with([1.0] * size)
    counts = [0] * size
    for _ in range(3 * size):
        leaf = scheduler.pick()
        assert leaf is not None
        counts[leaf] += 1
    assert min(counts) >= 1 and max(counts) <= 5
    assert sum(counts) == 3 * size


def test_a_seat_without_weight_takes_no_turn_and_without_any_there_is_none() -> None:
    scheduler = scheduler_with([1.0, 0.0, 1.0] * 10)
    assert all(leaf is not None and leaf % 3 != 1 for leaf in (scheduler.pick() for _ in range(100)))
    assert scheduler_with([0.0] * 20).pick() is None
    assert WeightedRoundRobin(0).pick() is None


def test_a_weight_that_changes_is_followed_and_no_rounding_adds_up() -> None:
    rng = random.Random(4)
    weights = [1.0] * 200
    scheduler = scheduler_with(weights)
    for _ in range(2000):
        leaf = rng.randrange(200)
        weights[leaf] = rng.choice((0.0, 0.05, 1.0, 3.0))
        scheduler.set_weight(leaf, weights[leaf])
        scheduler.pick()
    assert scheduler.total() == pytest.approx(sum(weights))
    counts = [0] * 200
    for _ in range(20_000):
        leaf = scheduler.pick()  # type: ignore[assignment]
        counts[leaf] += 1
    for count, weight in zip(counts, weights, strict=True):
        assert abs(count - 20_000 * weight / sum(weights)) <= 4.0


def test_a_turn_out_of_order_is_booked() -> None:
    scheduler = scheduler_with([1.0] * 100)
    for _ in range(30):
        scheduler.charge(42)
    counts = [0] * 100
    for _ in range(3000 - 30):
        leaf = scheduler.pick()
        assert leaf is not None
        counts[leaf] += 1
    assert counts[42] <= 2
    assert min(counts[:40]) >= 27


def test_a_mark_goes_one_way_as_long_as_turns_allow() -> None:
    scheduler = scheduler_with([1.0] * 64)
    counts: dict[int, int] = {}
    for number in range(640):
        if number % 10 == 0:
            leaf = scheduler.pick(key_hash=12345, max_lead=0.8)
            assert leaf is not None
            counts[leaf] = counts.get(leaf, 0) + 1
        else:
            scheduler.pick()
    assert max(counts.values()) >= 5  # its even share is one


def test_equal_calls_give_equal_turns() -> None:
    first, second = scheduler_with([1.0, 2.0, 3.0] * 50), scheduler_with([1.0, 2.0, 3.0] * 50)
    assert [first.pick() for _ in range(500)] == [second.pick() for _ in range(500)]
