"""Follows the servers registered under one directory: replies and watch events in, requests and facts out.

No I/O.

Each child of the directory is a server's node. One persistent recursive watch (ZooKeeper 3.6 or later)
reports every change below the directory; the event carries no data, so that the node is read after it.

- After every connect, also of the same session, the watch is set and the whole directory is read again,
  because events may have been lost. Nodes that are missing from the list are removed as soon as the list
  arrives, before any node is read.
- A deletion takes effect at once. A created or changed node is read; until the reply arrives, the previous
  fact of the node stays valid, unless the node had been deleted.
- At most `MAX_READS_IN_FLIGHT` reads are in flight; a node that changes again while queued is read once.
- A directory that does not exist has no servers. One that may not be read is an error: contact counts as
  lost, and the known servers stay.
- A node that can't be used affects only its own server, which is removed; such nodes are counted by reason.
- A deleted node never returns: if a read shows a node with a creation zxid from before its deletion, the host
  lags, whatever zxid its replies carry, and the host is left.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field

from garnethaven.membership.catchup import NameTracker
from garnethaven.membership.model import Fact
from garnethaven.membership.payloads import Payload, PayloadError
from garnethaven.membership.zookeeper import records
from garnethaven.membership.zookeeper.records import RECURSIVE, Code, Kind, Op, Reader, Stat
from garnethaven.membership.zookeeper.session import Event, ReplyReceived, WatchEvent

MAX_READS_IN_FLIGHT = 64  # enough to fill the connection, few enough not to delay watch events
MAX_MEMBERS = 20_000


@dataclass(slots=True, frozen=True)
class Request:
    """A request to send; its reply carries the tag."""

    op: Op
    body: bytes
    tag: object


@dataclass(slots=True, frozen=True)
class WatchTag:
    """The tag of the request that sets the watch."""


@dataclass(slots=True, frozen=True)
class ListTag:
    """The tag of the request that lists the directory."""


@dataclass(slots=True, frozen=True)
class ReadTag:
    """The tag of the request that reads a node."""

    name: str


@dataclass(slots=True)
class Outcome:
    """The result of one event: requests to send and changed facts by node name; None removes a server."""

    requests: list[Request] = field(default_factory=list)
    facts: dict[str, Fact | None] = field(default_factory=dict)
    complete: bool = False  # every node of the directory has been read since the last connect
    error: str = ""  # why the directory can't be followed at present; empty: no error
    host_lags: bool = False  # the host returned a node that is known to be deleted


class DirectoryFollower:
    """Follows one directory. `payload` decodes nodes, `persistent` accepts nodes that are not ephemeral."""

    def __init__(self, root: str, payload: Payload, persistent: bool = False) -> None:
        self.root = root.rstrip("/") or "/"
        self.prefix = self.root.rstrip("/") + "/"
        self.payload = payload
        self.persistent = persistent
        self.names = NameTracker()  # nodes with a fact, and the zxid of their creation
        self.queued_reads: deque[str] = deque()
        self.queued_names: set[str] = set()  # the names in `queued_reads`
        self.reads_in_flight: set[str] = set()
        self.names_to_reread: set[str] = set()  # changed while their read is in flight
        self.unread_names: set[str] = set()  # names of the last list that have not been read yet
        self.listed = False
        self.flaws: Counter[str] = Counter()
        self.last_flaw = ""  # the last unusable node and its reason, for the log

    def connected(self) -> Outcome:
        """A session is up: set the watch and read the whole directory."""
        self.names.opened()
        self.queued_reads.clear()
        self.queued_names.clear()
        self.reads_in_flight.clear()
        self.names_to_reread.clear()
        self.unread_names.clear()
        self.listed = False
        watch_body = records.string(self.root) + records.INT.pack(RECURSIVE)
        return Outcome([Request(Op.ADD_WATCH, watch_body, WatchTag()), self._list_request()])

    def handle(self, event: Event) -> Outcome:
        """Handle a reply or a watch event of the session; other events have no effect."""
        if isinstance(event, WatchEvent):
            return self._watch_event(event)
        if isinstance(event, ReplyReceived):
            if isinstance(event.tag, WatchTag):
                return self._watch_reply(event.code)
            if isinstance(event.tag, ListTag):
                return self._list_reply(event)
            if isinstance(event.tag, ReadTag):
                return self._read_reply(event.tag.name, event)
        return Outcome()

    # Events

    def _watch_event(self, event: WatchEvent) -> Outcome:
        if event.path == self.root:
            if event.kind is Kind.DELETED:
                return self._directory_deleted()
            return Outcome([self._list_request()]) if event.kind is Kind.CREATED else Outcome()
        if not event.path.startswith(self.prefix):
            return Outcome()
        name = event.path[len(self.prefix) :]
        if not name or "/" in name:
            return Outcome()  # below a server's node: ignored
        if event.kind is Kind.DELETED:
            return self._node_deleted(name)
        return Outcome(self._queue_read(name))

    def _node_deleted(self, name: str) -> Outcome:
        self.names.remove(name)
        self.unread_names.discard(name)
        return Outcome(facts={name: None}, complete=self._check_complete())

    def _directory_deleted(self) -> Outcome:
        deleted: dict[str, Fact | None] = dict.fromkeys(self.names.remove_absent(set()))
        self.unread_names.clear()
        return Outcome(facts=deleted, complete=self._check_complete())

    # Replies

    def _watch_reply(self, code: int) -> Outcome:
        if code == Code.OK:
            return Outcome()
        if code == Code.UNIMPLEMENTED:
            return Outcome(error="the registry has no recursive watches; 3.6 or later is needed")
        return Outcome(error=f"{self.root} can't be watched: ZooKeeper error {code}")

    def _list_reply(self, event: ReplyReceived) -> Outcome:
        if event.code == Code.NO_NODE:
            self.listed = True
            return self._directory_deleted()
        if event.code != Code.OK:
            reason = (
                "may not be read"
                if event.code == Code.NO_AUTH
                else f"can't be read: ZooKeeper error {event.code}"
            )
            return Outcome(error=f"{self.root} {reason}")
        names = Reader(event.body).strings()
        if len(names) > MAX_MEMBERS:
            self._flaw("too many nodes", self.root)
            names = sorted(names)[:MAX_MEMBERS]
        listed = set(names)
        outcome = Outcome()
        outcome.facts = dict.fromkeys(self.names.remove_absent(listed))
        self.listed = True
        self.unread_names = listed
        for name in names:
            outcome.requests += self._queue_read(name)
        outcome.complete = self._check_complete()
        return outcome

    def _read_reply(self, name: str, event: ReplyReceived) -> Outcome:
        self.reads_in_flight.discard(name)
        self.unread_names.discard(name)
        fact = self._fact_of(name, event)
        if fact is None:
            self.names.drop(name)
        elif not self.names.accept(name, fact.creation):
            return Outcome(host_lags=True)
        if name in self.names_to_reread:
            self.names_to_reread.discard(name)
            return Outcome(self._queue_read(name), {name: fact}, self._check_complete())
        return Outcome(self._next_reads(), {name: fact}, self._check_complete())

    def _fact_of(self, name: str, event: ReplyReceived) -> Fact | None:
        if event.code == Code.NO_NODE:
            return None  # deleted in the meantime; the watch reports it too
        if event.code != Code.OK:
            self._flaw("may not be read" if event.code == Code.NO_AUTH else f"error {event.code}", name)
            return None
        reader = Reader(event.body)
        data, stat = reader.buffer(), reader.stat()
        if not stat.owner and not self.persistent:
            self._flaw("not ephemeral", name)
            return None
        return self._parse(name, data, stat)

    def _parse(self, name: str, data: bytes, stat: Stat) -> Fact | None:
        try:
            return self.payload.read(data, stat.czxid, stat.ctime_ms)
        except PayloadError as flaw:
            self._flaw(str(flaw), name)
            return None

    def _flaw(self, reason: str, name: str) -> None:
        self.flaws[reason] += 1
        self.last_flaw = f"{name[:80]!r}: {reason}"

    # Reads

    def _list_request(self) -> Request:
        return Request(Op.GET_CHILDREN2, records.string(self.root) + b"\0", ListTag())

    def _queue_read(self, name: str) -> list[Request]:
        """Queue the read of a node, unless it is queued already.

        A read in flight may return the state from before the change, so that the node is read again after it.
        """
        if name in self.reads_in_flight:
            self.names_to_reread.add(name)
        elif name not in self.queued_names:
            self.queued_names.add(name)
            self.queued_reads.append(name)
        return self._next_reads()

    def _next_reads(self) -> list[Request]:
        requests: list[Request] = []
        while self.queued_reads and len(self.reads_in_flight) < MAX_READS_IN_FLIGHT:
            name = self.queued_reads.popleft()
            self.queued_names.discard(name)
            self.reads_in_flight.add(name)
            requests.append(self._read_request(name))
        return requests

    def _read_request(self, name: str) -> Request:
        return Request(Op.GET_DATA, records.string(self.prefix + name) + b"\0", ReadTag(name))

    def _check_complete(self) -> bool:
        complete = self.listed and not self.unread_names
        if complete:
            self.names.mark_complete()
        return complete
