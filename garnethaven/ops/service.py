"""Daily running put together: operators' calls, endpoints out by hand, another process beside this one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Protocol

from garnethaven.addresses import Address
from garnethaven.engine.engine import Engine
from garnethaven.membership.list_reader import number_of
from garnethaven.ops.cordons import CordonError
from garnethaven.ops.figures import Endpoints, rendered
from garnethaven.ops.front import Front, Routes
from garnethaven.ops.shared import Shared

LOOK_S = 0.1  # between two looks at what another process has changed: a ban there binds here within the grace


class Transport(Protocol):
    """What carries attempts to endpoints."""

    def by_hand(self, endpoint: int, out: bool) -> None: ...


class Ops:
    """The operators' side of one process. `beside` is told how many other processes serve under its name."""

    def __init__(
        self,
        address: Address,
        engine: Engine,
        transport: Transport,
        shared: Shared,
        classes: Sequence[str],
        ready: Callable[[], bool],
        beside: Callable[[int], None],
    ) -> None:
        self.engine = engine
        self.transport = transport
        self.shared = shared
        self.classes = classes
        self.ready = ready
        self.beside = beside
        self.others = 0
        self.loop = asyncio.get_running_loop()
        self.timer: asyncio.TimerHandle | None = None
        routes = Routes()
        routes.exact[b"/_ready"] = (b"GET", self._ready)
        routes.exact[b"/_vars"] = (b"GET", self._vars)
        routes.prefixed[b"/_endpoints/detach/"] = (b"POST", lambda name: self._by_hand(name, True))
        routes.prefixed[b"/_endpoints/attach/"] = (b"POST", lambda name: self._by_hand(name, False))
        self.front = Front(address, routes, engine.log)

    def prepare(self) -> None:
        """Take over what an earlier process left; before anything is sent."""
        self.shared.enter()
        self._look()

    async def open(self) -> None:
        await self.front.open()

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.front.close()
        self.shared.leave()

    def _look(self) -> None:
        self.timer = self.loop.call_later(LOOK_S, self._look)
        self._carry_out(self.shared.news())
        others = self.shared.others()
        if others != self.others:
            self.others = others
            self.beside(others)

    # Calls

    def _ready(self, _: bytes) -> tuple[int, str]:
        return (200, "ready\n") if self.ready() else (503, "not ready\n")

    def _vars(self, _: bytes) -> tuple[int, str]:
        balancer = self.engine.balancer
        told = Endpoints(len(balancer.servers), balancer.excluded())
        return 200, rendered(self.engine.account, self.classes, told)

    def _by_hand(self, name: bytes, out: bool) -> tuple[int, str]:
        try:
            endpoint = name.decode()
        except UnicodeDecodeError:
            return 404, "no such endpoint\n"
        listed = number_of(endpoint) in self.engine.balancer.servers
        if not listed and endpoint not in self.shared.cordons.cordoned:
            return 404, "no such endpoint\n"
        kept, changes = True, [(endpoint, out)]
        try:
            changes += [one for one in self.shared.change(endpoint, out) if one[0] != endpoint]
        except CordonError as problem:
            return 503, f"{problem}\n"
        except OSError as problem:
            self.engine.log(f"{endpoint} by hand is not kept for another process: {problem}")
            kept = False
        self._carry_out(changes)
        return (200, "out\n" if out else "in\n") if kept else (500, "done here, and not kept\n")

    def _carry_out(self, changes: list[tuple[str, bool]]) -> None:
        for endpoint, out in changes:
            self.transport.by_hand(number_of(endpoint), out)
