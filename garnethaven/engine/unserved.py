"""Log lines on requests that no endpoint's answer was served to: which one, why, and what its attempts did.

At most one line in `MIN_INTERVAL_NS`; the requests in between are counted by their results.
"""

from __future__ import annotations

from collections.abc import Callable

from garnethaven.engine.account import CallResult
from garnethaven.engine.calls import Call

MIN_INTERVAL_NS = 5_000_000_000  # between two lines, so that other messages are not crowded out
MAX_ID_CHARACTERS = 64  # of a client's id
LOGGED_RESULTS = (CallResult.FAILED, CallResult.REFUSED, CallResult.GONE)


class UnservedLog:
    """Logs requests that failed, that were refused after an attempt, or whose client left after its time.

    All other requests that were refused or whose client left are counted.
    `write` writes one line and returns whether it was written.
    """

    def __init__(self, write: Callable[[str], bool]) -> None:
        self.write = write
        self.endpoint_name: Callable[[int], str] = str  # set by discovery
        self.written_at = -MIN_INTERVAL_NS
        self.skipped = dict.fromkeys(LOGGED_RESULTS, 0)

    def record(self, call: Call, result: CallResult, now: int) -> None:
        """Log or count a request that ends now with `result`; `now` is in monotonic nanoseconds."""
        if result not in self.skipped:
            return
        if not self._deserves_line(call, result, now) or now < self.written_at + MIN_INTERVAL_NS:
            self.skipped[result] += 1
            return
        if not self.write(self._describe(call, result, now)):
            self.skipped[result] += 1
            return
        self.written_at = now
        self.skipped = dict.fromkeys(LOGGED_RESULTS, 0)

    @staticmethod
    def _deserves_line(call: Call, result: CallResult, now: int) -> bool:
        if result is CallResult.GONE:
            return now - call.taken_at >= call.budget
        return result is CallResult.FAILED or bool(call.outcomes)

    def _describe(self, call: Call, result: CallResult, now: int) -> str:
        call_id = call.call_id.decode("latin-1")[:MAX_ID_CHARACTERS]
        reason = "its time is over" if now >= call.deadline else "no attempt is left"
        if result is CallResult.GONE:
            reason = "its client has left"
        attempts = [f"{self.endpoint_name(endpoint)} {outcome.value}" for endpoint, outcome in call.outcomes]
        attempts += ["one still open"] * bool(call.open_attempts)
        line = f"request {call_id!r} {result.value} after {(now - call.taken_at) / 1e9:.2f} s, {reason}"
        line += f"; attempts: {', '.join(attempts) or 'none'}"
        if call.describe_request is not None:
            line += f"; {call.describe_request()}"
        others = [f"{count} {skipped.value}" for skipped, count in self.skipped.items() if count]
        return line + (f"; since the last such line also {' and '.join(others)}" if others else "")
