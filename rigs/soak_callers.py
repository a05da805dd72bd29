"""The soak's clients: three classes, kept connections, pieces, early leaves, and sending up to the kill."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from itertools import count

from rigs.soak_judge import Judge
from standins.clients import Allowance, Line
from standins.errands import Errands
from standins.ledger import Final, Sent
from standins.wire import Message, WireError, read_message, request

MAX_CONNECTIONS = 40
LEAVES = 0.05  # share of clients that close before their answer
PIECES = 0.1  # share of requests that come in pieces
PATIENCE_S = 1.5  # after a request's time, until its client takes it for lost
MAX_SENDINGS = 3  # of a request whose connection was closed unread


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
        self.allowance = Allowance(MAX_CONNECTIONS)
        self.dial_until = float("inf")  # no new connections later
        self.alive = True
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
            line.close()
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
        for _ in range(MAX_SENDINGS):
            line, kept = await self._line()
            if line is None:
                break  # nobody took it
            ended_unread = await self._exchange(line, text, sent)
            if not (kept and ended_unread):
                return
            self.judge.unread.add(call_id)
        sent.gone = True

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

    async def _line(self) -> tuple[Line | None, bool]:
        """A connection, the freshest idle one or else a new one, and whether it was kept."""
        while self.idle:
            line = self.idle.pop()
            if not line.ended():
                return line, True
            line.close()
        if time.monotonic() <= self.dial_until:
            with contextlib.suppress(OSError, TimeoutError):
                return await Line.dial(self.port, self.allowance), False
        return None, False

    async def _exchange(self, line: Line, text: bytes, sent: Sent) -> bool:
        """Whether the connection ended with nothing of an answer, before its client gave up."""
        leaves = self.rng.random() < LEAVES
        try:
            await self._write(line, text, sent)
            patience_s = sent.budget_s + PATIENCE_S
            if leaves:
                patience_s = self.rng.uniform(0.0, sent.budget_s)
            answer = await asyncio.wait_for(read_message(line.reader), patience_s)
        except TimeoutError:
            line.close()
            if leaves:
                sent.gone = True
                self.judge.left_at[sent.id] = time.monotonic()
            return False
        except (OSError, WireError, asyncio.IncompleteReadError):
            answer = None
        if answer is None:
            line.close()
            return True
        self._note(sent, answer)
        if answer.closes:
            line.close()
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
