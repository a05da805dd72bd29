"""The operator's table `[budgets]`."""

from __future__ import annotations

from typing import Annotated

from garnethaven.tables import Table, field_meta, number_range

MAX_PER_S = 100_000


class Budgets(Table, frozen=True):
    """What the whole fleet may do again, ahead or out of turn. 0: not bounded over the fleet."""

    retries_share: Annotated[
        float, number_range(0, 1, "clients' marked retries and repeats, for each first try of the fleet")
    ] = 0.0
    retries_per_s: Annotated[float, number_range(0, MAX_PER_S, "the same, beside that share", "a second")] = (
        0.0
    )
    copies_share: Annotated[float, number_range(0, 1, "second copies, for each first try of the fleet")] = 0.0
    copies_per_s: Annotated[float, number_range(0, MAX_PER_S, "the same, beside that share", "a second")] = (
        0.0
    )
    probes_per_s: Annotated[float, number_range(0, MAX_PER_S, "probes of one server", "a second")] = 0.0
    cold_dials_per_s: Annotated[
        float, number_range(0, MAX_PER_S, "connections to one server that has just started", "a second")
    ] = 0.0
    discovery_per_s: Annotated[
        float, number_range(0, MAX_PER_S, "calls to discovery out of turn", "a second")
    ] = 0.0
    lasts_s: Annotated[
        float,
        number_range(0.5, 60, "how long a right lasts: the burst is the rate times that", "seconds"),
    ] = 5.0
    homes: Annotated[
        int,
        number_range(
            0,
            4096,
            "members that earn, the same at all; 0: those of [peers] members and this one",
            waits=True,
        ),
    ] = 0
    earns: Annotated[bool, field_meta("whether this member is one of them", waits=True)] = True


TABLE = Budgets
