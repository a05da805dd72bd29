"""Several registries at once: which one owns a server, and how a server moves between them."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from garnethaven.interface import Endpoint, State
from garnethaven.membership.model import Fact, Member, Model


def model_of_registries(**more: Any) -> Model:
    return Model(("etcd", "consul", "discovery"), **more)


def single_change(model: Model) -> Member | None:
    """The only change since the last call, if any."""
    changes = model.take_changes()
    assert len(changes) <= 1
    return changes[0] if changes else None


def fact(born: int = 0, started: int = 0, zone: int = 0, proof: int = 0) -> Fact:
    return Fact(("10.0.0.1", 80), Endpoint(0, zone=zone, started=started), born, proof)


def test_a_server_moves_between_registries_without_a_moment_of_being_gone() -> None:
    model = model_of_registries(moves=[("etcd", "consul")])
    model.change("etcd", {"a": fact(5, started=100)}, 0.0)
    assert single_change(model) is not None
    model.change("consul", {"a": fact(900, started=2_000)}, 1.0)
    assert single_change(model) is None  # its owner is still etcd
    model.change("etcd", {"a": None}, 2.0)
    moved = single_change(model)
    assert moved is not None
    assert (moved.source, moved.entry.state, moved.entry.started) == ("consul", State.UP, 100)
    assert model.moved == 1
    model.change("consul", {"a": None}, 3.0)
    removed = single_change(model)
    assert removed is not None and removed.entry.state is State.REMOVED


@pytest.mark.parametrize("moves", [[], [("consul", "etcd")]])
def test_without_that_word_an_end_is_an_end(moves: list[tuple[str, str]]) -> None:
    model = model_of_registries(moves=moves)
    model.change("etcd", {"a": fact(5)}, 0.0)
    model.change("consul", {"a": fact(900)}, 0.0)
    model.take_changes()
    model.change("etcd", {"a": None}, 1.0)
    removed = single_change(model)
    assert removed is not None and removed.entry.state is State.REMOVED


def test_nothing_moves_to_a_registry_that_is_out_of_contact() -> None:
    model = model_of_registries(moves=[("etcd", "consul")])
    model.change("etcd", {"a": fact(5)}, 0.0)
    model.change("consul", {"a": fact(900)}, 0.0)
    model.contact_lost("consul", 0.5)
    model.take_changes()
    model.change("etcd", {"a": None}, 1.0)
    removed = single_change(model)
    assert removed is not None and removed.entry.state is State.REMOVED


def test_a_move_that_proves_another_start_is_a_start() -> None:
    model = model_of_registries(moves=[("etcd", "consul")])
    model.change("etcd", {"a": fact(5, started=100, proof=1)}, 0.0)
    model.change("consul", {"a": fact(9, started=2_000, proof=2)}, 0.0)
    model.take_changes()
    model.change("etcd", {"a": None}, 1.0)
    moved = single_change(model)
    assert moved is not None and moved.entry.started == 2_000


def test_a_zone_has_its_own_precedence() -> None:
    model = model_of_registries(zones={3: ("consul", "etcd")})
    for zone, owner in ((3, "consul"), (1, "etcd")):
        model.change("etcd", {"a": fact(5, zone=zone)}, 0.0)
        model.change("consul", {"a": fact(9, zone=zone)}, 0.0)
        changed = single_change(model)
        assert changed is not None and changed.source == owner
        model.change("etcd", {"a": None}, 0.0)
        model.change("consul", {"a": None}, 0.0)
        model.take_changes()


def test_draining_anywhere_wins_also_of_several_registries() -> None:
    model = model_of_registries()
    model.change("etcd", {"a": fact(5)}, 0.0)
    model.take_changes()
    draining = replace(fact(9), entry=Endpoint(0, state=State.DRAINING))
    model.change("consul", {"a": draining}, 0.0)
    changed = single_change(model)
    assert changed is not None and changed.entry.state is State.DRAINING
