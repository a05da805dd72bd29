"""One host of the ensemble: its port, its connections, its watches and its faults."""

from __future__ import annotations

import asyncio
import contextlib
import ssl
import struct
import time

from standins.zookeeper import records
from standins.zookeeper.records import BOOL, INT, LONG, REPLY, Code, Kind, Op, Reader, RequestError, frame
from standins.zookeeper.requests import WRITES, Asked, answer, with_identity
from standins.zookeeper.sessions import Keeper, Session
from standins.zookeeper.tree import Change, Tree, Who
from standins.zookeeper.watches import Watches

EVENT_XID = -1
CONNECTED = 3
BUFFER_MOST = 4 * 1024 * 1024  # that a client which does not read may leave with us


class Line:
    """One client's connection to this host."""

    def __init__(self, host: Host, writer: asyncio.StreamWriter) -> None:
        self.host = host
        self.writer = writer
        self.session: Session | None = None
        self.who = Who()
        self.read_only = False

    def say(self, message: bytes) -> None:
        """Write a frame, now or after the host's lag, in order."""
        if self.writer.transport.get_write_buffer_size() > BUFFER_MOST:
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

    def tell(self, kind: Kind, path: str) -> None:
        if self.host.loses_events:
            self.cut()
            return
        message = REPLY.pack(EVENT_XID, -1, 0) + INT.pack(kind) + INT.pack(CONNECTED) + records.string(path)
        self.say(message)
        if self.session is not None and not self.host.stalled:
            at = time.monotonic() + self.host.lag_s
            self.host.ensemble.on_told(self.session.id, kind, path, at)

    def cut(self) -> None:
        self.writer.transport.abort()


