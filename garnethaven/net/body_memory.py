"""What one connection takes from the memory for bodies while a long one flows through it."""

from __future__ import annotations

from garnethaven.limits.budgets import AnswerMemory
from garnethaven.net.flow import FLOW_COST


class BodyReservation:
    """A fixed part of the memory, taken once for a request's body and its answer's together."""

    def __init__(self, memory: AnswerMemory) -> None:
        self.memory = memory
        self.size = 0  # bytes that are taken

    def can_be_had(self) -> bool:
        """Whether a long body may begin."""
        return not self.memory.full()

    def take(self) -> None:
        if not self.size:
            self.size = FLOW_COST
            self.memory.grows(FLOW_COST)

    def release(self) -> None:
        if self.size:
            self.memory.shrinks(self.size)
            self.size = 0
