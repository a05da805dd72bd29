"""CPU of the HTTP/1.1 sidecar for each request, of two checkouts of this project, interleaved.

    python -m benchmarks.sidecar_cpu BEFORE AFTER [--rounds 5] [--requests 10000]

Each round runs the program of either checkout as a process, before check servers that answer at once, with
connections that are kept. Its CPU time is read from the kernel around the requests; the least of each counts.
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
WARM = 200


async def measure(root: Path, requests: int) -> float:
    """CPU microseconds of the program for each request."""
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
        await send(program.port, ledger, "warm", WARM)
        before = cpu_s(program.process.pid)
        await send(program.port, ledger, "r", requests)
        return (cpu_s(program.process.pid) - before) / requests * 1e6
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
            ledger.sends(call_id, call_id, 0.0, 3.0, True)
            headers = {
                "Host": "t",
                "X-Call-Id": call_id,
                "X-Call-Class": "check",
                "X-Budget-Ms": "3000",
                "Idempotency-Key": call_id,
                "X-Caller": "t0",
            }
            writer.write(request("POST", f"/api?user={call_id}", headers, b"{}"))
            answer = await read_message(reader)
            if answer is None or answer.status != 200:
                raise RuntimeError(f"not served: {answer}")
        writer.close()

    await asyncio.gather(*(worker() for _ in range(WORKERS)))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("before", type=Path)
    parser.add_argument("after", type=Path)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--requests", type=int, default=10_000)
    wanted = parser.parse_args()
    roots = {"before": wanted.before, "after": wanted.after}
    spent: dict[str, list[float]] = {name: [] for name in roots}
    for _ in range(wanted.rounds):
        for name, root in roots.items():
            spent[name].append(asyncio.run(measure(root.resolve(), wanted.requests)))
            print(f"{name:7} {spent[name][-1]:6.1f} us of CPU a request", flush=True)
    least = {name: min(values) for name, values in spent.items()}
    ratio = least["after"] / least["before"]
    print(f"least: before {least['before']:.1f}, after {least['after']:.1f}, {ratio:.3f} of it")


if __name__ == "__main__":
    main()
