"""Requests that are read long after they arrived: their time counts from their arrival."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from tests.loopback import ANSWER, Sidecar, request, run, running_sidecar

HELD_UP_S = 1.2
BUDGET_S = 1.0
GRACE_S = 0.5  # after its time a final answer counts as late, and later as lost
LONG_BYTES = 200_000
SEND_BUFFER_BYTES = 1024 * 1024


async def answers_only_the_first(
    head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    if b"X-Call-Id: first" in head:
        writer.write(ANSWER)
    else:
        await reader.read()
        raise ConnectionError


async def read_status(sock: socket.socket) -> int:
    loop = asyncio.get_running_loop()
    return int((await loop.sock_recv(sock, 65536)).split()[1])


async def kept_connection(sidecar: Sidecar) -> socket.socket:
    sock = await sidecar.plain()
    sock.send(request(X_Call_Id="first"))
    assert await read_status(sock) == 200
    return sock


def write_request(sock: socket.socket, size: int) -> float:
    """Write a whole request at once; returns the time after its last byte."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    data = request(X_Budget_Ms=str(int(BUDGET_S * 1000)), Content_Length=str(size))[:-2] + bytes(size)
    assert sock.send(data) == len(data)
    return time.monotonic()


# The failure: the time began when the process went on and read the request, so the answer came 1.2 s late.
@pytest.mark.parametrize("size", [2, LONG_BYTES])
@pytest.mark.parametrize("is_kept", [True, False])
def test_a_request_that_arrived_while_the_process_was_held_up_is_answered_in_its_time(
    is_kept: bool, size: int
) -> None:
    async def case() -> None:
        async with running_sidecar(answers_only_the_first) as (sidecar, _):
            sock = await (kept_connection(sidecar) if is_kept else sidecar.plain())
            await asyncio.sleep(0.1)
            written_at = write_request(sock, size)
            time.sleep(HELD_UP_S)  # holds up the sidecar, which runs in this process
            assert await read_status(sock) in (503, 504)
            assert time.monotonic() - written_at < BUDGET_S + GRACE_S
            sock.close()

    run(case())


# The failure: the time began when the connection was accepted.
@pytest.mark.parametrize("size", [2, LONG_BYTES])
def test_a_request_on_a_connection_that_waits_to_be_accepted_is_answered_in_its_time(size: int) -> None:
    async def case() -> None:
        async with running_sidecar(answers_only_the_first) as (sidecar, _):
            sidecar.listener.accept_paused_until = asyncio.get_running_loop().time() + HELD_UP_S
            sidecar.listener._pause_accepting()
            sock = await sidecar.plain()
            written_at = write_request(sock, size)
            assert await read_status(sock) in (503, 504)
            assert time.monotonic() - written_at < BUDGET_S + GRACE_S
            sock.close()

    run(case())
