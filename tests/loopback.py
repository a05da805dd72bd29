"""Test fixtures: a sidecar on loopback sockets with its real listener and transport, and scripted peers.

Nothing here measures time: tests wait for conditions, with a generous timeout.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any

from garnethaven.config import Config
from garnethaven.engine.engine import Engine
from garnethaven.membership.discovery import Discovery
from garnethaven.net.listener import Listener
from garnethaven.net.transport import HttpTransport
from garnethaven.settings import read_names, read_settings
from tests.test_benchlink import SETTINGS_OBJECT

WAIT_S = 20.0
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"

Script = Callable[[bytes, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def settings_document() -> dict[str, Any]:
    settings = json.loads(json.dumps(SETTINGS_OBJECT))
    settings["grades"][0]["name"] = "check"
    settings |= {"zones": ["a"], "hostTypes": ["m"], "tenants": []}
    settings["limits"] |= {"dialTimeoutNs": 10**9, "connIdleNs": 15 * 10**9}
    return settings


def request(**headers: str) -> bytes:
    """A valid request; `headers` replace its headers, and an empty value removes one."""
    lines = {
        "Host": "backend.local",
        "X-Call-Id": "c1",
        "X-Call-Class": "check",
        "X-Budget-Ms": "3000",
        "Idempotency-Key": "k1",
        "Content-Length": "2",
    }
    lines |= {name.replace("_", "-"): value for name, value in headers.items()}
    head = "".join(f"{name}: {value}\r\n" for name, value in lines.items() if value)
    return f"POST /api?user=u1 HTTP/1.1\r\n{head}\r\nhi".encode()


async def read_message(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """Read a message head and its body, whose size is given by Content-Length."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    return head, await reader.readexactly(length)


class Peer:
    """A scripted endpoint that counts connections and records requests."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.connections = 0
        self.open = 0
        self.requests: list[bytes] = []
        self.writers: list[asyncio.StreamWriter] = []  # of all connections, oldest first

    async def start(self) -> Peer:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.open += 1
        self.writers.append(writer)
        try:
            while True:
                head, body = await read_message(reader)
                self.requests.append(head + body)
                await self.script(head, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.open -= 1
            writer.close()

    def member(self, name: str) -> dict[str, Any]:
        return {"id": name, "host_port": f"127.0.0.1:{self.port}", "phase": "SERVING", "cell": 0}


def answers_with(answer: bytes, go_on: asyncio.Event | None = None) -> Script:
    """A script that always sends `answer`, after `go_on` is set if it is given."""

    async def script(head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if go_on is not None:
            await go_on.wait()
        writer.write(answer)

    return script


async def never_answers(head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.read()  # until the other side closes the connection
    raise ConnectionError


class Sidecar:
    def __init__(
        self,
        members: list[dict[str, Any]],
        connections: int = 32,
        client_places: int = 0,
        discovery: int = 9,
        **changes: Any,
    ) -> None:
        settings = settings_document() | changes
        self.config = Config(
            name="t",
            listen=("127.0.0.1", 0),
            discovery=("127.0.0.1", discovery),
            seed=1,
            memory_mb=64,
            sockets=256,
            known={},
            settings=read_settings(settings),
            names=read_names(settings),
        )
        loop = asyncio.get_running_loop()
        parsed_settings = self.config.settings
        self.engine = Engine("t", parsed_settings, 1, loop)
        self.transport = HttpTransport(self.engine, parsed_settings, loop, lambda: connections, 64)
        self.discovery = Discovery(self.config, self.engine, self.transport, loop)
        self.engine.start()
        self.set_members(members)
        self.listener = Listener(self.config, self.engine, self.transport, loop, lambda: connections)
        self.listener.set_limits(client_places)
        self.port = self.listener.sock.getsockname()[1]

    def set_members(self, members: list[dict[str, Any]]) -> None:
        self.discovery.start({"revision": 1, "complete": True, "members": members})

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def plain(self) -> socket.socket:
        """A raw client socket, so that the test controls what is read and when."""
        sock = socket.socket()
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", self.port))
        return sock

    async def ask(self, text: bytes) -> tuple[int, bytes]:
        """Send a request on a new connection; returns the status and body."""
        reader, writer = await self.connect()
        writer.write(text)
        head, body = await read_message(reader)
        writer.close()
        return int(head.split()[1]), body


@contextlib.asynccontextmanager
async def running_sidecar(
    *scripts: Script, cell: int = 0, connections: int = 32, client_places: int = 0
) -> AsyncIterator[tuple[Sidecar, Any]]:
    """A sidecar with one scripted endpoint per script, all in one cell."""
    peers = [await Peer(script).start() for script in scripts]
    members = [peer.member(f"s{n}") for n, peer in enumerate(peers)]
    sidecar = Sidecar(members, connections, client_places)
    try:
        yield sidecar, peers
    finally:
        sidecar.listener.drain()
        for connection in list(sidecar.listener.connections):
            connection.transport.abort()
        for peer in peers:
            peer.server.close()


def run(case: Coroutine[Any, Any, None], wait_s: float = WAIT_S) -> None:
    asyncio.run(asyncio.wait_for(case, wait_s))


async def wait_until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.01)


class ScriptedDiscovery(Peer):
    """A scripted discovery server: sends one list and then leaves watches unanswered."""

    def __init__(self, members: list[dict[str, Any]]) -> None:
        self.members = members
        super().__init__(self._tell)

    async def _tell(self, head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if b"wait_ms" in head and len(self.requests) > 1:
            await never_answers(head, reader, writer)
        body = json.dumps({"revision": 7, "complete": True, "members": self.members}).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


def write_config_file(path: Path, **changes: Any) -> Path:
    document = {
        "name": "t",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "seed": "1f",
        "limits": {"memory_mb": 64, "sockets": 256},
        "known": {"revision": 1, "complete": True, "members": []},
        "settings": settings_document(),
    }
    path.write_text(json.dumps(document | changes))
    return path


async def wait_until_listening(port: int) -> None:
    """Wait until a port accepts connections; the other addresses open after the clients' address."""
    while True:
        with contextlib.suppress(ConnectionRefusedError):
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.close()
            return
        await asyncio.sleep(0.02)


async def wait_until_ready(port: int) -> None:
    while True:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n")
            head, _ = await read_message(reader)
            writer.close()
            assert b" 200 " in head
            return
        await asyncio.sleep(0.02)
