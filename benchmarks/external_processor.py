"""Benchmark of the external processor against a gRPC server that answers an empty CONTINUE (the floor).

    python -m benchmarks.external_processor [--streams 3000] [--long] [--at-once 10000]

Each server runs as a separate process; its CPU time is read from the kernel before and after the load. Rounds
are interleaved, and the best round of each server counts. `--long` also prints the memory after 10,000 and
100,000 streams.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import os
import random
import signal
import sys
import time
from collections.abc import AsyncIterable
from pathlib import Path
from typing import Any

import grpc
import grpc.aio
import uvloop
from envoy.service.ext_proc.v3 import external_processor_pb2 as pb

from garnethaven.__main__ import tune_garbage_collector
from garnethaven.engine.classes import Classes
from garnethaven.engine.engine import Engine
from garnethaven.extproc.answers import encode_unchanged
from garnethaven.extproc.front import SERVICE, Front
from garnethaven.extproc.table import ExternalProcessor
from garnethaven.interface import Endpoint, ListKind
from garnethaven.net.transport import HttpTransport
from garnethaven.settings import read_names, read_settings
from garnethaven.tables import Secret
from standins.ledger import Ledger
from standins.platform import settings
from standins.proxy import Proxy, ProxySettings, headers_message

SERVERS = 15
WORKERS = 32
ROUNDS = 3
KINDS = ("floor", "processor")
STREAM_TIMEOUT_S = 10.0


async def serve_processor(ended: asyncio.Future[None]) -> None:
    loop = asyncio.get_running_loop()
    parsed = read_settings(settings())
    engine = Engine("bench", parsed, 1, loop)
    transport = HttpTransport(engine, parsed, loop, lambda: 100, 256)
    engine.start()
    transport.apply_list(
        ListKind.FULL,
        [(Endpoint(n + 1, cell=n // 3), ("127.0.0.1", 20_000 + n)) for n in range(SERVERS)],
    )
    classes = Classes(engine.settings, read_names(settings()))
    front = Front(ExternalProcessor(keys=(Secret(b"k" * 16),)), engine, transport, classes)
    await front.start(("127.0.0.1", 0))
    print(front.port, flush=True)
    await ended
    await front.close(0.0)


async def serve_floor(ended: asyncio.Future[None]) -> None:
    async def process(messages: AsyncIterable[pb.ProcessingRequest], context: Any) -> None:
        async for message in messages:
            await context.write(encode_unchanged(message.WhichOneof("request")))

    handler = grpc.stream_stream_rpc_method_handler(
        process,
        request_deserializer=pb.ProcessingRequest.FromString,
    )
    server = grpc.aio.server()
    server.add_generic_rpc_handlers((grpc.method_handlers_generic_handler(SERVICE, {"Process": handler}),))
    port = server.add_insecure_port("127.0.0.1:0")
    await server.start()
    print(port, flush=True)
    await ended
    await server.stop(0.0)


async def serve(kind: str) -> None:
    """Run one server until SIGTERM; the first line of its output is its port."""
    loop = asyncio.get_running_loop()
    ended: asyncio.Future[None] = loop.create_future()
    loop.add_signal_handler(signal.SIGTERM, ended.set_result, None)
    tune_garbage_collector()  # as the sidecar does; for both kinds
    await (serve_processor if kind == "processor" else serve_floor)(ended)


def cpu_s(pid: int) -> float:
    """Return the CPU seconds that a process has used so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory_mb(pid: int) -> float:
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 2**20


class Load:
    """Load of streams on one channel; each stream handles one request and one response."""

    def __init__(self, port: int) -> None:
        self.proxy = Proxy("b", port, Ledger(6, 0.5, 3, 3, 0.2), random.Random(1), ProxySettings())
        self.streams_sent = 0
        self.decision_times: list[float] = []

    async def run_stream(self) -> None:
        self.streams_sent += 1
        headers = self.proxy._headers(f"b{self.streams_sent}", "k", 2.0)
        began_at = time.perf_counter()
        call = self.proxy.process()
        async with asyncio.timeout(STREAM_TIMEOUT_S):
            await call.write(pb.ProcessingRequest(request_headers=headers_message(headers)))
            await call.read()
            self.decision_times.append(time.perf_counter() - began_at)
            await call.write(pb.ProcessingRequest(response_headers=headers_message({":status": "200"})))
            await call.read()
            await call.done_writing()
            await call.read()

    async def run_unpaced(self, streams: int) -> float:
        """Run streams without pacing, `WORKERS` at a time; return streams a second."""
        remaining = streams

        async def worker() -> None:
            nonlocal remaining
            while remaining > 0:
                remaining -= 1
                await self.run_stream()

        began_at = time.perf_counter()
        await asyncio.gather(*(worker() for _ in range(WORKERS)))
        return streams / (time.perf_counter() - began_at)

    async def run_paced(self, rate: float, streams: int) -> tuple[float, float]:
        """Start streams at an even rate; return p50 and p99 of the decision latency in milliseconds."""
        self.decision_times.clear()
        began_at, tasks = time.perf_counter(), []
        for number in range(streams):
            await asyncio.sleep(max(0.0, began_at + number / rate - time.perf_counter()))
            tasks.append(asyncio.create_task(self.run_stream()))
        await asyncio.gather(*tasks)
        decision_times = sorted(self.decision_times)
        return decision_times[len(decision_times) // 2] * 1000, decision_times[
            int(len(decision_times) * 0.99)
        ] * 1000


