"""gRPC calls that are read long after they arrived: their time counts from their arrival."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from tests.grpcs.raw import DATA, END_STREAM, HEADERS, RawClient, fields, frame
from tests.grpcs.test_on_sockets import grpc_harness
from tests.loopback import run

HELD_UP_S = 1.2
BUDGET_S = 1.0
GRACE_S = 0.5  # after its time a final answer counts as late, and later as lost


async def never_answers(request: bytes, context: Any) -> bytes:
    await asyncio.sleep(20)
    return b""


# The failure: the time began when the process went on and read the call.
def test_a_call_that_arrived_while_the_process_was_held_up_is_answered_in_its_time() -> None:
    async def case() -> None:
        async with grpc_harness(never_answers) as harness:
            client = await RawClient().connect(harness.front.port)
            await asyncio.sleep(0.1)
            headers = fields(x_call_id="c1", grpc_timeout=f"{int(BUDGET_S * 1000)}m")
            client.write(client.headers(1, headers) + frame(DATA, END_STREAM, 1, b"\0\0\0\0\0"))
            written_at = time.monotonic()
            time.sleep(HELD_UP_S)  # holds up the front, which runs in this process
            assert await client.read_until(HEADERS) is not None
            assert time.monotonic() - written_at < BUDGET_S + GRACE_S
            client.close()

    run(case())
