"""Who is out by hand, and the text in which that outlives the process. No I/O here.

An endpoint is known by discovery's id. Calls are idempotent: out twice is out, one call back undoes both.
"""

from __future__ import annotations

import json

VERSION = 1
MOST = 4096  # ids; against a caller that fills the memory. More endpoints than that are never out by hand


class BansError(Exception):
    """A text is not what this program wrote, or there are too many."""


class Bans:
    """The endpoints that are out."""

    def __init__(self, name: str) -> None:
        self.name = name  # the sidecar's: another's text is left alone
        self.out: set[str] = set()

    def take_out(self, endpoint: str) -> None:
        if endpoint not in self.out and len(self.out) >= MOST:
            raise BansError(f"{MOST} endpoints are out already")
        self.out.add(endpoint)

    def put_back(self, endpoint: str) -> None:
        self.out.discard(endpoint)

    def text(self) -> str:
        return json.dumps({"version": VERSION, "name": self.name, "out": sorted(self.out)})

    def read(self, text: str) -> list[tuple[str, bool]]:
        """Take over what another process wrote; the ids that this takes out (True) or puts back."""
        out = parsed(text, self.name)
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
    if not isinstance(out, list) or len(out) > MOST or not all(isinstance(one, str) for one in out):
        raise BansError(f"it holds no list of {MOST} ids at the most")
    return set(out)
