"""Endpoints out by hand while the folder fails: each file system call that may fail does, for a while."""

from __future__ import annotations

import builtins
import errno
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
    assert failing.injected == 1 and one.bans.out == {"s-1"}
    # Another process's change in between must neither undo it nor be undone by it.
    assert other.change("s-2", True) == []
    found = one.news() + one.news()
    assert found == [("s-2", True)] and one.bans.out == {"s-1", "s-2"}
    assert other.news() == [("s-1", True)]
    assert Shared(str(tmp_path), "n0", print).news() == [("s-1", True), ("s-2", True)]
