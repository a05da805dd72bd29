"""Puts the planned pool in place of the usual one in sidecars on loopback."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from garnethaven.connections.planner import Rules, ServerState
from garnethaven.connections.pool import PlannedPool
from garnethaven.limits.budgets import BufferMemory
from garnethaven.net.transport import HttpTransport
from tests import loopback


def use_planned_pool(monkeypatch: pytest.MonkeyPatch) -> None:
    """Give the planned pool to each sidecar that the test starts."""

    def make_pool(
        loop: asyncio.AbstractEventLoop, limit: Callable[[], int], idle_s: float, memory: BufferMemory
    ) -> PlannedPool:
        rules = Rules(opens_per_s=1000.0, dial_timeout_s=1.0, ahead=False)
        return PlannedPool(loop, limit, idle_s, memory, rules, lambda endpoint: ServerState(), 1)

    def make_transport(*arguments: Any) -> HttpTransport:
        return HttpTransport(*arguments, make_pool=make_pool)

    monkeypatch.setattr(loopback, "HttpTransport", make_transport)
