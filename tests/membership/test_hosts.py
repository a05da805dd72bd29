"""The choice and backoff of hosts, for one client and for many; and the delay of batches."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from garnethaven.membership.batches import MAX_DELAY_S, Batches
from garnethaven.membership.hosts import MAX_WAIT_S as HOST_MAX_WAIT_S
from garnethaven.membership.hosts import REFUSED_PAUSE_S, Hosts

THREE = (("127.0.0.1", 1), ("127.0.0.1", 2), ("127.0.0.1", 3))


def test_every_host_is_tried_in_turn() -> None:
    hosts = Hosts(THREE, 0.5, Random(1))
    assert sorted(hosts.next() for _ in range(3)) == sorted(THREE)


def test_two_hundred_clients_that_lose_a_host_come_back_spread_over_time_and_hosts() -> None:
    clients = [Hosts(THREE, 0.5, Random(seed)) for seed in range(200)]
    lost = [client for client in clients if client.next() == THREE[0]]
    assert 40 < len(lost) < 95  # the first choices are spread as well
    retries = [(client.wait_s(), client.next()) for client in lost]
    retries_per_slot = Counter(int(wait / 0.05) for wait, _ in retries)
    assert max(retries_per_slot.values()) < 0.3 * len(lost)
    next_hosts = Counter(host for _, host in retries)
    assert set(next_hosts) == set(THREE[1:])
    assert max(next_hosts.values()) < 0.7 * len(lost)


def test_waits_grow_with_failures_up_to_a_bound_and_start_anew_after_a_session_that_lasted() -> None:
    hosts = Hosts(THREE, 0.5, Random(3))
    waits = [hosts.wait_s() for _ in range(400)]
    assert max(waits) <= HOST_MAX_WAIT_S
    assert max(waits[50:]) > 4.0
    assert min(waits[50:]) < 0.5  # full jitter
    hosts.reset_backoff()
    assert hosts.wait_s() <= 0.5


def test_a_refusal_is_no_reason_for_haste() -> None:
    hosts = Hosts(THREE, 0.5, Random(4))
    assert all(hosts.wait_s(refused=True) >= REFUSED_PAUSE_S for _ in range(10))


def test_no_hosts_are_an_error() -> None:
    with pytest.raises(ValueError, match="no host"):
        Hosts((), 0.5, Random(1))


def test_the_first_change_after_a_calm_goes_at_once_and_costly_ones_are_gathered() -> None:
    batches = Batches()
    assert batches.wait_s(5.0) == 0.0
    batches.done(5.0, 5.002)  # 2 ms of work, 18 ms of pause: a tenth of the loop's time
    assert batches.wait_s(5.002) == pytest.approx(0.018)
    assert batches.wait_s(5.1) == 0.0


def test_a_change_never_waits_for_longer_than_the_bound_whatever_the_last_cost() -> None:
    batches = Batches()
    batches.done(1.0, 3.0)
    assert batches.wait_s(3.0) == MAX_DELAY_S < 0.25  # well within the grace period of drains
