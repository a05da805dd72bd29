"""Faults between members in virtual time: both bounds of garnethaven/tenants/bound.py hold in every span.

Each case was seen to exceed a bound when the rule that it tests was removed from the code.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random

import pytest

from garnethaven.peers.conversation import Topic
from garnethaven.tenants.admission import TenantCounters
from garnethaven.tenants.bound import FleetParameters, max_excess, max_shortfall
from garnethaven.tenants.sharing import TOPIC
from rigs.members import NS_PER_S, Links, World, worst_over, worst_under

MEMBERS = 12
SEEDS = [3, Random().getrandbits(20)]
Cut = Callable[[str, str], bool]


def make_world(seed: int, loss: float = 0.1, delay_s: float = 0.025, **parameters: float) -> World:
    print("seed", seed)
    estate = FleetParameters(MEMBERS, 60.0, 60.0, loss=0.1, delay_s=0.05, **parameters)  # type: ignore[arg-type]
    world = World(seed, estate, Links(loss, delay_s))
    return world


def add_overload(
    world: World, names: Iterable[str], until: float, since: float = 4.0, times: float = 20.0
) -> None:
    """Adds requests at `times` the allowance, spread over these members."""
    member_names = list(names)
    for name in member_names:
        world.schedule_requests(name, times * world.estate.per_s / len(member_names), since, until)


def check_bounds(world: World, below: bool = True) -> tuple[float, float]:
    """Checks both bounds; returns the worst excess and the worst shortfall."""
    admitted = [at / NS_PER_S for at in world.accepted_at_ns]
    requested = sorted(admitted + [at / NS_PER_S for at in world.refused_at_ns])
    worst = worst_over(admitted, world.estate.per_s), worst_under(admitted, requested, world.estate.per_s)
    assert worst[0] <= max_excess(world.estate), (worst, max_excess(world.estate))
    assert not below or worst[1] <= max_shortfall(world.estate), (worst, max_shortfall(world.estate))
    return worst


def partition(since: float, until: float, world: World, inner: set[str], ways: int = 2) -> Cut:
    """Cuts messages from outside to inside members; with two ways, those in the other direction too."""

    def cut(sender: str, receiver: str) -> bool:
        if not since * NS_PER_S <= world.now < until * NS_PER_S or (sender in inner) == (receiver in inner):
            return False
        return ways == 2 or receiver in inner

    return cut


@pytest.mark.parametrize("seed", SEEDS)
def test_a_burst_at_all_members_stays_in_the_bound_and_comes_near_it(seed: int) -> None:
    world = make_world(seed)
    world.start()
    for name in world.names:
        world.schedule_requests(name, 1.0, 0.0, 8.0)
    add_overload(world, world.names, 14.0, since=8.0)
    world.run(14.0)
    worst, _ = check_bounds(world)
    assert 4 * worst >= max_excess(world.estate)


@pytest.mark.parametrize("seed", SEEDS)
def test_loss_a_second_of_delay_reordering_and_repeats_at_once(seed: int) -> None:
    world = make_world(seed, loss=0.1, delay_s=0.5, cut=1 - 1 / MEMBERS, cut_s=12.0)
    world.links.duplicate_probability = 0.3
    world.start()
    add_overload(world, world.names, 14.0)
    world.run(14.0)
    check_bounds(world)


@pytest.mark.parametrize("ways", [1, 2])
@pytest.mark.parametrize("seed", SEEDS)
def test_halves_that_are_cut_divide_the_allowance_and_find_one_another(seed: int, ways: int) -> None:
    world = make_world(seed, cut=0.5, cut_s=8.0)
    inner = set(world.names[: MEMBERS // 2])
    world.links.cut = partition(8.0, 16.0, world, inner, ways)
    world.start()
    add_overload(world, ["m0", "m11"], 24.0)  # one in each half
    world.run(24.0)
    check_bounds(world)
    late = [at for at in world.accepted_at_ns if 13.0 * NS_PER_S < at < 16.0 * NS_PER_S]
    assert len(late) <= 3.0 * world.estate.per_s * 1.05  # neither half uses the share reserved for the other
    assert {member.peer.horizon(world.clock(member)).heard for member in world.members.values()} == {MEMBERS}


@pytest.mark.parametrize("seed", SEEDS)
def test_a_burst_that_begins_on_one_side_as_the_cut_comes(seed: int) -> None:
    world = make_world(seed, cut=0.5, cut_s=8.0, changes=2)
    world.links.cut = partition(8.0, 16.0, world, set(world.names[:6]))
    world.start()
    add_overload(world, ["m0"], 22.0)
    add_overload(world, ["m11"], 22.0, since=8.0)
    world.run(22.0)
    check_bounds(world)


@pytest.mark.parametrize("seed", SEEDS)
def test_one_that_hears_nothing_for_twenty_seconds_and_is_asked_as_usual(seed: int) -> None:
    world = make_world(seed, cut=1 - 1 / MEMBERS, cut_s=20.0, changes=2)
    world.links.cut = partition(6.0, 26.0, world, {"m0"}, ways=1)
    world.start()
    add_overload(world, ["m0"], 30.0)
    add_overload(world, ["m5"], 30.0)
    world.run(30.0)
    check_bounds(world)
    assert world.accepted_by_member["m0"] < world.accepted_by_member["m5"] / 3
    assert world.members["m0"].peer.members.is_isolated() is False  # its links work again


@pytest.mark.parametrize("seed", SEEDS)
def test_stalled_members_wake_with_old_counts(seed: int) -> None:
    world = make_world(seed, cut=0.25, cut_s=3.0, changes=2)
    world.start()
    add_overload(world, world.names[:3], 18.0)
    for name in world.names[:3]:
        world.schedule_at(8.0, lambda name=name: world.stall(name, 3.0))  # type: ignore[misc]
    add_overload(world, world.names[6:], 18.0, since=8.2)  # these receive the demand in the meantime
    world.run(18.0)
    check_bounds(world)


@pytest.mark.parametrize("seed", SEEDS)
def test_all_restart_within_a_second_and_what_ended_counts_no_more(seed: int) -> None:
    world = make_world(seed, cut=1 - 1 / MEMBERS, cut_s=2.0, changes=2)
    world.start()
    add_overload(world, world.names, 16.0)
    for name in world.names:
        world.schedule_at(8.0, lambda name=name: world.kill(name))  # type: ignore[misc]
        world.schedule_at(8.1 + world.rng.random(), lambda name=name: world.start_process(name))  # type: ignore[misc]
    world.run(16.0)
    check_bounds(world)
    world.run(30.0)
    for member in world.members.values():
        member.sharing.update(world.clock(member))
        assert member.admission.view is not None
        assert not any(sum(demands) for demands in member.admission.view.demands.values())


@pytest.mark.parametrize("seed", SEEDS)
def test_one_that_joins_in_the_middle_of_a_burst(seed: int) -> None:
    world = make_world(seed, beginners=1, changes=2)
    world.listed = False
    world.start()
    add_overload(world, world.names, 20.0)
    world.schedule_at(8.0, lambda: world.start_process("new") and None)
    world.schedule_requests("new", 400.0, 8.0, 20.0)
    world.run(20.0)
    check_bounds(world)
    assert world.members["m7"].peer.members.member_count() == MEMBERS + 1
    assert world.accepted_by_member["new"] >= 0.5 * 60 / (MEMBERS + 1) * 6


@pytest.mark.parametrize("seed", SEEDS)
def test_a_burst_that_moves_every_fifth_of_a_second_stays_bounded_and_finds_its_floor(seed: int) -> None:
    world = make_world(seed)
    world.start()
    for step in range(150):
        world.schedule_requests(
            world.rng.choice(world.names), 20 * world.estate.per_s, step / 5, step / 5 + 0.2
        )
    world.run(30.0)
    check_bounds(world, below=False)  # it never stays long enough: only the floor is guaranteed
    assert len(world.accepted_at_ns) >= 0.08 * 30 * world.estate.per_s


@pytest.mark.parametrize("seed", SEEDS)
def test_clocks_apart_one_fast_and_one_that_was_set_back(seed: int) -> None:
    world = make_world(seed, changes=2)
    for number, name in enumerate(world.names):
        world.start_process(name, world.rng.randrange(2 * NS_PER_S), 0.99 + 0.02 * number / MEMBERS)
    add_overload(world, world.names, 18.0)
    world.schedule_at(8.0, lambda: world.kill("m3"))
    world.schedule_at(8.5, lambda: world.start_process("m3", 0, 1.0, life=5) and None)
    world.run(18.0)
    check_bounds(world)
    assert world.members["m0"].peer.rows.current["m3"].row.incarnation > 1000


@pytest.mark.parametrize("seed", SEEDS)
def test_counts_are_neither_lost_nor_doubled_over_a_restart(seed: int) -> None:
    world = make_world(seed)
    world.links.duplicate_probability = 0.5
    world.start()
    add_overload(world, ["m1"], 7.0, times=2.0)
    world.schedule_at(9.0, lambda: world.kill("m1"))
    world.schedule_at(9.3, lambda: world.start_process("m1") and None)
    add_overload(world, ["m1"], 12.0, since=10.0, times=1.0)
    world.run(16.0)
    requested, admitted = len(world.accepted_at_ns) + len(world.refused_at_ns), len(world.accepted_at_ns)
    for member in world.members.values():
        (totals,) = member.sharing.totals().values()
        assert totals == (requested, admitted), member.name


def publish_absurd_demand(world: World, name: str) -> None:
    """Makes this member publish an absurdly high demand."""
    member = world.members[name]
    tenant_id = member.admission.id_of("t")
    assert tenant_id is not None
    counters = [TenantCounters(tenant_id, 1e9, 1, 1)]
    member.peer.topics[TOPIC] = Topic(lambda now: counters, lambda: None)


@pytest.mark.parametrize("seed", SEEDS)
def test_one_that_lies_takes_its_even_part_from_the_others_and_is_named(seed: int) -> None:
    world = make_world(seed, changes=2)
    world.start()
    publish_absurd_demand(world, "m4")
    world.run(4.0)
    add_overload(world, ["m0"], 20.0)
    world.run(20.0)
    check_bounds(world)
    late = [at for at in world.accepted_at_ns if at > 14.0 * NS_PER_S]
    # The rest goes to the faulty member, whatever demand it publishes.
    assert len(late) >= 6.0 * world.estate.per_s * 0.45
    assert "m4" in world.members["m0"].sharing.implausible


def test_counts_stay_where_a_later_row_has_no_room_for_them() -> None:
    world = make_world(3)
    world.start()
    add_overload(world, ["m1"], 7.0, times=2.0)
    world.run(10.0)
    member = world.members["m1"]
    member.peer.topics[TOPIC] = Topic(lambda now: [], lambda: None)
    world.run(14.0)
    requested, admitted = len(world.accepted_at_ns) + len(world.refused_at_ns), len(world.accepted_at_ns)
    for other_member in world.members.values():
        (totals,) = other_member.sharing.totals().values()
        assert totals == (requested, admitted), other_member.name
