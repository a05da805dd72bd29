"""GOAWAY apart from all else. No I/O.

The library takes a GOAWAY for the end of the connection, but the streams that it does not name go on, and a
planned end on our side must let them. So frames are told apart here, by their published head of nine bytes,
and GOAWAY is read and written outside of the library's state.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

HEAD = 9
GOAWAY = 7
FRAME_MOST = 1 << 20  # bytes; the library refuses what is beyond the settings, once it has it
NO_LAST = 0x7FFFFFFF


@dataclass(slots=True, frozen=True)
class GoAway:
    last: int
    code: int


class Splitter:
    """Takes bytes from a connection; gives those for the library, and GOAWAYs apart, in order."""

    def __init__(self) -> None:
        self.held = bytearray()

    def feed(self, data: bytes) -> list[bytes | GoAway]:
        """What came; raises ValueError for a frame that is too large to be waited for."""
        self.held += data
        parts: list[bytes | GoAway] = []
        start = at = 0
        while len(self.held) - at >= HEAD:
            length = int.from_bytes(self.held[at : at + 3], "big")
            if length > FRAME_MOST:
                raise ValueError("a frame is too large")
            end = at + HEAD + length
            if len(self.held) < end:
                break
            if self.held[at + 3] == GOAWAY and length >= 8:
                if at > start:
                    parts.append(bytes(self.held[start:at]))
                last, code = struct.unpack_from(">II", self.held, at + HEAD)
                parts.append(GoAway(last & NO_LAST, code))
                start = end
            at = end
        if at > start:
            parts.append(bytes(self.held[start:at]))
        del self.held[:at]
        return parts


def goaway(last: int, code: int = 0) -> bytes:
    """The frame."""
    return struct.pack(">BHBBIII", 0, 8, GOAWAY, 0, 0, last, code)
