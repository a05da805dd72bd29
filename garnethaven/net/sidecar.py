"""One sidecar put together: engine, transport, discovery, listener, and the limits that they share."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from garnethaven.engine.engine import Engine, S
from garnethaven.limits.budgets import Descriptors
from garnethaven.limits.view import Figures, LogLine
from garnethaven.net.config import Address, Config
from garnethaven.net.discovery import Discovery
from garnethaven.net.listener import Listener
from garnethaven.net.transport import HttpTransport, MakePool
from garnethaven.net.upstream import Pool
from garnethaven.operator import Connections, Operator

if TYPE_CHECKING:
    from garnethaven.extproc.front import Front
    from garnethaven.grpcs.front import Front as GrpcFront
    from garnethaven.membership.sources import Sources
    from garnethaven.net.limits_view import LimitsView

LOOK_S = 1.0  # between two looks at the limits for the log


class Sidecar:
    """Listens from its making on; `start` opens what the operator's file switches on."""

    def __init__(self, config: Config, operator: Operator, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.operator = operator
        self.descriptors = Descriptors(config.sockets)
        self.engine = Engine(config.name, config.settings, config.seed, loop)
        self.transport = HttpTransport(
            self.engine,
            config.settings,
            loop,
            self._endpoints_most,
            config.memory_mb,
            self._make_pool(config, operator),
        )
        self.membership = self._membership(config, operator)
        self.discovery = Discovery(
            config,
            self.engine,
            self.transport,
            loop,
            operator.limits.watch_most_s,
            self.membership.merger.from_discovery if self.membership is not None else None,
        )
        self.engine.start()
        self.discovery.start(config.known)
        self.listener = Listener(
            config, self.engine, self.transport, loop, self._clients_most, operator.limits
        )
        self.view: LimitsView | None = None
        self.processor: Front | None = None
        self.processor_end: asyncio.Task[None] | None = None
        self.grpc: GrpcFront | None = None
        self.grpc_end: asyncio.Task[None] | None = None
        self.withdrawal: asyncio.Task[None] | None = None
        self.line = LogLine()
        self.look = loop.call_later(LOOK_S, self._look)

    def _make_pool(self, config: Config, operator: Operator) -> MakePool:
        """The pool of connections to servers, planned where the operator's file says so."""
        if not operator.connections.plan:
            return Pool
        from garnethaven.connections.planned import pool_maker

        return pool_maker(operator.connections, self.engine, config.seed)

    def _membership(self, config: Config, operator: Operator) -> Sources | None:
        """Sources beside discovery, where the operator's file has any."""
        if operator.membership is None or operator.membership.zookeeper is None:
            return None
        from garnethaven.membership.sources import Sources

        return Sources(operator.membership, config, self.loop, self.transport.learn, self.engine.log)

    def _clients_most(self) -> int:
        return self.descriptors.clients(self.transport.pool.held())

    def _endpoints_most(self) -> int:
        return self.descriptors.endpoints(self.listener.held())

    async def start(self) -> None:
        """Open the operators' front where there is one; raises OSError where its address can't be had."""
        address = self.operator.limits.view
        if address is not None:
            from garnethaven.net.limits_view import LimitsView

            self.view = await LimitsView(self.figures).start(address)
        processor = self.operator.external_processor
        if processor.listen is not None:
            from garnethaven.extproc.front import Front

            front = Front(processor, self.engine, self.transport, self.listener.classes)
            self.processor = await front.start(processor.listen)
        if self.operator.grpc.listen is not None:
            await self._start_grpc(self.operator.grpc.listen)
        if self.membership is not None:
            self.membership.start()

    async def _start_grpc(self, listen: Address) -> None:
        from garnethaven.grpcs.front import Front, client_tls
        from garnethaven.grpcs.transport import GrpcTransport

        def address_of(endpoint: int) -> Address | None:
            target = self.transport.targets.get(endpoint)
            if target is None or target.address is None:
                return None
            host, port = target.address
            return host, port + self.operator.grpc.port_offset

        tls = client_tls(self.operator.grpc) if self.operator.grpc.server_ca else None
        carrier = GrpcTransport(self.engine, self.loop, address_of, tls)
        front = Front(self.operator.grpc, self.engine, carrier, self.listener.classes)
        self.grpc = await front.start(listen)

    def drain(self) -> None:
        """Begin the planned end, of all fronts; a registration is taken back before."""
        if self.membership is None:
            self._drain_fronts()
        elif self.withdrawal is None:
            self.withdrawal = self.loop.create_task(self._withdraw(self.membership))

    async def _withdraw(self, membership: Sources) -> None:
        await membership.withdraw()
        self._drain_fronts()

    def _drain_fronts(self) -> None:
        self.listener.drain()
        longest = max(grade.deadline for grade in self.engine.settings.grades)
        if self.grpc is not None and self.grpc_end is None:
            self.grpc_end = self.loop.create_task(self.grpc.close(longest / S))
        if self.processor is not None and self.processor_end is None:
            self.processor_end = self.loop.create_task(self.processor.close(longest / S))

    async def finished(self) -> None:
        """Wait for the planned end."""
        await self.listener.finished
        if self.processor_end is not None:
            await self.processor_end
        if self.grpc_end is not None:
            await self.grpc_end
        if self.membership is not None:
            await self.membership.close()
        self.look.cancel()
        if self.view is not None:
            await self.view.close()

    def reload(self, config: Config, operator: Operator) -> list[str]:
        """Take over what may change while it runs; the names of what waits for a restart."""
        waits = ["limits.view"] if operator.limits.view != self.operator.limits.view else []
        before, self.operator = self.operator, operator
        if self.processor is not None:
            moved = not self.processor.renew(operator.external_processor)
        else:
            moved = operator.external_processor.listen != before.external_processor.listen
        if not self.grpc.renew(operator.grpc) if self.grpc is not None else operator.grpc != before.grpc:
            waits.append("grpc")
        waits += self._renew_pool(before.connections, operator.connections)
        if moved:
            waits.append("external_processor.listen")
        if self.membership is not None:
            waits += self.membership.reload(operator.membership)
        elif operator.membership is not None and operator.membership.zookeeper is not None:
            waits.append("membership")
        self.listener.set_limits(operator.limits)
        self.discovery.fresh.set_wait_most(operator.limits.watch_most_s)
        self.discovery.move(config.discovery)
        return waits

    def _renew_pool(self, before: Connections, after: Connections) -> list[str]:
        if before.plan != after.plan:
            return ["connections.plan"]
        if after.plan and after != before:
            from garnethaven.connections.planned import rules_of
            from garnethaven.connections.pool import PlannedPool

            assert isinstance(self.transport.pool, PlannedPool)
            self.transport.pool.set_rules(rules_of(after, self.engine.settings))
        return []

    def _look(self) -> None:
        self.look = self.loop.call_later(LOOK_S, self._look)
        line = self.line.due(self.figures(), self.loop.time())
        if line is not None:
            self.engine.log(line)

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
