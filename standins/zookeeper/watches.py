"""Who watches what, for one host: one-shot watches, persistent ones and recursive ones. No I/O."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Hashable, Iterator

from standins.zookeeper.records import Code, Kind, RequestError
from standins.zookeeper.tree import Tree, parent_of

Watcher = Hashable
PERSISTENT, RECURSIVE = 0, 1


class Watches:
    def __init__(self) -> None:
        self.data: dict[str, set[Watcher]] = defaultdict(set)  # also of nodes that are not there yet
        self.children: dict[str, set[Watcher]] = defaultdict(set)
        self.lasting: tuple[dict[str, set[Watcher]], dict[str, set[Watcher]]] = (
            defaultdict(set),
            defaultdict(set),
        )

    def add(self, path: str, mode: int, watcher: Watcher) -> None:
        if mode not in (PERSISTENT, RECURSIVE):
            raise RequestError(Code.BAD_ARGUMENTS)
        self.lasting[mode][path].add(watcher)

    def remove(self, path: str, kind: int, watcher: Watcher) -> None:
        """One kind of watch, as published: 1 children, 2 data, 3 any."""
        tables = {1: (self.children,), 2: (self.data,)}.get(kind, (self.children, self.data, *self.lasting))
        found = [table for table in tables if watcher in table.get(path, ())]
        if not found:
            raise RequestError(Code.NO_WATCHER)
        for table in found:
            table[path].discard(watcher)

    def forget(self, watcher: Watcher) -> None:
        for table in (self.data, self.children, *self.lasting):
            for path in [path for path, watchers in table.items() if watcher in watchers]:
                table[path].discard(watcher)
                if not table[path]:
                    del table[path]

    def count(self) -> int:
        return sum(len(of) for table in (self.data, self.children, *self.lasting) for of in table.values())

    def fired(self, kind: Kind, path: str) -> Iterator[Watcher]:
        """Who is told of a change; one-shot watches end by it."""
        told: set[Watcher] = set()
        if kind is not Kind.CHILDREN:
            told |= self.data.pop(path, set())
        if kind in (Kind.CHILDREN, Kind.DELETED):
            told |= self.children.pop(path, set())
        told |= self.lasting[PERSISTENT].get(path, set())
        if kind is not Kind.CHILDREN:  # a recursive watch is told of the nodes themselves
            above = path
            while True:
                told |= self.lasting[RECURSIVE].get(above, set())
                if above == "/":
                    break
                above = parent_of(above)
        yield from told

    def renew(
        self,
        tree: Tree,
        since: int,
        data: list[str],
        exist: list[str],
        children: list[str],
        lasting: tuple[list[str], list[str]],
        watcher: Watcher,
    ) -> list[tuple[Kind, str]]:
        """A client that comes back sets its watches anew; what it missed of the one-shot ones is told."""
        missed: list[tuple[Kind, str]] = []
        for path in data:
            node = tree.nodes.get(path)
            if node is None:
                missed.append((Kind.DELETED, path))
            elif node.stat.mzxid > since:
                missed.append((Kind.CHANGED, path))
            else:
                self.data[path].add(watcher)
        for path in exist:
            if path in tree.nodes:
                missed.append((Kind.CREATED, path))
            else:
                self.data[path].add(watcher)
        for path in children:
            node = tree.nodes.get(path)
            if node is None:
                missed.append((Kind.DELETED, path))
            elif node.stat.pzxid > since:
                missed.append((Kind.CHILDREN, path))
            else:
                self.children[path].add(watcher)
        for mode, paths in enumerate(lasting):
            for path in paths:
                self.lasting[mode][path].add(watcher)
        return missed
