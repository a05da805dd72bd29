"""The endpoint list: read from discovery, kept up to date by a watch.

One call watches; another may go out of turn, for the whole list, where the watch is overdue or what servers
do contradicts the list. How long, when and what to believe is decided in `limits/lists.py`.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any

from garnethaven.addresses import Address, parse_address
from garnethaven.config import Config
from garnethaven.engine.engine import MS, Engine, S
from garnethaven.engine.spending import Spend
from garnethaven.interface import Endpoint, ListKind, Membership, Outcome, State
from garnethaven.limits.budgets import AnswerMemory
from garnethaven.limits.lists import WAIT_MOST_S, Evidence, FreshList, Verdict
from garnethaven.net.exchange import Answer, Exchange
from garnethaven.net.transport import HttpTransport
from garnethaven.net.upstream import Pool, Target
from garnethaven.settings import numbered

DIAL_S = 1.0
CALLS_MOST = 3  # connections to discovery: the watch's, the one out of turn, and one that is being closed
RETRY_S = 0.5
AGENT_RETRY_S = 0.1  # a pushed list's agent is on this machine, costs nothing, and what it has counts as told
HEARS_S = 0.02  # an answer that came while this process stood still is read before its call is given up
BREATH_S = 0.1  # between calls that are answered at once; a watch goes on if the next comes in 0.2 s
LIST_LIMIT = 2 * 1024 * 1024
EVIDENCE = {
    Outcome.CONNECT_FAILED: Evidence.REFUSED_DIAL,
    Outcome.RESET: Evidence.RESET,
    Outcome.BUSY: Evidence.TURNED_AWAY,
}
STATES = {"SERVING": State.UP, "DRAINING": State.DRAINING, "DELETED": State.REMOVED}

Entries = list[tuple[Endpoint, Address | None]]


def number_of(endpoint: str) -> int:
    """The module's number of an endpoint's id, the same at every sidecar."""
    return int.from_bytes(endpoint.encode(), "big")


def name_of(number: int) -> str:
    """The id of an endpoint, which the module knows by `number_of` it."""
    return number.to_bytes((number.bit_length() + 7) // 8, "big").decode(errors="surrogateescape")


class ListError(Exception):
    """Discovery's answer is not a list."""


class ListCall(Exchange):
    """One call to discovery; `watches` tells whether it may wait for news."""

    body_limit = LIST_LIMIT

    def __init__(self, discovery: Discovery, payload: bytes, watches: bool) -> None:
        super().__init__((payload,))
        self.discovery = discovery
        self.watches = watches
        self.began_at = discovery.loop.time()
        self.wait_s = 0.0  # that it may wait for news

    def answered(self, answer: Answer) -> None:
        self.discovery.told(self, answer)

    def broken(self, written: bool) -> None:
        self.discovery.ended(self)


