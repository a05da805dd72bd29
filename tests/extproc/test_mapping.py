"""Mapping of request headers to a call and of response headers to an outcome."""

from __future__ import annotations

import pytest
from envoy.config.core.v3.base_pb2 import HeaderMap, HeaderValue
from envoy.service.ext_proc.v3 import external_processor_pb2 as pb

from garnethaven.engine.classes import Classes, affinity_key
from garnethaven.engine.engine import with_unsafe_twins
from garnethaven.extproc.answers import decision_template, encode_decision, header_option, parse_headers
from garnethaven.extproc.mapping import MappingError, Route, map_request, outcome_of
from garnethaven.interface import Outcome
from garnethaven.settings import read_names, read_settings
from tests.loopback import settings_document

MS = 1_000_000
CLASSES = Classes(with_unsafe_twins(read_settings(settings_document())), read_names(settings_document()))
GOOD = {
    ":method": "POST",
    ":path": "/api?user=u1",
    "x-call-id": "c1",
    "x-call-class": "check",
    "idempotency-key": "k1",
}


def test_our_own_headers_name_a_request() -> None:
    mapped = map_request(GOOD | {"x-budget-ms": "700", "x-again": "1"}, CLASSES, ())
    assert (mapped.call_id, mapped.class_index, mapped.key) == (b"c1", 0, "u1")
    assert (mapped.budget, mapped.is_retry, mapped.may_have_been_sent) == (700 * MS, True, False)


def test_without_its_key_a_request_is_of_the_unsafe_twin() -> None:
    headers = {name: value for name, value in GOOD.items() if name != "idempotency-key"}
    assert map_request(headers, CLASSES, ()).class_index == len(CLASSES.class_indexes)


@pytest.mark.parametrize(
    ("headers", "budget_ms"),
    [
        ({}, 3000),
        ({"x-budget-ms": "9000"}, 3000),
        ({"x-envoy-expected-rq-timeout-ms": "900"}, 900),
        ({"x-envoy-expected-rq-timeout-ms": "0"}, 3000),
        ({"x-budget-ms": "500", "x-envoy-expected-rq-timeout-ms": "900"}, 500),
    ],
)
def test_the_least_time_counts(headers: dict[str, str], budget_ms: int) -> None:
    assert map_request(GOOD | headers, CLASSES, ()).budget == budget_ms * MS


def test_routes_give_a_class_to_those_that_name_none() -> None:
    headers = {name: value for name, value in GOOD.items() if name != "x-call-class"}
    routes = (Route("check", "/other"), Route("none", "/api", "GET"), Route("check", "/api", "POST"))
    assert map_request(headers, CLASSES, routes).class_index == 0
    with pytest.raises(MappingError, match="no route fits"):
        map_request(headers | {":path": "/else"}, CLASSES, routes)


@pytest.mark.parametrize(
    ("headers", "word"),
    [
        ({"x-call-id": ""}, "x-call-id"),
        ({"x-call-id": "c" * 300}, "x-call-id"),
        ({"x-call-class": "none"}, "x-call-class"),
        ({"x-budget-ms": "soon"}, "x-budget-ms"),
        ({"x-budget-ms": "-1"}, "x-budget-ms"),
        ({"x-budget-ms": "0"}, "x-budget-ms"),
        ({"x-budget-ms": "9" * 40}, "x-budget-ms"),
        ({"x-envoy-expected-rq-timeout-ms": "1.5"}, "x-envoy-expected-rq-timeout-ms"),
    ],
)
def test_a_request_that_lacks_something_is_told_what(headers: dict[str, str], word: str) -> None:
    with pytest.raises(MappingError, match=word):
        map_request(GOOD | headers, CLASSES, ())


def test_what_comes_again_is_known_by_its_token_or_its_count() -> None:
    assert map_request(GOOD | {"x-envoy-attempt-count": "2"}, CLASSES, ()).may_have_been_sent
    assert map_request(GOOD | {"x-gateway-decision-token": "t"}, CLASSES, ()).may_have_been_sent
    assert not map_request(GOOD | {"x-envoy-attempt-count": "1"}, CLASSES, ()).may_have_been_sent


@pytest.mark.parametrize(
    ("headers", "outcome"),
    [
        ({":status": "200"}, Outcome.DONE),
        ({":status": "500"}, Outcome.ERROR),
        ({":status": "503"}, Outcome.ERROR),
        ({":status": "503", "x-rejected": "1"}, Outcome.BUSY),
        ({":status": "504", "x-rejected": "1"}, Outcome.BUSY),
        ({":status": "404"}, Outcome.BAD_REQUEST),
    ],
)
def test_a_status_is_an_outcome(headers: dict[str, str], outcome: Outcome) -> None:
    assert outcome_of(headers) is outcome


@pytest.mark.parametrize("status", ["", "20", "2000", "abc", "²00"])
def test_what_is_no_status_says_nothing(status: str) -> None:
    with pytest.raises(MappingError, match=":status"):
        outcome_of({":status": status})


@pytest.mark.parametrize("length", [0, 1, 100, 127, 128, 300, 20_000])
def test_a_decision_reads_as_the_message_that_the_library_would_build(length: int) -> None:
    value = "é" * length
    answer = pb.ProcessingResponse.FromString(encode_decision("127.0.0.1:20", {"x-a": value, "x-b": "2"}))
    built = pb.ProcessingResponse.FromString(decision_template("127.0.0.1:20"))
    options = built.request_headers.response.header_mutation.set_headers
    options.extend([header_option("x-a", value), header_option("x-b", "2")])
    assert answer == built
    assert len(answer.request_headers.response.header_mutation.set_headers) == 3
    assert answer.dynamic_metadata["envoy.lb"]["x-gateway-destination-endpoint"] == "127.0.0.1:20"


def test_of_several_headers_with_one_name_the_first_counts() -> None:
    entries = [("A", b"1", ""), ("a", b"2", ""), ("b", b"", "text")]
    headers = [HeaderValue(key=key, raw_value=raw, value=value) for key, raw, value in entries]
    assert parse_headers(pb.HttpHeaders(headers=HeaderMap(headers=headers))) == {"a": "1", "b": "text"}


def test_both_fronts_place_a_key_alike() -> None:
    assert affinity_key(b"a=1&user=k%201&user=2") == "k%201"
    assert affinity_key(b"users=1") == affinity_key(b"") == ""
