"""Events between the decision to send an attempt and its writing, while its connection is being opened.

The tests delay the dial, so that each case has one order of events.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace

import pytest

from garnethaven.addresses import Address
from garnethaven.engine.engine import MS, S
from garnethaven.interface import DedupScope, Idempotency
from garnethaven.net.connection import Connection
from garnethaven.net.upstream import Target
from tests.loopback import (
    ANSWER,
    Peer,
    Sidecar,
    answers_with,
    read_message,
    request,
    run,
    running_sidecar,
    wait_until,
)


class DelayedDials:
    """Counts dials to endpoints and completes each only when the test releases `permits`."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.permits = asyncio.Semaphore(0)
        self.dial_count = 0
        connect = Target._connect

        async def delayed_connect(target: Target, address: Address) -> Connection:
            connection = await connect(target, address)
            if not target.pool.idle_s:
                return connection  # to discovery
            self.dial_count += 1
            try:
                await self.permits.acquire()
            except BaseException:
                connection.drop()
                raise
            return connection

        monkeypatch.setattr(Target, "_connect", delayed_connect)


def set_idempotency(
    sidecar: Sidecar, idempotency: Idempotency, dedup_window: int = 0, cancel: bool = True
) -> None:
    engine = sidecar.engine
    request_classes = tuple(
        replace(request_class, effect=idempotency, scope=DedupScope.ALL, dedup_window=dedup_window)
        for request_class in engine.settings.request_classes
    )
    engine.settings = engine.balancer.settings = replace(
        engine.settings, request_classes=request_classes, cancel=cancel
    )


@pytest.mark.parametrize("cancel", [True, False])
def test_nothing_is_sent_for_a_client_that_left_during_the_dial(
    cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def case() -> None:
        async with running_sidecar(answers_with(ANSWER)) as (sidecar, (peer,)):
            set_idempotency(sidecar, Idempotency.RETRYABLE, cancel=cancel)
            dials = DelayedDials(monkeypatch)
            _, writer = await sidecar.connect()
            writer.write(request())
            await wait_until(lambda: dials.dial_count == 1)
            writer.transport.abort()
            await wait_until(lambda: not sidecar.engine.open_ids)
            dials.permits.release()
            await wait_until(lambda: not sidecar.transport.pool.dials)
            dials.permits.release()
            assert (await sidecar.ask(request(X_Call_Id="c2"))) == (200, b"hello")
            assert len(peer.requests) == 1 and b"X-Call-Id: c2" in peer.requests[0]

    run(case())


@pytest.mark.parametrize("change", ["drains", "moves", "starts anew", "goes"])
def test_a_dial_that_comes_up_after_news_of_its_server_carries_nothing(
    change: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def case() -> None:
        other_peer = await Peer(answers_with(ANSWER)).start()
        async with running_sidecar(answers_with(ANSWER)) as (sidecar, (peer,)):
            dials = DelayedDials(monkeypatch)
            answer_task = asyncio.create_task(sidecar.ask(request()))
            await wait_until(lambda: dials.dial_count == 1)
            if change == "drains":
                sidecar.set_members([peer.member("s0") | {"phase": "DRAINING"}, other_peer.member("s1")])
            elif change == "moves":
                sidecar.set_members([other_peer.member("s0")])
            elif change == "starts anew":
                sidecar.set_members([peer.member("s0") | {"up_since_ms": 10**12}, other_peer.member("s1")])
            else:
                sidecar.set_members([other_peer.member("s1")])
            dials.permits.release()
            dials.permits.release()
            # It never ran: sent to the other endpoint, or refused.
            assert (await answer_task)[0] in (200, 503)
            assert not peer.requests
        other_peer.server.close()

    run(case())


def test_a_keyed_repeat_whose_dial_ends_after_the_window_is_not_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    async def case() -> None:
        async def reset_connection(
            head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            raise ConnectionError

        async with running_sidecar(reset_connection, reset_connection) as (sidecar, peers):
            dedup_window = 300 * MS
            set_idempotency(sidecar, Idempotency.DEDUP, dedup_window)
            dials = DelayedDials(monkeypatch)
            answer_task = asyncio.create_task(sidecar.ask(request()))
            await wait_until(lambda: dials.dial_count == 1)
            dials.permits.release()
            await wait_until(lambda: dials.dial_count == 2)  # the retry's dial
            window_end = time.monotonic() + dedup_window / S
            await wait_until(lambda: time.monotonic() > window_end)
            dials.permits.release()
            assert (await answer_task)[0] == 503  # safe to retry: all servers deduplicate it
            await wait_until(lambda: not sidecar.transport.pool.dials)
            assert sum(len(peer.requests) for peer in peers) == 1

    run(case())


def test_what_is_still_out_when_the_window_ends_is_ended_with_the_repeat() -> None:
    """A first attempt that is delayed in the network could run after its group has forgotten the hedge."""

    async def case() -> None:
        async def silent(head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read()
            raise ConnectionError

        async with running_sidecar(silent, silent) as (sidecar, peers):
            set_idempotency(sidecar, Idempotency.DEDUP, dedup_window=400 * MS)
            engine = sidecar.engine
            engine.settings = engine.balancer.settings = replace(engine.settings, hedging=True)
            engine.balancer.latency_estimates = {0: 50.0 * MS}
            reader, writer = await sidecar.connect()
            writer.write(request())
            started_at = time.monotonic()
            await wait_until(lambda: all(len(peer.requests) == 1 for peer in peers))
            assert b" 503 " in (await read_message(reader))[0]  # safe to retry: all servers deduplicate it
            await wait_until(lambda: not any(peer.open for peer in peers))
            assert time.monotonic() - started_at < 1.5  # half of the client's timeout
            writer.close()

    run(case())


def test_a_dial_that_outlasts_the_request_ends_with_it(monkeypatch: pytest.MonkeyPatch) -> None:
    async def case() -> None:
        async with running_sidecar(answers_with(ANSWER)) as (sidecar, (peer,)):
            dials = DelayedDials(monkeypatch)
            assert (await sidecar.ask(request(X_Budget_Ms="150")))[0] in (502, 503, 504)
            dials.permits.release()
            await wait_until(lambda: not sidecar.transport.pool.dials)
            assert not peer.requests

    run(case())


def test_a_server_is_told_the_time_that_is_left_when_the_request_is_written(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Time that passes between the decision to send and the writing is deducted from the server's budget."""

    async def case() -> None:
        async with running_sidecar(answers_with(ANSWER)) as (sidecar, (peer,)):
            dials = DelayedDials(monkeypatch)
            answer_task = asyncio.create_task(sidecar.ask(request(X_Budget_Ms="2000")))
            await wait_until(lambda: dials.dial_count == 1)
            started_at = time.monotonic()
            await asyncio.sleep(0.5)
            dials.permits.release()
            assert (await answer_task) == (200, b"hello")
            (head,) = peer.requests
            (budget_line,) = [
                line for line in head.split(b"\r\n") if line.lower().startswith(b"x-budget-ms:")
            ]
            assert 0 < int(budget_line.split(b":")[1]) <= 2000 - 1000 * 0.5, time.monotonic() - started_at

    run(case())
