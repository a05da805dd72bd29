"""The etcd source against the stand-in cluster, which is checked with the client of the package aetcd."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import aetcd
import grpc
import pytest
import trustme
from msgspec.structs import replace

from garnethaven.interface import Endpoint, ListKind, State
from garnethaven.membership.etcd.client import prefix_end
from garnethaven.membership.payloads import MAX_PAYLOAD_BYTES
from garnethaven.membership.table import Etcd, EtcdHost, EtcdRegistration, Membership, Tls
from standins.etcd.cluster import Cluster, Member
from tests.loopback import run, wait_until
from tests.membership.estate import Estate, address, payload, stays_true

PREFIX = "/checks/"


class World(Estate):
    def __init__(self, cluster: Cluster) -> None:
        super().__init__()
        self.cluster = cluster

    def appear(self, *numbers: int, **changes: Any) -> None:
        for number in numbers:
            self.cluster.put(f"{PREFIX}n{number}", payload(number, **changes))

    def vanish(self, *numbers: int) -> None:
        self.cluster.delete(*(f"{PREFIX}n{number}" for number in numbers))

    async def watched(self) -> Member:
        """The member that serves the watch, which may open only after the first list has arrived."""
        await wait_until(lambda: any(member.watches for member in self.cluster.members))
        return next(member for member in self.cluster.members if member.watches)

    def settings(self, **changes: Any) -> Etcd:
        hosts = tuple(EtcdHost(("127.0.0.1", member.port)) for member in self.cluster.members)
        return replace(Etcd(hosts, PREFIX, quiet_ms=200, spread_ms=20), **changes)

    @property
    def etcd(self) -> Any:
        return self.source_of("etcd")

    @property
    def core(self) -> Any:
        return self.etcd.catch_up


@contextlib.asynccontextmanager
async def world(
    *numbers: int, members: int = 3, user: str = "", credentials: Any = None, **changes: Any
) -> AsyncIterator[World]:
    cluster = await Cluster(members, user, credentials).start()
    made = World(cluster)
    try:
        made.appear(*numbers)
        made.follow_table(Membership(etcd=made.settings(user=user, **changes)))
        await made.sees(*numbers)
        yield made
    finally:
        await made.close()
        await cluster.close()


def test_servers_come_change_drain_and_go_each_told_once() -> None:
    async def case() -> None:
        async with world(1, 2) as made:
            before = made.delta_count
            made.appear(3)
            await made.sees(1, 2, 3)
            assert made.delta_count == before + 1 and len(made.received_deltas[-1]) == 1
            made.appear(1, phase="DRAINING")
            await made.sees(2, 3)
            assert made.entry(1).state is State.DRAINING
            made.vanish(1, 2)
            await wait_until(lambda: len(made.known_endpoints) == 1)

    run(case())


def test_a_removal_in_a_break_is_found_by_the_history() -> None:
    async def case() -> None:
        async with world(1, 2, 3) as made:
            for member in made.cluster.members:
                member.stop_serving()
            made.vanish(2)
            made.appear(4)
            await stays_true(lambda: made.up() == {1, 2, 3}, 0.2)  # an unreachable registry removes nothing
            reads = made.etcd.reads
            for member in made.cluster.members:
                member.down = False
            await made.sees(1, 3, 4)
            assert made.etcd.reads == reads  # caught up from the last revision, without another full read
            await wait_until(lambda: made.etcd.output.age_s() == 0.0)

    run(case())


def test_a_removal_before_a_compaction_is_found_by_absence() -> None:
    async def case() -> None:
        async with world(1, 2, 3) as made:
            for member in made.cluster.members:
                member.stop_serving()
            made.vanish(2)
            made.cluster.compact()
            for member in made.cluster.members:
                member.down = False
            await made.sees(1, 3)
            assert made.etcd.reads >= 2

    run(case())


def test_a_watch_cut_in_a_drain_and_again_while_it_catches_up() -> None:
    async def case() -> None:
        async with world(1, 2, 3, members=1) as made:
            (member,) = made.cluster.members
            member.stop_serving()
            made.appear(2, phase="DRAINING")
            await asyncio.sleep(0.1)
            for _ in range(3):
                member.down = False
                await wait_until(lambda: bool(member.watches))
                member.stop_serving()
            made.vanish(1)
            member.down = False
            await wait_until(lambda: made.up() == {3} and made.entry(2).state is State.DRAINING)

    run(case())


def test_a_key_removed_and_put_back_in_a_gap_is_a_new_life() -> None:
    async def case() -> None:
        async with world(1, 2) as made:
            first_start = made.entry(1).started
            for member in made.cluster.members:
                member.stop_serving()
            made.vanish(1)
            made.appear(1)
            made.appear(2, cell=7)  # only changed: the server has not restarted
            for member in made.cluster.members:
                member.down = False
            await wait_until(lambda: made.up() == {1, 2} and made.entry(1).started > first_start)
            assert made.entry(2).started == first_start
            made.vanish(1)
            made.appear(1, up_since_ms=1)
            await wait_until(lambda: made.up() == {1, 2})

    run(case())


def test_a_member_that_lags_is_left_and_brings_nothing_back() -> None:
    async def case() -> None:
        async with world(1, 2, members=2) as made:
            first = await made.watched()
            (other,) = [member for member in made.cluster.members if member is not first]
            other.fall_behind()
            made.vanish(1)
            await made.sees(2)
            first.stop_serving()
            await wait_until(lambda: made.core.outdated_answers > 0)
            assert made.up() == {2}
            made.vanish(2)
            first.down = False
            await made.sees()

    run(case())


def test_a_change_in_fragments_is_taken_as_one() -> None:
    async def case() -> None:
        async with world(*range(40)) as made:
            made.cluster.max_events_per_response = 7
            before = made.delta_count
            made.vanish(*range(20))
            await made.sees(*range(20, 40))
            assert made.delta_count == before + 1

    run(case())


def test_five_thousand_servers_in_one_read_and_two_hundred_changes_a_second() -> None:
    async def case() -> None:
        cluster = await Cluster(1).start()
        made = World(cluster)
        made.appear(*range(5000))
        made.follow_table(Membership(etcd=made.settings()))
        await wait_until(lambda: len(made.known_endpoints) == 5000)
        for number in range(200):
            made.appear(number, phase="DRAINING")
            await asyncio.sleep(0.004)
        draining = State.DRAINING
        await wait_until(
            lambda: sum(entry.state is draining for entry in made.known_endpoints.values()) == 200
        )
        assert made.etcd.reads == 1
        await made.close()
        await cluster.close()

    run(case())


def test_a_quarter_that_vanishes_at_once_is_believed_and_told_of() -> None:
    async def case() -> None:
        async with world(*range(8)) as made:
            made.vanish(0)
            await made.sees(*range(1, 8))
            assert not any("vanished" in line for line in made.log)
            made.vanish(1, 2, 3)
            await made.sees(4, 5, 6, 7)
            assert any(line.startswith("etcd: 3 of 7 servers have vanished") for line in made.log)

    run(case())


def test_a_token_that_expires_in_a_watch_is_replaced_without_a_gap() -> None:
    async def case() -> None:
        async with world(1, 2, user="petrel:secret") as made:
            connects = made.etcd.connects
            made.cluster.expire_tokens()
            made.vanish(1)
            await made.sees(2)
            assert made.etcd.logins >= 2 and made.etcd.connects == connects

    run(case())


def test_a_wrong_password_is_said_and_hurries_nobody() -> None:
    async def case() -> None:
        cluster = await Cluster(1, user="petrel:secret").start()
        made = World(cluster)
        made.follow_table(Membership(etcd=made.settings(user="petrel:wrong")))
        await wait_until(lambda: any("authentication failed" in line for line in made.log))
        assert made.etcd.connects <= 2
        await made.close()
        await cluster.close()

    run(case())


def test_a_restored_backup_is_believed_where_its_history_begins_anew() -> None:
    async def case() -> None:
        async with world(1, 2) as made:
            backup = made.cluster.store.backup()
            made.appear(3)
            made.vanish(1)
            made.appear(4)
            await made.sees(2, 3, 4)
            made.cluster.restore(backup)
            await made.sees(1, 2)
            assert made.core.history_restarts == 1
            made.vanish(1)
            await made.sees(2)

    run(case())


def test_a_value_that_is_none_is_told_of_once_and_harms_nobody() -> None:
    async def case() -> None:
        async with world(1) as made:
            bad = {"x": b"no json", "y": b'{"a":"' + b"z" * 2_000_000 + b'"}', "z": payload(5, locality="?")}
            for key, value in bad.items():
                made.cluster.put(PREFIX + key, value)
            await made.sees(1, 5)
            for member in made.cluster.members:
                member.cut()
            made.appear(2)
            await made.sees(1, 2, 5)
            assert made.etcd.figures()["flaws"] == {"no JSON": 1, "too large": 1}
            assert max(len(one.value) for one in made.core.entries.values()) == MAX_PAYLOAD_BYTES + 1
            assert sum("not used" in line for line in made.log) == 1

    run(case())


def test_a_watch_that_says_nothing_at_all_is_given_up() -> None:
    async def case() -> None:
        async with world(1, 2, members=2) as made:
            first = await made.watched()
            first.silent = True
            made.vanish(1)
            await made.sees(2)
            assert any("sent no answer" in line for line in made.log)

    run(case())


def test_a_reload_moves_to_another_prefix_without_a_moment_of_nobody() -> None:
    async def case() -> None:
        async with world(1, 2) as made:
            made.cluster.put("/other/n2", payload(2))
            made.cluster.put("/other/n3", payload(3))
            server_counts = []
            assert made.sources is not None
            made.sources.merger.flush_callbacks.append(lambda: server_counts.append(len(made.up())))
            made.sources.reload(Membership(etcd=made.settings(prefix="/other/")))
            await made.sees(2, 3)
            assert min(server_counts) >= 2

    run(case())


def test_the_last_list_serves_a_start_while_the_registry_is_down(tmp_path: Path) -> None:
    async def case() -> None:
        path = str(tmp_path / "kept.json")
        async with world(1, 2, cache=path) as made:
            await made.close()
            for member in made.cluster.members:
                member.stop_serving()
            made.vanish(1)
            restarted = World(made.cluster)
            restarted.follow_table(Membership(etcd=restarted.settings(cache=path)))
            await restarted.sees(1, 2)
            for member in made.cluster.members:
                member.down = False
            await restarted.sees(2)
            await restarted.close()

    run(case())


def test_an_hour_without_the_registry_takes_nothing_away(monkeypatch: pytest.MonkeyPatch) -> None:
    async def case() -> None:
        async with world(1, 2) as made:
            for member in made.cluster.members:
                member.stop_serving()
            await wait_until(lambda: made.etcd.output.age_s() > 0.0)
            loop = asyncio.get_running_loop()
            real_time = loop.time
            monkeypatch.setattr(made.etcd.output.loop, "time", lambda: real_time() + 3600.0)
            assert made.etcd.output.age_s() > 3600.0
            assert made.up() == {1, 2}
            monkeypatch.undo()

    run(case())


def test_discovery_beside_it_says_less() -> None:
    async def case() -> None:
        async with world(1) as made:
            assert made.sources is not None
            listed = [(Endpoint(9, state=State.DRAINING), address(1)), (Endpoint(8), address(7))]
            made.sources.merger.from_discovery(ListKind.FULL, list(listed))
            await made.sees(7)

    run(case())


def test_over_tls(tmp_path: Path) -> None:
    async def case() -> None:
        authority = trustme.CA()
        server_cert = authority.issue_cert("127.0.0.1")
        authority.cert_pem.write_to_path(str(tmp_path / "ca.pem"))
        chain = server_cert.cert_chain_pems[0].bytes()
        credentials = grpc.ssl_server_credentials([(server_cert.private_key_pem.bytes(), chain)])
        tls = Tls(ca=str(tmp_path / "ca.pem"))
        async with world(1, 2, credentials=credentials, tls=tls) as made:
            made.vanish(1)
            await made.sees(2)

    run(case())


def test_the_programs_own_key_lives_on_a_lease_and_is_taken_back() -> None:
    async def case() -> None:
        own = EtcdRegistration("/sidecars/t", ttl_s=2, facts={"name": "t"})
        async with world(1, register=own) as made:
            store = made.cluster.store
            await wait_until(lambda: b"/sidecars/t" in store.keys)
            assert b'"host_port": "127.0.0.1:999"' in store.keys[b"/sidecars/t"].value
            (lease,) = store.leases
            made.cluster.end_lease(lease)  # the lease is lost: the key is put with another
            await wait_until(lambda: b"/sidecars/t" in store.keys and lease not in store.leases)
            await wait_until(lambda: made.etcd.announcement.lease != 0)
            own = made.etcd.announcement
            take_back, kept_after_withdrawal = own.take_back, asyncio.Event()

            async def take_back_then_keep() -> None:
                """Renew the lease while the key is being withdrawn: the key must not be put again."""
                await take_back()
                await own._keep(own.member)
                kept_after_withdrawal.set()

            own.take_back = take_back_then_keep
            await made.etcd.withdraw()
            assert kept_after_withdrawal.is_set()
            assert b"/sidecars/t" not in store.keys and not store.leases

    run(case())


def test_the_end_of_a_prefix() -> None:
    assert prefix_end(b"/a/") == b"/a0"
    assert prefix_end(b"a\xff") == b"b"
    assert prefix_end(b"\xff\xff") == b"\0"


def test_the_stand_in_is_a_registry_to_the_librarys_own_client() -> None:
    """aetcd's client puts, reads, watches, leases and compacts."""

    async def case() -> None:
        cluster = await Cluster(1).start()
        async with aetcd.Client("127.0.0.1", cluster.members[0].port) as client:
            assert await client.get(b"k") is None
            await client.put(b"k", b"1")
            stored = await client.get(b"k")
            assert (stored.value, stored.create_revision, stored.mod_revision, stored.version) == (
                b"1",
                2,
                2,
                1,
            )
            watch = await client.watch_prefix(b"k")
            await client.put(b"k2", b"2")
            await client.delete(b"k")
            events = []
            async for event in watch:
                events.append(event)
                if len(events) == 2:
                    break
            assert [(event.kind, event.kv.key) for event in events] == [("PUT", b"k2"), ("DELETE", b"k")]
            lease = await client.lease(1)
            await client.put(b"l", b"x", lease=lease)
            await wait_until(lambda: b"l" not in cluster.store.keys)  # the lease is not renewed
            await client.compact(cluster.store.revision)
            found = [one.key async for one in _all(await client.get_prefix(b"k"))]
            assert found == [b"k2"]
        await cluster.close()

    run(case())


async def _all(found: Any) -> AsyncIterator[Any]:
    for one in found:
        yield one
