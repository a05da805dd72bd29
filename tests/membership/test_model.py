"""The list merged from several sources: which servers are usable, cold or removed."""

from __future__ import annotations

import random
from typing import Any

import pytest

from garnethaven.interface import Endpoint, State
from garnethaven.membership.model import Fact, Member, Model, Reason, number_of

A, B, C = ("10.0.0.1", 80), ("10.0.0.2", 80), ("10.0.0.3", 80)
Z, D = "zookeeper", "discovery"


def fact(address: tuple[str, int] = A, born: int = 1, proof: int = 0, **entry: Any) -> Fact:
    return Fact(address, Endpoint(0, **{"started": born * 100, **entry}), born, proof)


def listed(address: tuple[str, int] = A, **entry: Any) -> Fact:
    """A fact of discovery, which reports no order of creations."""
    return Fact(address, Endpoint(7, **entry))


class World:
    def __init__(self) -> None:
        self.model = Model((Z, D))
        self.now = 0.0

    def change(self, name: str, **facts: Fact | None) -> list[Member]:
        self.now += 1.0
        self.model.change(name, facts, self.now)
        return self.model.take_changes()

    def snapshot(self, name: str, **facts: Fact) -> list[Member]:
        self.now += 1.0
        self.model.snapshot(name, facts, self.now)
        return self.model.take_changes()

    def up(self) -> set[tuple[str, int]]:
        return {address for address, member in self.model.members.items() if member.entry.state is State.UP}


def test_a_server_is_its_address_whoever_tells_of_it() -> None:
    world = World()
    (one,) = world.change(Z, n1=fact(A, cell=3))
    (other,) = world.change(D, s1=listed(A, cell=9)) or [one]
    assert one.entry.id == other.entry.id == number_of(A)
    assert world.model.members[A].entry.cell == 3  # from the source with the highest precedence
    assert world.model.members[A].source == Z


def test_gone_is_gone_though_a_source_further_down_still_tells_of_it() -> None:
    world = World()
    world.change(D, s1=listed(A), s2=listed(B))
    world.change(Z, n1=fact(A))
    (removed,) = world.change(Z, n1=None)
    assert (removed.entry.state, removed.reason) == (State.REMOVED, Reason.VANISHED)
    assert world.up() == {B}
    assert world.change(D, s1=listed(A)) == []  # not new: the same fact as before the removal
    assert world.snapshot(D, s1=listed(A), s2=listed(B)) == []
    (returned,) = world.change(D, s1=listed(A, started=5))  # a changed fact: the server was restarted
    assert (returned.entry.state, returned.entry.started, returned.source) == (State.UP, 5, D)


def test_a_source_further_down_may_come_to_know_a_server_after_its_end() -> None:
    world = World()
    world.change(Z, n1=fact(A))
    world.change(Z, n1=None)
    (returned,) = world.change(D, s1=listed(A))
    assert returned.entry.state is State.UP


def test_a_source_further_down_may_drop_what_another_owns() -> None:
    world = World()
    world.change(Z, n1=fact(A))
    world.change(D, s1=listed(A))
    assert world.change(D, s1=None) == []
    assert world.up() == {A}


def test_draining_anywhere_wins_and_ends_with_the_word() -> None:
    world = World()
    world.change(Z, n1=fact(A))
    (draining,) = world.change(D, s1=listed(A, state=State.DRAINING))
    assert (draining.entry.state, draining.reason) == (State.DRAINING, Reason.DRAINING)
    (returned,) = world.change(D, s1=listed(A))
    assert returned.entry.state is State.UP


def test_two_nodes_of_one_address_are_one_server_and_the_old_ones_end_takes_nothing() -> None:
    world = World()
    world.change(Z, old=fact(A, born=1, state=State.DRAINING))
    (replacement,) = world.change(Z, new=fact(A, born=2))
    assert (replacement.entry.state, replacement.entry.started) == (State.UP, 200)
    assert world.change(Z, old=None) == []
    (removed,) = world.change(Z, new=None)
    assert removed.entry.state is State.REMOVED


def test_the_end_of_the_newer_of_two_nodes_leaves_the_older_ones_word() -> None:
    world = World()
    world.change(Z, old=fact(A, born=1, state=State.DRAINING), new=fact(A, born=2))
    (remaining,) = world.change(Z, new=None)
    assert remaining.entry.state is State.DRAINING


def test_another_creation_is_a_start_anew_unless_the_server_proves_that_it_never_stopped() -> None:
    world = World()
    world.change(Z, n1=fact(A, born=1))
    world.change(Z, n1=None)
    (returned,) = world.change(Z, n1=fact(A, born=5))
    assert returned.entry.started == 500
    (later,) = world.change(Z, n1=fact(A, born=9))  # the removal was never received
    assert later.entry.started == 900

    proven = World()
    proven.change(Z, n1=fact(B, born=1, proof=77))
    proven.change(Z, n1=None)
    (returned,) = proven.change(Z, n1=fact(B, born=5, proof=77))
    assert returned.entry.started == 100
    (restarted,) = proven.change(Z, n1=fact(B, born=6, proof=78))
    assert restarted.entry.started == 600


