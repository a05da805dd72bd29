"""Answers of discovery that are no list, or a list with entries that can't be: what becomes of each."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import sys
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest

from garnethaven.addresses import parse_address
from garnethaven.interface import State
from garnethaven.membership.list_reader import Flaw, ListError, ListReader, name_of
from garnethaven.net.connection import STALL_S
from standins.ports import PORTS
from tests.loopback import (
    ANSWER,
    Peer,
    Sidecar,
    config_file,
    facts,
    read_message,
    ready,
    request,
    run,
    running,
    says,
    silent,
    until,
)

DRAIN_GRACE_S = 0.5
TOLD_WITHIN_S = 6.0  # what discovery has counts as told after this, where it is asked
ROOT = Path(__file__).parents[2]


def entry(name: str = "s0", **changes: Any) -> dict[str, Any]:
    return {"id": name, "host_port": "127.0.0.1:80", "phase": "SERVING", "cell": 0, "size": 1.0} | changes


def list_of(members: list[Any], revision: int = 10, complete: object = True) -> bytes:
    return json.dumps({"revision": revision, "complete": complete, "members": members}).encode()


def answer(body: bytes, status: bytes = b"200 OK", *headers: bytes) -> bytes:
    head = b"\r\n".join((b"HTTP/1.1 " + status, b"Content-Length: %d" % len(body), *headers))
    return head + b"\r\n\r\n" + body


def chunked(body: bytes, size: int, last: bytes = b"0\r\n\r\n") -> bytes:
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + last


# Reading


def read(members: list[Any], complete: object = True) -> Any:
    return ListReader({"a": 0}, {"m": 0}, 0).read_list(list_of(members, complete=complete))


@pytest.mark.parametrize(
    "changes",
    [
        {"phase": "WARMING"},
        {"phase": None},
        {"phase": ["SERVING"]},
        {"host_port": "nowhere"},
        {"host_port": "127.0.0.1:" + "9" * 5000},
        {"size": "large"},
        {"size": 10**400},
        {"size": float("nan")},
        {"size": float("inf")},
        {"size": -1.0},
        {"size": True},
        {"cell": 1.5},
        {"up_since_ms": -1},
        {"up_since_ms": 10**40},
    ],
)
def test_what_cannot_be_read_of_an_entry_is_no_licence_to_send_and_harms_no_other(
    changes: dict[str, Any],
) -> None:
    listed = read([entry("s0", **changes), entry("s1")])
    states = {name_of(endpoint.id): endpoint.state for endpoint, _ in listed.entries}
    assert states == {"s0": State.DRAINING, "s1": State.UP}
    assert all(0.0 < endpoint.units <= 1.0 for endpoint, _ in listed.entries)
    assert "s0" in listed.problems() and "1" in listed.problems()


@pytest.mark.parametrize(
    "member", [7, None, {}, {"id": 7}, {"id": ""}, {"id": "\ud800"}, {"id": "\0a"}, {"id": "x" * 2000}]
)
def test_an_entry_without_an_id_is_left_out_and_a_list_of_such_entries_is_none(member: object) -> None:
    listed = read([member, entry("s1")])
    assert [name_of(endpoint.id) for endpoint, _ in listed.entries] == ["s1"]
    assert listed.flaws[Flaw.UNREADABLE].count == 1
    assert read([member], complete=False).hides_changes()
    with pytest.raises(ListError):
        read([member])


@pytest.mark.parametrize("complete", ["no", "false", 1, None, [], {}])
def test_a_list_that_does_not_say_whether_it_is_whole_is_none(complete: object) -> None:
    with pytest.raises(ListError):
        read([entry()], complete)


@pytest.mark.parametrize("complete", [True, False])
@pytest.mark.parametrize("turned", [False, True])
@pytest.mark.parametrize(
    ("one", "other", "state", "started"),
    [
        ({"phase": "DRAINING"}, {}, State.DRAINING, 0),
        ({"phase": "DELETED"}, {}, State.REMOVED, 0),
        ({"phase": "DELETED"}, {"phase": "DRAINING"}, State.REMOVED, 0),
        ({"phase": "WARMING"}, {}, State.DRAINING, 0),
        ({"up_since_ms": 5}, {}, State.UP, 5_000_000),
        ({"up_since_ms": 5}, {"up_since_ms": 9}, State.UP, 9_000_000),
        ({"phase": "DRAINING"}, {"up_since_ms": 9}, State.DRAINING, 0),
    ],
)
def test_of_an_endpoint_that_is_listed_twice_the_stricter_phase_and_the_later_start_count(
    one: dict[str, Any], other: dict[str, Any], state: State, started: int, turned: bool, complete: bool
) -> None:
    twice = [entry(**one), entry(**other)]
    listed = read([*(reversed(twice) if turned else twice), entry("s1")], complete)
    found = {name_of(endpoint.id): endpoint for endpoint, _ in listed.entries}
    assert len(listed.entries) == 2 and found["s1"].state is State.UP
    assert (found["s0"].state, found["s0"].started) == (state, started)
    assert listed.flaws[Flaw.REPEATED].count == 1
    assert listed.hides_changes() is not complete


def test_a_port_of_thousands_of_digits_is_no_address() -> None:
    assert parse_address("127.0.0.1:" + "1" * 5000) is None
    assert parse_address("127.0.0.1:65535") == ("127.0.0.1", 65535)


def test_what_is_said_of_an_answer_is_short_whatever_it_holds() -> None:
    reader = ListReader({}, {}, 0)
    for body in (b"\xff" * 100_000, b"[" * 100_000, b'{"revision": 1, "members": ' + b"7" * 100_000):
        with pytest.raises(ListError) as problem:
            reader.read_list(body)
        assert len(str(problem.value)) < 300
    assert len(read([{"x": "y" * 100_000}, entry()]).problems()) < 300


# Over sockets


class BadDiscovery(Peer):
    """Tells s0 and s1 once, then `bad` for every call, and once `mended` that s0 drains."""

    def __init__(self, members: list[dict[str, Any]], bad: bytes, ends: bool) -> None:
        super().__init__(self._tell)
        self.members = members
        self.bad = bad
        self.ends = ends  # the connection, behind each bad answer
        self.mended = False
        self.told = False
        self.told_last = False
        self.bad_answers = 0

    async def _tell(self, head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not self.told:
            self.told = True
            writer.write(answer(list_of(self.members)))
        elif self.mended:
            if self.told_last:
                await silent(head, reader, writer)
            self.told_last = True
            drains = [self.members[0] | {"phase": "DRAINING"}, *self.members[1:]]
            writer.write(answer(list_of(drains, 20)))
        else:
            self.bad_answers += 1
            writer.write(self.bad)
            await writer.drain()
            if self.ends:
                raise ConnectionError


class Watched:
    """A sidecar that follows a bad discovery; what it logs, and what its loop has to say of errors."""

    def __init__(self, sidecar: Sidecar, discovery: BadDiscovery, servers: list[Peer]) -> None:
        self.sidecar = sidecar
        self.discovery = discovery
        self.servers = servers
        self.lines: list[str] = []
        self.errors: list[dict[str, Any]] = []

    def says(self, text: str) -> bool:
        self.lines.append(text)
        return True

    def names(self) -> set[str]:
        return {name_of(server.id) for server in self.sidecar.engine.balancer.pool}

    async def served(self, call_id: str) -> bool:
        return (await self.sidecar.ask(request(X_Call_Id=call_id)))[0] == 200

    def has_said(self, text: str) -> bool:
        """Whether a line tells this, with discovery's address."""
        address = f"(127.0.0.1:{self.discovery.port})"
        return any(text in line and address in line for line in self.lines)


