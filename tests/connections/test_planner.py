"""The planner and its parts, without I/O and with given times."""

from __future__ import annotations

from random import Random

import pytest

from garnethaven.connections.ahead import RECOVERY_S, PrewarmGate
from garnethaven.connections.caps import GROW_S, ConnectionCap
from garnethaven.connections.demand import SLOT_COUNT, SLOT_S, DemandForecast
from garnethaven.connections.idle_limits import (
    ANNOUNCED_FRACTION,
    COMMON_WINDOW_S,
    MAX_ADDRESSES,
    MAX_TRUSTED_S,
    OBSERVED_FRACTION,
    IdleLimit,
    IdleLimits,
)
from garnethaven.connections.pacing import MAX_BACKOFF_S, DialPacer
from garnethaven.connections.planner import (
    MAX_SILENCE_CHECKS,
    ConnectionCounts,
    ConnectionPlan,
    Decision,
    Rules,
    ServerState,
)
from garnethaven.connections.pool import keep_alive_timeout_s

A, B, C = ("10.0.0.1", 80), ("10.0.0.2", 80), ("10.0.0.3", 80)


# Idle limits


def test_a_limit_is_what_was_told_until_something_else_is_learned() -> None:
    limit = IdleLimit(15.0)
    assert limit.limit_s(0.0) == pytest.approx(15.0 * ANNOUNCED_FRACTION)
    limit.set_announced(5.0)
    assert limit.limit_s(0.0) == pytest.approx(5.0 * ANNOUNCED_FRACTION)
    assert IdleLimit(0.0).limit_s(0.0) == float("inf")


def test_silence_teaches_at_once_and_what_was_learned_grows_back_slowly() -> None:
    limits = IdleLimits(15.0, Random(1))
    limits.record_silence(A, 10.0, 4.0)
    assert limits.limit_s(A, 10.0) == pytest.approx(4.0 * OBSERVED_FRACTION)
    assert limits.limit_s(B, 10.0) == pytest.approx(15.0 * ANNOUNCED_FRACTION)
    assert limits.limit_s(A, 70.0) < 4.0
    assert limits.limit_s(A, 3000.0) == pytest.approx(15.0 * ANNOUNCED_FRACTION)


def test_an_end_teaches_only_with_another_like_it() -> None:
    limits = IdleLimits(15.0, Random(1))
    limits.record_end(A, 10.0, 4.0)
    assert limits.learned_count == 0
    limits.record_end(A, 20.0, 0.3)  # noise
    assert limits.learned_count == 0
    limits.record_end(A, 30.0, 4.0)
    limits.record_end(A, 40.0, 4.2)
    assert limits.learned_count == 1
    assert limits.limit_s(A, 40.0) == pytest.approx(4.0 * OBSERVED_FRACTION)


def test_a_process_that_dies_teaches_nothing() -> None:
    limits = IdleLimits(15.0, Random(1))
    for idle_s in (0.01, 0.02, 0.02, 0.5, 0.5, 3.0, 3.1):  # all of its connections, at the same time
        limits.record_end(A, 10.0, idle_s)
    assert limits.learned_count == 0


def test_two_servers_that_teach_alike_teach_all() -> None:
    limits = IdleLimits(15.0, Random(1))
    limits.record_silence(A, 10.0, 4.0)
    limits.record_silence(B, 12.0, 0.5)  # another cause
    assert limits.limit_s(C, 12.0) == pytest.approx(15.0 * ANNOUNCED_FRACTION)
    limits.record_silence(C, 14.0, 4.4)
    assert limits.limit_s(("10.0.0.9", 80), 14.0) == pytest.approx(4.4 * OBSERVED_FRACTION)
    late = IdleLimits(15.0, Random(1))
    late.record_silence(A, 0.0, 4.0)
    late.record_silence(B, COMMON_WINDOW_S + 1.0, 4.0)
    assert late.limit_s(C, COMMON_WINDOW_S + 1.0) == pytest.approx(15.0 * ANNOUNCED_FRACTION)


def test_what_is_trusted_is_half_of_the_limit_and_never_long() -> None:
    limits = IdleLimits(15.0, Random(1))
    assert limits.trusted_s(A, 0.0) == MAX_TRUSTED_S
    limits.record_silence(A, 0.0, 1.0)
    assert limits.trusted_s(A, 0.0) == pytest.approx(1.0 * OBSERVED_FRACTION / 2)


def test_addresses_are_remembered_up_to_a_bound() -> None:
    limits = IdleLimits(15.0, Random(1))
    limits.record_silence(A, 0.0, 1.0)
    for number in range(MAX_ADDRESSES + 10):
        limits.limit_of((f"10.1.{number // 250}.{number % 250}", 80))
    assert len(limits.limits) == MAX_ADDRESSES
    assert limits.limit_s(A, 0.0) == pytest.approx(15.0 * ANNOUNCED_FRACTION)


