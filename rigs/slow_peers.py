"""The rig `slow-peers`: long requests and answers through one program, between slow peers.

`python -m rigs slow-peers --seed N [--runs K]` runs the seeds N to N + K - 1, `JOBS` at a time. Each
draws the sizes of the kernel's buffers, and for each request its framing, size and time, how its client
writes it, how its server reads it, and how that writes its answer. Checked for each request, by the clocks
of the peers:

- its final answer begins by the end of its time, counted from when the client's kernel took the last byte;
- a long answer that its server begins in time is passed on whole;
- a request that its server has read and answered well before the end of its time is served;
- no request that is unsafe to repeat is read completely by two servers.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import tempfile
from dataclasses import asdict, dataclass, field
from pathlib import Path

from standins.discovery import Discovery
from standins.failing_calls import FaultPlan
from standins.ledger import Ledger
from standins.long_request_client import ClientRecord, RequestPlan, send_request
from standins.platform import (
    COLD_SHARE,
    GRACE_S,
    OVERLOAD_FACTOR,
    OVERLOAD_WINDOW_S,
    WINDOW_S,
    Program,
    settings,
)
from standins.slow_server import AnswerPlan, Framing, ReadPlan, ServerPlan, ServerRecord, SlowServer

SERVERS = 6
JOBS = 3
REQUESTS = 24
SPREAD_S = 1.0  # over which the requests begin
LATE_GRACE_S = 0.55  # after its time an answer only earns nothing; later it is lost
IN_TIME_MARGIN_S = 0.4  # an answer that begins this long before the end of the time must be passed on
PATIENCE_S = 4.6  # of a client, after its last byte and between two parts of its answer
MAX_SHORT_BYTES = 64 * 1024  # of a shorter answer the last byte is timed, of a longer one the first
MAX_RUN_S = 90.0
BROKEN_OFF = 502  # the status of a request whose attempt failed and may have run


@dataclass(frozen=True)
class BufferPlan:
    """Sizes of kernel buffers in bytes; 0: the kernel's choice."""

    program_send_buffer: int
    segment: int
    server_receive_buffer: int


@dataclass(frozen=True)
class ExchangePlan:
    """One request, and what the server that gets it does."""

    request: RequestPlan
    server: ServerPlan
    starts_after_s: float


@dataclass(frozen=True)
class RunPlan:
    buffers: BufferPlan
    exchanges: tuple[ExchangePlan, ...]
    planned_pool: bool = False  # whether the operator's file enables planned connections

    @classmethod
    def draw(cls, seed: int) -> RunPlan:
        rng = random.Random(seed)
        buffers = BufferPlan(
            program_send_buffer=rng.choice([0, 8 * 1024, 64 * 1024]),
            segment=rng.choice([0, 1448]),
            server_receive_buffer=rng.choice([0, 8 * 1024, 64 * 1024]),
        )
        exchanges = tuple(_draw_exchange(rng, f"r{seed}-{number}") for number in range(REQUESTS))
        return cls(buffers, exchanges, rng.random() < 0.3)


def _draw_exchange(rng: random.Random, call_id: str) -> ExchangePlan:
    size = int(10 ** rng.uniform(4.5, 6.7))  # 32 kB to 5 MB
    request = RequestPlan(
        call_id=call_id,
        framing=rng.choice([Framing.CHUNKED, Framing.CHUNKED, Framing.LENGTH]),
        size=size,
        budget_s=rng.choice([0.5, 1.0, 1.0, 2.0, 3.0]),
        chunk_bytes=rng.choice([200, 1000, 4096, 65536]),
        send_buffer_bytes=rng.choice([0, 0, 16 * 1024, 128 * 1024]),
        bytes_per_s=rng.choice([0.0, 0.0, 0.0, 250_000.0]),
        pause_s=rng.choice([0.0, 0.0, 0.0, 0.8]),
        key=rng.choice(["", f"k-{call_id}"]),
        offers_upgrade=rng.random() < 0.1,
    )
    kind = rng.choice(["reads", "reads", "reads slowly", "stops", "pauses"])
    bytes_per_s = {"reads slowly": rng.uniform(60_000, 900_000), "pauses": size / rng.uniform(0.5, 3.0)}
    stops_after = rng.randrange(4_000, 60_000) if kind == "stops" else None
    answer = AnswerPlan(Framing.LENGTH, 5)
    if rng.random() < 0.5:
        answer = AnswerPlan(
            framing=rng.choice(list(Framing)),
            size=rng.choice([100_000, 300_000]),
            duration_s=rng.choice([0.0, 2.0, 4.0]),
            interval_s=rng.choice([0.1, 0.5, 1.0]),
            delay_s=rng.choice([0.0, 0.2]),
        )
    read = ReadPlan(bytes_per_s.get(kind, 0.0), stops_after)
    return ExchangePlan(request, ServerPlan(read, answer), rng.uniform(0.0, SPREAD_S))


