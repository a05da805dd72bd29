"""Handles GOAWAY frames outside the h2 library. No I/O.

The h2 library treats a GOAWAY as the end of the connection. By the protocol, the streams up to the last
stream id that a GOAWAY contains continue, and a graceful shutdown on this side needs that too. Incoming
bytes are therefore split into frames by their nine-byte header, and GOAWAY frames are read and written
without changing the library's state.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

FRAME_HEADER_BYTES = 9
GOAWAY = 7  # frame type
MAX_FRAME_BYTES = 1 << 20  # h2 rejects frames beyond the negotiated size only once they are complete
MAX_STREAM_ID = 0x7FFFFFFF  # as last stream id of a GOAWAY: every stream continues


@dataclass(slots=True, frozen=True)
class GoAway:
    last_stream_id: int
    error_code: int


class FrameSplitter:
    """Separates GOAWAY frames from the other bytes of a connection."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes | GoAway]:
        """Return bytes for h2 and GOAWAY frames, in order; an incomplete frame is buffered.

        Raises ValueError for a frame longer than `MAX_FRAME_BYTES`.
        """
        self.buffer += data
        parts: list[bytes | GoAway] = []
        start = at = 0
        while len(self.buffer) - at >= FRAME_HEADER_BYTES:
            length = int.from_bytes(self.buffer[at : at + 3], "big")
            if length > MAX_FRAME_BYTES:
                raise ValueError("HTTP/2 frame is too large to buffer")
            end = at + FRAME_HEADER_BYTES + length
            if len(self.buffer) < end:
                break
            if self.buffer[at + 3] == GOAWAY and length >= 8:
                if at > start:
                    parts.append(bytes(self.buffer[start:at]))
                last_stream_id, error_code = struct.unpack_from(">II", self.buffer, at + FRAME_HEADER_BYTES)
                parts.append(GoAway(last_stream_id & MAX_STREAM_ID, error_code))
                start = end
            at = end
        if at > start:
            parts.append(bytes(self.buffer[start:at]))
        del self.buffer[:at]
        return parts


def goaway_frame(last_stream_id: int, error_code: int = 0) -> bytes:
    """Encode a GOAWAY frame without debug data."""
    return struct.pack(">BHBBIII", 0, 8, GOAWAY, 0, 0, last_stream_id, error_code)
