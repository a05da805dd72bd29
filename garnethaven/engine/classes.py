"""Maps class and tenant names on the wire to their indexes in the settings."""

from __future__ import annotations

from garnethaven.interface import Idempotency, Settings
from garnethaven.settings import Names, index_by_name


class Classes:
    """Looks up classes and tenants by name."""

    def __init__(self, settings: Settings, names: Names) -> None:
        self.settings = settings
        self.class_indexes = index_by_name(names.request_classes)
        self.tenants = index_by_name(names.tenants)

    def class_index(self, name: str, keyed: bool) -> int | None:
        """The class's index, or its twin's for a deduplicated class without a key; None if unknown."""
        index = self.class_indexes.get(name)
        if (
            index is not None
            and self.settings.request_classes[index].effect is Idempotency.DEDUP
            and not keyed
        ):
            index += len(self.class_indexes)
        return index

    def tenant_index(self, name: str) -> int:
        """The tenant's index, or -1 if the settings do not name it."""
        return self.tenants.get(name, -1)


def affinity_key(query: bytes) -> str:
    """Affinity key: the `user` query parameter, as sent (percent-encoded) so that all fronts agree."""
    for part in query.split(b"&"):
        if part.startswith(b"user="):
            return part[5:].decode("latin-1")
    return ""
