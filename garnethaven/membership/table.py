"""The settings table `[membership]`: sources of servers beside discovery, and this program's registration."""

from __future__ import annotations

import ipaddress
import ssl
from typing import Annotated, Any, ClassVar, Literal

from msgspec import field

from garnethaven.membership.payloads import MAPPED, Rules
from garnethaven.tables import SocketAddress, Table, WrongFieldError, field_meta, number_range

DISCOVERY, ZOOKEEPER, ETCD, CONSUL = "discovery", "zookeeper", "etcd", "consul"
REGISTRIES = (ZOOKEEPER, ETCD, CONSUL)
Form = Literal["own", "curator", "serverset"]
PATH = r"^/([^/\x00]+(/[^/\x00]+)*)?$"


class ZooKeeperHost(SocketAddress):
    default_port: ClassVar[int] = 2181


class Range(ipaddress.IPv4Network):
    """A range of IPv4 addresses."""

    wanted: ClassVar[str] = "a range of addresses"

    @classmethod
    def told(cls, value: object) -> Range:
        try:
            return cls(str(value))
        except ValueError:
            raise ValueError(f"is not {cls.wanted}: {value!r}") from None


class Tls(Table, frozen=True):
    """TLS files in PEM format."""

    ca: Annotated[str, field_meta("without it the machine's authorities are trusted", "PEM file")] = ""
    cert: Annotated[str, field_meta("ours, where hosts ask for one", "PEM file")] = ""
    key: Annotated[str, field_meta("the key of `cert`", "PEM file")] = ""
    name: Annotated[str, field_meta("the name in the hosts' certificates, where it is not their address")] = (
        ""
    )

    def __post_init__(self) -> None:
        try:
            self.context()
        except OSError as problem:
            raise WrongFieldError("ca" if self.ca else "cert", f"can't be used: {problem}") from None

    def context(self) -> ssl.SSLContext:
        """Raises OSError (ssl.SSLError is one) where a file can't be used."""
        context = ssl.create_default_context(cafile=self.ca or None)
        if self.cert:
            context.load_cert_chain(self.cert, self.key or None)
        return context


class Places(Table, frozen=True):
    """The paths of facts in a server's entry, for example `payload.rack`."""

    zone: Annotated[str, field_meta("the path of the zone's name")] = ""
    kind: Annotated[str, field_meta("of the kind's name")] = ""
    cell: Annotated[str, field_meta("of the rack's number")] = ""
    size: Annotated[str, field_meta("of the size")] = ""
    drain: Annotated[str, field_meta("of a mark that the server drains")] = ""


class Registration(Table, frozen=True):
    """This program's own ephemeral node."""

    path: Annotated[
        str, field_meta("the node; its parent must be there", "path", wanted="a path", pattern=PATH)
    ]
    form: Annotated[Form, field_meta("what it holds")] = "own"
    address: Annotated[
        SocketAddress | None, field_meta("what it tells; where the program listens if left out")
    ] = None
    withdraw_ms: Annotated[
        int, number_range(0, 5_000, "how long a drain waits for the node's end", "milliseconds")
    ] = 500
    facts: Annotated[dict[str, Any], field_meta("further fields of it")] = field(default_factory=dict)


class ZooKeeper(Table, frozen=True):
    """A registry of ephemeral nodes."""

    hosts: Annotated[
        tuple[ZooKeeperHost, ...],
        field_meta("the ensemble's hosts, in any order; port 2181 if left out", "address:port"),
    ]
    root: Annotated[
        str,
        field_meta(
            "the directory whose children are servers; a chroot is a part of it",
            "path",
            wanted="a path of a node",
            pattern=PATH,
        ),
    ]
    form: Annotated[Form, field_meta("what nodes hold")] = "own"
    endpoint: Annotated[str, field_meta("`serverset`: use this additional endpoint")] = ""
    secure: Annotated[bool, field_meta("`curator`: use `sslPort`")] = False
    allowed: Annotated[
        tuple[Range, ...], field_meta("servers elsewhere are not used; any unicast address if left out")
    ] = ()
    map: Annotated[Places, field_meta("where facts stand in a node")] = Places()
    session_timeout_ms: Annotated[
        int,
        number_range(
            400,
            40_000,
            "wished for; a host that says nothing for two thirds of it is left",
            "milliseconds",
        ),
    ] = 6_000
    spread_ms: Annotated[
        int, number_range(0, 5_000, "over which clients that lose a host come back", "milliseconds")
    ] = 500
    digest: Annotated[
        str, field_meta("proves who we are", "user:password", wanted="'user:password'", pattern="^[^:]+:.+$")
    ] = ""
    tls: Annotated[Tls | None, field_meta("hosts are asked over TLS")] = None
    read_only: Annotated[bool, field_meta("take a read-only host")] = False
    persistent: Annotated[bool, field_meta("use nodes that are not ephemeral")] = False
    cache: Annotated[
        str, field_meta("keeps the last list for a start while the registry is down", "path")
    ] = ""
    register: Annotated[Registration | None, field_meta("announces this program")] = None

    def __post_init__(self) -> None:
        if not self.hosts:
            raise WrongFieldError("hosts", "names no host")

    @property
    def rules(self) -> Rules:
        return rules_of(self.form, self.map, self.allowed, self.endpoint, self.secure)


