"""Log lines on requests that were not served: their ids, reasons, attempts and bodies, and how many lines."""

from __future__ import annotations

from garnethaven.engine.account import CallResult
from garnethaven.engine.calls import Call
from garnethaven.engine.unserved import MIN_INTERVAL_NS, UnservedLog
from garnethaven.interface import Outcome
from tests.loopback import Sidecar, read_message, run
from tests.test_flow import upload

MS = 1_000_000


def unserved_call() -> Call:
    call = Call(None, b"15fe787ddd3cbd07", None)  # type: ignore[arg-type]
    call.taken_at, call.deadline = 0, 970 * MS
    call.outcomes = [(3, Outcome.CONNECT_FAILED), (5, Outcome.TIMED_OUT)]
    call.describe_request = lambda: "body of 7 bytes"
    return call


def test_a_line_names_the_request_the_reason_each_attempt_and_the_body() -> None:
    lines: list[str] = []
    log = UnservedLog(lambda line: not lines.append(line))  # type: ignore[func-returns-value]
    log.record(unserved_call(), CallResult.FAILED, 970 * MS)
    assert lines == [
        "request '15fe787ddd3cbd07' failed after 0.97 s, its time is over; attempts: 3 connect failed, "
        "5 timed out; body of 7 bytes"
    ]


def test_lines_are_rare_and_the_requests_in_between_are_counted() -> None:
    lines: list[str] = []
    log = UnservedLog(lambda line: not lines.append(line))  # type: ignore[func-returns-value]
    early_refusal = unserved_call()
    early_refusal.outcomes = []
    log.record(early_refusal, CallResult.REFUSED, 0)  # no attempt was made: not worth a line
    for number in range(4):
        log.record(unserved_call(), CallResult.FAILED, number * MS)
    log.record(unserved_call(), CallResult.SERVED, MIN_INTERVAL_NS)
    log.record(unserved_call(), CallResult.REFUSED, MIN_INTERVAL_NS)
    assert len(lines) == 2
    assert lines[0].endswith("since the last such line also 1 refused")
    assert lines[1].endswith("since the last such line also 3 failed")


# The failure to guard against: a request that is never answered leaves no line, as its client gives up.
def test_a_client_that_leaves_after_its_time_is_logged_and_one_that_leaves_early_is_counted() -> None:
    lines: list[str] = []
    log = UnservedLog(lambda line: not lines.append(line))  # type: ignore[func-returns-value]
    call = unserved_call()
    call.budget = 1000 * MS
    log.record(call, CallResult.GONE, 999 * MS)
    assert not lines
    log.record(call, CallResult.GONE, 4600 * MS)
    assert "gone after 4.60 s, its client has left" in lines[0]
    assert lines[0].endswith("also 1 gone")


def test_a_line_that_could_not_be_written_is_made_up_for() -> None:
    lines: list[str] = []
    log = UnservedLog(lambda line: False)
    log.record(unserved_call(), CallResult.FAILED, 0)
    log.write = lambda line: not lines.append(line)  # type: ignore[func-returns-value]
    log.record(unserved_call(), CallResult.FAILED, 1)
    assert lines[0].endswith("also 1 failed")


# The failure to guard against: an incident's log does not say what had become of a long request.
def test_the_body_of_a_long_request_that_no_server_takes_is_logged() -> None:
    async def case() -> None:
        lines: list[str] = []
        sidecar = Sidecar([{"id": "s0", "host_port": "127.0.0.1:9", "phase": "SERVING", "cell": 0}])
        sidecar.engine.unserved.write = lambda line: not lines.append(line)  # type: ignore[func-returns-value]
        reader, writer = await sidecar.connect()
        writer.write(upload(200_000, X_Call_Id="long-1") + bytes(100_000))
        head, _ = await read_message(reader)
        assert b" 503 " in head
        writer.close()
        (line,) = lines
        assert "'long-1' refused" in line and "of 200000, incomplete" in line
        assert "attempts: s0 connect failed" in line

    run(case())