class Discovery:
    def __init__(
        self,
        config: Config,
        engine: Engine,
        transport: HttpTransport,
        loop: asyncio.AbstractEventLoop,
        learn: Callable[[ListKind, Entries], None] | None = None,
    ) -> None:
        self.engine = engine
        self.learn = learn or transport.learn  # to the transport, or to a model of several sources
        self.transport = transport
        self.loop = loop
        self.pushed = not config.settings.ask_discovery
        self.zones = numbered(config.names.zones)
        self.kinds = numbered(config.names.kinds)
        # One difference for the whole life: an endpoint whose start seemed to move would seem restarted.
        self.clock_offset = time.time_ns() - time.monotonic_ns()
        self.pool = Pool(loop, limit=lambda: CALLS_MOST, idle_s=0.0, memory=AnswerMemory(config.memory_mb))
        self.pool.targets = lambda: (self.target,)
        self.pool.settle_s = 0.0  # the next call must follow at once, and one answer is like the other
        self.address = config.discovery
        self.target = Target(self.pool, self.address)
        self.fresh = FreshList(
            config.settings.fleet_size,
            config.settings.ask_within / S,
            config.seed,
            WAIT_MOST_S,
            self.pushed,
        )
        self.retry_s = AGENT_RETRY_S if self.pushed else RETRY_S
        self.call: ListCall | None = None  # the watch
        self.extra: ListCall | None = None  # the call out of turn
        self.moved = False  # to an address that has not told its list yet
        self.doubted = False  # the last watch failed: the next one may be as silent
        self.whole = False  # the next call is for the whole list: what was told last lay behind
        self.retry: asyncio.TimerHandle | None = None
        self.told_empty = False  # the list has no entry, and changes are all that the watch would tell
        self.again: asyncio.TimerHandle | None = None  # when it is asked for again for that
        self.owes_news = False  # the module asked and has not been answered
        self.calls_made = self.extra_calls = 0
        engine.watch = self.watch
        engine.contradicts = self.contradicts

    def start(self, known: dict[str, Any]) -> None:
        """Give the module the list of an earlier life, and watch where it need not ask for that."""
        try:
            revision, _, entries = self.read_list(known)
            self.fresh.revision = revision
        except ListError as problem:
            self.engine.log(f"the known list cannot be read: {problem}")
            entries = []
        self.learn(ListKind.PERSISTED, entries)
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
        self.fresh.moved()
        self.moved = True
        for call in (self.call, self.extra):
            if call is not None:
                call.give_up()  # tells nobody: its end is no failure
        self.call = self.extra = None
        self._ask()

    def watch(self) -> None:
        """Begin to watch, unless a call is out already."""
        self.owes_news = True
        if self.call is None:
            self._ask()

    def contradicts(self, endpoint: int, outcome: Outcome) -> None:
        """A listed server did what its place on the list does not explain: ask anew, if it is worth that."""
        kind = EVIDENCE.get(outcome)
        delay = self.fresh.contradicted(self.loop.time(), endpoint, kind) if kind is not None else None
        if delay is not None:
            self.loop.call_later(delay, self._ask_if_wanted)

    def _ask_again(self) -> None:
        """Have the list again where it is empty, also after a call for it that failed."""
        if self.told_empty and self.again is None and self.extra is None:
            self.again = self.loop.call_later(self.fresh.ask_again_s(), self._ask_if_empty)

    def _ask_if_empty(self) -> None:
        self.again = None
        if self.told_empty:
            self._ask_out_of_turn()

    def _ask_if_wanted(self) -> None:
        if not self.fresh.still_wanted():
            return
        spending = self.engine.spending
        if spending is None or spending.may_spend(Spend.DISCOVERY):
            self._ask_out_of_turn()
        else:
            self.loop.call_later(RETRY_S, self._ask_if_wanted)

    def _ask(self) -> None:
        if self.call is not None:
            return
        if self.retry is not None:
            self.retry.cancel()
        whole = self.moved or self.whole
        wait = 0.0 if whole else self.fresh.doubt_wait_s if self.doubted else self.fresh.wait_s
        query = b"" if whole else b"?after=%d&wait_ms=%d" % (self.fresh.revision, int(wait * 1000))
        self.call = call = self._start(query, watches=True)
        call.wait_s = wait
        if not whole:
            self.loop.call_later(wait + self.fresh.double_s, self._double, call)
        self.loop.call_later(wait + self.fresh.give_up_s, self._time_out, call)

    def _ask_out_of_turn(self) -> None:
        """Ask for the whole list beside the watch; where none is out, the next watch asks soon enough."""
        if self.extra is None and not self.moved:
            self.extra_calls += 1
            self.extra = call = self._start(b"", watches=False)
            self.loop.call_later(self.fresh.give_up_s, self._time_out, call)

    def _start(self, query: bytes, watches: bool) -> ListCall:
        host = b"%s:%d" % (self.address[0].encode(), self.address[1])
        call = ListCall(self, b"GET /api/targets%s HTTP/1.1\r\nHost: %s\r\n\r\n" % (query, host), watches)
        self.calls_made += 1
        self.loop.call_soon(self._carry, call, self.target)  # its failure must find it in its place
        return call

    def _carry(self, call: ListCall, target: Target) -> None:
        if not call.over:
            target.start(call, DIAL_S)

    def _double(self, call: ListCall) -> None:
        if not call.over and call is self.call:
            self._ask_out_of_turn()

    def _time_out(self, call: ListCall) -> None:
        if not call.over:
            self.loop.call_later(HEARS_S, self._give_up, call)

    def _give_up(self, call: ListCall) -> None:
        if not call.over:
            call.give_up()
            self.ended(call)

    def ended(self, call: ListCall) -> None:
        """A call has ended without an answer; only the watch's end is a failure."""
        if call is self.extra:
            self.extra = None
            self._ask_again()
        elif call is self.call:
            self.failed()

    def told(self, call: ListCall, answer: Answer) -> None:
        self._forget(call)
        self._take_in(call, answer)
        self._ask_again()

    def _take_in(self, call: ListCall, answer: Answer) -> None:
        try:
            if answer.status != 200:
                raise ListError(f"status {answer.status}")
            revision, complete, entries = self.read_list(b"".join(answer.body))
        except ListError as problem:
            self.engine.log(f"discovery: {problem}")
            if call.watches:
                self.failed()
            return
        now = self.loop.time()
        verdict = self.fresh.judge(now, revision, complete, len(entries))
        self.told_empty = not entries and (verdict is Verdict.TAKE_AND_ASK or self.told_empty)
        if verdict is Verdict.PASS_OVER:
            self.engine.log(f"discovery: revision {revision} is behind {self.fresh.revision}, passed over")
            if call.watches:  # a watch of what lies behind would be answered alike at once
                self.whole = True
                self.retry = self.loop.call_later(self.retry_s, self._ask)
            return
        self.moved = self.whole = self.doubted = False
        # The next call goes out first: taking in a long list must not end the watch.
        if call.watches:
            early = not entries and now - call.began_at < BREATH_S
            if early:
                self.loop.call_later(BREATH_S, self._ask)
            else:
                self._ask()
        else:
            self._renew(now)
        if verdict is Verdict.TAKE_AND_ASK:
            self.engine.log("discovery: an empty list; asked for again")
        if entries or complete or self.owes_news:
            self.owes_news = False
            self.learn(ListKind.FULL if complete else ListKind.DELTA, entries)

    def _renew(self, now: float) -> None:
        """A call out of turn was answered: an overdue watch is as good as dead, begin another."""
        call = self.call
        if call is not None and now - call.began_at > call.wait_s + self.fresh.double_s:
            call.give_up()
            self.call = None
            self._ask()

    def _forget(self, call: ListCall) -> None:
        if call is self.extra:
            self.extra = None
        elif call is self.call:
            self.call = None

    def failed(self) -> None:
        self.call = None
        self.doubted = True
        if self.pushed or self.moved:
            # After a move nothing is watched until the new address has told its list, and the module
            # would wait for longer than the news may.
            self.retry = self.loop.call_later(self.retry_s, self._ask)
        else:
            self.engine.post(Membership(ListKind.FAILED))

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
            id=number_of(member["id"]),
            zone=self.zones.get(str(member.get("locality")), len(self.zones)),
            kind=self.kinds.get(str(member.get("flavor")), len(self.kinds)),
            cell=cell if sound else 0,
            state=state,
            units=float(size) if sound else 1.0,
            started=up_since * MS - self.clock_offset if sound and up_since else 0,
        )
        return entry, address
