"""Extra work (retries, hedges, probes, dials, discovery calls) that fleet-wide budgets limit (budgets/)."""

from __future__ import annotations

from enum import IntEnum
from typing import Protocol


class Spend(IntEnum):
    """Kinds of extra work, each with its own budget. Members exchange the numbers, so they never change."""

    RETRY = 1  # a request that the client marks as a retry, or a retry by the decision module
    COPY = 2  # a hedge: another attempt while one is open
    PROBE = 3  # of one endpoint
    COLD_DIAL = 4  # a connection to one server that has just started
    DISCOVERY = 5  # a discovery call ahead of schedule


class Spending(Protocol):
    """Checked synchronously before each kind of extra work; without it only the local limits apply."""

    def may_spend(self, kind: Spend, subject: int = 0) -> bool:
        """Whether the budget allows it; `subject` is the endpoint for kinds with a budget per endpoint."""

    def first_try(self) -> None:
        """Credit the retry and hedge budgets for a request that is not a retry."""