@dataclass
class Verdict:
    """The result of one run; `faults` are descriptions of broken rules."""

    faults: list[str] = field(default_factory=list)
    outcomes: dict[str, int] = field(default_factory=dict)  # number of requests by status; 0: none


def judge(plan: ExchangePlan, record: ClientRecord, seen: list[ServerRecord]) -> list[str]:
    """The rules that one exchange broke."""
    return [
        *_late(record),
        *_cut_off(plan, record, seen),
        *_unserved(plan, record, seen),
        *_broken_off(record),
        *_twice(plan, seen),
    ]


def _late(record: ClientRecord) -> list[str]:
    due_at = record.due_at()
    if due_at is None:
        return []
    if record.answer_began_at is None:
        end = "the connection was closed" if record.closed_at else f"none within {PATIENCE_S:g} s"
        return [f"no answer: {end}"]
    late_s = record.answer_began_at - due_at
    return [f"answer {record.status} began {late_s:.2f} s after its time"] if late_s > LATE_GRACE_S else []


def _cut_off(plan: ExchangePlan, record: ClientRecord, seen: list[ServerRecord]) -> list[str]:
    """A long answer that began in time, and that its server wrote or was still writing, is not whole."""
    due_at, answer = record.due_at(), plan.server.answer
    if due_at is None or answer.size <= MAX_SHORT_BYTES:
        return []
    begun = [item.answer_began_at for item in seen if item.answer_began_at is not None]
    if not begun or min(begun) > due_at - IN_TIME_MARGIN_S:
        return []
    if record.status == 200 and record.body == answer.body():
        return []
    return [f"long answer cut off: status {record.status}, {len(record.body)} of {answer.size} bytes"]


def _unserved(plan: ExchangePlan, record: ClientRecord, seen: list[ServerRecord]) -> list[str]:
    due_at = record.due_at()
    ended = [item.answer_ended_at for item in seen if item.answer_ended_at is not None]
    if due_at is None or not ended or min(ended) > due_at - IN_TIME_MARGIN_S:
        return []
    served = record.status == 200 and record.body == plan.server.answer.body()
    return [] if served else [f"not served though its server answered in time: status {record.status}"]


def _broken_off(record: ClientRecord) -> list[str]:
    """No server of the rig closes a connection before it has answered, so no attempt may break off."""
    return ["its attempt broke off"] if record.status == BROKEN_OFF else []


def _twice(plan: ExchangePlan, seen: list[ServerRecord]) -> list[str]:
    """A keyed request may be repeated: all servers are of one rack, which drops repeats for `WINDOW_S`."""
    begun = [item.complete_at for item in seen if item.complete_at is not None]
    if plan.request.key and begun and max(begun) - min(begun) < WINDOW_S:
        return []
    return [f"{len(begun)} servers read the whole request"] if len(begun) > 1 else []


def describe(plan: ExchangePlan, record: ClientRecord) -> str:
    """The request and its times, in seconds from its first byte, for a report."""
    start_s = record.first_byte_written_at or 0.0

    def after(time_s: float | None) -> str:
        return "-" if time_s is None else f"{time_s - start_s:.3f}"

    request, read, answer = plan.request, plan.server.read, plan.server.answer
    return (
        f"{request.call_id} {request.framing.value} {request.size} bytes in chunks of {request.chunk_bytes}, "
        f"send buffer {request.send_buffer_bytes}, time {request.budget_s:g} s, "
        f"{'keyed' if request.key else 'unsafe'}; server reads {read.bytes_per_s:.0f} B/s and stops at "
        f"{read.stops_after_bytes}, answers {answer.size} bytes ({answer.framing.value}) over "
        f"{answer.duration_s:g} s; written {after(record.last_byte_written_at)}, answer began "
        f"{after(record.answer_began_at)}, ended {after(record.answer_ended_at)}, status {record.status}"
    )


