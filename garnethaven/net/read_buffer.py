"""Reads of a bounded size, into one buffer for all connections.

By default a read returns all that the kernel has received, which for many connections at once is more than
the memory of a small process. With this buffer a read has at most `MAX_READ_BYTES`, and `MIN_READ_BYTES`
while the account of buffered bytes is full.
"""

from __future__ import annotations

import asyncio

from garnethaven.limits.budgets import BufferMemory

MAX_READ_BYTES = 16 * 1024
MIN_READ_BYTES = 1024

# Filled by the event loop and emptied by `buffer_updated` at once, so connections can share it.
_BUFFER = memoryview(bytearray(MAX_READ_BYTES))
_SMALL_BUFFER = _BUFFER[:MIN_READ_BYTES]


class BoundedReads(asyncio.BufferedProtocol):
    """A protocol whose `data_received` gets at most `MAX_READ_BYTES` at a time."""

    memory: BufferMemory

    def get_buffer(self, sizehint: int) -> memoryview:
        return _SMALL_BUFFER if self.memory.is_full() else _BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(_BUFFER[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Handle received bytes."""
        raise NotImplementedError
