"""A check server that serves gRPC, on grpcio, besides HTTP/1.1; both share its queue, rack and ledger.

Its gRPC port is its HTTP/1.1 port plus `GRPC_PORT_OFFSET`. `/check.Checks/Run` is the ordinary call,
`/check.Checks/Status` answers with the status given in its request, `/check.Checks/Echo` echoes messages.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import AsyncIterator
from typing import Any

import grpc
import grpc.aio

from standins.check_server import CheckServer, Rack
from standins.ledger import Ledger

GRPC_PORT_OFFSET = 7
MAX_PORT_TRIES = 50
CODES = {code.value[0]: code for code in grpc.StatusCode}


class GrpcCheckServer(CheckServer):
    """A check server with a second port for gRPC."""

    def __init__(
        self, name: str, rack: Rack, ledger: Ledger, rng: random.Random, work_s: float, ramp_s: float
    ) -> None:
        super().__init__(name, rack, ledger, rng, work_s=work_s, ramp_s=ramp_s)
        self.grpc: grpc.aio.Server | None = None
        self.ending: asyncio.Task[None] | None = None
        self.echoes = 0

    async def start(self, cold: bool = False) -> GrpcCheckServer:
        if self.ending is not None:
            await self.ending
        for _ in range(MAX_PORT_TRIES):
            await super().start(cold)
            server = grpc.aio.server(options=[("grpc.so_reuseport", 0)])
            server.add_generic_rpc_handlers(
                (grpc.method_handlers_generic_handler("check.Checks", self._methods()),)
            )
            try:
                server.add_insecure_port(f"127.0.0.1:{self.port + GRPC_PORT_OFFSET}")
            except RuntimeError:
                super().crash()
                self.port = 0  # the gRPC port is in use: take another pair of ports
                continue
            await server.start()
            self.grpc = server
            return self
        raise RuntimeError("no pair of free ports for HTTP/1.1 and gRPC")

    def _methods(self) -> dict[str, Any]:
        return {
            "Run": grpc.unary_unary_rpc_method_handler(self._run_call),
            "Status": grpc.unary_unary_rpc_method_handler(self._status_call),
            "Echo": grpc.stream_stream_rpc_method_handler(self._echo_call),
        }

    def crash(self) -> None:
        super().crash()
        server, self.grpc = self.grpc, None
        if server is not None:
            self.ending = asyncio.ensure_future(server.stop(None))

    async def close(self) -> None:
        await super().close()
        if self.ending is not None:
            await self.ending

    async def _run_call(self, request: bytes, context: Any) -> bytes:
        metadata = dict(context.invocation_metadata() or ())
        call_id = metadata.get("x-call-id", "")
        status, body = await self.receive(call_id, metadata.get("idempotency-key", ""), time.monotonic())
        if status == 200:
            context.set_trailing_metadata((("x-mark", body.decode()),))
            return body
        if status == 503:
            context.set_trailing_metadata((("x-rejected", "1"),))
            await context.abort(grpc.StatusCode.UNAVAILABLE, "turned away")
        await context.abort(grpc.StatusCode.INTERNAL, f"status {status}")
        raise AssertionError

    async def _status_call(self, request: bytes, context: Any) -> bytes:
        code = CODES[int(request)]
        context.set_trailing_metadata((("x-mark", f"status {int(request)}"),))
        if code is grpc.StatusCode.OK:
            return b"ok"
        await context.abort(code, f"100% {code.name}")
        raise AssertionError

    async def _echo_call(self, requests: AsyncIterator[bytes], context: Any) -> AsyncIterator[bytes]:
        self.echoes += 1
        async for request in requests:
            yield request
