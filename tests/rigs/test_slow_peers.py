"""Long requests and answers on the real program, between clients and servers that read and write slowly."""

from __future__ import annotations

import asyncio
import itertools

from rigs.slow_peers import REQUESTS, BufferPlan, ExchangePlan, RunPlan, SlowPeersRun, run_seeds
from standins.long_request_client import RequestPlan
from standins.slow_server import AnswerPlan, Framing, ReadPlan, ServerPlan

SMALL_BUFFERS = BufferPlan(program_send_buffer=8192, segment=0, server_receive_buffer=8192)
KERNEL_BUFFERS = BufferPlan(program_send_buffer=0, segment=0, server_receive_buffer=0)
SHORT_ANSWER = AnswerPlan(Framing.LENGTH, 5)
# Of the reported runs: bytes of the body, and after how many bytes its server stops reading.
STOPPED = [(216_009, 22_552), (250_860, 18_960), (111_241, 9_297), (276_020, 28_070)]
SLOWLY_READ = (959_011, 72_018.0)  # bytes of the body, bytes that its server reads a second


def faults(buffers: BufferPlan, exchanges: list[ExchangePlan]) -> list[str]:
    plan = RunPlan(buffers, tuple(exchanges))
    return asyncio.run(SlowPeersRun(plan, seed=1).run()).faults


# Seeds that broke rules before: late or missing answers, answers cut off, requests given up early.
SEEDS = [4, 5, 6, 7, 9, 15, 345]


def test_drawn_slow_peers_in_short_break_nothing() -> None:
    verdicts = asyncio.run(run_seeds(SEEDS))
    assert not {seed: verdict.faults for seed, verdict in verdicts.items() if verdict.faults}
    assert all(verdict.outcomes.get("200", 0) >= REQUESTS // 4 for verdict in verdicts.values()), verdicts


# The failure: the time of a body in chunks began when its last byte was read, which was late or never.
def test_requests_in_chunks_that_servers_do_not_read_are_answered_in_their_time() -> None:
    plans = [(size, ReadPlan(stops_after_bytes=stop)) for size, stop in STOPPED]
    plans.append((SLOWLY_READ[0], ReadPlan(bytes_per_s=SLOWLY_READ[1])))
    exchanges = [
        ExchangePlan(
            RequestPlan(f"r{number}", Framing.CHUNKED, size, budget_s=1.0),
            ServerPlan(read, SHORT_ANSWER),
            starts_after_s=0.1 * number,
        )
        for number, (size, read) in enumerate(plans)
    ]
    assert not faults(SMALL_BUFFERS, exchanges)


# The failure: such an answer was held back for 1.5 s though its request had 1 s, and so failed at that time.
def test_slow_answers_without_a_stated_length_behind_long_requests_are_not_cut_off() -> None:
    kinds = itertools.product([Framing.CHUNKED, Framing.LENGTH], Framing, [True, False])
    exchanges = [
        ExchangePlan(
            RequestPlan(f"r{number}", sent, 100_000, budget_s=1.0, key=f"k{number}" if keyed else ""),
            ServerPlan(ReadPlan(), AnswerPlan(answered, 100_000, duration_s=3.0)),
            starts_after_s=0.1 * number,
        )
        for number, (sent, answered, keyed) in enumerate(kinds)
    ]
    assert not faults(KERNEL_BUFFERS, exchanges)
