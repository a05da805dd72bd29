"""What a client of this machine has written and this side's kernel has not acknowledged, as Linux reports it.

The kernel tells any process the queue lengths of a TCP socket in its network namespace over a netlink socket
(`sock_diag`, the source of `ss`). A lookup by both addresses takes some 10 microseconds.
"""

from __future__ import annotations

import socket
import struct

NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST = 1
ANY_STATE = 0xFFFFFFFF
NO_COOKIE = 0xFFFFFFFF
MAX_REPLY_BYTES = 4096
ADDRESS_BYTES = 16  # IPv4 addresses are padded

MESSAGE_HEADER = struct.Struct("=IHHII")  # length, type, flags, sequence, port
REQUEST = struct.Struct("=BBBBI")  # family, protocol, extensions, padding, states
SOCKET_ID = struct.Struct("!HH16s16s")  # ports and addresses of the socket and of its peer
SOCKET_ID_REST = struct.Struct("=III")  # interface, cookie
QUEUES = struct.Struct("=III")  # expiry, receive queue, send queue
QUEUES_OFFSET = MESSAGE_HEADER.size + 4 + SOCKET_ID.size + SOCKET_ID_REST.size

Address = tuple[str, int]


class PeerSendQueue:
    """Looks up the send queues of peers; opens its netlink socket with the first lookup."""

    def __init__(self) -> None:
        self.netlink: socket.socket | None = None
        self.is_available = hasattr(socket, "AF_NETLINK")
        self.sequence = 0

    def bytes_queued(self, sock: socket.socket) -> int | None:
        """Bytes in the send queue of the peer of `sock`; None if it is not known on this machine."""
        if not self.is_available or sock.family is not socket.AF_INET:
            return None
        try:
            here, peer = sock.getsockname(), sock.getpeername()
            return self._look_up(peer, here)
        except (OSError, ValueError, struct.error):
            return None

    def _look_up(self, of: Address, peer: Address) -> int | None:
        netlink = self._open()
        if netlink is None:
            return None
        self.sequence += 1
        netlink.send(self._request(of, peer))
        while True:  # replies to lookups that failed half way may come first
            reply = netlink.recv(MAX_REPLY_BYTES)
            _, kind, _, sequence, _ = MESSAGE_HEADER.unpack_from(reply)
            if sequence == self.sequence:
                break
        if kind != SOCK_DIAG_BY_FAMILY:
            return None  # the peer is elsewhere, or gone
        _, _, send_queue = QUEUES.unpack_from(reply, QUEUES_OFFSET)
        return int(send_queue)

    def _request(self, of: Address, peer: Address) -> bytes:
        addresses = [socket.inet_aton(host).ljust(ADDRESS_BYTES, b"\0") for host in (of[0], peer[0])]
        body = REQUEST.pack(socket.AF_INET, socket.IPPROTO_TCP, 0, 0, ANY_STATE)
        body += SOCKET_ID.pack(of[1], peer[1], *addresses) + SOCKET_ID_REST.pack(0, NO_COOKIE, NO_COOKIE)
        length = MESSAGE_HEADER.size + len(body)
        return MESSAGE_HEADER.pack(length, SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, self.sequence, 0) + body

    def _open(self) -> socket.socket | None:
        if self.netlink is None:
            try:
                self.netlink = socket.socket(socket.AF_NETLINK, socket.SOCK_DGRAM, NETLINK_SOCK_DIAG)
                self.netlink.setblocking(False)
            except OSError:
                self.is_available = False  # not allowed here: the same answer for all connections
        return self.netlink


PEER_SEND_QUEUE = PeerSendQueue()
