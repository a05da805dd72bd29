"""What each request does to the tree and what it is answered with; one table for all hosts. No I/O."""

from __future__ import annotations

import copy
from collections.abc import Callable
from dataclasses import dataclass, field

from standins.zookeeper import records
from standins.zookeeper.records import BOOL, INT, Code, Op, Reader, RequestError, Stat
from standins.zookeeper.tree import Change, Tree, Who, digest_id
from standins.zookeeper.watches import Watches

WRITES = frozenset({Op.CREATE, Op.CREATE2, Op.DELETE, Op.SET_DATA, Op.SET_ACL, Op.MULTI, Op.CLOSE})
LAST = INT.pack(-1) + BOOL.pack(True) + INT.pack(-1)  # the end of a multi's list


@dataclass
class Asked:
    """One request: by whom, of which tree, and what came of it."""

    who: Who
    tree: Tree
    watches: Watches
    watcher: object
    read: Reader
    changes: list[Change] = field(default_factory=list)
    missed: list[Change] = field(default_factory=list)  # to be told after the reply
    told_listing: tuple[str, list[str]] | None = None  # the children that the reply tells


def answer(op: int, asked: Asked) -> bytes:
    """The reply's body; raises RequestError for an error."""
    do = HANDLERS.get(op)
    if do is None:
        raise RequestError(Code.UNIMPLEMENTED)
    if op in WRITES and op != Op.MULTI:
        with asked.tree.write() as changes:
            body = do(asked)
        asked.changes = list(changes)
        return body
    return do(asked)


def _create(asked: Asked) -> bytes:
    read = asked.read
    path, data, acl, flags = read.string(), read.buffer(), read.acls(), read.number()
    return records.string(asked.tree.create(path, data, acl, flags, asked.who))


def _create2(asked: Asked) -> bytes:
    read = asked.read
    path, data, acl, flags = read.string(), read.buffer(), read.acls(), read.number()
    made = asked.tree.create(path, data, acl, flags, asked.who)
    return records.string(made) + asked.tree.node(made).stat.written()


def _delete(asked: Asked) -> bytes:
    asked.tree.delete(asked.read.string(), asked.read.number(), asked.who)
    return b""


def _set_data(asked: Asked) -> bytes:
    read = asked.read
    path, data, version = read.string(), read.buffer(), read.number()
    return asked.tree.set_data(path, data, version, asked.who).written()


def _set_acl(asked: Asked) -> bytes:
    read = asked.read
    path, acl, version = read.string(), read.acls(), read.number()
    return asked.tree.set_acl(path, acl, version, asked.who).written()


def _check(asked: Asked) -> bytes:
    asked.tree.check(asked.read.string(), asked.read.number())
    return b""


def _exists(asked: Asked) -> bytes:
    path, watch = asked.read.string(), asked.read.flag()
    if watch:
        asked.watches.data[path].add(asked.watcher)  # also where there is none: its creation is told
    return asked.tree.node(path).stat.written()


def _get_data(asked: Asked) -> bytes:
    path, watch = asked.read.string(), asked.read.flag()
    node = asked.tree.allowed(path, "READ", asked.who)
    if watch:
        asked.watches.data[path].add(asked.watcher)
    return records.buffer(node.data) + node.stat.written()


def _children(asked: Asked) -> tuple[list[str], Stat]:
    path, watch = asked.read.string(), asked.read.flag()
    node = asked.tree.allowed(path, "READ", asked.who)
    if watch:
        asked.watches.children[path].add(asked.watcher)
    names = sorted(node.children)
    asked.told_listing = (path, names)
    return names, node.stat


def _get_children(asked: Asked) -> bytes:
    return records.strings(_children(asked)[0])


def _get_children2(asked: Asked) -> bytes:
    names, stat = _children(asked)
    return records.strings(names) + stat.written()


def _get_acl(asked: Asked) -> bytes:
    node = asked.tree.node(asked.read.string())
    return records.acls(node.acl) + node.stat.written()