@contextlib.asynccontextmanager
async def watched(bad: bytes, ends: bool = False) -> AsyncIterator[Watched]:
    async with running(says(ANSWER), says(ANSWER)) as (sidecar, servers):
        members = [server.member(f"s{number}") for number, server in enumerate(servers)]
        discovery = await BadDiscovery(members, bad, ends).start()
        made = Watched(sidecar, discovery, servers)
        asyncio.get_running_loop().set_exception_handler(lambda _, facts: made.errors.append(facts))
        sidecar.engine.says = made.says  # type: ignore[method-assign]
        sidecar.discovery.move(("127.0.0.1", discovery.port))
        await until(lambda: discovery.bad_answers >= 1)
        yield made
        assert not any("Traceback" in line for line in made.lines), made.lines
        assert not made.errors
        discovery.server.close()


SOUND = list_of([entry("s9")], 11)
LIST_BEYOND = list_of([entry(f"s{number:08}") for number in range(30_000)], 11)  # 2.6 MB where 2 MiB may be
NOT_LISTS = {
    "a page": (answer(b"<html><body>Welcome</body></html>"), False, "cannot be read"),
    "no text": (answer(b"\xff\xfe" * 1000), False, "cannot be read"),
    "a redirect": (
        answer(SOUND, b"302 Found", b"Location: http://127.0.0.1:1/api/targets"),
        False,
        "status 302",
    ),
    "no content": (b"HTTP/1.1 204 No Content\r\n\r\n", False, "status 204"),
    "cut": (answer(SOUND)[:-40], True, "ended before the whole answer"),
    "cut in a chunk": (chunked(SOUND, 30)[:-60], True, "ended before the whole answer"),
    "cut, of no length": (
        b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + SOUND[:-40],
        True,
        "cannot be read",
    ),
    "stalls": (answer(SOUND)[:-40], False, "ended before the whole answer"),
    "too long": (answer(LIST_BEYOND), False, "longer than the 2097152 bytes"),
    "too long, in chunks": (chunked(LIST_BEYOND, 60_000), False, "longer than the 2097152 bytes"),
    "no members": (answer(b'{"revision": 11, "complete": true}'), False, "cannot be read"),
    "neither whole nor not": (answer(list_of([], 11, "no")), False, "neither true nor false"),
    "no entries": (answer(list_of([1, 2, 3], 11)), False, "none of its 3 entries"),
}


