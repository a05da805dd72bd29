"""The session without I/O: what is written and what follows, for good hosts and others."""

from __future__ import annotations

import struct

import pytest

from garnethaven.membership.zookeeper import records
from garnethaven.membership.zookeeper.records import FRAME_MOST, REPLY, Code, Kind, Op, RecordError
from garnethaven.membership.zookeeper.session import (
    Began,
    Event,
    Expired,
    Left,
    Lost,
    Noticed,
    Replied,
    Resumed,
    Session,
    State,
)


def greeting(timeout_ms: int = 6000, session: int = 5, read_only: bool = False) -> bytes:
    told = struct.pack(">iiq", 0, timeout_ms, session) + records.buffer(b"p" * 16)
    return records.frame(told + bytes((read_only,)))


def reply(xid: int, zxid: int, code: int = 0, body: bytes = b"") -> bytes:
    return records.frame(REPLY.pack(xid, zxid, code) + body)


def notice(kind: Kind, path: str) -> bytes:
    return reply(-1, -1, 0, struct.pack(">ii", kind, 3) + records.string(path))


def up(**settings: object) -> Session:
    session = Session(6000, **settings)  # type: ignore[arg-type]
    session.connect(0.0)
    session.taken(0.0)
    assert session.received(greeting(), 0.1) == [Began()]
    return session


def test_a_session_begins_and_replies_come_in_order() -> None:
    session = up()
    session.ask(Op.GET_DATA, b"x", "first")
    session.ask(Op.GET_DATA, b"y", "second")
    assert session.taken(0.2).count(struct.pack(">i", Op.GET_DATA)) == 2
    events = session.received(reply(1, 7, body=b"one") + notice(Kind.DELETED, "/a") + reply(2, 8, -101), 0.3)
    assert events == [Replied("first", 0, b"one"), Noticed(Kind.DELETED, "/a"), Replied("second", -101, b"")]
    assert session.seen == 8


def test_bytes_may_come_one_by_one() -> None:
    session = up()
    session.ask(Op.GET_DATA, b"x", "t")
    events: list[Event] = []
    for byte in reply(1, 7, body=b"data") + notice(Kind.CREATED, "/é"):
        events += session.received(bytes((byte,)), 0.3)
    assert events == [Replied("t", 0, b"data"), Noticed(Kind.CREATED, "/é")]


def test_the_same_session_is_resumed_with_what_was_seen() -> None:
    session = up()
    session.ask(Op.GET_DATA, b"x", "t")
    session.received(reply(1, 99), 0.2)
    session.ask(Op.GET_DATA, b"x", "lost")
    assert session.closed() == [Lost("lost")]
    assert session.state is State.IDLE
    session.connect(1.0)
    written = session.taken(1.0)
    assert struct.pack(">iqiq", 0, 99, 6000, 5) in written
    assert session.received(greeting(), 1.1) == [Resumed()]


def test_an_expired_session_is_followed_by_a_new_one() -> None:
    session = up()
    session.closed()
    session.connect(1.0)
    assert session.received(greeting(timeout_ms=0, session=0), 1.1) == [Expired()]
    session.closed()
    session.connect(2.0)
    assert session.received(greeting(session=6), 2.1) == [Began()]


def test_silence_is_answered_with_pings_and_ends_with_the_host_left() -> None:
    session = up()
    assert session.tick(1.0) == []
    assert session.taken(1.0) == b""
    assert session.due() == pytest.approx(2.0)
    session.tick(2.0)
    assert struct.pack(">ii", -2, Op.PING) in session.taken(2.0)
    assert session.received(reply(-2, 1), 2.1) == []
    assert session.tick(6.0) == []
    (left,) = session.tick(6.2)
    assert isinstance(left, Left)


def test_a_host_that_lags_is_left_even_where_it_answers() -> None:
    session = up()
    session.ask(Op.GET_DATA, b"x", "a")
    session.received(reply(1, 50), 0.2)
    session.ask(Op.GET_DATA, b"x", "b")
    (left,) = session.received(reply(2, 49, body=b"old"), 0.3)
    assert isinstance(left, Left) and "lags" in left.reason
    assert session.seen == 50


def test_after_an_event_a_ping_learns_its_zxid() -> None:
    session = up()
    session.taken(0.2)
    session.received(notice(Kind.DELETED, "/a") + notice(Kind.DELETED, "/b"), 0.3)
    assert session.taken(0.3) == records.frame(struct.pack(">ii", -2, Op.PING))  # one, not two
    session.received(reply(-2, 60), 0.4)
    assert session.seen == 60
    session.received(notice(Kind.DELETED, "/c"), 0.5)
    assert session.taken(0.5)


def test_a_read_only_host_is_left_unless_it_is_allowed() -> None:
    session = Session(6000)
    session.connect(0.0)
    (left,) = session.received(greeting(read_only=True), 0.1)
    assert isinstance(left, Left) and "read-only" in left.reason
    assert session.id == 0
    allowed = Session(6000, read_only=True)
    allowed.connect(0.0)
    assert allowed.taken(0.0).endswith(b"\x01")
    assert allowed.received(greeting(read_only=True), 0.1) == [Began()]


def test_a_credential_is_proved_and_its_refusal_is_no_reason_for_haste() -> None:
    session = up(digest="u:p")
    assert b"u:p" in session.taken(0.1)
    assert session.received(reply(-4, 0), 0.2) == []
    (left,) = session.received(reply(-4, 0, Code.AUTH_FAILED), 0.3)
    assert left == Left("it refuses our credential", refused=True)


@pytest.mark.parametrize(
    "data",
    [
        struct.pack(">i", -1),
        struct.pack(">i", FRAME_MOST + 1),
        records.frame(b"short"),
        reply(77, 1),
        reply(-1, -1, 0, b""),
        reply(-1, -1, 0, struct.pack(">iii", 1, 3, 500) + b"x"),
        reply(-1, -1, 0, struct.pack(">iii", 1, 3, 2) + b"\xff\xff"),
    ],
)
def test_what_can_not_be_read_ends_the_connection_and_raises_nothing(data: bytes) -> None:
    (left,) = up().received(data, 0.2)
    assert isinstance(left, Left)


def test_no_request_without_a_session() -> None:
    with pytest.raises(RuntimeError):
        Session(6000).ask(Op.GET_DATA, b"", None)


def test_a_list_longer_than_its_message_is_refused_before_it_is_read() -> None:
    with pytest.raises(RecordError):
        records.Reader(struct.pack(">i", 1 << 30)).strings()
