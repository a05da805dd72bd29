"""One host of the ensemble, with its port, connections, watches and faults."""

from __future__ import annotations

import asyncio
import contextlib
import ssl
import struct
import time

from standins.zookeeper import records
from standins.zookeeper.records import (
    BOOL,
    INT,
    LONG,
    REPLY,
    Code,
    EventType,
    Op,
    Reader,
    RequestError,
    frame,
)
from standins.zookeeper.requests import WRITES, RequestContext, answer, with_identity
from standins.zookeeper.sessions import EnsembleProtocol, Session
from standins.zookeeper.tree import Change, Identity, Tree
from standins.zookeeper.watches import Watches

EVENT_XID = -1
CONNECTED = 3
MAX_BUFFERED_BYTES = 4 * 1024 * 1024  # a client that leaves more unread is disconnected


class ClientConnection:
    """A client connection to a host."""

    def __init__(self, host: Host, writer: asyncio.StreamWriter) -> None:
        self.host = host
        self.writer = writer
        self.session: Session | None = None
        self.who = Identity()
        self.read_only = False

    def send(self, message: bytes) -> None:
        """Send a message in order, delayed by the lag of the host."""
        if self.writer.transport.get_write_buffer_size() > MAX_BUFFERED_BYTES:
            self.cut()
            return
        if self.host.stalled or self.writer.is_closing():
            return
        if self.host.lag_s:
            asyncio.get_running_loop().call_later(self.host.lag_s, self._write, message)
        else:
            self._write(message)

    def _write(self, message: bytes) -> None:
        if not self.writer.is_closing() and not self.host.stalled:
            self.writer.write(frame(message))

    def send_event(self, kind: EventType, path: str) -> None:
        """Send a watch event, or close the connection if the host loses events."""
        if self.host.loses_events:
            self.cut()
            return
        message = REPLY.pack(EVENT_XID, -1, 0) + INT.pack(kind) + INT.pack(CONNECTED) + records.string(path)
        self.send(message)
        if self.session is not None and not self.host.stalled:
            at = time.monotonic() + self.host.lag_s
            self.host.ensemble.on_event_sent(self.session.id, kind, path, at)

    def cut(self) -> None:
        self.writer.transport.abort()


