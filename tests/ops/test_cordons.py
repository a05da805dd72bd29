"""Cordons: the text that stores them across restarts, and the files that two processes share."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from garnethaven.ops.cordons import MAX_CORDONED, CordonError, Cordons
from garnethaven.ops.shared import SharedCordons


def test_a_call_may_come_twice_and_one_back_undoes_both() -> None:
    cordons = Cordons("n0")
    cordons.cordon("s-1")
    cordons.cordon("s-1")
    cordons.uncordon("s-1")
    cordons.uncordon("s-1")
    assert cordons.cordoned == set()


def test_what_another_process_wrote_is_told_as_changes() -> None:
    first, second = Cordons("n0"), Cordons("n0")
    first.cordon("s-1")
    first.cordon("s/ü 2")
    assert second.merge(first.serialize()) == [("s-1", True), ("s/ü 2", True)]
    first.uncordon("s-1")
    assert second.merge(first.serialize()) == [("s-1", False)]
    assert second.merge(first.serialize()) == []


@pytest.mark.parametrize(
    "text",
    [
        "",
        '{"version": 1, "name": "n0", "out": ["s-',
        '{"version": 2, "name": "n0", "out": []}',
        '{"version": 1, "name": "n1", "out": []}',
        '{"version": 1, "name": "n0", "out": [1]}',
        '{"version": 1, "name": "n0", "out": "s-1"}',
        '{"version": 1, "name": "n0"}',
        "[]",
        "[" * 100_000,
    ],
)
def test_what_this_sidecar_did_not_write_changes_nothing(text: str) -> None:
    cordons = Cordons("n0")
    cordons.cordon("s-1")
    with pytest.raises(CordonError):
        cordons.merge(text)
    assert cordons.cordoned == {"s-1"}


def test_there_is_an_end_to_them() -> None:
    cordons = Cordons("n0")
    for number in range(MAX_CORDONED):
        cordons.cordon(str(number))
    with pytest.raises(CordonError):
        cordons.cordon("one more")
    cordons.cordon("0")  # is cordoned already


def test_a_ban_reaches_the_other_process_and_a_later_one(tmp_path: Path) -> None:
    logged: list[str] = []
    old, new = (SharedCordons(str(tmp_path), "n0", logged.append) for _ in range(2))
    old.set_cordoned("s-1", True)
    assert new.poll_changes() == [("s-1", True)] and new.poll_changes() == []
    new.set_cordoned("s-1", False)
    new.set_cordoned("s-2", True)
    assert old.poll_changes() == [("s-2", True), ("s-1", False)]
    assert SharedCordons(str(tmp_path), "n0", logged.append).poll_changes() == [("s-2", True)]
    assert SharedCordons(str(tmp_path), "n1", logged.append).poll_changes() == []
    assert logged == []


def test_two_that_change_at_once_lose_neither(tmp_path: Path) -> None:
    first, second = (SharedCordons(str(tmp_path), "n0", print) for _ in range(2))
    first.set_cordoned("s-1", True)
    assert second.set_cordoned("s-2", True) == [("s-1", True)]
    assert second.cordons.cordoned == {"s-1", "s-2"}


def test_a_file_that_is_cut_is_left_alone(tmp_path: Path) -> None:
    logged: list[str] = []
    path = tmp_path / "petrelspan-n0.json"
    path.write_text('{"version": 1, "na')
    shared = SharedCordons(str(tmp_path), "n0", logged.append)
    assert shared.poll_changes() == [] and shared.poll_changes() == []
    assert len(logged) == 1 and path.read_text() == '{"version": 1, "na'


def test_without_a_folder_a_ban_holds_here(tmp_path: Path) -> None:
    shared = SharedCordons(None, "n0", print)
    shared.register()
    shared.set_cordoned("s-1", True)
    assert shared.cordons.cordoned == {"s-1"} and shared.count_other_processes() == 0
    unavailable = SharedCordons(str(tmp_path / "none"), "n0", print)
    with pytest.raises(OSError):
        unavailable.set_cordoned("s-1", True)


def test_a_process_is_seen_while_it_lives_and_not_after(tmp_path: Path) -> None:
    script = (
        "import sys\n"
        "from garnethaven.ops.shared import SharedCordons\n"
        f"shared = SharedCordons({str(tmp_path)!r}, 'n0', print)\nshared.register()\n"
        "print('in', flush=True)\nsys.stdin.read()"
    )
    root = Path(__file__).parents[2]
    process = subprocess.Popen(
        [sys.executable, "-c", script], cwd=root, stdin=subprocess.PIPE, stdout=subprocess.PIPE
    )
    assert process.stdout is not None and process.stdout.readline() == b"in\n"
    shared = SharedCordons(str(tmp_path), "n0", print)
    shared.register()
    assert shared.count_other_processes() == 1
    process.kill()  # it can't unregister
    process.wait()
    assert shared.count_other_processes() == 0
    assert os.listdir(tmp_path) == [f"petrelspan-n0-{os.getpid()}.life"]
    shared.unregister()
    assert os.listdir(tmp_path) == []
