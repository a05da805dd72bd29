"""Questions and answers between members: ages, parts, helpers, and a name that two processes use."""

from __future__ import annotations

from random import Random

import msgspec
import pytest

from garnethaven.gossip.rows import Row
from garnethaven.peers.conversation import (
    BODY_MOST,
    CLASH,
    MAX_ANSWER_PARTS,
    MAX_ROW_BYTES,
    NO_ROWS,
    PACK,
    UNPACK,
    AgedRow,
    Answer,
    Exchange,
    Out,
    Peer,
    SyncRequest,
    Topic,
)
from garnethaven.peers.membership import Rules, State

S = 1_000_000_000
PERIOD = S // 5


def peer(name: str, names: str = "abc", life: int = 1, listed: bool = True, now: int = 0) -> Peer:
    rules = Rules(PERIOD, 2, 60 * S, 600)
    known = [(other, other) for other in names] if listed else [(names[0], names[0])]
    return Peer(name, name, life, known, rules, 2 * S, Random(f"{name} {life}"), now)


class Table:
    """Members that reach one another at once, but for those that are cut."""

    def __init__(self, *peers: Peer) -> None:
        self.peers = {one.own: one for one in peers}
        self.cut: set[tuple[str, str]] = set()
        self.now = S

    def carry(self, source: str, outs: list[Out]) -> None:
        for out in outs:
            assert len(out.body) <= BODY_MOST
            if out.at in self.peers and (source, out.at) not in self.cut:
                answers = self.peers[out.at].came(self.now, UNPACK(out.body), source)
                self.carry(out.at, answers)

    def period(self, times: int = 1) -> None:
        for _ in range(times):
            self.now += PERIOD
            for at, one in list(self.peers.items()):
                self.carry(at, one.tick(self.now))


def test_all_hear_all_and_share_a_view() -> None:
    table = Table(*(peer(name) for name in "abc"))
    table.period(6)
    for one in table.peers.values():
        assert one.horizon(table.now).heard == 3
        assert len(one.view(table.now)) == 2


def test_one_that_two_can_t_reach_directly_is_heard_through_the_third() -> None:
    table = Table(*(peer(name) for name in "abc"))
    table.cut = {("a", "b"), ("b", "a")}
    table.period(40)
    assert table.peers["a"].horizon(table.now).heard == 3
    assert table.peers["a"].members.members["b"].state is State.ALIVE


def test_an_answer_that_nobody_asked_for_has_no_age_and_is_dropped() -> None:
    one = peer("a")
    told = Answer(4711, "b", 9, 0, 1, 1, [AgedRow(0, Row("b", 1, 5, 3))])
    assert one.came(S, told, "b") == []
    assert "b" not in one.rows.kept


def test_an_answer_that_comes_late_tells_of_old_rows() -> None:
    one = peer("a")
    (out, *_) = one.tick(S)
    question = UNPACK(out.body)
    assert isinstance(question, SyncRequest)
    told = Answer(question.nonce, out.at, 9, 0, 1, 1, [AgedRow(250, Row(out.at, 1, 5, 3))])
    one.came(S + 1500 * 1_000_000, told, out.at)
    assert one.rows.age(S + 1500 * 1_000_000, out.at) == 1750 * 1_000_000


def test_a_stalled_member_finds_what_it_knows_old() -> None:
    """Answers to questions from before the stall are as old as the stall."""
    table = Table(*(peer(name) for name in "abc"))
    table.period(6)
    one = table.peers.pop("a")
    waiting = one.tick(table.now)
    answers = [
        (out.at, answer)
        for out in waiting
        for answer in table.peers[out.at].came(table.now, UNPACK(out.body), "a")
    ]
    wakes = table.now + 3 * S
    for source, answer in answers:
        one.came(wakes, UNPACK(answer.body), source)
    assert one.horizon(wakes).heard == 1 and one.view(wakes) == []


def test_a_large_table_goes_over_in_parts_with_the_freshest_first() -> None:
    big, asker = peer("a"), peer("b")
    for number in range(400):
        big.members.record_heartbeat(S, f"x{number}", 1, 1, f"127.0.0.1:{number}")
        big.rows.learn(S, Row(f"x{number}", 1, 1, 3), 0)
    asker.members.rules.asks = 1
    outs = [out for out in asker.tick(S) if out.at == "a"] or [
        Out("a", PACK(SyncRequest(1, "b", 1, 1, "b", "", 0, 0)))
    ]
    answers = big.came(S, UNPACK(outs[0].body), "b")
    assert len(answers) == MAX_ANSWER_PARTS and all(len(out.body) <= BODY_MOST for out in answers)
    first = UNPACK(answers[0].body)
    assert isinstance(first, Answer) and first.rows[0].row.name == "x399"


def test_what_was_taken_in_whole_is_not_asked_for_again() -> None:
    table = Table(peer("a", "ab"), peer("b", "ab"))
    table.period(3)
    got = table.peers["a"].received["b"]
    assert got.process == table.peers["b"].process and got.through_serial > 0
    fresh = table.peers["b"].rows.since(got.through_serial)
    assert len(fresh) <= 2
    table.peers["b"] = peer("b", "ab", life=2)  # another process: its serials begin anew
    table.peers["b"].process += 1
    table.period(3)
    assert table.peers["a"].rows.kept["b"].row.life == 2


