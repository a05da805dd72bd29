"""The external processor on loopback sockets, called by grpcio's client: edge cases of proxy behaviour."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import random
import time
import weakref
from collections.abc import AsyncIterator
from typing import Any

import grpc
import pytest
from envoy.service.ext_proc.v3 import external_processor_pb2 as pb

from garnethaven.addresses import parse_address
from garnethaven.extproc.front import MAX_MESSAGE_BYTES, Front
from garnethaven.extproc.report import ReportAttempt
from garnethaven.extproc.table import ExternalProcessor
from garnethaven.interface import ListKind
from standins.ledger import Ledger
from standins.proxy import (
    ATTEMPTS,
    TOKEN,
    UNUSED,
    VALID,
    ProcessorStream,
    Proxy,
    ProxySettings,
    headers_message,
)
from tests.loopback import (
    ANSWER,
    WAIT_S,
    Peer,
    Sidecar,
    answers_with,
    read_message,
    request,
    run,
    running_sidecar,
    wait_until,
)

KEY = b"k" * 16
SILENCE_S = 10.0  # longest time in which none of many streams gets its decision
MANY_STREAMS_S = 60.0  # for all of them together, on a machine that is busy otherwise
MANY_STREAMS_CPU_S = 10.0  # of this process, client and processor


class Harness:
    """A sidecar with its HTTP front and the processor over one decision module, and a proxy as client."""

    def __init__(self, sidecar: Sidecar, front: Front, peers: list[Peer]) -> None:
        self.sidecar = sidecar
        self.front = front
        self.peers = peers
        self.proxy = Proxy(
            "p", front.port, Ledger(6.0, 0.5, 3.0, 3.0, 0.2), random.Random(1), ProxySettings()
        )

    def headers(self, **changes: str) -> dict[str, str]:
        headers = self.proxy._headers("c1", "k1", 2.0)
        return headers | {name.replace("_", "-"): value for name, value in changes.items()}

    async def decide(self, exchange: ProcessorStream, **changes: str) -> Any:
        decision = await exchange.decide(self.headers(**changes), 10.0)
        assert decision is not None
        return decision

    async def decide_all(self, exchanges: list[ProcessorStream]) -> list[Any]:
        """Return each stream's decision; fails if one gets none, or all get none for `SILENCE_S`."""
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(SILENCE_S) as silence:

            async def decide(exchange: ProcessorStream, call_id: str) -> Any:
                decision = await exchange.decide(self.headers(x_call_id=call_id), MANY_STREAMS_S)
                assert decision is not None, call_id
                silence.reschedule(loop.time() + SILENCE_S)
                return decision

            return await asyncio.gather(
                *(decide(exchange, f"m{number}") for number, exchange in enumerate(exchanges))
            )

    def is_idle(self) -> bool:
        """Return whether neither the engine nor the decision module has a request in flight."""
        engine = self.sidecar.engine
        return not engine.calls and not engine.open_ids and not engine.balancer.pending_requests


@contextlib.asynccontextmanager
async def processor_harness(servers: int = 4, **settings: Any) -> AsyncIterator[Harness]:
    async with running_sidecar(*[answers_with(ANSWER)] * servers) as (sidecar, peers):
        table = ExternalProcessor(listen=("127.0.0.1", 0), **({"keys": (KEY,)} | settings))
        front = Front(table, sidecar.engine, sidecar.transport, sidecar.listener.classes)
        await front.start(("127.0.0.1", 0))
        harness = Harness(sidecar, front, list(peers))
        try:
            yield harness
        finally:
            await harness.proxy.close()
            await front.close(0.0)


