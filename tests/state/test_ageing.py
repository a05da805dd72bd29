"""What a figure is worth after a time away, and that none comes back better than it went."""

from __future__ import annotations

import pytest

from garnethaven.brain import Balancer
from garnethaven.interface import (
    AttemptEnded,
    Endpoint,
    Grade,
    ListKind,
    Membership,
    Outcome,
    Request,
    Send,
    Settings,
)
from garnethaven.membership.list_reader import name_of
from garnethaven.state.ageing import OWN_S, RELEASE_S, Figures, Kept, Moment, away, recalled
from garnethaven.state.snapshot import figures_of, kept_of

S = 1_000_000_000
HOUR = 3600 * S
HALF = 6 * S
SETTINGS = Settings(grades=(Grade(aim=S, deadline=3 * S),), ramp_time=HALF, max_attempts=2)
LISTED = {"a": (97, 0), "b": (98, 5000)}


def figures(*kept: Kept) -> Figures:
    return Figures(list(kept), {0: 1.5}, {0: 8e7}, 2.5, 1.5)


@pytest.mark.parametrize(
    ("then", "now", "passed"),
    [
        (Moment("x", 10 * S, 9 * HOUR), Moment("x", 12 * S, 8 * HOUR), 2 * S),  # the wall clock was set back
        (Moment("x", 10 * S, 0), Moment("y", 1 * S, 7 * S), 7 * S),  # another life of the machine
        (Moment("x", 10 * S, HOUR), Moment("y", 1 * S, 0), None),  # nobody can tell
        (Moment("x", 10 * S, 0), Moment("x", 9 * S, HOUR), None),
    ],
)
def test_time_away_is_told_by_the_boots_clock(then: Moment, now: Moment, passed: int | None) -> None:
    assert away(then, now) == passed


def test_errors_decay_as_in_life_and_paces_lose_trust() -> None:
    kept = Kept("a", 0, 4.0, 0.7, 16.0)
    (learned,) = recalled(figures(kept), 2 * HALF, HALF, LISTED).servers
    assert learned.errors == pytest.approx(1.0)
    assert learned.pace == 0.7 and learned.paces == pytest.approx(16.0 * 0.5 ** (12 / OWN_S))
    assert not recalled(figures(kept), HOUR, HALF, LISTED).servers  # worth nothing any more


def test_figures_of_another_life_or_of_nobody_are_dropped() -> None:
    told = recalled(figures(Kept("b", 4999, 4.0, 0.7, 16.0), Kept("c", 0, 4.0, 0.7, 9.0)), S, HALF, LISTED)
    assert not told.servers


def test_what_belongs_to_a_release_ends_with_it() -> None:
    young = recalled(figures(), S, HALF, LISTED)
    old = recalled(figures(), int(RELEASE_S * S) + 1, HALF, LISTED)
    assert (young.kinds, young.usual, old.kinds, old.usual) == ({0: 1.5}, {0: 8e7}, {}, {})


def begun(seed: int) -> Balancer:
    balancer = Balancer(SETTINGS, seed)
    balancer.handle(S, Membership(ListKind.PERSISTED, tuple(Endpoint(97 + n) for n in range(3))))
    return balancer


def test_no_penalised_server_regains_its_share_by_five_restarts_and_no_budget_is_refilled() -> None:
    balancer, now = begun(1), S
    for n in range(12):  # the first server fails, the others answer
        now += S // 100
        (send,) = [a for a in balancer.handle(now, Request(str(n), 0, S)) if isinstance(a, Send)]
        outcome = Outcome.ERROR if send.endpoint == 97 else Outcome.DONE
        balancer.handle(now, AttemptEnded(str(n), 0, send.endpoint, outcome, S // 10, final=True))
    balancer.copies, balancer.overload.retries = 0.25, 0.5
    errors = balancer.errors_of(balancer.servers[97])
    assert errors > 2.0
    for life in range(5):
        kept = figures_of(balancer, list(kept_of(balancer, balancer.servers.values(), 0)))
        balancer = begun(life)
        number = {name_of(97 + n): (97 + n, 0) for n in range(3)}
        balancer.handle(S, recalled(kept, 2 * S // 10, HALF, number))
        assert balancer.copies <= 0.25 and balancer.overload.retries <= 0.5
    weights = {server.id: server.weight for server in balancer.pool}
    assert balancer.errors_of(balancer.servers[97]) == pytest.approx(errors * 0.5 ** (1 / 6), rel=1e-3)
    assert weights[97] < 0.5 * weights[98]


def test_the_burst_of_a_return_makes_a_penalty_no_lighter() -> None:
    """Where requests come thick one error counts for less; those that waited for it tell nothing of that."""
    shares = []
    for kept_gap in (S / 7, 0.0):
        balancer = begun(1)
        errors = recalled(
            Figures([Kept(name_of(97), 0, 0.6, 0.0, 0.0)], {}, {}, 1.0, 1.0, kept_gap),
            S,
            HALF,
            {name_of(97): (97, 0)},
        )
        balancer.handle(S, errors)
        for n in range(4):  # they waited for it, all together
            balancer.handle(S + n * S // 1000, Request(str(n), 0, S))
        balancer.handle(2 * S, Membership(ListKind.DELTA, ()))
        shares.append({server.id: server.weight for server in balancer.pool}[97] * 3)
    assert shares[0] < 0.75 < shares[1]
