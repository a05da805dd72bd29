"""A process that was stopped restarts its startup window; a short busy period does not count as a stop."""

from __future__ import annotations

import asyncio
import time

import pytest

from tests.loopback import ANSWER, answers_with, run, running_sidecar


@pytest.mark.parametrize(("stood_s", "anew"), [(1.2, True), (0.6, False)])
def test_a_window_begins_anew_only_after_a_standstill(stood_s: float, anew: bool) -> None:
    async def case() -> None:
        async with running_sidecar(answers_with(ANSWER)) as (sidecar, _):
            window = sidecar.engine.balancer.overload.window
            window.limit = 0.0  # the window has ended
            await asyncio.sleep(0.1)
            time.sleep(stood_s)  # blocks the event loop
            await asyncio.sleep(0.1)
            assert bool(window.limit) is anew

    run(case())
