"""This program's own ephemeral node: created with each session, deleted before the program drains.

| event | action |
| --- | --- |
| a session is up | create the node; if the reply to an earlier create was lost, NODE_EXISTS shows it |
| NODE_EXISTS, owned by this session | registered: the session was resumed, or a reply was lost |
| NODE_EXISTS, another session, same data (our address) or not ephemeral | delete an earlier run's, create |
| NODE_EXISTS, another session, other data | logged; the program stays unregistered |
| the session expired | the node was deleted with it; the next session creates another |
| withdraw | delete the node; it is not created again |
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass

from garnethaven.membership.payloads import encode_entry
from garnethaven.membership.table import Registration
from garnethaven.membership.zookeeper import records
from garnethaven.membership.zookeeper.client import Client
from garnethaven.membership.zookeeper.records import Code, Op, Reader, RecordError
from garnethaven.membership.zookeeper.session import Event, ReplyReceived, RequestLost

MAX_CREATE_TRIES = 5  # per session: two programs with one path must not replace each other endlessly


@dataclass(slots=True, frozen=True)
class RegistrationTag:
    """The tag of the requests that are made here."""

    step: str


class NodeRegistration:
    """Creates and deletes the node."""

    def __init__(
        self, settings: Registration, digest: str | None, client: Client, log: Callable[[str], None]
    ) -> None:
        assert settings.address is not None
        self.settings = settings
        self.digest = digest
        self.client = client
        self.log = log
        self.data = encode_entry(settings.form, settings.address, settings.facts)
        self.create_tries = 0
        self.registered = False
        self.withdrawn: asyncio.Future[None] | None = None

    def up(self) -> None:
        self.create_tries = 0
        self._create()

    def expired(self) -> None:
        self.registered = False

    async def withdraw(self) -> None:
        """Delete the node and wait for the reply, at most `withdraw_ms`."""
        if self.withdrawn is not None:
            return
        self.withdrawn = self.client.loop.create_future()
        body = records.string(self.settings.path) + records.INT.pack(-1)
        if not self.registered or not self.client.request(Op.DELETE, body, RegistrationTag("withdraw")):
            return
        self.client.flush()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(asyncio.shield(self.withdrawn), self.settings.withdraw_ms / 1000)

    def _create(self) -> None:
        if self.withdrawn is None and self.create_tries < MAX_CREATE_TRIES:
            self.create_tries += 1
            body = records.create_body(self.settings.path, self.data, self.digest)
            self.client.request(Op.CREATE, body, RegistrationTag("create"))

    def event(self, event: Event) -> bool:
        """Handle the reply to a request made here; returns False for any other event."""
        if not isinstance(event, ReplyReceived | RequestLost) or not isinstance(event.tag, RegistrationTag):
            return False
        if isinstance(event, ReplyReceived):
            self._reply(event.tag.step, event)
        return True

    def _reply(self, step: str, event: ReplyReceived) -> None:
        if step == "withdraw":
            self.registered = False
            if self.withdrawn is not None and not self.withdrawn.done():
                self.withdrawn.set_result(None)
        elif step == "create":
            self._create_reply(event.code)
        elif step == "look":
            self._existing_node(event)
        elif step == "delete":
            self._create()

    def _create_reply(self, code: int) -> None:
        if code == Code.OK:
            self.registered = True
        elif code == Code.NODE_EXISTS:
            self.client.request(
                Op.GET_DATA, records.string(self.settings.path) + b"\0", RegistrationTag("look")
            )
        else:
            self.log(
                f"registry: {self.settings.path} can't be created: ZooKeeper error {code}; not registered"
            )

    def _existing_node(self, event: ReplyReceived) -> None:
        """The reply to the read of a node that exists already: keep it, replace it, or leave it."""
        if event.code != Code.OK:
            self._create()
            return
        try:
            reader = Reader(event.body)
            data, stat = reader.buffer(), reader.stat()
        except RecordError:
            return
        if stat.owner == self.client.session.id:
            self.registered = True
        elif data == self.data or not stat.owner:
            body = records.string(self.settings.path) + records.INT.pack(stat.version)
            self.client.request(Op.DELETE, body, RegistrationTag("delete"))
        else:
            self.log(
                f"registry: {self.settings.path} belongs to another session; this program is not registered"
            )
