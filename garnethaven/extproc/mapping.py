"""From a request's headers, as the proxy tells them, to a call; and from a response's to an outcome. No I/O.

A request is named by our own protocol's headers. Where they are missing the operator's routes fill in: the
first whose method and path prefix fit gives the class. The time that is left is the least of `x-budget-ms`,
the proxy's own `x-envoy-expected-rq-timeout-ms` and the class's deadline.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from garnethaven.engine.classes import Classes, affinity_key
from garnethaven.engine.outcomes import outcome_of as status_outcome
from garnethaven.extproc.table import Route
from garnethaven.interface import Outcome

MS = 1_000_000
ID_MOST = 256
TOKEN = "x-gateway-decision-token"
CHECKED = "x-gateway-decision-token-checked"  # on the answer to a request that brought a token
UNUSED = "x-gateway-decision-unused"  # the decision that the token came with was not acted on
BUDGETS = ("x-budget-ms", "x-envoy-expected-rq-timeout-ms")


class MappingError(Exception):
    """What can't be taken; its text names the header."""


@dataclass(slots=True, frozen=True)
class Mapped:
    """A request, ready to be taken."""

    call_id: bytes
    grade: int
    tenant: int
    caller: str  # the tenant as the client names it
    key: str
    budget: int  # nanoseconds
    repeat: bool
    token: str
    comes_again: bool  # an earlier attempt may have been sent
    unused: bool


def map_request(headers: Mapping[str, str], classes: Classes, routes: Iterable[Route]) -> Mapped:
    """Read a request; raises MappingError where it lacks what a call needs."""
    call_id = headers.get("x-call-id") or headers.get("x-request-id", "")
    if not call_id or len(call_id) > ID_MOST:
        raise MappingError("x-call-id and x-request-id are missing or too long")
    keyed = bool(headers.get("idempotency-key"))
    name = headers.get("x-call-class") or route_of(headers, routes)
    grade = classes.class_index(name, keyed) if name else None
    if grade is None:
        raise MappingError(f"x-call-class {name[:64]!r} is no class, and no route fits")
    token = headers.get(TOKEN, "")
    return Mapped(
        call_id=call_id.encode("latin-1", "replace"),
        grade=grade,
        tenant=classes.tenant_index(headers.get("x-caller", "")),
        caller=headers.get("x-caller", ""),
        key=affinity_key(headers.get(":path", "").partition("?")[2].encode("latin-1", "replace")),
        budget=budget_of(headers, classes.settings.request_classes[grade].deadline),
        repeat=headers.get("x-again") == "1",
        token=token,
        comes_again=bool(token) or headers.get("x-envoy-attempt-count", "1") != "1",
        unused=headers.get(UNUSED) == "1",
    )


def route_of(headers: Mapping[str, str], routes: Iterable[Route]) -> str:
    """The class that the operator's routes give, or nothing."""
    method, path = headers.get(":method", ""), headers.get(":path", "")
    for route in routes:
        if route.method in ("", method) and path.startswith(route.path):
            return route.class_name
    return ""


def budget_of(headers: Mapping[str, str], deadline: int) -> int:
    """The least time that any of the headers leaves, in nanoseconds; the class's where none does."""
    least = deadline
    for name in BUDGETS:
        text = headers.get(name)
        if text is None:
            continue
        if not (text.isascii() and text.isdigit()) or len(text) > 12:
            raise MappingError(f"{name} is no number of milliseconds")
        if int(text) or name == BUDGETS[0]:  # the proxy says 0 where it has no time-out
            least = min(least, int(text) * MS)
    if least <= 0:
        raise MappingError(f"{BUDGETS[0]} leaves no time")
    return least


def outcome_of(headers: Mapping[str, str]) -> Outcome:
    """What a response's headers tell of the attempt; raises MappingError where they have no status."""
    status = headers.get(":status", "")
    if not (status.isascii() and status.isdigit()) or len(status) != 3:
        raise MappingError(":status is missing or no status")
    return status_outcome(int(status), headers.get("x-rejected") == "1")
