"""A scripted HTTP/2 peer on raw frames, for what grpcio can't be made to do."""

from __future__ import annotations

import asyncio
import struct

from hpack import Encoder

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
DATA, HEADERS, PRIORITY, RST, SETTINGS, PING, GOAWAY, WINDOW, CONTINUATION = 0, 1, 2, 3, 4, 6, 7, 8, 9
END_STREAM, END_HEADERS, ACK = 1, 4, 1
Fields = list[tuple[str, str]]


def frame(kind: int, flags: int, stream: int, payload: bytes = b"") -> bytes:
    return len(payload).to_bytes(3, "big") + struct.pack(">BBI", kind, flags, stream) + payload


def fields(path: str = "/t.Checks/Unary", **more: str) -> Fields:
    told = [
        (":method", "POST"),
        (":scheme", "http"),
        (":path", path),
        (":authority", "t"),
        ("te", "trailers"),
        ("content-type", "application/grpc"),
    ]
    return told + [(name.replace("_", "-"), value) for name, value in more.items()]


class RawClient:
    """Writes what it is told; keeps what came, as frames."""

    async def connect(self, port: int, settings: bytes = b"") -> RawClient:
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.encoder = Encoder()
        self.frames: list[tuple[int, int, int, bytes]] = []
        self.write(PREFACE + frame(SETTINGS, 0, 0, settings))
        return self

    def write(self, data: bytes) -> None:
        self.writer.write(data)

    def headers(self, stream: int, told: Fields, flags: int = END_HEADERS) -> bytes:
        return frame(HEADERS, flags, stream, self.encoder.encode(told))

    async def read(self) -> tuple[int, int, int, bytes] | None:
        """The next frame; None at the connection's end."""
        try:
            head = await self.reader.readexactly(9)
            payload = await self.reader.readexactly(int.from_bytes(head[:3], "big"))
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        kind, flags, stream = struct.unpack(">BBI", head[3:])
        self.frames.append((kind, flags, stream & 0x7FFFFFFF, payload))
        return self.frames[-1]

    async def until(self, kind: int) -> tuple[int, int, int, bytes] | None:
        while (told := await self.read()) is not None:
            if told[0] == kind:
                return told
        return None

    def close(self) -> None:
        self.writer.transport.abort()
