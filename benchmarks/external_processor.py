"""What a decision of the external processor costs, against a gRPC server that answers an empty CONTINUE.

    python -m benchmarks.external_processor [--streams 3000] [--long] [--at-once 10000]

Each server is a process of its own; its CPU time is read from the kernel around the load. The rounds are
interleaved, and the best of each counts. `--long` also tells the memory after 10,000 and 100,000 streams.
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
from standins.proxy import Proxy, Ways, headers_message

SERVERS = 15
WORKERS = 32
ROUNDS = 3
KINDS = ("floor", "processor")
STREAM_S = 10.0


async def serve_processor(ended: asyncio.Future[None]) -> None:
    loop = asyncio.get_running_loop()
    told = read_settings(settings())
    engine = Engine("bench", told, 1, loop)
    transport = HttpTransport(engine, told, loop, lambda: 100, 256)
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
    """One server until SIGTERM; its port is the first line of its output."""
    loop = asyncio.get_running_loop()
    ended: asyncio.Future[None] = loop.create_future()
    loop.add_signal_handler(signal.SIGTERM, ended.set_result, None)
    tune_garbage_collector()  # as the program does, for both kinds
    await (serve_processor if kind == "processor" else serve_floor)(ended)


def cpu_s(pid: int) -> float:
    """CPU seconds of a process so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory_mb(pid: int) -> float:
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 2**20


class Load:
    """Streams of one request and one response each, on one channel."""

    def __init__(self, port: int) -> None:
        self.proxy = Proxy("b", port, Ledger(6, 0.5, 3, 3, 0.2), random.Random(1), Ways())
        self.number = 0
        self.times: list[float] = []

    async def one(self) -> None:
        self.number += 1
        headers = self.proxy._headers(f"b{self.number}", "k", 2.0)
        began = time.perf_counter()
        call = self.proxy.process()
        async with asyncio.timeout(STREAM_S):
            await call.write(pb.ProcessingRequest(request_headers=headers_message(headers)))
            await call.read()
            self.times.append(time.perf_counter() - began)
            await call.write(pb.ProcessingRequest(response_headers=headers_message({":status": "200"})))
            await call.read()
            await call.done_writing()
            await call.read()

    async def at_once(self, streams: int) -> float:
        """As fast as it goes; streams a second."""
        left = streams

        async def worker() -> None:
            nonlocal left
            while left > 0:
                left -= 1
                await self.one()

        began = time.perf_counter()
        await asyncio.gather(*(worker() for _ in range(WORKERS)))
        return streams / (time.perf_counter() - began)

    async def paced(self, rate: float, streams: int) -> tuple[float, float]:
        """p50 and p99 of the decision in milliseconds, at an even rate."""
        self.times.clear()
        began, tasks = time.perf_counter(), []
        for number in range(streams):
            await asyncio.sleep(max(0.0, began + number / rate - time.perf_counter()))
            tasks.append(asyncio.create_task(self.one()))
        await asyncio.gather(*tasks)
        times = sorted(self.times)
        return times[len(times) // 2] * 1000, times[int(len(times) * 0.99)] * 1000


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
            await loads[kind].at_once(200)
        await compare(loads, pids, streams)
        if long:
            for total in (10_000, 100_000):
                await loads["processor"].at_once(max(0, total - loads["processor"].number))
                held = memory_mb(pids["processor"])
                print(f"memory after {loads['processor'].number} streams: {held:.1f} MB", flush=True)
        if at_once:
            await hold(loads["processor"].proxy, pids["processor"], at_once)


async def hold(proxy: Proxy, pid: int, streams: int) -> None:
    """So many streams, each with a decision and no outcome yet, all open at the same time."""
    before, began = memory_mb(pid), time.perf_counter()
    asked = [proxy.ask() for _ in range(streams)]
    headers = [proxy._headers(f"h{number}", "k", 30.0) for number in range(streams)]
    told = await asyncio.gather(
        *(one.decide(its, STREAM_S * 3) for one, its in zip(asked, headers, strict=True))
    )
    taken = time.perf_counter() - began
    decided = sum(one is not None and bool(one.address) for one in told)
    refused = sum(one is not None and one.status == 503 for one in told)
    print(
        f"{streams} streams at once: {decided} decided, {refused} refused, {streams - decided - refused} "
        f"unanswered within {taken:.1f} s; memory {before:.1f} to {memory_mb(pid):.1f} MB",
        flush=True,
    )
    for one in asked:
        one.cancel()


async def compare(loads: dict[str, Load], pids: dict[str, int], streams: int) -> None:
    best = dict.fromkeys(KINDS, (float("inf"), 0.0))
    for _ in range(ROUNDS):
        for kind in KINDS:
            before = cpu_s(pids[kind])
            rate = await loads[kind].at_once(streams)
            best[kind] = min(best[kind], ((cpu_s(pids[kind]) - before) / streams * 1e6, rate))
    for kind, (spent, rate) in best.items():
        p50, p99 = await loads[kind].paced(rate / 2, streams // 2)
        print(
            f"{kind:10} {spent:6.0f} us of CPU a stream ({spent / best['floor'][0]:.2f} of the floor), "
            f"{rate:5.0f} a second; a decision at half of that: p50 {p50:.2f} ms, p99 {p99:.2f} ms",
            flush=True,
        )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", type=int, default=3000)
    parser.add_argument("--long", action="store_true")
    parser.add_argument("--at-once", type=int, default=0, help="also hold so many streams open")
    parser.add_argument("--serve", choices=KINDS)
    wanted = parser.parse_args()
    uvloop.run(serve(wanted.serve) if wanted.serve else measure(wanted.streams, wanted.long, wanted.at_once))


if __name__ == "__main__":
    main()
