"""Lines for standard error, which may be closed, on a full disk, or a pipe that nobody reads.

None of that may cost a request: a line that can't be written now is dropped.
"""

from __future__ import annotations

import select
import sys
from io import UnsupportedOperation

MAX_LINE_BYTES = 4096  # a pipe that is ready takes so many (PIPE_BUF) without a wait


def write_line(text: str) -> bool:
    """Write one line, cut to `MAX_LINE_BYTES`; whether it was written. Neither raises nor waits."""
    line = text.encode(errors="replace")[: MAX_LINE_BYTES - 1].decode(errors="ignore")
    try:
        if not _is_ready():
            return False
        print(line, file=sys.stderr, flush=True)
    except (OSError, ValueError):  # ValueError: it is closed
        return False
    return True


def _is_ready() -> bool:
    """Whether standard error takes bytes without a wait; raises OSError or ValueError where it takes none."""
    try:
        descriptor = sys.stderr.fileno()
    except (AttributeError, UnsupportedOperation):  # it is None, or no file
        return sys.stderr is not None
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)
    return any(events & select.POLLOUT for _, events in poll.poll(0))
