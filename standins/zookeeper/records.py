"""Encoding and decoding of the protocol's records: numbers, strings, buffers, lists, ACLs and stats."""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

INT = struct.Struct(">i")
LONG = struct.Struct(">q")
BOOL = struct.Struct(">?")
STAT = struct.Struct(">qqqqiiiqiiq")
REPLY = struct.Struct(">iqi")  # xid, zxid, error
MAX_MESSAGE_BYTES = 2 * 1024 * 1024  # of one message


class Op(IntEnum):
    """Operation codes of requests."""

    CREATE = 1
    DELETE = 2
    EXISTS = 3
    GET_DATA = 4
    SET_DATA = 5
    GET_ACL = 6
    SET_ACL = 7
    GET_CHILDREN = 8
    SYNC = 9
    PING = 11
    GET_CHILDREN2 = 12
    CHECK = 13
    MULTI = 14
    CREATE2 = 15
    REMOVE_WATCHES = 18
    AUTH = 100
    SET_WATCHES = 101
    GET_EPHEMERALS = 103
    SET_WATCHES2 = 105
    ADD_WATCH = 106
    CLOSE = -11


class Code(IntEnum):
    """Error codes of replies."""

    OK = 0
    RUNTIME_INCONSISTENCY = -2
    MARSHALLING = -5
    UNIMPLEMENTED = -6
    BAD_ARGUMENTS = -8
    NO_NODE = -101
    NO_AUTH = -102
    BAD_VERSION = -103
    NO_CHILDREN_FOR_EPHEMERALS = -108
    NODE_EXISTS = -110
    NOT_EMPTY = -111
    SESSION_EXPIRED = -112
    INVALID_ACL = -114
    AUTH_FAILED = -115
    NOT_READ_ONLY = -119
    NO_WATCHER = -121


class EventType(IntEnum):
    """Event types of watches."""

    CREATED = 1
    DELETED = 2
    CHANGED = 3
    CHILDREN = 4


PERMISSIONS = {"READ": 1, "WRITE": 2, "CREATE": 4, "DELETE": 8, "ADMIN": 16}
ALL_PERMISSIONS = 31


class RequestError(Exception):
    """A request that the server answers with an error."""

    def __init__(self, code: Code) -> None:
        super().__init__(code.name)
        self.code = code


@dataclass(slots=True, frozen=True)
class Acl:
    permissions: int
    scheme: str
    id: str


ANYONE = (Acl(ALL_PERMISSIONS, "world", "anyone"),)


@dataclass(slots=True)
class Stat:
    czxid: int = 0
    mzxid: int = 0
    ctime: int = 0
    mtime: int = 0
    version: int = 0
    cversion: int = 0
    aversion: int = 0
    ephemeral_owner: int = 0
    length: int = 0
    children: int = 0
    pzxid: int = 0

    def packed(self) -> bytes:
        return STAT.pack(
            self.czxid,
            self.mzxid,
            self.ctime,
            self.mtime,
            self.version,
            self.cversion,
            self.aversion,
            self.ephemeral_owner,
            self.length,
            self.children,
            self.pzxid,
        )


class Reader:
    """Decodes the fields of a request in order; raises RequestError for missing or malformed data."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.offset = 0

    def _unpack(self, layout: struct.Struct) -> int:
        try:
            (value,) = layout.unpack_from(self.data, self.offset)
        except struct.error:
            raise RequestError(Code.MARSHALLING) from None
        self.offset += layout.size
        return int(value)

    def number(self) -> int:
        return self._unpack(INT)

    def long(self) -> int:
        return self._unpack(LONG)

    def flag(self) -> bool:
        return bool(self._unpack(BOOL))

    def buffer(self) -> bytes:
        length = self.number()
        if length < 0:
            return b""
        if length > len(self.data) - self.offset:
            raise RequestError(Code.MARSHALLING)
        self.offset += length
        return self.data[self.offset - length : self.offset]

    def string(self) -> str:
        try:
            return self.buffer().decode()
        except UnicodeDecodeError:
            raise RequestError(Code.MARSHALLING) from None

    def strings(self) -> list[str]:
        return [self.string() for _ in range(max(0, self.number()))]

    def acls(self) -> tuple[Acl, ...]:
        count = max(0, self.number())
        return tuple(Acl(self.number(), self.string(), self.string()) for _ in range(count))

    def has_more(self) -> bool:
        return self.offset < len(self.data)


def buffer(value: bytes) -> bytes:
    return INT.pack(len(value)) + value


def string(value: str) -> bytes:
    return buffer(value.encode())


def strings(values: list[str]) -> bytes:
    return INT.pack(len(values)) + b"".join(map(string, values))


def acls(values: tuple[Acl, ...]) -> bytes:
    entries = [INT.pack(acl.permissions) + string(acl.scheme) + string(acl.id) for acl in values]
    return INT.pack(len(values)) + b"".join(entries)


def frame(message: bytes) -> bytes:
    return INT.pack(len(message)) + message
