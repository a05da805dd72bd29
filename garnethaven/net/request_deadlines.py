"""How long a request may take to arrive: a fixed time for the head, a minimum rate for the body.

Pure: callers pass the time, in seconds of one clock.
"""

from __future__ import annotations

# A head must arrive within this time after its first byte; the first head, after the connection opened. Ends
# connections of clients that send nothing or never complete a head. Heads may take 2 s. Limitation:
# connections that an application opens in advance are closed like other idle ones.
HEAD_S = 2.4
# A body may take BODY_GRACE_S plus its received bytes divided by BODY_RATE (bytes per second; bodies arrive
# at 64 kB per second), against clients that trickle, and may pause for BODY_PAUSE_S, against clients that
# stop. Limitation: clients that pause for longer fail; pauses of 2 s are expected.
BODY_RATE = 40_000
BODY_GRACE_S = 2.4
BODY_PAUSE_S = 2.4


class RequestDeadlines:
    """The deadlines of the request that a connection receives next."""

    __slots__ = ("body_at", "head_at", "waiting_since")

    def __init__(self, now: float) -> None:
        self.waiting_since = now  # since when a complete request is awaited; 0: none is
        self.head_at = 0.0  # when the head was complete
        self.body_at = 0.0  # when bytes of the body were last received

    def expect_request(self, now: float) -> None:
        """Start waiting for a request, unless that has started before."""
        self.waiting_since = self.waiting_since or now

    def head_received(self, now: float) -> None:
        self.head_at = self.body_at = now

    def body_received(self, now: float) -> None:
        self.body_at = now

    def request_received(self) -> None:
        self.waiting_since = 0.0

    def is_waiting(self) -> bool:
        return self.waiting_since > 0.0

    def head_is_overdue(self, now: float) -> bool:
        return now - self.waiting_since > HEAD_S

    def body_is_overdue(self, now: float, size: int, paused: bool) -> bool:
        """Whether a body is late with `size` bytes received; False while this side has paused reading."""
        earned_s = size / BODY_RATE
        if paused:
            self.body_at = now
            self.head_at = max(self.head_at, now - earned_s)
        return now - self.body_at > BODY_PAUSE_S or now - self.head_at > BODY_GRACE_S + earned_s
