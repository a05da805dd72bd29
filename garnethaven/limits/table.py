"""The operator's table `[limits]`."""

from __future__ import annotations

from typing import Annotated

from garnethaven.limits.connection_limit import UNPRESSURED_WAIT_S
from garnethaven.limits.list_freshness import MAX_WATCH_WAIT_S
from garnethaven.tables import SocketAddress, Table, field_meta, number_range


class Limits(Table, frozen=True):
    """Limits of client connections and of watches."""

    view: Annotated[
        SocketAddress | None, field_meta("where `GET /-/limits` is answered", "address:port", waits=True)
    ] = None
    client_places: Annotated[
        int,
        number_range(
            1,
            1_000_000,
            "what clients hold on their own side; a third of the descriptors if left out",
            "connections",
        ),
    ] = 0
    calm_idle_s: Annotated[
        float,
        number_range(0.5, 3600, "how long an idle connection is kept while places are plenty", "seconds"),
    ] = UNPRESSURED_WAIT_S
    watch_most_s: Annotated[
        float, number_range(2, 60, "the longest that a watch of discovery may wait", "seconds")
    ] = MAX_WATCH_WAIT_S


TABLE = Limits
