"""The decision module with a large pool, where round-robin uses a tree: the same rules apply."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

import pytest

from garnethaven.brain import LARGE_POOL_THRESHOLD, MIN_HEALTH
from garnethaven.interface import Endpoint, Fail, ListKind, Membership, Outcome, Refuse, State
from garnethaven.limits.retry_budget import RetryBudget
from tests.helpers import MS, SETTINGS, Driver, S, actions_of_type, fleet, sends


def driver_of(count: int = 300, seed: int = 7, **changes: object) -> Driver:
    return Driver(fleet(count), replace(SETTINGS, **changes), seed)  # type: ignore[arg-type]


def test_many_servers_take_turns_in_a_tree_and_a_few_in_the_ring() -> None:
    driver = driver_of(LARGE_POOL_THRESHOLD + 1)
    assert driver.balancer.large_pool.scheduler is not None
    driver.feed(Membership(ListKind.DELTA, (Endpoint(1, state=State.REMOVED),)))
    driver.feed(Membership(ListKind.FULL, fleet(LARGE_POOL_THRESHOLD)))
    assert driver.balancer.large_pool.scheduler is None
    assert len({driver.target() for _ in range(LARGE_POOL_THRESHOLD)}) >= LARGE_POOL_THRESHOLD - 8


@pytest.mark.parametrize("seed", range(4))
def test_every_server_gets_its_share(seed: int) -> None:
    driver = driver_of(200, seed)
    counts: Counter[int] = Counter()
    for _ in range(2000):
        (send,) = sends(driver.ask(after=MS))
        counts[send.endpoint] += 1
        driver.end(send, Outcome.DONE, after=0)
    assert len(counts) == 200
    assert min(counts.values()) >= 7 and max(counts.values()) <= 13


def test_sizes_are_followed() -> None:
    servers = tuple(
        Endpoint(number, relative_capacity=4.0 if number % 10 == 0 else 1.0) for number in range(1, 201)
    )
    driver = Driver(servers)
    counts: Counter[bool] = Counter()
    for _ in range(2600):
        (send,) = sends(driver.ask(after=MS))
        counts[send.endpoint % 10 == 0] += 1
        driver.end(send, Outcome.DONE, after=0)
    assert counts[True] / 20 == pytest.approx(4 * counts[False] / 180, rel=0.15)


def test_equal_seeds_and_events_give_equal_targets_and_others_do_not_walk_in_lockstep() -> None:
    first, same_seed, other_seed = driver_of(150, 3), driver_of(150, 3), driver_of(150, 4)
    targets = [[driver.target(after=MS) for _ in range(300)] for driver in (first, same_seed, other_seed)]
    assert targets[0] == targets[1]
    assert sum(a == b for a, b in zip(targets[0], targets[2], strict=True)) < 60


def test_a_server_that_fails_keeps_its_floor_and_comes_back() -> None:
    driver = driver_of(100)
    balancer = driver.balancer
    for _ in range(600):
        (send,) = sends(driver.ask(after=MS))
        driver.end(send, Outcome.ERROR if send.endpoint == 5 else Outcome.DONE, after=0)
    leaf = balancer.large_pool.leaf_by_id[5]
    assert balancer.large_pool.scheduler is not None
    penalised_weight = balancer.large_pool.scheduler.weight(leaf)
    healthy_weight = balancer.large_pool.scheduler.weight(balancer.large_pool.leaf_by_id[6])
    assert MIN_HEALTH * healthy_weight * 0.9 <= penalised_weight < 0.7 * healthy_weight
    driver.now += 200 * S
    driver.target()
    assert balancer.large_pool.scheduler.weight(
        balancer.large_pool.leaf_by_id[5]
    ) > 0.95 * balancer.large_pool.scheduler.weight(balancer.large_pool.leaf_by_id[6])


def test_a_change_touches_its_own_server_only() -> None:
    driver = driver_of(2000)
    driver.target()
    balancer = driver.balancer
    recomputations = []
    balancer._recompute_weights = lambda: recomputations.append(1)  # type: ignore[method-assign]
    for number in range(1, 40):
        driver.feed(Membership(ListKind.DELTA, (Endpoint(number, state=State.REMOVED),)), after=0)
        driver.target(after=0)
        driver.feed(
            Membership(ListKind.DELTA, (Endpoint(number, cell=number // 2, started=driver.now),)), after=0
        )
        driver.target(after=0)
    assert not recomputations
    assert len(balancer.pool) == 2000 and [server.id for server in balancer.pool] == list(range(1, 2001))


@pytest.mark.parametrize("seed", range(6))
def test_under_churn_nothing_goes_to_a_server_that_is_gone_or_drains(seed: int) -> None:
    rng = random.Random(seed)
    driver = driver_of(120, seed)
    up = set(range(1, 121))
    for step in range(1500):
        if rng.random() < 0.2:
            number = rng.randrange(1, 200)
            state = rng.choice((State.UP, State.DRAINING, State.REMOVED))
            driver.feed(
                Membership(ListKind.DELTA, (Endpoint(number, cell=number // 2, state=state),)), after=0
            )
            (up.add if state is State.UP else up.discard)(number)
        if step % 400 == 399:
            driver.feed(
                Membership(
                    ListKind.FULL, tuple(Endpoint(endpoint, cell=endpoint // 2) for endpoint in sorted(up))
                ),
                after=0,
            )
        (send,) = sends(driver.ask(grade=step % 4, after=MS))
        assert send.endpoint in up, (seed, step)
        outcome = rng.choice((Outcome.DONE, Outcome.DONE, Outcome.DONE, Outcome.RESET, Outcome.BUSY))
        for retry in sends(driver.end(send, outcome, after=0)):
            assert retry.endpoint in up, (seed, step)
            driver.end(retry, Outcome.DONE, after=0, attempt=1)
    balancer = driver.balancer
    assert sorted(balancer.large_pool.leaf_by_id) == sorted(up)
    assert len(balancer.large_pool.free_leaves) + len(balancer.large_pool.leaf_by_id) == len(
        balancer.large_pool.servers_by_leaf
    )


def test_a_cold_quarter_gets_no_more_than_its_warmth() -> None:
    driver = driver_of(200)
    for number in range(1, 51):
        driver.feed(Membership(ListKind.DELTA, (Endpoint(number, state=State.REMOVED),)), after=0)
    returned = tuple(Endpoint(endpoint, cell=endpoint // 2, started=driver.now) for endpoint in range(1, 51))
    driver.feed(Membership(ListKind.DELTA, returned), after=0)
    counts: Counter[bool] = Counter()
    for _ in range(3000):  # within 1 s of the ramp time of 10 s
        (send,) = sends(driver.ask(after=MS // 3))
        counts[send.endpoint <= 50] += 1
        driver.end(send, Outcome.DONE, after=0)
    assert counts[True] / 50 <= 0.5 * counts[False] / 150


def test_retries_go_to_warm_servers_not_tried_and_a_keyed_one_stays_in_its_rack() -> None:
    driver = driver_of(200)
    for _ in range(50):
        driver.balancer.retry_budget = RetryBudget()  # so that the budget allows every retry
        (send,) = sends(driver.ask(grade=2))
        retries = sends(driver.end(send, Outcome.RESET))
        assert retries and all((retry.endpoint - 1) // 2 == (send.endpoint - 1) // 2 for retry in retries)
        (send,) = sends(driver.ask(grade=1))
        assert len(actions_of_type(driver.end(send, Outcome.RESET), Fail)) == 1


def test_with_all_gone_requests_are_refused_and_served_when_they_return() -> None:
    driver = driver_of(100)
    removed = tuple(replace(endpoint, state=State.REMOVED) for endpoint in fleet(100))
    for first in range(0, 100, 50):
        driver.feed(Membership(ListKind.DELTA, removed[first : first + 50]))
    assert actions_of_type(driver.ask(), Refuse)
    driver.feed(Membership(ListKind.FULL, fleet(100)))
    assert sends(driver.ask())


def test_a_key_goes_to_few_of_many_servers() -> None:
    driver = driver_of(256, key_affinity=True)
    keyed: Counter[int] = Counter()
    for number in range(2000):
        key = "the-key" if number % 10 == 0 else f"k{number}"
        (send,) = sends(driver.ask(after=MS, key=key))
        if number % 10 == 0:
            keyed[send.endpoint] += 1
        driver.end(send, Outcome.DONE, after=0)
    assert max(keyed.values()) >= 8  # 200 requests over 256 servers: less than one each without key affinity


LOCAL_SERVERS = 75


def two_zones(seed: int) -> Driver:
    """Return a driver with 75 local servers, which get all of its requests, and 75 in another zone."""
    servers = tuple(
        Endpoint(number, zone=int(number > LOCAL_SERVERS), cell=number // 2)
        for number in range(1, 2 * LOCAL_SERVERS + 1)
    )
    zone_settings = replace(
        SETTINGS, fleet_size=200, cross_zone_price=0.1, zone=0, ramp_time=24 * S, cold_share=0.2
    )
    driver = Driver(servers, zone_settings, seed)
    for _ in range(200):
        send = sends(driver.ask(after=10 * MS))[0]
        assert send.endpoint <= LOCAL_SERVERS
        driver.end(send, Outcome.DONE, after=0)
    return driver


def remove_local_zone(driver: Driver) -> None:
    for first in (
        1,
        40,
    ):  # in two events of fewer than LARGE_POOL_THRESHOLD entries, which update the tree one by one
        last = min(LOCAL_SERVERS, first + 38)
        removed = tuple(Endpoint(number, zone=0, state=State.REMOVED) for number in range(first, last + 1))
        driver.feed(Membership(ListKind.DELTA, removed), after=200 * MS)


@pytest.mark.parametrize("seed", range(3))
def test_a_sidecar_whose_whole_zone_leaves_the_list_sends_to_the_others(seed: int) -> None:
    driver = two_zones(seed)
    remove_local_zone(driver)
    driver.now += S // 2
    counts: Counter[int] = Counter()
    for _ in range(4 * LOCAL_SERVERS):
        send = sends(driver.ask(after=MS))[0]
        counts[send.endpoint] += 1
        driver.end(send, Outcome.DONE, after=0)
    assert min(counts) > LOCAL_SERVERS and len(counts) == LOCAL_SERVERS
    assert max(counts.values()) <= 8


@pytest.mark.parametrize("seed", range(3))
def test_the_first_cold_server_of_a_lost_zone_gets_its_part_and_not_all(seed: int) -> None:
    driver = two_zones(seed)
    remove_local_zone(driver)
    driver.feed(Membership(ListKind.DELTA, (Endpoint(1, zone=0, started=driver.now + 4 * S),)), after=5 * S)
    counts: Counter[bool] = Counter()
    for _ in range(500):
        send = sends(driver.ask(after=MS))[0]
        counts[send.endpoint == 1] += 1
        driver.end(send, Outcome.DONE, after=0)
    assert counts[True] <= 1.3 * 500 / LOCAL_SERVERS  # the share of a warm server and LOCAL_ZONE_HEADROOM
