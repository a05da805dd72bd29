"""Effective start times of servers whose clocks are wrong or stepped, over simulated sequences of lists."""

from __future__ import annotations

from itertools import product

import pytest

from garnethaven.recovery.start_times import (
    MAX_DISCOVERY_LAG_NS,
    MAX_STARTS_PER_SERVER,
    RETENTION_NS,
    SECOND,
    StartTimes,
)

NOW = 10_000 * SECOND
HOUR = 3600 * SECOND
SERVER_ID = 1


@pytest.mark.parametrize(
    ("claimed", "absent_at", "counts"),
    [
        (0, NOW, 0),
        (NOW - 2 * SECOND, NOW, NOW - 2 * SECOND),
        (NOW - MAX_DISCOVERY_LAG_NS, NOW, NOW - MAX_DISCOVERY_LAG_NS),
        (NOW - MAX_DISCOVERY_LAG_NS - 1, NOW, NOW),
        (NOW - HOUR, NOW, NOW),
        (NOW + 1, NOW, NOW),
        (NOW + HOUR, None, NOW),
        (NOW - HOUR, None, NOW - HOUR),  # first list: there is no earlier one to compare with
        (NOW - 20 * SECOND, NOW - 15 * SECOND, NOW - 20 * SECOND),  # after an outage of discovery
        (NOW - 22 * SECOND, NOW - 15 * SECOND, NOW),
    ],
)
def test_a_claim_is_held_against_the_lists_before(claimed: int, absent_at: int | None, counts: int) -> None:
    assert StartTimes().effective_start(SERVER_ID, claimed, NOW, absent_at) == counts


def test_the_start_of_a_life_does_not_move() -> None:
    times = StartTimes()
    first = times.effective_start(SERVER_ID, NOW + HOUR, NOW, NOW)
    for later in range(1, 40):
        now = NOW + later * 30 * SECOND
        assert times.effective_start(SERVER_ID, NOW + HOUR, now, now) == first == NOW


def test_a_server_that_is_listed_again_keeps_its_start_for_a_while() -> None:
    times = StartTimes()
    times.effective_start(SERVER_ID, NOW - HOUR, NOW, None)
    times.mark_unlisted_except([], NOW)
    times.drop_expired(NOW + RETENTION_NS - 1)
    assert times.effective_start(SERVER_ID, NOW - HOUR, NOW + RETENTION_NS - 1, NOW) == NOW - HOUR
    times.mark_unlisted(SERVER_ID, NOW + RETENTION_NS)
    times.drop_expired(NOW + 2 * RETENTION_NS)
    late = NOW + 2 * RETENTION_NS
    assert times.effective_start(SERVER_ID, NOW - HOUR, late, late) == late, (
        "a server taken for too cold costs a share of its capacity, one taken for too warm fails"
    )
    assert len(times.servers) == 1 and not times.unlisted


def test_claims_that_go_back_make_no_server_older() -> None:
    times = StartTimes()
    times.effective_start(SERVER_ID, NOW - 50 * SECOND, NOW - 20 * SECOND, None)
    assert times.effective_start(SERVER_ID, NOW - 2 * SECOND, NOW, NOW) == NOW - 2 * SECOND
    assert times.effective_start(SERVER_ID, NOW - 50 * SECOND, NOW + SECOND, NOW + SECOND) == NOW - 2 * SECOND
    assert times.effective_start(SERVER_ID, 0, NOW + 2 * SECOND, NOW + 2 * SECOND) == NOW - 2 * SECOND


def test_a_start_before_this_machine_was_booted_is_told_from_long_ago() -> None:
    times = StartTimes()
    assert times.effective_start(SERVER_ID, 0, NOW, None) == 0
    assert times.effective_start(SERVER_ID, -HOUR, NOW, None) == -HOUR
    assert times.effective_start(SERVER_ID, 0, NOW + SECOND, NOW) == -HOUR


def test_one_that_starts_again_and_again_holds_little_memory() -> None:
    times = StartTimes()
    for number in range(1000):
        now = NOW + number * SECOND
        assert times.effective_start(SERVER_ID, now, now, now) == now
    assert len(times.servers[SERVER_ID].starts) == MAX_STARTS_PER_SERVER


def test_no_order_of_events_makes_a_started_server_older_than_it_is_by_more_than_the_lag() -> None:
    """A server restarts with its clock wrong by `skew`; lists come by fetch or watch, some are lost."""
    checked = 0
    skews = [0, -10 * SECOND, 10 * SECOND, -HOUR, HOUR, -MAX_DISCOVERY_LAG_NS // 2]
    steps = ["watch", "fetch", "missed", "left out"]
    for skew, listed_before, order in product(skews, (0, 1), product(steps, repeat=5)):
        times = StartTimes()
        now = NOW
        answered_at: int | None = None
        bounded: bool | None = None
        started_at = NOW - HOUR if listed_before else NOW - 2 * SECOND
        if listed_before:  # an earlier list names the previous incarnation
            times.effective_start(SERVER_ID, NOW - HOUR, NOW, None)
            answered_at, started_at = NOW, NOW + SECOND // 2
        for step in order:
            now += 3 * SECOND
            if step == "missed":
                continue
            absent_at = now if step == "watch" and answered_at is not None else answered_at
            if step == "left out":
                times.mark_unlisted_except([], now)
            else:
                effective = times.effective_start(SERVER_ID, started_at + skew, now, absent_at)
                assert effective <= now
                # A list without the server bounds its start, unless the very first list names it.
                if bounded is None:
                    bounded = answered_at is not None
                if bounded:
                    assert effective >= started_at - MAX_DISCOVERY_LAG_NS, (skew, listed_before, order)
                checked += 1
            answered_at = now
            times.drop_expired(now)
    assert checked > 10_000
