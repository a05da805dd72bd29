"""A request gets its final answer before its budget ends, not at that moment."""

from __future__ import annotations

import pytest

from garnethaven.engine.engine import MS
from tests.loopback import never_answers, read_message, request, run, running_sidecar, wait_until


@pytest.mark.parametrize(("budget_ms", "answered_within_ms"), [(200, 190), (400, 380), (3000, 2970)])
def test_a_request_whose_endpoint_hangs_is_owed_its_answer_before_its_time_is_up(
    budget_ms: int, answered_within_ms: int
) -> None:
    async def case() -> None:
        async with running_sidecar(never_answers) as (sidecar, _):
            reader, writer = await sidecar.connect()
            writer.write(request(X_Budget_Ms=str(budget_ms)))
            await wait_until(lambda: bool(sidecar.engine.calls))
            (call,) = sidecar.engine.calls.values()
            assert call.deadline - call.taken_at == answered_within_ms * MS
            head, _ = await read_message(reader)
            assert int(head.split()[1]) in (502, 503, 504)
            writer.close()

    run(case())
