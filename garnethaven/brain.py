"""All decisions of a sidecar balancer: which endpoint serves a request, and what follows.

The events that go in, the actions that come out and the settings are in interface.py. The design
is health-weighted smooth round-robin; docs/design.md says what was kept, what was changed and when
each exception acts. Reading order: membership, health and weights, pick, request lifecycle,
admission.
Nothing here reads a clock or does I/O; the same seed and events give the same actions.
"""

from __future__ import annotations

import math
import random
from bisect import bisect_left
from dataclasses import replace
from zlib import crc32

from garnethaven.interface import (
    NEVER_RAN,
    Action,
    AttemptEnded,
    ByHand,
    Cancel,
    ClientLeft,
    CloseIdle,
    Effect,
    Endpoint,
    Event,
    Fail,
    Grade,
    ListKind,
    Membership,
    Outcome,
    Prior,
    ProbeEnded,
    Recalled,
    Refuse,
    Request,
    Scope,
    Send,
    SetTimer,
    Settings,
    Started,
    State,
    StreamBegan,
    TimerFired,
    Watch,
    Woke,
)
from garnethaven.limits.overload import Overload
from garnethaven.limits.retry_budget import RetryBudget
from garnethaven.records import Attempt, Many, PendingRequest, Server
from garnethaven.recovery.cold import COLD_PART, likely, warmth_of
from garnethaven.turns import Turns

BETA = 0.8  # share of weight lost by each consecutive error; a sidecar sees too few for the paper's 0.1
DENSE_BETA = 0.3  # the same where it sees many: one error in a burst must not empty a server
DENSE = 4.0  # requests a second to each server from which on errors weigh less
FLOOR = 0.05  # a penalised server keeps this multiple of its weight: enough to be seen to recover
SLOW = 3.0  # an answer this many times slower than usual counts as an error
USUAL_MEMORY = 32  # answers over which the usual time is smoothed
KEY_SLACK = 0.8  # share of a full round by which a key's server may be ahead of its turn
HOME_SPARE = 1.3  # a zone carries its part while it keeps this inverse share of its capacity
SIDECARS_PER_ZONE = 24  # in a smaller fleet zones have more sidecars than their part by chance
MANY = 64  # servers from which on turns are a tree's, and a change touches its own path only
MANY_REFRESHES = 2  # of all their weights in a ramp: what concerns all of them moves slowly
SPARE_SEATS = 8  # one seat in so many is left for newcomers
DRAWN = 16  # servers that a retry chooses from among many
SHARE_BURST = 4.0  # requests that a tenant may be ahead of its share
NEVER = -(1 << 62)  # a time before any
COPY_SHARE = 0.05  # second copies for each request, at the most
HEDGE_MEETINGS = 4.0  # with a server in the half-life of an error: more, and its trouble is known by them
COPY_BURST = 5.0  # copies that may be saved up
PACE_MEMORY = 24  # answers over which the pace of a kind of machine is smoothed
OWN_MEMORY = 64  # the same for one server; so many of its answers count as much as its kind
OWN_LEAST = 8.0  # the same for a server that is seldom met
OWN_DOUBT = 2.0  # answers of such a one that count as much as its kind: others make good what it leans
OWN_SECONDS = 16.0  # in between, the answers of so many: what takes a part of a server comes and goes
REFRESHES = 50  # weights are recomputed this many times in a ramp, no oftener: they change slowly
QUIET_REFRESHES = 8  # the same while nobody is cold or penalised

# Outcomes that tell nothing of the server. Kept connections that end early would have one left out that is
# seldom asked: the less it got the more of them had ended. One that has died refuses the next connection.
NO_FAULT = frozenset({Outcome.CANCELLED, Outcome.SKIPPED, Outcome.BAD_REQUEST, Outcome.STALE})
RETRY_PART = 3  # of the time left to the aim, after which a refused client should come back
# Of a window, in which a repeat has to arrive and end; the rest is for its way there.
WINDOW_PART = 0.9
GOLDEN = 0.6180339887498949  # of a span from slot to slot: whichever begin together are spread evenly
# After a call to discovery that failed. With the calls before and after it (limits/lists.py) it has to end
# before news counts as told, 6 s after discovery can be reached again. It would do harm where turning callers
# away costs discovery much.
FAILED_PAUSE_MOST = 2_000_000_000
FULL_SPREAD = 25  # sidecars whose calls to discovery need all the time that rules allow

SECOND = 1_000_000_000
WATCH_TOKEN = 0  # the one timer that belongs to no request


