"""Budgets of descriptors and of the memory that connections buffer."""

from __future__ import annotations

import pytest

from garnethaven.limits.budgets import (
    MB,
    MIN_BUFFER_BYTES,
    MIN_CONNECTIONS_PER_SIDE,
    PROTECTED_BYTES,
    RESERVED_DESCRIPTORS,
    RESERVED_MEMORY_BYTES,
    BufferMemory,
    DescriptorBudget,
    Reservation,
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


def test_only_large_buffers_are_given_up_when_memory_is_short() -> None:
    memory = BufferMemory(80)
    memory.reserve(20 * MB)
    assert not memory.is_too_much(PROTECTED_BYTES + 1)
    memory.reserve(1)
    assert memory.is_too_much(PROTECTED_BYTES + 1)
    assert not memory.is_too_much(PROTECTED_BYTES)
    memory.release(MB)
    assert not memory.is_too_much(PROTECTED_BYTES + 1)


@pytest.mark.parametrize("memory_mb", [20, 32, 64, 192, 4096])
def test_what_connections_buffer_fits_beside_the_program(memory_mb: int) -> None:
    limit = BufferMemory(memory_mb).max_bytes
    assert limit == MIN_BUFFER_BYTES or limit + RESERVED_MEMORY_BYTES < memory_mb * MB
    assert limit <= memory_mb * MB / 4


def test_a_reservation_counts_once_and_is_divided_among_processes() -> None:
    memory = BufferMemory(64)
    total = memory.max_bytes
    memory.share(2)
    assert memory.max_bytes == total // 2
    reservation = Reservation(memory)
    reservation.resize(total)
    reservation.resize(total // 2 + 1)
    assert memory.used_bytes == total // 2 + 1 and reservation.is_too_much()
    reservation.resize(0)
    assert memory.used_bytes == 0 and not memory.is_full()
