"""One member's token balances, and the transfer of tokens between members. No I/O; topic `budgets` in rows.

The operator configures the number of members that earn tokens (origins), the same on all members. While
configurations differ, every member uses the largest number it has received: less is earned then, never more.

A member that refuses an action for lack of tokens is *short*. It publishes its shortage in its rows and asks
more members than usual, naming the missing amount in each question. A member that is asked transfers what it
can spare, in its answer, in proportion to the shortages that all members have published: nobody who needs
tokens is left without because another asked first. It keeps what it spent recently and `RESERVE_RATIO` of
what it earns, so that lending never leaves a member without tokens.

The age of transferred tokens is the published age plus the time since the question (conversation.py): delays
make them expire earlier, never later. Transfers of one process are numbered; a duplicate, or one older than
the latest received, is ignored.

`may_spend` answers at once and returns True for kinds without a budget, which have only their local limits.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

from garnethaven.budgets.token_balance import SECOND, TokenBalance, TokenBatch
from garnethaven.peers.conversation import Exchange, Peer, Topic

TOPIC = "budgets"
RESERVE_RATIO = 0.25  # of what a member earns in a token lifetime; never lent
USAGE_WINDOW = SECOND  # over which spending and shortages are counted
MAX_ACCOUNTS = 4096  # accounts of one member; the least recently used is dropped with its tokens
MAX_SHORTAGES = 16  # in one question, largest first
MAX_BATCHES_PER_TRANSFER = 32
MAX_BATCHES_PER_ANSWER = 32  # no further account is added after that: an answer is one datagram
# Additional peers that a short member asks in each period, without their rows.
MIN_EXTRA_PEERS, MAX_EXTRA_PEERS = 5, 64
# How often all other members are asked within a token lifetime, as far as `MAX_EXTRA_PEERS` allows.
ROUNDS_PER_LIFETIME = 2.0
MAX_LENDERS = 4096  # lending processes whose latest transfer number is kept
MAX_DECODED_ROWS = 8192
MAX_ORIGIN_COUNT = (
    4096  # accepted from a peer: a larger number would reduce everybody's rate to almost nothing
)
NS_PER_MS = 1_000_000

Key = tuple[int, int]  # kind, subject


class Budget(NamedTuple):
    """A fleet-wide budget: `per_s` tokens per second plus `share` tokens per event that earns them."""

    per_s: float
    share: float
    lifetime: int  # nanoseconds: burst / rate


class Shortage(NamedTuple):
    """The amount of tokens that a member is missing in one account."""

    kind: int
    subject: int
    amount: float


class PublishedState(NamedTuple):
    """A member's topic: the configured number of origins (0: this member earns none) and its shortages."""

    origin_count: int
    shortages: Annotated[list[Shortage], Meta(max_length=16)]


class Transfer(NamedTuple):
    """Tokens of one account on their way to another member."""

    kind: int
    subject: int
    # Age in milliseconds, amount.
    batches: Annotated[list[tuple[int, float]], Meta(max_length=MAX_BATCHES_PER_TRANSFER)]


class Transfers(NamedTuple):
    """All transfers of one answer. `serial` increases with each answer of a process."""

    serial: int
    entries: Annotated[list[Transfer], Meta(max_length=MAX_SHORTAGES)]


decode_published_state = msgspec.msgpack.Decoder(PublishedState).decode
decode_shortages = msgspec.msgpack.Decoder(Annotated[list[Shortage], Meta(max_length=MAX_SHORTAGES)]).decode
decode_transfers = msgspec.msgpack.Decoder(Transfers).decode


@dataclass(slots=True)
class Account:
    """A token balance, and the cost spent and refused in the previous and the current usage window."""

    balance: TokenBalance
    spent: list[float] = field(default_factory=lambda: [0.0, 0.0])
    refused_cost: list[float] = field(default_factory=lambda: [0.0, 0.0])
    last_used_at: int = 0

    def rotate(self) -> None:
        """Starts a new usage window."""
        self.spent = [self.spent[1], 0.0]
        self.refused_cost = [self.refused_cost[1], 0.0]


