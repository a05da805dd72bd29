"""System calls of this process that fail for some time: connect, accept and writes to the log."""

from __future__ import annotations

import asyncio
import errno
import os
import socket
import sys
import threading
from typing import Any

import pytest

from garnethaven.engine.engine import Engine
from garnethaven.net.connection import Connection
from garnethaven.net.own_failures import NO_ROUTE
from garnethaven.net.upstream import Target
from tests.loopback import ANSWER, answers_with, request, run, running_sidecar, wait_until


class FailingConnects:
    """Makes connects to servers fail with one errno while `fails` is set, and counts the failures."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, code: int) -> None:
        self.fails = True
        self.injected = 0
        connect = Target._connect

        async def failing(target: Target, address: Any) -> Connection:
            if self.fails and target.pool.idle_s:  # not for discovery's pool
                self.injected += 1
                raise OSError(code, os.strerror(code))
            return await connect(target, address)

        monkeypatch.setattr(Target, "_connect", failing)


OWN_FAILURES = [errno.EADDRNOTAVAIL, errno.ENOBUFS, errno.ENETUNREACH, errno.ENFILE, errno.EPERM]


@pytest.mark.parametrize("code", OWN_FAILURES, ids=lambda code: errno.errorcode[code])
def test_connects_that_fail_on_this_machine_cost_no_server_and_no_request(
    code: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def case() -> None:
        async with running_sidecar(answers_with(ANSWER), answers_with(ANSWER)) as (sidecar, _):
            connects = FailingConnects(monkeypatch, code)
            response = asyncio.create_task(sidecar.ask(request(X_Budget_Ms="3000")))
            await wait_until(lambda: connects.injected > 0)
            await asyncio.sleep(1.0)
            assert not response.done(), "the budget is not used up"
            assert connects.injected < 60, "there is a pause between two connects"
            connects.fails = False
            assert (await response) == (200, b"hello")
            servers = sidecar.engine.balancer.servers.values()
            assert code in NO_ROUTE or all(not server.errors for server in servers)

    run(case())


def test_connects_that_fail_on_this_machine_for_good_end_in_a_refusal_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def case() -> None:
        async with running_sidecar(answers_with(ANSWER), answers_with(ANSWER)) as (sidecar, peers):
            connects = FailingConnects(monkeypatch, errno.EADDRNOTAVAIL)
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            status, _ = await sidecar.ask(request(X_Budget_Ms="800"))
            assert status in (503, 504) and loop.time() - started_at < 1.3 and connects.injected > 1
            assert not any(peer.requests for peer in peers)
            assert all(not server.errors for server in sidecar.engine.balancer.servers.values())

    run(case())


class FailingListener:
    """A listening socket whose accepts fail with one errno while `fails` is set."""

    def __init__(self, sock: socket.socket, code: int) -> None:
        self.sock = sock
        self.code = code
        self.fails = True
        self.injected = 0

    def accept(self) -> tuple[socket.socket, Any]:
        if self.fails:
            self.injected += 1
            raise OSError(self.code, os.strerror(self.code))
        return self.sock.accept()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.sock, name)


@pytest.mark.parametrize("code", [errno.EPERM, errno.ENETDOWN, errno.EPROTO, errno.ENFILE])
def test_accepts_that_fail_for_long_do_not_spin_and_lose_nobody(code: int) -> None:
    async def case() -> None:
        async with running_sidecar(answers_with(ANSWER)) as (sidecar, _):
            listener = sidecar.listener
            listener.sock = failing = FailingListener(listener.sock, code)  # type: ignore[assignment]
            response = asyncio.create_task(sidecar.ask(request()))
            await wait_until(lambda: failing.injected > 0)
            await asyncio.sleep(0.5)
            assert failing.injected < 100
            failing.fails = False
            assert (await response) == (200, b"hello")

    run(case())


def test_one_client_that_went_away_while_it_waited_delays_nobody() -> None:
    async def case() -> None:
        async with running_sidecar(answers_with(ANSWER)) as (sidecar, _):
            listener = sidecar.listener
            listener.sock = failing = FailingListener(listener.sock, errno.ECONNABORTED)  # type: ignore
            accept = failing.accept

            def once() -> tuple[socket.socket, Any]:
                failing.fails = failing.injected < 1
                return accept()

            failing.accept = once  # type: ignore[method-assign]
            assert (await sidecar.ask(request())) == (200, b"hello") and failing.injected == 1
            assert listener.accepting

    run(case())


class ClosedError:
    """A standard error stream that can't be written to."""

    def write(self, text: str) -> int:
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    def flush(self) -> None:
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    def fileno(self) -> int:
        raise OSError(errno.EBADF, os.strerror(errno.EBADF))


def engine_ready_to_log(sidecar: Any) -> Engine:
    """The engine, with the rate limit of its log reset."""
    engine: Engine = sidecar.engine
    engine.logged_at = 0
    return engine


def test_a_log_that_cannot_be_written_raises_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    async def case() -> None:
        async with running_sidecar(answers_with(ANSWER)) as (sidecar, _):
            monkeypatch.setattr(sys, "stderr", ClosedError())
            engine = engine_ready_to_log(sidecar)
            engine.log("a line")
            assert (await sidecar.ask(request())) == (200, b"hello")

    run(case())


def test_a_log_that_nobody_reads_holds_nothing_up(monkeypatch: pytest.MonkeyPatch) -> None:
    read_fd, write_fd = os.pipe()
    os.set_blocking(write_fd, False)
    try:
        while True:
            os.write(write_fd, b"x" * 4096)
    except BlockingIOError:
        os.set_blocking(write_fd, True)  # blocking, as standard error is; the pipe is full

    async def case() -> None:
        async with running_sidecar(answers_with(ANSWER)) as (sidecar, _):
            monkeypatch.setattr(sys, "stderr", os.fdopen(write_fd, "w"))
            engine = engine_ready_to_log(sidecar)
            reader = threading.Timer(5.0, os.read, (read_fd, 1 << 20))  # unblocks a write that hangs
            reader.start()
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            engine.log("a line")
            assert loop.time() - started_at < 2.0
            reader.cancel()
            assert (await sidecar.ask(request())) == (200, b"hello")

    run(case())
    os.close(read_fd)