class Host:
    """A server of the ensemble; the module ensemble.py describes its faults."""

    def __init__(self, ensemble: EnsembleProtocol, tls: ssl.SSLContext | None) -> None:
        self.ensemble = ensemble
        self.tls = tls
        self.port = 0
        self.server: asyncio.Server | None = None
        self.connections: set[ClientConnection] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.watches = Watches()
        self.stalled = self.loses_events = self.cut_off = self.read_only = self.answers_old = False
        self.lag_s = 0.0
        self.stale_tree: Tree | None = None  # the outdated tree that it serves after `fall_behind`
        self.connect_times: list[float] = []  # monotonic times of client connections
        self.rejected_newer_clients = 0  # clients rejected because they have seen a newer zxid
        self.requests = 0

    async def start(self) -> Host:
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, ssl=self.tls, backlog=1024
        )
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
            self.server = None
        self.cut()

    def cut(self, session: int | None = None) -> None:
        """Reset all connections, or those of one session."""
        for connection in list(self.connections):
            if session is None or (connection.session is not None and connection.session.id == session):
                connection.cut()

    async def wait_for_tasks(self) -> None:
        while self.tasks:
            await asyncio.gather(*self.tasks, return_exceptions=True)

    def fall_behind(self) -> None:
        """Serve the current state from now on, whatever is written later."""
        self.stale_tree = self.ensemble.tree.snapshot()

    def catch_up(self) -> None:
        self.stale_tree = None

    def tree(self) -> Tree:
        return self.stale_tree or self.ensemble.tree

    def notify_watchers(self, changes: list[Change]) -> None:
        """Notify the watchers on this host of the changes of a write."""
        if self.stale_tree is not None or self.cut_off:
            return
        for kind, path in changes:
            for connection in list(self.watches.triggered(kind, path)):
                if isinstance(connection, ClientConnection):
                    connection.send_event(kind, path)

    # One connection

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = ClientConnection(self, writer)
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        self.connections.add(connection)
        self.connect_times.append(time.monotonic())
        try:
            with contextlib.suppress(
                ConnectionError, asyncio.IncompleteReadError, RequestError, struct.error
            ):
                await self._serve_connection(connection, reader)
        except asyncio.CancelledError:
            pass
        finally:
            self.tasks.discard(task)
            self.connections.discard(connection)
            self.watches.remove_all(connection)
            with contextlib.suppress(ConnectionError):
                if not writer.is_closing():
                    await writer.drain()
            writer.close()

    async def _serve_connection(self, connection: ClientConnection, reader: asyncio.StreamReader) -> None:
        head = await reader.readexactly(4)
        if head.isalpha():
            connection.writer.write(self._answer_command(head.decode()).encode())
            return
        if not await self._handle_connect(connection, await self._message(head, reader)):
            return
        while not self.cut_off:
            message = await self._message(await reader.readexactly(4), reader)
            self.requests += 1
            if connection.session is None or connection.session.id not in self.ensemble.sessions:
                return
            if self.stalled:
                continue
            connection.session.last_request_at = time.monotonic()
            if not self._handle_request(connection, message):
                return

    async def _message(self, head: bytes, reader: asyncio.StreamReader) -> bytes:
        (length,) = INT.unpack(head)
        if not 0 <= length <= records.MAX_MESSAGE_BYTES:
            raise RequestError(Code.MARSHALLING)
        return await reader.readexactly(length)

    async def _handle_connect(self, connection: ClientConnection, message: bytes) -> bool:
        reader = Reader(message)
        reader.number()
        last_zxid, requested_timeout_ms, session_id, password = (
            reader.long(),
            reader.number(),
            reader.long(),
            reader.buffer(),
        )
        connection.read_only = reader.flag() if reader.has_more() else False
        while self.stalled:
            await asyncio.sleep(0.02)
        if self.cut_off or (self.read_only and not connection.read_only):
            return False
        if last_zxid > self.tree().zxid and not self.answers_old:
            self.rejected_newer_clients += 1
            return False
        ensemble = self.ensemble
        if session_id:
            session = ensemble.resume(session_id, password)
            if session is not None:
                for host in ensemble.members:
                    host.cut(session_id)  # the session has moved to this connection
        else:
            session = ensemble.create_session(requested_timeout_ms)
        timeout_ms = session.timeout_ms if session else 0
        answered_id, answered_password = (session.id, session.password) if session else (0, bytes(16))
        answer = (
            INT.pack(0) + INT.pack(timeout_ms) + LONG.pack(answered_id) + records.buffer(answered_password)
        )
        connection.send(answer + BOOL.pack(self.read_only))
        if session is None:  # the session has expired
            await asyncio.sleep(self.lag_s)
            return False
        connection.session = session
        connection.who = Identity(session.id)
        return True

    def _handle_request(self, connection: ClientConnection, message: bytes) -> bool:
        """Answer one request; return False if the connection ends with it."""
        reader = Reader(message)
        xid, op = reader.number(), reader.number()
        tree = self.tree()
        if op == Op.PING:
            connection.send(REPLY.pack(xid, tree.zxid, 0))
            return True
        if op == Op.AUTH:
            return self._auth(connection, xid, reader)
        if op == Op.SYNC and not self.answers_old:
            self.catch_up()
        context = RequestContext(connection.who, tree, self.watches, connection, reader)
        try:
            if op in WRITES:
                if self.read_only:
                    raise RequestError(Code.NOT_READ_ONLY)
                self.catch_up()  # writes go through the leader, so this host has its state afterwards
                context.tree = tree = self.ensemble.tree
            body, code = answer(op, context), Code.OK
        except RequestError as error:
            body, code = b"", error.code
        except RecursionError:
            body, code = b"", Code.MARSHALLING
        self.ensemble.publish(context.changes)  # the events of a write precede its reply
        connection.send(REPLY.pack(xid, tree.zxid, code) + body)
        assert connection.session is not None
        if context.listing is not None and not self.stalled:
            path, names = context.listing
            self.ensemble.on_children_sent(connection.session.id, path, names, time.monotonic() + self.lag_s)
        for kind, path in context.missed_events:
            connection.send_event(kind, path)
        if op == Op.CLOSE:
            self.ensemble.session_closed(connection.session.id)
            return False
        return True

    def _auth(self, connection: ClientConnection, xid: int, reader: Reader) -> bool:
        reader.number()
        scheme, credential = reader.string(), reader.buffer()
        try:
            connection.who = with_identity(connection.who, scheme, credential)
        except RequestError as error:
            connection.send(REPLY.pack(xid, 0, error.code))
            return False
        connection.send(REPLY.pack(xid, 0, 0))
        return True

    def _answer_command(self, command: str) -> str:
        """The answer to a four-letter monitoring command."""
        tree = self.tree()
        if self.cut_off:
            return "This ZooKeeper instance is not currently serving requests\n"
        if command == "ruok":
            return "imok"
        if command in ("srvr", "stat"):
            mode = "read-only" if self.read_only else "standalone"
            return (
                f"Zookeeper version: 3.9.0-standin\nConnections: {len(self.connections)}\n"
                f"Zxid: 0x{tree.zxid:x}\nMode: {mode}\nNode count: {len(tree.nodes)}\n"
            )
        if command == "mntr":
            return (
                f"zk_version\t3.9.0-standin\nzk_num_alive_connections\t{len(self.connections)}\n"
                f"zk_znode_count\t{len(tree.nodes)}\nzk_watch_count\t{self.watches.count()}\n"
                f"zk_ephemerals_count\t{sum(map(len, tree.ephemerals.values()))}\n"
            )
        if command == "wchs":
            return f"{len(self.connections)} connections watching\nTotal watches:{self.watches.count()}\n"
        if command == "isro":
            return "ro" if self.read_only else "rw"
        if command == "envi":
            return "Environment:\nzookeeper.version=3.9.0-standin\n"
        return f"{command} is not executed because it is not in the whitelist.\n"
