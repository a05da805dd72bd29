"""A long answer that its server writes with pauses is cut off, and the request fails."""

from __future__ import annotations

import asyncio
import contextlib
import random
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
CLIENTS = 6
REQUESTS = 6  # of each client; every third one is answered at length
PIECE, PIECES = 30_000, 6  # bytes, chunked; answers may have up to 32 MB
PAUSES_S = (0.4, 0.5)  # before each further piece: 2 to 2.5 s for the whole answer, within the client's time
BUDGET_S = 3.0
LATE_S = 0.5  # up to half a second after its time an answer only earns nothing; later it is lost


class Server(CheckServer):
    """Answers a request for a report at length: the first piece at once, the others with pauses."""

    pauses = False
    rng = random.Random(56)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # Cancelled at the end of the script only.
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            while (message := await read_message(reader)) is not None:
                answer = await self._answer(message)
                if message.body == b"report":
                    await self._give(message.headers["x-call-id"], reader, writer)
                else:
                    writer.write(answer)
                await writer.drain()
        writer.close()

    async def _give(self, call_id: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for number in range(PIECES):
            if number and self.pauses:
                await asyncio.sleep(self.rng.uniform(*PAUSES_S))
            if reader.at_eof() or writer.is_closing():
                self.record.add(
                    f"{self.name}: {call_id} is cut off, {number} of {PIECES} pieces were written"
                )
                raise ConnectionResetError
            piece = report(call_id)[number * PIECE : (number + 1) * PIECE]
            writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        self.record.add(f"{self.name}: {call_id} is written whole")


def report(call_id: str) -> bytes:
    """The answer to a request for a report, the same from every server of the rack."""
    line = f"report {call_id}\n".encode()
    return (line * (PIECE * PIECES // len(line) + 1))[: PIECE * PIECES]


class Client:
    """A client that keeps its connection and sends one request at a time."""

    def __init__(self, number: int, record: Record, program: Program, arrivals: Arrivals) -> None:
        self.name = f"client{number}"
        self.rng = random.Random(number)
        self.record = record
        self.program = program
        self.arrivals = arrivals
        self.broken: list[str] = []

    async def run(self) -> None:
        connection = None
        for number in range(REQUESTS):
            call_id, long = f"{self.name}-{number}", number % 3 == 2
            if connection is None:
                connection = await asyncio.open_connection("127.0.0.1", self.program.port)
            reader, writer = connection
            body = b"report" if long else b"applicant"
            writer.write(post(call_id, f"key-{call_id}", int(BUDGET_S * 1000), body))
            self.record.add(f"{self.name}: {call_id} is written{', wants a report' * long}")
            if not await self._judge(call_id, long, reader, time.monotonic()):
                writer.close()
                connection = None
            await asyncio.sleep(self.rng.uniform(0.05, 0.2))

    async def _judge(self, call_id: str, long: bool, reader: asyncio.StreamReader, sent_at: float) -> bool:
        """Judge the answer; returns whether the connection may be used again."""
        try:
            answer = await asyncio.wait_for(read_message(reader), BUDGET_S + LATE_S)
        except TimeoutError:
            self._lost(f"{call_id} has no whole answer {BUDGET_S + LATE_S:g} s after its last byte")
            return False
        except (OSError, asyncio.IncompleteReadError) as problem:
            self._lost(f"{call_id}: the connection ended with no whole answer ({problem!r})")
            return False
        if answer is None:  # closed between two requests: the client may send it once more
            self.record.add(f"{self.name}: the connection was closed under {call_id}")
            return False
        seconds = time.monotonic() - sent_at
        size = len(answer.body)
        self.record.add(f"{self.name}: {call_id} is answered {answer.status}, {size} bytes, {seconds:.3f} s")
        made = {report(call_id)} if long else self.arrivals.answers.get(call_id, set())
        if answer.status == 200 and answer.body not in made:
            self._lost(f"{call_id} is served with what no server made for it")
        if long and answer.status != 200:
            self._lost(f"{call_id} is answered {answer.status}, its server was cut off while it still gave")
        return not answer.closes

    def _lost(self, text: str) -> None:
        self.broken.append(text)
        self.record.add(f"{self.name}: {text}")


async def case(record: Record, trouble: bool) -> list[str]:
    arrivals, racks = Arrivals(), [Rack(0), Rack(1)]
    discovery = Discovery(record)
    await discovery.start()
    servers = [Server(f"s{number}", racks[number % 2], record, arrivals) for number in range(SERVERS)]
    for server in servers:
        server.pauses = trouble
        await server.start()
    discovery.publish(*(server.member() for server in servers))
    program = Program(record, discovery.port, settings(), discovery.whole())
    clients = [Client(number, record, program, arrivals) for number in range(CLIENTS)]
    try:
        await program.start()
        await asyncio.gather(*(client.run() for client in clients))
    finally:
        await program.end()
        discovery.close()
        for server in servers:
            server.close()
    return [line for client in clients for line in client.broken]


if __name__ == "__main__":
    run_case(HERE / "record.txt", case)
