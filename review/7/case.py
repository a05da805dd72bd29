"""An answer without a length is reset on the way, while the sidecar is held up for an eighth of a second."""

import asyncio
import os
import signal
import socket
import struct
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

import world  # noqa: E402

BODY_BYTES = 4_000
STOP_AT_S = 0.2  # after the first half of the answer
RESET_AT_S = 0.24
CONTINUE_AT_S = 0.325  # held up for 0.125 s; 0.15 s are allowed
HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
HOLD_UP = os.environ.get("HOLD_UP", "1") != "0"  # 0: the reset alone, to compare


async def case(record: world.Record) -> int:
    asked: list[str] = []  # the request whose first answer is reset
    made: dict[str, set[bytes]] = {}  # the whole bodies that endpoints made, by request
    program: world.Program

    async def work(endpoint: world.Endpoint, request: world.Request) -> bytes | None:
        body = f"{request.id} by {endpoint.name} ".encode().ljust(BODY_BYTES, b"x")
        made.setdefault(request.id, set()).add(body)
        if request.id not in asked or len(made[request.id]) > 1:
            return world.answer(200, body)
        assert request.writer is not None
        begun = time.monotonic()

        async def until(after_s: float) -> None:
            await asyncio.sleep(begun + after_s - time.monotonic())

        request.writer.write(HEAD + body[: BODY_BYTES // 2])
        record.note(f"run      {endpoint.name} answers {request.id} with no length, the first half")
        if not world.TROUBLE:
            await until(RESET_AT_S)
            request.writer.write(body[BODY_BYTES // 2 :])
            await request.writer.drain()
            request.writer.write_eof()
            record.note(f"run      {endpoint.name} writes the second half and ends the connection")
            await asyncio.sleep(0.5)
            return None
        await until(STOP_AT_S)
        if HOLD_UP:
            program.signal(signal.SIGSTOP)
        await until(RESET_AT_S)
        sock = request.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        request.writer.transport.abort()
        record.note(f"run      {endpoint.name} resets the connection, the second half is never written")
        await until(CONTINUE_AT_S)
        if HOLD_UP:
            program.signal(signal.SIGCONT)
        return None

    endpoints = [await world.Endpoint(f"s{i}", record, work).start() for i in range(4)]
    discovery = await world.Discovery(record).start()
    discovery.publish(*(endpoint.member() for endpoint in endpoints))
    program = world.Program(record, discovery.port, discovery.listed(), world.settings())
    try:
        await program.start()
        for _ in range(4):
            if (await world.ask(program.port, record))[0] != 200:
                return world.COULD_NOT_RUN
        asked.append(world.new_id())
        status, body = await world.ask(program.port, record, call_id=asked[0])
        record.note(f"client   status {status}, a body of {len(body)} bytes, framed as a whole one")
        if status == 200 and body not in made[asked[0]]:
            record.note(f"lost     {asked[0]} is served with a part of an answer, as if it were whole")
            return world.BROKEN
        return world.HELD
    finally:
        await program.end()
        discovery.close()
        for endpoint in endpoints:
            endpoint.close()


world.run(str(HERE), case)
