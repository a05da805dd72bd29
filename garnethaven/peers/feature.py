"""The feature of the table `[peers]`: one UDP socket and a periodic tick. Other features add row topics.

Ages are measured by the boot-time clock, which advances while the machine sleeps, so that what was received
before any kind of pause counts as old afterwards.
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
from garnethaven.gossip.spread import horizon_s, scaled_period
from garnethaven.peers.conversation import OutgoingMessage, Peer, decode_message
from garnethaven.peers.datagrams import MAX_BYTES, Dropped, DropReason, Seal
from garnethaven.peers.membership import PeerSettings
from garnethaven.peers.table import Peers

if TYPE_CHECKING:
    from garnethaven.parts import Parts

MAX_READS_PER_CALL = 64  # datagrams read at once, so that requests are not delayed
RECEIVE_BUFFER = 1 << 20  # bytes of kernel receive buffer: the answers of one period
MAX_LOG_ITEMS = 8  # log messages joined into one line per second; others are only counted


def clock() -> int:
    """Nanoseconds since the machine's start, including suspended time."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


def address_text(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


class PersistedState(msgspec.Struct, frozen=True):
    """The stored state: the incarnation of the process, and its last row."""

    life: int
    row: Row | None


class PersistedIncarnation:
    """This member's part of the stored state (state/): keeps incarnations increasing across restarts."""

    def __init__(self, peer: Peer) -> None:
        self.peer = peer

    def keep(self) -> bytes:
        kept = self.peer.rows.current.get(self.peer.own)
        return msgspec.msgpack.encode(
            PersistedState(self.peer.members.incarnation, kept.row if kept is not None else None)
        )

    def take_back(self, kept: bytes, away_s: float) -> None:
        try:
            restored = msgspec.msgpack.decode(kept, type=PersistedState)
        except msgspec.MsgspecError as problem:
            raise ValueError(str(problem)) from None
        peer = self.peer
        peer.members.incarnation = max(peer.members.incarnation, restored.life + 1)
        if restored.row is not None and restored.row.name == peer.own:
            peer.rows.learn(clock() - int(away_s * S), restored.row, 0)


class PeersFeature(Feature[Peers, "Parts"]):
    """Calls the functions in `after` after each period with its time; `peer` is None if the table is off."""

    name = "peers"

    def __init__(self, table: Peers, parts: Parts) -> None:
        super().__init__(table, parts)
        self.peer: Peer | None = None
        self.after: list[Callable[[int], None]] = []
        self.seal: Seal | None = None
        self.sock: socket.socket | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.dropped: Counter[str] = Counter()
        self.sent = self.sent_bytes = self.received = self.send_failures = 0
        self.lines: list[str] = []
        self.was_isolated = False
        if table.listen is not None:
            self._create_peer()
            parts.peers = self

    def _create_peer(self) -> None:
        table, config = self.table, self.parts.config
        assert table.listen is not None and table.key is not None
        listed = [(member.name, address_text(member.at)) for member in table.members]
        own = table.name or config.name
        self.size = max(2, len({name for name, _ in listed} | {own}), self.parts.engine.settings.fleet_size)
        self.period_s = scaled_period(self.size, table.period_s)
        self.horizon_s = horizon_s(self.size, table.asks, self.period_s, table.loss_most, table.delay_most_s)
        rules = PeerSettings(int(self.period_s * S), table.asks, int(table.forget_s * S), table.members_most)
        rng = Random(f"{config.seed} peers {own}")
        incarnation = time.time_ns() // MS
        self.peer = Peer(
            own, address_text(table.listen), incarnation, listed, rules, int(self.horizon_s * S), rng, clock()
        )
        # Not derived from the seed: a restart with the same seed must not reuse the datagram counters.
        self.peer.process = time.time_ns() ^ rng.getrandbits(62)
        self.seal = Seal(table.key, self.peer.process)

    def listed(self) -> int:
        """The number of members in the operator's file, including this one."""
        assert self.peer is not None
        return len({member.name for member in self.table.members} | {self.peer.own})

    def prepare(self) -> None:
        if self.peer is not None:
            self.parts.state_sections["peers"] = PersistedIncarnation(self.peer)

    async def open(self) -> None:
        if self.peer is None:
            return
        assert self.table.listen is not None
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
            sock.bind(self.table.listen)
        except OSError:
            sock.close()
            raise
        self.sock = sock
        self.parts.loop.add_reader(sock, self._on_readable)
        self._schedule_tick(self.peer.rng.random() * self.period_s)

    def renewed(self) -> None:
        if self.peer is None:
            return
        members = self.peer.members
        members.rules.forget_after = int(self.table.forget_s * S)
        members.set_listed(clock(), ((member.name, address_text(member.at)) for member in self.table.members))

    # Periodic steps

    def _schedule_tick(self, delay_s: float) -> None:
        self.timer = self.parts.loop.call_later(delay_s, self._tick)

    def _tick(self) -> None:
        assert self.peer is not None
        self._schedule_tick(self.period_s)
        now = clock()
        self._send(self.peer.tick(now))
        for callback in self.after:
            callback(now)
        self._log()

    def _log(self) -> None:
        """Write at most one line per second, with at most `MAX_LOG_ITEMS` messages; count the others."""
        assert self.peer is not None
        peer = self.peer
        self.lines += peer.lines
        peer.lines.clear()
        isolated = peer.members.is_isolated()
        if isolated is not self.was_isolated:
            self.was_isolated = isolated
            self.lines.append("this member receives no answers" if isolated else "answers are received again")
        omitted = len(self.lines) - MAX_LOG_ITEMS
        shown = self.lines[:MAX_LOG_ITEMS] + ([f"and {omitted} more"] if omitted > 0 else [])
        if shown and self.parts.engine.try_log("peers: " + "; ".join(shown)):
            self.lines.clear()
        del self.lines[4 * MAX_LOG_ITEMS :]

    # Datagrams

    def _send(self, outs: Iterable[OutgoingMessage]) -> None:
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
            except OSError:  # a full buffer or no route: treated as a lost datagram
                self.send_failures += 1
                continue
            self.sent += 1
            self.sent_bytes += len(data)

    def _on_readable(self) -> None:
        assert self.sock is not None
        for _ in range(MAX_READS_PER_CALL):
            try:
                data, source = self.sock.recvfrom(MAX_BYTES + 1)
            except OSError:  # no more datagrams, or an ICMP error for an earlier one
                return
            self._receive(data, source)

    def _receive(self, data: bytes, source: Address) -> None:
        assert self.peer is not None and self.seal is not None
        self.received += 1
        now = clock()
        try:
            message = decode_message(self.seal.open(data, source, now / S))
        except Dropped as dropped:
            self.dropped[dropped.reason] += 1
            return
        except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError):
            self.dropped[DropReason.MALFORMED] += 1
            return
        self._send(self.peer.receive(now, message, address_text(source)))

    # Shutdown

    async def withdraw(self) -> None:
        """Announce the shutdown, so that the others take over this member's share at once."""
        if self.peer is not None and self.timer is not None:
            self.timer.cancel()
            self.timer = None
            self._send(self.peer.leave(clock()))

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
            "mute": peer.is_muted(now),
            "false_alarms": peer.members.false_suspicions,
            "datagrams_sent": self.sent,
            "datagrams_came": self.received,
            "bytes_sent": self.sent_bytes,
            "unsent": self.send_failures,
            "dropped": dict(self.dropped),
        }


FEATURE = PeersFeature
