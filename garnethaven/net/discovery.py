"""The endpoint list: read from discovery, kept up to date by a watch."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

from garnethaven.interface import Endpoint, ListKind, Membership, State
from garnethaven.net.config import Address, Config, parse_address
from garnethaven.net.driver import MS, Driver
from garnethaven.net.upstream import Answer, Exchange, Pool, Target

WAIT_S = 20.0  # how long a watch may stay unanswered; each call costs discovery work
GRACE_S = 1.5  # beyond its wait, after which a silent call has failed; news counts as told at 2 s
DIAL_S = 1.0
RETRY_S = 0.5  # a pushed list's agent is on this machine, and costs nothing
BREATH_S = 0.1  # between calls that are answered at once; a watch goes on if the next comes in 0.2 s
LIST_LIMIT = 2 * 1024 * 1024
STATES = {"SERVING": State.UP, "DRAINING": State.DRAINING, "DELETED": State.REMOVED}

Entries = list[tuple[Endpoint, Address | None]]


class ListError(Exception):
    """Discovery's answer is not a list."""


class ListCall(Exchange):
    body_limit = LIST_LIMIT

    def __init__(self, discovery: Discovery, payload: bytes) -> None:
        super().__init__((payload,))
        self.discovery = discovery
        self.began_at = discovery.loop.time()

    def answered(self, answer: Answer) -> None:
        self.discovery.told(self, answer)

    def broken(self, written: bool) -> None:
        self.discovery.failed()


class Discovery:
    def __init__(self, config: Config, driver: Driver, loop: asyncio.AbstractEventLoop) -> None:
        self.driver = driver
        self.loop = loop
        self.pushed = not config.settings.ask_discovery
        self.zones = {name: index for index, name in enumerate(config.names.zones)}
        self.kinds = {name: index for index, name in enumerate(config.names.kinds)}
        # One difference for the whole life: an endpoint whose start seemed to move would seem restarted.
        self.clock_offset = time.time_ns() - time.monotonic_ns()
        self.pool = Pool(loop, limit=3, idle_s=0.0)
        self.pool.targets = lambda: (self.target,)
        self.pool.settle_s = 0.0  # the next call must follow at once, and one answer is like the other
        self.address = config.discovery
        self.target = Target(self.pool, self.address)
        self.revision = 0
        self.call: ListCall | None = None
        self.moved = False  # to an address that has not told its list yet
        self.retry: asyncio.TimerHandle | None = None
        self.owes_news = False  # the module asked and has not been answered
        driver.watch = self.watch

    def start(self, known: dict[str, Any]) -> None:
        """Give the module the list of an earlier life, and watch where it need not ask for that."""
        try:
            revision, _, entries = self.read_list(known)
            self.revision = revision
        except ListError as problem:
            self.driver.log(f"the known list cannot be read: {problem}")
            entries = []
        self.driver.learn(ListKind.PERSISTED, entries)
        if self.pushed:
            self.watch()

    def move(self, address: Address) -> None:
        """Discovery has another address: leave the old one and have the whole list from the new.

        Versions of the one may mean nothing to the other. It is asked at once, also while the module waits
        after a failure: what was asked of the old address says nothing of this one.
        """
        if address == self.address:
            return
        self.address = address
        self.target.move(None)
        self.target = Target(self.pool, address)
        self.revision = 0
        self.moved = True
        call, self.call = self.call, None
        if call is not None:
            call.give_up()  # tells nobody: its end is no failure
        self._ask()

    def watch(self) -> None:
        """Begin to watch, unless a call is out already."""
        self.owes_news = True
        if self.call is None:
            self._ask()

    def _ask(self) -> None:
        if self.call is not None:
            return
        if self.retry is not None:
            self.retry.cancel()
        path = b"/api/targets"
        if not self.moved:
            path += b"?after=%d&wait_ms=%d" % (self.revision, int(WAIT_S * 1000))
        host = b"%s:%d" % (self.address[0].encode(), self.address[1])
        self.call = ListCall(self, b"GET %s HTTP/1.1\r\nHost: %s\r\n\r\n" % (path, host))
        self.loop.call_later((0.0 if self.moved else WAIT_S) + GRACE_S, self._time_out, self.call)
        self.target.start(self.call, DIAL_S)

    def _time_out(self, call: ListCall) -> None:
        if not call.over:
            call.give_up()
            self.failed()

    def told(self, call: ListCall, answer: Answer) -> None:
        self.call = None
        try:
            if answer.status != 200:
                raise ListError(f"status {answer.status}")
            revision, complete, entries = self.read_list(b"".join(answer.body))
        except ListError as problem:
            self.driver.log(f"discovery: {problem}")
            self.failed()
            return
        self.revision = revision
        self.moved = False
        # The next call goes out first: taking in a long list must not end the watch.
        early = not entries and self.loop.time() - call.began_at < BREATH_S
        if early:
            self.loop.call_later(BREATH_S, self._ask)
        else:
            self._ask()
        if entries or complete or self.owes_news:
            self.owes_news = False
            self.driver.learn(ListKind.FULL if complete else ListKind.DELTA, entries)

    def failed(self) -> None:
        self.call = None
        if self.pushed or self.moved:
            # After a move nothing is watched until the new address has told its list, and the module
            # would wait for longer than the news may.
            self.retry = self.loop.call_later(RETRY_S, self._ask)
        else:
            self.driver.post(Membership(ListKind.FAILED))

    # Reading a list

    def read_list(self, told: bytes | dict[str, Any]) -> tuple[int, bool, Entries]:
        try:
            facts = json.loads(told) if isinstance(told, bytes) else told
            revision, members = facts["revision"], facts["members"]
            if isinstance(revision, bool) or not isinstance(revision, int) or not isinstance(members, list):
                raise ListError("no revision or no members")
            entries = [entry for entry in map(self._read_entry, members) if entry is not None]
            return revision, bool(facts.get("complete", False)), entries
        except (ValueError, TypeError, KeyError, AttributeError, RecursionError) as problem:
            raise ListError(f"cannot be read: {problem!r}") from None

    def _read_entry(self, member: Any) -> tuple[Endpoint, Address | None] | None:
        """One endpoint; what cannot be read of it is no licence to send, and harms no other."""
        if not isinstance(member, dict) or not isinstance(member.get("id"), str):
            return None
        address = parse_address(member.get("host_port"))
        state = STATES.get(str(member.get("phase")), State.DRAINING)
        cell, size, up_since = member.get("cell", 0), member.get("size", 1.0), member.get("up_since_ms", 0)
        sound = isinstance(cell, int) and isinstance(size, int | float) and isinstance(up_since, int)
        if state is State.UP and (address is None or not sound):
            state = State.DRAINING
        entry = Endpoint(
            # Names are the same at every sidecar, and so must the numbers be.
            id=int.from_bytes(member["id"].encode(), "big"),
            zone=self.zones.get(str(member.get("locality")), len(self.zones)),
            kind=self.kinds.get(str(member.get("flavor")), len(self.kinds)),
            cell=cell if sound else 0,
            state=state,
            units=float(size) if sound else 1.0,
            started=up_since * MS - self.clock_offset if sound and up_since else 0,
        )
        return entry, address
