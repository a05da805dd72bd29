"""The tree that all hosts share: nodes, versions, ephemeral owners and access. No I/O; times are given.

Every write has a zxid of its own, in order, and tells which paths changed and how; who watches them is the
hosts' matter (watches.py). A write that fails leaves nothing behind, `multi` as a whole.
"""

from __future__ import annotations

import base64
import copy
import hashlib
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from standins.zookeeper.records import ANYONE, PERMISSIONS, Acl, Code, Kind, RequestError, Stat

DATA_MOST = 1024 * 1024  # bytes of one node, as the published default
EPHEMERAL, SEQUENTIAL = 1, 2

Change = tuple[Kind, str]


@dataclass(slots=True)
class Node:
    data: bytes
    acl: tuple[Acl, ...]
    stat: Stat
    children: set[str] = field(default_factory=set)


@dataclass(slots=True)
class Who:
    """On whose behalf a request is done."""

    session: int = 0
    ids: frozenset[tuple[str, str]] = frozenset()


def digest_id(credential: bytes) -> str:
    """The id of a user and password, as published: only the password is hashed into it."""
    user = credential.partition(b":")[0].decode("latin-1")
    return f"{user}:{base64.b64encode(hashlib.sha1(credential).digest()).decode()}"


def parent_of(path: str) -> str:
    return path.rpartition("/")[0] or "/"


