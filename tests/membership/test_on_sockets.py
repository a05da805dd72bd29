"""ZooKeeper failures on loopback sockets: sessions, hosts, lost events, bad payloads, lagging hosts."""

from __future__ import annotations

import asyncio
import json
import ssl
from pathlib import Path

import pytest
import trustme

from garnethaven.interface import Endpoint, ListKind, State
from garnethaven.membership.table import Registration, Tls
from standins.zookeeper.records import Acl
from standins.zookeeper.tree import Identity, digest_id
from tests.loopback import run, wait_until
from tests.membership.estate import address, payload
from tests.membership.world import ROOT, World, world


def test_servers_come_and_go_with_their_sessions() -> None:
    async def case() -> None:
        async with world(1, 2, 3) as made:
            made.vanish(2)
            await made.sees(1, 3)
            made.appear(4)
            await made.sees(1, 3, 4)
            made.ensemble.set(f"{ROOT}/n1", payload(1, phase="DRAINING"))
            await made.sees(3, 4)
            made.ensemble.set(f"{ROOT}/n1", payload(1, size=3.0))
            await made.sees(1, 3, 4)
            assert made.entry(1).relative_capacity == 3.0

    run(case())


def test_a_node_that_returns_within_a_second_is_a_server_started_anew() -> None:
    async def case() -> None:
        async with world(1, 2) as made:
            before = made.entry(1).started
            made.vanish(1)
            made.appear(1)  # at once: both events may arrive in one read
            await wait_until(lambda: made.up() == {1, 2} and made.entry(1).started > before)

    run(case())


def test_a_node_that_returns_with_the_start_that_it_told_before_never_stopped() -> None:
    async def case() -> None:
        async with world(2) as made:
            made.appear(1, up_since_ms=1_600_000_000_000)
            await made.sees(1, 2)
            before = made.entry(1).started
            made.vanish(1)
            await made.sees(2)
            made.appear(1, up_since_ms=1_600_000_000_000)
            await made.sees(1, 2)
            assert made.entry(1).started == before

    run(case())


def test_a_quarter_and_then_all_vanish_and_return_cold() -> None:
    async def case() -> None:
        async with world(*range(16)) as made:
            before = {number: made.entry(number).started for number in range(16)}
            made.vanish(0, 1, 2, 3)
            await made.sees(*range(4, 16))
            made.vanish(*range(4, 16))
            await made.sees()
            made.appear(*range(16))
            await made.sees(*range(16))
            assert all(made.entry(number).started > before[number] for number in range(16))

    run(case())


def test_our_own_suspended_session_drops_nothing_and_what_was_missed_acts_at_once() -> None:
    async def case() -> None:
        async with world(1, 2, 3) as made:
            session = made.own_session()
            for host in made.ensemble.hosts:
                host.stop()
            await wait_until(lambda: made.age_s() > 0.0)
            made.vanish(2)
            assert made.up() == {1, 2, 3}
            made.appear(4)
            for host in made.ensemble.hosts:
                await host.start()
            await made.sees(1, 3, 4)
            assert made.own_session() == session
            await wait_until(lambda: made.age_s() == 0.0)
            assert any("the last list is kept" in line for line in made.log)

    run(case())


def test_our_own_expired_session_says_nothing_of_the_servers() -> None:
    async def case() -> None:
        async with world(1, 2, 3) as made:
            session, updates_before = made.own_session(), made.delta_count
            made.ensemble.expire(session)
            await wait_until(lambda: made.own_session() not in (0, session))
            await wait_until(lambda: made.age_s() == 0.0)
            assert made.up() == {1, 2, 3}
            assert made.client.expirations == 1
            assert made.delta_count == updates_before  # the same list is not passed on again
            made.vanish(1)
            await made.sees(2, 3)

    run(case())


def test_an_event_that_is_lost_with_its_connection_is_made_up_for() -> None:
    async def case() -> None:
        async with world(1, 2) as made:
            connects = made.client.connects
            host = made.serving()
            host.loses_events = True
            made.vanish(1)
            await made.sees(2)
            assert made.client.connects > connects

    run(case())


def test_a_host_that_says_nothing_is_left_for_another_within_the_session() -> None:
    async def case() -> None:
        async with world(1, 2) as made:
            session, host = made.own_session(), made.serving()
            host.stalled = True
            made.vanish(1)
            await made.sees(2)
            assert made.own_session() == session
            assert made.serving() is not host

    run(case())