@pytest.mark.parametrize(
    ("header", "seconds"),
    [
        (b"timeout=5", 5.0),
        (b"max=100, timeout = 7", 7.0),
        (b"TIMEOUT=2", 2.0),
        (b"max=3", None),
        (b"timeout=soon", None),
        (b"timeout=-1", None),
        (b"timeout=9999999999", None),
        (b"", None),
    ],
)
def test_keep_alive_headers(header: bytes, seconds: float | None) -> None:
    assert keep_alive_timeout_s(header) == seconds


# Pacing


@pytest.mark.parametrize(("fleet", "seed"), [(3, 1), (8, 2), (40, 3), (200, 4), (200, 5), (1000, 6)])
def test_the_fleets_sum_stays_under_its_rate_from_the_first_second_with_nobody_talking(
    fleet: int, seed: int
) -> None:
    """All instances dial one server that has just come back cold as often as allowed."""
    rng = Random(seed)
    pacers = [DialPacer(40.0, fleet, Random(rng.getrandbits(32))) for _ in range(fleet)]
    opens: list[float] = []
    for step in range(600):
        now = step / 100
        warmth = min(1.0, 0.2 + 0.8 * now / 6.0)
        for pacer in pacers:
            while pacer.allows(now, warmth, 0):
                pacer.record_dial(now, warmth)
                opens.append(now)
    per_second = [sum(start <= at < start + 1.0 for at in opens) for start in (0.0, 1.0, 2.0, 5.0)]
    assert max(per_second) <= 40 * 1.5 + 8
    assert per_second[0] <= 40 * 0.35 + 20 + 4  # the rate of a cold server, and the burst of small fleets
    assert sum(per_second) >= 45  # the server does get connections


def test_a_large_fleet_does_not_come_at_once_to_a_cold_server() -> None:
    rng = Random(9)
    pacers = [DialPacer(40.0, 200, Random(rng.getrandbits(32))) for _ in range(200)]
    assert sum(pacer.allows(1000.0, 0.5, 0) for pacer in pacers) <= 4


def test_an_instance_that_asks_seldom_is_served_by_a_warm_server() -> None:
    pacer = DialPacer(40.0, 2000, Random(9))
    for minute in range(1, 6):
        assert pacer.allows(minute * 120.0, 1.0, 0)
        pacer.record_dial(minute * 120.0, 1.0)
        assert not pacer.allows(minute * 120.0 + 1.0, 1.0, 0)


def test_a_server_that_refused_is_tried_by_one_dial_at_a_time_after_a_growing_pause() -> None:
    pacer = DialPacer(1000.0, 1, Random(3))
    pacer.allows(0.0, 1.0, 0)
    pauses = []
    now = 10.0
    for _ in range(40):
        pacer.record_failure(now)
        assert not pacer.allows(now, 1.0, 1)
        started_at = now
        while not pacer.allows(now, 1.0, 0):
            now += 0.01
        pauses.append(now - started_at)
        assert not pacer.allows(now, 1.0, 1)  # one dial is in progress
    assert max(pauses) <= MAX_BACKOFF_S + 0.02
    assert sum(pauses[20:]) / 20 > 1.0 > sum(pauses[:3]) / 3
    pacer.record_success()
    assert pacer.allows(now, 1.0, 5)


def test_a_repeat_that_has_nowhere_else_to_go_may_borrow_and_no_more_than_the_burst() -> None:
    pacer = DialPacer(40.0, 4, Random(1))
    pacer.tokens = 0.0
    assert not pacer.allows(0.0, 1.0, 0)
    borrowed = 0
    while pacer.allows(0.0, 1.0, 0, urgent=True):
        pacer.record_dial(0.0, 1.0)
        borrowed += 1
    assert borrowed == int(pacer.burst)
    refused_pacer = DialPacer(40.0, 4, Random(1))
    refused_pacer.record_failure(0.0)
    refused_pacer.blocked_until = 5.0
    assert not refused_pacer.allows(1.0, 1.0, 0, urgent=True)


# Demand, caps, prewarming


def test_demand_follows_recent_peaks_and_forgets() -> None:
    demand = DemandForecast()
    assert demand.forecast(0.0) == 0
    for slot in range(SLOT_COUNT):
        demand.set_busy(slot * SLOT_S, 4)
        demand.set_busy(slot * SLOT_S + 1.0, 0)
    assert 4 <= demand.forecast(SLOT_COUNT * SLOT_S) <= 6
    assert demand.forecast(SLOT_COUNT * SLOT_S * 4) == 0
    assert demand.forecast(1e9) == 0


def test_a_cap_is_learned_from_a_full_server_and_grows_back_in_small_steps() -> None:
    cap = ConnectionCap(370, 8)
    assert cap.max_connections(0.0) == 27
    cap.record_full(10.0, 5)
    assert cap.max_connections(10.0) == 5
    assert cap.max_connections(10.0 + GROW_S * 2.5) == 7
    assert cap.max_connections(1000.0) == 27
    cap.record_full(1000.0, 0)
    assert cap.max_connections(1000.0) == 1
    assert ConnectionCap(370, 5000).max_connections(0.0) == 1


