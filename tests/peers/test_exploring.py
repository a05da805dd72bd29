"""All orders of events among three members, up to a fixed depth, with one crash, one loss and one repeat.

A step is a period of one member, the arrival of any datagram in transit, the loss of one, the repeat of one,
or the crash of one member; each of the last three happens once. Two states that differ only in nonces and
times are equal. From states at the full depth, no further faults occur, and the members have to agree.
"""

from __future__ import annotations

from collections import Counter
from random import Random

from garnethaven.peers.conversation import OutgoingMessage, Peer, SyncRequest, decode_message
from garnethaven.peers.membership import PeerSettings, State
from garnethaven.tenants.admission import Admission, Allowance
from garnethaven.tenants.sharing import CounterExchange
from tests.exploring import explore

S = 1_000_000_000
PERIOD = S // 5
NAMES = "abc"
DEPTH = 7
FULL_DEPTH = 4  # up to here all orders are explored, beyond it a sample
MAX_STATES = 150  # sampled per depth
SETTLED_STATES = 40  # final states that are run until they settle
SETTLING_PERIODS = 60


class Model:
    """The complete state, copied for each step: members, datagrams in transit, faults still to occur."""

    def __init__(self) -> None:
        self.now = S
        self.peers: dict[str, Peer] = {}
        self.sharing: dict[str, CounterExchange] = {}
        self.in_transit: list[tuple[str, OutgoingMessage]] = []
        self.faults_left = {"crash": 1, "lose": 1, "repeat": 1}
        for name in NAMES:
            rules = PeerSettings(PERIOD, 1, 600 * S, 8)
            listed = [(other, other) for other in NAMES]
            peer = Peer(name, name, 1, listed, rules, 2 * S, Random(name), self.now)
            admission = Admission({"t": Allowance(1.0, 1.0)}, None, 1, 2 * S, self.now, 3)
            number = admission.id_of("t")
            assert number is not None
            admission.admit(self.now, number)
            self.peers[name], self.sharing[name] = peer, CounterExchange(peer, admission)

    def steps(self) -> list[tuple[str, int | str]]:
        steps: list[tuple[str, int | str]] = [("period", name) for name in self.peers]
        arrivals = range(len(self.in_transit))
        steps += [("arrive", number) for number in arrivals]
        for action in ("lose", "repeat"):
            steps += [(action, number) for number in arrivals if self.faults_left[action]]
        steps += [("crash", name) for name in self.peers if self.faults_left["crash"]]
        return steps

    def step(self, step: tuple[str, int | str]) -> None:
        action, target = step
        if action in self.faults_left:
            self.faults_left[action] -= 1
        if isinstance(target, str):
            if action == "crash":
                del self.peers[target], self.sharing[target]
            else:
                self.now += PERIOD // len(NAMES)
                self._send(target, self.peers[target].tick(self.now))
            return
        source, out = self.in_transit[target]
        if action != "repeat":
            del self.in_transit[target]
        if action != "lose" and out.at in self.peers:
            self._send(out.at, self.peers[out.at].receive(self.now, decode_message(out.body), source))

    def _send(self, source: str, outs: list[OutgoingMessage]) -> None:
        self.in_transit += [(source, out) for out in outs]

    def mark(self) -> object:
        """What distinguishes states: all but nonces, times and the random probe order."""
        members = tuple(
            (
                name,
                peer.heartbeat,
                tuple((m.name, m.version) for m in peer.members.members.values()),
                tuple((row.name, row.version, row.heard) for row in peer.rows.all_incarnations()),
            )
            for name, peer in self.peers.items()
        )
        in_transit = Counter((source, out.at, self._content(out)) for source, out in self.in_transit)
        return members, frozenset(in_transit.items()), tuple(self.faults_left.values())

    @staticmethod
    def _content(out: OutgoingMessage) -> object:
        message = decode_message(out.body)
        if isinstance(message, SyncRequest):
            return message.name, message.heartbeat, message.about, tuple(message.updates)
        return (
            message.name,
            tuple((aged_row.row.name, aged_row.row.version) for aged_row in message.rows),
            tuple(message.updates),
        )

    def check_counts(self) -> None:
        """No member's total exceeds the number of requests made."""
        for sharing in self.sharing.values():
            assert all(total.requested <= len(NAMES) for total in sharing.totals().values())

    def check_settled(self) -> None:
        """Without further faults, live members are ALIVE, a crashed one is GONE, and all counts agree."""
        for _ in range(SETTLING_PERIODS):
            for name in list(self.peers):
                self.step(("period", name))
            while self.in_transit:
                self.step(("arrive", 0))
        dead = set(NAMES) - set(self.peers)
        for name, peer in self.peers.items():
            for member in peer.members.members.values():
                expected = State.GONE if member.name in dead else State.ALIVE
                assert member.state is expected, (name, member)
            assert peer.members.member_count() == len(NAMES)
        totals = [tuple(sharing.totals().values()) for sharing in self.sharing.values()]
        assert len(set(totals)) == 1 and totals[0][0].requested >= len(self.peers), totals


def test_no_order_removes_a_live_member_keeps_a_dead_one_or_counts_twice() -> None:
    layer, sizes = explore(Model(), DEPTH, Model.check_counts, FULL_DEPTH, MAX_STATES)
    for world in layer[:SETTLED_STATES]:
        world.check_settled()
    assert sum(sizes) > 1_000
