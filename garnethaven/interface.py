"""The interface of the decision module: its settings, input events and output actions.

All times are whole nanoseconds on one monotonic clock of arbitrary origin.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Idempotency(Enum):
    """How often a request of a class may run."""

    RETRYABLE = "retryable"  # may run any number of times
    DEDUP = "dedup"  # a group of endpoints (DedupScope) deduplicates it within a window
    FRAGILE = "fragile"  # must not run twice


class DedupScope(Enum):
    """Which endpoints share the deduplication of a DEDUP class: all, or those of one zone or cell."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class State(Enum):
    """The state of an endpoint in the list."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "removed"


class ListKind(Enum):
    """What a membership event carries."""

    DELTA = "delta"  # only the changed entries
    FULL = "full"  # the complete list
    PERSISTED = "persisted"  # the complete list as an earlier process stored it; may be stale
    FAILED = "failed"  # no entries: a discovery call failed or a watch broke


class Outcome(Enum):
    """How an attempt ended."""

    DONE = "done"
    ERROR = "error"
    BUSY = "busy"  # the server rejected it for want of capacity
    TIMED_OUT = "timed out"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    SKIPPED = "skipped"  # was not sent
    STALE = "stale"  # a reused connection was reset before any answer; the request may have run
    BAD_REQUEST = "bad request"  # the endpoint rejected the request as invalid; real endpoints only


# After these outcomes the request has certainly not run.
NEVER_RAN = frozenset({Outcome.BUSY, Outcome.CONNECT_FAILED, Outcome.SKIPPED})


@dataclass(slots=True, frozen=True)
class RequestClass:
    """Settings of one request class."""

    target: int  # latency target: a later answer is late, but may still have a value (`late_value`)
    deadline: int  # time budget of a client over all its tries
    effect: Idempotency = Idempotency.RETRYABLE
    scope: DedupScope = DedupScope.ALL  # of deduplication
    dedup_window: int = 0  # time for which endpoints deduplicate a request
    value: float = 1.0  # value of an answer in time; a request of lower value is shed first
    late_value: float = 0.0  # value of a late answer; 0: a request is not served after its target


@dataclass(slots=True, frozen=True)
class Tenant:
    """What a tenant is entitled to."""

    share: float  # of all requests, 0 to 1
    allowance: float  # requests per second within its share, over all sidecars


@dataclass(slots=True, frozen=True)
class Settings:
    """Settings of an instance; they do not change while it runs."""

    request_classes: tuple[RequestClass, ...]  # by class index
    tenants: tuple[Tenant, ...] = ()  # by tenant index
    instance_index: int = 0  # instance index within the fleet; 0 may mean that none is configured
    fleet_size: int = 1
    zone: int = 0
    calls_discovery: bool = False
    discovery_call_span: int = 10_000_000_000  # time in which discovery can answer one call of every instance
    drain_grace: int = 0  # time for which new attempts may still reach an endpoint that drains
    cold_share: float = 1.0  # share of its capacity that a server has at its start
    ramp_time: int = 0  # time from a server's start until it has its full capacity
    max_cold_load_multiple: float = 3.0  # a cold server crashes above this multiple of its present capacity
    dial_timeout: int = 0
    connection_idle_timeout: int = 0  # time after which an idle connection is closed
    streams_per_conn: int = 1  # concurrent requests on one connection
    max_attempts: int = 1
    hedging: bool = False  # whether a request may have several open attempts (hedging)
    cancel: bool = False  # whether open attempts are cancelled when they are no longer needed
    probes: bool = False
    key_affinity: bool = False  # whether servers cache by request key
    over_share_value_factor: float = 1.0  # factor on the value of a request of a tenant beyond its share
    cross_zone_price: float = 0.0  # > 0: the local zone is preferred
    waste_price: float = 0.0
    probe_price: float = 0.0
    retry_after: bool = False
    max_retry_after: int = 0
    report_fields: tuple[str, ...] = ()  # names of the figures in an endpoint's load report


@dataclass(slots=True, frozen=True)
class Endpoint:
    """An entry of the endpoint list; immutable, so that parsed lists can be shared."""

    id: int
    zone: int = 0
    kind: int = 0  # kind of machine: endpoints of one kind are expected to be equally fast per unit
    cell: int = 0  # group of endpoints within which DedupScope.CELL deduplicates
    state: State = State.UP
    relative_capacity: float = 1.0  # listed capacity, relative to the other endpoints
    started: int = 0  # time of the start; 0: long ago


# Events


@dataclass(slots=True)
class Started:
    """The instance has started."""


@dataclass(slots=True)
class Membership:
    """A result of discovery: a list, a change or a failure."""

    kind: ListKind
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(slots=True, frozen=True)
class PriorAttempt:
    """An attempt that may have run before this process started; the defaults mean that no more is known."""

    endpoint: int = -1
    zone: int = -1
    cell: int = -1
    age: int = 1 << 62  # time since it was sent


@dataclass(slots=True)
class Request:
    """A client's request has arrived."""

    id: str
    class_index: int  # class index
    budget: int  # time until the client abandons this try
    tenant: int = 0
    key: str = ""  # key of the data it concerns, by which servers may cache
    is_retry: bool = False  # the client marked it as a retry
    prior: PriorAttempt | None = None
    body_incomplete: bool = (
        False  # its body is incomplete: its durations are not measured, and it may take long
    )


