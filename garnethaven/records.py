"""State that the decision module keeps of servers, requests and attempts."""

from __future__ import annotations

from zlib import crc32

from garnethaven.interface import Endpoint, Request, RequestClass
from garnethaven.weighted_round_robin import WeightedRoundRobin

# Deadline of a request whose body is still being received, in nanoseconds; the reader of the body applies
# much tighter limits.
MAX_BODY_RECEIVE_NS = 900_000_000_000


class Server:
    """State of one endpoint, as this instance has observed it since the endpoint's start."""

    __slots__ = (
        "capacity",
        "cell",
        "current_weight",
        "entry",
        "errors",
        "errors_updated_at",
        "health",
        "id",
        "id_hash",
        "in_rotation",
        "kind",
        "latency_samples",
        "log_latency_ratio",
        "relative_capacity",
        "started",
        "state",
        "weight",
        "zone",
    )

    def __init__(self, entry: Endpoint) -> None:
        self.id = entry.id
        self.id_hash = crc32(b"%d" % entry.id)  # the same at every sidecar, for key affinity
        self.errors = 0.0  # consecutive errors, as decayed at `errors_updated_at`
        self.errors_updated_at = 0
        self.health = 1.0  # factor on the weight, lowered by errors
        self.weight = 0.0  # share of all picks, normalised over the pool
        self.current_weight = 0.0  # of smooth weighted round-robin: rounds that it is ahead of its turn
        self.in_rotation = False  # False until its first turn
        self.capacity = 0.0  # listed units divided by the latency ratios of its kind and of the server
        self.log_latency_ratio = 0.0  # natural logarithm of the ratio of its latency to its kind's
        self.latency_samples = 0.0  # number of answers behind that ratio, capped at the smoothing window
        self.update(entry)

    def update(self, entry: Endpoint) -> None:
        self.entry = entry
        self.zone = entry.zone
        self.cell = entry.cell
        self.kind = entry.kind
        self.relative_capacity = max(entry.relative_capacity, 1e-6)
        self.state = entry.state
        self.started = entry.started


class Attempt:
    """One attempt of a request at a server."""

    __slots__ = ("counted_as_slow", "may_have_run", "open", "sent_at", "server", "stalled")

    def __init__(self, server: Server, now: int) -> None:
        self.server = server
        self.sent_at = now
        self.open = True  # no outcome yet
        self.counted_as_slow = False  # already counted as an error of the server
        self.may_have_run = True  # until an outcome proves otherwise
        self.stalled = False  # its answer has begun and pauses


class PendingRequest:
    """A request that has no final answer yet."""

    __slots__ = (
        "attempts",
        "body_incomplete",
        "class_index",
        "deadline",
        "id",
        "key",
        "lateness_recorded",
        "over_share",
        "request_class",
        "streaming",
        "target_at",
        "tenant",
    )

    def __init__(self, request: Request, request_class: RequestClass, now: int, elapsed: int) -> None:
        self.id = request.id
        self.request_class = request_class
        self.class_index = request.class_index
        self.deadline = now + request.budget
        # An answer after this time is late. The client measures from its first try, `elapsed` ago.
        self.target_at = now + request_class.target - elapsed
        if not request_class.late_value:
            self.deadline = min(self.deadline, self.target_at)  # a late answer would only waste capacity
        self.key = request.key
        self.tenant = request.tenant
        self.attempts: list[Attempt] = []
        self.over_share = False  # refused, and its tenant exceeds its share
        # Reported as in time or late. A retry is not reported: its lateness says little of the servers.
        self.lateness_recorded = elapsed > 0
        self.streaming = False  # a stream has begun: no other attempt may answer
        # The request body is incomplete: the duration depends on the client, not on the servers.
        self.body_incomplete = request.body_incomplete
        if request.body_incomplete:
            self.target_at = self.deadline = now + MAX_BODY_RECEIVE_NS
            self.lateness_recorded = True


class LargePool:
    """Round-robin tree of a large pool and the servers at its leaves; empty while the pool is small."""

    __slots__ = (
        "changed",
        "free_leaves",
        "leaf_by_id",
        "refresh_at",
        "scheduler",
        "servers_by_leaf",
        "time_varying",
    )

    def __init__(self) -> None:
        self.scheduler: WeightedRoundRobin | None = None
        self.servers_by_leaf: list[Server | None] = []
        self.leaf_by_id: dict[int, int] = {}
        self.free_leaves: list[int] = []
        self.changed: dict[int, Server] = {}  # servers whose weight has to be recomputed before the next pick
        self.time_varying: dict[int, Server] = {}  # cold servers and those with errors, by endpoint id
        self.refresh_at = 0  # when the weights of `time_varying` are recomputed next
