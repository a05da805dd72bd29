"""What the engine does where a budget has no tokens left, and where no budget is set."""

from __future__ import annotations

import time
from pathlib import Path

import pytest

from garnethaven.app.operator import OperatorError, read_operator
from garnethaven.budgets.table import Budgets
from garnethaven.engine.spending import Spend
from tests.loopback import ANSWER, answers_with, request, run, running_sidecar, wait_until
from tests.rigs.test_rigs import imported_at_start

ROOT = Path(__file__).parent.parent.parent


def test_nothing_of_it_is_imported_where_it_is_off() -> None:
    assert imported_at_start("garnethaven.budgets", "garnethaven.peers") == "[]"


def test_the_example_is_good() -> None:
    table = read_operator(str(ROOT / "deploy" / "examples" / "budgets.toml"))["budgets"]
    assert isinstance(table, Budgets) and table.homes == 3 and table.retries_share == 0.1


@pytest.mark.parametrize(
    ("line", "field", "word"),
    [
        ("retries_share = 1.5", "retries_share", "0 to 1"),
        ("retries_per_s = -1", "retries_per_s", "0 to"),
        ("lasts_s = 0.1", "lasts_s", "0.5 to 60"),
        ("homes = 1.5", "homes", "whole number"),
        ('earns = "no"', "earns", "true or false"),
        ("probes = 3", "probes", "unknown"),
    ],
)
def test_a_bad_field_is_named(line: str, field: str, word: str, tmp_path: Path) -> None:
    path = tmp_path / "o.toml"
    path.write_text(f"[budgets]\n{line}\n")
    with pytest.raises(OperatorError) as caught:
        read_operator(str(path))
    assert f"'budgets.{field}'" in str(caught.value) and word in str(caught.value)


def test_the_numbers_of_the_kinds_are_those_that_members_tell_one_another() -> None:
    assert {kind.name: int(kind) for kind in Spend} == {
        "RETRY": 1,
        "COPY": 2,
        "PROBE": 3,
        "COLD_DIAL": 4,
        "DISCOVERY": 5,
    }


class SpendingStub:
    """Allows a fixed number of actions of each kind and records the calls."""

    def __init__(self, **remaining: int) -> None:
        self.remaining = {Spend[name]: count for name, count in remaining.items()}
        self.calls: list[tuple[Spend, int]] = []
        self.first_tries = 0

    def may_spend(self, kind: Spend, subject: int = 0) -> bool:
        self.calls.append((kind, subject))
        remaining = self.remaining.get(kind, 1_000)
        self.remaining[kind] = remaining - 1
        return remaining > 0

    def first_try(self) -> None:
        self.first_tries += 1


BUSY = b"HTTP/1.1 503 Busy\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"


def test_a_marked_retry_without_room_is_refused_at_once_and_reaches_no_server() -> None:
    async def case() -> None:
        async with running_sidecar(answers_with(ANSWER)) as (sidecar, (peer,)):
            spending_stub = SpendingStub(RETRY=1)
            sidecar.engine.spending = spending_stub
            assert (await sidecar.ask(request()))[0] == 200
            retry_header = {"X_Again": "1"}
            assert (await sidecar.ask(request(X_Call_Id="c2", **retry_header)))[0] == 200
            assert (await sidecar.ask(request(X_Call_Id="c3", **retry_header)))[0] == 503
            assert len(peer.requests) == 2 and spending_stub.first_tries == 1
            assert spending_stub.calls == [(Spend.RETRY, 0)] * 2
            assert not sidecar.engine.open_ids and not sidecar.engine.calls

    run(case())


def test_a_further_attempt_without_room_is_not_made_and_the_request_ends() -> None:
    async def case() -> None:
        async with running_sidecar(answers_with(BUSY), answers_with(BUSY)) as (sidecar, peers):
            sidecar.engine.spending = SpendingStub(RETRY=0)
            assert (await sidecar.ask(request()))[0] == 503
            assert sum(len(peer.requests) for peer in peers) == 1
            sidecar.engine.spending = SpendingStub(RETRY=1)
            assert (await sidecar.ask(request(X_Call_Id="c2")))[0] == 503
            assert sum(len(peer.requests) for peer in peers) == 3
            await wait_until(lambda: not sidecar.engine.calls)

    run(case())


def test_a_dial_to_a_cold_server_without_room_leads_to_another_one() -> None:
    async def case() -> None:
        async with running_sidecar(answers_with(ANSWER), answers_with(ANSWER)) as (sidecar, peers):
            started = int(time.time() * 1000)
            members = [peer.member(f"s{n}") for n, peer in enumerate(peers)]
            members[1]["up_since_ms"] = started
            sidecar.set_members(members)
            spending_stub = SpendingStub(COLD_DIAL=0)
            sidecar.engine.spending = spending_stub
            for number in range(12):
                assert (await sidecar.ask(request(X_Call_Id=f"c{number}")))[0] == 200
            assert not peers[1].requests and len(peers[0].requests) == 12
            cold = [subject for kind, subject in spending_stub.calls if kind is Spend.COLD_DIAL]
            assert cold and len(set(cold)) == 1

    run(case())
