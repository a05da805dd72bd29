"""Answers that go on beyond the window in which servers drop repeats of a keyed request."""

from __future__ import annotations

import asyncio

import pytest

from garnethaven.engine.engine import S
from garnethaven.interface import Idempotency
from garnethaven.net import connection as server_connection
from tests.crossings.test_late_dials import set_idempotency
from tests.loopback import run
from tests.net.test_paused_answers import PIECE, PIECES, STALL_S, ask, paused_pieces
from tests.test_flow import Serve, Server, start_sidecar

WINDOW_S = 0.5
PAUSE_S = 0.25


@pytest.fixture(autouse=True)
def short_stall(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server_connection, "STALL_S", STALL_S)


def first_writes_slowly(pieces: list[bytes]) -> Serve:
    """The first request gets these pieces with pauses; each further one is never answered."""
    count = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, server: Server) -> None:
        nonlocal count
        count += 1
        number = count
        await server.body(reader)
        if number > 1:
            await reader.read()
            raise ConnectionError
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(PAUSE_S)

    return serve


# The failure: the window of a repeat beside a stalled answer ended that answer too, though it went on.
@pytest.mark.parametrize(("framing", "count"), [("chunked", PIECES), ("chunked", 3), ("length", 3)])
def test_an_answer_that_has_begun_is_not_ended_with_the_window_of_a_repeat(framing: str, count: int) -> None:
    async def case() -> None:
        serve = first_writes_slowly(paused_pieces(framing, count))
        sidecar, servers = await start_sidecar(serve, serve)
        set_idempotency(sidecar, Idempotency.DEDUP, dedup_window=int(WINDOW_S * S))
        assert await ask(sidecar) == (200, PIECE * count)
        assert sum(len(server.heads) for server in servers) > 1

    run(case())
