"""What gRPC's words mean to the engine and the module's words to a client; one table each. No I/O.

A server's answer:

| it says | outcome | may have run | what the client gets |
| --- | --- | --- | --- |
| `grpc-status` 0 | done | | the answer |
| a status of the application's (`ANSWERS`) | done: the server has answered | | the answer |
| 8, 14 with `x-rejected: 1` | busy | no | the module decides |
| 4 | timed out | yes | the module decides |
| 2, 8, 13, 14, 15, or none | error | yes | the module decides |
| an HTTP status other than 200 alone | as the published table maps it | as that | as that |
| RST_STREAM REFUSED_STREAM, or beyond GOAWAY | skipped | no | the module decides |
| any other RST_STREAM, or the connection's end | reset | yes, once its headers left us | the module decides |

A client of ours:

| the module says | `grpc-status` |
| --- | --- |
| refused | 14 UNAVAILABLE, or 8 for a tenant over its share, with `grpc-retry-pushback-ms` |
| failed, its time over | 4 DEADLINE_EXCEEDED |
| failed | the server's last answer where clients don't retry its status, else 13 |

Refusals alone carry what clients retry by default.
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


# The application's own words: the server is well, and no other would say anything else.
ANSWERS = frozenset(
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
RETRIED = frozenset({Status.UNAVAILABLE, Status.RESOURCE_EXHAUSTED, Status.ABORTED})  # by clients, by default
REFUSED_STREAM = 7
FROM_HTTP = {
    400: Status.INTERNAL,
    401: Status.UNAUTHENTICATED,
    403: Status.PERMISSION_DENIED,
    404: Status.UNIMPLEMENTED,
    429: Status.UNAVAILABLE,
    502: Status.UNAVAILABLE,
    503: Status.UNAVAILABLE,
    504: Status.UNAVAILABLE,
}
UNITS = {b"H": 3600_000 * MS, b"M": 60_000 * MS, b"S": 1000 * MS, b"m": MS, b"u": 1000, b"n": 1}
DIGITS_MOST = 8
BUDGET_MOST = 1 << 60  # nanoseconds; more is for ever
# Of one hop, or ours to set: never passed on as they came.
RESERVED = frozenset(
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
    """What can't be taken, with the status that says so."""

    def __init__(self, status: Status, text: str) -> None:
        super().__init__(text)
        self.status = status


def value(headers: Headers, name: bytes) -> bytes | None:
    """The first header of a name."""
    return next((found for known, found in headers if known == name), None)


def status_of(headers: Headers, trailers: Headers | None) -> Status:
    """An answer's status: of its trailers, or of its headers where it has only those."""
    for part in (trailers, headers):
        told = value(part, b"grpc-status") if part else None
        if told is not None:
            return Status(int(told)) if told.isdigit() and int(told) in set(Status) else Status.UNKNOWN
    code = value(headers, b":status") or b""
    if code == b"200":
        return Status.UNKNOWN  # the status is missing
    return FROM_HTTP.get(int(code) if code.isdigit() else 0, Status.UNKNOWN)


def outcome_of(status: Status, rejected: bool) -> Outcome:
    """What an answer's status tells of the attempt."""
    if status in ANSWERS:
        return Outcome.DONE
    if rejected and status in (Status.UNAVAILABLE, Status.RESOURCE_EXHAUSTED):
        return Outcome.BUSY
    return Outcome.TIMED_OUT if status is Status.DEADLINE_EXCEEDED else Outcome.ERROR


def reset_outcome(code: int, sent: bool) -> Outcome:
    """What a stream's reset tells: REFUSED_STREAM proves that it never ran."""
    if code == REFUSED_STREAM:
        return Outcome.SKIPPED
    return Outcome.RESET if sent else Outcome.CONNECT_FAILED


def budget_of(headers: Headers, most: int) -> int:
    """Nanoseconds that `grpc-timeout` leaves, `most` where there is none; raises MappingError."""
    told = value(headers, b"grpc-timeout")
    if told is None:
        return most
    digits, unit = told[:-1], UNITS.get(told[-1:])
    if unit is None or not digits.isdigit() or len(digits) > DIGITS_MOST:
        raise MappingError(Status.INTERNAL, "grpc-timeout is malformed")
    return min(most, BUDGET_MOST, int(digits) * unit)


def timeout_text(left: int) -> bytes:
    """`grpc-timeout` for so many nanoseconds: rounded down, in the finest unit that eight digits hold."""
    for unit in (b"n", b"u", b"m", b"S", b"M", b"H"):
        count = left // UNITS[unit]
        if count < 10**DIGITS_MOST:
            return b"%d%s" % (max(1, count), unit)
    return b"99999999H"


def refusal(retry_after: int, over_share: bool) -> Headers:
    """An answer of trailers alone: trying again is harmless."""
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
        (b"grpc-message", percent(text)),
    ]


def percent(text: bytes) -> bytes:
    """`grpc-message` as published: printable ASCII but for the percent sign, all else encoded."""
    return b"".join(bytes((c,)) if 0x20 <= c <= 0x7E and c != 0x25 else b"%%%02X" % c for c in text)


def passed_on(headers: Headers) -> Headers:
    """A client's metadata for the server: in order, duplicates kept, without what is of one hop."""
    return [(name, told) for name, told in headers if name not in RESERVED and not name.startswith(b":")]
