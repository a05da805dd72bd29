"""The feature behind the table `[tenants]`: admission before each request, fed by the peers' rows.

Without `[peers]` each process limits tenants to its even share, like a member that receives from nobody.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

import msgspec

from garnethaven.engine.calls import Call
from garnethaven.engine.engine import S
from garnethaven.feature import Feature
from garnethaven.peers.feature import clock
from garnethaven.tenants.admission import Admission, Allowance
from garnethaven.tenants.bound import settle_s
from garnethaven.tenants.sharing import CounterExchange, Totals
from garnethaven.tenants.table import Tenants

if TYPE_CHECKING:
    from garnethaven.parts import Parts

MAX_SHOWN_TENANTS = 40  # in the operators' view: those with the most requests


class KeptTokens:
    """Persists this member's token buckets (state/)."""

    def __init__(self, admission: Admission) -> None:
        self.admission = admission

    def keep(self) -> bytes:
        return msgspec.json.encode(self.admission.tokens())

    def take_back(self, kept: bytes, away_s: float) -> None:
        try:
            tokens = msgspec.json.decode(kept, type=dict[int, float])
        except msgspec.MsgspecError as error:
            raise ValueError(str(error)) from None
        self.admission.restore(clock(), tokens)


def allowances_of(table: Tenants) -> tuple[Mapping[str, Allowance], Allowance | None]:
    """Returns the allowances by tenant name, and the allowance of every other name."""
    named_allowances = {
        allowance.name: Allowance(allowance.per_s, allowance.burst) for allowance in table.allowances
    }
    default_allowance = Allowance(table.others_per_s, table.others_burst) if table.others_per_s else None
    return named_allowances, default_allowance


class TenantsFeature(Feature[Tenants, "Parts"]):
    """Implements the engine's `Admission`."""

    name = "tenants"

    def __init__(self, table: Tenants, parts: Parts) -> None:
        super().__init__(table, parts)
        self.admission: Admission | None = None
        self.sharing: CounterExchange | None = None
        self.refused = 0
        self.reported_members: set[str] = set()  # members already logged for implausible counters

    def _enabled(self) -> bool:
        return bool(self.table.allowances) or self.table.others_per_s > 0.0

    def prepare(self) -> None:
        if self._enabled():
            self._make()

    def _make(self) -> None:
        parts = self.parts
        peers = parts.peers
        named_allowances, default_allowance = allowances_of(self.table)
        salt = peers.table.key or b"" if peers is not None else b""
        settle_seconds = settle_s(peers.horizon_s, peers.period_s) if peers is not None else 1.0
        now = clock()
        peer = peers.peer if peers is not None else None
        member_count = peer.members.member_count() if peer is not None else parts.engine.settings.fleet_size
        self.admission = Admission(
            named_allowances,
            default_allowance,
            self.table.slots,
            int(settle_seconds * S),
            now,
            member_count,
            salt,
        )
        if peers is not None and peer is not None:
            self.sharing = CounterExchange(peer, self.admission)
            peers.after.append(self._update)
        parts.state_sections["tenants"] = KeptTokens(self.admission)
        parts.engine.admission = self

    async def open(self) -> None:
        if self.admission is not None and self.sharing is None:
            member_count = self.parts.engine.settings.fleet_size
            self.parts.engine.log(
                f"tenants: no [peers]: each tenant is limited to 1/{member_count} of its allowance here"
            )

    def renewed(self) -> None:
        if self.admission is None:
            if self._enabled():
                self._make()
            return
        named_allowances, default_allowance = allowances_of(self.table)
        self.admission.set_allowances(named_allowances, default_allowance, self.table.slots)
        self.parts.engine.admission = self if self._enabled() else None

    def _update(self, now: int) -> None:
        assert self.sharing is not None
        self.sharing.update(now)
        for member, counters in self.sharing.implausible.items():
            if member not in self.reported_members:
                text = f"tenants: {member} publishes an implausible demand: {counters.demand:g} requests/s"
                if self.parts.engine.try_log(text):
                    self.reported_members.add(member)
        self.sharing.implausible.clear()

    # Admission, called by the engine

    def turns_away(self, call: Call) -> int | None:
        """Returns None if the call is admitted, else the nanoseconds after which the client may retry."""
        admission = self.admission
        assert admission is not None
        tenant_id = admission.id_of(call.tenant)
        if tenant_id is None:
            return None
        wait = admission.admit(clock(), tenant_id)
        if wait is None:
            return None
        self.refused += 1
        return min(wait, self.parts.engine.settings.max_retry_after)

    # Figures

    def figures(self) -> dict[str, Any]:
        admission = self.admission
        if admission is None:
            return {}
        totals = dict(self.sharing.totals()) if self.sharing is not None else {}
        names = {tenant_id: name for name, tenant_id in admission.ids.items()}
        totals = totals or {
            entry.id: Totals(entry.requested, entry.admitted) for entry in admission.tenants.values()
        }
        tenants = {}
        for tenant_id, fleet_totals in sorted(totals.items(), key=lambda entry: -entry[1].requested)[
            :MAX_SHOWN_TENANTS
        ]:
            tenant_figures: dict[str, float] = {
                "fleet_asked": fleet_totals.requested,
                "fleet_taken": fleet_totals.admitted,
            }
            tenant = admission.tenants.get(tenant_id)
            if tenant is not None:
                tenant_figures |= {"asked": tenant.requested, "taken": tenant.admitted}
                tenant_figures |= {"part_per_s": round(tenant.share, 3), "tokens": math.floor(tenant.tokens)}
            tenants[names.get(tenant_id, f"slot {tenant_id}")] = tenant_figures
        unreadable = self.sharing.unreadable if self.sharing is not None else 0
        return {"refused": self.refused, "unreadable": unreadable, "tenants": tenants}


FEATURE = TenantsFeature
