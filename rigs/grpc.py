"""The rig `grpc`: one fault script over HTTP/1.1 and gRPC clients at once, at the same check servers.

Eight servers accept gRPC (grpcio) and HTTP/1.1 with one queue and one ledger. Two servers restart cold, two
drain and one returns errors while both applications send the same load. Their shares of outcomes must match.
The rig also checks every gRPC status code, and streams that last through a drain.
"""

from __future__ import annotations

import asyncio
import random
import tempfile
from pathlib import Path
from typing import Any

from rigs.report import Report, print_report
from rigs.stage import Stage, now, tracking_published_changes
from standins.clients import ApplicationSettings
from standins.grpc_client import GrpcApplication
from standins.grpc_server import CODES, GRPC_PORT_OFFSET, GrpcCheckServer
from standins.ledger import Ledger
from standins.platform import TARGET_S
from standins.ports import PORTS

SERVERS = 8
RATE = 70.0  # of each application
DEFAULT_S = 16.0
WORK_S = 0.04  # per request; with two cores per server the capacity is some 400 requests per second
MAX_SHARE_DIFFERENCE = 0.03  # allowed difference between the outcome shares of both protocols
STREAMS = 6
INTERNAL = 13
RETRIED_CODES = (4, 8, 14)  # a server's status codes that the client of an unsafe call must not receive


class GrpcStage(Stage):
    def _new_server(self, number: int) -> GrpcCheckServer:
        rack = self.racks[number % len(self.racks)]
        rng = random.Random(self.rng.getrandbits(32))
        return GrpcCheckServer(f"s{number}", rack, self.ledger, rng, self.work_s, self.ramp_s)


async def play(seed: int, seconds: float | None, as_json: bool) -> bool:
    """Send for `seconds` (default 16); true where every requirement was met."""
    length = seconds or DEFAULT_S
    stage = GrpcStage(seed, SERVERS, sockets=768, work_s=WORK_S)
    report = Report("grpc", seed)
    with tempfile.TemporaryDirectory(prefix="rig-") as folder:
        port = PORTS.next_free()
        await stage.up(environment=_operator_file(folder, port))
        http = stage.application("http", ApplicationSettings(rate=RATE, retries=2))
        rng = random.Random(stage.rng.getrandbits(32))
        grpc = GrpcApplication("grpc", port, stage.ledger, rng, RATE)
        started_at = now()
        assert stage.program is not None and stage.program.process is not None
        initial_kb = _kb(stage.program.process.pid, "VmRSS")
        async with tracking_published_changes(stage):
            streams = [asyncio.create_task(grpc.stream(40, length / 60)) for _ in range(STREAMS)]
            await asyncio.gather(http.run(length), grpc.run(length), _faults(stage, length))
            await http.settle()
            await grpc.settle()
            await asyncio.gather(*streams)
            stage.progress.log("every status code")
            mismatches = [mismatch for code in CODES if (mismatch := await _check_status(grpc, code))]
        await grpc.close()
        _judge(report, stage, grpc, mismatches, started_at)
        assert stage.program is not None and stage.program.process is not None
        report.fields["peak_buffer_kb"] = _kb(stage.program.process.pid, "VmHWM") - initial_kb
        code = await stage.down()
    if code:
        report.violations.append(f"the program exited with code {code}")
    print_report(report, stage.ledger, as_json)
    return report.passed(stage.ledger)


def _kb(pid: int, field: str) -> int:
    """Read a memory field of `/proc/PID/status`, in KiB."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith(field + ":"))


def _operator_file(folder: str, port: int) -> dict[str, str]:
    file = Path(folder) / "operator.toml"
    file.write_text(
        f'[grpc]\nlisten = "127.0.0.1:{port}"\nport_offset = {GRPC_PORT_OFFSET}\n'
        '[[grpc.routes]]\npath = "/check.Checks/Run"\nclass = "check"\nkeyed = true\n'
        '[[grpc.routes]]\npath = "/check.Checks/Status"\nclass = "check"\n'
        '[[grpc.routes]]\npath = "/check.Checks/Echo"\nclass = "check"\nstreams = true\n'
    )
    return {"NODE_OPERATOR": str(file)}


async def _faults(stage: Stage, length: float) -> None:
    rng = random.Random(stage.rng.getrandbits(32))
    chosen = rng.sample(stage.servers, 5)
    await asyncio.sleep(length * 0.1)
    stage.progress.log("one server answers a fifth of its requests with errors")
    chosen[0].error_rate = 0.2
    await asyncio.sleep(length * 0.15)
    chosen[0].error_rate = 0.0
    stage.progress.log("two servers crash and restart cold")
    await stage.outage(list(chosen[1:3]), length * 0.08)
    await asyncio.sleep(length * 0.15)
    stage.progress.log("two servers are drained and replaced")
    await asyncio.gather(stage.replace(chosen[3]), stage.replace(chosen[4]))


async def _check_status(grpc: GrpcApplication, code: int) -> str:
    """Call a server that returns `code` and describe a wrong answer; empty where it follows the mapping."""
    received, message, mark = await grpc.status(code)
    if code in RETRIED_CODES:
        return (
            ""
            if received in (INTERNAL, 4) and (code == 4 or received == INTERNAL)
            else f"{code} arrived as {received}"
        )
    if received != code or mark != f"status {code}":
        return f"{code} arrived as {received} with {mark!r}"
    return "" if code == 0 or message == f"100% {CODES[code].name}" else f"{code} arrived with {message!r}"


def _judge(
    report: Report, stage: Stage, grpc: GrpcApplication, mismatches: list[str], started_at: float
) -> None:
    ledger = stage.ledger
    in_time, tries = ledger.in_time(TARGET_S)
    counts = {name: _counts(ledger, name) for name in ("http", "grpc")}
    report.fields = {
        "first_try_in_time": round(in_time / max(1, tries), 4),
        "http1": counts["http"],
        "grpc": counts["grpc"],
        "mapping_mismatches": len(mismatches),
        "trailers_changed": grpc.trailers_changed,
        "streams": grpc.streams,
        "streams_broken": grpc.streams_broken,
        "attempts": ledger.counts["attempts"],
        "seconds": round(now() - started_at, 1),
    }
    if mismatches:
        report.violations.append(f"wrong status codes: {mismatches}")
    if grpc.trailers_changed:
        report.violations.append("trailers were changed")
    for final in ("served", "refused", "failed"):
        shares = [outcomes[final] / max(1, sum(outcomes.values())) for outcomes in counts.values()]
        if abs(shares[0] - shares[1]) > MAX_SHARE_DIFFERENCE:
            report.violations.append(f"the shares of {final} differ: {shares[0]:.3f} and {shares[1]:.3f}")


def _counts(ledger: Ledger, name: str) -> dict[str, Any]:
    finals = [sent.final for call_id, sent in ledger.sent.items() if call_id.startswith(name + "-")]
    return {final: finals.count(final) for final in ("served", "refused", "failed")}
