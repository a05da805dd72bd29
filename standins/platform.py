"""Stand-in of the platform: writes the program's configuration and starts, signals and stops it."""

from __future__ import annotations

import asyncio
import atexit
import contextlib
import json
import os
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from standins.ports import PORTS
from standins.wire import read_message, request

ROOT = Path(__file__).parent.parent
READY_S = 20.0
STOP_TIMEOUT_S = 10.0
TARGET_S = 1.0
WINDOW_S = 6.0
GRACE_S = 0.5
COLD_SHARE = 0.2
OVERLOAD_FACTOR = 3.0
OVERLOAD_WINDOW_S = 3.0
NS = 1_000_000_000
SEED_STEP = 0x9E3779B9  # difference between the seeds of two successive starts


def settings(fleet_size: int = 3, ramp_s: float = 6.0, retry_after: bool = False) -> dict[str, Any]:
    """The settings object of a small deployment with one keyed class."""
    request_class = {
        "name": "check",
        "aimNs": int(TARGET_S * NS),
        "deadlineNs": 3 * NS,
        "effect": "dedup",
        "keyScope": "cell",
        "dedupWindowNs": int(WINDOW_S * NS),
        "importance": 1.0,
        "lateValue": 0.25,
    }
    return {
        "fleetSize": fleet_size,
        "slotNo": 0,
        "zone": 0,
        "zones": ["a"],
        "hostTypes": ["m"],
        "membershipMode": "ask",
        "grades": [request_class],
        "tenants": [{"name": "t0", "share": 1.0, "allowancePerS": 1000.0}],
        "limits": {
            "maxAttempts": 5,
            "secondCopies": True,
            "cancel": True,
            "dialTimeoutNs": NS // 4,
            "connIdleNs": 15 * NS,
            "retryAfter": retry_after,
            "maxRetryAfterNs": 2 * NS,
        },
        "rules": {
            "coldShare": COLD_SHARE,
            "drainGraceNs": int(GRACE_S * NS),
            "rampTimeNs": int(ramp_s * NS),
            "askWithinNs": 10 * NS,
        },
    }


MEMORY = Path("/dev/shm")  # the platform counts TMPDIR as memory; a shared disk would stall all programs


class Program:
    """The real program as a separate process, with a configuration file that can be changed."""

    def __init__(
        self,
        discovery_port: int,
        seed: int,
        known: dict[str, Any],
        facts: dict[str, Any],
        sockets: int = 384,
        environment: dict[str, str] | None = None,
        root: Path = ROOT,
        name: str = "n0",
    ) -> None:
        self.seed = seed
        self.root = root  # root folder of the checkout to run
        self.temporary_folder = tempfile.TemporaryDirectory(
            prefix="rig-", dir=MEMORY if MEMORY.is_dir() else None
        )
        self.path = Path(self.temporary_folder.name) / "config.json"
        self.state = Path(self.temporary_folder.name) / "tmp"  # TMPDIR of the program; kept across restarts
        self.state.mkdir()
        self.log = Path(self.temporary_folder.name) / "log"
        self.port = PORTS.next_free()
        self.environment = environment or {}
        self.configuration: dict[str, Any] = {
            "name": name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{discovery_port}",
            "seed": "",  # set at each start
            "limits": {"cores": 1.0, "memory_mb": 80, "sockets": sockets},
            "known": known,
            "settings": facts,
        }
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0
        atexit.register(self.cleanup)  # a rig that ends with an error must not leave a process behind

    async def start(self) -> Program:
        self.configuration["seed"] = f"{(self.seed + SEED_STEP * self.starts) & 0xFFFFFFFF:x}"
        self.path.write_text(json.dumps(self.configuration))
        environment = {"NODE_CONFIG": str(self.path), "PATH": os.environ.get("PATH", "")}
        environment["TMPDIR"] = str(self.state)
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "garnethaven",
                env=environment | self.environment,
                cwd=self.root,
                stdout=asyncio.subprocess.DEVNULL,
                stderr=log,
            )
        self.starts += 1
        await self._ready()
        return self

    async def _ready(self) -> None:
        deadline = time.monotonic() + READY_S
        while time.monotonic() < deadline:
            assert self.process is not None
            if self.process.returncode is not None:
                raise RuntimeError(f"the program ended at its start with code {self.process.returncode}")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(request("GET", "/-/ready", {"Host": "t", "Connection": "close"}))
                answer = await read_message(reader)
                writer.close()
                if answer is not None and answer.status == 200:
                    return
            await asyncio.sleep(0.02)
        raise RuntimeError(f"the program was not ready within {READY_S:g} s")

    def signal(self, number: int) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    def reload(self, **changes: Any) -> None:
        """Rewrite the configuration with these changes and send SIGHUP."""
        self.configuration |= changes
        self.path.write_text(json.dumps(self.configuration))
        self.signal(signal.SIGHUP)

    async def restart(self) -> None:
        """Stop with SIGTERM and start again."""
        await self.stop()
        await self.start()

    async def stop(self) -> int:
        """Send SIGTERM, or SIGKILL after `STOP_TIMEOUT_S`; return the exit code."""
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
        try:
            return await asyncio.wait_for(self.process.wait(), STOP_TIMEOUT_S)
        except TimeoutError:
            self.process.kill()
            return await self.process.wait()

    async def kill(self) -> None:
        """Send SIGKILL, as if the machine lost power."""
        assert self.process is not None
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()

    async def pause(self, seconds: float) -> None:
        """Suspend the process for a while, as on a machine without free resources."""
        self.signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(seconds)
        finally:
            self.signal(signal.SIGCONT)

    def cleanup(self) -> None:
        """Kill the process if it runs, and delete its folder."""
        atexit.unregister(self.cleanup)
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, signal.SIGKILL)  # works after the event loop has been closed, too
        self.temporary_folder.cleanup()
