"""Stand-in of a proxy that calls an external processor for each request over the public `ext_proc` protocol.

It uses the client of grpcio, sends requests to the check servers, retries as configured, and records one
final outcome for each request. A request that may have run never counts as refused.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from dataclasses import dataclass
from itertools import count
from typing import Any

import grpc
import grpc.aio
from envoy.config.core.v3.base_pb2 import HeaderMap, HeaderValue
from envoy.service.ext_proc.v3 import external_processor_pb2 as pb

from standins.background_tasks import BackgroundTasks
from standins.ledger import Final, Ledger
from standins.wire import Message, WireError, read_message, request

METHOD = "/envoy.service.ext_proc.v3.ExternalProcessor/Process"
DESTINATION = "x-gateway-destination-endpoint"
TOKEN = "x-gateway-decision-token"
CHECKED = "x-gateway-decision-token-checked"
UNUSED = "x-gateway-decision-unused"
VALID = "x-gateway-decision-valid-ms"
ATTEMPTS = "x-envoy-attempt-count"


@dataclass(slots=True)
class ProxySettings:
    """Settings of a proxy. `keeps_tokens`: whether retries carry the token of an earlier decision."""

    tries: int = 3
    message_timeout_s: float = 1.0
    budget_s: float = 3.0
    keeps_tokens: bool = True
    disconnect_share: float = 0.0  # share of requests whose client disconnects after at most 60 ms
    hold_share: float = 0.0  # share of decisions that are held for `hold_s` before use, beyond their validity
    hold_s: float = 0.4
    forge_share: float = 0.0  # share of tokens that are altered before a retry sends them
    fail_open_addresses: tuple[str, ...] = ()  # addresses used without a decision; empty: fail closed


@dataclass(slots=True)
class Decision:
    """A decision of the processor: an address to send to, or a status to answer with."""

    address: str = ""
    status: int = 0
    token: str = ""
    valid_s: float = 0.0
    at: float = 0.0
    details: str = ""
    checked: str = ""  # result of the processor's check of the token of an earlier decision


def headers_message(headers: dict[str, str]) -> pb.HttpHeaders:
    values = [HeaderValue(key=name, raw_value=value.encode()) for name, value in headers.items()]
    return pb.HttpHeaders(headers=HeaderMap(headers=values), end_of_stream=False)


def read_decision(answer: pb.ProcessingResponse) -> Decision:
    """Parse the decision from an answer to request headers."""
    now = time.monotonic()
    if answer.WhichOneof("response") == "immediate_response":
        response = answer.immediate_response
        _, _, checked = response.details.partition(" (token ")
        return Decision(
            status=int(response.status.code), details=response.details, checked=checked.rstrip(")"), at=now
        )
    options = answer.request_headers.response.header_mutation.set_headers
    values = {option.header.key: option.header.raw_value.decode() for option in options}
    return Decision(
        address=values[DESTINATION],
        token=values.get(TOKEN, ""),
        valid_s=int(values[VALID]) / 1000,
        checked=values.get(CHECKED, ""),
        at=now,
    )


class ProcessorStream:
    """One `ext_proc` stream to the processor."""

    def __init__(self, call: Any) -> None:
        self.call = call

    async def decide(self, headers: dict[str, str], timeout_s: float) -> Decision | None:
        """The decision, or None if the processor is unreachable or does not answer in time."""
        try:
            async with asyncio.timeout(timeout_s):
                await self.call.write(pb.ProcessingRequest(request_headers=headers_message(headers)))
                answer = await self.call.read()
        except (TimeoutError, grpc.aio.AioRpcError, asyncio.InvalidStateError):
            self.cancel()
            return None
        if answer is grpc.aio.EOF:
            return None
        return read_decision(answer)

    async def report(self, headers: dict[str, str], timeout_s: float) -> None:
        """Send the response's headers to the processor and end the stream."""
        with contextlib.suppress(TimeoutError, grpc.aio.AioRpcError, asyncio.InvalidStateError):
            async with asyncio.timeout(timeout_s):
                await self.call.write(pb.ProcessingRequest(response_headers=headers_message(headers)))
                await self.call.read()
                await self.call.done_writing()
                return
        self.cancel()

    def cancel(self) -> None:
        self.call.cancel()


