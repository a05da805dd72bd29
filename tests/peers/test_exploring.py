"""Three members in small: every order of what may happen, to a depth, with one crash, one loss, one repeat.

A step is a period of one member, the arrival of any datagram that is under way, the loss of one, the repeat
of one, or the crash of one member; each of the last three happens once. Two states that differ in nothing but
nonces and times are one. From states at the depth the world is then left alone, and has to end well.
"""

from __future__ import annotations

from collections import Counter
from random import Random

from garnethaven.peers.conversation import UNPACK, Out, Peer, SyncRequest
from garnethaven.peers.membership import Rules, State
from garnethaven.tenants.admission import Admission, Allowance
from garnethaven.tenants.sharing import Sharing
from tests.exploring import explore

S = 1_000_000_000
PERIOD = S // 5
NAMES = "abc"
DEPTH = 7
WHOLE = 4  # to here every order is played; beyond it so many states of each depth, drawn
STATES_MOST = 150
LEFT_ALONE = 40
QUIET_PERIODS = 60


class Small:
    """The whole world, to be copied: members, what is under way, and what may still happen."""

    def __init__(self) -> None:
        self.now = S
        self.peers: dict[str, Peer] = {}
        self.sharing: dict[str, Sharing] = {}
        self.under_way: list[tuple[str, Out]] = []
        self.left = {"crash": 1, "lose": 1, "repeat": 1}
        for name in NAMES:
            rules = Rules(PERIOD, 1, 600 * S, 8)
            listed = [(other, other) for other in NAMES]
            peer = Peer(name, name, 1, listed, rules, 2 * S, Random(name), self.now)
            admission = Admission({"t": Allowance(1.0, 1.0)}, None, 1, 2 * S, self.now, 3)
            number = admission.id_of("t")
            assert number is not None
            admission.asks(self.now, number)
            self.peers[name], self.sharing[name] = peer, Sharing(peer, admission)

    def steps(self) -> list[tuple[str, int | str]]:
        found: list[tuple[str, int | str]] = [("period", name) for name in self.peers]
        arrivals = range(len(self.under_way))
        found += [("arrive", number) for number in arrivals]
        for what in ("lose", "repeat"):
            found += [(what, number) for number in arrivals if self.left[what]]
        found += [("crash", name) for name in self.peers if self.left["crash"]]
        return found

    def step(self, step: tuple[str, int | str]) -> None:
        what, which = step
        if what in self.left:
            self.left[what] -= 1
        if isinstance(which, str):
            if what == "crash":
                del self.peers[which], self.sharing[which]
            else:
                self.now += PERIOD // len(NAMES)
                self._send(which, self.peers[which].tick(self.now))
            return
        source, out = self.under_way[which]
        if what != "repeat":
            del self.under_way[which]
        if what != "lose" and out.at in self.peers:
            self._send(out.at, self.peers[out.at].came(self.now, UNPACK(out.body), source))

    def _send(self, source: str, outs: list[Out]) -> None:
        self.under_way += [(source, out) for out in outs]

    def mark(self) -> object:
        """What makes a state another: all but nonces, times and the drawn order of questions."""
        members = tuple(
            (
                name,
                peer.heartbeat,
                tuple((m.name, m.version) for m in peer.members.members.values()),
                tuple((row.name, row.version, row.heard) for row in peer.rows.lives()),
            )
            for name, peer in self.peers.items()
        )
        flying = Counter((source, out.at, self._gist(out)) for source, out in self.under_way)
        return members, frozenset(flying.items()), tuple(self.left.values())

    @staticmethod
    def _gist(out: Out) -> object:
        told = UNPACK(out.body)
        if isinstance(told, SyncRequest):
            return told.name, told.heartbeat, told.about, tuple(told.updates)
        return told.name, tuple((said.row.name, said.row.version) for said in told.rows), tuple(told.updates)

    def holds(self) -> None:
        """Never more than what was counted, at anybody."""
        for sharing in self.sharing.values():
            assert all(told.asked <= len(NAMES) for told in sharing.totals().values())

    def ends_well(self) -> None:
        """Left alone, the live are alive to one another, the dead one is gone, and all counts agree."""
        for _ in range(QUIET_PERIODS):
            for name in list(self.peers):
                self.step(("period", name))
            while self.under_way:
                self.step(("arrive", 0))
        dead = set(NAMES) - set(self.peers)
        for name, peer in self.peers.items():
            for member in peer.members.members.values():
                wanted = State.GONE if member.name in dead else State.ALIVE
                assert member.state is wanted, (name, member)
            assert peer.members.counted() == len(NAMES)
        totals = [tuple(sharing.totals().values()) for sharing in self.sharing.values()]
        assert len(set(totals)) == 1 and totals[0][0].asked >= len(self.peers), totals


def test_no_order_removes_a_live_member_keeps_a_dead_one_or_counts_twice() -> None:
    layer, sizes = explore(Small(), DEPTH, Small.holds, WHOLE, STATES_MOST)
    for world in layer[:LEFT_ALONE]:
        world.ends_well()
    assert sum(sizes) > 1_000
