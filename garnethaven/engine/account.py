"""The account of requests: each one taken ends in exactly one of served, refused, failed, gone.

A count may be read at any time: taken = served + refused + failed + gone + in flight, for each class.
"""

from __future__ import annotations

from enum import Enum


class End(Enum):
    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    GONE = "gone"  # the client has left; nothing was owed any more


class Account:
    """Counts since the process began; `classes` is how many classes the settings name.

    A class's unsafe twin (engine.py) has the number of its class plus `classes`, and counts with it.
    """

    def __init__(self, classes: int) -> None:
        self.classes = max(1, classes)
        self.ended: dict[End, list[int]] = {end: [0] * self.classes for end in End}
        self.taken = [0] * self.classes
        self.in_flight = 0
        self.attempts = 0  # written whole to endpoints

    def take(self, grade: int) -> None:
        self.taken[grade % self.classes] += 1
        self.in_flight += 1

    def end(self, grade: int, end: End) -> None:
        self.ended[end][grade % self.classes] += 1
        self.in_flight -= 1

    def at_once(self, grade: int, end: End) -> None:
        """Enter a request that was answered without being taken any further."""
        self.take(grade)
        self.end(grade, end)
