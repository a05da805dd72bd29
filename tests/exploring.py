"""Exhaustive exploration of a small model: all sequences of steps up to a depth, with equal states merged.

Two states are equal if their `mark` is equal.
"""

from __future__ import annotations

import copy
from collections.abc import Callable
from random import Random
from typing import Any, Protocol, TypeVar


class World(Protocol):
    """The complete state of a model; it is deep-copied before each step."""

    def steps(self) -> list[Any]: ...
    def step(self, step: Any) -> None: ...
    def mark(self) -> object: ...


W = TypeVar("W", bound=World)


def explore(
    start: W,
    depth: int,
    check: Callable[[W], None],
    full_depth: int = 0,
    max_states: int = 1_000_000,
    seed: int = 11,
) -> tuple[list[W], list[int]]:
    """Call `check` on every reachable state; return the states of the last layer and the layer sizes.

    From depth `full_depth` on, only a random sample of `max_states` states of each layer is explored further.
    With `full_depth` = 0 there is no sampling.
    """
    rng = Random(seed)
    layer, seen, sizes = [start], {start.mark()}, []
    for layer_index in range(depth):
        next_layer: list[W] = []
        for world in layer:
            for step in world.steps():
                after = copy.deepcopy(world)
                after.step(step)
                mark = after.mark()
                if mark not in seen:
                    seen.add(mark)
                    check(after)
                    next_layer.append(after)
        sizes.append(len(next_layer))
        sampled = full_depth and layer_index + 1 >= full_depth and len(next_layer) > max_states
        layer = rng.sample(next_layer, max_states) if sampled else next_layer
    print(f"{len(seen)} states, by depth {sizes}")
    return layer, sizes
