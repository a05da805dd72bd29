"""The ledger detects a violation of each rule, and reports none for correct requests."""

from __future__ import annotations

import pytest

from standins.ledger import COLD_SLACK, DRAIN_SLACK_S, LATE_S, Ledger, Receipt, ServerLifetime, Violations


def make_ledger() -> Ledger:
    return Ledger(window_s=6.0, grace_s=0.5, overload_factor=3.0, overload_window_s=3.0, cold_share=0.2)


def served(ledger: Ledger, call_id: str, at: float = 10.0, cell: int = 0) -> None:
    ledger.record_sent(call_id, "k", at, 3.0, True)
    ledger.runs(call_id, "s0", cell, at + 0.01, "m")
    ledger.record_answer(call_id, "served", at + 0.1, "m")


def test_a_good_request_breaks_nothing() -> None:
    ledger = make_ledger()
    served(ledger, "a")
    assert ledger.violations() == Violations()
    others = dict.fromkeys(("refused", "failed", "gone", "missing", "doubled"), 0)
    assert ledger.tally() == {"sent": 1, "served": 1} | others


def test_no_answer_is_missing_and_lost_unless_the_client_gave_it_up() -> None:
    ledger = make_ledger()
    sent = ledger.record_sent("a", "k", 10.0, 3.0, True)
    assert (ledger.missing(), ledger.violations().lost) == (["a"], 1)
    sent.abandoned = True
    assert (ledger.missing(), ledger.violations().lost) == ([], 0)


def test_a_late_answer_is_lost() -> None:
    ledger = make_ledger()
    ledger.record_sent("a", "k", 10.0, 3.0, True)
    ledger.record_answer("a", "failed", 13.0 + LATE_S + 0.01)
    assert ledger.violations().lost == 1


def test_an_answer_that_no_server_made_is_lost() -> None:
    ledger = make_ledger()
    ledger.record_sent("a", "k", 10.0, 3.0, True)
    ledger.runs("a", "s0", 0, 10.0, "m")
    ledger.record_answer("a", "served", 10.1, "of another request")
    assert ledger.violations().lost == 1


def test_a_second_answer_is_doubled() -> None:
    ledger = make_ledger()
    served(ledger, "a")
    ledger.record_answer("a", "served", 10.2, "m")
    assert ledger.answered_twice() == ["a"]


@pytest.mark.parametrize(
    ("cell", "after", "broken"), [(0, 0.2, 0), (0, 6.0, 0), (1, 0.2, 1), (0, 6.0 + DRAIN_SLACK_S + 0.1, 1)]
)
def test_a_repeat_is_good_in_the_rack_and_its_window_only(cell: int, after: float, broken: int) -> None:
    ledger = make_ledger()
    served(ledger, "a")
    ledger.runs("a", "s1", cell, 10.01 + after, "m2")
    assert ledger.violations().twice == broken


def test_a_refusal_of_what_ran_is_twice_for_the_client_may_send_it_again() -> None:
    ledger = make_ledger()
    ledger.record_sent("a", "k", 10.0, 3.0, True)
    ledger.runs("a", "s0", 0, 10.0, "m")
    ledger.record_answer("a", "refused", 10.1)
    assert ledger.violations().twice == 1


def test_a_send_after_the_grace_breaks_the_drain() -> None:
    ledger = make_ledger()
    ledger.record_end_delivered("s0", 10.0)
    ledger.request_arrived("a", "s0", 10.5)
    assert ledger.violations().drain == 0
    ledger.request_arrived("b", "s0", 10.5 + DRAIN_SLACK_S + 0.01)
    assert ledger.violations().drain == 1
    ledger.record_serving_delivered("s0")
    ledger.request_arrived("c", "s0", 20.0)
    assert ledger.violations().drain == 1


def cold_life(rate: float, seconds: float, ramp_s: float = 6.0) -> ServerLifetime:
    """A server with two cores that receives requests of 0.1 s of work at an even rate from its start."""
    count = int(rate * seconds)
    receipts = [Receipt("s0", 50.0 + n / rate, 0.1) for n in range(count)]
    return ServerLifetime("s0", 50.0, ramp_s, 2.0, receipts)


def test_a_cold_server_is_pushed_over_by_more_than_the_multiple() -> None:
    ledger = make_ledger()
    # Capacity in the first 3 s: 2 cores x 3 s x 0.4 average warmth = 2.4 s of work, or 24 requests.
    allowed_rate = (3 * 24 + COLD_SLACK - 1) / 3.0
    assert not ledger.overloaded_while_cold(cold_life(allowed_rate, 3.0))
    assert ledger.overloaded_while_cold(cold_life(allowed_rate * 1.2, 3.0))


def test_a_burst_is_enough() -> None:
    ledger = make_ledger()
    life = cold_life(1000.0, 0.1)
    assert ledger.overloaded_while_cold(life)


def test_a_warm_server_is_never_pushed_over() -> None:
    ledger = make_ledger()
    assert not ledger.overloaded_while_cold(cold_life(1000.0, 0.1, ramp_s=0.0))
