"""Sends a stream's body within HTTP/2's flow-control windows and queues what the windows do not allow yet.

Each direction of a stream has one `Sender`. It does no I/O: `flush` passes data to the h2 connection.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from h2.connection import H2Connection

from garnethaven.grpcs.mapping import Headers


class Sender:
    """The queued body of one stream, its end and its trailers."""

    def __init__(self, h2: H2Connection, stream_id: int, on_sent: Callable[[int], None]) -> None:
        self.h2 = h2
        self.stream_id = stream_id
        self.on_sent = on_sent  # called with the number of bytes passed to the connection
        self.chunks: deque[bytes] = deque()
        self.queued_bytes = 0
        self.end_queued = False
        self.trailers: Headers | None = None
        self.finished = False  # the end of the stream has been passed to the connection

    def add(self, data: bytes) -> None:
        self.chunks.append(data)
        self.queued_bytes += len(data)

    def end(self, trailers: Headers | None = None) -> None:
        self.end_queued, self.trailers = True, trailers

    def flush(self) -> None:
        """Send as much as the windows allow; raises H2Error if the stream is closed."""
        while self.chunks and not self.finished:
            window = min(self.h2.local_flow_control_window(self.stream_id), self.h2.max_outbound_frame_size)
            chunk = self.chunks.popleft()
            if window <= 0 and chunk:
                self.chunks.appendleft(chunk)
                return
            part, rest = chunk[:window], chunk[window:]
            if rest:
                self.chunks.appendleft(rest)
            is_last = not self.chunks and self.end_queued and self.trailers is None
            self.h2.send_data(self.stream_id, part, end_stream=is_last)
            self.queued_bytes -= len(part)
            self.finished = is_last
            self.on_sent(len(part))
        if self.end_queued and not self.chunks and not self.finished:
            self.finished = True
            if self.trailers is not None:
                self.h2.send_headers(self.stream_id, self.trailers, end_stream=True)
            else:
                self.h2.end_stream(self.stream_id)
