"""The planner's parts and the planner itself: pure, with times told."""

from __future__ import annotations

from random import Random

import pytest

from garnethaven.connections.ahead import RETURN_S, Ahead
from garnethaven.connections.caps import GROW_S, Cap
from garnethaven.connections.demand import SLOT_S, SLOTS, Demand
from garnethaven.connections.idle_limits import (
    CROWD_S,
    EARLY_PART,
    KEEP_PART,
    REMEMBERED_MOST,
    SURE_MOST_S,
    IdleLimit,
    IdleLimits,
)
from garnethaven.connections.pacing import BACK_OFF_MOST_S, Pace
from garnethaven.connections.planner import LOOKS_MOST, Held, Plan, Rules, Server, Way
from garnethaven.connections.pool import keep_alive_s

A, B, C = ("10.0.0.1", 80), ("10.0.0.2", 80), ("10.0.0.3", 80)


# Idle limits


def test_a_limit_is_what_was_told_until_something_else_is_learned() -> None:
    limit = IdleLimit(15.0)
    assert limit.limit_s(0.0) == pytest.approx(15.0 * KEEP_PART)
    limit.keep_alive(5.0)
    assert limit.limit_s(0.0) == pytest.approx(5.0 * KEEP_PART)
    assert IdleLimit(0.0).limit_s(0.0) == float("inf")


def test_silence_teaches_at_once_and_what_was_learned_grows_back_slowly() -> None:
    limits = IdleLimits(15.0, Random(1))
    limits.silent(A, 10.0, 4.0)
    assert limits.limit_s(A, 10.0) == pytest.approx(4.0 * EARLY_PART)
    assert limits.limit_s(B, 10.0) == pytest.approx(15.0 * KEEP_PART)
    assert limits.limit_s(A, 70.0) < 4.0
    assert limits.limit_s(A, 3000.0) == pytest.approx(15.0 * KEEP_PART)


def test_an_end_teaches_only_with_another_like_it() -> None:
    limits = IdleLimits(15.0, Random(1))
    limits.ended(A, 10.0, 4.0)
    assert limits.learned == 0
    limits.ended(A, 20.0, 0.3)  # noise
    assert limits.learned == 0
    limits.ended(A, 30.0, 4.0)
    limits.ended(A, 40.0, 4.2)
    assert limits.learned == 1
    assert limits.limit_s(A, 40.0) == pytest.approx(4.0 * EARLY_PART)


def test_a_process_that_dies_teaches_nothing() -> None:
    limits = IdleLimits(15.0, Random(1))
    for idle in (0.01, 0.02, 0.02, 0.5, 0.5, 3.0, 3.1):  # all of its connections, in one moment
        limits.ended(A, 10.0, idle)
    assert limits.learned == 0


def test_two_servers_that_teach_alike_teach_all() -> None:
    limits = IdleLimits(15.0, Random(1))
    limits.silent(A, 10.0, 4.0)
    limits.silent(B, 12.0, 0.5)  # another cause
    assert limits.limit_s(C, 12.0) == pytest.approx(15.0 * KEEP_PART)
    limits.silent(C, 14.0, 4.4)
    assert limits.limit_s(("10.0.0.9", 80), 14.0) == pytest.approx(4.4 * EARLY_PART)
    late = IdleLimits(15.0, Random(1))
    late.silent(A, 0.0, 4.0)
    late.silent(B, CROWD_S + 1.0, 4.0)
    assert late.limit_s(C, CROWD_S + 1.0) == pytest.approx(15.0 * KEEP_PART)


def test_what_is_trusted_is_half_of_the_limit_and_never_long() -> None:
    limits = IdleLimits(15.0, Random(1))
    assert limits.sure_s(A, 0.0) == SURE_MOST_S
    limits.silent(A, 0.0, 1.0)
    assert limits.sure_s(A, 0.0) == pytest.approx(1.0 * EARLY_PART / 2)


def test_addresses_are_remembered_up_to_a_bound() -> None:
    limits = IdleLimits(15.0, Random(1))
    limits.silent(A, 0.0, 1.0)
    for number in range(REMEMBERED_MOST + 10):
        limits.of((f"10.1.{number // 250}.{number % 250}", 80))
    assert len(limits.limits) == REMEMBERED_MOST
    assert limits.limit_s(A, 0.0) == pytest.approx(15.0 * KEEP_PART)


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
    assert keep_alive_s(header) == seconds


