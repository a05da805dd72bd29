"""The state files of one program; reads, writes and locks only.

| file | content |
| --- | --- |
| `petrelspan-NAME.state` | the last snapshot (sealed.py); replaced atomically by a rename |
| `petrelspan-NAME-PID.keyed` | that process's table of keyed requests (keyed.py), memory-mapped |
"""

from __future__ import annotations

import contextlib
import fcntl
import mmap
import os
import time
from collections.abc import Iterator
from pathlib import Path

from garnethaven.ops.shared import file_prefix, files_of_other_processes, is_locked
from garnethaven.state.ageing import Timestamp

MAX_TABLE_BYTES = 64 * 1024 * 1024  # read at most; the settings allow far smaller tables
TABLE_SUFFIX = ".keyed"
BOOT_ID_PATH = "/proc/sys/kernel/random/boot_id"


def current_timestamp() -> Timestamp:
    try:
        boot_id = Path(BOOT_ID_PATH).read_text(encoding="ascii").strip()
    except (OSError, ValueError):
        boot_id = ""  # differs from every real boot id, so that the wall clock is used
    return Timestamp(boot_id, boottime(), time.time_ns())


def boottime() -> int:
    """Nanoseconds since the machine's boot, sleep included."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


class StateFiles:
    """The state files of one program in an existing folder; methods raise OSError if a call fails."""

    def __init__(self, folder: str, name: str) -> None:
        self.folder = Path(folder)
        self.prefix = file_prefix(name)
        self.path = self.folder / f"{self.prefix}.state"
        self.table_descriptor: int | None = None  # holds the lock of this process's table

    def read(self, max_bytes: int) -> bytes | None:
        """The last snapshot, or None if there is none; raises OSError also if it exceeds `max_bytes`."""
        try:
            with self.path.open("rb") as file:
                if os.fstat(file.fileno()).st_size > max_bytes:
                    raise OSError(f"it is longer than {max_bytes} bytes")
                return file.read(max_bytes)
        except FileNotFoundError:
            return None

    def write(self, data: bytes) -> None:
        temporary = self.folder / f"{self.prefix}-{os.getpid()}.new"
        try:
            temporary.write_bytes(data)
            os.replace(temporary, self.path)
        except OSError:
            with contextlib.suppress(OSError):
                temporary.unlink()
            raise

    def create_table(self, size: int) -> memoryview:
        """A new mapped file of this process; its space is reserved now, for the disk may fill up later."""
        path = self.folder / f"{self.prefix}-{os.getpid()}{TABLE_SUFFIX}"
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)  # until this process ends, however it does
            os.posix_fallocate(descriptor, 0, size)
            mapped = memoryview(mmap.mmap(descriptor, size))
        except OSError:
            os.close(descriptor)
            with contextlib.suppress(OSError):
                path.unlink()
            raise
        self.table_descriptor = descriptor
        return mapped

    def other_tables(self) -> Iterator[tuple[Path, memoryview, bool]]:
        """The tables of other processes of this program, and whether each process is alive."""
        for path in files_of_other_processes(self.folder, self.prefix, TABLE_SUFFIX):
            is_alive = is_locked(path)
            with contextlib.suppress(OSError, ValueError), path.open("rb") as file:
                size = min(os.fstat(file.fileno()).st_size, MAX_TABLE_BYTES)
                yield path, memoryview(mmap.mmap(file.fileno(), size, access=mmap.ACCESS_READ)), is_alive

    def remove(self, path: Path) -> None:
        with contextlib.suppress(OSError):
            path.unlink()

    def unlock(self) -> None:
        """Show other processes that this one has ended; its table stays for the next process."""
        if self.table_descriptor is not None:
            os.close(self.table_descriptor)
            self.table_descriptor = None
