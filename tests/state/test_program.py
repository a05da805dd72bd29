"""The real program, killed and restarted with its state folder, with intact, corrupt or missing files."""

from __future__ import annotations

import asyncio
import os
import time
from pathlib import Path

import pytest

from rigs.stage import Stage
from standins.clients import ApplicationSettings
from standins.platform import Program, settings
from standins.wire import read_message, request

STATE_TABLE = "[state]\nkeep = true\nevery_s = 0.2\n"


def make_stage(folder: Path, seed: int, operator_file: str = STATE_TABLE) -> tuple[Stage, dict[str, str]]:
    path = folder / "operator.toml"
    path.write_text(operator_file)
    return Stage(seed, 6, 256), {"NODE_OPERATOR": str(path)}


async def wait_for_snapshot(program: Program) -> Path:
    """Wait for a snapshot that holds statistics of servers."""
    path = program.state / "petrelspan-n0.state"
    for _ in range(200):
        if path.exists() and b'"servers":[[' in path.read_bytes():
            return path
        await asyncio.sleep(0.05)
    raise AssertionError("no snapshot with statistics was written")


async def restart_with(stage: Stage, spoil: str, folder: Path) -> str:
    """Serve, kill, corrupt the snapshot, serve again; returns the log of the second process."""
    program = stage.program
    assert program is not None
    application = stage.application("a", ApplicationSettings(rate=60.0))
    await application.run(0.6)
    path = await wait_for_snapshot(program)
    stage.mark_open_requests_lost()
    await application.settle()
    await program.kill()
    data = path.read_bytes()
    if spoil == "cut":
        path.write_bytes(data[: len(data) // 3])
    elif spoil == "long":
        with path.open("r+b") as file:
            file.truncate(100 * 1024 * 1024)
    elif spoil == "bits":
        path.write_bytes(bytes([data[0]]) + bytes([data[1] ^ 1]) + data[2:])
    elif spoil == "another's":
        path.write_bytes(data.replace(b'"name":"n0"', b'"name":"n7"'))
    elif spoil == "no folder":
        path.unlink()
        for remaining in program.state.iterdir():
            remaining.unlink()
        program.state.rmdir()
    program.log.write_text("")
    await program.start()
    application = stage.application("b", ApplicationSettings(rate=60.0))
    await application.run(0.6)
    await application.settle()
    return program.log.read_text()


@pytest.mark.parametrize(
    ("spoil", "said"),
    [
        ("", "figures of 6 servers"),
        ("cut", "is broken"),
        ("long", "is longer than"),
        ("bits", "another form"),
        ("another's", "checksum"),
        ("no folder", "keyed requests are not remembered"),
    ],
)
def test_whatever_became_of_its_state_it_serves_and_says_one_line(
    tmp_path: Path, spoil: str, said: str
) -> None:
    async def play() -> str:
        stage, environment = make_stage(tmp_path, 3)
        await stage.up(environment=environment)
        log = await restart_with(stage, spoil, tmp_path)
        requests = [sent for sent in stage.ledger.sent.values() if sent.id.startswith("b-")]
        assert len(requests) > 15 and all(sent.final == "served" for sent in requests)
        assert await stage.down() == 0
        return log

    log = asyncio.run(play())
    lines = [line for line in log.splitlines() if "state:" in line]
    assert any(said in line for line in lines), log
    assert len(lines) <= 2 and "Traceback" not in log, log


async def ask(program: Program, call_id: str, key: str, again: bool) -> int:
    """Send a keyed request; returns its status, or 0 if the connection ends without an answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", program.port)
    headers = {"Host": "b", "X-Call-Id": call_id, "X-Call-Class": "check", "X-Caller": "t0"}
    headers |= {"X-Budget-Ms": "3000", "Idempotency-Key": key} | ({"X-Again": "1"} if again else {})
    writer.write(request("POST", f"/api?user={key}", headers, b"{}"))
    try:
        answer = await asyncio.wait_for(read_message(reader), 4.0)
        return answer.status if answer is not None else 0
    except (ConnectionError, asyncio.IncompleteReadError):
        return 0
    finally:
        writer.close()


@pytest.mark.parametrize("again", [True, False])
def test_a_keyed_request_under_way_at_the_kill_stays_in_its_rack(tmp_path: Path, again: bool) -> None:
    async def play() -> None:
        # With this seed, the two processes pick servers in different orders.
        stage, environment = make_stage(tmp_path, 8)
        for server in stage.servers:
            server.work_s = 0.4
        program = await stage.up(environment=environment)
        for number in range(8):
            stage.ledger.record_sent(f"first{number}", f"k{number}", time.monotonic(), 3.0, True)
        first = [asyncio.create_task(ask(program, f"first{n}", f"k{n}", False)) for n in range(8)]
        while sum(f"first{n}" in stage.ledger.executions for n in range(8)) < 8:
            await asyncio.sleep(0.01)
        await program.kill()
        assert await asyncio.gather(*first) == [0] * 8
        await program.start()
        for number in range(8):
            stage.ledger.record_sent(f"second{number}", f"k{number}", time.monotonic(), 3.0, False)
        second = [ask(program, f"second{n}", f"k{n}", again) for n in range(8)]
        assert await asyncio.gather(*second) == [200] * 8
        for number in range(8):
            racks = {
                run.cell
                for call_id in (f"first{number}", f"second{number}")
                for run in stage.ledger.executions[call_id]
            }
            assert len(racks) == 1, number
        await stage.down()

    asyncio.run(play())


async def block_writes(program: Program) -> None:
    """Block the program's next snapshot: its temporary file is a FIFO without a reader."""
    assert program.process is not None
    while True:
        try:
            os.mkfifo(program.state / f"petrelspan-n0-{program.process.pid}.new")
            return
        except FileExistsError:  # a snapshot is being written
            await asyncio.sleep(0.001)


def test_a_disk_that_stands_still_holds_up_no_request_and_no_planned_end(tmp_path: Path) -> None:
    async def play() -> None:
        stage, environment = make_stage(tmp_path, 13)
        program = await stage.up(environment=environment)
        application = stage.application("a", ApplicationSettings(rate=60.0))
        await application.run(0.6)
        path = await wait_for_snapshot(program)
        await block_writes(program)
        await application.run(1.0)
        await application.settle()
        assert len(stage.ledger.sent) > 60
        assert all(sent.final == "served" for sent in stage.ledger.sent.values())
        # No snapshot was written meanwhile.
        assert path.is_file() and time.time() - path.stat().st_mtime > 0.8
        started_at = time.monotonic()
        assert await stage.down() == 0
        assert time.monotonic() - started_at < 4.0

    asyncio.run(play())


def test_beyond_its_window_it_is_answered_without_running(tmp_path: Path) -> None:
    async def play() -> None:
        stage, environment = make_stage(tmp_path, 5)
        for server in stage.servers:
            server.work_s = 0.4
        facts = settings()
        facts["grades"][0]["dedupWindowNs"] = 50_000_000
        program = await stage.up(facts, environment)
        stage.ledger.record_sent("first", "k", time.monotonic(), 3.0, True)
        first = asyncio.create_task(ask(program, "first", "k", False))
        while "first" not in stage.ledger.executions:
            await asyncio.sleep(0.01)
        await program.kill()
        assert await first == 0
        await program.start()
        stage.ledger.record_sent("second", "k", time.monotonic(), 3.0, False)
        assert await ask(program, "second", "k", True) == 502
        assert "second" not in stage.ledger.executions
        await stage.down()

    asyncio.run(play())


def test_where_it_is_off_nothing_of_it_is_imported_or_written(tmp_path: Path) -> None:
    async def play() -> list[str]:
        stage, environment = make_stage(tmp_path, 6, "[limits]\nwatch_most_s = 5\n")
        program = await stage.up(environment=environment)
        memory_maps = Path(f"/proc/{program.process.pid}/maps").read_text() if program.process else ""
        assert ".keyed" not in memory_maps
        remaining = os.listdir(program.state)
        await stage.down()
        return remaining

    assert asyncio.run(play()) == []
