"""Makes the engine's call of a request that came over HTTP/1.1."""

from __future__ import annotations

from typing import Protocol

from garnethaven.engine.calls import Call, Client
from garnethaven.engine.engine import MS
from garnethaven.interface import Settings
from garnethaven.net.requests import Incoming, Wanted
from garnethaven.net.transport import HttpRequest, HttpTransport, Served


class HttpClient(Client, Served, Protocol):
    """Who waits for an answer, as the engine and as the transport see it."""


def call_of(
    client: HttpClient, incoming: Incoming, want: Wanted, transport: HttpTransport, settings: Settings
) -> Call:
    """The call of a request whose head has been read; its body may still come."""
    request = HttpRequest(client, want.head, incoming.flow or incoming.body)
    call = Call(client, want.call_id, transport, request)
    call.grade = want.grade
    # No client waits longer than its class does; a larger figure would only hold memory.
    call.budget = min(want.budget_ms * MS, settings.grades[want.grade].deadline)
    call.caller = want.caller
    call.tenant = want.tenant
    call.key = want.key
    call.repeat = want.again
    call.dedup_key = want.dedup_key
    call.coming = incoming.flow is not None and not incoming.flow.whole
    return call
