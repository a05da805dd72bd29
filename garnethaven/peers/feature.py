"""The table `[peers]` at work: one UDP socket, a period, and the parts that others put into the rows.

Ages are taken by the clock that goes on while the machine sleeps: what is known before a pause of any kind
is old after it.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections import Counter
from collections.abc import Callable, Iterable
from random import Random
from typing import TYPE_CHECKING, Any

import msgspec

from garnethaven.addresses import Address, parse_address
from garnethaven.engine.engine import MS, S
from garnethaven.feature import Feature
from garnethaven.gossip.rows import Row
from garnethaven.gossip.spread import horizon_s, period_of
from garnethaven.peers.conversation import UNPACK, Out, Peer
from garnethaven.peers.datagrams import MOST, Seal, Unwanted, Wrong
from garnethaven.peers.membership import Rules
from garnethaven.peers.table import Peers

if TYPE_CHECKING:
    from garnethaven.parts import Parts

AT_ONCE = 64  # datagrams that are read before requests have their turn
BUFFER = 1 << 20  # bytes, in the kernel: one period's answers
LINES_MOST = 8  # that wait for the log's next second


def clock() -> int:
    """Nanoseconds since the machine's start, its sleep among them."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


def text_of(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


class Kept(msgspec.Struct, frozen=True):
    """What outlives the process: its life, and what it said last."""

    life: int
    row: Row | None


class KeptLife:
    """This member's part of the state (state/): a later life never looks like an earlier one."""

    def __init__(self, peer: Peer) -> None:
        self.peer = peer

    def keep(self) -> bytes:
        kept = self.peer.rows.kept.get(self.peer.own)
        return msgspec.msgpack.encode(Kept(self.peer.members.life, kept.row if kept is not None else None))

    def take_back(self, kept: bytes, away_s: float) -> None:
        try:
            told = msgspec.msgpack.decode(kept, type=Kept)
        except msgspec.MsgspecError as problem:
            raise ValueError(str(problem)) from None
        peer = self.peer
        peer.members.life = max(peer.members.life, told.life + 1)
        if told.row is not None and told.row.name == peer.own:
            peer.rows.learn(clock() - int(away_s * S), told.row, 0)


class PeersFeature(Feature[Peers, "Parts"]):
    """`after` is called after each period with its time; `peer` is there from `prepare` on."""

    name = "peers"

    def __init__(self, table: Peers, parts: Parts) -> None:
        super().__init__(table, parts)
        self.peer: Peer | None = None
        self.after: list[Callable[[int], None]] = []
        self.seal: Seal | None = None
        self.sock: socket.socket | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.dropped: Counter[str] = Counter()
        self.sent = self.sent_bytes = self.came = self.unsent = 0
        self.lines: list[str] = []
        self.was_deaf = False
        if table.listen is not None:
            self._make()
            parts.peers = self

    def _make(self) -> None:
        table, config = self.table, self.parts.config
        assert table.listen is not None and table.key is not None
        listed = [(one.name, text_of(one.at)) for one in table.members]
        own = table.name or config.name
        self.size = max(2, len({name for name, _ in listed} | {own}), self.parts.engine.settings.fleet_size)
        self.period_s = period_of(self.size, table.period_s)
        self.horizon_s = horizon_s(self.size, table.asks, self.period_s, table.loss_most, table.delay_most_s)
        rules = Rules(int(self.period_s * S), table.asks, int(table.forget_s * S), table.members_most)
        rng = Random(f"{config.seed} peers {own}")
        life = time.time_ns() // MS
        self.peer = Peer(
            own, text_of(table.listen), life, listed, rules, int(self.horizon_s * S), rng, clock()
        )
        # Not by the seed: after a restart with the same one, the counters of before must not come again.
        self.peer.process = time.time_ns() ^ rng.getrandbits(62)
        self.seal = Seal(table.key, self.peer.process)

    def listed(self) -> int:
        """The members of the operator's file and this one."""
        assert self.peer is not None
        return len({one.name for one in self.table.members} | {self.peer.own})

    def prepare(self) -> None:
        if self.peer is not None:
            self.parts.keepers["peers"] = KeptLife(self.peer)

    async def open(self) -> None:
        if self.peer is None:
            return
        assert self.table.listen is not None
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
            sock.bind(self.table.listen)
        except OSError:
            sock.close()
            raise
        self.sock = sock
        self.parts.loop.add_reader(sock, self._readable)
        self._wait(self.peer.rng.random() * self.period_s)

    def renewed(self) -> None:
        if self.peer is None:
            return
        members = self.peer.members
        members.rules.forget = int(self.table.forget_s * S)
        members.set_listed(clock(), ((one.name, text_of(one.at)) for one in self.table.members))

    # A period

    def _wait(self, span_s: float) -> None:
        self.timer = self.parts.loop.call_later(span_s, self._tick)

    def _tick(self) -> None:
        assert self.peer is not None
        self._wait(self.period_s)
        now = clock()
        self._send(self.peer.tick(now))
        for call in self.after:
            call(now)
        self._log()

    def _log(self) -> None:
        """One line a second at the most; what does not fit in `LINES_MOST` is left out."""
        assert self.peer is not None
        peer = self.peer
        self.lines += peer.lines
        peer.lines.clear()
        deaf = peer.members.deaf()
        if deaf is not self.was_deaf:
            self.was_deaf = deaf
            self.lines.append("this member hears nobody" if deaf else "others are heard again")
        more = len(self.lines) - LINES_MOST
        shown = self.lines[:LINES_MOST] + ([f"and {more} more"] if more > 0 else [])
        if shown and self.parts.engine.says("peers: " + "; ".join(shown)):
            self.lines.clear()
        del self.lines[4 * LINES_MOST :]

    # Datagrams

    def _send(self, outs: Iterable[Out]) -> None:
        assert self.seal is not None
        if self.sock is None:
            return
        for out in outs:
            address = parse_address(out.at)
            if address is None:
                continue
            data = self.seal.seal(out.body)
            try:
                self.sock.sendto(data, address)
            except OSError:  # a full buffer, no way there: as a datagram that is lost
                self.unsent += 1
                continue
            self.sent += 1
            self.sent_bytes += len(data)

    def _readable(self) -> None:
        assert self.sock is not None
        for _ in range(AT_ONCE):
            try:
                data, source = self.sock.recvfrom(MOST + 1)
            except OSError:  # nothing more, or a refusal that an earlier datagram met
                return
            self._comes(data, source)

    def _comes(self, data: bytes, source: Address) -> None:
        assert self.peer is not None and self.seal is not None
        self.came += 1
        now = clock()
        try:
            message = UNPACK(self.seal.open(data, source, now / S))
        except Unwanted as unwanted:
            self.dropped[unwanted.wrong] += 1
            return
        except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError):
            self.dropped[Wrong.MALFORMED] += 1
            return
        self._send(self.peer.came(now, message, text_of(source)))

    # The end

    async def withdraw(self) -> None:
        """Say so: this member's part is the others' at once, not after a horizon."""
        if self.peer is not None and self.timer is not None:
            self.timer.cancel()
            self.timer = None
            self._send(self.peer.leaves(clock()))

    async def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        if self.sock is not None:
            with contextlib.suppress(OSError):
                self.parts.loop.remove_reader(self.sock)
            self.sock.close()
            self.sock = None

    def figures(self) -> dict[str, Any]:
        if self.peer is None:
            return {}
        peer, now = self.peer, clock()
        horizon = peer.horizon(now)
        return {
            "members": horizon.members,
            "live": 1 + len(peer.members.live()),
            "heard": horizon.heard,
            "oldest_ms": horizon.oldest // MS,
            "horizon_ms": int(self.horizon_s * 1000),
            "alike": 1 + len(peer.view(now)),
            "doubt": peer.members.health_penalty,
            "mute": peer.mute(now),
            "false_alarms": peer.members.false_suspicions,
            "datagrams_sent": self.sent,
            "datagrams_came": self.came,
            "bytes_sent": self.sent_bytes,
            "unsent": self.unsent,
            "dropped": dict(self.dropped),
        }


FEATURE = PeersFeature
