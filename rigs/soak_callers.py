"""The soak's clients: three classes, kept connections, pieces, early leaves, and sending up to the kill."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from itertools import count

from rigs.soak_judge import Judge
from standins.errands import Errands
from standins.ledger import Final, Sent
from standins.wire import Message, WireError, read_message, request

MAX_CONNECTIONS = 40
LEAVES = 0.05  # share of clients that close before their answer
PIECES = 0.1  # share of requests that come in pieces
PATIENCE_S = 1.5  # after a request's time, until its client takes it for lost
MAX_SENDINGS = 3  # of a request whose connection was closed unread


class Line:
    """One connection of a client."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.used = False

    def ended(self) -> bool:
        return self.reader.at_eof() or self.reader.exception() is not None or self.writer.is_closing()


class Callers:
    """Open-loop arrivals on one program's port until `stop`."""

    def __init__(
        self, port: int, judge: Judge, deadlines_s: dict[str, float], rng: random.Random, rate: float
    ) -> None:
        self.port = port
        self.judge = judge
        self.deadlines_s = deadlines_s
        self.rng = random.Random(rng.getrandbits(32))
        self.rate = rate
        self.idle: list[Line] = []
        self.open = 0
        self.dial_until = float("inf")  # no new connections later
        self.alive = True
        self.under_way = 0
        self.errands = Errands()
        self.numbers = count()

    async def run(self) -> None:
        due = time.monotonic()
        while self.alive:
            due += self.rng.expovariate(self.rate)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            if self.alive:
                self.errands.begin(self._ask())

    def stop(self) -> None:
        self.alive = False

    def ended(self) -> None:
        """The program has ended: nothing kept leads anywhere."""
        for line in self.idle:
            self._close(line)
        self.idle.clear()

    async def settle(self) -> None:
        await self.errands.settle()

    # One request

    async def _ask(self) -> None:
        effect = self.rng.choice(sorted(self.deadlines_s))
        call_id = f"{effect}-{next(self.numbers):05d}"
        budget_s = self.deadlines_s[effect] * self.rng.uniform(0.6, 1.0)
        key = f"k-{call_id}" if effect == "keyed" else ""
        text = self._text(effect, call_id, key, budget_s)
        sent = self.judge.ledger.sends(call_id, key, time.monotonic(), int(budget_s * 1000) / 1000, True)
        self.under_way += 1
        try:
            for _ in range(MAX_SENDINGS):
                line = await self._line()
                if line is None:
                    sent.gone = True  # nobody took it
                    return
                if not await self._exchange(line, text, sent):
                    return
                self.judge.unread.add(call_id)
            sent.gone = True
        finally:
            self.under_way -= 1

    @staticmethod
    def _text(effect: str, call_id: str, key: str, budget_s: float) -> bytes:
        headers = {
            "Host": "backend.local",
            "X-Call-Id": call_id,
            "X-Call-Class": effect,
            "X-Caller": "t0",
            "X-Budget-Ms": str(int(budget_s * 1000)),
        }
        if key:
            headers["Idempotency-Key"] = key
        safe = effect == "safe"
        return request("GET" if safe else "POST", "/api?user=u1", headers, b"" if safe else b"{}")

    async def _line(self) -> Line | None:
        while self.idle:
            line = self.idle.pop()
            if not line.ended():
                return line
            self._close(line)
        if time.monotonic() > self.dial_until or self.open >= MAX_CONNECTIONS:
            return None
        with contextlib.suppress(OSError, TimeoutError):
            reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", self.port), 1.0)
            self.open += 1
            return Line(reader, writer)
        return None

    def _close(self, line: Line) -> None:
        self.open -= 1
        line.writer.transport.abort()

    async def _exchange(self, line: Line, text: bytes, sent: Sent) -> bool:
        """Whether the request is to be sent again: its kept connection was closed unread."""
        kept, line.used = line.used, True
        leaves = self.rng.random() < LEAVES
        try:
            await self._write(line, text, sent)
            patience_s = sent.budget_s + PATIENCE_S
            if leaves:
                patience_s = self.rng.uniform(0.0, sent.budget_s)
            answer = await asyncio.wait_for(read_message(line.reader), patience_s)
        except TimeoutError:
            self._close(line)
            if leaves:
                sent.gone = True
                self.judge.left_at[sent.id] = time.monotonic()
            return False
        except (OSError, WireError, asyncio.IncompleteReadError):
            answer = None
        if answer is None:
            self._close(line)
            return kept
        self._note(sent, answer)
        if answer.closes:
            self._close(line)
        else:
            self.idle.append(line)
        return False

    async def _write(self, line: Line, text: bytes, sent: Sent) -> None:
        if self.rng.random() < PIECES:
            cut = self.rng.randrange(1, len(text))
            line.writer.write(text[:cut])
            await asyncio.sleep(self.rng.uniform(0.0, 0.05))
            text = text[cut:]
        line.writer.write(text)
        sent.at = time.monotonic()
        sent.written = True

    def _note(self, sent: Sent, answer: Message) -> None:
        now = time.monotonic()
        final: Final = "failed"
        mark = ""
        if answer.status == 200:
            call_id, _, found = answer.body.decode("latin-1").partition(" ")
            final, mark = "served", found if call_id == sent.id else ""
        elif answer.status in (429, 503):
            final = "refused"
        self.judge.ledger.answered(sent.id, final, now, mark)
