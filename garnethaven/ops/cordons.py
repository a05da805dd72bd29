"""The endpoints that operators have cordoned, and the text that stores them across restarts. No I/O here.

An endpoint is identified by its id in discovery. Operations are idempotent: a single uncordon undoes any
number of cordons.

A change that an operator requests from this process applies here at once. It is also *unsaved* until a text
that contains it is known to be stored; meanwhile it is merged with what another process writes.
"""

from __future__ import annotations

import json

VERSION = 1
MAX_CORDONED = 4096  # ids; keeps a caller from filling the memory
MAX_TEXT_BYTES = 1024 * 1024  # this program writes no longer text


class CordonError(Exception):
    """A text was not written by this program, or too many endpoints are cordoned."""


class Cordons:
    """The cordoned endpoints: they get no new attempts, whatever discovery reports."""

    def __init__(self, name: str) -> None:
        self.name = name  # the sidecar's; a text with another name is ignored
        self.cordoned: set[str] = set()
        self.unsaved: dict[str, bool] = {}  # this process's changes that are not known to be stored

    def cordon(self, endpoint: str) -> None:
        """Cordon an endpoint; raises CordonError if too many are cordoned to be stored."""
        if endpoint not in self.cordoned:
            self._check_limits(endpoint)
        self.cordoned.add(endpoint)
        self.unsaved[endpoint] = True

    def _check_limits(self, endpoint: str) -> None:
        if len(self.cordoned) >= MAX_CORDONED:
            raise CordonError(f"{MAX_CORDONED} endpoints are out already")
        if len(self._serialize(self.cordoned | {endpoint})) > MAX_TEXT_BYTES:
            raise CordonError(f"the ids of those that are out would be longer than {MAX_TEXT_BYTES} bytes")

    def uncordon(self, endpoint: str) -> None:
        self.cordoned.discard(endpoint)
        self.unsaved[endpoint] = False

    def serialize(self) -> str:
        """The text that stores the cordoned endpoints."""
        return self._serialize(self.cordoned)

    def _serialize(self, cordoned: set[str]) -> str:
        return json.dumps({"version": VERSION, "name": self.name, "out": sorted(cordoned)})

    def mark_saved(self) -> None:
        """Record that the current text has been stored."""
        self.unsaved.clear()

    def merge(self, text: str) -> list[tuple[str, bool]]:
        """Take over the cordons that another process wrote, with this process's unsaved changes on top.

        Returns the ids that become cordoned (True) or uncordoned (False). Raises CordonError, and changes
        nothing, if the text is incomplete or belongs to another sidecar.
        """
        cordoned = parse(text, self.name)
        for endpoint, is_cordoned in self.unsaved.items():
            (cordoned.add if is_cordoned else cordoned.discard)(endpoint)
        changes = [(endpoint_id, True) for endpoint_id in sorted(cordoned - self.cordoned)]
        changes += [(endpoint_id, False) for endpoint_id in sorted(self.cordoned - cordoned)]
        self.cordoned = cordoned
        return changes


def parse(text: str, name: str) -> set[str]:
    """The cordoned ids in a text; raises CordonError if it is incomplete or belongs to another sidecar."""
    try:
        document = json.loads(text)
        if document["version"] != VERSION or document["name"] != name:
            raise CordonError(
                f"version {document['version']!r} of sidecar {document['name']!r} can't be used here"
            )
        cordoned = document["out"]
    except (ValueError, KeyError, TypeError, RecursionError) as problem:
        raise CordonError(f"it cannot be read: {problem!r}") from None
    # Two processes may each have cordoned the maximum before they read each other's changes.
    if (
        not isinstance(cordoned, list)
        or len(cordoned) > 2 * MAX_CORDONED
        or not all(isinstance(endpoint, str) for endpoint in cordoned)
    ):
        raise CordonError(f"'out' is not a list of at most {2 * MAX_CORDONED} ids")
    return set(cordoned)
