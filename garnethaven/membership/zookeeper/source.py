"""The discovery source that follows ephemeral nodes of a ZooKeeper ensemble and updates the merger."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Mapping
from random import Random

from msgspec.structs import replace

from garnethaven.membership.hosts import Hosts
from garnethaven.membership.merger import Merger
from garnethaven.membership.source_output import SourceOutput
from garnethaven.membership.table import ZOOKEEPER, ZooKeeper
from garnethaven.membership.zookeeper.client import Client
from garnethaven.membership.zookeeper.following import DirectoryFollower, Outcome
from garnethaven.membership.zookeeper.records import RecordError
from garnethaven.membership.zookeeper.registration import NodeRegistration
from garnethaven.membership.zookeeper.session import Event, Session
from garnethaven.tables import SocketAddress

FOLLOW_RETRY_DELAY_S = 1.0  # after an error, before the directory is read again


class RegistrySource:
    """Follows one registry and updates the merger. Errors are logged, at a bounded rate, and never raised."""

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
        self.output = SourceOutput(ZOOKEEPER, merger, loop, names, log, settings.cache)
        self.troubles = 0
        self.retry_timer: asyncio.TimerHandle | None = None
        self.generation = 0
        self.closing: set[asyncio.Task[None]] = set()
        self.settings = settings
        self.register: NodeRegistration | None = None
        self._set_up(settings)

    def _set_up(self, settings: ZooKeeper) -> None:
        self.settings = settings
        self.generation += 1
        self.output.fully_read = False
        payload = self.output.payload(settings.rules)
        self.following = DirectoryFollower(settings.root, payload, settings.persistent)
        session = Session(settings.session_timeout_ms, settings.digest or None, settings.read_only)
        self.client = Client(
            self.loop,
            session,
            Hosts(settings.hosts, settings.spread_ms / 1000, self.rng),
            CurrentCallbacks(self, self.generation),
            settings.tls.context() if settings.tls else None,
            settings.tls.name if settings.tls else "",
        )

    def start(self) -> None:
        if self.output.cache is not None:
            self.output.load_cache()
            self.output.set_contact(False)
        self.client.start()

    def registers(self, address: tuple[str, int]) -> None:
        """Register this program if the settings say so; `address` is used if the settings have none."""
        registration = self.settings.register
        if registration is None:
            self.register = None
            return
        if registration.address is None:
            registration = replace(registration, address=SocketAddress(address))
        self.register = NodeRegistration(
            registration, self.settings.digest or None, self.client, self.output.log
        )
        if self.client.up_at:
            self.register.up()
            self.client.flush()

    async def withdraw(self) -> None:
        """Delete this program's node before it drains; waits no longer than `withdraw_ms`."""
        if self.register is not None:
            await self.register.withdraw()

    def reload(self, settings: ZooKeeper, address: tuple[str, int]) -> None:
        """Follow the changed settings. Known servers stay until the new directory has been read."""
        if settings == self.settings:
            return
        old_client = self.client
        task = self.loop.create_task(old_client.close())
        self.closing.add(task)
        task.add_done_callback(self.closing.discard)
        if self.retry_timer is not None:
            self.retry_timer.cancel()
            self.retry_timer = None
        self._set_up(settings)
        self.registers(address)
        self.client.start()

    async def close(self) -> None:
        if self.retry_timer is not None:
            self.retry_timer.cancel()
        await self.client.close()
        for task in list(self.closing):
            with contextlib.suppress(asyncio.CancelledError):
                await task
        self.output.close()

    # Callbacks of the client

    def up(self) -> None:
        self._apply(self.following.connected())
        if self.register is not None:
            self.register.up()

    def down(self, reason: str) -> None:
        self.following.names.lost()
        self.output.set_contact(False)
        self.output.log_limited(
            "down", f"registry: {reason}; the last list is kept, {self.age_s():.1f} s old"
        )

    def expired(self) -> None:
        self.output.log_limited(
            "expired", "registry: the session has expired; a new one is started, the servers are kept"
        )
        if self.register is not None:
            self.register.expired()

    def event(self, event: Event) -> None:
        if self.register is not None and self.register.event(event):
            return
        try:
            outcome = self.following.handle(event)
        except RecordError as error:
            self.client.drop_connection(f"a reply can't be decoded: {error}")
            return
        self._apply(outcome)

    def _apply(self, outcome: Outcome) -> None:
        for request in outcome.requests:
            self.client.request(request.op, request.body, request.tag)
        if outcome.host_lags:
            self.client.drop_connection("the host lags: it returned a node that was deleted")
            return
        prefix = self.following.prefix
        if outcome.facts:
            self.merger.change(ZOOKEEPER, {prefix + name: fact for name, fact in outcome.facts.items()})
        if outcome.complete:
            self._directory_complete(prefix)
        if outcome.error:
            self._directory_failed(outcome.error)
        if self.following.last_flaw:
            self.output.log_limited(
                "flaw", f"registry: node {self.following.last_flaw}; its server is not used"
            )
            self.following.last_flaw = ""

    def _directory_complete(self, prefix: str) -> None:
        """The directory has been read completely: contact is good, servers of an earlier list are removed."""
        self.output.set_contact(True)
        if not self.output.fully_read:
            current_keys = {prefix + name for name in self.following.names.current}
            self.merger.change(ZOOKEEPER, self.output.initial_removals(current_keys))

    def _directory_failed(self, error: str) -> None:
        """The directory can't be followed at present: keep the servers and read it again after a delay."""
        self.troubles += 1
        self.output.set_contact(False)
        self.output.log_limited("trouble", f"registry: {error}; the last list is kept")
        if self.retry_timer is None:
            self.retry_timer = self.loop.call_later(FOLLOW_RETRY_DELAY_S, self._retry_follow)

    def _retry_follow(self) -> None:
        self.retry_timer = None
        if self.client.up_at:
            self._apply(self.following.connected())
            self.client.flush()

    # Figures

    def age_s(self) -> float:
        """Seconds since the list was last known to be current; 0 while it is followed."""
        return self.output.age_s()

    def figures(self) -> dict[str, object]:
        return {
            "servers": len(self.output.facts()),
            "standing": self.following.names.sync_state.value,
            "age_s": round(self.age_s(), 3),
            "troubles": self.troubles,
        }


class CurrentCallbacks:
    """The callbacks of one client; ignored once a reload has replaced the client."""

    def __init__(self, source: RegistrySource, generation: int) -> None:
        self.source = source
        self.generation = generation

    def _is_current(self) -> bool:
        return self.source.generation == self.generation

    def up(self) -> None:
        if self._is_current():
            self.source.up()

    def down(self, reason: str) -> None:
        if self._is_current():
            self.source.down(reason)

    def expired(self) -> None:
        if self._is_current():
            self.source.expired()

    def event(self, event: Event) -> None:
        if self._is_current():
            self.source.event(event)


SOURCE = RegistrySource
