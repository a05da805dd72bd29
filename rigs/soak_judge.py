"""What the soak's peers saw, and which rules that broke; times are seconds of one monotonic clock.

All peers live in one process, which may be held up itself: the longest delay that a play saw of its own loop
(`lag_s`) is added to every bound in time, and told with the verdict.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import Any

from standins.check_server import CheckServer
from standins.ledger import Ledger, Sent
from standins.wire import Message

LATE_S = 0.5  # after a request's time: its answer earns nothing, and later it is lost
LEFT_S = 0.1  # after its client left nothing may begin for a request
TOLD_S = 0.15  # that a server may be told of more than the client has left
HEARTBEAT_S = 0.02
READY_MOST_S = 10.0


@dataclass
class Verdict:
    """One play: the faults, and the figures beside them."""

    faults: list[str]
    sent: int
    served: int
    refused: int
    failed: int
    lag_s: float
    killed: int
    ready_s: float

    def __str__(self) -> str:
        counts = f"sent {self.sent} served {self.served} refused {self.refused} failed {self.failed}"
        return f"{counts} lag {self.lag_s:.3f} ready {self.ready_s:.2f} {self.faults or 'held'}"


@dataclass
class Judge:
    """Takes in what clients and servers see."""

    ledger: Ledger
    lag_s: float = 0.0
    left_at: dict[str, float] = field(default_factory=dict)  # by request: when its client closed
    unread: set[str] = field(default_factory=set)  # closed unread on a kept connection: to be sent again
    late_begins: list[tuple[str, float]] = field(default_factory=list)
    told_too_much: list[tuple[str, float]] = field(default_factory=list)
    exit_codes: list[int | None] = field(default_factory=list)
    killed: int = 0
    ready_s: float = 0.0

    async def watch_lag(self) -> None:
        """Note how late this process's own loop gets, until it is cancelled."""
        due = time.monotonic()
        while True:
            due += HEARTBEAT_S
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            late = time.monotonic() - due
            self.lag_s = max(self.lag_s, late)
            due = max(due, time.monotonic())

    def begins(self, call_id: str, told_s: float | None) -> None:
        """A whole request is at a server, which was told that there are `told_s` seconds."""
        now = time.monotonic()
        left_at = self.left_at.get(call_id)
        if left_at is not None and now > left_at + LEFT_S:
            self.late_begins.append((call_id, now - left_at))
        sent = self.ledger.sent.get(call_id)
        if sent is not None and told_s is not None and sent.written:
            self.told_too_much.append((call_id, now + told_s - (sent.at + sent.budget_s)))

    # Judgement

    def verdict(self) -> Verdict:
        tally = self.ledger.tally()
        return Verdict(
            self._faults(),
            tally["sent"],
            tally["served"],
            tally["refused"],
            tally["failed"],
            round(self.lag_s, 3),
            self.killed,
            self.ready_s,
        )

    def _faults(self) -> list[str]:
        found: list[str] = []

        def note(rule: str, cases: list[Any]) -> None:
            if cases:
                found.append(f"{rule}: {len(cases)}, as {cases[0]}")

        slack = self.lag_s
        sent = self.ledger.sent.values()
        broken_keys = set(self.ledger.twice())
        note("no answer", self.ledger.missing())
        note("late", [one.id for one in sent if self._late(one)])
        note("wrong answer", self.ledger.wrong_answers)
        note("answered twice", self.ledger.doubled())
        note("ran, and its client does not know", [one.id for one in sent if self._unknown(one)])
        note("run twice", [one for one in self.ledger.ran if self._twice(one, broken_keys)])
        note("drain", [late for late in self.ledger.late_sends if late[2] > 0.5 + 0.05 + slack])
        note("cold", [life.server for life in self.ledger.lives if self.ledger.pushed_over(life)])
        note("after its client left", [one for one in self.late_begins if one[1] > LEFT_S + slack])
        note("told too much time", [one for one in self.told_too_much if one[1] > TOLD_S + slack])
        note("exit code", [code for code in self.exit_codes if code not in (0, -9)])
        note("not ended by itself", [self.killed] if self.killed else [])
        note("ready late", [self.ready_s] if self.ready_s > READY_MOST_S else [])
        return found

    def _late(self, one: Sent) -> bool:
        return one.final is not None and one.final_at > one.at + one.budget_s + LATE_S + self.lag_s

    def _unknown(self, one: Sent) -> bool:
        """Run by a server while its client waited, and closed as if it had not been read."""
        ran = one.id in self.ledger.ran and one.id not in self.left_at
        return ran and one.final is None and one.id in self.unread

    def _twice(self, call_id: str, broken_keys: set[str]) -> bool:
        """Whether a request broke the rule of its class; `broken_keys` broke that of keyed ones."""
        runs, sent = self.ledger.ran[call_id], self.ledger.sent[call_id]
        effect = call_id.split("-")[0]
        if effect == "safe":
            return False
        refused = sent.final == "refused" and any(run.at <= sent.final_at for run in runs)
        if effect == "unsafe":
            return refused or len(runs) > 1
        return refused or call_id in broken_keys


class WatchedServer(CheckServer):
    """A check server that shows the judge each request's head."""

    judge: Judge

    @classmethod
    def of(cls, server: CheckServer, judge: Judge) -> WatchedServer:
        watched = cls(
            server.name, server.rack, server.ledger, server.rng, work_s=server.work_s, ramp_s=server.ramp_s
        )
        watched.judge = judge
        return watched

    async def _answer(self, message: Message) -> bytes:
        told = message.headers.get("x-budget-ms")
        call_id = message.headers.get("x-call-id", "")
        self.judge.begins(call_id, int(told) / 1000 if told and told.isdigit() else None)
        return await super()._answer(message)
