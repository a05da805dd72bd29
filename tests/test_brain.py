"""Unit tests of the decision module: one for each decision and for each failure found."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from garnethaven.brain import HEDGES_PER_REQUEST, MAX_HEDGE_TOKENS, MIN_HEALTH, Balancer
from garnethaven.interface import (
    Cancel,
    ClientLeft,
    CloseIdle,
    Endpoint,
    Fail,
    ListKind,
    Membership,
    Outcome,
    Refuse,
    Send,
    SetTimer,
    Settings,
    Started,
    State,
    StreamBegan,
    Tenant,
    TimerFired,
    Watch,
)
from tests.helpers import (
    DEDUP_IN_CELL,
    FRAGILE,
    MS,
    RETRYABLE,
    SETTINGS,
    START,
    Driver,
    S,
    actions_of_type,
    fleet,
    sends,
)


def test_equal_servers_take_equal_turns() -> None:
    driver = Driver(fleet(5))
    endpoints = [driver.serve() for _ in range(50)]
    assert set(Counter(endpoints).values()) == {10}


def test_turns_follow_units() -> None:
    driver = Driver((Endpoint(1, relative_capacity=1.0), Endpoint(2, relative_capacity=3.0)))
    counts = Counter(driver.serve() for _ in range(40))
    assert counts[2] == pytest.approx(30, abs=1)


def test_same_seed_and_events_give_the_same_actions() -> None:
    first, second = Driver(fleet(9), seed=3), Driver(fleet(9), seed=3)
    assert [first.ask() for _ in range(40)] == [second.ask() for _ in range(40)]


def test_sidecars_do_not_walk_the_list_in_step() -> None:
    first_targets = Counter(Driver(fleet(10), seed=seed).target() for seed in range(100))
    assert max(first_targets.values()) < 30


def test_a_failing_server_loses_turns_but_keeps_the_floor() -> None:
    driver = Driver(fleet(4))
    counts: Counter[int] = Counter()
    for _ in range(400):
        send = sends(driver.ask(grade=1))[0]
        counts[send.endpoint] += 1
        driver.end(send, Outcome.ERROR if send.endpoint == 1 else Outcome.DONE)
    assert 400 * MIN_HEALTH / 4 * 0.5 < counts[1] < 60


def test_success_resets_the_count() -> None:
    driver = Driver(fleet(2))
    while driver.serve(Outcome.BUSY) != 1:
        pass
    driver.balancer.servers[1].errors = 3.0
    while driver.serve() != 1:
        pass
    assert driver.balancer.servers[1].errors == 0.0


def test_errors_are_forgiven_with_time() -> None:
    driver = Driver(fleet(2))
    server = driver.balancer.servers[1]
    driver.balancer.now = START
    driver.balancer._record_failure(server)
    driver.balancer.now = START + driver.balancer.error_half_life
    assert driver.balancer.decayed_errors(server) == pytest.approx(0.5)


def test_a_retry_goes_to_the_healthiest_untried_server() -> None:
    driver = Driver(fleet(3))
    for endpoint in (1, 2, 3):
        driver.balancer.servers[endpoint].errors = float(endpoint)
        driver.balancer.servers[endpoint].errors_updated_at = driver.now
    send = sends(driver.ask())[0]
    retry = sends(driver.end(send, Outcome.CONNECT_FAILED))[0]
    assert retry.endpoint == min({1, 2, 3} - {send.endpoint})


def test_retries_spare_a_cold_server() -> None:
    # A cold server has no errors: picked as the healthiest, it got every sidecar's retries and crashed.
    driver = Driver((*fleet(3), Endpoint(4, started=START)))
    for endpoint in (1, 2, 3):
        driver.balancer.servers[endpoint].errors = 5.0
        driver.balancer.servers[endpoint].errors_updated_at = driver.now
    for _ in range(10):
        send = sends(driver.ask())[0]
        for retry in sends(driver.end(send, Outcome.BUSY)):
            assert retry.endpoint != 4


@settings(derandomize=True, max_examples=40, deadline=None)
@given(st.integers(0, 2**31), st.integers(4, 24), st.integers(1, 3), st.booleans())
def test_a_cold_server_is_not_pushed_over(seed: int, warm_servers: int, joiners: int, keyed: bool) -> None:
    """Rule 4: many sidecars together do not overload a server that starts at the cold share of its capacity.

    Warm servers are taken to run at full capacity; a cold server may get 3 times its present capacity.
    """
    fleet_settings = replace(SETTINGS, fleet_size=30, key_affinity=keyed)
    drivers = [
        Driver(fleet(warm_servers), fleet_settings, seed + number)
        for number in range(fleet_settings.fleet_size)
    ]
    cold = [Endpoint(100 + number, started=START) for number in range(joiners)]
    for driver in drivers:
        driver.feed(Membership(ListKind.DELTA, tuple(cold)))
    counts: Counter[int] = Counter()
    rounds = 4 * warm_servers
    for number in range(rounds):
        for driver in drivers:
            counts[driver.serve(key=f"k{number % 3}" if keyed else "", after=1)] += 1
    warm_count = rounds * fleet_settings.fleet_size / warm_servers
    for endpoint in cold:
        assert counts[endpoint.id] <= 3 * fleet_settings.cold_share * warm_count


def test_a_newcomer_is_not_the_next_pick_of_many() -> None:
    # Placed among the others' current weights it was the next pick of every fifth sidecar at once (i246273).
    drivers = [Driver(fleet(20), seed=seed) for seed in range(200)]
    for driver in drivers:
        for _ in range(7):
            driver.serve(Outcome.ERROR, grade=1)
        driver.feed(Membership(ListKind.DELTA, (Endpoint(99, started=driver.now),)))
    early_picks = sum(driver.serve(grade=1) == 99 for driver in drivers for _ in range(4))
    likely = 1.0 - (1.0 - SETTINGS.cold_share) ** 2  # its likely share of a warm server's capacity
    assert early_picks <= 1.2 * 200 * 4 / 20 * likely


def test_a_jam_does_not_make_a_newcomer_heavy() -> None:
    # Errors shrink the sum of its peers' weights; a newcomer without errors must not gain by that (i246273).
    driver = Driver(fleet(10))
    for _ in range(100):
        driver.serve(Outcome.ERROR, grade=1)
    driver.feed(Membership(ListKind.DELTA, (Endpoint(99, started=driver.now),)))
    endpoints = [driver.serve(Outcome.ERROR, grade=1) for _ in range(100)]
    assert endpoints.count(99) <= 100 / 11  # no more than the share of a warm server


def test_a_stopping_cell_does_not_dump_its_work_on_a_cold_mate() -> None:
    # All pending requests of a stopping server were retried at once at the cold server of its cell.
    driver = Driver((*fleet(7), Endpoint(8, cell=3, started=START)))
    for _ in range(30):
        send = sends(driver.ask(grade=2))[0]
        if send.endpoint == 7:
            (retry,) = sends(driver.end(send, Outcome.RESET))
            assert retry.endpoint == 7
            assert [type(action) for action in driver.end(retry, Outcome.CONNECT_FAILED, attempt=1)] == [Fail]


def test_a_lost_answer_is_asked_for_once_more_where_no_other_may_give_it() -> None:
    driver = Driver((Endpoint(1), Endpoint(2, cell=1), Endpoint(3, cell=2)))
    send = sends(driver.ask(grade=2))[0]
    (retry,) = sends(driver.end(send, Outcome.RESET))
    assert retry.endpoint == send.endpoint
    assert [type(action) for action in driver.end(retry, Outcome.RESET, attempt=1)] == [Fail]


def test_a_refused_client_is_told_when_to_come_back() -> None:
    driver = Driver((), replace(SETTINGS, max_retry_after=2 * S))
    (refusal,) = actions_of_type(driver.ask(), Refuse)
    assert isinstance(refusal, Refuse) and 0 < refusal.retry_after < RETRYABLE.target


def test_a_list_of_only_new_servers_serves_at_once() -> None:
    driver = Driver(fleet(3))
    driver.feed(Membership(ListKind.FULL, (Endpoint(50), Endpoint(51))))
    assert {driver.serve() for _ in range(6)} == {50, 51}


def hedges_of_overdue_request(driver: Driver, interval: int = 2 * S, **fields: int) -> list[Send]:
    """Leave a request unanswered until its timers have fired; return the attempts sent by the timers."""
    for _ in range(20):
        driver.now += interval
        driver.serve(**fields)
    driver.now += interval
    actions = driver.ask(**fields)
    hedges = []
    for timer in sorted(actions_of_type(actions, SetTimer), key=lambda t: t.delay):
        fires_at = driver.now + timer.delay
        hedges += sends(driver.balancer.handle(fires_at, TimerFired(timer.token)))
    return hedges


def test_an_overdue_request_gets_one_second_copy_elsewhere() -> None:
    (hedge,) = hedges_of_overdue_request(Driver(fleet(4)))
    assert hedge.endpoint in (1, 2, 3, 4)


def test_fragile_requests_and_overloads_get_no_copies() -> None:
    assert hedges_of_overdue_request(Driver(fleet(4)), grade=1) == []
    driver = Driver(fleet(4))
    driver.balancer.hedge_tokens = -100.0
    assert hedges_of_overdue_request(driver) == []


def test_one_that_meets_its_servers_often_sends_no_copies() -> None:
    # At 25 requests to a server per half-life of an error, an overdue request is expensive, as is its hedge.
    assert hedges_of_overdue_request(Driver(fleet(4)), interval=100 * MS) == []
    assert len(hedges_of_overdue_request(Driver(fleet(4)), interval=S)) == 1  # 2.5 requests


def test_an_early_repeat_tells_how_long_the_client_has_waited() -> None:
    request_class = replace(RETRYABLE, late_value=0.0)
    driver = Driver(fleet(3), replace(SETTINGS, request_classes=(request_class,)))
    driver.ask()
    actions = driver.ask(budget=request_class.deadline - request_class.target, is_retry=True)
    assert isinstance(actions[-1], Refuse)  # its target has passed: an answer would have no value
    # Impatient clients send first tries with a smaller time budget. Taken for late retries, they raised the
    # refused share further and further.
    assert sends(driver.ask(budget=request_class.deadline - request_class.target))


def test_work_that_can_earn_nothing_more_is_stopped() -> None:
    driver = Driver(fleet(3), replace(SETTINGS, request_classes=(replace(RETRYABLE, late_value=0.0),)))
    assert sends(driver.ask())[0].timeout == RETRYABLE.target


def test_drains_are_kept_from_the_moment_they_are_known() -> None:
    driver = Driver(fleet(2))
    driver.feed(Membership(ListKind.DELTA, (Endpoint(1, state=State.DRAINING),)))
    assert {driver.serve() for _ in range(10)} == {2}
    driver.feed(Membership(ListKind.FULL, (Endpoint(1),)))
    assert {driver.serve() for _ in range(10)} == {1}


def test_an_empty_list_refuses_at_once() -> None:
    driver = Driver(())
    assert isinstance(driver.ask(grade=1)[-1], Refuse)


def test_a_spent_budget_is_refused_not_lost() -> None:
    driver = Driver(fleet(2))
    assert isinstance(driver.ask(budget=0)[-1], Refuse)


@pytest.mark.parametrize(("grade", "tenant"), [(99, 0), (-1, 0), (0, 99), (0, -5)])
def test_indexes_out_of_range_are_served(grade: int, tenant: int) -> None:
    driver = Driver(fleet(2), replace(SETTINGS, tenants=(Tenant(1.0, 10.0),)))
    assert sends(driver.ask(grade=grade, tenant=tenant))


def test_a_fragile_request_that_may_have_run_fails() -> None:
    driver = Driver(fleet(3))
    send = sends(driver.ask(grade=1))[0]
    assert [type(action) for action in driver.end(send, Outcome.ERROR)] == [Fail]


def test_a_fragile_request_that_never_ran_is_sent_again() -> None:
    driver = Driver(fleet(3))
    send = sends(driver.ask(grade=1))[0]
    assert sends(driver.end(send, Outcome.BUSY))


def test_a_celled_request_is_resent_in_its_cell_only() -> None:
    driver = Driver(fleet(8))
    send = sends(driver.ask(grade=2))[0]
    retries = sends(driver.end(send, Outcome.ERROR))
    assert [retry.endpoint for retry in retries] == [
        send.endpoint - 1 if send.endpoint % 2 == 0 else send.endpoint + 1
    ]


def test_a_celled_request_is_not_resent_past_its_window() -> None:
    request_class = replace(DEDUP_IN_CELL, dedup_window=10 * MS)
    driver = Driver(fleet(8), replace(SETTINGS, request_classes=(request_class,)))
    send = sends(driver.ask())[0]
    assert [type(action) for action in driver.end(send, Outcome.ERROR)] == [Fail]


def test_nothing_follows_the_answer() -> None:
    driver = Driver(fleet(3))
    send = sends(driver.ask())[0]
    driver.end(send, Outcome.DONE)
    assert not driver.end(send, Outcome.TIMED_OUT)
    timers = list(driver.balancer.timers)
    assert not any(driver.feed(TimerFired(token)) for token in timers)


def test_keys_come_back_to_their_server_within_its_share() -> None:
    key_settings = replace(SETTINGS, key_affinity=True)
    first_targets = Counter(Driver(fleet(12), key_settings, seed).target(key="acct/7") for seed in range(60))
    assert first_targets.most_common(1)[0][1] >= 20  # sidecars agree without communication
    driver = Driver(fleet(12), key_settings)
    counts = Counter(driver.serve(key="acct/7") for _ in range(240))
    assert max(counts.values()) <= 22 and len(counts) == 12  # the current weights bound the load of a hot key


def test_sparse_sidecars_close_their_connections() -> None:
    driver = Driver(fleet(6))
    rare_requests = [driver.ask(after=5 * S) for _ in range(20)]
    assert actions_of_type(driver.end(sends(rare_requests[-1])[0], Outcome.DONE), CloseIdle)
    busy_driver = Driver(fleet(6))
    frequent_requests = [busy_driver.ask(after=10 * MS) for _ in range(20)]
    assert not actions_of_type(busy_driver.end(sends(frequent_requests[-1])[0], Outcome.DONE), CloseIdle)


def test_a_slow_server_loses_turns() -> None:
    driver = Driver(fleet(4))
    counts: Counter[int] = Counter()
    for _ in range(200):
        send = sends(driver.ask())[0]
        counts[send.endpoint] += 1
        driver.end(send, Outcome.DONE, after=400 * MS if send.endpoint == 1 else 50 * MS)
    assert counts[1] < 25


def test_an_attempt_out_past_its_aim_counts_before_its_time_out() -> None:
    driver = Driver(fleet(2))
    actions = driver.ask(grade=1)
    timer = next(action for action in actions if isinstance(action, SetTimer))
    driver.feed(TimerFired(timer.token), after=timer.delay)
    assert driver.balancer.servers[sends(actions)[0].endpoint].errors == pytest.approx(1.0)


def three_zone_fleet() -> tuple[Endpoint, ...]:
    return tuple(Endpoint(n, zone=n % 3) for n in range(1, 13))


def test_requests_stay_in_their_zone_where_crossing_costs() -> None:
    driver = Driver(three_zone_fleet(), replace(SETTINGS, fleet_size=100, cross_zone_price=0.05, zone=1))
    assert {driver.serve() % 3 for _ in range(60)} == {1}


def test_a_small_fleet_does_not_pile_up_at_home() -> None:
    # Two sidecars sent half of all requests to the only server of their zone (churn, rude days).
    fleet_settings = replace(SETTINGS, fleet_size=2, cross_zone_price=0.05, zone=1)
    driver = Driver(
        (Endpoint(1, zone=1), *(Endpoint(number, zone=2 + number % 3) for number in range(2, 7))),
        fleet_settings,
    )
    endpoints = [driver.serve() for _ in range(120)]
    assert 20 <= endpoints.count(1) <= 30


def test_an_ailing_zone_sends_requests_away() -> None:
    driver = Driver(three_zone_fleet(), replace(SETTINGS, cross_zone_price=0.05, zone=1))
    for _ in range(60):
        send = sends(driver.ask(grade=1))[0]
        driver.end(send, Outcome.ERROR if send.endpoint % 3 == 1 else Outcome.DONE)
    zones = [driver.target(grade=1, after=100 * MS) % 3 for _ in range(60)]
    assert sum(zone != 1 for zone in zones) > 30


def test_without_a_home_all_zones_serve() -> None:
    driver = Driver(three_zone_fleet(), replace(SETTINGS, cross_zone_price=0.05, zone=7))
    assert len({driver.serve() for _ in range(24)}) == 12


def answer_late(driver: Driver, rounds: int) -> None:
    """Send requests and answer all of them after their target."""
    for _ in range(rounds):
        for send in sends(driver.ask()):
            driver.end(send, Outcome.DONE, after=RETRYABLE.target + MS)


def test_late_answers_everywhere_lead_to_early_refusals() -> None:
    driver = Driver(fleet(4))
    answer_late(driver, 100)
    refused = sum(bool(actions_of_type(driver.ask(), Refuse)) for _ in range(100))
    assert 60 < refused < 100


def test_the_least_worth_is_refused_first() -> None:
    driver = Driver(fleet(4), replace(SETTINGS, request_classes=(RETRYABLE, FRAGILE)))
    for _ in range(20):
        for grade in (0, 1):
            for send in sends(driver.ask(grade=grade)):
                driver.end(send, Outcome.DONE, after=RETRYABLE.target + MS)
    refused: Counter[int] = Counter()
    for number in range(80):
        driver.balancer.overload.refused_share = 0.4
        actions = driver.ask(grade=number % 2)
        refused[number % 2] += bool(actions_of_type(actions, Refuse))
        for send in sends(actions):
            driver.end(send, Outcome.DONE)
    assert refused[0] > 25 and refused[1] == 0


def test_a_tenant_past_its_share_is_refused_first() -> None:
    tenants = (Tenant(0.5, 10.0), Tenant(0.5, 10.0))
    driver = Driver(fleet(4), replace(SETTINGS, tenants=tenants, over_share_value_factor=0.1))
    refused: Counter[int] = Counter()
    over_share_counts: Counter[int] = Counter()
    for number in range(200):
        driver.balancer.overload.refused_share = 0.15
        tenant = 0 if number % 4 == 0 else 1
        refusals = actions_of_type(driver.ask(tenant=tenant), Refuse)
        refused[tenant] += len(refusals)
        over_share_counts[tenant] += sum(refusal.over_share for refusal in refusals)
    assert refused[1] > 20 and refused[0] <= 2
    assert over_share_counts[1] > 20 and over_share_counts[0] == 0


@pytest.mark.parametrize("seed", range(8))
def test_a_newcomer_that_waits_for_its_turn_serves_at_once_when_the_others_go(seed: int) -> None:
    driver = Driver(fleet(2), seed=seed)
    for _ in range(20):
        driver.serve()
    newcomer = Endpoint(id=3, cell=2)
    driver.feed(Membership(ListKind.DELTA, (newcomer,)))
    driver.feed(
        Membership(ListKind.DELTA, tuple(replace(endpoint, state=State.REMOVED) for endpoint in fleet(2)))
    )
    assert [driver.target() for _ in range(5)] == [3] * 5


def test_a_stream_that_has_begun_is_not_blamed_for_lasting() -> None:
    for stream_begins, errors in ((True, 0.0), (False, 1.0)):
        driver = Driver(fleet(1))
        actions = driver.ask()
        (send,) = sends(actions)
        if stream_begins:
            driver.feed(StreamBegan(send.id, 0))
        for timer in actions_of_type(actions, SetTimer):
            driver.feed(TimerFired(timer.token), after=S)
        assert driver.balancer.servers[1].errors == errors


def test_streams_that_last_are_no_queue_and_their_length_tells_nothing() -> None:
    driver = Driver(fleet(4))
    for _ in range(100):
        driver.serve()
    overload = driver.balancer.overload
    before = (
        overload.smoothed_latency_fraction,
        overload.refused_share,
        dict(driver.balancer.latency_estimates),
    )
    streams = []
    for _ in range(200):
        (send,) = sends(driver.ask(after=MS))
        driver.feed(StreamBegan(send.id, 0))
        streams.append(send)
    assert not actions_of_type(driver.ask(after=MS), Refuse)
    for send in streams:
        driver.end(send, Outcome.DONE, after=100 * MS)
    assert overload.refused_share == before[1] and driver.balancer.latency_estimates == before[2]
    assert overload.smoothed_latency_fraction < 0.1  # all streams began at once
    assert overload.answer_gap < 10 * MS  # measured at the starts of the streams, not at their ends
    assert driver.balancer.streaming_count == 0


def test_a_lost_try_is_not_repeated_at_a_server_that_has_gone_since() -> None:
    driver = Driver(fleet(1))
    (send,) = sends(driver.ask(grade=2))
    driver.feed(Membership(ListKind.DELTA, (replace(fleet(1)[0], state=State.REMOVED),)))
    actions = driver.end(send, Outcome.RESET)
    assert not sends(actions)
    assert len(actions_of_type(actions, Fail)) == 1


def test_a_refusal_for_want_of_servers_is_not_laid_to_the_tenant() -> None:
    driver = Driver((), replace(SETTINGS, tenants=(Tenant(0.01, 1.0),)))
    refusals = [refusal for _ in range(50) for refusal in actions_of_type(driver.ask(tenant=0), Refuse)]
    assert len(refusals) == 50
    assert not any(refusal.over_share for refusal in refusals)


def test_a_busy_sidecar_refuses_by_what_it_has_under_way() -> None:
    # A sidecar that waited for late answers swung between refusing nothing and nearly all (wide+reset+stale).
    driver = Driver(fleet(4))
    for _ in range(100):
        driver.serve()
    actions_by_request = [driver.ask(after=MS) for _ in range(100)]
    refused = [bool(actions_of_type(actions, Refuse)) for actions in actions_by_request]
    assert not any(refused[:10]) and all(refused[60:])
    for actions in actions_by_request:
        for send in sends(actions):
            driver.end(send, Outcome.DONE, after=MS)
    assert sends(driver.ask())


def test_one_error_among_many_answers_does_not_empty_a_server() -> None:
    driver = Driver(fleet(4))
    for _ in range(40):
        driver.serve()
    driver.serve(Outcome.ERROR, grade=1)
    driver.balancer._recompute_weights()
    min_busy_weight = min(server.weight for server in driver.balancer.pool)
    sparse_driver = Driver(fleet(4))
    for _ in range(8):
        sparse_driver.end(sends(sparse_driver.ask(after=5 * S))[0], Outcome.DONE)
    sparse_driver.serve(Outcome.ERROR, grade=1)
    sparse_driver.balancer._recompute_weights()
    assert min_busy_weight > 2 * min(server.weight for server in sparse_driver.balancer.pool)


def test_kept_connections_that_end_early_blame_no_server_but_may_have_run() -> None:
    driver = Driver(fleet(4))
    send = sends(driver.ask(grade=1))[0]
    assert [type(action) for action in driver.end(send, Outcome.STALE)] == [Fail]
    assert not any(server.errors for server in driver.balancer.servers.values())


def test_refusals_end_when_answers_come_in_time() -> None:
    driver = Driver(fleet(4))
    driver.balancer.overload.refused_share = 0.9
    for _ in range(2000):
        for send in sends(driver.ask()):
            driver.end(send, Outcome.DONE)
    assert driver.balancer.overload.refused_share == 0.0


def test_discovery_is_asked_in_time_and_not_by_all_at_once() -> None:
    fleet_settings = replace(SETTINGS, fleet_size=100, calls_discovery=True, discovery_call_span=10 * S)
    assert max(first_call_delays(fleet_settings)) <= fleet_settings.discovery_call_span
    assert max(first_call_delays(fleet_settings)) - min(first_call_delays(fleet_settings)) > S
    assert max(first_call_delays(replace(fleet_settings, fleet_size=2))) < S // 2  # its list may be stale


@pytest.mark.parametrize("seed", range(20))
def test_whichever_of_a_fleet_begin_together_spread_their_first_calls_by_their_slots(seed: int) -> None:
    fleet_settings = replace(SETTINGS, fleet_size=24, calls_discovery=True, discovery_call_span=10 * S)
    instance_indexes = random.Random(seed).sample(range(24), 20)
    call_times = sorted(
        max(first_call_delays(replace(fleet_settings, instance_index=slot), seeds=1))
        for slot in instance_indexes
    )
    backlog, last_call, max_backlog = 0, 0, 0
    for call in call_times:  # a discovery service that answers four calls a second; `backlog` is in ns
        backlog = max(0, backlog - (call - last_call)) + S // 4
        last_call, max_backlog = call, max(max_backlog, backlog)
    assert max_backlog <= 1.25 * S, (seed, call_times)


def test_where_no_slot_is_told_first_calls_are_spread_by_luck() -> None:
    fleet_settings = replace(
        SETTINGS, fleet_size=24, calls_discovery=True, discovery_call_span=10 * S, instance_index=0
    )
    assert len(set(first_call_delays(fleet_settings))) == 50


def first_call_delays(balancer_settings: Settings, seeds: int = 50) -> list[int]:
    """Return the delay from its start to its first discovery call, for one sidecar per seed."""
    delays = []
    for seed in range(seeds):
        balancer = Balancer(balancer_settings, seed)
        (timer,) = actions_of_type(balancer.handle(START, Started()), SetTimer)
        delays.append(timer.delay)
        assert balancer.handle(START + delays[-1], TimerFired(timer.token)) == [Watch()]
    return delays


def test_failed_discovery_calls_are_repeated_after_a_while() -> None:
    driver = Driver(fleet(2), replace(SETTINGS, calls_discovery=True))
    for _ in range(5):
        (timer,) = driver.feed(Membership(ListKind.FAILED))
        assert isinstance(timer, SetTimer) and timer.delay <= 4 * SETTINGS.discovery_call_span
        assert driver.feed(TimerFired(timer.token), after=timer.delay) == [Watch()]
    assert driver.serve() in (1, 2)  # the earlier list stays in use


def test_cancels_what_is_out_when_the_client_leaves() -> None:
    driver = Driver(fleet(2))
    send = next(action for action in driver.ask() if isinstance(action, Send))
    assert driver.feed(ClientLeft(send.id)) == [Cancel(send.id, 0)]
    assert driver.feed(ClientLeft(send.id)) == []


def test_the_strictest_class_is_fragile_for_unknown_grades() -> None:
    driver = Driver(fleet(3), replace(SETTINGS, request_classes=(FRAGILE,)))
    send = sends(driver.ask(grade=5))[0]
    assert [type(action) for action in driver.end(send, Outcome.RESET)] == [Fail]


def test_turns_follow_the_pace_of_a_kind_of_machine() -> None:
    # Listed capacities count cores only: the slow kind got as many requests as the fast one and was
    # overloaded (i47417b).
    driver = Driver(tuple(Endpoint(number, kind=number % 2) for number in range(1, 9)))
    counts: Counter[int] = Counter()
    for number in range(400):
        send = sends(driver.ask())[0]
        counts[send.endpoint % 2] += number >= 200
        driver.end(send, Outcome.DONE, after=80 * MS if send.endpoint % 2 else 40 * MS)
    assert counts[0] > 1.6 * counts[1]


def test_turns_follow_the_pace_of_one_server_where_it_is_met_often() -> None:
    driver = Driver(fleet(6))
    counts: Counter[int] = Counter()
    for n in range(900):
        send = sends(driver.ask())[0]
        counts[send.endpoint] += n >= 600
        driver.end(send, Outcome.DONE, after=50 * MS if send.endpoint == 1 else 25 * MS)
    mean_count = sum(counts[endpoint] for endpoint in range(2, 7)) / 5
    assert 0.5 * mean_count < counts[1] < 0.8 * mean_count


def test_a_cold_server_gets_few_repeats() -> None:
    driver = Driver((Endpoint(1), Endpoint(2, cell=1, started=START)))
    retry_count = 0
    for _ in range(200):
        for send in sends(driver.ask(grade=2, after=40 * MS)):
            lost = send.endpoint == 2
            retries = sends(driver.end(send, Outcome.RESET if lost else Outcome.DONE, after=MS))
            retry_count += len(retries)
            for retry in retries:
                driver.end(retry, Outcome.DONE, after=MS, attempt=1)
    assert 0 < retry_count <= 200 * HEDGES_PER_REQUEST + MAX_HEDGE_TOKENS
