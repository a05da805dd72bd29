"""An etcd cluster: members on separate ports that share one store, with faults.

Hooks are called for what is sent to the program: `on_change_sent(key, ended, at)` after each change written
to a watch, `on_range_read(prefix, keys, at)` for each range read.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import time
from collections.abc import AsyncIterator, Callable
from typing import Any

import grpc
from aetcd import rpc
from aetcd.rpc import rpc_pb2_grpc

from standins.background_tasks import BackgroundTasks
from standins.etcd.store import DELETE, Compacted, Lease, Store, in_range

EXPIRY_CHECK_S = 0.02
MAX_MESSAGE_BYTES = 64 * 1024 * 1024


class Cluster:
    """The cluster; with a `user` ("name:password") calls need a token, and `credentials` enable TLS."""

    def __init__(self, members: int = 3, user: str = "", credentials: Any = None) -> None:
        self.store = Store()
        self.user = user
        self.tokens: set[str] = set()
        self.ids = itertools.count(1)
        self.members = [Member(self, credentials) for _ in range(members)]
        self.on_change_sent: Callable[[str, bool, float], None] = lambda key, ended, at: None
        self.on_range_read: Callable[[str, set[str], float], None] = lambda prefix, keys, at: None
        self.watches_cut = self.compactions = 0
        self.max_events_per_response = 0  # maximum number of events in a response; 0: unlimited
        self.expiry_task: asyncio.Task[None] | None = None

    async def start(self) -> Cluster:
        for member in self.members:
            await member.start()
        self.expiry_task = asyncio.create_task(self._expire_leases())
        return self

    async def close(self) -> None:
        if self.expiry_task is not None:
            self.expiry_task.cancel()
        for member in self.members:
            await member.close()

    def addresses(self) -> list[str]:
        return [f"127.0.0.1:{member.port}" for member in self.members]

    # Changes

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        self._changed([self.store.put(key.encode(), value, lease)])

    def delete(self, *keys: str) -> None:
        self._changed(self.store.delete([key.encode() for key in keys]))

    def compact(self) -> None:
        """Compact the history up to the current revision."""
        self.compactions += 1
        self.store.compact(self.store.revision)

    def restore(self, backup: Store) -> None:
        """Restore the cluster from a backup: all watches end, and the revision goes back."""
        self.store = backup.backup()
        for member in self.members:
            member.cut()

    def expire_tokens(self) -> None:
        """Expire all tokens now, and cancel the watches that use them."""
        self.tokens.clear()
        for member in self.members:
            for watch in list(member.watches):
                watch.end("etcdserver: invalid auth token")

    def _changed(self, events: list[rpc.Event]) -> None:
        for member in self.members:
            if member.frozen is None:
                for watch in list(member.watches):
                    watch.send_changes(events)

    async def _expire_leases(self) -> None:
        """Revoke leases whose time to live has passed without a keep-alive."""
        while True:
            await asyncio.sleep(EXPIRY_CHECK_S)
            now = time.monotonic()
            for lease in list(self.store.leases.values()):
                if now > lease.heard_at + lease.ttl_s:
                    self.end_lease(lease.id)

    def end_lease(self, lease: int) -> None:
        """Remove a lease and delete its keys."""
        ended = self.store.leases.pop(lease, None)
        if ended is not None:
            self._changed(self.store.delete(sorted(ended.keys)))


class Member(
    rpc_pb2_grpc.KVServicer,  # type: ignore[misc]
    rpc_pb2_grpc.WatchServicer,  # type: ignore[misc]
    rpc_pb2_grpc.LeaseServicer,  # type: ignore[misc]
    rpc_pb2_grpc.AuthServicer,  # type: ignore[misc]
    rpc_pb2_grpc.MaintenanceServicer,  # type: ignore[misc]
):
    """A member and its faults.

    `down`: rejects all calls. `silent`: watches send no responses, not even progress notifications.
    `frozen`: the outdated store that the member serves.
    """

    def __init__(self, cluster: Cluster, credentials: Any) -> None:
        self.cluster = cluster
        self.credentials = credentials
        self.port = 0
        self.down = self.silent = False
        self.frozen: Store | None = None
        self.watches: set[WatchStream] = set()
        self.server: grpc.aio.Server | None = None

    @property
    def store(self) -> Store:
        return self.frozen or self.cluster.store

    async def start(self) -> None:
        self.server = grpc.aio.server(
            options=[
                ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
                ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
                ("grpc.so_reuseport", 0),
            ]
        )
        for name in ("KV", "Watch", "Lease", "Auth", "Maintenance"):
            getattr(rpc_pb2_grpc, f"add_{name}Servicer_to_server")(self, self.server)
        address = f"127.0.0.1:{self.port}"
        if self.credentials is None:
            self.port = self.server.add_insecure_port(address)
        else:
            self.port = self.server.add_secure_port(address, self.credentials)
        await self.server.start()

    async def close(self) -> None:
        self.cut()
        if self.server is not None:
            await self.server.stop(0.0)

    def cut(self) -> None:
        """End all watches, as a member that shuts down does."""
        for watch in list(self.watches):
            self.cluster.watches_cut += 1
            watch.end("")

    def stop_serving(self) -> None:
        """End all watches and reject calls from now on."""
        self.down = True
        self.cut()

    def fall_behind(self) -> None:
        """Serve the current state from now on, whatever is written later."""
        self.frozen = self.cluster.store.backup()

    def header(self) -> rpc.ResponseHeader:
        return rpc.ResponseHeader(cluster_id=1, member_id=self.port, revision=self.store.revision)

    async def _authorize(self, context: Any) -> None:
        if self.down:
            await context.abort(grpc.StatusCode.UNAVAILABLE, "etcdserver: no leader")
        metadata = dict(context.invocation_metadata() or ())
        if self.cluster.user and metadata.get("token") not in self.cluster.tokens:
            await context.abort(grpc.StatusCode.UNAUTHENTICATED, "etcdserver: invalid auth token")

    # The gRPC API; method names are those of etcd.

    async def Authenticate(self, request: Any, context: Any) -> Any:  # noqa: N802
        if self.down:
            await context.abort(grpc.StatusCode.UNAVAILABLE, "etcdserver: no leader")
        if f"{request.name}:{request.password}" != self.cluster.user:
            message = "etcdserver: authentication failed, invalid user ID or password"
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, message)
        token = f"token.{next(self.cluster.ids)}"
        self.cluster.tokens.add(token)
        return rpc.AuthenticateResponse(header=self.header(), token=token)

    async def Status(self, request: Any, context: Any) -> Any:  # noqa: N802
        return rpc.StatusResponse(header=self.header(), version="3.5.0", leader=1)

    async def Range(self, request: Any, context: Any) -> Any:  # noqa: N802
        await self._authorize(context)
        if self.frozen is not None and not request.serializable:  # the member cannot reach its leader
            await context.abort(grpc.StatusCode.UNAVAILABLE, "etcdserver: request timed out")
        found = self.store.keys_in_range(request.key, request.range_end)
        prefix = request.key.decode("utf-8", "replace")
        answer = rpc.RangeResponse(header=self.header(), kvs=found, count=len(found))
        keys = {kv.key.decode("utf-8", "replace") for kv in found}
        self.cluster.on_range_read(prefix, keys, time.monotonic())
        return answer

    async def Put(self, request: Any, context: Any) -> Any:  # noqa: N802
        await self._authorize(context)
        if request.lease and request.lease not in self.cluster.store.leases:
            await context.abort(grpc.StatusCode.NOT_FOUND, "etcdserver: requested lease not found")
        self.cluster._changed([self.cluster.store.put(request.key, request.value, request.lease)])
        return rpc.PutResponse(header=self.header())

    async def DeleteRange(self, request: Any, context: Any) -> Any:  # noqa: N802
        await self._authorize(context)
        keys = [key for key in self.cluster.store.keys if in_range(key, request.key, request.range_end)]
        events = self.cluster.store.delete(sorted(keys))
        self.cluster._changed(events)
        return rpc.DeleteRangeResponse(header=self.header(), deleted=len(events))

    async def Compact(self, request: Any, context: Any) -> Any:  # noqa: N802
        await self._authorize(context)
        self.cluster.store.compact(request.revision)
        return rpc.CompactionResponse(header=self.header())

    async def LeaseGrant(self, request: Any, context: Any) -> Any:  # noqa: N802
        await self._authorize(context)
        lease = Lease(request.ID or next(self.cluster.ids) + 1_000, request.TTL)
        self.cluster.store.leases[lease.id] = lease
        return rpc.LeaseGrantResponse(header=self.header(), ID=lease.id, TTL=lease.ttl_s)

    async def LeaseRevoke(self, request: Any, context: Any) -> Any:  # noqa: N802
        await self._authorize(context)
        self.cluster.end_lease(request.ID)
        return rpc.LeaseRevokeResponse(header=self.header())

    async def LeaseKeepAlive(self, requests: AsyncIterator[Any], context: Any) -> AsyncIterator[Any]:  # noqa: N802
        await self._authorize(context)
        async for request in requests:
            lease = self.cluster.store.leases.get(request.ID)
            if lease is not None:
                lease.heard_at = time.monotonic()
            ttl = lease.ttl_s if lease is not None else 0
            yield rpc.LeaseKeepAliveResponse(header=self.header(), ID=request.ID, TTL=ttl)

    async def Watch(self, requests: AsyncIterator[Any], context: Any) -> None:  # noqa: N802
        await self._authorize(context)
        stream = WatchStream(self, context)
        self.watches.add(stream)
        background = BackgroundTasks()
        background.begin(stream.read(requests))
        try:
            await stream.write()
        finally:
            self.watches.discard(stream)
            for task in list(background.tasks):
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task


class WatchStream:
    """One stream of watches; responses are sent in the order of their creation."""

    def __init__(self, member: Member, context: Any) -> None:
        self.member = member
        self.context = context
        self.responses: asyncio.Queue[Any] = asyncio.Queue()
        self.watches: dict[int, Any] = {}
        self.watch_ids = itertools.count(0)

    async def read(self, requests: AsyncIterator[Any]) -> None:
        async for request in requests:
            kind = request.WhichOneof("request_union")
            if kind == "create_request":
                self._create(request.create_request)
            elif kind == "cancel_request":
                watch_id = request.cancel_request.watch_id
                self.watches.pop(watch_id, None)
                self._send_response(watch_id=watch_id, canceled=True)
            elif kind == "progress_request":
                self._send_response(watch_id=-1)
        self.responses.put_nowait(None)

    def _create(self, request: Any) -> None:
        watch_id = next(self.watch_ids)
        self._send_response(watch_id=watch_id, created=True)
        start_revision = request.start_revision or self.member.store.revision + 1
        try:
            missed_events = self.member.store.events_since(start_revision, request.key, request.range_end)
        except Compacted:
            self._send_response(
                watch_id=watch_id, canceled=True, compact_revision=self.member.store.compacted
            )
            return
        self.watches[watch_id] = request
        for _, events in itertools.groupby(missed_events, key=lambda event: event.kv.mod_revision):
            self._send_events(watch_id, request, list(events))

    def send_changes(self, events: list[rpc.Event]) -> None:
        for watch_id, watch in self.watches.items():
            matching = [event for event in events if in_range(event.kv.key, watch.key, watch.range_end)]
            if matching:
                self._send_events(watch_id, watch, matching)

    def _send_events(self, watch_id: int, watch: Any, events: list[rpc.Event]) -> None:
        max_events = self.member.cluster.max_events_per_response if watch.fragment else 0
        step = max_events or len(events)
        for offset in range(0, len(events), step):
            is_last = offset + step >= len(events)
            self._send_response(
                watch_id=watch_id, events=events[offset : offset + step], fragment=not is_last
            )

    def _send_response(self, **fields: Any) -> None:
        self.responses.put_nowait(rpc.WatchResponse(header=self.member.header(), **fields))

    def end(self, reason: str) -> None:
        """End the stream, like a lost connection or, with a `reason`, after a cancellation of the watch."""
        if reason:
            self._send_response(watch_id=0, canceled=True, cancel_reason=reason)
        self.responses.put_nowait(None)

    async def write(self) -> None:
        while (response := await self.responses.get()) is not None:
            if self.member.silent:
                continue
            await self.context.write(response)
            at = time.monotonic()
            for event in response.events:
                key = event.kv.key.decode("utf-8", "replace")
                self.member.cluster.on_change_sent(key, event.type == DELETE, at)
        if self.member.down:
            await self.context.abort(grpc.StatusCode.UNAVAILABLE, "etcdserver: no leader")
