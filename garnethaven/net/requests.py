"""A client's request while it is received, and the head that is forwarded to an endpoint."""

from __future__ import annotations

from dataclasses import dataclass

from garnethaven.engine.classes import Classes, affinity_key
from garnethaven.net.exchange import Header
from garnethaven.net.flow import MAX_BODY_BYTES, StreamedBody

MAX_HEAD_BYTES = 32 * 1024
MAX_HEADERS = 128
SHORT_HEAD_BYTES = 1024
MAX_BUDGET_DIGITS = 12
HEADER_OBJECT_BYTES = 176  # memory of one header beyond its bytes: a tuple and two objects
# Headers that are not forwarded: hop-by-hop headers, and those that the sidecar sets itself.
DROPPED_HEADERS = frozenset(
    b"connection keep-alive proxy-connection te trailer transfer-encoding upgrade expect content-length"
    b" x-budget-ms proxy-authenticate proxy-authorization x-load-report".split()
)
# Headers that are forwarded even if `Connection` lists them: endpoints identify requests and retries by them.
PRESERVED_HEADERS = frozenset(b"host x-call-id x-call-class x-caller idempotency-key".split())


class IncomingRequest:
    """A request while it is received."""

    __slots__ = (
        "body",
        "head_size",
        "headers",
        "keep_alive",
        "length",
        "method",
        "status",
        "streamed_body",
        "url",
        "written_at",
    )

    def __init__(self) -> None:
        self.url = b""
        self.method = b""
        self.headers: list[Header] = []
        self.length: int | None = None  # of the body in bytes, if the head states it
        self.body = bytearray()
        self.streamed_body: StreamedBody | None = None  # a body that is too long to be buffered
        self.keep_alive = False
        self.head_size = 0  # bytes of the head, once it is complete
        self.status = 0  # of the error answer to the request; 0: no error so far
        # When the client can have written the last byte, in monotonic nanoseconds, if it was read late.
        self.written_at: int | None = None

    def body_size(self) -> int:
        """The bytes of the body that were received."""
        return self.streamed_body.size if self.streamed_body is not None else len(self.body)

    def missing_bytes(self) -> int | None:
        """The bytes of the body that were not received; None if the head does not state its length."""
        return None if self.length is None else self.length - self.body_size()

    def held_bytes(self) -> int:
        """The memory that the request takes, as far as it was received."""
        body = self.streamed_body.held_bytes() if self.streamed_body is not None else len(self.body)
        return self.head_size + HEADER_OBJECT_BYTES * len(self.headers) + body

    def complete_head(self, method: bytes, head_size: int) -> bool:
        """Check the head, which has `head_size` bytes; returns whether the client waits for 100 Continue."""
        self.method = method
        # The count may include bytes that precede or follow the head.
        self.head_size = head_size if head_size <= SHORT_HEAD_BYTES else self.head_bytes()
        self.url = origin_form(self.url)
        self.check_head_size(head_size)
        expects_continue = False
        for name, value in self.headers:
            lower = name.lower()
            if lower == b"content-length":
                self.length = int(value)
            elif lower == b"expect":
                expects_continue = value.lower() == b"100-continue"
        if method not in (b"GET", b"POST"):
            self.status = 501
        if (self.length or 0) > MAX_BODY_BYTES:
            self.status = 413
        return expects_continue and not self.status

    def check_head_size(self, head_size: int) -> None:
        """Set the status if the head is too large; `head_size` may count bytes that precede or follow it."""
        if head_size > MAX_HEAD_BYTES and self.head_bytes() > MAX_HEAD_BYTES:
            self.status = 431

    def head_without_upgrade(self, method: bytes, version: str) -> bytes:
        """Encode the head as it was received, without the offer of an upgrade."""
        lines = [b"%s %s HTTP/%s" % (method, self.url, version.encode())]
        lines += [b"%s: %s" % header for header in self.headers if header[0].lower() != b"upgrade"]
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def head_bytes(self) -> int:
        return len(self.url) + sum(len(name) + len(value) + 4 for name, value in self.headers)

    def class_name(self) -> str:
        return self._header(b"x-call-class").decode("latin-1")

    def budget_ms(self) -> int | None:
        """The client's time in milliseconds; None if the request does not state a valid one."""
        return parse_budget_ms(self._header(b"x-budget-ms"))

    def _header(self, lower_name: bytes) -> bytes:
        """The value of the first header of that name; empty if there is none."""
        return next((value for name, value in self.headers if name.lower() == lower_name), b"")


