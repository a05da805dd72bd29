"""The feature behind the table `[budgets]`: implements the engine's `Spending` with the members of `[peers]`.

Without `[peers]` each process spends its even share by `homes` or `fleetSize` and borrows from nobody.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from garnethaven.budgets.lending import Budget, BudgetLedger
from garnethaven.budgets.table import Budgets
from garnethaven.engine.engine import S
from garnethaven.engine.spending import Spend
from garnethaven.feature import Feature
from garnethaven.peers.conversation import NAME_CONFLICT_PAUSE
from garnethaven.peers.feature import clock

if TYPE_CHECKING:
    from garnethaven.parts import Parts, PeerGroup


def budgets_of(table: Budgets) -> dict[int, Budget]:
    """Returns the configured budgets by the number of their kind."""
    lifetime = int(table.lasts_s * S)
    settings_by_kind = {
        Spend.RETRY: (table.retries_per_s, table.retries_share),
        Spend.COPY: (table.copies_per_s, table.copies_share),
        Spend.PROBE: (table.probes_per_s, 0.0),
        Spend.COLD_DIAL: (table.cold_dials_per_s, 0.0),
        Spend.DISCOVERY: (table.discovery_per_s, 0.0),
    }
    return {
        int(kind): Budget(per_s, share, lifetime)
        for kind, (per_s, share) in settings_by_kind.items()
        if per_s or share
    }


class BudgetsFeature(Feature[Budgets, "Parts"]):
    """Implements the engine's `Spending`."""

    name = "budgets"

    def __init__(self, table: Budgets, parts: Parts) -> None:
        super().__init__(table, parts)
        self.lending: BudgetLedger | None = None
        self.peers: PeerGroup | None = None

    def prepare(self) -> None:
        if budgets_of(self.table):
            self._make()

    def _make(self) -> None:
        parts, table = self.parts, self.table
        self.peers = parts.peers if parts.peers is not None and parts.peers.peer is not None else None
        since = clock()
        origin_count = table.homes or parts.engine.settings.fleet_size
        if self.peers is not None:
            # A name conflict is detected within the horizon; until then nothing is earned under the name.
            since += int(self.peers.horizon_s * S)
            origin_count = table.homes or self.peers.listed()
        self.lending = BudgetLedger(budgets_of(table), max(1, origin_count), table.earns, since)
        if self.peers is not None and self.peers.peer is not None:
            self.lending.join(self.peers.peer)
            self.peers.after.append(self._check_name_conflict)
        parts.engine.spending = self

    async def open(self) -> None:
        if self.lending is not None and self.peers is None:
            origin_count = self.lending.origin_count
            self.parts.engine.log(
                f"budgets: no [peers]: spending one of {origin_count} even shares here; nothing is borrowed"
            )

    def renewed(self) -> None:
        budgets = budgets_of(self.table)
        if self.lending is None:
            if budgets:
                self._make()
            return
        self.lending.set_budgets(clock(), budgets)
        self.parts.engine.spending = self if budgets else None

    def _check_name_conflict(self, now: int) -> None:
        assert self.lending is not None and self.peers is not None and self.peers.peer is not None
        if self.peers.peer.is_muted(now):
            self.lending.forfeit_all(now + NAME_CONFLICT_PAUSE)

    # Spending, called by the engine

    def may_spend(self, kind: Spend, subject: int = 0) -> bool:
        assert self.lending is not None
        return self.lending.may_spend(clock(), kind, subject, 1.0)

    def first_try(self) -> None:
        assert self.lending is not None
        now = clock()
        self.lending.earn(now, Spend.RETRY)
        self.lending.earn(now, Spend.COPY)

    def figures(self) -> dict[str, Any]:
        lending = self.lending
        if lending is None:
            return {}
        now = clock()
        kinds: dict[str, dict[str, float]] = {}
        for (kind, _), account in lending.accounts.items():
            figures = kinds.setdefault(Spend(kind).name.lower(), {"held": 0.0, "spent": 0.0, "subjects": 0})
            figures["held"] = round(figures["held"] + account.balance.available(now), 3)
            figures["spent"] += account.balance.spent
            figures["subjects"] += 1
        return {
            "homes": lending.max_origin_count,
            "given": round(lending.transferred_out, 3),
            "taken": round(lending.transferred_in, 3),
            "refused": lending.refused,
            "unreadable": lending.unreadable,
            "kinds": kinds,
        }


FEATURE = BudgetsFeature
