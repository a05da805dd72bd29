"""The rig `external-processor`: four proxies with crashes, drains, restarts, cancelled calls, duplicate ids.

There are twelve check servers and 400 requests per second in all. The program's HTTP/1.1 front and processor
share one decision module; a planned and a forced restart happen while decisions are pending. Counts come from
the sockets of the proxies and the servers.
"""

from __future__ import annotations

import asyncio
import random
import signal
import tempfile
from dataclasses import replace
from pathlib import Path

from rigs.report import Report, print_report
from rigs.stage import Stage, now, tracking_published_changes
from standins.clients import ApplicationSettings
from standins.platform import TARGET_S
from standins.ports import PORTS
from standins.proxy import Proxy, ProxySettings

SERVERS = 12
RATE = 90.0  # of each proxy; the HTTP/1.1 application adds `HTTP_RATE`
HTTP_RATE = 40.0
DEFAULT_S = 20.0
WORK_S = 0.035  # per request; with two cores per server the capacity is some 690 requests per second
MIN_SERVED_SHARE = 0.9
KEYS = ("5a" * 16, "a5" * 16)


async def play(seed: int, seconds: float | None, as_json: bool) -> bool:
    """Send for `seconds` (default 20); true where every requirement was met."""
    length = seconds or DEFAULT_S
    stage = Stage(seed, SERVERS, sockets=1024, work_s=WORK_S)
    report = Report("external-processor", seed)
    with tempfile.TemporaryDirectory(prefix="rig-") as folder:
        port = PORTS.next_free()
        program = await stage.up(environment=operator_file(folder, port))
        proxies = [
            new_proxy(stage, f"p{n}", port, proxy_settings)
            for n, proxy_settings in enumerate(_proxy_settings(stage))
        ]
        application = stage.application("http", ApplicationSettings(rate=HTTP_RATE, retries=0))
        started_at = now()
        async with tracking_published_changes(stage):
            send_tasks = [asyncio.create_task(proxy.run(RATE, length)) for proxy in proxies]
            send_tasks.append(asyncio.create_task(application.run(length)))
            duplicates_task = asyncio.create_task(_send_duplicate_ids(proxies, length))
            await _faults(stage, length)
            await asyncio.gather(*send_tasks, duplicates_task)
            for proxy in proxies:
                await proxy.settle()
            await application.settle()
        for proxy in proxies:
            await proxy.close()
        _judge(report, stage, proxies, started_at)
        report.fields["restarts"] = program.starts - 1
        code = await stage.down()
    if code:
        report.violations.append(f"the program exited with code {code}")
    print_report(report, stage.ledger, as_json)
    return report.passed(stage.ledger)


def operator_file(folder: str, port: int) -> dict[str, str]:
    """Write an operator file that enables the processor; returns the environment that names it."""
    file = Path(folder) / "operator.toml"
    keys = ", ".join(f'"{key}"' for key in KEYS)
    file.write_text(f'[external_processor]\nlisten = "127.0.0.1:{port}"\nkeys = [{keys}]\n')
    return {"NODE_OPERATOR": str(file)}


def new_proxy(stage: Stage, name: str, port: int, settings: ProxySettings) -> Proxy:
    return Proxy(name, port, stage.ledger, random.Random(stage.rng.getrandbits(32)), settings)


def _proxy_settings(stage: Stage) -> list[ProxySettings]:
    """Settings of the proxies: all lose clients and delay decisions; one forges tokens, one fails open.

    The proxy that fails open sends to servers that neither crash nor drain.
    """
    base = ProxySettings(disconnect_share=0.02, hold_share=0.01)
    stable = tuple(f"127.0.0.1:{server.port}" for server in stage.servers[6:])
    return [base, base, replace(base, forge_share=0.3), replace(base, fail_open_addresses=stable)]


async def _send_duplicate_ids(proxies: list[Proxy], length: float) -> None:
    """Two proxies call with the same id at the same time; at most one of them may get a decision."""
    ledger = proxies[0].ledger
    for number in range(10):
        await asyncio.sleep(length / 12)
        headers = proxies[0]._headers(f"twin-{number}", "k", 2.0)
        calls = [proxy.open_stream() for proxy in proxies[:2]]
        decisions = await asyncio.gather(*(item.decide(headers, 1.0) for item in calls))
        decided = [item for item in decisions if item is not None and item.address]
        ledger.counts["twins_decided_twice"] += len(decided) > 1
        ledger.counts["twins"] += 1
        for item in calls:
            item.cancel()


async def _faults(stage: Stage, length: float) -> None:
    program, log = stage.program, stage.progress.log
    assert program is not None
    await asyncio.sleep(length * 0.15)
    log("a quarter of the servers crashes and restarts cold")
    await stage.outage(stage.servers[:3], min(2.0, length * 0.1))
    log("a planned restart")
    await program.restart()
    await asyncio.sleep(length * 0.1)
    log("two servers are drained and replaced")
    await asyncio.gather(stage.replace(stage.servers[4]), stage.replace(stage.servers[5]))
    await asyncio.sleep(length * 0.1)
    log("a forced restart")
    stage.mark_open_requests_lost()
    program.signal(signal.SIGKILL)
    assert program.process is not None
    await program.process.wait()
    await program.start()
    await asyncio.sleep(length * 0.1)


def _judge(report: Report, stage: Stage, proxies: list[Proxy], started_at: float) -> None:
    ledger = stage.ledger
    in_time, tries = ledger.in_time(TARGET_S)
    latencies_s = sorted(latency_s for proxy in proxies for latency_s in proxy.decision_times_s) or [0.0]
    report.fields = {
        "first_try_in_time": round(in_time / max(1, tries), 4),
        "tokens_checked": sum(sum(proxy.tokens.values()) for proxy in proxies),
        "tokens_rejected": sum(
            count
            for proxy in proxies
            for outcome, count in proxy.tokens.items()
            if outcome.startswith("rejected")
        ),
        "sent_without_decision": sum(proxy.sent_without_decision for proxy in proxies),
        "stale_decisions": sum(proxy.expired_decisions for proxy in proxies),
        "decision_ms_p50": round(latencies_s[len(latencies_s) // 2] * 1000, 2),
        "decision_ms_p99": round(latencies_s[int(len(latencies_s) * 0.99)] * 1000, 2),
        "twins": ledger.counts["twins"],
        "twins_decided_twice": ledger.counts["twins_decided_twice"],
        "attempts": ledger.counts["attempts"],
        "seconds": round(now() - started_at, 1),
    }
    if ledger.counts["twins_decided_twice"]:
        report.violations.append("two proxies with the same id both got a decision")
    served = ledger.tally()["served"]
    if served < MIN_SERVED_SHARE * ledger.tally()["sent"]:
        report.violations.append(f"only {served} of {ledger.tally()['sent']} requests were served")
