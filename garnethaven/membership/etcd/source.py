"""The source that follows a prefix of an etcd cluster and keeps this program's own key there.

answers.py handles the answers of a watch, keyed.py the life cycle of the source.
"""

from __future__ import annotations

import asyncio
import contextlib
from random import Random

from garnethaven.addresses import Address
from garnethaven.membership.catchup import CatchUp, ReadSnapshot, SyncAction, WatchChanges
from garnethaven.membership.etcd.answers import WatchAnswers, WatchEnded, entry_of
from garnethaven.membership.etcd.client import MemberClient, TokenExpired, WatchStream
from garnethaven.membership.etcd.registration import LeasedKey
from garnethaven.membership.hosts import EndpointLostError
from garnethaven.membership.keyed import KeyedSource
from garnethaven.membership.table import ETCD, Etcd

MAX_PROGRESS_REQUESTS = 3  # without an answer; then the watch counts as dead
MAX_LOGINS = 3  # on one connection; then the next member is tried


class EtcdSource(KeyedSource[Etcd]):
    name = ETCD
    keeps_history = True
    reads = 0
    logins = 0

    def location(self) -> str:
        return self.settings.prefix

    def announce(self, address: Address, rng: Random) -> LeasedKey:
        assert self.settings.register is not None
        return LeasedKey(
            self.settings.register, address, self.settings, self.loop, rng, self.log_registration
        )

    def extra_figures(self) -> dict[str, object]:
        return {"reads": self.reads, "logins": self.logins}

    async def follow(self, settings: Etcd, catch_up: CatchUp, address: Address) -> None:
        member = MemberClient(address, settings.tls)
        try:
            for _ in range(MAX_LOGINS):
                if settings.user:
                    self.logins += 1
                    await member.authenticate(settings.user)
                with contextlib.suppress(TokenExpired):  # log in again and continue from the current revision
                    await self._follow(settings, catch_up, member)
                self.carry_out(catch_up.lost())
            raise EndpointLostError("the authentication token was rejected repeatedly")
        except WatchEnded as reason:
            raise EndpointLostError(str(reason)) from None
        finally:
            await member.close()

    async def _follow(self, settings: Etcd, catch_up: CatchUp, member: MemberClient) -> None:
        """Execute orders until the connection to the member ends; raises the exception that ended it."""
        pending_orders = catch_up.opened()
        while pending_orders:
            order = pending_orders.pop(0)
            if isinstance(order, ReadSnapshot):
                self.reads += 1
                answer = await member.range(settings.prefix)
                entries = {self._name(kv.key): entry_of(kv) for kv in answer.kvs}
                pending_orders += self.carry_out(
                    catch_up.snapshot(answer.header.revision, entries, proven=True)
                )
            elif isinstance(order, WatchChanges):
                pending_orders += await self._watch(settings, catch_up, member, order.after)

    async def _watch(
        self, settings: Etcd, catch_up: CatchUp, member: MemberClient, after: int
    ) -> list[SyncAction]:
        """Apply changes until other orders follow, and return those; raises what ended the watch."""
        stream = WatchStream(member, settings.prefix, after)
        answers = WatchAnswers(catch_up, self._name)
        quiet_s = settings.quiet_ms / 1000
        unanswered_requests = 0
        answer_task: asyncio.Task[object] | None = None
        try:
            await stream.open()
            while True:
                answer_task = answer_task or self.loop.create_task(stream.next())
                done, _ = await asyncio.wait((answer_task,), timeout=quiet_s)
                if not done:
                    if unanswered_requests >= MAX_PROGRESS_REQUESTS:
                        raise EndpointLostError(
                            f"the watch sent no answer for {quiet_s * (MAX_PROGRESS_REQUESTS + 1):g} s"
                        )
                    unanswered_requests += 1
                    if answers.created:
                        await asyncio.wait_for(stream.request_progress(), quiet_s)
                    continue
                answer, answer_task, unanswered_requests = answer_task.result(), None, 0
                orders = self.carry_out(answers.take(answer))
                if orders:
                    return orders
        except WatchEnded as reason:
            if "auth token" in str(reason) or "permission denied" in str(reason):
                raise TokenExpired(str(reason)) from None
            raise
        except TimeoutError:
            raise EndpointLostError("the watch stream does not accept requests") from None
        finally:
            stream.close()
            if answer_task is not None:
                answer_task.cancel()
                with contextlib.suppress(asyncio.CancelledError, EndpointLostError, TokenExpired):
                    await answer_task

    def _name(self, key: bytes) -> str:
        return key.decode("utf-8", "backslashreplace").removeprefix(self.settings.prefix)


SOURCE = EtcdSource
