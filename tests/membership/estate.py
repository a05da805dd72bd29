"""The sources that follow a registry on loopback, and the list that the decision module receives."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Iterable
from typing import Any

from garnethaven.config import Config
from garnethaven.interface import Endpoint, ListKind, State
from garnethaven.membership.model import number_of
from garnethaven.membership.sources import Sources
from garnethaven.membership.table import Membership
from garnethaven.settings import read_names, read_settings
from tests.loopback import settings_document, wait_until


def config(seed: int = 1) -> Config:
    settings = settings_document()
    return Config(
        name="t",
        listen=("127.0.0.1", 999),
        discovery=("127.0.0.1", 9),
        seed=seed,
        memory_mb=64,
        sockets=256,
        known={},
        settings=read_settings(settings),
        names=read_names(settings),
    )


def payload(number: int, **changes: Any) -> bytes:
    fields = {
        "host_port": f"10.0.{number // 250}.{number % 250 + 1}:80",
        "phase": "SERVING",
        "cell": number // 3,
    }
    return json.dumps(fields | changes).encode()


def address(number: int) -> tuple[str, int]:
    return f"10.0.{number // 250}.{number % 250 + 1}", 80


class Estate:
    """The followed sources, the resulting servers, and the log lines."""

    def __init__(self) -> None:
        self.known_endpoints: dict[int, Endpoint] = {}
        self.delta_count = 0
        self.received_deltas: list[list[Endpoint]] = []
        self.log: list[str] = []
        self.sources: Sources | None = None

    def learn(self, kind: ListKind, entries: list[tuple[Endpoint, Any]]) -> None:
        assert kind is ListKind.DELTA
        self.delta_count += 1
        self.received_deltas.append([entry for entry, _ in entries])
        for entry, _ in entries:
            if entry.state is State.REMOVED:
                self.known_endpoints.pop(entry.id, None)
            else:
                self.known_endpoints[entry.id] = entry

    def follow_table(self, settings: Membership, seed: int = 1) -> None:
        loop = asyncio.get_running_loop()
        self.sources = Sources(settings, config(seed), loop, self.learn, self.log.append)
        self.sources.start()

    def source_of(self, name: str) -> Any:
        assert self.sources is not None
        return self.sources.registries[name]

    def numbers(self) -> Iterable[int]:
        """The numbers of all servers that a test may use."""
        return range(100)

    def up(self) -> set[int]:
        """The numbers of the servers whose state is UP."""
        known = {number_of(address(number)): number for number in self.numbers()}
        return {
            known[server_id] for server_id, entry in self.known_endpoints.items() if entry.state is State.UP
        }

    async def sees(self, *numbers: int) -> None:
        await wait_until(lambda: self.up() == set(numbers))

    def entry(self, number: int) -> Endpoint:
        return self.known_endpoints[number_of(address(number))]

    async def close(self) -> None:
        if self.sources is not None:
            await self.sources.close()


async def stays_true(condition: Callable[[], bool], seconds: float) -> None:
    """Assert that the condition stays true for this many seconds."""
    end = asyncio.get_running_loop().time() + seconds
    while asyncio.get_running_loop().time() < end:
        assert condition()
        await asyncio.sleep(0.01)
