"""The demo: six check servers, discovery, the sidecar and an application; a crash, a drain, live counts."""

from __future__ import annotations

import asyncio
import sys

from rigs.report import Report, print_report
from rigs.stage import Stage, keeping_book, now
from standins.clients import Habits
from standins.platform import AIM_S

SERVERS = 6
SOCKETS = 384
RATE = 60.0
USUAL_S = 12.0
COUNT_EVERY_S = 1.0


async def play(seed: int, seconds: float | None, as_json: bool) -> bool:
    """Send for `seconds`; a crash comes after a quarter and a replacement after the half of it."""
    length = seconds or USUAL_S
    stage = Stage(seed, SERVERS, SOCKETS)
    report = Report("demo", seed)
    print("starting six check servers, a discovery and the sidecar", file=sys.stderr)
    await stage.up()
    began = now()
    application = stage.application("app", Habits(rate=RATE))
    async with keeping_book(stage):
        sending = asyncio.create_task(application.run(length))
        events = asyncio.create_task(_events(stage, length))
        counting = asyncio.create_task(count_live(stage))
        await asyncio.gather(sending, events)
        await application.settle()
        counting.cancel()
    good, tries = stage.ledger.in_time(AIM_S)
    report.fields = {
        "first_try_in_time": round(good / max(1, tries), 4),
        "attempts": stage.ledger.counts["attempts"],
        "connections_to_servers": sum(server.opened for server in stage.servers),
        "discovery_calls": stage.discovery.calls,
        "seconds": round(now() - began, 1),
    }
    code = await stage.down()
    if code:
        report.unkept.append(f"the program ended with code {code}")
    print_report(report, stage.ledger, as_json)
    return report.held(stage.ledger)


async def _events(stage: Stage, length: float) -> None:
    await asyncio.sleep(length / 4)
    stage.progress.say("a check server dies, and will come back cold")
    await stage.outage(stage.servers[:1], min(2.0, length / 6))
    await asyncio.sleep(length / 8)
    stage.progress.say("a check server is drained and replaced by a new one")
    await stage.replace(stage.servers[1])


async def count_live(stage: Stage) -> None:
    """Say how things stand, once a second, until it is cancelled."""
    while True:
        await asyncio.sleep(COUNT_EVERY_S)
        stage.progress.say("")
