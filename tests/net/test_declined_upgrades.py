"""Requests that offer an upgrade to another protocol: the offer is declined, the request is served."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from garnethaven.net.requests import MAX_HEAD_BYTES, MAX_HEADERS
from tests.loopback import ANSWER, read_message, request, run
from tests.test_flow import Server, chunked, read_and_answer, read_answer, start_sidecar, upload

OFFER = b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABk\r\n\r\n"
QUOTED = request(X_Call_Id="quoted", Idempotency_Key="quoted")  # a body that is the text of a request
LONG_BODY = QUOTED * 400  # over 64 KiB: streamed
PAUSE_S = 0.02


Cut = Callable[[bytes], list[bytes]]


def offering(text: bytes) -> bytes:
    """The same request with the offer as its last headers."""
    head, _, body = text.partition(b"\r\n\r\n")
    return head + b"\r\n" + OFFER + body


def framed(body: bytes, framing: str) -> bytes:
    if framing == "chunked":
        return upload(None) + chunked(body, 1000)
    return upload(len(body)) + body


def in_one_piece(text: bytes) -> list[bytes]:
    return [text]


def cut_after_head(text: bytes) -> list[bytes]:
    head, _, body = text.partition(b"\r\n\r\n")
    return [head + b"\r\n\r\n", body]


def cut_in_body(text: bytes) -> list[bytes]:
    at = text.index(b"\r\n\r\n") + 10
    return [text[:at], text[at:]]


def cut_in_offer(text: bytes) -> list[bytes]:
    at = text.index(b"Upgrade: h2c") + 5
    return [text[:at], text[at:]]


async def write_pieces(writer: asyncio.StreamWriter, pieces: list[bytes]) -> None:
    for piece in pieces:
        writer.write(piece)
        await writer.drain()
        await asyncio.sleep(PAUSE_S)


# The failure: such a request was forwarded without its body, which was then read as the next requests.
@pytest.mark.parametrize("cut", [in_one_piece, cut_after_head, cut_in_body, cut_in_offer])
@pytest.mark.parametrize("framing", ["length", "chunked"])
@pytest.mark.parametrize("body", [b"", b"hi", QUOTED, LONG_BODY], ids=["empty", "short", "quoted", "long"])
def test_the_body_behind_an_offered_upgrade_belongs_to_the_request(
    cut: Cut, framing: str, body: bytes
) -> None:
    async def case() -> None:
        sidecar, (server,) = await start_sidecar(read_and_answer)
        reader, writer = await sidecar.connect()
        await write_pieces(writer, cut(offering(framed(body, framing))))
        assert await read_answer(reader) == (200, b"hello")
        writer.write(request(X_Call_Id="next", Idempotency_Key="next"))
        assert await read_answer(reader) == (200, b"hello")
        assert server.bodies == [body, b"hi"]
        assert [head["x-call-id"] for head in server.heads] == ["c1", "next"]
        assert not {"upgrade", "http2-settings"} & server.heads[0].keys()
        writer.close()

    run(case())


# The failure: of requests that are written at once, the bodies were read as requests between them.
def test_offers_in_requests_that_are_written_at_once_are_all_declined() -> None:
    async def case() -> None:
        sidecar, (server,) = await start_sidecar(read_and_answer)
        reader, writer = await sidecar.connect()
        texts = [
            offering(
                request(X_Call_Id=f"c{n}", Idempotency_Key=f"k{n}", Content_Length=str(len(QUOTED)))[:-2]
            )
            + QUOTED
            for n in range(5)
        ]
        writer.write(b"".join(texts))
        for _ in texts:
            assert await read_answer(reader) == (200, b"hello")
        assert server.bodies == [QUOTED] * 5
        writer.close()

    run(case())


# The failure to guard against: the head is parsed twice, and so the client is told twice to continue.
def test_a_client_that_offers_an_upgrade_is_told_once_to_continue() -> None:
    async def case() -> None:
        sidecar, (server,) = await start_sidecar(read_and_answer)
        reader, writer = await sidecar.connect()
        writer.write(offering(upload(2, Expect="100-continue")))
        assert (await read_message(reader))[0].startswith(b"HTTP/1.1 100 ")
        writer.write(b"hi")
        assert await read_answer(reader) == (200, b"hello")
        assert server.bodies == [b"hi"]
        writer.close()

    run(case())


# The failure to guard against: an offer lets a head through that is too large, or framed in two ways.
@pytest.mark.parametrize(
    ("text", "status"),
    [
        (request(**{f"X-{n}": "1" for n in range(MAX_HEADERS)}), 431),
        (request(X_Long="x" * MAX_HEAD_BYTES), 431),
        (request(Transfer_Encoding="chunked"), 400),
        (request(Content_Length="60000000"), 413),
        (request(Upgrade="x" * MAX_HEAD_BYTES, Connection="Upgrade"), 431),
    ],
)
def test_a_head_that_offers_an_upgrade_has_the_usual_limits(text: bytes, status: int) -> None:
    async def case() -> None:
        sidecar, (server,) = await start_sidecar(read_and_answer)
        reader, writer = await sidecar.connect()
        writer.write(offering(text))
        assert (await read_answer(reader))[0] == status
        assert server.heads == []
        writer.close()

    run(case())


# The failure: what follows the head of a CONNECT request was read as the next requests.
def test_nothing_behind_the_head_of_a_connect_request_is_read_as_a_request() -> None:
    async def case() -> None:
        sidecar, (server,) = await start_sidecar(read_and_answer)
        reader, writer = await sidecar.connect()
        connect = upload(len(QUOTED)).replace(b"POST /api?user=u1", b"CONNECT backend.local:443")
        writer.write(connect + QUOTED)
        assert (await read_answer(reader))[0] == 501
        assert await reader.read() == b""
        assert server.heads == []
        writer.close()

    run(case())


# The failure to guard against: an endpoint that offers an upgrade with its answer takes its body away.
def test_an_answer_that_offers_an_upgrade_is_passed_on_whole() -> None:
    async def case() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, server: Server) -> None:
            await server.body(reader)
            writer.write(ANSWER.replace(b"\r\n\r\n", b"\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n"))

        sidecar, _ = await start_sidecar(serve)
        reader, writer = await sidecar.connect()
        for name in ("c1", "c2"):
            writer.write(request(X_Call_Id=name, Idempotency_Key=name))
            assert await read_answer(reader) == (200, b"hello")
        writer.close()

    run(case())
