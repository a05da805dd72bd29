"""Test cluster shared by the rigs: check servers, a discovery server and the real program before them."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import AsyncIterator, Sequence
from dataclasses import replace
from typing import Any, Protocol, TypeVar

from rigs.report import Progress
from standins.check_server import CheckServer, Rack
from standins.clients import Application, ApplicationSettings, ConnectionAllowance, IdleClients
from standins.discovery import Discovery
from standins.ledger import Ledger
from standins.platform import (
    COLD_SHARE,
    GRACE_S,
    OVERLOAD_FACTOR,
    OVERLOAD_WINDOW_S,
    WINDOW_S,
    Program,
    settings,
)

POLL_INTERVAL_S = 0.25
DISCOVERY_DELAY_S = 0.8  # from a change of a server to its publication


class Stage:
    """The program and the peers of one rig; all randomness comes from `seed`."""

    def __init__(
        self,
        seed: int,
        servers: int,
        sockets: int,
        ramp_s: float = 6.0,
        work_s: float = 0.08,
        ledger: Ledger | None = None,
        prefix: str = "s",
    ) -> None:
        self.rng = random.Random(seed)
        self.seed = seed
        self.sockets = sockets
        self.ramp_s = ramp_s
        self.work_s = work_s
        self.ledger = ledger or Ledger(WINDOW_S, GRACE_S, OVERLOAD_FACTOR, OVERLOAD_WINDOW_S, COLD_SHARE)
        self.prefix = prefix  # of the servers' names
        self.progress = Progress(self.ledger)
        self.discovery = Discovery(self.ledger)
        self.allowance = ConnectionAllowance(sockets // 3)
        self.racks = [Rack(cell, WINDOW_S) for cell in range(max(1, servers // 3))]
        self.servers = [self._new_server(number) for number in range(servers)]
        self.next_server_number = servers
        self.program: Program | None = None
        self.publishes_servers = True  # whether discovery publishes the servers

    def _new_server(self, number: int) -> CheckServer:
        rack = self.racks[number % len(self.racks)]
        rng = random.Random(self.rng.getrandbits(32))
        return CheckServer(
            f"{self.prefix}{number}", rack, self.ledger, rng, work_s=self.work_s, ramp_s=self.ramp_s
        )

    async def open_peers(self) -> None:
        """Start the check servers and discovery."""
        for server in self.servers:
            await server.start()
        await self.discovery.start()

    async def up(
        self, document: dict[str, Any] | None = None, environment: dict[str, str] | None = None
    ) -> Program:
        """Start the program, and its peers first where they do not run yet."""
        if not self.discovery.port:
            await self.open_peers()
        if self.publishes_servers:
            self.discovery.publish(server.member() for server in self.servers)
        self.discovery.known_at.clear()  # the program starts with this list
        self.program = Program(
            self.discovery.port,
            self.rng.getrandbits(32),
            self.discovery.snapshot(),
            document or settings(ramp_s=self.ramp_s),
            sockets=self.sockets,
            environment=environment,
        )
        return await self.program.start()

    async def down(self) -> int:
        assert self.program is not None
        code = await self.program.stop()
        self.program.cleanup()
        for server in self.servers:
            await server.close()
        self.discovery.close()
        return code

    def application(self, name: str, application_settings: ApplicationSettings) -> Application:
        assert self.program is not None
        rng = random.Random(self.rng.getrandbits(32))
        return Application(name, self.program.port, self.ledger, self.allowance, rng, application_settings)

    def guests(self, name: str) -> IdleClients:
        assert self.program is not None
        rng = random.Random(self.rng.getrandbits(32))
        return IdleClients(name, self.program.port, self.ledger, self.allowance, rng)

    def mark_open_requests_lost(self) -> None:
        """Mark unanswered HTTP/1.1 requests as lost, before a kill; their clients have to retry."""
        for sent in self.ledger.sent.values():
            if sent.final is None and sent.id.startswith("http-"):
                sent.abandoned = True

    # Faults

    async def outage(self, servers: list[CheckServer], seconds: float) -> None:
        """Crash servers at once and restart them cold after `seconds`, under the same entries."""
        for server in servers:
            server.crash()
        await asyncio.sleep(seconds)
        for server in servers:
            await server.start(cold=True)
        await asyncio.sleep(DISCOVERY_DELAY_S)
        self.discovery.publish(server.member() for server in servers)

    async def replace(self, server: CheckServer) -> CheckServer:
        """One step of a rolling release: start a new server, then drain and remove the old one."""
        new = self._new_server(self.next_server_number)
        self.next_server_number += 1
        await new.start(cold=True)
        self.servers.append(new)
        await asyncio.sleep(0.2)
        server.draining = True
        self.discovery.publish([new.member(), server.member("DRAINING")])
        await asyncio.sleep(0.6)
        server.crash()
        self.discovery.publish([server.member("DELETED")])
        self.servers.remove(server)
        return new

    async def watch(self, waits_s: float) -> None:
        """Until cancelled, record which published changes the program should have by now."""
        while True:
            self.discovery.expire_pending_updates(waits_s)
            await asyncio.sleep(POLL_INTERVAL_S)


@contextlib.asynccontextmanager
async def tracking_published_changes(stage: Stage, waits_s: float = 2.0) -> AsyncIterator[None]:
    """Run `stage.watch` in the background."""
    task = asyncio.create_task(stage.watch(waits_s))
    try:
        yield
    finally:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


def recovered_after(
    ledger: Ledger, cause_ended: float, aim_s: float, until: float, share: float = 0.9
) -> float:
    """Seconds from the end of a cause until at least `share` of the first tries are served in time.

    The share must hold in every window of 0.5 s from there to `until`; windows with fewer than 5 first tries
    are ignored.
    """
    width = 0.5
    last_bad = cause_ended
    start = cause_ended
    while start + width <= until:
        in_time, tries = ledger.in_time(aim_s, start, start + width)
        if tries >= 5 and in_time < share * tries:
            last_bad = start + width
        start += width
    return last_bad - cause_ended


class Timed(Protocol):
    """An act of a rig with a duration; a frozen dataclass."""

    @property
    def seconds(self) -> float: ...


A = TypeVar("A", bound=Timed)


def select_acts(acts: Sequence[A], calm_s: float, seconds: float | None, min_s: float) -> list[A]:
    """Select the acts that fit into `seconds`; all of them where it is None.

    The first act is always included and lasts at least `min_s`.
    """
    if seconds is None:
        return list(acts)
    first: Any = acts[0]
    length = max(min_s, min(first.seconds, seconds - calm_s))
    chosen: list[A] = [replace(first, seconds=length)]
    length += calm_s
    for act in acts[1:]:
        if length + act.seconds > seconds:
            break
        chosen.append(act)
        length += act.seconds
    return chosen


def now() -> float:
    return time.monotonic()
