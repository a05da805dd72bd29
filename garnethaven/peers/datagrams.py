"""The datagram format: tagged, authenticated by a shared key, accepted once. No I/O; times in seconds.

    7 bytes   tag, derived from the key: datagrams of other fleets are dropped after one comparison
    1         version of the format
    8         sending process
    8         its counter
    ...       one message, MessagePack (conversation.py)
    16        keyed hash (BLAKE2b) of everything before it

Checks are ordered by cost: length and tag, then the rate limit of the source address, then the hash, then
whether that counter has been received before. From a source that forges datagrams with the right tag,
`CHECKS_PER_S` are checked and the rest dropped unread; members send far less. Limitation: all members would
share one rate limit if they had one source address and port, as behind a relay; no such deployment is known.

A window of `WINDOW_SIZE` counters is kept for each sending process: an older datagram was in transit for
longer than any reader waits. If more processes are known than `MAX_PROCESSES`, one is evicted and a replay of
its datagrams is accepted here, without effect: answers name their request, and versions only increase.
"""

from __future__ import annotations

from enum import StrEnum
from hashlib import blake2b
from hmac import compare_digest

VERSION = 1
HEADER_BYTES = 24
MAC_BYTES = 16
MIN_BYTES = HEADER_BYTES + MAC_BYTES + 1
MAX_BYTES = 1472  # bytes: the UDP payload of one Ethernet frame
WINDOW_SIZE = 1024  # counters remembered per process
MAX_PROCESSES = 4096
MAX_SOURCES = 4096
CHECKS_PER_S = 200.0  # hash checks per second and source
CHECK_BURST = 400.0


class DropReason(StrEnum):
    """Why a datagram was dropped; the values are the names in the metrics."""

    FOREIGN = "foreign"  # of another fleet or format version
    FLOODED = "flooded"
    FORGED = "forged"
    REPEATED = "repeated"
    MALFORMED = "malformed"


class Dropped(Exception):  # noqa: N818  usual under a flood, not an error
    def __init__(self, reason: DropReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class Seal:
    """Seals the datagrams that one process sends, and checks those that it receives."""

    def __init__(self, key: bytes, process: int) -> None:
        self.key = key[:64]
        tag = blake2b(b"petrelspan peers", key=self.key, digest_size=7).digest()
        self.tag = tag + bytes((VERSION,))
        self.header = self.tag + process.to_bytes(8, "big")
        self.counter = 0
        self.windows: dict[bytes, CounterWindow] = {}
        self.sources: dict[object, list[float]] = {}  # tokens left, time of their last update

    def seal(self, body: bytes) -> bytes:
        self.counter += 1
        data = self.header + self.counter.to_bytes(8, "big") + body
        return data + blake2b(data, key=self.key, digest_size=MAC_BYTES).digest()

    def open(self, data: bytes, source: object, now: float) -> bytes:
        """Return the message in a datagram; raises Dropped."""
        if not MIN_BYTES <= len(data) <= MAX_BYTES or data[:8] != self.tag:
            raise Dropped(DropReason.FOREIGN)
        if not self._take_token(source, now):
            raise Dropped(DropReason.FLOODED)
        mac = blake2b(data[:-MAC_BYTES], key=self.key, digest_size=MAC_BYTES).digest()
        if not compare_digest(mac, data[-MAC_BYTES:]):
            raise Dropped(DropReason.FORGED)
        if not self._is_new(data[8:16], int.from_bytes(data[16:24], "big")):
            raise Dropped(DropReason.REPEATED)
        return data[HEADER_BYTES:-MAC_BYTES]

    def _take_token(self, source: object, now: float) -> bool:
        """Whether one more datagram of this source may be checked; takes a token from its bucket."""
        budget = self.sources.get(source)
        if budget is None:
            if len(self.sources) >= MAX_SOURCES:
                del self.sources[next(iter(self.sources))]
            budget = self.sources[source] = [CHECK_BURST, now]
        budget[0] = min(CHECK_BURST, budget[0] + (now - budget[1]) * CHECKS_PER_S)
        budget[1] = now
        if budget[0] < 1.0:
            return False
        budget[0] -= 1.0
        return True

    def _is_new(self, process: bytes, counter: int) -> bool:
        window = self.windows.get(process)
        if window is None:
            if len(self.windows) >= MAX_PROCESSES:
                del self.windows[next(iter(self.windows))]
            window = self.windows[process] = CounterWindow()
        return window.add(counter)


class CounterWindow:
    """Which of the last `WINDOW_SIZE` counters of one process have been received."""

    __slots__ = ("bits", "highest")

    def __init__(self) -> None:
        self.highest = -1
        self.bits = 0  # bit n is set if `highest` - n has been received

    def add(self, counter: int) -> bool:
        """Record a counter; false if it was received before or is older than the window."""
        ahead = counter - self.highest
        if ahead > 0:
            self.bits = (self.bits << min(ahead, WINDOW_SIZE) | 1) & ((1 << WINDOW_SIZE) - 1)
            self.highest = counter
            return True
        if -ahead >= WINDOW_SIZE or self.bits >> -ahead & 1:
            return False
        self.bits |= 1 << -ahead
        return True
