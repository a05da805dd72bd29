"""The front: a gRPC server of `envoy.service.ext_proc.v3.ExternalProcessor`, one stream per request.

| state of a stream | event | action |
| --- | --- | --- |
| new | request headers | a call is created and the decision is made at once |
| decided | response headers | the outcome is reported and the stream ends |
| decided | the stream ends without response headers | the request may have run |
| finished | any further message | answered with 400; the stream ends |

A request whose decision could not be written has not run. Requests are refused at once if more than
`streams_most` streams are open, or while the event loop lags by more than the proxy's message time-out.
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
from garnethaven.extproc.answers import (
    SERVED_BY_HEADER,
    VALID_MS_HEADER,
    encode_decision,
    encode_immediate_response,
    encode_unchanged,
    parse_headers,
)
from garnethaven.extproc.mapping import (
    TOKEN_CHECKED_HEADER,
    TOKEN_HEADER,
    MappedRequest,
    MappingError,
    map_request,
    outcome_of,
)
from garnethaven.extproc.report import ReportAttempt, ReportTransport
from garnethaven.extproc.table import ExternalProcessor
from garnethaven.extproc.tokens import Rejection, TokenPayload, TokenSigner
from garnethaven.interface import Outcome, PriorAttempt
from garnethaven.net.transport import HttpTransport

SERVICE = "envoy.service.ext_proc.v3.ExternalProcessor"
LAG_CHECK_INTERVAL_S = 0.05
HANDSHAKE_GRACE_S = 0.1  # lets proxies that have just connected complete the HTTP/2 handshake before a drain
MAX_MESSAGE_BYTES = 64 * 1024
MAX_PENDING_STREAMS = 200_000
ACCEPTED = "accepted"
UNMODIFIED_PARTS = ("request_body", "response_body", "request_trailers", "response_trailers")


class Stream:
    """One request of a proxy; implements the engine's `Client` and the report transport's `Stream`."""

    def __init__(self, front: Front) -> None:
        self.front = front
        self.call: Call | None = None
        self.attempt: ReportAttempt | None = None
        self.reply: bytes | None = None
        self.address = ""  # host:port of the decision
        self.token_result = ""  # result of checking the request's token; empty: no token checked
        self.finished = False

    # Messages from the proxy

    def handle_message(self, message: pb.ProcessingRequest) -> bytes:
        """Handle one message of the proxy and return the encoded answer."""
        part = message.WhichOneof("request")
        if part == "request_headers" and self.call is None and not self.finished:
            return self._handle_request_headers(parse_headers(message.request_headers))
        if part == "response_headers" and self.attempt is not None:
            return self._handle_response_headers(parse_headers(message.response_headers))
        if part in UNMODIFIED_PARTS and self.call is not None:
            return encode_unchanged(part)
        self.finished = True
        return encode_immediate_response(400, f"ext_proc: {part or 'an empty message'} out of turn")

    def _handle_request_headers(self, headers: dict[str, str]) -> bytes:
        front = self.front
        try:
            mapped = map_request(headers, front.classes, front.table.routes)
        except MappingError as error:
            self.finished = True
            return encode_immediate_response(400, f"ext_proc: {error}")
        if front.overloaded():
            self.finished = True
            front.refused_early += 1
            # This process has not sent the request. If the proxy repeats it, an earlier attempt may have run.
            # 503 asserts that nothing ran, so a repeat gets 502.
            return encode_immediate_response(
                502 if mapped.may_have_been_sent else 503, "ext_proc: the processor is overloaded"
            )
        self.call = call = Call(self, mapped.call_id, ReportTransport(self))
        call.class_index, call.caller, call.key = mapped.class_index, mapped.tenant_index, mapped.key
        call.tenant = mapped.tenant_name
        call.budget, call.is_retry = mapped.budget, mapped.is_retry
        call.prior, self.token_result = front.prior_attempt(mapped)
        if not front.engine.take(call):
            self.call, self.finished = None, True
            return encode_immediate_response(409, "ext_proc: a request with this id is under way")
        if self.reply is None:
            self.finished = True
            front.engine.client_left(call)
            return encode_immediate_response(500, "ext_proc: no decision")
        return self.reply

    def _handle_response_headers(self, headers: dict[str, str]) -> bytes:
        served_by = headers.get(SERVED_BY_HEADER)
        try:
            outcome = outcome_of(headers)
        except MappingError:
            outcome = Outcome.CANCELLED
        if served_by is not None and served_by != self.address:
            outcome = Outcome.CANCELLED  # another server answered: no evidence about this one
        self._end_attempt(outcome)
        self.finished = True  # no further message is needed, and ending the stream here saves a read
        return encode_unchanged("response_headers")

    # Calls from the engine

    def set_decision(self, attempt: ReportAttempt) -> None:
        """Encode the decision for this attempt's endpoint as the reply."""
        front, call = self.front, attempt.call
        address = front.address_of(attempt.endpoint)
        if self.reply is not None or address is None:  # already answered, or the address is unknown
            attempt.over = True
            front.engine.attempt_ended(attempt, Outcome.SKIPPED)
            return
        self.attempt = attempt
        remaining_ms = max(1, (call.deadline - attempt.sent_at) // MS)
        headers = {VALID_MS_HEADER: str(front.table.valid_ms), "x-budget-ms": str(remaining_ms)}
        token = front.sign_token(attempt)
        if token is not None:
            headers[TOKEN_HEADER] = token
        if self.token_result:
            headers[TOKEN_CHECKED_HEADER] = self.token_result
        self.address = address
        self.reply = encode_decision(address, headers)

    def refused(self, retry_after: int, over_share: bool) -> None:
        self.finished = True
        headers = {"retry-after": f"{retry_after / S:.3f}"} if retry_after else {}
        if over_share:
            self.reply = encode_immediate_response(
                429, self._details("refused, the tenant is over its share"), headers
            )
        else:
            self.reply = encode_immediate_response(
                503, self._details("refused, trying again is harmless"), headers
            )

    def failed(self, status: int) -> None:
        self.finished = True
        if self.reply is None:
            self.reply = encode_immediate_response(status, self._details("failed, it may have run"))

    def _details(self, text: str) -> str:
        """Return the reason of an answer that ends the request, for the proxy's log."""
        return f"ext_proc: {text} (token {self.token_result})" if self.token_result else f"ext_proc: {text}"

    # End of the stream

    def mark_delivered(self) -> None:
        """Record that the answer has been written to the proxy."""
        if self.attempt is not None:
            self.attempt.delivered = True

    def close(self) -> None:
        """Release the call after the stream has ended, by either side."""
        attempt = self.attempt
        if attempt is not None and not attempt.over:
            self._end_attempt(Outcome.CANCELLED if attempt.delivered else Outcome.SKIPPED)
        elif self.call is not None:
            self.front.engine.client_left(self.call)
        # Breaks a reference cycle that only a full garbage collection would free.
        self.call = self.attempt = None

    def _end_attempt(self, outcome: Outcome) -> None:
        """Report the end of the attempt once. The proxy has its decision, so no retry may follow."""
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
    """The gRPC server. `start` raises OSError if its address can't be bound."""

    def __init__(
        self, table: ExternalProcessor, engine: Engine, transport: HttpTransport, classes: Classes
    ) -> None:
        self.table = table
        self.engine = engine
        self.transport = transport
        self.classes = classes
        max_deadline = max(
            (request_class.deadline for request_class in engine.settings.request_classes), default=0
        )
        self.token_signer = TokenSigner(table.keys, max_deadline // MS)
        self.streams = 0
        self.refused_early = 0
        self.tokens_checked = 0
        self.tokens_rejected = 0
        self.lag_s = 0.0
        self.lag_checked_at = 0.0
        self.lag_timer: asyncio.TimerHandle | None = None
        self.server: grpc.aio.Server | None = None
        self.port = 0

    def renew(self, table: ExternalProcessor) -> None:
        """Apply the reloaded table; a changed listen address needs a restart."""
        self.token_signer = TokenSigner(table.keys, self.token_signer.valid_ms)
        self.table = table

    async def start(self, address: Address) -> Front:
        server = grpc.aio.server(
            options=[
                ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
                ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
                ("grpc.so_reuseport", 0),
                # With its default limit grpcio drops pending streams; a high limit lets this front refuse
                # them with a reason.
                ("grpc.server.max_pending_requests", MAX_PENDING_STREAMS),
                ("grpc.server.max_pending_requests_hard_limit", MAX_PENDING_STREAMS),
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
        except RuntimeError as error:
            raise OSError(f"external_processor.listen: {error}") from None
        await server.start()
        self.server = server
        self._measure_lag()
        return self

    async def close(self, grace_s: float) -> None:
        """Send GOAWAY and give open streams `grace_s` seconds to report their outcome."""
        if self.lag_timer is not None:
            self.lag_timer.cancel()
        if self.server is not None:
            server, self.server = self.server, None
            if grace_s:
                await self._accept_waiting_connections()
            await server.stop(grace_s)

    async def _accept_waiting_connections(self) -> None:
        """Accept waiting connections and allow for their handshakes.

        At shutdown grpcio resets connections in the backlog and drops those whose handshake is incomplete.
        """
        await drain_duplicates(duplicate_listening_sockets(self.port))
        await asyncio.sleep(HANDSHAKE_GRACE_S)

    def _measure_lag(self) -> None:
        """Measure the event loop's lag: a decision later than the proxy's message time-out is useless."""
        now = self.engine.loop.time()
        lag_s = now - self.lag_checked_at - LAG_CHECK_INTERVAL_S if self.lag_checked_at else 0.0
        self.lag_s = max(lag_s, self.lag_s / 2, 0.0)
        self.lag_checked_at = now
        self.lag_timer = self.engine.loop.call_later(LAG_CHECK_INTERVAL_S, self._measure_lag)

    def overloaded(self) -> bool:
        """Return whether new requests have to be refused."""
        return self.streams > self.table.streams_most or self.lag_s * 1000 > self.table.message_timeout_ms

    # gRPC handler

    async def _process(self, messages: AsyncIterable[pb.ProcessingRequest], context: Any) -> None:
        stream = Stream(self)
        self.streams += 1
        try:
            async for message in messages:
                await context.write(stream.handle_message(message))
                stream.mark_delivered()
                if stream.finished:
                    return
        finally:
            self.streams -= 1
            stream.close()

    # Used by the streams

    def address_of(self, endpoint: int) -> str | None:
        target = self.transport.targets.get(endpoint)
        if target is None or target.address is None:
            return None
        return "{}:{}".format(*target.address)

    def sign_token(self, attempt: ReportAttempt) -> str | None:
        server = self.engine.balancer.servers.get(attempt.endpoint)
        if server is None:
            return None
        payload = TokenPayload(server.id, server.cell, server.zone, time.time_ns() // MS)
        return self.token_signer.sign(payload, attempt.call.call_id, attempt.call.class_index)

    def prior_attempt(self, mapped: MappedRequest) -> tuple[PriorAttempt | None, str]:
        """Return the attempt that may have been sent before (None: none was), and the result for its token.

        The result is empty if no token was checked, else `accepted` or `rejected: ` with the reason.
        """
        if not mapped.may_have_been_sent:
            return None, ""
        if not mapped.token:
            return PriorAttempt(), ""
        now_ms = time.time_ns() // MS
        checked = self.token_signer.check(mapped.token, mapped.call_id, mapped.class_index, now_ms)
        self.tokens_checked += 1
        if isinstance(checked, Rejection):
            self.tokens_rejected += 1
            self.engine.log(
                f"external processor: decision token rejected, earlier attempt unknown: {checked.value}"
            )
            return PriorAttempt(), f"rejected: {checked.value}"
        if mapped.decision_unused:
            return None, ACCEPTED
        return PriorAttempt(
            checked.server, checked.zone, checked.cell, max(0, now_ms - checked.sent_ms) * MS
        ), ACCEPTED
