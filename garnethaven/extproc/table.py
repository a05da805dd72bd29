"""The operator's table `[external_processor]`."""

from __future__ import annotations

from typing import Annotated

from msgspec import field

from garnethaven.tables import Secret, SocketAddress, Table, field_meta, number_range


class Route(Table, frozen=True):
    """A rule that assigns a class to requests by path prefix and method."""

    class_name: Annotated[str, field_meta("the class of what fits", "class")] = field(name="class")
    path: Annotated[str, field_meta("what the path begins with")] = "/"
    method: Annotated[str, field_meta("any where it is left out")] = ""


class ExternalProcessor(Table, frozen=True):
    """Settings of the external processor, which proxies call once per request; enabled if `listen` is set."""

    listen: Annotated[
        SocketAddress | None,
        field_meta(
            "where proxies call `envoy.service.ext_proc.v3.ExternalProcessor`", "address:port", waits=True
        ),
    ] = None
    keys: Annotated[
        tuple[Secret, ...],
        field_meta("secrets for tokens, 16 bytes or more each, the signing one first", "hexadecimal"),
    ] = ()
    # The maximum is below the drain grace, so that a delayed decision still arrives within it.
    valid_ms: Annotated[
        int, number_range(20, 400, "how long a decision may wait at the proxy", "milliseconds")
    ] = 200
    message_timeout_ms: Annotated[
        int, number_range(10, 10_000, "the proxy's own message time-out", "milliseconds")
    ] = 200
    streams_most: Annotated[
        int, number_range(1, 100_000, "beyond it requests are refused at once", "streams")
    ] = 10_000
    routes: Annotated[
        tuple[Route, ...],
        field_meta("the class of requests that name none; the first that fits counts", "tables"),
    ] = ()


TABLE = ExternalProcessor
