"""What happens between the decision to send and the writing, while a connection comes up late.

The dial is held by the test, so that each case has one order of events.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace

import pytest

from garnethaven.addresses import Address
from garnethaven.engine.engine import MS, S
from garnethaven.interface import Effect, Scope
from garnethaven.net.connection import Connection
from garnethaven.net.upstream import Target
from tests.loopback import ANSWER, Peer, Sidecar, read_message, request, run, running, says, until


class HeldDials:
    """Dials to servers, counted; each comes up once the test lets one more."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.let = asyncio.Semaphore(0)
        self.begun = 0
        connect = Target._connect

        async def held(target: Target, address: Address) -> Connection:
            connection = await connect(target, address)
            if not target.pool.idle_s:
                return connection  # discovery's
            self.begun += 1
            try:
                await self.let.acquire()
            except BaseException:
                connection.drop()
                raise
            return connection

        monkeypatch.setattr(Target, "_connect", held)


def set_effect(sidecar: Sidecar, effect: Effect, window: int = 0, cancel: bool = True) -> None:
    engine = sidecar.engine
    grades = tuple(
        replace(grade, effect=effect, scope=Scope.ALL, window=window) for grade in engine.settings.grades
    )
    engine.settings = engine.balancer.settings = replace(engine.settings, grades=grades, cancel=cancel)


@pytest.mark.parametrize("cancel", [True, False])
def test_nothing_is_sent_for_a_client_that_left_during_the_dial(
    cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def case() -> None:
        async with running(says(ANSWER)) as (sidecar, (peer,)):
            set_effect(sidecar, Effect.RETRYABLE, cancel=cancel)
            dials = HeldDials(monkeypatch)
            _, writer = await sidecar.connect()
            writer.write(request())
            await until(lambda: dials.begun == 1)
            writer.transport.abort()
            await until(lambda: not sidecar.engine.open_ids)
            dials.let.release()
            await until(lambda: not sidecar.transport.pool.dials)
            dials.let.release()
            assert (await sidecar.ask(request(X_Call_Id="c2"))) == (200, b"hello")
            assert len(peer.requests) == 1 and b"X-Call-Id: c2" in peer.requests[0]

    run(case())


@pytest.mark.parametrize("change", ["drains", "moves", "starts anew", "goes"])
def test_a_dial_that_comes_up_after_news_of_its_server_carries_nothing(
    change: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def case() -> None:
        other = await Peer(says(ANSWER)).start()
        async with running(says(ANSWER)) as (sidecar, (peer,)):
            dials = HeldDials(monkeypatch)
            asked = asyncio.create_task(sidecar.ask(request()))
            await until(lambda: dials.begun == 1)
            if change == "drains":
                sidecar.tell([peer.member("s0") | {"phase": "DRAINING"}, other.member("s1")])
            elif change == "moves":
                sidecar.tell([other.member("s0")])
            elif change == "starts anew":
                sidecar.tell([peer.member("s0") | {"up_since_ms": 10**12}, other.member("s1")])
            else:
                sidecar.tell([other.member("s1")])
            dials.let.release()
            dials.let.release()
            assert (await asked)[0] in (200, 503)  # it never ran: sent elsewhere, or refused
            assert not peer.requests
        other.server.close()

    run(case())


def test_a_keyed_repeat_whose_dial_ends_after_the_window_is_not_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    async def case() -> None:
        async def breaks(head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            raise ConnectionError

        async with running(breaks, breaks) as (sidecar, peers):
            window = 300 * MS
            set_effect(sidecar, Effect.DEDUP, window)
            dials = HeldDials(monkeypatch)
            asked = asyncio.create_task(sidecar.ask(request()))
            await until(lambda: dials.begun == 1)
            dials.let.release()
            await until(lambda: dials.begun == 2)  # the repeat's
            ends = time.monotonic() + window / S
            await until(lambda: time.monotonic() > ends)
            dials.let.release()
            assert (await asked)[0] == 503  # harmless, for all servers drop its repeats
            await until(lambda: not sidecar.transport.pool.dials)
            assert sum(len(peer.requests) for peer in peers) == 1

    run(case())


def test_what_is_still_out_when_the_window_ends_is_ended_with_the_repeat() -> None:
    """A first try that is cut off could run once its group has forgotten the copy."""

    async def case() -> None:
        async def silent(head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read()
            raise ConnectionError

        async with running(silent, silent) as (sidecar, peers):
            set_effect(sidecar, Effect.DEDUP, window=400 * MS)
            engine = sidecar.engine
            engine.settings = engine.balancer.settings = replace(engine.settings, second_copies=True)
            engine.balancer.usual = {0: 50.0 * MS}
            reader, writer = await sidecar.connect()
            writer.write(request())
            begun = time.monotonic()
            await until(lambda: all(len(peer.requests) == 1 for peer in peers))
            assert b" 503 " in (await read_message(reader))[0]  # harmless: all servers drop its repeats
            await until(lambda: not any(peer.open for peer in peers))
            assert time.monotonic() - begun < 1.5  # half of the client's patience
            writer.close()

    run(case())


def test_a_dial_that_outlasts_the_request_ends_with_it(monkeypatch: pytest.MonkeyPatch) -> None:
    async def case() -> None:
        async with running(says(ANSWER)) as (sidecar, (peer,)):
            dials = HeldDials(monkeypatch)
            assert (await sidecar.ask(request(X_Budget_Ms="150")))[0] in (502, 503, 504)
            dials.let.release()
            await until(lambda: not sidecar.transport.pool.dials)
            assert not peer.requests

    run(case())


def test_a_server_is_told_the_time_that_is_left_when_the_request_is_written(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Whatever passed between the decision to send and the writing is not the server's to spend."""

    async def case() -> None:
        async with running(says(ANSWER)) as (sidecar, (peer,)):
            dials = HeldDials(monkeypatch)
            asked = asyncio.create_task(sidecar.ask(request(X_Budget_Ms="2000")))
            await until(lambda: dials.begun == 1)
            began = time.monotonic()
            await asyncio.sleep(0.5)
            dials.let.release()
            assert (await asked) == (200, b"hello")
            (head,) = peer.requests
            (told,) = [line for line in head.split(b"\r\n") if line.lower().startswith(b"x-budget-ms:")]
            assert 0 < int(told.split(b":")[1]) <= 2000 - 1000 * 0.5, time.monotonic() - began

    run(case())
