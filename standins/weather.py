"""Datagram relays between members, one for each pair of sender and receiver, under shared network conditions.

A member addresses every other member through its own link to it, so the relay of a datagram determines its
sender and receiver. Conditions apply in this order: a partitioned pair passes nothing; of the other datagrams
a share is lost, a share is duplicated, and each copy is delayed by `delay_s` plus a random time up to
`jitter_s`, so that datagrams may be reordered.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from random import Random
from typing import cast

from standins.ports import PORTS

Source = tuple[str, int]


@dataclass
class NetworkConditions:
    """Network conditions of all links. `cut`: partitioned pairs of sender and receiver.

    `loss` and `repeat` are the shares of datagrams that are lost and duplicated.
    """

    rng: Random
    loss: float = 0.0
    delay_s: float = 0.0
    jitter_s: float = 0.0
    repeat: float = 0.0
    cut: set[tuple[str, str]] = field(default_factory=set)
    carried: int = 0
    lost: int = 0

    def delays(self, sender: str, receiver: str) -> list[float]:
        """Delays in seconds of the copies of a datagram that arrive; empty if it is lost."""
        if (sender, receiver) in self.cut or self.rng.random() < self.loss:
            self.lost += 1
            return []
        self.carried += 1
        times = 2 if self.rng.random() < self.repeat else 1
        return [self.delay_s + self.jitter_s * self.rng.random() for _ in range(times)]


class _RelayProtocol(asyncio.DatagramProtocol):
    """One socket of a link; `answers` is True for the one that receives the target's answers."""

    def __init__(self, link: DatagramLink, answers: bool) -> None:
        self.link = link
        self.answers = answers
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)  # event loops share no base class for it

    def datagram_received(self, data: bytes, source: Source) -> None:
        self.link.received(data, source, self.answers)

    def error_received(self, problem: Exception) -> None:
        pass  # the port is closed: the datagram is lost, as on a real network


class DatagramLink:
    """A relay from one member to the port of another: forwards requests, and their answers back."""

    def __init__(self, weather: NetworkConditions, sender: str, receiver: str, target: int) -> None:
        self.weather = weather
        self.sender = sender
        self.receiver = receiver
        self.target = target
        self.port = PORTS.next_free()
        self.source: Source | None = None
        self.bytes = {False: 0, True: 0}  # received, by whether they belong to answers
        self.sides: dict[bool, _RelayProtocol] = {}

    async def open(self) -> DatagramLink:
        loop = asyncio.get_running_loop()
        for answers, address in ((False, ("127.0.0.1", self.port)), (True, ("127.0.0.1", 0))):
            _, side = await loop.create_datagram_endpoint(
                lambda answers=answers: _RelayProtocol(self, answers),  # type: ignore[misc]
                local_addr=address,
            )
            self.sides[answers] = side
        return self

    def received(self, data: bytes, source: Source, answers: bool) -> None:
        self.bytes[answers] += len(data)
        if not answers:
            self.source = source
        pair = (self.receiver, self.sender) if answers else (self.sender, self.receiver)
        for delay_s in self.weather.delays(*pair):
            if delay_s > 0.0:
                asyncio.get_running_loop().call_later(delay_s, self._forward, data, answers)
            else:
                self._forward(data, answers)

    def _forward(self, data: bytes, answers: bool) -> None:
        side = self.sides.get(not answers)
        destination = self.source if answers else ("127.0.0.1", self.target)
        if side is not None and side.transport is not None and destination is not None:
            side.transport.sendto(data, destination)

    def close(self) -> None:
        for side in self.sides.values():
            if side.transport is not None:
                side.transport.close()
        self.sides.clear()
