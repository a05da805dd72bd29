"""The node tree shared by all hosts: data, versions, ephemeral owners and ACLs. No I/O; time is a parameter.

Each write gets the next zxid and lists the changed paths with the kinds of change; the hosts notify the
watchers (watches.py). A failed write is rolled back, a `multi` as a whole.
"""

from __future__ import annotations

import base64
import copy
import hashlib
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from standins.zookeeper.records import ANYONE, PERMISSIONS, Acl, Code, EventType, RequestError, Stat

MAX_DATA_BYTES = 1024 * 1024  # of one node; the default of ZooKeeper
EPHEMERAL, SEQUENTIAL = 1, 2

Change = tuple[EventType, str]


@dataclass(slots=True)
class Node:
    data: bytes
    acl: tuple[Acl, ...]
    stat: Stat
    children: set[str] = field(default_factory=set)


@dataclass(slots=True)
class Identity:
    """The identity of a request: its session and the authenticated (scheme, id) pairs."""

    session: int = 0
    ids: frozenset[tuple[str, str]] = frozenset()


def digest_id(credential: bytes) -> str:
    """The ACL id of a credential `user:password` in the digest scheme: the user and a hash of both."""
    user = credential.partition(b":")[0].decode("latin-1")
    return f"{user}:{base64.b64encode(hashlib.sha1(credential).digest()).decode()}"


def parent_of(path: str) -> str:
    return path.rpartition("/")[0] or "/"


