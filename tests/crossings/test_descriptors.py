"""Idle clients use up the file descriptors while discovery is down; the sidecar must still be able to dial
discovery and endpoints.

Runs the real program with RLIMIT_NOFILE set to the limit that its configuration names.
"""

from __future__ import annotations

import asyncio
import contextlib
import resource
import sys
import time
from pathlib import Path

from garnethaven.limits.list_freshness import MAX_CHANGE_DELAY_S
from standins.ports import PORTS
from tests.loopback import (
    ANSWER,
    Peer,
    ScriptedDiscovery,
    answers_with,
    read_message,
    request,
    run,
    settings_document,
    wait_until,
    wait_until_ready,
    write_config_file,
)

SOCKETS = 128
IDLE_CLIENTS = 300


def limit_descriptors() -> None:
    resource.setrlimit(resource.RLIMIT_NOFILE, (SOCKETS, SOCKETS))


async def ask(port: int, call_id: str) -> None:
    """Send a request on new connections until it is served; retries after a 503 or a failed connection."""
    status_line = b""
    while b" 200 " not in status_line:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(request(X_Call_Id=call_id))
            head, _ = await read_message(reader)
            writer.close()
            status_line = head.partition(b"\r\n")[0]
            assert b" 200 " in status_line or b" 503 " in status_line  # no other status: no request is lost
        await asyncio.sleep(0)


def test_idle_clients_that_fill_the_descriptors_shut_out_neither_discovery_nor_endpoints(
    tmp_path: Path,
) -> None:
    async def case() -> None:
        peer, added_peer = await Peer(answers_with(ANSWER)).start(), await Peer(answers_with(ANSWER)).start()
        port, discovery_port = PORTS.next_free(), PORTS.next_free()
        settings = settings_document() | {"membershipMode": "ask", "fleetSize": 3}
        settings["rules"] = settings["rules"] | {"askWithinNs": 4 * 10**9}
        path = write_config_file(
            tmp_path / "c.json",
            listen=f"127.0.0.1:{port}",
            discovery=f"127.0.0.1:{discovery_port}",
            limits={"memory_mb": 64, "sockets": SOCKETS},
            known={"revision": 1, "complete": True, "members": [peer.member("s0")]},
            settings=settings,
        )
        program = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "garnethaven"),
            env={"NODE_CONFIG": str(path)},
            cwd=Path(__file__).parent.parent.parent,
            preexec_fn=limit_descriptors,
            stderr=asyncio.subprocess.DEVNULL,
        )
        lists = ScriptedDiscovery([added_peer.member("s1")])
        idle_writers = []
        try:
            await wait_until_ready(port)

            async def idle_client() -> None:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                idle_writers.append(writer)
                with contextlib.suppress(OSError):
                    await reader.read()

            idle_tasks = [asyncio.create_task(idle_client()) for _ in range(IDLE_CLIENTS)]
            await wait_until(lambda: len(idle_writers) == IDLE_CLIENTS)
            for number in range(8):
                await ask(port, f"a{number}")
            lists.server = await asyncio.start_server(lists._serve, "127.0.0.1", discovery_port)
            returned_at = time.monotonic()
            while not added_peer.requests:
                await ask(port, f"b{len(peer.requests)}-{time.monotonic_ns()}")
            assert time.monotonic() - returned_at < MAX_CHANGE_DELAY_S
            for number in range(8):
                await ask(port, f"c{number}")
            assert program.returncode is None
            for closable in idle_tasks:
                closable.cancel()
        finally:
            if program.returncode is None:
                program.kill()
            await program.wait()
            for writer in idle_writers:
                writer.close()
            for closable in (peer, added_peer, lists):
                if hasattr(closable, "server"):
                    closable.server.close()

    run(case())
