"""Long requests that a server reads slowly: their time counts from when the client wrote the last byte."""

from __future__ import annotations

import asyncio
import socket

import pytest

from garnethaven.connections.pool import PlannedTarget
from garnethaven.limits.budgets import BufferMemory
from garnethaven.net.upstream import Target
from standins.slow_server import AnswerPlan, Framing, ReadPlan, ServerPlan, SlowServer
from tests.connections.planned import use_planned_pool
from tests.loopback import ANSWER, Sidecar, request, run, wait_until
from tests.test_flow import Serve, Server, chunked, read_answer, upload

BUFFER_BYTES = 64 * 1024  # between the sidecar and the server, so that the server stops the sidecar soon
BODY = bytes(range(250)) * 4800
BUDGET_S = 1.0
SLACK_S = 0.25
RATE = 600_000.0  # bytes that a slow server reads a second


@pytest.fixture(autouse=True)
def small_buffers(monkeypatch: pytest.MonkeyPatch) -> None:
    def prepare(target: Target, sock: socket.socket) -> None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)

    monkeypatch.setattr(Target, "prepare", prepare)


def reads_after(pause_s: float) -> Serve:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, server: Server) -> None:
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        await asyncio.sleep(pause_s)
        writer.transport.resume_reading()  # type: ignore[attr-defined]
        await server.body(reader)
        writer.write(ANSWER)

    return serve


async def start(pause_s: float) -> tuple[Sidecar, Server]:
    server = Server(reads_after(pause_s))
    listening = socket.create_server(("127.0.0.1", 0))
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    server.server = await asyncio.start_server(server._connection, sock=listening)
    port = listening.getsockname()[1]
    return Sidecar([{"id": "s0", "host_port": f"127.0.0.1:{port}", "phase": "SERVING", "cell": 0}]), server


def long_request() -> bytes:
    return upload(len(BODY), X_Budget_Ms=str(int(BUDGET_S * 1000)), Idempotency_Key="")


# The failure: the time began only when the last byte was read, seconds after the client had written it.
def test_a_request_that_its_server_reads_too_slowly_is_answered_in_its_time() -> None:
    async def case() -> None:
        sidecar, _ = await start(3.0 * BUDGET_S)
        loop, sock = asyncio.get_running_loop(), await sidecar.plain()
        await loop.sock_sendall(sock, long_request() + BODY)
        written_at = loop.time()
        received = await loop.sock_recv(sock, 65536)
        assert loop.time() - written_at < BUDGET_S + SLACK_S
        assert int(received.split()[1]) in (502, 503, 504)
        sock.close()
        assert not sidecar.engine.calls

    run(case())


