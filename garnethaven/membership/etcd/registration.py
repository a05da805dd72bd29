"""This program's own key in etcd: on a lease that is kept alive, put back after a loss, revoked at the end.

| what happens | what follows |
| --- | --- |
| the program is ready | a lease is granted, the key is put on it |
| a third of the lease's life | a sign of life |
| the lease has ended, whoever ended it | another lease, and the key anew |
| a member can't be reached | the next one; the lease lives on in the cluster |
| withdraw | the lease is revoked, and the key with it; nothing makes it again |
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from garnethaven.addresses import Address
from garnethaven.membership.announcing import SIGNS, Announcing
from garnethaven.membership.etcd.client import AuthExpired, Line
from garnethaven.membership.hosts import EndpointLostError
from garnethaven.membership.payloads import written
from garnethaven.membership.table import Etcd, EtcdRegistration


class Registered(Announcing):
    """The key, on a lease."""

    def __init__(
        self,
        wanted: EtcdRegistration,
        address: Address,
        settings: Etcd,
        loop: asyncio.AbstractEventLoop,
        rng: Random,
        say: Callable[[str], None],
    ) -> None:
        self.wanted = wanted
        self.settings = settings
        self.value = written(wanted.form, wanted.address or address, wanted.facts)
        self.lease = 0
        self.line: Line | None = None
        super().__init__(wanted.key, settings.hosts, settings.spread_ms, wanted.withdraw_ms, loop, rng, say)

    @property
    def there(self) -> bool:
        return self.lease != 0

    async def keep(self, address: Address) -> None:
        line = self.line = Line(address, self.settings.tls)
        try:
            if self.settings.user:
                await line.authenticate(self.settings.user)
            await self._keep(line)
        except AuthExpired as problem:  # the next try asks for another token
            raise EndpointLostError(str(problem)) from None
        finally:
            self.line = None
            await line.close()

    async def _keep(self, line: Line) -> None:
        while self.wanted_still():
            if not self.lease:
                lease = await line.grant(self.wanted.ttl_s)
                await line.put(self.wanted.key, self.value, lease)
                self.lease = lease
                self.hosts.lasted()
            await asyncio.sleep(self.wanted.ttl_s / SIGNS)
            if not await line.keep_alive(self.lease):
                self.lease = 0

    async def take_back(self) -> None:
        lease, self.lease = self.lease, 0
        if self.line is not None:
            try:
                await self.line.revoke(lease)
            except AuthExpired as problem:
                raise EndpointLostError(str(problem)) from None
