"""The ZooKeeper client protocol's records, as far as this client needs them: published encoding.

Bounded reads.
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
FRAME_MOST = 8 * 1024 * 1024  # bytes; 5,000 long names, or a node of 1 MB, need far less

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
    """Errors that are told apart here."""

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
    """What came is not what the protocol says."""


@dataclass(slots=True, frozen=True)
class Stat:
    czxid: int
    ctime_ms: int
    version: int
    owner: int  # the session of an ephemeral node, or 0
    pzxid: int


class Reader:
    """Takes fields in order; raises RecordError where they are not there."""

    __slots__ = ("at", "data")

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.at = 0

    def _take(self, form: struct.Struct) -> tuple[int, ...]:
        try:
            values = form.unpack_from(self.data, self.at)
        except struct.error:
            raise RecordError("a message ends early") from None
        self.at += form.size
        return values

    def number(self) -> int:
        return self._take(INT)[0]

    def long(self) -> int:
        return self._take(LONG)[0]

    def reply(self) -> tuple[int, int, int]:
        xid, zxid, code = self._take(REPLY)
        return xid, zxid, code

    def buffer(self) -> bytes:
        length = self.number()
        if length < 0:
            return b""
        if length > len(self.data) - self.at:
            raise RecordError("a field is longer than its message")
        self.at += length
        return self.data[self.at - length : self.at]

    def string(self) -> str:
        try:
            return self.buffer().decode()
        except UnicodeDecodeError:
            raise RecordError("a name is no UTF-8") from None

    def strings(self) -> list[str]:
        count = self.number()
        if count * INT.size > len(self.data) - self.at:
            raise RecordError("a list is longer than its message")
        return [self.string() for _ in range(count)]

    def stat(self) -> Stat:
        czxid, _, ctime, _, version, _, _, owner, _, _, pzxid = self._take(STAT)
        return Stat(czxid, ctime, version, owner, pzxid)

    def more(self) -> bool:
        return self.at < len(self.data)


def buffer(value: bytes) -> bytes:
    return INT.pack(len(value)) + value


def string(value: str) -> bytes:
    return buffer(value.encode())


def frame(message: bytes) -> bytes:
    return INT.pack(len(message)) + message


def connect_request(seen: int, timeout_ms: int, session: int, password: bytes, read_only: bool) -> bytes:
    told = INT.pack(0) + LONG.pack(seen) + INT.pack(timeout_ms) + LONG.pack(session) + buffer(password)
    return frame(told + bytes((read_only,)))


def auth_request(credential: str) -> bytes:
    return frame(REQUEST.pack(AUTH_XID, Op.AUTH) + INT.pack(0) + string("digest") + string(credential))


def create_body(path: str, data: bytes, digest: str | None) -> bytes:
    """An ephemeral node; open to all, or to whoever this session has proved to be."""
    permissions, scheme, who = (OPEN_ACL[0], "auth", "") if digest else OPEN_ACL
    acl = INT.pack(1) + INT.pack(permissions) + string(scheme) + string(who)
    return string(path) + buffer(data) + acl + INT.pack(EPHEMERAL)