class Tree:
    def __init__(self, now_ms: Callable[[], int]) -> None:
        self.now_ms = now_ms
        self.zxid = 0
        self.nodes: dict[str, Node] = {"/": Node(b"", ANYONE, Stat())}
        self.owned: dict[int, set[str]] = {}  # ephemeral paths by session
        self.changes: list[Change] = []  # of the write under way

    def frozen(self) -> Tree:
        """A copy as it is now, as a host has it that lags."""
        return copy.deepcopy(self)

    @contextmanager
    def write(self) -> Iterator[list[Change]]:
        """One write with a zxid of its own; undone where it raises RequestError."""
        self.changes = []
        undo: list[Callable[[], None]] = []
        self.undo = undo
        before = self.zxid
        self.zxid += 1
        try:
            yield self.changes
        except RequestError:
            for step in reversed(undo):
                step()
            self.zxid = before
            self.changes.clear()
            raise

    # Reads

    def node(self, path: str) -> Node:
        node = self.nodes.get(path)
        if node is None:
            raise RequestError(Code.NO_NODE)
        return node

    def allowed(self, path: str, permission: str, who: Who) -> Node:
        """The node, where the one who asks may do this with it."""
        node = self.node(path)
        wanted = PERMISSIONS[permission]
        for acl in node.acl:
            if acl.permissions & wanted and (acl.scheme == "world" or (acl.scheme, acl.id) in who.ids):
                return node
        raise RequestError(Code.NO_AUTH)

    # Writes, each within `write`

    def create(self, path: str, data: bytes, acl: tuple[Acl, ...], flags: int, who: Who) -> str:
        """The path that was made, which a sequential one is told."""
        if not path.startswith("/") or "//" in path or (path != "/" and path.endswith("/")):
            raise RequestError(Code.BAD_ARGUMENTS)
        if len(data) > DATA_MOST:
            raise RequestError(Code.BAD_ARGUMENTS)
        if flags not in (0, 1, 2, 3):
            raise RequestError(Code.UNIMPLEMENTED)
        above = parent_of(path)
        parent = self.allowed(above, "CREATE", who)
        if parent.stat.owner:
            raise RequestError(Code.NO_CHILDREN_FOR_EPHEMERALS)
        if flags & SEQUENTIAL:
            path = f"{path}{parent.stat.cversion:010d}"
        if path in self.nodes:
            raise RequestError(Code.NODE_EXISTS)
        now = self.now_ms()
        owner = who.session if flags & EPHEMERAL else 0
        stat = Stat(self.zxid, self.zxid, now, now, owner=owner, length=len(data), pzxid=self.zxid)
        self.nodes[path] = Node(data, self._kept_acl(acl, who), stat)
        if owner:
            self.owned.setdefault(owner, set()).add(path)
        self.undo.append(lambda: self._drop(path))
        self._count(above, parent, path, added=True)
        self.changes += [(Kind.CREATED, path), (Kind.CHILDREN, above)]
        return path

    def delete(self, path: str, version: int, who: Who) -> None:
        node = self.node(path)
        above = parent_of(path)
        parent = self.allowed(above, "DELETE", who)
        if path == "/":
            raise RequestError(Code.BAD_ARGUMENTS)
        self.check(path, version)
        if node.children:
            raise RequestError(Code.NOT_EMPTY)
        self._remove(path, node, above, parent)

    def set_data(self, path: str, data: bytes, version: int, who: Who) -> Stat:
        node = self.allowed(path, "WRITE", who)
        self.check(path, version)
        if len(data) > DATA_MOST:
            raise RequestError(Code.BAD_ARGUMENTS)
        old, stat = node.data, copy.copy(node.stat)

        def back() -> None:
            node.data, node.stat = old, stat

        self.undo.append(back)
        node.data = data
        node.stat.version += 1
        node.stat.mzxid, node.stat.mtime, node.stat.length = self.zxid, self.now_ms(), len(data)
        self.changes.append((Kind.CHANGED, path))
        return copy.copy(node.stat)

    def set_acl(self, path: str, acl: tuple[Acl, ...], version: int, who: Who) -> Stat:
        node = self.allowed(path, "ADMIN", who)
        if version not in (-1, node.stat.aversion):
            raise RequestError(Code.BAD_VERSION)
        old, aversion = node.acl, node.stat.aversion

        def back() -> None:
            node.acl, node.stat.aversion = old, aversion

        self.undo.append(back)
        node.acl = self._kept_acl(acl, who)
        node.stat.aversion += 1
        return copy.copy(node.stat)

    def check(self, path: str, version: int) -> None:
        if version not in (-1, self.node(path).stat.version):
            raise RequestError(Code.BAD_VERSION)

    def end_session(self, session: int) -> None:
        """Its ephemeral nodes go with it, in one write."""
        for path in sorted(self.owned.get(session, ()), reverse=True):
            above = parent_of(path)
            self._remove(path, self.nodes[path], above, self.nodes[above])
        self.owned.pop(session, None)

    # Parts of writes

    def _kept_acl(self, acl: tuple[Acl, ...], who: Who) -> tuple[Acl, ...]:
        kept: list[Acl] = []
        for one in acl:
            if one.scheme == "auth":  # everyone that this session is
                if not who.ids:
                    raise RequestError(Code.INVALID_ACL)
                kept += [Acl(one.permissions, scheme, its) for scheme, its in sorted(who.ids)]
            elif one.scheme in ("world", "digest", "ip"):
                kept.append(one)
            else:
                raise RequestError(Code.INVALID_ACL)
        if not kept:
            raise RequestError(Code.INVALID_ACL)
        return tuple(kept)

    def _remove(self, path: str, node: Node, above: str, parent: Node) -> None:
        self._drop(path)

        def back() -> None:
            self.nodes[path] = node
            if node.stat.owner:
                self.owned.setdefault(node.stat.owner, set()).add(path)

        self.undo.append(back)
        self._count(above, parent, path, added=False)
        self.changes += [(Kind.DELETED, path), (Kind.CHILDREN, above)]

    def _drop(self, path: str) -> None:
        node = self.nodes.pop(path)
        if node.stat.owner:
            self.owned.get(node.stat.owner, set()).discard(path)

    def _count(self, above: str, parent: Node, path: str, added: bool) -> None:
        name, stat = path.rpartition("/")[2], copy.copy(parent.stat)

        def back() -> None:
            parent.stat = stat
            (parent.children.discard if added else parent.children.add)(name)

        self.undo.append(back)
        (parent.children.add if added else parent.children.discard)(name)
        parent.stat.cversion += 1
        parent.stat.pzxid = self.zxid
        parent.stat.children = len(parent.children)
