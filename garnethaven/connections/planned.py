"""The planned pool, made for one program: the operator's table and the deployment's settings as rules."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from garnethaven.connections.planner import Rules, Server
from garnethaven.connections.pool import PlannedPool
from garnethaven.engine.engine import Engine, S
from garnethaven.interface import Settings
from garnethaven.limits.budgets import AnswerMemory
from garnethaven.operator import Connections


def rules_of(operator: Connections, settings: Settings) -> Rules:
    return Rules(
        opens_per_s=operator.opens_per_s,
        accepts=operator.accepts,
        fleet_size=max(1, settings.fleet_size),
        idle_s=settings.conn_idle / S,
        dial_timeout_s=(settings.dial_timeout or S) / S,
        age_s=operator.age_s,
        requests_most=operator.requests_most,
        ahead=operator.ahead,
    )


def pool_maker(
    operator: Connections, engine: Engine, seed: int
) -> Callable[[asyncio.AbstractEventLoop, Callable[[], int], float, AnswerMemory], PlannedPool]:
    """What the transport makes its pool with; the module tells what it thinks of servers."""
    rules = rules_of(operator, engine.settings)

    def server(endpoint: int) -> Server:
        return Server(*engine.balancer.standing(endpoint))

    def make(
        loop: asyncio.AbstractEventLoop, limit: Callable[[], int], idle_s: float, memory: AnswerMemory
    ) -> PlannedPool:
        return PlannedPool(loop, limit, idle_s, memory, rules, server, seed)

    return make
