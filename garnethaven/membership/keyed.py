"""What the sources of key-value registries share: one task that lives through one endpoint after another.

What to believe is decided in catchup.py, which endpoint is tried when in hosts.py; how an endpoint is
followed is each kind's own.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Mapping
from random import Random
from typing import ClassVar, Generic, Protocol, TypeVar

from garnethaven.addresses import Address
from garnethaven.membership.announcing import Announcing
from garnethaven.membership.catchup import CatchUp, Contact, Order, Tell
from garnethaven.membership.entries import Entries
from garnethaven.membership.hosts import EndpointLostError, Hosts
from garnethaven.membership.merger import Merger
from garnethaven.membership.payloads import Rules
from garnethaven.membership.telling import Telling

LASTED_S = 5.0  # an endpoint that was followed for so long is believed in


class Table(Protocol):
    """What the tables of all kinds have."""

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
    """Errors are logged, at a bounded rate, and never raised."""

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
        self.telling = Telling(self.name, merger, loop, names, log, settings.cache)
        self._know_nothing()
        self.task: asyncio.Task[None] | None = None
        self.ended: set[asyncio.Task[None]] = set()
        self.own: Announcing | None = None
        self.connects = 0

    # Each kind's own

    def place(self) -> str:
        """What is followed there: a prefix, a service."""
        raise NotImplementedError

    def announce(self, address: Address, rng: Random) -> Announcing:
        """Begin to register this program, as the settings want."""
        raise NotImplementedError

    async def follow(self, settings: S, core: CatchUp, address: Address) -> None:
        """Follow one endpoint until it is lost; raises EndpointLostError or OSError."""
        raise NotImplementedError

    def counts(self) -> dict[str, object]:
        """Further figures."""
        raise NotImplementedError

    # The source's life

    def start(self) -> None:
        self.telling.recall()
        self.telling.contact(False)
        self._begin()

    def _know_nothing(self) -> None:
        """As at the start, of the place that the settings name; what was told of another one stays."""
        self.telling.settled = False
        self.core = CatchUp(self.keeps_history)
        self.entries = Entries(self.place(), self.telling.payload(self.settings.rules))

    def _begin(self) -> None:
        self.task = self.loop.create_task(self._run(self.settings, self.core))

    def registers(self, address: Address) -> None:
        if self.own is not None:
            self.own.stop()
        wanted = self.settings.register
        self.own = self.announce(address, Random(self.rng.random())) if wanted is not None else None

    def say_of_own(self, text: str) -> None:
        self.telling.say("register", f"{self.name}: {text}")

    async def withdraw(self) -> None:
        if self.own is not None:
            await self.own.withdraw()

    def reload(self, settings: S, address: Address) -> None:
        """Follow what the table says now. What is known stays until all has been read there."""
        if settings == self.settings:
            return
        again = settings.register != self.settings.register or settings.hosts != self.settings.hosts
        self.settings = settings
        self._stop()
        self._know_nothing()
        self._begin()
        if again:
            self.registers(address)

    def _stop(self) -> None:
        task, self.task = self.task, None
        if task is not None:
            task.cancel()
            self.ended.add(task)
            task.add_done_callback(self.ended.discard)

    async def close(self) -> None:
        self._stop()
        if self.own is not None:
            self.own.stop()
        for task in list(self.ended):
            with contextlib.suppress(asyncio.CancelledError):
                await task
        self.telling.close()

    def figures(self) -> dict[str, object]:
        core = self.core
        told: dict[str, object] = {
            "servers": len(self.telling.facts()),
            "standing": core.standing.value,
            "revision": core.revision,
            "age_s": round(self.telling.age_s(), 3),
            "answers_behind": core.behind,
            "histories_begun_anew": core.began_anew,
            "left_out": core.left_out,
            "flaws": dict(self.entries.flaws),
            "connects": self.connects,
        }
        if self.own is not None:
            told["registered"] = self.own.there
        return told | self.counts()

    # One endpoint after another

    async def _run(self, settings: S, core: CatchUp) -> None:
        hosts = Hosts(settings.hosts, settings.spread_ms / 1000, self.rng)
        while True:
            address, began = hosts.next(), self.loop.time()
            refused = False
            self.connects += 1
            try:
                await self.follow(settings, core, address)
            except (EndpointLostError, OSError) as problem:
                refused = getattr(problem, "refused", False)
                self._lost(core, "{}:{}: {}".format(*address, problem))
            except Exception as fault:  # of ours: the last list serves, and the next try may do better
                self._lost(core, f"a fault: {fault!r}")
            if self.loop.time() - began > LASTED_S:
                hosts.lasted()
            await asyncio.sleep(hosts.wait_s(refused))

    def _lost(self, core: CatchUp, reason: str) -> None:
        self.carry_out(core.lost())
        age = self.telling.age_s()
        self.telling.say("down", f"{self.name}: {reason}; the last list is kept, {age:.1f} s old")

    def carry_out(self, orders: list[Order]) -> list[Order]:
        """Tell what there is to tell; the orders that need the endpoint are left over."""
        left: list[Order] = []
        for order in orders:
            if isinstance(order, Tell):
                self._tell(order)
            elif isinstance(order, Contact):
                self.telling.contact(order.good)
            else:
                left.append(order)
        return left

    def _tell(self, told: Tell) -> None:
        facts = self.entries.take(told, self.telling.wall_ms())
        if told.whole:
            facts = self.telling.left_over(facts) | facts
        if facts:
            self.telling.merger.change(self.name, facts)
        flawed = self.entries.say()
        if flawed:
            self.telling.say("flaw", f"{self.name}: {flawed}; not used")
