"""The demo of the external processor: two proxies that call it once per request, with three faults."""

from __future__ import annotations

import asyncio
import sys
import tempfile

from rigs.demo import DEFAULT_S, SERVERS, SOCKETS, count_live
from rigs.external_processor import new_proxy, operator_file
from rigs.report import Report, print_report
from rigs.stage import Stage, now, tracking_published_changes
from standins.platform import TARGET_S
from standins.ports import PORTS
from standins.proxy import ProxySettings

RATE = 30.0  # of each proxy
PROXIES = 2


async def play(seed: int, seconds: float | None, as_json: bool) -> bool:
    """Send for `seconds`; a server crashes after a quarter of it, then come a planned restart and a drain."""
    length = seconds or DEFAULT_S
    stage = Stage(seed, SERVERS, SOCKETS)
    report = Report("demo-external-processor", seed)
    print("starting six check servers, a discovery server, the program and two proxies", file=sys.stderr)
    with tempfile.TemporaryDirectory(prefix="rig-") as folder:
        port = PORTS.next_free()
        program = await stage.up(environment=operator_file(folder, port))
        proxies = [new_proxy(stage, f"p{n}", port, ProxySettings()) for n in range(PROXIES)]
        started_at = now()
        async with tracking_published_changes(stage):
            count_task = asyncio.create_task(count_live(stage))
            await asyncio.gather(*(proxy.run(RATE, length) for proxy in proxies), _events(stage, length))
            for proxy in proxies:
                await proxy.settle()
            count_task.cancel()
        for proxy in proxies:
            await proxy.close()
        in_time, tries = stage.ledger.in_time(TARGET_S)
        latencies_s = sorted(latency_s for proxy in proxies for latency_s in proxy.decision_times_s) or [0.0]
        report.fields = {
            "first_try_in_time": round(in_time / max(1, tries), 4),
            "decisions": len(latencies_s),
            "decision_ms_p50": round(latencies_s[len(latencies_s) // 2] * 1000, 2),
            "restarts": program.starts - 1,
            "seconds": round(now() - started_at, 1),
        }
        code = await stage.down()
    if code:
        report.violations.append(f"the program exited with code {code}")
    print_report(report, stage.ledger, as_json)
    return report.passed(stage.ledger)


async def _events(stage: Stage, length: float) -> None:
    assert stage.program is not None
    await asyncio.sleep(length / 4)
    stage.progress.log("a check server crashes and will restart cold")
    await stage.outage(stage.servers[:1], min(2.0, length / 6))
    stage.progress.log("a planned restart of the program")
    await stage.program.restart()
    await asyncio.sleep(length / 8)
    stage.progress.log("a check server is drained and replaced by a new one")
    await stage.replace(stage.servers[1])
