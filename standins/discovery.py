"""Stand-in of discovery: serves full lists and watches of changes, and plays scripted faults."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import json
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any
from urllib.parse import parse_qs, urlsplit

from standins.ledger import Ledger
from standins.ports import PORTS
from standins.wire import WireError, read_message, response

Member = dict[str, Any]

DELIVERED_AFTER_S = 6.0  # an update counts as delivered this long after its publication at the latest
DELIVERED_AFTER_WAIT_S = 2.0  # the same for long polls: this long after the maximum wait


class DiscoveryFault(Enum):
    """How discovery treats calls that arrive from now on."""

    GOOD = "answers"
    SILENT = "accepts and never answers"
    DOWN = "refuses connections and has closed the open ones"
    SLOW = "answers after `lag_s`"
    BEHIND = "answers with an outdated list and revision"
    EMPTY = "answers with a complete list without members"


MAX_WATCH_GAP_S = 0.2  # a watch call within this time after the previous answer costs no capacity


@dataclass(slots=True)
class View:
    """Discovery as one program sees it: on its own port, with server addresses rewritten for it."""

    via: str = ""  # name of the program, if there are several
    rewrite: Callable[[Member], Member] = lambda member: member
    server: asyncio.Server | None = None
    port: int = 0
    # By member: when its pending update, which is not yet written to the program, was published.
    pending_since: dict[str, float] = field(default_factory=dict)
    answered_at: float = -1e9


class Discovery:
    """One discovery service; `publish` makes updates, `mood` is its current fault.

    With a `capacity` it handles that many calls per second in order of arrival; a call that would wait for
    more than `max_queue_wait_s` is rejected with 503. The next call of a watch in progress uses no capacity.
    """

    def __init__(self, ledger: Ledger) -> None:
        self.ledger = ledger
        self.mood = DiscoveryFault.GOOD
        self.lag_s = 4.0
        self.revision = 1
        self.members: dict[str, dict[str, Any]] = {}
        self.changed_at_revision: dict[str, int] = {}  # by member: revision of its last change
        self.capacity = 0.0  # calls per second; 0: unlimited
        self.max_queue_wait_s = 2.0
        self.next_capacity_at = 0.0
        self.capacity_call_times: list[
            float
        ] = []  # arrivals of calls that use capacity, also of rejected ones
        self.rejected_calls = 0
        self.views = [View()]
        self.frozen: tuple[int, list[dict[str, Any]]] = (0, [])
        self.update_event = asyncio.Event()
        self.generation = 0
        self.calls = 0
        self.call_times: list[float] = []
        self.max_delivery_delay_s = 0.0  # longest time from the publication of an update to its delivery
        self.writers: set[asyncio.StreamWriter] = set()
        self.start_lock = asyncio.Lock()  # concurrent calls of `start` would bind a port twice

    @property
    def port(self) -> int:
        return self.views[0].port

    @property
    def known_at(self) -> dict[str, float]:
        """Updates that are not yet written to the program, if there is only one."""
        return self.views[0].pending_since

    def view(self, via: str, rewrite: Callable[[Member], Member]) -> View:
        """Add the view of one more program; it listens from the next `start` on."""
        self.views.append(View(via, rewrite))
        return self.views[-1]

    async def start(self) -> Discovery:
        async with self.start_lock:
            for view in self.views:
                if view.server is None:
                    serve = functools.partial(self._serve, view)
                    view.port = view.port or PORTS.next_free()
                    view.server = await asyncio.start_server(serve, "127.0.0.1", view.port, backlog=512)
        return self

    def close(self) -> None:
        for view in self.views:
            if view.server is not None:
                view.server.close()
                view.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def set_fault(self, mood: DiscoveryFault) -> None:
        """Change the mood. Pending calls continue, except for DOWN, which closes their connections."""
        if mood is DiscoveryFault.DOWN:
            self.close()
        else:
            await self.start()
        if mood is DiscoveryFault.BEHIND:
            self.frozen = (max(0, self.revision - 5), list(self.members.values()))
        self.mood = mood

    def forget_watches(self) -> None:
        """Never answer the calls pending now, as after a restart behind a proxy that keeps connections."""
        self.generation += 1

    # Updates

    def publish(self, members: Iterable[dict[str, Any]]) -> None:
        """Apply changed entries as one revision; phase DELETED removes an entry from the list."""
        self.revision += 1
        now = time.monotonic()
        for member in members:
            name = member["id"]
            self.members[name] = member
            self.changed_at_revision[name] = self.revision
            for view in self.views:
                view.pending_since[name] = now
        updated, self.update_event = self.update_event, asyncio.Event()
        updated.set()

    def listed(self) -> list[dict[str, Any]]:
        return [member for member in self.members.values() if member["phase"] != "DELETED"]

    def snapshot(self, view: View | None = None) -> dict[str, Any]:
        members = list(map((view or self.views[0]).rewrite, self.listed()))
        return {"revision": self.revision, "complete": True, "members": members}

    def program_restarted(self, view: View, kept_until: float = float("-inf")) -> None:
        """A program starts with the state that it had at `kept_until`; later ends are pending updates."""
        now = time.monotonic()
        for name, member in self.members.items():
            informed_at = self.ledger.end_delivered_at.get((view.via, name), now)
            if member["phase"] != "SERVING" and informed_at > kept_until:
                view.pending_since[name] = now
                self.ledger.record_serving_delivered(name, view.via)

    def _record_delivered(self, view: View, members: Iterable[dict[str, Any]], complete: bool) -> None:
        """Record that these entries have been written to the program."""
        now = time.monotonic()
        delivered = {member["id"]: member for member in members}
        if complete:
            delivered = {
                name: member for name, member in self.members.items() if name not in delivered
            } | delivered
        for name, member in delivered.items():
            if self.members.get(name) is not member and name in self.members:
                continue  # an outdated entry does not carry the current state
            published_at = view.pending_since.pop(name, None)
            if published_at is not None:
                self.max_delivery_delay_s = max(self.max_delivery_delay_s, now - published_at)
            if member["phase"] == "SERVING":
                self.ledger.record_serving_delivered(name, view.via)
            else:
                self.ledger.record_end_delivered(name, now, view.via)

    def expire_pending_updates(self, wait_s: float) -> None:
        """Count updates that are too old as delivered now, although nothing was written."""
        now = time.monotonic()
        for view in self.views:
            for name, published_at in list(view.pending_since.items()):
                if now > published_at + max(DELIVERED_AFTER_S, wait_s + DELIVERED_AFTER_WAIT_S):
                    self.max_delivery_delay_s = max(self.max_delivery_delay_s, now - published_at)
                    if self.members[name]["phase"] != "SERVING":
                        self.ledger.record_end_delivered(name, now, view.via)

    # Calls

    async def _serve(self, view: View, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            with contextlib.suppress(WireError, ConnectionError, asyncio.IncompleteReadError):
                while (message := await read_message(reader)) is not None:
                    self.calls += 1
                    self.call_times.append(time.monotonic())
                    await self._answer(view, message.first[1], writer)
        except asyncio.CancelledError:
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def _await_capacity(self, view: View, is_watch: bool) -> bool:
        """Wait until capacity is available for the call; False if it is rejected."""
        now = time.monotonic()
        if is_watch and now - view.answered_at <= MAX_WATCH_GAP_S:
            return True
        self.capacity_call_times.append(now)
        if not self.capacity:
            return True
        starts_at = max(now, self.next_capacity_at)
        if starts_at - now > self.max_queue_wait_s:
            self.rejected_calls += 1
            return False
        self.next_capacity_at = starts_at + 1.0 / self.capacity
        await asyncio.sleep(starts_at - now)
        return True

    async def _answer(self, view: View, target: str, writer: asyncio.StreamWriter) -> None:
        query = parse_qs(urlsplit(target).query)
        after = int(query["after"][0]) if "after" in query else None
        wait_s = float(query.get("wait_ms", ["0"])[0]) / 1000
        if not await self._await_capacity(view, after is not None and wait_s > 0.0):
            writer.write(response(503))
            await writer.drain()
            return
        mood = self.mood
        if mood is DiscoveryFault.SILENT:
            await asyncio.sleep(3600)
        if mood is DiscoveryFault.SLOW:
            await asyncio.sleep(self.lag_s)
        if mood is DiscoveryFault.BEHIND:
            revision, members = self.frozen
            self._write(view, writer, revision, True, members)
        elif mood is DiscoveryFault.EMPTY:
            self._write(view, writer, self.revision, True, [])
        else:
            await self._answer_current(view, after, wait_s, writer)
        await writer.drain()
        view.answered_at = time.monotonic()

    async def _answer_current(
        self, view: View, after: int | None, wait_s: float, writer: asyncio.StreamWriter
    ) -> None:
        generation = self.generation
        if after is not None and after >= self.revision and wait_s > 0:
            updated = self.update_event
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(updated.wait(), wait_s)
        if writer.is_closing():  # closed by a fault meanwhile: nothing is delivered
            raise ConnectionError
        # Applies to calls that were already pending, too.
        if self.mood is DiscoveryFault.SILENT or generation != self.generation:
            await asyncio.sleep(3600)
        if after is None or after > self.revision:
            self._write(view, writer, self.revision, True, self.listed())
            self._record_delivered(view, self.listed(), complete=True)
            return
        changed = [member for name, member in self.members.items() if self.changed_at_revision[name] > after]
        self._write(view, writer, self.revision, False, changed)
        self._record_delivered(view, changed, complete=False)

    def _write(
        self,
        view: View,
        writer: asyncio.StreamWriter,
        revision: int,
        complete: bool,
        members: list[dict[str, Any]],
    ) -> None:
        rewritten = list(map(view.rewrite, members))
        body = json.dumps({"revision": revision, "complete": complete, "members": rewritten}).encode()
        writer.write(response(200, body))
