"""Handling of discovery's answers that are not lists, and of lists with invalid entries."""

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
    answers_with,
    never_answers,
    read_message,
    request,
    run,
    running_sidecar,
    settings_document,
    wait_until,
    wait_until_ready,
    write_config_file,
)

DRAIN_GRACE_S = 0.5
KNOWN_AFTER_S = 6.0  # a change that discovery has counts as known after this time
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


# Parsing


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
    assert all(0.0 < endpoint.relative_capacity <= 1.0 for endpoint, _ in listed.entries)
    assert "s0" in listed.describe_flaws() and "1" in listed.describe_flaws()


@pytest.mark.parametrize(
    "member", [7, None, {}, {"id": 7}, {"id": ""}, {"id": "\ud800"}, {"id": "\0a"}, {"id": "x" * 2000}]
)
def test_an_entry_without_an_id_is_left_out_and_a_list_of_such_entries_is_none(member: object) -> None:
    listed = read([member, entry("s1")])
    assert [name_of(endpoint.id) for endpoint, _ in listed.entries] == ["s1"]
    assert listed.flaws[Flaw.UNREADABLE].count == 1
    assert read([member], complete=False).may_lack_changes()
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
    repeated = [entry(**one), entry(**other)]
    listed = read([*(reversed(repeated) if turned else repeated), entry("s1")], complete)
    found = {name_of(endpoint.id): endpoint for endpoint, _ in listed.entries}
    assert len(listed.entries) == 2 and found["s1"].state is State.UP
    assert (found["s0"].state, found["s0"].started) == (state, started)
    assert listed.flaws[Flaw.REPEATED].count == 1
    assert listed.may_lack_changes() is not complete


def test_a_port_of_thousands_of_digits_is_no_address() -> None:
    assert parse_address("127.0.0.1:" + "1" * 5000) is None
    assert parse_address("127.0.0.1:65535") == ("127.0.0.1", 65535)


def test_what_is_said_of_an_answer_is_short_whatever_it_holds() -> None:
    reader = ListReader({}, {}, 0)
    for body in (b"\xff" * 100_000, b"[" * 100_000, b'{"revision": 1, "members": ' + b"7" * 100_000):
        with pytest.raises(ListError) as problem:
            reader.read_list(body)
        assert len(str(problem.value)) < 300
    assert len(read([{"x": "y" * 100_000}, entry()]).describe_flaws()) < 300


# Over sockets


