"""A scripted HTTP/2 client on raw frames, for behaviour that grpcio cannot produce."""

from __future__ import annotations

import asyncio
import struct

from hpack import Encoder

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
DATA, HEADERS, PRIORITY, RST, SETTINGS, PING, GOAWAY, WINDOW_UPDATE, CONTINUATION = 0, 1, 2, 3, 4, 6, 7, 8, 9
END_STREAM, END_HEADERS, ACK = 1, 4, 1
Fields = list[tuple[str, str]]


def frame(frame_type: int, flags: int, stream_id: int, payload: bytes = b"") -> bytes:
    return len(payload).to_bytes(3, "big") + struct.pack(">BBI", frame_type, flags, stream_id) + payload


def fields(path: str = "/t.Checks/Unary", **extra: str) -> Fields:
    header_list = [
        (":method", "POST"),
        (":scheme", "http"),
        (":path", path),
        (":authority", "t"),
        ("te", "trailers"),
        ("content-type", "application/grpc"),
    ]
    return header_list + [(name.replace("_", "-"), value) for name, value in extra.items()]


class RawClient:
    """Writes given bytes; keeps the received frames as (type, flags, stream id, payload)."""

    async def connect(self, port: int, settings: bytes = b"") -> RawClient:
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.encoder = Encoder()
        self.frames: list[tuple[int, int, int, bytes]] = []
        self.write(PREFACE + frame(SETTINGS, 0, 0, settings))
        return self

    def write(self, data: bytes) -> None:
        self.writer.write(data)

    def headers(self, stream_id: int, header_list: Fields, flags: int = END_HEADERS) -> bytes:
        return frame(HEADERS, flags, stream_id, self.encoder.encode(header_list))

    async def read(self) -> tuple[int, int, int, bytes] | None:
        """Return the next frame, or None at the end of the connection."""
        try:
            header = await self.reader.readexactly(9)
            payload = await self.reader.readexactly(int.from_bytes(header[:3], "big"))
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        frame_type, flags, stream_id = struct.unpack(">BBI", header[3:])
        self.frames.append((frame_type, flags, stream_id & 0x7FFFFFFF, payload))
        return self.frames[-1]

    async def read_until(self, frame_type: int) -> tuple[int, int, int, bytes] | None:
        while (received := await self.read()) is not None:
            if received[0] == frame_type:
                return received
        return None

    def close(self) -> None:
        self.writer.transport.abort()
