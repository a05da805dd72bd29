"""The metrics of `GET /_vars` in the Prometheus text format; the operators' page documents their names."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from garnethaven.engine.account import Account, CallResult

METRIC_PREFIX = "edge_node_"
COUNTED_ENDS = (CallResult.SERVED, CallResult.REFUSED, CallResult.FAILED)
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
class EndpointCounts:
    known: int
    excluded: int


def render(account: Account, class_names: Sequence[str], endpoints: EndpointCounts) -> str:
    """All metrics as text; `class_names` are indexed by class number."""
    lines: list[str] = []
    for end in COUNTED_ENDS:
        lines += _heading(end.value, "counter")
        for name, count in zip(class_names, account.ended[end], strict=False):
            lines.append(f'{METRIC_PREFIX}{end.value}{{class="{escape_label(name)}"}} {count}')
    unlabeled = (
        ("attempts", "counter", account.attempts),
        ("in_flight", "gauge", account.in_flight),
        ("endpoints_known", "gauge", endpoints.known),
        ("endpoints_excluded", "gauge", endpoints.excluded),
    )
    for name, kind, value in unlabeled:
        lines += [*_heading(name, kind), f"{METRIC_PREFIX}{name} {value}"]
    return "\n".join(lines) + "\n"


def _heading(name: str, kind: str) -> list[str]:
    return [f"# HELP {METRIC_PREFIX}{name} {HELP[name]}", f"# TYPE {METRIC_PREFIX}{name} {kind}"]


def escape_label(value: str) -> str:
    """A label value, escaped for the text format."""
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
