"""The planned end against the moment of SIGKILL, which the settings' longest deadline gives."""

from __future__ import annotations

import asyncio
import signal
import time
from dataclasses import replace

import pytest

from garnethaven.engine.engine import MS
from garnethaven.net.listener import KILL_S
from rigs.stage import Stage
from standins.platform import NS, settings
from tests.loopback import ANSWER, Sidecar, read_message, request, run, running, says, silent, until


def set_deadlines(sidecar: Sidecar, deadline_ms: int) -> float:
    """All classes' deadline; seconds from the signal to the kill."""
    engine = sidecar.engine
    grades = tuple(
        replace(grade, deadline=deadline_ms * MS, aim=min(grade.aim, deadline_ms * MS))
        for grade in engine.settings.grades
    )
    engine.settings = engine.balancer.settings = replace(engine.settings, grades=grades)
    return deadline_ms / 1000 + KILL_S


@pytest.mark.parametrize("deadline_ms", [300, 450, 900])
def test_the_last_answer_and_the_end_come_before_the_kill(deadline_ms: int) -> None:
    """Endpoints hang; clients go on connecting for 0.4 s, one rests, one writes half."""

    async def case() -> None:
        async with running(silent) as (sidecar, _):
            killed_after = set_deadlines(sidecar, deadline_ms)
            loop = asyncio.get_running_loop()
            resting, _ = await sidecar.connect()
            half, writer = await sidecar.connect()
            writer.write(request()[:-1])
            await until(lambda: any(one.incoming for one in sidecar.listener.connections))
            sidecar.listener.drain()
            begun = loop.time()
            asked = []
            while loop.time() < begun + 0.4:
                asked.append(asyncio.create_task(sidecar.ask(request(X_Call_Id=f"c{len(asked)}"))))
                await asyncio.sleep(0.05)
            statuses = {status for status, _ in await asyncio.gather(*asked)}
            assert statuses <= {502, 503, 504}
            assert await resting.read() == await half.read() == b""
            await sidecar.listener.finished
            assert loop.time() - begun < killed_after

    run(case())


def test_a_request_that_comes_late_has_no_longer_than_the_process() -> None:
    async def case() -> None:
        async with running(silent) as (sidecar, (peer,)):
            killed_after = set_deadlines(sidecar, 900)
            loop = asyncio.get_running_loop()
            sidecar.listener.drain()
            begun = loop.time()
            await asyncio.sleep(0.5)
            reader, writer = await sidecar.connect()
            text = request(X_Budget_Ms="900")
            writer.write(text[:-1])
            await asyncio.sleep(0.45)
            writer.write(text[-1:])
            await until(lambda: len(peer.requests) == 1)
            head, _ = await read_message(reader)
            assert b" 50" in head and b"Connection: close" in head
            writer.close()
            await sidecar.listener.finished
            assert loop.time() - begun < killed_after

    run(case())


def test_a_request_on_a_connection_that_is_being_shut_is_not_sent_on() -> None:
    async def case() -> None:
        async with running(says(ANSWER)) as (sidecar, (peer,)):
            reader, writer = await sidecar.connect()
            writer.write(request())
            assert (await read_message(reader))[1] == b"hello"
            sidecar.listener.drain()
            assert await reader.read() == b""
            writer.write(request(X_Call_Id="late"))
            await asyncio.sleep(0.05)
            writer.close()
            await sidecar.listener.finished
            assert len(peer.requests) == 1

    run(case())


END_MARGIN_S = 0.08  # before the kill, for a process that is held up while it ends


@pytest.mark.parametrize("deadline_s", [0.3, 0.9])
def test_the_process_has_ended_well_before_the_kill(deadline_s: float) -> None:
    """Requests come whole late, servers hang, clients do not close; the interpreter's end takes time too."""

    async def case() -> None:
        facts = settings()
        for grade in facts["grades"]:
            grade |= {"deadlineNs": int(deadline_s * NS), "aimNs": int(deadline_s * NS / 3)}
        stage = Stage(9, servers=2, sockets=384)
        program = await stage.up(facts)
        try:
            for server in stage.servers:
                server.silent = True
            writers = []
            for number in range(6):
                headers = {"X_Call_Class": "check", "X_Budget_Ms": str(int(deadline_s * 1000))}
                text = request(X_Call_Id=f"c{number}", **headers)
                _, writer = await asyncio.open_connection("127.0.0.1", program.port)
                writer.write(text[:-1])
                writers.append((writer, text[-1:]))
            await asyncio.sleep(0.05)
            program.signal(signal.SIGTERM)
            begun = time.monotonic()
            await asyncio.sleep(deadline_s + 0.35)
            for writer, rest in writers:
                writer.write(rest)
            assert program.process is not None
            assert await asyncio.wait_for(program.process.wait(), 10.0) == 0
            left = deadline_s + KILL_S - (time.monotonic() - begun)
            assert left > END_MARGIN_S
        finally:
            await stage.down()

    run(case())
