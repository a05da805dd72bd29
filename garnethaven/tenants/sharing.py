"""Connects the members' rows with one member's admission: the topic `tenants` in each row. No I/O."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from garnethaven.gossip.rows import Row
from garnethaven.peers.conversation import Peer, Topic
from garnethaven.tenants.admission import (
    FIRST_CONFIGURED_ID,
    MAX_PUBLISHED_TENANTS,
    Admission,
    TenantCounters,
    View,
    implausible,
)

TOPIC = "tenants"
decode_counters = msgspec.msgpack.Decoder(list[TenantCounters]).decode


class Totals(NamedTuple):
    """The fleet's counters of one tenant, as far as this member has received them."""

    requested: int
    admitted: int


class CounterExchange:
    """Publishes one member's counters in its rows and feeds the others' rows to its admission."""

    def __init__(self, peer: Peer, admission: Admission) -> None:
        self.peer = peer
        self.admission = admission
        self.decoded_rows: dict[str, tuple[tuple[int, int], list[TenantCounters]]] = {}
        # By member and incarnation; includes tenants that a later row no longer lists.
        self.counts_by_life: dict[tuple[str, int], dict[int, Totals]] = {}
        self.unreadable = 0
        self.implausible: dict[str, TenantCounters] = {}  # by member, for the log
        peer.topics[TOPIC] = Topic(admission.publish, self._reset_counters)

    def _reset_counters(self) -> None:
        """Resets the counters for a new incarnation: earlier counts stay in the rows of the previous one."""
        for tenant in self.admission.tenants.values():
            tenant.requested = tenant.admitted = 0
            tenant.request_counts.clear()

    def update(self, now: int) -> None:
        """Updates the admission with the rows received so far."""
        for row_state in self.peer.rows.current.values():
            self._decoded_row(row_state.row)
        rows = self.peer.view(now)
        demands: dict[int, list[float]] = defaultdict(list)
        for row in rows:
            for counters in self._decoded_row(row):
                demands[counters.id].append(counters.demand)
        self.admission.update_view(now, View(self.peer.members.member_count(), 1 + len(rows), demands))
        if len(self.decoded_rows) > 2 * self.peer.rules.max_members:
            self.decoded_rows.clear()
        if len(self.counts_by_life) > 4 * self.peer.rules.max_members:
            self._drop_forgotten_lives()

    def _decoded_row(self, row: Row) -> list[TenantCounters]:
        cached = self.decoded_rows.get(row.name)
        if cached is not None and cached[0] == row.version:
            return cached[1]
        counters_list = self._decode(row)
        self.decoded_rows[row.name] = row.version, counters_list
        self._count(row, counters_list)
        if (implausible_counters := implausible(counters_list, self.admission.configured)) is not None:
            self.implausible[row.name] = implausible_counters
        return counters_list

    def _decode(self, row: Row) -> list[TenantCounters]:
        raw = row.topics.get(TOPIC)
        if raw is None:
            return []
        try:
            return [
                counters
                for counters in decode_counters(raw)[:MAX_PUBLISHED_TENANTS]
                if counters.demand >= 0.0
            ]
        except msgspec.MsgspecError:
            self.unreadable += 1
            return []

    def _count(self, row: Row, counters_list: list[TenantCounters]) -> None:
        """Stores an incarnation's counts of tenants with an allowance of their own; the larger count wins."""
        totals_by_tenant = self.counts_by_life.setdefault((row.name, row.incarnation), {})
        for counters in counters_list:
            previous = totals_by_tenant.get(counters.id, Totals(0, 0))
            if counters.id >= FIRST_CONFIGURED_ID and counters.requested >= previous.requested:
                totals_by_tenant[counters.id] = Totals(
                    counters.requested, max(counters.admitted, previous.admitted)
                )

    def _drop_forgotten_lives(self) -> None:
        """Drops the counts of incarnations that the table of rows has dropped."""
        lives = {(row.name, row.incarnation) for row in self.peer.rows.all_incarnations()}
        self.counts_by_life = {life: counts for life, counts in self.counts_by_life.items() if life in lives}

    def totals(self) -> Mapping[int, Totals]:
        """Returns totals by configured tenant over all known incarnations, including this member's."""
        for row in self.peer.rows.all_incarnations():
            if (row.name, row.incarnation) not in self.counts_by_life:
                self._count(row, self._decode(row))
        self._drop_forgotten_lives()
        own_life = self.peer.own, self.peer.members.incarnation
        requested_by_tenant: dict[int, int] = defaultdict(int)
        admitted_by_tenant: dict[int, int] = defaultdict(int)
        for life, counts in self.counts_by_life.items():
            for tenant_id, totals in counts.items() if life != own_life else ():
                requested_by_tenant[tenant_id] += totals.requested
                admitted_by_tenant[tenant_id] += totals.admitted
        for tenant_id, tenant in self.admission.tenants.items():
            requested_by_tenant[tenant_id] += tenant.requested
            admitted_by_tenant[tenant_id] += tenant.admitted
        return {
            tenant_id: Totals(requested_by_tenant[tenant_id], admitted_by_tenant[tenant_id])
            for tenant_id in requested_by_tenant
        }
