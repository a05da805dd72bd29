"""The registries that the operator's table switches on, with the merger that they feed."""

from __future__ import annotations

import asyncio
import importlib
from collections.abc import Callable, Mapping
from typing import Any, Protocol

from garnethaven.addresses import Address
from garnethaven.config import Config
from garnethaven.membership.merger import Learn, Merger
from garnethaven.membership.model import Model
from garnethaven.membership.table import Membership
from garnethaven.settings import index_by_name

Names = tuple[Mapping[str, int], Mapping[str, int]]  # the module's numbers of zones and of kinds


class Source(Protocol):
    """One registry that is followed. Its errors are logged, at a bounded rate, and never raised."""

    def start(self) -> None: ...
    def registers(self, address: Address) -> None: ...
    async def withdraw(self) -> None: ...
    def reload(self, settings: Any, address: Address) -> None: ...
    async def close(self) -> None: ...
    def figures(self) -> dict[str, object]: ...


def source_of(
    name: str,
    settings: Any,
    merger: Merger,
    loop: asyncio.AbstractEventLoop,
    seed: int,
    names: Names,
    log: Callable[[str], None],
) -> Source:
    """The source of a registry's kind; each is in a package of its own, imported where it is switched on."""
    module = importlib.import_module(f"garnethaven.membership.{name}.source")
    made: Source = module.SOURCE(settings, merger, loop, seed, names, log)
    return made


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
        self.settings = settings
        self.address = config.listen
        names = index_by_name(config.names.zones), index_by_name(config.names.kinds)
        zones = {names[0].get(zone, len(names[0])): order for zone, order in settings.zones.items()}
        model = Model(settings.precedence, [(move.before, move.after) for move in settings.moves], zones)
        self.merger = Merger(model, loop, learn, log)
        self.registries = {
            name: source_of(name, table, self.merger, loop, config.seed, names, log)
            for name, table in settings.registries().items()
        }

    def start(self) -> None:
        """The program is ready: follow the registries, and register where that is wanted."""
        for source in self.registries.values():
            source.registers(self.address)
            source.start()

    async def withdraw(self) -> None:
        await asyncio.gather(*(source.withdraw() for source in self.registries.values()))

    def reload(self, settings: Membership) -> None:
        """Follow what the tables say now; the same kinds of registries as before."""
        self.settings = settings
        for name, table in settings.registries().items():
            self.registries[name].reload(table, self.address)

    async def close(self) -> None:
        for source in self.registries.values():
            await source.close()
        self.merger.close()

    def figures(self) -> dict[str, object]:
        """What is known of each registry, and how many servers stand in the merged list."""
        model = self.merger.model
        told: dict[str, object] = {"members": len(model.members), "moved": model.moved}
        return told | {name: source.figures() for name, source in self.registries.items()}
