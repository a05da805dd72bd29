"""This program's own key in etcd: attached to a lease that is kept alive, restored after a loss.

| event | action |
| --- | --- |
| the program is ready | a lease is granted, the key is put with it |
| a third of the lease's time to live has passed | the lease is renewed |
| the lease has ended, for any reason | another lease is granted, the key is put again |
| a member can't be reached | the next one is used; the lease lives on in the cluster |
| withdraw | the lease is revoked, which deletes the key; it is not put again |
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from garnethaven.addresses import Address
from garnethaven.membership.etcd.client import MemberClient, TokenExpired
from garnethaven.membership.hosts import EndpointLostError
from garnethaven.membership.payloads import encode_entry
from garnethaven.membership.registration_task import KEEPALIVES_PER_TTL, RegistrationTask
from garnethaven.membership.table import Etcd, EtcdRegistration


class LeasedKey(RegistrationTask):
    """The key and its lease."""

    def __init__(
        self,
        registration: EtcdRegistration,
        address: Address,
        settings: Etcd,
        loop: asyncio.AbstractEventLoop,
        rng: Random,
        say: Callable[[str], None],
    ) -> None:
        self.registration = registration
        self.settings = settings
        self.value = encode_entry(registration.form, registration.address or address, registration.facts)
        self.lease = 0
        self.member: MemberClient | None = None
        super().__init__(
            registration.key, settings.hosts, settings.spread_ms, registration.withdraw_ms, loop, rng, say
        )

    @property
    def is_registered(self) -> bool:
        return self.lease != 0

    async def keep(self, address: Address) -> None:
        member = self.member = MemberClient(address, self.settings.tls)
        try:
            if self.settings.user:
                await member.authenticate(self.settings.user)
            await self._keep(member)
        except TokenExpired as error:  # the next try logs in again
            raise EndpointLostError(str(error)) from None
        finally:
            self.member = None
            await member.close()

    async def _keep(self, member: MemberClient) -> None:
        while self.is_wanted():
            if not self.lease:
                lease = await member.grant(self.registration.ttl_s)
                await member.put(self.registration.key, self.value, lease)
                self.lease = lease
                self.hosts.reset_backoff()
            await asyncio.sleep(self.registration.ttl_s / KEEPALIVES_PER_TTL)
            if not await member.keep_alive(self.lease):
                self.lease = 0

    async def take_back(self) -> None:
        lease, self.lease = self.lease, 0
        if self.member is not None:
            try:
                await self.member.revoke(lease)
            except TokenExpired as error:
                raise EndpointLostError(str(error)) from None
