"""Stand-ins and a runner for the cases of the second review; the standard library only.

All peers run in the process of the script, on loopback addresses and free ports. The program under test is
started by the `run` command of deploy/balancer.toml, from the root of the repository.
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
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "127.0.0.1"
NS = 1_000_000_000
MAX_SECONDS = 110.0  # a script may run for 120 s
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

Headers = dict[str, str]
IDS = random.Random(time.time_ns())  # ids of requests are new with every run


def free_port() -> int:
    """A free port below the usual range of outgoing connections, which could take it before it is bound."""
    for _ in range(500):
        port = IDS.randrange(12_000, 31_000)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((HOST, port))
            return port
    raise RuntimeError("no port is free")


class Record:
    """The lines of record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.started = time.monotonic()

    def note(self, text: str, at: float | None = None) -> None:
        moment = (time.monotonic() if at is None else at) - self.started
        self.file.write(f"{moment:9.3f} {text}\n")
        self.file.flush()


class Request:
    """A request that an endpoint has read; `at` is when its last byte had come."""

    def __init__(self, method: str, target: str, headers: Headers, body: bytes) -> None:
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.at = time.monotonic()
        self.writer: asyncio.StreamWriter | None = None  # for endpoints that write their answer themselves
        self.id = headers.get("x-call-id", "")
        self.budget_s = int(headers.get("x-budget-ms", "0")) / 1000


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers] | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
        return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def answer(status: int, body: bytes = b"", fields: Headers | None = None) -> bytes:
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in (fields or {}).items())
    return head.encode() + b"\r\n" + body


Work = Callable[["Endpoint", Request], Awaitable[bytes | None]]


