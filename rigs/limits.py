"""The rig `limits`: hostile clients, a retry storm, a release during a silent discovery, a process pause.

Six acts, after a calm period, with one sidecar that accepts 128 clients, eight check servers and some 60
requests per second. All counts come from the stand-ins' sockets.
"""

from __future__ import annotations

import asyncio

from rigs.report import Report, print_report
from rigs.stage import Stage, now, recovered_after, tracking_published_changes
from standins.clients import Application, ApplicationSettings
from standins.discovery import DiscoveryFault
from standins.platform import TARGET_S

SERVERS = 8
SOCKETS = 384
RATE = 70.0
MAX_RECOVERY_S = 3.0  # allowed recovery time after the cause of an overload has ended
MIN_IN_TIME_SHARE = 0.75  # share of all first tries, including those sent while a fault is active
CALM_S = 3.0
DEFAULT_S = 28.0


class Acts:
    """Runs the acts in sequence and records when the cause of each ended."""

    def __init__(self, stage: Stage, scale: float) -> None:
        self.stage = stage
        self.scale = scale
        self.interruptions = {"reload": 0, "restart": 1}
        self.ends: list[tuple[str, float, float]] = []  # cause, its end, end of the recovery check

    def _length(self, seconds: float) -> float:
        return max(0.5, seconds * self.scale)

    async def run(self) -> None:
        await asyncio.sleep(self._length(CALM_S))
        for act in (
            self.idle_clients,
            self.silent_clients,
            self.retry_storm,
            self.rolling_release,
            self.discovery_faults,
            self.process_pause,
        ):
            self.stage.progress.log(act.__doc__ or act.__name__)
            await act()

    def _record_end(self, cause: str, ended: float) -> None:
        self.ends.append((cause, ended, now()))

    async def _interrupt(self, delay_s: float) -> None:
        """After a delay, reload or gracefully restart the program, as the seed decides."""
        assert self.stage.program is not None
        await asyncio.sleep(delay_s)
        if self.stage.rng.random() < 0.5:
            self.interruptions["reload"] += 1
            self.stage.program.reload()
        else:
            self.interruptions["restart"] += 1
            await self.stage.program.restart()

    async def idle_clients(self) -> None:
        """clients that send one request and stay connected, close to the connection limit"""
        guests = self.stage.guests("stay")
        seconds = self._length(4.0)
        await asyncio.gather(guests.send_once_and_hold(60.0, seconds), self._interrupt(seconds / 2))
        await guests.settle()

    async def silent_clients(self) -> None:
        """31 silent connections at a time, beside one-request clients and a restart"""
        silent_guests, guests = self.stage.guests("hog"), self.stage.guests("mix")
        seconds = self._length(4.0)
        assert self.stage.program is not None

        async def restart() -> None:
            assert self.stage.program is not None
            await asyncio.sleep(seconds / 2)
            await self.stage.program.restart()

        await asyncio.gather(
            silent_guests.hold_silent_connections(31, seconds),
            guests.send_once_and_hold(40.0, seconds),
            restart(),
        )
        await guests.settle()

    async def retry_storm(self) -> None:
        """half of the servers down for 2 s, with clients that retry immediately"""
        retrying = self.stage.application(
            "storm",
            ApplicationSettings(rate=60.0, budget_s=1.0, retries=2, keys=400, max_idle_connections=40),
        )
        send_task = asyncio.create_task(retrying.run(self._length(6.5)))
        await asyncio.sleep(self._length(0.5))
        outage = self.stage.outage(self.stage.servers[: SERVERS // 2], 2.0)
        await asyncio.gather(outage, self._interrupt(1.0))
        ended = now()
        await send_task
        self._record_end("storm", ended)
        await retrying.settle()

    async def rolling_release(self) -> None:
        """a rolling release of all servers; discovery is silent during the first half"""
        discovery = self.stage.discovery
        old_servers = list(self.stage.servers)
        await discovery.set_fault(DiscoveryFault.SILENT)
        for number, server in enumerate(old_servers[: SERVERS // 2]):
            if number == 1:
                await self._interrupt(0.0)
            await self.stage.replace(server)
        await discovery.set_fault(DiscoveryFault.GOOD)
        ended = now()
        for server in old_servers[SERVERS // 2 :]:
            await self.stage.replace(server)
        await asyncio.sleep(self._length(1.0))
        self._record_end("release", ended)

    async def discovery_faults(self) -> None:
        """discovery that is silent, outdated, then slow by 4 s, each with a reload to the same address"""
        assert self.stage.program is not None
        discovery = self.stage.discovery
        for mood in (DiscoveryFault.SILENT, DiscoveryFault.BEHIND, DiscoveryFault.SLOW):
            await discovery.set_fault(mood)
            self.stage.program.reload()
            await asyncio.sleep(self._length(1.2))
        await discovery.set_fault(DiscoveryFault.GOOD)
        await asyncio.sleep(self._length(0.5))

    async def process_pause(self) -> None:
        """a pause of the sidecar process (SIGSTOP)"""
        assert self.stage.program is not None
        pause_task = asyncio.create_task(self.stage.program.pause(1.5))
        await asyncio.sleep(0.7)
        self.stage.program.reload()  # handled when the process resumes
        await pause_task
        ended = now()
        await asyncio.sleep(self._length(3.5))
        self._record_end("pause", ended)


async def play(seed: int, seconds: float | None, as_json: bool) -> bool:
    """Run the acts, scaled to `seconds` (default 28); true where every requirement was met."""
    stage = Stage(seed, SERVERS, SOCKETS)
    report = Report("limits", seed)
    await stage.up()
    started_at = now()
    application = stage.application(
        "usual", ApplicationSettings(rate=RATE, retries=2, max_idle_connections=30)
    )
    acts = Acts(stage, (seconds or DEFAULT_S) / DEFAULT_S)
    async with tracking_published_changes(stage):
        send_task = asyncio.create_task(application.run(3600.0))
        await acts.run()
        send_task.cancel()
        await asyncio.gather(send_task, return_exceptions=True)
        await application.settle()
    judge(report, stage, acts, application, started_at)
    code = await stage.down()
    if code:
        report.violations.append(f"the program exited with code {code}")
    print_report(report, stage.ledger, as_json)
    return report.passed(stage.ledger)


def judge(report: Report, stage: Stage, acts: Acts, application: Application, started_at: float) -> None:
    ledger = stage.ledger
    recovery_s = {cause: recovered_after(ledger, ended, TARGET_S, until) for cause, ended, until in acts.ends}
    in_time, tries = ledger.in_time(TARGET_S)
    report.fields = {
        "first_try_in_time": round(in_time / max(1, tries), 4),
        "recovered_after_s": round(max(recovery_s.values()), 2),
        "recoveries": {cause: round(value, 2) for cause, value in recovery_s.items()},
        "idle_closed": application.idle_closed,
        "idle_closed_then_missed": application.missed_connections,
        "no_place": ledger.counts["no_place"],
        "discovery_calls": stage.discovery.calls,
        "list_age_max_s": round(stage.discovery.max_delivery_delay_s, 2),
        "interruptions": acts.interruptions,
        "attempts": ledger.counts["attempts"],
        "seconds": round(now() - started_at, 1),
    }
    for cause, value in recovery_s.items():
        if value > MAX_RECOVERY_S:
            report.violations.append(
                f"{cause}: recovered after {value:.1f} s, not within {MAX_RECOVERY_S:g} s"
            )
    if in_time < MIN_IN_TIME_SHARE * tries:
        report.violations.append(f"only {in_time} of {tries} first tries were served in time")
