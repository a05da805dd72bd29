"""Files in a folder that several processes use: atomic replacement and locks that end with their process.

Every function raises OSError if a file system call fails.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import time
from pathlib import Path

LOCK_WAIT_SECONDS = 0.05  # covers another process's write; the event loop is blocked meanwhile
LOCK_RETRY_SECONDS = 0.002


def sync_folder(folder: Path) -> None:
    """Sync a folder, so that its entries survive a crash of the machine; raises OSError."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path: Path, temporary: Path, content: bytes) -> None:
    """Atomically replace the file at `path` with `content`, durably.

    The content is first written to `temporary`, which must be in the same folder. If OSError is raised, the
    old file is still in place, or the new one if only the sync of the folder failed.
    """
    try:
        with open(temporary, "wb") as file:
            file.write(content)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, path)
    except OSError:
        with contextlib.suppress(OSError):
            temporary.unlink()  # the temporary file itself may have filled the disk
        raise
    sync_folder(path.parent)


def lock_with_timeout(descriptor: int) -> None:
    """Lock a file exclusively; raises BlockingIOError if it stays locked for `LOCK_WAIT_SECONDS`.

    Other processes hold the lock only briefly; the timeout keeps a process that was stopped while it held the
    lock from blocking this one.
    """
    deadline = time.monotonic() + LOCK_WAIT_SECONDS
    while True:
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            return
        except BlockingIOError:
            if time.monotonic() >= deadline:
                raise
        time.sleep(LOCK_RETRY_SECONDS)


def open_locked(path: Path) -> int:
    """Create a file, lock it for the lifetime of this process and return its descriptor; raises OSError.

    Between the creation and the lock, another process may take the file for one of a dead process and remove
    it; that raises FileNotFoundError.
    """
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        if os.fstat(descriptor).st_nlink == 0:
            raise FileNotFoundError(f"{path} was removed before it was locked")
    except OSError:
        os.close(descriptor)
        raise
    return descriptor