class EtcdHost(SocketAddress):
    default_port: ClassVar[int] = 2379


class EtcdRegistration(Table, frozen=True):
    """This program's own key, on a lease."""

    key: Annotated[str, field_meta("the key", wanted="a key", pattern="^.+$")]
    form: Annotated[Form, field_meta("what it holds")] = "own"
    address: Annotated[
        SocketAddress | None, field_meta("what it tells; where the program listens if left out")
    ] = None
    ttl_s: Annotated[int, number_range(2, 600, "the lease's life without a sign of ours", "seconds")] = 10
    withdraw_ms: Annotated[
        int, number_range(0, 5_000, "how long a drain waits for the key's end", "milliseconds")
    ] = 500
    facts: Annotated[dict[str, Any], field_meta("further fields of it")] = field(default_factory=dict)


class Etcd(Table, frozen=True):
    """An etcd cluster (v3), read by watches."""

    hosts: Annotated[
        tuple[EtcdHost, ...],
        field_meta("the cluster's members, in any order; port 2379 if left out", "address:port"),
    ]
    prefix: Annotated[
        str, field_meta("keys that begin with it are servers", wanted="a prefix", pattern="^.+$")
    ]
    form: Annotated[Form, field_meta("what values hold")] = "own"
    allowed: Annotated[
        tuple[Range, ...], field_meta("servers elsewhere are not used; any unicast address if left out")
    ] = ()
    map: Annotated[Places, field_meta("where facts stand in a value")] = Places()
    user: Annotated[
        str, field_meta("proves who we are", "user:password", wanted="'user:password'", pattern="^[^:]+:.+$")
    ] = ""
    tls: Annotated[Tls | None, field_meta("members are asked over TLS")] = None
    quiet_ms: Annotated[
        int,
        number_range(
            100,
            60_000,
            "a watch that tells nothing is asked for a sign this often; after three it is dead",
            "milliseconds",
        ),
    ] = 1_000
    spread_ms: Annotated[
        int, number_range(0, 5_000, "over which clients that lose a member come back", "milliseconds")
    ] = 200
    cache: Annotated[
        str, field_meta("keeps the last list for a start while the registry is down", "path")
    ] = ""
    register: Annotated[EtcdRegistration | None, field_meta("announces this program")] = None

    def __post_init__(self) -> None:
        if not self.hosts:
            raise WrongFieldError("hosts", "names no host")

    @property
    def rules(self) -> Rules:
        return rules_of(self.form, self.map, self.allowed)


class ConsulHost(SocketAddress):
    default_port: ClassVar[int] = 8500


class ConsulRegistration(Table, frozen=True):
    """This program's own service, with a TTL check that it keeps passing."""

    name: Annotated[str, field_meta("the service's name", wanted="a name", pattern="^[^/?#]+$")]
    id: Annotated[str, field_meta("the instance's; the name and the address if left out")] = ""
    address: Annotated[
        SocketAddress | None, field_meta("what it tells; where the program listens if left out")
    ] = None
    ttl_s: Annotated[int, number_range(2, 600, "the check's life without a sign of ours", "seconds")] = 10
    withdraw_ms: Annotated[
        int, number_range(0, 5_000, "how long a drain waits for the service's end", "milliseconds")
    ] = 500
    facts: Annotated[dict[str, Any], field_meta("the service's `Meta`")] = field(default_factory=dict)


