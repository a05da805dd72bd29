"""The stand-in of a proxy ends its requests in their time, so that it blames the program for no others."""

from __future__ import annotations

import asyncio
import random
import time

import pytest

from standins.ledger import Ledger
from standins.proxy import Decision, ProcessorStream, Proxy, ProxySettings
from tests.loopback import run

BUDGET_S = 0.6
DECISION_S = 0.4
SLACK_S = 0.3


def test_a_late_decision_leaves_a_silent_server_only_the_rest_of_the_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The wait for the server began anew with the time that was left before the decision."""

    async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()
        writer.close()

    async def case() -> None:
        server = await asyncio.start_server(silent, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

        async def late_decision(
            stream: ProcessorStream, headers: dict[str, str], timeout_s: float
        ) -> Decision:
            await asyncio.sleep(DECISION_S)
            return Decision(address=address, valid_s=1.0, at=time.monotonic())

        monkeypatch.setattr(ProcessorStream, "decide", late_decision)
        ledger = Ledger(6.0, 0.5, 3.0, 3.0, 0.2)
        proxy = Proxy("p", 9, ledger, random.Random(1), ProxySettings(budget_s=BUDGET_S))
        await proxy.one("c1")
        sent = ledger.sent["c1"]
        assert sent.final == "failed"
        assert sent.final_at - sent.at < BUDGET_S + SLACK_S
        await proxy.close()
        server.close()

    run(case())
