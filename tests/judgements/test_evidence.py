"""Own evidence decays and belongs to one incarnation; the influence of other members is bounded."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from pytest import approx

from garnethaven.judgements.combining import (
    MAX_COUNT_PER_MEMBER,
    MAX_REMOVED_SHARE,
    MIN_FACTOR,
    RETRIAL_FACTOR,
    RETRIAL_MEMBERS,
    CombinedEvidence,
    ListedEndpoint,
    ReceivedEvidence,
    factor,
    factors,
    retries_endpoint,
    trust,
)
from garnethaven.judgements.evidence import (
    HALF_LIFE,
    MAX_ENDPOINTS,
    MAX_REPORTS,
    EndpointReport,
    Evidence,
    EvidenceRow,
)

S = 1_000_000_000
NO_EVIDENCE = Evidence()
KNOWN = [ListedEndpoint(endpoint, 0, 1.0) for endpoint in range(16)]


def row(
    endpoint: int, good: float, bad: float, endpoints_met: int = 8, endpoints_bad: int = 1, life: int = 0
) -> EvidenceRow:
    return EvidenceRow(endpoints_met, endpoints_bad, [EndpointReport(endpoint, life, good, bad)])


def heard(*rows: EvidenceRow, zone: int = 0, age: int = 0) -> list[ReceivedEvidence]:
    return [ReceivedEvidence(f"m{number}", zone, age, one) for number, one in enumerate(rows)]


def factors_of(
    rows: list[ReceivedEvidence], own: Evidence = NO_EVIDENCE, name: str = "x"
) -> dict[int, float]:
    return dict(factors(S, name, 40, own, CombinedEvidence(rows, 0), KNOWN))


def test_acts_fade_by_half_in_a_half_life() -> None:
    own = Evidence()
    own.record(0, 1, 0, good=False)
    assert own.counts_of(HALF_LIFE, 1, 0) == (0.0, approx(0.5))
    assert own.make_row(0 + 10 * HALF_LIFE).endpoints_met == 0 and not own.by_endpoint


def test_a_restart_begins_anew_and_what_is_still_under_way_of_before_says_nothing() -> None:
    own = Evidence()
    own.record(0, 1, 5, good=False)
    own.record(S, 1, 9, good=True)
    own.record(S, 1, 5, good=False)
    assert own.counts_of(S, 1, 9) == (1.0, 0.0) and own.counts_of(S, 1, 5) == (0.0, 0.0)
    # The endpoint list has another incarnation.
    assert factors_of(heard(row(1, 0.0, 5.0, life=5), row(1, 0.0, 5.0, life=5))) == {}


def test_the_most_surprising_are_told_and_those_that_are_good_again_while_others_shun_them() -> None:
    own = Evidence()
    for endpoint in range(40):
        for attempt in range(10):
            own.record(S, endpoint, 0, good=attempt < 10 - endpoint // 4)
    published = own.make_row(S, avoided={0})
    assert (published.endpoints_met, len(published.told)) == (40, MAX_REPORTS)
    assert published.endpoints_bad == sum(endpoint // 4 >= 1 for endpoint in range(40))
    assert 39 in {one.endpoint for one in published.told} and 0 in {one.endpoint for one in published.told}
    assert 4 not in {one.endpoint for one in published.told}


def test_memory_is_bounded() -> None:
    own = Evidence()
    for endpoint in range(MAX_ENDPOINTS + 10):
        own.record(S, endpoint, 0, good=True)
    assert len(own.by_endpoint) == MAX_ENDPOINTS and 0 not in own.by_endpoint
    for _ in range(1000):
        own.record(S, 99, 0, good=False)
    assert own.counts_of(S, 99, 0)[1] <= 50.0


def test_one_member_is_no_majority_and_several_are_believed() -> None:
    one = factors_of(heard(row(3, 0.0, 50.0)))
    several = factors_of(heard(*[row(3, 0.0, 2.0) for _ in range(6)]))
    assert one[3] >= 0.4 and several[3] < 0.2 and MAX_COUNT_PER_MEMBER <= 1.0
    assert set(one) == set(several) == {3}


def test_one_who_finds_all_bad_tells_of_itself() -> None:
    assert trust(EvidenceRow(16, 16, [])) == trust(EvidenceRow(16, 8, [])) == 0.0
    assert trust(EvidenceRow(16, 2, [])) == 1.0
    assert factors_of(heard(*[row(3, 0.0, 9.0, endpoints_met=16, endpoints_bad=14) for _ in range(5)])) == {}


def test_a_dead_server_can_not_be_praised_to_more_than_its_own_weight_and_own_evidence_outweighs() -> None:
    praised = factors_of(heard(*[row(3, 50.0, 0.0) for _ in range(3)], *[row(3, 0.0, 2.0) for _ in range(6)]))
    assert praised[3] < 0.6
    own = Evidence()
    for _ in range(20):
        own.record(S, 3, 0, good=True)
    assert factors_of(heard(*[row(3, 0.0, 2.0) for _ in range(3)]), own).get(3, 1.0) > 0.8


def test_other_zones_and_old_rows_count_for_less() -> None:
    rows = [row(3, 0.0, 2.0) for _ in range(3)]
    near = factors_of(heard(*rows))[3]
    assert factors_of(heard(*rows, zone=1))[3] > near
    assert factors_of(heard(*rows, age=2 * HALF_LIFE))[3] > near


def test_too_much_at_once_is_not_believed_at_all() -> None:
    some = [row(endpoint, 0.0, 2.0) for endpoint in range(4) for _ in range(6)]
    many = [row(endpoint, 0.0, 2.0) for endpoint in range(8) for _ in range(6)]
    assert set(factors_of(heard(*some))) == {0, 1, 2, 3}
    assert factors_of(heard(*many)) == {}


def test_a_shunned_one_is_tried_again_by_few_whoever_they_are() -> None:
    members = [f"n{number}" for number in range(400)]
    few = [name for name in members if retries_endpoint(name, 7, len(members))]
    assert 0 < len(few) <= 5 * RETRIAL_MEMBERS
    rows = heard(*[row(7, 0.0, 2.0) for _ in range(9)])
    remaining = dict(factors(S, few[0], 400, NO_EVIDENCE, CombinedEvidence(rows, 0), KNOWN))
    assert remaining[7] >= RETRIAL_FACTOR


TOLD = st.builds(
    EndpointReport,
    st.integers(0, 15),
    st.just(0),
    st.floats() | st.floats(0, 5),
    st.floats() | st.floats(0, 5),
)
ROWS = st.builds(EvidenceRow, st.integers(0, 16), st.integers(0, 16), st.lists(TOLD, max_size=16))


@given(st.lists(ROWS, max_size=12), st.integers(0, 2))
def test_whatever_is_heard_factors_stay_in_their_bounds_and_so_does_their_sum(
    rows: list[EvidenceRow], zone: int
) -> None:
    remaining = factors_of([ReceivedEvidence("m", zone, 0, one) for one in rows])
    assert all(MIN_FACTOR <= one < 1.0 for one in remaining.values())
    assert sum(1.0 - one for one in remaining.values()) <= MAX_REMOVED_SHARE * len(KNOWN) + 1e-9


@given(st.floats(0, 50), st.floats(0, 50), st.floats(0, 50), st.floats(0, 50))
def test_a_factor_grows_with_good_acts_and_falls_with_bad_ones(
    a: float, b: float, c: float, d: float
) -> None:
    assert MIN_FACTOR <= factor((a, b), (c, d)) <= 1.0
    assert factor((a + 1, b), (c, d)) >= factor((a, b), (c, d)) >= factor((a, b), (c, d + 1))
