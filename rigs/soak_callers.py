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
from standins.clients import ClientConnection, ConnectionAllowance
from standins.errands import BackgroundTasks
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
        self.errands = BackgroundTasks()
        self.request_numbers = count()

    async def run(self) -> None:
        due = time.monotonic()
        while self.running:
            due += self.rng.expovariate(self.rate)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            if self.running:
                self.errands.begin(self._send_request())

    def stop(self) -> None:
        self.running = False

    def program_exited(self) -> None:
        """Close the idle connections, whose peer process has exited."""
        for line in self.idle:
            line.close()
        self.idle.clear()

    async def settle(self) -> None:
        await self.errands.settle()

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
            line, reused = await self._connection()
            if line is None:
                break  # no connection could be opened
            ended_unanswered = await self._exchange(line, payload, sent)
            may_be_unread = reused or line.closed_before_request
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
            line = self.idle.pop()
            if not line.ended():
                return line, True
            line.close()
        if time.monotonic() <= self.connect_until:
            with contextlib.suppress(OSError, TimeoutError):
                return await ClientConnection.dial(self.port, self.allowance), False
        return None, False

    async def _exchange(self, line: ClientConnection, payload: bytes, sent: Sent) -> bool:
        """Send a request and read its answer; true where the peer closed the connection without an answer."""
        abandons = self.rng.random() < ABANDON_SHARE
        try:
            await self._write(line, payload, sent)
            timeout_s = sent.budget_s + ANSWER_TIMEOUT_MARGIN_S
            if abandons:
                timeout_s = self.rng.uniform(0.0, sent.budget_s)
            answer = await asyncio.wait_for(read_message(line.reader), timeout_s)
        except TimeoutError:
            line.close()
            if abandons:
                sent.abandoned = True
                self.judge.client_closed_at[sent.id] = time.monotonic()
            return False
        except (OSError, WireError, asyncio.IncompleteReadError):
            answer = None
        if answer is None:
            line.close()
            return True
        self._record(sent, answer)
        if answer.closes:
            line.close()
        else:
            self.idle.append(line)
        return False

    async def _write(self, line: ClientConnection, payload: bytes, sent: Sent) -> None:
        if self.rng.random() < SPLIT_SHARE:
            split_at = self.rng.randrange(1, len(payload))
            line.writer.write(payload[:split_at])
            await asyncio.sleep(self.rng.uniform(0.0, 0.05))
            payload = payload[split_at:]
        line.write_last_part(payload)
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
