"""Members in virtual time publish shortages and transfer tokens; no token is counted twice."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import Any

import msgspec
import pytest

from garnethaven.budgets.feature import budgets_of
from garnethaven.budgets.lending import (
    MAX_ACCOUNTS,
    MAX_BATCHES_PER_ANSWER,
    RESERVE_RATIO,
    TOPIC,
    Budget,
    BudgetLedger,
    Shortage,
)
from garnethaven.budgets.table import Budgets
from garnethaven.engine.spending import Spend
from garnethaven.peers.conversation import (
    MAX_MESSAGE_BYTES,
    PACK,
    OutgoingMessage,
    Peer,
    SyncAnswer,
    decode_message,
)
from garnethaven.peers.membership import PeerSettings

S = 1_000_000_000
PERIOD = S // 5
LIFETIME = 2 * S
RATE_PER_S = 12.0
NAMES = [f"m{number}" for number in range(6)]


@dataclass
class Fleet:
    """Members whose datagrams arrive after `delay`, except over cut links or where lost."""

    delay: int = 0
    loss: float = 0.0
    repeat: bool = False
    earns: tuple[str, ...] = tuple(NAMES)
    now: int = S
    rng: Random = field(default_factory=lambda: Random(7))
    peers: dict[str, Peer] = field(default_factory=dict)
    lending: dict[str, BudgetLedger] = field(default_factory=dict)
    cut: set[tuple[str, str]] = field(default_factory=set)
    in_transit: list[tuple[int, str, OutgoingMessage]] = field(default_factory=list)
    spent: list[int] = field(default_factory=list)

    def __post_init__(self) -> None:
        for name in NAMES:
            self.begin(name)

    def begin(self, name: str, origin_count: int = len(NAMES)) -> None:
        listed = [(other, other) for other in NAMES]
        rules = PeerSettings(PERIOD, 2, 60 * S, 20)
        peer = Peer(name, name, self.now, listed, rules, 2 * S, Random(f"{name} {self.now}"), self.now)
        lending = BudgetLedger(
            {1: Budget(RATE_PER_S, 0.0, LIFETIME)}, origin_count, name in self.earns, self.now
        )
        lending.join(peer)
        self.peers[name], self.lending[name] = peer, lending

    def spend(self, name: str, times: int = 1) -> int:
        spent = sum(self.lending[name].may_spend(self.now, 1, 0, 1.0) for _ in range(times))
        self.spent += [self.now] * spent
        return spent

    def period(self, times: int = 1, members_in_overload: str = "", attempts: int = 10) -> int:
        """Runs periods; returns the tokens spent by members in overload (names separated by spaces)."""
        spent = 0
        for _ in range(times):
            for _ in range(4):
                self.now += PERIOD // 4
                self._arrive()
                for name in members_in_overload.split():
                    spent += self.spend(name, attempts)
            for name, peer in self.peers.items():
                self._send(name, peer.tick(self.now))
            self._arrive()
        return spent

    def _send(self, source: str, datagrams: list[OutgoingMessage]) -> None:
        for datagram in datagrams:
            if (source, datagram.at) not in self.cut and self.rng.random() >= self.loss:
                self.in_transit += [(self.now + self.delay, source, datagram)] * (2 if self.repeat else 1)

    def _arrive(self) -> None:
        while due := [arrival for arrival in self.in_transit if arrival[0] <= self.now]:
            self.in_transit = [arrival for arrival in self.in_transit if arrival[0] > self.now]
            for _, source, datagram in due:
                if datagram.at in self.peers:
                    self._send(
                        datagram.at,
                        self.peers[datagram.at].receive(self.now, decode_message(datagram.body), source),
                    )

    def check_invariant(self) -> None:
        """Checks that no span of time has more actions than rate and burst allow."""
        for first, since in enumerate(self.spent):
            for last in range(first, len(self.spent)):
                span = (self.spent[last] - since + LIFETIME) / S
                assert last - first + 1 <= RATE_PER_S * span + 1e-6, (since, self.spent[last])


def test_rights_flow_to_who_needs_them_and_follow_when_that_moves() -> None:
    fleet = Fleet()
    fleet.period(15)
    first = fleet.period(15, "m0")
    assert first >= 3.0 * RATE_PER_S * 0.75
    fleet.period(2, "m1")
    assert fleet.period(5, "m1") >= 1.0 * RATE_PER_S * 0.75
    fleet.check_invariant()


def test_two_that_are_short_share_what_the_others_can_spare() -> None:
    fleet = Fleet()
    fleet.period(20, "m0 m1")
    shares = [0, 0]
    for _ in range(15):
        shares[0] += fleet.period(1, "m0", 3)
        shares[1] += fleet.period(1, "m1", 3)
    assert min(shares) > 10 and 0.5 <= shares[0] / shares[1] <= 2.0
    fleet.check_invariant()


def test_a_member_keeps_a_floor_and_what_it_used_lately() -> None:
    fleet = Fleet()
    fleet.period(20, "m0")
    floor = RESERVE_RATIO * RATE_PER_S / len(NAMES) * LIFETIME / S
    assert all(
        fleet.lending[name].accounts[1, 0].balance.available(fleet.now) >= 0.8 * floor for name in NAMES[1:]
    )
    assert fleet.spend("m3") == (floor >= 1.0) or floor < 1.0


@pytest.mark.parametrize("ways", [1, 2])
def test_a_part_that_is_cut_off_spends_what_it_earns_and_no_more(ways: int) -> None:
    fleet = Fleet()
    fleet.period(15)
    inner, outer = NAMES[:3], NAMES[3:]
    fleet.cut = {(member, peer) for member in outer for peer in inner}
    fleet.cut |= {(peer, member) for member, peer in fleet.cut} if ways == 2 else set()
    fleet.period(15, "m0 m5")
    both = fleet.period(20, "m0 m5")
    assert 0.6 * RATE_PER_S * 4 <= both <= RATE_PER_S * 4 + 6
    alone = fleet.period(20, "m0")
    assert 0.6 * RATE_PER_S / 2 * 4 <= alone <= RATE_PER_S / 2 * 4 + RATE_PER_S * LIFETIME / S
    fleet.check_invariant()


@pytest.mark.parametrize("seed", range(4))
def test_loss_delay_repeats_crashes_and_stalls_mint_nothing(seed: int) -> None:
    fleet = Fleet(delay=PERIOD * (1 + seed), loss=0.2, repeat=True, rng=Random(seed))
    for round_number in range(30):
        names = fleet.rng.sample(NAMES, 2)
        fleet.period(4, " ".join(names))
        if round_number % 5 == 4:
            fleet.begin(fleet.rng.choice(NAMES))  # killed and restarted at once, with no tokens
        if round_number % 7 == 6:
            fleet.now += 3 * S  # all processes are suspended
    assert len(fleet.spent) > 100
    fleet.check_invariant()


def transfer(fleet: Fleet, lender: str, borrower: str, amount: float = 5.0) -> tuple[int, msgspec.Raw]:
    transfers = (
        fleet.peers[lender]
        .exchanges[TOPIC]
        .answer(fleet.now, borrower, msgspec.Raw(PACK([Shortage(1, 0, amount)])))
    )
    assert transfers is not None
    return fleet.peers[lender].process, msgspec.Raw(PACK(transfers))


def test_a_gift_counts_once_and_an_older_one_after_it_counts_not() -> None:
    fleet = Fleet()
    fleet.now += S
    process, first = transfer(fleet, "m1", "m0", 0.5)
    _, second = transfer(fleet, "m1", "m0", 0.5)
    transfer_in = fleet.peers["m0"].exchanges[TOPIC].accept_answer
    lending = fleet.lending["m0"]
    transfer_in(fleet.now, fleet.now, process, second)
    assert lending.transferred_in == pytest.approx(0.5, abs=1e-5)
    transfer_in(fleet.now, fleet.now, process, second)
    transfer_in(fleet.now, fleet.now, process, first)
    assert lending.transferred_in == pytest.approx(0.5, abs=1e-5)


def test_a_gift_on_its_way_for_longer_than_it_lasts_is_worth_nothing() -> None:
    fleet = Fleet()
    fleet.now += S
    process, transfers = transfer(fleet, "m1", "m0")
    lending = fleet.lending["m0"]
    fleet.peers["m0"].exchanges[TOPIC].accept_answer(fleet.now + 3 * S, fleet.now, process, transfers)
    assert lending.transferred_in == 0.0


def test_a_stalled_holder_notices_before_it_spends() -> None:
    fleet = Fleet(earns=tuple(NAMES[1:]))
    fleet.now += S
    process, transfers = transfer(fleet, "m1", "m0")
    fleet.peers["m0"].exchanges[TOPIC].accept_answer(fleet.now, fleet.now, process, transfers)
    assert fleet.lending["m0"].transferred_in > 0.9
    fleet.now += 5 * S
    assert not fleet.lending["m0"].may_spend(fleet.now, 1, 0, 0.5)


def test_members_that_were_told_other_numbers_earn_by_the_largest() -> None:
    fleet = Fleet()
    fleet.period(5)
    fleet.begin("m5", origin_count=3 * len(NAMES))
    fleet.period(10)
    assert {member.max_origin_count for member in fleet.lending.values()} == {3 * len(NAMES)}
    fleet.period(15)
    assert fleet.period(20, " ".join(NAMES)) <= RATE_PER_S / 3 * 4 + 4


def test_a_new_budget_counts_at_once_and_what_was_earned_lasts_as_long_there() -> None:
    fleet = Fleet()
    fleet.period(10)
    for lending in list(fleet.lending.values())[:3]:
        lending.set_budgets(fleet.now, {1: Budget(RATE_PER_S / 2, 0.0, LIFETIME)})
    fleet.period(30, " ".join(NAMES))
    fleet.check_invariant()
    fleet.lending["m0"].set_budgets(fleet.now, {})
    assert fleet.lending["m0"].may_spend(fleet.now, 1, 0, 1.0) and not fleet.lending["m0"].accounts


def test_purses_are_bounded_and_a_dropped_one_earns_nothing_twice() -> None:
    lending = BudgetLedger({3: Budget(1000.0, 0.0, LIFETIME)}, 1, True, 0)
    now = LIFETIME
    for subject in range(MAX_ACCOUNTS + 5):
        assert lending.may_spend(now, 3, subject, 1.0) is (subject <= MAX_ACCOUNTS)
    assert len(lending.accounts) == MAX_ACCOUNTS
    assert not lending.may_spend(now, 3, 0, 1.0)  # its account was dropped, and the new one is empty


def test_a_share_is_of_first_tries_alone() -> None:
    lending = BudgetLedger(budgets_of(Budgets(retries_share=0.1)), 5, True, 0)
    assert not lending.may_spend(S, Spend.RETRY, 0, 1.0)
    for _ in range(20):
        lending.earn(S, Spend.RETRY)
        lending.earn(S, Spend.COPY)  # no budget is set for these
    assert [lending.may_spend(S, Spend.RETRY, 0, 1.0) for _ in range(3)] == [True, True, False]
    assert lending.may_spend(S, Spend.PROBE, 3, 1.0)  # no budget here either: only local limits hold


def test_what_can_not_be_read_is_counted_and_passed_over() -> None:
    fleet = Fleet()
    fleet.period(3)
    peer = fleet.peers["m0"]
    for name in ("wants", "gives"):
        unreadable_body = {TOPIC: msgspec.Raw(PACK({"x": 1}))}
        (out, *_) = peer.tick(fleet.now)
        question = decode_message(out.body)
        if name == "wants":
            peer.receive(
                fleet.now, msgspec.structs.replace(question, name="m1", wants=unreadable_body, about=""), "m1"
            )
        else:
            answer: Any = SyncAnswer(question.nonce, out.at, 1, 0, 1, 1, [], [], unreadable_body)
            peer.receive(fleet.now, answer, out.at)
    assert peer.decode_failures == 2


def test_what_is_given_at_once_fits_into_one_datagram() -> None:
    fleet = Fleet()
    fleet.now += 3 * S
    lending = fleet.lending["m1"]
    lending.set_budgets(fleet.now, {1: Budget(1000.0, 0.0, LIFETIME)})
    shortages = []
    for subject in range(16):
        lending.may_spend(fleet.now, 1, subject, 0.0)
        shortages.append(Shortage(1, subject, 200.0))
    fleet.now += 2 * S
    transfers = fleet.peers["m1"].exchanges[TOPIC].answer(fleet.now, "m0", msgspec.Raw(PACK(shortages)))
    assert transfers is not None and len(transfers.entries) >= 2
    assert len(PACK(transfers)) < MAX_MESSAGE_BYTES - 200
    assert sum(len(transfer.batches) for transfer in transfers.entries) <= MAX_BATCHES_PER_ANSWER + 32
