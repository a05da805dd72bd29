"""One program put together: engine, transport, discovery, listener, and the features that are switched on."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from garnethaven.app.registry import feature_of, table_of
from garnethaven.config import Config
from garnethaven.engine.engine import Engine, S
from garnethaven.limits.budgets import Descriptors
from garnethaven.limits.view import Figures, LogLine, report
from garnethaven.membership.discovery import Discovery
from garnethaven.net.listener import Listener
from garnethaven.net.transport import HttpTransport
from garnethaven.net.upstream import Pool
from garnethaven.ops.service import Ops
from garnethaven.ops.shared import Shared
from garnethaven.parts import Parts

if TYPE_CHECKING:
    from garnethaven.app.operator import Operator
    from garnethaven.feature import Feature

LOOK_S = 1.0  # between two looks at the limits for the log


class Sidecar:
    """Listens from its making on; `start` opens what the operator's file switches on."""

    def __init__(self, config: Config, operator: Operator, loop: asyncio.AbstractEventLoop) -> None:
        self.config = config
        self.loop = loop
        self.descriptors = Descriptors(config.sockets)
        self.engine = Engine(config.name, config.settings, config.seed, loop)
        self.parts = parts = Parts(config, loop, self.engine, Pool, self.report, config.known)
        self.features: dict[str, Feature[Any, Any]] = {
            name: feature_of(name, table, parts) for name, table in operator.items()
        }
        self.transport = parts.transport = HttpTransport(
            self.engine, config.settings, loop, self._endpoints_most, config.memory_mb, parts.make_pool
        )
        parts.learn = self.transport.learn
        for feature in self.features.values():
            feature.prepare()
        self.discovery = parts.discovery = Discovery(config, self.engine, self.transport, loop, parts.learn)
        self.ops = self._make_ops()
        if self.ops is not None:
            self.ops.prepare()
        self.engine.start()
        self.discovery.start(parts.known)
        parts.known.clear()  # it has been read: thousands of entries need not be held for the whole life
        config.known.clear()
        self.listener = parts.listener = Listener(
            config, self.engine, self.transport, loop, self._clients_most
        )
        self.ending: asyncio.Task[None] | None = None
        self.line = LogLine()
        self.look = loop.call_later(LOOK_S, self._look)

    def _make_ops(self) -> Ops | None:
        """The operators' side, where the configuration names its address."""
        config = self.config
        if config.ops is None:
            return None
        shared = Shared(os.environ.get("TMPDIR"), config.name, self.engine.log)
        names = config.names.grades
        return Ops(config.ops, self.engine, self.transport, shared, names, self._serves, self._beside)

    def _serves(self) -> bool:
        """Whether this process takes clients."""
        return not self.listener.draining

    def _beside(self, others: int) -> None:
        """So many other processes of this sidecar live: all share its limits."""
        self.descriptors.share(1 + others)
        self.transport.pool.memory.share(1 + others)

    async def start(self) -> None:
        """Open the operators' address and the features; raises OSError where an address can't be had."""
        if self.ops is not None:
            await self.ops.open()
        for feature in self.features.values():
            await feature.open()

    # The planned end

    def drain(self) -> None:
        """Begin the planned end, of all fronts."""
        if self.ending is None:
            self.ending = self.loop.create_task(self._end())

    async def _end(self) -> None:
        features = list(self.features.values())
        await asyncio.gather(*(feature.withdraw() for feature in features))
        self.listener.drain()
        grace_s = max(grade.deadline for grade in self.engine.settings.grades) / S
        await asyncio.gather(self.listener.finished, *(feature.drain(grace_s) for feature in features))
        for feature in reversed(features):
            await feature.close()
        if self.ops is not None:
            self.ops.close()

    async def finished(self) -> None:
        """Wait for the planned end."""
        await self.listener.finished
        if self.ending is not None:
            await self.ending
        self.look.cancel()

    # Reloads

    def reload(self, config: Config, operator: Operator) -> list[str]:
        """Take over what may change while it runs; the names of what waits for a restart.

        A table that is new or has gone changes from or to its defaults, which mean off.
        """
        waits: list[str] = []
        for name in {**self.features, **operator}:
            off = table_of(name)()
            if name not in self.features:
                self.features[name] = feature_of(name, off, self.parts)
            waits += self.features[name].renew(operator.get(name, off))
        self.discovery.move(config.discovery)
        return waits

    # Figures

    def _clients_most(self) -> int:
        return self.descriptors.clients(self.transport.pool.held())

    def _endpoints_most(self) -> int:
        return self.descriptors.endpoints(self.listener.held())

    def _look(self) -> None:
        self.look = self.loop.call_later(LOOK_S, self._look)
        line = self.line.due(self.figures(), self.loop.time())
        if line is not None:
            self.engine.log(line)

    def report(self) -> dict[str, object]:
        """For the operators' view: what acts, and the figures of all parts."""
        features: Mapping[str, object] = {
            name: told for name, feature in self.features.items() if (told := feature.figures())
        }
        return report(self.figures()) | {"features": features}

    def figures(self) -> Figures:
        """What the limits are now."""
        listener, fresh, pool = self.listener, self.discovery.fresh, self.transport.pool
        overload = self.engine.balancer.overload
        held = listener.held()
        return Figures(
            clients_held=held,
            clients_most=self._clients_most(),
            client_places=listener.places.most,
            silent_clients=listener.never_asked,
            pressure=round(listener.places.pressure(held), 3),
            returning=round(listener.places.returning, 3),
            ended_early=listener.places.ended_early,
            endpoints_held=pool.held(),
            endpoints_most=self._endpoints_most(),
            answers_bytes=pool.memory.held,
            answers_most=pool.memory.most,
            list_age_s=round(fresh.age_s(self.loop.time()), 3),
            list_wait_s=fresh.wait_s,
            list_revision=fresh.revision,
            list_behind=fresh.behind,
            discovery_calls=self.discovery.calls_made,
            discovery_extra_calls=self.discovery.extra_calls,
            refused_share=round(overload.refused_share, 3),
            ease=round(overload.ease, 3),
            under_way=len(self.engine.open_ids),
            oldest_s=round(self.engine.oldest_s(), 3),
        )
