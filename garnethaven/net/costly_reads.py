"""Bounds the processing time of clients whose bytes cost more to parse than others'.

A body in chunks of a few bytes costs a callback a chunk. A connection that has sent `PARTS_PER_TURN` of them
rests: it is not read until its turn comes, one connection at a time, so that all such connections together
take a part of the processing time and other clients are served meanwhile.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

MAX_PARTS_PER_READ = 64  # parts of a body; more of them in one read are costly
PARTS_PER_TURN = 2048  # of costly reads; about as many as one read of chunks of one byte has
TURN_INTERVAL_S = 0.005  # between two turns


class CostlyReads:
    """The connections that rest, in the order of their turns; each is resumed by the callback it gave."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.waiting: deque[Callable[[], None]] = deque()
        self.timer: asyncio.TimerHandle | None = None

    def rest(self, resume: Callable[[], None]) -> None:
        """Call `resume` when it is the connection's turn."""
        self.waiting.append(resume)
        self._schedule()

    def _schedule(self) -> None:
        if self.waiting and self.timer is None:
            self.timer = self.loop.call_later(TURN_INTERVAL_S, self._next_turn)

    def _next_turn(self) -> None:
        self.timer = None
        resume = self.waiting.popleft()
        resume()
        self._schedule()
