"""Which failures of a connect are this machine's own, and say nothing of the server. No I/O.

They pass, as a rule within moments: a new try after a short rest costs nobody anything.

| errno | what it tells |
| --- | --- |
| EMFILE, ENFILE, ENOBUFS, ENOMEM, EAGAIN | this process or machine has no room |
| EADDRNOTAVAIL, EADDRINUSE | no local port is free just now |
| EINTR | a signal came |
| ENETUNREACH, ENETDOWN, EPERM, EACCES | no way there just now, here or on the path |

The last row may be the path to one server alone. It is waited out like the others; where it lasts it counts
against the server, so that others are preferred.
"""

from __future__ import annotations

import errno

OUT_OF_RESOURCES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
NO_ROOM = OUT_OF_RESOURCES | {errno.EAGAIN, errno.EADDRNOTAVAIL, errno.EADDRINUSE, errno.EINTR}
NO_PATH = frozenset({errno.ENETUNREACH, errno.ENETDOWN, errno.EPERM, errno.EACCES})

FIRST_PAUSE_SECONDS = 0.01  # before the next try; doubled each time
MAX_PAUSE_SECONDS = 0.08


def is_own(problem: OSError) -> bool:
    """Whether a connect that failed like this is worth another try."""
    return problem.errno in NO_ROOM or problem.errno in NO_PATH


def blames_server(problem: OSError) -> bool:
    """Whether a failure that lasts counts against the server."""
    return problem.errno not in NO_ROOM


def next_pause(pause_s: float) -> float:
    """The pause after one of `pause_s` seconds."""
    return min(2 * pause_s, MAX_PAUSE_SECONDS)
