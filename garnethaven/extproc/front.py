"""The front: a gRPC server of `envoy.service.ext_proc.v3.ExternalProcessor`, one stream a request.

| a stream is | and on |
| --- | --- |
| new | request headers: a call is taken, and the module decides at once |
| decided | response headers: the outcome is told and the stream ends; its end without them: it may have run |
| over | anything more is answered with 400 and the stream ends |

A decision that could not be written has not run. Past `streams_most` streams, and while this process is later
than the proxy's message time-out allows, requests are refused at once.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterable
from typing import Any

import grpc
import grpc.aio
from envoy.service.ext_proc.v3 import external_processor_pb2 as pb

from garnethaven.addresses import Address
from garnethaven.backlog import drain_duplicates, duplicate_listening_sockets
from garnethaven.engine.calls import Call
from garnethaven.engine.classes import Classes
from garnethaven.engine.engine import MS, Engine, S
from garnethaven.extproc.answers import SERVED, VALID, go_on, headers_of, immediate, send_to
from garnethaven.extproc.mapping import CHECKED, TOKEN, Mapped, MappingError, map_request, outcome_of
from garnethaven.extproc.report import ReportAttempt, ReportTransport
from garnethaven.extproc.table import ExternalProcessor
from garnethaven.extproc.tokens import Flaw, Proof, Tokens
from garnethaven.interface import Outcome, PriorAttempt
from garnethaven.net.transport import HttpTransport

SERVICE = "envoy.service.ext_proc.v3.ExternalProcessor"
LAG_EVERY_S = 0.05
DRAIN_S = 0.1  # for proxies that have connected to say hello, before the planned end
MESSAGE_MOST = 64 * 1024
PENDING_MOST = 200_000
ACCEPTED = "accepted"
BODIES = ("request_body", "response_body", "request_trailers", "response_trailers")


class Stream:
    """One request of the proxy's; the engine's `Client` and the report transport's `Stream`."""

    def __init__(self, front: Front) -> None:
        self.front = front
        self.call: Call | None = None
        self.attempt: ReportAttempt | None = None
        self.reply: bytes | None = None
        self.address = ""  # that was decided
        self.checked = ""  # what came of the token that the request brought
        self.over = False

    # What the proxy says

    def take(self, message: pb.ProcessingRequest) -> bytes:
        """One message in, its answer out."""
        part = message.WhichOneof("request")
        if part == "request_headers" and self.call is None and not self.over:
            return self._request(headers_of(message.request_headers))
        if part == "response_headers" and self.attempt is not None:
            return self._response(headers_of(message.response_headers))
        if part in BODIES and self.call is not None:
            return go_on(part)
        self.over = True
        return immediate(400, f"ext_proc: {part or 'an empty message'} out of turn")

    def _request(self, headers: dict[str, str]) -> bytes:
        front = self.front
        try:
            mapped = map_request(headers, front.classes, front.operator.routes)
        except MappingError as problem:
            self.over = True
            return immediate(400, f"ext_proc: {problem}")
        if front.overloaded():
            self.over = True
            front.refused_early += 1
            # Nothing of this request ran through this life; of one that comes again that is not known.
            return immediate(502 if mapped.comes_again else 503, "ext_proc: the processor is overloaded")
        self.call = call = Call(self, mapped.call_id, ReportTransport(self))
        call.class_index, call.caller, call.key = mapped.grade, mapped.tenant, mapped.key
        call.tenant = mapped.caller
        call.budget, call.is_retry = mapped.budget, mapped.repeat
        call.prior, self.checked = front.prior(mapped)
        if not front.engine.take(call):
            self.call, self.over = None, True
            return immediate(409, "ext_proc: a request with this id is under way")
        if self.reply is None:
            self.over = True
            front.engine.client_left(call)
            return immediate(500, "ext_proc: no decision")
        return self.reply

    def _response(self, headers: dict[str, str]) -> bytes:
        served_by = headers.get(SERVED)
        try:
            outcome = outcome_of(headers)
        except MappingError:
            outcome = Outcome.CANCELLED
        if served_by is not None and served_by != self.address:
            outcome = Outcome.CANCELLED  # of another server's doing, whatever it was
        self._end(outcome)
        self.over = True  # nothing more is of use here, and a stream that this side ends costs one read less
        return go_on("response_headers")

    # What the engine says

    def decided(self, attempt: ReportAttempt) -> None:
        front, call = self.front, attempt.call
        address = front.address_of(attempt.endpoint)
        if self.reply is not None or address is None:  # one decision a stream; nowhere to send to
            attempt.over = True
            front.engine.attempt_ended(attempt, Outcome.SKIPPED)
            return
        self.attempt = attempt
        left = max(1, (call.deadline - attempt.sent_at) // MS)
        headers = {VALID: str(front.operator.valid_ms), "x-budget-ms": str(left)}
        token = front.token(attempt)
        if token is not None:
            headers[TOKEN] = token
        if self.checked:
            headers[CHECKED] = self.checked
        self.address = address
        self.reply = send_to(address, headers)

    def refused(self, retry_after: int, over_share: bool) -> None:
        self.over = True
        headers = {"retry-after": f"{retry_after / S:.3f}"} if retry_after else {}
        if over_share:
            self.reply = immediate(429, self._details("refused, the tenant is over its share"), headers)
        else:
            self.reply = immediate(503, self._details("refused, trying again is harmless"), headers)

    def failed(self, status: int) -> None:
        self.over = True
        if self.reply is None:
            self.reply = immediate(status, self._details("failed, it may have run"))

    def _details(self, text: str) -> str:
        """The reason of an answer that ends the request, for the proxy's log."""
        return f"ext_proc: {text} (token {self.checked})" if self.checked else f"ext_proc: {text}"

    # The end

    def delivered(self) -> None:
        """The answer has been written to the proxy."""
        if self.attempt is not None:
            self.attempt.delivered = True

    def ended(self) -> None:
        """The stream is gone, whoever ended it."""
        attempt = self.attempt
        if attempt is not None and not attempt.over:
            self._end(Outcome.CANCELLED if attempt.delivered else Outcome.SKIPPED)
        elif self.call is not None:
            self.front.engine.client_left(self.call)
        self.call = self.attempt = (
            None  # they know this stream: a cycle that only a full collection would free
        )

    def _end(self, outcome: Outcome) -> None:
        """Tell the attempt's end once; the proxy has its answer, so the module must not try elsewhere."""
        attempt = self.attempt
        if attempt is None or attempt.over:
            return
        attempt.over = True
        engine = self.front.engine
        if outcome is Outcome.DONE:
            engine.attempt_ended(attempt, outcome, (), lambda: None)
        else:
            engine.client_left(attempt.call)
            engine.attempt_ended(attempt, outcome)


class Front:
    """The server. `start` raises OSError where its address can't be had."""

    def __init__(
        self, operator: ExternalProcessor, engine: Engine, transport: HttpTransport, classes: Classes
    ) -> None:
        self.operator = operator
        self.engine = engine
        self.transport = transport
        self.classes = classes
        longest = max((grade.deadline for grade in engine.settings.request_classes), default=0)
        self.tokens = Tokens(operator.keys, longest // MS)
        self.streams = 0
        self.refused_early = 0
        self.checked = 0
        self.rejected = 0
        self.lag_s = 0.0
        self.looked_at = 0.0
        self.look: asyncio.TimerHandle | None = None
        self.server: grpc.aio.Server | None = None
        self.port = 0

    def renew(self, operator: ExternalProcessor) -> None:
        """Take over the table as it is now; its address stays until a restart."""
        self.tokens = Tokens(operator.keys, self.tokens.valid_ms)
        self.operator = operator

    async def start(self, address: Address) -> Front:
        server = grpc.aio.server(
            options=[
                ("grpc.max_receive_message_length", MESSAGE_MOST),
                ("grpc.max_send_message_length", MESSAGE_MOST),
                ("grpc.so_reuseport", 0),
                # The library would drop streams that wait to be taken up; here they are refused with a
                # reason.
                ("grpc.server.max_pending_requests", PENDING_MOST),
                ("grpc.server.max_pending_requests_hard_limit", PENDING_MOST),
            ]
        )
        process = grpc.stream_stream_rpc_method_handler(
            self._process,
            request_deserializer=pb.ProcessingRequest.FromString,
        )
        server.add_generic_rpc_handlers(
            (grpc.method_handlers_generic_handler(SERVICE, {"Process": process}),)
        )
        try:
            self.port = server.add_insecure_port("{}:{}".format(*address))
        except RuntimeError as problem:
            raise OSError(f"external_processor.listen: {problem}") from None
        await server.start()
        self.server = server
        self._look()
        return self

    async def close(self, grace_s: float) -> None:
        """Tell proxies to go elsewhere, and give open streams so long for what they still have to report."""
        if self.look is not None:
            self.look.cancel()
        if self.server is not None:
            server, self.server = self.server, None
            if grace_s:
                await self._take_arrived()
            await server.stop(grace_s)

    async def _take_arrived(self) -> None:
        """The library closes its sockets on whoever waits there, and drops who has not said hello."""
        await drain_duplicates(duplicate_listening_sockets(self.port))
        await asyncio.sleep(DRAIN_S)

    def _look(self) -> None:
        """See how late this process runs: what comes later than the proxy waits is decided for nobody."""
        now = self.engine.loop.time()
        late = now - self.looked_at - LAG_EVERY_S if self.looked_at else 0.0
        self.lag_s = max(late, self.lag_s / 2, 0.0)
        self.looked_at = now
        self.look = self.engine.loop.call_later(LAG_EVERY_S, self._look)

    def overloaded(self) -> bool:
        return (
            self.streams > self.operator.streams_most or self.lag_s * 1000 > self.operator.message_timeout_ms
        )

    # gRPC's side

    async def _process(self, messages: AsyncIterable[pb.ProcessingRequest], context: Any) -> None:
        stream = Stream(self)
        self.streams += 1
        try:
            async for message in messages:
                await context.write(stream.take(message))
                stream.delivered()
                if stream.over:
                    return
        finally:
            self.streams -= 1
            stream.ended()

    # What streams ask for

    def address_of(self, endpoint: int) -> str | None:
        target = self.transport.targets.get(endpoint)
        if target is None or target.address is None:
            return None
        return "{}:{}".format(*target.address)

    def token(self, attempt: ReportAttempt) -> str | None:
        server = self.engine.balancer.servers.get(attempt.endpoint)
        if server is None:
            return None
        proof = Proof(server.id, server.cell, server.zone, time.time_ns() // MS)
        return self.tokens.sign(proof, attempt.call.call_id, attempt.call.class_index)

    def prior(self, mapped: Mapped) -> tuple[PriorAttempt | None, str]:
        """What is known of an attempt that was sent before, where one may have been; and of its token."""
        if not mapped.comes_again:
            return None, ""
        if not mapped.token:
            return PriorAttempt(), ""
        now_ms = time.time_ns() // MS
        told = self.tokens.check(mapped.token, mapped.call_id, mapped.grade, now_ms)
        self.checked += 1
        if isinstance(told, Flaw):
            self.rejected += 1
            self.engine.log(f"external processor: a token was rejected: {told.value}")
            return PriorAttempt(), f"rejected: {told.value}"
        if mapped.unused:
            return None, ACCEPTED
        return PriorAttempt(told.server, told.zone, told.rack, max(0, now_ms - told.sent_ms) * MS), ACCEPTED
