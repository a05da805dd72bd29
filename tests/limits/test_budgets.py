"""Budgets of descriptors and of the memory for answers."""

from __future__ import annotations

import pytest

from garnethaven.limits.budgets import (
    MAX_PROTECTED_ANSWER_BYTES,
    MB,
    MIN_CONNECTIONS_PER_SIDE,
    RESERVED_DESCRIPTORS,
    AnswerMemory,
    DescriptorBudget,
)


@pytest.mark.parametrize("total", [80, 128, 256, 384, 1024, 4096])
def test_both_sides_together_never_hold_more_than_there_is(total: int) -> None:
    """Clients take connections first, endpoints then up to their limit."""
    budget = DescriptorBudget(total)
    for wanted in range(0, budget.available, 7):
        clients = min(wanted, budget.max_clients(0))
        endpoints = budget.max_endpoints(clients)
        assert clients + endpoints <= max(budget.available, 2 * budget.guaranteed)
        assert budget.max_clients(endpoints) >= clients or clients <= budget.guaranteed
    assert budget.available + RESERVED_DESCRIPTORS <= max(
        total, 2 * MIN_CONNECTIONS_PER_SIDE + RESERVED_DESCRIPTORS
    )


def test_each_side_is_sure_of_its_part_and_may_have_what_the_other_leaves() -> None:
    budget = DescriptorBudget(384)
    assert budget.max_clients(320) == budget.max_endpoints(320) == budget.guaranteed == 112
    assert budget.max_clients(0) == 208  # the guaranteed share of the other side stays free
    assert budget.max_clients(150) == 170
    assert budget.max_endpoints(0) == budget.max_endpoints(150) == 160  # never more than half


def test_a_very_small_process_still_has_some_of_each() -> None:
    budget = DescriptorBudget(10)
    assert budget.max_clients(0) >= MIN_CONNECTIONS_PER_SIDE
    assert budget.max_endpoints(0) >= MIN_CONNECTIONS_PER_SIDE


def test_only_large_answers_break_off_when_memory_is_short() -> None:
    memory = AnswerMemory(80)
    memory.reserve(20 * MB)
    assert not memory.must_abort(MAX_PROTECTED_ANSWER_BYTES + 1)
    memory.reserve(1)
    assert memory.must_abort(MAX_PROTECTED_ANSWER_BYTES + 1)
    assert not memory.must_abort(MAX_PROTECTED_ANSWER_BYTES)
    memory.release(MB)
    assert not memory.must_abort(MAX_PROTECTED_ANSWER_BYTES + 1)
