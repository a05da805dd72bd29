"""The registries enabled in the operator's table, and the merger that combines their servers."""

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

Names = tuple[Mapping[str, int], Mapping[str, int]]  # numbers of zones and of kinds, by name


class Source(Protocol):
    """A registry that is followed. Errors are logged, at a limited rate, and never raised."""

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
    """Create the source for a kind of registry; its package is imported only if it is enabled."""
    module = importlib.import_module(f"garnethaven.membership.{name}.source")
    source: Source = module.SOURCE(settings, merger, loop, seed, names, log)
    return source


class Sources:
    """The merger and all enabled registries.

    Created before discovery starts, because its lists pass through the merger too; `start` opens connections.
    """

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
        numbers = index_by_name(config.names.zones), index_by_name(config.names.kinds)
        zones = {
            numbers[0].get(zone, len(numbers[0])): precedence for zone, precedence in settings.zones.items()
        }
        model = Model(settings.precedence, [(move.before, move.after) for move in settings.moves], zones)
        self.merger = Merger(model, loop, learn, log)
        self.registries = {
            name: source_of(name, table, self.merger, loop, config.seed, numbers, log)
            for name, table in settings.registries().items()
        }

    def start(self) -> None:
        """Register this program where the settings ask for it, and start to follow the registries."""
        for source in self.registries.values():
            source.registers(self.address)
            source.start()

    async def withdraw(self) -> None:
        await asyncio.gather(*(source.withdraw() for source in self.registries.values()))

    def reload(self, settings: Membership) -> None:
        """Apply new settings; the kinds of enabled registries must be unchanged."""
        self.settings = settings
        for name, table in settings.registries().items():
            self.registries[name].reload(table, self.address)

    async def close(self) -> None:
        for source in self.registries.values():
            await source.close()
        self.merger.close()

    def figures(self) -> dict[str, object]:
        """Figures of each registry and of the merged list, for the operator."""
        model = self.merger.model
        figures: dict[str, object] = {"members": len(model.members), "moved": model.moved}
        return figures | {name: source.figures() for name, source in self.registries.items()}
