"""All that the operator's table switches on, put together: the merger and the sources that feed it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from garnethaven.membership.merger import Learn, Merger
from garnethaven.membership.settings import Membership
from garnethaven.membership.source import RegistrySource
from garnethaven.net.config import Config
from garnethaven.settings import numbered


class Sources:
    """Made before discovery starts, for its lists go through the merger too; `start` opens connections."""

    def __init__(
        self,
        settings: Membership,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        learn: Learn,
        log: Callable[[str], None],
    ) -> None:
        assert settings.zookeeper is not None
        self.settings = settings
        self.address = config.listen
        self.merger = Merger(settings.precedence, loop, learn)
        names = numbered(config.names.zones), numbered(config.names.kinds)
        self.registry = RegistrySource(settings.zookeeper, self.merger, loop, config.seed, names, log)

    def start(self) -> None:
        """The program is ready: follow the registry, and register where that is wanted."""
        self.registry.registers(self.address)
        self.registry.start()

    async def withdraw(self) -> None:
        await self.registry.withdraw()

    def reload(self, settings: Membership | None) -> list[str]:
        """Take over the table as it is now; the names of what waits for a restart."""
        if settings is None or settings.zookeeper is None:
            return ["membership"]
        self.registry.reload(settings.zookeeper, self.address)
        return ["membership.precedence"] if settings.precedence != self.settings.precedence else []

    async def close(self) -> None:
        await self.registry.close()
        self.merger.close()