def test_one_that_is_in_no_file_joins_by_asking_one_that_is() -> None:
    table = Table(*(peer(name) for name in "abc"), peer("new", "a", listed=False))
    table.period(15)
    assert table.peers["c"].members.members["new"].at == "new"
    assert all(one.horizon(table.now).heard == 4 for one in table.peers.values())


def test_a_planned_end_is_told_at_once() -> None:
    table = Table(*(peer(name) for name in "abc"))
    table.period(6)
    leaving = table.peers["b"]
    table.carry("b", leaving.leaves(table.now))
    del table.peers["b"]
    table.period(3)
    assert [table.peers[name].members.counted() for name in "ac"] == [2, 2]
    table.peers["b"] = peer("b", life=2, now=table.now)
    table.period(6)
    assert [one.members.counted() for one in table.peers.values()] == [3, 3, 3]


def test_a_restart_with_the_clock_set_back_takes_a_later_life() -> None:
    table = Table(*(peer(name, life=1000) for name in "abc"))
    table.period(6)
    table.peers["b"] = peer("b", life=10, now=table.now)
    anew: list[bool] = []
    table.peers["b"].topics["t"] = Topic(lambda now: [], lambda: anew.append(True))
    table.period(8)
    assert table.peers["b"].members.life > 1000 and anew == [True]
    assert table.peers["a"].rows.kept["b"].row.life == table.peers["b"].members.life
    assert not table.peers["b"].mute(table.now)


def test_of_two_processes_with_one_name_one_falls_mute_and_says_so() -> None:
    table = Table(*(peer(name) for name in "abc"))
    table.period(6)
    twin = peer("b", life=2, now=table.now)
    table.peers["twin"] = twin  # carried under another name, as from another address
    table.period(30)
    pair = [table.peers["b"], twin]
    assert any(one.mute(table.now) for one in pair)
    lines = [line for one in pair for line in one.lines]
    assert any("another process has the name 'b'" in line for line in lines)
    mute = next(one for one in pair if one.mute(table.now))
    assert mute is twin  # the name was taken
    assert mute.view(table.now) == []  # it counts itself alone
    assert table.peers["a"].members.members["b"].state is State.ALIVE
    assert table.peers["a"].horizon(table.now).members == 3
    assert not mute.mute(table.now + CLASH)


def test_a_row_that_is_too_long_loses_its_longest_topic() -> None:
    one = peer("a")
    one.topics["long"] = Topic(lambda now: "x" * MAX_ROW_BYTES, lambda: None)
    one.topics["short"] = Topic(lambda now: [1, 2], lambda: None)
    one.tick(S)
    assert set(one.rows.kept["a"].row.told) == {"short"} and one.dropped_topics == 1


BAD = (
    b"",
    b"\xc1",
    PACK([1]),
    PACK([2, 1, "b", 1, 0, 1, 1, [[-5, ["b", 1, 1, 1]]]]),
    PACK([1, 1, "", 1, 1, "at", "", 0, 0]),
    PACK([1, 1, "n" * 65, 1, 1, "at", "", 0, 0]),
    PACK([2, 1, "b", 1, 0, 1, 1, [], [["b", 1, 1, 1]] * 17]),
    PACK([2, 1, "b", 1, 0, 1, 1, [[0, ["b", 1, 1, 1, {"t": {"u": [[]]}}]], "no"]]),
)


@pytest.mark.parametrize("body", BAD)
def test_what_is_no_message_is_refused_by_its_form(body: bytes) -> None:
    with pytest.raises(msgspec.MsgspecError):
        UNPACK(body)


def test_relays_pass_on_what_they_do_not_read() -> None:
    told = {"t": msgspec.Raw(PACK([[1, 2.5, 3, 4]]))}
    said = UNPACK(PACK(Answer(1, "b", 1, 0, 1, 1, [AgedRow(0, Row("b", 1, 1, 1, told))])))
    assert isinstance(said, Answer)
    assert bytes(said.rows[0].row.told["t"]) == PACK([[1, 2.5, 3, 4]])


def test_who_wants_something_asks_more_members_and_for_no_rows() -> None:
    table = Table(*(peer(name, "abcd") for name in "abcd"))
    table.period(4)
    one, given = table.peers["a"], []
    for other in table.peers.values():
        other.exchanges["t"] = Exchange(
            lambda now, other=other: 1 if other is one else None,  # type: ignore[misc]
            lambda now, name, raw: 2,
            lambda now, asked_at, process, raw: given.append(process),
        )
    before = {name: (got.process, got.through_serial) for name, got in one.received.items()}
    one.eager = 5
    outs = one.tick(table.now)
    questions = [UNPACK(out.body) for out in outs]
    eager = [(out, ask) for out, ask in zip(outs, questions, strict=True) if ask.since == NO_ROWS]
    assert len(eager) == 1 and len(outs) == 3  # all the others, of whom two are asked as ever
    (out, ask) = eager[0]
    (answer,) = table.peers[out.at].came(table.now, ask, "a")
    told = UNPACK(answer.body)
    assert isinstance(told, Answer) and told.rows == [] and told.parts == 0
    one.came(table.now, told, out.at)
    assert given == [table.peers[out.at].process]
    assert {name: (got.process, got.through_serial) for name, got in one.received.items()} == before
