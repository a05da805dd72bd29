"""An unreadable configuration at SIGHUP: the old one stays in force, it is logged and no request is lost."""

from __future__ import annotations

import asyncio
import json
import os
import signal
from pathlib import Path

import pytest

from rigs.stage import Stage
from standins.clients import ApplicationSettings
from tests.loopback import run

BAD_FILES = {
    "cut": b'{"name": "n0", "listen": "127.0.0.',
    "empty": b"",
    "no text": b"\xff\xfe\x00{",
    "no object": b"[]",
    "nested": b"[" * 200_000,
    "a name missing": b'{"listen": "127.0.0.1:1"}',
    "settings that are none": b'{"name": "n0", "limits": {}, "settings": {"grades": [1]}}',
    "a class without a time": b'{"name": "n0", "limits": {}, "settings": {"grades": [{"name": "x"}]}}',
}


@pytest.mark.parametrize("kind", [*BAD_FILES, "folder", "gone"])
def test_a_configuration_that_cannot_be_read_at_a_reload_changes_nothing(kind: str) -> None:
    async def case() -> None:
        stage = Stage(3, servers=3, sockets=384, work_s=0.01)
        program = await stage.up()
        try:
            client = stage.application("http", ApplicationSettings(rate=60.0))
            sending = asyncio.create_task(client.run(1.5))
            await asyncio.sleep(0.5)
            spoil(program.path, kind)
            for _ in range(3):
                program.signal(signal.SIGHUP)
                await asyncio.sleep(0.1)
            await sending
            await client.settle()
            assert program.process is not None and program.process.returncode is None
            tally = stage.ledger.tally()
            assert tally["served"] == tally["sent"] > 30, tally
            lines = [line for line in program.log.read_text().splitlines() if "old configuration" in line]
            assert lines and all(len(line) < 1000 for line in lines), program.log.read_text()
            assert "Traceback" not in program.log.read_text()
            assert str(program.path) in lines[0] or "'" in lines[0], lines
        finally:
            assert await stage.down() == 0

    run(case())


def spoil(path: Path, kind: str) -> None:
    """Replace the configuration as a faulty deployment tool may."""
    if kind in BAD_FILES:
        path.write_bytes(BAD_FILES[kind])
        return
    path.unlink()
    if kind == "folder":
        path.mkdir()


def test_one_that_was_half_written_is_taken_once_it_is_whole() -> None:
    async def case() -> None:
        stage = Stage(4, servers=2, sockets=384, work_s=0.01)
        program = await stage.up()
        try:
            text = json.dumps(program.configuration)
            for size in (1, len(text) // 2, len(text) - 1):
                program.path.write_text(text[:size])
                program.signal(signal.SIGHUP)
                await asyncio.sleep(0.05)
            program.path.write_text(text)
            await asyncio.sleep(1.1)  # at most one log line per second
            program.signal(signal.SIGHUP)
            await asyncio.sleep(0.3)
            assert "configuration read anew" in program.log.read_text()
        finally:
            assert await stage.down() == 0

    run(case())


def test_a_temporary_folder_that_is_none_costs_nothing(tmp_path: Path) -> None:
    """TMPDIR missing, a file, or read-only: only the state kept there is lost at a restart."""
    a_file = tmp_path / "file"
    a_file.touch()
    read_only = tmp_path / "locked"
    read_only.mkdir()
    os.chmod(read_only, 0o500)

    async def case(folder: Path) -> None:
        stage = Stage(5, servers=2, sockets=384, work_s=0.01)
        program = await stage.up(environment={"TMPDIR": str(folder)})
        try:
            client = stage.application("http", ApplicationSettings(rate=60.0))
            await client.run(0.5)
            await client.settle()
            tally = stage.ledger.tally()
            assert tally["served"] == tally["sent"] > 10, tally
            assert "Traceback" not in program.log.read_text()
        finally:
            assert await stage.down() == 0

    for folder in (tmp_path / "none", a_file, read_only):
        run(case(folder))
