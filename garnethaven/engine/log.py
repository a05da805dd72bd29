"""Non-blocking log lines on standard error, which may be closed, on a full disk, or a pipe without a reader.

None of these may affect a request, so a line that cannot be written immediately is dropped.
"""

from __future__ import annotations

import select
import sys
from io import UnsupportedOperation

MAX_LINE_BYTES = 4096  # PIPE_BUF: a writable pipe takes this many bytes without blocking


def write_line(text: str) -> bool:
    """Write one line, truncated to `MAX_LINE_BYTES`; return True if written. Never raises, never blocks."""
    line = text.encode(errors="replace")[: MAX_LINE_BYTES - 1].decode(errors="ignore")
    try:
        if not _is_ready():
            return False
        print(line, file=sys.stderr, flush=True)
    except (OSError, ValueError):  # ValueError: the stream is closed
        return False
    return True


def _is_ready() -> bool:
    """Whether standard error accepts bytes without blocking; raises OSError or ValueError if unusable."""
    try:
        descriptor = sys.stderr.fileno()
    except (AttributeError, UnsupportedOperation):  # stderr is None or not backed by a file descriptor
        return sys.stderr is not None
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)
    return any(events & select.POLLOUT for _, events in poll.poll(0))
