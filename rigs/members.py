"""Simulation of members in virtual time, over links that lose, delay, reorder and duplicate datagrams.

It drives the parts of peers and tenants that do no I/O from one event heap; all random numbers come from the
seed. It covers fleet sizes and schedules that the rigs, with their real processes and sockets, cannot play.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import count
from random import Random

from garnethaven.peers.conversation import OutgoingMessage, Peer, decode_message
from garnethaven.peers.membership import PeerSettings
from garnethaven.tenants.admission import Admission, Allowance
from garnethaven.tenants.bound import FleetParameters, settle_s
from garnethaven.tenants.sharing import CounterExchange

NS_PER_S = 1_000_000_000
FORGET_AFTER_S = 600.0
DATAGRAM_OVERHEAD_BYTES = 60  # seal, UDP and IP headers


@dataclass
class Links:
    """How links treat datagrams between members: `loss` and `repeat` are probabilities."""

    loss: float = 0.0
    delay_s: float = 0.0  # minimum; each datagram takes up to twice as long, so order is not kept
    duplicate_probability: float = 0.0
    # Whether the link from one member to another is interrupted at present.
    cut: Callable[[str, str], bool] = lambda source, target: False


@dataclass
class Member:
    """A member: its components, its clock and its traffic."""

    name: str
    peer: Peer
    admission: Admission
    sharing: CounterExchange
    offset: int = 0  # of its clock, in nanoseconds
    rate: float = 1.0  # of its clock, relative to the time of the simulation
    up: bool = True
    stalled: bool = False
    inbox: list[tuple[bytes, str]] = field(default_factory=list)  # datagrams that arrived during a stall
    turn: int = 0  # number of process restarts under this name
    sent: int = 0
    bytes_sent: int = 0


class World:
    """The members of a fleet with one tenant, `t`, whose requests `arrive` schedules."""

    def __init__(
        self, seed: int, estate: FleetParameters, links: Links | None = None, listed: bool = True
    ) -> None:
        self.rng = Random(seed)
        self.estate = estate
        self.links = links or Links(estate.loss, estate.delay_s / 2)
        self.listed = listed
        self.now = 0
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.event_numbers = count()
        self.names = [f"m{number}" for number in range(estate.members)]
        self.members: dict[str, Member] = {}
        self.period = int(estate.period_s * NS_PER_S)
        self.accepted_at_ns: list[int] = []  # times of accepted requests, in nanoseconds
        self.refused_at_ns: list[int] = []
        self.accepted_by_member: dict[str, int] = {}
        self.demands: dict[str, float] = {}

    # Time

    def schedule_at(self, when: float, callback: Callable[[], None]) -> None:
        """Schedule a call at `when`, in seconds of simulated time."""
        heapq.heappush(self.events, (int(when * NS_PER_S), next(self.event_numbers), callback))

    def after(self, delay_ns: int, callback: Callable[[], None]) -> None:
        heapq.heappush(self.events, (self.now + delay_ns, next(self.event_numbers), callback))

    def run(self, until: float) -> None:
        end = int(until * NS_PER_S)
        while self.events and self.events[0][0] <= end:
            self.now, _, callback = heapq.heappop(self.events)
            callback()
        self.now = end

    # Members

    def start(self, names: Iterable[str] | None = None) -> None:
        for name in names or self.names:
            self.start_process(name, self.rng.randrange(NS_PER_S))

    def start_process(self, name: str, offset: int = 0, rate: float = 1.0, life: int | None = None) -> Member:
        """Start a process of this name; the default `life` is later than those of all earlier processes."""
        estate = self.estate
        previous = self.members.get(name)
        rules = PeerSettings(self.period, estate.asks, int(FORGET_AFTER_S * NS_PER_S), 2 * estate.members + 8)
        horizon_ns = int(estate.horizon_s * NS_PER_S)
        listed = [(other, other) for other in self.names] if self.listed else [(self.names[0], self.names[0])]
        life = life if life is not None else 1000 + self.now // 1_000_000
        member = Member(name, None, None, None, offset, rate)  # type: ignore[arg-type]
        now = self.clock(member)
        member.peer = Peer(name, name, life, listed, rules, horizon_ns, Random(self.rng.getrandbits(32)), now)
        settle_ns = int(settle_s(estate.horizon_s, estate.period_s) * NS_PER_S)
        members, allowances = member.peer.members.member_count(), {"t": Allowance(estate.per_s, estate.burst)}
        member.admission = Admission(allowances, None, 1, settle_ns, now, members)
        member.sharing = CounterExchange(member.peer, member.admission)
        member.turn = previous.turn + 1 if previous is not None else 0
        self.members[name] = member
        self.after(self.rng.randrange(self.period), lambda: self._tick(member))
        return member

    def clock(self, member: Member) -> int:
        return member.offset + int(self.now * member.rate)

    def kill(self, name: str) -> None:
        self.members[name].up = False

    def stall(self, name: str, seconds: float) -> None:
        member = self.members[name]
        member.stalled = True
        self.after(int(seconds * NS_PER_S), lambda: self._resume(member))

    def _resume(self, member: Member) -> None:
        member.stalled = False
        pending, member.inbox = member.inbox, []
        for body, source in pending:
            self._receive(member, body, source)

    def _tick(self, member: Member) -> None:
        if not member.up:
            return
        if not member.stalled:
            now = self.clock(member)
            self._send(member, member.peer.tick(now))
            member.sharing.update(now)
        self.after(self.period, lambda: self._tick(member))

    # Datagrams

    def _send(self, member: Member, datagrams: Iterable[OutgoingMessage]) -> None:
        for datagram in datagrams:
            member.sent += 1
            member.bytes_sent += len(datagram.body) + DATAGRAM_OVERHEAD_BYTES
            copies = 2 if self.rng.random() < self.links.duplicate_probability else 1
            for _ in range(copies):
                if self.rng.random() >= self.links.loss and not self.links.cut(member.name, datagram.at):
                    self._deliver_later(member.name, datagram)

    def _deliver_later(self, source: str, datagram: OutgoingMessage) -> None:
        delay_s = self.links.delay_s * (1.0 + self.rng.random())
        self.after(int(delay_s * NS_PER_S), lambda: self._arrive_datagram(source, datagram))

    def _arrive_datagram(self, source: str, datagram: OutgoingMessage) -> None:
        member = self.members.get(datagram.at)
        if member is None or not member.up:
            return
        if member.stalled:
            member.inbox.append((datagram.body, source))
        else:
            self._receive(member, datagram.body, source)

    def _receive(self, member: Member, body: bytes, source: str) -> None:
        self._send(member, member.peer.receive(self.clock(member), decode_message(body), source))

    # The tenant

    def schedule_requests(self, name: str, rate: float, since: float, until: float) -> None:
        """Schedule requests of the tenant at this member as a Poisson process."""
        at = since
        while rate > 0.0:
            at += self.rng.expovariate(rate)
            if at >= until:
                return
            self.schedule_at(at, lambda: self._request(name))

    def _request(self, name: str) -> None:
        member = self.members.get(name)
        if member is None or not member.up or member.stalled:
            return
        tenant_number = member.admission.id_of("t")
        assert tenant_number is not None
        if member.admission.admit(self.clock(member), tenant_number) is None:
            self.accepted_at_ns.append(self.now)
            self.accepted_by_member[name] = self.accepted_by_member.get(name, 0) + 1
        else:
            self.refused_at_ns.append(self.now)


def worst_over(times: Iterable[float], per_s: float) -> float:
    """Return the largest excess of events in any time span over rate times span; `times` in seconds."""
    level, previous, worst = 0.0, None, 0.0
    for at in sorted(times):
        level = max(0.0, level - per_s * (at - previous)) if previous is not None else 0.0
        level += 1.0
        previous, worst = at, max(worst, level)
    return worst


def worst_under(taken: Iterable[float], asked: Iterable[float], per_s: float) -> float:
    """Return the largest shortfall of accepted requests in any time span.

    The reference is one token bucket for the whole fleet, without a burst, that serves the same requests.
    """
    events = sorted([(at, 1) for at in asked] + [(at, 0) for at in taken])
    tokens, previous, shortfall, worst = 1.0, None, 0.0, 0.0
    for at, is_request in events:
        if previous is not None:
            tokens = min(1.0, tokens + per_s * (at - previous))
        previous = at
        if not is_request:
            shortfall = max(0.0, shortfall - 1.0)
        elif tokens >= 1.0:
            tokens -= 1.0
            shortfall += 1.0
            worst = max(worst, shortfall)
    return worst
