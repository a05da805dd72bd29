"""The operator's file: what a deployment switches on beside what the platform tells. TOML, checked strictly.

Everything is off or at its default where the file, a table or a field is left out. Each error names the
file, the line where it can be told, and the field.
"""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, fields
from typing import TYPE_CHECKING

from garnethaven.limits.lists import WAIT_MOST_S
from garnethaven.limits.places import CALM_WAIT_S
from garnethaven.net.config import Address, parse_address

if TYPE_CHECKING:
    from garnethaven.membership.settings import Membership

VARIABLE = "NODE_OPERATOR"
OPTION = "--operator"
KEY_LEAST = 16  # bytes of a secret


class OperatorError(Exception):
    """The operator's file can't be read or holds what it must not."""


@dataclass(slots=True, frozen=True)
class Limits:
    """Table `[limits]`."""

    # Where `GET /-/limits` is answered; off by default.
    view: Address | None = None
    # Connections that the clients can hold on their side; 0, the default: a third of the descriptors.
    client_places: int = 0
    # 0.5 to 3600: how long an idle connection is kept while places are plenty.
    calm_idle_s: float = CALM_WAIT_S
    # 2 to 60: the longest that a watch of discovery may wait.
    watch_most_s: float = WAIT_MOST_S


@dataclass(slots=True, frozen=True)
class Route:
    """One rule of the operator's: requests that fit are of this class."""

    grade: str
    path: str = "/"
    method: str = ""  # empty: any


@dataclass(slots=True, frozen=True)
class ExternalProcessor:
    """Table `[external_processor]`; on where `listen` is set."""

    # Where proxies call it.
    listen: Address | None = None
    # Secrets of at least 16 bytes, in hexadecimal, the signing one first; none, the default: no tokens.
    keys: tuple[bytes, ...] = ()
    # 20 to 400 ms, under the grace of drains: how long a decision may wait at the proxy.
    valid_ms: int = 200
    # 10 to 10,000 ms: the proxy's own message time-out.
    message_timeout_ms: int = 200
    # 1 to 100,000: open streams, above which requests are refused at once.
    streams_most: int = 10_000
    # `[[external_processor.routes]]`: classes of requests that name none.
    routes: tuple[Route, ...] = ()


@dataclass(slots=True, frozen=True)
class Connections:
    """Table `[connections]`; on where `plan` is true."""

    plan: bool = False
    # 1 to 10,000: new connections a second that the whole fleet opens to one warm server.
    opens_per_s: float = 40.0
    # 1 to 100,000: connections that a server accepts from the whole fleet.
    accepts: int = 370
    # 1 to 86,400: after so many seconds a connection is closed when it is free.
    age_s: float = 600.0
    # 1 to 1,000,000,000: after so many requests a connection is closed.
    requests_most: int = 10_000
    # Whether connections are opened ahead of need.
    ahead: bool = True


@dataclass(slots=True, frozen=True)
class Grpc:
    """Table `[grpc]`; on where `listen` is set."""

    # Where gRPC clients connect: cleartext HTTP/2 with prior knowledge.
    listen: Address | None = None
    # -20,000 to 20,000: what is added to a server's port for its gRPC port.
    port_offset: int = 0
    # The class of methods that no route names; none, the default: they are UNIMPLEMENTED.
    default: str = ""
    # 1 to 86,400: the longest that a call of a streaming route may last without a `grpc-timeout`.
    stream_most_s: int = 3_600
    # Files in PEM: with `cert` clients must use TLS; with `server_ca` servers are asked over TLS.
    cert: str = ""
    key: str = ""
    server_ca: str = ""
    # `[[grpc.routes]]`: `path` (a service or a method), `class`, `streams`, `keyed`.
    routes: tuple[GrpcRoute, ...] = ()


@dataclass(slots=True, frozen=True)
class GrpcRoute:
    """One rule of the operator's for gRPC methods."""

    path: str
    grade: str
    streams: bool = False  # its answers are passed on as they come
    keyed: bool = False  # its servers drop repeats by the call id


@dataclass(slots=True, frozen=True)
class Operator:
    """The whole file."""

    limits: Limits = Limits()
    external_processor: ExternalProcessor = ExternalProcessor()
    connections: Connections = Connections()
    grpc: Grpc = Grpc()
    membership: Membership | None = None  # read by membership/settings.py


