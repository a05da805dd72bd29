"""The simulator's line protocol: events, actions, and errors on malformed input."""

from __future__ import annotations

import io
import json
from typing import Any

import pytest

from garnethaven.benchlink import Adapter, main

SETTINGS_OBJECT: dict[str, Any] = {
    "fleetSize": 3,
    "slotNo": 0,
    "zone": 0,
    "membershipMode": "push",
    "novelty": {"skip": "me"},
    "grades": [
        {
            "aimNs": 10**9,
            "deadlineNs": 3 * 10**9,
            "effect": "dedup",
            "keyScope": "cell",
            "dedupWindowNs": 6 * 10**9,
            "importance": 1.0,
            "lateValue": 0.25,
        }
    ],
    "limits": {"maxAttempts": 5, "secondCopies": True, "cancel": True},
    "rules": {"coldShare": 0.12, "drainGraceNs": 5 * 10**8, "rampTimeNs": 24 * 10**9, "askWithinNs": 10**10},
}
LAUNCH = f"""frame nowNs=1000
instance sidecarId=3
launch entropy=42 facts={json.dumps(SETTINGS_OBJECT)}
roster rosterId=0 entries=2
entry endpoint=51 campus=0 type=0 bay=0 health=up units=1 shade=blue
entry endpoint=74 campus=0 type=0 bay=0 health=up units=1.5 lastStartNs=0
membership scope=Persisted rev=41 rosterId=0
your_turn
"""
REQUEST = "request id=c:a qos=0 account=0 affinity=acct/k timeBudgetNs=240000000 bitmap=1"


def run(text: str) -> list[str]:
    sink = io.StringIO()
    Adapter(io.StringIO(text), sink).run()
    return sink.getvalue().splitlines()


def batch(*lines: str, now: int = 2000) -> str:
    return "\n".join([f"frame nowNs={now}", "instance sidecarId=3", *lines, "your_turn", ""])


def test_an_empty_batch_gets_an_empty_reply() -> None:
    assert run("frame nowNs=1\nyour_turn\n\n") == ["end"]


def test_a_request_is_issued_and_its_outcome_taken() -> None:
    reply = run(LAUNCH + batch(REQUEST))
    (issue,) = [line for line in reply if line.startswith("issue")]
    assert issue.startswith("issue id=c:a endpoint=") and issue.endswith(" limitNs=240000000")
    endpoint = issue.split("endpoint=")[1].split()[0]
    outcome = f"report_back id=c:a hop=0 endpoint={endpoint} how=econnrefused durationNs=5"
    with_retry = run(LAUNCH + batch(REQUEST) + batch(outcome, now=3000))
    issues = [line for line in with_retry if line.startswith("issue")]
    assert len(issues) == 2 and issues[1] != issues[0]


def test_the_speaker_is_named_once_for_each_run_of_actions() -> None:
    reply = run(LAUNCH + batch(REQUEST, REQUEST.replace("c:a", "c:b")))
    assert reply.count("by sidecarId=3") == 1


def test_instances_share_nothing() -> None:
    other_launch = LAUNCH.replace("sidecarId=3", "sidecarId=4")
    one_instance = run(LAUNCH + batch(REQUEST))
    two_instances = run(LAUNCH + other_launch + batch(REQUEST))
    assert one_instance[-2:] == two_instances[-2:]


def test_unknown_events_fields_and_late_news_are_passed_over() -> None:
    ignored = [
        "report_back id=c:old hop=7 endpoint=9 how=done durationNs=1 final=1 report=1,2,3,4,5",
        "ring cookie=99999",
        "gone id=c:old",
        "memo neighbour=2 body=00",
        "sunrise colour=red and words",
        "probe_result endpoint=9 how=done durationNs=3 report=1",
        "first id=c:old durationNs=3 endpoint=9 hop=0",
    ]
    assert run(LAUNCH + batch(*ignored))[-1] == "end"


