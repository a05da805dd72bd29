"""A refused request with a long body leaves its connection unread: the next request on it is lost."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

from lab import (  # noqa: E402
    Arrivals,
    CheckServer,
    Discovery,
    Program,
    Rack,
    Record,
    Unrunnable,
    post,
    read_message,
    run_case,
    settings,
)

SERVERS = 4
BACK_AT_ONCE = 40  # of 256 descriptors: clients hold a third of them at most
LONG = (70_000, 100_000)  # bytes; bodies may have up to 32 MB
BUDGET_S = 2.0
LATE_S = 0.5  # up to half a second after its time an answer only earns nothing; later it is lost
WARM_UP_S = 4.0


class Clients:
    """The clients: one request at a time on a connection, which they keep."""

    def __init__(self, record: Record, program: Program, arrivals: Arrivals) -> None:
        self.record = record
        self.program = program
        self.arrivals = arrivals
        self.rng = random.Random(56)
        self.broken: list[str] = []
        self.tally: dict[str, int] = {}

    async def ask(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, call_id: str, size: int
    ) -> bool:
        """Send one request and judge its answer; returns whether the connection may be used again."""
        writer.write(post(call_id, f"key-{call_id}", int(BUDGET_S * 1000), bytes(size)))
        await writer.drain()
        sent_at = time.monotonic()
        self.record.add(f"client: {call_id} is written whole, {size} bytes of body")
        try:
            answer = await asyncio.wait_for(read_message(reader), BUDGET_S + LATE_S)
        except TimeoutError:
            self._note("lost", f"{call_id} has no answer {BUDGET_S + LATE_S:g} s after its last byte")
            return False
        except (OSError, asyncio.IncompleteReadError) as problem:
            self._note("lost", f"{call_id}: the connection ended with no whole answer ({problem!r})")
            return False
        if answer is None:  # closed between two requests: not counted here
            self.record.add(f"client: {call_id}: the connection was closed with no answer")
            return False
        word = {200: "served", 503: "refused", 429: "refused"}.get(answer.status, "failed")
        self.tally[word] = self.tally.get(word, 0) + 1
        self.record.add(f"client: {call_id} is {word} after {time.monotonic() - sent_at:.3f} s")
        if word == "served" and answer.body not in self.arrivals.answers.get(call_id, ()):
            self._note("lost", f"{call_id} is served with what no server made for it")
        return not answer.closes

    def _note(self, word: str, text: str) -> None:
        self.tally[word] = self.tally.get(word, 0) + 1
        self.broken.append(text)
        self.record.add(f"client: {text}")

    async def dial(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self.program.port)

    async def warm_up(self, seconds: float) -> None:
        """Short requests on 20 connections, 150 a second."""

        async def one(number: int) -> None:
            reader, writer = await self.dial()
            until, turn = time.monotonic() + seconds, 0
            while time.monotonic() < until:
                turn += 1
                if not await self.ask(reader, writer, f"warm{number}-{turn}", 200):
                    reader, writer = await self.dial()
                await asyncio.sleep(0.08)
            writer.close()

        await asyncio.gather(*map(one, range(20)))

    async def long_then_short(self, name: str) -> None:
        """A long request, a pause, and a short one on the same connection."""
        reader, writer = await self.dial()
        if await self.ask(reader, writer, f"{name}-long", self.rng.randrange(*LONG)):
            await asyncio.sleep(self.rng.uniform(0.3, 1.0))
            if not reader.at_eof():
                await self.ask(reader, writer, f"{name}-next", 200)
        writer.close()


async def case(record: Record, trouble: bool) -> list[str]:
    arrivals, racks = Arrivals(), [Rack(0), Rack(1)]
    discovery = Discovery(record)
    await discovery.start()
    servers = [CheckServer(f"s{number}", racks[number % 2], record, arrivals) for number in range(SERVERS)]
    for server in servers:
        await server.start()
    discovery.publish(*(server.member() for server in servers))
    program = Program(record, discovery.port, settings(), discovery.whole())
    program.configuration["limits"]["sockets"] = 256
    clients = Clients(record, program, arrivals)
    try:
        await program.start()
        await clients.warm_up(WARM_UP_S)
        if clients.broken:
            raise Unrunnable("the rule was broken before the disruption")
        if trouble:
            assert program.process is not None
            program.send_signal(signal.SIGKILL)
            await program.process.wait()
            await program.start()
        await asyncio.gather(*(clients.long_then_short(f"back{number}") for number in range(BACK_AT_ONCE)))
        assert program.process is not None
        if program.process.returncode is not None:
            clients.broken.append(f"the sidecar has ended with {program.process.returncode}")
    finally:
        await program.end()
        discovery.close()
        for server in servers:
            server.close()
    record.add(f"answers: {clients.tally}")
    return clients.broken


if __name__ == "__main__":
    run_case(HERE / "record.txt", case)
