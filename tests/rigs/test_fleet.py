"""Several real processes under one fault schedule; the rules are checked at their peers."""

from __future__ import annotations

import asyncio

import pytest

from rigs.fleet import Fleet, Plan
from rigs.stage import tracking_published_changes

SMALL = Plan(programs=6, servers=9, rate=90.0)


async def run_schedule(seed: int, schedule: str, seconds: float) -> Fleet:
    fleet = Fleet(seed, SMALL)
    await fleet.open()
    async with tracking_published_changes(fleet, waits_s=10.0):
        sending = asyncio.create_task(fleet.send(seconds))
        await fleet.play(fleet.draw(schedule))
        await sending
        await fleet.settle()
    codes = await fleet.close()
    assert not any(codes), codes
    tally = fleet.ledger.tally()
    outcomes = ("served", "refused", "failed", "gone", "missing")
    assert sum(tally[name] for name in outcomes) == tally["sent"] > 200
    return fleet


@pytest.mark.parametrize("seed", [5, 6])
def test_a_process_that_wakes_sends_nothing_to_a_server_that_drained_meanwhile(seed: int) -> None:
    """Clients and discovery write to a process while it is stopped; it handles both when it resumes."""
    schedule = "stall 3 of 6 for 2 s at 1\ndrain 3 of 9 for 2.5 s at 1.2"
    fleet = asyncio.run(run_schedule(seed, schedule, 4.5))
    assert not fleet.ledger.late_arrivals
    assert fleet.ledger.violations().total() == 0


def test_links_that_drop_or_hold_one_way_lose_no_request() -> None:
    schedule = "drop n0>s1 n1-s2 for 1.5 s at 1\nhold s3>n2 for 1 s at 1\ncut n3-d n4-s4 for 1 s at 1.5"
    fleet = asyncio.run(run_schedule(7, schedule, 4.0))
    assert fleet.ledger.violations().total() == 0