BOUNDS = {
    "valid_ms": (20, 400),
    "message_timeout_ms": (10, 10_000),
    "streams_most": (1, 100_000),
    "client_places": (1, 1_000_000),
    "calm_idle_s": (0.5, 3600.0),
    "watch_most_s": (2.0, 60.0),
    "port_offset": (-20_000, 20_000),
    "stream_most_s": (1, 86_400),
    "opens_per_s": (1.0, 10_000.0),
    "accepts": (1, 100_000),
    "age_s": (1.0, 86_400.0),
    "requests_most": (1, 1_000_000_000),
}


def named_file(arguments: list[str], environment: Mapping[str, str]) -> str | None:
    """The path that the command line or the environment names; raises OperatorError for other arguments."""
    if not arguments:
        return environment.get(VARIABLE) or None
    if arguments[0] != OPTION or len(arguments) != 2:
        raise OperatorError(f"the arguments are '{OPTION} FILE' or none, not {' '.join(arguments)!r}")
    return arguments[1]


def read_operator(path: str | None) -> Operator:
    """Read and check the file; without one all is at its default."""
    if path is None:
        return Operator()
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
        told = tomllib.loads(text)
    except (OSError, UnicodeDecodeError) as problem:
        raise OperatorError(f"{path} cannot be read: {problem}") from None
    except tomllib.TOMLDecodeError as problem:
        raise OperatorError(f"{path} is no TOML: {problem}") from None
    return Checked(path, text).operator(told)


class Table:
    """One table of the file while it is checked."""

    def __init__(self, checked: Checked, told: dict[str, object], name: str) -> None:
        table = told.get(name.rpartition(".")[2], {})
        if not isinstance(table, dict):
            raise checked.error(name, "is not a table")
        self.checked = checked
        self.name = name
        self.told: dict[str, object] = table

    def error(self, field: str, problem: str) -> OperatorError:
        return self.checked.error(f"{self.name}.{field}", problem)

    def table(self, field: str) -> Table:
        """A table in this one; an empty one where it is left out."""
        return Table(self.checked, self.told, f"{self.name}.{field}")

    def text(self, field: str) -> str:
        value = self.told.get(field, "")
        if not isinstance(value, str):
            raise self.error(field, f"is not a text: {value!r}")
        return value

    def flag(self, field: str, default: bool = False) -> bool:
        value = self.told.get(field, default)
        if not isinstance(value, bool):
            raise self.error(field, f"is not true or false: {value!r}")
        return value

    def known(self, names: set[str]) -> None:
        self.checked.only(self.told, names, f"{self.name}.")

    def only(self, kind: type[Limits] | type[ExternalProcessor] | type[Connections] | type[Grpc]) -> None:
        self.known({field.name for field in fields(kind)})

    def address(self, field: str) -> Address | None:
        if field not in self.told:
            return None
        address = parse_address(self.told[field])
        if address is None:
            raise self.error(field, f"is not an address with a port: {self.told[field]!r}")
        return address

    def array(self, field: str) -> list[object]:
        value = self.told.get(field, [])
        if not isinstance(value, list):
            raise self.error(field, f"is not an array: {value!r}")
        return value

    def number(
        self, field: str, default: float, whole: bool = False, bounds: tuple[float, float] | None = None
    ) -> float:
        if field not in self.told:
            return default
        value = self.told[field]
        low, high = bounds or BOUNDS[field]
        sound = isinstance(value, int) if whole else isinstance(value, int | float)
        if not sound or isinstance(value, bool) or not isinstance(value, int | float):
            raise self.error(field, f"is not a {'whole ' if whole else ''}number: {value!r}")
        if not low <= value <= high:
            raise self.error(field, f"is not from {low:g} to {high:g}: {value!r}")
        return value


