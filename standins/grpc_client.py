"""A gRPC application on grpcio: sends open-loop calls, records the final outcomes and checks trailers."""

from __future__ import annotations

import asyncio
import random
import time
from itertools import count
from typing import Any

import grpc
import grpc.aio

from standins.background_tasks import BackgroundTasks
from standins.ledger import Final, Ledger

RUN, STATUS, ECHO = "/check.Checks/Run", "/check.Checks/Status", "/check.Checks/Echo"
REFUSED = (grpc.StatusCode.UNAVAILABLE, grpc.StatusCode.RESOURCE_EXHAUSTED)


class GrpcApplication:
    """`run` sends calls, and `settle` waits until all of them have ended.

    A refused call is retried at once, up to `retries` times.
    """

    numbers = count()

    def __init__(self, name: str, port: int, ledger: Ledger, rng: random.Random, rate: float) -> None:
        self.name = name
        self.ledger = ledger
        self.rng = rng
        self.rate = rate
        self.retries = 2
        self.budget_s = 3.0
        self.trailers_changed = 0
        self.streams = self.streams_broken = 0
        self.background_tasks = BackgroundTasks()
        self.channel = grpc.aio.insecure_channel(
            f"127.0.0.1:{port}", options=[("grpc.enable_retries", 0), ("grpc.use_local_subchannel_pool", 1)]
        )

    async def run(self, seconds: float) -> None:
        due = time.monotonic()
        end = due + seconds
        while due < end:
            due += self.rng.expovariate(self.rate)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            self.background_tasks.begin(self.one(f"{self.name}-{next(self.numbers):06d}"))

    async def settle(self) -> None:
        await self.background_tasks.settle()

    async def close(self) -> None:
        await self.channel.close()

    async def one(self, call_id: str) -> None:
        """Make a call, with its retries, and record its final outcome."""
        sent = self.ledger.record_sent(call_id, call_id, time.monotonic(), self.budget_s, True)
        final: Final = "refused"
        mark = ""
        for attempt in range(self.retries + 1):
            left_s = sent.at + self.budget_s - time.monotonic()
            if left_s <= 0.05:
                break
            final, mark = await self._try(call_id, left_s, attempt)
            if final != "refused":
                break
        self.ledger.record_answer(call_id, final, time.monotonic(), mark)

    async def _try(self, call_id: str, left_s: float, previous_attempts: int) -> tuple[Final, str]:
        metadata = [("x-call-id", call_id), ("idempotency-key", call_id), ("x-caller", "t0")]
        if previous_attempts:
            metadata.append(("grpc-previous-rpc-attempts", str(previous_attempts)))
        call = self.channel.unary_unary(RUN)(b"{}", timeout=left_s, metadata=metadata)
        try:
            body = await call
        except grpc.aio.AioRpcError as error:
            return ("refused" if error.code() in REFUSED else "failed"), ""
        trailers = dict(await call.trailing_metadata())
        self.trailers_changed += trailers.get("x-mark") != body.decode()
        answered_id, _, mark = body.decode().partition(" ")
        return "served", mark if answered_id == call_id else ""

    async def status(self, code: int) -> tuple[int, str, str]:
        """Make a call that the server answers with status `code`; return its status, message and mark."""
        call = self.channel.unary_unary(STATUS)(b"%d" % code, timeout=5.0)
        try:
            await call
        except grpc.aio.AioRpcError as error:
            trailers: Any = dict(error.trailing_metadata() or ())
            return int(error.code().value[0]), error.details() or "", str(trailers.get("x-mark", ""))
        return 0, "", str(dict(await call.trailing_metadata()).get("x-mark", ""))

    async def stream(self, messages: int, gap_s: float) -> None:
        """Run one bidirectional stream; each message must be echoed unchanged."""
        self.streams += 1
        call = self.channel.stream_stream(ECHO)(timeout=20.0)
        try:
            for number in range(messages):
                message = b"%d" % number * self.rng.randrange(1, 2000)
                await call.write(message)
                if await call.read() != message:
                    self.streams_broken += 1
                    return
                await asyncio.sleep(gap_s)
            await call.done_writing()
            await call.read()
        except (grpc.aio.AioRpcError, asyncio.InvalidStateError):
            self.streams_broken += 1
