"""Who is there, step by step: suspicion, refutation, doubt of oneself, leaving and being forgotten."""

from __future__ import annotations

from random import Random

import pytest

from garnethaven.peers.membership import (
    INDIRECT_PROBES,
    ISOLATION_THRESHOLD,
    MAX_PENDING_PROBES,
    Membership,
    Probe,
    Rules,
    State,
    StateUpdate,
)

S = 1_000_000_000
PERIOD = S // 5
NAMES = [f"m{number}" for number in range(6)]


class Asked:
    """A membership whose questions are answered by those that are `there`."""

    def __init__(self, forget_s: float = 60.0, most: int = 10, listed: list[str] = NAMES) -> None:
        rules = Rules(PERIOD, 2, int(forget_s * S), most)
        self.now = 10 * S
        self.own = Membership("m0", 1, rules, [(name, name) for name in listed], Random(3), self.now)
        self.there = set(listed)
        self.heartbeat = 0
        self.probes: list[Probe] = []

    def period(self, times: int = 1, heard: bool = True) -> None:
        """`heard`: an answer brings the answering member's beat with it."""
        for _ in range(times):
            self.now += PERIOD
            self.heartbeat += 1
            self.probes = self.own.tick(self.now)
            for probe in self.probes:
                if probe.name in self.there and (not probe.about or probe.about in self.there):
                    self.own.record_answer(self.now, probe.nonce)
                    if heard:
                        self.own.record_heartbeat(self.now, probe.about or probe.name, 1, self.heartbeat)

    def state(self, name: str) -> State:
        return self.own.members[name].state


def test_one_that_answers_nobody_is_suspected_through_helpers_then_gone_and_still_counts() -> None:
    seen = Asked()
    seen.period(10)
    seen.there -= {"m3"}
    helped: set[str] = set()
    while seen.state("m3") is State.ALIVE:
        seen.period()
        helped |= {probe.name for probe in seen.probes if probe.about == "m3"}
        assert seen.now < 20 * S
    assert len(helped) == INDIRECT_PROBES and "m3" not in helped
    while seen.state("m3") is State.SUSPECT:
        seen.period()
    assert seen.state("m3") is State.GONE
    assert seen.own.counted() == 6 and len(seen.own.live()) == 4
    assert any(update.name == "m3" and update.state == State.GONE for update in seen.own.take_updates())
    asked = set()
    for _ in range(20):
        seen.period()
        asked |= {probe.name for probe in seen.probes}
    assert "m3" in asked  # now and then: nobody needs to notice that it is back


def test_any_later_beat_refutes_and_an_older_suspicion_changes_nothing() -> None:
    seen = Asked()
    seen.own.record_heartbeat(seen.now, "m1", 1, 7)
    seen.own.apply_update(seen.now, StateUpdate("m1", 1, 6, State.GONE))
    assert seen.state("m1") is State.ALIVE
    seen.own.apply_update(seen.now, StateUpdate("m1", 1, 7, State.SUSPECT))
    seen.own.apply_update(seen.now, StateUpdate("m1", 1, 7, State.ALIVE))
    assert seen.state("m1") is State.SUSPECT
    seen.own.record_heartbeat(seen.now, "m1", 1, 7)  # a repeat is no beat
    assert seen.state("m1") is State.SUSPECT
    seen.own.record_heartbeat(seen.now, "m1", 1, 8)
    assert seen.state("m1") is State.ALIVE


def test_who_hears_nobody_suspects_nobody_and_says_so() -> None:
    seen = Asked()
    seen.period(5)
    seen.there = set()
    seen.period(100)
    assert seen.own.deaf() and seen.own.health_penalty > ISOLATION_THRESHOLD
    assert not [name for name in NAMES[1:] if seen.state(name) is not State.ALIVE]
    seen.there = set(NAMES)
    seen.period(20)
    assert not seen.own.deaf()


def test_suspicion_of_oneself_is_counted_and_does_nothing() -> None:
    seen = Asked()
    seen.own.apply_update(seen.now, StateUpdate("m0", 1, 3, State.SUSPECT))
    assert seen.own.false_suspicions == 1 and seen.own.counted() == 6


def test_one_that_has_left_counts_no_more_and_comes_back_by_a_new_life_alone() -> None:
    seen = Asked()
    seen.own.record_heartbeat(seen.now, "m2", 1, 4)
    seen.own.apply_update(seen.now, StateUpdate("m2", 1, 4, State.LEFT))
    assert seen.own.counted() == 5 and seen.own.take_changes().forgotten == ["m2"]
    seen.own.record_heartbeat(seen.now, "m2", 1, 5)  # was on its way since before
    assert seen.own.counted() == 5
    seen.own.record_heartbeat(seen.now, "m2", 2, 1)
    assert seen.own.counted() == 6 and seen.state("m2") is State.ALIVE


def test_a_silent_member_is_forgotten_in_time_and_one_that_joined_is_dropped() -> None:
    seen = Asked(forget_s=20.0)
    seen.own.record_heartbeat(seen.now, "new", 1, 1, "new")
    assert seen.own.counted() == 7
    seen.there -= {"m4"}
    seen.period(140)
    assert "new" not in seen.own.members and seen.own.counted() == 5
    seen.there |= {"m4"}
    seen.own.record_heartbeat(seen.now, "m4", 2, 1)
    assert seen.own.counted() == 6


def test_joining_is_bounded_and_needs_an_address() -> None:
    seen = Asked(most=8)
    for number in range(9):
        seen.own.record_heartbeat(seen.now, f"x{number}", 1, 1, f"x{number}")
    assert seen.own.counted() == 8 and seen.own.left_out == 7
    seen.own.record_heartbeat(seen.now, "y", 1, 1)
    assert "y" not in seen.own.members


def test_between_two_questions_to_one_member_there_are_at_most_two_rounds() -> None:
    seen = Asked()
    last = dict.fromkeys(NAMES[1:], 0)
    for turn in range(1, 200):
        seen.period()
        for probe in seen.probes:
            last[probe.name] = turn
        assert turn - min(last.values()) <= 2 * 5 / 2 + 1


def test_open_questions_and_news_are_bounded() -> None:
    seen = Asked()
    for _ in range(MAX_PENDING_PROBES + 50):
        seen.own.probe_for(seen.now, "m1")
    assert len(seen.own.pending_probes) == MAX_PENDING_PROBES
    for heartbeat in range(50):
        seen.own.apply_update(seen.now, StateUpdate("m1", 1, heartbeat, State.SUSPECT))
    assert len(seen.own.update_queue) == 1
    for _ in range(200):
        seen.own.take_updates()
    assert not seen.own.update_queue  # each piece is told so many times, then no more


@pytest.mark.parametrize("state", [-1, 4, 99])
def test_a_state_that_is_none_is_passed_over(state: int) -> None:
    seen = Asked()
    seen.own.apply_update(seen.now, StateUpdate("m1", 9, 9, state))
    assert seen.state("m1") is State.ALIVE


def test_a_new_list_of_members_is_taken_over() -> None:
    seen = Asked()
    seen.own.set_listed(seen.now, [("m1", "elsewhere"), ("m7", "m7")])
    assert seen.own.members["m1"].at == "elsewhere" and "m7" in seen.own.members
    assert not seen.own.members["m2"].listed and seen.own.members["m2"].state is State.ALIVE