# The failure to guard against: a client that pauses while it writes counts as one that has written all.
def test_a_client_that_pauses_while_it_writes_is_served_by_a_server_that_pauses() -> None:
    async def case() -> None:
        sidecar, server = await start(0.8 * BUDGET_S)
        reader, writer = await sidecar.connect()
        writer.write(long_request() + BODY[: len(BODY) // 2])
        await asyncio.sleep(1.5 * BUDGET_S)
        writer.write(BODY[len(BODY) // 2 :])
        assert await read_answer(reader) == (200, b"hello")
        assert server.bodies == [BODY]
        writer.write(request(X_Call_Id="behind"))
        assert (await read_answer(reader))[0] == 200
        writer.close()

    run(case())


# The failure to guard against: a server that pauses for less than the request's time loses it.
def test_a_request_that_its_server_reads_slowly_is_served() -> None:
    async def case() -> None:
        sidecar, server = await start(0.6 * BUDGET_S)
        reader, writer = await sidecar.connect()
        writer.write(long_request() + BODY)
        assert await read_answer(reader) == (200, b"hello")
        assert server.bodies == [BODY]
        writer.close()

    run(case())


def long_chunked_request() -> bytes:
    return upload(None, X_Budget_Ms=str(int(BUDGET_S * 1000)), Idempotency_Key="") + chunked(BODY, 4096)


# The failure: the time of a body in chunks began when its last byte was read, which was late or never.
@pytest.mark.parametrize("pool", ["usual", "planned"])
@pytest.mark.parametrize("offer", ["", "h2c"], ids=["plain", "offers an upgrade"])
def test_a_request_in_chunks_that_its_server_reads_too_slowly_is_answered_in_its_time(
    pool: str, offer: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    if pool == "planned":
        use_planned_pool(monkeypatch)
        monkeypatch.setattr(PlannedTarget, "prepare", Target.prepare)

    async def case() -> None:
        sidecar, _ = await start(3.0 * BUDGET_S)
        loop, sock = asyncio.get_running_loop(), await sidecar.plain()
        headers = {"Connection": "Upgrade", "Upgrade": offer} if offer else {}
        head = upload(None, X_Budget_Ms=str(int(BUDGET_S * 1000)), Idempotency_Key="", **headers)
        await loop.sock_sendall(sock, head + chunked(BODY, 4096))
        written_at = loop.time()
        received = await loop.sock_recv(sock, 65536)
        assert loop.time() - written_at < BUDGET_S + SLACK_S
        assert int(received.split()[1]) in (502, 503, 504)
        sock.close()
        assert not sidecar.engine.calls

    run(case())


# The failure: the kernel ended planned connections on which a server took nothing for 2 s.
@pytest.mark.parametrize("framing", ["chunked", "length"])
def test_a_server_that_takes_nothing_for_a_while_keeps_its_planned_connection(
    framing: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    use_planned_pool(monkeypatch)
    prepare_planned = PlannedTarget.prepare

    def prepare(target: PlannedTarget, sock: socket.socket) -> None:
        prepare_planned(target, sock)
        Target.prepare(target, sock)

    monkeypatch.setattr(PlannedTarget, "prepare", prepare)

    async def case() -> None:
        sidecar, _ = await start(2.6)
        loop, sock = asyncio.get_running_loop(), await sidecar.plain()
        in_chunks = framing == "chunked"
        head = upload(None if in_chunks else len(BODY), X_Budget_Ms="3000", Idempotency_Key="")
        await loop.sock_sendall(sock, head + (chunked(BODY, 4096) if in_chunks else BODY))
        received = await loop.sock_recv(sock, 65536)
        assert int(received.split()[1]) == 200
        sock.close()

    run(case())


# The failure: where kernels held more of a body than was assumed, its time began with the last read byte.
@pytest.mark.parametrize("framing", ["chunked", "length"])
def test_a_request_that_may_not_be_read_ahead_is_answered_in_its_time(
    framing: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(BufferMemory, "read_ahead_bytes", lambda memory, size: 0)

    async def case() -> None:
        sidecar, _ = await start(4.0 * BUDGET_S)
        loop, sock = asyncio.get_running_loop(), await sidecar.plain()
        body = BODY * 3  # 3.6 MB, which the client's kernel takes at once
        headers = {"X_Budget_Ms": str(int(BUDGET_S * 1000)), "Idempotency_Key": ""}
        message = upload(len(body), **headers) + body
        if framing == "chunked":
            message = upload(None, **headers) + chunked(body, 4096)
        await loop.sock_sendall(sock, message)
        written_at = loop.time()
        received = await loop.sock_recv(sock, 65536)
        assert loop.time() - written_at < BUDGET_S + SLACK_S
        assert int(received.split()[1]) in (502, 503, 504)
        sock.close()

    run(case())


# The failure to guard against: a client that pauses in a body in chunks counts as one that has written all.
def test_a_client_that_pauses_in_chunks_is_served_by_a_server_that_pauses() -> None:
    async def case() -> None:
        sidecar, server = await start(0.8 * BUDGET_S)
        reader, writer = await sidecar.connect()
        message = long_chunked_request()
        writer.write(message[: len(message) // 2])
        await asyncio.sleep(1.5 * BUDGET_S)
        writer.write(message[len(message) // 2 :])
        assert await read_answer(reader) == (200, b"hello")
        assert server.bodies == [BODY]
        writer.close()

    run(case())


# The failure to guard against: bodies that are read ahead take the memory of all other requests.
def test_bodies_read_ahead_leave_half_of_the_account_and_give_all_of_it_back() -> None:
    async def case() -> None:
        sidecar, _ = await start(60.0)
        memory = sidecar.transport.pool.memory
        memory.max_bytes = 2 * 1024 * 1024
        clients = [await sidecar.plain() for _ in range(8)]
        loop = asyncio.get_running_loop()
        for number, sock in enumerate(clients):
            headers = {"X_Budget_Ms": "2000", "Idempotency_Key": "", "X_Call_Id": f"c{number}"}
            await loop.sock_sendall(sock, upload(None, **headers) + chunked(BODY, 4096))
        await wait_until(lambda: bool(sidecar.engine.calls))
        highest = 0
        while sidecar.engine.calls:
            highest = max(highest, memory.used_bytes)
            await asyncio.sleep(0.01)
        assert memory.max_bytes * 0.25 < highest < memory.max_bytes
        for sock in clients:
            sock.close()
        await wait_until(lambda: memory.used_bytes == 0)

    run(case())


# The failure to guard against: a complete body that its server has not taken is in nobody's account.
def test_what_a_server_has_not_taken_of_a_complete_body_is_in_the_account() -> None:
    async def case() -> None:
        sidecar, _ = await start(60.0)
        memory = sidecar.transport.pool.memory
        sock = await sidecar.plain()
        headers = {"X_Budget_Ms": "2000", "Idempotency_Key": ""}
        await asyncio.get_running_loop().sock_sendall(sock, upload(None, **headers) + chunked(BODY, 4096))
        await wait_until(lambda: bool(sidecar.engine.calls))
        (call,) = sidecar.engine.calls.values()
        await wait_until(lambda: not call.body_incomplete)
        await asyncio.sleep(0.3)  # the account is brought up to date every 0.2 s
        assert memory.used_bytes > len(BODY) // 2
        sock.close()
        await wait_until(lambda: memory.used_bytes == 0)

    run(case())


# The failure to guard against: reading ahead begins the time of a client that its server's pace held back.
@pytest.mark.parametrize("framing", ["chunked", "length"])
def test_a_client_with_small_buffers_is_served_by_a_server_that_is_slow(framing: str) -> None:
    async def case() -> None:
        plan = ServerPlan(ReadPlan(bytes_per_s=RATE), AnswerPlan(Framing.LENGTH, 5))
        server = await SlowServer("s0", lambda call_id: plan, BUFFER_BYTES).start()
        sidecar = Sidecar([server.member()])
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 32 * 1024)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, ("127.0.0.1", sidecar.port))
        message = long_chunked_request() if framing == "chunked" else long_request() + BODY
        began_at = loop.time()
        await loop.sock_sendall(sock, message)
        assert loop.time() - began_at > 0.75 * BUDGET_S
        received = await loop.sock_recv(sock, 65536)
        assert int(received.split()[1]) == 200
        assert loop.time() - began_at > 1.5 * BUDGET_S
        sock.close()
        await server.close()

    run(case())
