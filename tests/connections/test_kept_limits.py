"""Learned idle limits survive a restart and grow by the time in between."""

from __future__ import annotations

from random import Random

import pytest

from garnethaven.connections.idle_limits import ANNOUNCED_FRACTION, OBSERVED_FRACTION, RECOVER_S, IdleLimits

ADDRESS, OTHER_ADDRESS = ("127.0.0.1", 1), ("127.0.0.1", 2)


def test_a_learned_limit_comes_back_and_grows_while_away() -> None:
    before = IdleLimits(15.0, Random(1))
    before.record_silence(ADDRESS, 10.0, 2.0)
    before.limit_of(OTHER_ADDRESS)
    snapshot = before.snapshot(10.0)
    assert snapshot == [(*ADDRESS, 2.0 * OBSERVED_FRACTION)]  # nothing was learned for the other address
    after = IdleLimits(15.0, Random(2))
    after.restore(500.0, snapshot, away_s=RECOVER_S)
    assert after.limit_of(ADDRESS).limit_s(500.0) == pytest.approx(2.0 * OBSERVED_FRACTION * 1.5)
    assert after.limit_of(OTHER_ADDRESS).limit_s(500.0) == 15.0 * ANNOUNCED_FRACTION
    after_long_time = IdleLimits(15.0, Random(3))
    after_long_time.restore(500.0, snapshot, away_s=100 * RECOVER_S)
    assert after_long_time.limit_of(ADDRESS).limit_s(500.0) == 15.0 * ANNOUNCED_FRACTION
