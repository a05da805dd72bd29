"""The ledger of requests: records events seen on sockets by request id and checks four rules on them.

Client, check server and discovery stand-ins write to it; the program under test never does. Times are seconds
on one monotonic clock, since all stand-ins of a rig run in one process.

A request violates a rule as follows:

- *lost*: the whole request was written to a connection that the program had accepted, and no final answer
  arrived within its budget plus `LATE_S` (the slack covers this process, which plays all peers on one or two
  cores); or the client accepted an answer that no check server produced for the request.
- *twice*: the request ran in two racks, or ran again after the rack's deduplication window, or ran although
  the client's final answer was a refusal.
- *drain*: the request reached a server later than the drain grace plus `DRAIN_SLACK_S` after the program was
  informed of the server's drain or removal.
- *cold*: the work sent to a cold server within any window exceeded the configured multiple of the server's
  capacity in that window.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import Literal

LATE_S = 1.0
DRAIN_SLACK_S = 0.15
COLD_SLACK = 3.0  # requests above the limit that are tolerated as random variation

Final = Literal["served", "refused", "failed"]


@dataclass(slots=True)
class Sent:
    """One request of a client, from its last byte to its final answer. `at` is when it was sent."""

    id: str
    key: str
    at: float
    budget_s: float
    first_try: bool
    final: Final | None = None
    final_at: float = 0.0
    abandoned: bool = False  # the client canceled it, or the program was killed while handling it
    written: bool = False
    program: str = ""  # name of the program that it was sent to, if there are several


@dataclass(slots=True)
class Execution:
    """One execution of a request by a check server."""

    server: str
    cell: int
    at: float


@dataclass(slots=True)
class Receipt:
    """The arrival of a request at a check server, with its expected work in seconds of one warm core."""

    server: str
    at: float
    work_s: float


@dataclass(slots=True)
class ServerLifetime:
    """One process lifetime of a check server, for the rule on cold starts."""

    server: str
    cold_from: float
    ramp_s: float
    cores: float
    receipts: list[Receipt] = field(default_factory=list)


@dataclass(slots=True)
class Violations:
    """The number of violations of each rule."""

    lost: int = 0
    twice: int = 0
    drain: int = 0
    cold: int = 0

    def total(self) -> int:
        return self.lost + self.twice + self.drain + self.cold


class Ledger:
    """Records everything that the rules need; one ledger serves a rig's whole run.

    A cold server is overloaded by more than `overload_factor` times its capacity within `overload_window_s`.
    """

    def __init__(
        self,
        window_s: float,
        grace_s: float,
        overload_factor: float,
        overload_window_s: float,
        cold_share: float,
    ) -> None:
        self.window_s = window_s
        self.grace_s = grace_s
        self.overload_factor = overload_factor
        self.overload_window_s = overload_window_s
        self.cold_share = cold_share
        self.sent: dict[str, Sent] = {}
        self.answers: dict[str, int] = defaultdict(int)
        self.executions: dict[str, list[Execution]] = defaultdict(list)
        # Marks of the answers that servers produced, by request id.
        self.made: dict[str, set[str]] = defaultdict(set)
        self.wrong_answers: list[str] = []
        # When the program was informed of the server's end, by program and server.
        self.end_delivered_at: dict[tuple[str, str], float] = {}
        self.max_arrival_delay_s = 0.0  # longest time from a recorded end to the arrival of a request
        self.late_arrivals: list[tuple[str, str, float]] = []
        self.sent_without_decision: set[str] = set()  # requests that a proxy forwarded without a decision
        self.server_lifetimes: list[ServerLifetime] = []
        self.counts: dict[str, int] = defaultdict(int)

    # Clients

    def record_sent(
        self, call_id: str, key: str, at: float, budget_s: float, first_try: bool, via: str = ""
    ) -> Sent:
        sent = self.sent[call_id] = Sent(call_id, key, at, budget_s, first_try, program=via)
        return sent

    def record_answer(self, call_id: str, final: Final, at: float, mark: str = "") -> None:
        """Record a final answer; `mark` is the part of a served body that identifies the execution."""
        self.answers[call_id] += 1
        sent = self.sent[call_id]
        if sent.final is None:
            sent.final, sent.final_at = final, at
        if final == "served" and mark not in self.made[call_id]:
            self.wrong_answers.append(call_id)

    # Discovery

    def record_end_delivered(self, server: str, at: float, via: str = "") -> None:
        """Record that program `via` has been informed that the server is draining or removed."""
        self.end_delivered_at.setdefault((via, server), at)

    def record_serving_delivered(self, server: str, via: str = "") -> None:
        """Record that program `via` has been informed that the server is serving."""
        self.end_delivered_at.pop((via, server), None)

    # Check servers

    def request_arrived(self, call_id: str, server: str, at: float) -> None:
        """Record that the first byte of a request reached a server."""
        sent = self.sent.get(call_id)
        ended = self.end_delivered_at.get((sent.program if sent is not None else "", server))
        if call_id in self.sent_without_decision:
            return
        if ended is not None:
            self.max_arrival_delay_s = max(self.max_arrival_delay_s, at - ended)
        if ended is not None and at > ended + self.grace_s + DRAIN_SLACK_S:
            self.late_arrivals.append((call_id, server, at - ended))

    def runs(self, call_id: str, server: str, cell: int, at: float, mark: str) -> None:
        self.executions[call_id].append(Execution(server, cell, at))
        self.made[call_id].add(mark)

    # Violations

    def violations(self) -> Violations:
        return Violations(
            lost=len(self.lost()), twice=len(self.twice()), drain=len(self.late_arrivals), cold=self.cold()
        )

    def missing(self) -> list[str]:
        """Ids of requests that have no final answer and were not abandoned."""
        return [sent.id for sent in self.sent.values() if sent.final is None and not sent.abandoned]

    def answered_twice(self) -> list[str]:
        """Ids of requests with more than one final answer."""
        return [call_id for call_id, count in self.answers.items() if count > 1]

    def lost(self) -> list[str]:
        late = [
            sent.id
            for sent in self.sent.values()
            if sent.final is not None and sent.final_at > sent.at + sent.budget_s + LATE_S
        ]
        return self.missing() + late + self.wrong_answers

    def twice(self) -> list[str]:
        violations = []
        for call_id, runs in self.executions.items():
            first = runs[0]
            not_deduplicated = any(
                run.cell != first.cell or run.at > first.at + self.window_s + DRAIN_SLACK_S for run in runs
            )
            sent = self.sent.get(call_id)
            refused = (
                sent is not None
                and sent.final == "refused"
                and any(execution.at <= sent.final_at for execution in runs)
            )
            if not_deduplicated or refused:
                violations.append(call_id)
        return violations

    def cold(self) -> int:
        """The number of server lifetimes that were overloaded while cold."""
        return sum(self.overloaded_while_cold(life) for life in self.server_lifetimes)

    def overloaded_while_cold(self, life: ServerLifetime) -> bool:
        """Whether any window that starts during the ramp received more work than allowed."""
        receipts = life.receipts
        for first in range(len(receipts)):
            start, work = receipts[first].at, 0.0
            if start - life.cold_from > life.ramp_s:
                break
            for receipt in receipts[first:]:
                if receipt.at > start + self.overload_window_s:
                    break
                work += receipt.work_s
            capacity_s = self.capacity_between_s(life, start, start + self.overload_window_s)
            if work > self.overload_factor * capacity_s + COLD_SLACK * receipts[first].work_s:
                return True
        return False

    def capacity_between_s(self, life: ServerLifetime, start: float, end: float) -> float:
        """Capacity between two times, in seconds of one warm core: the integral of cores times warmth."""
        steps = 10
        width = (end - start) / steps
        return sum(
            life.cores * self.warmth(life, start + (step + 0.5) * width) * width for step in range(steps)
        )

    def warmth(self, life: ServerLifetime, at: float) -> float:
        """Share of its full capacity that a server has at a time, from `cold_share` to 1."""
        if life.ramp_s <= 0.0:
            return 1.0
        ramp_share = max(0.0, min(1.0, (at - life.cold_from) / life.ramp_s))
        return self.cold_share + (1.0 - self.cold_share) * ramp_share

    # Statistics

    def tally(self) -> dict[str, int]:
        finals = [sent.final for sent in self.sent.values()]
        return {
            "sent": len(finals),
            "served": finals.count("served"),
            "refused": finals.count("refused"),
            "failed": finals.count("failed"),
            "gone": sum(sent.final is None and sent.abandoned for sent in self.sent.values()),
            "missing": len(self.missing()),
            "doubled": len(self.answered_twice()),
        }

    def in_time(self, target_s: float, since: float = 0.0, until: float = float("inf")) -> tuple[int, int]:
        """Of the first tries sent in a time span: the number served within the target, and the total."""
        tries = [sent for sent in self.sent.values() if sent.first_try and since <= sent.at < until]
        in_target = sum(sent.final == "served" and sent.final_at - sent.at <= target_s for sent in tries)
        return in_target, len(tries)


def max_in_window(times: list[float], window_s: float) -> int:
    """The highest number of these times within any window of this length."""
    times, first, highest = sorted(times), 0, 0
    for last, at in enumerate(times):
        while times[first] <= at - window_s:
            first += 1
        highest = max(highest, last - first + 1)
    return highest
