"""The whole program with `[membership]`: requests follow the registry, SIGHUP, registration, shutdown."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest

from garnethaven import __main__ as program
from garnethaven.app.operator import read_operator
from garnethaven.app.sidecar import Sidecar
from standins.ports import PORTS
from standins.zookeeper.ensemble import Ensemble
from tests.loopback import (
    ANSWER,
    Peer,
    ScriptedDiscovery,
    answers_with,
    read_message,
    request,
    run,
    wait_until,
    write_config_file,
)
from tests.rigs.test_rigs import run_rig


def registry_of(sidecar: Sidecar) -> Any:
    return sidecar.features["membership"].sources.registries["zookeeper"]  # type: ignore[attr-defined]


class Stage:
    """The program, run in this process, with peers that are nodes of a registry."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.file = folder / "operator.toml"
        self.port = PORTS.next_free()

    async def start(self, peers: list[Peer], listed: list[Peer]) -> None:
        self.ensemble = await Ensemble().start()
        self.ensemble.create_node("/checks")
        self.ensemble.create_node("/other")
        self.sessions = [self.ensemble.create_session(40_000) for _ in peers]
        for number, (peer, session) in enumerate(zip(peers, self.sessions, strict=True)):
            data = json.dumps(peer.member(f"p{number}")).encode()
            self.ensemble.create_node(f"/checks/p{number}", data, session)
        self.discovery = await ScriptedDiscovery([peer.member("d") for peer in listed]).start()
        self.write("/checks")
        config_path = write_config_file(
            self.folder / "config",
            listen=f"127.0.0.1:{self.port}",
            discovery=f"127.0.0.1:{self.discovery.port}",
        )
        config = program.read_config({"NODE_CONFIG": str(config_path)})
        operator = read_operator(str(self.file))
        self.sidecar = Sidecar(config, operator, asyncio.get_running_loop())
        await self.sidecar.start()

    def write(self, root: str, more: str = "") -> None:
        hosts = ", ".join(f'"{address}"' for address in self.ensemble.addresses())
        self.file.write_text(
            f'[membership.zookeeper]\nhosts = [{hosts}]\nroot = "{root}"\nspread_ms = 20\n{more}'
            '[membership.zookeeper.register]\npath = "/me"\n'
        )

    def add_node(self, path: str, peer: Peer) -> None:
        self.ensemble.create_node(
            path, json.dumps(peer.member("x")).encode(), self.ensemble.create_session(40_000)
        )

    async def ask(self, call_id: str) -> int:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(request(X_Call_Id=call_id))
        head, _ = await read_message(reader)
        writer.close()
        return int(head.split()[1])

    async def end(self) -> None:
        self.sidecar.drain()
        await self.sidecar.finished()
        await self.ensemble.close()
        self.discovery.server.close()


def test_requests_follow_the_registry_and_a_reload_moves_to_another_directory(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    async def case() -> None:
        peers = [await Peer(answers_with(ANSWER)).start() for _ in range(2)]
        stage = Stage(tmp_path)
        await stage.start(peers, [])
        monkeypatch.setenv("NODE_CONFIG", str(tmp_path / "config"))
        targets = stage.sidecar.transport.targets
        await wait_until(lambda: len(targets) == 2)
        assert await stage.ask("a") == 200
        stage.ensemble.expire(stage.sessions[0].id)
        await wait_until(lambda: len(targets) == 1)
        before = len(peers[0].requests)
        assert [await stage.ask(f"b{n}") for n in range(6)] == [200] * 6
        assert len(peers[0].requests) == before
        stage.ensemble.create_node(
            "/other/x", json.dumps(peers[0].member("x")).encode(), stage.ensemble.create_session(40_000)
        )
        targets_before = set(targets)
        stage.write("/other")
        program.reload(stage.sidecar, str(stage.file))
        # Both directories hold one server: only a different target shows that the move is complete.
        await wait_until(lambda: len(targets) == 1 and set(targets) != targets_before)
        assert [await stage.ask(f"c{n}") for n in range(6)] == [200] * 6
        assert len(peers[0].requests) == before + 6
        stage.write("/other", "form = 3\n")
        stage.sidecar.engine.logged_at = 0
        program.reload(stage.sidecar, str(stage.file))
        assert (
            "'membership.zookeeper.form' is not one of own, curator, serverset: 3" in capsys.readouterr().err
        )
        assert await stage.ask("d") == 200
        await stage.end()

    run(case())


def test_with_nobody_left_requests_are_refused_at_once_and_served_without_a_restart(tmp_path: Path) -> None:
    async def case() -> None:
        peer = await Peer(answers_with(ANSWER)).start()
        stage = Stage(tmp_path)
        await stage.start([peer], [])
        targets = stage.sidecar.transport.targets
        await wait_until(lambda: len(targets) == 1)
        stage.ensemble.expire(stage.sessions[0].id)
        await wait_until(lambda: not targets)
        assert await stage.ask("a") == 503
        assert not peer.requests
        stage.ensemble.create_node(
            "/checks/again", json.dumps(peer.member("p")).encode(), stage.ensemble.create_session(40_000)
        )
        await wait_until(lambda: len(targets) == 1)
        assert await stage.ask("b") == 200
        await stage.end()

    run(case())


def test_discovery_and_the_registry_serve_together(tmp_path: Path) -> None:
    async def case() -> None:
        peers = [await Peer(answers_with(ANSWER)).start() for _ in range(2)]
        stage = Stage(tmp_path)
        await stage.start(peers[:1], peers)  # the first is listed by both
        targets = stage.sidecar.transport.targets
        stage.sidecar.discovery.watch()
        await wait_until(lambda: len(targets) == 2)
        stage.ensemble.expire(stage.sessions[0].id)
        await wait_until(lambda: len(targets) == 1)  # removed, though discovery still lists it
        assert [await stage.ask(f"a{n}") for n in range(4)] == [200] * 4
        assert not peers[0].requests
        await stage.end()

    run(case())


def test_the_program_takes_its_own_node_back_before_it_drains(tmp_path: Path) -> None:
    async def case() -> None:
        stage = Stage(tmp_path)
        peer = await Peer(answers_with(ANSWER)).start()
        await stage.start([peer], [])
        nodes = stage.ensemble.tree.nodes
        await wait_until(lambda: "/me" in nodes)
        assert json.loads(nodes["/me"].data)["host_port"] == f"127.0.0.1:{stage.port}"
        await wait_until(lambda: registry_of(stage.sidecar).register.registered)
        order: list[str] = []
        drain = stage.sidecar.listener.drain

        def record_and_drain() -> None:
            order.append("node gone" if "/me" not in nodes else "node there")
            drain()

        stage.sidecar.listener.drain = record_and_drain  # type: ignore[method-assign]
        await stage.end()
        assert order == ["node gone"]
        # Only the peer's session is left: the program closed its own instead of letting it expire.
        assert len(stage.ensemble.sessions) == 1

    run(case())


def test_the_rig_in_short_breaks_no_rule() -> None:
    code, figures, stderr = run_rig("ephemeral", "--seed", "3", "--seconds", "9")
    assert code in (0, 1), stderr
    assert figures["sent"] > 1000, stderr
    assert figures["broken"] == {"lost": 0, "twice": 0, "drain": 0, "cold": 0}, (stderr, figures)
    assert figures["missing"] == figures["doubled"] == 0
    assert figures["sessions_killed"] == figures["vanished"] == 26
    assert figures["latest_send_ms"] <= 500.0