async def measure(streams: int, long: bool, at_once: int) -> None:
    async with contextlib.AsyncExitStack() as stack:
        loads: dict[str, Load] = {}
        pids: dict[str, int] = {}
        for kind in KINDS:
            command = [sys.executable, "-m", "benchmarks.external_processor", "--serve", kind]
            process = await asyncio.create_subprocess_exec(*command, stdout=asyncio.subprocess.PIPE)
            stack.callback(process.kill)
            assert process.stdout is not None
            loads[kind] = Load(int(await process.stdout.readline()))
            pids[kind] = process.pid
            stack.push_async_callback(loads[kind].proxy.close)
            await loads[kind].run_unpaced(200)
        await compare(loads, pids, streams)
        if long:
            for total in (10_000, 100_000):
                await loads["processor"].run_unpaced(max(0, total - loads["processor"].streams_sent))
                memory_used_mb = memory_mb(pids["processor"])
                print(
                    f"memory after {loads['processor'].streams_sent} streams: {memory_used_mb:.1f} MB",
                    flush=True,
                )
        if at_once:
            await hold(loads["processor"].proxy, pids["processor"], at_once)


async def hold(proxy: Proxy, pid: int, streams: int) -> None:
    """Hold `streams` streams open at the same time, each with a decision and without an outcome."""
    memory_before, began_at = memory_mb(pid), time.perf_counter()
    calls = [proxy.open_stream() for _ in range(streams)]
    headers = [proxy._headers(f"h{number}", "k", 30.0) for number in range(streams)]
    decisions = await asyncio.gather(
        *(
            one.decide(call_headers, STREAM_TIMEOUT_S * 3)
            for one, call_headers in zip(calls, headers, strict=True)
        )
    )
    duration_s = time.perf_counter() - began_at
    decided = sum(one is not None and bool(one.address) for one in decisions)
    refused = sum(one is not None and one.status == 503 for one in decisions)
    print(
        f"{streams} streams at once: {decided} decided, {refused} refused, {streams - decided - refused} "
        f"unanswered within {duration_s:.1f} s; memory {memory_before:.1f} to {memory_mb(pid):.1f} MB",
        flush=True,
    )
    for one in calls:
        one.cancel()


async def compare(loads: dict[str, Load], pids: dict[str, int], streams: int) -> None:
    best = dict.fromkeys(KINDS, (float("inf"), 0.0))
    for _ in range(ROUNDS):
        for kind in KINDS:
            cpu_before = cpu_s(pids[kind])
            rate = await loads[kind].run_unpaced(streams)
            best[kind] = min(best[kind], ((cpu_s(pids[kind]) - cpu_before) / streams * 1e6, rate))
    for kind, (cpu_us, rate) in best.items():
        p50, p99 = await loads[kind].run_paced(rate / 2, streams // 2)
        print(
            f"{kind:10} {cpu_us:6.0f} us of CPU a stream ({cpu_us / best['floor'][0]:.2f} of the floor), "
            f"{rate:5.0f} a second; a decision at half of that: p50 {p50:.2f} ms, p99 {p99:.2f} ms",
            flush=True,
        )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", type=int, default=3000)
    parser.add_argument("--long", action="store_true")
    parser.add_argument("--at-once", type=int, default=0, help="also hold this many streams open")
    parser.add_argument("--serve", choices=KINDS)
    options = parser.parse_args()
    uvloop.run(
        serve(options.serve) if options.serve else measure(options.streams, options.long, options.at_once)
    )


if __name__ == "__main__":
    main()
