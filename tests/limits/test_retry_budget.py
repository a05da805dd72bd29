"""The retry budget: rejected attempts close it, good answers reopen it."""

from __future__ import annotations

from garnethaven.limits.retry_budget import MAX_TOKENS, REJECTION_TOKENS, RetryBudget


def play(budget: RetryBudget, turned_away_of_ten: int, rounds: int) -> tuple[int, int]:
    """Reject some of every ten attempts and retry each of these once; returns wanted and made retries."""
    wanted = made = 0
    for _ in range(rounds):
        for number in range(10):
            if number >= turned_away_of_ten:
                budget.record_answer()
                continue
            budget.record_rejection()
            wanted += 1
            if budget.allows():
                budget.spend()
                made += 1
                budget.record_answer()
    return wanted, made


def test_it_begins_open_and_allows_half_of_its_tokens_at_once() -> None:
    budget = RetryBudget()
    made = 0
    while budget.allows() and made <= MAX_TOKENS:
        budget.spend()
        made += 1
    assert made == MAX_TOKENS / 2


def test_asking_takes_nothing() -> None:
    budget = RetryBudget()
    for _ in range(100):
        assert budget.allows()
    assert budget.tokens == MAX_TOKENS


def test_tries_turned_away_close_it_without_any_further_attempt() -> None:
    budget = RetryBudget()
    turned_away = 0
    while budget.allows() and turned_away <= MAX_TOKENS:
        budget.record_rejection()
        turned_away += 1
    assert turned_away == 5  # half of the tokens, at ten per rejection


def test_answers_open_it_again_however_many_were_turned_away() -> None:
    budget = RetryBudget()
    for _ in range(10_000):
        budget.record_rejection()
    needed = 0
    while not budget.allows() and needed <= MAX_TOKENS:
        budget.record_answer()
        needed += 1
    assert needed == MAX_TOKENS / 2 + 1


def test_answers_save_up_no_more_than_it_holds() -> None:
    budget = RetryBudget()
    for _ in range(10_000):
        budget.record_answer()
    assert budget.tokens == MAX_TOKENS


def test_a_few_chance_meetings_at_short_queues_leave_it_open() -> None:
    budget = RetryBudget()
    for _ in range(1_000):
        for _ in range(19):
            budget.record_answer()
        budget.record_rejection()
        assert budget.allows()
        budget.spend()


def test_full_servers_get_hardly_any_further_attempts() -> None:
    wanted, made = play(RetryBudget(), turned_away_of_ten=5, rounds=1_000)
    assert made < 0.02 * wanted


def test_a_lost_zone_does_not_close_it_where_nobody_is_turned_away() -> None:
    budget = RetryBudget()
    for _ in range(1_000):  # four of ten attempts fail and are retried
        for _ in range(4):
            assert budget.allows()
            budget.spend()
        for _ in range(6):
            budget.record_answer()


def test_without_tries_turned_away_there_is_one_further_attempt_an_answer_at_the_most() -> None:
    budget = RetryBudget()
    made = 0
    for _ in range(10_000):
        budget.record_answer()
        for _ in range(3):
            if budget.allows():
                budget.spend()
                made += 1
    assert 10_000 <= made <= 10_000 + MAX_TOKENS


def test_it_bears_one_try_of_twelve_turned_away() -> None:
    for answers, keeps_level in ((REJECTION_TOKENS + 2, True), (REJECTION_TOKENS, False)):
        budget = RetryBudget()
        budget.tokens = before = 0.75 * MAX_TOKENS
        budget.record_rejection()
        budget.spend()
        for _ in range(int(answers)):
            budget.record_answer()
        assert (budget.tokens > before) is keeps_level