@pytest.mark.parametrize("answers", [False, True])
def test_a_host_that_lags_never_brings_back_what_has_gone(answers: bool) -> None:
    async def case() -> None:
        async with world(1, 2, spread_ms=10) as made:
            lagging = next(host for host in made.ensemble.hosts if host is not made.serving())
            others = [host for host in made.ensemble.hosts if host is not lagging]
            lagging.fall_behind()
            lagging.answers_old = answers
            made.vanish(1)
            await made.sees(2)
            for host in others:
                host.stop()
            seen: set[frozenset[int]] = set()
            made.sources.merger.flush_callbacks.append(lambda: seen.add(frozenset(made.up())))
            tries = len(lagging.connect_times)
            await wait_until(lambda: len(lagging.connect_times) >= tries + 3)
            assert frozenset({1, 2}) not in seen
            lagging.catch_up()
            await made.sees(2)
            await wait_until(lambda: made.age_s() == 0.0)

    run(case())


def test_a_partitioned_host_is_left() -> None:
    async def case() -> None:
        async with world(1) as made:
            host = made.serving()
            host.cut_off = True
            host.cut()
            made.appear(2)
            await made.sees(1, 2)
            assert made.serving() is not host

    run(case())


def test_read_only_hosts_are_refused_unless_allowed() -> None:
    async def case() -> None:
        async with world(1, follow=False) as made:
            for host in made.ensemble.hosts:
                host.read_only = True
            made.follow()
            await wait_until(lambda: sum(len(host.connect_times) for host in made.ensemble.hosts) > 2)
            assert made.up() == set()
            await made.sources.close()
            made.follow(read_only=True)
            await made.sees(1)

    run(case())


def test_flawed_nodes_harm_only_themselves() -> None:
    async def case() -> None:
        async with world(1) as made:
            flawed = {
                "large": b'{"x": "' + b"y" * 1_000_000 + b'"}',
                "garbage": b"\x00\xff",
                "elsewhere": payload(7, host_port="239.0.0.1:80"),
                "odd \u00fc \t name": payload(9),
            }
            session = made.ensemble.create_session(40_000)
            for name, data in flawed.items():
                made.ensemble.create_node(f"{ROOT}/{name}", data, session)
            made.ensemble.create_node(f"{ROOT}/lasting", payload(8))
            made.sessions[9] = session
            await made.sees(1, 9)
            flaws = made.source.following.flaws
            await wait_until(lambda: sum(flaws.values()) == 4)
            assert set(flaws) == {
                "too large",
                "no JSON",
                "an address outside the allowed ranges",
                "not ephemeral",
            }
            assert (
                sum("its server is not used" in line for line in made.log) == 1
            )  # log lines of one kind are rate limited

    run(case())


def test_two_nodes_of_one_address_are_one_server() -> None:
    async def case() -> None:
        async with world(1) as made:
            new = made.ensemble.create_session(40_000)
            made.ensemble.create_node(f"{ROOT}/again", payload(1), new)
            await wait_until(lambda: f"{ROOT}/again" in made.sources.merger.model.sources["zookeeper"].facts)
            made.vanish(1)
            made.appear(2)
            await made.sees(1, 2)
            made.ensemble.expire(new.id)
            await made.sees(2)

    run(case())


def test_rights_that_are_withdrawn_and_given_back() -> None:
    async def case() -> None:
        async with world(1, 2, digest="u:p") as made:
            tree = made.ensemble.tree
            mine, others = Acl(31, "digest", digest_id(b"u:p")), Acl(31, "digest", digest_id(b"x:y"))

            def give(path: str, acl: Acl) -> None:
                with tree.write() as changes:
                    tree.set_acl(path, (acl,), -1, Identity(0, frozenset({("digest", digest_id(b"u:p"))})))
                made.ensemble.publish(list(changes))

            give(ROOT, mine)
            made.ensemble.hosts[0].cut()
            for host in made.ensemble.hosts:
                host.cut()
            await wait_until(lambda: made.client.connects > 1 and made.age_s() == 0.0)
            assert made.up() == {1, 2}
            give(ROOT, others)
            for host in made.ensemble.hosts:
                host.cut()
            await wait_until(lambda: made.source.troubles > 0)
            assert made.up() == {1, 2} and made.age_s() > 0.0
            assert any("may not be read" in line for line in made.log)
            tree.nodes[ROOT].acl = (mine,)
            await wait_until(lambda: made.age_s() == 0.0)

    run(case())


