"""One list from several sources: who is usable, who is cold, what is gone."""

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
    """As discovery tells it: without an order of creations."""
    return Fact(address, Endpoint(7, **entry))


class World:
    def __init__(self) -> None:
        self.model = Model((Z, D))
        self.now = 0.0

    def say(self, name: str, **facts: Fact | None) -> list[Member]:
        self.now += 1.0
        self.model.change(name, facts, self.now)
        return self.model.taken()

    def whole(self, name: str, **facts: Fact) -> list[Member]:
        self.now += 1.0
        self.model.snapshot(name, facts, self.now)
        return self.model.taken()

    def up(self) -> set[tuple[str, int]]:
        return {address for address, member in self.model.members.items() if member.entry.state is State.UP}


def test_a_server_is_its_address_whoever_tells_of_it() -> None:
    world = World()
    (one,) = world.say(Z, n1=fact(A, cell=3))
    (other,) = world.say(D, s1=listed(A, cell=9)) or [one]
    assert one.entry.id == other.entry.id == number_of(A)
    assert world.model.members[A].entry.cell == 3  # the first in precedence describes it
    assert world.model.members[A].source == Z


def test_gone_is_gone_though_a_source_further_down_still_tells_of_it() -> None:
    world = World()
    world.say(D, s1=listed(A), s2=listed(B))
    world.say(Z, n1=fact(A))
    (gone,) = world.say(Z, n1=None)
    assert (gone.entry.state, gone.reason) == (State.REMOVED, Reason.VANISHED)
    assert world.up() == {B}
    assert world.say(D, s1=listed(A)) == []  # nothing new: said before the end
    assert world.whole(D, s1=listed(A), s2=listed(B)) == []
    (back,) = world.say(D, s1=listed(A, started=5))  # a new life
    assert (back.entry.state, back.entry.started, back.source) == (State.UP, 5, D)


def test_a_source_further_down_may_come_to_know_a_server_after_its_end() -> None:
    world = World()
    world.say(Z, n1=fact(A))
    world.say(Z, n1=None)
    (back,) = world.say(D, s1=listed(A))
    assert back.entry.state is State.UP


def test_a_source_further_down_may_drop_what_another_owns() -> None:
    world = World()
    world.say(Z, n1=fact(A))
    world.say(D, s1=listed(A))
    assert world.say(D, s1=None) == []
    assert world.up() == {A}


def test_draining_anywhere_wins_and_ends_with_the_word() -> None:
    world = World()
    world.say(Z, n1=fact(A))
    (drains,) = world.say(D, s1=listed(A, state=State.DRAINING))
    assert (drains.entry.state, drains.reason) == (State.DRAINING, Reason.DRAINING)
    (back,) = world.say(D, s1=listed(A))
    assert back.entry.state is State.UP


def test_two_nodes_of_one_address_are_one_server_and_the_old_ones_end_takes_nothing() -> None:
    world = World()
    world.say(Z, old=fact(A, born=1, state=State.DRAINING))
    (new,) = world.say(Z, new=fact(A, born=2))
    assert (new.entry.state, new.entry.started) == (State.UP, 200)
    assert world.say(Z, old=None) == []
    (gone,) = world.say(Z, new=None)
    assert gone.entry.state is State.REMOVED


def test_the_end_of_the_newer_of_two_nodes_leaves_the_older_ones_word() -> None:
    world = World()
    world.say(Z, old=fact(A, born=1, state=State.DRAINING), new=fact(A, born=2))
    (left,) = world.say(Z, new=None)
    assert left.entry.state is State.DRAINING


def test_another_creation_is_a_start_anew_unless_the_server_proves_that_it_never_stopped() -> None:
    world = World()
    world.say(Z, n1=fact(A, born=1))
    world.say(Z, n1=None)
    (back,) = world.say(Z, n1=fact(A, born=5))
    assert back.entry.started == 500
    (again,) = world.say(Z, n1=fact(A, born=9))  # its end was never seen
    assert again.entry.started == 900

    proven = World()
    proven.say(Z, n1=fact(B, born=1, proof=77))
    proven.say(Z, n1=None)
    (back,) = proven.say(Z, n1=fact(B, born=5, proof=77))
    assert back.entry.started == 100
    (restarted,) = proven.say(Z, n1=fact(B, born=6, proof=78))
    assert restarted.entry.started == 600