def test_a_request_gets_one_decision_and_its_outcome_is_learned() -> None:
    async def case() -> None:
        async with processor_harness() as harness:
            exchange = harness.proxy.open_stream()
            decision = await harness.decide(exchange)
            assert parse_address(decision.address) in [("127.0.0.1", peer.port) for peer in harness.peers]
            assert 0.0 < decision.valid_s < 0.5
            assert decision.token
            assert not harness.is_idle()
            await exchange.report({":status": "200"}, 10.0)
            await wait_until(harness.is_idle)
            overload = harness.sidecar.engine.balancer.overload
            assert overload.last_answer > 0  # a successful answer was recorded

    run(case())


def test_an_error_blames_the_server_and_leads_to_no_second_attempt_of_our_own() -> None:
    async def case() -> None:
        async with processor_harness() as harness:
            exchange = harness.proxy.open_stream()
            await harness.decide(exchange)
            await exchange.report({":status": "500"}, 10.0)
            await wait_until(harness.is_idle)
            servers = harness.sidecar.engine.balancer.servers.values()
            assert sum(server.errors > 0 for server in servers) == 1

    run(case())


def test_nothing_is_kept_of_a_request_that_has_ended() -> None:
    async def case() -> None:
        async with processor_harness() as harness:
            front, references = harness.front, []

            def record_attempt(attempt: ReportAttempt) -> None:
                references.append((weakref.ref(attempt.call), weakref.ref(attempt)))

            front.sign_token = record_attempt  # type: ignore[method-assign, assignment]
            checked_at = front.lag_checked_at
            gc.collect()
            gc.disable()  # reference counting alone must free the objects: full collections are rare
            try:
                # The collection held up the event loop, for which the front may refuse requests.
                await wait_until(lambda: front.lag_checked_at > checked_at and not front.overloaded())
                for number in range(5):
                    exchange = harness.proxy.open_stream()
                    assert (await harness.decide(exchange, x_call_id=f"n{number}")).address
                    await exchange.report({":status": "200"}, 10.0)
                await wait_until(harness.is_idle)
                harness.sidecar.engine.timers.clear()
                await wait_until(lambda: not any(call() or attempt() for call, attempt in references))
                assert len(references) == 5
            finally:
                gc.enable()

    run(case())


def test_with_no_server_a_request_is_refused_at_once() -> None:
    async def case() -> None:
        async with processor_harness() as harness:
            harness.sidecar.transport.apply_list(ListKind.FULL, [])
            decision = await harness.decide(harness.proxy.open_stream())
            assert (decision.status, decision.address) == (503, "")
            assert "refused" in decision.details
            await wait_until(harness.is_idle)

    run(case())


@pytest.mark.parametrize("when", ["before", "after"])
def test_a_proxy_that_goes_away_leaves_nothing_under_way_and_blames_nobody(when: str) -> None:
    async def case() -> None:
        async with processor_harness() as harness:
            exchange = harness.proxy.open_stream()
            if when == "after":
                await harness.decide(exchange)
                assert not harness.is_idle()
            else:
                message = pb.ProcessingRequest(request_headers=headers_message(harness.headers()))
                await exchange.call.write(message)  # the answer is never read
            exchange.cancel()
            await wait_until(lambda: harness.front.streams == 0 and harness.is_idle())
            servers = harness.sidecar.engine.balancer.servers.values()
            assert not any(server.errors for server in servers)

    run(case())


def test_the_same_id_at_once_is_decided_once_and_again_when_the_first_has_ended() -> None:
    async def case() -> None:
        async with processor_harness() as harness:
            first, second = harness.proxy.open_stream(), harness.proxy.open_stream()
            assert (await harness.decide(first)).address
            assert (await harness.decide(second)).status == 409
            await first.report({":status": "200"}, 10.0)
            await wait_until(harness.is_idle)
            assert (await harness.decide(harness.proxy.open_stream())).address

    run(case())


