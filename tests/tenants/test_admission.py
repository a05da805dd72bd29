"""One member's admission in virtual time: what it admits, given the demands that others publish."""

from __future__ import annotations

from garnethaven.tenants.admission import (
    FIRST_CONFIGURED_ID,
    FLOOR_RATIO,
    FLOOR_RETENTION_S,
    MAX_PUBLISHED_TENANTS,
    Admission,
    Allowance,
    TenantCounters,
    View,
    implausible,
)

S = 1_000_000_000
SETTLE = 2 * S
PERIOD = S // 5
MEMBERS = 10


class Member:
    """An admission that publishes and updates its view once per period."""

    def __init__(
        self, per_s: float = 100.0, burst: float = 20.0, default_allowance: Allowance | None = None
    ) -> None:
        self.now = 5 * S
        self.admission = Admission(
            {"big": Allowance(per_s, burst)}, default_allowance, 16, SETTLE, self.now, MEMBERS
        )
        self.demands: dict[int, list[float]] = {}
        self.same_view_count = MEMBERS

    @property
    def big(self) -> int:
        tenant_id = self.admission.id_of("big")
        assert tenant_id is not None
        return tenant_id

    def run_for(self, seconds: float, rate: float = 0.0, name: str = "big") -> int:
        """Sends a tenant's requests at a constant rate; returns how many are admitted."""
        admitted, pending, step = 0, 0.0, PERIOD // 100
        tenant_id = self.admission.id_of(name)
        assert tenant_id is not None
        for _ in range(round(seconds * S / PERIOD)):
            for _ in range(100):
                self.now += step
                pending += rate * step / S
                while pending >= 1.0:
                    pending -= 1.0
                    admitted += self.admission.admit(self.now, tenant_id) is None
            self.admission.publish(self.now)
            self.admission.update_view(self.now, View(MEMBERS, self.same_view_count, self.demands))
        return admitted


def test_one_that_hears_nobody_takes_its_even_part_and_one_that_hears_all_takes_the_rest() -> None:
    member = Member()
    member.same_view_count = 1
    member.run_for(5.0, 500.0)
    assert 95 <= member.run_for(10.0, 500.0) <= 105
    member.same_view_count = MEMBERS
    member.run_for(5.0, 500.0)
    assert 950 <= member.run_for(10.0, 500.0) <= 1005


def test_a_rise_waits_until_all_have_heard_of_it_and_a_fall_does_not() -> None:
    member = Member()
    member.demands = {member.big: [90.0]}
    member.run_for(3.0)
    # Its published floor, and its bucket.
    assert member.run_for(SETTLE / S, 500.0) <= FLOOR_RATIO * 10.0 * 2 + 2
    member.run_for(3.0, 500.0)
    assert member.run_for(2.0, 500.0) >= 0.9 * 2 * 50
    member.demands = {member.big: [90.0, 90.0, 90.0]}
    member.run_for(PERIOD / S, 500.0)
    assert member.run_for(2.0, 500.0) <= 2 * 25 + 1


def test_a_view_that_grows_counts_after_a_while_and_one_that_shrinks_at_once() -> None:
    member = Member()
    member.run_for(6.0, 500.0)
    member.same_view_count = MEMBERS // 2
    member.run_for(PERIOD / S, 500.0)
    assert member.run_for(2.0, 500.0) <= 2 * 50 + 1
    member.same_view_count = MEMBERS
    assert member.run_for(SETTLE / S - 0.4, 500.0) <= SETTLE / S * 50 + 1
    member.run_for(1.0, 500.0)
    assert member.run_for(2.0, 500.0) >= 0.95 * 200


def test_where_a_tenant_is_told_of_it_finds_its_floor() -> None:
    member = Member()
    member.demands = {member.big: [900.0] * 9}
    member.run_for(2.0, 20.0)
    member.run_for(FLOOR_RETENTION_S / 2 - 1.0)  # no requests in this time
    share = member.admission.tenants[member.big].share
    assert share == FLOOR_RATIO * 10.0
    member.run_for(FLOOR_RETENTION_S)
    assert member.admission.tenants[member.big].share == 0.0  # then the others get the share


