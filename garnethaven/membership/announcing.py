"""This program's own entry in a key-value registry: one task that keeps it, at one endpoint after another."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from random import Random

from garnethaven.addresses import Address
from garnethaven.membership.hosts import EndpointLostError, Hosts

SIGNS = 3  # of life, in the time without one that ends the entry


class Announcing:
    """On a connection of its own: a slow watch must not cost the entry. `name` is what the log calls it."""

    def __init__(
        self,
        name: str,
        hosts: tuple[Address, ...],
        spread_ms: int,
        withdraw_ms: int,
        loop: asyncio.AbstractEventLoop,
        rng: Random,
        say: Callable[[str], None],
    ) -> None:
        self.name = name
        self.hosts = Hosts(hosts, spread_ms / 1000, rng)
        self.withdraw_s = withdraw_ms / 1000
        self.say = say
        self.task: asyncio.Task[None] | None = loop.create_task(self._run())

    # Each kind's own

    @property
    def there(self) -> bool:
        """Whether the entry is in the registry, as far as this program knows."""
        raise NotImplementedError

    async def keep(self, address: Address) -> None:
        """Make the entry at an endpoint and keep it alive; raises EndpointLostError or OSError."""
        raise NotImplementedError

    async def take_back(self) -> None:
        """End the entry now; raises EndpointLostError."""
        raise NotImplementedError

    # The task

    def wanted_still(self) -> bool:
        """False once it is withdrawn: nothing may make the entry again while it is taken back."""
        return self.task is not None

    async def _run(self) -> None:
        while self.wanted_still():
            refused = False
            try:
                await self.keep(self.hosts.next())
            except (EndpointLostError, OSError) as problem:
                refused = getattr(problem, "refused", False)
                self.say(f"{self.name} can't be kept: {problem}")
            await asyncio.sleep(self.hosts.wait_s(refused))

    async def withdraw(self) -> None:
        """Take the entry back, and wait until that is known, for as long as the settings allow."""
        task, self.task = self.task, None
        if self.there:
            with contextlib.suppress(TimeoutError, EndpointLostError):
                await asyncio.wait_for(self.take_back(), self.withdraw_s)
        if task is not None:
            task.cancel()

    def stop(self) -> None:
        """Without a word to the registry: the entry ends by itself."""
        if self.task is not None:
            self.task.cancel()
            self.task = None
