"""Stand-in of a server that reads requests slowly, stops reading, or writes its answers slowly."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

READ_INTERVAL_S = 0.02  # between two reads at a limited rate
READ_BYTES = 64 * 1024
LAST_CHUNK = b"0\r\n\r\n"


class Framing(Enum):
    """How a message states where its body ends."""

    LENGTH = "length"
    CHUNKED = "chunked"
    UNTIL_CLOSE = "close"  # answers only


@dataclass(frozen=True)
class ReadPlan:
    """How a server reads one request."""

    bytes_per_s: float = 0.0  # 0: as fast as it can
    stops_after_bytes: int | None = None  # of the whole message; None: it reads to the end


@dataclass(frozen=True)
class AnswerPlan:
    """How a server writes one answer: `size` bytes in pieces of equal size over `duration_s`."""

    framing: Framing
    size: int
    duration_s: float = 0.0
    interval_s: float = 0.1  # between two pieces
    delay_s: float = 0.0  # before the head

    def body(self) -> bytes:
        return (bytes(range(251)) * (self.size // 251 + 1))[: self.size]


@dataclass(frozen=True)
class ServerPlan:
    """What a server does with one request."""

    read: ReadPlan
    answer: AnswerPlan


@dataclass
class ServerRecord:
    """What a server saw of one request; times are monotonic seconds."""

    call_id: str
    complete_at: float | None = None
    answer_began_at: float | None = None
    answer_ended_at: float | None = None


class SlowServer:
    """A server on its own port; `plan_of` tells what to do with the request of a call id."""

    def __init__(self, name: str, plan_of: Callable[[str], ServerPlan], receive_buffer_bytes: int) -> None:
        self.name = name
        self.plan_of = plan_of
        self.receive_buffer_bytes = receive_buffer_bytes  # 0: the kernel's choice
        self.records: list[ServerRecord] = []
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> SlowServer:
        self.listener = socket.socket()
        if self.receive_buffer_bytes:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer_bytes)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(128)
        self.listener.setblocking(False)
        self.port = int(self.listener.getsockname()[1])
        self._begin(self._accept())
        return self

    async def close(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.listener.close()

    def member(self) -> dict[str, Any]:
        """The server's entry in the list of discovery."""
        return {
            "id": self.name,
            "host_port": f"127.0.0.1:{self.port}",
            "locality": "a",
            "flavor": "m",
            "cell": 0,
            "phase": "SERVING",
            "size": 1.0,
            "up_since_ms": 0,
        }

    def _begin(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self.listener)
            self._begin(self._serve(sock))

    async def _serve(self, sock: socket.socket) -> None:
        try:
            while await self._serve_request(sock):
                pass
        except OSError:
            pass  # the program has closed the connection
        finally:
            sock.close()

    async def _serve_request(self, sock: socket.socket) -> bool:
        """Read and answer one request; returns whether the connection stays open."""
        loop = asyncio.get_running_loop()
        received = await loop.sock_recv(sock, 1024)
        while received and b"\r\n\r\n" not in received:
            received += await loop.sock_recv(sock, 1024)
        if not received:
            return False
        head, _, body = received.partition(b"\r\n\r\n")
        fields = _parse_fields(head)
        call_id = fields.get("x-call-id", "")
        plan = self.plan_of(call_id)
        record = ServerRecord(call_id)
        self.records.append(record)
        await self._read_body(sock, fields, len(head), body, plan.read)
        record.complete_at = time.monotonic()
        await self._answer(sock, plan.answer, record)
        return plan.answer.framing is not Framing.UNTIL_CLOSE

    async def _read_body(
        self, sock: socket.socket, fields: dict[str, str], head_size: int, body: bytes, plan: ReadPlan
    ) -> None:
        """Read a body to its end, or wait for ever where the plan stops before it; raises OSError."""
        loop = asyncio.get_running_loop()
        size, tail = len(body), body[-len(LAST_CHUNK) :]
        length = int(fields["content-length"]) if "content-length" in fields else None
        while size < length if length is not None else tail != LAST_CHUNK:
            if plan.stops_after_bytes is not None and head_size + size >= plan.stops_after_bytes:
                await asyncio.Event().wait()
            most = READ_BYTES
            if plan.stops_after_bytes is not None:
                most = min(most, plan.stops_after_bytes - head_size - size)
            if plan.bytes_per_s:
                await asyncio.sleep(READ_INTERVAL_S)
                most = min(most, max(1, int(plan.bytes_per_s * READ_INTERVAL_S)))
            part = await loop.sock_recv(sock, most)
            if not part:
                raise ConnectionResetError
            size += len(part)
            tail = (tail + part)[-len(LAST_CHUNK) :]

    async def _answer(self, sock: socket.socket, plan: AnswerPlan, record: ServerRecord) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(plan.delay_s)
        record.answer_began_at = time.monotonic()
        framing_line = {
            Framing.LENGTH: b"Content-Length: %d" % plan.size,
            Framing.CHUNKED: b"Transfer-Encoding: chunked",
            Framing.UNTIL_CLOSE: b"Connection: close",
        }[plan.framing]
        await loop.sock_sendall(sock, b"HTTP/1.1 200 OK\r\n%s\r\n\r\n" % framing_line)
        body = plan.body()
        pieces = max(1, int(plan.duration_s / plan.interval_s))
        step = -(-plan.size // pieces) or 1
        for start in range(0, plan.size, step):
            if start:
                await asyncio.sleep(plan.interval_s)
            piece = body[start : start + step]
            chunked = plan.framing is Framing.CHUNKED
            await loop.sock_sendall(sock, encode_chunk(piece) if chunked else piece)
        if plan.framing is Framing.CHUNKED:
            await loop.sock_sendall(sock, LAST_CHUNK)
        record.answer_ended_at = time.monotonic()


def encode_chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def _parse_fields(head: bytes) -> dict[str, str]:
    """The fields of a message's head by lower-case name."""
    fields = {}
    for line in head.decode("latin-1").split("\r\n")[1:]:
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    return fields
