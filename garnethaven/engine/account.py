"""Request counters: each request taken ends as exactly one of served, refused, failed and gone.

At any time, for each class: taken = served + refused + failed + gone + in flight.
"""

from __future__ import annotations

from enum import Enum


class CallResult(Enum):
    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    GONE = "gone"  # the client disconnected before its answer


class Account:
    """Counts since process start; `classes` is the number of classes in the settings.

    The twin of a class (`with_unsafe_twins` in engine.py) has the class's index plus `classes` and is counted
    under its class.
    """

    def __init__(self, classes: int) -> None:
        self.classes = max(1, classes)
        self.ended: dict[CallResult, list[int]] = {end: [0] * self.classes for end in CallResult}
        self.taken = [0] * self.classes
        self.in_flight = 0
        self.attempts = 0  # requests fully written to endpoints

    def take(self, grade: int) -> None:
        self.taken[grade % self.classes] += 1
        self.in_flight += 1

    def end(self, grade: int, end: CallResult) -> None:
        self.ended[end][grade % self.classes] += 1
        self.in_flight -= 1

    def record_immediate(self, grade: int, end: CallResult) -> None:
        """Count a request that is answered without becoming a pending call."""
        self.take(grade)
        self.end(grade, end)
