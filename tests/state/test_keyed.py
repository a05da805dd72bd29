"""The table of keyed requests: retention, ownership, and corruption by torn writes or flipped bits."""

from __future__ import annotations

from random import Random

import pytest

from garnethaven.state.keyed import HEADER, RECORD, WAYS, KeyedError, KeyedTable, hash_key, table_size

S = 1_000_000_000
RETENTION = (9 * S, 0)


def make_table(max_records: int = 64, name: str = "n3", boot_id: str = "b1") -> KeyedTable:
    table = KeyedTable(bytearray(table_size(max_records)), name, boot_id, RETENTION)
    table.initialize()
    return table


def test_a_send_is_found_with_its_group_until_its_time_is_over() -> None:
    table, key_hash = make_table(), hash_key(b"k1", 0)
    table.record_attempt(key_hash, 0, 1, 7, 10 * S)
    record = table.find(key_hash, 12 * S)
    assert record is not None and (record.zone, record.cell, record.first_sent) == (1, 7, 10 * S)
    assert table.find(hash_key(b"k2", 0), 12 * S) is None
    assert table.find(hash_key(b"k1", 1), 12 * S) is None  # another class
    assert table.find(key_hash, 19 * S) is None
    assert table.find(key_hash, 9 * S) is None  # a record from the future: another boot of the machine


def test_a_repeat_keeps_the_first_send_for_that_began_the_window() -> None:
    table, key_hash = make_table(), hash_key(b"k1", 0)
    table.record_attempt(key_hash, 0, 1, 7, 10 * S)
    table.record_attempt(key_hash, 0, 1, 7, 14 * S)
    found = table.find(key_hash, 15 * S)
    assert found is not None and found.first_sent == 10 * S


def test_only_sends_that_surely_never_ran_take_themselves_back() -> None:
    table, key_hash = make_table(), hash_key(b"k1", 0)
    table.record_attempt(key_hash, 0, 1, 7, 10 * S)
    table.record_attempt(key_hash, 0, 1, 7, 11 * S)
    table.undo_attempt(key_hash)
    assert table.find(key_hash, 12 * S) is not None  # the other attempt may have run
    table.undo_attempt(key_hash)
    assert table.find(key_hash, 12 * S) is None
    table.undo_attempt(key_hash)  # without a record, this does nothing


def test_a_torn_record_and_flipped_bits_are_no_record() -> None:
    for offset in range(HEADER.size, HEADER.size + RECORD.size * WAYS):
        table, key_hash = make_table(WAYS), hash_key(b"k1", 0)
        table.record_attempt(key_hash, 0, 1, 7, 10 * S)
        before = table.find(key_hash, 11 * S)
        table.data[offset] ^= 0x10
        assert table.find(key_hash, 11 * S) in (None, before), offset


def test_bytes_of_another_program_or_life_of_the_machine_are_refused() -> None:
    data = make_table().data
    for name, boot_id in (("n4", "b1"), ("n3", "b2")):
        with pytest.raises(KeyedError):
            KeyedTable(data, name, boot_id, RETENTION).verify()
    KeyedTable(data, "n3", "b1", RETENTION).verify()
    with pytest.raises(KeyedError):
        KeyedTable(bytearray(10), "n3", "b1", RETENTION)


def test_against_a_plain_table_it_never_tells_what_was_not_and_forgets_only_what_it_counts() -> None:
    rng, table = Random(5), make_table(256)
    reference: dict[bytes, int] = {}
    missing_count = now = 0
    for n in range(5_000):
        now += rng.randrange(S // 50)
        key_hash = hash_key(b"%d" % rng.randrange(3_000), 0)
        found = table.find(key_hash, now)
        expected = reference.get(key_hash)
        expected = expected if expected is not None and now < expected + 9 * S else None
        if found is not None:
            assert expected == found.first_sent
        missing_count += expected is not None and found is None
        if rng.random() < 0.5:
            table.record_attempt(key_hash, 0, 0, n % 5, now)
            reference[key_hash] = found.first_sent if found is not None else now
    assert missing_count <= 2 * table.evictions
    assert len(list(table.open_records(now))) > 100
