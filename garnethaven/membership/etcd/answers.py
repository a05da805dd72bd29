"""Passes the answers of a watch to the catch-up logic, with fragments reassembled. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from garnethaven.membership.catchup import CatchUp, Entry, SyncAction
from garnethaven.membership.payloads import MAX_PAYLOAD_BYTES

DELETE = 1
PROGRESS_ID = -1  # the watch id of answers to progress requests
MAX_FRAGMENT_EVENTS = 10_000  # events buffered until the last fragment; above it the watch is ended

Change = tuple[str, Entry | None]


class WatchEnded(Exception):  # noqa: N818 - an end that the registry announced
    """The registry ended the watch; the text is its reason."""


class WatchAnswers:
    """Handles the answers of one watch in the order of their arrival."""

    def __init__(self, catch_up: CatchUp, name_of: Callable[[bytes], str]) -> None:
        self.catch_up = catch_up
        self.name_of = name_of
        self.fragments: list[Any] = []
        self.created = False

    def take(self, answer: Any) -> list[SyncAction]:
        """The orders that follow from an answer; raises WatchEnded."""
        if answer.canceled:
            if answer.compact_revision:
                return self.catch_up.compacted()
            raise WatchEnded(answer.cancel_reason or "the registry ended the watch")
        if answer.created:
            self.created = True
            return self.catch_up.watching(answer.header.revision)
        self.fragments += answer.events
        if answer.fragment:
            if len(self.fragments) > MAX_FRAGMENT_EVENTS:
                raise WatchEnded("one revision has too many changes")
            return []
        if not self.fragments:
            return self.catch_up.progress(answer.header.revision)
        events, self.fragments = self.fragments, []
        last_revision = max(event.kv.mod_revision for event in events)
        return self.catch_up.changes(last_revision, [self._change(event) for event in events])

    def _change(self, event: Any) -> Change:
        name = self.name_of(event.kv.key)
        return (name, None) if event.type == DELETE else (name, entry_of(event.kv))


def entry_of(kv: Any) -> Entry:
    """The entry of a key; a value above the size limit is cut to one byte more than the limit."""
    return Entry(kv.value[: MAX_PAYLOAD_BYTES + 1], kv.create_revision, kv.mod_revision)
