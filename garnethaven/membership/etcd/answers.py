"""What answers of a watch say to the core: fragments put together, revisions in their order. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from garnethaven.membership.catchup import CatchUp, Entry, Order
from garnethaven.membership.payloads import PAYLOAD_MOST

DELETE = 1
PROGRESS_ID = -1  # the answer to a progress request belongs to no watch
FRAGMENTS_MOST = 10_000  # events that wait for their last fragment; beyond it the answer is no watch's

Change = tuple[str, Entry | None]


class WatchEnded(Exception):  # noqa: N818 - the registry's word that a watch has ended
    """Why the registry ended the watch."""


class Answers:
    """One watch's answers, in the order in which they came."""

    def __init__(self, core: CatchUp, name_of: Callable[[bytes], str]) -> None:
        self.core = core
        self.name_of = name_of
        self.parts: list[Any] = []
        self.created = False

    def take(self, answer: Any) -> list[Order]:
        """Raises WatchEnded."""
        if answer.canceled:
            if answer.compact_revision:
                return self.core.compacted()
            raise WatchEnded(answer.cancel_reason or "the registry ended the watch")
        if answer.created:
            self.created = True
            return self.core.watching(answer.header.revision)
        self.parts += answer.events
        if answer.fragment:
            if len(self.parts) > FRAGMENTS_MOST:
                raise WatchEnded("one revision has too many changes")
            return []
        if not self.parts:
            return self.core.quiet(answer.header.revision)
        events, self.parts = self.parts, []
        last = max(event.kv.mod_revision for event in events)
        return self.core.changes(last, [self._change(event) for event in events])

    def _change(self, event: Any) -> Change:
        name = self.name_of(event.kv.key)
        return (name, None) if event.type == DELETE else (name, entry_of(event.kv))


def entry_of(kv: Any) -> Entry:
    """A key as it is held; of a value that is too large only so much that it is seen to be."""
    return Entry(kv.value[: PAYLOAD_MOST + 1], kv.create_revision, kv.mod_revision)
