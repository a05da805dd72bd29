"""The shared part of the key-value registry sources: one task that follows one endpoint after another.

catchup.py decides which answers are accepted, hosts.py which endpoint is tried next and when. Each kind of
registry implements how an endpoint is followed.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Mapping
from random import Random
from typing import ClassVar, Generic, Protocol, TypeVar

from garnethaven.addresses import Address
from garnethaven.membership.catchup import CatchUp, ReportChanges, ReportContact, SyncAction
from garnethaven.membership.entries import EntryConverter
from garnethaven.membership.hosts import EndpointLostError, Hosts
from garnethaven.membership.merger import Merger
from garnethaven.membership.payloads import Rules
from garnethaven.membership.registration_task import RegistrationTask
from garnethaven.membership.source_output import SourceOutput

STABLE_AFTER_S = 5.0  # an endpoint followed for longer resets the backoff


class Table(Protocol):
    """The settings that all kinds of key-value registries share."""

    @property
    def hosts(self) -> tuple[Address, ...]: ...
    @property
    def spread_ms(self) -> int: ...
    @property
    def cache(self) -> str: ...
    @property
    def rules(self) -> Rules: ...
    @property
    def register(self) -> object | None: ...


S = TypeVar("S", bound=Table)


class KeyedSource(Generic[S]):
    """Follows one registry and updates the merger. Errors are logged, at a bounded rate, and never raised."""

    name: ClassVar[str]
    keeps_history: ClassVar[bool]

    def __init__(
        self,
        settings: S,
        merger: Merger,
        loop: asyncio.AbstractEventLoop,
        seed: int,
        names: tuple[Mapping[str, int], Mapping[str, int]],
        log: Callable[[str], None],
    ) -> None:
        self.settings = settings
        self.loop = loop
        self.rng = Random(seed)
        self.output = SourceOutput(self.name, merger, loop, names, log, settings.cache)
        self._reset()
        self.task: asyncio.Task[None] | None = None
        self.stopping_tasks: set[asyncio.Task[None]] = set()
        self.announcement: RegistrationTask | None = None
        self.connects = 0

    # Implemented by each kind of registry

    def location(self) -> str:
        """The prefix or service that is followed."""
        raise NotImplementedError

    def announce(self, address: Address, rng: Random) -> RegistrationTask:
        """Start to register this program as the settings say."""
        raise NotImplementedError

    async def follow(self, settings: S, catch_up: CatchUp, address: Address) -> None:
        """Follow one endpoint until it is lost; raises EndpointLostError or OSError."""
        raise NotImplementedError

    def extra_figures(self) -> dict[str, object]:
        """Additional figures of this kind of registry."""
        raise NotImplementedError

    # Life cycle

    def start(self) -> None:
        self.output.load_cache()
        self.output.set_contact(False)
        self._start_following()

    def _reset(self) -> None:
        """Start anew for the configured location; facts of an earlier location stay until it is read."""
        self.output.fully_read = False
        self.catch_up = CatchUp(self.keeps_history)
        self.entries = EntryConverter(self.location(), self.output.payload(self.settings.rules))

    def _start_following(self) -> None:
        self.task = self.loop.create_task(self._run(self.settings, self.catch_up))

    def registers(self, address: Address) -> None:
        if self.announcement is not None:
            self.announcement.stop()
        registration = self.settings.register
        self.announcement = (
            self.announce(address, Random(self.rng.random())) if registration is not None else None
        )

    def log_registration(self, text: str) -> None:
        self.output.log_limited("register", f"{self.name}: {text}")

    async def withdraw(self) -> None:
        if self.announcement is not None:
            await self.announcement.withdraw()

    def reload(self, settings: S, address: Address) -> None:
        """Follow the changed settings. Known servers stay until the new location has been read completely."""
        if settings == self.settings:
            return
        register_anew = settings.register != self.settings.register or settings.hosts != self.settings.hosts
        self.settings = settings
        self._stop()
        self._reset()
        self._start_following()
        if register_anew:
            self.registers(address)

    def _stop(self) -> None:
        task, self.task = self.task, None
        if task is not None:
            task.cancel()
            self.stopping_tasks.add(task)
            task.add_done_callback(self.stopping_tasks.discard)

    async def close(self) -> None:
        self._stop()
        if self.announcement is not None:
            self.announcement.stop()
        for task in list(self.stopping_tasks):
            with contextlib.suppress(asyncio.CancelledError):
                await task
        self.output.close()

    def figures(self) -> dict[str, object]:
        catch_up = self.catch_up
        figures: dict[str, object] = {
            "servers": len(self.output.facts()),
            "standing": catch_up.sync_state.value,
            "revision": catch_up.revision,
            "age_s": round(self.output.age_s(), 3),
            "answers_behind": catch_up.outdated_answers,
            "histories_begun_anew": catch_up.history_restarts,
            "left_out": catch_up.excess_entries,
            "flaws": dict(self.entries.flaws),
            "connects": self.connects,
        }
        if self.announcement is not None:
            figures["registered"] = self.announcement.is_registered
        return figures | self.extra_figures()

    # Following endpoints

    async def _run(self, settings: S, catch_up: CatchUp) -> None:
        hosts = Hosts(settings.hosts, settings.spread_ms / 1000, self.rng)
        while True:
            address, started_at = hosts.next(), self.loop.time()
            refused = False
            self.connects += 1
            try:
                await self.follow(settings, catch_up, address)
            except (EndpointLostError, OSError) as error:
                refused = getattr(error, "refused", False)
                self._endpoint_lost(catch_up, "{}:{}: {}".format(*address, error))
            except Exception as fault:  # a bug: keep the last list and try the next endpoint
                self._endpoint_lost(catch_up, f"internal error: {fault!r}")
            if self.loop.time() - started_at > STABLE_AFTER_S:
                hosts.reset_backoff()
            await asyncio.sleep(hosts.wait_s(refused))

    def _endpoint_lost(self, catch_up: CatchUp, reason: str) -> None:
        self.carry_out(catch_up.lost())
        age = self.output.age_s()
        self.output.log_limited("down", f"{self.name}: {reason}; the last list is kept, {age:.1f} s old")

    def carry_out(self, orders: list[SyncAction]) -> list[SyncAction]:
        """Execute the orders that need no endpoint and return the others."""
        remaining: list[SyncAction] = []
        for order in orders:
            if isinstance(order, ReportChanges):
                self._publish(order)
            elif isinstance(order, ReportContact):
                self.output.set_contact(order.good)
            else:
                remaining.append(order)
        return remaining

    def _publish(self, update: ReportChanges) -> None:
        facts = self.entries.convert(update, self.output.wall_ms())
        if update.from_snapshot:
            facts = self.output.initial_removals(facts) | facts
        if facts:
            self.output.merger.change(self.name, facts)
        flaws = self.entries.take_log_line()
        if flaws:
            self.output.log_limited("flaw", f"{self.name}: {flaws}; not used")
