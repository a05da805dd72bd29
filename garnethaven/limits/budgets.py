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

Memory. An answer of ordinary size is buffered completely, so that the request can be retried if the answer
turns out to be invalid; a longer one is streamed (net/flow.py). Answers that can't be streamed, such as those
with a status other than 200, are buffered too. Many of them at once can exceed the memory of a small process,
so once the buffers are over their share of it, larger answers are aborted like invalid ones. A streamed body
or answer reserves its maximum from the same budget; when the budget is used up, a request with a long body is
refused at once, which is safe to retry.

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
ANSWER_MEMORY_SHARE = 0.25  # of the memory, for buffered answers
MAX_PROTECTED_ANSWER_BYTES = 64 * 1024  # a smaller answer is never aborted for lack of memory
MB = 1024 * 1024
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


class AnswerMemory:
    """Memory of all buffered answers, in bytes; `memory_mb` is the process's memory limit."""

    def __init__(self, memory_mb: int) -> None:
        self.memory_mb = memory_mb
        self.used_bytes = 0
        self.share(1)

    def share(self, processes: int) -> None:
        """Divide the budget among the processes of one sidecar."""
        self.max_bytes = int(self.memory_mb * MB * ANSWER_MEMORY_SHARE) // processes

    def reserve(self, size: int) -> None:
        self.used_bytes += size

    def release(self, size: int) -> None:
        self.used_bytes -= size

    def is_full(self) -> bool:
        """Whether the budget is used up, so that long request bodies are refused."""
        return self.used_bytes > self.max_bytes

    def must_abort(self, size: int) -> bool:
        """Whether an answer that has grown to `size` bytes must be aborted."""
        return self.used_bytes > self.max_bytes and size > MAX_PROTECTED_ANSWER_BYTES
