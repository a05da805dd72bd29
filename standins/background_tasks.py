"""Background tasks of the stand-ins."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any


class BackgroundTasks:
    """A set of running background tasks; a task is removed when it ends."""

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task[None]] = set()

    def begin(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def settle(self) -> None:
        """Wait until all tasks have ended, including those started during the wait."""
        while self.tasks:
            await asyncio.gather(*list(self.tasks))
