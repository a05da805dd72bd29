"""The listening socket, its connections, and the planned end."""

from __future__ import annotations

import asyncio
import errno
import math
import socket
from collections.abc import Callable

from garnethaven.backlog import LOOK_S, lead_to_the_next, stop_arrivals, waiting
from garnethaven.config import Config
from garnethaven.engine.classes import Classes
from garnethaven.engine.engine import Engine, S
from garnethaven.interface import Woke
from garnethaven.limits.places import CALM_WAIT_S, FIRST_S, Places, Usage
from garnethaven.net.client import DEFERRED_READ_S, ClientConnection
from garnethaven.net.flow import RECEIVE_BUFFER
from garnethaven.net.owner import OwnedConnection
from garnethaven.net.transport import HttpTransport

CHECK_INTERVAL_S = 0.2
LOOP_LAG_S = 0.03  # a sweep that comes later tells of a loop that lags: clients may have left meanwhile
STALLED_S = 0.4  # without a sweep: less than the grace in which a drain must be known
RESUMED_S = 1.0  # so long, and what comes then has piled up, as over a restart; less is a busy moment
SWEEP_INTERVAL_S = 0.05  # between two looks at the places for clients
CLIENT_SHARE_DIVISOR = 3  # clients may hold this part of the descriptors for requests
MAX_ACCEPTS_PER_EVENT = 64
OVERFLOW = 16  # connections above the limit that are taken only to say so
MAX_LINGERING = 16  # the same for connections that linger: beyond it the oldest of them end at once
ACCEPT_RETRY_S = 0.1

# A planned end. New connections come for up to 0.4 s after the signal; requests on kept ones as long
# as these are open. The platform kills no sooner than the longest deadline of the settings, `MAX_PATIENCE_S`
# at the most, and `KILL_S` more: where deadlines are short, what lasts longer below ends sooner.
MAX_PATIENCE_S = 3.0
KILL_S = 0.7
LAST_ANSWER_S = 0.15  # before the kill: by then whatever was taken has its answer
LINGER_LAST_S = 0.05  # before the kill: by then the last connection is closed
DRAIN_IDLE_S = 0.45  # then idle connections are closed, while a resent request still finds the listener
DRAIN_LISTEN_S = 0.65
DRAIN_QUIET_S = 0.2  # the listener stays while connections come
DRAIN_LISTEN_MOST_S = 1.2
DRAIN_BACKLOG_S = 1.0  # for what has arrived but finds no place, once no more may arrive
DRAIN_READ_S = 1.4  # then a request that is still being written is given up