class Checked:
    """One file while it is checked; knows where its fields stand."""

    def __init__(self, path: str, text: str) -> None:
        self.path = path
        self.lines = text.splitlines()

    def operator(self, told: dict[str, object]) -> Operator:
        self.only(told, {field.name for field in fields(Operator)}, "")
        return Operator(
            limits=self._limits(Table(self, told, "limits")),
            external_processor=self._external_processor(Table(self, told, "external_processor")),
            connections=self._connections(Table(self, told, "connections")),
            grpc=self._grpc(Table(self, told, "grpc")),
            membership=self._membership(Table(self, told, "membership")) if "membership" in told else None,
        )

    def _membership(self, table: Table) -> Membership:
        from garnethaven.membership.settings import read_membership

        return read_membership(table)

    def _limits(self, table: Table) -> Limits:
        table.only(Limits)
        defaults = Limits()
        return Limits(
            view=table.address("view"),
            client_places=int(table.number("client_places", defaults.client_places, whole=True)),
            calm_idle_s=table.number("calm_idle_s", defaults.calm_idle_s),
            watch_most_s=table.number("watch_most_s", defaults.watch_most_s),
        )

    def _external_processor(self, table: Table) -> ExternalProcessor:
        table.only(ExternalProcessor)
        defaults = ExternalProcessor()
        return ExternalProcessor(
            listen=table.address("listen"),
            keys=tuple(self._key(table, text) for text in table.array("keys")),
            valid_ms=int(table.number("valid_ms", defaults.valid_ms, whole=True)),
            message_timeout_ms=int(
                table.number("message_timeout_ms", defaults.message_timeout_ms, whole=True)
            ),
            streams_most=int(table.number("streams_most", defaults.streams_most, whole=True)),
            routes=tuple(self._route(table, told) for told in table.array("routes")),
        )

    def _connections(self, table: Table) -> Connections:
        table.only(Connections)
        defaults = Connections()
        return Connections(
            plan=table.flag("plan"),
            opens_per_s=table.number("opens_per_s", defaults.opens_per_s),
            accepts=int(table.number("accepts", defaults.accepts, whole=True)),
            age_s=table.number("age_s", defaults.age_s),
            requests_most=int(table.number("requests_most", defaults.requests_most, whole=True)),
            ahead=table.flag("ahead", defaults.ahead),
        )

    def _grpc(self, table: Table) -> Grpc:
        table.only(Grpc)
        defaults = Grpc()
        return Grpc(
            listen=table.address("listen"),
            port_offset=int(table.number("port_offset", defaults.port_offset, whole=True)),
            default=table.text("default"),
            cert=table.text("cert"),
            key=table.text("key"),
            server_ca=table.text("server_ca"),
            stream_most_s=int(table.number("stream_most_s", defaults.stream_most_s, whole=True)),
            routes=tuple(self._grpc_route(table, told) for told in table.array("routes")),
        )

    def _grpc_route(self, table: Table, told: object) -> GrpcRoute:
        if not isinstance(told, dict) or set(told) - {"path", "class", "streams", "keyed"}:
            raise table.error("routes", "has a route with other fields than path, class, streams and keyed")
        path, grade = told.get("path"), told.get("class")
        flags = (told.get("streams", False), told.get("keyed", False))
        if not isinstance(path, str) or not path.startswith("/") or not isinstance(grade, str):
            raise table.error("routes", "has a route without a path that begins with / and a class")
        if not all(isinstance(flag, bool) for flag in flags):
            raise table.error("routes", "has a route whose streams or keyed is not true or false")
        return GrpcRoute(path, grade, *flags)

    def _key(self, table: Table, text: object) -> bytes:
        try:
            key = bytes.fromhex(text) if isinstance(text, str) else b""
        except ValueError:
            key = b""
        if len(key) < KEY_LEAST:
            raise table.error("keys", f"holds what is not {KEY_LEAST} bytes or more in hexadecimal")
        return key

    def _route(self, table: Table, told: object) -> Route:
        if not isinstance(told, dict) or not all(isinstance(value, str) for value in told.values()):
            raise table.error("routes", "is not an array of tables of texts")
        unknown = set(told) - {"class", "path", "method"}
        if unknown or "class" not in told:
            raise table.error("routes", "has a route with other fields than class, path and method")
        return Route(told["class"], told.get("path", "/"), told.get("method", ""))

    def only(self, table: dict[str, object], known: set[str], prefix: str) -> None:
        for name in table:
            if name not in known:
                raise self.error(prefix + name, f"is unknown; known are {', '.join(sorted(known))}")

    def error(self, field: str, problem: str) -> OperatorError:
        last = field.rpartition(".")[2]
        for number, line in enumerate(self.lines, start=1):
            words = line.strip().lstrip("[").replace("]", " ").replace("=", " ").split()
            if words and words[0] in (last, field):
                return OperatorError(f"{self.path}, line {number}: '{field}' {problem}")
        return OperatorError(f"{self.path}: '{field}' {problem}")
