"""How long a watch waits, when to call off schedule, and which answers of discovery to apply."""

from __future__ import annotations

import heapq
import random

import pytest

from garnethaven.limits.list_freshness import (
    EVIDENCE_WINDOW_S,
    MAX_STALE_ANSWERS,
    MAX_WATCH_WAIT_S,
    MIN_WATCH_WAIT_S,
    OVERDUE_S,
    AnswerAction,
    Evidence,
    ListFreshness,
)


def test_a_small_fleet_renews_its_watch_often_and_a_large_one_seldom() -> None:
    assert ListFreshness(3, 10.0).watch_wait_s == MIN_WATCH_WAIT_S
    assert ListFreshness(133, 10.0).watch_wait_s == MAX_WATCH_WAIT_S
    assert (
        ListFreshness(3, 10.0).watch_wait_s
        < ListFreshness(30, 10.0).watch_wait_s
        < ListFreshness(133, 10.0).watch_wait_s
    )
    assert ListFreshness(3, 0.0).watch_wait_s == MAX_WATCH_WAIT_S  # discovery's capacity is not configured


def test_a_silent_call_is_doubled_before_news_counts_as_told() -> None:
    assert OVERDUE_S < 2.0 / 2  # leaves time for one repeat of the second call (test_call_schedule.py)


def test_one_server_is_no_evidence_however_often_it_fails() -> None:
    fresh = ListFreshness(3, 10.0)
    assert {fresh.record_evidence(1.0 + n / 10, 7, Evidence.REFUSED_DIAL) for n in range(50)} == {None}


@pytest.mark.parametrize(
    ("kinds", "enough"),
    [
        ((Evidence.REFUSED_DIAL, Evidence.REFUSED_DIAL), True),
        ((Evidence.RESET, Evidence.RESET), True),
        ((Evidence.REJECTED, Evidence.REJECTED), False),
        ((Evidence.REJECTED, Evidence.REJECTED, Evidence.REJECTED), True),
        ((Evidence.REJECTED, Evidence.REFUSED_DIAL), True),
    ],
)
def test_evidence_of_several_servers_is_worth_a_call(kinds: tuple[Evidence, ...], enough: bool) -> None:
    fresh = ListFreshness(3, 10.0)
    calls = [fresh.record_evidence(1.0 + n / 10, n, kind) is not None for n, kind in enumerate(kinds)]
    assert calls == [False] * (len(kinds) - 1) + [enough]


def test_old_evidence_is_forgotten() -> None:
    fresh = ListFreshness(3, 10.0)
    assert fresh.record_evidence(1.0, 1, Evidence.REFUSED_DIAL) is None
    assert fresh.record_evidence(1.1 + EVIDENCE_WINDOW_S, 2, Evidence.REFUSED_DIAL) is None


def test_a_small_fleet_asks_at_once_and_a_large_one_spreads_its_calls() -> None:
    def delays(size: int) -> list[float]:
        delays_s = []
        for seed in range(40):
            fresh = ListFreshness(size, 10.0, seed)
            fresh.record_evidence(1.0, 1, Evidence.REFUSED_DIAL)
            delays_s.append(fresh.record_evidence(1.1, 2, Evidence.REFUSED_DIAL))
        return [delay for delay in delays_s if delay is not None]

    assert max(delays(3)) <= 0.1
    assert max(delays(1200)) > 15.0 > 3.0 > min(delays(1200))


def test_news_that_came_first_makes_the_call_needless() -> None:
    fresh = ListFreshness(1200, 10.0)
    fresh.record_evidence(1.0, 1, Evidence.REFUSED_DIAL)
    assert fresh.record_evidence(1.1, 2, Evidence.REFUSED_DIAL) is not None
    fresh.classify_answer(1.2, 0, True, 5)  # the same revision
    assert fresh.is_call_needed()
    fresh.classify_answer(1.3, 9, False, 1)
    assert not fresh.is_call_needed()


def calls_for_evidence(fresh: ListFreshness, seconds: float, changes: bool) -> int:
    """Count the calls for evidence that comes ten times a second; each answer brings a change or none."""
    calls = 0
    for step in range(int(seconds * 10)):
        now = 1.0 + step / 10
        if fresh.record_evidence(now, step % 5, Evidence.REFUSED_DIAL) is not None:
            calls += 1
            fresh.classify_answer(now, fresh.revision + (1 if changes else 0), True, 5)
    return calls


