"""The cache file of a registry's list, when writes to its folder fail."""

from __future__ import annotations

import asyncio
import errno
import os
from pathlib import Path
from typing import Any

import pytest

from garnethaven.interface import Endpoint, State
from garnethaven.membership import cache as cache_module
from garnethaven.membership.cache import Cache
from garnethaven.membership.model import Fact
from tests.loopback import run, wait_until

FACT = Fact(("127.0.0.1", 80), Endpoint(0, state=State.UP), 1, 0)


def test_a_list_that_could_not_be_written_is_written_later_without_another_change(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    os_replace, failures_left, logged = os.replace, 3, list[str]()

    def fail_when_full(*args: Any) -> None:
        nonlocal failures_left
        if failures_left > 0:
            failures_left -= 1
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        os_replace(*args)

    monkeypatch.setattr(os, "replace", fail_when_full)
    monkeypatch.setattr(cache_module, "WRITE_INTERVAL_S", 0.02)

    async def case() -> None:
        path = str(tmp_path / "list")
        cache = Cache(path, asyncio.get_running_loop(), logged.append, 0)
        cache.keep({"s-1": FACT})
        await wait_until(lambda: failures_left == 0)
        await wait_until(lambda: os.path.exists(path))
        assert list(Cache(path, asyncio.get_running_loop(), logged.append, 0).read()) == ["s-1"]
        assert len(logged) == 1, logged

    run(case(), 5.0)
