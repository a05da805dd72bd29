"""Small stand-ins for the review's cases: platform, discovery, check servers and raw client helpers.

They follow the protocol page: whole lists and watches from discovery; keyed requests that one rack answers
once; clients that keep connections and send one request at a time. Times are seconds of the monotonic clock.
Everything that is sent, answered and run is written to a record.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
NS = 1_000_000_000
READY_S = 25.0


class Unrunnable(Exception):  # noqa: N818
    """The case could not be set up; the script ends with 2."""


class Record:
    """The case's record.txt: what was sent, answered and run, by the time since the start.

    Each line is written at once, so that the record also tells what a script did that was ended early.
    """

    def __init__(self, path: Path) -> None:
        self.started_at = time.monotonic()
        self.file = path.open("w", buffering=1, encoding="utf-8")
        self.last: list[str] = []  # the last lines, to print

    def add(self, text: str) -> None:
        line = f"{time.monotonic() - self.started_at:9.4f}  {text}"
        self.file.write(line + "\n")
        self.last = [*self.last[-11:], line]


def free_port() -> int:
    """A free port below the range of outgoing connections, so that a restarted program finds it free."""
    for _ in range(200):
        port = random.randrange(12_000, 31_000)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            return port
    raise Unrunnable("no port is free")


def settings(**changes: Any) -> dict[str, Any]:
    """The settings of a small deployment: one keyed class, one rack a cell."""
    grade = {
        "name": "huurderstoets",
        "aimNs": NS,
        "deadlineNs": 3 * NS,
        "effect": "dedup",
        "keyScope": "cell",
        "dedupWindowNs": 6 * NS,
        "importance": 1.0,
        "lateValue": 0.25,
    }
    grade |= changes.pop("grade", {})
    limits = {
        "maxAttempts": 5,
        "secondCopies": True,
        "cancel": True,
        "dialTimeoutNs": NS // 4,
        "connIdleNs": 15 * NS,
        "retryAfter": False,
        "maxRetryAfterNs": 2 * NS,
    }
    limits |= changes.pop("limits", {})
    rules = {
        "coldShare": 0.12,
        "drainGraceNs": NS // 2,
        "fallMultiple": 3.0,
        "fallNs": 3 * NS,
        "rampTimeNs": 24 * NS,
        "askWithinNs": 10 * NS,
    }
    document = {
        "fleetSize": 3,
        "slotNo": 0,
        "zone": 0,
        "zones": ["a"],
        "hostTypes": ["m"],
        "membershipMode": "ask",
        "grades": [grade],
        "tenants": [{"name": "t0", "share": 1.0, "allowancePerS": 1000.0}],
        "limits": limits,
        "rules": rules,
    }
    return document | changes


class Program:
    """The real program, started by the deploy file's `run` from the root, as the platform does."""

    def __init__(self, record: Record, discovery_port: int, facts: dict[str, Any], known: dict[str, Any]):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.port = free_port()
        self.run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self.configuration: dict[str, Any] = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{discovery_port}",
            "seed": "",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "known": known,
            "settings": facts,
        }
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0

    async def start(self) -> None:
        self.starts += 1
        self.configuration["seed"] = f"{0x8C1F30D2 + self.starts:x}"
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.configuration))
        temporary = self.folder / f"tmp{self.starts}"
        temporary.mkdir()
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "NODE_CONFIG": str(path),
            "NODE_NAME": self.configuration["name"],
            "NODE_LISTEN": self.configuration["listen"],
            "NODE_DISCOVERY": self.configuration["discovery"],
            "TMPDIR": str(temporary),
        }
        with (self.folder / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", self.run, env=environment, cwd=ROOT, stdout=log, stderr=log
            )
        deadline = time.monotonic() + READY_S
        while time.monotonic() < deadline:
            if self.process.returncode is not None:
                raise Unrunnable(f"the program ended at its start with {self.process.returncode}")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n")
                answer = await read_message(reader)
                writer.close()
                if answer is not None and answer.status == 200:
                    self.record.add(f"platform: the sidecar is ready (start {self.starts})")
                    return
            await asyncio.sleep(0.05)
        raise Unrunnable("the program was not ready in time")

    def send_signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.record.add(f"platform: {number.name} to the sidecar")
        self.process.send_signal(number)

    async def end(self) -> None:
        """SIGKILL, if it still runs, and remove its folder."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def log(self) -> str:
        path = self.folder / "log"
        return path.read_text(errors="replace") if path.exists() else ""


# HTTP/1.1


@dataclass
class Message:
    first: list[str]
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        return int(self.first[1])

    @property
    def closes(self) -> bool:
        return self.headers.get("connection", "").lower() == "close"


async def read_head(reader: asyncio.StreamReader) -> tuple[list[str], dict[str, str]] | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as ended:
        if not ended.partial:
            return None
        raise
    lines = head[:-4].decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:])
    return lines[0].split(" ", 2), {name.lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """The next message; None if the connection ends between two of them."""
    head = await read_head(reader)
    if head is None:
        return None
    return Message(*head, await read_body(reader, head[1]))


def post(
    call_id: str, key: str, budget_ms: int, body: bytes, chunked: bool = False, user: str = "u"
) -> bytes:
    framing = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {len(body)}"
    head = (
        f"POST /api?user={key} HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: {call_id}\r\n"
        f"X-Call-Class: huurderstoets\r\nX-Caller: t0\r\nX-Budget-Ms: {budget_ms}\r\n"
        f"Idempotency-Key: {key}\r\n{framing}\r\n\r\n"
    ).encode()
    if not chunked:
        return head + body
    step = 16_384
    chunks = [body[start : start + step] for start in range(0, len(body), step)]
    return head + b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in chunks) + b"0\r\n\r\n"


def response(status: int, body: bytes = b"") -> bytes:
    lines = [f"HTTP/1.1 {status} S", f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


# Peers


class Discovery:
    """Whole lists at once, watches as soon as something has changed or the wait is over."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.revision = 1
        self.members: dict[str, dict[str, Any]] = {}
        self.changed: dict[str, int] = {}
        self.news = asyncio.Event()
        self.port = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def publish(self, *members: dict[str, Any]) -> None:
        self.revision += 1
        for member in members:
            self.members[member["id"]] = member
            self.changed[member["id"]] = self.revision
        news, self.news = self.news, asyncio.Event()
        news.set()

    def whole(self) -> dict[str, Any]:
        members = [member for member in self.members.values() if member["phase"] != "DELETED"]
        return {"revision": self.revision, "complete": True, "members": members}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # Cancelled at the end of the script only.
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while (message := await read_message(reader)) is not None:
                query = parse_qs(urlsplit(message.first[1]).query)
                answer = self.whole()
                if "after" in query:
                    after, wait_s = int(query["after"][0]), int(query.get("wait_ms", ["0"])[0]) / 1000
                    if after >= self.revision:
                        with contextlib.suppress(TimeoutError):
                            await asyncio.wait_for(self.news.wait(), wait_s)
                    if after <= self.revision:
                        changed = [m for name, m in self.members.items() if self.changed[name] > after]
                        answer = {"revision": self.revision, "complete": False, "members": changed}
                writer.write(response(200, json.dumps(answer).encode()))
                await writer.drain()
        writer.close()

    def close(self) -> None:
        if self.server is not None:
            self.server.close()


