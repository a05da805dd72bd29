"""All decisions of a sidecar balancer: which endpoint serves a request, and what follows.

The input events, the output actions and the settings are in interface.py. The design is health-weighted
smooth round-robin; docs/design.md lists what it keeps and changes of the published algorithm and when each
special case applies. Order of this file: membership, health and weights, pick, request lifecycle, admission.
Nothing here reads a clock or does I/O; the same seed and events give the same actions.
All times are in nanoseconds.
"""

from __future__ import annotations

import math
import random
from bisect import bisect_left
from dataclasses import replace
from zlib import crc32

from garnethaven.attempt_rules import attempt_deadline, is_attempt_allowed, is_refusal_allowed
from garnethaven.interface import (
    NEVER_RAN,
    Action,
    AttemptEnded,
    AttemptResumed,
    AttemptStalled,
    Cancel,
    ClientLeft,
    CloseIdle,
    CordonChange,
    Endpoint,
    Event,
    Fail,
    Idempotency,
    ListKind,
    Membership,
    Outcome,
    PriorAttempt,
    ProbeEnded,
    ProcessResumed,
    Refuse,
    Request,
    RequestClass,
    RestoredState,
    Send,
    SetTimer,
    Settings,
    Started,
    State,
    StreamBegan,
    TimerFired,
    Watch,
)
from garnethaven.limits.overload import Overload
from garnethaven.limits.retry_budget import RetryBudget
from garnethaven.records import Attempt, LargePool, PendingRequest, Server
from garnethaven.recovery.cold import MAX_COLD_LOAD_SHARE, likely_capacity, warmth_at_age
from garnethaven.weighted_round_robin import WeightedRoundRobin

# Share of a server's weight lost by each consecutive error. The published algorithm uses 0.1; a sidecar sees
# too few answers of one server for that.
ERROR_PENALTY = 0.8
MIN_ERROR_PENALTY = 0.3  # at high request rates: one error in a burst must not empty a server
HIGH_REQUEST_RATE = 4.0  # requests per second and server above which the error penalty shrinks
MIN_HEALTH = 0.05  # share of its weight that a penalised server keeps, so that its recovery is noticed
SLOW_FACTOR = 3.0  # an answer slower than this multiple of the latency estimate counts as an error
LATENCY_WINDOW = 32  # answers over which the latency estimate of a request class is smoothed
MAX_AFFINITY_LEAD = 0.8  # rounds by which a server may be picked ahead of its turn for a key
# The local zone keeps all its requests while its weight is at least 1 / LOCAL_ZONE_HEADROOM of an even share.
LOCAL_ZONE_HEADROOM = 1.3
MIN_SIDECARS_PER_ZONE = 24  # in smaller fleets the sidecars are spread unevenly over zones by chance
LARGE_POOL_THRESHOLD = 64  # larger pools use a tree for round-robin, where a change updates one path only
LARGE_POOL_REWEIGHTS_PER_RAMP = 2  # of all weights: what affects all of them changes slowly
SPARE_LEAF_DIVISOR = 8  # a tree is built with 1/8 more leaves than servers, for servers that join later
RETRY_SAMPLE_SIZE = 16  # servers of a large pool that a retry chooses from
MAX_TENANT_CREDIT = 4.0  # requests that a tenant may be ahead of its share
DISTANT_PAST = -(1 << 62)
HEDGES_PER_REQUEST = 0.05  # hedge tokens earned by each request
# A sidecar that sends a server this many requests per half-life of an error doesn't hedge: the errors counted
# for the server already show that it is slow.
UNHEDGED_REQUESTS_PER_HALF_LIFE = 4.0
MAX_HEDGE_TOKENS = 5.0
KIND_RATIO_WINDOW = 24  # answers over which the latency ratio of an endpoint kind is smoothed
# Answers over which the latency ratio of one server is smoothed. Between the bounds it is the number of
# answers received in SERVER_RATIO_WINDOW_S: other load on a server's machine comes and goes.
MAX_SERVER_RATIO_WINDOW = 64
MIN_SERVER_RATIO_WINDOW = 8.0
# Answers of one server that count as much as the ratio of its kind. A sidecar that rarely sends to a server
# uses this low value: its errors average out over the sidecars of the fleet.
MIN_SHRINKAGE_SAMPLES = 2.0
SERVER_RATIO_WINDOW_S = 16.0
REWEIGHTS_PER_RAMP = 50  # maximum; cold weights change slowly
STEADY_REWEIGHTS_PER_RAMP = 8  # the same while no server is cold or penalised

# Outcomes that do not count against the server. STALE is one of them because a server that is used rarely
# finds more of its kept connections closed, and would be penalised for that. A dead server still refuses the
# connection that follows.
NEUTRAL_OUTCOMES = frozenset({Outcome.CANCELLED, Outcome.SKIPPED, Outcome.BAD_REQUEST, Outcome.STALE})
RETRY_AFTER_DIVISOR = 3  # a refused client is told to retry after this part of the time left to its target
GOLDEN_RATIO = 0.6180339887498949  # its multiples modulo 1 are spread evenly, for any set of instances
# Longest pause after a failed call to discovery. With the calls before and after it
# (limits/list_freshness.py) it has to end before a list change counts as known, 6 s after discovery becomes
# reachable again. Limitation: adds load where rejecting a call is expensive for discovery.
MAX_DISCOVERY_PAUSE_NS = 2_000_000_000
FULL_SPREAD_FLEET_SIZE = 25  # sidecars whose calls to discovery need all the time that the settings allow

SECOND = 1_000_000_000
WATCH_TOKEN = 0  # token of the discovery timer, the only timer that belongs to no request


