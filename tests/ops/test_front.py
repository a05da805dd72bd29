"""The operators' address on loopback: calls, invalid input, stalled callers, and the effect of a cordon."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from garnethaven.addresses import Address
from garnethaven.net.connection import Connection
from garnethaven.net.upstream import Target
from garnethaven.ops.front import MAX_CONNECTIONS
from garnethaven.ops.service import OperatorService
from garnethaven.ops.shared import SharedCordons
from tests.loopback import ANSWER, WAIT_S, Sidecar, answers_with, request, run, running_sidecar, wait_until


async def open_ops(sidecar: Sidecar, folder: Path) -> tuple[OperatorService, int]:
    shared = SharedCordons(str(folder), "t", sidecar.engine.log)
    ops = OperatorService(
        ("127.0.0.1", 0),
        sidecar.engine,
        sidecar.transport,
        shared,
        sidecar.config.names.request_classes,
        lambda: not sidecar.listener.draining,
        lambda other_processes: None,
    )
    ops.prepare()
    await ops.open()
    return ops, ops.front.sock.getsockname()[1]


async def call(port: int, request_bytes: bytes) -> tuple[int, str]:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(request_bytes)
    answer = await asyncio.wait_for(reader.read(), WAIT_S)  # until the connection is closed
    writer.close()
    return int(answer.split()[1]), answer.partition(b"\r\n\r\n")[2].decode()


def operator_request(method: str, path: str) -> bytes:
    return f"{method} {path} HTTP/1.1\r\nHost: ops\r\n\r\n".encode()


def detach(name: str) -> bytes:
    return operator_request("POST", f"/_endpoints/detach/{name}")


def attach(name: str) -> bytes:
    return operator_request("POST", f"/_endpoints/attach/{name}")


@pytest.mark.parametrize(
    ("text", "status"),
    [
        (operator_request("GET", "/_ready"), 200),
        (operator_request("GET", "/_vars?x=1"), 200),
        (operator_request("POST", "/_ready"), 405),
        (operator_request("GET", "/_endpoints/detach/s0"), 405),
        (operator_request("GET", "/nothing"), 404),
        (operator_request("POST", "/_endpoints/detach/"), 404),
        (detach("s9"), 404),
        (detach("%ff%00"), 404),
        (attach("s9"), 404),
        (attach("s0"), 200),
        (detach("%730"), 200),  # s0
        (b"\x00noise\r\n", 400),
        (b"GET / HTTP/1.1\r\nX: " + b"x" * 20_000, 431),
    ],
)
def test_a_call_has_its_answer(text: bytes, status: int, tmp_path: Path) -> None:
    async def case() -> None:
        async with running_sidecar(answers_with(ANSWER)) as (sidecar, _):
            ops, port = await open_ops(sidecar, tmp_path)
            assert (await call(port, text))[0] == status
            ops.close()

    run(case())


def test_ready_says_no_while_the_planned_end_runs(tmp_path: Path) -> None:
    async def case() -> None:
        async with running_sidecar(answers_with(ANSWER)) as (sidecar, _):
            ops, port = await open_ops(sidecar, tmp_path)
            sidecar.listener.drain()
            assert (await call(port, operator_request("GET", "/_ready")))[0] == 503
            ops.close()

    run(case())


def test_callers_that_stall_keep_nobody_out(tmp_path: Path) -> None:
    async def case() -> None:
        async with running_sidecar(answers_with(ANSWER)) as (sidecar, _):
            ops, port = await open_ops(sidecar, tmp_path)
            stalled = [await asyncio.open_connection("127.0.0.1", port) for _ in range(MAX_CONNECTIONS)]
            for _, writer in stalled:
                writer.write(b"GET /_ready HT")
            for _ in range(3):
                assert (await call(port, operator_request("GET", "/_ready")))[0] == 200
            # The oldest connection is closed.
            assert await asyncio.wait_for(stalled[0][0].read(), WAIT_S) == b""
            for _, writer in stalled:
                writer.close()
            ops.close()

    run(case())


def test_nothing_goes_to_what_is_out_whatever_the_list_says(tmp_path: Path) -> None:
    async def case() -> None:
        async with running_sidecar(answers_with(ANSWER), answers_with(ANSWER)) as (sidecar, (first, second)):
            ops, port = await open_ops(sidecar, tmp_path)
            assert (await call(port, detach("s0")))[0] == 200
            members = [first.member("s0"), second.member("s1")]
            for listed in (members, members[1:], members):  # removed from discovery's list and added again
                sidecar.set_members(listed)
                for number in range(6):
                    assert (await sidecar.ask(request(X_Call_Id=f"{len(listed)}-{number}")))[0] == 200
            assert first.requests == [] and len(second.requests) == 18
            assert (
                "edge_node_endpoints_excluded 1" in (await call(port, operator_request("GET", "/_vars")))[1]
            )
            assert (await call(port, attach("s0")))[0] == 200
            while not first.requests:
                await sidecar.ask(request(X_Call_Id=f"b{len(second.requests)}"))
            ops.close()

    run(case())


def test_with_all_of_them_out_requests_are_refused_at_once(tmp_path: Path) -> None:
    async def case() -> None:
        async with running_sidecar(answers_with(ANSWER)) as (sidecar, (peer,)):
            ops, port = await open_ops(sidecar, tmp_path)
            assert (await call(port, detach("s0")))[0] == 200
            assert (await sidecar.ask(request()))[0] == 503 and peer.requests == []
            ops.close()
            ops, port = await open_ops(sidecar, tmp_path)  # as the next version does at its start
            assert ops.shared.cordons.cordoned == {"s0"}
            ops.close()

    run(case())


def test_figures_are_what_peers_saw(tmp_path: Path) -> None:
    async def case() -> None:
        refusal = b"HTTP/1.1 503 Busy\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
        async with running_sidecar(answers_with(ANSWER), answers_with(refusal)) as (sidecar, peers):
            ops, port = await open_ops(sidecar, tmp_path)
            statuses = [(await sidecar.ask(request(X_Call_Id=f"c{n}")))[0] for n in range(12)]
            metrics = (await call(port, operator_request("GET", "/_vars")))[1]
            assert f'edge_node_served{{class="check"}} {statuses.count(200)}' in metrics
            assert f'edge_node_refused{{class="check"}} {statuses.count(503)}' in metrics
            assert f"edge_node_attempts {sum(len(peer.requests) for peer in peers)}" in metrics
            assert "edge_node_in_flight 0" in metrics
            ops.close()

    run(case())


def test_what_waits_for_a_dial_goes_elsewhere_when_its_endpoint_goes_out(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    connect = Target._connect

    async def case() -> None:
        async with running_sidecar(answers_with(ANSWER), answers_with(ANSWER)) as (sidecar, (first, second)):
            ops, port = await open_ops(sidecar, tmp_path)

            async def connect_or_hang(target: Target, address: Address) -> Connection:
                if address[1] == first.port:
                    await asyncio.Event().wait()
                return await connect(target, address)

            monkeypatch.setattr(Target, "_connect", connect_or_hang)
            sidecar.transport.dial_timeout = WAIT_S
            request_bytes = request(Idempotency_Key="")  # without a key, the request is not hedged
            tasks = [
                asyncio.create_task(sidecar.ask(request_bytes.replace(b"c1", b"c%d" % n, 1)))
                for n in range(10, 14)
            ]
            await wait_until(lambda: len(second.requests) == 2)
            assert (await call(port, detach("s0")))[0] == 200
            assert [status for status, _ in await asyncio.gather(*tasks)] == [200] * 4
            assert first.requests == [] and len(second.requests) == 4
            ops.close()

    run(case())


def test_one_that_comes_back_at_another_address_stays_out(tmp_path: Path) -> None:
    async def case() -> None:
        async with running_sidecar(answers_with(ANSWER), answers_with(ANSWER), answers_with(ANSWER)) as (
            sidecar,
            (first, second, third),
        ):
            ops, port = await open_ops(sidecar, tmp_path)
            sidecar.set_members([first.member("s0"), second.member("s1")])
            assert (await call(port, detach("s0")))[0] == 200
            sidecar.set_members([second.member("s1")])
            assert (await call(port, detach("s0")))[0] == 200  # not listed, but already cordoned
            sidecar.set_members([third.member("s0"), second.member("s1")])
            for number in range(6):
                assert (await sidecar.ask(request(X_Call_Id=f"c{number}")))[0] == 200
            assert first.requests == third.requests == []
            assert (await call(port, attach("s0")))[0] == 200
            while not third.requests:
                await sidecar.ask(request(X_Call_Id=f"b{len(second.requests)}"))
            ops.close()

    run(case())
