"""Maps gRPC statuses to outcomes for the engine, and the engine's decisions to gRPC statuses. No I/O.

A server's answer:

| answer | outcome | may have run | client receives |
| --- | --- | --- | --- |
| `grpc-status` 0 | done | | the answer |
| a status set by the application (`APPLICATION_STATUSES`) | done | | the answer |
| 8, 14 with `x-rejected: 1` | busy | no | the engine decides |
| 4 | timed out | yes | the engine decides |
| 2, 8, 13, 14, 15, or none | error | yes | the engine decides |
| only an HTTP status other than 200 | mapped by gRPC's published table | as that status | as that status |
| RST_STREAM REFUSED_STREAM, or a stream id above GOAWAY's | skipped | no | the engine decides |
| any other RST_STREAM, or the connection's end | reset | yes, if its headers were sent | the engine decides |

An answer to a client:

| decision | `grpc-status` |
| --- | --- |
| refused | 14 UNAVAILABLE, or 8 for a tenant over its share, with `grpc-retry-pushback-ms` |
| failed, deadline exceeded | 4 DEADLINE_EXCEEDED |
| failed | the server's last answer if clients do not retry its status, else 13 |

Only refusals carry a status that clients retry by default.
"""

from __future__ import annotations

from enum import IntEnum

from garnethaven.interface import Outcome

MS = 1_000_000
Headers = list[tuple[bytes, bytes]]


class Status(IntEnum):
    OK = 0
    CANCELLED = 1
    UNKNOWN = 2
    INVALID_ARGUMENT = 3
    DEADLINE_EXCEEDED = 4
    NOT_FOUND = 5
    ALREADY_EXISTS = 6
    PERMISSION_DENIED = 7
    RESOURCE_EXHAUSTED = 8
    FAILED_PRECONDITION = 9
    ABORTED = 10
    OUT_OF_RANGE = 11
    UNIMPLEMENTED = 12
    INTERNAL = 13
    UNAVAILABLE = 14
    DATA_LOSS = 15
    UNAUTHENTICATED = 16


# Set by the application: the server is healthy, and another server would give the same answer.
APPLICATION_STATUSES = frozenset(
    {
        Status.OK,
        Status.CANCELLED,
        Status.INVALID_ARGUMENT,
        Status.NOT_FOUND,
        Status.ALREADY_EXISTS,
        Status.PERMISSION_DENIED,
        Status.FAILED_PRECONDITION,
        Status.ABORTED,
        Status.OUT_OF_RANGE,
        Status.UNIMPLEMENTED,
        Status.UNAUTHENTICATED,
    }
)
# gRPC clients retry these by default.
CLIENT_RETRIED = frozenset({Status.UNAVAILABLE, Status.RESOURCE_EXHAUSTED, Status.ABORTED})
REFUSED_STREAM = 7  # HTTP/2 error code
STATUS_BY_HTTP_STATUS = {
    400: Status.INTERNAL,
    401: Status.UNAUTHENTICATED,
    403: Status.PERMISSION_DENIED,
    404: Status.UNIMPLEMENTED,
    429: Status.UNAVAILABLE,
    502: Status.UNAVAILABLE,
    503: Status.UNAVAILABLE,
    504: Status.UNAVAILABLE,
}
TIMEOUT_UNITS = {  # nanoseconds
    b"H": 3600_000 * MS,
    b"M": 60_000 * MS,
    b"S": 1000 * MS,
    b"m": MS,
    b"u": 1000,
    b"n": 1,
}
MAX_TIMEOUT_DIGITS = 8
MAX_BUDGET = 1 << 60  # nanoseconds; longer timeouts count as unlimited
# Hop-by-hop headers and those that the sidecar sets itself; never forwarded unchanged.
NOT_FORWARDED = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"transfer-encoding",
        b"upgrade",
        b"te",
        b"grpc-timeout",
        b"host",
    }
)


class MappingError(Exception):
    """A call that cannot be accepted; `status` is the gRPC status of its answer."""

    def __init__(self, status: Status, text: str) -> None:
        super().__init__(text)
        self.status = status


