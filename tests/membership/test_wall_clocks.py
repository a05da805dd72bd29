"""Start times from wrong wall clocks: slow start relies on what this process observed."""

from __future__ import annotations

import time
from typing import Any

import pytest

from tests.limits.test_on_sockets import SidecarEnvironment, sidecar_environment
from tests.loopback import run, wait_until

RAMP_S = 10.0
COLD = 0.2


def cold_settings(small: SidecarEnvironment) -> None:
    """Set slow start: servers begin at `COLD` of their capacity and are warm after `RAMP_S`."""
    balancer = small.sidecar.engine.balancer
    settings = balancer.settings
    object.__setattr__(settings, "cold_share", COLD)
    object.__setattr__(settings, "ramp_time", int(RAMP_S * 1e9))


async def join(small: SidecarEnvironment, skew_s: float) -> float:
    """Add a server that starts now, with a clock that is `skew_s` ahead; returns its warmth once listed."""
    (server,) = await small.add(1)
    member: dict[str, Any] = server.member()
    member["up_since_ms"] = int((time.time() + skew_s) * 1000)
    small.discovery.publish([*(other.member() for other in small.servers[:-1]), member])
    await wait_until(lambda: len(small.names()) == len(small.servers))
    number = int.from_bytes(member["id"].encode(), "big")
    small.sidecar.engine.balancer.now = time.monotonic_ns()
    return small.sidecar.engine.balancer.warmth_and_penalty(number)[0]


@pytest.mark.parametrize("skew_s", [-3600.0, -10.0, 0.0, 10.0, 3600.0])
def test_a_server_that_joins_is_cold_whatever_its_clock_says(skew_s: float) -> None:
    async def case() -> None:
        async with sidecar_environment(2) as small:
            cold_settings(small)
            assert await join(small, skew_s) == pytest.approx(COLD, abs=0.08)

    run(case())


@pytest.mark.parametrize("skew_s", [10.0, 3600.0])
def test_a_server_whose_clock_is_ahead_is_warm_after_its_ramp(skew_s: float) -> None:
    async def case() -> None:
        async with sidecar_environment(2) as small:
            cold_settings(small)
            await join(small, skew_s)
            server = next(one for one in small.sidecar.engine.balancer.pool if one.started)
            small.sidecar.engine.balancer.now = time.monotonic_ns() + int(RAMP_S * 1e9)
            assert small.sidecar.engine.balancer.warmth_and_penalty(server.id)[0] == 1.0

    run(case())
