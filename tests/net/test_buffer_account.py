"""The account of buffered bytes on sockets: what is counted, and what happens while it is full."""

from __future__ import annotations

import asyncio
import socket

import pytest

from garnethaven.engine.account import CallResult
from garnethaven.limits.budgets import PROTECTED_BYTES
from garnethaven.net.client import ClientConnection
from garnethaven.net.read_buffer import MAX_READ_BYTES, MIN_READ_BYTES
from tests.loopback import ANSWER, Sidecar, answers_with, request, run, running_sidecar, wait_until
from tests.test_flow import chunked, read_and_answer, read_answer, sends_answer, start_sidecar, upload


def fill_account(sidecar: Sidecar) -> None:
    sidecar.transport.pool.memory.reserve(sidecar.transport.pool.memory.max_bytes + 1)


def used_bytes(sidecar: Sidecar) -> int:
    return sidecar.transport.pool.memory.used_bytes


def only_connection(sidecar: Sidecar) -> ClientConnection:
    (connection,) = sidecar.listener.connections
    assert isinstance(connection, ClientConnection)
    return connection


HALF_REQUESTS = {
    "head": request()[:-4] + b"X-Half: " + b"h" * 20_000,
    "body": upload(60_000) + b"b" * 20_000,
    "chunked body": upload(None) + b"5000\r\n" + b"b" * 0x4000,
}


# The failure: requests that were half written counted for nothing, however many there were.
@pytest.mark.parametrize("text", HALF_REQUESTS.values(), ids=HALF_REQUESTS)
def test_half_a_request_is_counted_until_its_client_leaves(text: bytes) -> None:
    async def case() -> None:
        async with running_sidecar(answers_with(ANSWER)) as (sidecar, _):
            _, writer = await sidecar.connect()
            writer.write(text)
            await wait_until(lambda: used_bytes(sidecar) >= 16_000)
            assert used_bytes(sidecar) < 30_000
            writer.close()
            await wait_until(lambda: used_bytes(sidecar) == 0)

    run(case())


# The failure to guard against: a request that does not fit is closed without an answer, or waits for good.
@pytest.mark.parametrize("text", HALF_REQUESTS.values(), ids=HALF_REQUESTS)
def test_half_a_request_that_does_not_fit_is_refused_with_an_answer(text: bytes) -> None:
    async def case() -> None:
        async with running_sidecar(answers_with(ANSWER)) as (sidecar, (peer,)):
            fill_account(sidecar)
            full = used_bytes(sidecar)
            reader, writer = await sidecar.connect()
            writer.write(text)
            assert (await read_answer(reader))[0] == 503
            assert used_bytes(sidecar) == full and not peer.requests
            assert sidecar.engine.account.ended[CallResult.REFUSED] == [1]
            assert (await sidecar.ask(request(X_Call_Id="short")))[0] == 200
            writer.close()

    run(case())


# The failure to guard against: answers that don't fit are lost although they could be passed on.
@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_an_answer_that_does_not_fit_is_passed_on_as_it_comes(framing: str) -> None:
    async def case() -> None:
        body = bytes(range(250)) * 200
        head = b"HTTP/1.1 200 OK\r\n"
        answer = head + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
        if framing == "chunked":
            answer = head + b"Transfer-Encoding: chunked\r\n\r\n" + chunked(body, 100)
        sidecar, _ = await start_sidecar(sends_answer(answer))
        fill_account(sidecar)
        full = used_bytes(sidecar)
        reader, writer = await sidecar.connect()
        writer.write(request())
        assert await read_answer(reader) == (200, body)
        assert used_bytes(sidecar) == full
        writer.close()

    run(case())


# The failure: a body that came in small pieces took an object a piece, many times its bytes.
def test_a_body_in_small_pieces_is_kept_in_its_bytes() -> None:
    async def case() -> None:
        sidecar, (server,) = await start_sidecar(read_and_answer)
        server.server.close()
        await server.server.wait_closed()
        _, writer = await sidecar.connect()
        writer.write(upload(None) + b"1\r\nx\r\n" * 60_000)
        await wait_until(lambda: bool(sidecar.listener.connections))
        connection = only_connection(sidecar)
        await wait_until(
            lambda: connection.incoming is not None and connection.incoming.body_size() == 60_000
        )
        assert used_bytes(sidecar) < 65_000
        writer.close()

    run(case())


# The failure to guard against: one read takes more than the account has left.
def test_reads_are_bounded_and_small_while_the_account_is_full(monkeypatch: pytest.MonkeyPatch) -> None:
    sizes: list[int] = []
    data_received = ClientConnection.data_received

    def record_size(connection: ClientConnection, data: bytes) -> None:
        sizes.append(len(data))
        data_received(connection, data)

    monkeypatch.setattr(ClientConnection, "data_received", record_size)

    async def case() -> None:
        sidecar, _ = await start_sidecar(read_and_answer)
        reader, writer = await sidecar.connect()
        writer.write(upload(300_000) + b"b" * 300_000)
        assert (await read_answer(reader))[0] == 200
        assert max(sizes) == MAX_READ_BYTES
        sizes.clear()
        fill_account(sidecar)
        writer.write(request(X_Call_Id="c2", X_Long="v" * (PROTECTED_BYTES // 2)))
        assert (await read_answer(reader))[0] == 200
        assert max(sizes) <= MIN_READ_BYTES
        writer.close()

    run(case())


# The failure: a client that reads no answers was served on, and its answers were kept without a bound.
def test_a_client_that_reads_no_answers_has_no_further_requests_served() -> None:
    async def case() -> None:
        body = bytes(60_000)
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        async with running_sidecar(answers_with(answer)) as (sidecar, (peer,)):
            loop, sock = asyncio.get_running_loop(), socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.setblocking(False)
            await loop.sock_connect(sock, ("127.0.0.1", sidecar.port))
            await wait_until(lambda: bool(sidecar.listener.connections))
            connection = only_connection(sidecar)
            connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            for number in range(8):
                await loop.sock_sendall(sock, request(X_Call_Id=f"c{number}"))
            await wait_until(lambda: connection.write_paused)
            await asyncio.sleep(0.2)
            assert len(peer.requests) < 8
            assert connection.transport.get_write_buffer_size() <= used_bytes(sidecar) < 80_000
            received = 0
            while received < 8 * len(body):
                received += len(await loop.sock_recv(sock, 65536))
            assert len(peer.requests) == 8
            sock.close()

    run(case())


# The failure to guard against: a pause for unread answers that ends after another pause is never ended.
def test_a_client_that_reads_late_after_an_invalid_request_is_read_again() -> None:
    async def case() -> None:
        async with running_sidecar(answers_with(ANSWER)) as (sidecar, _):
            reader, writer = await sidecar.connect()
            writer.write(request(X_Call_Class="unknown"))
            assert (await read_answer(reader))[0] == 400
            connection = only_connection(sidecar)
            connection.pause_writing()
            await wait_until(lambda: not connection.penalised)
            connection.resume_writing()
            writer.write(request())
            assert await read_answer(reader) == (200, b"hello")
            writer.close()

    run(case())
