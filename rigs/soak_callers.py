"""The clients of the soak: three request classes, kept connections, split writes and early closes.

They send until the program is killed.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from itertools import count

from rigs.soak_judge import Judge
from standins.background_tasks import BackgroundTasks
from standins.clients import ClientConnection, ConnectionAllowance
from standins.ledger import Final, Sent
from standins.wire import Message, WireError, read_message, request

MAX_CONNECTIONS = 40
ABANDON_SHARE = 0.05  # share of requests whose client closes before the answer
SPLIT_SHARE = 0.1  # share of requests that are written in two parts
ANSWER_TIMEOUT_MARGIN_S = 1.5  # how long after the deadline a client waits before it closes the connection
MAX_SENDS = 3  # of a request whose connections were closed without an answer and may have been unread


class LoadGenerator:
    """Sends open-loop traffic of `rate` requests per second to one program's port until `stop`."""

    def __init__(
        self, port: int, judge: Judge, deadlines_s: dict[str, float], rng: random.Random, rate: float
    ) -> None:
        self.port = port
        self.judge = judge
        self.deadlines_s = deadlines_s
        self.rng = random.Random(rng.getrandbits(32))
        self.rate = rate
        self.idle: list[ClientConnection] = []
        self.allowance = ConnectionAllowance(MAX_CONNECTIONS)
        self.connect_until = float("inf")  # monotonic time after which no connections are opened
        self.running = True
        self.background_tasks = BackgroundTasks()
        self.request_numbers = count()

    async def run(self) -> None:
        due = time.monotonic()
        while self.running:
            due += self.rng.expovariate(self.rate)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            if self.running:
                self.background_tasks.begin(self._send_request())

    def stop(self) -> None:
        self.running = False

    def program_exited(self) -> None:
        """Close the idle connections, whose peer process has exited."""
        for connection in self.idle:
            connection.close()
        self.idle.clear()

    async def settle(self) -> None:
        await self.background_tasks.settle()

    # One request

    async def _send_request(self) -> None:
        class_name = self.rng.choice(sorted(self.deadlines_s))
        call_id = f"{class_name}-{next(self.request_numbers):05d}"
        budget_s = self.deadlines_s[class_name] * self.rng.uniform(0.6, 1.0)
        key = f"k-{call_id}" if class_name == "keyed" else ""
        payload = self._encode(class_name, call_id, key, budget_s)
        sent = self.judge.ledger.record_sent(
            call_id, key, time.monotonic(), int(budget_s * 1000) / 1000, True
        )
        for _ in range(MAX_SENDS):
            connection, reused = await self._connection()
            if connection is None:
                break  # no connection could be opened
            ended_unanswered = await self._exchange(connection, payload, sent)
            may_be_unread = reused or connection.closed_before_request
            if not (may_be_unread and ended_unanswered):
                return
            self.judge.closed_unread.add(call_id)
        sent.abandoned = True

    @staticmethod
    def _encode(class_name: str, call_id: str, key: str, budget_s: float) -> bytes:
        headers = {
            "Host": "backend.local",
            "X-Call-Id": call_id,
            "X-Call-Class": class_name,
            "X-Caller": "t0",
            "X-Budget-Ms": str(int(budget_s * 1000)),
        }
        if key:
            headers["Idempotency-Key"] = key
        safe = class_name == "safe"
        return request("GET" if safe else "POST", "/api?user=u1", headers, b"" if safe else b"{}")

    async def _connection(self) -> tuple[ClientConnection | None, bool]:
        """Return the most recently used idle connection or else a new one, and whether it was kept."""
        while self.idle:
            connection = self.idle.pop()
            if not connection.ended():
                return connection, True
            connection.close()
        if time.monotonic() <= self.connect_until:
            with contextlib.suppress(OSError, TimeoutError):
                return await ClientConnection.dial(self.port, self.allowance), False
        return None, False

    async def _exchange(self, connection: ClientConnection, payload: bytes, sent: Sent) -> bool:
        """Send a request and read its answer; true where the peer closed the connection without an answer."""
        abandons = self.rng.random() < ABANDON_SHARE
        try:
            await self._write(connection, payload, sent)
            timeout_s = sent.budget_s + ANSWER_TIMEOUT_MARGIN_S
            if abandons:
                timeout_s = self.rng.uniform(0.0, sent.budget_s)
            answer = await asyncio.wait_for(read_message(connection.reader), timeout_s)
        except TimeoutError:
            connection.close()
            if abandons:
                sent.abandoned = True
                self.judge.client_closed_at[sent.id] = time.monotonic()
            return False
        except (OSError, WireError, asyncio.IncompleteReadError):
            answer = None
        if answer is None:
            connection.close()
            return True
        self._record(sent, answer)
        if answer.closes:
            connection.close()
        else:
            self.idle.append(connection)
        return False

    async def _write(self, connection: ClientConnection, payload: bytes, sent: Sent) -> None:
        if self.rng.random() < SPLIT_SHARE:
            split_at = self.rng.randrange(1, len(payload))
            connection.writer.write(payload[:split_at])
            await asyncio.sleep(self.rng.uniform(0.0, 0.05))
            payload = payload[split_at:]
        connection.write_last_part(payload)
        sent.at = time.monotonic()
        sent.written = True

    def _record(self, sent: Sent, answer: Message) -> None:
        now = time.monotonic()
        final: Final = "failed"
        mark = ""
        if answer.status == 200:
            call_id, _, body_mark = answer.body.decode("latin-1").partition(" ")
            final, mark = "served", body_mark if call_id == sent.id else ""
        elif answer.status in (429, 503):
            final = "refused"
        self.judge.ledger.record_answer(sent.id, final, now, mark)
