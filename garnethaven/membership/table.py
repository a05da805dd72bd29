"""The operator's table `[membership]`: sources beside discovery, and this program's own registration."""

from __future__ import annotations

import ipaddress
import ssl
from typing import Annotated, Any, ClassVar, Literal

from msgspec import field

from garnethaven.membership.payloads import MAPPED, Rules
from garnethaven.tables import At, Table, WrongFieldError, bounded, said

DISCOVERY, ZOOKEEPER = "discovery", "zookeeper"
REGISTRIES = (ZOOKEEPER,)
Form = Literal["own", "curator", "serverset"]
PATH = r"^/([^/\x00]+(/[^/\x00]+)*)?$"


class ZooKeeperHost(At):
    default_port: ClassVar[int] = 2181


class Range(ipaddress.IPv4Network):
    """A range of addresses."""

    wanted: ClassVar[str] = "a range of addresses"

    @classmethod
    def told(cls, value: object) -> Range:
        try:
            return cls(str(value))
        except ValueError:
            raise ValueError(f"is not {cls.wanted}: {value!r}") from None


class Tls(Table, frozen=True):
    """Files in PEM."""

    ca: Annotated[str, said("without it the machine's authorities are trusted", "PEM file")] = ""
    cert: Annotated[str, said("ours, where hosts ask for one", "PEM file")] = ""
    key: Annotated[str, said("the key of `cert`", "PEM file")] = ""
    name: Annotated[str, said("the name in the hosts' certificates, where it is not their address")] = ""

    def __post_init__(self) -> None:
        try:
            self.context()
        except OSError as problem:
            raise WrongFieldError("ca" if self.ca else "cert", f"can't be used: {problem}") from None

    def context(self) -> ssl.SSLContext:
        """Raises OSError (ssl.SSLError is one) where a file can't be used."""
        made = ssl.create_default_context(cafile=self.ca or None)
        if self.cert:
            made.load_cert_chain(self.cert, self.key or None)
        return made


class Places(Table, frozen=True):
    """Where facts stand in a server's entry, as `payload.rack`."""

    zone: Annotated[str, said("the path of the zone's name")] = ""
    kind: Annotated[str, said("of the kind's name")] = ""
    cell: Annotated[str, said("of the rack's number")] = ""
    size: Annotated[str, said("of the size")] = ""
    drain: Annotated[str, said("of a mark that the server drains")] = ""


class Registration(Table, frozen=True):
    """This program's own node."""

    path: Annotated[str, said("the node; its parent must be there", "path", wanted="a path", pattern=PATH)]
    form: Annotated[Form, said("what it holds")] = "own"
    address: Annotated[At | None, said("what it tells; where the program listens if left out")] = None
    withdraw_ms: Annotated[
        int, bounded(0, 5_000, "how long a drain waits for the node's end", "milliseconds")
    ] = 500
    facts: Annotated[dict[str, Any], said("further fields of it")] = field(default_factory=dict)


class ZooKeeper(Table, frozen=True):
    """A registry of ephemeral nodes."""

    hosts: Annotated[
        tuple[ZooKeeperHost, ...],
        said("the ensemble's hosts, in any order; port 2181 if left out", "address:port"),
    ]
    root: Annotated[
        str,
        said(
            "the directory whose children are servers; a chroot is a part of it",
            "path",
            wanted="a path of a node",
            pattern=PATH,
        ),
    ]
    form: Annotated[Form, said("what nodes hold")] = "own"
    endpoint: Annotated[str, said("`serverset`: use this additional endpoint")] = ""
    secure: Annotated[bool, said("`curator`: use `sslPort`")] = False
    allowed: Annotated[
        tuple[Range, ...], said("servers elsewhere are not used; any unicast address if left out")
    ] = ()
    map: Annotated[Places, said("where facts stand in a node")] = Places()
    session_timeout_ms: Annotated[
        int,
        bounded(
            400,
            40_000,
            "wished for; a host that says nothing for two thirds of it is left",
            "milliseconds",
        ),
    ] = 6_000
    spread_ms: Annotated[
        int, bounded(0, 5_000, "over which clients that lose a host come back", "milliseconds")
    ] = 500
    digest: Annotated[
        str, said("proves who we are", "user:password", wanted="'user:password'", pattern="^[^:]+:.+$")
    ] = ""
    tls: Annotated[Tls | None, said("hosts are asked over TLS")] = None
    read_only: Annotated[bool, said("take a read-only host")] = False
    persistent: Annotated[bool, said("use nodes that are not ephemeral")] = False
    cache: Annotated[str, said("keeps the last list for a start while the registry is down", "path")] = ""
    register: Annotated[Registration | None, said("announces this program")] = None

    def __post_init__(self) -> None:
        if not self.hosts:
            raise WrongFieldError("hosts", "names no host")

    @property
    def rules(self) -> Rules:
        return rules_of(self.form, self.map, self.allowed, self.endpoint, self.secure)


class Membership(Table, frozen=True):
    """Sources of servers beside discovery; on where one of them is there."""

    precedence: Annotated[
        tuple[str, ...],
        said("who owns a server that several tell of, first one first; as they stand here", waits=True),
    ] = (*REGISTRIES, DISCOVERY)
    zookeeper: Annotated[ZooKeeper | None, said("a registry of ephemeral nodes")] = None

    def __post_init__(self) -> None:
        known = {*REGISTRIES, DISCOVERY}
        needed = {DISCOVERY, *self.registries()}
        told = set(self.precedence)
        if len(told) != len(self.precedence) or not needed <= told <= known:
            raise WrongFieldError("precedence", f"does not name {', '.join(sorted(needed))}, each once")

    def registries(self) -> dict[str, Any]:
        """The registries that are switched on, by name."""
        return {name: table for name in REGISTRIES if (table := getattr(self, name)) is not None}


def rules_of(
    form: str, places: Places, allowed: tuple[Range, ...], endpoint: str = "", secure: bool = False
) -> Rules:
    """How entries are read."""
    mapped = {name: path for name in MAPPED if (path := getattr(places, name))}
    return Rules(form, endpoint, secure, mapped, allowed)


TABLE = Membership