def _sync(asked: Asked) -> bytes:
    return records.string(asked.read.string())


def _get_ephemerals(asked: Asked) -> bytes:
    prefix = asked.read.string()
    owned = asked.tree.owned.get(asked.who.session, set())
    return records.strings(sorted(path for path in owned if path.startswith(prefix)))


def _add_watch(asked: Asked) -> bytes:
    asked.watches.add(asked.read.string(), asked.read.number(), asked.watcher)
    return INT.pack(0)


def _remove_watches(asked: Asked) -> bytes:
    asked.watches.remove(asked.read.string(), asked.read.number(), asked.watcher)
    return b""


def _set_watches(asked: Asked) -> bytes:
    read = asked.read
    since, data, exist, children = read.long(), read.strings(), read.strings(), read.strings()
    lasting = (read.strings(), read.strings()) if read.more() else ([], [])
    asked.missed = asked.watches.renew(asked.tree, since, data, exist, children, lasting, asked.watcher)
    return b""


def _close(asked: Asked) -> bytes:
    asked.tree.end_session(asked.who.session)
    return b""


def _multi(asked: Asked) -> bytes:
    """All or nothing: on an error each part is told its code, and none has happened."""
    parts: list[tuple[int, bytes]] = []
    steps = 0
    try:
        with asked.tree.write() as changes:
            while True:
                op, done = asked.read.number(), asked.read.flag()
                asked.read.number()
                if done:
                    break
                steps += 1
                if op not in MULTI:
                    raise RequestError(Code.UNIMPLEMENTED)
                body = MULTI[op](asked)
                parts.append((op, body))
            found = list(changes)
    except RequestError as flaw:
        left = _count_left(asked.read)
        codes = [Code.OK] * (steps - 1) + [flaw.code] + [Code.RUNTIME_INCONSISTENCY] * left
        failed = INT.pack(-1) + BOOL.pack(False)
        return b"".join(failed + INT.pack(code) + INT.pack(code) for code in codes) + LAST
    asked.changes = found
    told = [INT.pack(op) + BOOL.pack(False) + INT.pack(0) + body for op, body in parts]
    return b"".join(told) + LAST


def _count_left(read: Reader) -> int:
    """The parts after the one that failed; where they can't be read they are none."""
    left = 0
    try:
        while True:
            op, done = read.number(), read.flag()
            read.number()
            if done:
                return left
            left += 1
            read.string()
            if op in (Op.CREATE, Op.CREATE2):
                read.buffer()
                read.acls()
            elif op == Op.SET_DATA:
                read.buffer()
            read.number()
    except RequestError:
        return left


MULTI: dict[int, Callable[[Asked], bytes]] = {
    Op.CREATE: _create,
    Op.CREATE2: _create2,
    Op.DELETE: _delete,
    Op.SET_DATA: _set_data,
    Op.CHECK: _check,
}
HANDLERS: dict[int, Callable[[Asked], bytes]] = MULTI | {
    Op.EXISTS: _exists,
    Op.GET_DATA: _get_data,
    Op.GET_ACL: _get_acl,
    Op.SET_ACL: _set_acl,
    Op.GET_CHILDREN: _get_children,
    Op.GET_CHILDREN2: _get_children2,
    Op.SYNC: _sync,
    Op.MULTI: _multi,
    Op.REMOVE_WATCHES: _remove_watches,
    Op.SET_WATCHES: _set_watches,
    Op.SET_WATCHES2: _set_watches,
    Op.GET_EPHEMERALS: _get_ephemerals,
    Op.ADD_WATCH: _add_watch,
    Op.CLOSE: _close,
}


def with_identity(who: Who, scheme: str, credential: bytes) -> Who:
    """Who it is after one more proof; raises RequestError for a scheme that is not known."""
    if scheme != "digest" or b":" not in credential:
        raise RequestError(Code.AUTH_FAILED)
    known = copy.copy(who)
    known.ids = who.ids | {(scheme, digest_id(credential))}
    return known
