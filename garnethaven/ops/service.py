"""The operators' service of one process: HTTP calls, cordons, and detection of other processes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Protocol

from garnethaven.addresses import Address
from garnethaven.engine.engine import Engine
from garnethaven.membership.list_reader import number_of
from garnethaven.ops.cordons import CordonError
from garnethaven.ops.figures import EndpointCounts, render
from garnethaven.ops.front import Front, Routes
from garnethaven.ops.shared import SharedCordons

POLL_INTERVAL_S = 0.1  # a cordon set in another process applies here within the grace period


class Transport(Protocol):
    """Sends attempts to endpoints."""

    def by_hand(self, endpoint: int, out: bool) -> None: ...


class OperatorService:
    """Serves operators' calls and applies cordons, also those set in other processes of this sidecar.

    `on_process_count` is called with the number of other live processes whenever it changes.
    """

    def __init__(
        self,
        address: Address,
        engine: Engine,
        transport: Transport,
        shared: SharedCordons,
        class_names: Sequence[str],
        is_ready: Callable[[], bool],
        on_process_count: Callable[[int], None],
    ) -> None:
        self.engine = engine
        self.transport = transport
        self.shared = shared
        self.class_names = class_names
        self.is_ready = is_ready
        self.on_process_count = on_process_count
        self.other_processes = 0
        self.loop = asyncio.get_running_loop()
        self.timer: asyncio.TimerHandle | None = None
        routes = Routes()
        routes.exact[b"/_ready"] = (b"GET", self._ready)
        routes.exact[b"/_vars"] = (b"GET", self._metrics)
        routes.prefixed[b"/_endpoints/detach/"] = (b"POST", lambda name: self._set_cordoned(name, True))
        routes.prefixed[b"/_endpoints/attach/"] = (b"POST", lambda name: self._set_cordoned(name, False))
        self.front = Front(address, routes, engine.log)

    def prepare(self) -> None:
        """Apply the cordons that an earlier process stored; must run before any attempt is sent."""
        self.shared.register()
        self._poll()

    async def open(self) -> None:
        await self.front.open()

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.front.close()
        self.shared.unregister()

    def _poll(self) -> None:
        self.timer = self.loop.call_later(POLL_INTERVAL_S, self._poll)
        self._apply(self.shared.poll_changes())
        other_processes = self.shared.count_other_processes()
        if other_processes != self.other_processes:
            self.other_processes = other_processes
            self.on_process_count(other_processes)

    # Calls

    def _ready(self, _: bytes) -> tuple[int, str]:
        return (200, "ready\n") if self.is_ready() else (503, "not ready\n")

    def _metrics(self, _: bytes) -> tuple[int, str]:
        balancer = self.engine.balancer
        endpoint_counts = EndpointCounts(len(balancer.servers), balancer.excluded_count())
        return 200, render(self.engine.account, self.class_names, endpoint_counts)

    def _set_cordoned(self, name: bytes, cordoned: bool) -> tuple[int, str]:
        try:
            endpoint = name.decode()
        except UnicodeDecodeError:
            return 404, "no such endpoint\n"
        listed = number_of(endpoint) in self.engine.balancer.servers
        if not listed and endpoint not in self.shared.cordons.cordoned:
            return 404, "no such endpoint\n"
        saved, changes = True, [(endpoint, cordoned)]
        try:
            changes += [
                change for change in self.shared.set_cordoned(endpoint, cordoned) if change[0] != endpoint
            ]
        except CordonError as problem:
            return 503, f"{problem}\n"
        except OSError as problem:
            self.engine.log(f"cordon change of {endpoint} is not saved yet, the next poll retries: {problem}")
            saved = False
        self._apply(changes)
        return (200, "out\n" if cordoned else "in\n") if saved else (500, "done here, and not kept\n")

    def _apply(self, changes: list[tuple[str, bool]]) -> None:
        for endpoint, cordoned in changes:
            self.transport.by_hand(number_of(endpoint), cordoned)
