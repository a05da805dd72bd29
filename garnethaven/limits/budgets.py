"""Budgets of descriptors and memory.

Descriptors. The platform limits the descriptors of a process. A fixed number of them is reserved for what is
neither a client nor an endpoint connection: the event loop, discovery, the listeners, the three standard
streams, connections that are accepted only to be refused, and those that are being closed. Clients and
endpoints share the rest. Each side is guaranteed `GUARANTEED_SHARE` of it, and clients may use what endpoints
leave. Endpoints never get more than `MAX_ENDPOINTS_SHARE`: with more, a sidecar dials where it would have
waited, and each new connection costs its server work. So a burst of dials to stalled endpoints can't shut
clients out, and a crowd of clients can't keep requests from being sent. A side keeps the connections it has
until it closes them: the limit of the other side shrinks by their number, but never below its guaranteed
share.

Memory. One account holds what all HTTP/1.1 connections buffer, towards clients and towards endpoints, in
bytes of real memory: incomplete requests, requests in progress, answers until they are complete, and what a
peer has not read yet. Its limit is what the memory leaves beside the program, its endpoint list and the
connections' own objects. While the account is full:

| what a connection buffers | what happens |
| --- | --- |
| up to `PROTECTED_BYTES` | it goes on, so that ordinary short requests are served |
| a longer request, incomplete or not yet sent on | it is refused with 503, which is safe to retry |
| a long body that is being sent on | it is not kept for a retry, and read as fast as the endpoint takes it |
| a longer answer that can be streamed | it is streamed, and read as fast as the client takes it |
| another longer answer | it is aborted like an invalid one |

A long body is also read ahead of a server that takes it slowly, to learn when its client has written all of
it. That takes `READ_AHEAD_SHARE` of the account at most, so it never fills it.

Reads are small meanwhile (net/read_buffer.py), so the account is exceeded by the protected bytes of each
connection at most.

Server lists. A list is buffered completely before it is parsed. Its length is limited to `LIST_MEMORY_SHARE`
of the memory, or to `MIN_LIST_BYTES` if that is more. A list and the objects made from it take about 20 bytes
per byte of JSON, so that a list at the limit fits from 64 MB on; docs/design/sizes.md has the figures.

While a new version starts beside the old one, each has half of both budgets. The reserve is shared by the
two, because they don't need it twice.
"""

from __future__ import annotations

RESERVED_DESCRIPTORS = 64  # descriptors reserved for other uses than client and endpoint connections
GUARANTEED_SHARE = 0.35  # of the available descriptors, for each side
MAX_ENDPOINTS_SHARE = 0.5  # of the available descriptors
MIN_CONNECTIONS_PER_SIDE = 8  # connections guaranteed to each side, however few descriptors there are
MB = 1024 * 1024
MAX_BUFFER_SHARE = 0.25  # of the memory, for what connections buffer
RESERVED_MEMORY_BYTES = 31 * MB  # for the program, its endpoint list and the connections' own objects
ALLOCATOR_SHARE = 0.7  # of the rest that is used for buffers; the allocator's fragments take some more
MIN_BUFFER_BYTES = MB // 2
READ_AHEAD_SHARE = 0.5  # of the account, for all bodies that are read ahead
MAX_READ_AHEAD_SHARE = 0.25  # of the account, for one of them
PROTECTED_BYTES = 4 * 1024  # what each connection may buffer, however full the account is
LIST_MEMORY_SHARE = 1 / 32  # of the memory, for the JSON text of a server list
MIN_LIST_BYTES = 2 * MB


class DescriptorBudget:
    """Limits of client and endpoint connections; `total` is the descriptor limit of the process."""

    def __init__(self, total: int) -> None:
        self.total = total
        self.share(1)

    def share(self, processes: int) -> None:
        """Divide the budget among the processes of one sidecar."""
        self.available = max(2 * MIN_CONNECTIONS_PER_SIDE, (self.total - RESERVED_DESCRIPTORS) // processes)
        self.guaranteed = max(MIN_CONNECTIONS_PER_SIDE, int(self.available * GUARANTEED_SHARE))

    def max_clients(self, endpoint_connections: int) -> int:
        """The largest number of client connections beside so many endpoint connections."""
        return self._limit_beside(endpoint_connections)

    def max_endpoints(self, client_connections: int) -> int:
        """The largest number of endpoint connections beside so many client connections."""
        return min(
            max(MIN_CONNECTIONS_PER_SIDE, int(self.available * MAX_ENDPOINTS_SHARE)),
            self._limit_beside(client_connections),
        )

    def _limit_beside(self, used_by_other_side: int) -> int:
        return max(self.guaranteed, self.available - max(self.guaranteed, used_by_other_side))


def max_list_bytes(memory_mb: int) -> int:
    """The largest server list that is accepted, in bytes of JSON; `memory_mb` is the process's limit."""
    return max(MIN_LIST_BYTES, int(memory_mb * MB * LIST_MEMORY_SHARE))


class BufferMemory:
    """Account of the bytes that all connections buffer; `memory_mb` is the process's memory limit."""

    def __init__(self, memory_mb: int) -> None:
        available = int((memory_mb * MB - RESERVED_MEMORY_BYTES) * ALLOCATOR_SHARE)
        self.total_bytes = max(MIN_BUFFER_BYTES, min(int(memory_mb * MB * MAX_BUFFER_SHARE), available))
        self.used_bytes = 0
        self.share(1)

    @classmethod
    def of_size(cls, total_bytes: int) -> BufferMemory:
        """An account with a limit of its own."""
        memory = cls(0)
        memory.total_bytes = total_bytes
        memory.share(1)
        return memory

    def share(self, processes: int) -> None:
        """Divide the limit among the processes of one sidecar."""
        self.max_bytes = self.total_bytes // processes

    def reserve(self, size: int) -> None:
        self.used_bytes += size

    def release(self, size: int) -> None:
        self.used_bytes -= size

    def is_full(self) -> bool:
        return self.used_bytes > self.max_bytes

    def read_ahead_bytes(self, size: int) -> int:
        """How many bytes a connection that buffers `size` may buffer to read a body ahead of its server."""
        left = int(self.max_bytes * READ_AHEAD_SHARE) - (self.used_bytes - size)
        return max(0, min(left, int(self.max_bytes * MAX_READ_AHEAD_SHARE)))

    def has_room_to_read_ahead(self) -> bool:
        """Whether bodies may be read ahead of their servers any further."""
        return self.used_bytes < self.max_bytes * READ_AHEAD_SHARE

    def is_too_much(self, size: int) -> bool:
        """Whether a connection that buffers `size` bytes must give some of them up."""
        return size > PROTECTED_BYTES and self.used_bytes > self.max_bytes


class Reservation:
    """What one connection has reserved from the account, in bytes."""

    __slots__ = ("memory", "size")

    def __init__(self, memory: BufferMemory) -> None:
        self.memory = memory
        self.size = 0

    def resize(self, size: int) -> None:
        """Reserve `size` bytes in place of those reserved before."""
        self.memory.used_bytes += size - self.size
        self.size = size

    def is_too_much(self) -> bool:
        """Whether the connection must give some of its buffered bytes up."""
        return self.memory.is_too_much(self.size)
