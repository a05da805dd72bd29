"""The base class of features: parts of the program that a table of the operator's file enables.

`app/` creates the features whose tables are present, in the registry's order. All have the same life cycle:

| call | when | purpose |
| --- | --- | --- |
| constructor | before the transport is created | may replace `parts.make_pool` |
| `prepare` | before discovery starts | may replace `parts.learn` |
| `open` | the program listens | opens addresses; an OSError aborts the start |
| `renew` | at a reload | applies changes; returns the fields whose change needs a restart |
| `withdraw` | a drain was requested | may wait, for a bounded time, before anything drains |
| `drain` | next, concurrently with the other fronts | finishes accepted work within a grace period |
| `close` | all fronts have ended | releases resources |
"""

from __future__ import annotations

from typing import Any, ClassVar, Generic, TypeVar

from garnethaven.tables import Table, merge_reloaded

T = TypeVar("T", bound=Table)
P = TypeVar("P")  # the parts (parts.py) that the feature uses


class Feature(Generic[T, P]):
    """Base class; a feature overrides the methods it needs. `table` holds the settings in force."""

    name: ClassVar[str]

    def __init__(self, table: T, parts: P) -> None:
        self.table = table
        self.parts = parts

    def prepare(self) -> None:
        """The transport exists; discovery has not started."""

    async def open(self) -> None:
        """Open addresses; raises OSError if one cannot be bound."""

    def renew(self, wanted: T) -> list[str]:
        """Apply a reloaded table; return the qualified names of fields whose change needs a restart."""
        self.table, needing_restart = merge_reloaded(self.table, wanted)
        self.renewed()
        return [f"{self.name}.{field}" for field in needing_restart]

    def renewed(self) -> None:
        """Called after `table` was replaced."""

    async def withdraw(self) -> None:
        """Called before the fronts drain."""

    async def drain(self, grace_s: float) -> None:
        """Accept nothing new and finish what was accepted, within `grace_s` seconds."""

    async def close(self) -> None:
        """Release resources."""

    def figures(self) -> dict[str, Any]:
        """Values for the operators' view."""
        return {}
