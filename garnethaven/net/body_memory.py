"""The memory that one connection reserves from the budget for bodies while it streams one."""

from __future__ import annotations

from garnethaven.limits.budgets import AnswerMemory
from garnethaven.net.flow import STREAM_MEMORY_BYTES


class BodyReservation:
    """A fixed amount of memory, reserved once for a request's body and its answer's together."""

    def __init__(self, memory: AnswerMemory) -> None:
        self.memory = memory
        self.size = 0  # bytes that are reserved

    def is_available(self) -> bool:
        """Whether a body may be streamed: the budget is not used up."""
        return not self.memory.is_full()

    def take(self) -> None:
        if not self.size:
            self.size = STREAM_MEMORY_BYTES
            self.memory.reserve(STREAM_MEMORY_BYTES)

    def release(self) -> None:
        if self.size:
            self.memory.release(self.size)
            self.size = 0
