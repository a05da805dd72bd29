"""How long a watch may be silent, when to ask out of turn, which answer to believe."""

from __future__ import annotations

import heapq
import random

import pytest

from garnethaven.limits.lists import (
    BEHIND_MOST,
    DOUBLE_S,
    EVIDENCE_S,
    WAIT_LEAST_S,
    WAIT_MOST_S,
    Evidence,
    FreshList,
    Verdict,
)


def test_a_small_fleet_renews_its_watch_often_and_a_large_one_seldom() -> None:
    assert FreshList(3, 10.0).wait_s == WAIT_LEAST_S
    assert FreshList(133, 10.0).wait_s == WAIT_MOST_S
    assert FreshList(3, 10.0).wait_s < FreshList(30, 10.0).wait_s < FreshList(133, 10.0).wait_s
    assert FreshList(3, 0.0).wait_s == WAIT_MOST_S  # what discovery can do is not told


def test_a_silent_call_is_doubled_before_news_counts_as_told() -> None:
    assert DOUBLE_S < 2.0 / 2  # so that the call beside it may be repeated once (test_call_schedule.py)


def test_one_server_is_no_evidence_however_often_it_fails() -> None:
    fresh = FreshList(3, 10.0)
    assert {fresh.contradicted(1.0 + n / 10, 7, Evidence.REFUSED_DIAL) for n in range(50)} == {None}


@pytest.mark.parametrize(
    ("kinds", "enough"),
    [
        ((Evidence.REFUSED_DIAL, Evidence.REFUSED_DIAL), True),
        ((Evidence.RESET, Evidence.RESET), True),
        ((Evidence.TURNED_AWAY, Evidence.TURNED_AWAY), False),
        ((Evidence.TURNED_AWAY, Evidence.TURNED_AWAY, Evidence.TURNED_AWAY), True),
        ((Evidence.TURNED_AWAY, Evidence.REFUSED_DIAL), True),
    ],
)
def test_evidence_of_several_servers_is_worth_a_call(kinds: tuple[Evidence, ...], enough: bool) -> None:
    fresh = FreshList(3, 10.0)
    asked = [fresh.contradicted(1.0 + n / 10, n, kind) is not None for n, kind in enumerate(kinds)]
    assert asked == [False] * (len(kinds) - 1) + [enough]


def test_old_evidence_is_forgotten() -> None:
    fresh = FreshList(3, 10.0)
    assert fresh.contradicted(1.0, 1, Evidence.REFUSED_DIAL) is None
    assert fresh.contradicted(1.1 + EVIDENCE_S, 2, Evidence.REFUSED_DIAL) is None


def test_a_small_fleet_asks_at_once_and_a_large_one_spreads_its_calls() -> None:
    def delays(size: int) -> list[float]:
        found = []
        for seed in range(40):
            fresh = FreshList(size, 10.0, seed)
            fresh.contradicted(1.0, 1, Evidence.REFUSED_DIAL)
            found.append(fresh.contradicted(1.1, 2, Evidence.REFUSED_DIAL))
        return [delay for delay in found if delay is not None]

    assert max(delays(3)) <= 0.1
    assert max(delays(1200)) > 15.0 > 3.0 > min(delays(1200))


def test_news_that_came_first_makes_the_call_needless() -> None:
    fresh = FreshList(1200, 10.0)
    fresh.contradicted(1.0, 1, Evidence.REFUSED_DIAL)
    assert fresh.contradicted(1.1, 2, Evidence.REFUSED_DIAL) is not None
    fresh.judge(1.2, 0, True, 5)  # nothing new
    assert fresh.still_wanted()
    fresh.judge(1.3, 9, False, 1)
    assert not fresh.still_wanted()


def calls_for_evidence(fresh: FreshList, seconds: float, changes: bool) -> int:
    """Evidence without end, ten times a second; each call is answered with news or without."""
    calls = 0
    for step in range(int(seconds * 10)):
        now = 1.0 + step / 10
        if fresh.contradicted(now, step % 5, Evidence.REFUSED_DIAL) is not None:
            calls += 1
            fresh.judge(now, fresh.revision + (1 if changes else 0), True, 5)
    return calls


