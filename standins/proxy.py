"""A proxy that calls an external processor once a request, after the published `ext_proc` protocol.

It speaks with grpcio's client, sends requests to the check servers itself, comes again as its settings say,
and counts one final outcome for each request. What it does not know to have failed it never calls refused.
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

from standins.errands import Errands
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
class Ways:
    """How a proxy behaves. `keeps_tokens`: whether it gives back the token of an earlier decision."""

    tries: int = 3
    message_timeout_s: float = 1.0
    budget_s: float = 3.0
    keeps_tokens: bool = True
    gives_up: float = 0.0  # share of requests whose client leaves after a moment
    holds: float = 0.0  # share of decisions that wait here for longer than they are valid
    hold_s: float = 0.4
    forges: float = 0.0  # share of tokens that are changed before they are given back
    fails_open: tuple[str, ...] = ()  # where requests go that the processor decides nothing for; none: closed


@dataclass(slots=True)
class Decision:
    """What the processor said: an address, or a status."""

    address: str = ""
    status: int = 0
    token: str = ""
    valid_s: float = 0.0
    at: float = 0.0
    details: str = ""
    checked: str = ""  # what the processor says of the token that it was given back


def headers_message(headers: dict[str, str]) -> pb.HttpHeaders:
    told = [HeaderValue(key=name, raw_value=value.encode()) for name, value in headers.items()]
    return pb.HttpHeaders(headers=HeaderMap(headers=told), end_of_stream=False)


def read_decision(answer: pb.ProcessingResponse) -> Decision:
    """The decision of an answer to request headers."""
    now = time.monotonic()
    if answer.WhichOneof("response") == "immediate_response":
        told = answer.immediate_response
        _, _, checked = told.details.partition(" (token ")
        return Decision(
            status=int(told.status.code), details=told.details, checked=checked.rstrip(")"), at=now
        )
    options = answer.request_headers.response.header_mutation.set_headers
    found = {option.header.key: option.header.raw_value.decode() for option in options}
    return Decision(
        address=found[DESTINATION],
        token=found.get(TOKEN, ""),
        valid_s=int(found[VALID]) / 1000,
        checked=found.get(CHECKED, ""),
        at=now,
    )


class Asked:
    """One stream to the processor."""

    def __init__(self, call: Any) -> None:
        self.call = call

    async def decide(self, headers: dict[str, str], timeout_s: float) -> Decision | None:
        """The decision, or None where the processor is gone or too late."""
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
        """Tell the response's headers and end the stream."""
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
    """One proxy; `run` sends, and all its requests have ended after `settle`."""

    numbers = count()

    def __init__(self, name: str, port: int, ledger: Ledger, rng: random.Random, ways: Ways) -> None:
        self.name = name
        self.ledger = ledger
        self.rng = rng
        self.ways = ways
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
        self.errands = Errands()
        self.decided_s: list[float] = []
        self.tokens: dict[str, int] = {}  # tokens given back, by what the processor said of them
        self.opened = 0  # requests that were sent on without a decision
        self.stale = 0  # decisions that waited here for longer than they were valid
        self.idle: dict[str, list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = {}

    async def run(self, rate: float, seconds: float) -> None:
        """First tries at random moments, so many a second on the average."""
        end = due = time.monotonic()
        end += seconds
        while due < end:
            due += self.rng.expovariate(rate)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            self.errands.begin(self.one(f"{self.name}-{next(self.numbers):06d}"))

    async def settle(self) -> None:
        await self.errands.settle()

    async def close(self) -> None:
        for lines in self.idle.values():
            for _, writer in lines:
                writer.close()
        await self.channel.close()

    def ask(self) -> Asked:
        return Asked(self.process())

    # One request

    async def one(self, call_id: str) -> None:
        """A request from its taking to its one final outcome."""
        key = f"key-{call_id}"
        sent = self.ledger.sends(call_id, key, time.monotonic(), self.ways.budget_s, True)
        if self.rng.random() < self.ways.gives_up:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self.rng.uniform(0.0, 0.06)):
                    await self._final(call_id, key, sent.at)
            sent.gone = sent.final is None
            return
        await self._final(call_id, key, sent.at)

    async def _final(self, call_id: str, key: str, began: float) -> None:
        final, mark = await self._tries(call_id, key, began)
        self.ledger.answered(call_id, final, time.monotonic(), mark)

    async def _tries(self, call_id: str, key: str, began: float) -> tuple[Final, str]:
        token, may_have_run, unused = "", False, False
        last: Final = "failed"
        for _ in range(self.ways.tries):
            left = began + self.ways.budget_s - time.monotonic()
            if left <= 0.05:
                break
            headers = self._headers(call_id, key, left)
            if may_have_run or unused:
                headers[ATTEMPTS] = "2"
                if token:
                    headers[TOKEN] = self._given_back(token)
                if unused and not may_have_run:
                    headers[UNUSED] = "1"
            asked = self.ask()
            try:
                began_asking = time.monotonic()
                decision = await asked.decide(headers, min(left, self.ways.message_timeout_s))
                if decision is None:  # the processor is gone: nothing was sent for this decision
                    if self.ways.fails_open and not may_have_run:
                        return await self._without_decision(call_id, key, left)
                    last = "failed" if may_have_run else "refused"
                    await asyncio.sleep(0.1)
                    continue
                self.decided_s.append(decision.at - began_asking)
                if decision.checked:
                    self.tokens[decision.checked] = self.tokens.get(decision.checked, 0) + 1
                if decision.status:
                    return ("refused" if decision.status in (429, 503) else "failed"), ""
                if self.rng.random() < self.ways.holds:
                    await asyncio.sleep(self.ways.hold_s)
                if time.monotonic() > decision.at + decision.valid_s:
                    self.stale += 1
                    if not may_have_run:
                        token, unused = decision.token, True
                    continue
                answer = await self._send(decision.address, call_id, key, left)
                if isinstance(answer, Message):
                    await asked.report(self._told(answer), self.ways.message_timeout_s)
                    if answer.status == 200:
                        return "served", self._mark(answer, call_id)
                    ran = answer.headers.get("x-rejected") != "1"
                else:
                    ran = answer
                unused = False
                if ran:
                    may_have_run = True
                    token = decision.token if self.ways.keeps_tokens else ""
                last = "failed" if may_have_run else "refused"
            finally:
                asked.cancel()
        return last, ""

    async def _without_decision(self, call_id: str, key: str, left: float) -> tuple[Final, str]:
        """Fail open: one try at a place of the proxy's own choice, which no rule of the processor's binds."""
        self.opened += 1
        self.ledger.own_ways.add(call_id)
        answer = await self._send(self.rng.choice(self.ways.fails_open), call_id, key, left)
        if isinstance(answer, Message) and answer.status == 200:
            return "served", self._mark(answer, call_id)
        ran = answer is True or (isinstance(answer, Message) and answer.headers.get("x-rejected") != "1")
        return ("failed" if ran else "refused"), ""

    def _given_back(self, token: str) -> str:
        """The token, or one that somebody has changed."""
        if self.rng.random() >= self.ways.forges:
            return token
        place = self.rng.randrange(len(token) // 2)
        return token[:place] + ("A" if token[place] != "A" else "B") + token[place + 1 :]

    @staticmethod
    def _mark(answer: Message, call_id: str) -> str:
        """The part of a served body that names its making, where it is this request's."""
        told_id, _, mark = answer.body.decode("latin-1").partition(" ")
        return mark if told_id == call_id else ""

    def _headers(self, call_id: str, key: str, left: float) -> dict[str, str]:
        return {
            ":method": "POST",
            ":path": f"/api?user={key}",
            "x-call-id": call_id,
            "x-call-class": "check",
            "x-caller": "t0",
            "idempotency-key": key,
            "x-budget-ms": str(max(1, int(left * 1000))),
        }

    @staticmethod
    def _told(answer: Message) -> dict[str, str]:
        told = {":status": str(answer.status)}
        if "x-rejected" in answer.headers:
            told["x-rejected"] = answer.headers["x-rejected"]
        return told

    async def _send(self, address: str, call_id: str, key: str, left: float) -> Message | bool:
        """The check server's answer, or whether the request may have run."""
        headers = {"Host": "backend.local", "X-Call-Id": call_id, "Idempotency-Key": key}
        text = request("POST", "/api", headers, b"{}")
        host, _, port = address.rpartition(":")
        lines = self.idle.setdefault(address, [])
        line = None
        while lines and line is None:
            line = lines.pop()
            if line[0].at_eof() or line[1].is_closing():
                line = None
        try:
            async with asyncio.timeout(max(0.0, left)):
                reader, writer = line or await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            return False
        try:
            async with asyncio.timeout(max(0.0, left)):
                writer.write(text)
                answer = await read_message(reader)
        except (OSError, TimeoutError, WireError, asyncio.IncompleteReadError):
            answer = None
        except asyncio.CancelledError:
            writer.transport.abort()
            raise
        if answer is None:
            writer.transport.abort()
            return True
        lines.append((reader, writer))
        return answer
