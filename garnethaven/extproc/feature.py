"""The external processor as a feature of the sidecar."""

from __future__ import annotations

from garnethaven.extproc.front import Front
from garnethaven.extproc.table import ExternalProcessor
from garnethaven.feature import Feature
from garnethaven.parts import Parts


class ProcessorFeature(Feature[ExternalProcessor, Parts]):
    name = "external_processor"

    def __init__(self, table: ExternalProcessor, parts: Parts) -> None:
        super().__init__(table, parts)
        self.front: Front | None = None

    async def open(self) -> None:
        if self.table.listen is not None:
            parts = self.parts
            self.front = Front(self.table, parts.engine, parts.transport, parts.listener.classes)
            await self.front.start(self.table.listen)

    def renewed(self) -> None:
        if self.front is not None:
            self.front.renew(self.table)

    async def drain(self, grace_s: float) -> None:
        if self.front is not None:
            await self.front.close(grace_s)

    def figures(self) -> dict[str, int]:
        front = self.front
        if front is None:
            return {}
        return {
            "streams": front.streams,
            "refused_early": front.refused_early,
            "tokens_checked": front.tokens_checked,
            "tokens_rejected": front.tokens_rejected,
        }


FEATURE = ProcessorFeature
