"""Smooth weighted round-robin as a tree, for pools too large to scan at each pick.

Theory. Smooth weighted round-robin adds to every server's current weight its share of the weights at each
pick, picks the server with the highest current weight and subtracts 1 from it. That visits all servers. Here
servers are leaves of a tree with `FAN_OUT` children per node. Starting at the root, each node applies the
same algorithm to its children, weighted by the sums of the weights below them: a pick visits `FAN_OUT`
children per level.

Difference to the plain algorithm. Servers below different children of the root are not compared directly, so
that equal weights are not visited in one cycle over all servers; instead the visits of each child are spread
evenly. At one node a child is never a whole turn ahead or behind; the deviation of its parent is divided
among the children by weight. Over any run of picks a server is within two turns of its exact share, which a
property test compares with the plain algorithm.

A new server starts a random part of a turn behind, as a leaf that has just been picked: it waits for its
first turn at its own weight, and instances with other seeds do not pick it at the same time. A change of
weight updates the path from its leaf to the root only.

No I/O, no clock; the same calls give the same picks.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

FAN_OUT = 8


class WeightedRoundRobin:
    """Weighted round-robin over the leaves 0 to `size` - 1; a leaf of weight 0 is never picked."""

    def __init__(self, size: int) -> None:
        self.level_widths = [size]  # nodes on each level, leaves first
        while self.level_widths[-1] > 1:
            self.level_widths.append(-(-self.level_widths[-1] // FAN_OUT))
        self.weights = [[0.0] * width for width in self.level_widths]
        self.current_weights = [[0.0] * width for width in self.level_widths]

    def weight(self, leaf: int) -> float:
        return self.weights[0][leaf]

    def set_current_weight(self, leaf: int, current_weight: float) -> None:
        self.current_weights[0][leaf] = current_weight

    def set_weight(self, leaf: int, weight: float) -> None:
        """Set one weight; the sums above it are recomputed, so that rounding errors do not accumulate."""
        self.weights[0][leaf] = weight
        node = leaf
        for level in range(1, len(self.level_widths)):
            node //= FAN_OUT
            first = node * FAN_OUT
            below = self.weights[level - 1]
            self.weights[level][node] = sum(below[first : first + FAN_OUT])

    def set_weights(self, weights: list[float]) -> None:
        """Set the weights of all leaves."""
        self.weights[0] = list(weights)
        for level in range(1, len(self.level_widths)):
            below = self.weights[level - 1]
            self.weights[level] = [
                sum(below[first : first + FAN_OUT]) for first in range(0, len(below), FAN_OUT)
            ]

    def total(self) -> float:
        """Return the sum of the leaves' weights."""
        return self.weights[-1][0] if self.level_widths[-1] else 0.0

    def randomize(self, rng: Random) -> None:
        """Start at a random point of a round; otherwise all instances would pick in lockstep."""
        self.current_weights = [[-rng.random() for _ in level] for level in self.current_weights]

    def pick(
        self,
        key_hash: int | None = None,
        max_lead: float = 0.0,
        may_lead: Callable[[int], bool] | None = None,
    ) -> int | None:
        """Return the leaf whose turn it is and charge it; None if all weights are 0.

        With a `key_hash`, each node may pick any child that is at most `max_lead` turns behind the first, and
        the hash chooses among them: the same hash takes the same path as long as the turns allow. A leaf is
        picked ahead of its turn only if `may_lead` allows it.
        """
        if not self.level_widths[0] or self.weights[-1][0] <= 0.0:
            return None
        node = 0
        for level in range(len(self.level_widths) - 2, -1, -1):
            node = self._pick_child(level, node, key_hash, max_lead, may_lead if level == 0 else None)
        return node

    def _pick_child(
        self,
        level: int,
        parent: int,
        key_hash: int | None,
        max_lead: float,
        may_lead: Callable[[int], bool] | None,
    ) -> int:
        """Do one round-robin pick among the children, on `level`, of the node `parent` on the level above."""
        weights, current_weights = self.weights[level], self.current_weights[level]
        parent_weight = self.weights[level + 1][parent]
        best, max_current = -1, 0.0
        end = min(parent * FAN_OUT + FAN_OUT, len(weights))
        for child in range(parent * FAN_OUT, end):
            weight = weights[child]
            if weight > 0.0:
                current_weight = current_weights[child] = current_weights[child] + weight / parent_weight
                if best < 0 or current_weight > max_current:
                    best, max_current = child, current_weight
        if key_hash is not None:
            candidates = [
                c
                for c in range(parent * FAN_OUT, end)
                if weights[c] > 0.0 and current_weights[c] >= max_current - max_lead
            ]
            if may_lead is not None:
                candidates = [child for child in candidates if child == best or may_lead(child)]
            best = max(
                candidates, key=lambda child: ((child + 1) * 0x9E3779B1 ^ key_hash) * 0x85EBCA6B & 0xFFFFFFFF
            )
        current_weights[best] -= 1.0
        return best

    def charge(self, leaf: int) -> None:
        """Account for a pick of `leaf` that was made out of turn."""
        node = leaf
        for level in range(len(self.level_widths) - 1):
            parent = node // FAN_OUT
            weights, current_weights = self.weights[level], self.current_weights[level]
            parent_weight = self.weights[level + 1][parent]
            if parent_weight > 0.0:
                for child in range(parent * FAN_OUT, min(parent * FAN_OUT + FAN_OUT, len(weights))):
                    current_weights[child] += weights[child] / parent_weight
            current_weights[node] -= 1.0
            node = parent
