"""When servers started, whatever clocks say: orders of events walked in pure time."""

from __future__ import annotations

from itertools import product

import pytest

from garnethaven.recovery.start_times import LIST_LAG, MAX_LIVES, REMEMBERED, SECOND, StartTimes

NOW = 10_000 * SECOND
HOUR = 3600 * SECOND
A = 1


@pytest.mark.parametrize(
    ("claimed", "absent_at", "counts"),
    [
        (0, NOW, 0),
        (NOW - 2 * SECOND, NOW, NOW - 2 * SECOND),
        (NOW - LIST_LAG, NOW, NOW - LIST_LAG),
        (NOW - LIST_LAG - 1, NOW, NOW),
        (NOW - HOUR, NOW, NOW),
        (NOW + 1, NOW, NOW),
        (NOW + HOUR, None, NOW),
        (NOW - HOUR, None, NOW - HOUR),  # the first list: nothing to hold it against
        (NOW - 20 * SECOND, NOW - 15 * SECOND, NOW - 20 * SECOND),  # after an outage of discovery
        (NOW - 22 * SECOND, NOW - 15 * SECOND, NOW),
    ],
)
def test_a_claim_is_held_against_the_lists_before(claimed: int, absent_at: int | None, counts: int) -> None:
    assert StartTimes().judge(A, claimed, NOW, absent_at) == counts


def test_the_start_of_a_life_does_not_move() -> None:
    times = StartTimes()
    first = times.judge(A, NOW + HOUR, NOW, NOW)
    for later in range(1, 40):
        now = NOW + later * 30 * SECOND
        assert times.judge(A, NOW + HOUR, now, now) == first == NOW


def test_a_server_that_is_listed_again_keeps_its_start_for_a_while() -> None:
    times = StartTimes()
    times.judge(A, NOW - HOUR, NOW, None)
    times.leave_all_but([], NOW)
    times.forget_old(NOW + REMEMBERED - 1)
    assert times.judge(A, NOW - HOUR, NOW + REMEMBERED - 1, NOW) == NOW - HOUR
    times.leave(A, NOW + REMEMBERED)
    times.forget_old(NOW + 2 * REMEMBERED)
    late = NOW + 2 * REMEMBERED
    assert times.judge(A, NOW - HOUR, late, late) == late, "too cold costs a share, too warm a server"
    assert len(times.known) == 1 and not times.gone


def test_claims_that_go_back_make_no_server_older() -> None:
    times = StartTimes()
    times.judge(A, NOW - 50 * SECOND, NOW - 20 * SECOND, None)
    assert times.judge(A, NOW - 2 * SECOND, NOW, NOW) == NOW - 2 * SECOND
    assert times.judge(A, NOW - 50 * SECOND, NOW + SECOND, NOW + SECOND) == NOW - 2 * SECOND
    assert times.judge(A, 0, NOW + 2 * SECOND, NOW + 2 * SECOND) == NOW - 2 * SECOND


def test_a_start_before_this_machine_was_booted_is_told_from_long_ago() -> None:
    times = StartTimes()
    assert times.judge(A, 0, NOW, None) == 0
    assert times.judge(A, -HOUR, NOW, None) == -HOUR
    assert times.judge(A, 0, NOW + SECOND, NOW) == -HOUR


def test_one_that_starts_again_and_again_holds_little_memory() -> None:
    times = StartTimes()
    for number in range(1000):
        now = NOW + number * SECOND
        assert times.judge(A, now, now, now) == now
    assert len(times.known[A].starts) == MAX_LIVES


def test_no_order_of_events_makes_a_started_server_older_than_it_is_by_more_than_the_lag() -> None:
    """A server restarts; lists come by fetch or watch, some are missed, its clock is wrong by `skew`."""
    played = 0
    skews = [0, -10 * SECOND, 10 * SECOND, -HOUR, HOUR, -LIST_LAG // 2]
    steps = ["watch", "fetch", "missed", "left out"]
    for skew, first, order in product(skews, (0, 1), product(steps, repeat=5)):
        times = StartTimes()
        now = NOW
        answered_at: int | None = None
        bounded: bool | None = None
        life_began = NOW - HOUR if first else NOW - 2 * SECOND
        if first:  # an earlier list names the life before
            times.judge(A, NOW - HOUR, NOW, None)
            answered_at, life_began = NOW, NOW + SECOND // 2
        for step in order:
            now += 3 * SECOND
            if step == "missed":
                continue
            absent_at = now if step == "watch" and answered_at is not None else answered_at
            if step == "left out":
                times.leave_all_but([], now)
            else:
                counts = times.judge(A, life_began + skew, now, absent_at)
                assert counts <= now
                if bounded is None:  # by a list that did not name it, unless the first list of all does
                    bounded = answered_at is not None
                if bounded:
                    assert counts >= life_began - LIST_LAG, (skew, first, order)
                played += 1
            answered_at = now
            times.forget_old(now)
    assert played > 10_000