class Balancer:
    """One instance: feed it events through handle() and carry out the actions in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.now = 0
        self.out: list[Action] = []
        self.servers: dict[int, Server] = {}
        self.pool: list[Server] = []  # selectable servers, by id
        self.ring: list[Server] = []  # those that take turns
        self.waiting: list[Server] = []  # those that earn their first turn
        self.stale_at = 0  # when weights want recomputing
        self.kept, self.typical, self.total, self.away_factor = 1.0, 1.0, 1.0, 1.0  # at the last of these
        self.cold_most = 0.0  # times its least that a cold server may weigh
        self.own_memory = OWN_LEAST  # answers over which one server's pace is smoothed
        self.own_doubt = OWN_DOUBT  # so many of them count as much as its kind
        self.many = Many()
        self.banned: dict[int, int] = {}  # out by hand, and since when; whatever the list says
        self.returned: dict[int, tuple[int, int]] = {}  # back by hand: when it went out, when it came back
        self.begins = True  # no server was ever listed
        self.failed_calls = 0
        # The paper's 10 minutes outlast a failure by far: servers get as long as a restarted one to warm.
        self.half_life = max(1, settings.ramp_time)
        self.usual: dict[int, float] = {}  # time of a good answer, by grade
        self.overload = Overload(self.rng)
        self.retry_budget = RetryBudget()
        self.pace: dict[int, float] = {}  # time of a kind's answers, as a multiple of the usual
        self.copies = 1.0  # second copies that may be sent
        self.patience: dict[int, int] = {}  # the longest time a client gave a try, by grade
        self.retries_marked = False  # a client has marked a retry: those that are not marked are none
        self.unserved_at = NEVER  # when a request last ended without a good answer
        self.credit = [1.0] * len(settings.tenants)
        self.next_token = WATCH_TOKEN + 1
        self.timers: dict[int, str] = {}
        self.held: dict[str, PendingRequest] = {}
        self.lasting = 0  # of these, streams that have begun: they may last, and are no queue
        self.handlers = {
            Request: self._on_request,
            AttemptEnded: self._on_attempt_ended,
            TimerFired: self._on_timer,
            Membership: self._on_membership,
            ClientLeft: self._on_client_left,
            StreamBegan: self._on_stream_began,
            ProbeEnded: self._on_probe_ended,
            Started: self._on_started,
            ByHand: self._on_by_hand,
            Recalled: self._on_recalled,
            Woke: lambda _: self._begin_window(),
        }

    def standing(self, endpoint: int) -> tuple[float, bool]:
        """A server's warmth, from 0 to 1, and whether errors hold it down; (0, True) for one not known."""
        server = self.servers.get(endpoint)
        if server is None:
            return 0.0, True
        return self._warmth(server), self.errors_of(server) >= 1.0

    def handle(self, now: int, event: Event) -> list[Action]:
        """Take one event at time `now` and return what is to be done, in order."""
        self.now = now
        self.out = []
        self.handlers[type(event)](event)  # type: ignore[operator]
        return self.out

    # Membership

    def _on_started(self, event: Started) -> None:
        if self.settings.ask_discovery:
            # Spread first calls: a fleet that starts together would swamp discovery. A small one can't, and
            # the known list may be old. By slots, not by luck; slot 0 may mean that none was told.
            slot = self.settings.slot
            place = slot * GOLDEN % 1.0 if slot else self.rng.random()
            self._watch_within(self._spread(self.settings.ask_within // 2), place)

    def _spread(self, span: int) -> int:
        """The part of a span that a fleet of this size needs so as not to call all at once."""
        return min(span, span * self.settings.fleet_size // FULL_SPREAD)

    def _watch_within(self, span: int, place: float) -> None:
        self.out.append(SetTimer(WATCH_TOKEN, int(place * span)))

    def _on_membership(self, event: Membership) -> None:
        if event.kind is ListKind.FAILED:
            # Backed off, or calls that failed for load would return as load.
            self.failed_calls = min(self.failed_calls + 1, 2)
            span = self._spread(self.settings.ask_within * self.failed_calls // 2)
            span = max(span, self.failed_calls * SECOND // 2)
            self._watch_within(min(span, FAILED_PAUSE_MOST), self.rng.random())
            return
        if event.kind is not ListKind.PERSISTED:
            self.failed_calls = 0
        if event.kind is ListKind.DELTA and self.many.turns is not None and len(event.endpoints) < MANY:
            for entry in event.endpoints:
                self._learn(entry)
                self._reseat(entry.id)
            return
        if event.kind is not ListKind.DELTA:
            listed = {entry.id for entry in event.endpoints}
            for gone in [known for known in self.servers if known not in listed]:
                self._drop(gone)
        for entry in event.endpoints:
            self._learn(entry)
        self._refill()
        if self.begins and self.pool:
            self.begins = False
            self._begin_window()

    def _refill(self) -> None:
        """Make the pool anew."""
        self.pool = [s for _, s in sorted(self.servers.items()) if self._selectable(s)]
        self._reweigh()

    def _begin_window(self) -> None:
        usual = sum(server.units for server in self.pool) / max(1, len(self.pool))
        warm = sum(server.units * self._warmth(server) for server in self.pool) / (usual or 1.0)
        aim = min((grade.aim for grade in self.settings.grades), default=SECOND)
        self.overload.window.begin(self.now, warm, self.settings.fleet_size, aim)

    def _on_recalled(self, event: Recalled) -> None:
        for known in event.servers:
            if known.endpoint in self.servers:
                server = self.servers[known.endpoint]
                server.errors, server.error_at = known.errors, self.now
                server.pace, server.paces = known.pace, known.paces
        self.pace |= event.kinds
        self.usual |= event.usual
        self.copies = min(self.copies, event.copies)  # else a life that ends soon would refill them
        self.overload.retries = min(self.overload.retries, event.retries)
        self.overload.gap = event.gap or self.overload.gap  # in a burst errors would seem to matter less
        self._reweigh()

    def _selectable(self, server: Server) -> bool:
        """Whether anything new may go there: listed as serving, and not out by hand."""
        return server.state is State.UP and server.id not in self.banned

    def takes_new(self, endpoint: int) -> bool:
        """Whether anything new may begin there, for transports whose attempts wait."""
        server = self.servers.get(endpoint)
        return server is not None and self._selectable(server)

    def excluded(self) -> int:
        """How many listed servers get nothing new."""
        return sum(not self._selectable(server) for server in self.servers.values())

    def _on_by_hand(self, event: ByHand) -> None:
        if event.out:
            self.banned.setdefault(event.endpoint, self.now)
        elif event.endpoint in self.banned:
            self.returned[event.endpoint] = (self.banned.pop(event.endpoint), self.now)
            server = self.servers.get(event.endpoint)
            if server is not None:  # it was restarted while it was out, and is a new one
                self.servers[server.id] = Server(self._dated(server.entry))
        self._refill()

    def _dated(self, entry: Endpoint) -> Endpoint:
        """The entry, dated by its coming back by hand where the list tells no start since it went out."""
        out_at, back_at = self.returned.get(entry.id, (entry.started, entry.started))
        return entry if entry.started >= out_at else replace(entry, started=back_at)

    def _learn(self, entry: Endpoint) -> None:
        """Take in a list entry; a server that has started anew is a new one."""
        known = self.servers.get(entry.id)
        entry = self._dated(entry) if self.returned else entry
        if entry.state is State.REMOVED:
            self._drop(entry.id)
        elif known is not None and known.started == entry.started:
            known.update(entry)
        else:
            self.servers[entry.id] = Server(entry)

    def _drop(self, endpoint: int) -> None:
        """A server is gone: attempts that remember it must not lead back there."""
        server = self.servers.pop(endpoint, None)
        if server is not None:
            server.state = State.REMOVED

    # Health and weights

    def _record_failure(self, server: Server) -> None:
        server.errors = self.errors_of(server) + 1.0
        server.error_at = self.now
        self._changed(server)

    def _record_success(self, server: Server) -> None:
        if server.errors:
            server.errors = 0.0
            self._changed(server)

    def _changed(self, server: Server) -> None:
        """A server's weight is to be made anew before the next pick; among many the others keep theirs."""
        if self.many.turns is None:
            self.stale_at = self.now
        else:
            self.many.touched[server.id] = server

    def errors_of(self, server: Server) -> float:
        """How many errors count against it now."""
        if not server.errors:
            return 0.0
        age = (self.now - server.error_at) / self.half_life
        return server.errors * float(0.5**age)

    def _warmth(self, server: Server) -> float:
        """The share of its capacity that a started server surely has: sent more, it may fall over."""
        settings = self.settings
        if not server.started:
            return 1.0
        return warmth_of(self.now - server.started, settings.cold_share, settings.ramp_time)

    def _beta(self) -> float:
        """The share of weight that one error costs: the less, the more often a server is met.

        A sidecar that meets a server twice a minute must act on one error. At dozens a second a dead
        server fails many times in a row at once, while single errors are chance: acting on each of them
        swung all traffic from server to server (weights from 0.02 to 0.9 within a second).
        """
        return max(DENSE_BETA, BETA / float(max(1.0, self._met() / DENSE) ** 0.5))

    def _met(self) -> float:
        """How often a second the sidecar comes round to a server."""
        gap = self.overload.gap
        return SECOND / gap / len(self.pool) if gap and self.pool else 0.0

    def _reweigh(self) -> None:
        moving, self.kept = False, 1.0 - self._beta()
        answers = min(OWN_MEMORY, self._met() * OWN_SECONDS)
        self.own_memory, self.own_doubt = max(OWN_LEAST, answers), max(OWN_DOUBT, answers)
        for server in self.pool:
            self._feel(server)
            moving = moving or server.errors > 0.0
        self.typical = sum(server.health for server in self.pool) / max(1, len(self.pool))
        warmths = [self._warmth(server) for server in self.pool]
        self._bound_cold(warmths)
        for server, warmth in zip(self.pool, warmths, strict=True):
            if warmth < 1.0:
                server.weight, moving = self._cold_weight(server, warmth), True
            else:
                server.weight = server.size * server.health
        self._favour_home()
        # Weights are shares of the whole and tallies count in rounds: were the sum to shrink, as when all
        # are penalised in a jam, old tallies would outweigh it, and a newcomer placed near the largest
        # would be picked again and again.
        self.total = sum(server.weight for server in self.pool) or 1.0
        for server in self.pool:
            server.weight /= self.total
        if len(self.pool) > MANY:
            self._seat_many()
            refreshes = MANY_REFRESHES  # those that move are looked at between
        else:
            self.many.turns = None
            self._seat()
            refreshes = REFRESHES if moving else QUIET_REFRESHES
        self.stale_at = self.now + max(1, self.settings.ramp_time // refreshes)

    def _feel(self, server: Server) -> None:
        """Bring a server's size and health up to date."""
        server.size = server.units / self.pace.get(server.kind, 1.0) / self._own_pace(server)
        server.health = max(FLOOR, self.kept ** self.errors_of(server))

    def _bound_cold(self, warmths: list[float]) -> None:
        """Find how many times its least a cold server may weigh, so that the fleet's sum is within the rule.

        The less of the whole is there to carry the traffic, the more comes to each: what all together can
        do is taken to be asked for.
        """
        whole = sum(server.size for server in self.pool) * self.typical
        carried = sum(s.size * s.health * likely(w) for s, w in zip(self.pool, warmths, strict=True))
        self.cold_most = COLD_PART * self.settings.fall_multiple * carried / (whole or 1.0)

    def _cold_weight(self, server: Server, warmth: float) -> float:
        """What a server weighs that is not warm yet."""
        # A newcomer is no healthier than its peers: in a jam all of them are penalised, and its clean count
        # would bring it many times its part.
        health = min(server.health, self.typical)
        return server.size * health * min(likely(warmth), self.cold_most * warmth)

    # Many servers: turns as a tree (turns.py), where a change touches its own path only

    def _seat_many(self) -> None:
        """Give every server its seat and its weight there."""
        if self.many.turns is None or len(self.pool) > len(self.many.by_seat):
            self.many.turns = Turns(len(self.pool) + len(self.pool) // SPARE_SEATS)
            self.many.turns.shuffle(self.rng)
            self.many.by_seat = [None] * self.many.turns.levels[0]
            self.many.free = list(range(len(self.many.by_seat) - 1, -1, -1))
            self.many.seats.clear()
            for server in self.pool:
                server.seated = True  # its turn is within the round that begins
        here = {server.id for server in self.pool}
        for gone in [known for known in self.many.seats if known not in here]:
            self._unseat(gone)
        for server in self.pool:
            self._take_seat(server)
        self.many.turns.set_weights(
            [server.weight if server is not None else 0.0 for server in self.many.by_seat]
        )
        self.many.moving = {s.id: s for s in self.pool if self._moves(s)}
        self.many.touched.clear()
        self.many.look_at = self.now + max(1, self.settings.ramp_time // REFRESHES)

    def _take_seat(self, server: Server) -> None:
        assert self.many.turns is not None
        seat = self.many.seats.get(server.id)
        if seat is None:
            seat = self.many.seats[server.id] = self.many.free.pop()
        self.many.by_seat[seat] = server
        if not server.seated:  # a newcomer earns its first turn, as in a small pool
            server.seated = True
            self.many.turns.set_tally(seat, -self.rng.random())

    def _unseat(self, endpoint: int) -> None:
        seat = self.many.seats.pop(endpoint, None)
        if seat is not None and self.many.turns is not None:
            self.many.by_seat[seat] = None
            self.many.free.append(seat)
            self.many.turns.set_weight(seat, 0.0)

    def _reseat(self, endpoint: int) -> None:
        """A server of many has come, gone or changed: the others stay as they are."""
        server = self.servers.get(endpoint)
        at = bisect_left(self.pool, endpoint, key=lambda one: one.id)
        there = at < len(self.pool) and self.pool[at].id == endpoint
        changed = self.pool[at] if there else server
        at_home = changed is not None and changed.zone == self.settings.zone
        if at_home and self.settings.cross_zone_price > 0.0:
            self.stale_at = min(self.stale_at, self.many.look_at)  # home carries another part of the whole
        if server is None or not self._selectable(server):
            if there:
                del self.pool[at]
            self._unseat(endpoint)
            self.many.touched.pop(endpoint, None)
            if len(self.pool) <= MANY // 2:
                self.stale_at = self.now  # few enough for the plain walk
            return
        if there:
            self.pool[at] = server
        else:
            self.pool.insert(at, server)
        if endpoint not in self.many.seats and not self.many.free:
            self._reweigh()  # no seat is left: all are seated anew
            return
        self._take_seat(server)
        self.many.touched[endpoint] = server
        if self._warmth(server) < 1.0:
            self.many.moving[endpoint] = server

    def _moves(self, server: Server) -> bool:
        """Whether a server's weight changes by itself."""
        return server.errors > 0.0 or self._warmth(server) < 1.0

    def _reweigh_some(self) -> None:
        """Bring those up to date that changed, and now and then those that move by themselves."""
        assert self.many.turns is not None
        changed, self.many.touched = self.many.touched, {}
        if self.now >= self.many.look_at:
            self.many.look_at = self.now + max(1, self.settings.ramp_time // REFRESHES)
            self.many.moving = {known: s for known, s in self.many.moving.items() if self._moves(s)}
            changed |= self.many.moving
        for endpoint, server in changed.items():
            seat = self.many.seats.get(endpoint)
            if seat is None or self.many.by_seat[seat] is not server:
                continue  # gone since, or another life of it is there
            self._feel(server)
            warmth = self._warmth(server)
            weight = server.size * server.health if warmth >= 1.0 else self._cold_weight(server, warmth)
            away = server.zone != self.settings.zone
            server.weight = weight * (self.away_factor if away else 1.0) / self.total
            self.many.turns.set_weight(seat, server.weight)
            if server.errors > 0.0:
                self.many.moving[endpoint] = server

    def _pick_of_many(self, held: PendingRequest) -> Server | None:
        assert self.many.turns is not None
        if self.many.touched or self.now >= self.many.look_at:
            self._reweigh_some()
        keyed = bool(held.key) and self.settings.warm_keys
        mark = crc32(held.key.encode()) if keyed else None
        seat = self.many.turns.pick(mark, KEY_SLACK, self._seat_is_warm)
        return self.many.by_seat[seat] if seat is not None else None

    def _seat_is_warm(self, seat: int) -> bool:
        server = self.many.by_seat[seat]
        return server is not None and self._warmth(server) >= 1.0

    def _some_of_many(self, held: PendingRequest) -> list[Server]:
        """Servers for a retry, drawn: the best of so many is good enough, and all of them are a long walk."""
        drawn = [self.pool[self.rng.randrange(len(self.pool))] for _ in range(DRAWN)]
        return [server for server in drawn if self._may_send(held, server)]

    def _seat(self) -> None:
        """Sort the weighed servers into those that take turns and those that wait for their first.

        A newcomer, or one whose weight was zero, first earns a seeded part of a round at its own
        weight. Placed among the others' tallies at once, a light one would be within their ordinary
        ups and downs, and so the next pick of every fifth sidecar at the same moment.
        """
        # With nobody left to wait for, those that wait are all there is.
        first = not any(server.seated and server.weight > 0.0 for server in self.pool)
        for server in self.pool:
            if server.weight <= 0.0:
                server.seated, server.tally = False, 0.0
            elif not server.seated and (first or server.tally >= 0.0):
                server.tally = -self.rng.random()  # seeded, or all sidecars would walk in lockstep
                server.seated = first
        self.ring = [s for s in self.pool if s.weight > 0.0 and s.seated]
        self.waiting = [s for s in self.pool if s.weight > 0.0 and not s.seated]

    def _favour_home(self) -> None:
        """Keep requests in the own zone as far as its servers can carry them.

        Acts where crossing zones has a price. A zone that is small, cold or ailing sends the rest
        away; with nothing at home, all zones serve alike.
        """
        zones = len({server.zone for server in self.pool})
        if self.settings.cross_zone_price <= 0.0 or zones < 2:
            return
        home = [server for server in self.pool if server.zone == self.settings.zone]
        at_home = sum(server.weight for server in home)
        away = sum(server.weight for server in self.pool) - at_home
        due = sum(server.size for server in self.pool) / zones  # an even zone's part
        kept = min(1.0, HOME_SPARE * at_home / due)
        self.away_factor = 1.0
        if not at_home or not away:
            return
        # An even zone's part holds where sidecars are spread over all zones. They fall into them by chance:
        # of 40 one zone has 14 and another 6, and those that keep to their homes jam the one while the other
        # idles. What a zone has beyond its part shrinks with the root of the fleet, its cost faster.
        spread = min(1.0, self.settings.fleet_size / (SIDECARS_PER_ZONE * zones)) ** 2
        kept = spread * kept + (1.0 - spread) * at_home / (at_home + away)
        self.away_factor = min(1.0, (1.0 - kept) / kept * at_home / away)
        for server in self.pool:
            if server.zone != self.settings.zone:
                server.weight *= self.away_factor

    # Pick

    def _pick(self, held: PendingRequest) -> Server | None:
        """The ordinary path: smooth weighted round-robin over the selectable servers."""
        if self.now >= self.stale_at:
            self._reweigh()
        if self.many.turns is not None:
            return self._pick_of_many(held)
        best: Server | None = None
        for server in self.ring:
            server.tally += server.weight
            if best is None or server.tally > best.tally:
                best = server
        if best is None:
            return None
        best = self._newcomer(best) or best
        if held.key and self.settings.warm_keys and self._warmth(best) >= 1.0:
            best = self._warm_for(held.key, best)
        best.tally -= 1.0
        return best

    def _newcomer(self, leader: Server) -> Server | None:
        """The waiting server, if any, that has earned its first turn."""
        for server in self.waiting:
            server.tally += server.weight
            if server.tally >= 0.0:
                server.tally, server.seated = leader.tally, True
                self.ring.append(server)
                self.waiting.remove(server)
                return server
        return None

    def _warm_for(self, key: str, leader: Server) -> Server:
        """The key's own first server among those whose turn is near.

        Acts where servers remember keys. Sidecars agree on a key's order of servers without talking;
        the tallies still bound every server's share. A cold server is left to its own turns: keys
        would bring it all sidecars at once.
        """
        least = leader.tally - KEY_SLACK
        mark = crc32(key.encode())
        near = [s for s in self.ring if s.tally >= least and self._warmth(s) >= 1.0]
        return max(near, key=lambda s: (s.mark ^ mark) * 0x9E3779B1 & 0xFFFFFFFF)

    def _charge(self, chosen: Server) -> None:
        """Book a turn taken out of order, so that its server does not get its own turn as well."""
        if self.many.turns is not None:
            self.many.turns.charge(self.many.seats[chosen.id])
            return
        for server in self.ring:
            server.tally += server.weight
        chosen.tally -= 1.0

    def _pick_further(self, held: PendingRequest) -> Server | None:
        """A server for a retry or a hedge, where the retry budget allows one; it is booked."""
        if not self.retry_budget.allows():
            return None
        server = self._pick_retry(held)
        if server is not None:
            self.retry_budget.spend()
        return server

    def _pick_retry(self, held: PendingRequest) -> Server | None:
        """The healthiest server not yet tried, among those that may take this request."""
        if self.now >= self.stale_at:
            self._reweigh()
        tried = {attempt.server.id for attempt in held.attempts}
        drawn = self._some_of_many(held) if self.many.turns is not None else []
        options = [s for s in drawn if s.id not in tried and self._warmth(s) >= 1.0]
        options = options or [s for s in self.pool if s.id not in tried and self._may_send(held, s)]
        # A cold server has no errors yet: were it the healthiest, all sidecars' retries would push it over.
        # Nor is it a last resort: a cell whose others stop at once would send it all they held.
        if any(self._warmth(s) >= 1.0 for s in self.pool):
            options = [s for s in options if self._warmth(s) >= 1.0]
        options = options or self._once_more(held)
        if not options:
            return None
        best = max(options, key=lambda s: (s.health * self._warmth(s), s.tally))
        self._charge(best)
        return best

    def _once_more(self, held: PendingRequest) -> list[Server]:
        """The server tried last, where its answer was spoilt or lost and no other may take the request.

        It drops a repeat as its group does, and most often still has the answer. Guards small groups
        against anything that spoils single answers. One that has died refuses at once; one that sheds load
        is left alone, and one that starts gets few of them: they come out of the budget of copies.
        """
        last = held.attempts[-1] if held.attempts else None
        if last is None or last.open or not last.may_have_run:
            return []
        tries = sum(attempt.server is last.server for attempt in held.attempts)
        if tries > 1 or not self._may_send(held, last.server):
            return []
        if self._warmth(last.server) < 1.0:
            if self.copies < 1.0 or self._met() < DENSE:
                return []
            self.copies -= 1.0
        return [last.server]

    # Request lifecycle

    def _on_request(self, request: Request) -> None:
        grades = self.settings.grades
        grade = grades[request.grade] if 0 <= request.grade < len(grades) else UNKNOWN_GRADE
        held = PendingRequest(request, grade, self.now, self._elapsed(request, grade))
        self.held[held.id] = held
        if request.prior is not None:
            held.attempts.append(self._earlier(request.prior))
        self.overload.arrives(self.now)
        self.copies = min(COPY_BURST, self.copies + COPY_SHARE)
        self.lasting += held.coming
        # A retry that comes too late for any worth would only take others' room.
        if self.now >= held.deadline or self._turned_away(held, request.repeat):
            self._finish(held)
            return
        if not held.coming:
            self._set_timer(held, min(held.aim_at, held.deadline))
        copy_at = self._copy_time(held)
        if copy_at > self.now:
            self._set_timer(held, copy_at)
        self._send_or_finish(held, self._pick_retry(held) if held.attempts else self._pick(held))

    def _earlier(self, prior: Prior) -> Attempt:
        """An attempt of an earlier life: it may have run, where and when the caller could prove.

        One of which nothing is known was in no group and before any window. A server that is not listed as
        it was then takes nothing more.
        """
        server = self.servers.get(prior.endpoint)
        if server is None or (server.cell, server.zone) != (prior.cell, prior.zone):
            entry = Endpoint(prior.endpoint, prior.zone, cell=prior.cell, state=State.REMOVED)
            server = Server(entry)
        attempt = Attempt(server, self.now - prior.age)
        attempt.open = False
        return attempt

    def _set_timer(self, held: PendingRequest, at: int) -> None:
        self.timers[self.next_token] = held.id
        self.out.append(SetTimer(self.next_token, max(0, at - self.now)))
        self.next_token += 1

    def _copy_time(self, held: PendingRequest) -> int:
        """When a second copy is due: late enough to be rare, early enough to come in time."""
        usual = self.usual.get(held.grade_index, 0.0)
        effect = held.grade.effect
        if not self.settings.second_copies or not usual or effect is Effect.FRAGILE or held.coming:
            return 0
        if self.settings.warm_keys:  # a copy would miss the memory of its key and cost several times more
            return 0
        return int(min(self.now + SLOW * usual, held.aim_at - usual))

    def _send_copy(self, held: PendingRequest) -> None:
        """Send a second copy of an overdue request, where its class allows and the budget lasts.

        A sidecar that meets a server twice a minute learns of its trouble from the request it loses
        there; the copy saves that request. One that meets it several times before an error is forgotten
        has learned of it already: what is overdue there is heavy, and its copy as heavy. The budget
        keeps copies from feeding an overload.
        """
        if self.copies < 1.0 or self.overload.refused_share > 0.0 or len(held.attempts) != 1:
            return
        if self._met() * self.half_life / SECOND >= HEDGE_MEETINGS:
            return
        server = self._pick_further(held)
        if server is not None:
            self.copies -= 1.0
            self._send(held, server)

    def _elapsed(self, request: Request, grade: Grade) -> int:
        """How long the client has waited before this try, as far as its remaining time tells.

        Clients give all first tries of a class the same time; less means the class's deadline cut it. Some
        clients never mark a retry. As long as none has, one with less time is taken for a retry while a
        request that this sidecar did not serve can still come again, and only where it comes too late for any
        worth: to treat all such as marked ones cost more than it gave. It could do harm to a client that
        gives a first try less time than others do, in that while.
        """
        most = max(self.patience.get(request.grade, 0), request.budget)
        self.patience[request.grade] = most
        self.retries_marked = self.retries_marked or request.repeat
        unmarked = not self.retries_marked and self.now - self.unserved_at < grade.deadline
        if request.budget >= most or not (request.repeat or unmarked):
            return 0
        elapsed = max(0, grade.deadline - request.budget)
        too_late = elapsed >= grade.aim and not grade.late_value
        return elapsed if request.repeat or too_late else 0

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        held = self.held.get(event.id)
        if event.outcome is Outcome.DONE:
            self.retry_budget.answered()
        elif event.outcome is Outcome.BUSY:
            self.retry_budget.turned_away()
        self._note_health(event, held)
        if held is None:
            return
        if event.attempt < len(held.attempts):
            attempt = held.attempts[event.attempt]
            attempt.open = False
            attempt.may_have_run = event.outcome not in NEVER_RAN
        if event.outcome is Outcome.DONE and not held.bound and not held.coming:
            self.overload.answered(self.now, event.duration / max(1, held.grade.aim))
        if event.outcome is Outcome.BUSY:  # no place there: a queue that no answer tells of
            self.overload.window.answered(self.now, 1.0)
        if event.final or event.outcome is Outcome.DONE:
            late = event.outcome is not Outcome.DONE or self.now > held.aim_at
            self._judge(held, late)
            if event.outcome is Outcome.DONE and event.attempt > 0:
                self._blame_open(held)  # a later copy was faster
            self._forget(held)
            self._close_if_sparse(event.endpoint)
        elif event.outcome is Outcome.BAD_REQUEST:
            self._finish(held)  # no other endpoint would find it better
        elif not any(attempt.open for attempt in held.attempts):
            self._send_or_finish(held, self._pick_further(held))

    def _close_if_sparse(self, endpoint: int) -> None:
        """Close a connection that would most likely idle away unused.

        Acts where a connection carries one request and this sidecar comes round to a server more
        rarely than idle connections are dropped. Otherwise connections grow as sidecars times
        servers and fill the servers' tables.
        """
        settings = self.settings
        if settings.streams_per_conn == 1 and self.overload.gap * len(self.pool) > settings.conn_idle > 0:
            self.out.append(CloseIdle(endpoint))

    def _note_health(self, event: AttemptEnded, held: PendingRequest | None) -> None:
        server = self.servers.get(event.endpoint)
        if server is None or event.outcome in NO_FAULT:
            return
        done = event.outcome is Outcome.DONE
        # A slow server answers everything in the end: without this it would keep its full weight.
        timed = done and held is not None and not held.bound and not held.coming
        slow = held is not None and timed and self._too_slow(server, held, event.duration)
        if done and not slow:
            self._record_success(server)
        elif held is None or event.attempt >= len(held.attempts) or not held.attempts[event.attempt].blamed:
            self._record_failure(server)

    def _too_slow(self, server: Server, held: PendingRequest, duration: int) -> bool:
        """Whether an answer came far beyond its peers' time; learns that time on the way."""
        index = held.grade_index
        usual = self.usual.get(index, 0.0)
        limit = min(SLOW * usual, held.grade.aim) if usual else held.grade.aim
        taken = min(duration, held.grade.aim)
        self.usual[index] = usual + (taken - usual) / USUAL_MEMORY if usual else taken
        if usual:
            self._learn_pace(server, taken / usual)
        return duration > limit

    def _learn_pace(self, server: Server, ratio: float) -> None:
        """Follow how a kind's answers compare with the usual time.

        Listed sizes count cores, not their speed: equal turns overload the slow kind of machine while
        the fast one idles. A kind is many servers, so even a sparse sidecar learns its pace.
        """
        pace = self.pace.get(server.kind, 1.0)
        self.pace[server.kind] = pace + (ratio - pace) / PACE_MEMORY

        own = math.log(max(ratio, 1e-3) / self.pace[server.kind])
        server.paces = min(server.paces + 1, self.own_memory)
        server.pace += (own - server.pace) / server.paces

    def _own_pace(self, server: Server) -> float:
        """How a server's answers compare with its kind's, as far as it is known.

        Machines of a kind differ, and another program may take part of one for a while. One answer tells
        little, so that a server starts with its kind's pace; but a sparse sidecar, which meets a server
        twice a minute, is one of many, and what each of them leans the sum does.
        """
        return math.exp(server.pace * server.paces / (server.paces + self.own_doubt))

    def _on_client_left(self, event: ClientLeft) -> None:
        held = self.held.get(event.id)
        if held is not None:
            self.unserved_at = self.now  # its client may have given up this try alone
            self._forget(held)

    def _on_stream_began(self, event: StreamBegan) -> None:
        held = self.held.get(event.id)
        if held is not None and not held.bound:
            held.bound = True
            self.lasting += not held.coming
            self._judge(held, late=self.now > held.aim_at)  # how long it lasts from here tells nothing
            if (
                event.attempt < len(held.attempts) and not held.coming
            ):  # that it began is the answer that the pace goes by
                taken = self.now - held.attempts[event.attempt].sent_at
                self.overload.answered(self.now, taken / max(1, held.grade.aim))

    def _on_probe_ended(self, event: ProbeEnded) -> None:
        pass

    def _on_timer(self, event: TimerFired) -> None:
        if event.token == WATCH_TOKEN:
            self.out.append(Watch())
            return
        held = self.held.get(self.timers.pop(event.token, ""))
        if held is None or held.bound:  # a stream that has begun may last: that is no slowness
            return
        if self.now < min(held.aim_at, held.deadline):
            self._send_copy(held)
        else:
            self._judge(held, late=True)
            self._blame_open(held)

    def _blame_open(self, held: PendingRequest) -> None:
        """Count attempts still out past the aim against their servers now, not at the time-out."""
        for attempt in held.attempts:
            if attempt.open and not attempt.blamed:
                attempt.blamed = True
                usual = self.usual.get(held.grade_index, 0.0)
                if usual:
                    self._learn_pace(attempt.server, max(1.0, held.grade.aim / usual))
                self._record_failure(attempt.server)

    def _forget(self, held: PendingRequest) -> None:
        """The client has its answer: drop the request and withdraw what is still out."""
        del self.held[held.id]
        self.lasting -= held.bound or held.coming
        if self.settings.cancel and not held.bound:
            for number, attempt in enumerate(held.attempts):
                if attempt.open:
                    self.out.append(Cancel(held.id, number))

    # Admission

    def _judge(self, held: PendingRequest, late: bool) -> None:
        """Count a request once as in time or late, at its aim at the latest; steer refusals by it."""
        if held.judged:
            return
        held.judged = True
        self.overload.judged(self.now, late)

    def _turned_away(self, held: PendingRequest, repeat: bool) -> bool:
        """Refuse early, least worth first, when the servers can't keep up (limits/overload.py)."""
        worth = held.grade.worth
        over_share = self._over_share(held.tenant)
        if over_share:
            worth *= self.settings.over_share_worth
        refused = self.overload.refuses(
            worth, held.grade.aim, len(self.held) - 1 - self.lasting, over_share, repeat
        )
        held.over_share = refused and over_share
        return refused

    def _over_share(self, tenant: int) -> bool:
        """Whether the tenant sends this sidecar more than its share of what it gets."""
        tenants = self.settings.tenants
        if not 0 <= tenant < len(tenants):
            return False
        for index, entitled in enumerate(tenants):
            self.credit[index] = min(SHARE_BURST, self.credit[index] + entitled.share)
        if self.credit[tenant] < 1.0:
            return True
        self.credit[tenant] -= 1.0
        return False

    # The choke point: everything sent or finished passes here, and the rules are kept here.

    def _may_send(self, held: PendingRequest, server: Server) -> bool:
        """Whether the rules allow one more attempt of this request, at this server."""
        if self.now >= held.deadline or len(held.attempts) >= self.settings.max_attempts or held.bound:
            return False
        if not self._selectable(server):  # drains are kept from the moment they are known
            return False
        if not self.settings.second_copies and any(attempt.open for attempt in held.attempts):
            return False
        effect = held.grade.effect
        if effect is Effect.RETRYABLE:
            return True
        ran = [attempt for attempt in held.attempts if attempt.may_have_run]
        if not ran:
            return True
        if effect is Effect.FRAGILE:  # it could take effect twice
            return False
        return self._same_group(held.grade.scope, ran[0].server, server) and self.now < self._ends_by(held)

    def _ends_by(self, held: PendingRequest) -> int:
        """When the next attempt has to be over: with the client's patience, so that no answer is late.

        A keyed request that may have run also within the window: a try that comes up late, or that is cut off
        and gets there once the cut is over, would run for a group that has forgotten the one before.
        """
        ran = next((attempt for attempt in held.attempts if attempt.may_have_run), None)
        if ran is None or held.grade.effect is not Effect.DEDUP:
            return held.deadline
        return min(held.deadline, ran.sent_at + int(held.grade.window * WINDOW_PART))

    @staticmethod
    def _same_group(scope: Scope, one: Server, other: Server) -> bool:
        if scope is Scope.ALL:
            return True
        return one.cell == other.cell if scope is Scope.CELL else one.zone == other.zone

    def _may_refuse(self, held: PendingRequest) -> bool:
        """A refusal tells the client that trying again is harmless; only then may it be said."""
        grade = held.grade
        if grade.effect is Effect.RETRYABLE or not any(a.may_have_run for a in held.attempts):
            return True
        return grade.effect is Effect.DEDUP and grade.scope is Scope.ALL

    def _send_or_finish(self, held: PendingRequest, server: Server | None) -> None:
        if server is None or not self._may_send(held, server):
            self._finish(held)
        else:
            self._send(held, server)

    def _send(self, held: PendingRequest, server: Server) -> None:
        limit = self._ends_by(held) - self.now
        held.attempts.append(Attempt(server, self.now))
        self.out.append(Send(held.id, server.id, limit))

    def _come_back(self, held: PendingRequest) -> int:
        """When a refused client should try again: soon enough to be served in time, not at once.

        What made this one be refused has hardly passed a moment later, and all come back together.
        """
        return min(self.settings.max_retry_after, max(0, held.aim_at - self.now) // RETRY_PART)

    def _finish(self, held: PendingRequest) -> None:
        refuse = self._may_refuse(held)
        refusal = Refuse(held.id, self._come_back(held), held.over_share)
        self.out.append(refusal if refuse else Fail(held.id))
        if held.attempts or self.now < held.deadline:  # else it came too late: that must not go on by itself
            self.unserved_at = self.now
        self._forget(held)


# A class the settings do not name gets the strictest treatment.
UNKNOWN_GRADE = Grade(aim=0, deadline=0, effect=Effect.FRAGILE, late_value=1.0)
