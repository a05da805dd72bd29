"""The session without I/O: bytes written and events returned, for correct and for faulty hosts."""

from __future__ import annotations

import struct

import pytest

from garnethaven.membership.zookeeper import records
from garnethaven.membership.zookeeper.records import MAX_FRAME_BYTES, REPLY, Code, Kind, Op, RecordError
from garnethaven.membership.zookeeper.session import (
    Event,
    HostUnusable,
    ReplyReceived,
    RequestLost,
    Session,
    SessionExpired,
    SessionResumed,
    SessionStarted,
    State,
    WatchEvent,
)


def connect_response(timeout_ms: int = 6000, session_id: int = 5, read_only: bool = False) -> bytes:
    response = struct.pack(">iiq", 0, timeout_ms, session_id) + records.buffer(b"p" * 16)
    return records.frame(response + bytes((read_only,)))


def reply(xid: int, zxid: int, code: int = 0, body: bytes = b"") -> bytes:
    return records.frame(REPLY.pack(xid, zxid, code) + body)


def watch_event(kind: Kind, path: str) -> bytes:
    return reply(-1, -1, 0, struct.pack(">ii", kind, 3) + records.string(path))


def session_up(**settings: object) -> Session:
    session = Session(6000, **settings)  # type: ignore[arg-type]
    session.connect(0.0)
    session.take_output(0.0)
    assert session.received(connect_response(), 0.1) == [SessionStarted()]
    return session


def test_a_session_begins_and_replies_come_in_order() -> None:
    session = session_up()
    session.request(Op.GET_DATA, b"x", "first")
    session.request(Op.GET_DATA, b"y", "second")
    assert session.take_output(0.2).count(struct.pack(">i", Op.GET_DATA)) == 2
    events = session.received(
        reply(1, 7, body=b"one") + watch_event(Kind.DELETED, "/a") + reply(2, 8, -101), 0.3
    )
    assert events == [
        ReplyReceived("first", 0, b"one"),
        WatchEvent(Kind.DELETED, "/a"),
        ReplyReceived("second", -101, b""),
    ]
    assert session.last_zxid == 8


def test_bytes_may_come_one_by_one() -> None:
    session = session_up()
    session.request(Op.GET_DATA, b"x", "t")
    events: list[Event] = []
    for byte in reply(1, 7, body=b"data") + watch_event(Kind.CREATED, "/é"):
        events += session.received(bytes((byte,)), 0.3)
    assert events == [ReplyReceived("t", 0, b"data"), WatchEvent(Kind.CREATED, "/é")]


def test_the_same_session_is_resumed_with_what_was_seen() -> None:
    session = session_up()
    session.request(Op.GET_DATA, b"x", "t")
    session.received(reply(1, 99), 0.2)
    session.request(Op.GET_DATA, b"x", "lost")
    assert session.closed() == [RequestLost("lost")]
    assert session.state is State.IDLE
    session.connect(1.0)
    written = session.take_output(1.0)
    assert struct.pack(">iqiq", 0, 99, 6000, 5) in written
    assert session.received(connect_response(), 1.1) == [SessionResumed()]


def test_an_expired_session_is_followed_by_a_new_one() -> None:
    session = session_up()
    session.closed()
    session.connect(1.0)
    assert session.received(connect_response(timeout_ms=0, session_id=0), 1.1) == [SessionExpired()]
    session.closed()
    session.connect(2.0)
    assert session.received(connect_response(session_id=6), 2.1) == [SessionStarted()]


def test_silence_is_answered_with_pings_and_ends_with_the_host_left() -> None:
    session = session_up()
    assert session.tick(1.0) == []
    assert session.take_output(1.0) == b""
    assert session.next_tick_at() == pytest.approx(2.0)
    session.tick(2.0)
    assert struct.pack(">ii", -2, Op.PING) in session.take_output(2.0)
    assert session.received(reply(-2, 1), 2.1) == []
    assert session.tick(6.0) == []
    (unusable,) = session.tick(6.2)
    assert isinstance(unusable, HostUnusable)


def test_a_host_that_lags_is_left_even_where_it_answers() -> None:
    session = session_up()
    session.request(Op.GET_DATA, b"x", "a")
    session.received(reply(1, 50), 0.2)
    session.request(Op.GET_DATA, b"x", "b")
    (unusable,) = session.received(reply(2, 49, body=b"old"), 0.3)
    assert isinstance(unusable, HostUnusable) and "lags" in unusable.reason
    assert session.last_zxid == 50


def test_after_an_event_a_ping_learns_its_zxid() -> None:
    """A watch event carries no zxid; without the ping a host that lags behind the event would be accepted."""
    session = session_up()
    session.take_output(0.2)
    session.received(watch_event(Kind.DELETED, "/a") + watch_event(Kind.DELETED, "/b"), 0.3)
    # One ping for both events.
    assert session.take_output(0.3) == records.frame(struct.pack(">ii", -2, Op.PING))
    session.received(reply(-2, 60), 0.4)
    assert session.last_zxid == 60
    session.received(watch_event(Kind.DELETED, "/c"), 0.5)
    assert session.take_output(0.5)


def test_a_read_only_host_is_left_unless_it_is_allowed() -> None:
    session = Session(6000)
    session.connect(0.0)
    (unusable,) = session.received(connect_response(read_only=True), 0.1)
    assert isinstance(unusable, HostUnusable) and "read-only" in unusable.reason
    assert session.id == 0
    allowed = Session(6000, read_only=True)
    allowed.connect(0.0)
    assert allowed.take_output(0.0).endswith(b"\x01")
    assert allowed.received(connect_response(read_only=True), 0.1) == [SessionStarted()]


def test_a_credential_is_proved_and_its_refusal_is_no_reason_for_haste() -> None:
    session = session_up(digest="u:p")
    assert b"u:p" in session.take_output(0.1)
    assert session.received(reply(-4, 0), 0.2) == []
    (unusable,) = session.received(reply(-4, 0, Code.AUTH_FAILED), 0.3)
    assert unusable == HostUnusable("the host rejects the digest credential", refused=True)


@pytest.mark.parametrize(
    "data",
    [
        struct.pack(">i", -1),
        struct.pack(">i", MAX_FRAME_BYTES + 1),
        records.frame(b"short"),
        reply(77, 1),
        reply(-1, -1, 0, b""),
        reply(-1, -1, 0, struct.pack(">iii", 1, 3, 500) + b"x"),
        reply(-1, -1, 0, struct.pack(">iii", 1, 3, 2) + b"\xff\xff"),
    ],
)
def test_what_can_not_be_read_ends_the_connection_and_raises_nothing(data: bytes) -> None:
    (unusable,) = session_up().received(data, 0.2)
    assert isinstance(unusable, HostUnusable)


def test_no_request_without_a_session() -> None:
    with pytest.raises(RuntimeError):
        Session(6000).request(Op.GET_DATA, b"", None)


def test_a_list_longer_than_its_message_is_refused_before_it_is_read() -> None:
    with pytest.raises(RecordError):
        records.Reader(struct.pack(">i", 1 << 30)).strings()
