"""Following a directory, against a registry simulated step by step."""

from __future__ import annotations

import json
import struct

import pytest

from garnethaven.interface import State
from garnethaven.membership import catchup
from garnethaven.membership.payloads import Payload, Rules
from garnethaven.membership.zookeeper import records
from garnethaven.membership.zookeeper.following import (
    MAX_READS_IN_FLIGHT,
    DirectoryFollower,
    Outcome,
    ReadTag,
    Request,
)
from garnethaven.membership.zookeeper.records import STAT, Code, Kind, Op
from garnethaven.membership.zookeeper.session import ReplyReceived, WatchEvent

ROOT = "/checks"


def node_reply(number: int, czxid: int = 1, owner: int = 9) -> bytes:
    """The reply to a read; `owner` 0 makes the node persistent."""
    data = json.dumps({"host_port": f"10.0.0.{number}:80", "phase": "SERVING"}).encode()
    return records.buffer(data) + STAT.pack(czxid, czxid, 1000, 1000, 0, 0, 0, owner, len(data), 0, czxid)


def list_reply(*names: str) -> bytes:
    return struct.pack(">i", len(names)) + b"".join(map(records.string, names)) + bytes(STAT.size)


class World:
    """A follower, its open requests, and the simulated nodes by name."""

    def __init__(self, persistent: bool = False) -> None:
        self.following = DirectoryFollower(ROOT, Payload(Rules(), {}, {}, lambda wall: wall), persistent)
        self.nodes: dict[str, bytes] = {}
        self.codes: dict[str, int] = {}
        self.root_code = 0
        self.open_requests: list[Request] = []
        self.facts: dict[str, str] = {}
        self.complete = self.host_lags = False
        self.error = ""

    def apply(self, outcome: Outcome) -> None:
        self.open_requests += outcome.requests
        for name, fact in outcome.facts.items():
            if fact is None:
                self.facts.pop(name, None)
            else:
                self.facts[name] = fact.address[0]
                assert fact.entry.state is State.UP
        self.complete = self.complete or outcome.complete
        self.host_lags = self.host_lags or outcome.host_lags
        self.error = outcome.error or self.error

    def connect(self) -> None:
        self.open_requests.clear()
        self.complete = False
        self.apply(self.following.connected())

    def answer(self, count: int = 10**6) -> None:
        """Replies to open requests in order, at most `count` of them."""
        while self.open_requests and count > 0:
            count -= 1
            request = self.open_requests.pop(0)
            code, body = 0, b""
            if request.op is Op.GET_CHILDREN2:
                code, body = self.root_code, list_reply(*self.nodes)
            elif isinstance(request.tag, ReadTag):
                name = request.tag.name
                code = self.codes.get(name, 0 if name in self.nodes else Code.NO_NODE)
                body = self.nodes.get(name, b"") if code == 0 else b""
            self.apply(self.following.handle(ReplyReceived(request.tag, code, body if code == 0 else b"")))

    def notify(self, kind: Kind, name: str) -> None:
        path = f"{ROOT}/{name}" if name else ROOT
        self.apply(self.following.handle(WatchEvent(kind, path)))


def followed(*numbers: int) -> World:
    world = World()
    world.nodes = {f"n{number}": node_reply(number) for number in numbers}
    world.connect()
    world.answer()
    return world


def test_the_directory_is_watched_before_it_is_listed() -> None:
    world = World()
    world.connect()
    assert [request.op for request in world.open_requests] == [Op.ADD_WATCH, Op.GET_CHILDREN2]


def test_everything_is_read_and_the_end_of_the_reading_is_known() -> None:
    world = World()
    world.nodes = {f"n{number}": node_reply(number) for number in range(200)}
    world.connect()
    world.answer(2)
    assert len(world.open_requests) == MAX_READS_IN_FLIGHT
    assert not world.complete
    world.answer(199)
    assert not world.complete
    world.answer()
    assert world.complete and len(world.facts) == 200


def test_an_end_is_believed_at_once_and_a_beginning_when_it_has_been_read() -> None:
    world = followed(1, 2)
    world.notify(Kind.DELETED, "n1")
    assert world.facts == {"n2": "10.0.0.2"} and not world.open_requests
    world.nodes["n3"] = node_reply(3)
    world.notify(Kind.CREATED, "n3")
    assert "n3" not in world.facts
    world.answer()
    assert world.facts["n3"] == "10.0.0.3"


def test_a_node_that_goes_while_it_is_read_stays_gone() -> None:
    world = followed(1)
    world.notify(Kind.CHANGED, "n1")
    del world.nodes["n1"]
    world.notify(Kind.DELETED, "n1")
    world.answer()
    assert world.facts == {}


