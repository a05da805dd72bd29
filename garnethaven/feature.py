"""What a feature is: a part of the program that a table of the operator's file switches on.

`app/` makes the features whose tables are there, in the registry's order, and leads all of them through the
same life:

| call | when | may |
| --- | --- | --- |
| the constructor | before the transport is made | put a maker of its own into `parts.make_pool` |
| `prepare` | before discovery is asked | put a receiver of its own into `parts.learn` |
| `open` | the program listens | open addresses; OSError ends the start |
| `renew` | at a reload | take over what it can, and name what waits for a restart |
| `withdraw` | a planned end was asked for | wait, for a bounded time, before anything drains |
| `drain` | then, beside the other fronts | end what it has taken, within a grace |
| `close` | all fronts have ended | free what is left |
"""

from __future__ import annotations

from typing import Any, ClassVar, Generic, TypeVar

from garnethaven.tables import Table, taken_over

T = TypeVar("T", bound=Table)
P = TypeVar("P")  # what a feature needs of parts.py


class Feature(Generic[T, P]):
    """The base of all; a feature replaces what it needs. `table` is what is in force."""

    name: ClassVar[str]

    def __init__(self, table: T, parts: P) -> None:
        self.table = table
        self.parts = parts

    def prepare(self) -> None:
        """The transport is there, discovery is not asked yet."""

    async def open(self) -> None:
        """Open addresses; raises OSError where one can't be had."""

    def renew(self, wanted: T) -> list[str]:
        """Take over a new table; the fields, with the table's name, whose change waits for a restart."""
        self.table, waiting = taken_over(self.table, wanted)
        self.renewed()
        return [f"{self.name}.{one}" for one in waiting]

    def renewed(self) -> None:
        """`table` has changed."""

    async def withdraw(self) -> None:
        """Before the fronts drain."""

    async def drain(self, grace_s: float) -> None:
        """Take nothing new, end what was taken."""

    async def close(self) -> None:
        """Free what is left."""

    def figures(self) -> dict[str, Any]:
        """For the operators' view."""
        return {}
