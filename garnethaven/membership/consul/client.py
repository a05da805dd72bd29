"""One agent of a Consul cluster: queries that wait, and this program's own service."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any
from urllib.parse import quote

import httpx

from garnethaven.addresses import Address
from garnethaven.membership.consul.answers import AnswerError, Told, index_of, keys, services, trust_of
from garnethaven.membership.hosts import EndpointLostError
from garnethaven.membership.table import Consul

ANSWER_MOST = 64 * 1024 * 1024
CONNECT_S = 2.0
CALL_S = 3.0
JITTER_PART = 16  # the agent adds up to this part of a wait, so that clients do not come back together


class Agent:
    """Raises EndpointLostError; OSError from the making where a file can't be used."""

    def __init__(self, address: Address, settings: Consul) -> None:
        self.settings = settings
        scheme = "https" if settings.tls is not None else "http"
        self.client = httpx.AsyncClient(
            base_url="{}://{}:{}".format(scheme, *address),
            headers={"X-Consul-Token": settings.token} if settings.token else {},
            verify=settings.tls.context() if settings.tls is not None else False,
            trust_env=False,
            timeout=httpx.Timeout(CALL_S, connect=CONNECT_S),
        )
        self.extensions: dict[str, Any] = {}
        if settings.tls is not None and settings.tls.name:
            self.extensions["sni_hostname"] = settings.tls.name

    async def close(self) -> None:
        await self.client.aclose()

    async def entries(self, index: int, proven: bool) -> Told:
        """All there is; with an index once there is something newer, or the wait is over."""
        settings = self.settings
        mode = "consistent" if proven else settings.mode
        query: dict[str, str] = {} if mode == "default" else {mode: ""}
        wait_s = settings.wait_ms / 1000
        if index:
            query |= {"index": str(index), "wait": f"{settings.wait_ms}ms"}
        path = f"/v1/health/service/{quote(settings.service, safe='')}"
        if settings.prefix:
            path, query["recurse"] = f"/v1/kv/{quote(settings.prefix)}", ""
        longest = (wait_s + wait_s / JITTER_PART if index else 0.0) + CALL_S
        status, headers, body = await self._ask("GET", path, query, longest)
        if status == 404 and settings.prefix:
            body = b"[]"  # no key under the prefix
        elif status != 200:
            raise failure(status, body)
        try:
            trust = trust_of(mode, headers, settings.stale_most_ms)
            read = keys(body, settings.prefix) if settings.prefix else services(body, settings.warning)
            return Told(index_of(headers), trust, read)
        except AnswerError as problem:
            raise EndpointLostError(str(problem)) from None

    async def put(self, path: str, content: Mapping[str, Any] | None = None) -> None:
        body = json.dumps(content).encode() if content is not None else b""
        status, _, said = await self._ask("PUT", path, {}, CALL_S, body)
        if status != 200:
            raise failure(status, said)

    async def _ask(
        self, method: str, path: str, query: Mapping[str, str], longest_s: float, content: bytes = b""
    ) -> tuple[int, Mapping[str, str], bytes]:
        timeout = httpx.Timeout(longest_s, connect=CONNECT_S)
        body = bytearray()
        try:
            async with self.client.stream(
                method, path, params=query, content=content, timeout=timeout, extensions=self.extensions
            ) as answer:
                async for part in answer.aiter_bytes():
                    body += part
                    if len(body) > ANSWER_MOST:
                        raise EndpointLostError(f"an answer of more than {ANSWER_MOST} bytes")
                return answer.status_code, answer.headers, bytes(body)
        except httpx.HTTPError as problem:
            raise EndpointLostError(f"{type(problem).__name__}: {problem}") from None


def failure(status: int, body: bytes) -> EndpointLostError:
    said = body[:200].decode("utf-8", "replace").strip()
    return EndpointLostError(f"status {status}: {said}", refused=status in (400, 401, 403, 404))
