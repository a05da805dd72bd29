"""An HTTP client of one Consul agent: blocking queries, and the calls that register this program."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any
from urllib.parse import quote

import httpx

from garnethaven.addresses import Address
from garnethaven.membership.consul.answers import AgentAnswer, AnswerError, index_of, keys, services, trust_of
from garnethaven.membership.hosts import EndpointLostError
from garnethaven.membership.table import Consul

MAX_ANSWER_BYTES = 64 * 1024 * 1024
CONNECT_TIMEOUT_S = 2.0
CALL_TIMEOUT_S = 3.0
WAIT_JITTER_DIVISOR = 16  # the agent adds up to 1/16 of the wait, to spread the clients' queries


class Agent:
    """Calls raise EndpointLostError; the constructor raises OSError if a TLS file can't be used."""

    def __init__(self, address: Address, settings: Consul) -> None:
        self.settings = settings
        scheme = "https" if settings.tls is not None else "http"
        self.client = httpx.AsyncClient(
            base_url="{}://{}:{}".format(scheme, *address),
            headers={"X-Consul-Token": settings.token} if settings.token else {},
            verify=settings.tls.context() if settings.tls is not None else False,
            trust_env=False,
            timeout=httpx.Timeout(CALL_TIMEOUT_S, connect=CONNECT_TIMEOUT_S),
        )
        self.extensions: dict[str, Any] = {}
        if settings.tls is not None and settings.tls.name:
            self.extensions["sni_hostname"] = settings.tls.name

    async def close(self) -> None:
        await self.client.aclose()

    async def entries(self, index: int, proven: bool) -> AgentAnswer:
        """All entries; with an index, waits for a newer one, at most `wait_ms`. `proven` asks the leader."""
        settings = self.settings
        mode = "consistent" if proven else settings.mode
        query: dict[str, str] = {} if mode == "default" else {mode: ""}
        wait_s = settings.wait_ms / 1000
        if index:
            query |= {"index": str(index), "wait": f"{settings.wait_ms}ms"}
        path = f"/v1/health/service/{quote(settings.service, safe='')}"
        if settings.prefix:
            path, query["recurse"] = f"/v1/kv/{quote(settings.prefix)}", ""
        timeout_s = (wait_s + wait_s / WAIT_JITTER_DIVISOR if index else 0.0) + CALL_TIMEOUT_S
        status, headers, body = await self._request("GET", path, query, timeout_s)
        if status == 404 and settings.prefix:
            body = b"[]"  # no key under the prefix
        elif status != 200:
            raise error_of(status, body)
        try:
            trust = trust_of(mode, headers, settings.stale_most_ms)
            entries = keys(body, settings.prefix) if settings.prefix else services(body, settings.warning)
            return AgentAnswer(index_of(headers), trust, entries)
        except AnswerError as error:
            raise EndpointLostError(str(error)) from None

    async def put(self, path: str, content: Mapping[str, Any] | None = None) -> None:
        body = json.dumps(content).encode() if content is not None else b""
        status, _, answer_body = await self._request("PUT", path, {}, CALL_TIMEOUT_S, body)
        if status != 200:
            raise error_of(status, answer_body)

    async def _request(
        self, method: str, path: str, query: Mapping[str, str], timeout_s: float, content: bytes = b""
    ) -> tuple[int, Mapping[str, str], bytes]:
        timeout = httpx.Timeout(timeout_s, connect=CONNECT_TIMEOUT_S)
        body = bytearray()
        try:
            async with self.client.stream(
                method, path, params=query, content=content, timeout=timeout, extensions=self.extensions
            ) as answer:
                async for chunk in answer.aiter_bytes():
                    body += chunk
                    if len(body) > MAX_ANSWER_BYTES:
                        raise EndpointLostError(f"the answer exceeds {MAX_ANSWER_BYTES} bytes")
                return answer.status_code, answer.headers, bytes(body)
        except httpx.HTTPError as error:
            raise EndpointLostError(f"{type(error).__name__}: {error}") from None


def error_of(status: int, body: bytes) -> EndpointLostError:
    answer_body = body[:200].decode("utf-8", "replace").strip()
    return EndpointLostError(f"status {status}: {answer_body}", refused=status in (400, 401, 403, 404))
