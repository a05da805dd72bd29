"""Fault injection into the real program by an interposer in C: failing system calls and wall-clock steps.

`python -m standins.failing_calls` builds the interposer (a step of `.ci/run`). Only the program gets its
environment variables.
"""

from __future__ import annotations

import struct
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path

SOURCE = Path(__file__).with_suffix(".c")
LIBRARY = Path(sys.prefix) / "lib" / "failing_calls.so"
MAX_RULES = 16  # equals MAX_RULES in failing_calls.c
COUNTER = struct.Struct("Q")


def build() -> Path:
    """Compile the interposer if its source is newer; raises CalledProcessError or OSError."""
    if not LIBRARY.is_file() or LIBRARY.stat().st_mtime < SOURCE.stat().st_mtime:
        command = ["cc", "-O2", "-Wall", "-shared", "-fPIC", "-o", str(LIBRARY), str(SOURCE), "-ldl"]
        subprocess.run(command, check=True)
    return LIBRARY


@dataclass(frozen=True)
class FailingCall:
    """A rule: a share of the uses of `call` fails with errno `error`, from `from_s` to `to_s` after start.

    `call` is accept, connect, socket, read or write; `error` 0 makes a read or write short.
    """

    call: str
    error: int
    from_s: float
    to_s: float
    share: float = 1.0

    def text(self) -> str:
        times = f"{int(self.from_s * 1000)}:{int(self.to_s * 1000)}"
        return f"{self.call}:{self.error}:{times}:{int(self.share * 1000)}"


@dataclass(frozen=True)
class FaultPlan:
    """The faults of one program. `steps` are wall-clock steps: (seconds after the start, step in seconds).

    `send_buffer_bytes` and `segment_bytes` are those of the connections that the program opens; 0: the
    kernel's choice.
    """

    folder: Path
    calls: list[FailingCall] = field(default_factory=list)
    steps: list[tuple[float, int]] = field(default_factory=list)
    seed: int = 1
    send_buffer_bytes: int = 0
    segment_bytes: int = 0

    def environment(self) -> dict[str, str]:
        return {
            "LD_PRELOAD": str(build()),
            "FAILING_CALLS": ";".join(call.text() for call in self.calls),
            "CLOCK_STEPS": ";".join(f"{int(at_s * 1000)}:{step_s}" for at_s, step_s in self.steps),
            "FAILING_SEED": str(self.seed),
            "FAILING_COUNTS": str(self.folder / "counts"),
            "SEND_BUFFER": str(self.send_buffer_bytes),
            "SEGMENT": str(self.segment_bytes),
        }

    def injected(self) -> list[int]:
        """How often each rule was applied, followed by how often the stepped clock was read."""
        data = (self.folder / "counts").read_bytes()
        counts = [number for (number,) in COUNTER.iter_unpack(data)]
        return [*counts[: len(self.calls)], counts[MAX_RULES]]


if __name__ == "__main__":
    print(build())
