"""The operator's table `[grpc]`."""

from __future__ import annotations

from typing import Annotated

from msgspec import field

from garnethaven.tables import SocketAddress, Table, WrongFieldError, field_meta, number_range


class GrpcRoute(Table, frozen=True):
    """The class and treatment of a gRPC service or method."""

    path: Annotated[str, field_meta("a service (`/pkg.Service/`) or a method; the longest that fits counts")]
    class_name: Annotated[str, field_meta("the class of its calls", "class")] = field(name="class")
    streams: Annotated[bool, field_meta("its answers are passed on as they come")] = False
    keyed: Annotated[bool, field_meta("its servers drop repeats by the call id")] = False

    def __post_init__(self) -> None:
        if self.path and not self.path.startswith("/"):
            raise WrongFieldError("path", f"must begin with '/', not {self.path!r}")


class Grpc(Table, frozen=True):
    """Settings of gRPC, which is served beside HTTP/1.1 if `listen` is set."""

    listen: Annotated[
        SocketAddress | None,
        field_meta("where clients connect: HTTP/2 with prior knowledge, or TLS", "address:port", waits=True),
    ] = None
    port_offset: Annotated[
        int,
        number_range(
            -20_000, 20_000, "added to a server's listed port for its gRPC port", "ports", waits=True
        ),
    ] = 0
    default: Annotated[
        str, field_meta("of methods that no route names; without it `UNIMPLEMENTED`", "class")
    ] = ""
    stream_most_s: Annotated[
        int, number_range(1, 86_400, "the longest that a call of a streaming route may last", "seconds")
    ] = 3_600
    cert: Annotated[str, field_meta("with it clients must use TLS, with ALPN `h2`", "PEM file")] = ""
    key: Annotated[str, field_meta("the key of `cert`", "PEM file")] = ""
    client_ca: Annotated[str, field_meta("clients need a certificate of these authorities", "PEM file")] = ""
    peers: Annotated[
        tuple[str, ...],
        field_meta("clients need one of these names; `*.` for one label", "names"),
    ] = ()
    revoked: Annotated[str, field_meta("a revocation list; clients on it are refused", "PEM file")] = ""
    server_ca: Annotated[
        str,
        field_meta(
            "servers are asked over TLS; their certificates carry their addresses", "PEM file", waits=True
        ),
    ] = ""
    routes: Annotated[tuple[GrpcRoute, ...], field_meta("the classes of methods", "tables")] = ()

    def __post_init__(self) -> None:
        for name, required in (
            ("key", "cert"),
            ("client_ca", "cert"),
            ("peers", "client_ca"),
            ("revoked", "client_ca"),
        ):
            if getattr(self, name) and not getattr(self, required):
                raise WrongFieldError(name, f"has no effect without '{required}'")


TABLE = Grpc
