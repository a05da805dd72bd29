"""Reports which limits are active and why: an object for operators and a line for the log.

The object is served by limits/front.py. No I/O.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass

LOG_INTERVAL_S = 10.0  # while a limit is active; a newly active limit is logged at once
STALE_MARGIN_S = 1.5  # a list is stale this long after its watch's wait; its updates must be known after 2 s


@dataclass(slots=True, frozen=True)
class Figures:
    """Snapshot of the limits. Fields are counts unless named as bytes or seconds (`_s`)."""

    clients_held: int
    clients_most: int  # limit by descriptors
    client_places: int  # limit by descriptors and by the clients' own limit
    silent_clients: int  # connections without a request
    pressure: float  # 0 to 1
    returning: float  # share of connections with a second request
    ended_early: int  # connections closed because of the limit
    endpoints_held: int
    endpoints_most: int
    answers_bytes: int
    answers_most: int
    list_age_s: float
    list_wait_s: float
    list_revision: int
    list_behind: int  # stale answers in a row
    discovery_calls: int
    discovery_extra_calls: int
    refused_share: float  # of arrivals
    ease: float  # smoothed part of the latency target that answers need
    under_way: int
    oldest_s: float


def active_limits(figures: Figures) -> dict[str, str]:
    """The active limits by name, each with its reason."""
    reasons = {}
    if figures.pressure > 0.0:
        reasons["places"] = (
            f"{figures.clients_held} of {figures.client_places} client connections open, "
            f"{figures.silent_clients} of them without a request"
        )
    if figures.endpoints_held >= figures.endpoints_most:
        reasons["endpoints"] = f"{figures.endpoints_held} connections to endpoints, the limit"
    if figures.answers_bytes > figures.answers_most:
        reasons["memory"] = f"connections buffer {figures.answers_bytes} of {figures.answers_most} bytes"
    if figures.list_behind:
        reasons["lists"] = f"answers of discovery are behind revision {figures.list_revision}"
    elif figures.list_age_s > figures.list_wait_s + STALE_MARGIN_S:
        reasons["lists"] = (
            f"the list is {figures.list_age_s:.1f} s old, its watch waits {figures.list_wait_s:g} s"
        )
    if figures.refused_share > 0.0:
        reasons["overload"] = (
            f"{figures.refused_share:.2f} of arrivals refused, "
            f"answers need {figures.ease:.2f} of the latency target, "
            f"{figures.under_way} requests in flight, the oldest for {figures.oldest_s:.1f} s"
        )
    return reasons


def report(figures: Figures) -> dict[str, object]:
    """The object that `GET /-/limits` returns."""
    return {"acting": active_limits(figures), "figures": asdict(figures)}


class LimitsLog:
    """Decides when to log the active limits: on a new one, on the end of the last, and periodically."""

    def __init__(self) -> None:
        self.logged_names: frozenset[str] = frozenset()
        self.logged_at = 0.0

    def next_line(self, figures: Figures, now: float) -> str | None:
        """The line to log now, if any; `now` is in seconds."""
        active = active_limits(figures)
        names = frozenset(active)
        changed = names - self.logged_names or (self.logged_names and not names)
        if not changed and not (names and now - self.logged_at >= LOG_INTERVAL_S):
            return None
        self.logged_names, self.logged_at = names, now
        if not active:
            return "limits: none is active any more"
        return "limits: " + "; ".join(f"{name}: {reason}" for name, reason in active.items())
