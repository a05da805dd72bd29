"""Datagram links apply the network conditions of the pair of sender and receiver."""

from __future__ import annotations

import asyncio
import socket
from random import Random

from standins.weather import DatagramLink, NetworkConditions


def test_fates_follow_the_weather() -> None:
    weather = NetworkConditions(Random(5))
    assert weather.delays("a", "b") == [0.0]
    weather.cut = {("a", "b")}
    assert weather.delays("a", "b") == [] and weather.delays("b", "a") == [0.0]
    weather = NetworkConditions(Random(5), loss=0.25, delay_s=1.0, jitter_s=0.5, repeat=0.5)
    delays = [weather.delays("a", "b") for _ in range(4_000)]
    assert 0.2 < sum(not arrivals for arrivals in delays) / 4_000 < 0.3
    assert (
        0.4
        < sum(len(arrivals) == 2 for arrivals in delays) / sum(bool(arrivals) for arrivals in delays)
        < 0.6
    )
    times = [time for arrivals in delays for time in arrivals]
    assert min(times) >= 1.0 and max(times) <= 1.5 and max(times) - min(times) > 0.4


def test_a_link_carries_questions_one_way_and_answers_the_other() -> None:
    async def script() -> None:
        loop = asyncio.get_running_loop()
        with (
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as requester,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as responder,
        ):
            for sock in (requester, responder):
                sock.bind(("127.0.0.1", 0))
                sock.setblocking(False)
            weather = NetworkConditions(Random(5))
            link = await DatagramLink(weather, "a", "b", responder.getsockname()[1]).open()
            try:
                await loop.sock_sendto(requester, b"question", ("127.0.0.1", link.port))
                data, source = await asyncio.wait_for(loop.sock_recvfrom(responder, 100), 2.0)
                assert data == b"question"
                weather.cut = {("a", "b")}  # the direction of the answer is not cut
                await loop.sock_sendto(responder, b"answer", source)
                data, _ = await asyncio.wait_for(loop.sock_recvfrom(requester, 100), 2.0)
                assert data == b"answer" and link.bytes == {False: 8, True: 6}
                await loop.sock_sendto(requester, b"lost", ("127.0.0.1", link.port))
                while not weather.lost:
                    await asyncio.sleep(0.01)
            finally:
                link.close()

    asyncio.run(script())