# Pacing


@pytest.mark.parametrize(("fleet", "seed"), [(3, 1), (8, 2), (40, 3), (200, 4), (200, 5), (1000, 6)])
def test_the_fleets_sum_stays_under_its_rate_from_the_first_second_with_nobody_talking(
    fleet: int, seed: int
) -> None:
    """All instances want all they can get at one server that has just come back cold."""
    rng = Random(seed)
    paces = [Pace(40.0, fleet, Random(rng.getrandbits(32))) for _ in range(fleet)]
    opens: list[float] = []
    for step in range(600):
        now = step / 100
        warmth = min(1.0, 0.2 + 0.8 * now / 6.0)
        for pace in paces:
            while pace.allows(now, warmth, 0):
                pace.began(now, warmth)
                opens.append(now)
    per_second = [sum(start <= at < start + 1.0 for at in opens) for start in (0.0, 1.0, 2.0, 5.0)]
    assert max(per_second) <= 40 * 1.5 + 8
    assert per_second[0] <= 40 * 0.35 + 20 + 4  # a cold server's rate, and the burst that small fleets have
    assert sum(per_second) >= 45  # and it does get its connections


def test_a_large_fleet_does_not_come_at_once_to_a_cold_server() -> None:
    rng = Random(9)
    paces = [Pace(40.0, 200, Random(rng.getrandbits(32))) for _ in range(200)]
    assert sum(pace.allows(1000.0, 0.5, 0) for pace in paces) <= 4


def test_an_instance_that_asks_seldom_is_served_by_a_warm_server() -> None:
    pace = Pace(40.0, 2000, Random(9))
    for minute in range(1, 6):
        assert pace.allows(minute * 120.0, 1.0, 0)
        pace.began(minute * 120.0, 1.0)
        assert not pace.allows(minute * 120.0 + 1.0, 1.0, 0)


def test_a_server_that_refused_is_tried_by_one_dial_at_a_time_after_a_growing_pause() -> None:
    pace = Pace(1000.0, 1, Random(3))
    pace.allows(0.0, 1.0, 0)
    pauses = []
    now = 10.0
    for _ in range(40):
        pace.failed(now)
        assert not pace.allows(now, 1.0, 1)
        began = now
        while not pace.allows(now, 1.0, 0):
            now += 0.01
        pauses.append(now - began)
        assert not pace.allows(now, 1.0, 1)  # one is out
    assert max(pauses) <= BACK_OFF_MOST_S + 0.02
    assert sum(pauses[20:]) / 20 > 1.0 > sum(pauses[:3]) / 3
    pace.succeeded()
    assert pace.allows(now, 1.0, 5)


def test_a_repeat_that_has_nowhere_else_to_go_may_borrow_and_no_more_than_the_burst() -> None:
    pace = Pace(40.0, 4, Random(1))
    pace.tokens = 0.0
    assert not pace.allows(0.0, 1.0, 0)
    borrowed = 0
    while pace.allows(0.0, 1.0, 0, urgent=True):
        pace.began(0.0, 1.0)
        borrowed += 1
    assert borrowed == int(pace.most)
    refused = Pace(40.0, 4, Random(1))
    refused.failed(0.0)
    refused.held_until = 5.0
    assert not refused.allows(1.0, 1.0, 0, urgent=True)


# Demand, caps, worth


def test_demand_follows_recent_peaks_and_forgets() -> None:
    demand = Demand()
    assert demand.wanted(0.0) == 0
    for slot in range(SLOTS):
        demand.changes(slot * SLOT_S, 4)
        demand.changes(slot * SLOT_S + 1.0, 0)
    assert 4 <= demand.wanted(SLOTS * SLOT_S) <= 6
    assert demand.wanted(SLOTS * SLOT_S * 4) == 0
    assert demand.wanted(1e9) == 0


def test_a_cap_is_learned_from_a_full_server_and_grows_back_in_small_steps() -> None:
    cap = Cap(370, 8)
    assert cap.most(0.0) == 27
    cap.full(10.0, 5)
    assert cap.most(10.0) == 5
    assert cap.most(10.0 + GROW_S * 2.5) == 7
    assert cap.most(1000.0) == 27
    cap.full(1000.0, 0)
    assert cap.most(1000.0) == 1
    assert Cap(370, 5000).most(0.0) == 1


