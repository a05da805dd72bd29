"""Rows are merged by version, aged by the reader's clock, and grouped by shared view."""

from __future__ import annotations

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from garnethaven.gossip.rows import MAX_PAST_INCARNATIONS, Row, Rows
from garnethaven.gossip.spread import MAX_ROUNDS, horizon_s, rounds, scaled_period

S = 1_000_000_000
ROWS = st.builds(Row, st.sampled_from("abc"), st.integers(1, 3), st.integers(1, 5), st.just(3))


def table(horizon: int = 2 * S, most: int = 8) -> Rows:
    return Rows("own", horizon, most)


def known(rows: Rows) -> set[tuple[str, int, int]]:
    return {(row.name, row.incarnation, row.beat) for row in rows.all_incarnations()}


@given(st.lists(ROWS, max_size=20), st.randoms(use_true_random=False))
def test_repeats_reordering_and_old_news_change_nothing(rows: list[Row], rng: Random) -> None:
    one, other = table(), table()
    for row in rows:
        one.learn(10 * S, row, S)
    repeated = rows * 2
    rng.shuffle(repeated)
    for row in repeated:
        other.learn(10 * S, row, S)
    assert known(one) == known(other)
    assert {name: kept.row.version for name, kept in one.current.items()} == {
        name: kept.row.version for name, kept in other.current.items()
    }


def test_a_row_grows_no_younger_by_coming_again() -> None:
    rows = table()
    rows.learn(10 * S, Row("a", 1, 4, 2), S)
    rows.learn(13 * S, Row("a", 1, 4, 2), 5 * S)  # a repeat that was long in transit
    assert rows.age(13 * S, "a") == 4 * S
    rows.learn(13 * S, Row("a", 1, 4, 2), 3 * S)  # another path, with a tighter bound
    assert rows.age(13 * S, "a") == 3 * S
    assert not rows.is_fresh(13 * S, "a")


def test_members_that_hear_less_are_set_aside_and_the_silent_too() -> None:
    rows = table()
    now = 10 * S
    rows.publish(now, Row("own", 1, 1, 3))
    rows.learn(now, Row("a", 1, 1, 4), 0)
    rows.learn(now, Row("b", 1, 1, 2), 0)  # does not hear all members
    rows.learn(now, Row("c", 1, 1, 4), 3 * S)  # older than the horizon
    assert rows.heard(now) == 3
    assert [row.name for row in rows.sharing_view(now)] == ["a"]
    horizon = rows.freshness(now, 5)
    assert horizon.share == 3 / 5 and horizon.oldest == 0


def test_earlier_lives_stay_for_their_counts_and_are_bounded() -> None:
    rows = table()
    for incarnation in range(1, 9):
        rows.learn(incarnation * S, Row("a", incarnation, 1, 1), 0)
    assert {incarnation for _, incarnation, _ in known(rows)} == set(range(8 - MAX_PAST_INCARNATIONS, 9))
    rows.forget_past(7 * S + 1)
    assert known(rows) == {("a", 8, 1)}


def test_a_table_is_bounded_and_tells_what_it_left_out() -> None:
    rows = table(most=2)
    for name in ("a", "b", "c" * 65, "d"):
        rows.learn(S, Row(name, 1, 1, 1), 0)
    assert len(rows.current) == 2 and rows.left_out == 2


def test_what_has_changed_comes_with_the_latest_change_first() -> None:
    rows = table()
    for name in "abc":
        rows.learn(S, Row(name, 1, 1, 1), 0)
    serial = rows.serial
    rows.learn(S, Row("b", 1, 2, 1), 0)
    rows.learn(S, Row("a", 1, 2, 1), 0)
    assert [kept.row.name for kept in rows.since(serial)] == ["a", "b"]
    assert [kept.row.name for kept in rows.since(0)] == ["a", "b", "c"]


def test_the_horizon_grows_with_loss_and_delay_and_hardly_with_members() -> None:
    assert rounds(1, 3, 0.0) == 0
    assert rounds(24, 3, 0.0) <= rounds(24, 3, 0.1) < rounds(24, 3, 0.3) < rounds(24, 1, 0.3)
    assert rounds(24, 3, 0.9999) == MAX_ROUNDS
    assert rounds(1200, 3, 0.1) <= 2 * rounds(16, 3, 0.1)
    assert horizon_s(24, 3, 0.2, 0.1, 1.0) > horizon_s(24, 3, 0.2, 0.1, 0.0)
    assert scaled_period(16, 0.2) == 0.2 < scaled_period(1200, 0.2) < 0.2 * 1200 / 32


def test_news_reaches_all_within_the_rounds_that_are_told() -> None:
    """The recursion against a simulation: 200 updates, 24 members, a tenth of the datagrams lost."""
    rng, members, asks, loss = Random(5), 24, 3, 0.1
    round_count = rounds(members, asks, loss)
    for _ in range(200):
        informed = {0}
        for _ in range(round_count):
            next_informed = set(informed)
            for member in range(members):
                others = rng.sample([other for other in range(members) if other != member], asks)
                received = any(
                    peer in informed and rng.random() > loss and rng.random() > loss for peer in others
                )
                next_informed |= {member} if received else set()
            informed = next_informed
        assert len(informed) == members
