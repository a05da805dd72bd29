"""Decoding registry entries in the three forms, and the rejection of entries that can't be used."""

from __future__ import annotations

import ipaddress
import json
from typing import Any

import pytest

from garnethaven.interface import State
from garnethaven.membership.model import Fact
from garnethaven.membership.payloads import (
    FORMS,
    MAX_PAYLOAD_BYTES,
    Payload,
    PayloadError,
    Rules,
    encode_entry,
)

ZONES, KINDS = {"a": 0, "b": 1}, {"m": 0, "n": 1}
OWN = {
    "host_port": "10.0.0.1:80",
    "phase": "SERVING",
    "cell": 4,
    "size": 2.5,
    "locality": "b",
    "flavor": "n",
    "up_since_ms": 5000,
}
CURATOR = {
    "name": "checks",
    "id": "6f",
    "address": "10.0.0.1",
    "port": 80,
    "sslPort": 443,
    "payload": {"rack": "4", "room": "b", "weight": "2.5", "leaving": "yes"},
    "registrationTimeUTC": 123,
    "serviceType": "DYNAMIC",
}
SERVER_SET = {
    "serviceEndpoint": {"host": "10.0.0.1", "port": 80},
    "additionalEndpoints": {"admin": {"host": "10.0.0.1", "port": 99}},
    "status": "ALIVE",
    "shard": 3,
}


def read(document: Any, ctime_ms: int = 9000, **rules: Any) -> Fact:
    data = document if isinstance(document, bytes) else json.dumps(document).encode()
    payload = Payload(Rules(**rules), ZONES, KINDS, lambda wall_ms: wall_ms * 10)
    return payload.read(data, 42, ctime_ms)


def test_our_own_form() -> None:
    fact = read(OWN)
    entry = fact.entry
    assert fact.address == ("10.0.0.1", 80)
    assert (entry.zone, entry.kind, entry.cell, entry.relative_capacity) == (1, 1, 4, 2.5)
    assert (entry.state, entry.started, fact.creation, fact.process_start) == (State.UP, 50_000, 42, 5000)
    assert read(OWN | {"phase": "DRAINING"}).entry.state is State.DRAINING
    assert read(OWN | {"phase": None}).entry.state is State.DRAINING


def test_without_a_start_the_nodes_creation_counts_and_proves_nothing() -> None:
    document = {key: value for key, value in OWN.items() if key != "up_since_ms"}
    fact = read(document)
    assert (fact.entry.started, fact.process_start) == (90_000, 0)


def test_curators_form_with_a_map() -> None:
    places = {"zone": "payload.room", "cell": "payload.rack", "size": "payload.weight"}
    fact = read(CURATOR, form="curator", places=places)
    entry = fact.entry
    assert (fact.address, entry.zone, entry.cell, entry.relative_capacity) == (("10.0.0.1", 80), 1, 4, 2.5)
    assert (entry.state, fact.process_start, entry.started) == (State.UP, 0, 90_000)
    assert read(CURATOR, form="curator", secure=True).address == ("10.0.0.1", 443)
    assert read(CURATOR | {"enabled": False}, form="curator").entry.state is State.DRAINING
    marked = read(CURATOR, form="curator", places={"drain": "payload.leaving"})
    assert marked.entry.state is State.DRAINING


def test_server_sets() -> None:
    assert read(SERVER_SET, form="serverset").address == ("10.0.0.1", 80)
    assert read(SERVER_SET, form="serverset", endpoint="admin").address == ("10.0.0.1", 99)
    for status in ("STOPPING", "DEAD", "STARTING", None):
        assert read(SERVER_SET | {"status": status}, form="serverset").entry.state is State.DRAINING
    with pytest.raises(PayloadError):
        read(SERVER_SET, form="serverset", endpoint="none")


@pytest.mark.parametrize(
    ("form", "told"),
    [
        ("own", b""),
        ("own", b"\xff\xfe"),
        ("own", b"[" * 100_000),
        ("own", b"x" * (MAX_PAYLOAD_BYTES + 1)),
        ("own", b"[]"),
        ("own", b"3"),
        ("own", {}),
        ("own", OWN | {"host_port": "10.0.0.1"}),
        ("own", OWN | {"host_port": "10.0.0.1:0"}),
        ("own", OWN | {"host_port": "10.0.0.1:99999"}),
        ("own", OWN | {"host_port": "check-1.example:80"}),
        ("own", OWN | {"host_port": "224.0.0.1:80"}),
        ("own", OWN | {"host_port": "0.0.0.0:80"}),
        ("own", OWN | {"host_port": 80}),
        ("own", OWN | {"up_since_ms": "soon"}),
        ("own", OWN | {"up_since_ms": -1}),
        ("curator", {"address": "10.0.0.1"}),
        ("curator", CURATOR | {"port": True}),
        ("curator", CURATOR | {"port": "80"}),
        ("serverset", {"serviceEndpoint": []}),
        ("serverset", {"serviceEndpoint": {"host": 1, "port": 1}}),
    ],
)
def test_a_node_that_can_not_be_read_is_no_licence_to_send(form: str, told: Any) -> None:
    with pytest.raises(PayloadError) as raised:
        read(told, form=form)
    assert len(str(raised.value)) < 60  # a fixed reason, without the payload


@pytest.mark.parametrize(
    "changes",
    [
        {"cell": "x"},
        {"cell": -1},
        {"cell": 1.5},
        {"cell": 1 << 40},
        {"size": 0},
        {"size": -2.0},
        {"size": []},
    ],
)
def test_what_can_not_be_read_of_a_server_lets_it_drain(changes: dict[str, Any]) -> None:
    entry = read(OWN | changes).entry
    assert (entry.state, entry.cell, entry.relative_capacity) == (State.DRAINING, 0, 1.0)


def test_an_address_outside_the_allowed_ranges_is_not_used() -> None:
    allowed = (ipaddress.IPv4Network("10.0.0.0/24"),)
    assert read(OWN, allowed=allowed).address == ("10.0.0.1", 80)
    with pytest.raises(PayloadError, match="allowed ranges"):
        read(OWN | {"host_port": "10.0.1.1:80"}, allowed=allowed)


def test_a_zone_and_a_kind_that_are_not_known_are_of_their_own() -> None:
    entry = read(OWN | {"locality": "elsewhere", "flavor": None}).entry
    assert (entry.zone, entry.kind) == (len(ZONES), len(KINDS))


@pytest.mark.parametrize("form", FORMS)
def test_what_is_written_of_ourselves_is_read_alike(form: str) -> None:
    fact = read(encode_entry(form, ("10.0.0.9", 81), {"name": "us"}), form=form)
    assert (fact.address, fact.entry.state) == (("10.0.0.9", 81), State.UP)