def test_the_id_of_a_request_on_the_other_front_is_taken_too() -> None:
    async def case() -> None:
        async with processor_harness() as harness:
            release = asyncio.Event()
            for peer in harness.peers:
                peer.script = answers_with(ANSWER, release)
            asking = asyncio.create_task(harness.sidecar.ask(request(X_Call_Id="c1")))
            await wait_until(lambda: not harness.is_idle())
            assert (await harness.decide(harness.proxy.open_stream())).status == 409
            release.set()
            assert await asking == (200, b"hello")

    run(case())


def test_after_a_restart_a_token_keeps_the_rack_and_without_it_nothing_is_sent_or_refused() -> None:
    async def case() -> None:
        async with processor_harness() as before:
            exchange = before.proxy.open_stream()
            decision = await before.decide(exchange)
            exchange.cancel()
        async with (
            processor_harness() as after
        ):  # a restarted process with the same key; its servers are in the same cell
            retried = await after.decide(
                after.proxy.open_stream(), **{TOKEN: decision.token, ATTEMPTS: "2", "x-call-id": "c1"}
            )
            assert retried.address
            await wait_until(lambda: after.front.streams <= 1)
            for changes in (
                {ATTEMPTS: "2"},
                {TOKEN: decision.token[:-4] + "AAAA"},
                {TOKEN: "forged"},
            ):
                retried = await after.decide(after.proxy.open_stream(), x_call_id="c2", **changes)
                assert (retried.address, retried.status) == ("", 502), changes
            assert (after.front.tokens_checked, after.front.tokens_rejected) == (3, 2)
        async with processor_harness(keys=()) as keyless:
            retried = await keyless.decide(keyless.proxy.open_stream())
            assert retried.address and not retried.token
            retried = await keyless.decide(
                keyless.proxy.open_stream(), x_call_id="c3", **{TOKEN: decision.token}
            )
            assert retried.status == 502

    run(case())


def test_a_decision_that_was_not_acted_on_may_be_asked_for_again() -> None:
    async def case() -> None:
        async with processor_harness() as harness:
            first = harness.proxy.open_stream()
            decision = await harness.decide(first)
            first.cancel()
            await wait_until(harness.is_idle)
            retried = await harness.decide(
                harness.proxy.open_stream(), **{TOKEN: decision.token, UNUSED: "1"}
            )
            assert retried.address

    run(case())


def test_messages_out_of_turn_get_an_error_and_bodies_go_on() -> None:
    async def case() -> None:
        async with processor_harness() as harness:
            early = harness.proxy.open_stream()
            await early.call.write(pb.ProcessingRequest(response_headers=headers_message({":status": "200"})))
            assert (await early.call.read()).immediate_response.status.code == 400
            exchange = harness.proxy.open_stream()
            await harness.decide(exchange)
            await exchange.call.write(pb.ProcessingRequest(request_body=pb.HttpBody(body=b"x" * 1000)))
            assert (await exchange.call.read()).WhichOneof("response") == "request_body"
            await exchange.call.write(
                pb.ProcessingRequest(request_headers=headers_message(harness.headers()))
            )
            assert (
                await exchange.call.read()
            ).immediate_response.status.code == 400  # a second request on one stream
            await wait_until(harness.is_idle)

    run(case())


def test_the_answer_asks_for_headers_only() -> None:
    async def case() -> None:
        async with processor_harness() as harness:
            exchange = harness.proxy.open_stream()
            await exchange.call.write(
                pb.ProcessingRequest(request_headers=headers_message(harness.headers()))
            )
            answer = await exchange.call.read()
            assert answer.mode_override.request_body_mode == 0
            assert answer.mode_override.response_header_mode == 1
            destination = answer.dynamic_metadata["envoy.lb"]["x-gateway-destination-endpoint"]
            options = answer.request_headers.response.header_mutation.set_headers
            values = {option.header.key: option.header.raw_value.decode() for option in options}
            assert values["x-gateway-destination-endpoint"] == destination
            assert int(values["x-budget-ms"]) <= 2000
            assert int(values[VALID]) < 500
            exchange.cancel()

    run(case())


