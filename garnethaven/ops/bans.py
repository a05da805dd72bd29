"""Who is out by hand, and the text in which that outlives the process. No I/O here.

An endpoint is known by discovery's id. Calls are idempotent: out twice is out, one call back undoes both.

A change that an operator has asked of this process stands here at once. Until the text that holds it is
known to be kept it is also *unsaved*: what another process writes meanwhile is merged with it.
"""

from __future__ import annotations

import json

VERSION = 1
MOST = 4096  # ids; against a caller that fills the memory. More endpoints than that are never out by hand
TEXT_MOST = 1024 * 1024  # bytes of the text; one that is longer was not written here


class BansError(Exception):
    """A text is not what this program wrote, or there are too many."""


class Bans:
    """The endpoints that are out."""

    def __init__(self, name: str) -> None:
        self.name = name  # the sidecar's: another's text is left alone
        self.out: set[str] = set()
        self.unsaved: dict[str, bool] = {}  # this process's own changes that no text is known to keep

    def take_out(self, endpoint: str) -> None:
        """Raises BansError where there are too many to keep."""
        if endpoint not in self.out:
            self._check_room(endpoint)
        self.out.add(endpoint)
        self.unsaved[endpoint] = True

    def _check_room(self, endpoint: str) -> None:
        if len(self.out) >= MOST:
            raise BansError(f"{MOST} endpoints are out already")
        if len(self._text(self.out | {endpoint})) > TEXT_MOST:
            raise BansError(f"the ids of those that are out would be longer than {TEXT_MOST} bytes")

    def put_back(self, endpoint: str) -> None:
        self.out.discard(endpoint)
        self.unsaved[endpoint] = False

    def text(self) -> str:
        return self._text(self.out)

    def _text(self, out: set[str]) -> str:
        return json.dumps({"version": VERSION, "name": self.name, "out": sorted(out)})

    def saved(self) -> None:
        """The text of now is kept."""
        self.unsaved.clear()

    def read(self, text: str) -> list[tuple[str, bool]]:
        """Take over what another process wrote, with the own unsaved changes on top of it.

        Returns the ids that this takes out (True) or puts back. Raises BansError where the text is not this
        sidecar's or not whole; nothing changes then.
        """
        out = parsed(text, self.name)
        for endpoint, is_out in self.unsaved.items():
            (out.add if is_out else out.discard)(endpoint)
        changes = [(one, True) for one in sorted(out - self.out)]
        changes += [(one, False) for one in sorted(self.out - out)]
        self.out = out
        return changes


def parsed(text: str, name: str) -> set[str]:
    """The ids that a text says are out; BansError where it is not this sidecar's or not whole."""
    try:
        told = json.loads(text)
        if told["version"] != VERSION or told["name"] != name:
            raise BansError(f"it is of version {told['version']!r} and of {told['name']!r}")
        out = told["out"]
    except (ValueError, KeyError, TypeError, RecursionError) as problem:
        raise BansError(f"it cannot be read: {problem!r}") from None
    # Two processes may each have taken out so many before they heard of each other.
    if not isinstance(out, list) or len(out) > 2 * MOST or not all(isinstance(one, str) for one in out):
        raise BansError(f"it holds no list of {2 * MOST} ids at the most")
    return set(out)