def test_opening_ahead_stops_where_it_is_not_used_and_comes_back() -> None:
    worth = Ahead()
    for _ in range(8):
        assert worth.pays(1.0)
        worth.unused(1.0)
    worth.unused(1.0)
    assert not worth.pays(1.0)
    assert worth.pays(1.0 + RETURN_S)
    worth.used(1.0 + RETURN_S)
    assert worth.worth == pytest.approx(1.0)


# The planner


def plan(**rules: float) -> Plan:
    told = Rules(**({"opens_per_s": 1000.0, "idle_s": 15.0, "dial_timeout_s": 0.25} | rules))  # type: ignore[arg-type]
    made = Plan(A, told, IdleLimits(15.0, Random(1)), Random(2))
    made.pace.tokens = made.pace.most
    return made


def test_the_way_of_a_request() -> None:
    one = plan(accepts=10, fleet_size=2)  # three for us
    warm = Server()
    assert one.way(0.0, Held(idle=1), True, warm) is Way.USE
    assert one.way(0.0, Held(), False, warm) is Way.DIAL
    assert one.way(0.0, Held(coming=1, unclaimed=1), False, warm) is Way.WAIT
    assert one.way(0.0, Held(busy=2, coming=1), False, warm) is Way.WAIT  # at the cap, one may come free
    assert one.way(0.0, Held(busy=2, coming=1, queue=3), False, warm) is Way.GIVE_BACK


def test_fifty_requests_at_an_empty_pool_dial_no_more_than_the_bounds() -> None:
    one = plan(opens_per_s=40.0, fleet_size=4, accepts=370)
    held, ways = Held(), []
    for _ in range(50):
        way = one.way(1.0, held, False, Server())
        ways.append(way)
        if way is Way.DIAL:
            one.pace.began(1.0, 1.0)
            held.coming += 1
        elif way is Way.WAIT:
            held.queue += 1
    assert ways.count(Way.DIAL) == 5  # half a second of a quarter of forty
    assert ways.count(Way.WAIT) == 5
    assert ways.count(Way.GIVE_BACK) == 40
    assert one.wait_s() <= 0.25


def test_a_request_that_must_not_be_lost_gets_no_connection_in_doubt() -> None:
    one = plan()
    assert one.will_do(0.0, 5.0, 1.0, careful=False)
    assert not one.will_do(0.0, 5.0, 1.0, careful=True)
    assert one.will_do(0.0, 0.5, 1.0, careful=True)
    assert not one.will_do(0.0, 13.0, 1.0, careful=False)


def test_silence_is_the_connections_where_the_server_answers_others_and_the_servers_where_not() -> None:
    one = plan()
    one.answered(1.0, 0.02)
    assert one.silence_s() == 0.25
    assert not one.is_dead(10.3, 0.5, asked_at=10.0, looks=1)
    assert not one.is_dead(11.0, 0.5, asked_at=10.0, looks=LOOKS_MOST)  # trusted: the server may be slow
    assert one.is_dead(11.0, 5.0, asked_at=10.0, looks=LOOKS_MOST)
    one.answered(10.2, 0.02)
    assert one.is_dead(10.3, 0.5, asked_at=10.0, looks=1)


def test_nothing_is_opened_ahead_to_penalised_servers_and_little_to_cold_ones() -> None:
    one = plan()
    one.demand.changes(0.0, 6)
    assert one.ahead(0.1, Held(), Server()) == 1
    assert one.ahead(0.1, Held(), Server(penalised=True)) == 0
    assert one.ahead(0.1, Held(idle=2), Server(warmth=0.4)) == 0
    assert one.ahead(0.1, Held(idle=6), Server()) == 0


def test_connections_retire_by_idle_time_age_and_requests() -> None:
    one = plan(age_s=100.0, requests_most=50)
    assert not one.retires(10.0, 0.0, 1.0, 5, 0.9)
    assert one.retires(10.0, 0.0, 12.0, 5, 0.9)
    assert one.retires(91.0, 0.0, 0.0, 5, 0.9)
    assert one.retires(10.0, 0.0, 0.0, 45, 0.9)