def test_a_flood_of_flaps_does_not_delay_an_end() -> None:
    async def case() -> None:
        async with world(*range(300)) as made:
            loop = asyncio.get_running_loop()
            calm = made.delta_count
            for turn in range(40):
                number = turn % 20 + 100
                made.vanish(number)
                made.appear(number)
                await asyncio.sleep(0.005)
            began = loop.time()
            made.vanish(1)
            await wait_until(lambda: 1 not in made.up())
            assert loop.time() - began < 5.0  # generous for slow machines; batches.py has the actual limit
            await made.sees(*(set(range(300)) - {1}))
            assert made.delta_count > calm

    run(case())


def test_another_directory_takes_over_when_it_has_been_read_whole() -> None:
    async def case() -> None:
        async with world(1, 2) as made:
            made.ensemble.create_node("/other")
            session = made.sessions[5] = made.ensemble.create_session(40_000)
            fields = {"address": address(5)[0], "port": 80}
            made.ensemble.create_node("/other/x", json.dumps(fields).encode(), session)
            seen: list[set[int]] = []
            made.sources.merger.flush_callbacks.append(lambda: seen.append(made.up()))
            old = made.own_session()
            made.source.reload(made.registry(root="/other", form="curator"), ("127.0.0.1", 1))
            await made.sees(5)
            assert all(step for step in seen)  # the list is never empty during the change
            await wait_until(lambda: old not in made.ensemble.sessions)  # the old session is closed
            made.ensemble.expire(session.id)
            await made.sees()

    run(case())


def test_a_last_list_stands_in_while_the_registry_is_down(tmp_path: Path) -> None:
    async def case() -> None:
        cache = str(tmp_path / "last.json")
        async with world(1, 2, 3, cache=cache) as made:
            await made.sources.close()  # writes the cache
            made.known_endpoints.clear()
            for host in made.ensemble.hosts:
                host.stop()
            made.follow(cache=cache)
            assert made.up() == {1, 2, 3}
            assert made.age_s() >= 0.0 and made.sources.merger.model.sources["zookeeper"].lost_at is not None
            started = made.entry(1).started
            made.vanish(2)
            for host in made.ensemble.hosts:
                await host.start()
            await made.sees(1, 3)
            assert made.entry(1).started == started  # the same node: the server has not restarted

    run(case())


@pytest.mark.parametrize("text", ["", "{", "[]", '{"form": 9}', '{"form": 1, "facts": {"a": [1]}}'])
def test_a_broken_last_list_is_none(text: str, tmp_path: Path) -> None:
    async def case() -> None:
        cache = tmp_path / "last.json"
        cache.write_text(text)
        async with world(1, follow=False) as made:
            made.follow(cache=str(cache))
            assert made.up() == set()
            await made.sees(1)
            assert any("is not used" in line for line in made.log)

    run(case())


def test_discovery_and_the_registry_are_one_list() -> None:
    async def case() -> None:
        async with world(1, 2) as made:
            listed = [(Endpoint(77, state=State.DRAINING), address(1)), (Endpoint(78), address(9))]
            made.sessions[9] = made.sessions[1]
            made.sources.merger.from_discovery(ListKind.FULL, list(listed))
            assert made.up() == {2, 9}
            made.sources.merger.from_discovery(ListKind.DELTA, [(Endpoint(77), address(1))])
            assert made.up() == {1, 2, 9}
            made.vanish(1)
            await made.sees(2, 9)
            made.sources.merger.from_discovery(ListKind.FULL, [(Endpoint(77), address(1))])
            assert made.up() == {2}  # the registry's removal of 1 is newer than the entry of discovery

    run(case())


