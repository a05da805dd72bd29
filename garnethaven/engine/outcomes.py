"""Maps an endpoint's status to the outcome of the attempt, for all protocols."""

from __future__ import annotations

from garnethaven.interface import Outcome


def outcome_of(status: int, rejected: bool) -> Outcome:
    """The outcome for an HTTP status; `rejected`: the endpoint marked the request as never run."""
    if status == 200:
        return Outcome.DONE
    if status in (503, 504) and rejected:
        return Outcome.BUSY
    if 400 <= status < 500:
        return Outcome.BAD_REQUEST
    return Outcome.ERROR
