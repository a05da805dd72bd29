"""Applies the table `[limits]`: serves the operators' view and bounds client connections and watches."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from garnethaven.feature import Feature
from garnethaven.limits.front import LimitsView
from garnethaven.limits.list_freshness import ListFreshness
from garnethaven.limits.table import Limits


class Listener(Protocol):
    def set_limits(self, client_places: int, calm_idle_s: float) -> None: ...


class Discovery(Protocol):
    freshness: ListFreshness


class LimitedParts(Protocol):
    """The parts of the sidecar that the feature limits and reports."""

    @property
    def listener(self) -> Listener: ...
    @property
    def discovery(self) -> Discovery: ...
    @property
    def figures(self) -> Callable[[], dict[str, object]]: ...


class LimitsFeature(Feature[Limits, LimitedParts]):
    name = "limits"

    def __init__(self, table: Limits, parts: LimitedParts) -> None:
        super().__init__(table, parts)
        self.view: LimitsView | None = None

    async def open(self) -> None:
        self.renewed()
        if self.table.view is not None:
            self.view = await LimitsView(self.parts.figures).start(self.table.view)

    def renewed(self) -> None:
        self.parts.listener.set_limits(self.table.client_places, self.table.calm_idle_s)
        self.parts.discovery.freshness.set_max_watch_wait(self.table.watch_most_s)

    async def close(self) -> None:
        if self.view is not None:
            await self.view.close()


FEATURE = LimitsFeature
