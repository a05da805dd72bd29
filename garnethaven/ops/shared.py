"""State shared by two processes of one sidecar during an upgrade, kept only in files in `$TMPDIR`.

Any file system call may fail for a while (a full disk, an I/O error). A cordon change then applies in this
process and is written again at each poll until that succeeds; a failed read is repeated. `set_cordoned`
returns without an error only after file and folder are synced, so that neither a kill of the process nor a
crash of the machine loses the change; a kill before that leaves the previous complete file.

| file | content |
| --- | --- |
| `petrelspan-NAME.json` | the cordoned endpoints (cordons.py); replaced atomically, under the lock |
| `petrelspan-NAME.new` | the next version of that file while it is written; overwritten if a kill left it |
| `petrelspan-NAME.lock` | empty; locked during a change |
| `petrelspan-NAME-PID.life` | empty; locked as long as that process lives, however it ends |
"""

from __future__ import annotations

import contextlib
import fcntl
import os
from collections.abc import Callable, Iterator
from pathlib import Path

from garnethaven.ops.cordons import MAX_TEXT_BYTES, CordonError, Cordons
from garnethaven.ops.files import lock_with_timeout, open_locked, replace_file

LIVENESS_SUFFIX = ".life"
LOCK_WAIT_SECONDS = (
    0.05  # covers another process's write of some kilobytes; the event loop is blocked meanwhile
)
LOCK_RETRY_SECONDS = 0.002


def file_prefix(name: str) -> str:
    """The common prefix of the names of a sidecar's files; unsafe characters of `name` become `_`."""
    safe = "".join(character if character.isalnum() or character in "-_." else "_" for character in name)
    return f"petrelspan-{safe}"


def files_of_other_processes(folder: Path, prefix: str, suffix: str, separator: str = "-") -> Iterator[Path]:
    """The files `prefix-PIDsuffix` of other processes; none if the folder can't be read."""
    own_pid = str(os.getpid())
    with contextlib.suppress(OSError):
        for name in sorted(os.listdir(folder)):
            pid = name.removeprefix(prefix + separator).removesuffix(suffix)
            if name == f"{prefix}{separator}{pid}{suffix}" and pid.isdigit() and pid != own_pid:
                yield folder / name


def is_locked(path: Path) -> bool:
    """Whether the process that locked this file lives; also True if the file can't be checked now."""
    try:
        descriptor = os.open(path, os.O_RDWR | os.O_CLOEXEC)
    except FileNotFoundError:
        return False
    except OSError:
        return True
    try:
        fcntl.flock(descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB)
    except OSError:
        return True
    finally:
        os.close(descriptor)
    return False


