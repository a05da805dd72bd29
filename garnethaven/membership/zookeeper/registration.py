"""This program's own ephemeral node: made when it is ready, anew with each session, taken back before drains.

| what happens | what follows |
| --- | --- |
| a session is up | the node is created; a create whose reply was lost is told by NODE_EXISTS |
| NODE_EXISTS, of this session | it is ours: a resumed session, or a lost reply |
| NODE_EXISTS, of another | an earlier life's: deleted and created, for its address is ours |
| the session expired | the node has gone with it; the next session makes another |
| withdraw | the node is deleted, and nothing makes it again |
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass

from garnethaven.membership.payloads import written
from garnethaven.membership.table import Registration
from garnethaven.membership.zookeeper import records
from garnethaven.membership.zookeeper.client import Client
from garnethaven.membership.zookeeper.records import Code, Op, Reader, RecordError
from garnethaven.membership.zookeeper.session import Event, Lost, Replied

TRIES_MOST = 5  # at one session, so that two programs that claim one path do not fight without end


@dataclass(slots=True, frozen=True)
class Mine:
    """The tag of a request of this kind."""

    step: str


class Register:
    def __init__(
        self, settings: Registration, digest: str | None, client: Client, log: Callable[[str], None]
    ) -> None:
        assert settings.address is not None
        self.settings = settings
        self.digest = digest
        self.client = client
        self.log = log
        self.data = written(settings.form, settings.address, settings.facts)
        self.tries = 0
        self.registered = False
        self.withdrawn: asyncio.Future[None] | None = None

    def up(self) -> None:
        self.tries = 0
        self._create()

    def expired(self) -> None:
        self.registered = False

    async def withdraw(self) -> None:
        """Delete the node, and wait until that is known, for as long as the settings allow."""
        if self.withdrawn is not None:
            return
        self.withdrawn = self.client.loop.create_future()
        body = records.string(self.settings.path) + records.INT.pack(-1)
        if not self.registered or not self.client.ask(Op.DELETE, body, Mine("withdraw")):
            return
        self.client.flush()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(asyncio.shield(self.withdrawn), self.settings.withdraw_ms / 1000)

    def _create(self) -> None:
        if self.withdrawn is None and self.tries < TRIES_MOST:
            self.tries += 1
            body = records.create_body(self.settings.path, self.data, self.digest)
            self.client.ask(Op.CREATE, body, Mine("create"))

    def event(self, event: Event) -> bool:
        """Whether the event was of this node."""
        if not isinstance(event, Replied | Lost) or not isinstance(event.tag, Mine):
            return False
        if isinstance(event, Replied):
            self._replied(event.tag.step, event)
        return True

    def _replied(self, step: str, event: Replied) -> None:
        if step == "withdraw":
            self.registered = False
            if self.withdrawn is not None and not self.withdrawn.done():
                self.withdrawn.set_result(None)
        elif step == "create":
            self._created(event.code)
        elif step == "look":
            self._looked(event)
        elif step == "delete":
            self._create()

    def _created(self, code: int) -> None:
        if code == Code.OK:
            self.registered = True
        elif code == Code.NODE_EXISTS:
            self.client.ask(Op.GET_DATA, records.string(self.settings.path) + b"\0", Mine("look"))
        else:
            self.log(f"registry: {self.settings.path} can't be made, error {code}")

    def _looked(self, event: Replied) -> None:
        """A node is there already."""
        if event.code != Code.OK:
            self._create()
            return
        try:
            read = Reader(event.body)
            data, stat = read.buffer(), read.stat()
        except RecordError:
            return
        if stat.owner == self.client.session.id:
            self.registered = True
        elif data == self.data or not stat.owner:
            body = records.string(self.settings.path) + records.INT.pack(stat.version)
            self.client.ask(Op.DELETE, body, Mine("delete"))
        else:
            self.log(f"registry: {self.settings.path} is another's; this program is not registered")
