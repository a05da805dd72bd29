"""Descriptors and memory as budgets, in one place.

Descriptors. The platform gives a process so many, for everything. `SPARE` of them are for what nobody asks
for: the loop's own, discovery's, the listeners, the standard three, connections that are taken only to be
refused, and those that are just being closed. The rest is shared by clients and endpoints: each side is sure
of `SURE_PART` of it, and clients may have what endpoints leave. Endpoints never get more than
`ENDPOINTS_MOST`: with more, a sidecar dials where it would have waited, and each new connection costs its
server work. So a burst of dials to endpoints that stall can't shut clients out, nor can a crowd of clients
keep requests from being sent on. What one side has taken it keeps until it closes it: the other side's limit
shrinks by that, never below what is sure.

Memory. An answer of the ordinary size is held whole, so that a spoilt one can be tried again; a longer one
flows (net/flow.py). Those that can't flow, as an answer that is no 200, are held too, and many of them at
once are more than a small process has: beyond `ANSWERS_PART` of the memory the larger ones break off as
spoilt ones do. A body or an answer that flows takes its most from the same budget; where that is used up,
a request whose body is long is refused at once, and trying again is harmless.

A list of servers is held whole until it is read: one of up to `LIST_PART` of the memory, or `MIN_LIST_BYTES`
where that is more. A list and what is made of it take some 20 bytes for each of its own, so that one at the
bound fits from 64 MB on; docs/design/sizes.md has the figures.

While a new version starts beside the old one, both have half of either. `SPARE` is for both together: neither
has that many things that nobody asks for.
"""

from __future__ import annotations

SPARE = 64
SURE_PART = 0.35
ENDPOINTS_MOST = 0.5
LEAST = 8  # connections that each side is sure of, however few descriptors there are
ANSWERS_PART = 0.25
ORDINARY_ANSWER = 64 * 1024
MB = 1024 * 1024
LIST_PART = 1 / 32
MIN_LIST_BYTES = 2 * MB


class Descriptors:
    """How many connections clients and endpoints may hold; counts, `total` being the process's limit."""

    def __init__(self, total: int) -> None:
        self.total = total
        self.share(1)

    def share(self, processes: int) -> None:
        """So many processes of one sidecar share what the platform gives."""
        self.shared = max(2 * LEAST, (self.total - SPARE) // processes)
        self.sure = max(LEAST, int(self.shared * SURE_PART))

    def clients(self, endpoints_held: int) -> int:
        """The most client connections while endpoints hold so many."""
        return self._rest(endpoints_held)

    def endpoints(self, clients_held: int) -> int:
        """The most connections to endpoints while clients hold so many."""
        return min(max(LEAST, int(self.shared * ENDPOINTS_MOST)), self._rest(clients_held))

    def _rest(self, held: int) -> int:
        return max(self.sure, self.shared - max(self.sure, held))


def max_list_bytes(memory_mb: int) -> int:
    """The longest list of servers that is taken, in bytes of JSON; `memory_mb` is the process's limit."""
    return max(MIN_LIST_BYTES, int(memory_mb * MB * LIST_PART))


class AnswerMemory:
    """What answers may take up together, in bytes; `memory_mb` is the process's limit."""

    def __init__(self, memory_mb: int) -> None:
        self.memory_mb = memory_mb
        self.held = 0
        self.share(1)

    def share(self, processes: int) -> None:
        """So many processes of one sidecar share what the platform gives."""
        self.most = int(self.memory_mb * MB * ANSWERS_PART) // processes

    def grows(self, size: int) -> None:
        self.held += size

    def shrinks(self, size: int) -> None:
        self.held -= size

    def full(self) -> bool:
        """Whether nothing more may begin that holds a part of it; long bodies are refused then."""
        return self.held > self.most

    def too_much(self, size: int) -> bool:
        """Whether an answer that has grown to this size may not be held any longer."""
        return self.held > self.most and size > ORDINARY_ANSWER
