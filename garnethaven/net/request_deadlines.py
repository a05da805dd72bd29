"""How long a request may take to arrive: its head a fixed time, its body by the bytes that have come.

Pure: callers pass the time, in seconds of one clock.
"""

from __future__ import annotations

# A head must come in this time after its first byte, the first one after the connection's start: against
# clients that say nothing or never end a head, whatever they mean by it. Heads may take 2 s. An application
# that connects ahead of need finds such connections closed, as any that stands idle.
HEAD_S = 2.4
# A body earns its time by its bytes: at so many a second, over a grace; they come at 64 kB a second. Against
# those that trickle, and by the pause against those that stop. It would do harm to a client that stops
# for longer; the pages know pauses of 2 s.
BODY_RATE = 40_000
BODY_GRACE_S = 2.4
BODY_PAUSE_S = 2.4


class RequestDeadlines:
    """The deadlines of the request that a connection receives next."""

    __slots__ = ("body_at", "head_at", "waits_since")

    def __init__(self, now: float) -> None:
        self.waits_since = now  # for a whole request; 0: nothing is due
        self.head_at = 0.0  # when the head was whole
        self.body_at = 0.0  # when bytes of the body last came

    def expect_request(self, now: float) -> None:
        """A request is due, from now on unless it was before."""
        self.waits_since = self.waits_since or now

    def head_received(self, now: float) -> None:
        self.head_at = self.body_at = now

    def body_received(self, now: float) -> None:
        self.body_at = now

    def request_received(self) -> None:
        self.waits_since = 0.0

    def is_waiting(self) -> bool:
        return self.waits_since > 0.0

    def head_is_overdue(self, now: float) -> bool:
        return now - self.waits_since > HEAD_S

    def body_is_overdue(self, now: float, size: int, paused: bool) -> bool:
        """Whether a body is late of which `size` bytes have come; it is not while this side has paused it."""
        earned_s = size / BODY_RATE
        if paused:
            self.body_at = now
            self.head_at = max(self.head_at, now - earned_s)
        return now - self.body_at > BODY_PAUSE_S or now - self.head_at > BODY_GRACE_S + earned_s
