"""A registry on loopback and the sources that follow it, with what the decision module would be told."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator
from typing import Any

from msgspec.structs import replace

from garnethaven.config import Config
from garnethaven.interface import Endpoint, ListKind, State
from garnethaven.membership.model import number_of
from garnethaven.membership.sources import Sources
from garnethaven.membership.table import Membership, ZooKeeper, ZooKeeperHost
from garnethaven.settings import read_names, read_settings
from standins.zookeeper.ensemble import Ensemble
from standins.zookeeper.sessions import Session
from tests.loopback import facts, until

ROOT = "/checks"


def config(seed: int = 1) -> Config:
    told = facts()
    return Config(
        name="t",
        listen=("127.0.0.1", 999),
        discovery=("127.0.0.1", 9),
        seed=seed,
        memory_mb=64,
        sockets=256,
        known={},
        settings=read_settings(told),
        names=read_names(told),
    )


def payload(number: int, **changes: Any) -> bytes:
    told = {
        "host_port": f"10.0.{number // 250}.{number % 250 + 1}:80",
        "phase": "SERVING",
        "cell": number // 3,
    }
    return json.dumps(told | changes).encode()


def address(number: int) -> tuple[str, int]:
    return f"10.0.{number // 250}.{number % 250 + 1}", 80


class World:
    def __init__(self, ensemble: Ensemble) -> None:
        self.ensemble = ensemble
        self.sources: Sources = None  # type: ignore[assignment]
        self.module: dict[int, Endpoint] = {}
        self.handed_over = 0
        self.log: list[str] = []
        self.sessions: dict[int, Session] = {}

    def learn(self, kind: ListKind, entries: list[tuple[Endpoint, Any]]) -> None:
        assert kind is ListKind.DELTA
        self.handed_over += 1
        for entry, _ in entries:
            if entry.state is State.REMOVED:
                self.module.pop(entry.id, None)
            else:
                self.module[entry.id] = entry

    # Servers

    def appear(self, *numbers: int, **changes: Any) -> None:
        """Nodes of these servers, each of a session of its own."""
        for number in numbers:
            session = self.sessions[number] = self.ensemble.begin(40_000)
            self.ensemble.make(f"{ROOT}/n{number}", payload(number, **changes), session)

    def vanish(self, *numbers: int) -> None:
        for number in numbers:
            self.ensemble.expire(self.sessions[number].id)

    def up(self) -> set[int]:
        known = {number_of(address(number)): number for number in self.sessions}
        return {known[one] for one, entry in self.module.items() if entry.state is State.UP}

    async def sees(self, *numbers: int) -> None:
        await until(lambda: self.up() == set(numbers))

    def entry(self, number: int) -> Endpoint:
        return self.module[number_of(address(number))]

    # The program's side

    def registry(self, **changes: Any) -> ZooKeeper:
        hosts = tuple(ZooKeeperHost(("127.0.0.1", host.port)) for host in self.ensemble.hosts)
        return replace(ZooKeeper(hosts, ROOT, session_timeout_ms=1500, spread_ms=50), **changes)

    def follow(self, seed: int = 1, **changes: Any) -> None:
        settings = Membership(zookeeper=self.registry(**changes))
        loop = asyncio.get_running_loop()
        self.sources = Sources(settings, config(seed), loop, self.learn, self.log.append)
        self.sources.start()

    @property
    def source(self) -> Any:
        return self.sources.registries["zookeeper"]

    @property
    def client(self) -> Any:
        return self.source.client

    def own_session(self) -> int:
        return int(self.client.session.id)

    def serving(self) -> Any:
        """The host that serves the program."""
        return next(
            host
            for host in self.ensemble.hosts
            for line in host.lines
            if line.session is not None and line.session.id == self.own_session()
        )

    def age_s(self) -> float:
        return self.source.age_s()


@contextlib.asynccontextmanager
async def world(*numbers: int, follow: bool = True, tls: Any = None, **changes: Any) -> AsyncIterator[World]:
    """A registry with these servers, and the program that follows it."""
    ensemble = await Ensemble(tls=tls).start()
    made = World(ensemble)
    try:
        ensemble.make(ROOT)
        made.appear(*numbers)
        if follow:
            made.follow(**changes)
            await made.sees(*numbers)
        yield made
    finally:
        if made.sources is not None:
            await made.sources.close()
        await ensemble.close()
