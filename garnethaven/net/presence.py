"""What the kernel knows of a connection's other side before the loop does, and how a close looks there."""

from __future__ import annotations

import fcntl
import socket
import struct
import termios

CLOSE_WAIT = 8  # tcpi_state, the first byte of TCP_INFO
NO_LINGER = struct.pack("ii", 1, 0)
COUNT = struct.Struct("i")


def has_unread(sock: socket.socket) -> bool:
    """Whether something waits to be read: bytes, an end or an error."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        pass
    return True


def has_unread_bytes(sock: socket.socket) -> bool:
    """Whether bytes wait to be read, not only an end or an error."""
    try:
        return bool(sock.recv(1, socket.MSG_PEEK))
    except OSError:
        return False


def unacknowledged_bytes(sock: socket.socket) -> int | None:
    """Written bytes that the other side's system has not acknowledged; None where this one doesn't tell."""
    try:
        told = fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(COUNT.size))
    except (OSError, ValueError):
        return None
    (count,) = COUNT.unpack(told)
    return int(count)


def has_ended_writing(sock: socket.socket) -> bool:
    """Whether the other side has ended its writing, also where nobody has read that; OSError at a reset."""
    try:
        return not sock.recv(1, socket.MSG_PEEK) or end_has_come(sock)
    except BlockingIOError:
        return False


def end_has_come(sock: socket.socket) -> bool:
    """Whether the other side has ended its writing, also where bytes that wait to be read hide it.

    False where the system does not tell.
    """
    try:
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == CLOSE_WAIT
    except (AttributeError, OSError, IndexError):
        return False


def is_reset(sock: socket.socket) -> bool:
    """Whether an error waits, which this call takes away: the caller ends the connection."""
    return bool(sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))


def reset_at_close(sock: socket.socket) -> None:
    """Let the close be a reset, which no client takes for the end of an answer."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