def test_a_refusal_tells_when_to_come_again() -> None:
    member = Member()
    member.run_for(6.0, 500.0)
    wait = member.admission.admit(member.now, member.big)
    while wait is None:
        wait = member.admission.admit(member.now, member.big)
    assert 0 < wait <= SETTLE
    member.now += wait
    assert member.admission.admit(member.now + PERIOD // 100, member.big) is None


def test_a_member_that_stood_still_hears_nobody_until_it_looks_again() -> None:
    member = Member()
    member.run_for(6.0, 500.0)
    assert member.admission.tenants[member.big].share > 90.0
    member.now += 10 * S
    admitted = sum(member.admission.admit(member.now + i * S // 100, member.big) is None for i in range(100))
    assert admitted <= 2 + 10 + 1  # its bucket, and its even share


def test_ten_thousand_invented_names_take_a_slot_each_at_the_most() -> None:
    member = Member(default_allowance=Allowance(10.0, 10.0))
    for number in range(10_000):
        tenant_id = member.admission.id_of(f"x{number}")
        assert tenant_id is not None and tenant_id < 16
        member.admission.admit(member.now, tenant_id)
    assert len(member.admission.tenants) == 16 + 1
    assert member.big >= FIRST_CONFIGURED_ID  # an invented name can't collide with a configured one
    member.run_for(60.0)
    assert not [number for number in member.admission.tenants if number < FIRST_CONFIGURED_ID]


def test_names_without_any_allowance_are_not_bounded() -> None:
    assert Member().admission.id_of("other") is None


def test_all_members_number_a_name_alike_and_the_key_tells_how() -> None:
    member, other_member = Member(), Member()
    assert member.big == other_member.big
    salted = Admission({"big": Allowance(1.0, 1.0)}, None, 16, SETTLE, 0, 2, b"key")
    assert salted.id_of("big") != member.big


def test_a_row_holds_so_many_tenants_and_what_is_not_told_is_held_for_nothing() -> None:
    names = {f"t{number}": Allowance(100.0, 10.0) for number in range(MAX_PUBLISHED_TENANTS + 5)}
    admission = Admission(names, None, 16, SETTLE, 0, MEMBERS)
    for period in range(100):
        now = period * PERIOD
        for number in range(MAX_PUBLISHED_TENANTS + 5):
            for _ in range(20 if number < MAX_PUBLISHED_TENANTS else 1):
                admission.admit(now, admission.ids[f"t{number}"])
        published = admission.publish(now)
        assert len(published) <= MAX_PUBLISHED_TENANTS
        admission.update_view(now, View(MEMBERS, MEMBERS, {}))
    unpublished = admission.tenants[admission.ids[f"t{MAX_PUBLISHED_TENANTS}"]]
    assert unpublished.min_published(now, SETTLE) == 0.0
    assert unpublished.share <= 10.0


def test_a_new_table_keeps_what_was_used() -> None:
    member = Member()
    member.run_for(6.0, 500.0)
    tokens = member.admission.tenants[member.big].tokens
    member.admission.set_allowances({"big": Allowance(10.0, 10.0)}, None, 16)
    assert member.admission.tenants[member.big].tokens == tokens
    assert member.run_for(10.0, 500.0) <= 101 + 20
    member.admission.set_allowances({}, None, 16)
    assert not member.admission.tenants and member.admission.id_of("big") is None


def test_buckets_of_an_earlier_life_are_no_fuller_than_they_were_left() -> None:
    member = Member()
    member.admission.restore(member.now, {member.big: 0.5, 7: 3.0, FIRST_CONFIGURED_ID + 1: 9.0})
    assert member.admission.tokens() == {member.big: 0.5}
    full = Member()
    full.admission.restore(full.now, {full.big: 1e9})
    assert full.admission.tokens() == {full.big: 2.0}


def test_a_life_begins_with_empty_buckets() -> None:
    member = Member()
    assert member.admission.admit(member.now, member.big) is not None
    assert member.admission.admit(member.now + S, member.big) is None


def test_what_a_member_can_not_ask_for_is_named() -> None:
    allowances = {1: Allowance(10.0, 1.0)}
    assert implausible([TenantCounters(1, 100.0, 1, 1), TenantCounters(2, 1e9, 1, 1)], allowances) is None
    implausible_counters = TenantCounters(1, 1e6, 1, 1)
    assert implausible([implausible_counters], allowances) is implausible_counters
