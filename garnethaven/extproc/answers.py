"""The processor's answers, after the published protocol and the convention of endpoint pickers.

They leave here as bytes. What all decisions for an address have in common is built and encoded once; the few
headers that are a request's own are encoded beside it, for two encodings in a row merge into one message.
"""

from __future__ import annotations

from functools import lru_cache

from envoy.config.core.v3.base_pb2 import HeaderValue, HeaderValueOption
from envoy.extensions.filters.http.ext_proc.v3.processing_mode_pb2 import ProcessingMode
from envoy.service.ext_proc.v3 import external_processor_pb2 as pb
from envoy.type.v3.http_status_pb2 import HttpStatus

DESTINATION = "x-gateway-destination-endpoint"
SERVED = "x-gateway-destination-endpoint-served"
VALID = "x-gateway-decision-valid-ms"
METADATA = "envoy.lb"
ADDRESSES_MOST = 4096  # templates that are kept
OVERWRITE = bytes((3 << 3, HeaderValueOption.OVERWRITE_IF_EXISTS_OR_ADD))

# Headers both ways and nothing else: what is not asked for is not sent, and costs neither side.
MODE = ProcessingMode(
    request_header_mode=ProcessingMode.SEND,
    response_header_mode=ProcessingMode.SEND,
    request_body_mode=ProcessingMode.NONE,
    response_body_mode=ProcessingMode.NONE,
    request_trailer_mode=ProcessingMode.SKIP,
    response_trailer_mode=ProcessingMode.SKIP,
)


def option(name: str, value: str) -> HeaderValueOption:
    return HeaderValueOption(
        header=HeaderValue(key=name, raw_value=value.encode("latin-1", "replace")),
        append_action=HeaderValueOption.OVERWRITE_IF_EXISTS_OR_ADD,
    )


@lru_cache(maxsize=ADDRESSES_MOST)
def template(address: str) -> bytes:
    """What every decision for an address has in common; built once, for a decision should cost little."""
    answer = pb.ProcessingResponse(mode_override=MODE)
    answer.request_headers.response.header_mutation.set_headers.append(option(DESTINATION, address))
    answer.dynamic_metadata.update({METADATA: {DESTINATION: address}})
    return bytes(answer.SerializeToString())


def send_to(address: str, headers: dict[str, str]) -> bytes:
    """The request goes to `address`, as a header and as dynamic metadata, with further headers set."""
    options = b"".join(
        field(1, field(1, field(1, name.encode()) + field(3, value.encode("latin-1", "replace"))) + OVERWRITE)
        for name, value in headers.items()
    )
    return template(address) + field(1, field(1, field(2, options)))


def field(number: int, value: bytes) -> bytes:
    """A field of bytes, a string or a message, in the published encoding; numbers up to 15."""
    head, length = bytes((number << 3 | 2,)), len(value)
    while length > 127:
        head += bytes((length & 127 | 128,))
        length >>= 7
    return head + bytes((length,)) + value


def immediate(status: int, details: str, headers: dict[str, str] | None = None) -> bytes:
    """The request ends here; `details` says why, for the proxy's log."""
    answer = pb.ProcessingResponse()
    answer.immediate_response.status.CopyFrom(HttpStatus(code=status))
    answer.immediate_response.details = details
    for name, value in (headers or {}).items():
        answer.immediate_response.headers.set_headers.append(option(name, value))
    return bytes(answer.SerializeToString())


@lru_cache(maxsize=8)
def go_on(part: str) -> bytes:
    """Nothing to change at this part of the exchange."""
    answer = pb.ProcessingResponse()
    getattr(answer, part).SetInParent()
    return bytes(answer.SerializeToString())


def headers_of(told: pb.HttpHeaders) -> dict[str, str]:
    """Names in lower case; of several with one name the first counts."""
    return {
        header.key.lower(): header.raw_value.decode("latin-1") or header.value
        for header in reversed(told.headers.headers)
    }
