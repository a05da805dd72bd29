"""Benchmark of the HTTP/1.1 sidecar's CPU time per request, for two checkouts of this project.

    python -m benchmarks.sidecar_cpu BEFORE AFTER [--rounds 5] [--requests 10000]

Each round runs the sidecar of both checkouts in turn as a process in front of check servers that answer at
once, over persistent connections. Its CPU time is read from the kernel before and after the requests; the
minimum over the rounds counts.
"""

from __future__ import annotations

import argparse
import asyncio
import random
from pathlib import Path

from benchmarks.external_processor import cpu_s
from standins.check_server import CheckServer, Rack
from standins.discovery import Discovery
from standins.ledger import Ledger
from standins.platform import Program, settings
from standins.wire import read_message, request

SERVERS = 6
WORKERS = 8
WARM_UP_REQUESTS = 200


async def measure(root: Path, requests: int) -> float:
    """Return the CPU time of the sidecar in microseconds per request."""
    ledger = Ledger(6.0, 0.5, 3.0, 3.0, 0.2)
    rack = Rack(0, 6.0)
    rng = random.Random(1)
    servers = [
        await CheckServer(f"s{n}", rack, ledger, rng, cores=16, work_s=0.0).start() for n in range(SERVERS)
    ]
    discovery = await Discovery(ledger).start()
    discovery.publish(server.member() for server in servers)
    program = Program(discovery.port, 1, discovery.snapshot(), settings(), root=root)
    await program.start()
    assert program.process is not None
    try:
        await send(program.port, ledger, "warm", WARM_UP_REQUESTS)
        cpu_before = cpu_s(program.process.pid)
        await send(program.port, ledger, "r", requests)
        return (cpu_s(program.process.pid) - cpu_before) / requests * 1e6
    finally:
        await program.stop()
        program.cleanup()
        for server in servers:
            await server.close()
        discovery.close()


async def send(port: int, ledger: Ledger, name: str, requests: int) -> None:
    numbers = iter(range(requests))

    async def worker() -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for number in numbers:
            call_id = f"{name}{number}"
            ledger.record_sent(call_id, call_id, 0.0, 3.0, True)
            headers = {
                "Host": "t",
                "X-Call-Id": call_id,
                "X-Call-Class": "check",
                "X-Budget-Ms": "3000",
                "Idempotency-Key": call_id,
                "X-Caller": "t0",
            }
            writer.write(request("POST", f"/api?user={call_id}", headers, b"{}"))
            response = await read_message(reader)
            if response is None or response.status != 200:
                raise RuntimeError(f"the sidecar did not serve a request: {response}")
        writer.close()

    await asyncio.gather(*(worker() for _ in range(WORKERS)))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("before", type=Path)
    parser.add_argument("after", type=Path)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--requests", type=int, default=10_000)
    options = parser.parse_args()
    roots = {"before": options.before, "after": options.after}
    cpu_us: dict[str, list[float]] = {name: [] for name in roots}
    for _ in range(options.rounds):
        for name, root in roots.items():
            cpu_us[name].append(asyncio.run(measure(root.resolve(), options.requests)))
            print(f"{name:7} {cpu_us[name][-1]:6.1f} us of CPU a request", flush=True)
    min_cpu_us = {name: min(values) for name, values in cpu_us.items()}
    ratio = min_cpu_us["after"] / min_cpu_us["before"]
    print(f"least: before {min_cpu_us['before']:.1f}, after {min_cpu_us['after']:.1f}, {ratio:.3f} of it")


if __name__ == "__main__":
    main()
