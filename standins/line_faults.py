"""A check server with connection faults: early idle close, silent drop, reset during a request.

It records when each connection was opened and first used, and which requests arrived on a dead connection.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass

from standins.check_server import CheckServer
from standins.kernel import last_bytes_at
from standins.ledger import max_in_window
from standins.wire import read_message


@dataclass(slots=True)
class ConnectionRecord:
    """One accepted connection: when it was opened and first used."""

    at: float
    used_at: float | None = None


class FaultyServer(CheckServer):
    """A check server with connection faults; 0 or False turns a fault off."""

    close_after_idle_s = 0.0  # closes a connection after this idle time, earlier than announced
    silent_drop_after_idle_s = (
        0.0  # ignores requests after this idle time, as if a firewall had dropped the flow
    )
    closes_after_answer = False  # closes after each answer without `Connection: close`
    reset_share_of_reused = 0.0  # share of requests on reused connections that are answered by a reset

    def __init__(self, *arguments: object, **options: object) -> None:
        super().__init__(*arguments, **options)  # type: ignore[arg-type]
        self.connection_log: list[ConnectionRecord] = []
        self.requests_on_dead_connections: list[
            tuple[str, float]
        ] = []  # requests on a dead connection: call id, arrival time
        self.idle_close_count = 0

    async def _serve_requests(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        opened = ConnectionRecord(time.monotonic())
        self.connection_log.append(opened)
        while True:
            idle_from = time.monotonic()
            reused = opened.used_at is not None
            try:
                timeout_s = self.close_after_idle_s if reused and self.close_after_idle_s else None
                message = await asyncio.wait_for(read_message(reader), timeout_s)
            except TimeoutError:
                self.idle_close_count += 1
                return
            if message is None:
                return
            now = time.monotonic()
            if opened.used_at is None:
                opened.used_at = now
            call_id = message.headers.get("x-call-id", "")
            if reused and self.silent_drop_after_idle_s and now - idle_from > self.silent_drop_after_idle_s:
                self.requests_on_dead_connections.append((call_id, now))
                await reader.read()  # no answer until the peer closes the connection
                return
            if reused and self.rng.random() < self.reset_share_of_reused:
                self.requests_on_dead_connections.append((call_id, now))
                return  # resets the connection without handling the request
            arrived_at = last_bytes_at(writer.get_extra_info("socket"))
            answer = await self._unless_closed(self._answer(message, arrived_at), reader)
            if answer is None:
                return
            writer.write(answer)
            await writer.drain()
            if self.closes_after_answer:
                return

    def max_opens_per_s(self, since: float, until: float) -> int:
        """The highest number of connections opened within any second of a time span."""
        return max_in_window([opened.at for opened in self.connection_log if since <= opened.at < until], 1.0)