def test_calls_that_explain_nothing_become_rarer() -> None:
    explained = calls_for_evidence(ListFreshness(3, 10.0), 60.0, changes=True)
    unexplained = calls_for_evidence(ListFreshness(3, 10.0), 60.0, changes=False)
    assert 10 <= explained <= 60 / ListFreshness(3, 10.0).evidence_interval_s + 3
    assert 3 <= unexplained < explained / 2


def test_an_answer_that_is_behind_is_passed_over_until_nothing_else_comes() -> None:
    fresh = ListFreshness(3, 10.0)
    assert fresh.classify_answer(1.0, 40, True, 5) is AnswerAction.APPLY
    for _ in range(MAX_STALE_ANSWERS - 1):
        assert fresh.classify_answer(2.0, 12, True, 5) is AnswerAction.IGNORE_STALE
    assert fresh.revision == 40
    assert fresh.age_s(3.0) == 2.0  # a stale answer does not renew the list
    assert fresh.classify_answer(2.0, 12, True, 5) is AnswerAction.APPLY
    assert fresh.revision == 12


def test_changes_that_are_behind_are_never_taken_in() -> None:
    fresh = ListFreshness(3, 10.0)
    fresh.classify_answer(1.0, 40, True, 5)
    assert {fresh.classify_answer(2.0, 12, False, 1) for _ in range(20)} == {AnswerAction.IGNORE_STALE}


def test_after_a_move_a_lower_revision_is_good() -> None:
    fresh = ListFreshness(3, 10.0)
    fresh.classify_answer(1.0, 40, True, 5)
    fresh.reset_revision()
    assert fresh.classify_answer(2.0, 2, True, 5) is AnswerAction.APPLY


def test_an_empty_list_is_believed_and_asked_for_again_ever_less_often() -> None:
    fresh = ListFreshness(24, 10.0)
    assert fresh.classify_answer(1.0, 40, True, 0) is AnswerAction.APPLY_AND_REFETCH
    waits = [fresh.empty_list_retry_s() for _ in range(200)]
    assert 0.1 < waits[0] <= 0.375 * fresh.call_time_s
    assert waits[1] <= 0.75 * fresh.call_time_s
    assert sum(waits) / 200 == pytest.approx(fresh.call_time_s, rel=0.1)  # one call in a call time
    assert fresh.classify_answer(2.0, 41, True, 1) is AnswerAction.APPLY
    assert fresh.empty_list_retry_s() <= 0.375 * fresh.call_time_s


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("size", [3, 30, 133, 1200])
def test_a_fleet_asks_less_than_discovery_can_do(size: int, seed: int) -> None:
    """Every instance renews its watch and gets evidence of five servers without end.

    Discovery can answer one call of each instance in 10 s, with a capacity for at least 50 instances.
    """
    rng = random.Random(seed)
    ask_within, seconds = 10.0, 120.0
    fleet = [ListFreshness(size, ask_within, rng.getrandbits(32)) for _ in range(size)]
    call_times: list[float] = []
    next_watches = [(rng.uniform(1.0, 1.0 + fleet[0].watch_wait_s), n) for n in range(size)]
    heapq.heapify(next_watches)
    while next_watches[0][0] < seconds:
        now, n = heapq.heappop(next_watches)
        call_times.append(now)
        heapq.heappush(next_watches, (now + fleet[n].watch_wait_s, n))
    for fresh in fleet:
        first_evidence_at = rng.uniform(1.0, 11.0)
        for step in range(int((seconds - first_evidence_at) * 2)):
            now = first_evidence_at + step / 2
            delay = fresh.record_evidence(now, step % 5, Evidence.REFUSED_DIAL)
            if delay is not None:
                call_times.append(now + delay)
    capacity = max(size, 50) / ask_within
    for start in range(10, int(seconds) - 10, 5):
        calls_in_window = sum(start <= at < start + 10 for at in call_times)
        assert calls_in_window / 10 <= capacity, (seed, size, start)
    max_update_age_s = fleet[0].watch_wait_s + 2 * OVERDUE_S  # the second call is repeated
    assert max_update_age_s < 22.0  # an update has to be known 2 s after the wait of a silent watch