class Rack:
    """The check servers of one cell drop repeats of a key together, for `window_s` seconds."""

    def __init__(self, cell: int, window_s: float = 6.0) -> None:
        self.cell = cell
        self.window_s = window_s
        self.done: dict[str, tuple[float, asyncio.Future[bytes]]] = {}


@dataclass
class Arrival:
    """A request whose last byte has reached a check server."""

    server: str
    call_id: str
    at: float
    budget_ms: int
    body: bytes


@dataclass
class Arrivals:
    all: list[Arrival] = field(default_factory=list)
    answers: dict[str, set[bytes]] = field(default_factory=dict)  # bodies that servers made, by request id
    sent: dict[str, bytes] = field(default_factory=dict)  # bodies that clients sent, by request id
    mangled: list[str] = field(default_factory=list)  # requests that no client sent in the form that came


class CheckServer:
    """One check server: reads a whole request, works for `work_s`, and answers."""

    def __init__(
        self, name: str, rack: Rack, record: Record, arrivals: Arrivals, work_s: float = 0.05
    ) -> None:
        self.name = name
        self.rack = rack
        self.record = record
        self.arrivals = arrivals
        self.work_s = work_s
        self.port = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=256)
        self.port = self.server.sockets[0].getsockname()[1]

    def member(self, phase: str = "SERVING") -> dict[str, Any]:
        return {
            "id": self.name,
            "host_port": f"127.0.0.1:{self.port}",
            "locality": "a",
            "flavor": "m",
            "cell": self.rack.cell,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # Cancelled at the end of the script only.
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            while (message := await read_message(reader)) is not None:
                writer.write(await self._answer(message))
                await writer.drain()
        writer.close()

    async def _answer(self, message: Message) -> bytes:
        call_id, key = message.headers.get("x-call-id", ""), message.headers.get("idempotency-key", "")
        if message.first[1].startswith("/-/"):
            return response(200)
        budget_ms = int(message.headers.get("x-budget-ms", "0"))
        self.arrivals.all.append(Arrival(self.name, call_id, time.monotonic(), budget_ms, message.body))
        self.record.add(
            f"{self.name}: {call_id} has come, {len(message.body)} bytes of body, told {budget_ms} ms"
        )
        if self.arrivals.sent and self.arrivals.sent.get(call_id) != message.body:
            sent = self.arrivals.sent.get(call_id)
            form = f"sent were {len(sent)}" if sent is not None else "no client sent that id"
            self.arrivals.mangled.append(
                f"{self.name} got {call_id} with {len(message.body)} bytes of body, {form}"
            )
            self.record.add(f"{self.name}: {call_id} was sent by no client in this form, answered 400")
            return response(400)
        now = time.monotonic()
        earlier = self.rack.done.get(key)
        if earlier is not None and now - earlier[0] <= self.rack.window_s:
            self.record.add(f"{self.name}: {call_id} is a repeat, dropped by its rack")
            return response(200, await asyncio.shield(earlier[1]))
        future: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self.rack.done[key] = (now, future)
        self.record.add(f"{self.name}: {call_id} runs")
        await asyncio.sleep(self.work_s)
        body = f"{self.name} {call_id} checked {len(message.body)} bytes".encode()
        self.arrivals.answers.setdefault(call_id, set()).add(body)
        future.set_result(body)
        return response(200, body)

    def close(self) -> None:
        if self.server is not None:
            self.server.close()


# Scripts


Case = Callable[[Record, bool], Awaitable[list[str]]]


def run_case(path: Path, case: Case, limit_s: float = 100.0) -> None:
    """Run a case and write its record to `path`.

    Exits with 1 if the case returns broken rules, 0 if it returns none, 2 if it could not run.
    """
    record = Record(path)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add(f"start, {'with' if trouble else 'without'} the disruption")
    code = 2
    try:
        broken = asyncio.run(_limited(case(record, trouble), limit_s))
        for line in broken:
            record.add(f"BROKEN: {line}")
        code = 1 if broken else 0
    except (Exception, asyncio.CancelledError) as problem:  # says nothing about the program
        record.add(f"the case could not run: {problem!r}")
    record.add(f"end, {['the rule held', 'the rule was broken', 'not run'][code]}")
    record.file.close()
    print("\n".join(record.last))
    sys.exit(code)


async def _limited(work: Awaitable[list[str]], limit_s: float) -> list[str]:
    """Run the work for `limit_s` at most; SIGTERM and SIGINT end it too, with all that it started."""
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await asyncio.wait_for(work, limit_s)
