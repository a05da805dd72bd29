"""The table `[tenants]` at work: asked by the engine before each request, fed by the peers' rows.

Without `[peers]` each program holds tenants to its even part of the fleet, as one does that hears nobody.
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
from garnethaven.tenants.sharing import Sharing, Totals
from garnethaven.tenants.table import Tenants

if TYPE_CHECKING:
    from garnethaven.parts import Parts

SHOWN_MOST = 40  # tenants in the operators' view, those that ask for most


class KeptTokens:
    """This member's buckets as a part of the state (state/)."""

    def __init__(self, admission: Admission) -> None:
        self.admission = admission

    def keep(self) -> bytes:
        return msgspec.json.encode(self.admission.tokens())

    def take_back(self, kept: bytes, away_s: float) -> None:
        try:
            told = msgspec.json.decode(kept, type=dict[int, float])
        except msgspec.MsgspecError as problem:
            raise ValueError(str(problem)) from None
        self.admission.take_back(clock(), told)


def allowances_of(table: Tenants) -> tuple[Mapping[str, Allowance], Allowance | None]:
    """Of tenants by name, and of every other name."""
    named = {one.name: Allowance(one.per_s, one.burst) for one in table.allowances}
    others = Allowance(table.others_per_s, table.others_burst) if table.others_per_s else None
    return named, others


class TenantsFeature(Feature[Tenants, "Parts"]):
    """The engine's `Admission`."""

    name = "tenants"

    def __init__(self, table: Tenants, parts: Parts) -> None:
        super().__init__(table, parts)
        self.admission: Admission | None = None
        self.sharing: Sharing | None = None
        self.refused = 0
        self.named: set[str] = set()  # members whose figures can't be, as the log has named them

    def _on(self) -> bool:
        return bool(self.table.allowances) or self.table.others_per_s > 0.0

    def prepare(self) -> None:
        if self._on():
            self._make()

    def _make(self) -> None:
        parts = self.parts
        peers = parts.peers
        named, others = allowances_of(self.table)
        salt = peers.table.key or b"" if peers is not None else b""
        wait_s = settle_s(peers.horizon_s, peers.period_s) if peers is not None else 1.0
        now = clock()
        peer = peers.peer if peers is not None else None
        size = peer.members.counted() if peer is not None else parts.engine.settings.fleet_size
        self.admission = Admission(named, others, self.table.slots, int(wait_s * S), now, size, salt)
        if peers is not None and peer is not None:
            self.sharing = Sharing(peer, self.admission)
            peers.after.append(self._look)
        parts.state_sections["tenants"] = KeptTokens(self.admission)
        parts.engine.admission = self

    async def open(self) -> None:
        if self.admission is not None and self.sharing is None:
            size = self.parts.engine.settings.fleet_size
            self.parts.engine.log(f"tenants: no [peers]: each is held to one part of {size} here")

    def renewed(self) -> None:
        if self.admission is None:
            if self._on():
                self._make()
            return
        named, others = allowances_of(self.table)
        self.admission.set_allowances(named, others, self.table.slots)
        self.parts.engine.admission = self if self._on() else None

    def _look(self, now: int) -> None:
        assert self.sharing is not None
        self.sharing.look(now)
        for member, told in self.sharing.implausible.items():
            if member not in self.named:
                text = f"tenants: {member} tells {told.demand:g} a second of a tenant: more than can be"
                if self.parts.engine.try_log(text):
                    self.named.add(member)
        self.sharing.implausible.clear()

    # The engine's side

    def turns_away(self, call: Call) -> int | None:
        """None where the call may go on; else the nanoseconds after which its client may come again."""
        admission = self.admission
        assert admission is not None
        number = admission.id_of(call.tenant)
        if number is None:
            return None
        wait = admission.asks(clock(), number)
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
        names = {number: name for name, number in admission.ids.items()}
        totals = totals or {one.id: Totals(one.asked, one.taken) for one in admission.tenants.values()}
        tenants = {}
        for number, fleet in sorted(totals.items(), key=lambda one: -one[1].asked)[:SHOWN_MOST]:
            told: dict[str, float] = {"fleet_asked": fleet.asked, "fleet_taken": fleet.taken}
            tenant = admission.tenants.get(number)
            if tenant is not None:
                told |= {"asked": tenant.asked, "taken": tenant.taken}
                told |= {"part_per_s": round(tenant.part, 3), "tokens": math.floor(tenant.tokens)}
            tenants[names.get(number, f"slot {number}")] = told
        unreadable = self.sharing.unreadable if self.sharing is not None else 0
        return {"refused": self.refused, "unreadable": unreadable, "tenants": tenants}


FEATURE = TenantsFeature