def test_opening_ahead_stops_where_it_is_not_used_and_comes_back() -> None:
    gate = PrewarmGate()
    for _ in range(8):
        assert gate.allows(1.0)
        gate.record_unused(1.0)
    gate.record_unused(1.0)
    assert not gate.allows(1.0)
    assert gate.allows(1.0 + RECOVERY_S)
    gate.record_used(1.0 + RECOVERY_S)
    assert gate.score == pytest.approx(1.0)


# The planner


def make_plan(**rules: float) -> ConnectionPlan:
    rules_with_defaults = Rules(**({"opens_per_s": 1000.0, "idle_s": 15.0, "dial_timeout_s": 0.25} | rules))  # type: ignore[arg-type]
    plan = ConnectionPlan(A, rules_with_defaults, IdleLimits(15.0, Random(1)), Random(2))
    plan.pacer.tokens = plan.pacer.burst
    return plan


def test_the_way_of_a_request() -> None:
    plan = make_plan(accepts=10, fleet_size=2)  # this instance may open three
    warm = ServerState()
    assert plan.decide(0.0, ConnectionCounts(idle=1), True, warm) is Decision.USE
    assert plan.decide(0.0, ConnectionCounts(), False, warm) is Decision.DIAL
    assert plan.decide(0.0, ConnectionCounts(dialing=1, unclaimed_dials=1), False, warm) is Decision.WAIT
    # At the cap; one may become free.
    assert plan.decide(0.0, ConnectionCounts(busy=2, dialing=1), False, warm) is Decision.WAIT
    assert plan.decide(0.0, ConnectionCounts(busy=2, dialing=1, queued=3), False, warm) is Decision.RETURN


def test_fifty_requests_at_an_empty_pool_dial_no_more_than_the_bounds() -> None:
    plan = make_plan(opens_per_s=40.0, fleet_size=4, accepts=370)
    counts, decisions = ConnectionCounts(), []
    for _ in range(50):
        decision = plan.decide(1.0, counts, False, ServerState())
        decisions.append(decision)
        if decision is Decision.DIAL:
            plan.pacer.record_dial(1.0, 1.0)
            counts.dialing += 1
        elif decision is Decision.WAIT:
            counts.queued += 1
    assert decisions.count(Decision.DIAL) == 5  # half a second of a quarter of forty
    assert decisions.count(Decision.WAIT) == 5
    assert decisions.count(Decision.RETURN) == 40
    assert plan.max_wait_s() <= 0.25


def test_a_request_that_must_not_be_lost_gets_no_connection_in_doubt() -> None:
    plan = make_plan()
    assert plan.is_usable(0.0, 5.0, 1.0, trusted_only=False)
    assert not plan.is_usable(0.0, 5.0, 1.0, trusted_only=True)
    assert plan.is_usable(0.0, 0.5, 1.0, trusted_only=True)
    assert not plan.is_usable(0.0, 13.0, 1.0, trusted_only=False)


def test_silence_is_the_connections_where_the_server_answers_others_and_the_servers_where_not() -> None:
    plan = make_plan()
    plan.record_answer(1.0, 0.02)
    assert plan.silence_timeout_s() == 0.25
    assert not plan.is_dead(10.3, 0.5, sent_at=10.0, checks=1)
    # The connection is trusted: the server may be slow.
    assert not plan.is_dead(11.0, 0.5, sent_at=10.0, checks=MAX_SILENCE_CHECKS)
    assert plan.is_dead(11.0, 5.0, sent_at=10.0, checks=MAX_SILENCE_CHECKS)
    plan.record_answer(10.2, 0.02)
    assert plan.is_dead(10.3, 0.5, sent_at=10.0, checks=1)


def test_nothing_is_opened_ahead_to_penalised_servers_and_little_to_cold_ones() -> None:
    plan = make_plan()
    plan.demand.set_busy(0.0, 6)
    assert plan.prewarm_count(0.1, ConnectionCounts(), ServerState()) == 1
    assert plan.prewarm_count(0.1, ConnectionCounts(), ServerState(penalised=True)) == 0
    assert plan.prewarm_count(0.1, ConnectionCounts(idle=2), ServerState(warmth=0.4)) == 0
    assert plan.prewarm_count(0.1, ConnectionCounts(idle=6), ServerState()) == 0


def test_connections_retire_by_idle_time_age_and_requests() -> None:
    plan = make_plan(age_s=100.0, max_requests=50)
    assert not plan.should_close(10.0, 0.0, 1.0, 5, 0.9)
    assert plan.should_close(10.0, 0.0, 12.0, 5, 0.9)
    assert plan.should_close(91.0, 0.0, 0.0, 5, 0.9)
    assert plan.should_close(10.0, 0.0, 0.0, 45, 0.9)
