"""When a client may have written bytes that are read late: bounds from pauses and unread bytes."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator

import pytest

from garnethaven.net import read_lag
from garnethaven.net.peer_send_queue import PEER_SEND_QUEUE, PeerSendQueue
from garnethaven.net.read_lag import SAMPLE_INTERVAL_NS, ReadLag

MS = 1_000_000
MAX_UNREAD = 1000


@pytest.fixture
def pair(monkeypatch: pytest.MonkeyPatch) -> Iterator[tuple[socket.socket, socket.socket]]:
    """Sockets whose peer's queue is not known."""
    monkeypatch.setattr(read_lag, "max_unread_bytes", lambda: MAX_UNREAD)
    client, here = socket.socketpair()
    yield client, here
    client.close()
    here.close()


def read(lag: ReadLag, count: int, now: int) -> None:
    lag.read_bytes += len(lag.sock.recv(count))
    lag.update(now)


def test_without_a_pause_the_last_byte_was_written_now(pair: tuple[socket.socket, socket.socket]) -> None:
    client, here = pair
    lag = ReadLag(here)
    client.send(bytes(100))
    lag.read_bytes += len(here.recv(100))
    assert lag.read_bytes_written_since() is None
    assert lag.written_since(50) is None


def test_what_is_unread_may_have_been_written_when_reading_paused(
    pair: tuple[socket.socket, socket.socket],
) -> None:
    client, here = pair
    lag = ReadLag(here)
    lag.reading_paused(100 * MS)
    client.send(bytes(100))
    lag.update(300 * MS)
    assert lag.written_since(None) == lag.written_since(100) == 100 * MS
    assert lag.written_since(MAX_UNREAD) == 100 * MS
    assert lag.written_since(MAX_UNREAD + 1) is None  # no client's kernel holds so much


def test_a_client_that_has_nothing_unread_has_not_written_the_rest(
    pair: tuple[socket.socket, socket.socket],
) -> None:
    client, here = pair
    lag = ReadLag(here)
    lag.reading_paused(100 * MS)
    lag.update(300 * MS)
    assert lag.written_since(None) is None and lag.written_since(1) is None
    client.send(bytes(100))  # reading is still paused: only since the last look
    lag.update(500 * MS)
    assert lag.written_since(None) == 300 * MS
    lag.reading_resumed()
    read(lag, 100, 600 * MS)
    assert lag.written_since(None) is None


def test_while_reading_goes_on_slowly_the_bound_moves_with_what_was_read(
    pair: tuple[socket.socket, socket.socket],
) -> None:
    client, here = pair
    lag = ReadLag(here)
    lag.reading_paused(0)
    client.send(bytes(MAX_UNREAD))
    lag.reading_resumed()
    for number in range(1, 11):
        read(lag, 500, number * 100 * MS)
        client.send(bytes(500))
    # 5,000 bytes were read and 1,000 are unread: the 6,000th can't have been written before 5,000 were read.
    assert lag.written_since(None) == 900 * MS
    # The 5,000th can't have been written before 4,000 were read.
    assert lag.read_bytes_written_since() == 700 * MS


def test_a_long_standstill_keeps_few_samples(pair: tuple[socket.socket, socket.socket]) -> None:
    client, here = pair
    lag = ReadLag(here)
    lag.reading_paused(0)
    client.send(bytes(100))
    for number in range(1000):
        lag.update(number * SAMPLE_INTERVAL_NS)
    assert len(lag.samples) <= 3
    assert lag.written_since(None) == 0


def test_the_bound_is_at_least_what_the_kernel_lets_a_client_write() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client = socket.create_connection(listener.getsockname())
        here, _ = listener.accept()
        with client, here:
            client.setblocking(False)
            written = 0
            with pytest.raises(BlockingIOError):
                while True:
                    written += client.send(bytes(65536))
            assert written - 131_072 <= read_lag.max_unread_bytes()  # accepted here with a larger buffer


