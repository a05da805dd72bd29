"""This program's own entry in a key-value registry, kept by one task at one endpoint after another."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from random import Random

from garnethaven.addresses import Address
from garnethaven.membership.hosts import EndpointLostError, Hosts

KEEPALIVES_PER_TTL = 3  # keepalives in the time after which the registry removes an entry without one


class RegistrationTask:
    """Registers this program and keeps the registration alive; `name` identifies it in the log.

    It uses a connection of its own, so that a slow watch can't cause the loss of the entry.
    """

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

    # Implemented for each kind of registry

    @property
    def is_registered(self) -> bool:
        """Whether the entry is in the registry, according to the last answer."""
        raise NotImplementedError

    async def keep(self, address: Address) -> None:
        """Create the entry at an endpoint and keep it alive; raises EndpointLostError or OSError."""
        raise NotImplementedError

    async def take_back(self) -> None:
        """Remove the entry; raises EndpointLostError."""
        raise NotImplementedError

    # The task

    def is_wanted(self) -> bool:
        """Whether the entry shall be kept; False from the withdrawal on, so that it is not created again."""
        return self.task is not None

    async def _run(self) -> None:
        while self.is_wanted():
            refused = False
            try:
                await self.keep(self.hosts.next())
            except (EndpointLostError, OSError) as problem:
                refused = getattr(problem, "refused", False)
                self.say(f"{self.name} can't be registered, retrying: {problem}")
            await asyncio.sleep(self.hosts.wait_s(refused))

    async def withdraw(self) -> None:
        """Remove the entry and wait for the confirmation, at most for the time in the settings."""
        task, self.task = self.task, None
        if self.is_registered:
            with contextlib.suppress(TimeoutError, EndpointLostError):
                await asyncio.wait_for(self.take_back(), self.withdraw_s)
        if task is not None:
            task.cancel()

    def stop(self) -> None:
        """Stop without a message to the registry, which removes the entry after its timeout."""
        if self.task is not None:
            self.task.cancel()
            self.task = None
