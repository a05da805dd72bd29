"""Ids that come again after their client has left."""

from __future__ import annotations

import asyncio

from garnethaven.interface import Idempotency
from tests.crossings.test_late_dials import set_idempotency
from tests.loopback import ANSWER, answers_with, request, run, running_sidecar, wait_until


# The failure: an id whose client had left was taken again while its first attempt ran, and ran twice.
def test_an_id_that_comes_again_while_its_first_attempt_runs_is_turned_away() -> None:
    async def case() -> None:
        may_answer = asyncio.Event()
        async with running_sidecar(answers_with(ANSWER, may_answer)) as (sidecar, (peer,)):
            set_idempotency(sidecar, Idempotency.FRAGILE)
            object.__setattr__(sidecar.engine.settings, "cancel", False)
            _, writer = await sidecar.connect()
            writer.write(request())
            await wait_until(lambda: len(peer.requests) == 1)
            writer.transport.abort()
            await wait_until(lambda: not sidecar.listener.connections)
            status, _ = await sidecar.ask(request())
            running = len(peer.requests)
            may_answer.set()
            assert (status, running) == (409, 1)
            await wait_until(lambda: not sidecar.engine.calls)
            assert (await sidecar.ask(request()))[0] == 200  # nothing runs any more

    run(case())