def first_value(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of the first header called `name`, or None."""
    return next((value for header, value in headers if header == name), None)


def status_of(headers: Headers, trailers: Headers | None) -> Status:
    """Return an answer's status: from its trailers, or from its headers if it has no trailers."""
    for part in (trailers, headers):
        status = first_value(part, b"grpc-status") if part else None
        if status is not None:
            return Status(int(status)) if status.isdigit() and int(status) in set(Status) else Status.UNKNOWN
    http_status = first_value(headers, b":status") or b""
    if http_status == b"200":
        return Status.UNKNOWN  # `grpc-status` is missing
    return STATUS_BY_HTTP_STATUS.get(int(http_status) if http_status.isdigit() else 0, Status.UNKNOWN)


def outcome_of(status: Status, rejected: bool) -> Outcome:
    """Return the attempt's outcome for an answer's status; `rejected`: the answer has `x-rejected: 1`."""
    if status in APPLICATION_STATUSES:
        return Outcome.DONE
    if rejected and status in (Status.UNAVAILABLE, Status.RESOURCE_EXHAUSTED):
        return Outcome.BUSY
    return Outcome.TIMED_OUT if status is Status.DEADLINE_EXCEEDED else Outcome.ERROR


def reset_outcome(error_code: int, sent: bool) -> Outcome:
    """Return a reset stream's outcome; REFUSED_STREAM proves that the call never ran.

    `sent`: the request's headers were written to a connection.
    """
    if error_code == REFUSED_STREAM:
        return Outcome.SKIPPED
    return Outcome.RESET if sent else Outcome.CONNECT_FAILED


def budget_of(headers: Headers, max_budget: int) -> int:
    """Return the time limit of `grpc-timeout` in nanoseconds.

    The result is at most `max_budget`, which also applies without the header.
    Raises MappingError if the header is malformed.
    """
    timeout = first_value(headers, b"grpc-timeout")
    if timeout is None:
        return max_budget
    digits, unit = timeout[:-1], TIMEOUT_UNITS.get(timeout[-1:])
    if unit is None or not digits.isdigit() or len(digits) > MAX_TIMEOUT_DIGITS:
        raise MappingError(Status.INTERNAL, "grpc-timeout is malformed")
    return min(max_budget, MAX_BUDGET, int(digits) * unit)


def timeout_text(remaining: int) -> bytes:
    """Encode nanoseconds as `grpc-timeout`: rounded down, in the finest unit that fits eight digits."""
    for unit in (b"n", b"u", b"m", b"S", b"M", b"H"):
        count = remaining // TIMEOUT_UNITS[unit]
        if count < 10**MAX_TIMEOUT_DIGITS:
            return b"%d%s" % (max(1, count), unit)
    return b"99999999H"


def refusal(retry_after: int, over_share: bool) -> Headers:
    """Return the trailers-only answer to a refused call; a retry of it is harmless.

    `retry_after`: nanoseconds, 0 to omit `grpc-retry-pushback-ms`.
    """
    status = Status.RESOURCE_EXHAUSTED if over_share else Status.UNAVAILABLE
    text = b"the tenant is over its share" if over_share else b"refused, trying again is harmless"
    answer = trailers_only(status, text)
    if retry_after:
        answer.append((b"grpc-retry-pushback-ms", b"%d" % max(1, retry_after // MS)))
    return answer


def trailers_only(status: Status, text: bytes) -> Headers:
    return [
        (b":status", b"200"),
        (b"content-type", b"application/grpc"),
        (b"grpc-status", b"%d" % status),
        (b"grpc-message", percent_encode(text)),
    ]


def percent_encode(text: bytes) -> bytes:
    """Encode a `grpc-message`: all bytes but printable ASCII, and the percent sign, are percent-encoded."""
    return b"".join(
        bytes((byte,)) if 0x20 <= byte <= 0x7E and byte != 0x25 else b"%%%02X" % byte for byte in text
    )


def forwarded_metadata(headers: Headers) -> Headers:
    """Return a client's metadata for the server: in order, duplicates kept, without hop-by-hop headers."""
    return [
        (name, value) for name, value in headers if name not in NOT_FORWARDED and not name.startswith(b":")
    ]
