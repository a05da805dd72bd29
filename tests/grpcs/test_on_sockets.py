"""The front and the transport on loopback sockets, with grpcio's own HTTP/2 on both sides."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import grpc
import grpc.aio
import pytest
from msgspec.structs import replace

from garnethaven.grpcs.front import Front
from garnethaven.grpcs.table import Grpc, GrpcRoute
from garnethaven.grpcs.transport import GrpcTransport
from garnethaven.interface import Endpoint, ListKind, State
from tests.loopback import Sidecar, run, wait_until

UNARY, STREAM, ECHO = "/t.Checks/Unary", "/t.Checks/Stream", "/t.Checks/Echo"
ROUTES = (
    GrpcRoute("/t.Checks/", "check", streams=True, keyed=True),
    GrpcRoute(UNARY, "check", keyed=True),
    GrpcRoute("/t.Checks/Unsafe", "check"),
)
Answer = Callable[[bytes, Any], Awaitable[bytes]]


class Server:
    """A grpcio server; `answer` implements its unary methods."""

    def __init__(self, answer: Answer) -> None:
        self.answer = answer
        self.calls: list[tuple[str, dict[str, Any]]] = []
        self.cancelled = 0
        self.rejects_streams = False  # before their request is complete

    async def start(self) -> Server:
        self.server = grpc.aio.server()
        handlers = {
            "Unary": grpc.unary_unary_rpc_method_handler(self._unary),
            "Unsafe": grpc.unary_unary_rpc_method_handler(self._unary),
            "Stream": grpc.unary_stream_rpc_method_handler(self._stream),
            "Echo": grpc.stream_stream_rpc_method_handler(self._echo),
        }
        self.server.add_generic_rpc_handlers((grpc.method_handlers_generic_handler("t.Checks", handlers),))
        self.port = self.server.add_insecure_port("127.0.0.1:0")
        await self.server.start()
        return self

    def _record(self, name: str, context: Any) -> None:
        metadata = dict(context.invocation_metadata() or ())
        self.calls.append((name, metadata | {"left": context.time_remaining()}))

    async def _unary(self, request: bytes, context: Any) -> bytes:
        self._record("unary", context)
        try:
            return await self.answer(request, context)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise

    async def _stream(self, request: bytes, context: Any) -> AsyncIterator[bytes]:
        self._record("stream", context)
        for number in range(int(request)):
            yield b"%d" % number * 100
        if request == b"3":
            await context.abort(grpc.StatusCode.DATA_LOSS, "lost 100%")

    async def _echo(self, requests: AsyncIterator[bytes], context: Any) -> AsyncIterator[bytes]:
        self._record("echo", context)
        if self.rejects_streams:
            context.set_trailing_metadata((("x-rejected", "1"),))
            await context.abort(grpc.StatusCode.UNAVAILABLE, "stream rejected")
        async for request in requests:
            yield request


async def answer_in_brackets(request: bytes, context: Any) -> bytes:
    context.set_trailing_metadata((("x-made-by", "me"), ("x-bin", b"\x00\xff"), ("x-bin", b"2")))
    return b"<" + request + b">"


def failing(code: grpc.StatusCode, rejected: bool = False) -> Answer:
    async def answer(request: bytes, context: Any) -> bytes:
        if rejected:
            context.set_trailing_metadata((("x-rejected", "1"),))
        await context.abort(code, "set by the handler")
        raise AssertionError

    return answer


class Harness:
    def __init__(self, sidecar: Sidecar, servers: list[Server], front: Front, cells: list[int]) -> None:
        self.sidecar, self.servers, self.front, self.cells = sidecar, servers, front, cells
        self.channel = grpc.aio.insecure_channel(f"127.0.0.1:{front.port}")

    def list_servers(self, state: State = State.UP, only_index: int | None = None) -> None:
        entries = [
            (
                Endpoint(index + 1, cell=cell, state=state if only_index in (None, index) else State.UP),
                ("127.0.0.1", server.port),
            )
            for index, (server, cell) in enumerate(zip(self.servers, self.cells, strict=True))
        ]
        self.sidecar.transport.apply_list(ListKind.FULL, list(entries))

    async def unary(self, request: bytes = b"hi", method: str = UNARY, **options: Any) -> Any:
        call = self.channel.unary_unary(method)(request, **({"timeout": 10.0} | options))
        try:
            return await call, await call.code(), await call.trailing_metadata()
        except grpc.aio.AioRpcError as error:
            return error.details(), error.code(), error.trailing_metadata()

    def is_idle(self) -> bool:
        engine = self.sidecar.engine
        return not engine.calls and not engine.balancer.pending_requests


@contextlib.asynccontextmanager
async def grpc_harness(
    *answers: Answer, cells: list[int] | None = None, **settings: Any
) -> AsyncIterator[Harness]:
    servers = [await Server(answer).start() for answer in answers]
    sidecar = Sidecar([])
    transport = GrpcTransport(
        sidecar.engine, sidecar.engine.loop, lambda endpoint: address_of(sidecar, endpoint)
    )
    table = Grpc(listen=("127.0.0.1", 0), routes=ROUTES, **settings)
    front = await Front(table, sidecar.engine, transport, sidecar.listener.classes).start(("127.0.0.1", 0))
    harness = Harness(sidecar, servers, front, cells or [0] * len(servers))
    harness.list_servers()
    try:
        yield harness
    finally:
        await harness.channel.close()
        await front.close(0.0)
        for server in servers:
            await server.server.stop(0.0)
        sidecar.listener.drain()


def address_of(sidecar: Sidecar, endpoint: int) -> tuple[str, int] | None:
    target = sidecar.transport.targets.get(endpoint)
    return target.address if target is not None else None


def test_a_unary_call_is_served_with_its_metadata_and_trailers_kept() -> None:
    async def case() -> None:
        async with grpc_harness(answer_in_brackets) as harness:
            metadata = (("x-call-id", "c1"), ("x-a", "1"), ("x-a", "2"), ("y-bin", b"\x00\x01"))
            answer, code, trailers = await harness.unary(metadata=metadata, timeout=2.0)
            assert (answer, code) == (b"<hi>", grpc.StatusCode.OK)
            assert [(key, value) for key, value in trailers] == [
                ("x-made-by", "me"),
                ("x-bin", b"\x00\xff"),
                ("x-bin", b"2"),
            ]
            ((_, received),) = harness.servers[0].calls
            assert received["y-bin"] == b"\x00\x01" and received["x-a"] == "2"
            assert 0.5 < received["left"] < 2.5  # servers measure from when they read the header
            await wait_until(harness.is_idle)

    run(case())


def test_streams_of_all_forms_pass_untouched() -> None:
    async def case() -> None:
        async with grpc_harness(answer_in_brackets) as harness:
            messages = [
                message async for message in harness.channel.unary_stream(STREAM)(b"50", timeout=10.0)
            ]
            assert messages == [b"%d" % number * 100 for number in range(50)]
            call = harness.channel.stream_stream(ECHO)(timeout=10.0)
            for number in range(20):
                await call.write(b"%d" % number * 10_000)
                assert await call.read() == b"%d" % number * 10_000
            await call.done_writing()
            assert await call.read() is grpc.aio.EOF
            assert await call.code() == grpc.StatusCode.OK
            await wait_until(harness.is_idle)

    run(case())


@pytest.mark.parametrize("code", [code for code in grpc.StatusCode if code is not grpc.StatusCode.OK])
def test_every_status_ends_in_exactly_one_outcome(code: grpc.StatusCode) -> None:
    async def case() -> None:
        async with grpc_harness(failing(code)) as harness:
            details, received_code, _ = await harness.unary(method="/t.Checks/Unsafe")
            name = code.name
            if name in ("UNAVAILABLE", "RESOURCE_EXHAUSTED"):
                # The call may have run, so that the status must not be one that clients retry.
                assert received_code == grpc.StatusCode.INTERNAL
            elif name == "DEADLINE_EXCEEDED":
                assert received_code in (grpc.StatusCode.DEADLINE_EXCEEDED, grpc.StatusCode.INTERNAL)
            else:
                assert (received_code, details) == (code, "set by the handler")
            assert len(harness.servers[0].calls) == 1  # unsafe: once
            await wait_until(harness.is_idle)

    run(case())


def test_a_call_that_was_turned_away_is_served_elsewhere() -> None:
    async def case() -> None:
        async with grpc_harness(
            failing(grpc.StatusCode.UNAVAILABLE, rejected=True), answer_in_brackets
        ) as harness:
            for number in range(6):
                _, code, _ = await harness.unary(
                    method="/t.Checks/Unsafe", metadata=(("x-call-id", f"c{number}"),)
                )
                assert code == grpc.StatusCode.OK
            assert harness.servers[0].calls and len(harness.servers[1].calls) == 6

    run(case())


def test_a_keyed_call_that_failed_is_repeated_in_its_rack_and_an_unsafe_one_never() -> None:
    async def case() -> None:
        async with grpc_harness(
            failing(grpc.StatusCode.INTERNAL), answer_in_brackets, cells=[0, 0]
        ) as harness:
            for number in range(6):
                _, code, _ = await harness.unary(metadata=(("x-call-id", f"k{number}"),))
                assert code == grpc.StatusCode.OK
            codes = [(await harness.unary(method="/t.Checks/Unsafe"))[1] for _ in range(12)]
            assert grpc.StatusCode.INTERNAL in codes
            call_ids = [metadata["x-call-id"] for server in harness.servers for _, metadata in server.calls]
            # Each unsafe call, whose id the front generated, ran once.
            assert len([call_id for call_id in call_ids if call_id.startswith("grpc-")]) == 12

    run(case())


def test_with_nobody_there_a_call_is_refused_at_once_and_unrouted_methods_are_unimplemented() -> None:
    async def case() -> None:
        async with grpc_harness(answer_in_brackets) as harness:
            harness.list_servers(State.DRAINING)
            details, code, _ = await harness.unary()
            assert (code, "harmless" in details) == (grpc.StatusCode.UNAVAILABLE, True)
            assert not harness.servers[0].calls
            details, code, _ = await harness.unary(method="/t.Other/M")
            assert code == grpc.StatusCode.UNIMPLEMENTED
            await wait_until(harness.is_idle)

    run(case())


def test_a_stream_that_fails_after_a_part_was_passed_on_keeps_its_status_and_is_not_repeated() -> None:
    async def case() -> None:
        async with grpc_harness(answer_in_brackets, answer_in_brackets) as harness:
            call = harness.channel.unary_stream(STREAM)(b"3", timeout=10.0)
            messages = []
            with pytest.raises(grpc.aio.AioRpcError) as raised:
                async for message in call:
                    messages.append(message)
            assert len(messages) == 3
            assert (raised.value.code(), raised.value.details()) == (grpc.StatusCode.DATA_LOSS, "lost 100%")
            assert sum(len(server.calls) for server in harness.servers) == 1
            await wait_until(harness.is_idle)

    run(case())


def test_a_time_out_ends_the_call_exactly_once_and_the_server_hears_of_it() -> None:
    async def case() -> None:
        async def slow(request: bytes, context: Any) -> bytes:
            await asyncio.sleep(20)
            return b""

        async with grpc_harness(slow) as harness:
            _, code, _ = await harness.unary(timeout=0.3)
            assert code == grpc.StatusCode.DEADLINE_EXCEEDED
            await wait_until(lambda: harness.is_idle() and harness.servers[0].cancelled == 1)

    run(case())


def test_a_client_that_cancels_leaves_nothing_under_way() -> None:
    async def case() -> None:
        started = asyncio.Event()

        async def slow(request: bytes, context: Any) -> bytes:
            started.set()
            await asyncio.sleep(20)
            return b""

        async with grpc_harness(slow) as harness:
            call = harness.channel.unary_unary(UNARY)(b"x", timeout=15.0)
            pending_call = asyncio.ensure_future(call)
            await started.wait()
            call.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await pending_call
            await wait_until(lambda: harness.is_idle() and harness.servers[0].cancelled == 1)
            servers = harness.sidecar.engine.balancer.servers.values()
            assert not any(server.errors for server in servers)

    run(case())


def test_a_planned_end_lets_calls_finish_and_takes_no_new_ones() -> None:
    async def case() -> None:
        proceed = asyncio.Event()

        async def answer_after_event(request: bytes, context: Any) -> bytes:
            await proceed.wait()
            return b"done"

        async with grpc_harness(answer_after_event) as harness:
            pending_call = asyncio.ensure_future(harness.unary())
            await wait_until(lambda: bool(harness.servers[0].calls))
            closing = asyncio.create_task(harness.front.close(10.0))
            await asyncio.sleep(0.2)
            proceed.set()
            answer, code, _ = await pending_call
            assert (answer, code) == (b"done", grpc.StatusCode.OK)
            await closing

    run(case())


def test_a_server_that_goes_away_gently_is_left_without_a_lost_call() -> None:
    async def case() -> None:
        async with grpc_harness(answer_in_brackets, answer_in_brackets) as harness:
            assert (await harness.unary())[1] == grpc.StatusCode.OK
            stopping = asyncio.create_task(harness.servers[0].server.stop(5.0))  # sends GOAWAY, then closes
            for number in range(20):
                _, code, _ = await harness.unary(metadata=(("x-call-id", f"g{number}"),))
                assert code == grpc.StatusCode.OK
            await stopping

    run(case())


def test_large_messages_pass_within_the_windows() -> None:
    async def case() -> None:
        async with grpc_harness(answer_in_brackets) as harness:
            body = bytes(range(256)) * 4000  # a megabyte: too long to be kept for a retry
            answer, code, _ = await harness.unary(body)
            assert code == grpc.StatusCode.OK and answer == b"<" + body + b">"
            await wait_until(harness.is_idle)

    run(case())


def test_a_slow_reader_stalls_neither_its_neighbours_nor_fills_our_memory() -> None:
    async def case() -> None:
        async with grpc_harness(answer_in_brackets) as harness:
            slow_call = harness.channel.unary_stream(STREAM)(b"20000", timeout=15.0)  # about nine megabytes
            assert await slow_call.read() == b"0" * 100
            for number in range(10):
                assert (await harness.unary(metadata=(("x-call-id", f"n{number}"),)))[1] == grpc.StatusCode.OK
            queued = [
                stream.sender.queued_bytes
                for connection in harness.front.connections
                for stream in connection.streams.values()
            ]
            assert max(queued, default=0) < 512 * 1024
            slow_call.cancel()
            await wait_until(harness.is_idle)

    run(case())


@pytest.mark.parametrize(
    "hello",
    [b"GET / HTTP/1.1\r\nHost: t\r\n\r\n", b"\x16\x03\x01\x00\x05hello", b"PRI * HTTP/1.0\r\n\r\n"],
)
def test_whoever_speaks_something_else_gets_a_clear_end(hello: bytes) -> None:
    async def case() -> None:
        async with grpc_harness(answer_in_brackets) as harness:
            reader, writer = await asyncio.open_connection("127.0.0.1", harness.front.port)
            writer.write(hello)
            assert (await reader.read()).startswith(b"HTTP/1.1 505")
            writer.close()
            assert (await harness.unary())[1] == grpc.StatusCode.OK

    run(case())


def test_a_stream_that_is_turned_away_before_its_request_is_whole_goes_on_elsewhere() -> None:
    async def case() -> None:
        async with grpc_harness(answer_in_brackets, answer_in_brackets) as harness:
            harness.servers[0].rejects_streams = True
            for _ in range(4):
                call = harness.channel.stream_stream(ECHO)(timeout=10.0)
                for number in range(3):
                    await call.write(b"%d" % number)
                    assert await call.read() == b"%d" % number
                await call.done_writing()
                assert await call.read() is grpc.aio.EOF
                assert await call.code() == grpc.StatusCode.OK
            assert harness.servers[0].calls and len(harness.servers[1].calls) == 4

    run(case())


def test_a_planned_end_with_a_long_stream_open_lets_it_go_on_for_its_grace() -> None:
    async def case() -> None:
        async with grpc_harness(answer_in_brackets) as harness:
            call = harness.channel.stream_stream(ECHO)(timeout=15.0)
            await call.write(b"1")
            assert await call.read() == b"1"
            closing = asyncio.create_task(harness.front.close(1.0))
            await asyncio.sleep(0.3)
            await call.write(b"2")
            assert await call.read() == b"2"  # after both GOAWAYs
            await closing
            assert await call.code() != grpc.StatusCode.OK  # the grace period was over
            await wait_until(harness.is_idle)

    run(case())


def test_a_time_out_ends_a_call_whose_request_waits_for_a_window() -> None:
    async def case() -> None:
        async with grpc_harness(answer_in_brackets) as harness:

            async def never_read(requests: Any, context: Any) -> AsyncIterator[bytes]:
                await asyncio.sleep(20)
                yield b""

            handlers = {"Deaf": grpc.stream_stream_rpc_method_handler(never_read)}
            server = grpc.aio.server()
            server.add_generic_rpc_handlers((grpc.method_handlers_generic_handler("t.Checks", handlers),))
            port = server.add_insecure_port("127.0.0.1:0")
            await server.start()
            harness.sidecar.transport.apply_list(ListKind.FULL, [(Endpoint(9), ("127.0.0.1", port))])
            call = harness.channel.stream_stream("/t.Checks/Deaf")(timeout=1.0)
            with contextlib.suppress(grpc.aio.AioRpcError, asyncio.InvalidStateError):
                for _ in range(200):
                    await call.write(b"x" * 16_000)
            assert await call.code() == grpc.StatusCode.DEADLINE_EXCEEDED
            await wait_until(harness.is_idle)
            await server.stop(0.0)

    run(case())


def test_duplicate_ids_under_way_are_told_so() -> None:
    async def case() -> None:
        proceed = asyncio.Event()

        async def answer_after_event(request: bytes, context: Any) -> bytes:
            await proceed.wait()
            return b"done"

        async with grpc_harness(answer_after_event) as harness:
            first_call = asyncio.ensure_future(harness.unary(metadata=(("x-call-id", "same"),)))
            await wait_until(lambda: bool(harness.servers[0].calls))
            assert (await harness.unary(metadata=(("x-call-id", "same"),)))[1] == grpc.StatusCode.ABORTED
            proceed.set()
            assert (await first_call)[1] == grpc.StatusCode.OK

    run(case())


def test_off_is_absent() -> None:
    assert Grpc().listen is None and replace(Grpc(), default="check").routes == ()
