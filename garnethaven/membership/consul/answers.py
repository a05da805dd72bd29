"""Decodes an agent's answer: its index, how far it can be trusted, and its entries. No I/O.

| trust | condition | effect |
| --- | --- | --- |
| proven | from the leader: modes `default` and `consistent` | accepted, also if the index went back |
| plain | mode `stale`, with recent contact to the leader | accepted unless its index is behind |
| doubtful | mode `stale`, no leader, or contact before `stale_most_ms` | rejected: the leader is asked |

An instance of a service is converted to an entry of our own form, so that one decoder serves all registries:

| in the catalog | in the entry |
| --- | --- |
| all checks pass (or warn, with `warning`) | `SERVING` |
| any other check, or maintenance of the node or the service | `DRAINING`: gets no new requests |
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
from garnethaven.membership.payloads import MAX_PAYLOAD_BYTES

SERVICE_MAINTENANCE = "_service_maintenance"
NODE_MAINTENANCE = "_node_maintenance"
INTEGER_FIELDS = ("up_since_ms",)  # `Meta` values are strings; our own form needs these as integers


class AnswerError(Exception):
    """The answer of an agent is invalid; the text says why."""


class Trust(Enum):
    PROVEN = "proven"
    PLAIN = "plain"
    DOUBTFUL = "doubtful"


@dataclass(slots=True, frozen=True)
class AgentAnswer:
    """One decoded answer."""

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
    """Raises AnswerError for an invalid index: below 1, each next query would return at once."""
    index = headers.get("x-consul-index", "")
    if not index.isdigit() or not 0 < int(index) < 1 << 63:
        raise AnswerError(f"the answer has an invalid index: {index[:20]!r}")
    return int(index)


def services(body: bytes, warning: bool) -> dict[str, Entry]:
    """The entries of `/v1/health/service/NAME`; raises AnswerError."""
    entries = {}
    for item in _list(body):
        try:
            node, service, checks = item["Node"], item["Service"], item["Checks"]
            key = f"{node['Node']}/{service['ID']}"
            address = service.get("Address") or node["Address"]
            document = dict(service.get("Meta") or {})
            document |= {
                name: int(document[name]) for name in INTEGER_FIELDS if str(document.get(name, "")).isdigit()
            }
            document["host_port"] = f"{address}:{service['Port']}"
            document["phase"] = "SERVING" if serves(checks, warning) else "DRAINING"
            value = json.dumps(document, sort_keys=True).encode()
            entries[key] = Entry(value, int(service["CreateIndex"]), int(service["ModifyIndex"]))
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise AnswerError(f"an instance can't be decoded: {error!r}") from None
    return entries


def serves(checks: list[dict[str, Any]], warning: bool) -> bool:
    """Whether the checks of an instance allow requests to it."""
    accepted_statuses = ("passing", "warning") if warning else ("passing",)
    for check in checks:
        name = str(check.get("CheckID", ""))
        if (
            name == NODE_MAINTENANCE
            or name.startswith(SERVICE_MAINTENANCE)
            or check["Status"] not in accepted_statuses
        ):
            return False
    return True


def keys(body: bytes, prefix: str) -> dict[str, Entry]:
    """The entries of `/v1/kv/PREFIX?recurse`; raises AnswerError."""
    entries = {}
    for item in _list(body):
        try:
            key, value = str(item["Key"]).removeprefix(prefix), item["Value"]
            if not key or key.endswith("/"):
                continue  # the directory itself
            data = base64.b64decode(value or "", validate=True)[: MAX_PAYLOAD_BYTES + 1]
            entries[key] = Entry(data, int(item["CreateIndex"]), int(item["ModifyIndex"]))
        except (KeyError, TypeError, ValueError, binascii.Error) as error:
            raise AnswerError(f"a key can't be decoded: {error!r}") from None
    return entries


def _list(body: bytes) -> list[Any]:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        raise AnswerError("the answer is not JSON") from None
    if not isinstance(document, list):
        raise AnswerError("the answer is not a list")
    return document
