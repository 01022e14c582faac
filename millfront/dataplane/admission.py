"""Admission control: decides which of a tenant's requests this process admits. No I/O, no clock.

Two mechanisms decide. First, each request needs a *token* of the tenant's allowance (`millfront.quotas`).
Tokens are granted once, so all processes together keep to the limit, however outdated a process's view of
the others is. Second, each tenant has a *price* that follows the total sent by all processes in projected
gradient steps. It determines the *level*: the rate at which this process's bucket refills, from a concave
utility and capped by the unused quota. While tokens are scarce, requests above the level are refused at
once without asking a granter, so that scarce tokens go to the processes in proportion to their share of the
demand.

The totals travel on each process's member record (`membership/gossip.py`) as sums since its start: a record
that arrives late, twice or out of order does no harm, and the next one corrects it. A wrong total makes a
price wrong but never breaks the limit. Units are requests, rates requests per second, times seconds on the
caller's clock.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

from millfront.control.configuration import Tenant
from millfront.decisions.prices import next_price, refill_rate
from millfront.environment import Bounds
from millfront.quotas.allowance import token_lifetime_s
from millfront.quotas.requester import ADMITTED, Decision, DecisionCallback, Outcome

INITIAL_PRICE = 1.0
MAX_PRICE = 8.0  # compensates for a process count that is too low by up to this factor
SHARE_WEIGHT_UNITS = 8.0  # requests/s of all processes at which demand counts for half of a share
MIN_REFILL_RATE = 0.02  # requests/s; lets a process without a share yet admit something
MIN_EVEN_SHARE = 0.25  # of the even share: the minimum level while all together send less than the quota
PREFETCH_BELOW = 0.5  # of the quota; at lower use, prefetched tokens that expire unused do no harm
SMOOTHING = 0.2  # weight of the latest tick in this process's demand rate
PEER_SMOOTHING = 0.6  # weight of the latest record in another process's rates
UNCHANGED_DECAY = 0.4  # factor on a rate after a tick without change
MIN_RATE_SPAN_S = 0.2  # shortest span over which a rate is computed
IDLE_TIMEOUT_S = 30.0
RECORD_LATE_S = 1.5  # records come every second; a process overdue by this may have been cut off
UNCHANGED_S = 1.6  # a tenant missing from a process's records for this long has not changed there
MIN_TICK_S = 0.05
MIN_WAIT_S, MAX_WAIT_S = 0.05, 5.0


class TokenSource(Protocol):
    """Source of the tokens that admission needs."""

    def request(
        self, now: float, tenant: Tenant, max_wait_s: float, prefetch: int, callback: DecisionCallback
    ) -> Decision | None:
        """See `TokenRequester.request`."""

    def is_scarce(self, now: float, tenant: Tenant) -> bool:
        """Whether a granter recently had no token left."""


@dataclass(slots=True)
class PeerTotals:
    """Another process's totals of one tenant."""

    incarnation: int = -1
    age: float = 0.0
    sent: float = 0.0
    demand: float = 0.0
    sent_rate: float = 0.0
    demand_rate: float = 0.0
    updated_at: float = 0.0

    def update(self, now: float, incarnation: int, age: float, sent: float, demand: float) -> None:
        """Store newer totals. Rates are computed from differences within one incarnation."""
        if self.incarnation == incarnation:
            elapsed = max(age - self.age, MIN_RATE_SPAN_S)
            self.sent_rate += PEER_SMOOTHING * (max(0.0, sent - self.sent) / elapsed - self.sent_rate)
            self.demand_rate += PEER_SMOOTHING * (max(0.0, demand - self.demand) / elapsed - self.demand_rate)
        else:
            self.sent_rate = self.demand_rate = 0.0
        self.incarnation, self.age, self.sent, self.demand, self.updated_at = (
            incarnation,
            age,
            sent,
            demand,
            now,
        )

    def decay(self, now: float) -> None:
        """Lower the rates: the process sends records without this tenant, so its totals have not changed."""
        self.sent_rate, self.demand_rate = (
            UNCHANGED_DECAY * self.sent_rate,
            UNCHANGED_DECAY * self.demand_rate,
        )
        self.updated_at = now