def test_a_bad_request_is_told_what_it_lacks() -> None:
    async def case() -> None:
        async with processor_harness() as harness:
            decision = await harness.decide(harness.proxy.open_stream(), x_budget_ms="soon")
            assert decision.status == 400
            assert "x-budget-ms" in decision.details
            assert harness.is_idle()

    run(case())


def test_more_streams_than_the_bound_are_refused_at_once() -> None:
    async def case() -> None:
        async with processor_harness(streams_most=2) as harness:
            open_streams = [harness.proxy.open_stream() for _ in range(2)]
            for number, exchange in enumerate(open_streams):
                assert (await harness.decide(exchange, x_call_id=f"h{number}")).address
            refused = await harness.decide(harness.proxy.open_stream(), x_call_id="late")
            assert refused.status == 503
            retried = await harness.decide(harness.proxy.open_stream(), x_call_id="late2", **{ATTEMPTS: "2"})
            assert retried.status == 502  # a retry may have run, so it is not refused with 503
            open_streams[0].cancel()
            await wait_until(lambda: harness.front.streams < 2)
            assert (await harness.decide(harness.proxy.open_stream(), x_call_id="later")).address
            open_streams[1].cancel()

    run(case())


def test_a_process_that_is_later_than_the_proxy_waits_refuses_at_once() -> None:
    async def case() -> None:
        async with processor_harness(message_timeout_ms=50) as harness:
            harness.front.lag_s = 0.2
            assert (await harness.decide(harness.proxy.open_stream())).status == 503
            await wait_until(lambda: not harness.front.overloaded())
            assert (await harness.decide(harness.proxy.open_stream())).address

    run(case())


def test_a_planned_end_lets_open_streams_report() -> None:
    async def case() -> None:
        async with processor_harness() as harness:
            exchange = harness.proxy.open_stream()
            assert (await harness.decide(exchange)).address
            ending = asyncio.create_task(harness.front.close(10.0))
            await asyncio.sleep(0.1)
            await exchange.report({":status": "200"}, 5.0)
            await ending
            assert harness.is_idle()
            assert harness.sidecar.engine.balancer.overload.last_answer > 0

    run(case())


def test_too_large_and_meaningless_messages_end_their_stream_only() -> None:
    async def case() -> None:
        async with processor_harness() as harness:
            raw = harness.proxy.channel.stream_stream("/envoy.service.ext_proc.v3.ExternalProcessor/Process")
            for payload in (b"\xff" * 50, b"\x0a" + b"x" * (MAX_MESSAGE_BYTES + 1)):
                call = raw()
                with contextlib.suppress(grpc.aio.AioRpcError, asyncio.InvalidStateError):
                    await call.write(payload)
                    await call.read()
                assert await call.code() != grpc.StatusCode.OK
            reader, writer = await asyncio.open_connection("127.0.0.1", harness.front.port)
            writer.write(request())  # a plain HTTP/1.1 client
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                await read_message(reader)
            writer.close()
            assert (await harness.decide(harness.proxy.open_stream())).address

    run(case())


def test_many_streams_at_once_all_get_their_decision() -> None:
    async def case() -> None:
        async with processor_harness() as harness:
            # With default limits grpcio itself drops streams beyond 3,000 pending ones.
            exchanges = [harness.proxy.open_stream() for _ in range(4000)]
            cpu_s = time.process_time()
            decisions = await harness.decide_all(exchanges)
            assert time.process_time() - cpu_s < MANY_STREAMS_CPU_S
            assert len(decisions) == 4000  # `decide_all` fails for a stream without an answer
            assert all(one.address or one.status == 503 for one in decisions)
            assert all(one.address or one.details.startswith("ext_proc: ") for one in decisions)
            for one in exchanges:
                one.cancel()
            await wait_until(lambda: harness.front.streams == 0 and harness.is_idle())

    run(case(), MANY_STREAMS_S + WAIT_S)
