"""A ZooKeeper ensemble on loopback, and the program's sources that follow it."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator, Iterable
from typing import Any

from msgspec.structs import replace

from garnethaven.membership.table import Membership, ZooKeeper, ZooKeeperHost
from standins.zookeeper.ensemble import Ensemble
from standins.zookeeper.sessions import Session
from tests.membership.estate import Estate, payload

ROOT = "/checks"


class World(Estate):
    def __init__(self, ensemble: Ensemble) -> None:
        super().__init__()
        self.ensemble = ensemble
        self.sessions: dict[int, Session] = {}

    # Servers

    def appear(self, *numbers: int, **changes: Any) -> None:
        """Create the nodes of these servers, each in a session of its own."""
        for number in numbers:
            session = self.sessions[number] = self.ensemble.create_session(40_000)
            self.ensemble.create_node(f"{ROOT}/n{number}", payload(number, **changes), session)

    def vanish(self, *numbers: int) -> None:
        for number in numbers:
            self.ensemble.expire(self.sessions[number].id)

    def numbers(self) -> Iterable[int]:
        return self.sessions

    # The program

    def registry(self, **changes: Any) -> ZooKeeper:
        hosts = tuple(ZooKeeperHost(("127.0.0.1", host.port)) for host in self.ensemble.hosts)
        return replace(ZooKeeper(hosts, ROOT, session_timeout_ms=1500, spread_ms=50), **changes)

    def follow(self, seed: int = 1, **changes: Any) -> None:
        self.follow_table(Membership(zookeeper=self.registry(**changes)), seed)

    @property
    def source(self) -> Any:
        return self.source_of("zookeeper")

    @property
    def client(self) -> Any:
        return self.source.client

    def own_session(self) -> int:
        return int(self.client.session.id)

    def serving(self) -> Any:
        """The host to which the program is connected."""
        return next(
            host
            for host in self.ensemble.hosts
            for line in host.connections
            if line.session is not None and line.session.id == self.own_session()
        )

    def age_s(self) -> float:
        return self.source.age_s()


@contextlib.asynccontextmanager
async def world(*numbers: int, follow: bool = True, tls: Any = None, **changes: Any) -> AsyncIterator[World]:
    """An ensemble with these servers, followed by the program if `follow`."""
    ensemble = await Ensemble(tls=tls).start()
    result = World(ensemble)
    try:
        ensemble.create_node(ROOT)
        result.appear(*numbers)
        if follow:
            result.follow(**changes)
            await result.sees(*numbers)
        yield result
    finally:
        if result.sources is not None:
            await result.sources.close()
        await ensemble.close()
