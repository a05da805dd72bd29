"""The table `[state]` of the operator's file."""

from __future__ import annotations

from typing import Annotated

from garnethaven.tables import Table, field_meta, number_range


class State(Table, frozen=True):
    """Which state is kept across restarts, and where."""

    keep: Annotated[bool, field_meta("whether anything is kept", waits=True)] = False
    folder: Annotated[
        str,
        field_meta("where it is kept; $TMPDIR if left out, and nothing without either", "path", waits=True),
    ] = ""
    every_s: Annotated[float, number_range(0.2, 60, "the time between two snapshots", "seconds")] = 2.0
    bytes_most: Annotated[
        int,
        number_range(4096, 64 * 1024 * 1024, "the size of a snapshot; what is over it is left out", "bytes"),
    ] = 4 * 1024 * 1024
    keyed_most: Annotated[
        int,
        number_range(
            0, 65_536, "keyed requests whose rack is remembered; 0: none is", "requests", waits=True
        ),
    ] = 4096


TABLE = State
