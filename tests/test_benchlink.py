"""The wire: what is read, what is written, and what is said of bad input."""

from __future__ import annotations

import io
import json
from typing import Any

import pytest

from garnethaven.benchlink import Adapter, main

FACTS: dict[str, Any] = {
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
HELLO = f"""frame nowNs=1000
instance sidecarId=3
launch entropy=42 facts={json.dumps(FACTS)}
roster rosterId=0 entries=2
entry endpoint=51 campus=0 type=0 bay=0 health=up units=1 shade=blue
entry endpoint=74 campus=0 type=0 bay=0 health=up units=1.5 lastStartNs=0
membership scope=Persisted rev=41 rosterId=0
your_turn
"""
ASK = "request id=c:a qos=0 account=0 affinity=acct/k timeBudgetNs=240000000 bitmap=1"


def run(text: str) -> list[str]:
    sink = io.StringIO()
    Adapter(io.StringIO(text), sink).run()
    return sink.getvalue().splitlines()


def batch(*lines: str, now: int = 2000) -> str:
    return "\n".join([f"frame nowNs={now}", "instance sidecarId=3", *lines, "your_turn", ""])


def test_an_empty_batch_gets_an_empty_reply() -> None:
    assert run("frame nowNs=1\nyour_turn\n\n") == ["end"]


def test_a_request_is_issued_and_its_outcome_taken() -> None:
    reply = run(HELLO + batch(ASK))
    (issue,) = [line for line in reply if line.startswith("issue")]
    assert issue.startswith("issue id=c:a endpoint=") and issue.endswith(" limitNs=240000000")
    endpoint = issue.split("endpoint=")[1].split()[0]
    outcome = f"report_back id=c:a hop=0 endpoint={endpoint} how=econnrefused durationNs=5"
    again = run(HELLO + batch(ASK) + batch(outcome, now=3000))
    issues = [line for line in again if line.startswith("issue")]
    assert len(issues) == 2 and issues[1] != issues[0]


def test_the_speaker_is_named_once_for_each_run_of_actions() -> None:
    reply = run(HELLO + batch(ASK, ASK.replace("c:a", "c:b")))
    assert reply.count("by sidecarId=3") == 1


def test_instances_share_nothing() -> None:
    other = HELLO.replace("sidecarId=3", "sidecarId=4")
    alone = run(HELLO + batch(ASK))
    beside = run(HELLO + other + batch(ASK))
    assert alone[-2:] == beside[-2:]


def test_unknown_events_fields_and_late_news_are_passed_over() -> None:
    late = [
        "report_back id=c:old hop=7 endpoint=9 how=done durationNs=1 final=1 report=1,2,3,4,5",
        "ring cookie=99999",
        "gone id=c:old",
        "memo neighbour=2 body=00",
        "sunrise colour=red and words",
        "probe_result endpoint=9 how=done durationNs=3 report=1",
        "first id=c:old durationNs=3 endpoint=9 hop=0",
    ]
    assert run(HELLO + batch(*late))[-1] == "end"


def test_roster_numbers_are_resolved_in_order() -> None:
    fresh = ["roster rosterId=0 entries=1", "entry endpoint=88 health=up"]
    reply = run(HELLO + batch(*fresh, "membership scope=Complete rosterId=0", ASK))
    assert any("endpoint=88" in line for line in reply)


def test_an_unknown_state_is_no_licence_to_send() -> None:
    lines = [
        "roster rosterId=1 entries=1",
        "entry endpoint=88 health=zombie",
        "membership scope=Complete rosterId=1",
    ]
    assert any(line.startswith("shed") for line in run(HELLO + batch(*lines, ASK)))


def test_a_stopped_instance_starts_anew() -> None:
    again = "\n".join(HELLO.splitlines()[2:-1])
    reply = run(HELLO + batch(ASK, "down", again, ASK))
    assert sum(line.startswith("issue") for line in reply) == 2


@pytest.mark.parametrize(
    ("text", "line", "cause"),
    [
        ("frame nowNs=soon\nyour_turn\n", 1, "nowNs"),
        ("frame\nyour_turn\n", 1, "nowNs"),
        ("hello\n", 1, "frame"),
        ("frame nowNs=1\n", 1, "inside a batch"),
        ("frame nowNs=1\nframe nowNs=2\n", 2, "outside"),
        (batch(ASK), 3, "not been launched"),
        (HELLO + batch(ASK.replace("qos=0 ", "")), 11, "qos"),
        (HELLO + batch(ASK.replace("240000000", "x")), 11, "timeBudgetNs"),
        (HELLO + batch("request id"), 11, "name=value"),
        (HELLO.replace("entries=2", "entries=3"), 7, "entry"),
        (HELLO.replace("entries=2", "entries=1"), 6, "outside"),
        (HELLO.replace("entries=2", "entries=-1"), 4, "entries"),
        (HELLO.replace("rev=41 rosterId=0", "rev=41 rosterId=5"), 7, "roster 5"),
        (HELLO.replace("Persisted", "Rumour"), 7, "Rumour"),
        (HELLO.replace("units=1.5", "units=big"), 6, "units"),
        (HELLO.replace("maxAttempts", "attemptsMax"), 3, "maxAttempts"),
        (HELLO.replace('"dedup"', '"wishful"'), 3, "settings"),
        (HELLO.replace("facts={", "facts={{"), 3, "settings"),
        (HELLO.replace(" facts=", " fiction="), 3, "facts"),
        (HELLO.replace("instance sidecarId=3\n", ""), 2, "before any"),
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
    monkeypatch.setattr("sys.stdin", io.StringIO(HELLO))
    assert main() == 0


def test_an_exception_in_the_module_becomes_bail_out(capsys: pytest.CaptureFixture[str]) -> None:
    adapter = Adapter(io.StringIO(HELLO + batch(ASK)), sink := io.StringIO())

    def broken(now: int, event: object) -> None:
        raise RuntimeError("two\nlines")

    original = adapter._launch

    def launch(rest: str) -> None:
        original(rest)
        adapter.balancers[3].handle = broken  # type: ignore[method-assign,assignment]

    adapter._launch = launch  # type: ignore[method-assign]
    adapter.run()
    assert "bail_out message=RuntimeError: two lines" in sink.getvalue()
    assert "Traceback" in capsys.readouterr().err
