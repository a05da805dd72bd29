"""Members in virtual time that judge servers: by their own acts alone, and with what others tell.

No sockets and no module: a member takes a server by the weight that its own errors leave it, as the module
does in a sparse sidecar (one error leaves 0.4, half of which is forgotten in a ramp), times the factor that
others' evidence leaves it. What a member hears of another is a row of `LATE_S` ago.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from garnethaven.judgements.combining import CombinedEvidence, ListedEndpoint, ReceivedEvidence, factors
from garnethaven.judgements.evidence import EndpointReport, Evidence, EvidenceRow

S = 1_000_000_000
STEP_S = 0.25
LATE_S = 1.0
AIM_S = 1.0  # after which a silent attempt is known to be lost
ONE_ERROR = 0.4  # of its weight is left to a server after one error
RAMP_S = 6.0
SERVERS = 16

Fault = Callable[[float, int, int], float]  # when, which member, which server: the chance that an act is bad


@dataclass
class Figures:
    sent: int = 0
    bad: int = 0  # attempts lost or wrong
    at_fault: int = 0  # of those, at servers that had one
    shunned_s: float = 0.0  # the longest that a sound server was held below half by most members
    shunned_now: dict[int, float] = field(default_factory=dict)
    loads: dict[int, int] = field(default_factory=dict)
    learned_at: float = -1.0  # when nine in ten of a step's attempts avoided the servers with a fault


@dataclass
class Member:
    name: str
    evidence: Evidence = field(default_factory=Evidence)
    errors: dict[int, tuple[float, float]] = field(default_factory=dict)  # how many, and when
    factors: dict[int, float] = field(default_factory=dict)
    lies: Callable[[EvidenceRow], EvidenceRow] | None = None


class Estate:
    """`hears(one, other, now)`: whether the one hears the other; `on`: whether it makes anything of it."""

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
        self.fault, self.on, self.rate, self.hears = fault, on, rate, hears
        self.figures = Figures()
        self.rows: list[tuple[float, list[EvidenceRow]]] = []
        self.due: list[tuple[float, int, int, bool]] = []  # acts that are not known yet
        self.known = [ListedEndpoint(number, 0, 1.0) for number in range(SERVERS)]

    def run(self, seconds: float, since: float = 0.0) -> Figures:
        now = 0.0
        while now < seconds:
            self._learn(now)
            self._tell(now)
            faulty = 0
            sent = 0
            for number in range(len(self.members)):
                for _ in range(self._arrivals()):
                    server = self._pick(now, number)
                    sent += 1
                    faulty += self._send(now, number, server, counts=now >= since)
            if (
                self.figures.learned_at < 0.0
                and now >= since
                and sent
                and faulty <= 0.1 * sent * self._share(now)
            ):
                self.figures.learned_at = now - since
            self._watch(now)
            now += STEP_S
        return self.figures

    def _arrivals(self) -> int:
        """Poisson, for a small mean."""
        count, left = 0, self.rng.expovariate(1.0)
        while left < self.rate * STEP_S:
            count += 1
            left += self.rng.expovariate(1.0)
        return count

    def _share(self, now: float) -> float:
        """The part of the servers that have a fault for the first member."""
        return sum(self.fault(now, 0, server) > 0.0 for server in range(SERVERS)) / SERVERS

    def _pick(self, now: float, number: int) -> int:
        member = self.members[number]
        weights = []
        for server in range(SERVERS):
            count, at = member.errors.get(server, (0.0, 0.0))
            left = ONE_ERROR ** (count * 0.5 ** ((now - at) / RAMP_S)) if count else 1.0
            weights.append(left * member.factors.get(server, 1.0))
        return self.rng.choices(range(SERVERS), weights)[0]

    def _send(self, now: float, number: int, server: int, counts: bool) -> bool:
        chance = self.fault(now, number, server)
        bad = self.rng.random() < chance
        self.due.append((now + (AIM_S if bad else 0.1), number, server, not bad))
        if counts:
            self.figures.sent += 1
            self.figures.bad += bad
            self.figures.at_fault += bad and chance > 0.0
            self.figures.loads[server] = self.figures.loads.get(server, 0) + 1
        return chance > 0.0

    def _learn(self, now: float) -> None:
        due, self.due = [one for one in self.due if one[0] <= now], [one for one in self.due if one[0] > now]
        for _, number, server, good in due:
            member = self.members[number]
            member.evidence.record(int(now * S), server, 0, good)
            count, at = member.errors.get(server, (0.0, 0.0))
            left = count * 0.5 ** ((now - at) / RAMP_S)
            member.errors[server] = (0.0, now) if good else (left + 1.0, now)

    def _tell(self, now: float) -> None:
        if not self.on:
            return
        told = []
        for member in self.members:
            row = member.evidence.make_row(int(now * S), member.factors)
            told.append(member.lies(row) if member.lies else row)
        self.rows = [one for one in self.rows if one[0] >= now - 2 * LATE_S] + [(now, told)]
        at, rows = min(self.rows, key=lambda one: abs(one[0] - (now - LATE_S)))
        if now < LATE_S:
            return
        age = int((now - at) * S)
        everybody: CombinedEvidence | None = None
        for number, member in enumerate(self.members):
            names = [other for other in range(len(self.members)) if other != number]
            heard = [other for other in names if self.hears(number, other, now)]
            if len(heard) == len(names) and len(names) > 100:  # one more or less of so many
                everybody = everybody or CombinedEvidence(
                    (ReceivedEvidence("", 0, age, row) for row in rows), 0
                )
                sums = everybody
            else:
                sums = CombinedEvidence((ReceivedEvidence("", 0, age, rows[other]) for other in heard), 0)
            found = factors(int(now * S), member.name, len(self.members), member.evidence, sums, self.known)
            member.factors = dict(found)

    def _watch(self, now: float) -> None:
        """How long sound servers are shunned by most."""
        for server in range(SERVERS):
            sound = all(self.fault(now, number, server) == 0.0 for number in range(len(self.members)))
            most = (
                sum(member.factors.get(server, 1.0) < 0.5 for member in self.members) > len(self.members) / 2
            )
            held = self.figures.shunned_now.get(server, 0.0) + STEP_S if sound and most else 0.0
            self.figures.shunned_now[server] = held
            self.figures.shunned_s = max(self.figures.shunned_s, held)


def condemns_all(row: EvidenceRow) -> EvidenceRow:
    """A lie that hides behind a small share: it says that it has met a thousand."""
    return EvidenceRow(1000, 10, [EndpointReport(server, 0, 0.0, 50.0) for server in range(SERVERS)])


def praises(server: int) -> Callable[[EvidenceRow], EvidenceRow]:
    return lambda row: EvidenceRow(16, 0, [EndpointReport(server, 0, 50.0, 0.0)])