class Proxy:
    """One proxy; `run` sends requests, and `settle` waits until all of them have ended."""

    numbers = count()

    def __init__(
        self, name: str, port: int, ledger: Ledger, rng: random.Random, settings: ProxySettings
    ) -> None:
        self.name = name
        self.ledger = ledger
        self.rng = rng
        self.settings = settings
        self.channel = grpc.aio.insecure_channel(
            f"127.0.0.1:{port}",
            options=[
                ("grpc.initial_reconnect_backoff_ms", 50),
                ("grpc.max_reconnect_backoff_ms", 200),
                ("grpc.use_local_subchannel_pool", 1),
            ],
        )
        self.process = self.channel.stream_stream(
            METHOD,
            request_serializer=pb.ProcessingRequest.SerializeToString,
            response_deserializer=pb.ProcessingResponse.FromString,
        )
        self.background_tasks = BackgroundTasks()
        self.decision_times_s: list[float] = []
        self.tokens: dict[str, int] = {}  # tokens sent with retries, by the result of the processor's check
        self.sent_without_decision = 0  # requests forwarded without a decision
        self.expired_decisions = 0  # decisions that expired before use
        self.idle: dict[str, list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = {}

    async def run(self, rate: float, seconds: float) -> None:
        """Send first tries as a Poisson process of `rate` per second."""
        end = due = time.monotonic()
        end += seconds
        while due < end:
            due += self.rng.expovariate(rate)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            self.background_tasks.begin(self.one(f"{self.name}-{next(self.numbers):06d}"))

    async def settle(self) -> None:
        await self.background_tasks.settle()

    async def close(self) -> None:
        for connections in self.idle.values():
            for _, writer in connections:
                writer.close()
        await self.channel.close()

    def open_stream(self) -> ProcessorStream:
        return ProcessorStream(self.process())

    # One request

    async def one(self, call_id: str) -> None:
        """Handle a request from its arrival to its final outcome."""
        key = f"key-{call_id}"
        sent = self.ledger.record_sent(call_id, key, time.monotonic(), self.settings.budget_s, True)
        if self.rng.random() < self.settings.disconnect_share:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self.rng.uniform(0.0, 0.06)):
                    await self._finish(call_id, key, sent.at)
            sent.abandoned = sent.final is None
            return
        await self._finish(call_id, key, sent.at)

    async def _finish(self, call_id: str, key: str, started_at: float) -> None:
        final, mark = await self._tries(call_id, key, started_at)
        self.ledger.record_answer(call_id, final, time.monotonic(), mark)

    async def _tries(self, call_id: str, key: str, started_at: float) -> tuple[Final, str]:
        token, may_have_run, unused = "", False, False
        last: Final = "failed"
        ends_at = started_at + self.settings.budget_s
        for _ in range(self.settings.tries):
            left_s = ends_at - time.monotonic()
            if left_s <= 0.05:
                break
            headers = self._headers(call_id, key, left_s)
            if may_have_run or unused:
                headers[ATTEMPTS] = "2"
                if token:
                    headers[TOKEN] = self._retry_token(token)
                if unused and not may_have_run:
                    headers[UNUSED] = "1"
            stream = self.open_stream()
            try:
                asked_at = time.monotonic()
                decision = await stream.decide(headers, min(left_s, self.settings.message_timeout_s))
                if decision is None:  # no decision: nothing was sent to a check server
                    if self.settings.fail_open_addresses and not may_have_run:
                        return await self._without_decision(call_id, key, ends_at)
                    last = "failed" if may_have_run else "refused"
                    await asyncio.sleep(0.1)
                    continue
                self.decision_times_s.append(decision.at - asked_at)
                if decision.checked:
                    self.tokens[decision.checked] = self.tokens.get(decision.checked, 0) + 1
                if decision.status:
                    return ("refused" if decision.status in (429, 503) else "failed"), ""
                if self.rng.random() < self.settings.hold_share:
                    await asyncio.sleep(self.settings.hold_s)
                if time.monotonic() > decision.at + decision.valid_s:
                    self.expired_decisions += 1
                    if not may_have_run:
                        token, unused = decision.token, True
                    continue
                answer = await self._send(decision.address, call_id, key, ends_at)
                if isinstance(answer, Message):
                    await stream.report(self._response_headers(answer), self.settings.message_timeout_s)
                    if answer.status == 200:
                        return "served", self._mark(answer, call_id)
                    ran = answer.headers.get("x-rejected") != "1"
                else:
                    ran = answer
                unused = False
                if ran:
                    may_have_run = True
                    token = decision.token if self.settings.keeps_tokens else ""
                last = "failed" if may_have_run else "refused"
            finally:
                stream.cancel()
        return last, ""

    async def _without_decision(self, call_id: str, key: str, ends_at: float) -> tuple[Final, str]:
        """Fail open: one try at a server chosen by the proxy, to which the processor's rules do not apply."""
        self.sent_without_decision += 1
        self.ledger.sent_without_decision.add(call_id)
        answer = await self._send(self.rng.choice(self.settings.fail_open_addresses), call_id, key, ends_at)
        if isinstance(answer, Message) and answer.status == 200:
            return "served", self._mark(answer, call_id)
        may_have_run = answer is True or (
            isinstance(answer, Message) and answer.headers.get("x-rejected") != "1"
        )
        return ("failed" if may_have_run else "refused"), ""

    def _retry_token(self, token: str) -> str:
        """The token, or an altered one for a share of `forges`."""
        if self.rng.random() >= self.settings.forge_share:
            return token
        index = self.rng.randrange(len(token) // 2)
        return token[:index] + ("A" if token[index] != "A" else "B") + token[index + 1 :]

    @staticmethod
    def _mark(answer: Message, call_id: str) -> str:
        """The execution mark in a served body, or an empty string if the body is of another request."""
        answered_id, _, mark = answer.body.decode("latin-1").partition(" ")
        return mark if answered_id == call_id else ""

    def _headers(self, call_id: str, key: str, left_s: float) -> dict[str, str]:
        return {
            ":method": "POST",
            ":path": f"/api?user={key}",
            "x-call-id": call_id,
            "x-call-class": "check",
            "x-caller": "t0",
            "idempotency-key": key,
            "x-budget-ms": str(max(1, int(left_s * 1000))),
        }

    @staticmethod
    def _response_headers(answer: Message) -> dict[str, str]:
        headers = {":status": str(answer.status)}
        if "x-rejected" in answer.headers:
            headers["x-rejected"] = answer.headers["x-rejected"]
        return headers

    async def _send(self, address: str, call_id: str, key: str, ends_at: float) -> Message | bool:
        """The check server's answer by `ends_at`, or, if there is none, whether the request may have run."""
        headers = {"Host": "backend.local", "X-Call-Id": call_id, "Idempotency-Key": key}
        data = request("POST", "/api", headers, b"{}")
        host, _, port = address.rpartition(":")
        idle_connections = self.idle.setdefault(address, [])
        connection = None
        while idle_connections and connection is None:
            connection = idle_connections.pop()
            if connection[0].at_eof() or connection[1].is_closing():
                connection = None
        try:
            async with asyncio.timeout(max(0.0, ends_at - time.monotonic())):
                reader, writer = connection or await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            return False
        try:
            async with asyncio.timeout(max(0.0, ends_at - time.monotonic())):
                writer.write(data)
                answer = await read_message(reader)
        except (OSError, TimeoutError, WireError, asyncio.IncompleteReadError):
            answer = None
        except asyncio.CancelledError:
            writer.transport.abort()
            raise
        if answer is None:
            writer.transport.abort()
            return True
        idle_connections.append((reader, writer))
        return answer
