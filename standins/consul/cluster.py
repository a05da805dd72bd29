"""A Consul cluster: agents on separate ports that share one catalog, with faults.

`on_entries_sent(names, at)` is called after a response with instances or keys has been written to a client;
`names` are the ids of the passing instances, or the keys.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qsl, unquote, urlsplit

from standins.consul.catalog import Catalog
from standins.wire import Message, WireError, read_message, response

EXPIRY_CHECK_S = 0.02


def parse_duration_s(text: str) -> float:
    """Parse a duration of the API, such as `10s`, `250ms` or `1m`."""
    for unit, factor in (("ms", 0.001), ("s", 1.0), ("m", 60.0)):
        if text.endswith(unit):
            return float(text.removesuffix(unit)) * factor
    raise WireError(f"invalid duration: {text!r}")


def with_lowercase_names(fields: dict[str, Any]) -> dict[str, Any]:
    """The fields with lower-case names; the API accepts names in any case."""
    return {name.lower(): value for name, value in fields.items()}


class Cluster:
    """The cluster; with a `token`, requests need it."""

    def __init__(self, agents: int = 2, token: str = "") -> None:
        self.catalog = Catalog()
        self.token = token
        self.changed = asyncio.Condition()
        self.agents = [Agent(self) for _ in range(agents)]
        self.on_entries_sent: Callable[[set[str], float], None] = lambda names, at: None
        self.queries_cut = 0
        self.expiry_task: asyncio.Task[None] | None = None

    async def start(self) -> Cluster:
        for agent in self.agents:
            await agent.start()
        self.expiry_task = asyncio.create_task(self._expire_checks())
        return self

    async def close(self) -> None:
        if self.expiry_task is not None:
            self.expiry_task.cancel()
        for agent in self.agents:
            agent.stop()

    def addresses(self) -> list[str]:
        return [f"127.0.0.1:{agent.port}" for agent in self.agents]

    async def tell(self) -> None:
        """Wake the pending blocking queries after a change of the catalog."""
        async with self.changed:
            self.changed.notify_all()

    async def restore(self, backup: Catalog) -> None:
        """Restore the catalog from a backup: the index goes back."""
        self.catalog = backup.backup()
        await self.tell()

    async def _expire_checks(self) -> None:
        """Expire checks without heartbeats."""
        while True:
            await asyncio.sleep(EXPIRY_CHECK_S)
            if self.catalog.expire(time.monotonic()):
                await self.tell()


class Agent:
    """An agent and its faults.

    `status`: the status of all responses, if not 0. `frozen`: the outdated catalog of an agent that has lost
    its leader.
    """

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.port = 0
        self.status = 0
        self.frozen: Catalog | None = None
        self.knows_leader = True
        self.reported_index = ""  # replaces the true index in responses, if not empty
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None
        self.queries = 0

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self.server is not None:
            self.server.close()
            self.server = None
        self.cut()

    def cut(self) -> None:
        for writer in list(self.writers):
            self.cluster.queries_cut += 1
            writer.transport.abort()

    def fall_behind(self, knows_leader: bool) -> None:
        self.frozen = self.cluster.catalog.backup()
        self.knows_leader = knows_leader

    def catch_up(self) -> None:
        self.frozen = None
        self.knows_leader = True

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                status, body, headers, names = await self._answer(message)
                writer.write(response(status, body, headers))
                await writer.drain()
                if names is not None:
                    self.cluster.on_entries_sent(names, time.monotonic())
        except (ConnectionError, WireError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # closed by the client or by a fault
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, message: Message) -> tuple[int, bytes, dict[str, str], set[str] | None]:
        method, target, _ = message.first
        parts = urlsplit(target)
        query = dict(parse_qsl(parts.query, keep_blank_values=True))
        if self.status:
            return self.status, b"turned away", {}, None
        if self.cluster.token and message.headers.get("x-consul-token") != self.cluster.token:
            return 403, b"Permission denied", {}, None
        path = unquote(parts.path)
        if method == "GET" and (path.startswith("/v1/health/service/") or path.startswith("/v1/kv/")):
            return await self._query(path, query)
        status, body = self._change(method, path, query, message.body)
        await self.cluster.tell()
        return status, body, {}, None

    async def _query(
        self, path: str, query: dict[str, str]
    ) -> tuple[int, bytes, dict[str, str], set[str] | None]:
        self.queries += 1
        if "consistent" in query and not self.knows_leader:
            return 500, b"No cluster leader", {}, None
        if "stale" not in query and self.frozen is not None:
            return 500, b"No cluster leader", {}, None
        known_index = int(query.get("index", "0"))
        if known_index:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(parse_duration_s(query.get("wait", "5m"))), self.cluster.changed:
                    await self.cluster.changed.wait_for(lambda: self.catalog.index != known_index)
        catalog = self.catalog
        entries, names = self._read(catalog, path, query)
        headers = {
            "X-Consul-Index": self.reported_index or str(catalog.index),
            "X-Consul-KnownLeader": str(self.knows_leader).lower(),
            "X-Consul-LastContact": "0" if self.frozen is None else "60000",
            "Content-Type": "application/json",
        }
        return (
            (200 if entries or path.startswith("/v1/health") else 404),
            json.dumps(entries).encode(),
            headers,
            names,
        )

    def _read(self, catalog: Catalog, path: str, query: dict[str, str]) -> tuple[list[Any], set[str]]:
        if path.startswith("/v1/health/service/"):
            entries = catalog.service(path.removeprefix("/v1/health/service/"), "passing" in query)
            passing = {
                entry["Service"]["ID"]
                for entry in entries
                if all(check["Status"] == "passing" for check in entry["Checks"])
            }
            return entries, passing
        key = path.removeprefix("/v1/kv/")
        entries = catalog.keys_with_prefix(key)
        if "recurse" not in query:
            entries = [entry for entry in entries if entry["Key"] == key]
        return entries, {entry["Key"] for entry in entries}

    @property
    def catalog(self) -> Catalog:
        return self.frozen or self.cluster.catalog

    def _change(self, method: str, path: str, query: dict[str, str], body: bytes) -> tuple[int, bytes]:
        catalog = self.cluster.catalog
        name = path.rpartition("/")[2]
        if method == "PUT" and path == "/v1/agent/service/register":
            fields = with_lowercase_names(json.loads(body))
            ttl_s = parse_duration_s(with_lowercase_names(fields.get("check") or {}).get("ttl") or "0s")
            id, meta = fields.get("id") or fields["name"], fields.get("meta") or {}
            catalog.register(
                fields["name"], id, fields.get("address", ""), fields.get("port", 0), meta, ttl_s
            )
            return 200, b""
        if method == "PUT" and path.startswith("/v1/agent/service/deregister/"):
            catalog.deregister(name)
            return 200, b""
        if method == "PUT" and path.startswith("/v1/agent/check/pass/"):
            return (200, b"") if catalog.heartbeat(name) else (404, b"Unknown check ID")
        if path.startswith("/v1/kv/"):
            key = path.removeprefix("/v1/kv/")
            if method == "PUT":
                catalog.put(key, body)
                return 200, b"true"
            if method == "DELETE":
                existing = [
                    existing_key
                    for existing_key in catalog.keys
                    if existing_key == key or ("recurse" in query and existing_key.startswith(key))
                ]
                catalog.delete(*existing)
                return 200, b"true"
        return 404, b""
