"""The file format of a snapshot: named parts with a version, checksums and size limits. No I/O here.

    8 bytes   magic
    4         length of the header
    ...       header, JSON: version, name, moment, and for each part its name, length and checksum
    16        checksum of all before it
    ...       the parts, one after the other, JSON each

Each part has a checksum of its own, so that corruption in one part loses only that part. A corrupt header
loses all of them, for it holds the name of the program and the time of saving.
"""

from __future__ import annotations

import struct
from collections.abc import Mapping
from hashlib import blake2b

import msgspec

from garnethaven.state.ageing import Timestamp

MAGIC = b"pspan-st"
VERSION = 1
HEADER_LENGTH = struct.Struct(">I")
DIGEST_BYTES = 16
MAX_HEADER_BYTES = 64 * 1024  # this program writes no longer header


class SnapshotError(Exception):
    """The bytes are no snapshot that this program can use; the text says why."""


class PartEntry(msgspec.Struct, frozen=True):
    """The header's entry for one part."""

    name: str
    length: int
    digest: str


class Header(msgspec.Struct, frozen=True):
    version: int
    name: str  # of the program; another program's snapshot is rejected
    moment: Timestamp
    parts: list[PartEntry]


def encode_snapshot(name: str, timestamp: Timestamp, parts: Mapping[str, bytes]) -> bytes:
    """The file content for these parts."""
    entries = [PartEntry(part, len(content), digest(content).hex()) for part, content in parts.items()]
    header = msgspec.json.encode(Header(VERSION, name, timestamp, entries))
    head = MAGIC + HEADER_LENGTH.pack(len(header)) + header
    return head + digest(head) + b"".join(parts.values())


def decode_snapshot(data: bytes, name: str) -> tuple[Timestamp, dict[str, bytes], list[str]]:
    """The time of saving, the intact parts by name, and the names of the corrupt parts.

    Raises SnapshotError if no part can be used.
    """
    start = len(MAGIC) + HEADER_LENGTH.size
    if data[: len(MAGIC)] != MAGIC or len(data) < start:
        raise SnapshotError("it has another form than a snapshot")
    (length,) = HEADER_LENGTH.unpack_from(data, len(MAGIC))
    end = start + length
    if length > MAX_HEADER_BYTES or len(data) < end + DIGEST_BYTES:
        raise SnapshotError("it is truncated or its header is too long")
    if digest(data[:end]) != data[end : end + DIGEST_BYTES]:
        raise SnapshotError("the checksum of its header is wrong")
    header = _decode_header(data[start:end])
    if header.name != name:
        raise SnapshotError(f"it belongs to the program {header.name!r}")
    parts: dict[str, bytes] = {}
    corrupt: list[str] = []
    offset = end + DIGEST_BYTES
    for part in header.parts:
        content = data[offset : offset + part.length]
        offset += part.length
        if len(content) == part.length and digest(content).hex() == part.digest:
            parts[part.name] = content
        else:
            corrupt.append(part.name)
    return header.moment, parts, corrupt


def _decode_header(encoded: bytes) -> Header:
    try:
        version = msgspec.json.decode(encoded, type=dict).get("version")
        if version != VERSION:
            raise SnapshotError(f"it is of version {version!r}, only {VERSION} can be read")
        return msgspec.json.decode(encoded, type=Header)
    except (msgspec.MsgspecError, RecursionError) as problem:
        raise SnapshotError(f"its header cannot be read: {problem}") from None


def digest(data: bytes) -> bytes:
    return blake2b(data, digest_size=DIGEST_BYTES).digest()
