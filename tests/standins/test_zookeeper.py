"""The ZooKeeper stand-in serves the client and the recipes of kazoo as a real ensemble does."""

from __future__ import annotations

import asyncio
import logging
import threading
import time
from collections.abc import Callable
from typing import Any

import pytest
from kazoo.client import KazooClient
from kazoo.exceptions import (
    BadVersionError,
    NoAuthError,
    NoChildrenForEphemeralsError,
    NodeExistsError,
    NoNodeError,
    NotEmptyError,
    RolledBackError,
    RuntimeInconsistency,
)
from kazoo.recipe.counter import Counter
from kazoo.recipe.party import Party
from kazoo.recipe.watchers import ChildrenWatch, DataWatch
from kazoo.security import make_digest_acl

from standins.zookeeper.ensemble import Ensemble
from standins.zookeeper.records import ANYONE, Code, EventType, RequestError
from standins.zookeeper.tree import Identity, Tree

WAIT_S = 20.0
logging.getLogger("kazoo").setLevel(logging.CRITICAL)


def run_case(case: Callable[[Ensemble, Callable[..., KazooClient]], Any]) -> None:
    """Run `case` in a thread against an ensemble; its second argument creates started clients."""

    async def main() -> None:
        ensemble = await Ensemble().start()
        made: list[KazooClient] = []

        def client(**settings: Any) -> KazooClient:
            one = KazooClient(
                hosts=",".join(ensemble.addresses()),
                **({"timeout": 2.0, "randomize_hosts": False} | settings),
            )
            made.append(one)
            one.start(WAIT_S)
            return one

        def work() -> None:
            try:
                case(ensemble, client)
            finally:
                for one in made:
                    one.stop()
                    one.close()

        try:
            await asyncio.wait_for(asyncio.to_thread(work), WAIT_S)
        finally:
            await ensemble.close()

    asyncio.run(main())


def until(condition: Callable[[], bool]) -> None:
    deadline = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline, "the condition was not met in time"
        time.sleep(0.01)


def test_nodes_versions_and_errors() -> None:
    def case(ensemble: Ensemble, client: Callable[..., KazooClient]) -> None:
        one = client()
        one.ensure_path("/a/b")
        assert one.create("/a/b/n-", b"x", ephemeral=True, sequence=True) == "/a/b/n-0000000000"
        assert one.create("/a/b/n-", b"y", sequence=True) == "/a/b/n-0000000001"
        assert one.get_children("/a/b") == ["n-0000000000", "n-0000000001"]
        names, stat = one.get_children("/a/b", include_data=True)
        assert (len(names), stat.numChildren, stat.cversion) == (2, 2, 2)
        data, stat = one.get("/a/b/n-0000000000")
        assert (data, stat.ephemeralOwner, stat.version) == (b"x", one.client_id[0], 0)
        assert one.set("/a/b/n-0000000001", b"z").version == 1
        for error, wrong in (
            (BadVersionError, lambda: one.set("/a/b/n-0000000001", b"q", version=7)),
            (NoNodeError, lambda: one.get("/none")),
            (NodeExistsError, lambda: one.create("/a", b"")),
            (NotEmptyError, lambda: one.delete("/a")),
            (NoChildrenForEphemeralsError, lambda: one.create("/a/b/n-0000000000/x", b"")),
        ):
            with pytest.raises(error):
                wrong()
        assert one.exists("/none") is None
        made, stat = one.create("/a/c", b"12", include_data=True)
        assert (made, stat.dataLength) == ("/a/c", 2)
        assert one.sync("/a") == "/a"
        one.delete("/a", recursive=True)
        assert one.exists("/a") is None

    run_case(case)


def test_transactions_are_all_or_nothing() -> None:
    def case(ensemble: Ensemble, client: Callable[..., KazooClient]) -> None:
        one = client()
        good = one.transaction()
        good.create("/t1", b"")
        good.set_data("/t1", b"2")
        good.check("/t1", version=1)
        first, second, third = good.commit()
        assert (first, second.version, third) == ("/t1", 1, True)
        before = ensemble.tree.zxid
        bad = one.transaction()
        bad.create("/t2", b"")
        bad.delete("/t1")
        bad.create("/t2", b"")
        bad.create("/t3", b"")
        errors = [type(result) for result in bad.commit()]
        assert errors == [RolledBackError, RolledBackError, NodeExistsError, RuntimeInconsistency]
        assert one.get_children("/") == ["t1"]
        assert one.get("/t1")[0] == b"2"
        assert ensemble.tree.zxid == before

    run_case(case)


