"""Ports for listeners that close and later listen on the same port again.

A port chosen by the kernel comes from the ephemeral range, which outgoing connections use as well, so it may
be taken when a listener returns to it. These ports are therefore below that range. Several rigs can run at
the same time: each process reserves a block by listening on its first port. Ports of a block are used in
rotation, so a port is reused only after all others of the block.
"""

from __future__ import annotations

import os
import socket
from collections.abc import Iterator
from itertools import cycle

FIRST, LAST, BLOCK = 10_000, 31_000, 1_500


class Ports:
    """The port block of one process, reserved at the first call of `take`."""

    def __init__(self) -> None:
        self.reservation: socket.socket | None = None
        self.block = range(0)
        self.rotation: Iterator[int] = iter(())

    def next_free(self) -> int:
        """The next free port; raises OSError if all ports of the block are in use."""
        if self.reservation is None:
            self._reserve_block()
        for _ in self.block:
            port = next(self.rotation)
            sock = _bind(port)
            if sock is not None:
                sock.close()
                return port
        raise OSError("all ports of this process are taken")

    def _reserve_block(self) -> None:
        blocks = (LAST - FIRST) // BLOCK
        for offset in range(blocks):
            base = FIRST + (os.getpid() + offset) % blocks * BLOCK
            self.reservation = _bind(base)
            if self.reservation is not None:
                self.reservation.listen(1)
                self.block = range(base + 1, base + BLOCK)
                self.rotation = cycle(self.block)
                return
        raise OSError("every block of ports is taken")


def _bind(port: int) -> socket.socket | None:
    """A socket bound to the port, or None if the port is in use."""
    sock = socket.socket()
    try:
        sock.bind(("127.0.0.1", port))
    except OSError:
        sock.close()
        return None
    return sock


PORTS = Ports()
