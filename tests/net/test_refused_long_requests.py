"""What follows a long request that ends without having been passed on: the connection goes on being read.

A read is simulated by a call of `data_received`: how many bytes one read of a socket returns is chance.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace

import pytest

from garnethaven.engine.account import CallResult
from garnethaven.engine.calls import Call
from garnethaven.net.client import MAX_UNREAD_BYTES, ClientConnection
from garnethaven.net.flow import MAX_BUFFERED_BYTES, RECEIVE_BUFFER_BYTES, REPLAY_BUFFER_BYTES
from tests.crossings.test_late_dials import DelayedDials
from tests.loopback import Sidecar, never_answers, request, run, running_sidecar, wait_until
from tests.test_flow import chunked, read_and_answer, read_answer, start_sidecar, upload

SIZES = (MAX_BUFFERED_BYTES + 1, 100_000, 250_000)


def long_request(size: int, framing: str, **headers: str) -> bytes:
    if framing == "chunked":
        return upload(None, **headers) + chunked(bytes(size), 16_384)
    return upload(size, **headers) + bytes(size)


def only_connection(sidecar: Sidecar) -> ClientConnection:
    (connection,) = sidecar.listener.connections
    return connection


async def connect(sidecar: Sidecar) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    streams = await sidecar.connect()
    await wait_until(lambda: bool(sidecar.listener.connections))
    return streams


def no_servers(sidecar: Sidecar) -> None:
    sidecar.set_members([])


class RefusesOnce:
    """An admission that turns one call away."""

    def __init__(self) -> None:
        self.calls = 0

    def turns_away(self, call: Call) -> int | None:
        self.calls += 1
        return 0 if self.calls == 1 else None


def no_allowance(sidecar: Sidecar) -> None:
    sidecar.engine.admission = RefusesOnce()


def nothing(sidecar: Sidecar) -> None:
    pass


REFUSALS = {
    "no servers": (no_servers, {}, "/api", 503),
    "no allowance": (no_allowance, {}, "/api", 503),
    "unknown class": (nothing, {"X_Call_Class": "no-such-class"}, "/api", 400),
    "local path": (nothing, {}, "/-/ready", 200),
}


# The failure: a refused request whose body crossed 64 KiB within its last read left its connection unread.
@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("framing", ["length", "chunked"])
@pytest.mark.parametrize("refusal", REFUSALS)
def test_the_next_request_behind_a_refused_long_one_is_answered(
    refusal: str, framing: str, size: int
) -> None:
    prepare, headers, path, status = REFUSALS[refusal]
    prepare_sidecar: Callable[[Sidecar], None] = prepare

    async def case() -> None:
        sidecar, (server,) = await start_sidecar(read_and_answer)
        reader, writer = await connect(sidecar)
        prepare_sidecar(sidecar)
        text = long_request(size, framing, **headers).replace(b"/api", path.encode(), 1)
        only_connection(sidecar).data_received(text)
        assert (await read_answer(reader))[0] == status
        writer.write(request(X_Call_Id="next"))
        assert (await read_answer(reader))[0] == (503 if refusal == "no servers" else 200)
        assert [head["x-call-id"] for head in server.heads] == ["next"] * (refusal != "no servers")
        writer.close()

    run(case())


# The same failure where a server is there but accepts no connection.
@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_a_long_request_that_no_server_accepts_leaves_its_connection_readable(framing: str) -> None:
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


# The same failure while the request runs: its client's leaving was not noticed, and the server worked on.
@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_a_client_that_leaves_behind_its_long_request_is_noticed_at_once(framing: str) -> None:
    async def case() -> None:
        async with running_sidecar(never_answers) as (sidecar, (peer,)):
            sidecar.engine.balancer.settings = replace(sidecar.engine.balancer.settings, cancel=True)
            _, writer = await connect(sidecar)
            text = long_request(100_000, framing, X_Budget_Ms="600000")
            only_connection(sidecar).data_received(text)
            await wait_until(lambda: peer.open == 1)
            writer.transport.abort()
            await wait_until(lambda: not sidecar.listener.connections and not peer.open)
            assert not sidecar.engine.calls
            assert sidecar.engine.account.ended[CallResult.GONE] == [1]

    run(case())


# The failure to guard against: what is read behind a complete long body is kept without a bound.
def test_what_follows_a_complete_long_body_is_bounded_while_that_runs() -> None:
    async def case() -> None:
        async with running_sidecar(never_answers) as (sidecar, (peer,)):
            _, writer = await connect(sidecar)
            connection = only_connection(sidecar)
            connection.data_received(long_request(100_000, "length", X_Budget_Ms="600000"))
            await wait_until(lambda: peer.open == 1)
            writer.write(bytes(8 * 1024 * 1024))
            await wait_until(lambda: len(connection.unread) > MAX_UNREAD_BYTES)
            await asyncio.sleep(0.1)
            assert len(connection.unread) <= MAX_UNREAD_BYTES + 4 * RECEIVE_BUFFER_BYTES

    run(case())


# The failure: a long request that had waited for its turn was read without a bound until a server took it.
def test_a_long_body_behind_another_request_is_bounded_while_its_connection_is_opened(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def case() -> None:
        sidecar, (server,) = await start_sidecar(read_and_answer)
        dials = DelayedDials(monkeypatch)
        reader, writer = await connect(sidecar)
        size = 8 * 1024 * 1024
        first = request(X_Call_Id="first") + upload(size, X_Call_Id="long") + bytes(100_000)
        only_connection(sidecar).data_received(first)
        await wait_until(lambda: dials.dial_count == 1)
        writer.write(bytes(size - 100_000))
        sidecar.transport.pool.min_rest_s = 60.0  # the long request needs a connection of its own
        dials.permits.release()
        assert (await read_answer(reader))[0] == 200
        await wait_until(lambda: dials.dial_count == 2)
        await asyncio.sleep(0.1)
        (call,) = sidecar.engine.calls.values()
        kept = len(call.request.body.replay_buffer)
        assert kept <= REPLAY_BUFFER_BYTES + 4 * RECEIVE_BUFFER_BYTES
        dials.permits.release()
        assert (await read_answer(reader))[0] == 200
        assert [len(body) for body in server.bodies] == [2, size]
        writer.close()

    run(case())
