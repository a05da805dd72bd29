"""The two properties of shares that admission relies on, for arbitrary demands."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from pytest import approx

from garnethaven.tenants.shares import fair_level, share_of

DEMANDS = st.lists(st.floats(0.0, 500.0), min_size=1, max_size=12)
RATES = st.floats(0.1, 300.0)


def shares(available_rate: float, demands: list[float]) -> list[float]:
    return [
        share_of(
            available_rate,
            own_demand,
            [demand for index, demand in enumerate(demands) if index != member and demand > 0.0],
            idle_members(demands, member),
        )
        for member, own_demand in enumerate(demands)
    ]


def idle_members(demands: list[float], excluded: int) -> int:
    return sum(demand == 0.0 for index, demand in enumerate(demands) if index != excluded)


@given(RATES, DEMANDS)
def test_all_parts_add_up_to_the_pool(available_rate: float, demands: list[float]) -> None:
    assert sum(shares(available_rate, demands)) == approx(available_rate, rel=1e-6)
    assert min(shares(available_rate, demands)) >= -1e-6


@given(RATES, DEMANDS, st.floats(0.0, 200.0), st.integers(0, 11))
def test_a_part_grows_with_its_own_demand_and_falls_with_others(
    available_rate: float, demands: list[float], increase: float, member: int
) -> None:
    member %= len(demands)
    before = shares(available_rate, demands)
    raised = [demand + increase if index == member else demand for index, demand in enumerate(demands)]
    after = shares(available_rate, raised)
    tolerance = 1e-6 * available_rate
    assert after[member] >= before[member] - tolerance
    assert all(after[index] <= before[index] + tolerance for index in range(len(demands)) if index != member)


@given(RATES, DEMANDS)
def test_who_asks_for_less_than_an_even_part_gets_it(available_rate: float, demands: list[float]) -> None:
    even_share = available_rate / len(demands)
    for demand, share in zip(demands, shares(available_rate, demands), strict=True):
        assert share >= min(demand, even_share) - 1e-6 * available_rate


def test_a_lone_demand_has_room_to_grow_and_a_flood_is_cut_even() -> None:
    assert share_of(100.0, 50.0, [], 23) > 60.0
    assert share_of(100.0, 99.0, [], 23) > 99.0
    assert share_of(100.0, 900.0, [900.0, 10.0], 0) == approx(45.0)
    assert fair_level(100.0, [900.0, 900.0, 10.0]) == approx(45.0)
    assert share_of(100.0, 0.0, [], 0) == approx(100.0)