class BadDiscovery(Peer):
    """Lists s0 and s1 once, then answers each call with `bad`; once `repaired`, lists s0 as draining."""

    def __init__(self, members: list[dict[str, Any]], bad: bytes, closes: bool) -> None:
        super().__init__(self._answer)
        self.members = members
        self.bad = bad
        self.closes = closes  # whether the connection ends after each bad answer
        self.repaired = False
        self.listed = False
        self.drain_listed = False
        self.bad_answers = 0

    async def _answer(self, head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not self.listed:
            self.listed = True
            writer.write(answer(list_of(self.members)))
        elif self.repaired:
            if self.drain_listed:
                await never_answers(head, reader, writer)
            self.drain_listed = True
            drains = [self.members[0] | {"phase": "DRAINING"}, *self.members[1:]]
            writer.write(answer(list_of(drains, 20)))
        else:
            self.bad_answers += 1
            writer.write(self.bad)
            await writer.drain()
            if self.closes:
                raise ConnectionError


class Followed:
    """A sidecar that follows a faulty discovery, with its log lines and the errors of its event loop."""

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

    def has_logged(self, text: str) -> bool:
        """Whether a log line contains `text` and discovery's address."""
        address = f"(127.0.0.1:{self.discovery.port})"
        return any(text in line and address in line for line in self.lines)


@contextlib.asynccontextmanager
async def followed(bad: bytes, closes: bool = False) -> AsyncIterator[Followed]:
    async with running_sidecar(answers_with(ANSWER), answers_with(ANSWER)) as (sidecar, servers):
        members = [server.member(f"s{number}") for number, server in enumerate(servers)]
        discovery = await BadDiscovery(members, bad, closes).start()
        node = Followed(sidecar, discovery, servers)
        asyncio.get_running_loop().set_exception_handler(
            lambda _, settings_document: node.errors.append(settings_document)
        )
        sidecar.engine.try_log = node.says  # type: ignore[method-assign]
        sidecar.discovery.move(("127.0.0.1", discovery.port))
        await wait_until(lambda: discovery.bad_answers >= 1)
        yield node
        assert not any("Traceback" in line for line in node.lines), node.lines
        assert not node.errors
        discovery.server.close()


VALID_LIST = list_of([entry("s9")], 11)
# 2.6 MB; the limit is 2 MiB.
OVERSIZED_LIST = list_of([entry(f"s{number:08}") for number in range(30_000)], 11)
INVALID_ANSWERS = {
    "a page": (answer(b"<html><body>Welcome</body></html>"), False, "cannot be read"),
    "no text": (answer(b"\xff\xfe" * 1000), False, "cannot be read"),
    "a redirect": (
        answer(VALID_LIST, b"302 Found", b"Location: http://127.0.0.1:1/api/targets"),
        False,
        "status 302",
    ),
    "no content": (b"HTTP/1.1 204 No Content\r\n\r\n", False, "status 204"),
    "cut": (answer(VALID_LIST)[:-40], True, "ended before the whole answer"),
    "cut in a chunk": (chunked(VALID_LIST, 30)[:-60], True, "ended before the whole answer"),
    "cut, of no length": (
        b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + VALID_LIST[:-40],
        True,
        "cannot be read",
    ),
    "stalls": (answer(VALID_LIST)[:-40], False, "the answer pauses"),
    "too long": (answer(OVERSIZED_LIST), False, "longer than the 2097152 bytes"),
    "too long, in chunks": (chunked(OVERSIZED_LIST, 60_000), False, "longer than the 2097152 bytes"),
    "no members": (answer(b'{"revision": 11, "complete": true}'), False, "cannot be read"),
    "neither whole nor not": (answer(list_of([], 11, "no")), False, "neither true nor false"),
    "no entries": (answer(list_of([1, 2, 3], 11)), False, "none of its 3 entries"),
}


@pytest.mark.parametrize("kind", INVALID_ANSWERS)
def test_an_answer_that_is_no_list_leads_to_another_call_and_the_old_list_serves_meanwhile(kind: str) -> None:
    bad, closes, line = INVALID_ANSWERS[kind]

    async def case() -> None:
        async with followed(bad, closes) as node:
            await wait_until(lambda: node.discovery.bad_answers >= 3)
            assert node.names() == {"s0", "s1"}
            assert await node.served("c1")
            assert node.has_logged(line), node.lines
            node.discovery.repaired = True
            repaired_at = time.monotonic()
            await wait_until(lambda: node.names() == {"s1"})
            stall_s = STALL_S if kind == "stalls" else 0.0
            assert time.monotonic() - repaired_at < DRAIN_GRACE_S + stall_s
            assert await node.served("c2")

    run(case())


def test_a_revision_that_goes_back_is_passed_over_and_the_third_in_a_row_believed() -> None:
    async def case() -> None:
        async with followed(answer(list_of([], 11, False))) as node:
            discovery = node.discovery
            discovery.bad = answer(list_of([discovery.members[1]], 3))
            before = discovery.bad_answers
            await wait_until(lambda: node.sidecar.discovery.freshness.stale_answers == 2)
            assert node.names() == {"s0", "s1"} and await node.served("c1")
            assert node.has_logged("revision 3 is older than 11: ignored, the full list is fetched"), (
                node.lines
            )
            began = time.monotonic()
            await wait_until(lambda: node.names() == {"s1"})
            assert time.monotonic() - began < DRAIN_GRACE_S
            assert discovery.bad_answers >= before + 3
            assert node.sidecar.discovery.freshness.revision == 3

    run(case())


def test_a_server_of_an_unknown_phase_gets_nothing_new() -> None:
    async def case() -> None:
        async with followed(answer(list_of([], 10, False))) as node:
            members = node.discovery.members
            node.discovery.bad = answer(list_of([members[0] | {"phase": "WARMING"}], 11, False))
            await wait_until(lambda: node.names() == {"s1"})
            assert node.has_logged("unknown phase") and node.has_logged("'s0'"), node.lines
            for number in range(4):
                assert await node.served(f"c{number}")
            assert not node.servers[0].requests

    run(case())


@pytest.mark.parametrize("complete", [True, False])
def test_an_endpoint_that_is_listed_twice_drains_and_after_changes_the_whole_list_is_asked_for(
    complete: bool,
) -> None:
    async def case() -> None:
        async with followed(answer(list_of([], 10, False))) as node:
            members = node.discovery.members
            repeated = [members[0] | {"phase": "DRAINING"}, members[0], members[1]]
            calls_before = len(node.discovery.requests)
            node.discovery.bad = answer(list_of(repeated, 11, complete))
            await wait_until(lambda: node.names() == {"s1"})
            assert node.has_logged("that repeat an endpoint"), node.lines
            await wait_until(lambda: len(node.discovery.requests) >= calls_before + 4)
            assert (
                any(b"after=" not in head for head in node.discovery.requests[calls_before:]) is not complete
            )
            assert node.names() == {"s1"}

    run(case())


def test_a_list_in_chunks_of_a_byte_is_taken() -> None:
    async def case() -> None:
        async with followed(answer(list_of([], 10, False))) as node:
            members = [
                node.discovery.members[1],
                *(entry(f"t{n}", phase="DRAINING") for n in range(1100)),
            ]
            node.discovery.bad = chunked(list_of(members, 11), 1)
            await wait_until(lambda: node.names() == {"s1"})
            assert len(node.sidecar.engine.balancer.servers) == 1101
            assert await node.served("c1")

    run(case())


def test_two_megabytes_of_members_without_an_id_take_none_of_the_others_away() -> None:
    async def case() -> None:
        async with followed(answer(list_of([], 10, False))) as node:
            junk = [{"host_port": f"127.0.0.1:{1024 + n % 60000}", "phase": "SERVING"} for n in range(30_000)]
            node.discovery.bad = answer(list_of([node.discovery.members[1], *junk], 11))
            assert 1_500_000 < len(node.discovery.bad) < 2 * 1024 * 1024
            await wait_until(lambda: node.names() == {"s1"})
            assert node.has_logged("without an id: 30000"), node.lines
            assert await node.served("c1")

    run(case())


# The whole program, in the mode in which it calls discovery


async def answered(port: int, call_id: str) -> bool:
    """Whether the program at this port serves a request."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(request(X_Call_Id=call_id))
    head, _ = await read_message(reader)
    writer.close()
    return b" 200 " in head


@pytest.mark.parametrize("kind", ["a page", "a redirect", "cut", "too long"])
def test_the_program_names_the_address_asks_on_and_ends_well(kind: str, tmp_path: Path) -> None:
    bad, closes, line = INVALID_ANSWERS[kind]

    async def case() -> None:
        servers = [await Peer(answers_with(ANSWER)).start() for _ in range(2)]
        members = [server.member(f"s{number}") for number, server in enumerate(servers)]
        discovery = await BadDiscovery(members, bad, closes).start()
        settings = settings_document() | {"membershipMode": "ask"}
        settings["rules"]["askWithinNs"] = 10**9
        port = PORTS.next_free()
        config = write_config_file(
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
            await wait_until_ready(port)
            await wait_until(lambda: discovery.bad_answers >= 3)
            assert await answered(port, "c1")
            discovery.repaired = True
            repaired_at = time.monotonic()
            await wait_until(lambda: discovery.drain_listed)
            assert time.monotonic() - repaired_at < KNOWN_AFTER_S
            await asyncio.sleep(DRAIN_GRACE_S)
            before = len(servers[0].requests)
            for number in range(4):
                assert await answered(port, f"d{number}")
            assert len(servers[0].requests) == before
        finally:
            program.send_signal(signal.SIGTERM)
            _, stderr = await program.communicate()
        lines = stderr.decode()
        assert any(line in text and f"(127.0.0.1:{discovery.port})" in text for text in lines.splitlines()), (
            lines
        )
        assert "Traceback" not in lines and program.returncode == 0, lines
        for peer in (*servers, discovery):
            peer.server.close()

    run(case())
