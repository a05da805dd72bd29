"""Closing a listening socket without a reset for anybody who has connected to it.

The kernel completes handshakes on its own: what waits in the backlog when a listening socket is closed is
reset, with requests that its clients have written already. So the end has two steps: no further handshake
is begun (`stop_arrivals`), and what has arrived is accepted and answered before the socket is closed
(`waiting` tells how many are left, `emptied` waits for whoever accepts them).

Theory. The filter of a listening socket sees each segment that is meant for it. One that drops first
segments (SYN without ACK) and nothing else lets handshakes under way end and begins no new one; a client
whose first segment is dropped sends it again after a second, and meets the next life of this program or a
refusal, both before it has sent a request. Where the system has no such filter, a backlog of length 0
leaves room for a single connection.
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import os
import socket
import struct
import time

SO_ATTACH_FILTER = 26  # Linux; the socket module does not name it, nor the next
SO_ATTACH_REUSEPORT_CBPF = 51
LISTENING = 10  # tcpi_state, the first byte of TCP_INFO
INFO_FORMAT = "=8B5I"  # as far as tcpi_unacked: of a listening socket the length of its backlog
FLAGS_AT, SYN, SYN_OR_ACK = 13, 0x02, 0x12
FIRST_DROPPED = (
    (0x30, 0, 0, FLAGS_AT),  # load the byte of the flags
    (0x54, 0, 0, SYN_OR_ACK),  # and
    (0x15, 0, 1, SYN),  # alone?
    (0x06, 0, 0, 0),  # drop
    (0x06, 0, 0, 0xFFFFFFFF),  # keep all of it
)
# Of the sockets that listen at one address the first is the one that has listened for longest.
SECOND_CHOSEN = ((0x06, 0, 0, 1),)
LOOK_S = 0.005  # between two looks at a backlog, and time for handshakes under way to end
EMPTY_MOST_S = 1.0  # a server that accepts nothing any more must not hold up the end for longer


def stop_arrivals(sock: socket.socket) -> None:
    """Let no further connection begin at this listening socket; those that have arrived stay."""
    try:
        _attach(sock, SO_ATTACH_FILTER, FIRST_DROPPED)
    except OSError:
        sock.listen(0)


def lead_to_the_next(sock: socket.socket) -> bool:
    """Let new connections go to the process that began to listen at this address after this one.

    Where there is no such process the kernel goes on choosing as before. False where the system has no such
    choice: then `stop_arrivals` at the end has some clients wait a second for the other process.
    """
    try:
        _attach(sock, SO_ATTACH_REUSEPORT_CBPF, SECOND_CHOSEN)
    except OSError:
        return False
    return True


def _attach(sock: socket.socket, option: int, steps: tuple[tuple[int, int, int, int], ...]) -> None:
    code = b"".join(struct.pack("=HBBI", *step) for step in steps)
    held = ctypes.create_string_buffer(code)
    program = struct.pack("@HP", len(steps), ctypes.addressof(held))
    sock.setsockopt(socket.SOL_SOCKET, option, program)


def waiting(sock: socket.socket) -> int:
    """How many connections wait to be accepted; 0 where the system does not tell."""
    try:
        told = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, struct.calcsize(INFO_FORMAT))
        values = struct.unpack(INFO_FORMAT, told)
    except (AttributeError, OSError, struct.error):
        return 0
    return int(values[-1]) if values[0] == LISTENING else 0


async def emptied(socks: list[socket.socket]) -> None:
    """Stop arrivals at all of these, and return once their owners have accepted what had arrived."""
    for sock in socks:
        stop_arrivals(sock)
    until = time.monotonic() + EMPTY_MOST_S
    calm = 0  # looks in a row that found nothing: a handshake may end between two
    while calm < 2 and time.monotonic() < until:
        await asyncio.sleep(LOOK_S)
        calm = 0 if any(map(waiting, socks)) else calm + 1


async def taken_in(handles: list[socket.socket]) -> None:
    """`emptied`, for second handles, which are closed then; the sockets stay their owners'."""
    await emptied(handles)
    for handle in handles:
        handle.close()


def duplicate(descriptor: int) -> socket.socket:
    """A second handle of a socket that a library holds; closing it leaves the socket open."""
    return socket.socket(fileno=os.dup(descriptor))


def listening_at(port: int) -> list[socket.socket]:
    """Second handles of this process's own sockets that listen at a port, where /proc shows them.

    For servers of a library that keeps its sockets to itself.
    """
    found: list[socket.socket] = []
    try:
        descriptors = [int(name) for name in os.listdir("/proc/self/fd")]
    except OSError:
        return found
    for descriptor in descriptors:
        with contextlib.suppress(OSError):
            sock = duplicate(descriptor)
            if _listens(sock, port):
                found.append(sock)
            else:
                sock.close()
    return found


def _listens(sock: socket.socket, port: int) -> bool:
    if sock.family not in (socket.AF_INET, socket.AF_INET6) or sock.type != socket.SOCK_STREAM:
        return False
    accepts = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    return bool(accepts) and int(sock.getsockname()[1]) == port
