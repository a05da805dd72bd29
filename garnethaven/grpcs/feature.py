"""The gRPC feature: creates the front and the transport to the servers' gRPC ports."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from garnethaven.addresses import Address
from garnethaven.feature import Feature
from garnethaven.grpcs.front import Front, client_tls
from garnethaven.grpcs.table import Grpc
from garnethaven.grpcs.transport import GrpcTransport
from garnethaven.parts import Parts

if TYPE_CHECKING:
    from garnethaven.keys.keyring import KeyPaths, Keyring

CERTIFICATE_CHECK_S = 2.0  # between two checks of the certificate files


def paths_of(table: Grpc) -> KeyPaths:
    from garnethaven.keys.keyring import KeyPaths

    return KeyPaths(table.cert, table.key, table.client_ca, table.revoked, table.peers)


def keyring_of(table: Grpc, log: Callable[[str], None]) -> Keyring:
    """Load the certificates; raises OSError if a file cannot be used."""
    from garnethaven.keys.keyring import Keyring

    return Keyring(paths_of(table), ["h2"], log)


class GrpcFeature(Feature[Grpc, Parts]):
    name = "grpc"

    def __init__(self, table: Grpc, parts: Parts) -> None:
        super().__init__(table, parts)
        self.front: Front | None = None
        self.keyring: Keyring | None = None
        self.check_timer: asyncio.TimerHandle | None = None

    async def open(self) -> None:
        if self.table.listen is None:
            return
        parts = self.parts
        server_tls = client_tls(self.table) if self.table.server_ca else None
        transport = GrpcTransport(parts.engine, parts.loop, self._address_of, server_tls)
        if self.table.cert:
            self.keyring = keyring_of(self.table, self._log)
            self._check_certificates()
        tls_options = (
            (self.keyring.context, self.keyring.is_allowed_client) if self.keyring is not None else ()
        )
        self.front = Front(self.table, parts.engine, transport, parts.listener.classes, *tls_options)
        await self.front.start(self.table.listen)

    def _log(self, text: str) -> None:
        self.parts.engine.log(f"grpc: {text}")

    def _check_certificates(self) -> None:
        assert self.keyring is not None
        self.check_timer = self.parts.loop.call_later(CERTIFICATE_CHECK_S, self._check_certificates)
        self.keyring.reload_if_changed()

    def _address_of(self, endpoint: int) -> Address | None:
        target = self.parts.transport.targets.get(endpoint)
        if target is None or target.address is None:
            return None
        host, port = target.address
        return host, port + self.table.port_offset

    def renew(self, wanted: Grpc) -> list[str]:
        needing_restart = super().renew(wanted)
        if self.front is not None and bool(wanted.cert) != (self.keyring is not None):
            needing_restart.append("grpc.cert")  # the change between cleartext and TLS
        return needing_restart

    def renewed(self) -> None:
        if self.front is not None:
            self.front.renew(self.table)
        if self.keyring is not None and self.table.cert:
            self.keyring.reload(paths_of(self.table))

    async def close(self) -> None:
        if self.check_timer is not None:
            self.check_timer.cancel()

    async def drain(self, grace_s: float) -> None:
        if self.front is not None:
            await self.front.close(grace_s)

    def figures(self) -> dict[str, int]:
        if self.front is None:
            return {}
        refusals = {"clients_refused": self.keyring.refused_clients} if self.keyring is not None else {}
        return refusals | {
            "connections": len(self.front.connections),
            "streams": sum(len(connection.streams) for connection in self.front.connections),
        }


FEATURE = GrpcFeature
