"""Types shared by the engine, fronts and transports: `Call`, `Attempt` and `Client`.

A *front* accepts calls and receives exactly one answer for each. A *transport* carries attempts and reports
their outcomes. Both import the engine; the engine uses them only through the protocols defined here.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from garnethaven.interface import Outcome, PriorAttempt, Send


class Client(Protocol):
    """Receives a call's answer on behalf of a front. Exactly one method is called, once per call."""

    def refused(self, retry_after: int, over_share: bool) -> None:
        """The request has not run and may be retried after `retry_after` nanoseconds (0: no advice).

        `over_share`: the tenant sends more than its share and is therefore refused before others.
        """

    def failed(self, status: int) -> None:
        """The request may have run. Status: 504 at the deadline, 500 for an internal error, else 502."""


class Attempt(Protocol):
    """One try of a call at one endpoint, on its transport."""

    call: Call
    endpoint: int
    number: int
    sent_at: int  # nanoseconds
    over: bool
    refused: bool  # the endpoint could not be reached, and not for lack of a local resource
    hindered: bool  # waits to start because local system calls are failing

    def start(self) -> None:
        """Start the attempt; its end is always reported to `Engine.attempt_ended`, even if immediate."""

    def give_up(self) -> bool:
        """Stop; return whether the request was fully written and so may have run."""

    def written(self) -> bool:
        """Whether the request is fully written; until then the endpoint has not started to run it."""

    def answer_has_begun(self) -> bool:
        """Whether the head of its answer was received, so that the endpoint has started to run it."""


class Transport(Protocol):
    """Carries the attempts of a call."""

    def attempt(self, call: Call, action: Send, limit: int, now: int) -> Attempt:
        """Create an attempt of `call`, with a timeout of `limit` nanoseconds, without starting it."""


class Call:
    """A client's request, from its acceptance until it is answered and its last attempt has ended."""

    __slots__ = (
        "__weakref__",
        "answered",
        "attempts",
        "body_incomplete",
        "budget",
        "call_id",
        "caller",
        "class_index",
        "client",
        "deadline",
        "dedup_key",
        "describe_request",
        "id",
        "is_retry",
        "key",
        "open_attempts",
        "outcomes",
        "prior",
        "request",
        "streaming_attempt",
        "taken_at",
        "tenant",
        "transport",
    )

    def __init__(self, client: Client, call_id: bytes, transport: Transport, request: Any = None) -> None:
        self.client = client
        self.call_id = call_id  # the client's id of the request; `id` is the engine's
        self.transport = transport
        self.request = request  # the transport's form of the request; released with the answer
        self.class_index = self.caller = -1
        self.key = ""
        self.tenant = ""  # as sent by the client, whether or not the settings name it
        self.dedup_key = b""  # idempotency key by which servers drop repeats; empty if the client sent none
        self.is_retry = False
        self.budget = self.deadline = self.taken_at = 0
        self.id = ""
        self.attempts: list[Attempt | None] = []  # None: not sent by this process
        self.open_attempts = 0  # attempts that have not ended
        self.outcomes: list[tuple[int, Outcome]] = []  # endpoint and outcome of each attempt that has ended
        self.describe_request: Callable[[], str] | None = None  # the state of its body, for the log
        self.answered = False
        self.body_incomplete = False  # the last byte of the request has not arrived
        self.streaming_attempt: Attempt | None = None  # the attempt whose answer is streaming to the client
        self.prior: PriorAttempt | None = (
            None  # an attempt made before this process started; counts as the first
        )
