"""The HTTP/1.1 front: the listening socket, its connections and the graceful shutdown."""

from __future__ import annotations

import asyncio
import math
import socket
import time
from collections.abc import Callable

from garnethaven.addresses import Address
from garnethaven.backlog import POLL_INTERVAL_S, backlog_length, prefer_newer_listener, stop_arrivals
from garnethaven.config import Config
from garnethaven.engine.classes import Classes
from garnethaven.engine.engine import Engine, S
from garnethaven.interface import ProcessResumed
from garnethaven.limits.connection_limit import (
    FIRST_REQUEST_GRACE_S,
    UNPRESSURED_WAIT_S,
    ClientConnectionLimit,
    ConnectionHistory,
)
from garnethaven.net.client import DEFERRED_READ_S, ClientConnection
from garnethaven.net.costly_reads import CostlyReads
from garnethaven.net.flow import RECEIVE_BUFFER_BYTES
from garnethaven.net.own_failures import OUT_OF_RESOURCES
from garnethaven.net.owner import OwnedConnection
from garnethaven.net.transport import HttpTransport

SWEEP_INTERVAL_S = 0.05  # between two checks of the number of connections
CHECK_INTERVAL_S = 0.2  # between two checks of every connection's timeouts
LOOP_LAG_S = 0.03  # a sweep later than this means that the loop lags and clients may have left meanwhile
STALLED_S = 0.4  # without a sweep; shorter than the grace period in which a drain must be noticed
RESUMED_S = 1.0  # without a sweep: requests have queued up, as during a restart; less is a load peak
CLIENT_SHARE_DIVISOR = 3  # clients may hold 1/3 of the file descriptors
MAX_ACCEPTS_PER_EVENT = 64
OVERFLOW = 16  # connections above the limit that are accepted only to answer with 503
MAX_LINGERING = 16  # lingering connections above the limit; beyond it the oldest are aborted
ACCEPT_RETRY_S = 0.1  # after an accept failed for lack of descriptors or memory, or repeatedly
MAX_FAILED_ACCEPTS = 8  # in one event: each may be a client that left while it waited in the backlog
MAX_BIND_WAIT_S = 5.0  # at startup, for the listening socket, while descriptors or memory are short
LISTEN_BACKLOG = 1024

# Graceful shutdown. New connections arrive for up to 0.4 s after the signal, requests on persistent ones as
# long as these are open. The platform sends SIGKILL no sooner than the longest deadline of the settings
# (capped at `MAX_DRAIN_DEADLINE_S`) plus `KILL_DELAY_S` after the signal; with short deadlines the longer
# phases end sooner.
MAX_DRAIN_DEADLINE_S = 3.0
KILL_DELAY_S = 0.7
LAST_ANSWER_S = 0.25  # before the kill: every accepted request has been answered by then
LINGER_LAST_S = 0.15  # before the kill: the last connection is closed; an idle interpreter exits in 0.04 s
# Times after the signal, unless stated otherwise:
DRAIN_IDLE_S = 0.45  # idle connections are closed, while a resent request still finds the listener
DRAIN_LISTEN_S = 0.65  # the shortest time for which the socket listens
DRAIN_QUIET_S = 0.2  # without a new connection, after which the socket stops listening
DRAIN_LISTEN_MOST_S = 1.2  # the longest time for which it listens
DRAIN_BACKLOG_S = 1.0  # the longest time to accept the backlog, once no more connections can arrive
DRAIN_READ_S = 1.4  # a request that has not been received completely is abandoned


def listening_socket(address: Address) -> socket.socket:
    """Open a non-blocking listening TCP socket; raises OSError if the address can't be bound.

    While this machine is short of descriptors or memory, retries for `MAX_BIND_WAIT_S`. It blocks meanwhile,
    which delays nothing, because nothing else runs at startup.
    """
    retry_until = time.monotonic() + MAX_BIND_WAIT_S
    while True:
        try:
            return _open_listening_socket(address)
        except OSError as problem:
            if problem.errno not in OUT_OF_RESOURCES or time.monotonic() >= retry_until:
                raise
        time.sleep(ACCEPT_RETRY_S)


