"""The report of active limits, how often it is logged, and the HTTP server for it on a socket."""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace

import pytest

from garnethaven.limits.front import MAX_CONNECTIONS, MAX_HEAD_BYTES, LimitsView
from garnethaven.limits.view import LOG_INTERVAL_S, Figures, LimitsLog, active_limits, report
from tests.loopback import read_message, run, wait_until

CALM = Figures(
    clients_held=3,
    clients_most=160,
    client_places=128,
    silent_clients=0,
    pressure=0.0,
    returning=1.0,
    ended_early=0,
    endpoints_held=4,
    endpoints_most=160,
    answers_bytes=0,
    answers_most=1000,
    list_age_s=1.0,
    list_wait_s=2.0,
    list_revision=7,
    list_behind=0,
    discovery_calls=3,
    discovery_extra_calls=0,
    refused_share=0.0,
    ease=0.1,
    under_way=2,
    oldest_s=0.1,
)


def test_nothing_acts_on_a_calm_day() -> None:
    assert active_limits(CALM) == {}


@pytest.mark.parametrize(
    ("change", "name", "word"),
    [
        ({"pressure": 0.4, "clients_held": 90}, "places", "90 of 128"),
        ({"endpoints_held": 160}, "endpoints", "160"),
        ({"answers_bytes": 1001}, "memory", "1001"),
        ({"list_age_s": 9.0}, "lists", "9.0 s old"),
        ({"list_behind": 1}, "lists", "behind revision 7"),
        ({"refused_share": 0.25}, "overload", "0.25"),
    ],
)
def test_each_limit_is_named_with_its_reason(change: dict[str, float], name: str, word: str) -> None:
    reasons = active_limits(replace(CALM, **change))  # type: ignore[arg-type]
    assert list(reasons) == [name]
    assert word in reasons[name]


def test_the_log_tells_the_beginning_and_the_end_and_little_between() -> None:
    log_line, overloaded = LimitsLog(), replace(CALM, refused_share=0.5)
    lines = [
        log_line.next_line(overloaded if 10 <= second < 40 else CALM, float(second)) for second in range(60)
    ]
    logged_at = [second for second, line in enumerate(lines) if line]
    assert logged_at == [10, 20, 30, 40]
    assert 3 * LOG_INTERVAL_S <= 40 - 10
    assert lines[40] == "limits: none is active any more"
    assert "overload" in str(lines[10])


async def ask(port: int, text: bytes) -> tuple[bytes, bytes]:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(text)
    try:
        return await read_message(reader)
    finally:
        writer.close()


def test_the_view_answers_one_path_and_bounds_what_it_reads() -> None:
    async def case() -> None:
        view = await LimitsView(lambda: report(replace(CALM, refused_share=0.5))).start(("127.0.0.1", 0))
        assert view.address is not None
        port = view.address[1]
        head, body = await ask(port, b"GET /-/limits HTTP/1.1\r\nHost: t\r\n\r\n")
        assert b" 200 " in head
        assert json.loads(body) == report(replace(CALM, refused_share=0.5))
        for text, status in (
            (b"GET /api HTTP/1.1\r\n\r\n", b" 404 "),
            (b"POST /-/limits HTTP/1.1\r\n\r\n", b" 405 "),
            (b"\x16\x03\x01 what\r\n\r\n", b" 400 "),
            (b"GET /" + b"x" * 2 * MAX_HEAD_BYTES, b" 431 "),
        ):
            assert status in (await ask(port, text))[0]
        connections = [await asyncio.open_connection("127.0.0.1", port) for _ in range(MAX_CONNECTIONS + 3)]
        await wait_until(lambda: sum(reader.at_eof() for reader, _ in connections) == 3)  # closed unread
        for _, writer in connections:
            writer.close()
        await view.close()

    run(case())
