"""The snapshot format: round trip, corruption of a part or of the header, and rejected versions and names."""

from __future__ import annotations

from random import Random

import msgspec
import pytest

from garnethaven.state import sealed
from garnethaven.state.ageing import Timestamp
from garnethaven.state.sealed import MAGIC, SnapshotError, decode_snapshot, digest, encode_snapshot

SAVED_AT = Timestamp("b1", 5, 7)
PARTS = {"figures": b'{"a":1}', "list": b"[" + b"1," * 500 + b"1]"}


def test_parts_come_back_with_their_moment() -> None:
    assert decode_snapshot(encode_snapshot("n3", SAVED_AT, PARTS), "n3") == (SAVED_AT, PARTS, [])


def test_any_flipped_bit_costs_one_part_or_all_and_is_never_taken_for_good() -> None:
    complete = encode_snapshot("n3", SAVED_AT, PARTS)
    rng = Random(3)
    header_end = len(complete) - sum(map(len, PARTS.values()))
    for _ in range(400):
        data = bytearray(complete)
        offset = rng.randrange(len(data))
        data[offset] ^= 1 << rng.randrange(8)
        if offset < header_end:
            with pytest.raises(SnapshotError):
                decode_snapshot(bytes(data), "n3")
            continue
        _, parts, corrupt = decode_snapshot(bytes(data), "n3")
        assert len(corrupt) == 1 and len(parts) == 1
        assert all(PARTS[name] == content for name, content in parts.items())


def test_what_is_cut_anywhere_is_never_taken_for_good() -> None:
    complete = encode_snapshot("n3", SAVED_AT, PARTS)
    for length in range(0, len(complete), 7):
        try:
            _, parts, corrupt = decode_snapshot(complete[:length], "n3")
        except SnapshotError:
            continue
        assert corrupt and all(PARTS[name] == content for name, content in parts.items())


def test_another_programs_and_a_newer_versions_are_refused_by_name(monkeypatch: pytest.MonkeyPatch) -> None:
    with pytest.raises(SnapshotError, match="'n4'"):
        decode_snapshot(encode_snapshot("n4", SAVED_AT, PARTS), "n3")
    header = msgspec.json.encode({"version": 9, "more": "than is known here"})
    head = MAGIC + sealed.HEADER_LENGTH.pack(len(header)) + header
    with pytest.raises(SnapshotError, match="version 9"):
        decode_snapshot(head + digest(head), "n3")
