"""What the engine, its fronts and its transports share: a call, an attempt, and who waits for an answer.

A *front* brings calls in and is told their one answer. A *transport* carries attempts and tells how they
ended. Both know the engine; the engine knows them by these small interfaces only.
"""

from __future__ import annotations

from typing import Any, Protocol

from garnethaven.interface import Prior, Send


class Client(Protocol):
    """Who waits for a call's answer; a front's side of it. Called once, with one of these."""

    def refused(self, retry_after: int, over_share: bool) -> None:
        """Trying again is harmless, after so many nanoseconds (0: nothing is advised).

        `over_share` tells that the tenant sends more than its share, and was turned away before others.
        """

    def failed(self, status: int) -> None:
        """Nothing is promised: 504 where its time was over, 500 for a fault of our own, else 502."""


class Attempt(Protocol):
    """One try of a call at one endpoint, on its transport."""

    call: Call
    endpoint: int
    number: int
    sent_at: int  # nanoseconds
    over: bool
    refused: bool  # the endpoint could not be reached, through no shortage of this side
    hindered: bool  # it waits to begin because calls of this machine's own fail just now

    def start(self) -> None:
        """Begin; every end is told by `Engine.attempt_ended`, also one that comes at once."""

    def give_up(self) -> bool:
        """Stop, and tell whether the request had been sent whole and so may have run."""

    def written(self) -> bool:
        """Whether the request has been sent whole: with less nothing of it has begun."""


class Transport(Protocol):
    """What carries a call's attempts."""

    def attempt(self, call: Call, action: Send, limit: int, now: int) -> Attempt:
        """One try of `call` at an endpoint, with `limit` nanoseconds at the most; not begun yet."""


class Call:
    """A request that a client waits for, from its last byte to its answer and its last attempt's end."""

    __slots__ = (
        "__weakref__",
        "answered",
        "attempts",
        "bound",
        "budget",
        "call_id",
        "caller",
        "client",
        "coming",
        "deadline",
        "dedup_key",
        "grade",
        "id",
        "key",
        "open",
        "prior",
        "repeat",
        "request",
        "taken_at",
        "tenant",
        "transport",
    )

    def __init__(self, client: Client, call_id: bytes, transport: Transport, request: Any = None) -> None:
        self.client = client
        self.call_id = call_id  # the client's name for it; `id` is ours
        self.transport = transport
        self.request = request  # what the transport needs of it; let go with the answer
        self.grade = self.caller = -1
        self.key = ""
        self.tenant = ""  # as the client names itself, whether or not the settings do
        self.dedup_key = b""  # by which servers drop its repeats; empty where its client gave none
        self.repeat = False
        self.budget = self.deadline = self.taken_at = 0
        self.id = ""
        self.attempts: list[Attempt | None] = []  # None: never sent
        self.open = 0
        self.answered = False
        self.coming = False  # its last byte is not here yet
        self.bound: Attempt | None = None  # whose answer goes to the client as it comes
        self.prior: Prior | None = None  # an attempt of an earlier life, which counts as the first
