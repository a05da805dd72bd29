"""The settings table `[grpc]`, imports without it, reload, TLS, and the whole program through its rig."""

from __future__ import annotations

import asyncio
import ssl
from pathlib import Path

import grpc
import grpc.aio
import pytest
import trustme
from msgspec.structs import replace

from garnethaven.app.operator import OperatorError, read_operator
from garnethaven.engine.classes import Classes
from garnethaven.grpcs.feature import keyring_of
from garnethaven.grpcs.front import Front
from garnethaven.grpcs.table import Grpc, GrpcRoute
from garnethaven.grpcs.transport import GrpcTransport
from garnethaven.tables import SocketAddress, merge_reloaded
from tests.grpcs.raw import PREFACE, SETTINGS, frame
from tests.grpcs.test_on_sockets import ROUTES, UNARY, address_of, answer_in_brackets, grpc_harness
from tests.loopback import ANSWER, answers_with, run, running_sidecar
from tests.rigs.test_rigs import imported_at_start, run_rig

ROOT = Path(__file__).parent.parent.parent


def test_nothing_of_it_is_imported_where_it_is_off() -> None:
    assert imported_at_start("h2", "hpack", "cryptography", "garnethaven.grpcs", "garnethaven.keys") == "[]"


def test_the_example_is_good() -> None:
    table = read_operator(str(ROOT / "deploy" / "examples" / "grpc.toml"))["grpc"]
    assert isinstance(table, Grpc)
    assert table.listen == ("127.0.0.1", 9903)
    assert table.routes[0] == GrpcRoute("/checks.v1.Checks/", "check", keyed=True)
    assert table.routes[1].streams


@pytest.mark.parametrize(
    ("line", "field"),
    [
        ('listen = "here"', "listen"),
        ("port_offset = 1.5", "port_offset"),
        ("port_offset = 99999", "port_offset"),
        ("default = 1", "default"),
        ("stream_most_s = 0", "stream_most_s"),
        ("routes = 1", "routes"),
        ('routes = [{path = "/a"}]', "routes"),
        ('routes = [{path = "a", class = "c"}]', "routes"),
        ('routes = [{path = "/a", class = "c", streams = 1}]', "routes"),
        ('routes = [{path = "/a", class = "c", retry = true}]', "routes"),
        ("cert = 1", "cert"),
        ('client_ca = "a.pem"', "client_ca"),
        ('peers = ["a"]', "peers"),
        ("port = 1", "port"),
    ],
)
def test_a_bad_field_is_named_with_its_line(line: str, field: str, tmp_path: Path) -> None:
    path = tmp_path / "o.toml"
    path.write_text(f"[grpc]\n{line}\n")
    with pytest.raises(OperatorError, match=f"line 2: 'grpc.{field}'"):
        read_operator(str(path))


def test_routes_are_taken_over_and_what_else_changed_is_said_to_wait() -> None:
    async def case() -> None:
        async with grpc_harness(answer_in_brackets) as harness:
            current = harness.front.table
            harness.front.renew(replace(current, routes=()))
            assert (await harness.unary())[1] == grpc.StatusCode.UNIMPLEMENTED
            harness.front.renew(replace(current, routes=(), default="check"))
            assert (await harness.unary())[1] == grpc.StatusCode.OK
            changed = replace(current, port_offset=5, listen=SocketAddress(("127.0.0.1", 9)), stream_most_s=7)
            in_force, needing_restart = merge_reloaded(current, changed)
            assert (in_force, needing_restart) == (
                replace(current, stream_most_s=7),
                ["listen", "port_offset"],
            )

    run(case())


def test_over_tls_both_ways(tmp_path: Path) -> None:
    async def case() -> None:
        authority = trustme.CA()
        certificate = authority.issue_cert("127.0.0.1")
        certificate.private_key_pem.write_to_path(str(tmp_path / "key.pem"))
        certificate.cert_chain_pems[0].write_to_path(str(tmp_path / "cert.pem"))
        async with grpc_harness(answer_in_brackets) as harness:
            table = Grpc(routes=ROUTES, cert=str(tmp_path / "cert.pem"), key=str(tmp_path / "key.pem"))
            engine = harness.sidecar.engine
            context = ssl.create_default_context()
            authority.configure_trust(context)
            context.set_alpn_protocols(["h2"])
            keyring = keyring_of(table, lambda text: None)
            parts = engine, harness.front.transport, harness.sidecar.listener.classes
            inner = Front(table, *parts, keyring.context, keyring.is_allowed_client)
            await inner.start(("127.0.0.1", 0))
            # The outer front uses the inner one as its server, over TLS.
            outer_transport = GrpcTransport(
                engine, engine.loop, lambda endpoint: ("127.0.0.1", inner.port), context
            )
            classes: Classes = harness.sidecar.listener.classes
            outer = await Front(Grpc(routes=ROUTES), engine, outer_transport, classes).start(("127.0.0.1", 0))
            credentials = grpc.ssl_channel_credentials(authority.cert_pem.bytes())
            async with grpc.aio.secure_channel(f"127.0.0.1:{inner.port}", credentials) as channel:
                assert await channel.unary_unary(UNARY)(b"hi", timeout=10.0) == b"<hi>"
            async with grpc.aio.insecure_channel(f"127.0.0.1:{outer.port}") as channel:
                metadata = (("x-call-id", "outer"),)
                call = channel.unary_unary(UNARY)(b"hi", timeout=10.0, metadata=metadata)
                # Both fronts share an engine, so the inner one rejects the call id as a duplicate, over TLS.
                with pytest.raises(grpc.aio.AioRpcError) as raised:
                    await call
                assert raised.value.code() == grpc.StatusCode.ABORTED
            await outer.close(0.0)
            await inner.close(0.0)
            assert address_of(harness.sidecar, 1) is not None

    run(case())


def test_grpc_at_the_http_front_gets_a_clear_answer() -> None:
    async def case() -> None:
        async with running_sidecar(answers_with(ANSWER)) as (sidecar, _):
            reader, writer = await sidecar.connect()
            writer.write(PREFACE + frame(SETTINGS, 0, 0))
            answer = await asyncio.wait_for(reader.read(200), 10.0)
            assert answer.startswith(b"HTTP/1.1 400")
            writer.close()

    run(case())


def test_the_rig_in_short_gives_both_protocols_the_same_outcomes() -> None:
    code, figures, output = run_rig("grpc", "--seed", "4", "--seconds", "8")
    assert code in (0, 1), output
    assert figures["sent"] > 800, output
    assert figures["broken"] == {"lost": 0, "twice": 0, "drain": 0, "cold": 0}, (output, figures)
    assert figures["missing"] == figures["doubled"] == figures["mapping_mismatches"] == 0, figures
    assert figures["trailers_changed"] == 0
    assert figures["http1"]["served"] > 300 < figures["grpc"]["served"]