def test_recipes_for_watching() -> None:
    def case(ensemble: Ensemble, client: Callable[..., KazooClient]) -> None:
        one, other = client(), client()
        one.ensure_path("/w")
        lists: list[list[str]] = []
        values: list[bytes | None] = []
        ChildrenWatch(one, "/w", lists.append)
        DataWatch(one, "/w/d", lambda data, stat: values.append(data))
        until(lambda: len(lists) == 1 and len(values) == 1)
        other.create("/w/d", b"1")
        until(lambda: lists[-1:] == [["d"]] and values[-1:] == [b"1"])
        other.set("/w/d", b"2")
        until(lambda: values[-1:] == [b"2"])
        other.delete("/w/d")
        until(lambda: lists[-1:] == [[]] and values[-1] is None)

    run_case(case)


def test_locks_parties_and_counters() -> None:
    def case(ensemble: Ensemble, client: Callable[..., KazooClient]) -> None:
        one, other = client(), client()
        counter = Counter(one, "/counter")
        counter += 2
        assert Counter(other, "/counter").value == 2
        party = Party(one, "/party", "one")
        party.join()
        Party(other, "/party", "two").join()
        assert sorted(party) == ["one", "two"]
        order: list[str] = []
        lock = one.Lock("/lock", "one")
        lock.acquire()

        def wait() -> None:
            with other.Lock("/lock", "two"):
                order.append("two")

        waiting = threading.Thread(target=wait)
        waiting.start()
        until(lambda: len(one.get_children("/lock")) == 2)
        order.append("one")
        lock.release()
        waiting.join(WAIT_S)
        assert order == ["one", "two"]

    run_case(case)


def test_access_is_kept_by_digest() -> None:
    def case(ensemble: Ensemble, client: Callable[..., KazooClient]) -> None:
        owner, stranger = client(auth_data=[("digest", "u:p")]), client()
        acl = make_digest_acl("u", "p", all=True)
        owner.create("/mine", b"x", acl=[acl])
        assert owner.get("/mine")[0] == b"x"
        assert owner.get_acls("/mine")[0] == [acl]
        for wrong in (
            lambda: stranger.get("/mine"),
            lambda: stranger.set("/mine", b""),
            lambda: stranger.get_children("/mine"),
            lambda: stranger.create("/mine/x", b""),
        ):
            with pytest.raises(NoAuthError):
                wrong()
        owner.set_acls("/mine", [make_digest_acl("u", "p", read=True)])
        with pytest.raises(NoAuthError):
            owner.set("/mine", b"y")

    run_case(case)


def test_a_session_moves_to_another_host_with_its_nodes_and_watches_and_expires() -> None:
    def case(ensemble: Ensemble, client: Callable[..., KazooClient]) -> None:
        one, other = client(), client()
        one.create("/mine", b"", ephemeral=True)
        session = one.client_id[0]
        seen: list[Any] = []
        one.get("/mine", watch=seen.append)
        loop = ensemble.expiry_task.get_loop()  # type: ignore[union-attr]
        for host in ensemble.hosts[:2]:
            loop.call_soon_threadsafe(host.stop)
        until(lambda: one.connected and any(line.session for line in ensemble.hosts[2].connections))
        assert one.get("/mine")[1].ephemeralOwner == session
        loop.call_soon_threadsafe(ensemble.expire, session)
        until(lambda: other.connected and other.retry(other.exists, "/mine") is None)
        until(lambda: one.connected and one.client_id[0] not in (session, 0))

    run_case(case)


def test_words_for_monitors() -> None:
    def case(ensemble: Ensemble, client: Callable[..., KazooClient]) -> None:
        one = client()
        assert one.command(b"ruok") == "imok"
        assert "Mode: standalone" in one.command(b"srvr")
        assert "zk_znode_count\t1" in one.command(b"mntr")
        assert one.command(b"isro") == "rw"
        assert "not executed" in one.command(b"kill")

    run_case(case)


def test_a_failed_write_leaves_nothing_behind() -> None:
    tree = Tree(lambda: 1)
    who = Identity(5)
    with tree.write():
        tree.create("/a", b"1", ANYONE, 0, who)
    before = tree.snapshot()
    with pytest.raises(RequestError) as raised, tree.write():
        tree.create("/a/e", b"", ANYONE, 1, who)
        tree.set_data("/a", b"2", -1, who)
        tree.delete("/a/e", -1, who)
        tree.delete("/none", -1, who)
    assert raised.value.code is Code.NO_NODE
    assert (tree.zxid, tree.nodes, tree.ephemerals.get(5, set())) == (before.zxid, before.nodes, set())
    with tree.write() as changes:
        tree.create("/a/e", b"", ANYONE, 1, who)
    assert changes == [(EventType.CREATED, "/a/e"), (EventType.CHILDREN, "/a")]
    with tree.write() as changes:
        tree.end_session(5)
    assert changes == [(EventType.DELETED, "/a/e"), (EventType.CHILDREN, "/a")]
