"""What a server's node says of it: our own form, Curator's service instances, Finagle's server sets. No I/O.

| form | address | draining | start |
| --- | --- | --- | --- |
| `own` | `host_port` | `phase` is not `SERVING` | `up_since_ms` |
| `curator` | `address`, and `port` or `sslPort` | `enabled` is false | none: a registration is no start |
| `serverset` | `serviceEndpoint` or a named additional one | `status` is not `ALIVE` | none |

Zone, kind, cell, size and the drain mark are found where the operator's map says, by a path of names into
the node's JSON (`payload.rack`). Nothing that can't be read is a licence to send: the node is flawed as a
whole, or its server drains.
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
PAYLOAD_MOST = 64 * 1024  # bytes; a larger one is no server's
CELL_MOST = 1 << 31
SIZE_MOST = 1e6
FORMS = ("own", "curator", "serverset")
MAPPED = ("zone", "kind", "cell", "size", "drain")

Network = ipaddress.IPv4Network


class PayloadError(Exception):
    """A node that says nothing of use; the text is its reason, one of few."""


@dataclass(slots=True, frozen=True)
class Rules:
    """How the operator wants nodes read."""

    form: str = "own"
    endpoint: str = ""  # `serverset`: the name of the additional endpoint; empty: the service's own
    secure: bool = False  # `curator`: the port is `sslPort`
    places: Mapping[str, str] = field(default_factory=dict)  # MAPPED names to paths
    allowed: tuple[Network, ...] = ()  # where servers may be; empty: any unicast address


class Payload:
    """Reads nodes. `wall_to_local` gives local nanoseconds for wall-clock milliseconds."""

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
        self.reader = {"own": _own, "curator": _curator, "serverset": _serverset}[rules.form]

    def read(self, data: bytes, czxid: int, ctime_ms: int) -> Fact:
        """The fact of a node, by its data, the order and the time of its creation; raises PayloadError."""
        if len(data) > PAYLOAD_MOST:
            raise PayloadError("too large")
        try:
            told = json.loads(data)
        except (ValueError, RecursionError):
            raise PayloadError("no JSON") from None
        if not isinstance(told, dict):
            raise PayloadError("no object")
        host, port, serving, up_since_ms = self.reader(told, self.rules)
        address = self._address(host, port)
        mapped = {name: self._at(told, name) for name in MAPPED}
        cell, size, drain = mapped["cell"], mapped["size"], mapped["drain"]
        sound = _whole(cell, 0, CELL_MOST) and _number(size)
        state = State.UP if serving and sound and not _marked(drain) else State.DRAINING
        started = self.wall_to_local(up_since_ms or ctime_ms)
        entry = Endpoint(
            id=0,
            zone=self.zones.get(str(mapped["zone"]), len(self.zones)),
            kind=self.kinds.get(str(mapped["kind"]), len(self.kinds)),
            cell=cell if sound else 0,
            state=state,
            relative_capacity=float(size) if sound else 1.0,
            started=started,
        )
        return Fact(address, entry, czxid, up_since_ms)

    def _address(self, host: object, port: object) -> Address:
        if not isinstance(host, str) or not _whole(port, 1, 65535):
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

    def _at(self, told: dict[str, Any], name: str) -> Any:
        """What stands where the map says, or the form's own place, or the default."""
        path = self.rules.places.get(name) or (OWN_PLACES[name] if self.rules.form == "own" else "")
        value: Any = told if path else None
        for step in path.split(".") if path else ():
            value = value.get(step) if isinstance(value, dict) else None
        if value is None:
            return DEFAULTS[name]
        if isinstance(value, str) and name in ("cell", "size"):  # metadata is texts in some estates
            return _from_text(value, whole=name == "cell")
        return value


OWN_PLACES = {"zone": "locality", "kind": "flavor", "cell": "cell", "size": "size", "drain": ""}
DEFAULTS: dict[str, Any] = {"zone": "", "kind": "", "cell": 0, "size": 1.0, "drain": False}

Parts = tuple[object, object, bool, int]  # host, port, serving, start in wall-clock milliseconds or 0


def _own(told: dict[str, Any], rules: Rules) -> Parts:
    host, mark, port = str(told.get("host_port", "")).rpartition(":")
    if not mark or not (port.isascii() and port.isdigit()) or len(port) > 5:
        raise PayloadError("no address")
    up_since = told.get("up_since_ms", 0)
    if not _whole(up_since, 0, 1 << 62):
        raise PayloadError("no start")
    return host, int(port), told.get("phase") == "SERVING", up_since


def _curator(told: dict[str, Any], rules: Rules) -> Parts:
    port = told.get("sslPort" if rules.secure else "port")
    return told.get("address"), port, told.get("enabled", True) is True, 0


def _serverset(told: dict[str, Any], rules: Rules) -> Parts:
    endpoint: Any = told.get("serviceEndpoint")
    if rules.endpoint:
        others = told.get("additionalEndpoints")
        endpoint = others.get(rules.endpoint) if isinstance(others, dict) else None
    if not isinstance(endpoint, dict):
        raise PayloadError("no address")
    return endpoint.get("host"), endpoint.get("port"), told.get("status") == "ALIVE", 0


def _whole(value: object, low: int, high: int) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and low <= value <= high


def _number(value: object) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and 0 < value <= SIZE_MOST


def _marked(value: object) -> bool:
    """Whether a drain mark is set; what is neither yes nor no counts as one."""
    return value not in (False, 0, "", "false", "0", "no")


def _from_text(value: str, whole: bool) -> object:
    try:
        return int(value) if whole else float(value)
    except ValueError:
        return None


def written(form: str, address: Address, facts: Mapping[str, Any]) -> bytes:
    """The node of a server that registers itself, in one of the forms; `facts` are further fields of it."""
    host, port = address
    told: dict[str, Any]
    if form == "curator":
        told = {
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
        told = {
            "serviceEndpoint": {"host": host, "port": port},
            "additionalEndpoints": {},
            "status": "ALIVE",
            "metadata": dict(facts),
        }
    else:
        told = {"host_port": f"{host}:{port}", "phase": "SERVING"} | dict(facts)
    return json.dumps(told).encode()