def test_of_several_starts_the_latest_counts() -> None:
    world = World()
    world.change(D, s1=listed(A, started=50))
    (member,) = world.change(Z, n1=fact(A, born=3))
    assert member.entry.started == 300
    (member,) = world.change(D, s1=listed(A, started=900))
    assert member.entry.started == 900


def test_the_same_creation_told_again_is_no_start() -> None:
    world = World()
    world.change(Z, n1=fact(A, born=1, started=100))
    assert world.change(Z, n1=fact(A, born=1, started=100)) == []
    # The same start, converted with a slightly different clock offset.
    (resized,) = world.change(Z, n1=fact(A, born=1, started=101, relative_capacity=2.0))
    assert (resized.entry.started, resized.entry.relative_capacity) == (100, 2.0)


def test_a_node_that_moves_to_another_address_leaves_nothing_behind() -> None:
    world = World()
    world.change(Z, n1=fact(A))
    moved = world.change(Z, n1=fact(B, born=1))
    assert {member.address: member.entry.state for member in moved} == {A: State.REMOVED, B: State.UP}


def test_a_snapshot_drops_what_it_does_not_tell() -> None:
    world = World()
    world.change(Z, n1=fact(A), n2=fact(B))
    changed = world.snapshot(Z, n2=fact(B), n3=fact(C))
    assert {member.address: member.entry.state for member in changed} == {A: State.REMOVED, C: State.UP}


def test_lost_contact_drops_nothing_and_has_an_age() -> None:
    world = World()
    world.change(Z, n1=fact(A))
    world.model.contact_lost(Z, 10.0)
    world.model.contact_lost(Z, 12.0)
    assert world.model.take_changes() == []
    assert world.up() == {A}
    assert world.model.age_s(Z, 15.0) == 5.0
    world.model.contact_regained(Z)
    assert world.model.age_s(Z, 15.0) == 0.0


def test_all_may_vanish() -> None:
    world = World()
    world.change(Z, n1=fact(A), n2=fact(B), n3=fact(C))
    assert len(world.snapshot(Z)) == 3
    assert world.up() == set()


def test_news_of_what_is_in_use_is_urgent_and_of_newcomers_not() -> None:
    world = World()
    world.model.change(Z, {"n1": fact(A)}, 1.0)
    assert world.model.has_changes() and not world.model.affects_members()
    world.model.take_changes()
    world.model.change(Z, {"n1": None}, 2.0)
    assert world.model.affects_members()


def test_churn_leaves_a_bounded_memory() -> None:
    world = World()
    world.model.MAX_REMOVED_RECORDS = 50  # type: ignore[misc]
    for number in range(500):
        address = (f"10.1.{number // 250}.{number % 250}", 80)
        world.change(Z, n=fact(address, born=number + 1))
        world.change(Z, n=None)
    assert len(world.model.records) <= 51
    assert not world.model.sources[Z].keys and not world.model.members


@pytest.mark.parametrize("seed", range(30))
def test_whatever_is_said_only_what_its_owner_tells_is_usable(seed: int) -> None:
    """Random changes of both sources, compared with a direct evaluation of the rules."""
    rng = random.Random(seed)
    world = World()
    facts_by_source: dict[str, dict[str, Fact]] = {Z: {}, D: {}}
    balancer: dict[int, State] = {}  # as the balancer has it, from the changes alone
    for born in range(1, 201):
        name = rng.choice((Z, D))
        key, address = f"k{rng.randrange(4)}", rng.choice((A, B, C))
        state = State.DRAINING if rng.random() < 0.2 else State.UP
        new = fact(address, born, state=state) if name == Z else listed(address, started=born, state=state)
        removed = rng.random() < 0.4
        if removed:
            facts_by_source[name].pop(key, None)
        else:
            facts_by_source[name][key] = new
        for member in world.change(name, **{key: None if removed else new}):
            balancer[member.entry.id] = member.entry.state
        for address in (A, B, C):
            usable = balancer.get(number_of(address)) is State.UP
            present = [
                candidate
                for facts in facts_by_source.values()
                for candidate in facts.values()
                if candidate.address == address
            ]
            assert not usable or present, (seed, address)
            newest = [
                max(
                    (candidate for candidate in facts.values() if candidate.address == address),
                    key=lambda candidate: candidate.creation,
                )
                for facts in facts_by_source.values()
                if any(candidate.address == address for candidate in facts.values())
            ]
            if (
                usable
                and facts_by_source[Z]
                and any(candidate.address == address for candidate in facts_by_source[Z].values())
            ):
                assert newest[0].entry.state is State.UP, (seed, address)
        up = {number for number, state in balancer.items() if state is State.UP}
        assert up == {number_of(address) for address in world.up()}, seed
