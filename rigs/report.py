"""Output of a rig: progress lines while it runs, then a table or one JSON object with its results."""

from __future__ import annotations

import json
import sys
import time
from dataclasses import asdict, dataclass, field
from typing import Any, Protocol, TextIO

from standins.ledger import Ledger


class ClosableCluster(Protocol):
    """A test cluster that can be closed at the end of a rig."""

    ledger: Ledger

    async def close(self) -> list[int]:
        """Stop the cluster; returns the exit codes of its programs."""


@dataclass
class Report:
    """The results of one run of a rig; `fields` holds the results that only this rig reports."""

    name: str
    seed: int
    fields: dict[str, Any] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)  # failed requirements, beside the ledger's rules

    def figures(self, ledger: Ledger) -> dict[str, Any]:
        return {
            "rig": self.name,
            "seed": self.seed,
            **ledger.tally(),
            "broken": asdict(ledger.violations()),
            **self.fields,
            "examples": (ledger.lost()[:3], ledger.twice()[:3], ledger.late_arrivals[:3]),
            "unkept": self.violations,
        }

    def passed(self, ledger: Ledger) -> bool:
        """Whether requests were sent and every rule and requirement was met."""
        tally = ledger.tally()
        violations = ledger.violations().total() + tally["missing"] + tally["doubled"] + len(self.violations)
        return tally["sent"] > 0 and not violations


class Progress:
    """Writes a line per step to standard error; standard output is left to the results."""

    def __init__(self, ledger: Ledger, out: TextIO = sys.stderr) -> None:
        self.ledger = ledger
        self.out = out
        self.start_s = time.monotonic()

    def log(self, text: str) -> None:
        tally = self.ledger.tally()
        print(
            f"{time.monotonic() - self.start_s:6.1f} s  sent {tally['sent']:6d}  served {tally['served']:6d}"
            f"  refused {tally['refused']:5d}  failed {tally['failed']:4d}  {text}",
            file=self.out,
            flush=True,
        )


async def finish_run(report: Report, cluster: ClosableCluster, started_at: float, as_json: bool) -> bool:
    """Close the cluster and print the report; true where every rule and requirement was met."""
    report.fields["seconds"] = round(time.monotonic() - started_at, 1)
    codes = await cluster.close()
    if any(codes):
        report.violations.append(f"programs exited with codes {codes}")
    print_report(report, cluster.ledger, as_json)
    return report.passed(cluster.ledger)


def print_report(report: Report, ledger: Ledger, as_json: bool) -> None:
    figures = report.figures(ledger)
    if as_json:
        print(json.dumps(figures))
        return
    for name, value in figures.items():
        text = f"{value:.3f}" if isinstance(value, float) else value
        print(f"{name:24} {text}")
    print("every requirement was met" if report.passed(ledger) else "A REQUIREMENT WAS NOT MET")
