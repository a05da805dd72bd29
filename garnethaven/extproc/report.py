"""The transport that only reports: the proxy carries the attempt, and tells what came of it.

A decision is an attempt from the moment that it has been written to the proxy. One that was never written has
not run; one that was may have, whatever the proxy did with it.
"""

from __future__ import annotations

from typing import Protocol

from garnethaven.engine.calls import Call
from garnethaven.interface import Send


class Stream(Protocol):
    """The front's side of a call."""

    def decided(self, attempt: ReportAttempt) -> None: ...


class ReportAttempt:
    """One decision; the engine's `Attempt`."""

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
        self.stream.decided(self)

    def give_up(self) -> bool:
        self.over = True
        return self.delivered

    def written(self) -> bool:
        return True  # whether it is carried out is the proxy's


class ReportTransport:
    """Makes the attempts of one stream's call."""

    def __init__(self, stream: Stream) -> None:
        self.stream = stream

    def attempt(self, call: Call, action: Send, limit: int, now: int) -> ReportAttempt:
        return ReportAttempt(self.stream, call, action.endpoint, now)
