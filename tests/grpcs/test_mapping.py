"""gRPC statuses and timeouts, routes, the flood limiter, and GOAWAY frames."""

from __future__ import annotations

import struct

import pytest

from garnethaven.grpcs.floods import BURST, RATE_PER_S, FloodLimiter
from garnethaven.grpcs.goaway import MAX_STREAM_ID, FrameSplitter, GoAway, goaway_frame
from garnethaven.grpcs.mapping import (
    APPLICATION_STATUSES,
    MappingError,
    Status,
    budget_of,
    forwarded_metadata,
    outcome_of,
    percent_encode,
    refusal,
    reset_outcome,
    status_of,
    timeout_text,
)
from garnethaven.grpcs.routes import Routes
from garnethaven.grpcs.table import GrpcRoute
from garnethaven.interface import Outcome

MS = 1_000_000


@pytest.mark.parametrize("status", list(Status))
def test_every_status_has_its_outcome(status: Status) -> None:
    outcome = outcome_of(status, rejected=False)
    if status in APPLICATION_STATUSES:
        assert outcome is Outcome.DONE
    else:
        assert outcome in (Outcome.ERROR, Outcome.TIMED_OUT)
    is_busy = outcome_of(status, rejected=True) is Outcome.BUSY
    assert is_busy == (status in (Status.UNAVAILABLE, Status.RESOURCE_EXHAUSTED))


def test_a_status_is_of_the_trailers_or_of_an_answer_that_has_only_those() -> None:
    ok = [(b":status", b"200")]
    assert status_of(ok, [(b"grpc-status", b"5")]) is Status.NOT_FOUND
    assert status_of([*ok, (b"grpc-status", b"14")], None) is Status.UNAVAILABLE
    assert status_of(ok, None) is Status.UNKNOWN
    assert status_of(ok, [(b"grpc-status", b"99")]) is Status.UNKNOWN
    assert status_of(ok, [(b"grpc-status", b"-1")]) is Status.UNKNOWN
    assert status_of([(b":status", b"503")], None) is Status.UNAVAILABLE
    assert status_of([(b":status", b"404")], None) is Status.UNIMPLEMENTED
    assert status_of([(b":status", b"500")], None) is Status.UNKNOWN


def test_only_a_refused_stream_never_ran() -> None:
    assert reset_outcome(7, sent=True) is Outcome.SKIPPED
    assert reset_outcome(8, sent=True) is Outcome.RESET
    assert reset_outcome(2, sent=False) is Outcome.CONNECT_FAILED


@pytest.mark.parametrize(
    ("text", "budget"),
    [
        (b"1H", 3_600_000 * MS),
        (b"2M", 120_000 * MS),
        (b"3S", 3000 * MS),
        (b"40m", 40 * MS),
        (b"50u", 50_000),
        (b"60n", 60),
        (b"0S", 0),
        (b"99999999H", 1 << 60),
    ],
)
def test_time_outs_in_all_units(text: bytes, budget: int) -> None:
    assert budget_of([(b"grpc-timeout", text)], 1 << 61) == min(budget, 1 << 60)


@pytest.mark.parametrize("text", [b"", b"5", b"S", b"-1S", b"1.5S", b"123456789S", b"1 S", b"1s", b"1SS"])
def test_malformed_time_outs(text: bytes) -> None:
    with pytest.raises(MappingError):
        budget_of([(b"grpc-timeout", text)], 1)


@pytest.mark.parametrize("left", [1, 999, 10**8 - 1, 10**8, 3 * 10**9, 86_400 * 10**9, 1 << 60])
def test_a_time_out_that_is_sent_on_is_never_longer_and_reads_back(left: int) -> None:
    text = timeout_text(left)
    assert len(text) <= 9
    budget = budget_of([(b"grpc-timeout", text)], 1 << 62)
    assert budget <= left and budget > left * 0.99


def test_a_refusal_carries_what_clients_retry_and_when() -> None:
    answer = dict(refusal(1500 * MS, over_share=False))
    assert (answer[b"grpc-status"], answer[b"grpc-retry-pushback-ms"]) == (b"14", b"1500")
    over_share = dict(refusal(0, over_share=True))
    assert over_share[b"grpc-status"] == b"8" and b"grpc-retry-pushback-ms" not in over_share


def test_messages_are_percent_encoded() -> None:
    assert percent_encode("50% ü\n".encode()) == b"50%25 %C3%BC%0A"


def test_metadata_is_passed_on_in_order_and_what_is_of_one_hop_is_not() -> None:
    headers = [(b":path", b"/a"), (b"x", b"1"), (b"te", b"trailers"), (b"x", b"2"), (b"grpc-timeout", b"1S")]
    assert forwarded_metadata([*headers, (b"bin-bin", b"AAE=")]) == [
        (b"x", b"1"),
        (b"x", b"2"),
        (b"bin-bin", b"AAE="),
    ]


def test_the_longest_route_counts() -> None:
    service, method = GrpcRoute("/p.S/", "a"), GrpcRoute("/p.S/M", "b")
    routes = Routes((service, method), "")
    assert routes.find("/p.S/M") is method
    assert routes.find("/p.S/N") is service
    assert routes.find("/p.T/M") is None
    default = Routes((), "c").find("/p.T/M")
    assert default is not None and default.class_name == "c" and default.streams


def test_a_flood_has_a_bound_that_refills() -> None:
    limiter = FloodLimiter()
    assert sum(limiter.allows(1.0) for _ in range(1000)) == BURST
    assert not limiter.allows(1.0)
    limiter.tokens = 0.0
    assert limiter.allows(2.0)
    assert RATE_PER_S < BURST


def test_goaway_is_told_apart_wherever_the_bytes_are_cut() -> None:
    ping = struct.pack(">BHBBI", 0, 8, 6, 0, 0) + b"12345678"
    data = ping + goaway_frame(5, 2) + ping + goaway_frame(MAX_STREAM_ID)
    for cut in range(len(data) + 1):
        splitter = FrameSplitter()
        parts = splitter.feed(data[:cut]) + splitter.feed(data[cut:])
        assert [part for part in parts if isinstance(part, GoAway)] == [
            GoAway(5, 2),
            GoAway(MAX_STREAM_ID, 0),
        ]
        assert b"".join(part for part in parts if isinstance(part, bytes)) == ping + ping


def test_a_frame_beyond_all_bounds_is_not_waited_for() -> None:
    with pytest.raises(ValueError, match="too large"):
        FrameSplitter().feed(b"\xff\xff\xff\x00\x00\x00\x00\x00\x01")