def test_of_several_starts_the_latest_counts() -> None:
    world = World()
    world.say(D, s1=listed(A, started=50))
    (member,) = world.say(Z, n1=fact(A, born=3))
    assert member.entry.started == 300
    (member,) = world.say(D, s1=listed(A, started=900))
    assert member.entry.started == 900


def test_the_same_creation_told_again_is_no_start() -> None:
    world = World()
    world.say(Z, n1=fact(A, born=1, started=100))
    assert world.say(Z, n1=fact(A, born=1, started=100)) == []
    (resized,) = world.say(Z, n1=fact(A, born=1, started=101, units=2.0))  # a clock that was read anew
    assert (resized.entry.started, resized.entry.relative_capacity) == (100, 2.0)


def test_a_node_that_moves_to_another_address_leaves_nothing_behind() -> None:
    world = World()
    world.say(Z, n1=fact(A))
    moved = world.say(Z, n1=fact(B, born=1))
    assert {member.address: member.entry.state for member in moved} == {A: State.REMOVED, B: State.UP}


def test_a_snapshot_drops_what_it_does_not_tell() -> None:
    world = World()
    world.say(Z, n1=fact(A), n2=fact(B))
    changed = world.whole(Z, n2=fact(B), n3=fact(C))
    assert {member.address: member.entry.state for member in changed} == {A: State.REMOVED, C: State.UP}


def test_lost_contact_drops_nothing_and_has_an_age() -> None:
    world = World()
    world.say(Z, n1=fact(A))
    world.model.lost(Z, 10.0)
    world.model.lost(Z, 12.0)
    assert world.model.taken() == []
    assert world.up() == {A}
    assert world.model.age_s(Z, 15.0) == 5.0
    world.model.regained(Z)
    assert world.model.age_s(Z, 15.0) == 0.0


def test_all_may_vanish() -> None:
    world = World()
    world.say(Z, n1=fact(A), n2=fact(B), n3=fact(C))
    assert len(world.whole(Z)) == 3
    assert world.up() == set()


def test_news_of_what_is_in_use_is_urgent_and_of_newcomers_not() -> None:
    world = World()
    world.model.change(Z, {"n1": fact(A)}, 1.0)
    assert world.model.pending() and not world.model.urgent()
    world.model.taken()
    world.model.change(Z, {"n1": None}, 2.0)
    assert world.model.urgent()


def test_churn_leaves_a_bounded_memory() -> None:
    world = World()
    world.model.FORGOTTEN_MOST = 50  # type: ignore[misc]
    for number in range(500):
        address = (f"10.1.{number // 250}.{number % 250}", 80)
        world.say(Z, n=fact(address, born=number + 1))
        world.say(Z, n=None)
    assert len(world.model.lives) <= 51
    assert not world.model.sources[Z].keys and not world.model.members


@pytest.mark.parametrize("seed", range(30))
def test_whatever_is_said_only_what_its_owner_tells_is_usable(seed: int) -> None:
    """Against a plain reading of the rules, over random scripts of both sources."""
    rng = random.Random(seed)
    world = World()
    told: dict[str, dict[str, Fact]] = {Z: {}, D: {}}
    module: dict[int, State] = {}  # as the decision module has it, from the changes alone
    for born in range(1, 201):
        name = rng.choice((Z, D))
        key, address = f"k{rng.randrange(4)}", rng.choice((A, B, C))
        state = State.DRAINING if rng.random() < 0.2 else State.UP
        new = fact(address, born, state=state) if name == Z else listed(address, started=born, state=state)
        gone = rng.random() < 0.4
        if gone:
            told[name].pop(key, None)
        else:
            told[name][key] = new
        for member in world.say(name, **{key: None if gone else new}):
            module[member.entry.id] = member.entry.state
        for address in (A, B, C):
            usable = module.get(number_of(address)) is State.UP
            telling = [one for facts in told.values() for one in facts.values() if one.address == address]
            assert not usable or telling, (seed, address)
            newest = [
                max((one for one in facts.values() if one.address == address), key=lambda one: one.born)
                for facts in told.values()
                if any(one.address == address for one in facts.values())
            ]
            if usable and told[Z] and any(one.address == address for one in told[Z].values()):
                assert newest[0].entry.state is State.UP, (seed, address)
        up = {number for number, state in module.items() if state is State.UP}
        assert up == {number_of(address) for address in world.up()}, seed