@pytest.mark.parametrize("kind", NOT_LISTS)
def test_an_answer_that_is_no_list_leads_to_another_call_and_the_old_list_serves_meanwhile(kind: str) -> None:
    bad, ends, line = NOT_LISTS[kind]

    async def case() -> None:
        async with watched(bad, ends) as made:
            await until(lambda: made.discovery.bad_answers >= 3)
            assert made.names() == {"s0", "s1"}
            assert await made.served("c1")
            assert made.has_said(line), made.lines
            made.discovery.mended = True
            mended_at = time.monotonic()
            await until(lambda: made.names() == {"s1"})
            stalled_s = STALL_S if kind == "stalls" else 0.0
            assert time.monotonic() - mended_at < DRAIN_GRACE_S + stalled_s
            assert await made.served("c2")

    run(case())


def test_a_revision_that_goes_back_is_passed_over_and_the_third_in_a_row_believed() -> None:
    async def case() -> None:
        async with watched(answer(list_of([], 11, False))) as made:
            discovery = made.discovery
            discovery.bad = answer(list_of([discovery.members[1]], 3))
            before = discovery.bad_answers
            await until(lambda: made.sidecar.discovery.fresh.behind == 2)
            assert made.names() == {"s0", "s1"} and await made.served("c1")
            assert made.has_said("revision 3 is older than 11: ignored, the full list is fetched"), made.lines
            began = time.monotonic()
            await until(lambda: made.names() == {"s1"})
            assert time.monotonic() - began < DRAIN_GRACE_S
            assert discovery.bad_answers >= before + 3
            assert made.sidecar.discovery.fresh.revision == 3

    run(case())


def test_a_server_of_an_unknown_phase_gets_nothing_new() -> None:
    async def case() -> None:
        async with watched(answer(list_of([], 10, False))) as made:
            members = made.discovery.members
            made.discovery.bad = answer(list_of([members[0] | {"phase": "WARMING"}], 11, False))
            await until(lambda: made.names() == {"s1"})
            assert made.has_said("unknown phase") and made.has_said("'s0'"), made.lines
            for number in range(4):
                assert await made.served(f"c{number}")
            assert not made.servers[0].requests

    run(case())


