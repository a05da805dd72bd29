"""Decodes registry entries of servers: our own form, Curator service instances, Finagle server sets. No I/O.

| form | address | draining | start |
| --- | --- | --- | --- |
| `own` | `host_port` | `phase` is not `SERVING` | `up_since_ms` |
| `curator` | `address`, and `port` or `sslPort` | `enabled` is false | none |
| `serverset` | `serviceEndpoint` or a named additional one | `status` is not `ALIVE` | none |

Curator's registration time is not the start of a server.

Zone, kind, cell, size and the drain mark are read from the paths of the operator's map, for example
`payload.rack` in the entry's JSON. A field that can't be read never makes a server usable: either the whole
entry is rejected, or its server drains.
"""

from __future__ import annotations

import ipaddress
import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from garnethaven.addresses import Address
from garnethaven.interface import Endpoint, State
from garnethaven.membership.model import Fact

MS = 1_000_000
MAX_PAYLOAD_BYTES = 64 * 1024  # bytes; a larger entry is rejected
MAX_CELL = 1 << 31
MAX_SIZE = 1e6
FORMS = ("own", "curator", "serverset")
MAPPED = ("zone", "kind", "cell", "size", "drain")

Network = ipaddress.IPv4Network


class PayloadError(Exception):
    """An entry that can't be used; the text is one of a few fixed reasons, which are counted."""


@dataclass(slots=True, frozen=True)
class Rules:
    """How entries are decoded, from the operator's settings."""

    form: str = "own"
    endpoint: str = ""  # `serverset`: name of the additional endpoint to use; empty: `serviceEndpoint`
    secure: bool = False  # `curator`: use `sslPort` as the port
    places: Mapping[str, str] = field(default_factory=dict)  # names in MAPPED to dotted paths
    allowed: tuple[Network, ...] = ()  # the networks of servers; empty: any unicast address


class Payload:
    """Decodes entries. `wall_to_local` converts wall-clock milliseconds to local nanoseconds."""

    def __init__(
        self,
        rules: Rules,
        zones: Mapping[str, int],
        kinds: Mapping[str, int],
        wall_to_local: Callable[[int], int],
    ) -> None:
        self.rules = rules
        self.zones = zones
        self.kinds = kinds
        self.wall_to_local = wall_to_local
        self.read_form = {"own": _own, "curator": _curator, "serverset": _serverset}[rules.form]

    def read(self, data: bytes, czxid: int, ctime_ms: int) -> Fact:
        """The fact of an entry with this data, creation id and creation time; raises PayloadError."""
        if len(data) > MAX_PAYLOAD_BYTES:
            raise PayloadError("too large")
        try:
            document = json.loads(data)
        except (ValueError, RecursionError):
            raise PayloadError("no JSON") from None
        if not isinstance(document, dict):
            raise PayloadError("no object")
        host, port, is_serving, up_since_ms = self.read_form(document, self.rules)
        address = self._address(host, port)
        mapped = {name: self._field(document, name) for name in MAPPED}
        cell, size, drain = mapped["cell"], mapped["size"], mapped["drain"]
        valid = _is_integer_within(cell, 0, MAX_CELL) and _is_valid_size(size)
        state = State.UP if is_serving and valid and not _drain_mark_set(drain) else State.DRAINING
        start_ns = self.wall_to_local(up_since_ms or ctime_ms)
        entry = Endpoint(
            id=0,
            zone=self.zones.get(str(mapped["zone"]), len(self.zones)),
            kind=self.kinds.get(str(mapped["kind"]), len(self.kinds)),
            cell=cell if valid else 0,
            state=state,
            relative_capacity=float(size) if valid else 1.0,
            started=start_ns,
        )
        return Fact(address, entry, czxid, up_since_ms)

    def _address(self, host: object, port: object) -> Address:
        if not isinstance(host, str) or not _is_integer_within(port, 1, 65535):
            raise PayloadError("no address")
        assert isinstance(port, int)
        try:
            address = ipaddress.IPv4Address(host)
        except ValueError:
            raise PayloadError("no IPv4 address") from None
        if address.is_multicast or address.is_unspecified or address.is_reserved:
            raise PayloadError("an address outside the allowed ranges")
        if self.rules.allowed and not any(address in network for network in self.rules.allowed):
            raise PayloadError("an address outside the allowed ranges")
        return str(address), port

    def _field(self, document: dict[str, Any], name: str) -> Any:
        """The value at the map's path, else at the path of our own form, else the default."""
        path = self.rules.places.get(name) or (OWN_FORM_PATHS[name] if self.rules.form == "own" else "")
        value: Any = document if path else None
        for step in path.split(".") if path else ():
            value = value.get(step) if isinstance(value, dict) else None
        if value is None:
            return DEFAULTS[name]
        if isinstance(value, str) and name in ("cell", "size"):  # some registries store metadata as strings
            return _parse_number(value, integer=name == "cell")
        return value


