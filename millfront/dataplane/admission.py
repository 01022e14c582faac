"""Admission: what of a tenant's requests this process lets in. No I/O, no clock.

Two things decide. A *token* of the tenant's allowance is needed for each request (`millfront.quotas`): tokens
are granted once, so that all processes together keep to the limit whatever any of them believes of the
others. And one *price* per tenant moves by the projected step on the sent total of all processes; the level
comes from a concave utility under the room cap. While tokens are scarce, what is above the level is refused
at once, without asking anybody: so the scarce ones go to whoever asks for them, by share. The totals travel
on each process's member record (`membership/gossip.py`), as sums since its start: one that comes late, twice
or after others changes nothing, and the next one makes up for it. A wrong total makes a price wrong, never
the limit. Units are requests, rates requests a second, times seconds on the caller's clock.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

from millfront.control.configuration import Tenant
from millfront.decisions.prices import level_at, next_price
from millfront.environment import Bounds
from millfront.quotas.allowance import token_lifetime_s
from millfront.quotas.requester import ADMITTED, Decision, DecisionCallback, Outcome

INITIAL_PRICE = 1.0
MAX_PRICE = 8.0  # an n undercounted by so much is still outbid
SHARE_WEIGHT_UNITS = 8.0  # asked by all in a tick for it to weigh half in a share
MIN_REFILL_RATE = 0.02  # requests a second: a process that had no share yet admits something
MIN_EVEN_SHARE = 0.25  # of the even slice: what a level is at least while all send less than the quota
PREFETCH_BELOW = 0.5  # of the quota: below it tokens that come to nothing are not missed
SMOOTHING = 0.2  # of the newest tick in what is asked here
PEER_SMOOTHING = 0.6  # of the newest record in the rates of another process
UNCHANGED_DECAY = 0.4  # what is left of a rate after a tick in which nothing moved
MIN_RATE_SPAN_S = 0.2  # over which a rate is taken
IDLE_TIMEOUT_S = 30.0
RECORD_LATE_S = 1.5  # a process not heard of for so long may have been cut off: records come each second
UNCHANGED_S = 1.6  # of a tenant nothing was told with that many seconds of a process's records: nothing moved
MIN_TICK_S = 0.05
MIN_WAIT_S, MAX_WAIT_S = 0.05, 5.0


class TokenSource(Protocol):
    """Where admission gets its tokens from."""

    def request(
        self, now: float, tenant: Tenant, max_wait_s: float, prefetch: int, callback: DecisionCallback
    ) -> Decision | None:
        """As `TokenRequester.request`."""

    def is_scarce(self, now: float, tenant: Tenant) -> bool:
        """Whether there were none left somewhere a moment ago."""


@dataclass(slots=True)
class PeerTotals:
    """One other process's totals of one tenant."""

    incarnation: int = -1
    age: float = 0.0
    sent: float = 0.0
    demand: float = 0.0
    sent_rate: float = 0.0
    demand_rate: float = 0.0
    updated_at: float = 0.0

    def update(self, now: float, incarnation: int, age: float, sent: float, demand: float) -> None:
        """Its newest totals: rates are differences within one incarnation."""
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
        """Its process is heard of, and not with this tenant: nothing has moved there."""
        self.sent_rate, self.demand_rate = (
            UNCHANGED_DECAY * self.sent_rate,
            UNCHANGED_DECAY * self.demand_rate,
        )
        self.updated_at = now


