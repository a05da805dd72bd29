"""Requests that wait until discovery's updates are read, after the process was suspended."""

from __future__ import annotations

import asyncio
import math

import pytest

from garnethaven.net import client
from garnethaven.net.client import ClientConnection
from garnethaven.net.read_buffer import MAX_READ_BYTES
from tests.loopback import (
    ANSWER,
    Sidecar,
    answers_with,
    read_message,
    request,
    run,
    running_sidecar,
    wait_until,
)
from tests.test_flow import read_and_answer, read_answer, start_sidecar, upload


@pytest.fixture(autouse=True)
def long_deferral(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client, "DEFERRED_READ_S", 0.3)


async def only_connection(sidecar: Sidecar) -> ClientConnection:
    await wait_until(lambda: len(sidecar.listener.connections) == 1)
    (connection,) = sidecar.listener.connections
    assert isinstance(connection, ClientConnection)
    return connection


# The failure: all that clients wrote meanwhile was taken into memory, and counted for nothing.
def test_bytes_that_wait_are_bounded_and_counted_and_none_is_lost() -> None:
    async def case() -> None:
        sidecar, (server,) = await start_sidecar(read_and_answer)
        sidecar.listener.defer_until = math.inf
        reader, writer = await sidecar.connect()
        body = bytes(range(250)) * 4000
        writer.write(upload(len(body)) + body)
        connection = await only_connection(sidecar)
        await wait_until(lambda: bool(connection.deferred))
        await asyncio.sleep(0.05)
        assert len(connection.deferred) <= MAX_READ_BYTES
        assert sidecar.transport.pool.memory.used_bytes == len(connection.deferred)
        sidecar.listener.defer_until = 0.0
        assert await read_answer(reader) == (200, b"hello")
        assert server.bodies == [body]
        writer.close()

    run(case())


# The failure: a connection whose request waits counted as idle, and was closed with no answer.
@pytest.mark.parametrize("close", ["evict", "stop_reading"])
def test_a_connection_whose_request_waits_is_not_closed_as_idle(close: str) -> None:
    async def case() -> None:
        async with running_sidecar(answers_with(ANSWER)) as (sidecar, _):
            sidecar.listener.defer_until = math.inf
            reader, writer = await sidecar.connect()
            writer.write(request())
            connection = await only_connection(sidecar)
            await wait_until(lambda: bool(connection.deferred))
            assert not connection.is_idle() and not connection.is_evictable(math.inf)
            getattr(connection, close)()
            sidecar.listener.defer_until = 0.0
            head, body = await read_message(reader)
            assert (head.split()[1], body) == (b"200", b"hello")
            writer.close()

    run(case())
