"""Which client connections are closed near the connection limit, in simulated time without I/O."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import pytest

from garnethaven.limits.connection_limit import (
    FIRST_REQUEST_GRACE_S,
    FULL_PRESSURE_WAIT_S,
    PRESSURE_FULL,
    PRESSURE_START,
    UNPRESSURED_WAIT_S,
    ClientConnectionLimit,
    ConnectionHistory,
)


@dataclass
class Connection:
    name: str
    usage: ConnectionHistory = field(default_factory=lambda: ConnectionHistory(0.0))


def used(name: str, times: list[float], places: ClientConnectionLimit) -> Connection:
    """A connection opened at the first time, with a request and its immediate answer at each later one."""
    connection = Connection(name, ConnectionHistory(times[0]))
    for at in times[1:]:
        places.record_request(connection.usage, at)
        connection.usage.idle_since = at
    return connection


def test_no_connection_is_closed_while_half_of_the_places_are_free() -> None:
    places = ClientConnectionLimit(local_limit=160, remote_limit=128)
    idle = [used(f"c{n}", [0.0, 0.1], places) for n in range(64)]
    assert places.select_surplus(idle, open_count=64, now=1000.0) == []
    assert not places.ends_with_answer(idle[0].usage, open_count=64, now=1000.0)
    assert places.max_wait_s(64) == pytest.approx(UNPRESSURED_WAIT_S)


def test_the_smaller_side_is_the_limit() -> None:
    assert ClientConnectionLimit(local_limit=160, remote_limit=128).limit == 128
    assert ClientConnectionLimit(local_limit=100, remote_limit=128).limit == 100
    assert ClientConnectionLimit(local_limit=160).limit == 160


def test_places_need_a_positive_count() -> None:
    with pytest.raises(ValueError, match="local 0"):
        ClientConnectionLimit(0)


def test_those_that_asked_once_and_stay_go_before_those_that_come_round() -> None:
    places = ClientConnectionLimit(100)
    regulars = [used(f"u{n}", [0.0, 1.0, 1.2, 1.4, 1.6, 1.8], places) for n in range(10)]
    once = [used(f"o{n}", [0.0, 0.5], places) for n in range(70)]
    closed = places.select_surplus(regulars + once, open_count=80, now=2.0)
    assert closed
    assert {connection.name[0] for connection in closed} == {"o"}


def test_silent_connections_press_on_one_another_only() -> None:
    places = ClientConnectionLimit(100)
    active = [used(f"a{n}", [0.0, 0.1], places) for n in range(10)]
    unused = [Connection(f"s{n}", ConnectionHistory(0.0)) for n in range(90)]
    closed = places.select_surplus(active + unused, open_count=100, now=0.9)
    assert len(closed) >= 50
    assert {connection.name[0] for connection in closed} == {"s"}


def test_a_request_that_may_be_crossing_is_spared() -> None:
    places = ClientConnectionLimit(100)
    for _ in range(500):
        places.record_close(used("x", [0.0, 0.1], places).usage, 5.0)
    idle = [used(f"o{n}", [0.0, 9.999], places) for n in range(100)]
    assert places.select_surplus(idle, open_count=100, now=10.0) == []
    assert places.select_surplus(idle, open_count=100, now=10.2)


def test_one_that_has_just_come_is_spared_until_its_first_request_must_have_come() -> None:
    places = ClientConnectionLimit(100)
    new = [Connection(f"n{n}", ConnectionHistory(10.0)) for n in range(100)]
    # All were opened at once, and the clients write their requests one after the other.
    assert places.select_surplus(new, open_count=100, now=10.05) == []
    assert places.may_have_request_in_transit(new[0].usage, 10.0 + FIRST_REQUEST_GRACE_S / 2)
    assert places.select_surplus(new, open_count=100, now=10.01 + FIRST_REQUEST_GRACE_S)


def test_expected_back_within_a_second_is_spared_below_full_pressure() -> None:
    places = ClientConnectionLimit(100)
    returning_soon = [used(f"u{n}", [0.0, 1.0, 1.9], places) for n in range(80)]  # gaps of 0.9 s
    assert places.select_surplus(returning_soon, open_count=80, now=2.4) == []
    assert places.select_surplus(returning_soon, open_count=86, now=2.4)


def test_an_answer_ends_its_connection_once_such_connections_are_seen_not_to_return() -> None:
    places = ClientConnectionLimit(100)
    connection = used("f", [0.0, 1.0], places)
    assert not places.ends_with_answer(connection.usage, open_count=95, now=1.0)
    for _ in range(300):
        places.record_close(used("x", [0.0, 1.0], places).usage, 4.0)
    ended = [places.ends_with_answer(connection.usage, open_count=95, now=1.0) for _ in range(16)]
    assert ended.count(True) == 14  # two are kept as trials
    assert not places.ends_with_answer(connection.usage, open_count=40, now=1.0)


def test_the_share_that_returns_recovers_when_clients_come_round_again() -> None:
    places = ClientConnectionLimit(100)
    for _ in range(500):
        places.record_close(used("x", [0.0, 1.0], places).usage, 4.0)
    low_return_share = places.return_share
    for _ in range(300):
        used("u", [0.0, 1.0, 1.1], places)
    assert low_return_share < 0.05
    assert places.return_share > 0.9


def test_one_that_was_turned_away_is_worth_less() -> None:
    places = ClientConnectionLimit(100)
    accepted, rejected = used("g", [0.0, 1.0], places), used("b", [0.0, 1.0], places)
    rejected.usage.rejected_count = 1
    assert places.expected_wait(rejected.usage, 1.5) > places.expected_wait(accepted.usage, 1.5)


@pytest.mark.parametrize("seed", range(8))
def test_usual_clients_find_places_among_those_that_ask_once_and_stay(seed: int) -> None:
    """A limit of 128 connections; 100 clients a second send one request and stay, 30 return regularly.

    If idle connections were kept as long as without pressure, there would be 600 of the first kind.
    """
    rng = random.Random(seed)
    places, open_connections, now, missed, closed_regulars = ClientConnectionLimit(160, 128), [], 0.0, 0, 0
    regulars = [Connection(f"u{n}", ConnectionHistory(0.0)) for n in range(30)]
    open_connections = list(regulars)
    next_request_at = {connection.name: rng.uniform(0.0, 0.3) for connection in regulars}
    while now < 20.0:
        now += 0.01
        for _ in range(rng.choice((0, 1, 2))):
            if len(open_connections) >= 128:
                missed += 1
                continue
            connection = used("o", [now, now], places)
            if not places.ends_with_answer(connection.usage, len(open_connections), now):
                open_connections.append(connection)
        for connection in regulars:
            if next_request_at[connection.name] <= now:
                next_request_at[connection.name] = now + rng.uniform(0.1, 0.4)
                places.record_request(connection.usage, now)
                connection.usage.idle_since = now
        for connection in places.select_surplus(open_connections, len(open_connections), now):
            closed_regulars += connection.name != "o"
            open_connections.remove(connection)
    assert missed == 0, seed
    assert closed_regulars == 0, seed
    assert len(open_connections) <= PRESSURE_FULL * 128
    assert places.pressure(len(open_connections)) < 1.0


def test_pressure_runs_from_ease_to_full() -> None:
    places = ClientConnectionLimit(100)
    assert places.pressure(int(PRESSURE_START * 100)) == 0.0
    assert places.pressure(int(PRESSURE_FULL * 100)) == 1.0
    assert places.max_wait_s(100) == pytest.approx(FULL_PRESSURE_WAIT_S)
