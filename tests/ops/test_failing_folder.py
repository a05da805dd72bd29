"""Endpoints out by hand while the folder fails: each file system call that may fail does, for a while."""

from __future__ import annotations

import builtins
import errno
import fcntl
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from garnethaven.ops.shared import Shared


class FailingCalls:
    """Makes calls of the file system fail, and counts how often it did."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.monkeypatch = monkeypatch
        self.injected = 0

    def fail(self, owner: Any, name: str, code: int, times: int, on: Callable[..., bool]) -> None:
        """The next `times` calls of `owner.name` for which `on` holds raise OSError with this errno."""
        real = getattr(owner, name)
        left = times

        def called(*words: Any, **more: Any) -> Any:
            nonlocal left
            if left > 0 and on(*words, **more):
                left -= 1
                self.injected += 1
                raise OSError(code, os.strerror(code))
            return real(*words, **more)

        self.monkeypatch.setattr(owner, name, called)


@pytest.fixture
def failing(monkeypatch: pytest.MonkeyPatch) -> FailingCalls:
    return FailingCalls(monkeypatch)


def of_the_cordon_file(path: object, *_: object, **__: object) -> bool:
    return str(path).endswith("petrelspan-n0.json")


def a_new_file(path: object, flags: object = "r", *_: object, **__: object) -> bool:
    creates = flags & os.O_CREAT if isinstance(flags, int) else "w" in str(flags)
    return bool(creates) and "petrelspan-n0" in str(path)


def test_a_read_that_fails_is_repeated(tmp_path: Path, failing: FailingCalls) -> None:
    one, other = (Shared(str(tmp_path), "n0", print) for _ in range(2))
    one.change("s-1", True)
    failing.fail(builtins, "open", errno.EIO, 1, of_the_cordon_file)
    failing.fail(os, "open", errno.EIO, 1, of_the_cordon_file)
    found = other.news() + other.news() + other.news()
    assert failing.injected >= 1
    assert found == [("s-1", True)]


def test_a_start_on_a_full_disk_still_reads_who_is_out(tmp_path: Path, failing: FailingCalls) -> None:
    Shared(str(tmp_path), "n0", print).change("s-1", True)
    later = Shared(str(tmp_path), "n0", print)
    failing.fail(os, "open", errno.ENOSPC, 1, a_new_file)
    later.enter()
    assert failing.injected == 1
    assert later.news() == [("s-1", True)]
    other = Shared(str(tmp_path), "n0", print)
    later.others()
    assert len(list(tmp_path.glob("*.life"))) == 1, "the life file is tried again"
    later.leave()
    assert other.others() == 0


def test_a_change_that_could_not_be_written_is_written_later(tmp_path: Path, failing: FailingCalls) -> None:
    one, other = (Shared(str(tmp_path), "n0", print) for _ in range(2))
    failing.fail(os, "replace", errno.ENOSPC, 1, lambda *_, **__: True)
    with pytest.raises(OSError):
        one.change("s-1", True)
    assert failing.injected == 1 and one.cordons.cordoned == {"s-1"}
    # Another process's change in between must neither undo it nor be undone by it.
    assert other.change("s-2", True) == []
    found = one.news() + one.news()
    assert found == [("s-2", True)] and one.cordons.cordoned == {"s-1", "s-2"}
    assert other.news() == [("s-1", True)]
    assert Shared(str(tmp_path), "n0", print).news() == [("s-1", True), ("s-2", True)]


@pytest.mark.parametrize("call", ["open", "fsync", "replace"])
@pytest.mark.parametrize("times", [1, 3])
def test_whatever_call_of_a_write_fails_the_change_is_kept_in_the_end(
    tmp_path: Path, failing: FailingCalls, call: str, times: int
) -> None:
    said: list[str] = []
    one = Shared(str(tmp_path), "n0", said.append)
    failing.fail(os, call, errno.ENOSPC, times, lambda *_, **__: True)
    with pytest.raises(OSError):
        one.change("s-1", True)
    assert one.cordons.cordoned == {"s-1"}
    for _ in range(times):
        one.news()
    assert failing.injected == times
    assert Shared(str(tmp_path), "n0", print).news() == [("s-1", True)]
    assert len(said) <= 1, "one line for a problem that lasts"
    assert not list(tmp_path.glob("*.new"))


def test_what_another_changed_before_a_write_that_failed_is_still_told(
    tmp_path: Path, failing: FailingCalls
) -> None:
    one, other = (Shared(str(tmp_path), "n0", print) for _ in range(2))
    other.change("s-2", True)
    failing.fail(os, "replace", errno.EIO, 1, lambda *_, **__: True)
    with pytest.raises(OSError):
        one.change("s-1", True)
    assert one.news() == [("s-2", True)]


def test_a_change_undone_before_it_was_written_stays_undone(tmp_path: Path, failing: FailingCalls) -> None:
    one, other = (Shared(str(tmp_path), "n0", print) for _ in range(2))
    other.change("s-1", True)
    failing.fail(os, "replace", errno.EIO, 1, lambda *_, **__: True)
    with pytest.raises(OSError):
        one.change("s-1", False)
    assert one.news() == [] and one.cordons.cordoned == set()
    assert other.news() == [("s-1", False)]


def test_a_process_stopped_while_it_holds_the_lock_stops_no_other(tmp_path: Path) -> None:
    one = Shared(str(tmp_path), "n0", print)
    descriptor = os.open(tmp_path / "petrelspan-n0.lock", os.O_RDWR | os.O_CREAT)
    fcntl.flock(descriptor, fcntl.LOCK_EX)
    with pytest.raises(OSError):
        one.change("s-1", True)
    assert one.cordons.cordoned == {"s-1"}
    os.close(descriptor)
    one.news()
    assert Shared(str(tmp_path), "n0", print).news() == [("s-1", True)]


def test_a_process_that_cannot_be_looked_at_is_taken_for_alive(tmp_path: Path, failing: FailingCalls) -> None:
    path = tmp_path / "petrelspan-n0-1.life"
    path.touch()
    one = Shared(str(tmp_path), "n0", print)
    one.enter()
    failing.fail(os, "open", errno.EMFILE, 1, lambda *_, **__: True)
    assert one.others() == 1 and failing.injected == 1
    assert path.exists(), "the file of a process that may live is left alone"
    assert one.others() == 0 and not path.exists()


def _dies_at(folder: Path, call_number: int) -> bool:
    """Change an endpoint in a process that dies at its n-th file system call; whether it came so far."""
    child = os.fork()
    if child == 0:
        left = call_number
        for owner, name in (
            (os, "open"),
            (builtins, "open"),
            (fcntl, "flock"),
            (os, "fsync"),
            (os, "replace"),
        ):
            real = getattr(owner, name)

            def dying(*words: Any, real: Any = real, **more: Any) -> Any:
                nonlocal left
                if left == 0:
                    os._exit(7)
                left -= 1
                return real(*words, **more)

            setattr(owner, name, dying)
        Shared(str(folder), "n0", lambda line: None).change("s-2", True)
        os._exit(0)
    return os.waitstatus_to_exitcode(os.waitpid(child, 0)[1]) == 7


def test_a_kill_at_each_step_of_a_write_leaves_the_old_state_or_the_new(tmp_path: Path) -> None:
    Shared(str(tmp_path), "n0", print).change("s-1", True)
    old, new = [("s-1", True)], [("s-1", True), ("s-2", True)]
    found = []
    number = 0
    while _dies_at(tmp_path, number):
        said: list[str] = []
        found.append(Shared(str(tmp_path), "n0", said.append).news())
        assert found[-1] in (old, new) and not said, (number, found[-1], said)
        number += 1
    assert number >= 7 and found[0] == old
    assert Shared(str(tmp_path), "n0", print).news() == new
    assert not list(tmp_path.glob("*.new")), "the next whole write takes a leftover away"
