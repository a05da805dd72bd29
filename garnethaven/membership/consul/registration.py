"""This program's own service in Consul: with a check that must hear of us, taken back at a planned end.

| what happens | what follows |
| --- | --- |
| the program is ready | the service is registered at an agent, with a TTL check that passes |
| a third of the check's life | a sign of life |
| the agent does not know the check any more | the service anew |
| the agent can't be reached | at the next one, the service anew |
| withdraw | the service is taken back, and nothing makes it again |
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any
from urllib.parse import quote

from garnethaven.addresses import Address
from garnethaven.membership.announcing import SIGNS, Announcing
from garnethaven.membership.consul.client import Agent
from garnethaven.membership.table import Consul, ConsulRegistration


class Registered(Announcing):
    """The service, with its check."""

    def __init__(
        self,
        wanted: ConsulRegistration,
        address: Address,
        settings: Consul,
        loop: asyncio.AbstractEventLoop,
        rng: Random,
        say: Callable[[str], None],
    ) -> None:
        self.wanted = wanted
        self.settings = settings
        self.address = wanted.address or address
        self.id = wanted.id or "{}-{}:{}".format(wanted.name, *self.address)
        self.passed = False
        self.agent: Agent | None = None
        super().__init__(self.id, settings.hosts, settings.spread_ms, wanted.withdraw_ms, loop, rng, say)

    @property
    def there(self) -> bool:
        return self.passed

    async def keep(self, address: Address) -> None:
        agent = self.agent = Agent(address, self.settings)
        try:
            await agent.put("/v1/agent/service/register", self.service())
            check = quote(f"service:{self.id}", safe="")
            while self.wanted_still():
                await agent.put(f"/v1/agent/check/pass/{check}")
                self.passed = True
                self.hosts.lasted()
                await asyncio.sleep(self.wanted.ttl_s / SIGNS)
        finally:
            self.agent, self.passed = None, False
            await agent.close()

    async def take_back(self) -> None:
        self.passed = False
        if self.agent is not None:
            await self.agent.put(f"/v1/agent/service/deregister/{quote(self.id, safe='')}")

    def service(self) -> dict[str, Any]:
        """What is registered."""
        host, port = self.address
        return {
            "ID": self.id,
            "Name": self.wanted.name,
            "Address": host,
            "Port": port,
            "Meta": {name: str(value) for name, value in self.wanted.facts.items()},
            "Check": {
                "CheckID": f"service:{self.id}",
                "TTL": f"{self.wanted.ttl_s}s",
                "DeregisterCriticalServiceAfter": f"{max(60, 6 * self.wanted.ttl_s)}s",
            },
        }
