"""Checks of a soak run on what its clients and servers recorded; times are seconds of one monotonic clock.

All peers run in one process, whose event loop may lag. Requests count as arrived when the kernel had them.
Where an event loop's reading of the clock counts, the loop's longest delay during a run (`lag_s`) is added to
the bound; it is reported with the verdict.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import Any

from standins.check_server import CheckServer
from standins.ledger import Ledger, Sent
from standins.wire import Message

MAX_ANSWER_DELAY_S = 0.5  # an answer later than this after the deadline breaks the rule `late`
MAX_ARRIVAL_AFTER_CLOSE_S = 0.1  # an attempt may reach a server up to this long after its client closed
MAX_BUDGET_EXCESS_S = 0.15  # by which the budget sent to a server may exceed the client's remaining time
LAG_SAMPLE_S = 0.02
MAX_READY_S = 10.0


@dataclass
class Verdict:
    """The result of one run: broken rules, counts of requests and measured times."""

    faults: list[str]
    sent: int
    served: int
    refused: int
    failed: int
    lag_s: float
    forced_kills: int
    ready_s: float

    def __str__(self) -> str:
        counts = f"sent {self.sent} served {self.served} refused {self.refused} failed {self.failed}"
        return f"{counts} lag {self.lag_s:.3f} ready {self.ready_s:.2f} {self.faults or 'held'}"


@dataclass
class Judge:
    """Records what clients and servers observe in a run and derives its verdict."""

    ledger: Ledger
    lag_s: float = 0.0
    client_closed_at: dict[str, float] = field(default_factory=dict)  # by request id
    # Ids of requests on kept or silent connections closed without an answer; their clients resend them.
    closed_unread: set[str] = field(default_factory=set)
    late_arrivals: list[tuple[str, float]] = field(default_factory=list)
    budget_excesses: list[tuple[str, float]] = field(default_factory=list)
    exit_codes: list[int | None] = field(default_factory=list)
    forced_kills: int = 0
    ready_s: float = 0.0

    async def watch_lag(self) -> None:
        """Measure the lag of this process's event loop until cancelled."""
        due = time.monotonic()
        while True:
            due += LAG_SAMPLE_S
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            delay_s = time.monotonic() - due
            self.lag_s = max(self.lag_s, delay_s)
            due = max(due, time.monotonic())

    def request_arrived(self, call_id: str, budget_s: float | None, arrived_at: float) -> None:
        """Record that a whole request reached a server, with `budget_s` seconds in its budget header."""
        client_closed_at = self.client_closed_at.get(call_id)
        if client_closed_at is not None and arrived_at > client_closed_at + MAX_ARRIVAL_AFTER_CLOSE_S:
            self.late_arrivals.append((call_id, arrived_at - client_closed_at))
        sent = self.ledger.sent.get(call_id)
        if sent is not None and budget_s is not None and sent.written:
            self.budget_excesses.append((call_id, arrived_at + budget_s - (sent.at + sent.budget_s)))

    # Verdict

    def verdict(self) -> Verdict:
        tally = self.ledger.tally()
        return Verdict(
            self._faults(),
            tally["sent"],
            tally["served"],
            tally["refused"],
            tally["failed"],
            round(self.lag_s, 3),
            self.forced_kills,
            self.ready_s,
        )

    def _faults(self) -> list[str]:
        faults: list[str] = []

        def check(rule: str, cases: list[Any]) -> None:
            if cases:
                faults.append(f"{rule}: {len(cases)} cases, first: {cases[0]}")

        slack = self.lag_s
        sent = self.ledger.sent.values()
        broken_keys = set(self.ledger.twice())
        check("no answer", self.ledger.missing())
        check("late", [item.id for item in sent if self._late(item)])
        check("wrong answer", self.ledger.wrong_answers)
        check("answered twice", self.ledger.answered_twice())
        check(
            "ran, but its client saw it closed unread",
            [item.id for item in sent if self._ran_closed_unread(item)],
        )
        check(
            "ran twice", [item for item in self.ledger.executions if self._ran_too_often(item, broken_keys)]
        )
        check("drain", [late for late in self.ledger.late_arrivals if late[2] > 0.5 + 0.05 + slack])
        check(
            "cold",
            [life.server for life in self.ledger.server_lifetimes if self.ledger.overloaded_while_cold(life)],
        )
        check(
            "reached a server after its client left",
            [item for item in self.late_arrivals if item[1] > MAX_ARRIVAL_AFTER_CLOSE_S + slack],
        )
        check(
            "budget sent to a server exceeds the time left",
            [item for item in self.budget_excesses if item[1] > MAX_BUDGET_EXCESS_S],
        )
        check("exit code", [code for code in self.exit_codes if code not in (0, -9)])
        check("still running at SIGKILL", [self.forced_kills] if self.forced_kills else [])
        check("became ready late", [self.ready_s] if self.ready_s > MAX_READY_S else [])
        return faults

    def _late(self, request: Sent) -> bool:
        return (
            request.final is not None
            and request.final_at > request.at + request.budget_s + MAX_ANSWER_DELAY_S + self.lag_s
        )

    def _ran_closed_unread(self, request: Sent) -> bool:
        """Whether a server ran a request whose waiting client saw the connection closed without an answer."""
        ran = request.id in self.ledger.executions and request.id not in self.client_closed_at
        return ran and request.final is None and request.id in self.closed_unread

    def _ran_too_often(self, call_id: str, broken_keys: set[str]) -> bool:
        """Whether a request ran more often than its class allows.

        `broken_keys` holds the ids of keyed requests whose idempotency key ran more than once.
        """
        runs, sent = self.ledger.executions[call_id], self.ledger.sent[call_id]
        class_name = call_id.split("-")[0]
        if class_name == "safe":
            return False
        refused = sent.final == "refused" and any(run.at <= sent.final_at for run in runs)
        if class_name == "unsafe":
            return refused or len(runs) > 1
        return refused or call_id in broken_keys


class WatchedServer(CheckServer):
    """A check server that reports the head of each request to the judge."""

    judge: Judge

    @classmethod
    def of(cls, server: CheckServer, judge: Judge) -> WatchedServer:
        watched = cls(
            server.name, server.rack, server.ledger, server.rng, work_s=server.work_s, ramp_s=server.ramp_s
        )
        watched.judge = judge
        return watched

    async def _answer(self, message: Message, arrived_at: float) -> bytes:
        budget_ms = message.headers.get("x-budget-ms")
        call_id = message.headers.get("x-call-id", "")
        self.judge.request_arrived(
            call_id, int(budget_ms) / 1000 if budget_ms and budget_ms.isdigit() else None, arrived_at
        )
        return await super()._answer(message, arrived_at)
