"""A fleet of sidecars that are peers: a datagram link between any two of them, with `NetworkConditions`."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Iterable
from pathlib import Path
from random import Random
from typing import Any

from rigs.fleet import Fleet, Plan
from rigs.schedule import Fault, parse_weather
from standins.clients import Application, ApplicationSettings
from standins.ports import PORTS
from standins.weather import DatagramLink, NetworkConditions
from standins.wire import read_message, request

KEY = "000102030405060708090a0b0c0d0e0f"
VIEW_TIMEOUT_S = 1.0


class PeerFleet(Fleet):
    """A fleet of sidecars with peering enabled.

    `tables` is the text of the operator file without `[peers]` and `[limits]`, which are generated. `peers`
    is text for the table `[peers]` of all sidecars, for example a `period_s`.
    """

    def __init__(self, seed: int, plan: Plan, tables: str, peers: str = "") -> None:
        super().__init__(seed, plan)
        self.tables = tables
        self.peers = peers
        self.weather = NetworkConditions(Random(self.rng.getrandbits(32)))
        self.ports: dict[str, int] = {}
        self.views: dict[str, int] = {}
        self.mesh: dict[tuple[str, str], DatagramLink] = {}
        self.applications: dict[tuple[str, str], Application] = {}

    async def meet(self) -> None:
        names = list(self.nodes)
        self.ports = {name: PORTS.next_free() for name in names}
        self.views = {name: PORTS.next_free() for name in names}
        for name in names:
            for other in names:
                if other != name:
                    link = DatagramLink(self.weather, name, other, self.ports[other])
                    self.mesh[name, other] = await link.open()
        for name in names:
            node = self.nodes[name]
            operator_path = Path(node.program.temporary_folder.name) / "operator.toml"
            operator_path.write_text(self.operator_of(name))
            node.program.environment["NODE_OPERATOR"] = str(operator_path)

    def operator_of(self, name: str) -> str:
        """Return the operator file of one sidecar; peers are listed under the ports of the links to them."""
        members = [
            f'"{other}=127.0.0.1:{self.mesh[name, other].port}"' for other in self.nodes if other != name
        ]
        return "\n".join(
            [
                "[limits]",
                f'view = "127.0.0.1:{self.views[name]}"',
                "[peers]",
                f'listen = "127.0.0.1:{self.ports[name]}"',
                f'key = "{KEY}"',
                f"members = [{', '.join(members)}]",
                self.peers,
                self.tables,
            ]
        )

    def retable(self, names: Iterable[str], tables: str) -> None:
        """Reload these sidecars with operator files made from other tables."""
        self.tables = tables
        for name in names:
            program = self.nodes[name].program
            Path(program.environment["NODE_OPERATOR"]).write_text(self.operator_of(name))
            program.reload()

    async def close(self) -> list[int]:
        codes = await super().close()
        for link in self.mesh.values():
            link.close()
        return codes

    # Sending

    async def ask(
        self, names: Iterable[str], tenant: str, rate: float, seconds: float, **setting_fields: Any
    ) -> None:
        """Send a tenant's requests to each of these sidecars, without client retries.

        `rate` is requests a second at each sidecar; `setting_fields` are fields of `ApplicationSettings`.
        """
        applications = [self._application(name, tenant, setting_fields) for name in names]
        for application in applications:
            application.settings.rate = rate
        await asyncio.gather(*(application.run(seconds) for application in applications))

    def _application(self, name: str, tenant: str, setting_fields: dict[str, Any]) -> Application:
        existing = self.applications.get((name, tenant))
        if existing is not None:
            return existing
        application_settings = ApplicationSettings(retries=0, tenant=tenant, **setting_fields)
        rng, allowance = Random(self.rng.getrandbits(32)), self.nodes[name].application.allowance
        port = self.nodes[name].program.port
        application = Application(
            f"{tenant}-{name}", port, self.ledger, allowance, rng, application_settings, via=name
        )
        self.applications[name, tenant] = application
        return application

    async def settle(self) -> None:
        await asyncio.gather(*(application.settle() for application in self.applications.values()))

    # Faults

    def _crossing_pairs(self, group: Iterable[str]) -> list[tuple[str, str]]:
        """Return the pairs of a member inside the group and one outside."""
        inside = set(group)
        return [(member, other) for member in inside for other in self.nodes if other not in inside]

    async def _interrupt(self, pairs: Iterable[tuple[str, str]], seconds: float) -> None:
        newly_cut = set(pairs) - self.weather.cut
        self.weather.cut |= newly_cut
        await asyncio.sleep(seconds)
        self.weather.cut -= newly_cut

    async def do_part(self, fault: Fault) -> None:
        pairs = self._crossing_pairs(fault.targets)
        await self._interrupt(pairs + [(other, member) for member, other in pairs], fault.for_s)

    async def do_deafen(self, fault: Fault) -> None:
        await self._interrupt(
            [(other, member) for member, other in self._crossing_pairs(fault.targets)], fault.for_s
        )

    async def do_weather(self, fault: Fault) -> None:
        parameters, weather = parse_weather(fault.targets), self.weather
        weather.loss, weather.repeat = parameters.get("loss", 0.0), parameters.get("repeat", 0.0)
        weather.delay_s, weather.jitter_s = parameters.get("delay", 0.0), parameters.get("jitter", 0.0)
        await asyncio.sleep(fault.for_s)
        weather.loss = weather.delay_s = weather.jitter_s = weather.repeat = 0.0

    # What sidecars report of themselves, for figures that no socket shows; never used for the ledger's rules

    async def view(self, name: str) -> dict[str, Any]:
        """Return the operators' view of one sidecar; empty if it does not answer within `VIEW_TIMEOUT_S`."""
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            async with asyncio.timeout(VIEW_TIMEOUT_S):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.views[name])
                writer.write(request("GET", "/-/limits", {"Host": "rig", "Connection": "close"}))
                response = await read_message(reader)
                writer.close()
                if response is not None and response.status == 200:
                    view: dict[str, Any] = json.loads(response.body)
                    return view["features"]  # type: ignore[no-any-return]
        return {}

    def bytes_sent(self, name: str) -> int:
        """Return the bytes that one sidecar has sent to its peers, counted by the links."""
        outbound = sum(link.bytes[False] for (source, _), link in self.mesh.items() if source == name)
        return outbound + sum(link.bytes[True] for (_, target), link in self.mesh.items() if target == name)
