"""Schedules: the text form round-trips, invalid lines are rejected, and a seed resolves the same targets."""

from __future__ import annotations

from random import Random

import pytest

from rigs.fleet import overrun_s
from rigs.schedule import ScheduleError, format_schedule, parse_fault, parse_link, parse_schedule, resolve
from standins.ledger import max_in_window

TEXT = """
kill 20 of 24 at 4
replace 3 of 12 at 4.15   # servers of a release
reuse 2 of 12 at 4.2
delay n3>s1 d-n2 by 0.2 s for 3 s at 1.5
stall n3 for 2 s at 0.5
discovery down for 3 s at 2
capacity 4 at 0
start all at 5
part 3 of 10 for 2 s at 1
deafen n1 n2 for 1 s at 2
weather loss=0.1 delay=1 jitter=0.5 repeat=0.1 for 3 s at 0.5
"""
PARTIES = {"n": [f"n{i}" for i in range(10)], "s": [f"s{i}" for i in range(6)]}


def test_what_is_written_is_read_back_in_the_order_of_its_times() -> None:
    schedule = parse_schedule(TEXT)
    assert [fault.at for fault in schedule] == sorted(fault.at for fault in schedule)
    assert parse_schedule(format_schedule(schedule)) == schedule


def test_a_seed_draws_the_same_parties_and_as_large_a_part_of_a_smaller_fleet() -> None:
    first, second = (resolve(parse_schedule(TEXT), Random(7), PARTIES) for _ in range(2))
    assert first == second
    killed = next(fault for fault in first if fault.verb == "kill")
    servers = [name for fault in first if fault.verb in ("replace", "reuse") for name in fault.targets]
    assert len(servers) == len(set(servers)) == 2  # no server is replaced twice
    assert len(killed.targets) == 8 and set(killed.targets) < set(PARTIES["n"])


@pytest.mark.parametrize(
    "line",
    [
        "kill s1 at 3",
        "explode n1 at 3",
        "stall n1 at 3",
        "delay n1-s1 for 3 s at 3",
        "cut n1 for 3 s at 3",
        "discovery angry at 3",
        "kill n1",
        "capacity many at 0",
        "part s1 for 1 s at 0",
        "deafen 1 of 10 at 0",
        "weather fog=1 for 1 s at 0",
        "weather loss=0.1 at 0",
    ],
)
def test_what_is_no_fault_is_refused(line: str) -> None:
    with pytest.raises(ScheduleError):
        parse_fault(line)


def test_a_link_names_its_ends_and_ways() -> None:
    assert parse_link("n3-s1") == ("n3", "s1", True)
    assert parse_link("d>n2") == ("d", "n2", False)


def test_peaks_and_backlogs_are_counted_exactly() -> None:
    assert max_in_window([0.0, 0.05, 0.09, 0.11, 0.5], 0.1) == 3
    assert overrun_s([0.0, 0.0, 0.0, 0.0], 4.0) == 1.0
    assert overrun_s([0.0, 0.25, 0.5, 0.75], 4.0) == 0.25
