"""HTTP clients: an application that keeps its connections alive, and clients that only occupy connections.

All of them share one allowance, like the connections of the applications on one machine: once it is exhausted
no client can connect, and a request that cannot be sent for that reason counts as refused.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from dataclasses import dataclass
from itertools import count

from standins.background_tasks import BackgroundTasks
from standins.kernel import peer_has_closed
from standins.ledger import Final, Ledger, Sent
from standins.wire import Message, WireError, read_message, request

CONNECT_S = 1.0
MAX_CONNECTIONS_PER_REQUEST = 4  # the program may close idle connections before their use
MISSED_WINDOW_S = 1.0  # an idle connection counts as missed if another is needed this soon after its close


class ConnectionAllowance:
    """The maximum number of connections that all clients together may hold open."""

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self.open_connections = 0
        self.rejected = 0

    def acquire(self) -> bool:
        if self.open_connections >= self.max_connections:
            self.rejected += 1
            return False
        self.open_connections += 1
        return True

    def release(self) -> None:
        self.open_connections -= 1


class ClientConnection:
    """One client connection to the program; `ended` reports whether the program closed it."""

    def __init__(
        self, allowance: ConnectionAllowance, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.allowance = allowance
        self.reader = reader
        self.writer = writer
        self.open = True
        self.closed_before_request = False  # the program had closed it before the request was written

    @classmethod
    async def dial(cls, port: int, allowance: ConnectionAllowance) -> ClientConnection | None:
        """Open a connection; None if the allowance is exhausted. Raises OSError if the dial fails."""
        if not allowance.acquire():
            return None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), CONNECT_S)
        except BaseException:
            allowance.release()
            raise
        return cls(allowance, reader, writer)

    def write_last_part(self, data: bytes) -> None:
        """Write the end of a request, and record whether the program had closed the connection before."""
        self.closed_before_request = peer_has_closed(self.writer.get_extra_info("socket"))
        self.writer.write(data)

    def ended(self) -> bool:
        """Whether the connection has been closed by either side."""
        return self.reader.at_eof() or self.reader.exception() is not None or self.writer.is_closing()

    def close(self) -> None:
        if self.open:
            self.open = False
            self.allowance.release()
            self.writer.transport.abort()


@dataclass(slots=True)
class ApplicationSettings:
    """How an application sends.

    `retries` follow a refusal or failure at once; with `respects_retry_after` they wait for Retry-After.
    """

    rate: float = 100.0  # first tries per second, Poisson arrivals
    budget_s: float = 3.0
    retries: int = 2
    respects_retry_after: bool = False
    keys: int = 400
    max_idle_connections: int = 30
    tenant: str = "t0"
    marks_all_as_retries: bool = False  # every request is marked as a retry
    random_tenants: int = 0  # number of random tenant names to draw from instead of `tenant`; 0: none


class Application:
    """The usual client: open-loop arrivals over keep-alive connections, one request at a time on each."""

    ids = count()

    def __init__(
        self,
        name: str,
        port: int,
        ledger: Ledger,
        allowance: ConnectionAllowance,
        rng: random.Random,
        settings: ApplicationSettings,
        via: str = "",
    ) -> None:
        self.name = name
        self.port = port
        self.via = via  # name of the program, if there are several
        self.ledger = ledger
        self.allowance = allowance
        self.rng = rng
        self.settings = settings
        self.idle: list[ClientConnection] = []
        self.connections: set[ClientConnection] = set()
        self.background_tasks = BackgroundTasks()
        self.recent_closes: list[float] = []  # when the program closed idle connections
        self.idle_closed = 0
        self.missed_connections = 0

    async def run(self, seconds: float) -> None:
        """Send for this many seconds; return when the last first try has been started."""
        end = time.monotonic() + seconds
        due = time.monotonic()
        while due < end:
            due += self.rng.expovariate(self.settings.rate)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            self.background_tasks.begin(self._ask())

    async def settle(self) -> None:
        """Wait until every request has ended, then close all connections."""
        await self.background_tasks.settle()
        self.sweep()
        for connection in list(self.connections):
            connection.close()

    def sweep(self) -> None:
        """Drop idle connections that the program has closed, and count them."""
        for connection in [one for one in self.idle if one.ended()]:
            self.idle.remove(connection)
            self._discard(connection)
            self.idle_closed += 1
            self.recent_closes.append(time.monotonic())

    # One request and its retries

    async def _ask(self) -> None:
        key = f"k{int(self.rng.paretovariate(1.1)) % self.settings.keys}-{next(self.ids)}"
        for attempt in range(self.settings.retries + 1):
            final, retry_after_s = await self._try(key, first=attempt == 0)
            if final == "served":
                return
            if self.settings.respects_retry_after and retry_after_s:
                await asyncio.sleep(retry_after_s)

    async def _try(self, key: str, first: bool) -> tuple[Final, float]:
        call_id = f"{self.name}-{next(self.ids):06d}"
        tenant_names = self.settings.random_tenants
        headers = {
            "Host": "backend.local",
            "X-Call-Id": call_id,
            "X-Call-Class": "check",
            "X-Caller": f"x{self.rng.randrange(tenant_names)}" if tenant_names else self.settings.tenant,
            "X-Budget-Ms": str(int(self.settings.budget_s * 1000)),
            "Idempotency-Key": key,
        }
        first = first and not self.settings.marks_all_as_retries
        if not first:
            headers["X-Again"] = "1"
        data = request("POST", f"/api?user={key.split('-')[0]}", headers, b"{}")
        sent = self.ledger.record_sent(
            call_id, key, time.monotonic(), self.settings.budget_s, first, self.via
        )
        answer: Message | None = None
        # A reused connection may be closing just now: retry on a new one.
        for attempt in range(MAX_CONNECTIONS_PER_REQUEST):
            connection, reused = await self._get_connection(new=attempt > 0)
            if connection is None:
                self.ledger.counts["no_place"] += 1
                self.ledger.record_answer(call_id, "refused", time.monotonic())
                return "refused", 0.0
            answer, ended_unread = await self._exchange(connection, data, sent)
            may_be_unread = reused or connection.closed_before_request
            if answer is not None or sent.abandoned or not (may_be_unread and ended_unread):
                break
        return self._record_answer(sent, answer)

    def _record_answer(self, sent: Sent, answer: Message | None) -> tuple[Final, float]:
        now = time.monotonic()
        if answer is None:
            return "failed", 0.0  # the ledger gets no final answer: the request is lost or abandoned
        retry_after_s = float(answer.headers.get("retry-after", "0"))
        if answer.status == 200:
            call_id, _, mark = answer.body.decode("latin-1").partition(" ")
            self.ledger.record_answer(sent.id, "served", now, mark if call_id == sent.id else "")
            return "served", 0.0
        final: Final = "refused" if answer.status in (429, 503) else "failed"
        self.ledger.record_answer(sent.id, final, now)
        return final, retry_after_s

    async def _get_connection(self, new: bool) -> tuple[ClientConnection | None, bool]:
        """The most recently used idle connection or a new one, and whether it is reused."""
        self.sweep()
        if self.idle and not new:
            return self.idle.pop(), True
        now = time.monotonic()
        recent = [at for at in self.recent_closes if now - at < MISSED_WINDOW_S]
        if recent:
            self.missed_connections += 1
            recent.pop()
        self.recent_closes = recent
        for _ in range(100):  # the port refuses connections while the program restarts
            with contextlib.suppress(OSError, TimeoutError):
                connection = await ClientConnection.dial(self.port, self.allowance)
                if connection is not None:
                    self.connections.add(connection)
                return connection, False
            await asyncio.sleep(0.03)
        return None, False

    def _discard(self, connection: ClientConnection) -> None:
        self.connections.discard(connection)
        connection.close()

    async def _exchange(
        self, connection: ClientConnection, data: bytes, sent: Sent
    ) -> tuple[Message | None, bool]:
        """The answer, or None; and whether the connection ended without one, as an idle close would."""
        sent.at = time.monotonic()
        try:
            connection.write_last_part(data)
            sent.written = True
            answer = await asyncio.wait_for(read_message(connection.reader), sent.budget_s + 2.0)
        except TimeoutError:
            self._discard(connection)
            return None, False
        except (OSError, WireError, asyncio.IncompleteReadError):
            self._discard(connection)
            return None, True
        if answer is None or answer.closes:
            self._discard(connection)
            return answer, answer is None
        if len(self.idle) >= self.settings.max_idle_connections:
            self._discard(connection)
        else:
            self.idle.append(connection)
        return answer, False


class IdleClients:
    """Clients that occupy connections: they send one request or none, then stay until closed."""

    def __init__(
        self, name: str, port: int, ledger: Ledger, allowance: ConnectionAllowance, rng: random.Random
    ) -> None:
        self.name = name
        self.port = port
        self.ledger = ledger
        self.allowance = allowance
        self.rng = rng
        self.background_tasks = BackgroundTasks()
        self.started = 0

    async def send_once_and_hold(self, rate: float, seconds: float) -> None:
        """Start `rate` clients per second; each sends one request and holds its connection until closed."""
        end = time.monotonic() + seconds
        due = time.monotonic()
        while due < end:
            due += self.rng.expovariate(rate)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            self.background_tasks.begin(self._send_once_and_hold(end))

    async def hold_silent_connections(self, count: int, seconds: float) -> None:
        """Hold this many connections that send nothing, each replaced as soon as it is closed."""
        end = time.monotonic() + seconds
        await asyncio.gather(*(self._silent(end) for _ in range(count)))

    async def settle(self) -> None:
        await self.background_tasks.settle()

    async def _send_once_and_hold(self, end: float) -> None:
        self.started += 1
        client = Application(
            f"{self.name}{self.started}",
            self.port,
            self.ledger,
            self.allowance,
            self.rng,
            ApplicationSettings(retries=0),
        )
        await client._ask()
        for connection in list(client.connections):
            await self._hold_open(connection, end)
        for connection in list(client.connections):
            connection.close()

    async def _silent(self, end: float) -> None:
        while time.monotonic() < end:
            connection = None
            with contextlib.suppress(OSError, TimeoutError):
                connection = await ClientConnection.dial(self.port, self.allowance)
            if connection is None:
                await asyncio.sleep(0.05)
                continue
            self.started += 1
            await self._hold_open(connection, end)
            connection.close()

    async def _hold_open(self, connection: ClientConnection, end: float) -> None:
        """Hold a connection until the program closes it or the time is over."""
        with contextlib.suppress(TimeoutError, OSError):
            await asyncio.wait_for(connection.reader.read(1), max(0.0, end - time.monotonic()))
