"""What the decision module remembers of servers, requests and attempts; it decides nothing itself."""

from __future__ import annotations

from zlib import crc32

from garnethaven.interface import Endpoint, Grade, Request
from garnethaven.turns import Turns

COMING_MOST = 900_000_000_000  # for a request to be whole; who reads it bounds that far closer


class Server:
    """What this instance knows of one endpoint."""

    __slots__ = (
        "cell",
        "entry",
        "error_at",
        "errors",
        "health",
        "id",
        "kind",
        "mark",
        "pace",
        "paces",
        "seated",
        "size",
        "started",
        "state",
        "tally",
        "units",
        "weight",
        "zone",
    )

    def __init__(self, entry: Endpoint) -> None:
        self.id = entry.id
        self.mark = crc32(b"%d" % entry.id)  # the same at every sidecar, for placing keys
        self.errors = 0.0
        self.error_at = 0
        self.health = 1.0
        self.weight = 0.0
        self.tally = 0.0
        self.seated = False
        self.size = 0.0
        self.pace = 0.0  # logarithm of its time as a multiple of its kind's
        self.paces = 0.0  # answers that it was learned from
        self.update(entry)

    def update(self, entry: Endpoint) -> None:
        self.entry = entry
        self.zone = entry.zone
        self.cell = entry.cell
        self.kind = entry.kind
        self.units = max(entry.units, 1e-6)
        self.state = entry.state
        self.started = entry.started


class Attempt:
    __slots__ = ("blamed", "may_have_run", "open", "sent_at", "server")

    def __init__(self, server: Server, now: int) -> None:
        self.server = server
        self.sent_at = now
        self.open = True
        self.blamed = False  # its slowness has been counted
        self.may_have_run = True  # until an outcome proves otherwise


class PendingRequest:
    """A request that still owes its client an answer."""

    __slots__ = (
        "aim_at",
        "attempts",
        "bound",
        "coming",
        "deadline",
        "grade",
        "grade_index",
        "id",
        "judged",
        "key",
        "over_share",
        "tenant",
    )

    def __init__(self, request: Request, grade: Grade, now: int, elapsed: int) -> None:
        self.id = request.id
        self.grade = grade
        self.grade_index = request.grade
        self.deadline = now + request.budget
        self.aim_at = now + grade.aim - elapsed  # the client's clock began with its first try
        if not grade.late_value:
            self.deadline = min(self.deadline, self.aim_at)  # later answers only take others' room
        self.key = request.key
        self.tenant = request.tenant
        self.attempts: list[Attempt] = []
        self.over_share = False  # turned away, and its tenant sends more than its share
        self.judged = elapsed > 0  # counted as in time or late; a later try says little of the servers
        self.bound = False  # a stream has begun: the attempt is the client's
        self.coming = request.coming  # its body takes its time: that tells nothing of the servers
        if request.coming:
            self.aim_at = self.deadline = now + COMING_MOST
            self.judged = True


class Many:
    """The seats of many servers, where their turns are a tree's; empty while there are few."""

    __slots__ = ("by_seat", "free", "look_at", "moving", "seats", "touched", "turns")

    def __init__(self) -> None:
        self.turns: Turns | None = None
        self.by_seat: list[Server | None] = []
        self.seats: dict[int, int] = {}
        self.free: list[int] = []
        self.touched: dict[int, Server] = {}  # whose weight is to be made anew
        self.moving: dict[int, Server] = {}  # whose weight changes by itself: cold ones and those with errors
        self.look_at = 0  # when the moving ones are looked at
