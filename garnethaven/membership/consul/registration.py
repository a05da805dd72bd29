"""This program's own service in Consul: with a TTL check that is renewed, deregistered before drains.

| event | action |
| --- | --- |
| the program is ready | the service is registered at an agent, with a TTL check that passes |
| a third of the check's TTL has passed | the check is passed again |
| the agent does not have the check any more | the service is registered again |
| the agent can't be reached | the service is registered at the next one |
| withdraw | the service is deregistered and not registered again |
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any
from urllib.parse import quote

from garnethaven.addresses import Address
from garnethaven.membership.consul.client import Agent
from garnethaven.membership.registration_task import KEEPALIVES_PER_TTL, RegistrationTask
from garnethaven.membership.table import Consul, ConsulRegistration


class ServiceRegistration(RegistrationTask):
    """The service and its check."""

    def __init__(
        self,
        registration: ConsulRegistration,
        address: Address,
        settings: Consul,
        loop: asyncio.AbstractEventLoop,
        rng: Random,
        say: Callable[[str], None],
    ) -> None:
        self.registration = registration
        self.settings = settings
        self.address = registration.address or address
        self.id = registration.id or "{}-{}:{}".format(registration.name, *self.address)
        self.check_passed = False
        self.agent: Agent | None = None
        super().__init__(
            self.id, settings.hosts, settings.spread_ms, registration.withdraw_ms, loop, rng, say
        )

    @property
    def is_registered(self) -> bool:
        return self.check_passed

    async def keep(self, address: Address) -> None:
        agent = self.agent = Agent(address, self.settings)
        try:
            await agent.put("/v1/agent/service/register", self.service())
            check = quote(f"service:{self.id}", safe="")
            while self.is_wanted():
                await agent.put(f"/v1/agent/check/pass/{check}")
                self.check_passed = True
                self.hosts.reset_backoff()
                await asyncio.sleep(self.registration.ttl_s / KEEPALIVES_PER_TTL)
        finally:
            self.agent, self.check_passed = None, False
            await agent.close()

    async def take_back(self) -> None:
        self.check_passed = False
        if self.agent is not None:
            await self.agent.put(f"/v1/agent/service/deregister/{quote(self.id, safe='')}")

    def service(self) -> dict[str, Any]:
        """The body of the registration request."""
        host, port = self.address
        return {
            "ID": self.id,
            "Name": self.registration.name,
            "Address": host,
            "Port": port,
            "Meta": {name: str(value) for name, value in self.registration.facts.items()},
            "Check": {
                "CheckID": f"service:{self.id}",
                "TTL": f"{self.registration.ttl_s}s",
                "DeregisterCriticalServiceAfter": f"{max(60, 6 * self.registration.ttl_s)}s",
            },
        }
