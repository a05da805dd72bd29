"""Requests and answers between members: ages, parts, indirect probes, and a name that two processes use."""

from __future__ import annotations

from random import Random

import msgspec
import pytest

from garnethaven.gossip.rows import Row
from garnethaven.peers.conversation import (
    MAX_ANSWER_PARTS,
    MAX_MESSAGE_BYTES,
    MAX_ROW_BYTES,
    NAME_CONFLICT_PAUSE,
    NO_ROWS,
    PACK,
    AgedRow,
    Exchange,
    OutgoingMessage,
    Peer,
    SyncAnswer,
    SyncRequest,
    Topic,
    decode_message,
)
from garnethaven.peers.membership import PeerSettings, State

S = 1_000_000_000
PERIOD = S // 5


def peer(name: str, names: str = "abc", incarnation: int = 1, listed: bool = True, now: int = 0) -> Peer:
    rules = PeerSettings(PERIOD, 2, 60 * S, 600)
    known = [(other, other) for other in names] if listed else [(names[0], names[0])]
    return Peer(name, name, incarnation, known, rules, 2 * S, Random(f"{name} {incarnation}"), now)


class Network:
    """Members that reach one another without delay, except for the links in `cut`."""

    def __init__(self, *peers: Peer) -> None:
        self.peers = {member.own: member for member in peers}
        self.cut: set[tuple[str, str]] = set()
        self.now = S

    def carry(self, source: str, outs: list[OutgoingMessage]) -> None:
        for out in outs:
            assert len(out.body) <= MAX_MESSAGE_BYTES
            if out.at in self.peers and (source, out.at) not in self.cut:
                answers = self.peers[out.at].receive(self.now, decode_message(out.body), source)
                self.carry(out.at, answers)

    def period(self, times: int = 1) -> None:
        for _ in range(times):
            self.now += PERIOD
            for at, member in list(self.peers.items()):
                self.carry(at, member.tick(self.now))


def test_all_hear_all_and_share_a_view() -> None:
    network = Network(*(peer(name) for name in "abc"))
    network.period(6)
    for member in network.peers.values():
        assert member.horizon(network.now).heard == 3
        assert len(member.view(network.now)) == 2


def test_one_that_two_can_t_reach_directly_is_heard_through_the_third() -> None:
    network = Network(*(peer(name) for name in "abc"))
    network.cut = {("a", "b"), ("b", "a")}
    network.period(40)
    assert network.peers["a"].horizon(network.now).heard == 3
    assert network.peers["a"].members.members["b"].state is State.ALIVE


def test_an_answer_that_nobody_asked_for_has_no_age_and_is_dropped() -> None:
    member = peer("a")
    answer = SyncAnswer(4711, "b", 9, 0, 1, 1, [AgedRow(0, Row("b", 1, 5, 3))])
    assert member.receive(S, answer, "b") == []
    assert "b" not in member.rows.current


def test_an_answer_that_comes_late_tells_of_old_rows() -> None:
    member = peer("a")
    (out, *_) = member.tick(S)
    request = decode_message(out.body)
    assert isinstance(request, SyncRequest)
    answer = SyncAnswer(request.nonce, out.at, 9, 0, 1, 1, [AgedRow(250, Row(out.at, 1, 5, 3))])
    member.receive(S + 1500 * 1_000_000, answer, out.at)
    assert member.rows.age(S + 1500 * 1_000_000, out.at) == 1750 * 1_000_000


def test_a_stalled_member_finds_what_it_knows_old() -> None:
    """Answers to requests from before the stall are as old as the stall."""
    network = Network(*(peer(name) for name in "abc"))
    network.period(6)
    member = network.peers.pop("a")
    outs = member.tick(network.now)
    answers = [
        (out.at, answer)
        for out in outs
        for answer in network.peers[out.at].receive(network.now, decode_message(out.body), "a")
    ]
    resumed_at = network.now + 3 * S
    for source, answer in answers:
        member.receive(resumed_at, decode_message(answer.body), source)
    assert member.horizon(resumed_at).heard == 1 and member.view(resumed_at) == []


def test_a_large_table_goes_over_in_parts_with_the_freshest_first() -> None:
    responder, requester = peer("a"), peer("b")
    for number in range(400):
        responder.members.record_heartbeat(S, f"x{number}", 1, 1, f"127.0.0.1:{number}")
        responder.rows.learn(S, Row(f"x{number}", 1, 1, 3), 0)
    requester.members.rules.probes_per_period = 1
    outs = [out for out in requester.tick(S) if out.at == "a"] or [
        OutgoingMessage("a", PACK(SyncRequest(1, "b", 1, 1, "b", "", 0, 0)))
    ]
    answers = responder.receive(S, decode_message(outs[0].body), "b")
    assert len(answers) == MAX_ANSWER_PARTS and all(len(out.body) <= MAX_MESSAGE_BYTES for out in answers)
    first = decode_message(answers[0].body)
    assert isinstance(first, SyncAnswer) and first.rows[0].row.name == "x399"


