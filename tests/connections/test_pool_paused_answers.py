"""The planned pool with long requests that are refused, and with answers that pause or never end."""

from __future__ import annotations

import pytest

from garnethaven.connections.pool import PlannedPool
from garnethaven.net import connection as server_connection
from tests.connections.planned import use_planned_pool
from tests.loopback import request, run, wait_until
from tests.net.test_paused_answers import (
    NEVER_ENDING,
    PIECE,
    PIECES,
    STALL_S,
    ask,
    ask_until_first_server_is_met,
    begins_and_stops,
    paused_pieces,
    writes_with_pauses,
)
from tests.net.test_refused_long_requests import connect, long_request, only_connection
from tests.test_flow import read_and_answer, read_answer, start_sidecar


@pytest.fixture(autouse=True)
def planned_pool(monkeypatch: pytest.MonkeyPatch) -> None:
    use_planned_pool(monkeypatch)
    monkeypatch.setattr(server_connection, "STALL_S", STALL_S)


# The failure: an answer that paused for over 0.3 s before 64 KiB of it had come was cut off, and failed.
@pytest.mark.parametrize("framing", ["chunked", "length"])
@pytest.mark.parametrize("count", [PIECES, 1], ids=["long", "short"])
def test_an_answer_that_pauses_is_passed_on_whole(framing: str, count: int) -> None:
    async def case() -> None:
        serve = writes_with_pauses(paused_pieces(framing, count))
        sidecar, _ = await start_sidecar(serve, serve)
        assert isinstance(sidecar.transport.pool, PlannedPool)
        assert await ask(sidecar) == (200, PIECE * count)

    run(case())


# The failure to guard against: an answer that never ends takes all of its client's time.
@pytest.mark.parametrize("answer", NEVER_ENDING.values(), ids=NEVER_ENDING)
def test_beside_an_answer_that_never_ends_another_server_is_asked(answer: bytes) -> None:
    async def case() -> None:
        closed: list[bool] = []
        sidecar, (faulty, _) = await start_sidecar(begins_and_stops(answer, closed), read_and_answer)
        answers = await ask_until_first_server_is_met(sidecar, faulty)
        assert answers == [(200, b"hello")] * len(answers)
        await wait_until(lambda: closed == [True])

    run(case())


# The failure: a refused request whose body crossed 64 KiB within its last read left its connection unread.
@pytest.mark.parametrize("framing", ["chunked", "length"])
def test_the_next_request_behind_a_refused_long_one_is_answered(framing: str) -> None:
    async def case() -> None:
        sidecar, (server,) = await start_sidecar(read_and_answer)
        server.server.close()
        await server.server.wait_closed()
        reader, writer = await connect(sidecar)
        only_connection(sidecar).data_received(long_request(100_000, framing))
        assert (await read_answer(reader))[0] == 503
        writer.write(request(X_Call_Id="next"))
        assert (await read_answer(reader))[0] == 503
        writer.close()

    run(case())
