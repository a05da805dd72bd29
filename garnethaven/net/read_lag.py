"""How far reading from a client lags behind its writing, and when it may have written a byte still unread.

A request's time counts from when its client wrote the last byte, into its kernel's send buffer. Here that
byte is read later wherever reading pauses: while a server takes no more of the body, or while the connection
waits for its turn (costly_reads.py). It is also read later where this process was held up, or the connection
waited to be accepted. Samples of what the client has written meanwhile bound when it wrote any of it. A
client of this machine is asked for by its socket (peer_send_queue.py); of another one it is known only that
its kernel holds a limited number of bytes.
"""

from __future__ import annotations

import functools
import socket
from dataclasses import dataclass
from pathlib import Path

from garnethaven.net.flow import RECEIVE_BUFFER_BYTES
from garnethaven.net.peer_send_queue import PEER_SEND_QUEUE
from garnethaven.net.presence import has_unread, late_arrival, unread_bytes

SEND_BUFFER_LIMITS = Path("/proc/sys/net/ipv4/tcp_wmem")  # of a socket in bytes: least, initial, most
DEFAULT_MAX_SEND_BUFFER_BYTES = 4 * 1024 * 1024  # Linux's own default
# What this side's receive buffer and the segments in flight hold beyond a client's send buffer.
RECEIVE_SIDE_BYTES = 4 * RECEIVE_BUFFER_BYTES
SAMPLE_INTERVAL_NS = 50_000_000


@functools.cache
def max_unread_bytes() -> int:
    """The most bytes that a client of this machine may have written and this process has not read."""
    try:
        send_buffer = int(SEND_BUFFER_LIMITS.read_text().split()[2])
    except (OSError, ValueError, IndexError):
        send_buffer = DEFAULT_MAX_SEND_BUFFER_BYTES
    return send_buffer + RECEIVE_SIDE_BYTES


@dataclass(slots=True, frozen=True)
class Sample:
    """What the client had written at a time (monotonic nanoseconds), in bytes from the connection's start."""

    time: int
    max_written: int  # no more than that
    min_written: int  # at least that


class ReadLag:
    """The lag of one connection's reading; times are monotonic nanoseconds."""

    __slots__ = ("empty_since", "paused", "read_bytes", "samples", "sock")

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.read_bytes = 0
        self.paused = False
        self.empty_since: int | None = None  # None: something was unread at the last look
        # Since something may be unread, oldest first; empty: nothing is. No deque: an empty one takes 0.7 KB.
        self.samples: list[Sample] = []

    def reading_paused(self, now: int) -> None:
        """From now on the client may write what is not read."""
        self.paused = True
        self.empty_since = None if self._is_behind() else now
        self._add_sample(now)

    def reading_resumed(self) -> None:
        self.paused = False

    def read_late(self, now: int) -> None:
        """Bytes were just read that may have waited here: their client wrote them before they arrived."""
        arrived_at = late_arrival(self.sock, now)
        if arrived_at is not None and not self.samples:
            self._add_sample(arrived_at)

    def restart(self, now: int) -> None:
        """What is unread belongs to something that was written from now on."""
        self.samples.clear()
        if self.paused:
            self._add_sample(now)

    def update(self, now: int) -> None:
        """Find out whether something is still unread."""
        is_behind = self._may_be_behind(now)
        if not is_behind:
            self.samples.clear()
        if is_behind or self.paused:
            self._add_sample(now)

    def _may_be_behind(self, now: int) -> bool:
        """Whether the client may have written something before `now` that is not read."""
        queued = PEER_SEND_QUEUE.bytes_queued(self.sock)
        if queued or has_unread(self.sock):
            self.empty_since = None
            return True
        if queued is not None:
            return False
        # A kernel that can't be asked may have learned only now that there is space here for the rest.
        if self.empty_since is None:
            self.empty_since = now
        return now - self.empty_since < SAMPLE_INTERVAL_NS

    def _is_behind(self) -> bool:
        """Whether something is known to be unread, in this side's kernel or in the client's."""
        # In the order in which bytes move: none are missed between the two.
        return bool(PEER_SEND_QUEUE.bytes_queued(self.sock)) or has_unread(self.sock)

    def unread_bytes(self) -> int:
        """The bytes that the client has written and this process has not read; an upper bound."""
        queued = PEER_SEND_QUEUE.bytes_queued(self.sock)
        return max_unread_bytes() if queued is None else unread_bytes(self.sock) + queued

    def _add_sample(self, now: int) -> None:
        samples = self.samples
        if samples and now - samples[-1].time < SAMPLE_INTERVAL_NS:
            return
        queued = PEER_SEND_QUEUE.bytes_queued(self.sock)
        unread = unread_bytes(self.sock)
        # Bytes that were received and not yet acknowledged are in both queues.
        min_written = self.read_bytes + max(unread, queued or 0)
        max_written = self.read_bytes + (max_unread_bytes() if queued is None else unread + queued)
        if len(samples) > 1 and samples[-2].max_written == samples[-1].max_written == max_written:
            samples.pop()  # of equal samples the first and the last are kept
        samples.append(Sample(now, max_written, min_written))
        while len(samples) > 1 and samples[1].max_written < self.read_bytes:
            del samples[0]

    def written_since(self, missing_bytes: int | None) -> int | None:
        """The earliest time at which the client can have written the last byte, which has not been read.

        `missing_bytes` are those before and with the last byte that have not been read; None: not known. None
        if the client has certainly not written it.
        """
        if not self.samples or not self._is_behind():
            return None
        if missing_bytes is not None:
            return self._earliest(self.read_bytes + missing_bytes)
        unread = max(1, min(unread_bytes(self.sock), max_unread_bytes()))
        return self._earliest(max(self.read_bytes + unread, self.samples[-1].min_written))

    def read_bytes_written_since(self) -> int | None:
        """The earliest time at which the client can have written the last byte that was read; None: now."""
        return self._earliest(self.read_bytes)

    def _earliest(self, total_bytes: int) -> int | None:
        """The earliest time at which the client can have written so many bytes; None: never up to now."""
        previous: Sample | None = None
        for sample in self.samples:
            if sample.max_written >= total_bytes:
                return (previous or sample).time
            previous = sample
        return None
