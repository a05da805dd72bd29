"""Builds the engine's call from a request that was received over HTTP/1.1."""

from __future__ import annotations

from typing import Protocol

from garnethaven.engine.calls import Call, Client
from garnethaven.engine.engine import MS
from garnethaven.interface import Settings
from garnethaven.net.requests import IncomingRequest, RequestHead
from garnethaven.net.transport import AnswerReceiver, HttpRequest, HttpTransport


class HttpClient(Client, AnswerReceiver, Protocol):
    """The client of a call, as the engine and the transport use it."""


def make_call(
    client: HttpClient,
    incoming: IncomingRequest,
    head: RequestHead,
    transport: HttpTransport,
    settings: Settings,
) -> Call:
    """Build the call of a request whose head has been received; its body may be incomplete."""
    request = HttpRequest(client, head.forwarded, incoming.streamed_body or incoming.body)
    call = Call(client, head.call_id, transport, request)
    call.describe_request = request.describe
    call.class_index = head.class_index
    # A budget beyond the class's deadline would only keep memory in use.
    call.budget = min(head.budget_ms * MS, settings.request_classes[head.class_index].deadline)
    call.caller = head.caller
    call.tenant = head.tenant
    call.key = head.key
    call.is_retry = head.is_retry
    call.dedup_key = head.dedup_key
    call.body_incomplete = incoming.streamed_body is not None and not incoming.streamed_body.complete
    return call
