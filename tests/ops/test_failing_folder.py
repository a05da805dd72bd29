"""Cordon changes while the folder fails: each file system call that may fail does so for a while."""

from __future__ import annotations

import builtins
import errno
import fcntl
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from garnethaven.ops.shared import SharedCordons


class FailingCalls:
    """Makes file system calls fail, and counts the injected failures."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.monkeypatch = monkeypatch
        self.injected = 0

    def fail(self, owner: Any, name: str, code: int, times: int, matches: Callable[..., bool]) -> None:
        """The next `times` calls of `owner.name` that satisfy `matches` raise OSError with errno `code`."""
        original = getattr(owner, name)
        remaining = times

        def failing_call(*args: Any, **kwargs: Any) -> Any:
            nonlocal remaining
            if remaining > 0 and matches(*args, **kwargs):
                remaining -= 1
                self.injected += 1
                raise OSError(code, os.strerror(code))
            return original(*args, **kwargs)

        self.monkeypatch.setattr(owner, name, failing_call)


@pytest.fixture
def failing(monkeypatch: pytest.MonkeyPatch) -> FailingCalls:
    return FailingCalls(monkeypatch)


def is_cordon_file(path: object, *_: object, **__: object) -> bool:
    return str(path).endswith("petrelspan-n0.json")


def creates_file(path: object, flags: object = "r", *_: object, **__: object) -> bool:
    creates = flags & os.O_CREAT if isinstance(flags, int) else "w" in str(flags)
    return bool(creates) and "petrelspan-n0" in str(path)


def test_a_read_that_fails_is_repeated(tmp_path: Path, failing: FailingCalls) -> None:
    first, second = (SharedCordons(str(tmp_path), "n0", print) for _ in range(2))
    first.set_cordoned("s-1", True)
    failing.fail(builtins, "open", errno.EIO, 1, is_cordon_file)
    failing.fail(os, "open", errno.EIO, 1, is_cordon_file)
    changes = second.poll_changes() + second.poll_changes() + second.poll_changes()
    assert failing.injected >= 1
    assert changes == [("s-1", True)]


def test_a_start_on_a_full_disk_still_reads_who_is_out(tmp_path: Path, failing: FailingCalls) -> None:
    SharedCordons(str(tmp_path), "n0", print).set_cordoned("s-1", True)
    restarted = SharedCordons(str(tmp_path), "n0", print)
    failing.fail(os, "open", errno.ENOSPC, 1, creates_file)
    restarted.register()
    assert failing.injected == 1
    assert restarted.poll_changes() == [("s-1", True)]
    second = SharedCordons(str(tmp_path), "n0", print)
    restarted.count_other_processes()
    assert len(list(tmp_path.glob("*.life"))) == 1, "the liveness file is created at the next poll"
    restarted.unregister()
    assert second.count_other_processes() == 0


def test_a_change_that_could_not_be_written_is_written_later(tmp_path: Path, failing: FailingCalls) -> None:
    first, second = (SharedCordons(str(tmp_path), "n0", print) for _ in range(2))
    failing.fail(os, "replace", errno.ENOSPC, 1, lambda *_, **__: True)
    with pytest.raises(OSError):
        first.set_cordoned("s-1", True)
    assert failing.injected == 1 and first.cordons.cordoned == {"s-1"}
    # A change by another process in between must neither undo this one nor be undone by it.
    assert second.set_cordoned("s-2", True) == []
    changes = first.poll_changes() + first.poll_changes()
    assert changes == [("s-2", True)] and first.cordons.cordoned == {"s-1", "s-2"}
    assert second.poll_changes() == [("s-1", True)]
    assert SharedCordons(str(tmp_path), "n0", print).poll_changes() == [("s-1", True), ("s-2", True)]


@pytest.mark.parametrize("call", ["open", "fsync", "replace"])
@pytest.mark.parametrize("times", [1, 3])
def test_whatever_call_of_a_write_fails_the_change_is_kept_in_the_end(
    tmp_path: Path, failing: FailingCalls, call: str, times: int
) -> None:
    logged: list[str] = []
    first = SharedCordons(str(tmp_path), "n0", logged.append)
    failing.fail(os, call, errno.ENOSPC, times, lambda *_, **__: True)
    with pytest.raises(OSError):
        first.set_cordoned("s-1", True)
    assert first.cordons.cordoned == {"s-1"}
    for _ in range(times):
        first.poll_changes()
    assert failing.injected == times
    assert SharedCordons(str(tmp_path), "n0", print).poll_changes() == [("s-1", True)]
    assert len(logged) <= 1, "a lasting problem is logged once"
    assert not list(tmp_path.glob("*.new"))


def test_what_another_changed_before_a_write_that_failed_is_still_told(
    tmp_path: Path, failing: FailingCalls
) -> None:
    first, second = (SharedCordons(str(tmp_path), "n0", print) for _ in range(2))
    second.set_cordoned("s-2", True)
    failing.fail(os, "replace", errno.EIO, 1, lambda *_, **__: True)
    with pytest.raises(OSError):
        first.set_cordoned("s-1", True)
    assert first.poll_changes() == [("s-2", True)]


def test_a_change_undone_before_it_was_written_stays_undone(tmp_path: Path, failing: FailingCalls) -> None:
    first, second = (SharedCordons(str(tmp_path), "n0", print) for _ in range(2))
    second.set_cordoned("s-1", True)
    failing.fail(os, "replace", errno.EIO, 1, lambda *_, **__: True)
    with pytest.raises(OSError):
        first.set_cordoned("s-1", False)
    assert first.poll_changes() == [] and first.cordons.cordoned == set()
    assert second.poll_changes() == [("s-1", False)]


def test_a_process_stopped_while_it_holds_the_lock_stops_no_other(tmp_path: Path) -> None:
    first = SharedCordons(str(tmp_path), "n0", print)
    descriptor = os.open(tmp_path / "petrelspan-n0.lock", os.O_RDWR | os.O_CREAT)
    fcntl.flock(descriptor, fcntl.LOCK_EX)
    with pytest.raises(OSError):
        first.set_cordoned("s-1", True)
    assert first.cordons.cordoned == {"s-1"}
    os.close(descriptor)
    first.poll_changes()
    assert SharedCordons(str(tmp_path), "n0", print).poll_changes() == [("s-1", True)]


def test_a_process_that_cannot_be_looked_at_is_taken_for_alive(tmp_path: Path, failing: FailingCalls) -> None:
    path = tmp_path / "petrelspan-n0-1.life"
    path.touch()
    first = SharedCordons(str(tmp_path), "n0", print)
    first.register()
    failing.fail(os, "open", errno.EMFILE, 1, lambda *_, **__: True)
    assert first.count_other_processes() == 1 and failing.injected == 1
    assert path.exists(), "the file of a process that may be alive is not removed"
    assert first.count_other_processes() == 0 and not path.exists()


def _exits_at_call(folder: Path, call_number: int) -> bool:
    """Cordon an endpoint in a child that exits at file system call `call_number`; whether it got that far."""
    child = os.fork()
    if child == 0:
        remaining = call_number
        for owner, name in (
            (os, "open"),
            (builtins, "open"),
            (fcntl, "flock"),
            (os, "fsync"),
            (os, "replace"),
        ):
            original = getattr(owner, name)

            def exiting_call(*args: Any, original: Any = original, **kwargs: Any) -> Any:
                nonlocal remaining
                if remaining == 0:
                    os._exit(7)
                remaining -= 1
                return original(*args, **kwargs)

            setattr(owner, name, exiting_call)
        SharedCordons(str(folder), "n0", lambda line: None).set_cordoned("s-2", True)
        os._exit(0)
    return os.waitstatus_to_exitcode(os.waitpid(child, 0)[1]) == 7


def test_a_kill_at_each_step_of_a_write_leaves_the_old_state_or_the_new(tmp_path: Path) -> None:
    SharedCordons(str(tmp_path), "n0", print).set_cordoned("s-1", True)
    old, new = [("s-1", True)], [("s-1", True), ("s-2", True)]
    changes = []
    call_number = 0
    while _exits_at_call(tmp_path, call_number):
        logged: list[str] = []
        changes.append(SharedCordons(str(tmp_path), "n0", logged.append).poll_changes())
        assert changes[-1] in (old, new) and not logged, (call_number, changes[-1], logged)
        call_number += 1
    assert call_number >= 7 and changes[0] == old
    assert SharedCordons(str(tmp_path), "n0", print).poll_changes() == new
    assert not list(tmp_path.glob("*.new")), "the next complete write removes a leftover temporary file"