class BudgetLedger:
    """One member's accounts. `origin_count` is the configured number of members that earn."""

    def __init__(self, budgets: Mapping[int, Budget], origin_count: int, earns: bool, since: int) -> None:
        self.peer: Peer | None = None  # None: no tokens are transferred
        self.budgets = dict(budgets)
        self.origin_count = origin_count  # as configured here
        self.max_origin_count = origin_count  # the largest known of any member
        self.earns = earns
        self.accounts: dict[Key, Account] = {}
        self.earns_since = since  # tokens are earned by time from here on
        self.rotated_at = since
        self.serial = 0
        self.last_serials: dict[int, int] = {}  # by lending process, the number of its latest transfer
        self.remote_shortages: dict[Key, float] = {}  # published by other members, summed
        self.decoded_rows: dict[str, tuple[tuple[int, int], PublishedState]] = {}
        self.transferred_out = self.transferred_in = self.refused = 0.0
        self.unreadable = 0

    def join(self, peer: Peer) -> None:
        """Starts publishing to, asking and answering other members."""
        self.peer = peer
        peer.topics[TOPIC] = Topic(self._publish, lambda: None)
        peer.exchanges[TOPIC] = Exchange(self._wanted, self._transfer_out, self._transfer_in)

    def set_budgets(self, now: int, budgets: Mapping[int, Budget]) -> None:
        """Replaces the budgets; tokens earned under the old ones are kept until they expire."""
        self.budgets = dict(budgets)
        for (kind, subject), account in list(self.accounts.items()):
            budget = self.budgets.get(kind)
            if budget is None:
                del self.accounts[kind, subject]
                continue
            account.balance.available(now)
            balance = TokenBalance(self._rate(budget), budget.lifetime, max(now, self.earns_since))
            balance.deposit(now, account.balance.batches)
            account.balance = balance
        # A balance created later earns nothing for the time before.
        self.earns_since = max(now, self.earns_since)

    def set_origin_count(self, now: int, origin_count: int) -> None:
        """Uses another number of origins from now on."""
        if origin_count != self.max_origin_count:
            self.max_origin_count = origin_count
            self.set_budgets(now, self.budgets)

    def forfeit_all(self, since: int) -> None:
        """Drops all tokens, since another process has this member's name; earns none before `since`."""
        self.accounts.clear()
        self.earns_since = max(self.earns_since, since)

    def _rate(self, budget: Budget) -> float:
        return budget.per_s / self.max_origin_count if self.earns else 0.0

    def _account(self, now: int, key: Key) -> Account:
        account = self.accounts.get(key)
        if account is None:
            budget = self.budgets[key[0]]
            account = Account(TokenBalance(self._rate(budget), budget.lifetime, self.earns_since))
            if len(self.accounts) >= MAX_ACCOUNTS:
                del self.accounts[
                    min(self.accounts, key=lambda candidate: self.accounts[candidate].last_used_at)
                ]
                self.earns_since = now  # its tokens are dropped and must not be earned again by a new account
            self.accounts[key] = account
        account.last_used_at = now
        return account

    # Spending

    def may_spend(self, now: int, kind: int, subject: int, cost: float) -> bool:
        """Spends `cost` tokens; a refusal is recorded as this member's shortage."""
        if kind not in self.budgets:
            return True
        account = self._account(now, (kind, subject))
        if account.balance.spend(now, cost):
            account.spent[1] += cost
            return True
        account.refused_cost[1] += cost
        self.refused += cost
        return False

    def earn(self, now: int, kind: int, subject: int = 0, count: float = 1.0) -> None:
        """Adds the tokens for `count` events that earn a share of this budget."""
        budget = self.budgets.get(kind)
        if budget is not None and budget.share > 0.0:
            self._account(now, (kind, subject)).balance.earn(now, budget.share * count)

    # Publishing and asking

    def _local_shortages(self) -> list[Shortage]:
        """Returns this member's shortages, largest first."""
        shortages = [
            Shortage(kind, subject, round(max(account.refused_cost), 2))
            for (kind, subject), account in self.accounts.items()
            if max(account.refused_cost) > 0.0
        ]
        shortages.sort(key=lambda shortage: -shortage.amount)
        return shortages[:MAX_SHORTAGES]

    def _publish(self, now: int) -> PublishedState:
        assert self.peer is not None
        if now - self.rotated_at >= USAGE_WINDOW:
            self.rotated_at = now
            for account in self.accounts.values():
                account.rotate()
        shortages = self._local_shortages()
        self.peer.extra_probes = self._extra_peers() if shortages else 0
        self._update_remote_state(now)
        return PublishedState(self.origin_count if self.earns else 0, shortages)

    def _extra_peers(self) -> int:
        """Returns how many additional peers to ask per period, so that all are asked before tokens expire."""
        assert self.peer is not None
        lifetime = min(budget.lifetime for budget in self.budgets.values())
        peers_per_period = (
            ROUNDS_PER_LIFETIME * self.peer.members.member_count() * self.peer.rules.period / lifetime
        )
        return max(MIN_EXTRA_PEERS, min(MAX_EXTRA_PEERS, math.ceil(peers_per_period)))

    def _update_remote_state(self, now: int) -> None:
        """Sums the shortages published by other members and takes over the largest number of origins."""
        assert self.peer is not None
        self.remote_shortages, origin_count = {}, self.origin_count
        for member, row_state in self.peer.rows.current.items():
            if member == self.peer.own:
                continue
            state = self._decoded_state(member, row_state.row.version, row_state.row.topics.get(TOPIC))
            # Includes members not heard lately: they go on earning.
            origin_count = max(origin_count, min(state.origin_count, MAX_ORIGIN_COUNT))
            if self.peer.rows.is_fresh(now, member):
                for shortage in state.shortages:
                    key = shortage.kind, shortage.subject
                    self.remote_shortages[key] = self.remote_shortages.get(key, 0.0) + max(
                        0.0, shortage.amount
                    )
        self.set_origin_count(now, origin_count)

    def _decoded_state(self, name: str, version: tuple[int, int], raw: msgspec.Raw | None) -> PublishedState:
        cached = self.decoded_rows.get(name)
        if cached is None or cached[0] != version:
            state = PublishedState(0, [])
            if raw is not None:
                try:
                    state = decode_published_state(raw)
                except msgspec.MsgspecError:
                    self.unreadable += 1
            cached = self.decoded_rows[name] = version, state
            if len(self.decoded_rows) > MAX_DECODED_ROWS:
                self.decoded_rows.clear()
        return cached[1]

    def _wanted(self, now: int) -> list[Shortage] | None:
        return self._local_shortages() or None

    # Transfers

    def _transfer_out(self, now: int, name: str, raw: msgspec.Raw) -> Transfers | None:
        """Removes what can be spared for the member that asks; done before the answer is built."""
        transfers: list[Transfer] = []
        batches_left = MAX_BATCHES_PER_ANSWER
        for shortage in decode_shortages(raw):
            if (
                shortage.kind not in self.budgets
                or not 0.0 < shortage.amount < float("inf")
                or batches_left <= 0
            ):
                continue
            amount = self._spare_amount(now, shortage)
            if amount <= 0.0:
                continue
            batches = self.accounts[shortage.kind, shortage.subject].balance.withdraw(now, amount)
            ages_and_amounts = [
                (-(-(now - batch.earned_at) // NS_PER_MS), math.floor(batch.amount * 1e6) / 1e6)
                for batch in batches
            ]
            batches_left -= len(ages_and_amounts)
            if ages_and_amounts:
                transfers.append(Transfer(shortage.kind, shortage.subject, ages_and_amounts))
                self.transferred_out += sum(amount for _, amount in ages_and_amounts)
        if not transfers:
            return None
        self.serial += 1
        return Transfers(self.serial, transfers)

    def _spare_amount(self, now: int, shortage: Shortage) -> float:
        key = shortage.kind, shortage.subject
        account = self._account(now, key)
        if max(account.refused_cost) > 0.0:
            return 0.0
        budget, balance = self.budgets[shortage.kind], account.balance
        reserve = max(RESERVE_RATIO * balance.rate * budget.lifetime / SECOND, max(account.spent))
        spare = balance.available(now) - reserve
        share = shortage.amount / max(shortage.amount, self.remote_shortages.get(key, 0.0))
        return min(shortage.amount, spare * share)

    def _transfer_in(self, now: int, asked_at: int, process: int, raw: msgspec.Raw) -> None:
        transfers = decode_transfers(raw)
        if transfers.serial <= self.last_serials.get(process, 0):
            return
        self.last_serials.pop(process, None)
        self.last_serials[process] = transfers.serial
        if len(self.last_serials) > MAX_LENDERS:
            del self.last_serials[next(iter(self.last_serials))]
        for transfer in transfers.entries:
            if transfer.kind not in self.budgets:
                continue
            batches = [
                TokenBatch(asked_at - age_ms * NS_PER_MS, amount)
                for age_ms, amount in transfer.batches
                if age_ms >= 0
            ]
            self.transferred_in += self._account(now, (transfer.kind, transfer.subject)).balance.deposit(
                now, batches
            )