class Host:
    def __init__(self, ensemble: Keeper, tls: ssl.SSLContext | None) -> None:
        self.ensemble = ensemble
        self.tls = tls
        self.port = 0
        self.server: asyncio.Server | None = None
        self.lines: set[Line] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.watches = Watches()
        self.stalled = self.loses_events = self.cut_off = self.read_only = self.answers_old = False
        self.lag_s = 0.0
        self.old: Tree | None = None  # what it serves while it lags behind
        self.connects: list[float] = []  # when clients connected
        self.refused_newer = 0  # clients that had seen more than this host
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
        """End all connections, or those of one session."""
        for line in list(self.lines):
            if session is None or (line.session is not None and line.session.id == session):
                line.cut()

    async def tasks_ended(self) -> None:
        while self.tasks:
            await asyncio.gather(*self.tasks, return_exceptions=True)

    def fall_behind(self) -> None:
        self.old = self.ensemble.tree.frozen()

    def catch_up(self) -> None:
        self.old = None

    def tree(self) -> Tree:
        return self.old or self.ensemble.tree

    def tell(self, changes: list[Change]) -> None:
        """A write has been done somewhere."""
        if self.old is not None or self.cut_off:
            return
        for kind, path in changes:
            for line in list(self.watches.fired(kind, path)):
                if isinstance(line, Line):
                    line.tell(kind, path)

    # One connection

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        line = Line(self, writer)
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        self.lines.add(line)
        self.connects.append(time.monotonic())
        try:
            with contextlib.suppress(
                ConnectionError, asyncio.IncompleteReadError, RequestError, struct.error
            ):
                await self._converse(line, reader)
        except asyncio.CancelledError:
            pass
        finally:
            self.tasks.discard(task)
            self.lines.discard(line)
            self.watches.forget(line)
            with contextlib.suppress(ConnectionError):
                if not writer.is_closing():
                    await writer.drain()
            writer.close()

    async def _converse(self, line: Line, reader: asyncio.StreamReader) -> None:
        head = await reader.readexactly(4)
        if head.isalpha():
            line.writer.write(self._word(head.decode()).encode())
            return
        if not await self._connect(line, await self._message(head, reader)):
            return
        while not self.cut_off:
            message = await self._message(await reader.readexactly(4), reader)
            self.requests += 1
            if line.session is None or line.session.id not in self.ensemble.sessions:
                return
            if self.stalled:
                continue
            line.session.heard_at = time.monotonic()
            if not self._request(line, message):
                return

    async def _message(self, head: bytes, reader: asyncio.StreamReader) -> bytes:
        (length,) = INT.unpack(head)
        if not 0 <= length <= records.MOST:
            raise RequestError(Code.MARSHALLING)
        return await reader.readexactly(length)

    async def _connect(self, line: Line, message: bytes) -> bool:
        read = Reader(message)
        read.number()
        seen, timeout, session_id, password = read.long(), read.number(), read.long(), read.buffer()
        line.read_only = read.flag() if read.more() else False
        while self.stalled:
            await asyncio.sleep(0.02)
        if self.cut_off or (self.read_only and not line.read_only):
            return False
        if seen > self.tree().zxid and not self.answers_old:
            self.refused_newer += 1
            return False
        ensemble = self.ensemble
        if session_id:
            session = ensemble.resume(session_id, password)
            if session is not None:
                for host in ensemble.members:
                    host.cut(session_id)  # it has moved here
        else:
            session = ensemble.begin(timeout)
        told = session.timeout_ms if session else 0
        who, secret = (session.id, session.password) if session else (0, bytes(16))
        answer = INT.pack(0) + INT.pack(told) + LONG.pack(who) + records.buffer(secret)
        line.say(answer + BOOL.pack(self.read_only))
        if session is None:  # it has expired
            await asyncio.sleep(self.lag_s)
            return False
        line.session = session
        line.who = Who(session.id)
        return True

    def _request(self, line: Line, message: bytes) -> bool:
        """Answer one request; false where the connection ends by it."""
        read = Reader(message)
        xid, op = read.number(), read.number()
        tree = self.tree()
        if op == Op.PING:
            line.say(REPLY.pack(xid, tree.zxid, 0))
            return True
        if op == Op.AUTH:
            return self._auth(line, xid, read)
        if op == Op.SYNC and not self.answers_old:
            self.catch_up()
        asked = Asked(line.who, tree, self.watches, line, read)
        try:
            if op in WRITES:
                if self.read_only:
                    raise RequestError(Code.NOT_READ_ONLY)
                self.catch_up()  # a write goes through the leader, and this host sees it
                asked.tree = tree = self.ensemble.tree
            body, code = answer(op, asked), Code.OK
        except RequestError as flaw:
            body, code = b"", flaw.code
        except RecursionError:
            body, code = b"", Code.MARSHALLING
        self.ensemble.changed(asked.changes)  # events come before the reply of the write that made them
        line.say(REPLY.pack(xid, tree.zxid, code) + body)
        assert line.session is not None
        if asked.told_listing is not None and not self.stalled:
            path, names = asked.told_listing
            self.ensemble.on_listed(line.session.id, path, names, time.monotonic() + self.lag_s)
        for kind, path in asked.missed:
            line.tell(kind, path)
        if op == Op.CLOSE:
            self.ensemble.ended(line.session.id)
            return False
        return True

    def _auth(self, line: Line, xid: int, read: Reader) -> bool:
        read.number()
        scheme, credential = read.string(), read.buffer()
        try:
            line.who = with_identity(line.who, scheme, credential)
        except RequestError as flaw:
            line.say(REPLY.pack(xid, 0, flaw.code))
            return False
        line.say(REPLY.pack(xid, 0, 0))
        return True

    def _word(self, word: str) -> str:
        """The four-letter words that monitors ask."""
        tree = self.tree()
        if self.cut_off:
            return "This ZooKeeper instance is not currently serving requests\n"
        if word == "ruok":
            return "imok"
        if word in ("srvr", "stat"):
            mode = "read-only" if self.read_only else "standalone"
            return (
                f"Zookeeper version: 3.9.0-standin\nConnections: {len(self.lines)}\n"
                f"Zxid: 0x{tree.zxid:x}\nMode: {mode}\nNode count: {len(tree.nodes)}\n"
            )
        if word == "mntr":
            return (
                f"zk_version\t3.9.0-standin\nzk_num_alive_connections\t{len(self.lines)}\n"
                f"zk_znode_count\t{len(tree.nodes)}\nzk_watch_count\t{self.watches.count()}\n"
                f"zk_ephemerals_count\t{sum(map(len, tree.owned.values()))}\n"
            )
        if word == "wchs":
            return f"{len(self.lines)} connections watching\nTotal watches:{self.watches.count()}\n"
        if word == "isro":
            return "ro" if self.read_only else "rw"
        if word == "envi":
            return "Environment:\nzookeeper.version=3.9.0-standin\n"
        return f"{word} is not executed because it is not in the whitelist.\n"