OWN_FORM_PATHS = {"zone": "locality", "kind": "flavor", "cell": "cell", "size": "size", "drain": ""}
DEFAULTS: dict[str, Any] = {"zone": "", "kind": "", "cell": 0, "size": 1.0, "drain": False}

# Host, port, serving, start in wall-clock milliseconds or 0 if unknown.
NodeFields = tuple[object, object, bool, int]


def _own(document: dict[str, Any], rules: Rules) -> NodeFields:
    host, separator, port = str(document.get("host_port", "")).rpartition(":")
    if not separator or not (port.isascii() and port.isdigit()) or len(port) > 5:
        raise PayloadError("no address")
    up_since = document.get("up_since_ms", 0)
    if not _is_integer_within(up_since, 0, 1 << 62):
        raise PayloadError("no start")
    return host, int(port), document.get("phase") == "SERVING", up_since


def _curator(document: dict[str, Any], rules: Rules) -> NodeFields:
    port = document.get("sslPort" if rules.secure else "port")
    return document.get("address"), port, document.get("enabled", True) is True, 0


def _serverset(document: dict[str, Any], rules: Rules) -> NodeFields:
    endpoint: Any = document.get("serviceEndpoint")
    if rules.endpoint:
        additional = document.get("additionalEndpoints")
        endpoint = additional.get(rules.endpoint) if isinstance(additional, dict) else None
    if not isinstance(endpoint, dict):
        raise PayloadError("no address")
    return endpoint.get("host"), endpoint.get("port"), document.get("status") == "ALIVE", 0


def _is_integer_within(value: object, low: int, high: int) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and low <= value <= high


def _is_valid_size(value: object) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and 0 < value <= MAX_SIZE


def _drain_mark_set(value: object) -> bool:
    """Whether the drain mark is set; an unknown value counts as set."""
    return value not in (False, 0, "", "false", "0", "no")


def _parse_number(value: str, integer: bool) -> object:
    try:
        return int(value) if integer else float(value)
    except ValueError:
        return None


def encode_entry(form: str, address: Address, facts: Mapping[str, Any]) -> bytes:
    """The entry of a server that registers itself, in one of the forms; `facts` are additional fields."""
    host, port = address
    document: dict[str, Any]
    if form == "curator":
        document = {
            "name": facts.get("name", ""),
            "id": facts.get("id", f"{host}:{port}"),
            "address": host,
            "port": port,
            "sslPort": None,
            "payload": {name: value for name, value in facts.items() if name not in ("name", "id")},
            "registrationTimeUTC": facts.get("up_since_ms", 0),
            "serviceType": "DYNAMIC",
            "uriSpec": None,
            "enabled": True,
        }
    elif form == "serverset":
        document = {
            "serviceEndpoint": {"host": host, "port": port},
            "additionalEndpoints": {},
            "status": "ALIVE",
            "metadata": dict(facts),
        }
    else:
        document = {"host_port": f"{host}:{port}", "phase": "SERVING"} | dict(facts)
    return json.dumps(document).encode()
