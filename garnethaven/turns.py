"""Turns of many servers: smooth weighted round-robin as a tree. The decision module's, for large pools.

Theory. Smooth round-robin gives every server its weight at each pick, picks the fullest and takes one from
it. That walks all servers. Here servers are leaves of a tree with `FAN` children to a node, and each node
on the way from the root does the same among its children, with the sum of the weights below each: a pick
costs `FAN` for each level.

Where the order differs from the plain walk. Two servers below different children of the root no longer meet
directly, so equal weights are not visited in one cycle of the whole; each child's visits are spread evenly
instead. At one node a child is never a whole turn ahead or behind; what its parent is off is shared out by
weight below it. Over any run of picks a server is within two turns of its exact share, which a property
test holds against the plain method.

A newcomer starts a random part of a turn behind, as a seat that has just been used does: it earns its first
turn at its own weight, and instances with other seeds do not meet it together. A weight that changes
touches its path only.

No I/O, no clock; equal calls give equal turns.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

FAN = 8


class Turns:
    """Seats by number, 0 to `size` - 1; a seat of weight 0 takes no turns."""

    def __init__(self, size: int) -> None:
        self.levels = [size]  # nodes on each level, leaves first
        while self.levels[-1] > 1:
            self.levels.append(-(-self.levels[-1] // FAN))
        self.weights = [[0.0] * width for width in self.levels]
        self.tallies = [[0.0] * width for width in self.levels]

    def weight(self, seat: int) -> float:
        return self.weights[0][seat]

    def set_tally(self, seat: int, tally: float) -> None:
        self.tallies[0][seat] = tally

    def set_weight(self, seat: int, weight: float) -> None:
        """Change one weight; the sums above it are made anew, so that no rounding adds up."""
        self.weights[0][seat] = weight
        place = seat
        for level in range(1, len(self.levels)):
            place //= FAN
            first = place * FAN
            below = self.weights[level - 1]
            self.weights[level][place] = sum(below[first : first + FAN])

    def set_weights(self, weights: list[float]) -> None:
        """Change all weights at once."""
        self.weights[0] = list(weights)
        for level in range(1, len(self.levels)):
            below = self.weights[level - 1]
            self.weights[level] = [sum(below[first : first + FAN]) for first in range(0, len(below), FAN)]

    def total(self) -> float:
        return self.weights[-1][0] if self.levels[-1] else 0.0

    def shuffle(self, rng: Random) -> None:
        """Begin somewhere within a round, or all instances would walk in lockstep."""
        self.tallies = [[-rng.random() for _ in level] for level in self.tallies]

    def pick(
        self, mark: int | None = None, slack: float = 0.0, may: Callable[[int], bool] | None = None
    ) -> int | None:
        """The seat whose turn it is; None where all weights are 0.

        With a `mark` any child that is no more than `slack` of a turn behind the fullest may be taken, and
        the mark tells which: the same mark goes the same way as long as turns allow. A seat is taken ahead
        of its turn only where `may` says so.
        """
        if not self.levels[0] or self.weights[-1][0] <= 0.0:
            return None
        place = 0
        for level in range(len(self.levels) - 2, -1, -1):
            place = self._child(level, place, mark, slack, may if level == 0 else None)
        return place

    def _child(
        self, level: int, parent: int, mark: int | None, slack: float, may: Callable[[int], bool] | None
    ) -> int:
        weights, tallies = self.weights[level], self.tallies[level]
        whole = self.weights[level + 1][parent]
        best, most = -1, 0.0
        last = min(parent * FAN + FAN, len(weights))
        for child in range(parent * FAN, last):
            weight = weights[child]
            if weight > 0.0:
                tally = tallies[child] = tallies[child] + weight / whole
                if best < 0 or tally > most:
                    best, most = child, tally
        if mark is not None:
            near = [c for c in range(parent * FAN, last) if weights[c] > 0.0 and tallies[c] >= most - slack]
            if may is not None:
                near = [child for child in near if child == best or may(child)]
            best = max(near, key=lambda child: ((child + 1) * 0x9E3779B1 ^ mark) * 0x85EBCA6B & 0xFFFFFFFF)
        tallies[best] -= 1.0
        return best

    def charge(self, seat: int) -> None:
        """Book a turn that was taken out of order."""
        place = seat
        for level in range(len(self.levels) - 1):
            parent = place // FAN
            weights, tallies = self.weights[level], self.tallies[level]
            whole = self.weights[level + 1][parent]
            if whole > 0.0:
                for child in range(parent * FAN, min(parent * FAN + FAN, len(weights))):
                    tallies[child] += weights[child] / whole
            tallies[place] -= 1.0
            place = parent
