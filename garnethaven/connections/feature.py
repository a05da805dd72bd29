"""Builds the planned pool from the operator's table and the deployment's settings."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from garnethaven.connections.planner import Rules, ServerState
from garnethaven.connections.pool import PlannedPool
from garnethaven.connections.table import Connections
from garnethaven.engine.engine import S
from garnethaven.feature import Feature
from garnethaven.interface import Settings
from garnethaven.limits.budgets import BufferMemory
from garnethaven.parts import Parts


def rules_of(table: Connections, settings: Settings) -> Rules:
    return Rules(
        opens_per_s=table.opens_per_s,
        accepts=table.accepts,
        fleet_size=max(1, settings.fleet_size),
        idle_s=settings.connection_idle_timeout / S,
        dial_timeout_s=(settings.dial_timeout or S) / S,
        age_s=table.age_s,
        max_requests=table.requests_most,
        ahead=table.ahead,
    )


class KeptLimits:
    """Persists the learned idle limits (state/)."""

    def __init__(self, pool: PlannedPool) -> None:
        self.pool = pool

    def keep(self) -> bytes:
        return msgspec.json.encode(self.pool.limits.snapshot(self.pool.loop.time()))

    def take_back(self, kept: bytes, away_s: float) -> None:
        try:
            limits = msgspec.json.decode(kept, type=list[tuple[str, int, float]])
        except msgspec.MsgspecError as error:
            raise ValueError(str(error)) from None
        self.pool.limits.restore(self.pool.loop.time(), limits, away_s)


class ConnectionsFeature(Feature[Connections, Parts]):
    name = "connections"

    def __init__(self, table: Connections, parts: Parts) -> None:
        super().__init__(table, parts)
        self.pool: PlannedPool | None = None
        if table.plan:
            parts.make_pool = self._make

    def _make(
        self, loop: asyncio.AbstractEventLoop, limit: Callable[[], int], idle_s: float, memory: BufferMemory
    ) -> PlannedPool:
        rules = rules_of(self.table, self.parts.engine.settings)
        self.pool = PlannedPool(loop, limit, idle_s, memory, rules, self._server, self.parts.config.seed)
        return self.pool

    def prepare(self) -> None:
        if self.pool is not None:
            self.parts.state_sections["idle_limits"] = KeptLimits(self.pool)

    def _server(self, endpoint: int) -> ServerState:
        """Returns the balancer's state of a server."""
        return ServerState(*self.parts.engine.balancer.warmth_and_penalty(endpoint))

    def renewed(self) -> None:
        if self.pool is not None:
            self.pool.set_rules(rules_of(self.table, self.parts.engine.settings))


FEATURE = ConnectionsFeature