class Listener:
    """The listening socket, its connections, and how they end."""

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
        self.limit = limit  # the most connections just now
        self.client_share = config.sockets // CLIENT_SHARE_DIVISOR
        self.places = Places(limit(), self.client_share)
        self.set_limits()
        self.connections: set[OwnedConnection] = set()
        self.never_asked = 0  # of those
        self.leaving: set[OwnedConnection] = set()  # of those, closed and about to be gone
        self.lingering: dict[OwnedConnection, None] = {}  # of these, the oldest first
        self.arriving: set[asyncio.Task[object]] = set()
        self.accepted: set[socket.socket] = set()  # not a connection yet
        self.draining = False
        self.read_until = self.last_answer_at = math.inf  # of a planned end
        self.accepting = False
        self.accepted_at = 0.0
        self.lingers_until = math.inf
        self.finished: asyncio.Future[None] = loop.create_future()
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        # A restart must have the address at once, whatever the last life's connections wait for.
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # And a new version before the old one has gone: both listen for a while.
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        # What one read brings is bounded: connections made here take it over.
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        self.sock.setblocking(False)
        self.sock.bind(config.listen)
        self.sock.listen(1024)
        self._resume_accepting()
        self.checked_at = 0.0
        self.swept_at = loop.time()
        self.late_until = 0.0  # what came while the loop lagged is being read
        self.defers_until = 0.0  # where the process stood still: discovery's news goes before requests
        loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _resume_accepting(self) -> None:
        if not self.accepting and not self.sock_closed():
            self.accepting = True
            self.loop.add_reader(self.sock, self._accept)

    def _pause_accepting(self) -> None:
        if self.accepting:
            self.accepting = False
            self.loop.remove_reader(self.sock)

    def _accept(self) -> int:
        """Accept what waits; at the limit those that ask nothing make room, and then a few are taken to
        be told so. More are left to the kernel's backlog until others end."""
        for taken in range(MAX_ACCEPTS_PER_EVENT):
            count, limit = self.held(), self.limit()
            if count >= limit:
                count -= self._make_room(count - limit + 1)
            if count >= limit + OVERFLOW:
                self._pause_accepting()
                return taken
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                return taken
            except OSError as problem:
                if problem.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    self.transport.pool.close_oldest_idle()
                    self._pause_accepting()
                    self.loop.call_later(ACCEPT_RETRY_S, self._resume_accepting)
                    return taken
                continue  # the client went away while it waited
            self.accepted_at = self.loop.time()
            self._serve(sock, over_limit=count >= limit)
            if self.lingering:
                self._bound_lingering()
        return MAX_ACCEPTS_PER_EVENT

    def _serve(self, sock: socket.socket, over_limit: bool) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

        def connection() -> ClientConnection:
            return ClientConnection(self, sock, over_limit)

        task: asyncio.Task[object] = self.loop.create_task(
            self.loop.connect_accepted_socket(connection, sock)
        )

        def arrived(task: asyncio.Task[object]) -> None:
            self.arriving.discard(task)
            self.accepted.discard(sock)
            if not task.cancelled() and task.exception() is not None:
                self.engine.log(f"a connection could not be served: {task.exception()}")

        self.arriving.add(task)
        self.accepted.add(sock)
        task.add_done_callback(arrived)

    # What connections report (owner.py)

    def opened(self, connection: OwnedConnection) -> None:
        self.connections.add(connection)
        self.never_asked += 1
        self.accepted.discard(connection.sock)

    def request_received(self, usage: Usage, now: float) -> None:
        if not usage.asked:
            self.never_asked -= 1
        self.places.asks(usage, now)

    def closes(self, connection: OwnedConnection) -> None:
        self.leaving.add(connection)

    def forget(self, connection: OwnedConnection) -> None:
        if not connection.usage.asked:
            self.never_asked -= 1
        self.places.gone(connection.usage, self.loop.time())
        self.connections.discard(connection)
        self.leaving.discard(connection)
        self.lingering.pop(connection, None)
        self._resume_accepting()
        self._check_finished()

    def lingers(self, connection: OwnedConnection) -> None:
        """A connection has ended on this side: it takes no place, but its descriptor for a while."""
        self.leaving.add(connection)
        self.lingering[connection] = None
        self._bound_lingering()

    def _bound_lingering(self) -> None:
        descriptors = len(self.connections) + len(self.accepted)
        for connection in list(self.lingering)[: max(0, descriptors - self.limit() - MAX_LINGERING)]:
            del self.lingering[connection]
            connection.abort()

    def sock_closed(self) -> bool:
        return self.sock.fileno() < 0

    def _make_room(self, wanted: int) -> int:
        """Close the connections that are least likely to be missed; tells how many.

        First those that ask nothing, the oldest of them: clients that connect by hundreds and say nothing
        must not cost others their places. Then an idle one, rather one that has never asked, then the one
        that has been idle for longest. A request that waits in the kernel is no idleness.
        """
        now = self.loop.time()
        silent = [one for one in self.connections if one.takes_room(now)]
        silent.sort(key=lambda one: one.waits_since)
        for connection in silent[:wanted]:
            connection.make_room()
        if silent:
            return min(wanted, len(silent))

        def worth(one: OwnedConnection) -> tuple[bool, float]:
            return one.usage.asked > 0, -self.places.expected_wait(one.usage, now)

        for connection in sorted(self.connections, key=worth):
            if connection.is_idle():
                connection.make_room()
                return 1
        return 0

    def _sweep(self) -> None:
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        now = self.loop.time()
        since_sweep_s, self.swept_at = now - self.swept_at, now
        if since_sweep_s > SWEEP_INTERVAL_S + LOOP_LAG_S:
            self.late_until = now + SWEEP_INTERVAL_S
        if since_sweep_s > STALLED_S:
            self.defers_until = now + DEFERRED_READ_S
        if since_sweep_s > RESUMED_S:
            self.engine.post(Woke())
        if now >= self.checked_at + CHECK_INTERVAL_S:
            self.checked_at = now
            for connection in list(self.connections):
                connection.look_after(now)
        if self.places.pressure(self.held()):
            self._close_surplus(now)
        self._resume_accepting()  # where it waits for places: silent ones can be closed by now

    def defers_reading(self, now: float) -> bool:
        """Whether what clients sent has to wait a moment, for the process stood still.

        What has ended meanwhile was told long ago, and its bytes lie unread beside theirs.
        """
        return now - self.swept_at > STALLED_S or now < self.defers_until

    def is_late(self) -> bool:
        """Whether what is read now may have come some time ago, and its client may have left since."""
        now = self.loop.time()
        return now < self.late_until or now - self.swept_at > SWEEP_INTERVAL_S + LOOP_LAG_S

    def set_limits(self, client_places: int = 0, calm_idle_s: float = CALM_WAIT_S) -> None:
        """Take over an operator's settings, also while connections are open; 0 places: not told."""
        self.calm_idle_s = calm_idle_s
        self.places.resize(self.limit(), client_places or self.client_share, calm_idle_s)

    def held(self) -> int:
        """The connections that take a place here or on the clients' side."""
        return len(self.connections) + len(self.accepted) - len(self.leaving)

    def ends_with_answer(self, connection: OwnedConnection) -> bool:
        held = self.held() - self.never_asked
        return self.places.ends_with_answer(connection.usage, held, connection.usage.since)

    def _close_surplus(self, now: float) -> None:
        """Close what is least worth its place, before there is none left."""
        waiting = [one for one in self.connections if one.waits_for_request()]
        for connection in self.places.to_close(waiting, self.held(), now):
            if connection.is_idle():
                connection.stop_reading()

    # The planned end

    def drain(self) -> None:
        """Go on while clients come, answer what was taken, then finish."""
        if self.draining:
            return
        self.draining = True
        now = self.loop.time()
        lead_to_the_next(self.sock)
        self.accepted_at = max(self.accepted_at, now)
        patience_s = max(grade.deadline for grade in self.engine.settings.grades) / S
        killed_at = now + min(patience_s, MAX_PATIENCE_S) + KILL_S
        self.lingers_until = killed_at - LINGER_LAST_S
        self.last_answer_at = killed_at - LAST_ANSWER_S
        self.engine.end_by(self.last_answer_at - now)
        last_arrival = max(now + DRAIN_IDLE_S, self.last_answer_at - FIRST_S)
        self.loop.call_at(now + DRAIN_IDLE_S, self._close_idle)
        most = min(now + DRAIN_LISTEN_MOST_S, last_arrival)
        self.loop.call_at(min(now + DRAIN_LISTEN_S, most), self._stop_listening, most)
        self.read_until = min(now + DRAIN_READ_S, self.last_answer_at)

    def _may_ask_first(self, usage: Usage, now: float) -> bool:
        """Whether the first request of a connection may be on its way."""
        return not usage.asked and self.places.may_be_asking(usage, now)

    def _close_idle(self) -> None:
        now = self.loop.time()
        for connection in list(self.connections):
            if connection.is_idle() and not self._may_ask_first(connection.usage, now):
                connection.stop_reading()

    def _stop_listening(self, latest: float) -> None:
        """Let nothing more arrive once clients have stopped coming, or at the latest moment."""
        now = self.loop.time()
        came = self._accept()
        if now < latest and (came or now - self.accepted_at < DRAIN_QUIET_S):
            self.loop.call_later(0.02, self._stop_listening, latest)
            return
        stop_arrivals(self.sock)
        self.loop.call_later(LOOK_S, self._drain_backlog, min(now + DRAIN_BACKLOG_S, self.last_answer_at))

    def _drain_backlog(self, latest: float) -> None:
        """Close the listener once all that has arrived is taken: what is left in the kernel is reset."""
        now = self.loop.time()
        came = self._accept()
        left = waiting(self.sock)
        if now < latest and (came or left):
            self.loop.call_later(LOOK_S, self._drain_backlog, latest)
            return
        if left:
            self.engine.log(f"the listening socket is closed on {left} that found no place")
        self._pause_accepting()
        self.sock.close()
        self._close_idle()
        self.loop.call_at(max(self.read_until, min(now + FIRST_S, self.last_answer_at)), self._stop_reading)
        self._check_finished()

    def _stop_reading(self) -> None:
        for connection in list(self.connections):
            connection.stop_reading()

    def _check_finished(self) -> None:
        gone = not self.connections and not self.arriving
        if self.draining and self.sock_closed() and gone and not self.finished.done():
            self.finished.set_result(None)