def test_roster_numbers_are_resolved_in_order() -> None:
    new_roster = ["roster rosterId=0 entries=1", "entry endpoint=88 health=up"]
    reply = run(LAUNCH + batch(*new_roster, "membership scope=Complete rosterId=0", REQUEST))
    assert any("endpoint=88" in line for line in reply)


def test_an_unknown_state_is_no_licence_to_send() -> None:
    lines = [
        "roster rosterId=1 entries=1",
        "entry endpoint=88 health=zombie",
        "membership scope=Complete rosterId=1",
    ]
    assert any(line.startswith("shed") for line in run(LAUNCH + batch(*lines, REQUEST)))


def test_a_stopped_instance_starts_anew() -> None:
    relaunch = "\n".join(LAUNCH.splitlines()[2:-1])
    reply = run(LAUNCH + batch(REQUEST, "down", relaunch, REQUEST))
    assert sum(line.startswith("issue") for line in reply) == 2


@pytest.mark.parametrize(
    ("text", "line", "cause"),
    [
        ("frame nowNs=soon\nyour_turn\n", 1, "nowNs"),
        ("frame\nyour_turn\n", 1, "nowNs"),
        ("hello\n", 1, "frame"),
        ("frame nowNs=1\n", 1, "inside a batch"),
        ("frame nowNs=1\nframe nowNs=2\n", 2, "outside"),
        (batch(REQUEST), 3, "not been launched"),
        (LAUNCH + batch(REQUEST.replace("qos=0 ", "")), 11, "qos"),
        (LAUNCH + batch(REQUEST.replace("240000000", "x")), 11, "timeBudgetNs"),
        (LAUNCH + batch("request id"), 11, "name=value"),
        (LAUNCH.replace("entries=2", "entries=3"), 7, "entry"),
        (LAUNCH.replace("entries=2", "entries=1"), 6, "outside"),
        (LAUNCH.replace("entries=2", "entries=-1"), 4, "entries"),
        (LAUNCH.replace("rev=41 rosterId=0", "rev=41 rosterId=5"), 7, "roster 5"),
        (LAUNCH.replace("Persisted", "Rumour"), 7, "Rumour"),
        (LAUNCH.replace("units=1.5", "units=big"), 6, "units"),
        (LAUNCH.replace("maxAttempts", "attemptsMax"), 3, "maxAttempts"),
        (LAUNCH.replace('"dedup"', '"wishful"'), 3, "settings"),
        (LAUNCH.replace("facts={", "facts={{"), 3, "settings"),
        (LAUNCH.replace(" facts=", " fiction="), 3, "facts"),
        (LAUNCH.replace("instance sidecarId=3\n", ""), 2, "before any"),
    ],
)
def test_malformed_wire_is_named(
    text: str, line: int, cause: str, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr("sys.stdin", io.StringIO(text))
    assert main() == 1
    printed = capsys.readouterr()
    assert printed.err.startswith(f"garnethaven: line {line}: ") and cause in printed.err
    assert printed.err.count("\n") == 1


def test_the_end_between_batches_is_clean(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("sys.stdin", io.StringIO(LAUNCH))
    assert main() == 0


def test_an_exception_in_the_module_becomes_bail_out(capsys: pytest.CaptureFixture[str]) -> None:
    adapter = Adapter(io.StringIO(LAUNCH + batch(REQUEST)), sink := io.StringIO())

    def failing_handle(now: int, event: object) -> None:
        raise RuntimeError("two\nlines")

    original = adapter._launch

    def launch(rest: str) -> None:
        original(rest)
        adapter.balancers[3].handle = failing_handle  # type: ignore[method-assign,assignment]

    adapter._launch = launch  # type: ignore[method-assign]
    adapter.run()
    assert "bail_out message=RuntimeError: two lines" in sink.getvalue()
    assert "Traceback" in capsys.readouterr().err
