"""The records of the ZooKeeper client protocol that this client needs, in their published encoding.

Every read checks lengths against the message before it takes data.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

INT = struct.Struct(">i")
LONG = struct.Struct(">q")
REPLY = struct.Struct(">iqi")  # xid, zxid, error
REQUEST = struct.Struct(">ii")  # xid, operation
STAT = struct.Struct(">qqqqiiiqiiq")
MAX_FRAME_BYTES = 8 * 1024 * 1024  # bytes; a list of 5,000 long names or a node of 1 MB is far smaller

WATCH_XID, PING_XID, AUTH_XID = -1, -2, -4
RECURSIVE = 1
EPHEMERAL = 1
OPEN_ACL = (31, "world", "anyone")


class Op(IntEnum):
    CREATE = 1
    DELETE = 2
    GET_DATA = 4
    PING = 11
    GET_CHILDREN2 = 12
    AUTH = 100
    ADD_WATCH = 106
    CLOSE = -11


class Code(IntEnum):
    """The error codes that this client handles separately."""

    OK = 0
    UNIMPLEMENTED = -6
    NO_NODE = -101
    NO_AUTH = -102
    NODE_EXISTS = -110
    SESSION_EXPIRED = -112
    AUTH_FAILED = -115


class Kind(IntEnum):
    CREATED = 1
    DELETED = 2
    CHANGED = 3
    CHILDREN = 4


class RecordError(Exception):
    """A received message does not follow the protocol."""


@dataclass(slots=True, frozen=True)
class Stat:
    """The fields of a node's stat record that are used here."""

    czxid: int
    ctime_ms: int
    version: int
    owner: int  # the session of an ephemeral node, or 0
    pzxid: int


class Reader:
    """Decodes the fields of a message in order; raises RecordError if the message is too short or invalid."""

    __slots__ = ("data", "offset")

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.offset = 0

    def _unpack(self, layout: struct.Struct) -> tuple[int, ...]:
        try:
            values = layout.unpack_from(self.data, self.offset)
        except struct.error:
            raise RecordError("the message ends before its last field") from None
        self.offset += layout.size
        return values

    def number(self) -> int:
        return self._unpack(INT)[0]

    def long(self) -> int:
        return self._unpack(LONG)[0]

    def reply(self) -> tuple[int, int, int]:
        """The reply header: xid, zxid, error code."""
        xid, zxid, code = self._unpack(REPLY)
        return xid, zxid, code

    def buffer(self) -> bytes:
        length = self.number()
        if length < 0:
            return b""
        if length > len(self.data) - self.offset:
            raise RecordError("a field is longer than the message")
        self.offset += length
        return self.data[self.offset - length : self.offset]

    def string(self) -> str:
        try:
            return self.buffer().decode()
        except UnicodeDecodeError:
            raise RecordError("a string is not valid UTF-8") from None

    def strings(self) -> list[str]:
        count = self.number()
        if count * INT.size > len(self.data) - self.offset:
            raise RecordError("a list is longer than the message")
        return [self.string() for _ in range(count)]

    def stat(self) -> Stat:
        czxid, _, ctime, _, version, _, _, owner, _, _, pzxid = self._unpack(STAT)
        return Stat(czxid, ctime, version, owner, pzxid)

    def has_more(self) -> bool:
        return self.offset < len(self.data)


def buffer(value: bytes) -> bytes:
    return INT.pack(len(value)) + value


def string(value: str) -> bytes:
    return buffer(value.encode())


def frame(message: bytes) -> bytes:
    return INT.pack(len(message)) + message


def connect_request(
    last_zxid: int, timeout_ms: int, session_id: int, password: bytes, read_only: bool
) -> bytes:
    request = (
        INT.pack(0) + LONG.pack(last_zxid) + INT.pack(timeout_ms) + LONG.pack(session_id) + buffer(password)
    )
    return frame(request + bytes((read_only,)))


def auth_request(credential: str) -> bytes:
    return frame(REQUEST.pack(AUTH_XID, Op.AUTH) + INT.pack(0) + string("digest") + string(credential))


def create_body(path: str, data: bytes, digest: str | None) -> bytes:
    """The body that creates an ephemeral node, open to all or, with a digest, to its identity only."""
    permissions, scheme, identity = (OPEN_ACL[0], "auth", "") if digest else OPEN_ACL
    acl = INT.pack(1) + INT.pack(permissions) + string(scheme) + string(identity)
    return string(path) + buffer(data) + acl + INT.pack(EPHEMERAL)
