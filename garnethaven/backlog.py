"""Closes a listening socket without resetting connected clients.

The kernel completes handshakes on its own. When a listening socket is closed, the connections in its backlog
are reset, although their clients may have sent requests already. Closing therefore has two steps: stop new
handshakes (`stop_arrivals`), then accept and answer the connections in the backlog before closing the socket
(`backlog_length` returns their number, `wait_until_empty` waits until the owner has accepted them).

Theory. A socket filter on a listening socket sees each segment for that socket. A filter that drops only
initial segments (SYN without ACK) lets pending handshakes complete and prevents new ones. A client whose
initial segment is dropped retransmits it after one second and reaches the next process or is refused, in both
cases before it has sent a request. On systems without such filters a backlog of length 0 is used, which
still leaves room for one connection.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import struct
import time
from array import array

SO_ATTACH_FILTER = 26  # Linux; the socket module defines neither of the two
SO_ATTACH_REUSEPORT_CBPF = 51
TCP_LISTEN_STATE = 10  # tcpi_state, the first byte of TCP_INFO
TCP_INFO_FORMAT = "=8B5I"  # up to tcpi_unacked, which is the backlog length of a listening socket
TCP_FLAGS_OFFSET, SYN, SYN_ACK_MASK = 13, 0x02, 0x12
DROP_SYN_FILTER = (
    (0x30, 0, 0, TCP_FLAGS_OFFSET),  # load the TCP flags
    (0x54, 0, 0, SYN_ACK_MASK),  # mask with SYN | ACK
    (0x15, 0, 1, SYN),  # SYN only?
    (0x06, 0, 0, 0),  # drop
    (0x06, 0, 0, 0xFFFFFFFF),  # accept the whole segment
)
# Sockets that listen at one address are indexed from 0, in the order in which they started to listen.
SELECT_SECOND_SOCKET = ((0x06, 0, 0, 1),)
POLL_INTERVAL_S = 0.005  # between two checks of a backlog; also time for pending handshakes to complete
MAX_EMPTYING_S = 1.0  # limit for a server that no longer accepts connections


def stop_arrivals(sock: socket.socket) -> None:
    """Prevent new connections at this listening socket; connections in the backlog stay."""
    try:
        _attach(sock, SO_ATTACH_FILTER, DROP_SYN_FILTER)
    except OSError:
        sock.listen(0)


def prefer_newer_listener(sock: socket.socket) -> bool:
    """Direct new connections to the process that started to listen at this address after this one.

    Without such a process the kernel selects sockets as before. Returns False if the system does not support
    the selection: some clients then wait one second for the other process after `stop_arrivals`.
    """
    try:
        _attach(sock, SO_ATTACH_REUSEPORT_CBPF, SELECT_SECOND_SOCKET)
    except OSError:
        return False
    return True


def _attach(sock: socket.socket, option: int, instructions: tuple[tuple[int, int, int, int], ...]) -> None:
    """Attach a classic BPF program to the socket."""
    code = b"".join(struct.pack("=HBBI", *instruction) for instruction in instructions)
    buffer = array("B", code)
    address, _ = buffer.buffer_info()
    program = struct.pack("@HP", len(instructions), address)
    sock.setsockopt(socket.SOL_SOCKET, option, program)


def backlog_length(sock: socket.socket) -> int:
    """The number of connections waiting to be accepted; 0 if the system does not report it."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, struct.calcsize(TCP_INFO_FORMAT))
        values = struct.unpack(TCP_INFO_FORMAT, info)
    except (AttributeError, OSError, struct.error):
        return 0
    return int(values[-1]) if values[0] == TCP_LISTEN_STATE else 0


async def wait_until_empty(socks: list[socket.socket]) -> None:
    """Prevent new connections at these sockets and wait, up to `MAX_EMPTYING_S`, for empty backlogs."""
    for sock in socks:
        stop_arrivals(sock)
    deadline = time.monotonic() + MAX_EMPTYING_S
    empty_checks = 0  # consecutive checks: a handshake may complete between two of them
    while empty_checks < 2 and time.monotonic() < deadline:
        await asyncio.sleep(POLL_INTERVAL_S)
        empty_checks = 0 if any(map(backlog_length, socks)) else empty_checks + 1


async def drain_duplicates(duplicates: list[socket.socket]) -> None:
    """`wait_until_empty` for duplicated sockets, which are then closed; the original sockets stay open."""
    await wait_until_empty(duplicates)
    for sock in duplicates:
        sock.close()


def duplicate(descriptor: int) -> socket.socket:
    """A duplicate of a socket that a library owns; closing it leaves the original open."""
    return socket.socket(fileno=os.dup(descriptor))


def duplicate_listening_sockets(port: int) -> list[socket.socket]:
    """Duplicates of this process's listening sockets at a port, found through /proc; empty without /proc.

    For servers of a library that does not expose its sockets.
    """
    found: list[socket.socket] = []
    try:
        descriptors = [int(name) for name in os.listdir("/proc/self/fd")]
    except OSError:
        return found
    for descriptor in descriptors:
        with contextlib.suppress(OSError):
            sock = duplicate(descriptor)
            if _listens_at(sock, port):
                found.append(sock)
            else:
                sock.close()
    return found


def _listens_at(sock: socket.socket, port: int) -> bool:
    if sock.family not in (socket.AF_INET, socket.AF_INET6) or sock.type != socket.SOCK_STREAM:
        return False
    accepts = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    return bool(accepts) and int(sock.getsockname()[1]) == port
