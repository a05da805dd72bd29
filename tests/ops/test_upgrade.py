"""Upgrades: old and new process share an address, with requests on new and on reused connections."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
from collections import Counter
from collections.abc import AsyncIterator
from pathlib import Path

from standins.ports import PORTS
from tests.loopback import (
    ANSWER,
    Peer,
    ScriptedDiscovery,
    answers_with,
    read_message,
    request,
    run,
    write_config_file,
)
from tests.ops.test_front import attach, call, detach, operator_request

ROOT = Path(__file__).parents[2]
INTERVAL_S = 1 / 300
MAX_IDLE = 8
MAX_FAILED_TRIES = 2  # per upgrade


class Deployment:
    """Two endpoints, discovery, and processes of one sidecar that share an address and a folder."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.port = PORTS.next_free()
        self.processes: list[asyncio.subprocess.Process] = []

    async def begin(self) -> Deployment:
        self.peers = [await Peer(answers_with(ANSWER)).start() for _ in range(2)]
        self.lists = await ScriptedDiscovery(
            [peer.member(f"s{n}") for n, peer in enumerate(self.peers)]
        ).start()
        return self

    async def start(self, wait: bool = True, **changes: object) -> tuple[asyncio.subprocess.Process, int]:
        """Start a process; returns it and its operators' port. `wait`: only after `/_ready` answers 200."""
        ops = PORTS.next_free()
        config: dict[str, object] = {
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{self.lists.port}",
        }
        known_list = {"revision": 1, "complete": True, "members": self.lists.members}
        config |= {"ops": f"127.0.0.1:{ops}", "known": known_list}
        path = write_config_file(self.folder / f"{len(self.processes)}.json", **(config | changes))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "garnethaven",
            env={"NODE_CONFIG": str(path), "TMPDIR": str(self.folder)},
            cwd=ROOT,
            stderr=asyncio.subprocess.DEVNULL,
        )
        self.processes.append(process)
        while wait:
            with contextlib.suppress(OSError, IndexError):
                if (await call(ops, operator_request("GET", "/_ready")))[0] == 200:
                    break
            await asyncio.sleep(0.02)
        return process, ops

    def end(self) -> None:
        for process in self.processes:
            if process.returncode is None:
                process.kill()
        for server in (*self.peers, self.lists):
            server.server.close()


@contextlib.asynccontextmanager
async def deployment(folder: Path) -> AsyncIterator[Deployment]:
    started = await Deployment(folder).begin()
    try:
        yield started
    finally:
        started.end()


