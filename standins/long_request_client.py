"""Stand-in of a client that sends one long request and records when its kernel had taken the last byte."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from dataclasses import dataclass, field

from standins.slow_server import LAST_CHUNK, Framing, encode_chunk
from standins.wire import WireError

WRITE_INTERVAL_S = 0.02  # between two writes at a limited rate
MAX_WRITE_S = 12.0  # after which a client gives up writing


@dataclass(frozen=True)
class RequestPlan:
    """One request of `size` bytes and how its client writes it."""

    call_id: str
    framing: Framing
    size: int
    budget_s: float  # what the client tells in X-Budget-Ms, counted from its last byte
    chunk_bytes: int = 4096
    send_buffer_bytes: int = 0  # of the client's socket; 0: the kernel's choice
    bytes_per_s: float = 0.0  # 0: as fast as the kernel takes them
    pause_s: float = 0.0  # in the middle of the body
    key: str = ""  # idempotency key; empty: unsafe to repeat
    offers_upgrade: bool = False

    def head(self) -> bytes:
        lines = [
            "POST /api?user=u1 HTTP/1.1",
            "Host: backend.local",
            f"X-Call-Id: {self.call_id}",
            "X-Call-Class: check",
            "X-Caller: t0",
            f"X-Budget-Ms: {int(self.budget_s * 1000)}",
        ]
        if self.key:
            lines.append(f"Idempotency-Key: {self.key}")
        if self.offers_upgrade:
            lines += ["Connection: Upgrade", "Upgrade: h2c"]
        chunked = self.framing is Framing.CHUNKED
        lines.append("Transfer-Encoding: chunked" if chunked else f"Content-Length: {self.size}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    def message(self) -> bytes:
        body = bytes(range(256)) * (self.size // 256 + 1)
        if self.framing is not Framing.CHUNKED:
            return self.head() + body[: self.size]
        starts = range(0, self.size, self.chunk_bytes)
        chunks = [encode_chunk(body[start : min(start + self.chunk_bytes, self.size)]) for start in starts]
        return self.head() + b"".join(chunks) + LAST_CHUNK


@dataclass
class ClientRecord:
    """What a client saw; times are monotonic seconds, None where it did not happen."""

    plan: RequestPlan
    first_byte_written_at: float | None = None
    last_byte_written_at: float | None = None
    answer_began_at: float | None = None
    answer_ended_at: float | None = None  # with its last byte
    closed_at: float | None = None  # by the program, without a whole answer
    status: int = 0
    received: bytearray = field(default_factory=bytearray)
    body: bytes = b""

    def due_at(self) -> float | None:
        """When the client's time is over."""
        return self.last_byte_written_at + self.plan.budget_s if self.last_byte_written_at else None


async def send_request(port: int, plan: RequestPlan, patience_s: float) -> ClientRecord:
    """Send one request on a connection of its own; give up `patience_s` after its last byte, if unanswered.

    An answer that has begun is read to its end, for as long as bytes come within `patience_s`.
    """
    record = ClientRecord(plan)
    loop = asyncio.get_running_loop()
    with socket.socket() as sock:
        sock.setblocking(False)
        if plan.send_buffer_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, plan.send_buffer_bytes)
        await loop.sock_connect(sock, ("127.0.0.1", port))
        writer = asyncio.create_task(_write(sock, record))
        reader = asyncio.create_task(_read_answer(sock, record))
        try:
            await _wait_for_answer(writer, reader, record, patience_s)
        finally:
            writer.cancel()
            reader.cancel()
            await asyncio.gather(writer, reader, return_exceptions=True)
    return record


async def _wait_for_answer(
    writer: asyncio.Task[None], reader: asyncio.Task[None], record: ClientRecord, patience_s: float
) -> None:
    await asyncio.wait([writer, reader], return_when=asyncio.FIRST_COMPLETED, timeout=MAX_WRITE_S)
    if not writer.done() and not reader.done():
        return
    seen = -1
    while not reader.done() and len(record.received) > seen:
        seen = len(record.received)
        await asyncio.wait([reader], timeout=patience_s)


async def _write(sock: socket.socket, record: ClientRecord) -> None:
    loop, plan = asyncio.get_running_loop(), record.plan
    message = plan.message()
    record.first_byte_written_at = time.monotonic()
    step = max(1, int(plan.bytes_per_s * WRITE_INTERVAL_S)) if plan.bytes_per_s else len(message) // 2 + 1
    with contextlib.suppress(OSError):  # an early answer may close the connection
        for start in range(0, len(message), step):
            await loop.sock_sendall(sock, message[start : start + step])
            if start + step < len(message):
                await asyncio.sleep(WRITE_INTERVAL_S if plan.bytes_per_s else plan.pause_s)
        record.last_byte_written_at = time.monotonic()


async def _read_answer(sock: socket.socket, record: ClientRecord) -> None:
    """Read the answer to its end; `status` is set once its head is there."""
    loop = asyncio.get_running_loop()
    while not _is_whole(record):
        try:
            part = await loop.sock_recv(sock, 256 * 1024)
        except OSError:
            part = b""
        if not part:
            record.closed_at = time.monotonic()
            return
        record.answer_began_at = record.answer_began_at or time.monotonic()
        record.received += part
    record.answer_ended_at = time.monotonic()


def _is_whole(record: ClientRecord) -> bool:
    """Parse what was received; returns whether the answer is complete."""
    head, separator, body = bytes(record.received).partition(b"\r\n\r\n")
    if not separator:
        return False
    record.status = int(head.split()[1])
    lowered = head.lower()
    if b"transfer-encoding: chunked" in lowered:
        record.body, ended = _decode_chunks(body)
        return ended
    length = lowered.partition(b"content-length:")[2].split(b"\r\n")[0]
    record.body = body
    return len(body) >= int(length or 0)


def _decode_chunks(encoded: bytes) -> tuple[bytes, bool]:
    """The body as far as it is there, and whether it is complete."""
    body = bytearray()
    while True:
        line, separator, rest = encoded.partition(b"\r\n")
        if not separator:
            return bytes(body), False
        size = int(line.split(b";")[0], 16)
        if size == 0:
            return bytes(body), True
        if len(rest) < size + 2:
            return bytes(body + rest[:size]), False
        if rest[size : size + 2] != b"\r\n":
            raise WireError("a chunk does not end with its size")
        body += rest[:size]
        encoded = rest[size + 2 :]
