"""A link forwards, holds, delays and drops bytes per direction, and refuses connections when cut."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from standins.link import Direction, Link

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while data := await reader.read(1000):
        writer.write(data.upper())


@asynccontextmanager
async def linked() -> AsyncIterator[tuple[Link, asyncio.Server]]:
    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    link = await Link("a-b", server.sockets[0].getsockname()[1]).open()
    try:
        yield link, server
    finally:
        await link.close()
        server.close()


async def exchange(streams: Streams, text: bytes) -> bytes:
    streams[1].write(text)
    return await asyncio.wait_for(streams[0].readexactly(len(text)), 2.0)


def test_it_passes_on_holds_and_delays_in_order() -> None:
    async def scenario() -> None:
        async with linked() as (link, _):
            streams = await asyncio.open_connection("127.0.0.1", link.port)
            assert await exchange(streams, b"one") == b"ONE"
            link.faults[Direction.FROM_TARGET].held = True
            streams[1].write(b"two")
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(streams[0].read(1), 0.1)
            await link.mend()
            assert await asyncio.wait_for(streams[0].readexactly(3), 2.0) == b"TWO"
            link.faults[Direction.TO_TARGET].delay_s = 0.1
            before = asyncio.get_running_loop().time()
            assert await exchange(streams, b"three") == b"THREE"
            assert asyncio.get_running_loop().time() - before >= 0.099

    asyncio.run(scenario())


def test_a_connection_that_lost_bytes_is_reset_when_the_fault_ends_and_others_go_on() -> None:
    async def scenario() -> None:
        async with linked() as (link, _):
            lost = await asyncio.open_connection("127.0.0.1", link.port)
            kept = await asyncio.open_connection("127.0.0.1", link.port)
            assert await exchange(lost, b"a") == await exchange(kept, b"a") == b"A"
            link.faults[Direction.TO_TARGET].dropped = True
            lost[1].write(b"gone")
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(lost[0].read(1), 0.1)
            await link.mend()
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                await asyncio.wait_for(lost[0].readexactly(1), 2.0)
            assert await exchange(kept, b"b") == b"B"

    asyncio.run(scenario())


def test_a_cut_resets_and_refuses_until_it_is_mended_at_the_same_port() -> None:
    async def scenario() -> None:
        async with linked() as (link, _):
            streams = await asyncio.open_connection("127.0.0.1", link.port)
            assert await exchange(streams, b"a") == b"A"
            link.cut()
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                await asyncio.wait_for(streams[0].readexactly(1), 2.0)
            with pytest.raises(ConnectionError):
                await asyncio.open_connection("127.0.0.1", link.port)
            await link.mend()
            assert await exchange(await asyncio.open_connection("127.0.0.1", link.port), b"b") == b"B"

    asyncio.run(scenario())


def test_who_does_not_listen_is_not_reached_through_it_either() -> None:
    async def scenario() -> None:
        async with linked() as (link, server):
            server.close()
            await server.wait_closed()
            streams = await asyncio.open_connection("127.0.0.1", link.port)
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                await asyncio.wait_for(streams[0].readexactly(1), 2.0)
            link.stop_listening()
            with pytest.raises(ConnectionError):
                await asyncio.open_connection("127.0.0.1", link.port)

    asyncio.run(scenario())
