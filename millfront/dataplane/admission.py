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
from millfront.decisions.prices import next_price, refill_rate
from millfront.environment import Bounds
from millfront.quotas.allowance import token_life_s
from millfront.quotas.requester import ADMITTED, Decision, Outcome, Then

FIRST_PRICE = 1.0
HIGHEST_PRICE = 8.0  # an n undercounted by so much is still outbid
SHARE_UNITS = 8.0  # asked by all in a tick for it to weigh half in a share
LEAST_LEVEL = 0.02  # requests a second: a process that had no share yet admits something
LEAST_SHARE = 0.25  # of the even slice: what a level is at least while all send less than the quota
AHEAD_BELOW = 0.5  # of the quota: below it tokens that come to nothing are not missed
SMOOTHING = 0.2  # of the newest tick in what is asked here
PEER_SMOOTHING = 0.6  # of the newest record in the rates of another process
QUIET_DECAY = 0.4  # what is left of a rate after a tick in which nothing moved
LEAST_SPAN_S = 0.2  # over which a rate is taken
IDLE_S = 30.0
LATE_S = 1.5  # a process not heard of for so long may have been cut off: records come each second
QUIET_S = 1.6  # of a tenant nothing was told with that many seconds of a process's records: nothing moved
LEAST_TICK_S = 0.05
LEAST_WAIT_S, LONGEST_WAIT_S = 0.05, 5.0


class Tokens(Protocol):
    """Where admission gets its tokens from."""

    def request(
        self, now: float, tenant: Tenant, most_wait_s: float, ahead: int, then: Then
    ) -> Decision | None:
        """As `TokenRequester.request`."""

    def scarce(self, now: float, tenant: Tenant) -> bool:
        """Whether there were none left somewhere a moment ago."""


@dataclass(slots=True)
class Peer:
    """One other process's totals of one tenant."""

    life: int = -1
    age: float = 0.0
    sent: float = 0.0
    asked: float = 0.0
    sent_rate: float = 0.0
    asked_rate: float = 0.0
    since: float = 0.0

    def take(self, now: float, life: int, age: float, sent: float, asked: float) -> None:
        """Its newest totals: rates are differences within one incarnation."""
        if self.life == life:
            lasted = max(age - self.age, LEAST_SPAN_S)
            self.sent_rate += PEER_SMOOTHING * (max(0.0, sent - self.sent) / lasted - self.sent_rate)
            self.asked_rate += PEER_SMOOTHING * (max(0.0, asked - self.asked) / lasted - self.asked_rate)
        else:
            self.sent_rate = self.asked_rate = 0.0
        self.life, self.age, self.sent, self.asked, self.since = life, age, sent, asked, now

    def quiet(self, now: float) -> None:
        """Its process is heard of, and not with this tenant: nothing has moved there."""
        self.sent_rate, self.asked_rate = QUIET_DECAY * self.sent_rate, QUIET_DECAY * self.asked_rate
        self.since = now