@pytest.fixture
def known_pair() -> Iterator[tuple[socket.socket, socket.socket]]:
    """Sockets of which the kernel tells the peer's queue; the client's is a small one."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 64 * 1024)
        client.connect(listener.getsockname())
        here, _ = listener.accept()
        client.setblocking(False)
        with client, here:
            yield client, here


def fill(client: socket.socket) -> int:
    """Write until the kernel takes no more; returns the bytes written."""
    written = 0
    with pytest.raises(BlockingIOError):
        while True:
            written += client.send(bytes(65536))
    return written


def wait_for_acknowledgements() -> None:
    time.sleep(0.1)


# The failure: without knowing what the client's kernel holds, a client that is held back counts as done.
def test_a_client_that_goes_on_writing_has_not_written_the_last_byte(
    known_pair: tuple[socket.socket, socket.socket],
) -> None:
    client, here = known_pair
    lag = ReadLag(here)
    lag.reading_paused(0)
    written = fill(client)
    wait_for_acknowledgements()
    for number in range(1, 11):
        lag.read_bytes += len(here.recv(65536, socket.MSG_WAITALL))
        wait_for_acknowledgements()
        written += fill(client)
        wait_for_acknowledgements()
        lag.update(number * 1000 * MS)
    assert lag.unread_bytes() == written - lag.read_bytes
    since = lag.written_since(None)
    assert since is not None and since >= 9000 * MS
    assert lag.written_since(lag.unread_bytes() + 1) is None  # it has written no more than that


def test_a_client_that_has_stopped_writing_may_have_written_the_last_byte(
    known_pair: tuple[socket.socket, socket.socket],
) -> None:
    client, here = known_pair
    lag = ReadLag(here)
    lag.reading_paused(0)
    fill(client)
    wait_for_acknowledgements()
    lag.update(1000 * MS)
    for number in range(2, 6):
        lag.read_bytes += len(here.recv(1000, socket.MSG_WAITALL))
        wait_for_acknowledgements()
        lag.update(number * 1000 * MS)
    assert lag.written_since(None) == 0
    lag.read_bytes += 1
    assert lag.read_bytes_written_since() == 0


def test_nothing_is_known_of_a_peer_that_has_gone() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client = socket.create_connection(listener.getsockname())
        here, _ = listener.accept()
        with here:
            assert PEER_SEND_QUEUE.bytes_queued(here) == 0
            here.close()
            assert PEER_SEND_QUEUE.bytes_queued(here) is None
        client.close()


def test_where_the_kernel_may_not_be_asked_the_limit_of_its_buffers_counts(
    monkeypatch: pytest.MonkeyPatch, known_pair: tuple[socket.socket, socket.socket]
) -> None:
    def refuse(*arguments: int) -> socket.socket:
        raise PermissionError

    queue = PeerSendQueue()
    monkeypatch.setattr(socket, "socket", refuse)
    assert queue.bytes_queued(known_pair[1]) is None
    assert not queue.is_available
    monkeypatch.setattr(read_lag, "PEER_SEND_QUEUE", queue)
    assert ReadLag(known_pair[1]).unread_bytes() == read_lag.max_unread_bytes()


# The failure: with nothing unread here for a moment, bytes that the client's kernel holds are forgotten.
def test_bytes_that_only_the_clients_kernel_holds_are_not_forgotten(
    monkeypatch: pytest.MonkeyPatch, known_pair: tuple[socket.socket, socket.socket]
) -> None:
    lag = ReadLag(known_pair[1])
    lag.reading_paused(100 * MS)
    lag.reading_resumed()
    monkeypatch.setattr(PEER_SEND_QUEUE, "bytes_queued", lambda sock: 5000)
    lag.update(500 * MS)
    lag.read_bytes += 5000
    assert lag.read_bytes_written_since() is not None


# The failure: a client whose kernel learned of the space only after the read counted as held back by nothing.
def test_where_the_kernel_may_not_be_asked_a_moment_without_bytes_forgets_nothing(
    pair: tuple[socket.socket, socket.socket],
) -> None:
    client, here = pair
    lag = ReadLag(here)
    client.send(bytes(100))
    lag.reading_paused(100 * MS)
    lag.reading_resumed()
    read(lag, 100, 500 * MS)
    assert lag.read_bytes_written_since() == 100 * MS
    client.send(bytes(100))
    read(lag, 100, 500 * MS + SAMPLE_INTERVAL_NS // 2)
    assert lag.read_bytes_written_since() == 100 * MS
    lag.update(500 * MS + SAMPLE_INTERVAL_NS)
    assert lag.read_bytes_written_since() is None
