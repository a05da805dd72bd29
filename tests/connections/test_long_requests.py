"""Long requests on planned connections that were idle before."""

from __future__ import annotations

import asyncio

import pytest

from tests.connections.planned import use_planned_pool
from tests.loopback import request, run
from tests.test_flow import chunked, read_and_answer, read_answer, start_sidecar, upload

IDLE_S = 0.4  # longer than connections may be idle without being watched
PIECES = 20
PIECE_INTERVAL_S = 0.1
FIRST_BYTES = 100_000  # more than is buffered before a request is sent on
BODY = bytes(200_000)


# The failure: a request that was still being written counted as sent on a dead connection: 503.
@pytest.mark.parametrize("framing", ["chunked", "length"])
def test_a_request_that_is_written_slowly_is_not_on_a_dead_connection(
    framing: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    use_planned_pool(monkeypatch)

    async def case() -> None:
        sidecar, _ = await start_sidecar(read_and_answer)
        assert (await sidecar.ask(request(X_Call_Id="before")))[0] == 200
        await asyncio.sleep(IDLE_S)
        reader, writer = await sidecar.connect()
        in_chunks = framing == "chunked"
        data = upload(None if in_chunks else len(BODY), X_Call_Id="long")
        data += chunked(BODY, 4096) if in_chunks else BODY
        writer.write(data[:FIRST_BYTES])
        await asyncio.sleep(PIECE_INTERVAL_S)
        piece_bytes = (len(data) - FIRST_BYTES) // PIECES + 1
        for start in range(FIRST_BYTES, len(data), piece_bytes):
            writer.write(data[start : start + piece_bytes])
            await asyncio.sleep(PIECE_INTERVAL_S)
            assert (await sidecar.ask(request(X_Call_Id=f"c{start}")))[0] == 200
        assert (await read_answer(reader))[0] == 200
        writer.close()

    run(case())
