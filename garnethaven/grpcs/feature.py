"""gRPC in one program: the front, and the transport to the servers' gRPC ports."""

from __future__ import annotations

from garnethaven.addresses import Address
from garnethaven.feature import Feature
from garnethaven.grpcs.front import Front, client_tls
from garnethaven.grpcs.table import Grpc
from garnethaven.grpcs.transport import GrpcTransport
from garnethaven.parts import Parts


class GrpcFeature(Feature[Grpc, Parts]):
    name = "grpc"

    def __init__(self, table: Grpc, parts: Parts) -> None:
        super().__init__(table, parts)
        self.front: Front | None = None

    async def open(self) -> None:
        if self.table.listen is None:
            return
        parts = self.parts
        tls = client_tls(self.table) if self.table.server_ca else None
        carrier = GrpcTransport(parts.engine, parts.loop, self._address_of, tls)
        self.front = Front(self.table, parts.engine, carrier, parts.listener.classes)
        await self.front.start(self.table.listen)

    def _address_of(self, endpoint: int) -> Address | None:
        target = self.parts.transport.targets.get(endpoint)
        if target is None or target.address is None:
            return None
        host, port = target.address
        return host, port + self.table.port_offset

    def renewed(self) -> None:
        if self.front is not None:
            self.front.renew(self.table)

    async def drain(self, grace_s: float) -> None:
        if self.front is not None:
            await self.front.close(grace_s)

    def figures(self) -> dict[str, int]:
        if self.front is None:
            return {}
        return {
            "connections": len(self.front.lines),
            "streams": sum(len(line.streams) for line in self.front.lines),
        }


FEATURE = GrpcFeature
