"""How statistics age during a downtime; none may look better when restored than when saved."""

from __future__ import annotations

import pytest

from garnethaven.brain import Balancer
from garnethaven.interface import (
    AttemptEnded,
    Endpoint,
    ListKind,
    Membership,
    Outcome,
    Request,
    RequestClass,
    Send,
    Settings,
)
from garnethaven.membership.list_reader import name_of
from garnethaven.state.ageing import (
    RELEASE_S,
    SERVER_HALF_LIFE_S,
    Statistics,
    StoredServer,
    Timestamp,
    elapsed,
    restore,
)
from garnethaven.state.snapshot import collect_statistics, stored_servers

S = 1_000_000_000
HOUR = 3600 * S
HALF_LIFE = 6 * S
SETTINGS = Settings(
    request_classes=(RequestClass(target=S, deadline=3 * S),), ramp_time=HALF_LIFE, max_attempts=2
)
LISTED = {"a": (97, 0), "b": (98, 5000)}


def make_statistics(*stored: StoredServer) -> Statistics:
    return Statistics(list(stored), {0: 1.5}, {0: 8e7}, 2.5, 1.5)


@pytest.mark.parametrize(
    ("then", "now", "passed"),
    [
        # The wall clock was set back.
        (Timestamp("x", 10 * S, 9 * HOUR), Timestamp("x", 12 * S, 8 * HOUR), 2 * S),
        # The machine was rebooted.
        (Timestamp("x", 10 * S, 0), Timestamp("y", 1 * S, 7 * S), 7 * S),
        # The machine was rebooted, and the wall clock runs backwards.
        (Timestamp("x", 10 * S, HOUR), Timestamp("y", 1 * S, 0), None),
        # The clock that counts from the boot runs backwards.
        (Timestamp("x", 10 * S, 0), Timestamp("x", 9 * S, HOUR), None),
    ],
)
def test_time_away_is_told_by_the_boots_clock(then: Timestamp, now: Timestamp, passed: int | None) -> None:
    assert elapsed(then, now) == passed


def test_errors_decay_as_in_life_and_paces_lose_trust() -> None:
    stored = StoredServer("a", 0, 4.0, 0.7, 16.0)
    (learned,) = restore(make_statistics(stored), 2 * HALF_LIFE, HALF_LIFE, LISTED).servers
    assert learned.errors == pytest.approx(1.0)
    assert learned.log_latency_ratio == 0.7 and learned.latency_samples == pytest.approx(
        16.0 * 0.5 ** (12 / SERVER_HALF_LIFE_S)
    )
    assert not restore(make_statistics(stored), HOUR, HALF_LIFE, LISTED).servers  # too old to count


def test_figures_of_another_life_or_of_nobody_are_dropped() -> None:
    restored = restore(
        make_statistics(StoredServer("b", 4999, 4.0, 0.7, 16.0), StoredServer("c", 0, 4.0, 0.7, 9.0)),
        S,
        HALF_LIFE,
        LISTED,
    )
    assert not restored.servers


def test_what_belongs_to_a_release_ends_with_it() -> None:
    recent = restore(make_statistics(), S, HALF_LIFE, LISTED)
    old = restore(make_statistics(), int(RELEASE_S * S) + 1, HALF_LIFE, LISTED)
    assert (
        recent.kind_latency_ratios,
        recent.latency_estimates,
        old.kind_latency_ratios,
        old.latency_estimates,
    ) == (
        {0: 1.5},
        {0: 8e7},
        {},
        {},
    )


def make_balancer(seed: int) -> Balancer:
    balancer = Balancer(SETTINGS, seed)
    balancer.handle(S, Membership(ListKind.PERSISTED, tuple(Endpoint(97 + n) for n in range(3))))
    return balancer


def test_no_penalised_server_regains_its_share_by_five_restarts_and_no_budget_is_refilled() -> None:
    balancer, now = make_balancer(1), S
    for n in range(12):  # the first server fails, the others answer
        now += S // 100
        (send,) = [a for a in balancer.handle(now, Request(str(n), 0, S)) if isinstance(a, Send)]
        outcome = Outcome.ERROR if send.endpoint == 97 else Outcome.DONE
        balancer.handle(now, AttemptEnded(str(n), 0, send.endpoint, outcome, S // 10, final=True))
    balancer.hedge_tokens, balancer.overload.retry_tokens = 0.25, 0.5
    errors = balancer.decayed_errors(balancer.servers[97])
    assert errors > 2.0
    for restart in range(5):
        stored = collect_statistics(balancer, list(stored_servers(balancer, balancer.servers.values(), 0)))
        balancer = make_balancer(restart)
        listed = {name_of(97 + n): (97 + n, 0) for n in range(3)}
        balancer.handle(S, restore(stored, 2 * S // 10, HALF_LIFE, listed))
        assert balancer.hedge_tokens <= 0.25 and balancer.overload.retry_tokens <= 0.5
    weights = {server.id: server.weight for server in balancer.pool}
    assert balancer.decayed_errors(balancer.servers[97]) == pytest.approx(errors * 0.5 ** (1 / 6), rel=1e-3)
    assert weights[97] < 0.5 * weights[98]


def test_the_burst_of_a_return_makes_a_penalty_no_lighter() -> None:
    """An error counts for less at a high request rate; the burst after a downtime must not count as one."""
    weights_at_gaps = []
    for saved_gap in (S / 7, 0.0):
        balancer = make_balancer(1)
        restored = restore(
            Statistics([StoredServer(name_of(97), 0, 0.6, 0.0, 0.0)], {}, {}, 1.0, 1.0, saved_gap),
            S,
            HALF_LIFE,
            {name_of(97): (97, 0)},
        )
        balancer.handle(S, restored)
        for n in range(4):  # requests that arrive in one burst after the restart
            balancer.handle(S + n * S // 1000, Request(str(n), 0, S))
        balancer.handle(2 * S, Membership(ListKind.DELTA, ()))
        weights_at_gaps.append({server.id: server.weight for server in balancer.pool}[97] * 3)
    assert weights_at_gaps[0] < 0.75 < weights_at_gaps[1]
