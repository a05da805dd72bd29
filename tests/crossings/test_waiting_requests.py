"""Clients that leave while their requests wait behind another one."""

from __future__ import annotations

import asyncio

import pytest

from garnethaven.net.presence import reset_at_close
from tests.loopback import ANSWER, answers_with, request, run, running_sidecar, wait_until

MANY = 100 * 1024  # bytes of waiting requests, with which reading is paused


def waiting_requests(total_bytes: int) -> bytes:
    waiting = [
        request(X_Call_Id=f"w{number}", X_Fill="f" * 8000) for number in range(1 + total_bytes // 8000)
    ]
    return b"".join(waiting)


# The failure: a request that waited behind another was sent on after its client had closed, as the end of the
# connection stood unread behind it.
@pytest.mark.parametrize("reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("total_bytes", [0, MANY], ids=["one", "many"])
def test_a_request_that_waits_is_not_sent_on_after_its_client_has_closed(
    total_bytes: int, reset: bool
) -> None:
    async def case() -> None:
        may_answer = asyncio.Event()
        async with running_sidecar(answers_with(ANSWER)) as (sidecar, (peer,)):
            sidecar.transport.pool.min_rest_s = 0.0  # the next request is written at once
            assert (await sidecar.ask(request(X_Call_Id="first")))[0] == 200
            peer.script = answers_with(ANSWER, may_answer)
            loop, sock = asyncio.get_running_loop(), await sidecar.plain()
            await loop.sock_sendall(sock, request(X_Call_Id="begun"))
            await wait_until(lambda: len(peer.requests) == 2)
            await loop.sock_sendall(sock, waiting_requests(total_bytes))
            await asyncio.sleep(0.1)
            if reset:
                reset_at_close(sock)
            sock.close()
            await asyncio.sleep(0.15)
            may_answer.set()
            await wait_until(lambda: not sidecar.listener.connections)
            await asyncio.sleep(0.1)
            assert len(peer.requests) == 2

    run(case())
