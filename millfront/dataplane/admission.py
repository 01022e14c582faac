"""Admission: what of a tenant's requests this process lets in. No I/O, no clock.

One price per tenant moves by the projected step on the sent total of all processes; the level comes from a
concave utility under the room cap; what is above it is refused at once. There is no counter: each process's
totals since its start travel on its member record (`membership/gossip.py`), so that a total that comes late,
twice or after others changes nothing and the next one makes up for it. Units are requests, rates requests a
second, times seconds on the caller's clock.

Each process also keeps an estimate of the tenant's whole allowance (`store`: filled at Q up to what `burst`
and a part of the rule's own slack allow, emptied by everybody's sent units), and its bucket never holds more
than its share of that: whatever the prices do, what all let in is bounded by the store and by what they send
while their records are on the way (docs/design/admission.md). While the store is more than half full, a
request that comes in a clump is let in beyond the level, on the store, and the record goes out at once.
"""

import random
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from millfront.control.configuration import Tenant
from millfront.decisions.prices import level_at, next_price
from millfront.environment import Bounds

FIRST_PRICE = 1.0
HIGHEST_PRICE = 8.0  # an n undercounted by so much is still outbid
SCARCE = 0.25  # of the store: below it nobody's level is above its share of the quota
SHARE_UNITS = 8.0  # asked by all in a tick for it to weigh half in a share
SLACK = 0.5  # of what rate_excess and rate_extra allow, held in the store; the rest is for what is on the way
BORROW_ABOVE = 0.5  # of the store: above it a clump may draw on what the others leave
BORROW_OVER = 3.0  # times the quota: at most so much of what all ask draws on the store
FIRST_STORE = (
    0.3  # of the capacity, after a start: what a herd of restarts may take twice is within the slack
)
LEAST_LEVEL = 0.02  # requests a second: a process that had no share yet admits something
IDLE_S = 30.0
LATE_S = 1.5  # a process not heard of for so long may have been cut off: records come each second
QUIET_S = 1.6  # of a tenant nothing was told with that many seconds of a process's records: nothing moved


@dataclass(slots=True)
class Peer:
    """One other process's totals of one tenant."""

    life: int = -1
    age: float = 0.0
    sent: float = 0.0
    asked: float = 0.0
    sent_rate: float = 0.0
    asked_rate: float = 0.0
    used: float = 0.0  # the rate at which it is taken to send since then
    since: float = 0.0


@dataclass(slots=True)
class Account:
    """One tenant, as this process sees it."""

    sent: float = 0.0  # since the process started
    asked: float = 0.0
    price: float = FIRST_PRICE
    level: float = 0.0
    bucket: float = 0.0
    store: float = 0.0
    share: float = 0.0
    rate: float = 0.0  # the tenant's quota as last known here
    capacity: float = 0.0  # what the store may hold
    least: float = 0.0  # what the bucket may hold, however little its share of the store is
    at: float = 0.0  # store and bucket stand as of then
    moved: float = -1e9  # when `sent` or `asked` last rose
    seen: float = 0.0
    last_sent: float = 0.0  # `sent` at the last tick
    last_asked: float = 0.0
    own_asked: float = 0.0  # a second, smoothed
    pressure: float = 0.0  # what all ask over the quota, as of the last tick
    own_sent: float = 0.0
    others: float = 0.0  # the rate at which all others are taken to send until they are heard of again
    admitted_level: int = 0  # from the bucket that is filled at this process's level
    admitted_store: int = 0  # beyond it, on what the others were believed to leave
    refused_store: int = 0  # all that is owed had been let in, by all processes together
    refused_level: int = 0  # this process's level was reached
    peers: dict[str, Peer] = field(default_factory=dict)

    def advance(self, now: float) -> None:
        """Bring store and bucket up to now, by the rates that held until now.

        Called before every change of `others`, `rate` or `level`: a rate that is charged for time before it
        held, or refunded for time it was not charged for, is an error that no later total makes up for."""
        lasted, self.at = max(0.0, now - self.at), now
        self.store = min(self.store + (self.rate - self.others) * lasted, self.capacity)
        level = self.level
        if self.store < SCARCE * self.capacity:  # the price comes a tick later
            level = min(level, self.rate * self.share)
        self.bucket = min(self.bucket + level * lasted, max(self.least, self.share * self.store))

    def pay_back(self, now: float, peer: Peer) -> None:
        """What was charged for a process in advance, before what it really sent is: no more than fits, for a
        store that was full has lost nothing by the charge."""
        self.advance(now)
        self.store = min(self.store + peer.used * (now - peer.since), self.capacity)

    def takes(self, now: float, peer: Peer, rate: float) -> None:
        """From now on, until it is heard of, a process is taken to send at that rate."""
        self.advance(now)
        self.others += rate - peer.used
        peer.used, peer.since = rate, now


