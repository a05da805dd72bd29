"""Sending a body within HTTP/2's windows: what can't be sent yet waits, and is counted.

One `Sender` for each direction of a stream. It owns no socket: `flush` gives the connection what the
windows allow.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from h2.connection import H2Connection

from garnethaven.grpcs.mapping import Headers


class Sender:
    """The bytes of one stream that are still to be sent on one connection, its end, and its trailers."""

    def __init__(self, h2: H2Connection, stream_id: int, sent: Callable[[int], None]) -> None:
        self.h2 = h2
        self.stream_id = stream_id
        self.sent = sent  # told how many bytes went into the connection
        self.chunks: deque[bytes] = deque()
        self.waiting = 0
        self.ends = False
        self.trailers: Headers | None = None
        self.over = False

    def add(self, data: bytes) -> None:
        self.chunks.append(data)
        self.waiting += len(data)

    def end(self, trailers: Headers | None = None) -> None:
        self.ends, self.trailers = True, trailers

    def flush(self) -> None:
        """Hand over as much as the windows allow; raises what h2 raises where the stream is closed."""
        while self.chunks and not self.over:
            window = min(self.h2.local_flow_control_window(self.stream_id), self.h2.max_outbound_frame_size)
            chunk = self.chunks.popleft()
            if window <= 0 and chunk:
                self.chunks.appendleft(chunk)
                return
            part, rest = chunk[:window], chunk[window:]
            if rest:
                self.chunks.appendleft(rest)
            last = not self.chunks and self.ends and self.trailers is None
            self.h2.send_data(self.stream_id, part, end_stream=last)
            self.waiting -= len(part)
            self.over = last
            self.sent(len(part))
        if self.ends and not self.chunks and not self.over:
            self.over = True
            if self.trailers is not None:
                self.h2.send_headers(self.stream_id, self.trailers, end_stream=True)
            else:
                self.h2.end_stream(self.stream_id)
