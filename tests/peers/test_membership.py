"""Membership, step by step: suspicion, refutation, isolation, leaving and removal."""

from __future__ import annotations

from random import Random

import pytest

from garnethaven.peers.membership import (
    INDIRECT_PROBES,
    ISOLATION_THRESHOLD,
    MAX_PENDING_PROBES,
    Membership,
    PeerSettings,
    Probe,
    State,
    StateUpdate,
)

S = 1_000_000_000
PERIOD = S // 5
NAMES = [f"m{number}" for number in range(6)]


class Harness:
    """A membership whose probes are answered by the members in `reachable`."""

    def __init__(self, forget_s: float = 60.0, most: int = 10, listed: list[str] = NAMES) -> None:
        rules = PeerSettings(PERIOD, 2, int(forget_s * S), most)
        self.now = 10 * S
        self.own = Membership("m0", 1, rules, [(name, name) for name in listed], Random(3), self.now)
        self.reachable = set(listed)
        self.heartbeat = 0
        self.probes: list[Probe] = []

    def period(self, times: int = 1, with_rows: bool = True) -> None:
        """`with_rows`: an answer carries a new heartbeat of the member that it is about."""
        for _ in range(times):
            self.now += PERIOD
            self.heartbeat += 1
            self.probes = self.own.tick(self.now)
            for probe in self.probes:
                if probe.name in self.reachable and (not probe.about or probe.about in self.reachable):
                    self.own.record_answer(self.now, probe.nonce)
                    if with_rows:
                        self.own.record_heartbeat(self.now, probe.about or probe.name, 1, self.heartbeat)

    def state(self, name: str) -> State:
        return self.own.members[name].state


def test_one_that_answers_nobody_is_suspected_through_helpers_then_gone_and_still_counts() -> None:
    harness = Harness()
    harness.period(10)
    harness.reachable -= {"m3"}
    helpers: set[str] = set()
    while harness.state("m3") is State.ALIVE:
        harness.period()
        helpers |= {probe.name for probe in harness.probes if probe.about == "m3"}
        assert harness.now < 20 * S
    assert len(helpers) == INDIRECT_PROBES and "m3" not in helpers
    while harness.state("m3") is State.SUSPECT:
        harness.period()
    assert harness.state("m3") is State.GONE
    assert harness.own.member_count() == 6 and len(harness.own.live()) == 4
    assert any(update.name == "m3" and update.state == State.GONE for update in harness.own.take_updates())
    probed = set()
    for _ in range(20):
        harness.period()
        probed |= {probe.name for probe in harness.probes}
    assert "m3" in probed  # occasionally, so that its return is noticed


def test_any_later_beat_refutes_and_an_older_suspicion_changes_nothing() -> None:
    harness = Harness()
    harness.own.record_heartbeat(harness.now, "m1", 1, 7)
    harness.own.apply_update(harness.now, StateUpdate("m1", 1, 6, State.GONE))
    assert harness.state("m1") is State.ALIVE
    harness.own.apply_update(harness.now, StateUpdate("m1", 1, 7, State.SUSPECT))
    harness.own.apply_update(harness.now, StateUpdate("m1", 1, 7, State.ALIVE))
    assert harness.state("m1") is State.SUSPECT
    harness.own.record_heartbeat(harness.now, "m1", 1, 7)  # a repeated heartbeat does not refute
    assert harness.state("m1") is State.SUSPECT
    harness.own.record_heartbeat(harness.now, "m1", 1, 8)
    assert harness.state("m1") is State.ALIVE


def test_who_hears_nobody_suspects_nobody_and_says_so() -> None:
    harness = Harness()
    harness.period(5)
    harness.reachable = set()
    harness.period(100)
    assert harness.own.is_isolated() and harness.own.health_penalty > ISOLATION_THRESHOLD
    assert not [name for name in NAMES[1:] if harness.state(name) is not State.ALIVE]
    harness.reachable = set(NAMES)
    harness.period(20)
    assert not harness.own.is_isolated()


def test_suspicion_of_oneself_is_counted_and_does_nothing() -> None:
    harness = Harness()
    harness.own.apply_update(harness.now, StateUpdate("m0", 1, 3, State.SUSPECT))
    assert harness.own.false_suspicions == 1 and harness.own.member_count() == 6


def test_one_that_has_left_counts_no_more_and_comes_back_by_a_new_life_alone() -> None:
    harness = Harness()
    harness.own.record_heartbeat(harness.now, "m2", 1, 4)
    harness.own.apply_update(harness.now, StateUpdate("m2", 1, 4, State.LEFT))
    assert harness.own.member_count() == 5 and harness.own.take_changes().forgotten == ["m2"]
    harness.own.record_heartbeat(harness.now, "m2", 1, 5)  # sent before the member left
    assert harness.own.member_count() == 5
    harness.own.record_heartbeat(harness.now, "m2", 2, 1)
    assert harness.own.member_count() == 6 and harness.state("m2") is State.ALIVE


def test_a_silent_member_is_forgotten_in_time_and_one_that_joined_is_dropped() -> None:
    harness = Harness(forget_s=20.0)
    harness.own.record_heartbeat(harness.now, "new", 1, 1, "new")
    assert harness.own.member_count() == 7
    harness.reachable -= {"m4"}
    harness.period(140)
    assert "new" not in harness.own.members and harness.own.member_count() == 5
    harness.reachable |= {"m4"}
    harness.own.record_heartbeat(harness.now, "m4", 2, 1)
    assert harness.own.member_count() == 6


def test_joining_is_bounded_and_needs_an_address() -> None:
    harness = Harness(most=8)
    for number in range(9):
        harness.own.record_heartbeat(harness.now, f"x{number}", 1, 1, f"x{number}")
    assert harness.own.member_count() == 8 and harness.own.left_out == 7
    harness.own.record_heartbeat(harness.now, "y", 1, 1)
    assert "y" not in harness.own.members


def test_between_two_questions_to_one_member_there_are_at_most_two_rounds() -> None:
    harness = Harness()
    last = dict.fromkeys(NAMES[1:], 0)
    for turn in range(1, 200):
        harness.period()
        for probe in harness.probes:
            last[probe.name] = turn
        assert turn - min(last.values()) <= 2 * 5 / 2 + 1


def test_open_questions_and_news_are_bounded() -> None:
    harness = Harness()
    for _ in range(MAX_PENDING_PROBES + 50):
        harness.own.probe_for(harness.now, "m1")
    assert len(harness.own.pending_probes) == MAX_PENDING_PROBES
    for heartbeat in range(50):
        harness.own.apply_update(harness.now, StateUpdate("m1", 1, heartbeat, State.SUSPECT))
    assert len(harness.own.update_queue) == 1
    for _ in range(200):
        harness.own.take_updates()
    assert not harness.own.update_queue  # each update is sent a limited number of times


@pytest.mark.parametrize("state", [-1, 4, 99])
def test_a_state_that_is_none_is_passed_over(state: int) -> None:
    harness = Harness()
    harness.own.apply_update(harness.now, StateUpdate("m1", 9, 9, state))
    assert harness.state("m1") is State.ALIVE


def test_a_new_list_of_members_is_taken_over() -> None:
    harness = Harness()
    harness.own.set_listed(harness.now, [("m1", "elsewhere"), ("m7", "m7")])
    assert harness.own.members["m1"].at == "elsewhere" and "m7" in harness.own.members
    assert not harness.own.members["m2"].listed and harness.own.members["m2"].state is State.ALIVE
