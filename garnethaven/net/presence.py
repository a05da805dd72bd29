"""Queries of a socket's state in the kernel, ahead of the event loop, and the close with a reset."""

from __future__ import annotations

import contextlib
import fcntl
import select
import socket
import struct
import termios

CLOSE, CLOSE_WAIT = 7, 8  # tcpi_state, the first byte of TCP_INFO
NO_LINGER = struct.pack("ii", 1, 0)  # SO_LINGER on, for 0 seconds
COUNT = struct.Struct("i")
MIN_WAIT_MS = 20  # in the kernel; bytes that waited less arrived just now
NS_PER_MS = 1_000_000
MS_PER_S = 1_000
LAST_RECEIVED = struct.Struct("=52xI")  # TCP_INFO up to tcpi_last_data_recv, in milliseconds
LAST_ACKNOWLEDGED = struct.Struct("=56xI")  # TCP_INFO up to tcpi_last_ack_recv, in milliseconds


def has_unread(sock: socket.socket) -> bool:
    """Whether a read would return at once: with bytes, the end of the stream or an error.

    Leaves a pending error to the next read. A read with MSG_PEEK would clear it, and the read after that
    would find an orderly end of the stream.
    """
    if sock.fileno() < 0:
        return True
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(0))


def has_unread_bytes(sock: socket.socket) -> bool:
    """Whether bytes can be read, not only the end of the stream or an error.

    May clear a pending error, so the caller must close the connection.
    """
    try:
        return bool(sock.recv(1, socket.MSG_PEEK))
    except OSError:
        return False


def unacknowledged_bytes(sock: socket.socket) -> int | None:
    """Sent bytes that the peer's kernel has not acknowledged; None if this system can't report them."""
    return _queued_bytes(sock, termios.TIOCOUTQ)


def _queued_bytes(sock: socket.socket, request: int) -> int | None:
    try:
        queued = fcntl.ioctl(sock, request, bytes(COUNT.size))
    except (OSError, ValueError):
        return None
    (count,) = COUNT.unpack(queued)
    return int(count)


def unread_bytes(sock: socket.socket) -> int:
    """Received bytes that have not been read; 0 if this system can't report them."""
    return _queued_bytes(sock, termios.FIONREAD) or 0


def late_arrival(sock: socket.socket, now: int) -> int | None:
    """When bytes last arrived in this side's kernel, read or not (monotonic nanoseconds); None: just now.

    None also on systems without TCP_INFO.
    """
    age_ms = _read_age_ms(sock, LAST_RECEIVED)
    return None if age_ms is None or age_ms < MIN_WAIT_MS else now - age_ms * NS_PER_MS


def since_acknowledgement_s(sock: socket.socket) -> float | None:
    """Seconds since the peer's kernel last acknowledged anything; None on systems without TCP_INFO."""
    age_ms = _read_age_ms(sock, LAST_ACKNOWLEDGED)
    return None if age_ms is None else age_ms / MS_PER_S


def _read_age_ms(sock: socket.socket, field: struct.Struct) -> int | None:
    """Read the last field of a part of TCP_INFO; None on systems without it."""
    try:
        (age_ms,) = field.unpack(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, field.size))
    except (AttributeError, OSError, struct.error):
        return None
    return int(age_ms)


def has_ended_writing(sock: socket.socket) -> bool:
    """Whether the peer has sent its FIN, even when that has not been read.

    Raises OSError after a reset, which it clears: the caller must then close the connection.
    """
    try:
        return not sock.recv(1, socket.MSG_PEEK) or has_received_end(sock)
    except BlockingIOError:
        return False


def has_received_end(sock: socket.socket) -> bool:
    """Whether the peer has sent its FIN or a reset, even behind unread bytes.

    False on systems without TCP_INFO.
    """
    try:
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] in (CLOSE, CLOSE_WAIT)
    except (AttributeError, OSError, IndexError):
        return False


def is_reset(sock: socket.socket) -> bool:
    """Whether the socket has a pending error. The call clears it, so the caller must close the connection."""
    return bool(sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))


def end_writing(sock: socket.socket) -> None:
    """Send the end of the stream at once; nothing may be left to be written.

    A transport's `close`, and uvloop's `write_eof`, send it in the next turn of the event loop, and a request
    that arrives before would be lost.
    """
    with contextlib.suppress(OSError):  # the client has ended the connection
        sock.shutdown(socket.SHUT_WR)


def reset_at_close(sock: socket.socket) -> None:
    """Make the close of this socket send a reset, which no client takes for the end of an answer."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
