"""The feature of the table `[membership]`: sources of servers beside discovery, and their figures."""

from __future__ import annotations

from typing import Any

from garnethaven.feature import Feature
from garnethaven.membership.sources import Sources
from garnethaven.membership.table import Membership
from garnethaven.parts import Parts


class MembershipFeature(Feature[Membership, Parts]):
    name = "membership"
    sources: Sources | None = None

    def prepare(self) -> None:
        if self.table.registries():
            parts = self.parts
            self.sources = Sources(
                self.table, parts.config, parts.loop, parts.transport.apply_list, parts.engine.log
            )
            parts.learn = self.sources.merger.from_discovery

    async def open(self) -> None:
        if self.sources is not None:
            self.sources.start()

    def renew(self, wanted: Membership) -> list[str]:
        """Apply changed settings of registries; enabling or disabling a registry needs a restart."""
        before = self.table.registries()
        if set(before) != set(wanted.registries()):
            return ["membership"]
        waiting = super().renew(wanted)
        if self.sources is not None:
            self.sources.reload(self.table)
        return waiting

    async def withdraw(self) -> None:
        if self.sources is not None:
            await self.sources.withdraw()

    async def close(self) -> None:
        if self.sources is not None:
            await self.sources.close()

    def figures(self) -> dict[str, Any]:
        return self.sources.figures() if self.sources is not None else {}


FEATURE = MembershipFeature
