"""Requests whose framing has no end: trailers, chunk extensions, and fields of the trailer section."""

from __future__ import annotations

import asyncio
import contextlib
import tracemalloc
from collections.abc import Iterator

import pytest

from garnethaven.net.flow import MAX_FRAMING_BYTES
from tests.loopback import ANSWER, answers_with, run, running_sidecar, wait_until
from tests.test_flow import read_and_answer, read_answer, start_sidecar, upload

PIECE = b"a" * 65536
MAX_PIECES = 128
ENDLESS = {
    "trailer value": b"2\r\nhi\r\n0\r\nX-Trailer: ",
    "trailer name": b"2\r\nhi\r\n0\r\n",
    "chunk extension": b"2;note=",
    "last chunk's extension": b"2\r\nhi\r\n0;note=",
}


@pytest.fixture
def traced() -> Iterator[None]:
    tracemalloc.start()
    yield
    tracemalloc.stop()


async def write_without_end(start: bytes) -> tuple[bytes, int]:
    """Send a chunked request whose framing goes on after `start`; returns the answer and peak bytes."""
    async with running_sidecar(answers_with(ANSWER)) as (sidecar, (peer,)):
        reader, writer = await sidecar.connect()
        answer = asyncio.create_task(reader.readuntil(b"\r\n"))
        writer.write(upload(None) + start)
        tracemalloc.reset_peak()
        before, _ = tracemalloc.get_traced_memory()
        with contextlib.suppress(ConnectionError):
            for _ in range(MAX_PIECES):
                if answer.done():
                    break
                writer.write(PIECE)
                await writer.drain()
                await asyncio.sleep(0)
        _, peak = tracemalloc.get_traced_memory()
        text = await answer
        writer.close()
        assert not peer.requests
        await wait_until(lambda: not sidecar.listener.connections)
        return text, peak - before


# The failure: a trailer without end was collected in memory until its client's 2.4 s were over.
@pytest.mark.usefixtures("traced")
@pytest.mark.parametrize("start", ENDLESS.values(), ids=ENDLESS)
def test_a_request_whose_framing_has_no_end_is_refused_before_it_takes_memory(start: bytes) -> None:
    async def case() -> None:
        answer, peak = await write_without_end(start)
        assert answer.startswith(b"HTTP/1.1 431 ")
        assert peak < MAX_PIECES * len(PIECE) / 4

    run(case())


# The same failure behind a body that is passed on already.
def test_an_endless_trailer_behind_a_long_body_ends_its_request() -> None:
    async def case() -> None:
        sidecar, (server,) = await start_sidecar(read_and_answer)
        reader, writer = await sidecar.connect()
        writer.write(upload(None) + b"20000\r\n" + b"b" * 0x20000 + b"\r\n0\r\nX-Trailer: ")
        await wait_until(lambda: bool(server.heads))
        sender = asyncio.create_task(write_pieces(writer, 64))
        assert (await reader.readuntil(b"\r\n")).startswith(b"HTTP/1.1 431 ")
        sender.cancel()
        assert not server.bodies
        writer.close()

    run(case())


async def write_pieces(writer: asyncio.StreamWriter, count: int) -> None:
    for _ in range(count):
        writer.write(PIECE)
        await writer.drain()


# The failure to guard against: good requests with trailers, or in chunks of one byte, are refused.
@pytest.mark.parametrize("count", [1, 100_000])
def test_chunks_of_one_byte_and_trailers_within_the_limit_are_served(count: int) -> None:
    async def case() -> None:
        sidecar, (server,) = await start_sidecar(read_and_answer)
        reader, writer = await sidecar.connect()
        trailer = b"X-Trailer: " + b"t" * (MAX_FRAMING_BYTES // 2)
        writer.write(upload(None) + b"1\r\nx\r\n" * count + b"0\r\n" + trailer + b"\r\n\r\n")
        assert await read_answer(reader) == (200, b"hello")
        assert server.bodies == [b"x" * count]
        writer.close()

    run(case())


# The failure: a field behind the body counted as a header; a second X-Call-Id there made the request invalid.
def test_fields_of_the_trailer_section_are_no_headers() -> None:
    async def case() -> None:
        sidecar, (server,) = await start_sidecar(read_and_answer)
        reader, writer = await sidecar.connect()
        writer.write(upload(None) + b"2\r\nhi\r\n0\r\nX-Call-Id: c2\r\nX-Caller: t\r\n\r\n")
        assert await read_answer(reader) == (200, b"hello")
        assert "x-caller" not in server.heads[0]
        writer.close()

    run(case())
