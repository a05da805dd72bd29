"""What this machine's kernel knows of a socket before the event loop of the stand-ins has read it.

The stand-ins of a rig share one process. Where it was held up, their own clock readings come late.
"""

from __future__ import annotations

import socket
import struct
import time

TCP_CLOSE, TCP_CLOSE_WAIT = 7, 8  # tcpi_state: reset, or closed by the peer
LAST_RECEIVED = struct.Struct("=52xI")  # TCP_INFO up to tcpi_last_data_recv, in milliseconds
RESOLUTION_S = 0.02  # an age below this may be rounding


def peer_has_closed(sock: socket.socket) -> bool:
    """Whether the peer has closed the connection, read or not."""
    try:
        state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    except OSError:
        return True  # closed on this side, after an error
    return state in (TCP_CLOSE, TCP_CLOSE_WAIT)


def last_bytes_at(sock: socket.socket) -> float:
    """When the newest bytes reached this side's kernel (monotonic seconds); now, if that can't be told."""
    now = time.monotonic()
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_RECEIVED.size)
        (age_ms,) = LAST_RECEIVED.unpack(info)
    except (OSError, struct.error):
        return now
    age_s: float = age_ms / 1000
    return now if age_s < RESOLUTION_S else now - age_s
