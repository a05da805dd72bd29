"""The figures of `GET /_vars` in the Prometheus text format; the names are those of the operators' page."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from garnethaven.engine.account import Account, End

PREFIX = "edge_node_"
COUNTED = (End.SERVED, End.REFUSED, End.FAILED)
HELP = {
    "served": "Requests answered with an endpoint's answer, since the process began.",
    "refused": "Requests refused: trying again is harmless.",
    "failed": "Requests failed: nothing is promised of their effect.",
    "attempts": "Attempts written whole to endpoints.",
    "in_flight": "Requests taken and not ended.",
    "endpoints_known": "Endpoints in the list.",
    "endpoints_excluded": "Listed endpoints that get nothing new now, by hand or by choice.",
}


@dataclass(slots=True, frozen=True)
class Endpoints:
    known: int
    excluded: int


def rendered(account: Account, names: Sequence[str], endpoints: Endpoints) -> str:
    """All figures; `names` are the classes', by number."""
    lines: list[str] = []
    for end in COUNTED:
        lines += _heading(end.value, "counter")
        for name, count in zip(names, account.ended[end], strict=False):
            lines.append(f'{PREFIX}{end.value}{{class="{escaped(name)}"}} {count}')
    plain = (
        ("attempts", "counter", account.attempts),
        ("in_flight", "gauge", account.in_flight),
        ("endpoints_known", "gauge", endpoints.known),
        ("endpoints_excluded", "gauge", endpoints.excluded),
    )
    for name, kind, value in plain:
        lines += [*_heading(name, kind), f"{PREFIX}{name} {value}"]
    return "\n".join(lines) + "\n"


def _heading(name: str, kind: str) -> list[str]:
    return [f"# HELP {PREFIX}{name} {HELP[name]}", f"# TYPE {PREFIX}{name} {kind}"]


def escaped(label: str) -> str:
    """A label's value as the format wants it."""
    return label.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