@dataclass(slots=True)
class Account:
    """One tenant's admission state in this process."""

    sent: float = 0.0  # since the process started
    demand: float = 0.0
    price: float = INITIAL_PRICE
    refill_rate: float = 0.0
    bucket: float = 0.0
    share: float = 0.0
    rate: float = 0.0  # the tenant's limit as last known here
    burst: float = 0.0
    bucket_at: float = 0.0  # time to which the bucket applies
    changed_at: float = -1e9  # when `sent` or `demand` last rose
    last_used: float = 0.0
    last_sent: float = 0.0  # `sent` at the last tick
    last_demand: float = 0.0
    own_demand_rate: float = 0.0  # requests/s, smoothed
    own_sent_rate: float = 0.0
    others_rate: float = 0.0  # sent by all other processes, as of the last tick
    admitted_level: int = 0  # within the level: covered by the bucket
    admitted_beyond: int = 0  # above the level, while tokens were not scarce
    refused_level: int = 0  # above the level, while tokens were scarce
    refused_exhausted: int = 0  # no granter had a token left
    refused_unreachable: int = 0  # no granter answered
    peers: dict[str, PeerTotals] = field(default_factory=dict)

    def advance(self, now: float) -> None:
        """Refill the bucket up to now at the current refill rate."""
        filled = self.bucket + self.refill_rate * max(0.0, now - self.bucket_at)
        self.bucket, self.bucket_at = min(filled, max(1.0, self.share * self.burst)), now

    def count_decision(self, decision: Decision, within_level: bool) -> None:
        """Count the decision on a request."""
        match decision.outcome:
            case Outcome.ADMITTED:
                self.sent += 1.0
                self.admitted_level += within_level
                self.admitted_beyond += not within_level
            case Outcome.EXHAUSTED:
                self.refused_exhausted += 1
            case Outcome.UNREACHABLE:
                self.refused_unreachable += 1


