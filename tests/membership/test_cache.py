"""The file that keeps a registry's last list, while its folder fails."""

from __future__ import annotations

import asyncio
import errno
import os
from pathlib import Path
from typing import Any

import pytest

from garnethaven.interface import Endpoint, State
from garnethaven.membership import cache as module
from garnethaven.membership.cache import Cache
from garnethaven.membership.model import Fact
from tests.loopback import run, wait_until

FACT = Fact(("127.0.0.1", 80), Endpoint(0, state=State.UP), 1, 0)


def test_a_list_that_could_not_be_written_is_written_later_without_another_change(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    real, left, said = os.replace, 3, list[str]()

    def full(*words: Any) -> None:
        nonlocal left
        if left > 0:
            left -= 1
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        real(*words)

    monkeypatch.setattr(os, "replace", full)
    monkeypatch.setattr(module, "EVERY_S", 0.02)

    async def case() -> None:
        path = str(tmp_path / "list")
        cache = Cache(path, asyncio.get_running_loop(), said.append, 0)
        cache.keep({"s-1": FACT})
        await wait_until(lambda: left == 0)
        await wait_until(lambda: os.path.exists(path))
        assert list(Cache(path, asyncio.get_running_loop(), said.append, 0).read()) == ["s-1"]
        assert len(said) == 1, said

    run(case(), 5.0)