def _open_listening_socket(address: Address) -> socket.socket:
    """Open the socket once, without a retry; raises OSError."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        _prepare_listening(sock, address)
    except OSError:
        sock.close()
        raise
    return sock


def _prepare_listening(sock: socket.socket, address: Address) -> None:
    # After a restart the address can be bound at once, whatever state the last process's connections are in.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # During an upgrade the old and the new version listen at the same time.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    # Accepted connections inherit the receive buffer, which bounds the size of one read.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setblocking(False)
    sock.bind(address)
    sock.listen(LISTEN_BACKLOG)


class Listener:
    """Accepts clients' connections, bounds their number, and shuts down gracefully.

    `limit` returns the current maximum number of connections. The constructor opens the socket and raises
    OSError if the address can't be bound; `finished` is done at the end of a `drain`.
    """

    def __init__(
        self,
        config: Config,
        engine: Engine,
        transport: HttpTransport,
        loop: asyncio.AbstractEventLoop,
        limit: Callable[[], int],
    ) -> None:
        self.engine = engine
        self.transport = transport
        self.classes = Classes(engine.settings, config.names)
        self.loop = loop
        self.limit = limit
        self.client_share = config.sockets // CLIENT_SHARE_DIVISOR
        self.places = ClientConnectionLimit(limit(), self.client_share)
        self.set_limits()
        self.connections: set[OwnedConnection] = set()
        self.without_request = 0  # connections without a request so far
        self.closing: set[OwnedConnection] = set()  # connections that are being closed
        self.lingering: dict[OwnedConnection, None] = {}  # the lingering ones of these, the oldest first
        self.accept_tasks: set[asyncio.Task[object]] = set()
        self.accepted_sockets: set[socket.socket] = set()  # not connected to the event loop yet
        self.costly_reads = CostlyReads(loop)
        self.draining = False
        self.read_until = self.last_answer_at = math.inf  # deadlines of a shutdown
        self.accepting = False
        self.accept_paused_until = 0.0  # after failed accepts, so that a persistent failure does not spin
        self.accepted_at = 0.0
        self.linger_deadline = math.inf
        self.finished: asyncio.Future[None] = loop.create_future()
        self.sock = listening_socket(config.listen)
        self._resume_accepting()
        self.checked_at = 0.0
        self.swept_at = loop.time()
        self.lagging_until = 0.0  # until then, bytes that arrived while the loop lagged are being read
        self.defer_until = 0.0  # until then, reads of requests wait for discovery's updates
        loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _resume_accepting(self) -> None:
        paused = self.loop.time() < self.accept_paused_until
        if not self.accepting and not paused and not self.sock_closed():
            self.accepting = True
            self.loop.add_reader(self.sock, self._accept)

    def _pause_accepting(self) -> None:
        if self.accepting:
            self.accepting = False
            self.loop.remove_reader(self.sock)

    def _accept(self) -> int:
        """Accept the connections in the backlog; returns how many.

        At the limit, connections without a request are closed to make room. If there are none, up to OVERFLOW
        more are accepted only to answer with 503, and others stay in the kernel's backlog.
        """
        accepted = failed = 0
        while accepted < MAX_ACCEPTS_PER_EVENT:
            excess = self._excess()
            if excess >= OVERFLOW:
                self._pause_accepting()
                return accepted
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                return accepted
            except OSError as problem:
                failed += 1
                if problem.errno in OUT_OF_RESOURCES:
                    self.transport.pool.close_oldest_idle()
                elif failed < MAX_FAILED_ACCEPTS:
                    continue  # the client left while it waited in the backlog
                self._retry_accepting()
                return accepted
            accepted += 1
            self.accepted_at = self.loop.time()
            self._serve(sock, over_limit=excess >= 0)
            if self.lingering:
                self._bound_lingering()
        return accepted

    def _excess(self) -> int:
        """The number of connections above the limit, after evictions; negative: one more is allowed."""
        excess = self.counted_connections() - self.limit()
        if excess >= 0:
            excess -= self._evict(excess + 1)
        return excess

    def _retry_accepting(self) -> None:
        """Pause accepting, and resume it after `ACCEPT_RETRY_S`."""
        self.accept_paused_until = self.loop.time() + ACCEPT_RETRY_S / 2
        self._pause_accepting()
        self.loop.call_later(ACCEPT_RETRY_S, self._resume_accepting)

    def _serve(self, sock: socket.socket, over_limit: bool) -> None:
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError as problem:
            self.engine.log(f"closing a new client connection, its socket can't be set up: {problem}")
            sock.close()
            return

        def make_connection() -> ClientConnection:
            return ClientConnection(self, sock, over_limit)

        task: asyncio.Task[object] = self.loop.create_task(
            self.loop.connect_accepted_socket(make_connection, sock)
        )

        def setup_finished(task: asyncio.Task[object]) -> None:
            self.accept_tasks.discard(task)
            self.accepted_sockets.discard(sock)
            if not task.cancelled() and task.exception() is not None:
                self.engine.log(f"a new client connection failed during setup: {task.exception()}")

        self.accept_tasks.add(task)
        self.accepted_sockets.add(sock)
        task.add_done_callback(setup_finished)

    # Reported by connections (owner.py)

    def opened(self, connection: OwnedConnection) -> None:
        self.connections.add(connection)
        self.without_request += 1
        self.accepted_sockets.discard(connection.sock)

    def request_received(self, usage: ConnectionHistory, now: float) -> None:
        if not usage.request_count:
            self.without_request -= 1
        self.places.record_request(usage, now)

    def close_started(self, connection: OwnedConnection) -> None:
        self.closing.add(connection)

    def forget(self, connection: OwnedConnection) -> None:
        if not connection.usage.request_count:
            self.without_request -= 1
        self.places.record_close(connection.usage, self.loop.time())
        self.connections.discard(connection)
        self.closing.discard(connection)
        self.lingering.pop(connection, None)
        self._resume_accepting()
        self._check_finished()

    def linger_started(self, connection: OwnedConnection) -> None:
        """The connection lingers: it no longer counts as open, but keeps its descriptor for a while."""
        self.closing.add(connection)
        self.lingering[connection] = None
        self._bound_lingering()

    def _bound_lingering(self) -> None:
        descriptors = len(self.connections) + len(self.accepted_sockets)
        for connection in list(self.lingering)[: max(0, descriptors - self.limit() - MAX_LINGERING)]:
            del self.lingering[connection]
            connection.abort()

    def sock_closed(self) -> bool:
        return self.sock.fileno() < 0

    def _evict(self, wanted: int) -> int:
        """Close up to `wanted` connections that are least likely to be used; returns how many.

        Evictable connections (silent, slow or penalised) are closed first, the oldest first: clients that
        open hundreds of connections and send nothing must not displace others. If there are none, closes one
        idle connection: preferably one without a request so far, else the one with the longest expected wait.
        A connection with a request unread in the kernel is not idle.
        """
        now = self.loop.time()
        silent = [candidate for candidate in self.connections if candidate.is_evictable(now)]
        silent.sort(key=lambda candidate: candidate.waiting_since)
        evicted = 0
        for connection in silent:
            evicted += connection.evict()
            if evicted == wanted:
                break
        if silent:
            return evicted  # those that are kept have unread bytes, which are read soon

        def eviction_order(candidate: OwnedConnection) -> tuple[bool, float]:
            return candidate.usage.request_count > 0, -self.places.expected_wait(candidate.usage, now)

        for connection in sorted(self.connections, key=eviction_order):
            if connection.is_idle() and connection.evict():
                return 1
        return 0

    def _sweep(self) -> None:
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        now = self.loop.time()
        since_sweep_s, self.swept_at = now - self.swept_at, now
        if since_sweep_s > SWEEP_INTERVAL_S + LOOP_LAG_S:
            self.lagging_until = now + SWEEP_INTERVAL_S
        if since_sweep_s > STALLED_S:
            self.defer_until = now + DEFERRED_READ_S
        if since_sweep_s > RESUMED_S:
            self.engine.post(ProcessResumed())
        if now >= self.checked_at + CHECK_INTERVAL_S:
            self.checked_at = now
            for connection in list(self.connections):
                connection.check_timeouts(now)
        if self.places.pressure(self.counted_connections()):
            self._close_surplus(now)
        self._resume_accepting()  # at the limit: silent connections may be evictable by now

    def should_defer_reading(self, now: float) -> bool:
        """Whether received bytes must wait, because the process was suspended.

        Discovery's updates from that time are unread in the kernel like the clients' requests, and must be
        applied first.
        """
        return now - self.swept_at > STALLED_S or now < self.defer_until

    def is_lagging(self) -> bool:
        """Whether the loop lags: bytes that are read now may be old, and their client may have left."""
        now = self.loop.time()
        return now < self.lagging_until or now - self.swept_at > SWEEP_INTERVAL_S + LOOP_LAG_S

    def set_limits(self, client_places: int = 0, calm_idle_s: float = UNPRESSURED_WAIT_S) -> None:
        """Apply an operator's settings, also while connections are open.

        `client_places` is the maximum number of connections that clients hold on their side (0: not known),
        `calm_idle_s` the seconds after which an idle connection is closed.
        """
        self.calm_idle_s = calm_idle_s
        self.places.resize(self.limit(), client_places or self.client_share, calm_idle_s)

    def counted_connections(self) -> int:
        """The number of connections that count against the limits."""
        return len(self.connections) + len(self.accepted_sockets) - len(self.closing)

    def ends_with_answer(self, connection: OwnedConnection) -> bool:
        """Whether to close the connection with the answer that is about to be written."""
        in_use = self.counted_connections() - self.without_request
        return self.places.ends_with_answer(connection.usage, in_use, connection.usage.idle_since)

    def _close_surplus(self, now: float) -> None:
        """Close the idle connections that are least likely to be used, before the limit is reached."""
        idle = [candidate for candidate in self.connections if candidate.is_awaiting_request()]
        for connection in self.places.select_surplus(idle, self.counted_connections(), now):
            if connection.is_idle():
                connection.stop_reading()

    # Graceful shutdown

    def drain(self) -> None:
        """Shut down: serve clients that still connect, answer every accepted request, then set `finished`."""
        if self.draining:
            return
        self.draining = True
        now = self.loop.time()
        prefer_newer_listener(self.sock)
        self.accepted_at = max(self.accepted_at, now)
        patience_s = max(grade.deadline for grade in self.engine.settings.request_classes) / S
        killed_at = now + min(patience_s, MAX_DRAIN_DEADLINE_S) + KILL_DELAY_S
        self.linger_deadline = killed_at - LINGER_LAST_S
        self.last_answer_at = killed_at - LAST_ANSWER_S
        self.engine.set_drain_deadline(self.last_answer_at - now)
        last_arrival = max(now + DRAIN_IDLE_S, self.last_answer_at - FIRST_REQUEST_GRACE_S)
        self.loop.call_at(now + DRAIN_IDLE_S, self._close_idle)
        listen_until = min(now + DRAIN_LISTEN_MOST_S, last_arrival)
        self.loop.call_at(min(now + DRAIN_LISTEN_S, listen_until), self._stop_listening, listen_until)
        self.read_until = min(now + DRAIN_READ_S, self.last_answer_at)

    def _may_send_first_request(self, usage: ConnectionHistory, now: float) -> bool:
        """Whether the first request of a connection may be in transit."""
        return not usage.request_count and self.places.may_have_request_in_transit(usage, now)

    def _close_idle(self) -> None:
        now = self.loop.time()
        for connection in list(self.connections):
            if connection.is_idle() and not self._may_send_first_request(connection.usage, now):
                connection.stop_reading()

    def _stop_listening(self, latest: float) -> None:
        """Stop new handshakes once clients have stopped connecting, or at `latest`."""
        now = self.loop.time()
        accepted = self._accept()
        if now < latest and (accepted or now - self.accepted_at < DRAIN_QUIET_S):
            self.loop.call_later(0.02, self._stop_listening, latest)
            return
        stop_arrivals(self.sock)
        self.loop.call_later(
            POLL_INTERVAL_S, self._drain_backlog, min(now + DRAIN_BACKLOG_S, self.last_answer_at)
        )

    def _drain_backlog(self, latest: float) -> None:
        """Close the socket once the backlog is empty, or at `latest`: connections left there are reset."""
        now = self.loop.time()
        accepted = self._accept()
        left = backlog_length(self.sock)
        if now < latest and (accepted or left):
            self.loop.call_later(POLL_INTERVAL_S, self._drain_backlog, latest)
            return
        if left:
            self.engine.log(f"the listening socket is closed on {left} that found no place")
        self._pause_accepting()
        self.sock.close()
        self._close_idle()
        self.loop.call_at(
            max(self.read_until, min(now + FIRST_REQUEST_GRACE_S, self.last_answer_at)), self._stop_reading
        )
        self._check_finished()

    def _stop_reading(self) -> None:
        for connection in list(self.connections):
            connection.stop_reading()

    def _check_finished(self) -> None:
        all_closed = not self.connections and not self.accept_tasks
        if self.draining and self.sock_closed() and all_closed and not self.finished.done():
            self.finished.set_result(None)
