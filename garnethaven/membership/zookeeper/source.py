"""The source that follows a registry's ephemeral nodes: a client, what it follows.

And the model's side of it.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Mapping
from random import Random

from msgspec.structs import replace

from garnethaven.membership.hosts import Hosts
from garnethaven.membership.merger import Merger
from garnethaven.membership.table import ZOOKEEPER, ZooKeeper
from garnethaven.membership.telling import Telling
from garnethaven.membership.zookeeper.client import Client
from garnethaven.membership.zookeeper.following import Following, Told
from garnethaven.membership.zookeeper.records import RecordError
from garnethaven.membership.zookeeper.registration import Register
from garnethaven.membership.zookeeper.session import Event, Session
from garnethaven.tables import SocketAddress

RETRY_S = 1.0  # before a directory that could not be followed is tried again


class RegistrySource:
    """One registry, followed into the merger. Errors of it are logged, at a bounded rate.

    And never raised.
    """

    def __init__(
        self,
        settings: ZooKeeper,
        merger: Merger,
        loop: asyncio.AbstractEventLoop,
        seed: int,
        names: tuple[Mapping[str, int], Mapping[str, int]],
        log: Callable[[str], None],
    ) -> None:
        self.merger = merger
        self.loop = loop
        self.rng = Random(seed)
        self.telling = Telling(ZOOKEEPER, merger, loop, names, log, settings.cache)
        self.troubles = 0
        self.retry: asyncio.TimerHandle | None = None
        self.generation = 0
        self.closing: set[asyncio.Task[None]] = set()
        self.settings = settings
        self.register: Register | None = None
        self._set_up(settings)

    def _set_up(self, settings: ZooKeeper) -> None:
        self.settings = settings
        self.generation += 1
        self.telling.settled = False
        payload = self.telling.payload(settings.rules)
        self.following = Following(settings.root, payload, settings.persistent)
        session = Session(settings.session_timeout_ms, settings.digest or None, settings.read_only)
        self.client = Client(
            self.loop,
            session,
            Hosts(settings.hosts, settings.spread_ms / 1000, self.rng),
            User(self, self.generation),
            settings.tls.context() if settings.tls else None,
            settings.tls.name if settings.tls else "",
        )

    def start(self) -> None:
        if self.telling.cache is not None:
            self.telling.recall()
            self.telling.contact(False)
        self.client.start()

    def registers(self, address: tuple[str, int]) -> None:
        """Announce this program at `address`, where the settings want it."""
        wanted = self.settings.register
        if wanted is None:
            self.register = None
            return
        if wanted.address is None:
            wanted = replace(wanted, address=SocketAddress(address))
        self.register = Register(wanted, self.settings.digest or None, self.client, self.telling.log)
        if self.client.up_at:
            self.register.up()
            self.client.flush()

    async def withdraw(self) -> None:
        """Take the own node back, before the program drains; waits no longer than the settings say."""
        if self.register is not None:
            await self.register.withdraw()

    def reload(self, settings: ZooKeeper, address: tuple[str, int]) -> None:
        """Follow what the table says now. What is known stays until the new directory has been read whole."""
        if settings == self.settings:
            return
        old = self.client
        task = self.loop.create_task(old.close())
        self.closing.add(task)
        task.add_done_callback(self.closing.discard)
        if self.retry is not None:
            self.retry.cancel()
            self.retry = None
        self._set_up(settings)
        self.registers(address)
        self.client.start()

    async def close(self) -> None:
        if self.retry is not None:
            self.retry.cancel()
        await self.client.close()
        for task in list(self.closing):
            with contextlib.suppress(asyncio.CancelledError):
                await task
        self.telling.close()

    # The client's user

    def up(self) -> None:
        self._do(self.following.connected())
        if self.register is not None:
            self.register.up()

    def down(self, reason: str) -> None:
        self.following.names.lost()
        self.telling.contact(False)
        self.telling.say("down", f"registry: {reason}; the last list is kept, {self.age_s():.1f} s old")

    def expired(self) -> None:
        self.telling.say("expired", "registry: our session has expired; that says nothing of the servers")
        if self.register is not None:
            self.register.expired()

    def event(self, event: Event) -> None:
        if self.register is not None and self.register.event(event):
            return
        try:
            told = self.following.told(event)
        except RecordError as problem:
            self.client.over(f"it can't be read: {problem}")
            return
        self._do(told)

    def _do(self, told: Told) -> None:
        for ask in told.asks:
            self.client.ask(ask.op, ask.body, ask.tag)
        if told.lags:
            self.client.over("it lags: it tells a node that has ended")
            return
        prefix = self.following.prefix
        if told.facts:
            self.merger.change(ZOOKEEPER, {prefix + name: fact for name, fact in told.facts.items()})
        if told.whole:
            self._settle(prefix)
        if told.trouble:
            self._trouble(told.trouble)
        if self.following.said:
            self.telling.say("flaw", f"registry: node {self.following.said}; its server is not used")
            self.following.said = ""

    def _settle(self, prefix: str) -> None:
        """The directory has been read whole: contact is good, and nothing older is left."""
        self.telling.contact(True)
        if not self.telling.settled:
            now = {prefix + name for name in self.following.names.held}
            self.merger.change(ZOOKEEPER, self.telling.left_over(now))

    def _trouble(self, trouble: str) -> None:
        """The directory can't be followed just now: nothing is dropped, and it is tried again."""
        self.troubles += 1
        self.telling.contact(False)
        self.telling.say("trouble", f"registry: {trouble}; the last list is kept")
        if self.retry is None:
            self.retry = self.loop.call_later(RETRY_S, self._follow_again)

    def _follow_again(self) -> None:
        self.retry = None
        if self.client.up_at:
            self._do(self.following.connected())
            self.client.flush()

    # Telling

    def age_s(self) -> float:
        """How long nothing sound has been heard of the registry, in seconds."""
        return self.telling.age_s()

    def figures(self) -> dict[str, object]:
        return {
            "servers": len(self.telling.facts()),
            "standing": self.following.names.standing.value,
            "age_s": round(self.age_s(), 3),
            "troubles": self.troubles,
        }


class User:
    """The client's user; one that has been replaced by a reload says nothing more."""

    def __init__(self, source: RegistrySource, generation: int) -> None:
        self.source = source
        self.generation = generation

    def _now(self) -> bool:
        return self.source.generation == self.generation

    def up(self) -> None:
        if self._now():
            self.source.up()

    def down(self, reason: str) -> None:
        if self._now():
            self.source.down(reason)

    def expired(self) -> None:
        if self._now():
            self.source.expired()

    def event(self, event: Event) -> None:
        if self._now():
            self.source.event(event)


SOURCE = RegistrySource
