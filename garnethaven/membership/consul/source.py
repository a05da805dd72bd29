"""The source that follows a Consul service or prefix and keeps this program's own service there.

answers.py decodes answers, keyed.py has the life cycle of the source.
"""

from __future__ import annotations

import asyncio
from random import Random

from garnethaven.addresses import Address
from garnethaven.membership.catchup import CatchUp, ReadSnapshot, SyncAction, WatchChanges
from garnethaven.membership.consul.answers import AgentAnswer, Trust
from garnethaven.membership.consul.client import Agent
from garnethaven.membership.consul.registration import ServiceRegistration
from garnethaven.membership.keyed import KeyedSource
from garnethaven.membership.table import CONSUL, Consul

# Prevents a busy loop if an agent answers every query at once, whatever the index. Each answer is the
# complete list, so that the pause delays changes but never loses one.
MIN_QUERY_INTERVAL_S = 0.05


class ConsulSource(KeyedSource[Consul]):
    name = CONSUL
    keeps_history = False
    queries = 0

    def location(self) -> str:
        return self.settings.service or self.settings.prefix

    def announce(self, address: Address, rng: Random) -> ServiceRegistration:
        assert self.settings.register is not None
        return ServiceRegistration(
            self.settings.register, address, self.settings, self.loop, rng, self.log_registration
        )

    def extra_figures(self) -> dict[str, object]:
        return {"queries": self.queries}

    async def follow(self, settings: Consul, catch_up: CatchUp, address: Address) -> None:
        agent = Agent(address, settings)
        try:
            pending_orders = catch_up.opened()
            while True:
                order = pending_orders.pop(0)
                started_at = self.loop.time()
                index = order.after if isinstance(order, WatchChanges) else 0
                self.queries += 1
                answer = await agent.entries(index, isinstance(order, ReadSnapshot) and order.proven)
                pending_orders = self.carry_out(self._accept(catch_up, answer))
                if self.loop.time() - started_at < MIN_QUERY_INTERVAL_S:
                    await asyncio.sleep(MIN_QUERY_INTERVAL_S)
        finally:
            await agent.close()

    def _accept(self, catch_up: CatchUp, answer: AgentAnswer) -> list[SyncAction]:
        if answer.trust is Trust.DOUBTFUL:
            return catch_up.leader_lost()
        return catch_up.snapshot(answer.index, answer.entries, proven=answer.trust is Trust.PROVEN)


SOURCE = ConsulSource
