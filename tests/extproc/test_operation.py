"""Operation: tenants over their share, reloads, proxies that never read and proxies that fail open."""

from __future__ import annotations

import asyncio
import dataclasses
import random
from pathlib import Path

import pytest
from envoy.service.ext_proc.v3 import external_processor_pb2 as pb
from msgspec.structs import replace

from garnethaven import __main__ as program
from garnethaven.app.sidecar import Sidecar
from garnethaven.engine.engine import S
from garnethaven.extproc.mapping import TOKEN_HEADER
from garnethaven.extproc.table import ExternalProcessor, Route
from garnethaven.interface import Refuse, Request
from garnethaven.tables import Secret, SocketAddress
from standins.ledger import Ledger
from standins.ports import PORTS
from standins.proxy import ATTEMPTS, CHECKED, Proxy, ProxySettings, headers_message
from tests.extproc.test_front import KEY, Harness, processor_harness
from tests.loopback import WAIT_S, run, wait_until, write_config_file


def test_a_tenant_over_its_share_is_told_so_and_others_are_refused() -> None:
    async def case() -> None:
        async with processor_harness() as harness:
            engine = harness.sidecar.engine
            for over_share, status, reason in ((True, 429, "share"), (False, 503, "harmless")):
                engine.balancer.handle = lambda now, event, over_share=over_share: (  # type: ignore[method-assign]
                    [Refuse(event.id, 500_000_000, over_share)] if isinstance(event, Request) else []
                )
                exchange = harness.proxy.open_stream()
                message = pb.ProcessingRequest(request_headers=headers_message(harness.headers()))
                await exchange.call.write(message)
                answer = (await exchange.call.read()).immediate_response
                assert answer.status.code == status
                assert reason in answer.details
                set_headers = {
                    option.header.key: option.header.raw_value for option in answer.headers.set_headers
                }
                assert set_headers == {"retry-after": b"0.500"}
                await wait_until(lambda: not engine.calls)

    run(case())


def test_the_answer_says_what_came_of_a_token() -> None:
    async def case() -> None:
        async with processor_harness() as harness:
            first = harness.proxy.open_stream()
            decision = await harness.decide(first)
            first.cancel()
            await wait_until(harness.is_idle)
            assert decision.checked == ""
            retried = await harness.decide(
                harness.proxy.open_stream(), **{TOKEN_HEADER: decision.token, ATTEMPTS: "2"}
            )
            assert (retried.checked, bool(retried.address)) == ("accepted", True)
            await wait_until(lambda: harness.front.streams <= 1)
            retried = await harness.decide(
                harness.proxy.open_stream(), x_call_id="c9", **{TOKEN_HEADER: decision.token}
            )
            assert retried.status == 502
            assert retried.checked.startswith("rejected: ")
            assert CHECKED not in retried.details

    run(case())


def test_a_new_table_is_taken_over_and_a_new_address_is_said_to_wait() -> None:
    async def case() -> None:
        async with processor_harness() as harness:
            front = harness.front
            decision = await harness.decide(harness.proxy.open_stream())
            await wait_until(lambda: front.streams <= 1)
            old_table = front.table
            new_table = replace(
                old_table, keys=(b"n" * 16, KEY), valid_ms=77, routes=(Route("check", "/other", ""),)
            )
            front.renew(new_table)
            exchange = harness.proxy.open_stream()
            headers = harness.headers(x_call_id="c2") | {":path": "/other/x"}
            del headers["x-call-class"]
            rerouted = await exchange.decide(headers, 10.0)
            assert rerouted is not None
            assert (rerouted.valid_s, bool(rerouted.address)) == (0.077, True)
            retried = await harness.decide(
                harness.proxy.open_stream(), **{TOKEN_HEADER: decision.token, "x-call-id": "c1"}
            )
            assert retried.checked == "accepted" or retried.status == 409  # the previous key still verifies
            front.renew(replace(new_table, keys=(b"n" * 16,)))
            rejected = await harness.decide(
                harness.proxy.open_stream(), x_call_id="c3", **{TOKEN_HEADER: decision.token}
            )
            assert rejected.checked.startswith("rejected: ")

    run(case())


