"""The assembled program: engine, transport, discovery, listener and the enabled features."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from garnethaven.app.registry import make_feature, table_type
from garnethaven.config import Config
from garnethaven.engine.engine import Engine, S
from garnethaven.limits.budgets import DescriptorBudget
from garnethaven.limits.view import Figures, LimitsLog, report
from garnethaven.membership.discovery import Discovery
from garnethaven.net.listener import Listener
from garnethaven.net.transport import HttpTransport
from garnethaven.net.upstream import Pool
from garnethaven.ops.service import OperatorService
from garnethaven.ops.shared import SharedCordons
from garnethaven.parts import Parts

if TYPE_CHECKING:
    from garnethaven.app.operator import Operator
    from garnethaven.feature import Feature

LIMITS_LOG_INTERVAL_S = 1.0  # between two checks of the limits for the log


class Sidecar:
    """Listens as soon as it is created; `start` opens the features that the operator's file enables."""

    def __init__(self, config: Config, operator: Operator, loop: asyncio.AbstractEventLoop) -> None:
        self.config = config
        self.loop = loop
        self.descriptors = DescriptorBudget(config.sockets)
        self.engine = Engine(config.name, config.settings, config.seed, loop)
        self.parts = parts = Parts(config, loop, self.engine, Pool, self.report, config.known)
        self.features: dict[str, Feature[Any, Any]] = {
            name: make_feature(name, table, parts) for name, table in operator.items()
        }
        self.transport = parts.transport = HttpTransport(
            self.engine, config.settings, loop, self._max_endpoints, config.memory_mb, parts.make_pool
        )
        parts.learn = self.transport.apply_list
        for feature in self.features.values():
            feature.prepare()
        self.discovery = parts.discovery = Discovery(config, self.engine, self.transport, loop, parts.learn)
        self.ops = self._make_ops()
        if self.ops is not None:
            self.ops.prepare()
        self.engine.start()
        self.discovery.start(parts.known)
        parts.known.clear()  # it has been read and may hold thousands of entries: free them
        config.known.clear()
        self.listener = parts.listener = Listener(
            config, self.engine, self.transport, loop, self._max_clients
        )
        self.drain_task: asyncio.Task[None] | None = None
        self.limits_log = LimitsLog()
        self.limits_timer = loop.call_later(LIMITS_LOG_INTERVAL_S, self._log_limits)

    def _make_ops(self) -> OperatorService | None:
        """The operators' endpoint, if the configuration names its address; else None."""
        config = self.config
        if config.ops is None:
            return None
        shared = SharedCordons(os.environ.get("TMPDIR"), config.name, self.engine.log)
        names = config.names.request_classes
        return OperatorService(
            config.ops, self.engine, self.transport, shared, names, self._accepts_clients, self._share_limits
        )

    def _accepts_clients(self) -> bool:
        """Whether this process accepts clients."""
        return not self.listener.draining

    def _share_limits(self, others: int) -> None:
        """Divide the limits among this process and `others` further processes of the same sidecar."""
        self.descriptors.share(1 + others)
        self.transport.pool.memory.share(1 + others)

    async def start(self) -> None:
        """Open the operators' address and the features; raises OSError if an address cannot be bound."""
        if self.ops is not None:
            await self.ops.open()
        for feature in self.features.values():
            await feature.open()

    # Draining

    def drain(self) -> None:
        """Start draining all fronts."""
        if self.drain_task is None:
            self.drain_task = self.loop.create_task(self._drain_all())

    async def _drain_all(self) -> None:
        features = list(self.features.values())
        await asyncio.gather(*(feature.withdraw() for feature in features))
        self.listener.drain()
        grace_s = max(grade.deadline for grade in self.engine.settings.request_classes) / S
        await asyncio.gather(self.listener.finished, *(feature.drain(grace_s) for feature in features))
        for feature in reversed(features):
            await feature.close()
        if self.ops is not None:
            self.ops.close()

    async def finished(self) -> None:
        """Wait until the drain is complete."""
        await self.listener.finished
        if self.drain_task is not None:
            await self.drain_task
        self.limits_timer.cancel()

    # Reloads

    def reload(self, config: Config, operator: Operator) -> list[str]:
        """Apply the changes that are possible at run time; return the fields whose change needs a restart.

        A table that was added or removed changes from or to its defaults, which mean off.
        """
        needing_restart: list[str] = []
        for name in {**self.features, **operator}:
            off = table_type(name)()
            if name not in self.features:
                self.features[name] = make_feature(name, off, self.parts)
            needing_restart += self.features[name].renew(operator.get(name, off))
        self.discovery.move(config.discovery)
        return needing_restart

    # Figures

    def _max_clients(self) -> int:
        return self.descriptors.max_clients(self.transport.pool.connection_count())

    def _max_endpoints(self) -> int:
        return self.descriptors.max_endpoints(self.listener.counted_connections())

    def _log_limits(self) -> None:
        self.limits_timer = self.loop.call_later(LIMITS_LOG_INTERVAL_S, self._log_limits)
        message = self.limits_log.next_line(self.figures(), self.loop.time())
        if message is not None:
            self.engine.log(message)

    def report(self) -> dict[str, object]:
        """For the operators' view: the limits in force and the figures of all features."""
        features: Mapping[str, object] = {
            name: values for name, feature in self.features.items() if (values := feature.figures())
        }
        return report(self.figures()) | {"features": features}

    def figures(self) -> Figures:
        """The current limits and their use."""
        listener, fresh, pool = self.listener, self.discovery.freshness, self.transport.pool
        overload = self.engine.balancer.overload
        clients = listener.counted_connections()
        return Figures(
            clients_held=clients,
            clients_most=self._max_clients(),
            client_places=listener.places.limit,
            silent_clients=listener.without_request,
            pressure=round(listener.places.pressure(clients), 3),
            returning=round(listener.places.return_share, 3),
            ended_early=listener.places.ended_early,
            endpoints_held=pool.connection_count(),
            endpoints_most=self._max_endpoints(),
            answers_bytes=pool.memory.used_bytes,
            answers_most=pool.memory.max_bytes,
            list_age_s=round(fresh.age_s(self.loop.time()), 3),
            list_wait_s=fresh.watch_wait_s,
            list_revision=fresh.revision,
            list_behind=fresh.stale_answers,
            discovery_calls=self.discovery.calls_made,
            discovery_extra_calls=self.discovery.fetch_calls,
            refused_share=round(overload.refused_share, 3),
            ease=round(overload.smoothed_latency_fraction, 3),
            under_way=len(self.engine.open_ids),
            oldest_s=round(self.engine.oldest_age_s(), 3),
        )
