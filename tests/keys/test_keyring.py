"""Mutual TLS on loopback: rotation without dropped connections, and refused clients."""

from __future__ import annotations

import asyncio
import contextlib
import ssl
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import grpc
import pytest

from garnethaven.__main__ import main
from garnethaven.grpcs.front import Front
from garnethaven.grpcs.table import Grpc
from garnethaven.keys import keyring as keyrings
from garnethaven.keys.authority import Authority
from garnethaven.keys.files import KeysError, certificate_facts, load_certificates
from garnethaven.keys.keyring import KeyPaths, Keyring
from garnethaven.keys.validity import DAY_S
from tests.grpcs.test_on_sockets import ROUTES, UNARY, answer_in_brackets, grpc_harness
from tests.loopback import run


class Keys:
    """An authority with a server certificate and a client certificate."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.authority = Authority(str(folder))
        self.authority.init("petrel")
        self.issue()

    def issue(self) -> None:
        self.authority.issue("server", ["127.0.0.1"], 90)
        self.authority.issue("client", ["gate.a.example"], 90)

    def path(self, name: str) -> str:
        return str(self.folder / name)

    def paths(self, **changes: Any) -> KeyPaths:
        options = {"client_ca": self.path("authorities.pem"), "peers": ("gate.a.example",)} | changes
        return KeyPaths(self.path("server.pem"), self.path("server.key"), **options)

    def client(self, name: str | None = "client", folder: Path | None = None) -> ssl.SSLContext:
        context = ssl.create_default_context(cafile=self.path("authorities.pem"))
        if name is not None:
            source = folder or self.folder
            context.load_cert_chain(source / f"{name}.pem", source / f"{name}.key")
        return context


class Echo:
    """A TLS server with a keyring: echoes lines and closes connections of clients that are no peers."""

    def __init__(self, paths: KeyPaths) -> None:
        self.log: list[str] = []
        self.keyring = Keyring(paths, ["h2"], self.log.append)

    async def start(self) -> Echo:
        context = self.keyring.context
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, ssl=context)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.keyring.is_allowed_client(writer.get_extra_info("peercert")):
            with contextlib.suppress(ConnectionError):
                while line := await reader.readline():
                    writer.write(line)
        writer.close()


@contextlib.asynccontextmanager
async def echo(paths: KeyPaths) -> AsyncIterator[Echo]:
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)  # refused handshakes
    echo_server = await Echo(paths).start()
    try:
        yield echo_server
    finally:
        echo_server.server.close()


class EchoClient:
    async def open(self, port: int, context: ssl.SSLContext) -> EchoClient:
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port, ssl=context)
        return self

    async def echoes(self) -> bool:
        try:
            self.writer.write(b"hi\n")
            return await self.reader.readline() == b"hi\n"
        except OSError:
            return False

    def serial(self) -> int:
        return int(self.writer.get_extra_info("peercert")["serialNumber"], 16)


async def echoes(port: int, context: ssl.SSLContext) -> bool:
    try:
        client = await EchoClient().open(port, context)
    except OSError:
        return False
    try:
        return await client.echoes()
    finally:
        client.writer.close()


def test_a_rotation_drops_no_connection_and_the_next_handshake_has_the_new_certificate(
    tmp_path: Path,
) -> None:
    async def case() -> None:
        keys = Keys(tmp_path)
        async with echo(keys.paths()) as echo_server:
            before = await EchoClient().open(echo_server.port, keys.client())
            assert await before.echoes()
            keys.issue()
            echo_server.keyring.reload_if_changed()
            after = await EchoClient().open(echo_server.port, keys.client())
            assert await after.echoes() and await before.echoes()
            assert before.serial() != after.serial()
            assert after.serial() == certificate_facts(load_certificates(keys.path("server.pem"))[0]).serial

    run(case())


def test_old_and_new_authority_hold_side_by_side_until_the_old_one_is_taken_out(tmp_path: Path) -> None:
    async def case() -> None:
        keys = Keys(tmp_path)
        async with echo(keys.paths()) as echo_server:
            old = keys.client()
            keys.authority.rotate("petrel 2")
            echo_server.keyring.reload_if_changed()
            assert await echoes(echo_server.port, old)
            keys.issue()
            echo_server.keyring.reload_if_changed()
            assert await echoes(echo_server.port, keys.client())
            (tmp_path / "authorities.pem").write_bytes((tmp_path / "authority.pem").read_bytes())
            echo_server.keyring.reload_if_changed()
            assert await echoes(echo_server.port, keys.client())
            old.load_verify_locations(cafile=keys.path("authority.pem"))
            assert not await echoes(echo_server.port, old)

    run(case())


def test_who_has_no_good_certificate_is_turned_away(tmp_path: Path) -> None:
    async def case() -> None:
        keys = Keys(tmp_path / "ours")
        other = Keys(tmp_path / "theirs")
        keys.authority.issue("stranger", ["gate.z.example"], 90)
        async with echo(keys.paths()) as echo_server:
            assert await echoes(echo_server.port, keys.client())
            assert not await echoes(echo_server.port, keys.client(None))
            assert not await echoes(echo_server.port, keys.client(folder=other.folder))
            assert not await echoes(echo_server.port, keys.client("stranger"))
            assert echo_server.keyring.refused_clients == 1
            assert any("not a peer: certificate names gate.z.example" in line for line in echo_server.log)

    run(case())


def test_a_revoked_client_is_refused_from_the_next_handshake_on(tmp_path: Path) -> None:
    async def case() -> None:
        keys = Keys(tmp_path)
        keys.authority.revoke([], 90)
        async with echo(keys.paths(revoked=keys.path("revoked.pem"))) as echo_server:
            assert await echoes(echo_server.port, keys.client())
            keys.authority.revoke(
                [certificate_facts(load_certificates(keys.path("client.pem"))[0]).serial], 90
            )
            echo_server.keyring.reload_if_changed()
            assert not await echoes(echo_server.port, keys.client())

    run(case())


def test_no_handshake_is_made_with_a_certificate_that_has_ended(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def case() -> None:
        keys = Keys(tmp_path)
        async with echo(keys.paths()) as echo_server:
            now = keyrings.time.time()
            monkeypatch.setattr(keyrings.time, "time", lambda: now + 91 * DAY_S)
            echo_server.keyring.reload_if_changed()
            assert not await echoes(echo_server.port, keys.client())
            assert echo_server.keyring.refused_clients == 1
            assert any("handshakes are refused" in line for line in echo_server.log)
            monkeypatch.undo()

    run(case())


@pytest.mark.parametrize("name", ["server.pem", "server.key", "authorities.pem"])
def test_what_cannot_be_used_is_told_and_the_old_files_stay_in_use(name: str, tmp_path: Path) -> None:
    async def case() -> None:
        keys = Keys(tmp_path)
        async with echo(keys.paths()) as echo_server:
            context = keys.client()
            (tmp_path / name).write_text("none")
            echo_server.keyring.reload_if_changed()
            assert sum("the previous ones stay in use" in line for line in echo_server.log) == 1
            echo_server.keyring.reload_if_changed()  # logged once per change
            assert len(echo_server.log) == 1
            assert await echoes(echo_server.port, context)

    run(case())


def test_a_start_with_files_that_cannot_be_used_is_an_error(tmp_path: Path) -> None:
    keys = Keys(tmp_path)
    for paths in (
        KeyPaths(keys.path("none.pem")),
        KeyPaths(keys.path("server.pem"), keys.path("client.key")),
        keys.paths(client_ca=keys.path("server.key")),
        keys.paths(revoked=keys.path("none")),
    ):
        with pytest.raises(KeysError):
            Keyring(paths, ["h2"], lambda text: None)


def test_grpc_over_mutual_tls(tmp_path: Path) -> None:
    async def case() -> None:
        keys = Keys(tmp_path)
        keyring = Keyring(keys.paths(), ["h2"], lambda text: None)
        async with grpc_harness(answer_in_brackets) as harness:
            parts = harness.sidecar.engine, harness.front.transport, harness.sidecar.listener.classes
            front = Front(Grpc(routes=ROUTES), *parts, keyring.context, keyring.is_allowed_client)
            await front.start(("127.0.0.1", 0))
            authorities = (tmp_path / "authorities.pem").read_bytes()
            pair = [(tmp_path / name).read_bytes() for name in ("client.key", "client.pem")]
            for client_pair, code in ((pair, grpc.StatusCode.OK), ([], grpc.StatusCode.UNAVAILABLE)):
                credentials = grpc.ssl_channel_credentials(authorities, *client_pair)
                async with grpc.aio.secure_channel(f"127.0.0.1:{front.port}", credentials) as channel:
                    call = channel.unary_unary(UNARY)(b"hi", timeout=10.0)
                    assert await call.code() is code
            await front.close(0.0)

    run(case())


def test_the_command_makes_issues_rotates_revokes_and_shows(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    def certs(*words: str) -> int:
        return main(["certs", "--folder", str(tmp_path), *words])

    assert certs("init", "petrel") == 0
    assert certs("init", "petrel") == 1
    assert "holds an authority already" in capsys.readouterr().err
    assert certs("issue", "gate", "gate.a.example", "10.0.0.1", "--days", "10") == 0
    assert certs("show", str(tmp_path / "gate.pem")) == 0
    output = capsys.readouterr().out
    assert "gate.a.example, 10.0.0.1: valid, until" in output and "CN=petrel" in output
    assert certs("rotate", "petrel 2") == 0
    assert len(load_certificates(str(tmp_path / "authorities.pem"))) == 2
    assert certs("revoke", str(tmp_path / "gate.pem")) == 0
    assert (tmp_path / "authority.key").stat().st_mode & 0o777 == 0o600
    assert certs("issue", "../x", "a") == 1
    assert certs("show", str(tmp_path / "none.pem")) == 1
    assert "can't be read" in capsys.readouterr().err
    with pytest.raises(SystemExit):
        certs("issue", "x", "a", "--days", "0")