def test_sighup_rereads_the_table_and_keeps_the_old_one_where_the_file_is_bad(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    async def case() -> None:
        monkeypatch.setenv(
            "NODE_CONFIG",
            str(write_config_file(tmp_path / "config", listen=f"127.0.0.1:{PORTS.next_free()}")),
        )
        config = program.read_config({"NODE_CONFIG": str(tmp_path / "config")})
        file = tmp_path / "operator.toml"
        operator = {
            "external_processor": ExternalProcessor(
                listen=SocketAddress(("127.0.0.1", 0)), keys=(Secret(KEY),)
            )
        }
        sidecar = Sidecar(config, operator, asyncio.get_running_loop())
        await sidecar.start()
        front = sidecar.features["external_processor"].front  # type: ignore[attr-defined]
        assert front is not None
        file.write_text(
            f'[external_processor]\nlisten = "127.0.0.1:9"\nvalid_ms = 33\nkeys = ["{"ab" * 16}"]\n'
        )
        program.reload(sidecar, str(file))
        assert (front.table.valid_ms, front.token_signer.keys) == (33, (b"\xab" * 16,))
        assert "external_processor.listen waits for a restart" in capsys.readouterr().err
        file.write_text("[external_processor]\nvalid_ms = 9\n")
        sidecar.engine.logged_at = 0
        program.reload(sidecar, str(file))
        assert front.table.valid_ms == 33
        assert "'external_processor.valid_ms' is not from 20 to 400" in capsys.readouterr().err
        sidecar.drain()
        await sidecar.finished()

    run(case())


def set_deadline(harness: Harness, deadline_s: float) -> None:
    """Give all classes of requests so many seconds at the processor."""
    classes = harness.front.classes
    request_classes = tuple(
        dataclasses.replace(request_class, deadline=int(deadline_s * S))
        for request_class in classes.settings.request_classes
    )
    classes.settings = dataclasses.replace(classes.settings, request_classes=request_classes)


def test_a_proxy_that_never_reads_holds_up_nobody_and_no_more_than_its_window() -> None:
    async def case() -> None:
        async with processor_harness() as harness:
            set_deadline(harness, WAIT_S)  # the stream outlasts the writes
            unread = harness.proxy.open_stream()
            headers = headers_message(harness.headers(x_budget_ms=str(int(WAIT_S * 1000))))
            await unread.call.write(pb.ProcessingRequest(request_headers=headers))
            body = pb.ProcessingRequest(request_body=pb.HttpBody(body=b"x" * 4000))
            for _ in range(2000):
                try:
                    async with asyncio.timeout(0.5):
                        await unread.call.write(body)
                except TimeoutError:
                    break  # HTTP/2 flow control: the processor reads no more of this stream
            for number in range(20):
                exchange = harness.proxy.open_stream()
                assert (await harness.decide(exchange, x_call_id=f"o{number}")).address
                await exchange.report({":status": "200"}, 10.0)
            unread.cancel()
            await wait_until(lambda: harness.front.streams == 0 and harness.is_idle())

    run(case())


@pytest.mark.parametrize("opens", [True, False])
def test_a_proxy_without_a_processor_fails_as_it_is_set(opens: bool) -> None:
    async def case() -> None:
        async with processor_harness() as harness:
            peer = harness.peers[0]
            ledger = Ledger(6.0, 0.5, 3.0, 3.0, 0.2)
            open_addresses = (f"127.0.0.1:{peer.port}",) if opens else ()
            settings = ProxySettings(tries=1, message_timeout_s=0.3, fail_open_addresses=open_addresses)
            proxy = Proxy("q", harness.front.port, ledger, random.Random(2), settings)
            await harness.front.close(0.0)
            await proxy.one("q1")
            await proxy.close()
            sent = ledger.sent["q1"]
            assert proxy.sent_without_decision == len(peer.requests) == int(opens)
            assert sent.final == ("served" if opens else "refused")
            assert ledger.sent_without_decision == ({"q1"} if opens else set())

    run(case())
