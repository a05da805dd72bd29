"""Which failures of a connect are local to this machine and not the server's. No I/O.

They usually pass within moments, so the connect is retried after a short pause.

| errno | cause |
| --- | --- |
| EMFILE, ENFILE, ENOBUFS, ENOMEM, EAGAIN | this process or machine is out of descriptors or memory |
| EADDRNOTAVAIL, EADDRINUSE | no local port is free |
| EINTR | a signal was received |
| ENETUNREACH, ENETDOWN, EPERM, EACCES | no route at present, on this machine or on the path |

The last row may concern the path to one server only. It is retried like the others; a failure that persists
counts against the server, so that others are preferred.
"""

from __future__ import annotations

import errno

OUT_OF_RESOURCES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
LOCAL_SHORTAGE = OUT_OF_RESOURCES | {errno.EAGAIN, errno.EADDRNOTAVAIL, errno.EADDRINUSE, errno.EINTR}
NO_ROUTE = frozenset({errno.ENETUNREACH, errno.ENETDOWN, errno.EPERM, errno.EACCES})

FIRST_PAUSE_SECONDS = 0.01  # before the first retry; doubled for each further one
MAX_PAUSE_SECONDS = 0.08


def is_local_failure(problem: OSError) -> bool:
    """Whether a connect that failed with `problem` should be retried."""
    return problem.errno in LOCAL_SHORTAGE or problem.errno in NO_ROUTE


def counts_against_server(problem: OSError) -> bool:
    """Whether `problem` counts against the server if it persists."""
    return problem.errno not in LOCAL_SHORTAGE


def next_pause(pause_s: float) -> float:
    """The pause that follows a pause of `pause_s` seconds."""
    return min(2 * pause_s, MAX_PAUSE_SECONDS)