class Load:
    """300 requests per second on reused and on new connections until stopped; counts the statuses."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.failed_tries = 0
        self.statuses: Counter[int] = Counter()
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.sender = asyncio.create_task(self._send())

    async def _send(self) -> None:
        number = 0
        while True:
            number += 1
            self.tasks.add(asyncio.create_task(self._ask(f"c{number}", reuse=number % 2 == 0)))
            await asyncio.sleep(INTERVAL_S)

    async def _ask(self, name: str, reuse: bool) -> None:
        for _ in range(2):  # a request whose connection failed without an answer is sent once more
            try:
                needs_connection = not (reuse and self.idle)
                connection = (
                    await asyncio.open_connection("127.0.0.1", self.port)
                    if needs_connection
                    else self.idle.pop()
                )
                # Without a key, the request must never run twice.
                connection[1].write(request(X_Call_Id=name, Idempotency_Key=""))
                head, _ = await read_message(connection[0])
            except (OSError, asyncio.IncompleteReadError):
                self.failed_tries += 1
                continue
            self.statuses[int(head.split()[1])] += 1
            if reuse and b"close" not in head.lower() and len(self.idle) < MAX_IDLE:
                self.idle.append(connection)
            else:
                connection[1].close()
            return
        self.statuses[0] += 1

    async def stop(self) -> None:
        self.sender.cancel()
        await asyncio.gather(*self.tasks)


def test_three_upgrades_in_a_row_lose_and_double_nothing(tmp_path: Path) -> None:
    async def case() -> None:
        async with deployment(tmp_path) as env:
            old, _ = await env.start()
            load = Load(env.port)
            for _ in range(3):
                await asyncio.sleep(0.2)
                new, _ = await env.start()
                old.send_signal(signal.SIGTERM)
                assert await old.wait() == 0
                old = new
            await load.stop()
            assert set(load.statuses) == {200} and load.failed_tries <= 3 * MAX_FAILED_TRIES
            runs = Counter(line for peer in env.peers for line in map(call_id, peer.requests))
            assert max(runs.values()) == 1 and len(runs) == load.statuses[200]

    run(case(), wait_s=60.0)


def call_id(text: bytes) -> bytes:
    return next(line for line in text.split(b"\r\n") if line.lower().startswith(b"x-call-id"))


def test_a_new_version_that_dies_before_its_yes_changes_nothing(tmp_path: Path) -> None:
    async def case() -> None:
        async with deployment(tmp_path) as env:
            old, ops = await env.start()
            load = Load(env.port)
            misconfigured, _ = await env.start(wait=False, settings={})
            assert await misconfigured.wait() == 2
            conflicting, _ = await env.start(wait=False, ops=f"127.0.0.1:{ops}")
            assert await conflicting.wait() == 1
            killed, _ = await env.start()
            killed.kill()
            await killed.wait()
            await load.stop()
            max_lost = load.failed_tries  # requests that the killed process had accepted
            assert load.statuses[200] >= sum(load.statuses.values()) - max_lost
            assert (await call(ops, operator_request("GET", "/_ready")))[0] == 200 and old.returncode is None

    run(case(), wait_s=60.0)


def test_a_ban_holds_in_both_and_over_a_kill(tmp_path: Path) -> None:
    async def case() -> None:
        async with deployment(tmp_path) as env:
            old, old_ops = await env.start()
            assert (await call(old_ops, detach("s0")))[0] == 200
            new, new_ops = await env.start()
            assert excluded(await call(new_ops, operator_request("GET", "/_vars"))) == 1
            assert (await call(old_ops, detach("s1")))[0] == 200
            while excluded(await call(new_ops, operator_request("GET", "/_vars"))) != 2:
                await asyncio.sleep(0.02)
            assert (await call(new_ops, attach("s0")))[0] == 200
            while excluded(await call(old_ops, operator_request("GET", "/_vars"))) != 1:
                await asyncio.sleep(0.02)
            for process in (old, new):
                process.kill()
                await process.wait()
            _, ops = await env.start()
            assert excluded(await call(ops, operator_request("GET", "/_vars"))) == 1
            env.processes[-1].kill()
            await env.processes[-1].wait()
            for path in tmp_path.glob("petrelspan-*"):
                path.unlink()
            _, ops = await env.start()
            assert excluded(await call(ops, operator_request("GET", "/_vars"))) == 0

    run(case(), wait_s=60.0)


def test_a_ban_that_meets_the_new_one_at_its_start_holds_in_it(tmp_path: Path) -> None:
    async def case() -> None:
        async with deployment(tmp_path) as env:
            _, old_ops = await env.start()
            start_task = asyncio.create_task(env.start())
            while len(env.processes) < 2:
                await asyncio.sleep(0)
            for _ in range(20):  # throughout its start
                assert (await call(old_ops, detach("s0")))[0] == 200
                assert (await call(old_ops, attach("s0")))[0] == 200
                await asyncio.sleep(0.01)
            assert (await call(old_ops, detach("s0")))[0] == 200
            _, new_ops = await start_task
            while excluded(await call(new_ops, operator_request("GET", "/_vars"))) != 1:
                await asyncio.sleep(0.02)

    run(case(), wait_s=60.0)


def test_operators_are_answered_beside_callers_that_stall_and_clients_that_crowd(tmp_path: Path) -> None:
    async def case() -> None:
        async with deployment(tmp_path) as env:
            _, ops = await env.start()
            stalled = [await asyncio.open_connection("127.0.0.1", ops) for _ in range(10)]
            for _, writer in stalled:
                writer.write(b"POST /_endpoints/det")
            clients = []
            for _ in range(400):  # more than the connection limit; they send nothing or half a request
                with contextlib.suppress(OSError):
                    clients.append(await asyncio.open_connection("127.0.0.1", env.port))
                    clients[-1][1].write(request()[: 60 * (len(clients) % 2)])
            load = Load(env.port)
            for _ in range(10):
                assert (await call(ops, operator_request("GET", "/_ready")))[0] == 200
                assert "edge_node_in_flight" in (await call(ops, operator_request("GET", "/_vars")))[1]
                await asyncio.sleep(0.1)
            await load.stop()
            assert load.statuses[200] > 0
            for _, writer in (*stalled, *clients):
                writer.close()

    run(case(), wait_s=60.0)


def excluded(answer: tuple[int, str]) -> int:
    return int(answer[1].rsplit("edge_node_endpoints_excluded ", 1)[1])