@dataclass(slots=True)
class Account:
    """One tenant, as this process sees it."""

    sent: float = 0.0  # since the process started
    asked: float = 0.0
    price: float = FIRST_PRICE
    level: float = 0.0
    bucket: float = 0.0
    share: float = 0.0
    rate: float = 0.0  # the tenant's limit as last known here
    burst: float = 0.0
    at: float = 0.0  # the bucket stands as of then
    moved: float = -1e9  # when `sent` or `asked` last rose
    seen: float = 0.0
    last_sent: float = 0.0  # `sent` at the last tick
    last_asked: float = 0.0
    own_asked: float = 0.0  # a second, smoothed
    own_sent: float = 0.0
    others: float = 0.0  # the rate at which all others send, as of the last tick
    admitted_level: int = 0  # from the bucket that is filled at this process's level
    admitted_beyond: int = 0  # beyond it, while tokens were not scarce
    refused_level: int = 0  # this process's level was reached while tokens were scarce
    refused_exhausted: int = 0  # no token was left, with anybody who grants
    refused_unreachable: int = 0  # nobody who grants answered
    peers: dict[str, Peer] = field(default_factory=dict)

    def advance(self, now: float) -> None:
        """Bring the bucket up to now, by the level that held until now."""
        filled = self.bucket + self.level * max(0.0, now - self.at)
        self.bucket, self.at = min(filled, max(1.0, self.share * self.burst)), now

    def decided(self, decision: Decision, within_level: bool) -> None:
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

    def __init__(self, bounds: Bounds, now: float, tokens: Tokens, name: str = "") -> None:
        """:param name: of this process"""
        self.bounds, self.tokens, self.name = bounds, tokens, name
        self.accounts: dict[str, Account] = {}
        self.tenants: Mapping[str, Tenant] = {}  # by name, of the configuration in force
        self.ticked = now
        self.n = 1
        self.born = now
        self._life_s = token_life_s(bounds)
        self._heard: dict[str, float] = {}  # of whom a record came last when

    def account(self, now: float, tenant: Tenant) -> Account:
        """The account of a limited tenant; created, or brought up to a changed limit, where needed."""
        found = self._account_of(now, tenant.name)
        if (found.rate, found.burst) != (tenant.rate, tenant.burst):
            found.advance(now)
            if found.rate <= 0.0:
                found.level = tenant.rate / self.n
            found.rate, found.burst = tenant.rate, tenant.burst
        return found

    def _account_of(self, now: float, name: str) -> Account:
        """The account that another process's totals go to, whether or not a limit of it is known here."""
        found = self.accounts.get(name)
        if found is None:
            found = self.accounts[name] = Account(share=1.0 / self.n, at=now, seen=now)
        return found

    # ---- requests ------------------------------------------------------------------------------------

    def admit(self, now: float, tenant: Tenant, most_wait_s: float, then: Then) -> Decision | None:
        """A request: let in or refused at once, or decided within `most_wait_s`.

        :param now: as it is, not as of the last event: tokens are void by it
        :param then: called once with what became of it, where None is returned
        """
        if tenant.rate <= 0.0:
            return ADMITTED
        found = self.account(now, tenant)
        found.advance(now)
        found.seen = found.moved = now
        found.asked += 1.0
        within_level = found.bucket >= 1.0
        if within_level:
            found.bucket -= 1.0
        elif self.tokens.scarce(now, tenant):
            found.refused_level += 1
            return Decision(Outcome.EXHAUSTED, self._wait(found))
        decided = self._counted(found, within_level, then)
        decision = self.tokens.request(now, tenant, most_wait_s, self._ahead(found), decided)
        if decision is not None:
            found.decided(decision, within_level)
        return decision

    @staticmethod
    def _counted(account: Account, within_level: bool, then: Then) -> Callable[[Decision], None]:
        def decided(decision: Decision) -> None:
            account.decided(decision, within_level)
            then(decision)

        return decided

    @staticmethod
    def _wait(account: Account) -> float:
        """Until the bucket has a whole request again."""
        wait = (1.0 - account.bucket) / max(account.level, LEAST_LEVEL)
        return max(LEAST_WAIT_S, min(LONGEST_WAIT_S, wait))

    def _ahead(self, account: Account) -> int:
        """Tokens that requests of the next moments will need, where the quota is not pressed."""
        if account.own_sent + account.others >= AHEAD_BELOW * account.rate:
            return 0
        return int(account.own_sent * self._life_s)

    def give_back(self, tenant: Tenant) -> None:
        """Let in, and never sent to a server. Its token is void."""
        found = self.accounts.get(tenant.name)
        if found is not None and tenant.rate > 0.0:
            found.sent -= 1.0

    def told(self, tenant: Tenant) -> dict[str, float | int]:
        """Why a tenant's requests are let in or refused here. Units are requests, rates requests a second."""
        found = self.accounts.get(tenant.name)
        limits = {"rate": tenant.rate, "burst": tenant.burst, "n": self.n}
        if found is None or tenant.rate <= 0.0:
            return limits
        return limits | {
            "price": found.price,
            "level": found.level,
            "share": found.share,
            "bucket": found.bucket,
            "asked_here": found.own_asked,
            "sent_here": found.own_sent,
            "sent_elsewhere": found.others,
            "heard_of": len(found.peers),
            "admitted_level": found.admitted_level,
            "admitted_beyond": found.admitted_beyond,
            "refused_level": found.refused_level,
            "refused_exhausted": found.refused_exhausted,
            "refused_unreachable": found.refused_unreachable,
        }

    # ---- totals --------------------------------------------------------------------------------------

    def totals(self) -> dict[str, list[float]]:
        """For this process's record."""
        return {name: [a.sent, a.asked] for name, a in self.accounts.items()}

    def moved(self, now: float, within: float) -> dict[str, list[float]]:
        """Of the totals those that rose in so many seconds."""
        return {name: [a.sent, a.asked] for name, a in self.accounts.items() if now - a.moved < within}

    def heard(self, now: float, name: str, life: int, age: float, totals: dict[str, Any]) -> None:
        """Another process's record, of all its totals or of some."""
        for tenant, (sent, asked) in totals.items():
            peers = self._account_of(now, tenant).peers
            peers.setdefault(name, Peer()).take(now, life, age, sent, asked)
        self._heard[name] = now
        self.n = max(self.n, len(self._heard) + 1)

    def tick(self, now: float, names: set[str], silent: set[str]) -> None:
        """One price step for each tenant.

        :param names: all processes that may be running, this one among them
        :param silent: of these the ones not heard of: each may use its even slice, whatever it did before
        """
        lasted = max(now - self.ticked, LEAST_TICK_S)
        self.ticked, self.n = now, max(1, len(names))
        late = silent | {name for name in names if now - self._heard.get(name, self.born) > LATE_S}
        late.discard(self.name)
        self._heard = {name: at for name, at in self._heard.items() if name in names}
        for name, account in list(self.accounts.items()):
            tenant = self.tenants.get(name)
            if tenant is None or tenant.rate <= 0.0 or now - account.seen > IDLE_S:
                if tenant is None and now - account.seen > IDLE_S:
                    del self.accounts[name]
                continue
            self.account(now, tenant).advance(now)
            account.others = self._sent_by_others(now, account, names, late)
            self._step(lasted, tenant, account)

    def _sent_by_others(self, now: float, account: Account, names: set[str], late: set[str]) -> float:
        """Whoever is late may have taken part in a rush that this process doesn't see."""
        for name in account.peers.keys() - names:
            del account.peers[name]
        for name, peer in account.peers.items():
            if self._heard.get(name, 0.0) - peer.since > QUIET_S:
                peer.quiet(now)
        slice_ = account.rate / self.n
        heard = sum(peer.sent_rate for name, peer in account.peers.items() if name not in late)
        unheard = [account.peers[name].sent_rate if name in account.peers else 0.0 for name in late]
        return heard + sum(max(rate, slice_) for rate in unheard)

    def _step(self, lasted: float, tenant: Tenant, account: Account) -> None:
        quota = tenant.rate
        own = account.sent - account.last_sent
        asked = account.asked - account.last_asked
        account.last_sent, account.last_asked = account.sent, account.asked
        account.own_asked += SMOOTHING * (asked / lasted - account.own_asked)
        account.own_sent = own / lasted
        total = account.own_sent + account.others
        even = 1.0 / self.n
        asked_all = account.own_asked + sum(peer.asked_rate for peer in account.peers.values())
        account.share = (account.own_asked + SHARE_UNITS * even) / (asked_all + SHARE_UNITS)
        account.price = next_price(account.price, total, quota, HIGHEST_PRICE)
        room = max(quota - total, 0.0)
        least = max(LEAST_SHARE * quota * even if total < quota else 0.0, LEAST_LEVEL)
        account.level = refill_rate(
            account.price, quota, self.n, account.own_sent, room, account.share, least
        )
