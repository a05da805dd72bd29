"""A transport that sends nothing itself: the proxy sends the request and reports the outcome.

A decision counts as an attempt as soon as it has been written to the proxy. An attempt whose decision was not
written has not run; one whose decision was written may have run, whatever the proxy did with it.
"""

from __future__ import annotations

from typing import Protocol

from garnethaven.engine.calls import Call
from garnethaven.interface import Send


class Stream(Protocol):
    """The stream of a call, as an attempt uses it."""

    def set_decision(self, attempt: ReportAttempt) -> None: ...


class ReportAttempt:
    """One decision; implements the engine's `Attempt`."""

    def __init__(self, stream: Stream, call: Call, endpoint: int, now: int) -> None:
        self.stream = stream
        self.call = call
        self.endpoint = endpoint
        self.number = len(call.attempts)
        self.sent_at = now
        self.over = False
        self.refused = False
        self.hindered = False
        self.delivered = False  # the decision has been written to the proxy

    def start(self) -> None:
        self.stream.set_decision(self)

    def give_up(self) -> bool:
        self.over = True
        return self.delivered

    def written(self) -> bool:
        return True  # the proxy sends the request; this process can't observe it

    def answer_has_begun(self) -> bool:
        return False


class ReportTransport:
    """Creates the attempts of one stream's call."""

    def __init__(self, stream: Stream) -> None:
        self.stream = stream

    def attempt(self, call: Call, action: Send, limit: int, now: int) -> ReportAttempt:
        return ReportAttempt(self.stream, call, action.endpoint, now)
