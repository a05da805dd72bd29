"""Where keyed requests may have run: a compact table that survives a kill of the process. No I/O.

Theory. A keyed request may be retried only in the group of servers that deduplicates it, and only within
their dedup window. A killed process loses the group, while its client retries with the same key. So before
each attempt, a hash of the key, the group and the time are written into a table of fixed size. If the table
is a mapped file, it survives the process, at the cost of a few memory writes per attempt.

| the key of a request | is treated as |
| --- | --- |
| has a record within the window | sent once to that group then: the class's rules decide |
| has an older record | possibly executed before any window: never sent again, and answered as failed |
| has no record | new. Limitation: it may have run, if the state was lost or more keys came than fit |

A key hash belongs to one set of `WAYS` records. In a full set the oldest record is evicted and counted; an
expired record counts as free. A record holds the time of the first attempt, for that is when the group's
window began. An attempt that certainly never ran is taken back.

Two processes may read one table; only its owner writes. A record torn by a kill fails its checksum.
Times are nanoseconds of the clock that counts from the machine's boot, sleep included.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass, replace
from hashlib import blake2b
from zlib import crc32

from garnethaven.state.sealed import digest

RECORD = struct.Struct("<16sBBiqqI")  # key hash, class, attempts, zone, cell, first attempt's time, checksum
CHECKED_BYTES = RECORD.size - 4
WAYS = 8
HEADER = struct.Struct("<8s16s16sI")  # magic, digests of the program's name and the boot id, number of sets
MAGIC = b"pspan-k1"
EMPTY_RECORD = bytes(RECORD.size)
MAX_ATTEMPTS = 255  # fits the byte of the record; further attempts are not counted

Buffer = bytearray | memoryview


class KeyedError(Exception):
    """The bytes are not a table of this program that was written since the machine's boot."""


@dataclass(slots=True, frozen=True)
class KeyRecord:
    """Where a key's request may have run, and when it was first sent there."""

    request_class: int
    attempts: int
    zone: int
    cell: int
    first_sent: int


def table_size(max_records: int) -> int:
    """The bytes of a table with room for at least `max_records`."""
    return HEADER.size + -(-max_records // WAYS) * WAYS * RECORD.size


def hash_key(key: bytes, request_class: int) -> bytes:
    """The 16 bytes that stand for a key, which may be long and is too sensitive to be stored on disk."""
    return blake2b(key, digest_size=16, salt=b"%d" % request_class).digest()


class KeyedTable:
    """A table in `data`; `retention` is, by class, the time after which a record has expired."""

    def __init__(self, data: Buffer, name: str, boot_id: str, retention: tuple[int, ...]) -> None:
        self.data = data
        self.retention = retention
        self.evictions = 0  # of records that had not expired
        self.set_count = (len(data) - HEADER.size) // (WAYS * RECORD.size)
        if self.set_count < 1:
            raise KeyedError("it is too short for a table")
        self.header = HEADER.pack(MAGIC, digest(name.encode()), digest(boot_id.encode()), self.set_count)

    def initialize(self) -> None:
        """Make the bytes an empty table."""
        self.data[HEADER.size :] = bytes(len(self.data) - HEADER.size)
        self.data[: HEADER.size] = self.header

    def verify(self) -> None:
        """Raise KeyedError if the bytes are not a table of this program, written since the machine's boot."""
        if bytes(self.data[: HEADER.size]) != self.header:
            raise KeyedError("it is not a table of this program from this boot of the machine")

    def find(self, key_hash: bytes, now: int) -> KeyRecord | None:
        """The key's record; None if there is none or it has expired."""
        _, record = self._find_record(key_hash)
        return record if record is not None and self._is_open(record, now) else None

    def record_attempt(self, key_hash: bytes, request_class: int, zone: int, cell: int, now: int) -> None:
        """Record an attempt; must be called before it is sent."""
        offset, record = self._find_record(key_hash)
        if record is not None and self._is_open(record, now):
            record = replace(record, attempts=min(MAX_ATTEMPTS, record.attempts + 1))
        else:
            record = KeyRecord(request_class, 1, zone, cell, now)
        self._write(self._allocate(key_hash, now) if offset is None else offset, key_hash, record)

    def undo_attempt(self, key_hash: bytes) -> None:
        """Take back a recorded attempt that certainly never ran."""
        offset, record = self._find_record(key_hash)
        if offset is None or record is None:
            return
        if record.attempts > 1:
            self._write(offset, key_hash, replace(record, attempts=record.attempts - 1))
        else:
            self.data[offset : offset + RECORD.size] = EMPTY_RECORD

    def open_records(self, now: int) -> Iterator[tuple[bytes, KeyRecord]]:
        """All records that have not expired, with their key hashes."""
        for offset in range(HEADER.size, self._end(), RECORD.size):
            record = self._read(offset)
            if record is not None and self._is_open(record, now):
                yield bytes(self.data[offset : offset + 16]), record

    def insert(self, key_hash: bytes, record: KeyRecord) -> None:
        """Copy a record of another table."""
        self._write(self._allocate(key_hash, record.first_sent), key_hash, record)

    # Records

    def _end(self) -> int:
        return HEADER.size + self.set_count * WAYS * RECORD.size

    def _set_offsets(self, key_hash: bytes) -> range:
        first = HEADER.size + int.from_bytes(key_hash[:8], "little") % self.set_count * WAYS * RECORD.size
        return range(first, first + WAYS * RECORD.size, RECORD.size)

    def _find_record(self, key_hash: bytes) -> tuple[int | None, KeyRecord | None]:
        """The offset and content of the key's record; both None if missing, no content if it is torn."""
        data = self.data
        for offset in self._set_offsets(key_hash):
            if bytes(data[offset : offset + 16]) == key_hash:
                return offset, self._read(offset)
        return None, None

    def _allocate(self, key_hash: bytes, now: int) -> int:
        """The offset for a new record of this key: a free one, or that of the oldest record."""
        oldest, oldest_offset = None, 0
        for offset in self._set_offsets(key_hash):
            record = self._read(offset)
            if record is None or not self._is_open(record, now):
                return offset
            if oldest is None or record.first_sent < oldest.first_sent:
                oldest, oldest_offset = record, offset
        self.evictions += 1
        return oldest_offset

    def _read(self, offset: int) -> KeyRecord | None:
        raw = bytes(self.data[offset : offset + RECORD.size])
        _, request_class, attempts, zone, cell, first_sent, checksum = RECORD.unpack(raw)
        if not attempts or crc32(raw[:CHECKED_BYTES]) != checksum:
            return None
        return KeyRecord(request_class, attempts, zone, cell, first_sent)

    def _write(self, offset: int, key_hash: bytes, record: KeyRecord) -> None:
        raw = RECORD.pack(
            key_hash, record.request_class, record.attempts, record.zone, record.cell, record.first_sent, 0
        )[:CHECKED_BYTES]
        self.data[offset : offset + RECORD.size] = raw + crc32(raw).to_bytes(4, "little")

    def _is_open(self, record: KeyRecord, now: int) -> bool:
        """Whether a client may still retry the request."""
        retention = (
            self.retention[record.request_class]
            if record.request_class < len(self.retention)
            else max(self.retention, default=0)
        )
        return record.first_sent <= now < record.first_sent + retention