class Admission:
    """All tenants' accounts in one process."""

    def __init__(self, bounds: Bounds, now: float, seed: int = 0, name: str = "") -> None:
        """:param name: of this process"""
        self.bounds, self.name = bounds, name
        self.random = random.Random(seed)
        self.accounts: dict[str, Account] = {}
        self.tenants: Mapping[str, Tenant] = {}  # by name, of the configuration in force
        self.ticked = now
        self.n = 1
        self.born = now
        self.flush = False  # the record is to go out before the next tick
        self._heard: dict[str, float] = {}  # of whom a record came last when
        self._whole: dict[str, int] = {}  # of whom all totals were heard, and in which life

    def capacity(self, tenant: Tenant) -> float:
        """What the store may hold: over any `rate_window` w all let in at most capacity + Q·w, and the rule
        allows (Q·w + burst)·(1 + excess) + extra; of the difference SLACK is used."""
        return tenant.burst + SLACK * self._slack(tenant)

    def spare(self, tenant: Tenant) -> float:
        """Requests beyond the store that the rule still allows: for what is let in and not told yet."""
        return (1.0 - SLACK) * self._slack(tenant)

    def _least(self, tenant: Tenant) -> float:
        """What a bucket may hold however small its share is: a whole request where n of them fit."""
        return 1.0 if self.n <= self.spare(tenant) else 0.0

    def _slack(self, tenant: Tenant) -> float:
        b = self.bounds
        return b.rate_excess * (tenant.rate * b.rate_window + tenant.burst) + b.rate_extra

    def account(self, now: float, tenant: Tenant) -> Account:
        """The account of a limited tenant; created, or brought up to a changed limit, where needed."""
        found = self.accounts.get(tenant.name)
        if found is None:
            found = self.accounts[tenant.name] = Account(share=1.0 / self.n, at=now, seen=now)
        if found.rate != tenant.rate or found.capacity != self.capacity(tenant):
            self._limit(now, tenant, found)
        return found

    def _account_of(self, now: float, name: str) -> Account:
        """The account that another process's totals go to. A tenant that the configuration in force here
        does not limit, or not name yet, has one without a limit."""
        tenant = self.tenants.get(name)
        if tenant is not None and tenant.rate > 0.0:
            return self.account(now, tenant)
        found = self.accounts.get(name)
        if found is None:
            found = self.accounts[name] = Account(share=1.0 / self.n, at=now, seen=now)
        return found

    def _limit(self, now: float, tenant: Tenant, account: Account) -> None:
        """The tenant's limit is another one from now on, or is known for the first time."""
        first = account.rate <= 0.0
        account.advance(now)
        account.rate, account.capacity = tenant.rate, self.capacity(tenant)
        if first:
            # A quiet tenant's store is full, but a process that has just started doesn't know what others
            # sent
            begun = FIRST_STORE * account.capacity + tenant.rate * (now - self.born)
            account.store = min(account.capacity, begun)
            account.least = self._least(tenant)
            account.level, account.bucket = tenant.rate / self.n, account.store * account.share
        account.store = min(account.store, account.capacity)

    def admit(self, now: float, tenant: Tenant) -> float:
        """0: let in. Else it is refused, and may come again after so many seconds."""
        if tenant.rate <= 0.0:
            return 0.0
        found = self.account(now, tenant)
        found.advance(now)
        found.seen = found.moved = now
        found.asked += 1.0
        if found.store <= 0.0:  # all has been let in that is owed, whatever the prices say
            found.refused_store += 1
            return max(0.05, min(5.0, (1.0 - found.store) / tenant.rate))
        if found.bucket < 1.0:
            if found.store < BORROW_ABOVE * found.capacity + 1.0 or not self._chosen(found):
                found.refused_level += 1
                return max(0.05, min(5.0, (1.0 - found.bucket) / max(found.level, 0.05)))
            found.admitted_store += 1
            self.flush = True
        else:
            found.admitted_level += 1
            found.bucket -= 1.0
        found.sent += 1.0
        found.store -= 1.0
        return 0.0

    def _chosen(self, account: Account) -> bool:
        """Whether, of what all ask beyond the quota, this request is one that may draw on the store: else all
        processes would let in a clump each at the moment when the store has filled up to where they may."""
        return self.random.random() * account.pressure < BORROW_OVER

    def give_back(self, tenant: Tenant) -> None:
        """Let in, and never sent to a server."""
        found = self.accounts.get(tenant.name)
        if found is not None and tenant.rate > 0.0:
            found.sent -= 1.0
            found.store += 1.0

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
            "store": found.store,
            "capacity": self.capacity(tenant),
            "asked_here": found.own_asked,
            "sent_here": found.own_sent,
            "sent_elsewhere": max(0.0, found.others),
            "heard_of": len(found.peers),
            "admitted_level": found.admitted_level,
            "admitted_store": found.admitted_store,
            "refused_store": found.refused_store,
            "refused_level": found.refused_level,
        }

    def totals(self) -> dict[str, list[float]]:
        """For this process's record."""
        return {name: [a.sent, a.asked] for name, a in self.accounts.items()}

    def moved(self, now: float, within: float) -> dict[str, list[float]]:
        """Of the totals those that rose in so many seconds."""
        return {name: [a.sent, a.asked] for name, a in self.accounts.items() if now - a.moved < within}

    def heard(
        self, now: float, name: str, life: int, age: float, totals: dict[str, Any], whole: bool = True
    ) -> None:
        """Another process's record.

        :param whole: its totals are all there are; else those that have moved lately
        """
        known = self._whole.get(name) == life  # then a tenant that was not told of had sent nothing
        for tenant, (sent, asked) in totals.items():
            account = self._account_of(now, tenant)
            peer = account.peers.setdefault(name, Peer(since=now))
            account.pay_back(now, peer)
            if peer.life == life:
                lasted = max(age - peer.age, 0.2)
                peer.sent_rate += 0.6 * (max(0.0, sent - peer.sent) / lasted - peer.sent_rate)
                peer.asked_rate += 0.6 * (max(0.0, asked - peer.asked) / lasted - peer.asked_rate)
                account.store -= sent - peer.sent
            else:
                if peer.life >= 0 or known:  # a new incarnation, or its first units: all of it is new
                    account.store -= sent
                peer.sent_rate = peer.asked_rate = 0.0
            begun, peer.life = peer.life != life, life
            peer.age, peer.sent, peer.asked = age, sent, asked
            account.takes(now, peer, account.rate / self.n if begun else peer.sent_rate)
        self._heard[name] = now
        self.n = max(self.n, len(self._heard) + 1)
        if whole:
            self._whole[name] = life

    def tick(self, now: float, names: set[str], silent: set[str]) -> None:
        """One price step for each tenant.

        :param names: all processes that may be running, this one among them
        :param silent: of these the ones not heard of: each may use its even slice, whatever it did before
        """
        lasted = max(now - self.ticked, 0.05)
        self.ticked, self.n = now, max(1, len(names))
        late = silent | {name for name in names if now - self._heard.get(name, self.born) > LATE_S}
        late.discard(self.name)
        for name, account in list(self.accounts.items()):
            tenant = self.tenants.get(name)
            if tenant is None or tenant.rate <= 0.0 or now - account.seen > IDLE_S:
                if tenant is None and now - account.seen > IDLE_S:
                    del self.accounts[name]
                continue
            self.account(now, tenant).advance(now)
            self._others(now, tenant, account, names, late)
            self._step(lasted, tenant, account)

    def _others(self, now: float, tenant: Tenant, account: Account, names: set[str], late: set[str]) -> None:
        """Whoever is late may have taken part in a rush that this process doesn't see."""
        slice_ = tenant.rate / self.n
        for name in late - account.peers.keys():
            account.peers[name] = Peer(since=now)
        for name, peer in list(account.peers.items()):
            if name not in names:
                account.takes(now, peer, 0.0)
                del account.peers[name]
                self._whole.pop(name, None)
                self._heard.pop(name, None)
            elif self._heard.get(name, 0.0) - peer.since > QUIET_S:  # heard of, and not with this tenant
                account.pay_back(now, peer)
                peer.sent_rate, peer.asked_rate = 0.4 * peer.sent_rate, 0.4 * peer.asked_rate
                account.takes(now, peer, peer.sent_rate)
            elif name in late and peer.used < slice_:
                account.advance(now)
                account.store -= (slice_ - peer.used) * max(0.0, now - peer.since)  # since it was heard of
                since = peer.since
                account.takes(now, peer, slice_)
                peer.since = since

    def _step(self, lasted: float, tenant: Tenant, account: Account) -> None:
        quota = tenant.rate
        own = account.sent - account.last_sent
        asked = account.asked - account.last_asked
        account.last_sent, account.last_asked = account.sent, account.asked
        account.own_asked += 0.2 * (asked / lasted - account.own_asked)
        account.own_sent = own / lasted
        total = account.own_sent + max(0.0, account.others)
        even = 1.0 / self.n
        asked_all = account.own_asked + sum(peer.asked_rate for peer in account.peers.values())
        account.share = (account.own_asked + SHARE_UNITS * even) / (asked_all + SHARE_UNITS)
        account.pressure = asked_all / quota
        account.least = self._least(tenant)
        account.price = next_price(account.price, total, quota, HIGHEST_PRICE)
        room = max(quota - total, 0.0)
        least = max(0.25 * quota * even if total < quota else 0.0, LEAST_LEVEL)
        account.level = level_at(account.price, quota, self.n, account.own_sent, room, account.share, least)
        if account.store <= 0.0:  # more was let in than is owed: paid back before anything else is
            account.bucket = min(account.bucket, account.share * account.store)