@pytest.mark.parametrize("complete", [True, False])
def test_an_endpoint_that_is_listed_twice_drains_and_after_changes_the_whole_list_is_asked_for(
    complete: bool,
) -> None:
    async def case() -> None:
        async with watched(answer(list_of([], 10, False))) as made:
            members = made.discovery.members
            twice = [members[0] | {"phase": "DRAINING"}, members[0], members[1]]
            asked = len(made.discovery.requests)
            made.discovery.bad = answer(list_of(twice, 11, complete))
            await until(lambda: made.names() == {"s1"})
            assert made.has_said("stands there already"), made.lines
            await until(lambda: len(made.discovery.requests) >= asked + 4)
            assert any(b"after=" not in head for head in made.discovery.requests[asked:]) is not complete
            assert made.names() == {"s1"}

    run(case())


def test_a_list_in_chunks_of_a_byte_is_taken() -> None:
    async def case() -> None:
        async with watched(answer(list_of([], 10, False))) as made:
            members = [made.discovery.members[1], *(entry(f"t{n}", phase="DRAINING") for n in range(1100))]
            made.discovery.bad = chunked(list_of(members, 11), 1)
            await until(lambda: made.names() == {"s1"})
            assert len(made.sidecar.engine.balancer.servers) == 1101
            assert await made.served("c1")

    run(case())


def test_two_megabytes_of_members_without_an_id_take_none_of_the_others_away() -> None:
    async def case() -> None:
        async with watched(answer(list_of([], 10, False))) as made:
            junk = [{"host_port": f"127.0.0.1:{1024 + n % 60000}", "phase": "SERVING"} for n in range(30_000)]
            made.discovery.bad = answer(list_of([made.discovery.members[1], *junk], 11))
            assert 1_500_000 < len(made.discovery.bad) < 2 * 1024 * 1024
            await until(lambda: made.names() == {"s1"})
            assert made.has_said("without an id: 30000"), made.lines
            assert await made.served("c1")

    run(case())


# The program itself, where discovery is asked


async def answered(port: int, call_id: str) -> bool:
    """Whether a request to the program there is served."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(request(X_Call_Id=call_id))
    head, _ = await read_message(reader)
    writer.close()
    return b" 200 " in head


@pytest.mark.parametrize("kind", ["a page", "a redirect", "cut", "too long"])
def test_the_program_names_the_address_asks_on_and_ends_well(kind: str, tmp_path: Path) -> None:
    bad, ends, line = NOT_LISTS[kind]

    async def case() -> None:
        servers = [await Peer(says(ANSWER)).start() for _ in range(2)]
        members = [server.member(f"s{number}") for number, server in enumerate(servers)]
        discovery = await BadDiscovery(members, bad, ends).start()
        settings = facts() | {"membershipMode": "ask"}
        settings["rules"]["askWithinNs"] = 10**9
        port = PORTS.take()
        config = config_file(
            tmp_path / "config.json",
            listen=f"127.0.0.1:{port}",
            discovery=f"127.0.0.1:{discovery.port}",
            settings=settings,
        )
        program = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "garnethaven",
            cwd=ROOT,
            env={"NODE_CONFIG": str(config)},
            stderr=asyncio.subprocess.PIPE,
        )
        try:
            await ready(port)
            await until(lambda: discovery.bad_answers >= 3)
            assert await answered(port, "c1")
            discovery.mended = True
            mended_at = time.monotonic()
            await until(lambda: discovery.told_last)
            assert time.monotonic() - mended_at < TOLD_WITHIN_S
            await asyncio.sleep(DRAIN_GRACE_S)
            before = len(servers[0].requests)
            for number in range(4):
                assert await answered(port, f"d{number}")
            assert len(servers[0].requests) == before
        finally:
            program.send_signal(signal.SIGTERM)
            _, said = await program.communicate()
        lines = said.decode()
        assert any(line in text and f"(127.0.0.1:{discovery.port})" in text for text in lines.splitlines()), (
            lines
        )
        assert "Traceback" not in lines and program.returncode == 0, lines
        for peer in (*servers, discovery):
            peer.server.close()

    run(case())
