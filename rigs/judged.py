"""Simulation, in virtual time, of members that judge servers by their own attempts and by shared evidence.

It uses neither sockets nor the balancer. A member picks a server with a probability proportional to a weight:
the weight after its own errors, as the balancer computes it in a sidecar with few requests (one error leaves
0.4, and half of that effect is forgotten within a ramp), times a factor from the evidence of other members.
A member uses rows of other members that are `REPORT_AGE_S` old.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from garnethaven.judgements.combining import CombinedEvidence, ListedEndpoint, ReceivedEvidence, factors
from garnethaven.judgements.evidence import EndpointReport, Evidence, EvidenceRow

S = 1_000_000_000
STEP_S = 0.25
REPORT_AGE_S = 1.0
TARGET_S = 1.0  # an attempt without an answer counts as lost after this time
WEIGHT_AFTER_ERROR = 0.4  # share of a server's weight that remains after one error
ERROR_HALF_LIFE_S = 6.0
SERVERS = 16

# Maps time in seconds, member index and server index to the probability that an attempt fails.
Fault = Callable[[float, int, int], float]


@dataclass
class Figures:
    sent: int = 0
    bad: int = 0  # attempts lost or wrong
    at_fault: int = 0  # bad attempts at servers with a fault
    # The longest time for which most members kept the factor of a server without a fault below 0.5.
    shunned_s: float = 0.0
    shunned_now_s: dict[int, float] = field(default_factory=dict)
    loads: dict[int, int] = field(default_factory=dict)
    # Seconds after `since` until faulty servers got at most a tenth of their even share; -1: never.
    learned_at: float = -1.0


@dataclass
class Member:
    name: str
    evidence: Evidence = field(default_factory=Evidence)
    # By server: errors in a row, decayed, and the time of the last outcome.
    errors: dict[int, tuple[float, float]] = field(default_factory=dict)
    factors: dict[int, float] = field(default_factory=dict)
    falsify: Callable[[EvidenceRow], EvidenceRow] | None = None  # replaces the rows of a lying member


class Simulation:
    """A fleet of members and its servers.

    `hears(one, other, now)` returns whether member `one` receives the rows of `other`; `on` enables the use
    of those rows. `rate` is attempts a second of each member.
    """

    def __init__(
        self,
        seed: int,
        members: int,
        fault: Fault,
        on: bool,
        rate: float = 2.0,
        hears: Callable[[int, int, float], bool] = lambda one, other, now: True,
    ) -> None:
        self.rng = Random(seed)
        self.members = [Member(f"m{number}") for number in range(members)]
        self.fault, self.enabled, self.rate, self.hears = fault, on, rate, hears
        self.figures = Figures()
        self.rows: list[tuple[float, list[EvidenceRow]]] = []
        self.pending_outcomes: list[tuple[float, int, int, bool]] = []  # attempts without a known outcome
        self.known_servers = [ListedEndpoint(number, 0, 1.0) for number in range(SERVERS)]

    def run(self, seconds: float, since: float = 0.0) -> Figures:
        now = 0.0
        while now < seconds:
            self._record_outcomes(now)
            self._exchange(now)
            faulty = 0
            sent = 0
            for member_index in range(len(self.members)):
                for _ in range(self._arrivals()):
                    server = self._pick_server(now, member_index)
                    sent += 1
                    faulty += self._send(now, member_index, server, is_measured=now >= since)
            if (
                self.figures.learned_at < 0.0
                and now >= since
                and sent
                and faulty <= 0.1 * sent * self._faulty_share(now)
            ):
                self.figures.learned_at = now - since
            self._measure_shunned(now)
            now += STEP_S
        return self.figures

    def _arrivals(self) -> int:
        """Return a Poisson-distributed number of attempts for one step; the mean has to be small."""
        count, remaining = 0, self.rng.expovariate(1.0)
        while remaining < self.rate * STEP_S:
            count += 1
            remaining += self.rng.expovariate(1.0)
        return count

    def _faulty_share(self, now: float) -> float:
        """Return the share of servers that have a fault for the first member."""
        return sum(self.fault(now, 0, server) > 0.0 for server in range(SERVERS)) / SERVERS

    def _pick_server(self, now: float, member_index: int) -> int:
        member = self.members[member_index]
        weights = []
        for server in range(SERVERS):
            errors, last_error_at = member.errors.get(server, (0.0, 0.0))
            remaining = (
                WEIGHT_AFTER_ERROR ** (errors * 0.5 ** ((now - last_error_at) / ERROR_HALF_LIFE_S))
                if errors
                else 1.0
            )
            weights.append(remaining * member.factors.get(server, 1.0))
        return self.rng.choices(range(SERVERS), weights)[0]

    def _send(self, now: float, member_index: int, server: int, is_measured: bool) -> bool:
        chance = self.fault(now, member_index, server)
        bad = self.rng.random() < chance
        self.pending_outcomes.append((now + (TARGET_S if bad else 0.1), member_index, server, not bad))
        if is_measured:
            self.figures.sent += 1
            self.figures.bad += bad
            self.figures.at_fault += bad and chance > 0.0
            self.figures.loads[server] = self.figures.loads.get(server, 0) + 1
        return chance > 0.0

    def _record_outcomes(self, now: float) -> None:
        due_outcomes, self.pending_outcomes = (
            [one for one in self.pending_outcomes if one[0] <= now],
            [one for one in self.pending_outcomes if one[0] > now],
        )
        for _, member_index, server, good in due_outcomes:
            member = self.members[member_index]
            member.evidence.record(int(now * S), server, 0, good)
            errors, last_error_at = member.errors.get(server, (0.0, 0.0))
            remaining = errors * 0.5 ** ((now - last_error_at) / ERROR_HALF_LIFE_S)
            member.errors[server] = (0.0, now) if good else (remaining + 1.0, now)

    def _exchange(self, now: float) -> None:
        if not self.enabled:
            return
        rows = []
        for member in self.members:
            row = member.evidence.make_row(int(now * S), member.factors)
            rows.append(member.falsify(row) if member.falsify else row)
        self.rows = [one for one in self.rows if one[0] >= now - 2 * REPORT_AGE_S] + [(now, rows)]
        at, old_rows = min(self.rows, key=lambda one: abs(one[0] - (now - REPORT_AGE_S)))
        if now < REPORT_AGE_S:
            return
        age = int((now - at) * S)
        all_sums: CombinedEvidence | None = None
        for member_index, member in enumerate(self.members):
            others = [other for other in range(len(self.members)) if other != member_index]
            heard = [other for other in others if self.hears(member_index, other, now)]
            if len(heard) == len(others) and len(others) > 100:  # a member's own row hardly matters here
                all_sums = all_sums or CombinedEvidence(
                    (ReceivedEvidence("", 0, age, row) for row in old_rows), 0
                )
                sums = all_sums
            else:
                sums = CombinedEvidence((ReceivedEvidence("", 0, age, old_rows[other]) for other in heard), 0)
            new_factors = factors(
                int(now * S), member.name, len(self.members), member.evidence, sums, self.known_servers
            )
            member.factors = dict(new_factors)

    def _measure_shunned(self, now: float) -> None:
        """Update how long most members have shunned servers without a fault."""
        for server in range(SERVERS):
            sound = all(self.fault(now, number, server) == 0.0 for number in range(len(self.members)))
            shunned_by_most = (
                sum(member.factors.get(server, 1.0) < 0.5 for member in self.members) > len(self.members) / 2
            )
            shunned_s = (
                self.figures.shunned_now_s.get(server, 0.0) + STEP_S if sound and shunned_by_most else 0.0
            )
            self.figures.shunned_now_s[server] = shunned_s
            self.figures.shunned_s = max(self.figures.shunned_s, shunned_s)


def condemns_all(row: EvidenceRow) -> EvidenceRow:
    """Return a false row that condemns every server while claiming that only 10 of 1000 are bad."""
    return EvidenceRow(1000, 10, [EndpointReport(server, 0, 0.0, 50.0) for server in range(SERVERS)])


def praises(server: int) -> Callable[[EvidenceRow], EvidenceRow]:
    return lambda row: EvidenceRow(16, 0, [EndpointReport(server, 0, 50.0, 0.0)])
