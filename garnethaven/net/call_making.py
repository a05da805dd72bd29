"""Makes the engine's call of a request that came over HTTP/1.1."""

from __future__ import annotations

from typing import Protocol

from garnethaven.engine.calls import Call, Client
from garnethaven.engine.engine import MS
from garnethaven.interface import Settings
from garnethaven.net.requests import IncomingRequest, RequestHead
from garnethaven.net.transport import HttpRequest, HttpTransport, Served


class HttpClient(Client, Served, Protocol):
    """Who waits for an answer, as the engine and as the transport see it."""


def call_of(
    client: HttpClient,
    incoming: IncomingRequest,
    head: RequestHead,
    transport: HttpTransport,
    settings: Settings,
) -> Call:
    """The call of a request whose head has been read; its body may still come."""
    request = HttpRequest(client, head.forwarded, incoming.flow or incoming.body)
    call = Call(client, head.call_id, transport, request)
    call.grade = head.request_class
    # No client waits longer than its class does; a larger figure would only hold memory.
    call.budget = min(head.budget_ms * MS, settings.grades[head.request_class].deadline)
    call.caller = head.caller
    call.tenant = head.tenant
    call.key = head.key
    call.repeat = head.is_retry
    call.dedup_key = head.dedup_key
    call.coming = incoming.flow is not None and not incoming.flow.whole
    return call