class Consul(Table, frozen=True):
    """A Consul catalog or key-value store, read by blocking queries."""

    hosts: Annotated[
        tuple[ConsulHost, ...], field_meta("agents, in any order; port 8500 if left out", "address:port")
    ]
    service: Annotated[str, field_meta("the instances of this service are servers")] = ""
    prefix: Annotated[str, field_meta("in place of `service`: keys that begin with it are servers")] = ""
    form: Annotated[Form, field_meta("what values under `prefix` hold")] = "own"
    allowed: Annotated[
        tuple[Range, ...], field_meta("servers elsewhere are not used; any unicast address if left out")
    ] = ()
    map: Annotated[Places, field_meta("where facts stand in a value, or in a service's `Meta`")] = Places()
    token: Annotated[str, field_meta("the ACL token", "text")] = ""
    mode: Annotated[
        Literal["default", "stale", "consistent"],
        field_meta("whose answers will do; in doubt the leader is asked"),
    ] = "default"
    stale_most_ms: Annotated[
        int,
        number_range(
            0, 60_000, "`stale`: longer without its leader and an agent is not believed", "milliseconds"
        ),
    ] = 1_000
    warning: Annotated[bool, field_meta("use servers whose checks warn")] = True
    wait_ms: Annotated[
        int, number_range(100, 600_000, "how long a query may wait for news", "milliseconds")
    ] = 5_000
    spread_ms: Annotated[
        int, number_range(0, 5_000, "over which clients that lose an agent come back", "milliseconds")
    ] = 200
    tls: Annotated[Tls | None, field_meta("agents are asked over TLS")] = None
    cache: Annotated[
        str, field_meta("keeps the last list for a start while the registry is down", "path")
    ] = ""
    register: Annotated[ConsulRegistration | None, field_meta("announces this program")] = None

    def __post_init__(self) -> None:
        if not self.hosts:
            raise WrongFieldError("hosts", "names no host")
        if bool(self.service) == bool(self.prefix):
            raise WrongFieldError("service", "or 'prefix' has to be told, one of them")

    @property
    def rules(self) -> Rules:
        return rules_of("own" if self.service else self.form, self.map, self.allowed)


class Move(Table, frozen=True):
    """Servers move between sources: one removed from `before` stays in the list while `after` has it."""

    before: Annotated[str, field_meta("the source that they leave")] = field(name="from")
    after: Annotated[str, field_meta("the source that they come to")] = field(name="to")


class Membership(Table, frozen=True):
    """Sources of servers beside discovery; the feature is on if at least one registry is set."""

    precedence: Annotated[
        tuple[str, ...],
        field_meta("who owns a server that several tell of, first one first; as they stand here", waits=True),
    ] = (*REGISTRIES, DISCOVERY)
    moves: Annotated[
        tuple[Move, ...], field_meta("sources that servers move between", "tables", waits=True)
    ] = ()
    zones: Annotated[
        dict[str, tuple[str, ...]],
        field_meta("another precedence for the servers of a zone, by its name", waits=True),
    ] = field(default_factory=dict)
    zookeeper: Annotated[ZooKeeper | None, field_meta("a registry of ephemeral nodes")] = None
    etcd: Annotated[Etcd | None, field_meta("a key-value registry that is read by watches")] = None
    consul: Annotated[Consul | None, field_meta("a catalog that is read by blocking queries")] = None

    def __post_init__(self) -> None:
        known = {*REGISTRIES, DISCOVERY}
        needed = {DISCOVERY, *self.registries()}
        named = set(self.precedence)
        if len(named) != len(self.precedence) or not needed <= named <= known:
            raise WrongFieldError("precedence", f"does not name {', '.join(sorted(needed))}, each once")
        for move in self.moves:
            if move.before == move.after or not {move.before, move.after} <= known:
                raise WrongFieldError("moves", f"has no two sources: {move.before!r}, {move.after!r}")
        for zone, order in self.zones.items():
            if not set(order) <= known:
                raise WrongFieldError("zones", f"names an unknown source for {zone!r}")

    def registries(self) -> dict[str, Any]:
        """The tables of the configured registries, by name."""
        return {name: table for name in REGISTRIES if (table := getattr(self, name)) is not None}


def rules_of(
    form: str, places: Places, allowed: tuple[Range, ...], endpoint: str = "", secure: bool = False
) -> Rules:
    """The decoding rules that a registry's settings describe."""
    mapped = {name: path for name in MAPPED if (path := getattr(places, name))}
    return Rules(form, endpoint, secure, mapped, allowed)


TABLE = Membership