def test_a_node_that_changes_while_it_is_read_is_read_once_more_and_not_oftener() -> None:
    world = followed(1)
    for _ in range(20):
        world.notify(Kind.CHANGED, "n1")
    assert len(world.open_requests) == 1
    world.answer(1)
    assert len(world.open_requests) == 1
    world.answer()
    assert not world.open_requests


def test_what_was_missed_while_contact_was_lost_acts_with_the_list() -> None:
    world = followed(1, 2, 3)
    del world.nodes["n2"]
    world.nodes["n3"] = node_reply(30, czxid=8)
    world.connect()
    world.answer(2)  # the watch and the list, before any node is read
    assert set(world.facts) == {"n1", "n3"}
    world.answer()
    assert world.complete and world.facts == {"n1": "10.0.0.1", "n3": "10.0.0.30"}


def test_an_event_during_the_reading_is_not_lost() -> None:
    world = World()
    world.nodes = {f"n{number}": node_reply(number) for number in range(100)}
    world.connect()
    world.answer(10)
    world.nodes.pop("n5")
    world.notify(Kind.DELETED, "n5")  # had been read already
    world.nodes.pop("n99")
    world.notify(Kind.DELETED, "n99")  # had not been read
    world.answer()
    assert world.complete and len(world.facts) == 98


def test_a_directory_that_is_gone_holds_nobody_and_comes_back() -> None:
    world = followed(1, 2)
    world.notify(Kind.DELETED, "")
    assert world.facts == {}
    world.nodes = {f"n{number}": node_reply(number, czxid=7) for number in (1, 2)}
    world.notify(Kind.CREATED, "")
    world.answer()
    assert len(world.facts) == 2
    world.root_code = Code.NO_NODE
    world.connect()
    world.answer()
    assert world.facts == {} and world.complete and not world.error


def test_a_directory_that_may_not_be_read_says_nothing_of_its_servers() -> None:
    world = followed(1, 2)
    world.root_code = Code.NO_AUTH
    world.connect()
    world.answer()
    assert len(world.facts) == 2 and not world.complete
    assert "may not be read" in world.error


def test_a_registry_without_recursive_watches_is_said_to_be_too_old() -> None:
    world = World()
    world.connect()
    world.apply(world.following.handle(ReplyReceived(world.open_requests[0].tag, Code.UNIMPLEMENTED, b"")))
    assert "3.6" in world.error


def test_flawed_nodes_harm_only_themselves_and_are_counted() -> None:
    world = followed(1)
    world.nodes |= {
        "bad": records.buffer(b"\xff") + bytes(STAT.size - 1) + b"\1",
        "lasting": node_reply(2, owner=0),
        "odd name é\n": node_reply(3),
        "shut": node_reply(4),
    }
    world.nodes["bad"] = records.buffer(b"\xff") + STAT.pack(1, 1, 1, 1, 0, 0, 0, 9, 1, 0, 1)
    world.codes["shut"] = Code.NO_AUTH
    world.connect()
    world.answer()
    assert world.facts == {"n1": "10.0.0.1", "odd name é\n": "10.0.0.3"}
    assert world.following.flaws == {"no JSON": 1, "not ephemeral": 1, "may not be read": 1}
    world.codes["n1"] = Code.NO_AUTH  # access withdrawn: the server may no longer be used
    world.notify(Kind.CHANGED, "n1")
    world.answer()
    assert "n1" not in world.facts


def test_nodes_that_last_are_used_where_that_is_set() -> None:
    world = World(persistent=True)
    world.nodes = {"n1": node_reply(1, owner=0)}
    world.connect()
    world.answer()
    assert world.facts == {"n1": "10.0.0.1"}


def test_what_is_below_a_servers_node_or_beside_the_directory_is_nothing_of_ours() -> None:
    world = followed(1)
    world.notify(Kind.DELETED, "n1/part")
    world.apply(world.following.handle(WatchEvent(Kind.DELETED, "/checks2/n1")))
    world.apply(world.following.handle(WatchEvent(Kind.DELETED, "/check")))
    assert world.facts == {"n1": "10.0.0.1"} and not world.open_requests


def test_what_has_ended_never_comes_back_from_a_host_that_lags() -> None:
    world = followed(1, 2)
    world.notify(Kind.DELETED, "n1")
    world.connect()  # to a host that lags behind the deletion
    world.answer()
    assert world.host_lags and set(world.facts) == {"n2"}
    world.host_lags = False
    world.nodes["n1"] = node_reply(1, czxid=5)  # created again, after the deletion
    world.connect()
    world.answer()
    assert not world.host_lags and set(world.facts) == {"n1", "n2"}


def test_ends_that_are_remembered_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(catchup, "MAX_REMEMBERED_REMOVALS", 10)
    world = followed(*range(100))
    world.nodes.clear()
    world.connect()
    world.answer()
    assert len(world.following.names.removed) == 10
