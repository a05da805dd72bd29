"""The operator's table `[external_processor]`."""

from __future__ import annotations

from typing import Annotated

from msgspec import field

from garnethaven.tables import At, Secret, Table, bounded, said


class Route(Table, frozen=True):
    """A rule that assigns a class to requests by path prefix and method."""

    grade: Annotated[str, said("the class of what fits", "class")] = field(name="class")
    path: Annotated[str, said("what the path begins with")] = "/"
    method: Annotated[str, said("any where it is left out")] = ""


class ExternalProcessor(Table, frozen=True):
    """Settings of the external processor, which proxies call once per request; enabled if `listen` is set."""

    listen: Annotated[
        At | None,
        said("where proxies call `envoy.service.ext_proc.v3.ExternalProcessor`", "address:port", waits=True),
    ] = None
    keys: Annotated[
        tuple[Secret, ...],
        said("secrets for tokens, 16 bytes or more each, the signing one first", "hexadecimal"),
    ] = ()
    # The maximum is below the drain grace, so that a delayed decision still arrives within it.
    valid_ms: Annotated[
        int, bounded(20, 400, "how long a decision may wait at the proxy", "milliseconds")
    ] = 200
    message_timeout_ms: Annotated[
        int, bounded(10, 10_000, "the proxy's own message time-out", "milliseconds")
    ] = 200
    streams_most: Annotated[int, bounded(1, 100_000, "beyond it requests are refused at once", "streams")] = (
        10_000
    )
    routes: Annotated[
        tuple[Route, ...], said("the class of requests that name none; the first that fits counts", "tables")
    ] = ()


TABLE = ExternalProcessor
