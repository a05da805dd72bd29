"""How long certificates hold and who is a peer: the decisions alone."""

from __future__ import annotations

import pytest

from garnethaven.keys.validity import DAY_S, Facts, Holds, Told, holds, is_peer, usable


def facts(days: float = 90.0, serial: int = 1) -> Facts:
    return Facts("CN=a", ("a.example",), serial, 1000.0, 1000.0 + days * DAY_S)


@pytest.mark.parametrize(
    ("days", "at_day", "state"),
    [
        (90, -1, Holds.EARLY),
        (90, 0, Holds.VALID),
        (90, 71.9, Holds.VALID),
        (90, 72.1, Holds.ENDING),
        (90, 90, Holds.ENDED),
        (3650, 3619, Holds.VALID),
        (3650, 3621, Holds.ENDING),
        (1, 0.81, Holds.ENDING),
    ],
)
def test_a_certificate_goes_through_its_states(days: float, at_day: float, state: Holds) -> None:
    now = 1000.0 + at_day * DAY_S
    assert holds(facts(days), now) is state
    assert usable(facts(days), now) is (state in (Holds.VALID, Holds.ENDING))


def test_an_end_is_told_before_once_a_day_and_after() -> None:
    told, one = Told(), facts(10)
    start = one.begins
    assert told.due(one, start) == ""
    assert "ends in 1.5 days" in told.due(one, start + 8.5 * DAY_S)
    assert told.due(one, start + 9.4 * DAY_S) == ""
    assert "ends in 0.4 days" in told.due(one, start + 9.6 * DAY_S)
    assert "handshakes are refused" in told.due(one, start + 10.1 * DAY_S)  # another state: at once
    assert told.due(facts(90, serial=2), start + 10.2 * DAY_S) == ""


@pytest.mark.parametrize(
    ("names", "peer"),
    [
        (("gate.b.example",), True),
        (("x.a.example",), True),
        (("x.y.a.example",), False),
        (("a.example",), False),
        (("10.0.0.1",), True),
        ((), False),
        (("other", "gate.b.example"), True),
    ],
)
def test_peers_are_named(names: tuple[str, ...], peer: bool) -> None:
    assert is_peer(names, ("gate.b.example", "*.a.example", "10.0.0.1")) is peer