def test_calls_that_explain_nothing_become_rarer() -> None:
    explained = calls_for_evidence(FreshList(3, 10.0), 60.0, changes=True)
    unexplained = calls_for_evidence(FreshList(3, 10.0), 60.0, changes=False)
    assert 10 <= explained <= 60 / FreshList(3, 10.0).pause_s + 3
    assert 3 <= unexplained < explained / 2


def test_an_answer_that_is_behind_is_passed_over_until_nothing_else_comes() -> None:
    fresh = FreshList(3, 10.0)
    assert fresh.judge(1.0, 40, True, 5) is Verdict.TAKE
    for _ in range(BEHIND_MOST - 1):
        assert fresh.judge(2.0, 12, True, 5) is Verdict.PASS_OVER
    assert fresh.revision == 40
    assert fresh.age_s(3.0) == 2.0  # what lies behind does not make the list fresher
    assert fresh.judge(2.0, 12, True, 5) is Verdict.TAKE
    assert fresh.revision == 12


def test_changes_that_are_behind_are_never_taken_in() -> None:
    fresh = FreshList(3, 10.0)
    fresh.judge(1.0, 40, True, 5)
    assert {fresh.judge(2.0, 12, False, 1) for _ in range(20)} == {Verdict.PASS_OVER}


def test_after_a_move_a_lower_revision_is_good() -> None:
    fresh = FreshList(3, 10.0)
    fresh.judge(1.0, 40, True, 5)
    fresh.moved()
    assert fresh.judge(2.0, 2, True, 5) is Verdict.TAKE


def test_an_empty_list_is_believed_and_asked_for_again_ever_less_often() -> None:
    fresh = FreshList(24, 10.0)
    assert fresh.judge(1.0, 40, True, 0) is Verdict.TAKE_AND_ASK
    waits = [fresh.ask_again_s() for _ in range(200)]
    assert 0.1 < waits[0] <= 0.375 * fresh.call_time_s
    assert waits[1] <= 0.75 * fresh.call_time_s
    assert sum(waits) / 200 == pytest.approx(fresh.call_time_s, rel=0.1)  # one call of each in a call time
    assert fresh.judge(2.0, 41, True, 1) is Verdict.TAKE
    assert fresh.ask_again_s() <= 0.375 * fresh.call_time_s


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("size", [3, 30, 133, 1200])
def test_a_fleet_asks_less_than_discovery_can_do(size: int, seed: int) -> None:
    """Every instance watches for ever and meets evidence of five servers all the time.

    Discovery can answer one call of each instance in 10 s; 50 instances at the least are allowed for.
    """
    rng = random.Random(seed)
    ask_within, seconds = 10.0, 120.0
    fleet = [FreshList(size, ask_within, rng.getrandbits(32)) for _ in range(size)]
    calls: list[float] = []
    due = [(rng.uniform(1.0, 1.0 + fleet[0].wait_s), n) for n in range(size)]
    heapq.heapify(due)
    while due[0][0] < seconds:
        now, n = heapq.heappop(due)
        calls.append(now)
        heapq.heappush(due, (now + fleet[n].wait_s, n))
    for fresh in fleet:
        first = rng.uniform(1.0, 11.0)
        for step in range(int((seconds - first) * 2)):
            now = first + step / 2
            delay = fresh.contradicted(now, step % 5, Evidence.REFUSED_DIAL)
            if delay is not None:
                calls.append(now + delay)
    capacity = max(size, 50) / ask_within
    for start in range(10, int(seconds) - 10, 5):
        within = sum(start <= at < start + 10 for at in calls)
        assert within / 10 <= capacity, (seed, size, start)
    news_older_than = fleet[0].wait_s + 2 * DOUBLE_S  # when the call beside a silent watch is repeated
    assert news_older_than < 22.0  # a silent watch's news counts as told 2 s after its wait
