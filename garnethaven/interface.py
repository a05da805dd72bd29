"""The language of the decision module: settings, events that go in, actions that come out.

All times are whole nanoseconds on one monotonic clock of arbitrary origin.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """What a class of requests tolerates."""

    RETRYABLE = "retryable"  # may run any number of times
    DEDUP = "dedup"  # a group of endpoints drops repeats for a while
    FRAGILE = "fragile"  # must never run twice


class Scope(Enum):
    """Which endpoints drop the repeats of a dedup class."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class State(Enum):
    UP = "up"
    DRAINING = "draining"
    REMOVED = "removed"


class ListKind(Enum):
    DELTA = "delta"  # only what changed
    FULL = "full"  # the complete list
    PERSISTED = "persisted"  # the complete list as an earlier life knew it; may be stale
    FAILED = "failed"  # a discovery call failed or a subscription broke


class Outcome(Enum):
    DONE = "done"
    ERROR = "error"
    BUSY = "busy"
    TIMED_OUT = "timed out"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    SKIPPED = "skipped"
    STALE = "stale"  # a reset of a kept connection before any answer: it may have run all the same
    BAD_REQUEST = "bad request"  # the endpoint finds fault with the request; only real ones say so


NEVER_RAN = frozenset({Outcome.BUSY, Outcome.CONNECT_FAILED, Outcome.SKIPPED})


@dataclass(slots=True, frozen=True)
class Grade:
    """One class of requests."""

    aim: int
    deadline: int
    effect: Effect = Effect.RETRYABLE
    scope: Scope = Scope.ALL
    window: int = 0
    worth: float = 1.0
    late_value: float = 0.0


@dataclass(slots=True, frozen=True)
class Tenant:
    share: float
    allowance: float  # requests per second within its share, over all sidecars


@dataclass(slots=True, frozen=True)
class Settings:
    """What an instance is told at its start."""

    grades: tuple[Grade, ...]
    tenants: tuple[Tenant, ...] = ()
    slot: int = 0
    fleet_size: int = 1
    zone: int = 0
    ask_discovery: bool = False
    ask_within: int = 10_000_000_000
    drain_grace: int = 0
    cold_share: float = 1.0
    ramp_time: int = 0
    fall_multiple: float = 3.0  # of its present capacity: a cold server that is sent more falls over
    dial_timeout: int = 0
    conn_idle: int = 0
    streams_per_conn: int = 1
    max_attempts: int = 1
    second_copies: bool = False
    cancel: bool = False
    probes: bool = False
    warm_keys: bool = False
    over_share_worth: float = 1.0
    cross_zone_price: float = 0.0
    waste_price: float = 0.0
    probe_price: float = 0.0
    retry_after: bool = False
    max_retry_after: int = 0
    report_fields: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class Endpoint:
    """A line of the endpoint list; immutable, so that parsed lists can be shared."""

    id: int
    zone: int = 0
    kind: int = 0
    cell: int = 0
    state: State = State.UP
    units: float = 1.0
    started: int = 0  # 0: long ago


# Events


@dataclass(slots=True)
class Started:
    """The instance begins."""


@dataclass(slots=True)
class Membership:
    kind: ListKind
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(slots=True, frozen=True)
class Prior:
    """An attempt that may have run before this life of the sidecar; without fields nothing is known of it."""

    endpoint: int = -1
    zone: int = -1
    cell: int = -1
    age: int = 1 << 62  # since it was sent


@dataclass(slots=True)
class Request:
    id: str
    grade: int
    budget: int  # time until the client gives this try up
    tenant: int = 0
    key: str = ""
    repeat: bool = False
    prior: Prior | None = None
    coming: bool = False  # its last byte is not here yet: no time of it counts, and it may last


@dataclass(slots=True)
class StreamBegan:
    id: str
    attempt: int


@dataclass(slots=True)
class AttemptEnded:
    id: str
    attempt: int
    endpoint: int
    outcome: Outcome
    duration: int = 0
    final: bool = False  # the client has its answer
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class ProbeEnded:
    endpoint: int
    outcome: Outcome
    duration: int = 0
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class TimerFired:
    token: int


@dataclass(slots=True)
class ClientLeft:
    id: str


@dataclass(slots=True)
class ByHand:
    """An operator takes an endpoint out, whatever the list says of it, or puts it back."""

    endpoint: int
    out: bool


@dataclass(slots=True, frozen=True)
class Learned:
    """What an earlier life knew of one server, as far as it is still worth anything."""

    endpoint: int
    errors: float
    pace: float  # logarithm of its time as a multiple of its kind's
    paces: float  # answers that it counts as


@dataclass(slots=True)
class Recalled:
    """What an earlier life of this instance had learned, aged by the time since (state/ageing.py)."""

    servers: tuple[Learned, ...] = ()
    kinds: dict[int, float] = field(default_factory=dict)  # pace by kind
    usual: dict[int, float] = field(default_factory=dict)  # time of a good answer by class
    copies: float = 0.0  # budgets as they were: a restart refills none
    retries: float = 0.0
    gap: float = 0.0  # between two requests, in nanoseconds; 0: not known


@dataclass(slots=True)
class Woke:
    """The process stood still, and goes on with what it knew before."""


Event = (
    Started
    | Membership
    | Recalled
    | Woke
    | Request
    | StreamBegan
    | AttemptEnded
    | ProbeEnded
    | TimerFired
    | ClientLeft
    | ByHand
)


# Actions


@dataclass(slots=True)
class Send:
    id: str
    endpoint: int
    limit: int = 0  # time-out of the attempt, and of those still out before it; 0: until the client gives up


@dataclass(slots=True)
class Refuse:
    """Final: trying again is harmless."""

    id: str
    retry_after: int = 0
    over_share: bool = False  # turned away first because its tenant sends more than its share


@dataclass(slots=True)
class Fail:
    """Final: nothing is promised of the effect."""

    id: str


@dataclass(slots=True)
class Cancel:
    id: str
    attempt: int


@dataclass(slots=True)
class Probe:
    endpoint: int


@dataclass(slots=True)
class SetTimer:
    token: int
    delay: int


@dataclass(slots=True)
class Watch:
    """Subscribe to list changes."""


@dataclass(slots=True)
class CloseIdle:
    endpoint: int


@dataclass(slots=True)
class Note:
    text: str


Action = Send | Refuse | Fail | Cancel | Probe | SetTimer | Watch | CloseIdle | Note
