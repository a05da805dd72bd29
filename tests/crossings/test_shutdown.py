"""Graceful shutdown completes before SIGKILL, whose time follows from the settings' longest deadline."""

from __future__ import annotations

import asyncio
import signal
import time
from dataclasses import replace

import pytest

from garnethaven.engine.engine import MS
from garnethaven.net.listener import KILL_DELAY_S
from rigs.stage import Stage
from standins.platform import NS, settings
from tests.loopback import (
    ANSWER,
    Sidecar,
    answers_with,
    never_answers,
    read_message,
    request,
    run,
    running_sidecar,
    wait_until,
)


def set_deadlines(sidecar: Sidecar, deadline_ms: int) -> float:
    """Set the deadline of all classes; returns the seconds from SIGTERM to SIGKILL."""
    engine = sidecar.engine
    request_classes = tuple(
        replace(request_class, deadline=deadline_ms * MS, target=min(request_class.target, deadline_ms * MS))
        for request_class in engine.settings.request_classes
    )
    engine.settings = engine.balancer.settings = replace(engine.settings, request_classes=request_classes)
    return deadline_ms / 1000 + KILL_DELAY_S


@pytest.mark.parametrize("deadline_ms", [300, 450, 900])
def test_the_last_answer_and_the_end_come_before_the_kill(deadline_ms: int) -> None:
    """Endpoints hang, clients connect for another 0.4 s, one client is idle and one sends half a request."""

    async def case() -> None:
        async with running_sidecar(never_answers) as (sidecar, _):
            killed_after_s = set_deadlines(sidecar, deadline_ms)
            loop = asyncio.get_running_loop()
            idle_reader, _ = await sidecar.connect()
            partial_reader, writer = await sidecar.connect()
            writer.write(request()[:-1])
            await wait_until(lambda: any(connection.incoming for connection in sidecar.listener.connections))
            sidecar.listener.drain()
            started_at = loop.time()
            answer_tasks = []
            while loop.time() < started_at + 0.4:
                answer_tasks.append(
                    asyncio.create_task(sidecar.ask(request(X_Call_Id=f"c{len(answer_tasks)}")))
                )
                await asyncio.sleep(0.05)
            statuses = {status for status, _ in await asyncio.gather(*answer_tasks)}
            assert statuses <= {502, 503, 504}
            assert await idle_reader.read() == await partial_reader.read() == b""
            await sidecar.listener.finished
            assert loop.time() - started_at < killed_after_s

    run(case())


def test_a_request_that_comes_late_has_no_longer_than_the_process() -> None:
    async def case() -> None:
        async with running_sidecar(never_answers) as (sidecar, (peer,)):
            killed_after_s = set_deadlines(sidecar, 900)
            loop = asyncio.get_running_loop()
            sidecar.listener.drain()
            started_at = loop.time()
            await asyncio.sleep(0.5)
            reader, writer = await sidecar.connect()
            request_bytes = request(X_Budget_Ms="900")
            writer.write(request_bytes[:-1])
            await asyncio.sleep(0.45)
            writer.write(request_bytes[-1:])
            await wait_until(lambda: len(peer.requests) == 1)
            head, _ = await read_message(reader)
            assert b" 50" in head and b"Connection: close" in head
            writer.close()
            await sidecar.listener.finished
            assert loop.time() - started_at < killed_after_s

    run(case())


def test_a_request_on_a_connection_that_is_being_shut_is_not_sent_on() -> None:
    async def case() -> None:
        async with running_sidecar(answers_with(ANSWER)) as (sidecar, (peer,)):
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


END_MARGIN_S = 0.08  # before SIGKILL, for a process that is delayed while it ends


@pytest.mark.parametrize("deadline_s", [0.3, 0.9])
def test_the_process_has_ended_well_before_the_kill(deadline_s: float) -> None:
    """Requests complete late, servers hang, clients don't close; the interpreter's exit takes time too."""

    async def case() -> None:
        platform_settings = settings()
        for request_class in platform_settings["grades"]:
            request_class |= {"deadlineNs": int(deadline_s * NS), "aimNs": int(deadline_s * NS / 3)}
        stage = Stage(9, servers=2, sockets=384)
        program = await stage.up(platform_settings)
        try:
            for server in stage.servers:
                server.silent = True
            writers = []
            for number in range(6):
                headers = {"X_Call_Class": "check", "X_Budget_Ms": str(int(deadline_s * 1000))}
                request_bytes = request(X_Call_Id=f"c{number}", **headers)
                _, writer = await asyncio.open_connection("127.0.0.1", program.port)
                writer.write(request_bytes[:-1])
                writers.append((writer, request_bytes[-1:]))
            await asyncio.sleep(0.05)
            program.signal(signal.SIGTERM)
            started_at = time.monotonic()
            await asyncio.sleep(deadline_s + 0.35)
            for writer, last_byte in writers:
                writer.write(last_byte)
            assert program.process is not None
            assert await asyncio.wait_for(program.process.wait(), 10.0) == 0
            remaining_s = deadline_s + KILL_DELAY_S - (time.monotonic() - started_at)
            assert remaining_s > END_MARGIN_S
        finally:
            await stage.down()

    run(case())
