"""The program as a process of its own beside a crowd of slow clients; its peers run in the test."""

from __future__ import annotations

import asyncio
import contextlib
import os
import re
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path

from standins.ports import PORTS
from tests.loopback import request, wait_until_ready, write_config_file
from tests.test_flow import Server, body_parts, read_head, upload

MB = 1024 * 1024
DESCRIPTORS = 1024
SERVERS = 4
WORK_S = 0.02
LONG_ANSWER_BYTES = 20 * MB
CALLERS = 8
CALL_PAUSE_S = 0.05
BODY = b"z" * 400_000
CONNECT_BATCH = 100  # clients that connect at the same time

CrowdClient = Callable[[asyncio.StreamReader, asyncio.StreamWriter, int], Awaitable[None]]


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, server: Server) -> None:
    """Read the body, work, and answer: with a long answer if the request asks for one."""
    async for _ in body_parts(reader, server.head):
        pass
    await asyncio.sleep(WORK_S)
    size = LONG_ANSWER_BYTES if "x-long" in server.head else 5
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
    for _ in range(0, size, MB):
        writer.write(bytes(min(size, MB)))
        await writer.drain()


class ProgramUnderTest:
    """The program with four servers; records its callers' answers and longest wait."""

    def __init__(self, folder: Path, memory_mb: int) -> None:
        self.folder = folder
        self.memory_mb = memory_mb
        self.answers: Counter[int] = Counter()  # of the usual callers, by status; 0: none
        self.longest_wait_s = 0.0  # of the usual callers
        self.port = 0

    async def start(self) -> None:
        self.port = PORTS.next_free()
        servers = [await Server(serve).start() for _ in range(SERVERS)]
        members = [
            {"id": f"s{n}", "host_port": f"127.0.0.1:{server.port}", "phase": "SERVING", "cell": 0}
            for n, server in enumerate(servers)
        ]
        path = write_config_file(
            self.folder / "config.json",
            listen=f"127.0.0.1:{self.port}",
            limits={"memory_mb": self.memory_mb, "sockets": DESCRIPTORS},
            known={"revision": 1, "complete": True, "members": members},
        )
        with (self.folder / "log").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "garnethaven",
                env=os.environ | {"NODE_CONFIG": str(path)},
                stderr=log,
            )
        await wait_until_ready(self.port)

    async def stop(self) -> None:
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()

    def peak_mb(self) -> float:
        """The largest resident memory so far."""
        status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="utf-8")
        match = re.search(r"^VmHWM:\s+(\d+) kB", status, re.MULTILINE)
        assert match is not None
        return int(match[1]) / 1024

    async def call(self, number: int) -> None:
        """Call again and again, on a connection that is kept while that is possible."""
        count, writer = 0, None
        while True:
            count, status, begun = count + 1, 0, time.monotonic()
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                if writer is None:
                    reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(request(X_Call_Id=f"usual-{number}-{count}", Idempotency_Key=""))
                head = await read_head(reader)
                async for _ in body_parts(reader, head):
                    pass
                status = int(head[""].split()[1])
                if head.get("connection") == "close":
                    writer.close()
                    writer = None
            if not status and writer is not None:
                writer.close()
                writer = None
            self.answers[status] += 1
            self.longest_wait_s = max(self.longest_wait_s, time.monotonic() - begun)
            await asyncio.sleep(CALL_PAUSE_S)

    async def meet_crowd(self, client: CrowdClient, count: int, duration_s: float) -> None:
        """Run the usual callers beside `count` clients for `duration_s` seconds."""
        tasks: list[asyncio.Task[None]] = []
        callers = [asyncio.create_task(self.call(number)) for number in range(CALLERS)]
        await asyncio.sleep(0.3)
        until = time.monotonic() + duration_s
        for start in range(0, count, CONNECT_BATCH):
            tasks += [
                asyncio.create_task(self._join(client, number))
                for number in range(start, start + CONNECT_BATCH)
            ]
            await asyncio.sleep(0.02)
        await asyncio.sleep(until - time.monotonic())
        for task in [*tasks, *callers]:
            task.cancel()
        await asyncio.gather(*tasks, *callers, return_exceptions=True)

    async def _join(self, client: CrowdClient, number: int) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port, limit=4096)
            try:
                await client(reader, writer, number)
            finally:
                writer.transport.abort()


def half_of_a_body(size: int) -> CrowdClient:
    """Clients that send half of a body of `size` bytes and stop."""

    async def client(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
        writer.write(upload(size, X_Call_Id=f"half-{number}", Idempotency_Key="") + BODY[: size // 2])
        await reader.read()

    return client


async def chunks_of_one_byte(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
    """Send a body of 400 kB in chunks of one byte."""
    writer.write(upload(None, X_Call_Id=f"bytes-{number}", Idempotency_Key=""))
    for _ in range(0, len(BODY), 1000):
        writer.write(b"1\r\nz\r\n" * 1000)
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    await reader.read()


async def many_short_fields(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
    """Send most of a head of very many short fields, and stop."""
    writer.write(request()[:-4] + b"a:b\r\n" * 6000)
    await reader.read()


async def half_of_a_head(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
    """Send 30 kB of a head without its end, and stop."""
    writer.write(request()[:-4] + b"".join(b"X-%d: %s\r\n" % (n, b"v" * 290) for n in range(100)))
    await reader.read()


async def slow_reading(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
    """Ask for a long answer and read it slowly."""
    writer.write(request(X_Call_Id=f"slow-{number}", Idempotency_Key="", X_Long="1"))
    while await reader.read(1000):
        await asyncio.sleep(0.1)