@dataclass(slots=True)
class StreamBegan:
    """The answer of an attempt has begun to stream to the client."""

    id: str
    attempt: int


@dataclass(slots=True)
class AttemptStalled:
    """The answer of an attempt has begun and paused; it may go on, or never end."""

    id: str
    attempt: int


@dataclass(slots=True)
class AttemptResumed:
    """The answer of a stalled attempt goes on."""

    id: str
    attempt: int


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has ended."""

    id: str
    attempt: int  # index among the request's attempts
    endpoint: int
    outcome: Outcome
    duration: int = 0
    final: bool = False  # the client has its answer
    report: tuple[float, ...] = ()  # load figures of the endpoint, in the order of `Settings.report_fields`


@dataclass(slots=True)
class ProbeEnded:
    """A probe has ended."""

    endpoint: int
    outcome: Outcome
    duration: int = 0
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class TimerFired:
    """A timer set by SetTimer has expired."""

    token: int


@dataclass(slots=True)
class ClientLeft:
    """The client has disconnected or cancelled the request."""

    id: str


@dataclass(slots=True)
class CordonChange:
    """An operator cordons or uncordons an endpoint, independently of its state in the list."""

    endpoint: int
    cordoned: bool  # True: cordon


@dataclass(slots=True, frozen=True)
class RestoredServer:
    """State of one server that an earlier process stored, aged by the time since."""

    endpoint: int
    errors: float
    log_latency_ratio: float  # natural logarithm of the ratio of its latency to its kind's
    latency_samples: float  # number of answers that the ratio still counts as


@dataclass(slots=True)
class RestoredState:
    """State that an earlier process of this instance stored, aged by the time since (state/ageing.py)."""

    servers: tuple[RestoredServer, ...] = ()
    kind_latency_ratios: dict[int, float] = field(default_factory=dict)  # latency ratio by endpoint kind
    latency_estimates: dict[int, float] = field(
        default_factory=dict
    )  # latency of good answers by class index
    hedge_tokens: float = 0.0  # hedge tokens, as stored: a restart must not refill a budget
    retry_tokens: float = 0.0  # retry tokens of the overload control, likewise
    request_interval: float = 0.0  # smoothed time between two requests; 0: unknown


@dataclass(slots=True)
class ProcessResumed:
    """The process was suspended and has resumed with its earlier state."""


Event = (
    Started
    | Membership
    | RestoredState
    | ProcessResumed
    | Request
    | StreamBegan
    | AttemptStalled
    | AttemptResumed
    | AttemptEnded
    | ProbeEnded
    | TimerFired
    | ClientLeft
    | CordonChange
)


# Actions


@dataclass(slots=True)
class Send:
    """Start an attempt."""

    id: str
    endpoint: int
    timeout: int = 0  # timeout of this attempt and of earlier open ones; 0: the client's time budget only


@dataclass(slots=True)
class Refuse:
    """Final: the request is refused, and a retry is harmless."""

    id: str
    retry_after: int = 0  # delay after which the client should retry; 0: not stated
    over_share: bool = False  # refused before others because its tenant exceeds its share


@dataclass(slots=True)
class Fail:
    """Final: the request failed, and may or may not have taken effect."""

    id: str


@dataclass(slots=True)
class Cancel:
    """Cancel an open attempt."""

    id: str
    attempt: int


@dataclass(slots=True)
class Probe:
    """Probe an endpoint."""

    endpoint: int


@dataclass(slots=True)
class SetTimer:
    """Send TimerFired with this token after `delay`."""

    token: int
    delay: int


@dataclass(slots=True)
class Watch:
    """Subscribe to list changes."""


@dataclass(slots=True)
class CloseIdle:
    """Close an idle connection to the endpoint."""

    endpoint: int


@dataclass(slots=True)
class LogMessage:
    """Log a message."""

    text: str


Action = Send | Refuse | Fail | Cancel | Probe | SetTimer | Watch | CloseIdle | LogMessage