class SharedCordons:
    """Cordons that outlive the process, and a count of the other processes of the same sidecar.

    Without a folder, cordons apply in this process only and no other process is seen.
    """

    def __init__(self, folder: str | None, name: str, log: Callable[[str], None]) -> None:
        self.cordons = Cordons(name)
        self.log = log
        self.folder = Path(folder) if folder else None
        self.prefix = file_prefix(name)
        self.liveness_descriptor: int | None = None
        self.last_text: str | None = None  # content of the cordon file when it was last read or written
        self.pending_changes: dict[str, bool] = {}  # by other processes; not yet returned to a caller
        self.logged_problems: dict[str, str] = {}  # the last line logged for each operation that now fails

    # Other processes

    def register(self) -> None:
        """Create the liveness file of this process; each poll repeats a failed attempt."""
        if self.folder is None or self.liveness_descriptor is not None:
            return
        path = self.folder / f"{self.prefix}-{os.getpid()}{LIVENESS_SUFFIX}"
        try:
            self.liveness_descriptor = open_locked(path)
        except OSError as problem:
            self._log_failure(
                "life", f"other processes don't see this one until its file is locked: {problem}"
            )
            return
        self._clear_failure("life")

    def unregister(self) -> None:
        """Remove the liveness file of this process."""
        if self.folder is not None and self.liveness_descriptor is not None:
            with contextlib.suppress(OSError):
                os.unlink(self.folder / f"{self.prefix}-{os.getpid()}{LIVENESS_SUFFIX}")
            os.close(self.liveness_descriptor)
            self.liveness_descriptor = None

    def count_other_processes(self) -> int:
        """The number of other live processes of this sidecar; removes the liveness files of dead ones."""
        if self.folder is None:
            return 0
        self.register()
        return sum(map(self._is_alive, files_of_other_processes(self.folder, self.prefix, LIVENESS_SUFFIX)))

    @staticmethod
    def _is_alive(path: Path) -> bool:
        if is_locked(path):
            return True
        with contextlib.suppress(OSError):
            os.unlink(path)
        return False

    # Cordons

    def poll_changes(self) -> list[tuple[str, bool]]:
        """Changes by other processes since the last poll: endpoint ids and whether they are now cordoned.

        Also writes the changes of this process that could not be written before.
        """
        if self.folder is None:
            return []
        try:
            self._save() if self.cordons.unsaved else self._merge()
        except OSError as problem:
            self._log_failure("bans", f"{self._path()} can't be used, the next poll retries: {problem}")
        else:
            self._clear_failure("bans")
        return self._take_changes()

    def set_cordoned(self, endpoint: str, cordoned: bool) -> list[tuple[str, bool]]:
        """Cordon or uncordon an endpoint for all processes; returns other processes' changes since then.

        Raises OSError if the change can't be saved yet: it applies in this process, and `poll_changes` tries
        again to save it. Raises CordonError, and changes nothing, if too many endpoints are cordoned.
        """
        if cordoned:
            self.cordons.cordon(endpoint)
        else:
            self.cordons.uncordon(endpoint)
        self.pending_changes.pop(endpoint, None)  # an older change by another process
        self._save()
        return self._take_changes()

    def _take_changes(self) -> list[tuple[str, bool]]:
        changes = list(self.pending_changes.items())
        self.pending_changes.clear()
        return changes

    def _path(self) -> Path:
        assert self.folder is not None
        return self.folder / f"{self.prefix}.json"

    def _merge(self) -> None:
        """Merge what other processes have written since the last read; raises OSError if it can't be read.

        Changes are detected by comparing the text itself: inodes are reused, and file times follow a clock
        that may be set back.
        """
        try:
            with open(self._path(), encoding="utf-8", errors="replace") as file:
                text = file.read(MAX_TEXT_BYTES + 1)
        except FileNotFoundError:
            return
        if text == self.last_text:
            return
        self.last_text = text
        try:
            self.pending_changes |= self.cordons.merge(text)
        except CordonError as problem:
            self.log(f"{self._path()} is ignored: {problem}")

    def _save(self) -> None:
        """Write this process's changes merged with those of others; raises OSError."""
        if self.folder is None:
            self.cordons.mark_saved()
            return
        with self._locked():
            self._merge()  # if that raises, nothing is written: a write would undo other processes' changes
            self._remove_leftovers()
            text = self.cordons.serialize()
            replace_file(self._path(), self.folder / f"{self.prefix}.new", text.encode())
        self.last_text = text
        self.cordons.mark_saved()

    def _remove_leftovers(self) -> None:
        """Remove incomplete files that earlier versions left; the caller must hold the lock."""
        assert self.folder is not None
        for path in files_of_other_processes(self.folder, self.prefix, ".new", separator="."):
            with contextlib.suppress(OSError):
                path.unlink()

    @contextlib.contextmanager
    def _locked(self) -> Iterator[None]:
        assert self.folder is not None
        path = self.folder / f"{self.prefix}.lock"
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            lock_with_timeout(descriptor)
            yield
        finally:
            os.close(descriptor)

    # Logging

    def _log_failure(self, operation: str, line: str) -> None:
        """Log a failure once, however often the same one repeats."""
        if self.logged_problems.get(operation) != line:
            self.logged_problems[operation] = line
            self.log(line)

    def _clear_failure(self, operation: str) -> None:
        self.logged_problems.pop(operation, None)
