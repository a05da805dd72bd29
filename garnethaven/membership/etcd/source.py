"""The source that follows a prefix of an etcd cluster, and keeps this program's own key there.

What an answer of a watch says is told in answers.py, the rest of a source's life in keyed.py.
"""

from __future__ import annotations

import asyncio
import contextlib
from random import Random

from garnethaven.addresses import Address
from garnethaven.membership.catchup import CatchUp, Order, Read, Watch
from garnethaven.membership.etcd.answers import Answers, WatchEnded, entry_of
from garnethaven.membership.etcd.client import AuthExpired, Line, Watching
from garnethaven.membership.etcd.registration import Registered
from garnethaven.membership.hosts import EndpointLostError
from garnethaven.membership.keyed import KeyedSource
from garnethaven.membership.table import ETCD, Etcd

SIGNS_MOST = 3  # asked for without an answer: the watch is dead
LOGINS_MOST = 3  # in a row on one connection; then the next member is tried


class EtcdSource(KeyedSource[Etcd]):
    name = ETCD
    keeps_history = True
    reads = 0
    logins = 0

    def place(self) -> str:
        return self.settings.prefix

    def announce(self, address: Address, rng: Random) -> Registered:
        assert self.settings.register is not None
        return Registered(self.settings.register, address, self.settings, self.loop, rng, self.say_of_own)

    def counts(self) -> dict[str, object]:
        return {"reads": self.reads, "logins": self.logins}

    async def follow(self, settings: Etcd, core: CatchUp, address: Address) -> None:
        line = Line(address, settings.tls)
        try:
            for _ in range(LOGINS_MOST):
                if settings.user:
                    self.logins += 1
                    await line.authenticate(settings.user)
                with contextlib.suppress(AuthExpired):  # then with a new token, from where we are
                    await self._follow(settings, core, line)
                self.carry_out(core.lost())
            raise EndpointLostError("our token is refused again and again")
        except WatchEnded as ended:
            raise EndpointLostError(str(ended)) from None
        finally:
            await line.close()

    async def _follow(self, settings: Etcd, core: CatchUp, line: Line) -> None:
        """Carry out orders until the member is left; raises what ended it."""
        waiting = core.opened()
        while waiting:
            order = waiting.pop(0)
            if isinstance(order, Read):
                self.reads += 1
                answer = await line.range(settings.prefix)
                entries = {self._name(kv.key): entry_of(kv) for kv in answer.kvs}
                waiting += self.carry_out(core.snapshot(answer.header.revision, entries, proven=True))
            elif isinstance(order, Watch):
                waiting += await self._watch(settings, core, line, order.after)

    async def _watch(self, settings: Etcd, core: CatchUp, line: Line, after: int) -> list[Order]:
        """Hear changes until something else has to be done; raises what ended the watch."""
        watching = Watching(line, settings.prefix, after)
        answers = Answers(core, self._name)
        quiet_s = settings.quiet_ms / 1000
        unanswered = 0
        hearing: asyncio.Task[object] | None = None
        try:
            await watching.open()
            while True:
                hearing = hearing or self.loop.create_task(watching.next())
                done, _ = await asyncio.wait((hearing,), timeout=quiet_s)
                if not done:
                    if unanswered >= SIGNS_MOST:
                        raise EndpointLostError(
                            f"its watch has told nothing for {quiet_s * (SIGNS_MOST + 1):g} s"
                        )
                    unanswered += 1
                    if answers.created:
                        await asyncio.wait_for(watching.ask(), quiet_s)
                    continue
                answer, hearing, unanswered = hearing.result(), None, 0
                rest = self.carry_out(answers.take(answer))
                if rest:
                    return rest
        except WatchEnded as ended:
            if "auth token" in str(ended) or "permission denied" in str(ended):
                raise AuthExpired(str(ended)) from None
            raise
        except TimeoutError:
            raise EndpointLostError("its watch takes nothing any more") from None
        finally:
            watching.close()
            if hearing is not None:
                hearing.cancel()
                with contextlib.suppress(asyncio.CancelledError, EndpointLostError, AuthExpired):
                    await hearing

    def _name(self, key: bytes) -> str:
        return key.decode("utf-8", "backslashreplace").removeprefix(self.settings.prefix)


SOURCE = EtcdSource