class Admission:
    """All tenants' accounts in one process."""

    def __init__(self, bounds: Bounds, now: float, tokens: TokenSource, name: str = "") -> None:
        """:param name: this process's name"""
        self.bounds, self.tokens, self.name = bounds, tokens, name
        self.accounts: dict[str, Account] = {}
        self.tenants: Mapping[str, Tenant] = {}  # by name, of the configuration in force
        self.last_tick = now
        self.process_count = 1
        self.started_at = now
        self._token_lifetime_s = token_lifetime_s(bounds)
        self._last_record_at: dict[str, float] = {}  # by process

    def account(self, now: float, tenant: Tenant) -> Account:
        """The account of a limited tenant, created or updated to a changed limit if necessary."""
        account = self._find_or_create(now, tenant.name)
        if (account.rate, account.burst) != (tenant.rate, tenant.burst):
            account.advance(now)
            if account.rate <= 0.0:
                account.refill_rate = tenant.rate / self.process_count
            account.rate, account.burst = tenant.rate, tenant.burst
        return account

    def _find_or_create(self, now: float, name: str) -> Account:
        """A tenant's account. The tenant may be unknown here: other processes' totals are stored anyway."""
        account = self.accounts.get(name)
        if account is None:
            account = self.accounts[name] = Account(
                share=1.0 / self.process_count, bucket_at=now, last_used=now
            )
        return account

    # ---- requests ------------------------------------------------------------------------------------

    def admit(
        self, now: float, tenant: Tenant, max_wait_s: float, callback: DecisionCallback
    ) -> Decision | None:
        """Admit or refuse a request at once, or return None and decide within ``max_wait_s``.

        :param now: the actual time, not that of the last event, because tokens expire by it
        :param callback: called once with the decision if None is returned
        """
        if tenant.rate <= 0.0:
            return ADMITTED
        account = self.account(now, tenant)
        account.advance(now)
        account.last_used = account.changed_at = now
        account.demand += 1.0
        within_level = account.bucket >= 1.0
        if within_level:
            account.bucket -= 1.0
        elif self.tokens.is_scarce(now, tenant):
            account.refused_level += 1
            return Decision(Outcome.EXHAUSTED, self._refill_wait_s(account))
        on_decision = self._counting_callback(account, within_level, callback)
        decision = self.tokens.request(now, tenant, max_wait_s, self._prefetch(account), on_decision)
        if decision is not None:
            account.count_decision(decision, within_level)
        return decision

    @staticmethod
    def _counting_callback(
        account: Account, within_level: bool, callback: DecisionCallback
    ) -> Callable[[Decision], None]:
        def decided(decision: Decision) -> None:
            account.count_decision(decision, within_level)
            callback(decision)

        return decided

    @staticmethod
    def _refill_wait_s(account: Account) -> float:
        """Seconds until the bucket covers a whole request again."""
        wait = (1.0 - account.bucket) / max(account.refill_rate, MIN_REFILL_RATE)
        return max(MIN_WAIT_S, min(MAX_WAIT_S, wait))

    def _prefetch(self, account: Account) -> int:
        """Tokens that requests within one token lifetime will need; 0 if much of the quota is used."""
        if account.own_sent_rate + account.others_rate >= PREFETCH_BELOW * account.rate:
            return 0
        return int(account.own_sent_rate * self._token_lifetime_s)

    def refund(self, tenant: Tenant) -> None:
        """Uncount an admitted request that was never sent to a server. Its token is not reused."""
        account = self.accounts.get(tenant.name)
        if account is not None and tenant.rate > 0.0:
            account.sent -= 1.0

    def describe(self, tenant: Tenant) -> dict[str, float | int]:
        """The figures behind the decisions on a tenant's requests, in requests and requests per second."""
        account = self.accounts.get(tenant.name)
        limits = {"rate": tenant.rate, "burst": tenant.burst, "n": self.process_count}
        if account is None or tenant.rate <= 0.0:
            return limits
        return limits | {
            "price": account.price,
            "level": account.refill_rate,
            "share": account.share,
            "bucket": account.bucket,
            "asked_here": account.own_demand_rate,
            "sent_here": account.own_sent_rate,
            "sent_elsewhere": account.others_rate,
            "heard_of": len(account.peers),
            "admitted_level": account.admitted_level,
            "admitted_beyond": account.admitted_beyond,
            "refused_level": account.refused_level,
            "refused_exhausted": account.refused_exhausted,
            "refused_unreachable": account.refused_unreachable,
        }

    # ---- totals --------------------------------------------------------------------------------------

    def totals(self) -> dict[str, list[float]]:
        """By tenant: [sent, demand] since the start, for this process's record."""
        return {name: [a.sent, a.demand] for name, a in self.accounts.items()}

    def changed_totals(self, now: float, within: float) -> dict[str, list[float]]:
        """The totals that rose within the last ``within`` seconds."""
        return {name: [a.sent, a.demand] for name, a in self.accounts.items() if now - a.changed_at < within}

    def handle_totals(
        self, now: float, name: str, incarnation: int, age: float, totals: dict[str, Any]
    ) -> None:
        """Handle another process's record, which holds all or some of its totals.

        :param age: seconds that its process had run when it wrote the record
        """
        for tenant, (sent, demand) in totals.items():
            peers = self._find_or_create(now, tenant).peers
            peers.setdefault(name, PeerTotals()).update(now, incarnation, age, sent, demand)
        self._last_record_at[name] = now
        self.process_count = max(self.process_count, len(self._last_record_at) + 1)

    def tick(self, now: float, names: set[str], silent: set[str]) -> None:
        """Update every tenant's price.

        :param names: all processes that may be running, including this one
        :param silent: those of them not heard from; each is assumed to use at least its even share
        """
        elapsed = max(now - self.last_tick, MIN_TICK_S)
        self.last_tick, self.process_count = now, max(1, len(names))
        late = silent | {
            name for name in names if now - self._last_record_at.get(name, self.started_at) > RECORD_LATE_S
        }
        late.discard(self.name)
        self._last_record_at = {name: at for name, at in self._last_record_at.items() if name in names}
        for name, account in list(self.accounts.items()):
            tenant = self.tenants.get(name)
            if tenant is None or tenant.rate <= 0.0 or now - account.last_used > IDLE_TIMEOUT_S:
                if tenant is None and now - account.last_used > IDLE_TIMEOUT_S:
                    del self.accounts[name]
                continue
            self.account(now, tenant).advance(now)
            account.others_rate = self._sent_by_others(now, account, names, late)
            self._update_price(elapsed, tenant, account)

    def _sent_by_others(self, now: float, account: Account, names: set[str], late: set[str]) -> float:
        """Requests/s sent by all others; a late process may take part in a load peak unseen by this one."""
        for name in account.peers.keys() - names:
            del account.peers[name]
        for name, peer in account.peers.items():
            if self._last_record_at.get(name, 0.0) - peer.updated_at > UNCHANGED_S:
                peer.decay(now)
        even_rate = account.rate / self.process_count
        heard = sum(peer.sent_rate for name, peer in account.peers.items() if name not in late)
        unheard = [account.peers[name].sent_rate if name in account.peers else 0.0 for name in late]
        return heard + sum(max(rate, even_rate) for rate in unheard)

    def _update_price(self, elapsed: float, tenant: Tenant, account: Account) -> None:
        quota = tenant.rate
        sent = account.sent - account.last_sent
        demand = account.demand - account.last_demand
        account.last_sent, account.last_demand = account.sent, account.demand
        account.own_demand_rate += SMOOTHING * (demand / elapsed - account.own_demand_rate)
        account.own_sent_rate = sent / elapsed
        total = account.own_sent_rate + account.others_rate
        even_share = 1.0 / self.process_count
        total_demand = account.own_demand_rate + sum(peer.demand_rate for peer in account.peers.values())
        account.share = (account.own_demand_rate + SHARE_WEIGHT_UNITS * even_share) / (
            total_demand + SHARE_WEIGHT_UNITS
        )
        account.price = next_price(account.price, total, quota, MAX_PRICE)
        unused = max(quota - total, 0.0)
        min_rate = max(MIN_EVEN_SHARE * quota * even_share if total < quota else 0.0, MIN_REFILL_RATE)
        account.refill_rate = refill_rate(
            account.price, quota, self.process_count, account.own_sent_rate, unused, account.share, min_rate
        )