@dataclass(slots=True)
class Account:
    """One tenant, as this process sees it."""

    sent: float = 0.0  # since the process started
    demand: float = 0.0
    price: float = INITIAL_PRICE
    refill_rate: float = 0.0
    bucket: float = 0.0
    share: float = 0.0
    rate: float = 0.0  # the tenant's limit as last known here
    burst: float = 0.0
    bucket_at: float = 0.0  # the bucket stands as of then
    changed_at: float = -1e9  # when `sent` or `asked` last rose
    last_used: float = 0.0
    last_sent: float = 0.0  # `sent` at the last tick
    last_demand: float = 0.0
    own_demand_rate: float = 0.0  # a second, smoothed
    own_sent_rate: float = 0.0
    others_rate: float = 0.0  # the rate at which all others send, as of the last tick
    admitted_level: int = 0  # from the bucket that is filled at this process's level
    admitted_beyond: int = 0  # beyond it, while tokens were not scarce
    refused_level: int = 0  # this process's level was reached while tokens were scarce
    refused_exhausted: int = 0  # no token was left, with anybody who grants
    refused_unreachable: int = 0  # nobody who grants answered
    peers: dict[str, PeerTotals] = field(default_factory=dict)

    def advance(self, now: float) -> None:
        """Bring the bucket up to now, by the level that held until now."""
        filled = self.bucket + self.refill_rate * max(0.0, now - self.bucket_at)
        self.bucket, self.bucket_at = min(filled, max(1.0, self.share * self.burst)), now

    def count_decision(self, decision: Decision, within_level: bool) -> None:
        """Count what became of a request."""
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
        """:param name: of this process"""
        self.bounds, self.tokens, self.name = bounds, tokens, name
        self.accounts: dict[str, Account] = {}
        self.tenants: Mapping[str, Tenant] = {}  # by name, of the configuration in force
        self.last_tick = now
        self.process_count = 1
        self.started_at = now
        self._token_lifetime_s = token_lifetime_s(bounds)
        self._last_record_at: dict[str, float] = {}  # of whom a record came last when

    def account(self, now: float, tenant: Tenant) -> Account:
        """The account of a limited tenant; created, or brought up to a changed limit, where needed."""
        account = self._find_or_create(now, tenant.name)
        if (account.rate, account.burst) != (tenant.rate, tenant.burst):
            account.advance(now)
            if account.rate <= 0.0:
                account.refill_rate = tenant.rate / self.process_count
            account.rate, account.burst = tenant.rate, tenant.burst
        return account

    def _find_or_create(self, now: float, name: str) -> Account:
        """The account that another process's totals go to, whether or not a limit of it is known here."""
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
        """A request: let in or refused at once, or decided within `most_wait_s`.

        :param now: as it is, not as of the last event: tokens are void by it
        :param then: called once with what became of it, where None is returned
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
        """Until the bucket has a whole request again."""
        wait = (1.0 - account.bucket) / max(account.refill_rate, MIN_REFILL_RATE)
        return max(MIN_WAIT_S, min(MAX_WAIT_S, wait))

    def _prefetch(self, account: Account) -> int:
        """Tokens that requests of the next moments will need, where the quota is not pressed."""
        if account.own_sent_rate + account.others_rate >= PREFETCH_BELOW * account.rate:
            return 0
        return int(account.own_sent_rate * self._token_lifetime_s)

    def refund(self, tenant: Tenant) -> None:
        """Let in, and never sent to a server. Its token is void."""
        account = self.accounts.get(tenant.name)
        if account is not None and tenant.rate > 0.0:
            account.sent -= 1.0

    def describe(self, tenant: Tenant) -> dict[str, float | int]:
        """Why a tenant's requests are let in or refused here. Units are requests, rates requests a second."""
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
        """For this process's record."""
        return {name: [a.sent, a.demand] for name, a in self.accounts.items()}

    def changed_totals(self, now: float, within: float) -> dict[str, list[float]]:
        """Of the totals those that rose in so many seconds."""
        return {name: [a.sent, a.demand] for name, a in self.accounts.items() if now - a.changed_at < within}

    def handle_totals(
        self, now: float, name: str, incarnation: int, age: float, totals: dict[str, Any]
    ) -> None:
        """Another process's record, of all its totals or of some."""
        for tenant, (sent, demand) in totals.items():
            peers = self._find_or_create(now, tenant).peers
            peers.setdefault(name, PeerTotals()).update(now, incarnation, age, sent, demand)
        self._last_record_at[name] = now
        self.process_count = max(self.process_count, len(self._last_record_at) + 1)

    def tick(self, now: float, names: set[str], silent: set[str]) -> None:
        """One price step for each tenant.

        :param names: all processes that may be running, this one among them
        :param silent: of these the ones not heard of: each may use its even slice, whatever it did before
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
        """Whoever is late may have taken part in a rush that this process doesn't see."""
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
        account.refill_rate = level_at(
            account.price, quota, self.process_count, account.own_sent_rate, unused, account.share, min_rate
        )
