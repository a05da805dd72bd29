"""Bad clients whose trailer section never ends, and the sidecar's limit of memory."""

import asyncio
import contextlib
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

import world  # noqa: E402

MEMORY_MB = 192  # the most that a sidecar has on any day
BAD_CLIENTS = 80  # they come "by hundreds"; a third of the 512 descriptors would be 170
CALLERS = 8
WORK_S = 0.25
WATCHED_S = 8.0
PIECE = b"a" * 262_144


def memory_mb(pid: int) -> float:
    """The resident memory of a process; 0 once it has ended."""
    with contextlib.suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0.0


async def work(endpoint: world.Endpoint, request: world.Request) -> bytes:
    await asyncio.sleep(WORK_S)
    return world.answer(200, request.id.encode())


async def bad_client(port: int, record: world.Record, number: int) -> None:
    """Send a head, a body in chunks and one trailer field without end, at full speed; read what comes."""
    begun = time.monotonic()
    sent = 0
    with contextlib.suppress(ConnectionError):
        reader, writer = await asyncio.open_connection(world.HOST, port)
        head, _, _ = world.request_bytes(world.new_id(), 3000).partition(b"Content-Length")
        writer.write(head + b"Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX-Trailer: ")
        reading = asyncio.create_task(reader.read(65536))
        try:
            while not reading.done():
                writer.write(PIECE)
                await writer.drain()
                sent += len(PIECE)
        finally:
            reading.cancel()
            writer.transport.abort()
    record.note(f"bad      client {number}: {sent / 1e6:.1f} MB in {time.monotonic() - begun:.2f} s")


async def case(record: world.Record) -> int:
    endpoints = [await world.Endpoint(f"s{i}", record, work).start() for i in range(4)]
    discovery = await world.Discovery(record).start()
    discovery.publish(*(endpoint.member() for endpoint in endpoints))
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 512}
    program = world.Program(record, discovery.port, discovery.listed(), world.settings(), limits=limits)
    tasks: list[asyncio.Task[None]] = []
    callers: list[world.Caller] = []
    try:
        await program.start()
        assert program.process is not None
        pid = program.process.pid
        callers = [world.Caller(program.port, record, 0.05) for _ in range(CALLERS)]
        tasks = [asyncio.create_task(caller.run()) for caller in callers]
        await asyncio.sleep(1.0)
        record.note(f"platform the sidecar uses {memory_mb(pid):.0f} of {MEMORY_MB} MB")
        if world.TROUBLE:
            record.note(f"bad      {BAD_CLIENTS} clients come")
            tasks += [
                asyncio.create_task(bad_client(program.port, record, number)) for number in range(BAD_CLIENTS)
            ]
        peak, killed = 0.0, False
        until = time.monotonic() + WATCHED_S
        while time.monotonic() < until:
            now_mb = memory_mb(pid)
            peak = max(peak, now_mb)
            if now_mb > MEMORY_MB:
                killed = True
                record.note(f"platform the sidecar uses {now_mb:.0f} of {MEMORY_MB} MB and is killed")
                program.process.kill()
                break
            if program.process.returncode is not None:
                killed = True
                record.note(f"platform the sidecar has ended with {program.process.returncode}")
                break
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.3)
        record.note(f"platform at most {peak:.0f} MB were seen")
        outcomes: dict[int, int] = {}
        for caller in callers:
            for status, count in caller.outcomes.items():
                outcomes[status] = outcomes.get(status, 0) + count
        record.note(f"answers  of the usual clients by status, 0 is none: {outcomes}")
        return world.BROKEN if killed else world.HELD
    finally:
        for caller in callers:
            caller.stopped = True
        for task in tasks:
            task.cancel()
        await program.end()
        discovery.close()
        for endpoint in endpoints:
            endpoint.close()


world.run(str(HERE), case)