class Tree:
    def __init__(self, now_ms: Callable[[], int]) -> None:
        self.now_ms = now_ms
        self.zxid = 0
        self.nodes: dict[str, Node] = {"/": Node(b"", ANYONE, Stat())}
        self.ephemerals: dict[int, set[str]] = {}  # paths of ephemeral nodes by session
        self.changes: list[Change] = []  # changes of the current write

    def snapshot(self) -> Tree:
        """A copy of the current state, for a host that lags behind."""
        return copy.deepcopy(self)

    @contextmanager
    def write(self) -> Iterator[list[Change]]:
        """Run one write with the next zxid; roll it back if it raises RequestError."""
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

    def authorized_node(self, path: str, permission: str, who: Identity) -> Node:
        """The node, if its ACL grants the permission; raises RequestError otherwise."""
        node = self.node(path)
        required = PERMISSIONS[permission]
        for acl in node.acl:
            if acl.permissions & required and (acl.scheme == "world" or (acl.scheme, acl.id) in who.ids):
                return node
        raise RequestError(Code.NO_AUTH)

    # Writes; call them only inside `write`

    def create(self, path: str, data: bytes, acl: tuple[Acl, ...], flags: int, who: Identity) -> str:
        """Create a node and return its path, which has a counter appended if sequential."""
        if not path.startswith("/") or "//" in path or (path != "/" and path.endswith("/")):
            raise RequestError(Code.BAD_ARGUMENTS)
        if len(data) > MAX_DATA_BYTES:
            raise RequestError(Code.BAD_ARGUMENTS)
        if flags not in (0, 1, 2, 3):
            raise RequestError(Code.UNIMPLEMENTED)
        parent_path = parent_of(path)
        parent = self.authorized_node(parent_path, "CREATE", who)
        if parent.stat.ephemeral_owner:
            raise RequestError(Code.NO_CHILDREN_FOR_EPHEMERALS)
        if flags & SEQUENTIAL:
            path = f"{path}{parent.stat.cversion:010d}"
        if path in self.nodes:
            raise RequestError(Code.NODE_EXISTS)
        now = self.now_ms()
        owner = who.session if flags & EPHEMERAL else 0
        stat = Stat(self.zxid, self.zxid, now, now, ephemeral_owner=owner, length=len(data), pzxid=self.zxid)
        self.nodes[path] = Node(data, self._resolve_acl(acl, who), stat)
        if owner:
            self.ephemerals.setdefault(owner, set()).add(path)
        self.undo.append(lambda: self._drop(path))
        self._update_parent(parent_path, parent, path, added=True)
        self.changes += [(EventType.CREATED, path), (EventType.CHILDREN, parent_path)]
        return path

    def delete(self, path: str, version: int, who: Identity) -> None:
        node = self.node(path)
        parent_path = parent_of(path)
        parent = self.authorized_node(parent_path, "DELETE", who)
        if path == "/":
            raise RequestError(Code.BAD_ARGUMENTS)
        self.check(path, version)
        if node.children:
            raise RequestError(Code.NOT_EMPTY)
        self._remove(path, node, parent_path, parent)

    def set_data(self, path: str, data: bytes, version: int, who: Identity) -> Stat:
        node = self.authorized_node(path, "WRITE", who)
        self.check(path, version)
        if len(data) > MAX_DATA_BYTES:
            raise RequestError(Code.BAD_ARGUMENTS)
        old_data, old_stat = node.data, copy.copy(node.stat)

        def restore() -> None:
            node.data, node.stat = old_data, old_stat

        self.undo.append(restore)
        node.data = data
        node.stat.version += 1
        node.stat.mzxid, node.stat.mtime, node.stat.length = self.zxid, self.now_ms(), len(data)
        self.changes.append((EventType.CHANGED, path))
        return copy.copy(node.stat)

    def set_acl(self, path: str, acl: tuple[Acl, ...], version: int, who: Identity) -> Stat:
        node = self.authorized_node(path, "ADMIN", who)
        if version not in (-1, node.stat.aversion):
            raise RequestError(Code.BAD_VERSION)
        old_acl, old_aversion = node.acl, node.stat.aversion

        def restore() -> None:
            node.acl, node.stat.aversion = old_acl, old_aversion

        self.undo.append(restore)
        node.acl = self._resolve_acl(acl, who)
        node.stat.aversion += 1
        return copy.copy(node.stat)

    def check(self, path: str, version: int) -> None:
        if version not in (-1, self.node(path).stat.version):
            raise RequestError(Code.BAD_VERSION)

    def end_session(self, session: int) -> None:
        """Delete the ephemeral nodes of a session."""
        for path in sorted(self.ephemerals.get(session, ()), reverse=True):
            parent_path = parent_of(path)
            self._remove(path, self.nodes[path], parent_path, self.nodes[parent_path])
        self.ephemerals.pop(session, None)

    # Parts of writes

    def _resolve_acl(self, acl: tuple[Acl, ...], who: Identity) -> tuple[Acl, ...]:
        resolved: list[Acl] = []
        for entry in acl:
            if entry.scheme == "auth":  # stands for all authenticated ids of the session
                if not who.ids:
                    raise RequestError(Code.INVALID_ACL)
                resolved += [Acl(entry.permissions, scheme, identity) for scheme, identity in sorted(who.ids)]
            elif entry.scheme in ("world", "digest", "ip"):
                resolved.append(entry)
            else:
                raise RequestError(Code.INVALID_ACL)
        if not resolved:
            raise RequestError(Code.INVALID_ACL)
        return tuple(resolved)

    def _remove(self, path: str, node: Node, parent_path: str, parent: Node) -> None:
        self._drop(path)

        def restore() -> None:
            self.nodes[path] = node
            if node.stat.ephemeral_owner:
                self.ephemerals.setdefault(node.stat.ephemeral_owner, set()).add(path)

        self.undo.append(restore)
        self._update_parent(parent_path, parent, path, added=False)
        self.changes += [(EventType.DELETED, path), (EventType.CHILDREN, parent_path)]

    def _drop(self, path: str) -> None:
        node = self.nodes.pop(path)
        if node.stat.ephemeral_owner:
            self.ephemerals.get(node.stat.ephemeral_owner, set()).discard(path)

    def _update_parent(self, parent_path: str, parent: Node, path: str, added: bool) -> None:
        name, old_stat = path.rpartition("/")[2], copy.copy(parent.stat)

        def restore() -> None:
            parent.stat = old_stat
            (parent.children.discard if added else parent.children.add)(name)

        self.undo.append(restore)
        (parent.children.add if added else parent.children.discard)(name)
        parent.stat.cversion += 1
        parent.stat.pzxid = self.zxid
        parent.stat.children = len(parent.children)
