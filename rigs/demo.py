"""The demo: six check servers, discovery, the sidecar and an application, with a crash and a drain."""

from __future__ import annotations

import asyncio
import sys

from rigs.report import Report, print_report
from rigs.stage import Stage, now, tracking_published_changes
from standins.clients import ApplicationSettings
from standins.platform import TARGET_S

SERVERS = 6
SOCKETS = 384
RATE = 60.0
DEFAULT_S = 12.0
COUNT_EVERY_S = 1.0


async def play(seed: int, seconds: float | None, as_json: bool) -> bool:
    """Send for `seconds`; a server crashes after a quarter of it, and later another one is replaced."""
    length = seconds or DEFAULT_S
    stage = Stage(seed, SERVERS, SOCKETS)
    report = Report("demo", seed)
    print("starting six check servers, a discovery server and the sidecar", file=sys.stderr)
    await stage.up()
    started_at = now()
    application = stage.application("app", ApplicationSettings(rate=RATE))
    async with tracking_published_changes(stage):
        send_task = asyncio.create_task(application.run(length))
        event_task = asyncio.create_task(_events(stage, length))
        count_task = asyncio.create_task(count_live(stage))
        await asyncio.gather(send_task, event_task)
        await application.settle()
        count_task.cancel()
    in_time, tries = stage.ledger.in_time(TARGET_S)
    report.fields = {
        "first_try_in_time": round(in_time / max(1, tries), 4),
        "attempts": stage.ledger.counts["attempts"],
        "connections_to_servers": sum(server.accepted_connections for server in stage.servers),
        "discovery_calls": stage.discovery.calls,
        "seconds": round(now() - started_at, 1),
    }
    code = await stage.down()
    if code:
        report.violations.append(f"the program exited with code {code}")
    print_report(report, stage.ledger, as_json)
    return report.passed(stage.ledger)


async def _events(stage: Stage, length: float) -> None:
    await asyncio.sleep(length / 4)
    stage.progress.log("a check server crashes and will restart cold")
    await stage.outage(stage.servers[:1], min(2.0, length / 6))
    await asyncio.sleep(length / 8)
    stage.progress.log("a check server is drained and replaced by a new one")
    await stage.replace(stage.servers[1])


async def count_live(stage: Stage) -> None:
    """Print the counts once per second until cancelled."""
    while True:
        await asyncio.sleep(COUNT_EVERY_S)
        stage.progress.log("")
