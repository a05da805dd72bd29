"""Draining resets no connected client, at any of the three fronts.

The kernel resets the connections in the backlog when a listening socket is closed, even if their clients have
sent requests.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterator

import pytest

from garnethaven.backlog import (
    backlog_length,
    duplicate,
    duplicate_listening_sockets,
    prefer_newer_listener,
    stop_arrivals,
    wait_until_empty,
)
from garnethaven.engine.engine import Engine
from garnethaven.net import listener as listening
from tests.extproc.test_front import processor_harness as processor_stage
from tests.grpcs.raw import GOAWAY, PREFACE, SETTINGS, frame
from tests.grpcs.test_on_sockets import answer_in_brackets
from tests.grpcs.test_on_sockets import grpc_harness as grpc_stage
from tests.loopback import (
    ANSWER,
    WAIT_S,
    answers_with,
    never_answers,
    request,
    run,
    running_sidecar,
    wait_until,
)

MANY = 60


@contextlib.contextmanager
def listener() -> Iterator[socket.socket]:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        sock.listen(64)
        sock.setblocking(False)
        yield sock


def connected(port: int, data: bytes) -> socket.socket:
    """A client that has sent `data`, whether or not the server accepts the connection."""
    sock = socket.create_connection(("127.0.0.1", port), WAIT_S)
    sock.sendall(data)
    return sock


def read_all(sock: socket.socket) -> bytes:
    """Everything received until the end of the stream; raises ConnectionResetError on a reset."""
    with sock:
        sock.settimeout(WAIT_S)
        parts = []
        while part := sock.recv(65536):
            parts.append(part)
    return b"".join(parts)


def test_after_the_stop_what_has_arrived_is_accepted_and_no_more_arrives() -> None:
    with listener() as sock:
        port = sock.getsockname()[1]
        clients = [connected(port, b"x") for _ in range(5)]
        assert backlog_length(sock) == 5
        stop_arrivals(sock)
        refused = socket.socket()
        refused.settimeout(0.2)
        with pytest.raises(OSError):
            refused.connect(("127.0.0.1", port))
        refused.close()
        assert backlog_length(sock) == 5
        for client in clients:
            accepted, _ = sock.accept()
            accepted.settimeout(WAIT_S)
            assert accepted.recv(1) == b"x"
            accepted.close()
            client.close()
        assert backlog_length(sock) == 0


def test_waiting_for_an_empty_backlog_ends_with_the_last_accept_and_never_hangs() -> None:
    async def case() -> None:
        with listener() as sock:
            clients = [connected(sock.getsockname()[1], b"x") for _ in range(3)]
            ending = asyncio.create_task(wait_until_empty([sock]))
            for _ in clients:
                await asyncio.sleep(0.02)
                assert not ending.done()
                sock.accept()[0].close()
            await ending
            for client in clients:
                client.close()
        with listener() as sock, connected(sock.getsockname()[1], b"x"):
            await wait_until_empty([sock])  # no connection is accepted: it returns at its time limit
            assert backlog_length(sock) == 1

    run(case())


def test_the_own_listening_sockets_are_found_by_their_port() -> None:
    with listener() as sock, listener() as other:
        (found,) = duplicate_listening_sockets(sock.getsockname()[1])
        with found, duplicate(other.fileno()) as twin:
            assert found.getsockname() == sock.getsockname()
            assert twin.getsockname() == other.getsockname()
        assert sock.fileno() > 0
        with connected(sock.getsockname()[1], b"x"):  # closing the duplicate leaves the socket open
            sock.accept()[0].close()


def test_a_full_backlog_of_a_draining_sidecar_is_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(listening, "DRAIN_LISTEN_S", 0.0)
    monkeypatch.setattr(listening, "DRAIN_LISTEN_MOST_S", 0.0)

    async def case() -> None:
        async with running_sidecar(answers_with(ANSWER), connections=4) as (sidecar, _):
            # The loop does not run in between: all connections wait in the backlog, more than the limit.
            clients = [connected(sidecar.port, request(X_Call_Id=f"b{n}")) for n in range(MANY)]
            sidecar.listener.drain()
            answers = await asyncio.gather(*(asyncio.to_thread(read_all, client) for client in clients))
            assert {answer.split(b" ")[1] for answer in answers} <= {b"200", b"503"}
            assert all(b"Connection: close" in answer for answer in answers)
            await sidecar.listener.finished

    run(case())


def test_a_new_connection_may_still_ask_when_idle_ones_are_closed() -> None:
    async def case() -> None:
        async with running_sidecar(answers_with(ANSWER)) as (sidecar, _):
            reader, writer = await sidecar.connect()
            await wait_until(lambda: len(sidecar.listener.connections) == 1)
            sidecar.listener._close_idle()
            writer.write(request())
            assert (await reader.readuntil(b"\r\n")).startswith(b"HTTP/1.1 200")
            writer.close()

    run(case())


def test_a_backlog_that_finds_no_place_is_told_in_the_log(monkeypatch: pytest.MonkeyPatch) -> None:
    logged: list[str] = []
    monkeypatch.setattr(listening, "DRAIN_LISTEN_S", 0.0)
    monkeypatch.setattr(listening, "DRAIN_LISTEN_MOST_S", 0.0)
    monkeypatch.setattr(listening, "DRAIN_BACKLOG_S", 0.0)
    monkeypatch.setattr(
        listening, "OVERFLOW", 0
    )  # accept no connection beyond the limit, not even to refuse it
    monkeypatch.setattr(Engine, "log", lambda self, text: logged.append(text))

    async def case() -> None:
        async with running_sidecar(never_answers, connections=4) as (sidecar, _):
            clients = [
                connected(sidecar.port, request(X_Call_Id=f"b{n}", X_Budget_Ms="300")) for n in range(MANY)
            ]
            sidecar.listener.drain()
            await sidecar.listener.finished
            for client in clients:
                client.close()

    run(case())
    assert any("found no place" in text for text in logged)


def test_a_full_backlog_of_a_draining_grpc_front_is_told_to_go_elsewhere() -> None:
    async def case() -> None:
        async with grpc_stage(answer_in_brackets) as made:
            hello = PREFACE + frame(SETTINGS, 0, 0)
            clients = [connected(made.front.port, hello) for _ in range(MANY)]
            reading = [asyncio.create_task(asyncio.to_thread(read_all, client)) for client in clients]
            await made.front.close(5.0)
            for answer in await asyncio.gather(*reading):
                types = list(frame_types(answer))
                assert types[0] == SETTINGS and GOAWAY in types

    run(case())


def frame_types(data: bytes) -> Iterator[int]:
    """The types of the HTTP/2 frames in `data`."""
    while data:
        yield data[3]
        data = data[9 + int.from_bytes(data[:3], "big") :]


def test_a_full_backlog_of_a_draining_processor_is_told_to_go_elsewhere() -> None:
    async def case() -> None:
        async with processor_stage() as made:
            hello = PREFACE + frame(SETTINGS, 0, 0)
            clients = [connected(made.front.port, hello) for _ in range(6 * MANY)]
            reading = [asyncio.create_task(asyncio.to_thread(first_frame, client)) for client in clients]
            await made.front.close(5.0)
            assert {answer[3:4] for answer in await asyncio.gather(*reading)} == {b"\x04"}

    run(case())


def first_frame(sock: socket.socket) -> bytes:
    with sock:
        return sock.recv(9)


def listen(port: int = 0) -> socket.socket:
    """A listening socket that shares its port."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.bind(("127.0.0.1", port))
    sock.listen(64)
    sock.setblocking(False)
    return sock


def test_new_connections_go_to_whoever_listened_next_and_to_oneself_when_alone() -> None:
    with listen() as alone:
        port = alone.getsockname()[1]
        assert prefer_newer_listener(alone)
        with contextlib.closing(socket.create_connection(("127.0.0.1", port), timeout=WAIT_S)):
            assert backlog_length(alone) == 1
    old = listen()
    port = old.getsockname()[1]
    new = listen(port)
    with contextlib.ExitStack() as stack:
        stack.enter_context(old)
        stack.enter_context(new)
        assert prefer_newer_listener(old)
        for _ in range(40):
            stack.enter_context(socket.create_connection(("127.0.0.1", port), timeout=WAIT_S))
        assert (backlog_length(old), backlog_length(new)) == (0, 40)
        old.close()
        third = stack.enter_context(listen(port))  # the filter program stays attached to the group
        stack.enter_context(socket.create_connection(("127.0.0.1", port), timeout=WAIT_S))
        assert (backlog_length(new), backlog_length(third)) == (40, 1)
        third.close()
        stack.enter_context(socket.create_connection(("127.0.0.1", port), timeout=WAIT_S))
        assert backlog_length(new) == 41
