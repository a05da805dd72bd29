"""Hostile clients on raw frames: each is stopped with an error, and other clients are still served."""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Callable

import grpc
import pytest
from hpack import Decoder, Encoder

from garnethaven.grpcs.front import PREFACE
from tests.grpcs.raw import (
    CONTINUATION,
    DATA,
    END_HEADERS,
    END_STREAM,
    GOAWAY,
    HEADERS,
    PING,
    PRIORITY,
    RST,
    SETTINGS,
    WINDOW_UPDATE,
    RawClient,
    fields,
    frame,
)
from tests.grpcs.test_on_sockets import Harness, answer_in_brackets, grpc_harness
from tests.loopback import run, wait_until

Script = Callable[[RawClient], None]


def rapid_reset(client: RawClient) -> None:
    for number in range(2000):
        stream = 2 * number + 1
        client.write(client.headers(stream, fields(x_call_id=f"r{number}")))
        client.write(frame(RST, 0, stream, struct.pack(">I", 8)))


def pings(client: RawClient) -> None:
    client.write(frame(PING, 0, 0, b"12345678") * 5000)


def settings(client: RawClient) -> None:
    client.write(frame(SETTINGS, 0, 0, struct.pack(">HI", 4, 70000)) * 5000)


def empty_data(client: RawClient) -> None:
    client.write(client.headers(1, fields()))
    client.write(frame(DATA, 0, 1) * 20000)


def continuations(client: RawClient) -> None:
    client.write(frame(HEADERS, 0, 1, client.encoder.encode(fields())))
    client.write(frame(CONTINUATION, 0, 1, b"") * 20000)


def header_bomb(client: RawClient) -> None:
    header_list = fields() + [(f"x-{number}", "y" * 4000) for number in range(20)]
    block = client.encoder.encode(header_list)
    client.write(frame(HEADERS, 0, 1, block[:16000]))
    fragments = [block[offset : offset + 16000] for offset in range(16000, len(block), 16000)]
    for fragment in fragments[:-1]:
        client.write(frame(CONTINUATION, 0, 1, fragment))
    client.write(frame(CONTINUATION, END_HEADERS, 1, fragments[-1]))


def window_overflow(client: RawClient) -> None:
    client.write(client.headers(1, fields()))
    client.write(frame(WINDOW_UPDATE, 0, 0, struct.pack(">I", 0x7FFFFFFF)) * 2)


def ids_out_of_order(client: RawClient) -> None:
    client.write(client.headers(5, fields()) + client.headers(3, fields()))


def uppercase(client: RawClient) -> None:
    client.write(client.headers(1, [*fields(), ("X-Upper", "1")]))


def connection_headers(client: RawClient) -> None:
    client.write(client.headers(1, [*fields(), ("transfer-encoding", "chunked")]))


def too_much_data(client: RawClient) -> None:
    client.write(client.headers(1, fields()))
    client.write(frame(DATA, 0, 1, b"x" * 16000) * 2000)


def a_frame_too_large(client: RawClient) -> None:
    client.write(frame(DATA, 0, 1, b"x" * 40000))


@pytest.mark.parametrize(
    "script",
    [
        rapid_reset,
        pings,
        settings,
        empty_data,
        continuations,
        header_bomb,
        window_overflow,
        ids_out_of_order,
        uppercase,
        connection_headers,
        too_much_data,
        a_frame_too_large,
    ],
)
def test_a_hostile_client_ends_by_itself_and_its_neighbours_are_served(script: Script) -> None:
    async def case() -> None:
        async with grpc_harness(answer_in_brackets) as harness:
            client = await RawClient().connect(harness.front.port)
            script(client)
            ended = False
            while not ended:
                received = await client.read()
                # Either the connection ends, with or without GOAWAY, or only the stream is reset.
                ended = received is None or received[0] == GOAWAY or (received[0] == RST and received[2] == 1)
            answer, code, _ = await harness.unary()
            assert (answer, code) == (b"<hi>", grpc.StatusCode.OK)
            client.close()
            await wait_until(harness.is_idle)

    run(case())


def test_noise_that_the_protocol_allows_is_ignored() -> None:
    async def case() -> None:
        async with grpc_harness(answer_in_brackets) as harness:
            client = await RawClient().connect(harness.front.port)
            client.write(frame(0xEE, 0xFF, 0, b"unknown") + frame(PRIORITY, 0, 1, struct.pack(">IB", 0, 5)))
            client.write(client.headers(1, fields()))
            client.write(frame(0xED, 0, 1, b"unknown"))
            client.write(frame(DATA, END_STREAM, 1, b"\0\0\0\0\2hi"))
            received = await client.read_until(DATA)
            assert received is not None and received[3].endswith(b"<hi>")
            client.close()
            await wait_until(harness.is_idle)

    run(case())


@pytest.mark.parametrize("cut", range(1, len(PREFACE) + 3))
def test_a_preface_may_be_cut_at_every_byte(cut: int) -> None:
    async def case() -> None:
        async with grpc_harness(answer_in_brackets) as harness:
            client = RawClient()
            hello = PREFACE + frame(SETTINGS, 0, 0)
            await _write_in_two_parts(client, harness, hello, cut)
            client.write(client.headers(1, fields()) + frame(DATA, END_STREAM, 1, b"\0\0\0\0\2hi"))
            assert await client.read_until(DATA) is not None
            client.close()

    run(case())


async def _write_in_two_parts(client: RawClient, harness: Harness, hello: bytes, cut: int) -> None:
    client.reader, client.writer = await asyncio.open_connection("127.0.0.1", harness.front.port)
    client.encoder, client.frames = Encoder(), []
    client.write(hello[:cut])
    await wait_until(lambda: bool(harness.front.connections))
    await asyncio.sleep(0.01)
    client.write(hello[cut:])


@pytest.mark.parametrize(
    ("more", "status"),
    [
        ({"grpc_timeout": "soon"}, "13"),
        ({"grpc_timeout": "123456789S"}, "13"),
        ({"grpc_timeout": "0S"}, "4"),
        ({"path": "/no/such"}, "12"),
        ({"x_call_id": "x" * 300}, "3"),
    ],
)
def test_a_call_that_can_not_be_taken_is_told_its_status(more: dict[str, str], status: str) -> None:
    async def case() -> None:
        async with grpc_harness(answer_in_brackets) as harness:
            client = await RawClient().connect(harness.front.port)
            client.write(client.headers(1, fields(**more)))
            received = await client.read_until(HEADERS)
            assert received is not None
            assert dict(Decoder().decode(received[3]))["grpc-status"] == status
            client.close()
            await wait_until(harness.is_idle)
            assert not harness.servers[0].calls

    run(case())
