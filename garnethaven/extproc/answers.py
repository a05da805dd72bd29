"""Encodes the processor's answers, following the `ext_proc` protocol and the endpoint picker convention.

All functions return serialized messages. The part that all decisions for an address share is built and
encoded once. The headers of one request are encoded separately and appended: concatenated protobuf encodings
merge into one message.
"""

from __future__ import annotations

from functools import lru_cache

from envoy.config.core.v3.base_pb2 import HeaderValue, HeaderValueOption
from envoy.extensions.filters.http.ext_proc.v3.processing_mode_pb2 import ProcessingMode
from envoy.service.ext_proc.v3 import external_processor_pb2 as pb
from envoy.type.v3.http_status_pb2 import HttpStatus

DESTINATION_HEADER = "x-gateway-destination-endpoint"
SERVED_BY_HEADER = "x-gateway-destination-endpoint-served"
VALID_MS_HEADER = "x-gateway-decision-valid-ms"
METADATA_NAMESPACE = "envoy.lb"
MAX_CACHED_ADDRESSES = 4096  # size of the cache of decision templates
ENCODED_OVERWRITE_ACTION = bytes((3 << 3, HeaderValueOption.OVERWRITE_IF_EXISTS_OR_ADD))

# Request and response headers only: unsent bodies and trailers save work on both sides.
PROCESSING_MODE = ProcessingMode(
    request_header_mode=ProcessingMode.SEND,
    response_header_mode=ProcessingMode.SEND,
    request_body_mode=ProcessingMode.NONE,
    response_body_mode=ProcessingMode.NONE,
    request_trailer_mode=ProcessingMode.SKIP,
    response_trailer_mode=ProcessingMode.SKIP,
)


def header_option(name: str, value: str) -> HeaderValueOption:
    return HeaderValueOption(
        header=HeaderValue(key=name, raw_value=value.encode("latin-1", "replace")),
        append_action=HeaderValueOption.OVERWRITE_IF_EXISTS_OR_ADD,
    )


@lru_cache(maxsize=MAX_CACHED_ADDRESSES)
def decision_template(address: str) -> bytes:
    """Return the encoded part that all decisions for an address share; cached to keep decisions cheap."""
    answer = pb.ProcessingResponse(mode_override=PROCESSING_MODE)
    answer.request_headers.response.header_mutation.set_headers.append(
        header_option(DESTINATION_HEADER, address)
    )
    answer.dynamic_metadata.update({METADATA_NAMESPACE: {DESTINATION_HEADER: address}})
    return bytes(answer.SerializeToString())


def encode_decision(address: str, headers: dict[str, str]) -> bytes:
    """Encode a decision: `address` as a header and as dynamic metadata, and further request headers."""
    options = b"".join(
        encode_field(
            1,
            encode_field(
                1, encode_field(1, name.encode()) + encode_field(3, value.encode("latin-1", "replace"))
            )
            + ENCODED_OVERWRITE_ACTION,
        )
        for name, value in headers.items()
    )
    return decision_template(address) + encode_field(1, encode_field(1, encode_field(2, options)))


def encode_field(number: int, value: bytes) -> bytes:
    """Encode a length-delimited protobuf field (bytes, string or message); field numbers up to 15."""
    head, length = bytes((number << 3 | 2,)), len(value)
    while length > 127:
        head += bytes((length & 127 | 128,))
        length >>= 7
    return head + bytes((length,)) + value


def encode_immediate_response(status: int, details: str, headers: dict[str, str] | None = None) -> bytes:
    """Encode an answer that ends the request; `details` is the reason for the proxy's log."""
    answer = pb.ProcessingResponse()
    answer.immediate_response.status.CopyFrom(HttpStatus(code=status))
    answer.immediate_response.details = details
    for name, value in (headers or {}).items():
        answer.immediate_response.headers.set_headers.append(header_option(name, value))
    return bytes(answer.SerializeToString())


@lru_cache(maxsize=8)
def encode_unchanged(part: str) -> bytes:
    """Encode an answer that leaves this part of the exchange unchanged; `part` is its field name."""
    answer = pb.ProcessingResponse()
    getattr(answer, part).SetInParent()
    return bytes(answer.SerializeToString())


def parse_headers(message: pb.HttpHeaders) -> dict[str, str]:
    """Return the headers by lower-case name; the first of several with the same name is used."""
    return {
        header.key.lower(): header.raw_value.decode("latin-1") or header.value
        for header in reversed(message.headers.headers)
    }
