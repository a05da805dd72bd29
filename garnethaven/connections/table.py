"""The operator's table `[connections]`."""

from __future__ import annotations

from typing import Annotated

from garnethaven.tables import Table, field_meta, number_range


class Connections(Table, frozen=True):
    """How connections to servers are planned; enabled by `plan`."""

    plan: Annotated[bool, field_meta("switches it on", waits=True)] = False
    opens_per_s: Annotated[
        float,
        number_range(
            1,
            10_000,
            "what the whole fleet opens to one warm server; a cold one gets its warmth's part",
            "connections a second",
        ),
    ] = 40.0
    accepts: Annotated[
        int,
        number_range(
            1,
            100_000,
            "what a server accepts from the whole fleet; six tenths of it are used",
            "connections",
        ),
    ] = 370
    age_s: Annotated[
        float, number_range(1, 86_400, "older connections are closed when they are free", "seconds")
    ] = 600.0
    requests_most: Annotated[
        int, number_range(1, 1_000_000_000, "so are those that carried so many", "requests")
    ] = 10_000
    ahead: Annotated[bool, field_meta("opens connections before they are needed")] = True


TABLE = Connections
