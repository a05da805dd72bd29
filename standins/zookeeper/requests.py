"""The handlers of requests: each applies a request to the tree and encodes the reply. No I/O."""

from __future__ import annotations

import copy
from collections.abc import Callable
from dataclasses import dataclass, field

from standins.zookeeper import records
from standins.zookeeper.records import BOOL, INT, Code, Op, Reader, RequestError, Stat
from standins.zookeeper.tree import Change, Identity, Tree, digest_id
from standins.zookeeper.watches import Watches

WRITES = frozenset({Op.CREATE, Op.CREATE2, Op.DELETE, Op.SET_DATA, Op.SET_ACL, Op.MULTI, Op.CLOSE})
MULTI_END = INT.pack(-1) + BOOL.pack(True) + INT.pack(-1)  # end of the list of a multi request or reply


@dataclass
class RequestContext:
    """One request: its sender, tree and fields, and the changes and events that result from it."""

    who: Identity
    tree: Tree
    watches: Watches
    watcher: object
    reader: Reader
    changes: list[Change] = field(default_factory=list)
    missed_events: list[Change] = field(default_factory=list)  # events to send after the reply
    listing: tuple[str, list[str]] | None = None  # path and child names of the reply


def answer(op: int, context: RequestContext) -> bytes:
    """Handle a request and return the body of the reply; raises RequestError for an error reply."""
    handler = HANDLERS.get(op)
    if handler is None:
        raise RequestError(Code.UNIMPLEMENTED)
    if op in WRITES and op != Op.MULTI:
        with context.tree.write() as changes:
            body = handler(context)
        context.changes = list(changes)
        return body
    return handler(context)


def _create(context: RequestContext) -> bytes:
    reader = context.reader
    path, data, acl, flags = reader.string(), reader.buffer(), reader.acls(), reader.number()
    return records.string(context.tree.create(path, data, acl, flags, context.who))


def _create2(context: RequestContext) -> bytes:
    reader = context.reader
    path, data, acl, flags = reader.string(), reader.buffer(), reader.acls(), reader.number()
    made = context.tree.create(path, data, acl, flags, context.who)
    return records.string(made) + context.tree.node(made).stat.packed()


def _delete(context: RequestContext) -> bytes:
    context.tree.delete(context.reader.string(), context.reader.number(), context.who)
    return b""


def _set_data(context: RequestContext) -> bytes:
    reader = context.reader
    path, data, version = reader.string(), reader.buffer(), reader.number()
    return context.tree.set_data(path, data, version, context.who).packed()


def _set_acl(context: RequestContext) -> bytes:
    reader = context.reader
    path, acl, version = reader.string(), reader.acls(), reader.number()
    return context.tree.set_acl(path, acl, version, context.who).packed()


def _check(context: RequestContext) -> bytes:
    context.tree.check(context.reader.string(), context.reader.number())
    return b""


def _exists(context: RequestContext) -> bytes:
    path, watch = context.reader.string(), context.reader.flag()
    if watch:
        # Set even if the node does not exist: its creation triggers the watch.
        context.watches.data[path].add(context.watcher)
    return context.tree.node(path).stat.packed()


def _get_data(context: RequestContext) -> bytes:
    path, watch = context.reader.string(), context.reader.flag()
    node = context.tree.authorized_node(path, "READ", context.who)
    if watch:
        context.watches.data[path].add(context.watcher)
    return records.buffer(node.data) + node.stat.packed()


def _children(context: RequestContext) -> tuple[list[str], Stat]:
    path, watch = context.reader.string(), context.reader.flag()
    node = context.tree.authorized_node(path, "READ", context.who)
    if watch:
        context.watches.children[path].add(context.watcher)
    names = sorted(node.children)
    context.listing = (path, names)
    return names, node.stat


def _get_children(context: RequestContext) -> bytes:
    return records.strings(_children(context)[0])


def _get_children2(context: RequestContext) -> bytes:
    names, stat = _children(context)
    return records.strings(names) + stat.packed()


def _get_acl(context: RequestContext) -> bytes:
    node = context.tree.node(context.reader.string())
    return records.acls(node.acl) + node.stat.packed()


def _sync(context: RequestContext) -> bytes:
    return records.string(context.reader.string())


def _get_ephemerals(context: RequestContext) -> bytes:
    prefix = context.reader.string()
    ephemerals = context.tree.ephemerals.get(context.who.session, set())
    return records.strings(sorted(path for path in ephemerals if path.startswith(prefix)))


def _add_watch(context: RequestContext) -> bytes:
    context.watches.add(context.reader.string(), context.reader.number(), context.watcher)
    return INT.pack(0)


def _remove_watches(context: RequestContext) -> bytes:
    context.watches.remove(context.reader.string(), context.reader.number(), context.watcher)
    return b""


def _set_watches(context: RequestContext) -> bytes:
    reader = context.reader
    since, data, exist, children = reader.long(), reader.strings(), reader.strings(), reader.strings()
    persistent = (reader.strings(), reader.strings()) if reader.has_more() else ([], [])
    context.missed_events = context.watches.restore(
        context.tree, since, data, exist, children, persistent, context.watcher
    )
    return b""


def _close(context: RequestContext) -> bytes:
    context.tree.end_session(context.who.session)
    return b""


def _multi(context: RequestContext) -> bytes:
    """Apply all operations or none; on an error the reply has an error code for each operation."""
    parts: list[tuple[int, bytes]] = []
    started = 0
    try:
        with context.tree.write() as changes:
            while True:
                op, is_end = context.reader.number(), context.reader.flag()
                context.reader.number()
                if is_end:
                    break
                started += 1
                if op not in MULTI:
                    raise RequestError(Code.UNIMPLEMENTED)
                body = MULTI[op](context)
                parts.append((op, body))
            multi_changes = list(changes)
    except RequestError as error:
        remaining = _count_remaining(context.reader)
        codes = [Code.OK] * (started - 1) + [error.code] + [Code.RUNTIME_INCONSISTENCY] * remaining
        failed = INT.pack(-1) + BOOL.pack(False)
        return b"".join(failed + INT.pack(code) + INT.pack(code) for code in codes) + MULTI_END
    context.changes = multi_changes
    results = [INT.pack(op) + BOOL.pack(False) + INT.pack(0) + body for op, body in parts]
    return b"".join(results) + MULTI_END


def _count_remaining(reader: Reader) -> int:
    """The number of operations after the failed one; those after malformed data do not count."""
    remaining = 0
    try:
        while True:
            op, is_end = reader.number(), reader.flag()
            reader.number()
            if is_end:
                return remaining
            remaining += 1
            reader.string()
            if op in (Op.CREATE, Op.CREATE2):
                reader.buffer()
                reader.acls()
            elif op == Op.SET_DATA:
                reader.buffer()
            reader.number()
    except RequestError:
        return remaining


MULTI: dict[int, Callable[[RequestContext], bytes]] = {
    Op.CREATE: _create,
    Op.CREATE2: _create2,
    Op.DELETE: _delete,
    Op.SET_DATA: _set_data,
    Op.CHECK: _check,
}
HANDLERS: dict[int, Callable[[RequestContext], bytes]] = MULTI | {
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


def with_identity(who: Identity, scheme: str, credential: bytes) -> Identity:
    """The identity with one more credential; raises RequestError for an unsupported scheme."""
    if scheme != "digest" or b":" not in credential:
        raise RequestError(Code.AUTH_FAILED)
    extended = copy.copy(who)
    extended.ids = who.ids | {(scheme, digest_id(credential))}
    return extended
