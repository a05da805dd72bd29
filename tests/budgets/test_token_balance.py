"""Token balance: tokens are earned by time, spent once, removed before a transfer, and expire."""

from __future__ import annotations

from random import Random

from hypothesis import given
from hypothesis import strategies as st
from pytest import approx

from garnethaven.budgets.token_balance import BATCHES_PER_LIFETIME, CLOCK_DRIFT, TokenBalance, TokenBatch

S = 1_000_000_000
LIFETIME = 2 * S


def test_a_purse_begins_empty_and_earns_its_part() -> None:
    balance = TokenBalance(3.0, LIFETIME, S)
    assert balance.available(S) == 0.0 and not balance.spend(S, 1.0)
    assert balance.available(2 * S) == approx(3.0, rel=0.01)
    assert balance.spend(2 * S, 2.0) and not balance.spend(2 * S, 2.0)


def test_it_never_holds_more_than_what_lasts() -> None:
    balance = TokenBalance(3.0, LIFETIME, 0)
    for now in (S, 10 * S, 1000 * S):
        assert balance.available(now) <= 3.0 * LIFETIME / S
    assert balance.available(1000 * S) >= 3.0 * LIFETIME / S * (1 - 2 / BATCHES_PER_LIFETIME) / (
        1 + CLOCK_DRIFT
    )
    assert len(balance.batches) <= BATCHES_PER_LIFETIME + 1


def test_what_is_given_is_gone_and_as_old_as_it_was() -> None:
    first_balance, second_balance = TokenBalance(3.0, LIFETIME, 0), TokenBalance(0.0, LIFETIME, 0)
    before = first_balance.available(S)
    batches = first_balance.withdraw(S, 2.0)
    assert first_balance.available(S) == approx(before - 2.0) and sum(
        batch.amount for batch in batches
    ) == approx(2.0)
    assert second_balance.deposit(S, batches) == approx(2.0) and second_balance.spend(S, 2.0)
    late_balance = TokenBalance(0.0, LIFETIME, 0)
    assert late_balance.deposit(4 * S, batches) == 0.0  # in transit for longer than the lifetime
    from_the_future, negative = TokenBatch(S, 5.0), TokenBatch(S // 4, -1.0)
    assert late_balance.deposit(S // 2, [from_the_future, negative]) == 0.0


def test_a_share_is_earned_where_things_happen() -> None:
    balance = TokenBalance(0.0, LIFETIME, 0)
    for _ in range(10):
        balance.earn(S, 0.1)
    assert balance.spend(S, 1.0) and not balance.spend(S, 0.01)


def test_a_process_that_stood_still_finds_its_rights_old() -> None:
    balance = TokenBalance(0.0, LIFETIME, 0)
    balance.deposit(S, [TokenBatch(S, 5.0)])
    assert balance.available(S) == 5.0 and not balance.spend(4 * S, 1.0)


ACTIONS = st.lists(
    st.tuples(st.sampled_from(["wait", "spend", "give", "lose"]), st.integers(0, 3), st.floats(0.01, 2.0)),
    max_size=60,
)


@given(ACTIONS, st.integers(0, 1000))
def test_in_any_span_no_more_is_spent_than_the_rate_and_the_burst(
    actions: list[tuple[str, int, float]], seed: int
) -> None:
    """Four balances transfer tokens to one another, some of which are lost; each spends what it can."""
    rng, rate, now = Random(seed), 2.0, 0
    balances = [TokenBalance(rate / 4, LIFETIME, 0) for _ in range(4)]
    spent: list[tuple[int, float]] = []
    for action, member, amount in actions:
        if action == "wait":
            now += int(amount * S)
        elif action == "spend":
            if balances[member].spend(now, amount):
                spent.append((now, amount))
        else:
            batches = balances[member].withdraw(now, amount)
            if action == "give":
                balances[rng.randrange(4)].deposit(now, batches)
    for first in range(len(spent)):
        total = 0.0
        for spent_at, amount in spent[first:]:
            total += amount
            span = (spent_at - spent[first][0] + LIFETIME) / S
            assert total <= rate * span + 1e-6