def parse_budget_ms(value: bytes) -> int | None:
    """The milliseconds that an X-Budget-Ms header states; None if it is not a valid time."""
    if not value.isdigit() or len(value) > MAX_BUDGET_DIGITS:
        return None
    return int(value) or None


def origin_form(url: bytes) -> bytes:
    """Convert a request target to origin form: the path and query, without the scheme and host."""
    if url[:7].lower() != b"http://":
        return url
    rest = url[7:]
    start = min((i for i in (rest.find(b"/"), rest.find(b"?")) if i >= 0), default=len(rest))
    return rest[start:] if rest[start : start + 1] == b"/" else b"/" + rest[start:]


@dataclass(slots=True)
class RequestHead:
    """The parsed head of a request: the values that the engine needs, and the head that is forwarded.

    `caller` is the tenant's number, `tenant` its name as the client states it; `forwarded` is the forwarded
    head before and after the value of X-Budget-Ms.
    """

    call_id: bytes
    class_index: int
    budget_ms: int
    caller: int
    tenant: str
    key: str
    dedup_key: bytes
    is_retry: bool
    forwarded: tuple[bytes, bytes]


def parse_head(incoming: IncomingRequest, classes: Classes) -> RequestHead | None:
    """Parse the head of a request; None if a required header is missing or invalid.

    Also None for a class that the settings don't define: endpoints would reject the request, and the
    rejections would count against them.
    """
    call_id = class_name = caller = idempotency = budget = b""
    is_retry = False
    forwarded = [incoming.method, b" ", incoming.url, b" HTTP/1.1\r\n"]
    dropped = DROPPED_HEADERS
    for name, value in incoming.headers:
        lower = name.lower()
        if lower == b"x-call-id":
            if call_id:
                return None
            call_id = value
        elif lower == b"x-call-class":
            class_name = value
        elif lower == b"x-caller":
            caller = value
        elif lower == b"x-budget-ms":
            budget = value
        elif lower == b"idempotency-key":
            idempotency = value
        elif lower == b"x-again":
            is_retry = value == b"1"
        elif lower == b"connection" and value.lower() not in (b"keep-alive", b"close"):
            dropped = dropped | {part.strip() for part in value.lower().split(b",")} - PRESERVED_HEADERS
        if lower not in dropped:
            forwarded += (name, b": ", value, b"\r\n")
    budget_ms = parse_budget_ms(budget)
    if not call_id or budget_ms is None:
        return None
    request_class = classes.class_index(class_name.decode("latin-1"), bool(idempotency))
    if request_class is None:
        return None
    forwarded.append(_framing(incoming))
    forwarded.append(b"X-Budget-Ms: ")
    tenant = caller.decode("latin-1")
    return RequestHead(
        call_id,
        request_class,
        budget_ms,
        classes.tenant_index(tenant),
        tenant,
        affinity_key(incoming.url.partition(b"?")[2]),
        idempotency,
        is_retry,
        (b"".join(forwarded), b"\r\n\r\n"),
    )


def _framing(incoming: IncomingRequest) -> bytes:
    if incoming.streamed_body is not None and incoming.streamed_body.length is None:
        return b"Transfer-Encoding: chunked\r\n"
    length = incoming.streamed_body.length if incoming.streamed_body is not None else len(incoming.body)
    if length or incoming.method != b"GET":
        return b"Content-Length: %d\r\n" % (length or 0)
    return b""