def test_what_was_taken_in_whole_is_not_asked_for_again() -> None:
    network = Network(peer("a", "ab"), peer("b", "ab"))
    network.period(3)
    received = network.peers["a"].received["b"]
    assert received.process == network.peers["b"].process and received.through_serial > 0
    changed = network.peers["b"].rows.since(received.through_serial)
    assert len(changed) <= 2
    network.peers["b"] = peer("b", "ab", incarnation=2)  # another process, whose serials start again at zero
    network.peers["b"].process += 1
    network.period(3)
    assert network.peers["a"].rows.current["b"].row.incarnation == 2


def test_one_that_is_in_no_file_joins_by_asking_one_that_is() -> None:
    network = Network(*(peer(name) for name in "abc"), peer("new", "a", listed=False))
    network.period(15)
    assert network.peers["c"].members.members["new"].at == "new"
    assert all(member.horizon(network.now).heard == 4 for member in network.peers.values())


def test_a_planned_end_is_told_at_once() -> None:
    network = Network(*(peer(name) for name in "abc"))
    network.period(6)
    leaving = network.peers["b"]
    network.carry("b", leaving.leave(network.now))
    del network.peers["b"]
    network.period(3)
    assert [network.peers[name].members.member_count() for name in "ac"] == [2, 2]
    network.peers["b"] = peer("b", incarnation=2, now=network.now)
    network.period(6)
    assert [member.members.member_count() for member in network.peers.values()] == [3, 3, 3]


def test_a_restart_with_the_clock_set_back_takes_a_later_life() -> None:
    network = Network(*(peer(name, incarnation=1000) for name in "abc"))
    network.period(6)
    network.peers["b"] = peer("b", incarnation=10, now=network.now)
    resets: list[bool] = []
    network.peers["b"].topics["t"] = Topic(lambda now: [], lambda: resets.append(True))
    network.period(8)
    assert network.peers["b"].members.incarnation > 1000 and resets == [True]
    assert network.peers["a"].rows.current["b"].row.incarnation == network.peers["b"].members.incarnation
    assert not network.peers["b"].is_muted(network.now)


def test_of_two_processes_with_one_name_one_falls_mute_and_says_so() -> None:
    network = Network(*(peer(name) for name in "abc"))
    network.period(6)
    duplicate = peer("b", incarnation=2, now=network.now)
    network.peers["twin"] = duplicate  # delivered under another name, as from another address
    network.period(30)
    pair = [network.peers["b"], duplicate]
    assert any(member.is_muted(network.now) for member in pair)
    lines = [line for member in pair for line in member.lines]
    assert any("another process has the name 'b'" in line for line in lines)
    mute = next(member for member in pair if member.is_muted(network.now))
    assert mute is duplicate  # the other process had the name first
    assert mute.view(network.now) == []  # it counts only itself
    assert network.peers["a"].members.members["b"].state is State.ALIVE
    assert network.peers["a"].horizon(network.now).members == 3
    assert not mute.is_muted(network.now + NAME_CONFLICT_PAUSE)


def test_a_row_that_is_too_long_loses_its_longest_topic() -> None:
    member = peer("a")
    member.topics["long"] = Topic(lambda now: "x" * MAX_ROW_BYTES, lambda: None)
    member.topics["short"] = Topic(lambda now: [1, 2], lambda: None)
    member.tick(S)
    assert set(member.rows.current["a"].row.topics) == {"short"} and member.dropped_topics == 1


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
        decode_message(body)


def test_relays_pass_on_what_they_do_not_read() -> None:
    values = {"t": msgspec.Raw(PACK([[1, 2.5, 3, 4]]))}
    answer = decode_message(PACK(SyncAnswer(1, "b", 1, 0, 1, 1, [AgedRow(0, Row("b", 1, 1, 1, values))])))
    assert isinstance(answer, SyncAnswer)
    assert bytes(answer.rows[0].row.topics["t"]) == PACK([[1, 2.5, 3, 4]])


def test_who_wants_something_asks_more_members_and_for_no_rows() -> None:
    network = Network(*(peer(name, "abcd") for name in "abcd"))
    network.period(4)
    member, receivers = network.peers["a"], []
    for other in network.peers.values():
        other.exchanges["t"] = Exchange(
            lambda now, other=other: 1 if other is member else None,  # type: ignore[misc]
            lambda now, name, raw: 2,
            lambda now, asked_at, process, raw: receivers.append(process),
        )
    before = {name: (received.process, received.through_serial) for name, received in member.received.items()}
    member.extra_probes = 5
    outs = member.tick(network.now)
    requests = [decode_message(out.body) for out in outs]
    extra = [(out, request) for out, request in zip(outs, requests, strict=True) if request.since == NO_ROWS]
    assert len(extra) == 1 and len(outs) == 3  # all three others; two of them are asked for rows as usual
    (out, request) = extra[0]
    (reply,) = network.peers[out.at].receive(network.now, request, "a")
    answer = decode_message(reply.body)
    assert isinstance(answer, SyncAnswer) and answer.rows == [] and answer.parts == 0
    member.receive(network.now, answer, out.at)
    assert receivers == [network.peers[out.at].process]
    assert {
        name: (received.process, received.through_serial) for name, received in member.received.items()
    } == before