class Balancer:
    """One balancer instance: pass events to handle() and carry out the returned actions in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.now = 0
        self.actions: list[Action] = []  # of the event being handled
        self.servers: dict[int, Server] = {}  # all listed servers, by endpoint id
        self.pool: list[Server] = []  # selectable servers, by id
        self.rotation: list[Server] = []  # servers of a small pool that take turns
        self.newcomers: list[Server] = []  # servers of a small pool that wait for their first turn
        self.reweight_at = 0  # time of the next recomputation of all weights
        # Of the last recomputation: the factor on health per error, the mean health, the sum of weights
        # before normalisation, and the factor on the weights of other zones.
        self.health_per_error, self.mean_health, self.total_weight, self.remote_factor = 1.0, 1.0, 1.0, 1.0
        self.max_cold_factor = 0.0  # bounds a cold server's weight, as a multiple of its guaranteed capacity
        self.server_ratio_window = MIN_SERVER_RATIO_WINDOW
        self.shrinkage_samples = MIN_SHRINKAGE_SAMPLES
        self.large_pool = LargePool()
        self.cordoned: dict[int, int] = {}  # time of the cordon, by endpoint id; independent of the list
        self.uncordoned: dict[int, tuple[int, int]] = {}  # times of cordon and uncordon, by endpoint id
        self.awaiting_first_list = True
        self.failed_discovery_calls = 0  # consecutive, at most 2
        # The published 10 minutes far outlast a failure. The ramp time gives a server that recovers from
        # errors as long as a restarted one.
        self.error_half_life = max(1, settings.ramp_time)
        self.latency_estimates: dict[int, float] = {}  # smoothed latency of good answers, by class index
        self.overload = Overload(self.rng)
        self.retry_budget = RetryBudget()
        self.kind_latency_ratios: dict[
            int, float
        ] = {}  # smoothed latency ratio to the class's estimate, by endpoint kind
        self.hedge_tokens = 1.0  # hedge tokens
        self.max_client_budgets: dict[
            int, int
        ] = {}  # the largest time budget that a client sent, by class index
        self.clients_mark_retries = False  # once one is marked, unmarked requests count as first tries
        self.last_unserved_at = DISTANT_PAST  # when a request last ended without a good answer
        self.tenant_credits = [1.0] * len(settings.tenants)
        self.next_token = WATCH_TOKEN + 1
        self.timers: dict[int, str] = {}  # request id by timer token
        self.pending_requests: dict[str, PendingRequest] = {}  # by request id
        self.streaming_count = 0  # pending requests that stream or upload: long-lived, so not a queue
        self.handlers = {
            Request: self._on_request,
            AttemptEnded: self._on_attempt_ended,
            TimerFired: self._on_timer,
            Membership: self._on_membership,
            ClientLeft: self._on_client_left,
            StreamBegan: self._on_stream_began,
            AttemptStalled: self._on_attempt_stalled,
            AttemptResumed: self._on_attempt_resumed,
            ProbeEnded: self._on_probe_ended,
            Started: self._on_started,
            CordonChange: self._on_cordon_change,
            RestoredState: self._on_restored_state,
            ProcessResumed: lambda _: self._begin_startup_window(),
        }

    def warmth_and_penalty(self, endpoint: int) -> tuple[float, bool]:
        """Return an endpoint's warmth, 0 to 1, and whether errors penalise it; (0, True) if not listed."""
        server = self.servers.get(endpoint)
        if server is None:
            return 0.0, True
        return self._warmth(server), self.decayed_errors(server) >= 1.0

    def handle(self, now: int, event: Event) -> list[Action]:
        """Process one event at time `now` and return the resulting actions in order."""
        self.now = now
        self.actions = []
        self.handlers[type(event)](event)  # type: ignore[operator]
        return self.actions

    # Membership

    def _on_started(self, event: Started) -> None:
        if self.settings.calls_discovery:
            # First calls are spread: a fleet that starts together would overload discovery. A small fleet
            # would not, and calls sooner because the persisted list may be stale. The instance index places
            # the call, more evenly than a random draw; index 0 may mean that none is configured.
            instance_index = self.settings.instance_index
            place = instance_index * GOLDEN_RATIO % 1.0 if instance_index else self.rng.random()
            self._schedule_watch(self._scaled_to_fleet(self.settings.discovery_call_span // 2), place)

    def _scaled_to_fleet(self, span: int) -> int:
        """Return the part of `span` over which a fleet of this size has to spread its calls."""
        return min(span, span * self.settings.fleet_size // FULL_SPREAD_FLEET_SIZE)

    def _schedule_watch(self, span: int, place: float) -> None:
        """Set the discovery timer to the point `place` (0 to 1) of `span`."""
        self.actions.append(SetTimer(WATCH_TOKEN, int(place * span)))

    def _on_membership(self, event: Membership) -> None:
        if event.kind is ListKind.FAILED:
            # Back off: calls that failed under load would otherwise come back as more load.
            self.failed_discovery_calls = min(self.failed_discovery_calls + 1, 2)
            span = self._scaled_to_fleet(self.settings.discovery_call_span * self.failed_discovery_calls // 2)
            span = max(span, self.failed_discovery_calls * SECOND // 2)
            self._schedule_watch(min(span, MAX_DISCOVERY_PAUSE_NS), self.rng.random())
            return
        if event.kind is not ListKind.PERSISTED:
            self.failed_discovery_calls = 0
        if (
            event.kind is ListKind.DELTA
            and self.large_pool.scheduler is not None
            and len(event.endpoints) < LARGE_POOL_THRESHOLD
        ):
            for entry in event.endpoints:
                self._update_endpoint(entry)
                self._update_large_pool(entry.id)
            return
        if event.kind is not ListKind.DELTA:
            listed = {entry.id for entry in event.endpoints}
            for removed in [endpoint_id for endpoint_id in self.servers if endpoint_id not in listed]:
                self._remove_endpoint(removed)
        for entry in event.endpoints:
            self._update_endpoint(entry)
        self._rebuild_pool()
        if self.awaiting_first_list and self.pool:
            self.awaiting_first_list = False
            self._begin_startup_window()

    def _rebuild_pool(self) -> None:
        self.pool = [s for _, s in sorted(self.servers.items()) if self._selectable(s)]
        self._recompute_weights()

    def _begin_startup_window(self) -> None:
        """Limit admission until answers show what the servers can do (recovery/startup_window.py)."""
        mean_units = sum(server.relative_capacity for server in self.pool) / max(1, len(self.pool))
        warm_servers = sum(server.relative_capacity * self._warmth(server) for server in self.pool) / (
            mean_units or 1.0
        )
        target = min(
            (request_class.target for request_class in self.settings.request_classes), default=SECOND
        )
        self.overload.window.begin(self.now, warm_servers, self.settings.fleet_size, target)

    def _on_restored_state(self, event: RestoredState) -> None:
        for restored in event.servers:
            if restored.endpoint in self.servers:
                server = self.servers[restored.endpoint]
                server.errors, server.errors_updated_at = restored.errors, self.now
                server.log_latency_ratio, server.latency_samples = (
                    restored.log_latency_ratio,
                    restored.latency_samples,
                )
        self.kind_latency_ratios |= event.kind_latency_ratios
        self.latency_estimates |= event.latency_estimates
        self.hedge_tokens = min(
            self.hedge_tokens, event.hedge_tokens
        )  # a process that restarts often must not refill it
        self.overload.retry_tokens = min(self.overload.retry_tokens, event.retry_tokens)
        # Otherwise a burst after the restart would look like a high request rate and lower the error penalty.
        self.overload.arrival_gap = event.request_interval or self.overload.arrival_gap
        self._recompute_weights()

    def _selectable(self, server: Server) -> bool:
        """Whether a new attempt may go to the server: listed as up, and not cordoned."""
        return server.state is State.UP and server.id not in self.cordoned

    def accepts_attempts(self, endpoint: int) -> bool:
        """Whether a new attempt may begin at the endpoint; for transports that queue attempts."""
        server = self.servers.get(endpoint)
        return server is not None and self._selectable(server)

    def excluded_count(self) -> int:
        """Return the number of listed servers that get no new attempts."""
        return sum(not self._selectable(server) for server in self.servers.values())

    def _on_cordon_change(self, event: CordonChange) -> None:
        if event.cordoned:
            self.cordoned.setdefault(event.endpoint, self.now)
        elif event.endpoint in self.cordoned:
            self.uncordoned[event.endpoint] = (self.cordoned.pop(event.endpoint), self.now)
            server = self.servers.get(event.endpoint)
            if server is not None:  # assumed restarted while it was cordoned, so its state starts over
                self.servers[server.id] = Server(self._with_uncordon_time(server.entry))
        self._rebuild_pool()

    def _with_uncordon_time(self, entry: Endpoint) -> Endpoint:
        """Return the entry with its uncordon time as start time, if it has no start since the cordon."""
        cordoned_at, uncordoned_at = self.uncordoned.get(entry.id, (entry.started, entry.started))
        return entry if entry.started >= cordoned_at else replace(entry, started=uncordoned_at)

    def _update_endpoint(self, entry: Endpoint) -> None:
        """Apply a list entry; a server with another start time has restarted and loses its state."""
        known = self.servers.get(entry.id)
        entry = self._with_uncordon_time(entry) if self.uncordoned else entry
        if entry.state is State.REMOVED:
            self._remove_endpoint(entry.id)
        elif known is not None and known.started == entry.started:
            known.update(entry)
        else:
            self.servers[entry.id] = Server(entry)

    def _remove_endpoint(self, endpoint: int) -> None:
        """Remove a server and mark it, so that attempts that refer to it are not retried there."""
        server = self.servers.pop(endpoint, None)
        if server is not None:
            server.state = State.REMOVED

    # Health and weights

    def _record_failure(self, server: Server) -> None:
        server.errors = self.decayed_errors(server) + 1.0
        server.errors_updated_at = self.now
        self._mark_weight_stale(server)

    def _record_success(self, server: Server) -> None:
        if server.errors:
            server.errors = 0.0
            self._mark_weight_stale(server)

    def _mark_weight_stale(self, server: Server) -> None:
        """Schedule recomputation before the next pick: of all weights, or in a large pool of this one."""
        if self.large_pool.scheduler is None:
            self.reweight_at = self.now
        else:
            self.large_pool.changed[server.id] = server

    def decayed_errors(self, server: Server) -> float:
        """Return the server's error count, decayed to the present."""
        if not server.errors:
            return 0.0
        age = (self.now - server.errors_updated_at) / self.error_half_life
        return server.errors * float(0.5**age)

    def _warmth(self, server: Server) -> float:
        """Return the share of its capacity that a started server has at least; more load may crash it."""
        settings = self.settings
        if not server.started:
            return 1.0
        return warmth_at_age(self.now - server.started, settings.cold_share, settings.ramp_time)

    def _error_penalty(self) -> float:
        """Return the share of weight that one error costs; it shrinks as the rate per server grows.

        A sidecar that sends a server two requests a minute must act on one error. At dozens a second a
        dead server fails many times in a row, while single errors are chance: acting on each of them
        swung all traffic from server to server (weights from 0.02 to 0.9 within a second).
        """
        return max(
            MIN_ERROR_PENALTY,
            ERROR_PENALTY / float(max(1.0, self._rate_per_server() / HIGH_REQUEST_RATE) ** 0.5),
        )

    def _rate_per_server(self) -> float:
        """Return the mean requests per second that this sidecar sends to one server."""
        gap = self.overload.arrival_gap
        return SECOND / gap / len(self.pool) if gap and self.pool else 0.0

    def _recompute_weights(self) -> None:
        """Recompute all weights, normalise them to a sum of 1 and rebuild the rotation."""
        changing, self.health_per_error = False, 1.0 - self._error_penalty()
        answers = min(MAX_SERVER_RATIO_WINDOW, self._rate_per_server() * SERVER_RATIO_WINDOW_S)
        self.server_ratio_window, self.shrinkage_samples = (
            max(MIN_SERVER_RATIO_WINDOW, answers),
            max(MIN_SHRINKAGE_SAMPLES, answers),
        )
        for server in self.pool:
            self._update_capacity_and_health(server)
            changing = changing or server.errors > 0.0
        self.mean_health = sum(server.health for server in self.pool) / max(1, len(self.pool))
        warmths = [self._warmth(server) for server in self.pool]
        self._update_max_cold_factor(warmths)
        for server, warmth in zip(self.pool, warmths, strict=True):
            if warmth < 1.0:
                server.weight, changing = self._cold_weight(server, warmth), True
            else:
                server.weight = server.capacity * server.health
        self._prefer_local_zone()
        # Weights are normalised because current weights count in rounds: if the sum shrank, as when errors
        # penalise all servers of an overload, old current weights would outweigh it, and a newcomer placed
        # near the largest would be picked again and again.
        self.total_weight = sum(server.weight for server in self.pool) or 1.0
        for server in self.pool:
            server.weight /= self.total_weight
        if len(self.pool) > LARGE_POOL_THRESHOLD:
            self._rebuild_large_pool()
            reweights_per_ramp = LARGE_POOL_REWEIGHTS_PER_RAMP  # changing weights are refreshed in between
        else:
            self.large_pool.scheduler = None
            self._rebuild_rotation()
            reweights_per_ramp = REWEIGHTS_PER_RAMP if changing else STEADY_REWEIGHTS_PER_RAMP
        self.reweight_at = self.now + max(1, self.settings.ramp_time // reweights_per_ramp)

    def _update_capacity_and_health(self, server: Server) -> None:
        server.capacity = (
            server.relative_capacity
            / self.kind_latency_ratios.get(server.kind, 1.0)
            / self._server_latency_ratio(server)
        )
        server.health = max(MIN_HEALTH, self.health_per_error ** self.decayed_errors(server))

    def _update_max_cold_factor(self, warmths: list[float]) -> None:
        """Bound the weight of cold servers, so that the fleet together stays under `max_cold_load_multiple`.

        The load is taken to be the full capacity of all servers: the less of it is available, the more of
        the load falls to each server.
        """
        full_capacity = sum(server.capacity for server in self.pool) * self.mean_health
        available = sum(
            s.capacity * s.health * likely_capacity(w) for s, w in zip(self.pool, warmths, strict=True)
        )
        self.max_cold_factor = (
            MAX_COLD_LOAD_SHARE * self.settings.max_cold_load_multiple * available / (full_capacity or 1.0)
        )

    def _cold_weight(self, server: Server, warmth: float) -> float:
        """Return the weight of a server that is still warming up."""
        # A newcomer counts as no healthier than the mean: in an overload all its peers are penalised, and
        # its error count of zero would bring it many times its share.
        health = min(server.health, self.mean_health)
        return server.capacity * health * min(likely_capacity(warmth), self.max_cold_factor * warmth)

    # Large pools: weighted round-robin as a tree (turns.py), where a change updates one path only

    def _rebuild_large_pool(self) -> None:
        """Assign every server of the pool to a leaf and set all weights."""
        if self.large_pool.scheduler is None or len(self.pool) > len(self.large_pool.servers_by_leaf):
            self.large_pool.scheduler = WeightedRoundRobin(
                len(self.pool) + len(self.pool) // SPARE_LEAF_DIVISOR
            )
            self.large_pool.scheduler.randomize(self.rng)
            self.large_pool.servers_by_leaf = [None] * self.large_pool.scheduler.level_widths[0]
            self.large_pool.free_leaves = list(range(len(self.large_pool.servers_by_leaf) - 1, -1, -1))
            self.large_pool.leaf_by_id.clear()
            for server in self.pool:
                server.in_rotation = True  # its random start is within the first round
        pooled = {server.id for server in self.pool}
        for removed in [
            endpoint_id for endpoint_id in self.large_pool.leaf_by_id if endpoint_id not in pooled
        ]:
            self._release_leaf(removed)
        for server in self.pool:
            self._assign_leaf(server)
        self.large_pool.scheduler.set_weights(
            [server.weight if server is not None else 0.0 for server in self.large_pool.servers_by_leaf]
        )
        self.large_pool.time_varying = {s.id: s for s in self.pool if self._weight_varies(s)}
        self.large_pool.changed.clear()
        self.large_pool.refresh_at = self.now + max(1, self.settings.ramp_time // REWEIGHTS_PER_RAMP)

    def _assign_leaf(self, server: Server) -> None:
        assert self.large_pool.scheduler is not None
        leaf = self.large_pool.leaf_by_id.get(server.id)
        if leaf is None:
            leaf = self.large_pool.leaf_by_id[server.id] = self.large_pool.free_leaves.pop()
        self.large_pool.servers_by_leaf[leaf] = server
        if not server.in_rotation:  # a newcomer waits for its first turn, as in a small pool
            server.in_rotation = True
            self.large_pool.scheduler.set_current_weight(leaf, -self.rng.random())

    def _release_leaf(self, endpoint: int) -> None:
        leaf = self.large_pool.leaf_by_id.pop(endpoint, None)
        if leaf is not None and self.large_pool.scheduler is not None:
            self.large_pool.servers_by_leaf[leaf] = None
            self.large_pool.free_leaves.append(leaf)
            self.large_pool.scheduler.set_weight(leaf, 0.0)

    def _update_large_pool(self, endpoint: int) -> None:
        """Apply the addition, removal or change of one server without recomputing the others."""
        server = self.servers.get(endpoint)
        index = bisect_left(self.pool, endpoint, key=lambda candidate: candidate.id)
        present = index < len(self.pool) and self.pool[index].id == endpoint
        affected = self.pool[index] if present else server
        is_local = affected is not None and affected.zone == self.settings.zone
        if is_local and self.settings.cross_zone_price > 0.0:
            # The share of requests that the local zone carries changes, and with it all weights.
            self.reweight_at = min(self.reweight_at, self.large_pool.refresh_at)
        if server is None or not self._selectable(server):
            if present:
                del self.pool[index]
            self._release_leaf(endpoint)
            self.large_pool.changed.pop(endpoint, None)
            if len(self.pool) <= LARGE_POOL_THRESHOLD // 2:
                self.reweight_at = self.now  # small enough to go back to the plain rotation
            return
        if present:
            self.pool[index] = server
        else:
            self.pool.insert(index, server)
        if endpoint not in self.large_pool.leaf_by_id and not self.large_pool.free_leaves:
            self._recompute_weights()  # builds a larger tree
            return
        self._assign_leaf(server)
        self.large_pool.changed[endpoint] = server
        if self._warmth(server) < 1.0:
            self.large_pool.time_varying[endpoint] = server

    def _weight_varies(self, server: Server) -> bool:
        """Whether the server's weight changes with time: it warms up, or its errors decay."""
        return server.errors > 0.0 or self._warmth(server) < 1.0

    def _recompute_changed_weights(self) -> None:
        """Recompute the weights that changed, and at each refresh those that vary with time."""
        assert self.large_pool.scheduler is not None
        changed, self.large_pool.changed = self.large_pool.changed, {}
        if self.now >= self.large_pool.refresh_at:
            self.large_pool.refresh_at = self.now + max(1, self.settings.ramp_time // REWEIGHTS_PER_RAMP)
            self.large_pool.time_varying = {
                endpoint_id: s
                for endpoint_id, s in self.large_pool.time_varying.items()
                if self._weight_varies(s)
            }
            changed |= self.large_pool.time_varying
        for endpoint, server in changed.items():
            leaf = self.large_pool.leaf_by_id.get(endpoint)
            if leaf is None or self.large_pool.servers_by_leaf[leaf] is not server:
                continue  # removed or restarted since
            self._update_capacity_and_health(server)
            warmth = self._warmth(server)
            weight = server.capacity * server.health if warmth >= 1.0 else self._cold_weight(server, warmth)
            is_remote = server.zone != self.settings.zone
            server.weight = weight * (self.remote_factor if is_remote else 1.0) / self.total_weight
            self.large_pool.scheduler.set_weight(leaf, server.weight)
            if server.errors > 0.0:
                self.large_pool.time_varying[endpoint] = server

    def _pick_from_large_pool(self, pending: PendingRequest) -> Server | None:
        assert self.large_pool.scheduler is not None
        if self.large_pool.changed or self.now >= self.large_pool.refresh_at:
            self._recompute_changed_weights()
        keyed = bool(pending.key) and self.settings.key_affinity
        key_hash = crc32(pending.key.encode()) if keyed else None
        leaf = self.large_pool.scheduler.pick(key_hash, MAX_AFFINITY_LEAD, self._leaf_is_warm)
        return self.large_pool.servers_by_leaf[leaf] if leaf is not None else None

    def _leaf_is_warm(self, leaf: int) -> bool:
        server = self.large_pool.servers_by_leaf[leaf]
        return server is not None and self._warmth(server) >= 1.0

    def _sample_large_pool(self, pending: PendingRequest) -> list[Server]:
        """Return random candidates for a retry; a scan of the whole pool would take long."""
        sample = [self.pool[self.rng.randrange(len(self.pool))] for _ in range(RETRY_SAMPLE_SIZE)]
        return [server for server in sample if self._may_send(pending, server)]

    def _rebuild_rotation(self) -> None:
        """Divide the pool into servers that take turns and newcomers that wait for their first turn.

        A newcomer, or a server whose weight was zero, first waits a random part of a round at its own
        weight. Placed among the others' current weights at once, a light one would be within their ordinary
        fluctuation, and so the next pick of every fifth sidecar at the same moment.
        """
        # If no server takes turns, the newcomers start at once.
        first_round = not any(server.in_rotation and server.weight > 0.0 for server in self.pool)
        for server in self.pool:
            if server.weight <= 0.0:
                server.in_rotation, server.current_weight = False, 0.0
            elif not server.in_rotation and (first_round or server.current_weight >= 0.0):
                server.current_weight = -self.rng.random()  # else all sidecars would pick in lockstep
                server.in_rotation = first_round
        self.rotation = [s for s in self.pool if s.weight > 0.0 and s.in_rotation]
        self.newcomers = [s for s in self.pool if s.weight > 0.0 and not s.in_rotation]

    def _prefer_local_zone(self) -> None:
        """Keep requests in the local zone as far as its servers can carry them.

        Applies where crossing zones has a price. A zone that is small, cold or unhealthy sends the rest
        to other zones; without a local server, all zones are used alike.
        """
        zones = len({server.zone for server in self.pool})
        if self.settings.cross_zone_price <= 0.0 or zones < 2:
            return
        local = [server for server in self.pool if server.zone == self.settings.zone]
        local_weight = sum(server.weight for server in local)
        remote_weight = sum(server.weight for server in self.pool) - local_weight
        even_share = sum(server.capacity for server in self.pool) / zones
        local_share = min(1.0, LOCAL_ZONE_HEADROOM * local_weight / even_share)
        self.remote_factor = 1.0
        if not local_weight or not remote_weight:
            return
        # The even share assumes that sidecars are spread evenly over zones, but their zones are random: of
        # 40 sidecars, one of four zones has 14 and another 6, and if all stay local, one zone is overloaded
        # while the other idles. The excess shrinks with the square root of the fleet size, its cost faster.
        locality = min(1.0, self.settings.fleet_size / (MIN_SIDECARS_PER_ZONE * zones)) ** 2
        local_share = locality * local_share + (1.0 - locality) * local_weight / (
            local_weight + remote_weight
        )
        self.remote_factor = min(1.0, (1.0 - local_share) / local_share * local_weight / remote_weight)
        for server in self.pool:
            if server.zone != self.settings.zone:
                server.weight *= self.remote_factor

    # Pick

    def _pick(self, pending: PendingRequest) -> Server | None:
        """Pick the server of a first attempt by smooth weighted round-robin over the selectable servers."""
        if self.now >= self.reweight_at:
            self._recompute_weights()
        if self.large_pool.scheduler is not None:
            return self._pick_from_large_pool(pending)
        best: Server | None = None
        for server in self.rotation:
            server.current_weight += server.weight
            if best is None or server.current_weight > best.current_weight:
                best = server
        if best is None:
            return None
        best = self._due_newcomer(best) or best
        if pending.key and self.settings.key_affinity and self._warmth(best) >= 1.0:
            best = self._pick_by_key(pending.key, best)
        best.current_weight -= 1.0
        return best

    def _due_newcomer(self, leader: Server) -> Server | None:
        """Advance the newcomers; move the first whose turn has come into the rotation and return it."""
        for server in self.newcomers:
            server.current_weight += server.weight
            if server.current_weight >= 0.0:
                server.current_weight, server.in_rotation = leader.current_weight, True
                self.rotation.append(server)
                self.newcomers.remove(server)
                return server
        return None

    def _pick_by_key(self, key: str, leader: Server) -> Server:
        """Return the server preferred by the key among those whose turn is near.

        Applies where servers cache by key. All sidecars rank the servers of a key alike, without
        communication; the current weights still bound every server's share. Cold servers are left out,
        because all sidecars would send them the same keys at once.
        """
        min_current_weight = leader.current_weight - MAX_AFFINITY_LEAD
        key_hash = crc32(key.encode())
        candidates = [
            s for s in self.rotation if s.current_weight >= min_current_weight and self._warmth(s) >= 1.0
        ]
        return max(candidates, key=lambda s: (s.id_hash ^ key_hash) * 0x9E3779B1 & 0xFFFFFFFF)

    def _charge(self, chosen: Server) -> None:
        """Account for a pick made out of turn, so that the server does not get its own turn as well."""
        if self.large_pool.scheduler is not None:
            self.large_pool.scheduler.charge(self.large_pool.leaf_by_id[chosen.id])
            return
        for server in self.rotation:
            server.current_weight += server.weight
        chosen.current_weight -= 1.0

    def _pick_with_retry_budget(self, pending: PendingRequest) -> Server | None:
        """Pick a server for a retry or a hedge and charge the retry budget; None if the budget is used up."""
        if not self.retry_budget.allows():
            return None
        server = self._pick_retry(pending)
        if server is not None:
            self.retry_budget.spend()
        return server

    def _pick_retry(self, pending: PendingRequest) -> Server | None:
        """Pick the healthiest untried server that may take this request."""
        if self.now >= self.reweight_at:
            self._recompute_weights()
        tried = {attempt.server.id for attempt in pending.attempts}
        sample = self._sample_large_pool(pending) if self.large_pool.scheduler is not None else []
        options = [s for s in sample if s.id not in tried and self._warmth(s) >= 1.0]
        options = options or [s for s in self.pool if s.id not in tried and self._may_send(pending, s)]
        # A cold server has no errors yet: as the healthiest it would get all sidecars' retries and fall over.
        # It is no last resort either: if the rest of its cell stops at once, it would get all their requests.
        if any(self._warmth(s) >= 1.0 for s in self.pool):
            options = [s for s in options if self._warmth(s) >= 1.0]
        options = options or self._same_server_retry(pending)
        if not options:
            return None
        best = max(options, key=lambda s: (s.health * self._warmth(s), s.current_weight))
        self._charge(best)
        return best

    def _same_server_retry(self, pending: PendingRequest) -> list[Server]:
        """Return the server of the last attempt, if its answer was corrupt or lost and it may be asked again.

        Used when no other server may take the request. The server deduplicates the retry as its group does
        and usually still has the answer. This protects small dedup groups from faults that spoil single
        answers. A dead server refuses the connection at once; a server that sheds load is not retried; a
        cold server gets few such retries, which are charged to the hedge tokens.
        """
        last = pending.attempts[-1] if pending.attempts else None
        if last is None or (last.open and not last.stalled) or not last.may_have_run:
            return []
        tries = sum(attempt.server is last.server for attempt in pending.attempts)
        if tries > 1 or not self._may_send(pending, last.server):
            return []
        if self._warmth(last.server) < 1.0:
            if self.hedge_tokens < 1.0 or self._rate_per_server() < HIGH_REQUEST_RATE:
                return []
            self.hedge_tokens -= 1.0
        return [last.server]

    # Request lifecycle

    def _on_request(self, request: Request) -> None:
        request_classes = self.settings.request_classes
        request_class = (
            request_classes[request.class_index]
            if 0 <= request.class_index < len(request_classes)
            else UNKNOWN_REQUEST_CLASS
        )
        pending = PendingRequest(request, request_class, self.now, self._elapsed(request, request_class))
        self.pending_requests[pending.id] = pending
        if request.prior is not None:
            pending.attempts.append(self._prior_attempt(request.prior))
        self.overload.record_arrival(self.now)
        self.hedge_tokens = min(MAX_HEDGE_TOKENS, self.hedge_tokens + HEDGES_PER_REQUEST)
        self.streaming_count += pending.body_incomplete
        # A retry whose answer would come too late to have any value would only take capacity from others.
        if self.now >= pending.deadline or self._should_shed(pending, request.is_retry):
            self._finish(pending)
            return
        if not pending.body_incomplete:
            self._set_timer(pending, min(pending.target_at, pending.deadline))
        hedge_at = self._hedge_time(pending)
        if hedge_at > self.now:
            self._set_timer(pending, hedge_at)
        self._send_or_finish(pending, self._pick_retry(pending) if pending.attempts else self._pick(pending))

    def _prior_attempt(self, prior: PriorAttempt) -> Attempt:
        """Return the attempt that an earlier process made, as far as the caller could prove where and when.

        The attempt may have run. The defaults of PriorAttempt match no dedup group and lie before any dedup
        window. A server that is no longer listed with the same cell and zone gets no retry.
        """
        server = self.servers.get(prior.endpoint)
        if server is None or (server.cell, server.zone) != (prior.cell, prior.zone):
            entry = Endpoint(prior.endpoint, prior.zone, cell=prior.cell, state=State.REMOVED)
            server = Server(entry)
        attempt = Attempt(server, self.now - prior.age)
        attempt.open = False
        return attempt

    def _set_timer(self, pending: PendingRequest, at: int) -> None:
        self.timers[self.next_token] = pending.id
        self.actions.append(SetTimer(self.next_token, max(0, at - self.now)))
        self.next_token += 1

    def _hedge_time(self, pending: PendingRequest) -> int:
        """Return when to hedge the request: late enough to be rare, in time for its target; 0 for never."""
        latency = self.latency_estimates.get(pending.class_index, 0.0)
        idempotency = pending.request_class.effect
        if (
            not self.settings.hedging
            or not latency
            or idempotency is Idempotency.FRAGILE
            or pending.body_incomplete
        ):
            return 0
        if self.settings.key_affinity:  # another server would miss its cache, at several times the cost
            return 0
        return int(min(self.now + SLOW_FACTOR * latency, pending.target_at - latency))

    def _send_hedge(self, pending: PendingRequest) -> None:
        """Hedge an overdue request where its class allows it and hedge tokens are left.

        A sidecar that sends a server two requests a minute detects a fault of the server only by losing a
        request; the hedge saves that request. A sidecar that sends it several requests before an error decays
        has detected the fault already: a request that is overdue there is expensive, and so is its hedge. The
        tokens keep hedges from adding to an overload.
        """
        if self.hedge_tokens < 1.0 or self.overload.refused_share > 0.0 or len(pending.attempts) != 1:
            return
        if self._rate_per_server() * self.error_half_life / SECOND >= UNHEDGED_REQUESTS_PER_HALF_LIFE:
            return
        server = self._pick_with_retry_budget(pending)
        if server is not None:
            self.hedge_tokens -= 1.0
            self._send(pending, server)

    def _elapsed(self, request: Request, request_class: RequestClass) -> int:
        """Estimate how long the client has waited before this try, from its remaining time budget.

        Clients give all first tries of a class the same budget; a smaller one was cut by the class's
        deadline. Some clients never mark a retry. While no retry has been marked, a request with a smaller
        budget counts as a retry if a request that this sidecar did not serve can still be retried, and only
        if it comes too late to have any value: treating all such requests as marked retries cost more than
        it gained. Limitation: during that time it misjudges a client that gives a first try a smaller budget
        than others.
        """
        max_budget = max(self.max_client_budgets.get(request.class_index, 0), request.budget)
        self.max_client_budgets[request.class_index] = max_budget
        self.clients_mark_retries = self.clients_mark_retries or request.is_retry
        may_be_unmarked_retry = (
            not self.clients_mark_retries and self.now - self.last_unserved_at < request_class.deadline
        )
        if request.budget >= max_budget or not (request.is_retry or may_be_unmarked_retry):
            return 0
        elapsed = max(0, request_class.deadline - request.budget)
        too_late = elapsed >= request_class.target and not request_class.late_value
        return elapsed if request.is_retry or too_late else 0

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        pending = self.pending_requests.get(event.id)
        if event.outcome is Outcome.DONE:
            self.retry_budget.record_answer()
        elif event.outcome is Outcome.BUSY:
            self.retry_budget.record_rejection()
        self._record_outcome(event, pending)
        if pending is None:
            return
        if event.attempt < len(pending.attempts):
            attempt = pending.attempts[event.attempt]
            attempt.open = False
            attempt.may_have_run = event.outcome not in NEVER_RAN
        if event.outcome is Outcome.DONE and not pending.streaming and not pending.body_incomplete:
            self.overload.record_answer(self.now, event.duration / max(1, pending.request_class.target))
        if event.outcome is Outcome.BUSY:  # the server is full, a queue that no answer's latency shows
            self.overload.window.record_answer(self.now, 1.0)
        if event.final or event.outcome is Outcome.DONE:
            late = event.outcome is not Outcome.DONE or self.now > pending.target_at
            self._record_lateness(pending, late)
            if event.outcome is Outcome.DONE and event.attempt > 0:
                self._count_open_as_failed(pending)  # a later attempt was faster
            self._close_request(pending)
            self._close_if_rarely_used(event.endpoint)
        elif event.outcome is Outcome.BAD_REQUEST:
            self._finish(pending)  # any other endpoint would reject it too
        elif not any(attempt.open and not attempt.stalled for attempt in pending.attempts):
            server = self._pick_with_retry_budget(pending)
            if server is not None or not any(attempt.open for attempt in pending.attempts):
                self._send_or_finish(pending, server)  # else a stalled answer may still go on

    def _close_if_rarely_used(self, endpoint: int) -> None:
        """Close a connection that would probably time out before it is used again.

        Applies where a connection carries one request at a time and this sidecar's interval between requests
        to a server exceeds the idle timeout. Otherwise the number of connections grows as sidecars times
        servers and fills the servers' connection tables.
        """
        settings = self.settings
        if (
            settings.streams_per_conn == 1
            and self.overload.arrival_gap * len(self.pool) > settings.connection_idle_timeout > 0
        ):
            self.actions.append(CloseIdle(endpoint))

    def _record_outcome(self, event: AttemptEnded, pending: PendingRequest | None) -> None:
        """Update the server's error count and latency ratio."""
        server = self.servers.get(event.endpoint)
        if server is None or event.outcome in NEUTRAL_OUTCOMES:
            return
        done = event.outcome is Outcome.DONE
        # A slow server eventually answers every request: without this check it would keep its full weight.
        timed = done and pending is not None and not pending.streaming and not pending.body_incomplete
        slow = pending is not None and timed and self._too_slow(server, pending, event.duration)
        if done and not slow:
            self._record_success(server)
        elif (
            pending is None
            or event.attempt >= len(pending.attempts)
            or not pending.attempts[event.attempt].counted_as_slow
        ):
            self._record_failure(server)

    def _too_slow(self, server: Server, pending: PendingRequest, duration: int) -> bool:
        """Update the latency estimates by an answer; return whether it was far slower than its class's."""
        class_index = pending.class_index
        latency = self.latency_estimates.get(class_index, 0.0)
        limit = (
            min(SLOW_FACTOR * latency, pending.request_class.target)
            if latency
            else pending.request_class.target
        )
        capped = min(duration, pending.request_class.target)
        self.latency_estimates[class_index] = (
            latency + (capped - latency) / LATENCY_WINDOW if latency else capped
        )
        if latency:
            self._update_latency_ratio(server, capped / latency)
        return duration > limit

    def _update_latency_ratio(self, server: Server, ratio: float) -> None:
        """Smooth an answer's latency ratio into the ratios of the server's kind and of the server.

        Listed capacities count cores, not their speed: equal turns overload the slow kind of machine while
        the fast one idles. A kind has many servers, so that even a sidecar with few requests has enough
        samples of it.
        """
        kind_ratio = self.kind_latency_ratios.get(server.kind, 1.0)
        self.kind_latency_ratios[server.kind] = kind_ratio + (ratio - kind_ratio) / KIND_RATIO_WINDOW

        log_ratio_to_kind = math.log(max(ratio, 1e-3) / self.kind_latency_ratios[server.kind])
        server.latency_samples = min(server.latency_samples + 1, self.server_ratio_window)
        server.log_latency_ratio += (log_ratio_to_kind - server.log_latency_ratio) / server.latency_samples

    def _server_latency_ratio(self, server: Server) -> float:
        """Return the estimated ratio of the server's latency to its kind's, shrunk towards 1 for few samples.

        Machines of a kind differ, and another program may use part of one for a while. One answer is weak
        evidence, so that a server starts with its kind's ratio. A sidecar that sends a server two requests a
        minute is one of many: the small corrections of all of them add up.
        """
        return math.exp(
            server.log_latency_ratio
            * server.latency_samples
            / (server.latency_samples + self.shrinkage_samples)
        )

    def _on_client_left(self, event: ClientLeft) -> None:
        pending = self.pending_requests.get(event.id)
        if pending is not None:
            self.last_unserved_at = self.now  # the client may have ended only this try, and retry
            self._close_request(pending)

    def _on_stream_began(self, event: StreamBegan) -> None:
        pending = self.pending_requests.get(event.id)
        if pending is not None and not pending.streaming:
            pending.streaming = True
            self.streaming_count += not pending.body_incomplete
            # The duration of the stream from here on says nothing about lateness.
            self._record_lateness(pending, late=self.now > pending.target_at)
            if event.attempt < len(pending.attempts) and not pending.body_incomplete:
                # The time to the start of the stream counts as the latency of the answer.
                duration = self.now - pending.attempts[event.attempt].sent_at
                self.overload.record_answer(self.now, duration / max(1, pending.request_class.target))

    def _on_attempt_stalled(self, event: AttemptStalled) -> None:
        """Send another attempt beside one whose answer pauses, or set the time at which to replace it.

        Servers may pause for seconds in an answer, so the attempt goes on. But the answer may also be corrupt
        and never end: where the rules allow it, another server is asked at once.
        """
        pending = self.pending_requests.get(event.id)
        if pending is None or pending.streaming or event.attempt >= len(pending.attempts):
            return
        attempt = pending.attempts[event.attempt]
        attempt.stalled = True
        if not attempt.counted_as_slow:
            attempt.counted_as_slow = True
            self._record_failure(attempt.server)
        if pending.body_incomplete:  # the body can be written to one server at a time
            return
        if not self.settings.hedging:
            self._set_timer(pending, max(self.now, self._replace_time(pending)))
            return
        server = self._pick_with_retry_budget(pending)
        if server is not None:
            self._send(pending, server)

    def _on_attempt_resumed(self, event: AttemptResumed) -> None:
        pending = self.pending_requests.get(event.id)
        if pending is not None and event.attempt < len(pending.attempts):
            pending.attempts[event.attempt].stalled = False

    def _replace_time(self, pending: PendingRequest) -> int:
        """Return the last time at which another attempt, sent instead of a stalled one, is likely to end."""
        target = pending.request_class.target
        latency = self.latency_estimates.get(pending.class_index, 0.0)
        reserve = min(SLOW_FACTOR * latency, target) if latency else target
        return int(attempt_deadline(pending) - reserve)

    def _replace_stalled(self, pending: PendingRequest) -> bool:
        """Give up a stalled attempt for another one, if the request may not have two at once."""
        stalled = [
            number for number, attempt in enumerate(pending.attempts) if attempt.open and attempt.stalled
        ]
        if not stalled or self.settings.hedging or self.now < self._replace_time(pending):
            return False
        attempt = pending.attempts[stalled[0]]
        attempt.open = False
        server = self._pick_with_retry_budget(pending)
        if server is None:
            attempt.open = True
            return False
        self.actions.append(Cancel(pending.id, stalled[0]))
        self._send(pending, server)
        return True

    def _on_probe_ended(self, event: ProbeEnded) -> None:
        pass

    def _on_timer(self, event: TimerFired) -> None:
        if event.token == WATCH_TOKEN:
            self.actions.append(Watch())
            return
        pending = self.pending_requests.get(self.timers.pop(event.token, ""))
        if pending is None or pending.streaming:  # a stream that has begun may last without being slow
            return
        if self._replace_stalled(pending):
            return
        if self.now < min(pending.target_at, pending.deadline):
            self._send_hedge(pending)
        else:
            self._record_lateness(pending, late=True)
            self._count_open_as_failed(pending)

    def _count_open_as_failed(self, pending: PendingRequest) -> None:
        """Count the open attempts as errors of their servers now, without waiting for their timeouts."""
        for attempt in pending.attempts:
            if attempt.open and not attempt.counted_as_slow:
                attempt.counted_as_slow = True
                latency = self.latency_estimates.get(pending.class_index, 0.0)
                if latency:
                    self._update_latency_ratio(
                        attempt.server, max(1.0, pending.request_class.target / latency)
                    )
                self._record_failure(attempt.server)

    def _close_request(self, pending: PendingRequest) -> None:
        """Remove a request that is answered, finished or abandoned, and cancel its open attempts."""
        del self.pending_requests[pending.id]
        self.streaming_count -= pending.streaming or pending.body_incomplete
        if self.settings.cancel and not pending.streaming:
            for number, attempt in enumerate(pending.attempts):
                if attempt.open:
                    self.actions.append(Cancel(pending.id, number))

    # Admission

    def _record_lateness(self, pending: PendingRequest, late: bool) -> None:
        """Report to the overload control, once per request, whether it met its target."""
        if pending.lateness_recorded:
            return
        pending.lateness_recorded = True
        self.overload.record_first_attempt(self.now, late)

    def _should_shed(self, pending: PendingRequest, is_retry: bool) -> bool:
        """Whether to refuse an arriving request, lowest value first (limits/overload.py)."""
        value = pending.request_class.value
        over_share = self._tenant_over_share(pending.tenant)
        if over_share:
            value *= self.settings.over_share_value_factor
        refused = self.overload.should_refuse(
            value,
            pending.request_class.target,
            len(self.pending_requests) - 1 - self.streaming_count,
            over_share,
            is_retry,
        )
        pending.over_share = refused and over_share
        return refused

    def _tenant_over_share(self, tenant: int) -> bool:
        """Charge a request to the tenant; return whether it exceeds its share of this sidecar's requests."""
        tenants = self.settings.tenants
        if not 0 <= tenant < len(tenants):
            return False
        for index, entitlement in enumerate(tenants):
            self.tenant_credits[index] = min(
                MAX_TENANT_CREDIT, self.tenant_credits[index] + entitlement.share
            )
        if self.tenant_credits[tenant] < 1.0:
            return True
        self.tenant_credits[tenant] -= 1.0
        return False

    # Rule enforcement: all attempts and final answers go through the methods below.

    def _may_send(self, pending: PendingRequest, server: Server) -> bool:
        """Whether the rules allow another attempt of this request at this server."""
        # A drain takes effect as soon as it is known.
        return self._selectable(server) and is_attempt_allowed(self.settings, pending, server, self.now)

    def _send_or_finish(self, pending: PendingRequest, server: Server | None) -> None:
        if server is None or not self._may_send(pending, server):
            self._finish(pending)
        else:
            self._send(pending, server)

    def _send(self, pending: PendingRequest, server: Server) -> None:
        timeout = attempt_deadline(pending) - self.now
        pending.attempts.append(Attempt(server, self.now))
        self.actions.append(Send(pending.id, server.id, timeout))

    def _retry_after(self, pending: PendingRequest) -> int:
        """Return the delay after which a refused client should retry, so that it can be served in time.

        An immediate retry would meet the condition that caused the refusal, together with all other retries.
        """
        return min(self.settings.max_retry_after, max(0, pending.target_at - self.now) // RETRY_AFTER_DIVISOR)

    def _finish(self, pending: PendingRequest) -> None:
        """End a request without a good answer: refuse it where that is allowed, else fail it."""
        refuse = is_refusal_allowed(pending)
        refusal = Refuse(pending.id, self._retry_after(pending), pending.over_share)
        self.actions.append(refusal if refuse else Fail(pending.id))
        # A request that arrived too late does not count as unserved: otherwise requests taken for unmarked
        # retries would be refused and so keep this sidecar taking requests for unmarked retries.
        if pending.attempts or self.now < pending.deadline:
            self.last_unserved_at = self.now
        self._close_request(pending)


# Requests of a class that the settings do not define are treated as never repeatable.
UNKNOWN_REQUEST_CLASS = RequestClass(target=0, deadline=0, effect=Idempotency.FRAGILE, late_value=1.0)
