"""The operator's table `[membership]`: sources beside discovery, and this program's own registration."""

from __future__ import annotations

import ipaddress
import ssl
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from garnethaven.membership.payloads import FORMS, MAPPED, Network, Rules
from garnethaven.net.config import Address

if TYPE_CHECKING:
    from garnethaven.operator import Table

DISCOVERY, ZOOKEEPER = "discovery", "zookeeper"
SOURCES = (ZOOKEEPER, DISCOVERY)
DEFAULT_PORT = 2181
BOUNDS: dict[str, tuple[float, float]] = {
    "session_timeout_ms": (400, 40_000),
    "spread_ms": (0, 5_000),
    "withdraw_ms": (0, 5_000),
}


@dataclass(slots=True, frozen=True)
class Tls:
    """Files in PEM; without `ca` the machine's authorities are trusted."""

    ca: str = ""
    cert: str = ""
    key: str = ""
    name: str = ""  # that the hosts' certificates carry; empty: their addresses

    def context(self) -> ssl.SSLContext:
        """Raises OSError (ssl.SSLError is one) where a file can't be used."""
        made = ssl.create_default_context(cafile=self.ca or None)
        if self.cert:
            made.load_cert_chain(self.cert, self.key or None)
        return made


@dataclass(slots=True, frozen=True)
class Registration:
    """Table `[membership.zookeeper.register]`: this program's own ephemeral node."""

    path: str
    form: str = "own"
    address: Address | None = None  # none: where the program listens
    withdraw_ms: int = 500  # how long a drain waits for the node's end to be confirmed, at the most
    facts: Mapping[str, Any] = field(default_factory=dict)  # further fields of the node


@dataclass(slots=True, frozen=True)
class Registry:
    """Table `[membership.zookeeper]`; on where `hosts` is set."""

    hosts: tuple[Address, ...]
    root: str  # the directory whose children are servers, with the chroot if there is one
    rules: Rules = field(default_factory=Rules)
    session_timeout_ms: int = 6_000  # wished for; the registry says what holds
    spread_ms: int = 500  # over which clients that lose a host come back
    digest: str | None = None  # `user:password`
    tls: Tls | None = None
    read_only: bool = False  # whether a read-only server will do
    persistent: bool = False  # whether nodes that are not ephemeral count
    cache: str | None = None  # a file that keeps the last list over a restart
    register: Registration | None = None


@dataclass(slots=True, frozen=True)
class Membership:
    """The whole table."""

    precedence: tuple[str, ...] = SOURCES
    zookeeper: Registry | None = None


def read_membership(table: Table) -> Membership:
    """Read and check the table; raises OperatorError."""
    table.known({"precedence", "zookeeper"})
    precedence = tuple(table.array("precedence") or SOURCES)
    if set(precedence) != set(SOURCES) or len(precedence) != len(SOURCES):
        raise table.error("precedence", f"does not name {' and '.join(SOURCES)}, each once")
    names = tuple(str(name) for name in precedence)
    registry = _registry(table.table("zookeeper")) if "zookeeper" in table.told else None
    return Membership(names, registry)


def _registry(table: Table) -> Registry:
    table.known(
        {"hosts", "root", "form", "endpoint", "secure", "allowed", "map", "session_timeout_ms", "spread_ms"}
        | {"digest", "tls", "read_only", "persistent", "cache", "register"}
    )
    hosts = tuple(_host(table, told) for told in table.array("hosts"))
    if not hosts:
        raise table.error("hosts", "names no host")
    digest = table.text("digest")
    if digest and not all(digest.partition(":")):
        raise table.error("digest", "is not 'user:password'")
    return Registry(
        hosts=hosts,
        root=_path(table, "root"),
        rules=_rules(table),
        session_timeout_ms=_milliseconds(table, "session_timeout_ms", 6_000),
        spread_ms=_milliseconds(table, "spread_ms", 500),
        digest=digest or None,
        tls=_tls(table.table("tls")) if "tls" in table.told else None,
        read_only=table.flag("read_only"),
        persistent=table.flag("persistent"),
        cache=table.text("cache") or None,
        register=_registration(table.table("register")) if "register" in table.told else None,
    )


def _rules(table: Table) -> Rules:
    places = table.table("map")
    places.known(set(MAPPED))
    return Rules(
        form=_form(table),
        endpoint=table.text("endpoint"),
        secure=table.flag("secure"),
        places={name: places.text(name) for name in places.told},
        allowed=tuple(_network(table, told) for told in table.array("allowed")),
    )


def _registration(table: Table) -> Registration:
    table.known({"path", "form", "address", "withdraw_ms", "facts"})
    return Registration(
        path=_path(table, "path"),
        form=_form(table),
        address=table.address("address"),
        withdraw_ms=_milliseconds(table, "withdraw_ms", 500),
        facts=table.table("facts").told,
    )


def _tls(table: Table) -> Tls:
    table.known({"ca", "cert", "key", "name"})
    tls = Tls(table.text("ca"), table.text("cert"), table.text("key"), table.text("name"))
    try:
        tls.context()
    except OSError as problem:
        raise table.error("ca" if tls.ca else "cert", f"can't be used: {problem}") from None
    return tls


def _form(table: Table) -> str:
    form = table.text("form") or FORMS[0]
    if form not in FORMS:
        raise table.error("form", f"is not one of {', '.join(FORMS)}: {form!r}")
    return form


def _milliseconds(table: Table, name: str, default: int) -> int:
    return int(table.number(name, default, whole=True, bounds=BOUNDS[name]))


def _path(table: Table, name: str) -> str:
    path = table.text(name)
    if not path.startswith("/") or "//" in path or (path != "/" and path.endswith("/")) or "\0" in path:
        raise table.error(name, f"is not a path of a node: {path!r}")
    return path


def _host(table: Table, told: object) -> Address:
    """An address with a port, 2181 where it is left out; there is no DNS."""
    host, mark, port = str(told).partition(":")
    try:
        address = str(ipaddress.IPv4Address(host))
        number = int(port) if mark else DEFAULT_PORT
    except ValueError:
        number = 0
    if not isinstance(told, str) or not 0 < number < 65536:
        raise table.error("hosts", f"holds what is not an address with a port: {told!r}")
    return address, number


def _network(table: Table, told: object) -> Network:
    try:
        return ipaddress.IPv4Network(str(told))
    except ValueError:
        raise table.error("allowed", f"holds what is not a range of addresses: {told!r}") from None
