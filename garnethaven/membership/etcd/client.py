"""A gRPC client of one etcd cluster member, with the calls that following and registering need.

The messages are those of etcd's published API as generated in the package aetcd; aetcd's own client is not
used because it supports neither progress requests nor `require-leader`.
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

MAX_ANSWER_BYTES = 64 * 1024 * 1024  # of one answer; 5,000 servers take about 2 MiB
CALL_TIMEOUT_S = 3.0  # for each call, including a read of the whole prefix
REQUIRE_LEADER = ("hasleader", "true")  # a member without a leader ends the watch instead of falling silent
CHANNEL_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_ANSWER_BYTES),
    # A connection that is not shared with other channels and is closed with this one.
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.enable_http_proxy", 0),
)


class TokenExpired(Exception):  # noqa: N818 - not an error: a new token is requested
    """The authentication token is not valid any more."""


def error_of(error: grpc.aio.AioRpcError) -> Exception:
    """The exception that stands for a failed call: TokenExpired or EndpointLostError."""
    code, details = error.code(), (error.details() or "")[:200]
    if code is grpc.StatusCode.UNAUTHENTICATED or "invalid auth token" in details:
        return TokenExpired(details)
    refused = code in (grpc.StatusCode.PERMISSION_DENIED, grpc.StatusCode.FAILED_PRECONDITION)
    refused = refused or "authentication failed" in details
    return EndpointLostError(f"{code.name.lower()}: {details}", refused)


class MemberClient:
    """A channel to one member; call `close` when done."""

    def __init__(self, address: Address, tls: Tls | None) -> None:
        target = "{}:{}".format(*address)
        if tls is None:
            self.channel = grpc.aio.insecure_channel(target, options=CHANNEL_OPTIONS)
        else:
            options = CHANNEL_OPTIONS + ((("grpc.ssl_target_name_override", tls.name),) if tls.name else ())
            self.channel = grpc.aio.secure_channel(target, credentials(tls), options=options)
        self.kv = rpc.KVStub(self.channel)
        self.watches = rpc.WatchStub(self.channel)
        self.leases = rpc.LeaseStub(self.channel)
        self.auth = rpc.AuthStub(self.channel)
        self.token = ""

    async def close(self) -> None:
        await self.channel.close()

    def metadata(self) -> tuple[tuple[str, str], ...]:
        return (REQUIRE_LEADER, ("token", self.token)) if self.token else (REQUIRE_LEADER,)

    async def call(self, reply: Awaitable[Any]) -> Any:
        """Await a call; raises TokenExpired or EndpointLostError."""
        try:
            return await reply
        except grpc.aio.AioRpcError as error:
            raise error_of(error) from None

    async def authenticate(self, user: str) -> None:
        name, _, password = user.partition(":")
        request = rpc.AuthenticateRequest(name=name, password=password)
        try:
            answer = await self.call(self.auth.Authenticate(request, timeout=CALL_TIMEOUT_S))
        except TokenExpired as error:  # refers to the password: there is no token yet
            raise EndpointLostError(str(error), refused=True) from None
        self.token = answer.token

    async def range(self, prefix: str) -> Any:
        """All keys under a prefix at one revision; the read is linearizable, so that it is never stale."""
        start = prefix.encode()
        request = rpc.RangeRequest(key=start, range_end=prefix_end(start))
        return await self.call(self.kv.Range(request, timeout=CALL_TIMEOUT_S, metadata=self.metadata()))

    async def put(self, key: str, value: bytes, lease: int) -> None:
        request = rpc.PutRequest(key=key.encode(), value=value, lease=lease)
        await self.call(self.kv.Put(request, timeout=CALL_TIMEOUT_S, metadata=self.metadata()))

    async def grant(self, ttl_s: int) -> int:
        request = rpc.LeaseGrantRequest(TTL=ttl_s)
        answer = await self.call(
            self.leases.LeaseGrant(request, timeout=CALL_TIMEOUT_S, metadata=self.metadata())
        )
        return int(answer.ID)

    async def revoke(self, lease: int) -> None:
        request = rpc.LeaseRevokeRequest(ID=lease)
        await self.call(self.leases.LeaseRevoke(request, timeout=CALL_TIMEOUT_S, metadata=self.metadata()))

    async def keep_alive(self, lease: int) -> int:
        """Renew the lease; returns its time to live in seconds, 0 if it has ended."""

        async def single_request() -> AsyncIterator[Any]:
            yield rpc.LeaseKeepAliveRequest(ID=lease)

        stream = self.leases.LeaseKeepAlive(
            single_request(), timeout=CALL_TIMEOUT_S, metadata=self.metadata()
        )
        answer = await self.call(stream.read())
        if answer is grpc.aio.EOF:
            raise EndpointLostError("the member ended the lease keep-alive stream")
        stream.cancel()
        return int(answer.TTL)


class WatchStream:
    """One watch of a prefix, of the changes after revision `after`."""

    def __init__(self, member: MemberClient, prefix: str, after: int) -> None:
        self.member = member
        start = prefix.encode()
        self.create_message = rpc.WatchRequest(
            create_request=rpc.WatchCreateRequest(
                key=start,
                range_end=prefix_end(start),
                start_revision=after + 1,
                progress_notify=True,
                fragment=True,
                prev_kv=True,
            )
        )
        self.stream: Any = member.watches.Watch(metadata=member.metadata())

    async def open(self) -> None:
        await self._write(self.create_message)

    async def request_progress(self) -> None:
        """Request a progress notification: the revision up to which all changes have been sent."""
        await self._write(rpc.WatchRequest(progress_request=rpc.WatchProgressRequest()))

    async def _write(self, message: Any) -> None:
        try:
            await self.member.call(self.stream.write(message))
        except asyncio.InvalidStateError:
            raise EndpointLostError("the watch stream is closed") from None

    async def next(self) -> Any:
        """The next answer of the watch."""
        answer = await self.member.call(self.stream.read())
        if answer is grpc.aio.EOF:
            raise EndpointLostError("the member ended the watch stream")
        return answer

    def close(self) -> None:
        self.stream.cancel()


def prefix_end(prefix: bytes) -> bytes:
    """The first key after all keys with this prefix; a zero byte (no upper end) if there is none."""
    for index in range(len(prefix) - 1, -1, -1):
        if prefix[index] < 0xFF:
            return prefix[:index] + bytes([prefix[index] + 1])
    return b"\0"


def credentials(tls: Tls) -> grpc.ChannelCredentials:
    """The TLS credentials; raises OSError if a file can't be read."""
    files = {}
    for name in ("ca", "cert", "key"):
        path = getattr(tls, name)
        if path:
            with open(path, "rb") as file:
                files[name] = file.read()
    return grpc.ssl_channel_credentials(
        files.get("ca"), files.get("key") or files.get("cert"), files.get("cert")
    )
