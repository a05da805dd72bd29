"""Names on the wire and the module's numbers for them."""

from __future__ import annotations

from garnethaven.interface import Effect, Settings
from garnethaven.settings import Names, numbered


class Classes:
    """Finds a request's class and tenant by name."""

    def __init__(self, settings: Settings, names: Names) -> None:
        self.settings = settings
        self.grades = numbered(names.grades)
        self.tenants = numbered(names.tenants)

    def grade_of(self, name: str, keyed: bool) -> int | None:
        """The class's number; of its unsafe twin where nothing may be repeated; None for no class."""
        index = self.grades.get(name)
        if index is not None and self.settings.grades[index].effect is Effect.DEDUP and not keyed:
            index += len(self.grades)
        return index

    def tenant_of(self, name: str) -> int:
        """The tenant's number, or -1 for one that the settings do not name."""
        return self.tenants.get(name, -1)


def key_of(query: bytes) -> str:
    """What a request is about, where its query tells; as it was sent, so that all fronts place it alike."""
    for part in query.split(b"&"):
        if part.startswith(b"user="):
            return part[5:].decode("latin-1")
    return ""
