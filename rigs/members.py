"""Members in virtual time: the pure parts of peers and tenants, over links that lose, delay and repeat.

One loop over one heap; everything random comes from the seed. No sockets, no processes: what real ones do is
the rigs' part, this is for sizes and schedules that they can't play.
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

S = 1_000_000_000
FORGET_S = 600.0
HEADERS = 60  # bytes of a datagram that are not its message: seal, UDP, IP


@dataclass
class Links:
    """What becomes of a datagram from one member to another."""

    loss: float = 0.0
    delay_s: float = 0.0  # and up to as much again, drawn for each: order is not kept
    repeat: float = 0.0
    cut: Callable[[str, str], bool] = lambda one, other: False  # from one to the other


@dataclass
class One:
    """A member: its parts, its clock and what it has cost."""

    name: str
    peer: Peer
    admission: Admission
    sharing: CounterExchange
    offset: int = 0  # of its clock
    rate: float = 1.0  # of its clock
    up: bool = True
    stalled: bool = False
    inbox: list[tuple[bytes, str]] = field(default_factory=list)  # what came while it stood still
    turn: int = 0  # its ticks are of this process
    sent: int = 0
    bytes_sent: int = 0


class World:
    """N members with one tenant, `t`, whose requests come as `arrive` says."""

    def __init__(
        self, seed: int, estate: FleetParameters, links: Links | None = None, listed: bool = True
    ) -> None:
        self.rng = Random(seed)
        self.estate = estate
        self.links = links or Links(estate.loss, estate.delay_s / 2)
        self.listed = listed
        self.now = 0
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.numbers = count()
        self.names = [f"m{number}" for number in range(estate.members)]
        self.members: dict[str, One] = {}
        self.period = int(estate.period_s * S)
        self.taken: list[int] = []  # when
        self.refused: list[int] = []
        self.by_member: dict[str, int] = {}
        self.demands: dict[str, float] = {}

    # Time

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Seconds of the world's own clock."""
        heapq.heappush(self.events, (int(when * S), next(self.numbers), call))

    def after(self, span: int, call: Callable[[], None]) -> None:
        heapq.heappush(self.events, (self.now + span, next(self.numbers), call))

    def run(self, until: float) -> None:
        end = int(until * S)
        while self.events and self.events[0][0] <= end:
            self.now, _, call = heapq.heappop(self.events)
            call()
        self.now = end

    # Members

    def start(self, names: Iterable[str] | None = None) -> None:
        for name in names or self.names:
            self.begin(name, self.rng.randrange(S))

    def begin(self, name: str, offset: int = 0, rate: float = 1.0, life: int | None = None) -> One:
        """A process of this name; without `life`, one later than any before."""
        estate = self.estate
        before = self.members.get(name)
        rules = PeerSettings(self.period, estate.asks, int(FORGET_S * S), 2 * estate.members + 8)
        horizon = int(estate.horizon_s * S)
        listed = [(other, other) for other in self.names] if self.listed else [(self.names[0], self.names[0])]
        life = life if life is not None else 1000 + self.now // 1_000_000
        one = One(name, None, None, None, offset, rate)  # type: ignore[arg-type]
        now = self.clock(one)
        one.peer = Peer(name, name, life, listed, rules, horizon, Random(self.rng.getrandbits(32)), now)
        settle = int(settle_s(estate.horizon_s, estate.period_s) * S)
        members, allowances = one.peer.members.member_count(), {"t": Allowance(estate.per_s, estate.burst)}
        one.admission = Admission(allowances, None, 1, settle, now, members)
        one.sharing = CounterExchange(one.peer, one.admission)
        one.turn = before.turn + 1 if before is not None else 0
        self.members[name] = one
        self.after(self.rng.randrange(self.period), lambda: self._tick(one))
        return one

    def clock(self, one: One) -> int:
        return one.offset + int(self.now * one.rate)

    def kill(self, name: str) -> None:
        self.members[name].up = False

    def stall(self, name: str, seconds: float) -> None:
        one = self.members[name]
        one.stalled = True
        self.after(int(seconds * S), lambda: self._wakes(one))

    def _wakes(self, one: One) -> None:
        one.stalled = False
        waiting, one.inbox = one.inbox, []
        for body, source in waiting:
            self._comes(one, body, source)

    def _tick(self, one: One) -> None:
        if not one.up:
            return
        if not one.stalled:
            now = self.clock(one)
            self._send(one, one.peer.tick(now))
            one.sharing.update(now)
        self.after(self.period, lambda: self._tick(one))

    # Datagrams

    def _send(self, one: One, outs: Iterable[OutgoingMessage]) -> None:
        for out in outs:
            one.sent += 1
            one.bytes_sent += len(out.body) + HEADERS
            times = 2 if self.rng.random() < self.links.repeat else 1
            for _ in range(times):
                if self.rng.random() >= self.links.loss and not self.links.cut(one.name, out.at):
                    self._carry(one.name, out)

    def _carry(self, source: str, out: OutgoingMessage) -> None:
        delay = self.links.delay_s * (1.0 + self.rng.random())
        self.after(int(delay * S), lambda: self._arrives(source, out))

    def _arrives(self, source: str, out: OutgoingMessage) -> None:
        one = self.members.get(out.at)
        if one is None or not one.up:
            return
        if one.stalled:
            one.inbox.append((out.body, source))
        else:
            self._comes(one, out.body, source)

    def _comes(self, one: One, body: bytes, source: str) -> None:
        self._send(one, one.peer.receive(self.clock(one), decode_message(body), source))

    # The tenant

    def arrive(self, name: str, rate: float, since: float, until: float) -> None:
        """Requests of the tenant at this member, Poisson."""
        at = since
        while rate > 0.0:
            at += self.rng.expovariate(rate)
            if at >= until:
                return
            self.at(at, lambda: self._asks(name))

    def _asks(self, name: str) -> None:
        one = self.members.get(name)
        if one is None or not one.up or one.stalled:
            return
        number = one.admission.id_of("t")
        assert number is not None
        if one.admission.admit(self.clock(one), number) is None:
            self.taken.append(self.now)
            self.by_member[name] = self.by_member.get(name, 0) + 1
        else:
            self.refused.append(self.now)


def worst_over(times: Iterable[float], per_s: float) -> float:
    """The most by which the moments in any span are more than the rate times the span; seconds."""
    level, last, worst = 0.0, None, 0.0
    for at in sorted(times):
        level = max(0.0, level - per_s * (at - last)) if last is not None else 0.0
        level += 1.0
        last, worst = at, max(worst, level)
    return worst


def worst_under(taken: Iterable[float], asked: Iterable[float], per_s: float) -> float:
    """The most by which a span's requests were fewer than both what was asked for and the rate allow.

    Against what one bucket for the whole fleet, without any burst, would have taken of the same requests.
    """
    moments = sorted([(at, 1) for at in asked] + [(at, 0) for at in taken])
    tokens, last, short, worst = 1.0, None, 0.0, 0.0
    for at, asks in moments:
        if last is not None:
            tokens = min(1.0, tokens + per_s * (at - last))
        last = at
        if not asks:
            short = max(0.0, short - 1.0)
        elif tokens >= 1.0:
            tokens -= 1.0
            short += 1.0
            worst = max(worst, short)
    return worst
