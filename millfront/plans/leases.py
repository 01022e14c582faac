"""Reservations held over all gatekeepers together: units leased from the shared counter. No I/O.

A gatekeeper whose customer runs short of its plan leases a chunk of the reservation before it is needed: it
adds the chunk to the reservation's name and reads the total, which tells how much of the chunk is still
within what was reserved. What was not granted was never sent on, so all leases together stay within the
reservation whatever each gatekeeper believes.

- `rate`: a name a second. Unused units are not saved up but for one chunk at each gatekeeper. Over any time
  T all gatekeepers send on at most rate·(T + 2 s) plus a chunk each.
- `units`: a name an epoch, as the counter forgets. In an epoch's first call a gatekeeper also adds all that
  it leased before, and it does so ahead, before the epoch begins, so that the name's total is that of all
  who live. Before it leases in an epoch, a gatekeeper reads the closed one's name to its end; what the new
  total lacks against that (somebody died) stays deducted.
- A call that may have been added, and was not answered, counts as spent. A total below what this gatekeeper
  itself added grants nothing: the counter has forgotten.
- Without a counter, or with one gatekeeper for the customer, each has its even part.

Harm: a gatekeeper that was cut off from the counter for more than an epoch is deducted twice by those that
took it for dead. If all gatekeepers die within an epoch's life the spent part of `units` is forgotten.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from millfront import interface as api

SECOND = 1_000_000
EPOCH_US = 15 * SECOND
AHEAD_US = 5 * SECOND  # before an epoch: within it each adds what it leased so far under the new name
TTL_US = 40 * SECOND  # of an epoch's name: the epoch, what comes ahead, and room for clocks that differ
WINDOW_TTL_US = 5 * SECOND
CHUNK_S = 0.25  # of the shortage seen lately: a call then carries what would be asked in so long
MOST_CHUNK = 0.25  # of what is left of the reservation: the last of it is not stranded at one gatekeeper
LOW = 2.0  # requests' units held: below that the next chunk is asked for
AGAIN_US = 100_000  # after a call that brought nothing


@dataclass(frozen=True, slots=True)
class Held:
    """One reservation as the leases need it; times in µs of Unix time."""

    key: int
    customer: int
    from_us: int
    until_us: int
    rate: float | None
    units: float | None


@dataclass(frozen=True, slots=True)
class Leased:
    """The customer may send on so many more units here; below 0, so many fewer."""

    customer: int
    units: float


Ask = api.Count | Leased


@dataclass(slots=True)
class _Pool:
    """What this gatekeeper knows of one reservation."""

    held: Held
    own: float = 0.0  # units leased here, and those that may have been
    added: dict[int, float] = field(default_factory=dict)  # by period: put under its name, or perhaps put
    sure: dict[int, float] = field(default_factory=dict)  # of that, what an answer has confirmed
    period: int = -1  # the last one whose total was read
    closed: int = -1  # the last one whose total was read after its end
    lacking: float = 0.0  # spent units that the period's total does not show
    spent: float = 0.0  # over all gatekeepers, as far as known
    shortage: float = 0.0  # units a second asked for beyond the plan, lately
    asked_us: int = 0
    calling: bool = False
    rests_until: int = 0
    lapsed: bool = False


class Leases:
    """All reservations at one gatekeeper."""

    def __init__(self, counter: bool) -> None:
        self.counter = counter
        self._pools: dict[int, _Pool] = {}
        self._by_customer: dict[int, list[_Pool]] = {}
        self._calls: dict[int, list[tuple[_Pool, int, float, float]]] = {}

    def book(self, now: int, held: Iterable[Held]) -> list[Ask]:
        """A new book: reservations that stay keep what is known of them, those that are gone give back."""
        before, self._pools, self._by_customer = self._pools, {}, {}
        asks: list[Ask] = []
        for one in held:
            pool = before.pop(one.key, None) or _Pool(one)
            if pool.lapsed and now < one.until_us:
                pool.lapsed = False
            pool.held = one
            self._pools[one.key] = pool
            self._by_customer.setdefault(one.customer, []).append(pool)
        for pool in before.values():
            asks += self._lapse(pool)
        return asks

    def short(self, now: int, customer: int, units: float, in_hand: float, gateways: int) -> list[Ask]:
        """The customer asks beyond its plan.

        :param units: of the request that met the shortage
        :param in_hand: units leased and not used yet
        :param gateways: of the customer's set
        """
        asks: list[Ask] = []
        for pool in self._by_customer.get(customer, ()):
            held = pool.held
            if not held.from_us <= now < held.until_us:
                continue
            gap = max(now - pool.asked_us, 1) / SECOND
            pool.shortage = pool.shortage * math.exp(-gap) + units
            pool.asked_us = now
            if in_hand >= LOW * units or pool.calling or now < pool.rests_until:
                continue
            asks += self._lease(now, pool, units, gateways)
            if pool.calling:
                break  # one reservation after the other: overlapping ones add up
        return asks

    def _lease(self, now: int, pool: _Pool, units: float, gateways: int) -> list[Ask]:
        held = pool.held
        limit = held.rate if held.rate is not None else held.units or 0.0
        period = now // SECOND if held.rate is not None else now // EPOCH_US
        left = limit
        if held.rate is None or pool.period == period:
            left = limit - pool.spent
        if left <= 0.0:
            pool.rests_until = (period + 1) * SECOND if held.rate is not None else now + AGAIN_US
            return []
        chunk = max(units, min(pool.shortage * CHUNK_S, left * MOST_CHUNK))
        if not self.counter or gateways <= 1:
            return self._alone(pool, period, limit / max(gateways, 1), chunk)
        chunk = float(math.ceil(chunk))
        introduced = self._introduction(pool, period)
        closing = self._closing(pool, period)
        if closing:
            pool.calling = True
            return closing
        return [self._call(pool, period, introduced, chunk)]

    def _closing(self, pool: _Pool, period: int) -> list[Ask]:
        """The call that reads the epoch before to its end, where that is still owed."""
        if pool.held.rate is not None or pool.closed >= period - 1:
            return []
        return [self._call(pool, period - 1, 0.0, 0.0)]

    def _alone(self, pool: _Pool, period: int, limit: float, chunk: float) -> list[Ask]:
        """Nobody to share with, or no means to: the even part is this gatekeeper's own."""
        if pool.held.rate is not None and pool.period != period:
            pool.period, pool.own = period, 0.0
        got = min(chunk, limit - pool.own)
        if got <= 0.0:
            return []
        pool.own += got
        return [Leased(pool.held.customer, got)]

    def _introduction(self, pool: _Pool, period: int) -> float:
        """What this gatekeeper leased and has not yet put under the period's name."""
        if pool.held.rate is not None:
            return 0.0
        return max(0.0, pool.own - pool.added.get(period, 0.0))

    def _call(self, pool: _Pool, period: int, introduced: float, chunk: float) -> api.Count:
        windowed = pool.held.rate is not None
        name = api.stable_hash(pool.held.key, windowed, period)
        pool.calling = pool.calling or chunk > 0.0
        pool.added[period] = pool.added.get(period, 0.0) + introduced + chunk
        pool.own += chunk
        for kept in (pool.added, pool.sure):
            for old in [p for p in kept if p < period - 1]:
                del kept[old]
        self._calls.setdefault(name, []).append((pool, period, introduced, chunk))
        return api.Count(name, introduced + chunk, WINDOW_TTL_US if windowed else TTL_US)

    def answered(self, now: int, name: int, outcome: api.Outcome, total: float) -> list[Ask] | None:
        """A counter call has ended; None: it was none of these."""
        calls = self._calls.get(name)
        if not calls:
            return None
        pool, period, introduced, chunk = calls.pop(0)
        if not calls:
            del self._calls[name]
        pool.calling = False
        if outcome is not api.Outcome.OK:
            # An introduction that may be lost is made again: counted twice it costs the customer units, not
            # counted it would cost the bound. A chunk that may be lost is spent.
            pool.added[period] = pool.added.get(period, 0.0) - introduced
            if outcome not in (api.Outcome.TIMEOUT, api.Outcome.RESET):  # surely not added
                pool.added[period] -= chunk
                pool.own -= chunk
            pool.rests_until = now + AGAIN_US
            return []
        pool.sure[period] = pool.sure.get(period, 0.0) + introduced + chunk
        return self._told(now, pool, period, chunk, total)

    def _told(self, now: int, pool: _Pool, period: int, chunk: float, total: float) -> list[Ask]:
        held = pool.held
        limit = held.rate if held.rate is not None else held.units or 0.0
        current = now // SECOND if held.rate is not None else now // EPOCH_US
        if total < pool.sure[period] - 0.5:  # it forgot, or is another one
            pool.rests_until = now + AGAIN_US
            pool.own -= chunk
            return []
        if held.rate is None and period == current - 1:
            pool.closed = max(pool.closed, period)
            pool.spent = max(pool.spent, total + (pool.lacking if pool.period == period else 0.0))
            pool.own -= chunk
            return []
        others = total - chunk
        late = period < pool.period or period < current - (held.rate is not None)
        if late or period > current:  # an introduction ahead is no lease
            pool.own -= chunk
            return []
        if period != pool.period:
            pool.lacking = max(0.0, pool.spent - others) if held.rate is None else 0.0
            pool.period = period
        pool.spent = max(pool.spent if held.rate is None else 0.0, total + pool.lacking)
        got = max(0.0, min(chunk, limit - others - pool.lacking))
        pool.own -= chunk - got  # never sent on; the name goes on showing it, which errs on the safe side
        if got <= 0.0:
            if chunk > 0.0:
                pool.rests_until = (period + 1) * SECOND if held.rate is not None else now + AGAIN_US
            return []
        if not held.from_us <= now < held.until_us or pool.lapsed:
            return []
        return [Leased(held.customer, got)]

    def beat(self, now: int) -> list[Ask]:
        """About once a second: what ends gives back, and what was leased is told ahead of the next epoch."""
        asks: list[Ask] = []
        for pool in self._pools.values():
            held = pool.held
            if now >= held.until_us:
                asks += self._lapse(pool)
                continue
            if held.units is None or now < held.from_us or not self.counter:
                continue
            period = now // EPOCH_US
            spread = held.key % (AHEAD_US // 2)  # not all at one instant
            owed = self._introduction(pool, period + 1)
            if (period + 1) * EPOCH_US - now <= AHEAD_US - spread and owed > 0.0:
                asks.append(self._call(pool, period + 1, owed, 0.0))
            elif not pool.calling and now % EPOCH_US >= spread % SECOND:
                # A witness: who has read a total keeps it, should the gatekeeper that spent it die.
                if closing := self._closing(pool, period):
                    asks += closing
                elif pool.period != period:
                    asks.append(self._call(pool, period, self._introduction(pool, period), 0.0))
        return asks

    def _lapse(self, pool: _Pool) -> list[Ask]:
        """Ended or cancelled: what is leased and unused may not be sent on any more. Units are not told apart
        once leased: those of the customer's other reservations end with them, a chunk at the most."""
        if pool.lapsed:
            return []
        pool.lapsed = True
        return [Leased(pool.held.customer, -math.inf)]