class Endpoint:
    """A sound endpoint: reads one request at a time on a connection and answers with what `work` returns.

    `work` gets each request after its last byte; None ends the connection without an answer.
    """

    def __init__(self, name: str, record: Record, work: Work, cell: int = 0) -> None:
        self.name, self.record, self.work, self.cell = name, record, work, cell
        self.port = 0
        self.requests: list[Request] = []
        self.up_since_ms = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> Endpoint:
        self.port = self.port or free_port()
        self.server = await asyncio.start_server(self._serve, HOST, self.port, limit=1 << 20)
        return self

    def member(self, phase: str = "SERVING") -> dict[str, Any]:
        return {
            "id": self.name,
            "host_port": f"{HOST}:{self.port}",
            "locality": "a",
            "flavor": "m",
            "cell": self.cell,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": self.up_since_ms,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                method, target, _ = first.split(" ", 2)
                body = await read_body(reader, headers)
                if target.startswith("/-/"):
                    writer.write(answer(200))
                    continue
                request = Request(method, target, headers, body)
                request.writer = writer
                self.requests.append(request)
                self.record.note(
                    f"run      {request.id} arrives at {self.name}, X-Budget-Ms {request.budget_s * 1000:.0f}"
                )
                result = await self.work(self, request)
                if result is None:
                    break
                writer.write(result)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()


class Discovery:
    """Discovery that is asked: whole lists, and watches that are answered at once after a change."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.revision = 1
        self.members: dict[str, dict[str, Any]] = {}
        self.changed_at: dict[str, int] = {}
        self.news = asyncio.Event()
        self.port = 0
        self.server: asyncio.Server | None = None
        self.told: dict[tuple[str, str], float] = {}  # by id and phase: when it was written last

    async def start(self) -> Discovery:
        self.port = self.port or free_port()
        self.server = await asyncio.start_server(self._serve, HOST, self.port)
        return self

    def publish(self, *members: dict[str, Any]) -> None:
        self.revision += 1
        for member in members:
            self.members[member["id"]] = member
            self.changed_at[member["id"]] = self.revision
        news, self.news = self.news, asyncio.Event()
        news.set()

    def listed(self) -> dict[str, Any]:
        members = [member for member in self.members.values() if member["phase"] != "DELETED"]
        return {"revision": self.revision, "complete": True, "members": members}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                target = head[0].split(" ")[1]
                query = {name: int(values[0]) for name, values in parse_qs(urlsplit(target).query).items()}
                after = query.get("after")
                if after is not None and after >= self.revision and query.get("wait_ms"):
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self.news.wait(), query["wait_ms"] / 1000)
                content = self.listed()
                if after is not None and after <= self.revision:
                    changed = [m for name, m in self.members.items() if self.changed_at[name] > after]
                    content = {"revision": self.revision, "complete": False, "members": changed}
                writer.write(answer(200, json.dumps(content).encode()))
                await writer.drain()
                now = time.monotonic()
                for member in content["members"]:
                    self.told[member["id"], member["phase"]] = now
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()

    def close(self) -> None:
        if self.server is not None:
            self.server.close()


def settings(**changes: Any) -> dict[str, Any]:
    """The settings of a small deployment like the one of the operators' site, with one class.

    `changes` replace fields of the class.
    """
    grade = {
        "name": "huurderstoets",
        "aimNs": NS,
        "deadlineNs": 3 * NS,
        "effect": "dedup",
        "keyScope": "cell",
        "dedupWindowNs": 6 * NS,
        "importance": 1.0,
        "lateValue": 0.25,
        "streaming": False,
    }
    return {
        "clients": {"marksRetry": True},
        "family": "mesh",
        "fleetSize": 3,
        "slotNo": 1,
        "stage": 0,
        "tiers": ["toetsservers"],
        "zone": 0,
        "zones": ["a"],
        "hostTypes": ["m"],
        "membershipMode": "ask",
        "weights": "rough",
        "report": {"fields": [], "how": "off"},
        "grades": [grade | changes],
        "tenants": [{"name": "woonstede", "share": 1.0, "allowancePerS": 1000.0}],
        "overShareWorth": 0.1,
        "prices": {"crossZone": 0.03, "lateFail": 0.03, "probe": 0.05, "waste": 0.05},
        "limits": {
            "cancel": True,
            "connIdleNs": 15 * NS,
            "dialTimeoutNs": NS // 4,
            "maxAttempts": 5,
            "maxRetryAfterNs": 2 * NS,
            "openCap": 20000,
            "peers": False,
            "probes": True,
            "retryAfter": False,
            "secondCopies": True,
            "streamsPerConn": 1,
        },
        "rules": {
            "answerSlackNs": NS // 50,
            "askWithinNs": 10 * NS,
            "coldShare": 0.12,
            "drainGraceNs": NS // 2,
            "fallMultiple": 3.0,
            "fallNs": 3 * NS,
            "rampTimeNs": 24 * NS,
        },
    }


class Program:
    """The real program, started by the deploy file's `run` as a process of its own."""

    def __init__(
        self, record: Record, discovery_port: int, known: dict[str, Any], facts: dict[str, Any], **more: Any
    ) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-2-"))
        self.port = free_port()
        self.path = self.folder / "config.json"
        self.configuration = {
            "name": "n3",
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{discovery_port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 512},
            "known": known,
            "settings": facts,
        } | more
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> Program:
        self.path.write_text(json.dumps(self.configuration))
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        temporary = self.folder / "tmp"
        temporary.mkdir(exist_ok=True)
        environment = dict(os.environ, NODE_CONFIG=str(self.path), TMPDIR=str(temporary))
        with (self.folder / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        deadline = time.monotonic() + 30.0
        while time.monotonic() < deadline:
            if self.process.returncode is not None:
                raise RuntimeError(f"the program ended with {self.process.returncode} at its start")
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n")
                head = await read_head(reader)
                writer.close()
                if head is not None and " 200 " in head[0] + " ":
                    self.record.note(f"program  ready, process {self.process.pid}")
                    return self
            await asyncio.sleep(0.02)
        raise RuntimeError("the program was not ready within 30 s")

    def signal(self, number: int) -> None:
        assert self.process is not None
        self.record.note(f"program  gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def reload(self, **changes: Any) -> None:
        self.configuration |= changes
        new = self.path.with_suffix(".new")
        new.write_text(json.dumps(self.configuration))
        new.replace(self.path)
        self.signal(signal.SIGHUP)

    async def end(self) -> None:
        if self.process is not None:
            if self.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    self.process.kill()
            await self.process.wait()
        log = self.folder / "log"
        for line in log.read_text(errors="replace").splitlines() if log.exists() else ():
            self.record.note(f"log      {line}")
        shutil.rmtree(self.folder, ignore_errors=True)


def new_id() -> str:
    return f"{IDS.getrandbits(64):016x}"


def request_bytes(
    call_id: str,
    budget_ms: int,
    key: str | None = "",
    body: bytes = b"{}",
    fields: Headers | None = None,
    method: str = "POST",
) -> bytes:
    """One request as the protocol page has it; `key` None: none, empty: a new one."""
    head = f"{method} /api?user={new_id()} HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: {call_id}\r\n"
    head += f"X-Call-Class: huurderstoets\r\nX-Caller: woonstede\r\nX-Budget-Ms: {budget_ms}\r\n"
    if key is not None:
        head += f"Idempotency-Key: {key or new_id() + new_id()}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in (fields or {}).items())
    if method != "GET":
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + (body if method != "GET" else b"")


async def ask(
    port: int, record: Record, call_id: str = "", budget_ms: int = 3000, **more: Any
) -> tuple[int, bytes]:
    """One request on a connection of its own; status 0: no whole answer came until 1 s after its time."""
    call_id = call_id or new_id()
    writer = None
    status, body = 0, b""
    try:
        async with asyncio.timeout(budget_ms / 1000 + 1.0):
            reader, writer = await asyncio.open_connection(HOST, port)
            record.note(f"send     {call_id} X-Budget-Ms {budget_ms}")
            writer.write(request_bytes(call_id, budget_ms, **more))
            head = await read_head(reader)
            if head is not None:
                body = await read_body(reader, head[1])
                status = int(head[0].split()[1])
    except (TimeoutError, ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer is not None:
            writer.transport.abort()
    record.note(f"answer   {call_id} {status} {body[:60]!r}")
    return status, body


class Caller:
    """A client that keeps one connection and sends its next request `pause_s` after the last answer."""

    def __init__(self, port: int, record: Record, pause_s: float, budget_ms: int = 3000) -> None:
        self.port, self.record, self.pause_s, self.budget_ms = port, record, pause_s, budget_ms
        self.outcomes: dict[int, int] = {}  # answers by status; 0: none came within the time
        self.stopped = False

    async def run(self) -> None:
        reader: asyncio.StreamReader | None = None
        writer: asyncio.StreamWriter | None = None
        while not self.stopped:
            call_id, status = new_id(), 0
            try:
                async with asyncio.timeout(self.budget_ms / 1000 + 0.5):
                    if writer is None:
                        reader, writer = await asyncio.open_connection(HOST, self.port)
                    assert reader is not None
                    self.record.note(f"send     {call_id} X-Budget-Ms {self.budget_ms}")
                    writer.write(request_bytes(call_id, self.budget_ms))
                    head = await read_head(reader)
                    if head is not None:
                        await read_body(reader, head[1])
                        status = int(head[0].split()[1])
            except (TimeoutError, ConnectionError, asyncio.IncompleteReadError):
                head = None
            self.record.note(f"answer   {call_id} {status}")
            self.outcomes[status] = self.outcomes.get(status, 0) + 1
            if writer is not None and (head is None or head[1].get("connection") == "close"):
                writer.transport.abort()
                reader = writer = None
            await asyncio.sleep(self.pause_s)
        if writer is not None:
            writer.transport.abort()


class Link:
    """A proxy before discovery; `silence` drops all further bytes of the connections that are open now."""

    def __init__(self, record: Record, port: int) -> None:
        self.record, self.behind = record, port
        self.port = 0
        self.open: dict[int, bool] = {}  # by number: whether the connection still carries bytes
        self.number = 0
        self.calls: list[
            tuple[float, int, bytes]
        ] = []  # calls from the sidecar: time, connection, first line
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> Link:
        self.port = free_port()
        self.server = await asyncio.start_server(self._serve, HOST, self.port)
        return self

    def silence(self) -> None:
        self.record.note(f"link     connections {sorted(self.open)} fall silent")
        for number in self.open:
            self.open[number] = False

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.number += 1
        number = self.number
        far_reader, far_writer = await asyncio.open_connection(HOST, self.behind)
        self.open[number] = True
        self.record.note(f"link     connection {number} opened")

        async def carry(source: asyncio.StreamReader, sink: asyncio.StreamWriter, name: str) -> None:
            with contextlib.suppress(ConnectionError):
                while data := await source.read(65536):
                    if name == "call":
                        line = data.split(b"\r\n", 1)[0]
                        self.calls.append((time.monotonic(), number, line))
                        state = "" if self.open[number] else ", and is dropped"
                        self.record.note(f"link     {line.decode()!r} on connection {number}{state}")
                    if self.open[number]:
                        sink.write(data)
                        await sink.drain()

        back = asyncio.create_task(carry(far_reader, writer, "answer"))
        self.tasks.add(back)
        try:
            await carry(reader, far_writer, "call")
        finally:
            self.record.note(f"link     connection {number} closed by the sidecar")
            del self.open[number]
            back.cancel()
            far_writer.transport.abort()
            writer.transport.abort()

    def close(self) -> None:
        if self.server is not None:
            self.server.close()


def run(folder: str, case: Callable[[Record], Awaitable[int]]) -> None:
    """Play the case and exit with its verdict: 0 the rule held, 1 it was broken, 2 the case couldn't run."""
    record = Record(Path(folder) / "record.txt")
    record.note(f"case     TROUBLE={int(TROUBLE)}")

    async def bounded() -> int:
        async with asyncio.timeout(MAX_SECONDS):
            return await case(record)

    try:
        verdict = asyncio.run(bounded())
    except BaseException:  # whatever it is, the rule was not tested
        record.note("case     " + traceback.format_exc().replace("\n", "\n          "))
        verdict = COULD_NOT_RUN
    record.note(f"verdict  {('held', 'BROKEN', 'could not run')[verdict]}")
    print(("held", "BROKEN", "could not run")[verdict])
    sys.exit(verdict)