class SlowPeersRun:
    """One run of the rig: the program, its servers and discovery, and the clients' requests."""

    def __init__(self, plan: RunPlan, seed: int) -> None:
        self.plan = plan
        self.seed = seed
        self.plans = {item.request.call_id: item for item in plan.exchanges}
        receive_buffer = plan.buffers.server_receive_buffer
        self.servers = [SlowServer(f"s{n}", self._server_plan, receive_buffer) for n in range(SERVERS)]
        ledger = Ledger(WINDOW_S, GRACE_S, OVERLOAD_FACTOR, OVERLOAD_WINDOW_S, COLD_SHARE)
        self.discovery = Discovery(ledger)

    def _server_plan(self, call_id: str) -> ServerPlan:
        return self.plans[call_id].server

    async def run(self) -> Verdict:
        with tempfile.TemporaryDirectory(prefix="rig-") as folder:
            program = await self._start(Path(folder))
            try:
                async with asyncio.timeout(MAX_RUN_S):
                    records = await asyncio.gather(
                        *(self._exchange(program.port, item) for item in self.plan.exchanges)
                    )
            finally:
                await program.stop()
                program.cleanup()
                for server in self.servers:
                    await server.close()
                self.discovery.close()
        return self._verdict(records)

    async def _start(self, folder: Path) -> Program:
        for server in self.servers:
            await server.start()
        await self.discovery.start()
        self.discovery.publish(server.member() for server in self.servers)
        buffers = self.plan.buffers
        faults = FaultPlan(
            folder, send_buffer_bytes=buffers.program_send_buffer, segment_bytes=buffers.segment
        )
        environment = faults.environment()
        if self.plan.planned_pool:
            file = folder / "operator.toml"
            file.write_text("[connections]\nplan = true\nopens_per_s = 40.0\n")
            environment["NODE_OPERATOR"] = str(file)
        program = Program(
            self.discovery.port, self.seed, self.discovery.snapshot(), settings(), environment=environment
        )
        return await program.start()

    async def _exchange(self, port: int, item: ExchangePlan) -> ClientRecord:
        await asyncio.sleep(item.starts_after_s)
        return await send_request(port, item.request, PATIENCE_S)

    def _verdict(self, records: list[ClientRecord]) -> Verdict:
        verdict = Verdict()
        for item, record in zip(self.plan.exchanges, records, strict=True):
            status = str(record.status)
            verdict.outcomes[status] = verdict.outcomes.get(status, 0) + 1
            call_id = item.request.call_id
            seen = [saw for server in self.servers for saw in server.records if saw.call_id == call_id]
            verdict.faults += [f"{fault}: {describe(item, record)}" for fault in judge(item, record, seen)]
        return verdict


async def run_seeds(seeds: list[int], jobs: int = JOBS) -> dict[int, Verdict]:
    """Run the seeds, at most `jobs` at a time; returns the verdict of each seed."""
    limiter = asyncio.Semaphore(jobs)

    async def run_seed(seed: int) -> tuple[int, Verdict]:
        async with limiter:
            verdict = await SlowPeersRun(RunPlan.draw(seed), seed).run()
            print(
                f"seed {seed}: {verdict.outcomes}", *verdict.faults, sep="\n  ", file=sys.stderr, flush=True
            )
            return seed, verdict

    return dict(await asyncio.gather(*map(run_seed, seeds)))


async def play(seed: int, seconds: float | None, as_json: bool, runs: int = 1) -> bool:
    """Entry point of `python -m rigs slow-peers`; true where no run broke a rule."""
    verdicts = await run_seeds(list(range(seed, seed + runs)))
    broken = {number: verdict.faults for number, verdict in verdicts.items() if verdict.faults}
    if as_json:
        print(json.dumps({number: asdict(verdict) for number, verdict in verdicts.items()}))
    else:
        print(f"{len(verdicts)} runs, {len(broken)} with broken rules: {sorted(broken)}")
    return not broken
