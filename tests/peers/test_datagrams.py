"""Which datagrams are dropped, in the order of the checks' cost, and that each is accepted once."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnethaven.peers.datagrams import (
    CHECK_BURST,
    MAX_BYTES,
    MAX_PROCESSES,
    MAX_SOURCES,
    WINDOW_SIZE,
    CounterWindow,
    Dropped,
    DropReason,
    Seal,
)

KEY = bytes(range(16))


def drop_reason(seal: Seal, data: bytes, source: object = "a", now: float = 0.0) -> DropReason | None:
    try:
        seal.open(data, source, now)
    except Dropped as dropped:
        return dropped.reason
    return None


def test_a_datagram_passes_once() -> None:
    sender, receiver = Seal(KEY, 1), Seal(KEY, 2)
    data = sender.seal(b"hello")
    assert receiver.open(data, "a", 0.0) == b"hello"
    assert drop_reason(receiver, data) is DropReason.REPEATED
    assert receiver.open(sender.seal(b"more"), "a", 0.0) == b"more"


@pytest.mark.parametrize("at", [0, 7, 8, 20, 24, -1])
def test_a_flipped_bit_anywhere_is_noticed(at: int) -> None:
    data = bytearray(Seal(KEY, 1).seal(b"hello"))
    data[at] ^= 1
    assert drop_reason(Seal(KEY, 2), bytes(data)) in (DropReason.FOREIGN, DropReason.FORGED)


def test_cut_oversized_and_foreign_ones_cost_no_hash() -> None:
    seal, data = Seal(KEY, 2), Seal(KEY, 1).seal(b"hello")
    for bad in (b"", data[:30], data + bytes(MAX_BYTES), Seal(b"another key 0123", 1).seal(b"hello")):
        assert drop_reason(seal, bad) is DropReason.FOREIGN
    assert not seal.sources  # no state is kept for them


def test_a_source_that_forges_is_checked_so_often_and_others_are_heard() -> None:
    seal, friend = Seal(KEY, 2), Seal(KEY, 1)
    forged = bytearray(friend.seal(b"hello"))
    forged[-1] ^= 1
    reasons = [drop_reason(seal, bytes(forged), "bad", 0.0) for _ in range(int(CHECK_BURST) + 50)]
    assert reasons.count(DropReason.FORGED) == CHECK_BURST and reasons.count(DropReason.FLOODED) == 50
    assert drop_reason(seal, friend.seal(b"hello"), "good", 0.0) is None
    assert drop_reason(seal, bytes(forged), "bad", 1.0) is DropReason.FORGED  # its tokens have been refilled


def test_what_is_kept_of_sources_and_processes_is_bounded() -> None:
    seal = Seal(KEY, 2)
    for number in range(MAX_SOURCES + 10):
        seal.open(Seal(KEY, number + 10).seal(b"x"), number, 0.0)
    assert len(seal.sources) == MAX_SOURCES and len(seal.windows) == MAX_PROCESSES


@given(st.lists(st.integers(0, 3 * WINDOW_SIZE), max_size=60))
def test_a_window_takes_each_counter_once_and_none_that_is_too_old(counters: list[int]) -> None:
    window, seen, highest = CounterWindow(), set(), -1
    for counter in counters:
        expected = counter not in seen and counter > highest - WINDOW_SIZE
        assert window.add(counter) is expected
        if expected:
            seen.add(counter)
        highest = max(highest, counter)
