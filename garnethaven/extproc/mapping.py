"""Maps request headers from the proxy to a call, and response headers to an outcome. No I/O.

A request is described by the headers of the sidecar's own protocol. Without `x-call-class` the operator's
routes give the class: the first one whose method and path prefix match. The time budget is the minimum of
`x-budget-ms`, the proxy's `x-envoy-expected-rq-timeout-ms` and the deadline of the class.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from garnethaven.engine.classes import Classes, affinity_key
from garnethaven.engine.outcomes import outcome_of as status_outcome
from garnethaven.extproc.table import Route
from garnethaven.interface import Outcome

MS = 1_000_000
MAX_ID_LENGTH = 256
TOKEN_HEADER = "x-gateway-decision-token"
TOKEN_CHECKED_HEADER = "x-gateway-decision-token-checked"  # on the answer to a request with a token
UNUSED_HEADER = "x-gateway-decision-unused"  # "1": the proxy did not act on the decision of this token
BUDGET_HEADERS = ("x-budget-ms", "x-envoy-expected-rq-timeout-ms")


class MappingError(Exception):
    """The headers can't be mapped; the text names the header."""


@dataclass(slots=True, frozen=True)
class MappedRequest:
    """The properties of a request, as its call needs them."""

    call_id: bytes
    class_index: int  # index of the class
    tenant_index: int
    tenant_name: str  # as sent by the client
    key: str  # affinity key, from the query of the path
    budget: int  # nanoseconds
    is_retry: bool  # the client marks it as a retry
    token: str
    may_have_been_sent: bool  # the proxy repeats the request: an earlier attempt may have been sent
    decision_unused: bool


def map_request(headers: Mapping[str, str], classes: Classes, routes: Iterable[Route]) -> MappedRequest:
    """Map request headers; raises MappingError if a required header is missing or invalid."""
    call_id = headers.get("x-call-id") or headers.get("x-request-id", "")
    if not call_id or len(call_id) > MAX_ID_LENGTH:
        raise MappingError("x-call-id and x-request-id are missing or too long")
    has_key = bool(headers.get("idempotency-key"))
    class_name = headers.get("x-call-class") or class_from_routes(headers, routes)
    class_index = classes.class_index(class_name, has_key) if class_name else None
    if class_index is None:
        raise MappingError(f"x-call-class {class_name[:64]!r} is no class, and no route fits")
    token = headers.get(TOKEN_HEADER, "")
    return MappedRequest(
        call_id=call_id.encode("latin-1", "replace"),
        class_index=class_index,
        tenant_index=classes.tenant_index(headers.get("x-caller", "")),
        tenant_name=headers.get("x-caller", ""),
        key=affinity_key(headers.get(":path", "").partition("?")[2].encode("latin-1", "replace")),
        budget=budget_of(headers, classes.settings.request_classes[class_index].deadline),
        is_retry=headers.get("x-again") == "1",
        token=token,
        may_have_been_sent=bool(token) or headers.get("x-envoy-attempt-count", "1") != "1",
        decision_unused=headers.get(UNUSED_HEADER) == "1",
    )


def class_from_routes(headers: Mapping[str, str], routes: Iterable[Route]) -> str:
    """Return the class name of the first matching route, or an empty string."""
    method, path = headers.get(":method", ""), headers.get(":path", "")
    for route in routes:
        if route.method in ("", method) and path.startswith(route.path):
            return route.class_name
    return ""


def budget_of(headers: Mapping[str, str], deadline: int) -> int:
    """Return the smallest budget of the headers and `deadline`, in nanoseconds.

    Raises MappingError for an invalid number and for a budget of 0.
    """
    budget = deadline
    for name in BUDGET_HEADERS:
        text = headers.get(name)
        if text is None:
            continue
        if not (text.isascii() and text.isdigit()) or len(text) > 12:
            raise MappingError(f"{name} is no number of milliseconds")
        if int(text) or name == BUDGET_HEADERS[0]:  # 0 from the proxy means that it has no time-out
            budget = min(budget, int(text) * MS)
    if budget <= 0:
        raise MappingError(f"{BUDGET_HEADERS[0]} leaves no time")
    return budget


def outcome_of(headers: Mapping[str, str]) -> Outcome:
    """Return the outcome of an attempt by its response headers; MappingError if `:status` is invalid."""
    status = headers.get(":status", "")
    if not (status.isascii() and status.isdigit()) or len(status) != 3:
        raise MappingError(":status is missing or no status")
    return status_outcome(int(status), headers.get("x-rejected") == "1")
