"""What an agent's answer says: its index, whether it is to be believed, and its entries. No I/O.

| an answer is | when | then |
| --- | --- | --- |
| proven | the leader gave it: modes `default` and `consistent` | believed, also where its index went back |
| plain | mode `stale`, and the agent has heard of its leader lately | believed unless it lies behind |
| doubtful | mode `stale`, without a leader or too long without it | not believed: the leader is asked |

A service's instance is written as an entry of our own form, so that one reader serves all registries:

| in the catalog | is |
| --- | --- |
| all checks pass (or warn, where that will do) | `SERVING` |
| any other check, or maintenance of the node or the service | `DRAINING`: nothing new is sent there |
| `Service.Address`, else `Node.Address` | the address |
| `Service.Meta` | `locality`, `flavor`, `cell`, `size`, `up_since_ms`, and what the map names |
"""

from __future__ import annotations

import base64
import binascii
import json
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

from garnethaven.membership.catchup import Entry
from garnethaven.membership.payloads import PAYLOAD_MOST

MAINTENANCE = "_service_maintenance"
NODE_MAINTENANCE = "_node_maintenance"
NUMBERS = ("up_since_ms",)  # of a service's texts, those that the form wants as numbers


class AnswerError(Exception):
    """What can't be an agent's answer; the text says why."""


class Trust(Enum):
    PROVEN = "proven"
    PLAIN = "plain"
    DOUBTFUL = "doubtful"


@dataclass(slots=True, frozen=True)
class Told:
    """One answer."""

    index: int
    trust: Trust
    entries: Mapping[str, Entry]


def trust_of(mode: str, headers: Mapping[str, str], stale_most_ms: int) -> Trust:
    if mode != "stale":
        return Trust.PROVEN
    if headers.get("x-consul-knownleader", "true") != "true":
        return Trust.DOUBTFUL
    contact = headers.get("x-consul-lastcontact", "0")
    return Trust.PLAIN if contact.isdigit() and int(contact) <= stale_most_ms else Trust.DOUBTFUL


def index_of(headers: Mapping[str, str]) -> int:
    """Raises AnswerError: an index below 1 would make the next query return at once, for ever."""
    told = headers.get("x-consul-index", "")
    if not told.isdigit() or not 0 < int(told) < 1 << 63:
        raise AnswerError(f"its index is {told[:20]!r}")
    return int(told)


def services(body: bytes, warning: bool) -> dict[str, Entry]:
    """The entries of `/v1/health/service/NAME`; raises AnswerError."""
    found = {}
    for item in _list(body):
        try:
            node, service, checks = item["Node"], item["Service"], item["Checks"]
            key = f"{node['Node']}/{service['ID']}"
            address = service.get("Address") or node["Address"]
            told = dict(service.get("Meta") or {})
            told |= {name: int(told[name]) for name in NUMBERS if str(told.get(name, "")).isdigit()}
            told["host_port"] = f"{address}:{service['Port']}"
            told["phase"] = "SERVING" if serves(checks, warning) else "DRAINING"
            value = json.dumps(told, sort_keys=True).encode()
            found[key] = Entry(value, int(service["CreateIndex"]), int(service["ModifyIndex"]))
        except (KeyError, TypeError, ValueError, AttributeError) as problem:
            raise AnswerError(f"an instance can't be read: {problem!r}") from None
    return found


def serves(checks: list[dict[str, Any]], warning: bool) -> bool:
    """Whether an instance may be sent to, by its checks."""
    good = ("passing", "warning") if warning else ("passing",)
    for check in checks:
        name = str(check.get("CheckID", ""))
        if name == NODE_MAINTENANCE or name.startswith(MAINTENANCE) or check["Status"] not in good:
            return False
    return True


def keys(body: bytes, prefix: str) -> dict[str, Entry]:
    """The entries of `/v1/kv/PREFIX?recurse`; raises AnswerError."""
    found = {}
    for item in _list(body):
        try:
            key, value = str(item["Key"]).removeprefix(prefix), item["Value"]
            if not key or key.endswith("/"):
                continue  # the directory itself
            data = base64.b64decode(value or "", validate=True)[: PAYLOAD_MOST + 1]
            found[key] = Entry(data, int(item["CreateIndex"]), int(item["ModifyIndex"]))
        except (KeyError, TypeError, ValueError, binascii.Error) as problem:
            raise AnswerError(f"a key can't be read: {problem!r}") from None
    return found


def _list(body: bytes) -> list[Any]:
    try:
        told = json.loads(body)
    except (ValueError, RecursionError):
        raise AnswerError("it is no JSON") from None
    if not isinstance(told, list):
        raise AnswerError("it is no list")
    return told
