"""Which endpoints operators have cordoned, and the text in which that outlives the process. No I/O here.

An endpoint is known by discovery's id. Calls are idempotent: one call back undoes any number of calls out.

A change that an operator has asked of this process stands here at once. Until the text that holds it is
known to be kept it is also *unsaved*: what another process writes meanwhile is merged with it.
"""

from __future__ import annotations

import json

VERSION = 1
MAX_CORDONED = 4096  # ids; against a caller that fills the memory
MAX_TEXT_BYTES = 1024 * 1024  # one that is longer was not written here


class CordonError(Exception):
    """A text is not what this program wrote, or there are too many."""


class Cordons:
    """The cordoned endpoints: nothing new is sent there, whatever discovery's list says."""

    def __init__(self, name: str) -> None:
        self.name = name  # the sidecar's: another's text is left alone
        self.cordoned: set[str] = set()
        self.unsaved: dict[str, bool] = {}  # this process's own changes that no text is known to keep

    def cordon(self, endpoint: str) -> None:
        """Raises CordonError where there are too many to keep."""
        if endpoint not in self.cordoned:
            self._check_room(endpoint)
        self.cordoned.add(endpoint)
        self.unsaved[endpoint] = True

    def _check_room(self, endpoint: str) -> None:
        if len(self.cordoned) >= MAX_CORDONED:
            raise CordonError(f"{MAX_CORDONED} endpoints are out already")
        if len(self._text(self.cordoned | {endpoint})) > MAX_TEXT_BYTES:
            raise CordonError(f"the ids of those that are out would be longer than {MAX_TEXT_BYTES} bytes")

    def uncordon(self, endpoint: str) -> None:
        self.cordoned.discard(endpoint)
        self.unsaved[endpoint] = False

    def text(self) -> str:
        return self._text(self.cordoned)

    def _text(self, out: set[str]) -> str:
        return json.dumps({"version": VERSION, "name": self.name, "out": sorted(out)})

    def saved(self) -> None:
        """The text of now is kept."""
        self.unsaved.clear()

    def read(self, text: str) -> list[tuple[str, bool]]:
        """Take over what another process wrote, with the own unsaved changes on top of it.

        Returns the ids that this takes out (True) or puts back. Raises CordonError where the text is not this
        sidecar's or not whole; nothing changes then.
        """
        out = parsed(text, self.name)
        for endpoint, is_out in self.unsaved.items():
            (out.add if is_out else out.discard)(endpoint)
        changes = [(one, True) for one in sorted(out - self.cordoned)]
        changes += [(one, False) for one in sorted(self.cordoned - out)]
        self.cordoned = out
        return changes


def parsed(text: str, name: str) -> set[str]:
    """The ids that a text says are out; CordonError where it is not this sidecar's or not whole."""
    try:
        told = json.loads(text)
        if told["version"] != VERSION or told["name"] != name:
            raise CordonError(f"it is of version {told['version']!r} and of {told['name']!r}")
        out = told["out"]
    except (ValueError, KeyError, TypeError, RecursionError) as problem:
        raise CordonError(f"it cannot be read: {problem!r}") from None
    # Two processes may each have taken out so many before they heard of each other.
    if (
        not isinstance(out, list)
        or len(out) > 2 * MAX_CORDONED
        or not all(isinstance(one, str) for one in out)
    ):
        raise CordonError(f"it holds no list of {2 * MAX_CORDONED} ids at the most")
    return set(out)
