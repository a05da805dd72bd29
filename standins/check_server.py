"""Stand-in of a check server: queue, cores, cold starts, drains, connection limits and scripted faults."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Coroutine
from typing import Any

from standins.kernel import last_bytes_at
from standins.ledger import Ledger, Receipt, ServerLifetime
from standins.ports import PORTS
from standins.wire import Message, WireError, read_message, response

REJECTED_HEADERS = {"X-Rejected": "1"}


class Rack:
    """Check servers that deduplicate together by key and request id, over a window of `window_s`."""

    def __init__(self, cell: int, window_s: float) -> None:
        self.cell = cell
        self.window_s = window_s
        self.answers: dict[tuple[str, str], tuple[float, bytes]] = {}

    def find_answer(self, key: str, call_id: str, now: float) -> bytes | None:
        """The body of the earlier answer, or None if there is none within the window."""
        at, body = self.answers.get((key, call_id), (-1e9, b""))
        return body if now - at <= self.window_s else None


class CheckServer:
    """One check server on its own port; `crash`, `start` and the attributes inject faults.

    It runs `cores` requests at a time, each for about `work_s` seconds when warm, queues up to `queue` more
    and rejects the rest with 503. `cap` is the maximum number of open connections.
    """

    def __init__(
        self,
        name: str,
        rack: Rack,
        ledger: Ledger,
        rng: random.Random,
        cores: int = 2,
        work_s: float = 0.08,
        queue: int = 40,
        cap: int = 200,
        ramp_s: float = 6.0,
    ) -> None:
        self.name = name
        self.rack = rack
        self.ledger = ledger
        self.rng = rng
        self.cores = cores
        self.work_s = work_s
        self.queue = queue
        self.max_connections = cap
        self.ramp_s = ramp_s
        self.work_factor = 1.0  # factor on the work of each request
        self.error_rate = 0.0
        self.silent = False  # partitioned: neither reads nor writes
        self.draining = False
        self.port = 0
        self.started_ms = 0
        self.life: ServerLifetime | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None
        self.slots = asyncio.Semaphore(cores)
        self.in_flight = 0
        self.accepted_connections = 0  # connections accepted, over all process lifetimes

    async def start(self, cold: bool = False) -> CheckServer:
        """Listen, on the same port each time; with `cold` the warm-up ramp starts now."""
        self.port = self.port or PORTS.next_free()
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, backlog=512)
        now = time.monotonic()
        self.started_ms = int(time.time() * 1000) if cold else 0
        self.life = ServerLifetime(self.name, now, self.ramp_s if cold else 0.0, self.cores)
        if cold:
            self.ledger.server_lifetimes.append(self.life)
        self.slots = asyncio.Semaphore(self.cores)
        self.in_flight = 0
        self.draining = self.silent = False
        return self

    def crash(self) -> None:
        """Act as a crashed process: reset all connections and refuse new ones."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()
        self.life = None

    async def close(self) -> None:
        """Crash and wait until all connection tasks have ended."""
        self.crash()
        while self.tasks:
            await asyncio.gather(*self.tasks, return_exceptions=True)

    def member(self, phase: str = "SERVING") -> dict[str, Any]:
        """The server's entry in the list of discovery."""
        return {
            "id": self.name,
            "host_port": f"127.0.0.1:{self.port}",
            "locality": "a",
            "flavor": "m",
            "cell": self.rack.cell,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": self.started_ms,
        }

    # One connection

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self.writers) >= self.max_connections:
            writer.transport.abort()
            return
        self.accepted_connections += 1
        self.writers.add(writer)
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            with contextlib.suppress(WireError, ConnectionError, asyncio.IncompleteReadError):
                await self._serve_requests(reader, writer)
        except asyncio.CancelledError:
            pass  # crash() canceled the connection task
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.transport.abort()

    async def _serve_requests(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            while self.silent:
                await asyncio.sleep(0.05)
            message = await read_message(reader)
            if message is None:
                return
            arrived_at = last_bytes_at(writer.get_extra_info("socket"))
            answer = await self._unless_closed(self._answer(message, arrived_at), reader)
            while self.silent:
                await asyncio.sleep(0.05)
            if answer is None:
                return
            writer.write(answer)
            await writer.drain()

    async def _unless_closed(
        self, work: Coroutine[Any, Any, bytes], reader: asyncio.StreamReader
    ) -> bytes | None:
        """The answer, or None if the peer closes the connection first, which cancels the work."""
        answer = asyncio.ensure_future(work)
        closed = asyncio.ensure_future(_until_closed(reader))
        try:
            await asyncio.wait({answer, closed}, return_when=asyncio.FIRST_COMPLETED)
            return answer.result() if answer.done() else None
        finally:
            closed.cancel()
            answer.cancel()

    async def _answer(self, message: Message, arrived_at: float) -> bytes:
        method, target, _ = message.first
        if target.startswith("/-/"):
            return response(200 if not self.draining else 503)
        call_id = message.headers.get("x-call-id", "")
        if not call_id:
            return response(404)
        if method not in ("GET", "POST"):
            return response(400)
        status, body = await self.receive(call_id, message.headers.get("idempotency-key", ""), arrived_at)
        return response(status, body, REJECTED_HEADERS if status == 503 else None)

    async def receive(self, call_id: str, key: str, arrived_at: float) -> tuple[int, bytes]:
        """Handle one request of any protocol that arrived at `arrived_at`; return its HTTP status and body.

        503 means that the request did not run.
        """
        if call_id not in self.ledger.sent:
            self.ledger.counts["unknown_ids"] += 1
            return 400, b""
        self.ledger.request_arrived(call_id, self.name, arrived_at)
        self.ledger.counts["attempts"] += 1
        if self.life is not None:
            self.life.receipts.append(Receipt(self.name, arrived_at, self.work_s))
        if self.draining or self.in_flight >= self.cores + self.queue:
            return 503, b""
        return await self._run(call_id, key)

    async def _run(self, call_id: str, key: str) -> tuple[int, bytes]:
        earlier_body = self.rack.find_answer(key, call_id, time.monotonic()) if key else None
        if earlier_body is not None:
            return 200, earlier_body
        self.in_flight += 1
        try:
            async with self.slots:
                mark = f"{self.name}:{self.rng.getrandbits(48):012x}"
                self.ledger.runs(call_id, self.name, self.rack.cell, time.monotonic(), mark)
                await asyncio.sleep(
                    self.work_s * self.work_factor * self.rng.uniform(0.7, 1.3) / self._warmth()
                )
        finally:
            self.in_flight -= 1
        if self.rng.random() < self.error_rate:
            return 500, b""
        body = f"{call_id} {mark}".encode()
        if key:
            self.rack.answers[key, call_id] = (time.monotonic(), body)
        return 200, body

    def _warmth(self) -> float:
        life = self.life
        return self.ledger.warmth(life, time.monotonic()) if life is not None else 1.0


async def _until_closed(reader: asyncio.StreamReader) -> None:
    """Return when the peer has closed the connection; clients do not pipeline requests."""
    while not reader.at_eof():
        await asyncio.sleep(0.02)
        if reader.exception() is not None:
            return
