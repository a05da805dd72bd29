"""The watches of one host by path: one-shot, persistent and recursive. No I/O."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Hashable, Iterator

from standins.zookeeper.records import Code, EventType, RequestError
from standins.zookeeper.tree import Tree, parent_of

Watcher = Hashable
PERSISTENT, RECURSIVE = 0, 1


class Watches:
    """The watchers of data and children by path; `persistent` has those of modes PERSISTENT and RECURSIVE."""

    def __init__(self) -> None:
        self.data: dict[str, set[Watcher]] = defaultdict(set)  # also of nodes that do not exist yet
        self.children: dict[str, set[Watcher]] = defaultdict(set)
        self.persistent: tuple[dict[str, set[Watcher]], dict[str, set[Watcher]]] = (
            defaultdict(set),
            defaultdict(set),
        )

    def add(self, path: str, mode: int, watcher: Watcher) -> None:
        if mode not in (PERSISTENT, RECURSIVE):
            raise RequestError(Code.BAD_ARGUMENTS)
        self.persistent[mode][path].add(watcher)

    def remove(self, path: str, kind: int, watcher: Watcher) -> None:
        """Remove the watches of a kind, as defined by the protocol: 1 children, 2 data, 3 any."""
        tables = {1: (self.children,), 2: (self.data,)}.get(
            kind, (self.children, self.data, *self.persistent)
        )
        matching_tables = [table for table in tables if watcher in table.get(path, ())]
        if not matching_tables:
            raise RequestError(Code.NO_WATCHER)
        for table in matching_tables:
            table[path].discard(watcher)

    def remove_all(self, watcher: Watcher) -> None:
        """Remove all watches of a closed connection."""
        for table in (self.data, self.children, *self.persistent):
            for path in [path for path, watchers in table.items() if watcher in watchers]:
                table[path].discard(watcher)
                if not table[path]:
                    del table[path]

    def count(self) -> int:
        return sum(
            len(watchers)
            for table in (self.data, self.children, *self.persistent)
            for watchers in table.values()
        )

    def triggered(self, kind: EventType, path: str) -> Iterator[Watcher]:
        """The watchers to notify of a change; one-shot watches are removed."""
        notified: set[Watcher] = set()
        if kind is not EventType.CHILDREN:
            notified |= self.data.pop(path, set())
        if kind in (EventType.CHILDREN, EventType.DELETED):
            notified |= self.children.pop(path, set())
        notified |= self.persistent[PERSISTENT].get(path, set())
        if kind is not EventType.CHILDREN:  # recursive watches get events of nodes, not of child lists
            ancestor = path
            while True:
                notified |= self.persistent[RECURSIVE].get(ancestor, set())
                if ancestor == "/":
                    break
                ancestor = parent_of(ancestor)
        yield from notified

    def restore(
        self,
        tree: Tree,
        since: int,
        data: list[str],
        exist: list[str],
        children: list[str],
        persistent: tuple[list[str], list[str]],
        watcher: Watcher,
    ) -> list[tuple[EventType, str]]:
        """Restore the watches of a reconnected client; return the events that its one-shot watches missed."""
        missed: list[tuple[EventType, str]] = []
        for path in data:
            node = tree.nodes.get(path)
            if node is None:
                missed.append((EventType.DELETED, path))
            elif node.stat.mzxid > since:
                missed.append((EventType.CHANGED, path))
            else:
                self.data[path].add(watcher)
        for path in exist:
            if path in tree.nodes:
                missed.append((EventType.CREATED, path))
            else:
                self.data[path].add(watcher)
        for path in children:
            node = tree.nodes.get(path)
            if node is None:
                missed.append((EventType.DELETED, path))
            elif node.stat.pzxid > since:
                missed.append((EventType.CHILDREN, path))
            else:
                self.children[path].add(watcher)
        for mode, paths in enumerate(persistent):
            for path in paths:
                self.persistent[mode][path].add(watcher)
        return missed
