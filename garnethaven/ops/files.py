"""Files of processes that share a folder: replaced as a whole, and locked by the living.

Every function raises OSError where a call of the file system fails.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import time
from pathlib import Path

LOCK_WAIT_SECONDS = 0.05  # for another process's write; the event loop stands still meanwhile
LOCK_PAUSE_SECONDS = 0.002


def sync_folder(folder: Path) -> None:
    """Have the names in a folder outlive a loss of the machine; raises OSError."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path: Path, aside: Path, content: bytes) -> None:
    """Put `content` in the place of a file, as a whole or not at all, and have it outlive the machine.

    It is written to `aside` first, which must be in the same folder. Raises OSError; the old file is still
    there then, or, where only the sync of the folder failed, the new one.
    """
    try:
        with open(aside, "wb") as file:
            file.write(content)
            file.flush()
            os.fsync(file.fileno())
        os.replace(aside, path)
    except OSError:
        with contextlib.suppress(OSError):
            aside.unlink()  # it may be what fills the disk
        raise
    sync_folder(path.parent)


def lock_soon(descriptor: int) -> None:
    """Lock a file that others lock for moments only; raises BlockingIOError where one holds it for longer.

    A process that was stopped while it held the lock must not stop this one too.
    """
    until = time.monotonic() + LOCK_WAIT_SECONDS
    while True:
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            return
        except BlockingIOError:
            if time.monotonic() >= until:
                raise
        time.sleep(LOCK_PAUSE_SECONDS)


def locked_file(path: Path) -> int:
    """The descriptor of a file that is locked for as long as this process lives; raises OSError.

    Another process may look at it between its making and its locking, and take it away as a dead one's.
    """
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        if os.fstat(descriptor).st_nlink == 0:
            raise FileNotFoundError(f"{path} was taken away before it was locked")
    except OSError:
        os.close(descriptor)
        raise
    return descriptor
