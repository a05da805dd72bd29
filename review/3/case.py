"""At a planned restart a request that its client writes slowly is closed with no answer, half read."""

from __future__ import annotations

import asyncio
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
    post,
    read_message,
    run_case,
    settings,
)

SERVERS = 4
BUDGET_S = 3.0
LATE_S = 0.5  # up to half a second after its time an answer only earns nothing; later it is lost
HEAD_S = 1.9  # a client may take 2 s for a head
PIECES = 38
# When the clients begin to write, before the SIGTERM. They are done 1.45 to 1.8 s after it; SIGKILL may come
# no sooner than 3.7 s after it.
LEADS_S = (0.45, 0.4, 0.35, 0.3, 0.25, 0.2, 0.15, 0.1)


class Client:
    """A client that keeps its connection: one quick request, then one whose head takes `HEAD_S`."""

    def __init__(self, record: Record, program: Program, arrivals: Arrivals, number: int) -> None:
        self.record = record
        self.program = program
        self.arrivals = arrivals
        self.name = f"client{number}"
        self.broken: list[str] = []

    async def connect(self) -> None:
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.program.port)
        self.writer.write(post(f"{self.name}-quick", f"key-{self.name}-quick", 3000, b"applicant"))
        await self._judge(f"{self.name}-quick", time.monotonic())

    async def write_slowly(self, begin_at: float) -> None:
        await asyncio.sleep(max(0.0, begin_at - time.monotonic()))
        call_id = f"{self.name}-slow"
        request = post(call_id, f"key-{call_id}", int(BUDGET_S * 1000), b"applicant")
        step = len(request) // PIECES
        pause_s = HEAD_S / ((len(request) - 1) // step)
        self.record.add(f"{self.name}: begins to write {call_id}, {len(request)} bytes")
        for start in range(0, len(request), step):
            try:
                self.writer.write(request[start : start + step])
                await self.writer.drain()
            except OSError as problem:  # ended before the last byte: not taken
                self.record.add(f"{self.name}: {call_id} can't be written whole: {problem!r}")
                return
            if start + step < len(request):
                await asyncio.sleep(pause_s)
        self.record.add(f"{self.name}: {call_id} is written whole")
        await self._judge(call_id, time.monotonic())
        self.writer.close()

    async def _judge(self, call_id: str, sent_at: float) -> None:
        try:
            answer = await asyncio.wait_for(read_message(self.reader), BUDGET_S + LATE_S)
        except TimeoutError:
            self._lost(f"{call_id} has no answer {BUDGET_S + LATE_S:g} s after its last byte")
            return
        except (OSError, asyncio.IncompleteReadError) as problem:
            self._lost(f"{call_id}: the connection ended with no whole answer ({problem!r})")
            return
        if answer is None:
            self._lost(f"{call_id}: its last byte was written, the connection was closed with no answer")
            return
        word = {200: "served", 503: "refused", 429: "refused"}.get(answer.status, "failed")
        self.record.add(f"{self.name}: {call_id} is {word} after {time.monotonic() - sent_at:.3f} s")
        if word == "served" and answer.body not in self.arrivals.answers.get(call_id, ()):
            self._lost(f"{call_id} is served with what no server made for it")

    def _lost(self, text: str) -> None:
        self.broken.append(text)
        self.record.add(f"{self.name}: {text}")


async def case(record: Record, trouble: bool) -> list[str]:
    arrivals, racks = Arrivals(), [Rack(0), Rack(1)]
    discovery = Discovery(record)
    await discovery.start()
    servers = [CheckServer(f"s{number}", racks[number % 2], record, arrivals) for number in range(SERVERS)]
    for server in servers:
        await server.start()
    discovery.publish(*(server.member() for server in servers))
    program = Program(record, discovery.port, settings(), discovery.whole())
    clients = [Client(record, program, arrivals, number) for number in range(len(LEADS_S))]
    try:
        await program.start()
        for client in clients:
            await client.connect()
        told_at = time.monotonic() + 1.0
        pairs = zip(clients, LEADS_S, strict=True)
        slow = [asyncio.create_task(client.write_slowly(told_at - lead)) for client, lead in pairs]
        await asyncio.sleep(told_at - time.monotonic())
        assert program.process is not None
        if trouble:
            program.send_signal(signal.SIGTERM)
            code = await asyncio.wait_for(program.process.wait(), 3.7)
            record.add(
                f"platform: the sidecar ended with {code}, {time.monotonic() - told_at:.2f} s after SIGTERM"
            )
        await asyncio.gather(*slow)
    finally:
        await program.end()
        discovery.close()
        for server in servers:
            server.close()
    return [line for client in clients for line in client.broken]


if __name__ == "__main__":
    run_case(str(HERE), case)
