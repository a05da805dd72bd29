"""One connection to one member of an etcd cluster: the calls that following and registering need.

The messages are those of etcd's published API, as the package aetcd carries them; its client is not used, for
it knows neither progress requests nor `require-leader`.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable
from typing import Any

import grpc
from aetcd import rpc

from garnethaven.addresses import Address
from garnethaven.membership.hosts import EndpointLostError
from garnethaven.membership.table import Tls

ANSWER_MOST = 64 * 1024 * 1024  # bytes of one answer; 5,000 servers take some 2 MiB
CALL_S = 3.0  # for one call; a read of everything may take as long
LEADER = ("hasleader", "true")  # a member that has lost its leader ends the watch instead of keeping quiet
OPTIONS = (
    ("grpc.max_receive_message_length", ANSWER_MOST),
    ("grpc.use_local_subchannel_pool", 1),  # a connection of this channel's own, closed with it
    ("grpc.enable_http_proxy", 0),
)


class AuthExpired(Exception):  # noqa: N818 - a condition that is met with a new token
    """The token is not valid any more."""


def failure(problem: grpc.aio.AioRpcError) -> Exception:
    """What a call's end means."""
    code, details = problem.code(), (problem.details() or "")[:200]
    if code is grpc.StatusCode.UNAUTHENTICATED or "invalid auth token" in details:
        return AuthExpired(details)
    refused = code in (grpc.StatusCode.PERMISSION_DENIED, grpc.StatusCode.FAILED_PRECONDITION)
    refused = refused or "authentication failed" in details
    return EndpointLostError(f"{code.name.lower()}: {details}", refused)


class Line:
    """A channel to one member; `close` it in any case."""

    def __init__(self, address: Address, tls: Tls | None) -> None:
        target = "{}:{}".format(*address)
        if tls is None:
            self.channel = grpc.aio.insecure_channel(target, options=OPTIONS)
        else:
            options = OPTIONS + ((("grpc.ssl_target_name_override", tls.name),) if tls.name else ())
            self.channel = grpc.aio.secure_channel(target, credentials(tls), options=options)
        self.kv = rpc.KVStub(self.channel)
        self.watches = rpc.WatchStub(self.channel)
        self.leases = rpc.LeaseStub(self.channel)
        self.auth = rpc.AuthStub(self.channel)
        self.token = ""

    async def close(self) -> None:
        await self.channel.close()

    def metadata(self) -> tuple[tuple[str, str], ...]:
        return (LEADER, ("token", self.token)) if self.token else (LEADER,)

    async def call(self, called: Awaitable[Any]) -> Any:
        """Raises AuthExpired and EndpointLostError."""
        try:
            return await called
        except grpc.aio.AioRpcError as problem:
            raise failure(problem) from None

    async def authenticate(self, user: str) -> None:
        name, _, password = user.partition(":")
        request = rpc.AuthenticateRequest(name=name, password=password)
        try:
            answer = await self.call(self.auth.Authenticate(request, timeout=CALL_S))
        except AuthExpired as problem:  # said of the password: there is no token yet
            raise EndpointLostError(str(problem), refused=True) from None
        self.token = answer.token

    async def range(self, prefix: str) -> Any:
        """All keys under a prefix, as of one revision; linearizable, that is proven."""
        start = prefix.encode()
        request = rpc.RangeRequest(key=start, range_end=end_of(start))
        return await self.call(self.kv.Range(request, timeout=CALL_S, metadata=self.metadata()))

    async def put(self, key: str, value: bytes, lease: int) -> None:
        request = rpc.PutRequest(key=key.encode(), value=value, lease=lease)
        await self.call(self.kv.Put(request, timeout=CALL_S, metadata=self.metadata()))

    async def grant(self, ttl_s: int) -> int:
        request = rpc.LeaseGrantRequest(TTL=ttl_s)
        answer = await self.call(self.leases.LeaseGrant(request, timeout=CALL_S, metadata=self.metadata()))
        return int(answer.ID)

    async def revoke(self, lease: int) -> None:
        request = rpc.LeaseRevokeRequest(ID=lease)
        await self.call(self.leases.LeaseRevoke(request, timeout=CALL_S, metadata=self.metadata()))

    async def keep_alive(self, lease: int) -> int:
        """The lease's time to live now, in seconds; 0: it has ended."""

        async def once() -> AsyncIterator[Any]:
            yield rpc.LeaseKeepAliveRequest(ID=lease)

        stream = self.leases.LeaseKeepAlive(once(), timeout=CALL_S, metadata=self.metadata())
        answer = await self.call(stream.read())
        if answer is grpc.aio.EOF:
            raise EndpointLostError("the stream of signs of life has ended")
        stream.cancel()
        return int(answer.TTL)


class Watching:
    """One watch of a prefix; `next` gives its answers, `ask` asks for a sign of life."""

    def __init__(self, line: Line, prefix: str, after: int) -> None:
        self.line = line
        start = prefix.encode()
        self.create = rpc.WatchRequest(
            create_request=rpc.WatchCreateRequest(
                key=start,
                range_end=end_of(start),
                start_revision=after + 1,
                progress_notify=True,
                fragment=True,
                prev_kv=True,
            )
        )
        self.stream: Any = line.watches.Watch(metadata=line.metadata())

    async def open(self) -> None:
        await self._write(self.create)

    async def ask(self) -> None:
        """Up to which revision has everything been told?"""
        await self._write(rpc.WatchRequest(progress_request=rpc.WatchProgressRequest()))

    async def _write(self, message: Any) -> None:
        try:
            await self.line.call(self.stream.write(message))
        except asyncio.InvalidStateError:
            raise EndpointLostError("the watch has ended") from None

    async def next(self) -> Any:
        answer = await self.line.call(self.stream.read())
        if answer is grpc.aio.EOF:
            raise EndpointLostError("the watch was ended")
        return answer

    def close(self) -> None:
        self.stream.cancel()


def end_of(prefix: bytes) -> bytes:
    """The first key after all that begin with a prefix; zero where there is none."""
    for at in range(len(prefix) - 1, -1, -1):
        if prefix[at] < 0xFF:
            return prefix[:at] + bytes([prefix[at] + 1])
    return b"\0"


def credentials(tls: Tls) -> grpc.ChannelCredentials:
    """Raises OSError where a file can't be read."""
    read = {}
    for name in ("ca", "cert", "key"):
        path = getattr(tls, name)
        if path:
            with open(path, "rb") as file:
                read[name] = file.read()
    return grpc.ssl_channel_credentials(read.get("ca"), read.get("key") or read.get("cert"), read.get("cert"))
