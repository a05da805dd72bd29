"""What two processes of one sidecar share while a new version takes over: files in `$TMPDIR`, nothing else.

Any call of the file system may fail for a while (a full disk, an I/O error). A change by hand then stands in
this process and is written again at each look until it is kept; what can't be read is read again. `change`
has returned without an error only once file and folder are synced, so that neither a kill of the process nor
a loss of the machine forgets it; a kill before that leaves the last whole file.

| file | holds |
| --- | --- |
| `petrelspan-NAME.json` | who is out by hand (cordons.py); replaced as a whole, under the lock |
| `petrelspan-NAME.new` | the next of these while it is written; replaced too where a kill left it |
| `petrelspan-NAME.lock` | nothing; locked for a change |
| `petrelspan-NAME-PID.life` | nothing; locked for as long as that process lives, however it ends |
"""

from __future__ import annotations

import contextlib
import fcntl
import os
from collections.abc import Callable, Iterator
from pathlib import Path

from garnethaven.ops.cordons import MAX_TEXT_BYTES, CordonError, Cordons
from garnethaven.ops.files import lock_soon, locked_file, replace_file

LIFE = ".life"
LOCK_WAIT_SECONDS = (
    0.05  # for another process's write of some kilobytes; the event loop stands still meanwhile
)
LOCK_PAUSE_SECONDS = 0.002


def prefix_of(name: str) -> str:
    """What the names of a sidecar's files begin with."""
    safe = "".join(sign if sign.isalnum() or sign in "-_." else "_" for sign in name)
    return f"petrelspan-{safe}"


def files_of_others(folder: Path, prefix: str, ending: str, separator: str = "-") -> Iterator[Path]:
    """The files `prefix-PIDending` of other processes; none where the folder can't be read."""
    own = str(os.getpid())
    with contextlib.suppress(OSError):
        for name in sorted(os.listdir(folder)):
            middle = name.removeprefix(prefix + separator).removesuffix(ending)
            if name == f"{prefix}{separator}{middle}{ending}" and middle.isdigit() and middle != own:
                yield folder / name


def is_held(path: Path) -> bool:
    """Whether the process that locked this file lives; True also where that can't be told just now."""
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


class Shared:
    """Cordons that outlive the process, and who else serves under this name.

    Without a folder all of it holds in this process alone.
    """

    def __init__(self, folder: str | None, name: str, log: Callable[[str], None]) -> None:
        self.cordons = Cordons(name)
        self.log = log
        self.folder = Path(folder) if folder else None
        self.prefix = prefix_of(name)
        self.life: int | None = None
        self.last_text: str | None = None  # of the file, as it was read or written last
        self.changes: dict[str, bool] = {}  # by others, that no caller of this object has been told of yet
        self.problems: dict[str, str] = {}  # by what fails just now: the last line that was logged of it

    # Who else serves

    def enter(self) -> None:
        """Let others of this name know that this process lives; tried again at each look where it fails."""
        if self.folder is None or self.life is not None:
            return
        path = self.folder / f"{self.prefix}-{os.getpid()}{LIFE}"
        try:
            self.life = locked_file(path)
        except OSError as problem:
            self._fails("life", f"other processes can't see this one: {problem}")
            return
        self._works("life")

    def leave(self) -> None:
        if self.folder is not None and self.life is not None:
            with contextlib.suppress(OSError):
                os.unlink(self.folder / f"{self.prefix}-{os.getpid()}{LIFE}")
            os.close(self.life)
            self.life = None

    def others(self) -> int:
        """How many other processes serve under this name; what dead ones left is taken away."""
        if self.folder is None:
            return 0
        self.enter()
        return sum(map(self._lives, files_of_others(self.folder, self.prefix, LIFE)))

    @staticmethod
    def _lives(path: Path) -> bool:
        if is_held(path):
            return True
        with contextlib.suppress(OSError):
            os.unlink(path)
        return False

    # Cordons

    def news(self) -> list[tuple[str, bool]]:
        """What another process has changed since the last look: ids and whether they are out.

        Also writes the own changes that could not be written before.
        """
        if self.folder is None:
            return []
        try:
            self._save() if self.cordons.unsaved else self._merge()
        except OSError as problem:
            self._fails("bans", f"{self._path()} can't be used now: {problem}")
        else:
            self._works("bans")
        return self._take_changes()

    def change(self, endpoint: str, out: bool) -> list[tuple[str, bool]]:
        """Take an endpoint out or put it back, for all processes; what else has changed meanwhile.

        Raises OSError where it can't be kept yet: it holds in this process all the same, and `news` tries to
        keep it. Raises CordonError, and changes nothing, where too many are out.
        """
        if out:
            self.cordons.cordon(endpoint)
        else:
            self.cordons.uncordon(endpoint)
        self.changes.pop(endpoint, None)  # an older one of another process
        self._save()
        return self._take_changes()

    def _take_changes(self) -> list[tuple[str, bool]]:
        found = list(self.changes.items())
        self.changes.clear()
        return found

    def _path(self) -> Path:
        assert self.folder is not None
        return self.folder / f"{self.prefix}.json"

    def _merge(self) -> None:
        """Note what others have written since the last look; raises OSError where it can't be read.

        By the text itself: inodes are used again and file times follow a clock that may be set back.
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
            self.changes |= self.cordons.read(text)
        except CordonError as problem:
            self.log(f"{self._path()} is left alone: {problem}")

    def _save(self) -> None:
        """Write the own changes together with those of others; raises OSError."""
        if self.folder is None:
            self.cordons.saved()
            return
        with self._locked():
            self._merge()  # where that fails nothing is written: it would undo what others have changed
            self._remove_leftovers()
            text = self.cordons.text()
            replace_file(self._path(), self.folder / f"{self.prefix}.new", text.encode())
        self.last_text = text
        self.cordons.saved()

    def _remove_leftovers(self) -> None:
        """Remove what earlier versions left half written; only for the holder of the lock."""
        assert self.folder is not None
        for path in files_of_others(self.folder, self.prefix, ".new", separator="."):
            with contextlib.suppress(OSError):
                path.unlink()

    @contextlib.contextmanager
    def _locked(self) -> Iterator[None]:
        assert self.folder is not None
        path = self.folder / f"{self.prefix}.lock"
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            lock_soon(descriptor)
            yield
        finally:
            os.close(descriptor)

    # The log

    def _fails(self, what: str, line: str) -> None:
        """One line for a problem that lasts."""
        if self.problems.get(what) != line:
            self.problems[what] = line
            self.log(line)

    def _works(self, what: str) -> None:
        self.problems.pop(what, None)
