"""Discovery after the protocol page: the whole list, watches on changes, and its faults by script."""

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

DEEMED_TOLD_S = 6.0  # news counts as told this long after it is known, whether or not it arrived
AFTER_WAIT_S = 2.0  # the same for a call that may wait: so long after its wait


class Mood(Enum):
    """How discovery behaves towards calls that come from now on."""

    GOOD = "answers"
    SILENT = "accepts and never answers"
    DOWN = "refuses connections, and has ended those that were open"
    SLOW = "answers after `lag_s`"
    BEHIND = "answers with the list and revision of an earlier time"
    EMPTY = "answers with a whole list of nobody"


WATCH_GAP_S = 0.2  # a watch goes on, at no cost, if its next call comes this soon after the last answer


@dataclass(slots=True)
class View:
    """What one program sees of discovery: addresses of its own, at a port of its own."""

    via: str = ""  # the program, where there are several
    rewrite: Callable[[Member], Member] = lambda member: member
    server: asyncio.Server | None = None
    port: int = 0
    known_at: dict[str, float] = field(default_factory=dict)  # news of a member that has not been written
    answered_at: float = -1e9


class Discovery:
    """One discovery service; `publish` makes news, `mood` is its fault.

    With a `capacity` it works through that many calls a second in turn; one that would wait for more than
    `patience_s` is turned away with 503. A watch that goes on costs nothing.
    """

    def __init__(self, ledger: Ledger) -> None:
        self.ledger = ledger
        self.mood = Mood.GOOD
        self.lag_s = 4.0
        self.revision = 1
        self.members: dict[str, dict[str, Any]] = {}
        self.changed: dict[str, int] = {}  # by member: the revision of its last change
        self.capacity = 0.0  # calls a second; 0: any number
        self.patience_s = 2.0
        self.free_at = 0.0
        self.worked_times: list[float] = []  # when calls came that cost work, turned away or not
        self.turned_away = 0
        self.views = [View()]
        self.frozen: tuple[int, list[dict[str, Any]]] = (0, [])
        self.news = asyncio.Event()
        self.lives = 0
        self.calls = 0
        self.call_times: list[float] = []
        self.oldest_news_s = 0.0  # the longest time from news to its writing
        self.writers: set[asyncio.StreamWriter] = set()
        self.opening = asyncio.Lock()  # two that open at once would bind a port twice

    @property
    def port(self) -> int:
        return self.views[0].port

    @property
    def known_at(self) -> dict[str, float]:
        """News that has not been written to the program, where there is one."""
        return self.views[0].known_at

    def view(self, via: str, rewrite: Callable[[Member], Member]) -> View:
        """One more program's view, which listens from the next `start` on."""
        self.views.append(View(via, rewrite))
        return self.views[-1]

    async def start(self) -> Discovery:
        async with self.opening:
            for view in self.views:
                if view.server is None:
                    serve = functools.partial(self._serve, view)
                    view.port = view.port or PORTS.take()
                    view.server = await asyncio.start_server(serve, "127.0.0.1", view.port, backlog=512)
        return self

    def close(self) -> None:
        for view in self.views:
            if view.server is not None:
                view.server.close()
                view.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def become(self, mood: Mood) -> None:
        """Change the mood; calls that wait go on as they began, but for DOWN, which ends them."""
        if mood is Mood.DOWN:
            self.close()
        else:
            await self.start()
        if mood is Mood.BEHIND:
            self.frozen = (max(0, self.revision - 5), list(self.members.values()))
        self.mood = mood

    def forget_watches(self) -> None:
        """Calls that wait now are never answered, as after a restart that kept the connections."""
        self.lives += 1

    # News

    def publish(self, members: Iterable[dict[str, Any]]) -> None:
        """Take in changed entries; phase DELETED takes one off the list."""
        self.revision += 1
        now = time.monotonic()
        for member in members:
            name = member["id"]
            self.members[name] = member
            self.changed[name] = self.revision
            for view in self.views:
                view.known_at[name] = now
        news, self.news = self.news, asyncio.Event()
        news.set()

    def listed(self) -> list[dict[str, Any]]:
        return [member for member in self.members.values() if member["phase"] != "DELETED"]

    def snapshot(self, view: View | None = None) -> dict[str, Any]:
        members = list(map((view or self.views[0]).rewrite, self.listed()))
        return {"revision": self.revision, "complete": True, "members": members}

    def begins_anew(self, view: View, kept_until: float = float("-inf")) -> None:
        """A program starts that knows what it was told until `kept_until`; what ended later is news to it."""
        now = time.monotonic()
        for name, member in self.members.items():
            told = self.ledger.ended_at.get((view.via, name), now)
            if member["phase"] != "SERVING" and told > kept_until:
                view.known_at[name] = now
                self.ledger.told_up(name, view.via)

    def _written(self, view: View, members: Iterable[dict[str, Any]], complete: bool) -> None:
        """These entries have been written to the program: it is told."""
        now = time.monotonic()
        told = {member["id"]: member for member in members}
        if complete:
            told = {name: member for name, member in self.members.items() if name not in told} | told
        for name, member in told.items():
            if self.members.get(name) is not member and name in self.members:
                continue  # an older entry says nothing of how it is now
            known = view.known_at.pop(name, None)
            if known is not None:
                self.oldest_news_s = max(self.oldest_news_s, now - known)
            if member["phase"] == "SERVING":
                self.ledger.told_up(name, view.via)
            else:
                self.ledger.told_end(name, now, view.via)

    def deem_told(self, wait_s: float) -> None:
        """News that is too old counts as told now, though nothing was written."""
        now = time.monotonic()
        for view in self.views:
            for name, known in list(view.known_at.items()):
                if now > known + max(DEEMED_TOLD_S, wait_s + AFTER_WAIT_S):
                    self.oldest_news_s = max(self.oldest_news_s, now - known)
                    if self.members[name]["phase"] != "SERVING":
                        self.ledger.told_end(name, now, view.via)

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

    async def _turn(self, view: View, watches: bool) -> bool:
        """Wait for the call's turn; False where it is turned away."""
        now = time.monotonic()
        if watches and now - view.answered_at <= WATCH_GAP_S:
            return True
        self.worked_times.append(now)
        if not self.capacity:
            return True
        begins = max(now, self.free_at)
        if begins - now > self.patience_s:
            self.turned_away += 1
            return False
        self.free_at = begins + 1.0 / self.capacity
        await asyncio.sleep(begins - now)
        return True

    async def _answer(self, view: View, target: str, writer: asyncio.StreamWriter) -> None:
        query = parse_qs(urlsplit(target).query)
        after = int(query["after"][0]) if "after" in query else None
        wait_s = float(query.get("wait_ms", ["0"])[0]) / 1000
        if not await self._turn(view, after is not None and wait_s > 0.0):
            writer.write(response(503))
            await writer.drain()
            return
        mood = self.mood
        if mood is Mood.SILENT:
            await asyncio.sleep(3600)
        if mood is Mood.SLOW:
            await asyncio.sleep(self.lag_s)
        if mood is Mood.BEHIND:
            revision, members = self.frozen
            self._write(view, writer, revision, True, members)
        elif mood is Mood.EMPTY:
            self._write(view, writer, self.revision, True, [])
        else:
            await self._good(view, after, wait_s, writer)
        await writer.drain()
        view.answered_at = time.monotonic()

    async def _good(self, view: View, after: int | None, wait_s: float, writer: asyncio.StreamWriter) -> None:
        lives = self.lives
        if after is not None and after >= self.revision and wait_s > 0:
            news = self.news
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(news.wait(), wait_s)
        if writer.is_closing():  # ended by a fault meanwhile: nothing is written, and nobody told
            raise ConnectionError
        if self.mood is Mood.SILENT or lives != self.lives:  # also towards those that waited since before
            await asyncio.sleep(3600)
        if after is None or after > self.revision:
            self._write(view, writer, self.revision, True, self.listed())
            self._written(view, self.listed(), complete=True)
            return
        changed = [member for name, member in self.members.items() if self.changed[name] > after]
        self._write(view, writer, self.revision, False, changed)
        self._written(view, changed, complete=False)

    def _write(
        self,
        view: View,
        writer: asyncio.StreamWriter,
        revision: int,
        complete: bool,
        members: list[dict[str, Any]],
    ) -> None:
        seen = list(map(view.rewrite, members))
        body = json.dumps({"revision": revision, "complete": complete, "members": seen}).encode()
        writer.write(response(200, body))