def test_over_tls_the_hosts_are_proved_and_so_are_we(tmp_path: Path) -> None:
    async def case() -> None:
        authority, other_authority = trustme.CA(), trustme.CA()
        authority.cert_pem.write_to_path(str(tmp_path / "ca.pem"))
        other_authority.cert_pem.write_to_path(str(tmp_path / "other.pem"))
        client_cert = authority.issue_cert("client.example")
        client_cert.private_key_pem.write_to_path(str(tmp_path / "key.pem"))
        client_cert.cert_chain_pems[0].write_to_path(str(tmp_path / "cert.pem"))
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        authority.issue_cert("127.0.0.1").configure_cert(context)
        authority.configure_trust(context)
        context.verify_mode = ssl.CERT_REQUIRED
        files = Tls(str(tmp_path / "ca.pem"), str(tmp_path / "cert.pem"), str(tmp_path / "key.pem"))
        async with world(tls=context, follow=False) as made:
            made.appear(1)
            made.follow(tls=files)
            await made.sees(1)
            await made.sources.close()
            made.known_endpoints.clear()
            made.follow(tls=Tls(ca=str(tmp_path / "other.pem")))
            await wait_until(lambda: any("can't be reached" in line for line in made.log))
            assert made.up() == set()

    run(case())


def test_the_program_registers_when_it_follows_and_withdraws_before_it_drains() -> None:
    async def case() -> None:
        async with world(1, register=Registration("/me")) as made:
            tree = made.ensemble.tree
            await wait_until(lambda: "/me" in tree.nodes)
            assert json.loads(tree.nodes["/me"].data) == {"host_port": "127.0.0.1:999", "phase": "SERVING"}
            assert tree.nodes["/me"].stat.ephemeral_owner == made.own_session()
            made.ensemble.expire(made.own_session())
            assert "/me" not in tree.nodes
            await wait_until(lambda: "/me" in tree.nodes)
            await wait_until(lambda: made.source.register.registered)
            await made.sources.withdraw()
            assert "/me" not in tree.nodes
            for host in made.ensemble.hosts:
                host.cut()
            connects = made.client.connects
            await wait_until(lambda: made.client.connects > connects and made.age_s() == 0.0)
            assert "/me" not in tree.nodes  # a new connection does not create it again

    run(case())


def test_a_registration_left_by_an_earlier_life_is_replaced_and_anothers_is_not() -> None:
    async def case() -> None:
        async with world(1, follow=False) as made:
            earlier = made.ensemble.create_session(40_000)
            data = json.dumps({"host_port": "127.0.0.1:999", "phase": "SERVING"}).encode()
            made.ensemble.create_node("/me", data, earlier)
            made.ensemble.create_node("/taken", b"another's", earlier)
            made.follow(register=Registration("/me"))
            await wait_until(
                lambda: made.ensemble.tree.nodes["/me"].stat.ephemeral_owner == made.own_session() != 0
            )
            await made.sources.close()
            made.follow(register=Registration("/taken"))
            await wait_until(lambda: any("belongs to another session" in line for line in made.log))
            assert made.ensemble.tree.nodes["/taken"].stat.ephemeral_owner == earlier.id

    run(case())


def test_a_resumed_session_keeps_its_registration() -> None:
    async def case() -> None:
        async with world(1, register=Registration("/me")) as made:
            tree = made.ensemble.tree
            await wait_until(lambda: "/me" in tree.nodes)
            created = tree.nodes["/me"].stat.czxid
            connects = made.client.connects
            for host in made.ensemble.hosts:
                host.cut()
            await wait_until(lambda: made.client.connects > connects)
            await wait_until(lambda: made.source.register.registered)
            assert tree.nodes["/me"].stat.czxid == created

    run(case())


def test_sixty_clients_that_lose_a_host_spread_their_connects() -> None:
    async def case() -> None:
        async with world(1, follow=False) as made:
            worlds = []
            for seed in range(60):
                one = World(made.ensemble)
                one.sessions = made.sessions
                one.follow(seed, spread_ms=1000)
                worlds.append(one)
            for one in worlds:
                await one.sees(1)
            first = made.ensemble.hosts[0]
            lost_clients = sum(line.session is not None for line in first.connections)
            assert lost_clients > 5
            before = [len(host.connect_times) for host in made.ensemble.hosts]
            first.stop()
            others = made.ensemble.hosts[1:]
            await wait_until(
                lambda: sum(len(host.connect_times) for host in others) >= sum(before[1:]) + lost_clients
            )
            connects_after = zip(others, before[1:], strict=True)
            moments = sorted(
                moment for host, count in connects_after for moment in host.connect_times[count:]
            )
            assert moments[-1] - moments[0] > 0.3
            assert max(sum(at <= one < at + 0.1 for one in moments) for at in moments) < 0.6 * len(moments)
            for one in worlds:
                await one.sources.close()

    run(case())
