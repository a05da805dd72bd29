"""Short soak runs with fixed seeds, and the range of parameters that seeds draw."""

from __future__ import annotations

import asyncio

from rigs.soak import KILL_AFTER_S, MAX_DEADLINE_S, Plan, SoakRun, run_seeds

SEEDS = [1, 2, 3, 5, 8, 13]


def test_the_soak_in_short_breaks_nothing() -> None:
    verdicts = asyncio.run(run_seeds(SEEDS))
    broken = {seed: verdict.faults for seed, verdict in verdicts.items() if verdict.faults}
    assert not broken
    assert all(verdict.served > 100 for verdict in verdicts.values()), verdicts


def test_a_seed_draws_the_same_play_and_fifty_draw_all_kinds() -> None:
    plans = [SoakRun(seed).plan for seed in range(50)]
    assert plans == [SoakRun(seed).plan for seed in range(50)]
    assert {fault for plan in plans for fault in plan.faults} >= {"hang", "drain", "discovery turns away"}
    assert any(plan.crowd for plan in plans) and any(plan.max_deadline_s < 0.4 for plan in plans)
    assert any(plan.max_deadline_s > MAX_DEADLINE_S for plan in plans) and KILL_AFTER_S == 0.7
    assert all(isinstance(plan, Plan) for plan in plans)
