"""Reservations enforced over all gatekeepers together: units leased from the shared counter. No I/O.

A gatekeeper whose customer exceeds its plan leases a chunk of the reservation before it is needed: it adds
the chunk to the reservation's counter name and reads the total, which shows how much of the chunk is still
within the reservation. Units that are not granted are never sent on, so all leases together stay within the
reservation whatever each gatekeeper believes.

- `rate`: one counter name per second. Unused units are not saved up, except one chunk at each gatekeeper.
  Over any time T all gatekeepers send on at most rate·(T + 2 s) plus a chunk each.
- `units`: one counter name per epoch, because the counter forgets names. In its first call of an epoch a
  gatekeeper also adds all that it leased before (the introduction). It does so ahead of time, before the
  epoch begins, so that the name's total covers all live gatekeepers. Before it leases in an epoch, a
  gatekeeper reads the closed epoch's final total; what the new total is short of that one (a gatekeeper
  died) stays deducted.
- A call that may have been counted and was not answered counts as spent. A total below what this gatekeeper
  itself added grants nothing: the counter has forgotten it.
- Without a counter, or if the customer has a single gatekeeper, each gatekeeper has an even part.

Limits: units of a gatekeeper that was cut off from the counter for more than an epoch are deducted twice by
those that took it for dead. If all gatekeepers die within an epoch's lifetime, the spent part of `units` is
forgotten.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from millfront import interface as api

SECOND_US = 1_000_000
EPOCH_US = 15 * SECOND_US
# Before an epoch begins, gatekeepers add what they leased so far to its name within this time
INTRODUCE_AHEAD_US = 5 * SECOND_US
# Lifetime of an epoch's name: the epoch, the time ahead of it, and a margin for differing clocks
EPOCH_TTL_US = 40 * SECOND_US
WINDOW_TTL_US = 5 * SECOND_US
CHUNK_PERIOD_S = 0.25  # a chunk covers the recent shortage rate for this long
# Of the units left in the reservation, so that its last units are not stranded at one gatekeeper
MAX_CHUNK_SHARE = 0.25
LOW_WATER_REQUESTS = 2.0  # the next chunk is leased when the units in hand cover fewer requests
RETRY_US = 100_000  # pause after a call that granted nothing


@dataclass(frozen=True, slots=True)
class ReservationSpec:
    """A reservation in the form that Leases uses; times in µs of Unix time."""

    key: int
    customer: int
    from_us: int
    until_us: int
    rate: float | None
    units: float | None


@dataclass(frozen=True, slots=True)
class Leased:
    """The customer may send on this many more units at this gatekeeper; negative: fewer."""

    customer: int
    units: float


LeaseAction = api.Count | Leased


@dataclass(slots=True)
class _Pool:
    """What this gatekeeper knows of one reservation. A period is a second (`rate`) or an epoch (`units`)."""

    spec: ReservationSpec
    leased: float = 0.0  # units leased here, including those that may have been leased
    added: dict[int, float] = field(default_factory=dict)  # by period: units added, or possibly added
    confirmed: dict[int, float] = field(default_factory=dict)  # of `added`, what an answer has confirmed
    period: int = -1  # the last period whose total was read
    closed_period: int = -1  # the last period whose total was read after its end
    missing: float = 0.0  # spent units that the period's total does not include
    spent: float = 0.0  # units over all gatekeepers, as far as known
    shortage_rate: float = 0.0  # recent demand beyond the plan, units a second
    short_at_us: int = 0
    call_pending: bool = False
    paused_until: int = 0
    ended: bool = False


class Leases:
    """All reservations at one gatekeeper."""

    def __init__(self, counter: bool) -> None:
        self.counter = counter
        self._pools: dict[int, _Pool] = {}
        self._by_customer: dict[int, list[_Pool]] = {}
        self._calls: dict[int, list[tuple[_Pool, int, float, float]]] = {}

    def update(self, now: int, specs: Iterable[ReservationSpec]) -> list[LeaseAction]:
        """Applies a new book: remaining reservations keep their state, removed ones return unused units."""
        before, self._pools, self._by_customer = self._pools, {}, {}
        actions: list[LeaseAction] = []
        for spec in specs:
            pool = before.pop(spec.key, None) or _Pool(spec)
            if pool.ended and now < spec.until_us:
                pool.ended = False
            pool.spec = spec
            self._pools[spec.key] = pool
            self._by_customer.setdefault(spec.customer, []).append(pool)
        for pool in before.values():
            actions += self._end(pool)
        return actions

    def on_short(
        self, now: int, customer: int, units: float, in_hand: float, gateways: int
    ) -> list[LeaseAction]:
        """The customer's demand exceeds its plan.

        :param units: of the request that exceeded it
        :param in_hand: units leased and not used yet
        :param gateways: number of gateways that serve the customer
        """
        actions: list[LeaseAction] = []
        for pool in self._by_customer.get(customer, ()):
            spec = pool.spec
            if not spec.from_us <= now < spec.until_us:
                continue
            gap = max(now - pool.short_at_us, 1) / SECOND_US
            pool.shortage_rate = pool.shortage_rate * math.exp(-gap) + units
            pool.short_at_us = now
            if in_hand >= LOW_WATER_REQUESTS * units or pool.call_pending or now < pool.paused_until:
                continue
            actions += self._lease(now, pool, units, gateways)
            if pool.call_pending:
                break  # overlapping reservations are leased one after the other and add up
        return actions

    def _lease(self, now: int, pool: _Pool, units: float, gateways: int) -> list[LeaseAction]:
        spec = pool.spec
        limit = spec.rate if spec.rate is not None else spec.units or 0.0
        period = now // SECOND_US if spec.rate is not None else now // EPOCH_US
        left = limit
        if spec.rate is None or pool.period == period:
            left = limit - pool.spent
        if left <= 0.0:
            pool.paused_until = (period + 1) * SECOND_US if spec.rate is not None else now + RETRY_US
            return []
        chunk = max(units, min(pool.shortage_rate * CHUNK_PERIOD_S, left * MAX_CHUNK_SHARE))
        if not self.counter or gateways <= 1:
            return self._lease_locally(pool, period, limit / max(gateways, 1), chunk)
        chunk = float(math.ceil(chunk))
        introduced = self._not_introduced(pool, period)
        close_calls = self._close_epoch(pool, period)
        if close_calls:
            pool.call_pending = True
            return close_calls
        return [self._count_call(pool, period, introduced, chunk)]

    def _close_epoch(self, pool: _Pool, period: int) -> list[LeaseAction]:
        """The call that reads the previous epoch's final total, if that has not been done yet."""
        if pool.spec.rate is not None or pool.closed_period >= period - 1:
            return []
        return [self._count_call(pool, period - 1, 0.0, 0.0)]

    def _lease_locally(self, pool: _Pool, period: int, limit: float, chunk: float) -> list[LeaseAction]:
        """Leases from this gatekeeper's even part: there is no other gateway, or no counter to share by."""
        if pool.spec.rate is not None and pool.period != period:
            pool.period, pool.leased = period, 0.0
        granted = min(chunk, limit - pool.leased)
        if granted <= 0.0:
            return []
        pool.leased += granted
        return [Leased(pool.spec.customer, granted)]

    def _not_introduced(self, pool: _Pool, period: int) -> float:
        """Units that this gatekeeper leased and has not yet added to the period's name."""
        if pool.spec.rate is not None:
            return 0.0
        return max(0.0, pool.leased - pool.added.get(period, 0.0))

    def _count_call(self, pool: _Pool, period: int, introduced: float, chunk: float) -> api.Count:
        windowed = pool.spec.rate is not None
        name = api.stable_hash(pool.spec.key, windowed, period)
        pool.call_pending = pool.call_pending or chunk > 0.0
        pool.added[period] = pool.added.get(period, 0.0) + introduced + chunk
        pool.leased += chunk
        for kept in (pool.added, pool.confirmed):
            for old in [p for p in kept if p < period - 1]:
                del kept[old]
        self._calls.setdefault(name, []).append((pool, period, introduced, chunk))
        return api.Count(name, introduced + chunk, WINDOW_TTL_US if windowed else EPOCH_TTL_US)

    def handle_answer(
        self, now: int, name: int, outcome: api.Outcome, total: float
    ) -> list[LeaseAction] | None:
        """Handles the end of a counter call; returns None if the call is not one of these leases."""
        calls = self._calls.get(name)
        if not calls:
            return None
        pool, period, introduced, chunk = calls.pop(0)
        if not calls:
            del self._calls[name]
        pool.call_pending = False
        if outcome is not api.Outcome.OK:
            # An introduction that may be lost is repeated: counted twice it costs the customer units, not
            # counted it would break the bound. A chunk that may be lost counts as spent.
            pool.added[period] = pool.added.get(period, 0.0) - introduced
            if outcome not in (api.Outcome.TIMEOUT, api.Outcome.RESET):  # certainly not added
                pool.added[period] -= chunk
                pool.leased -= chunk
            pool.paused_until = now + RETRY_US
            return []
        pool.confirmed[period] = pool.confirmed.get(period, 0.0) + introduced + chunk
        return self._apply_total(now, pool, period, chunk, total)

    def _apply_total(
        self, now: int, pool: _Pool, period: int, chunk: float, total: float
    ) -> list[LeaseAction]:
        spec = pool.spec
        limit = spec.rate if spec.rate is not None else spec.units or 0.0
        current = now // SECOND_US if spec.rate is not None else now // EPOCH_US
        if total < pool.confirmed[period] - 0.5:  # the counter forgot the name, or is another counter
            pool.paused_until = now + RETRY_US
            pool.leased -= chunk
            return []
        if spec.rate is None and period == current - 1:
            pool.closed_period = max(pool.closed_period, period)
            pool.spent = max(pool.spent, total + (pool.missing if pool.period == period else 0.0))
            pool.leased -= chunk
            return []
        others = total - chunk
        late = period < pool.period or period < current - (spec.rate is not None)
        if late or period > current:  # an introduction made ahead leases nothing
            pool.leased -= chunk
            return []
        if period != pool.period:
            pool.missing = max(0.0, pool.spent - others) if spec.rate is None else 0.0
            pool.period = period
        pool.spent = max(pool.spent if spec.rate is None else 0.0, total + pool.missing)
        granted = max(0.0, min(chunk, limit - others - pool.missing))
        # These units are never sent on; the counter name still includes them, which errs on the safe side.
        pool.leased -= chunk - granted
        if granted <= 0.0:
            if chunk > 0.0:
                pool.paused_until = (period + 1) * SECOND_US if spec.rate is not None else now + RETRY_US
            return []
        if not spec.from_us <= now < spec.until_us or pool.ended:
            return []
        return [Leased(spec.customer, granted)]

    def tick(self, now: int) -> list[LeaseAction]:
        """Called about once a second: ends reservations and introduces leased units ahead of an epoch."""
        actions: list[LeaseAction] = []
        for pool in self._pools.values():
            spec = pool.spec
            if now >= spec.until_us:
                actions += self._end(pool)
                continue
            if spec.units is None or now < spec.from_us or not self.counter:
                continue
            period = now // EPOCH_US
            spread = spec.key % (INTRODUCE_AHEAD_US // 2)  # spreads the reservations' calls over time
            introduced = self._not_introduced(pool, period + 1)
            if (period + 1) * EPOCH_US - now <= INTRODUCE_AHEAD_US - spread and introduced > 0.0:
                actions.append(self._count_call(pool, period + 1, introduced, 0.0))
            elif not pool.call_pending and now % EPOCH_US >= spread % SECOND_US:
                # Reads the total as a witness: a gatekeeper that has read it keeps it if the spender dies.
                if close_calls := self._close_epoch(pool, period):
                    actions += close_calls
                elif pool.period != period:
                    actions.append(self._count_call(pool, period, self._not_introduced(pool, period), 0.0))
        return actions

    def _end(self, pool: _Pool) -> list[LeaseAction]:
        """Ends a finished or cancelled reservation: its unused leased units may no longer be sent on. Leased
        units are not kept apart, so those of the customer's other reservations end too, at most one chunk."""
        if pool.ended:
            return []
        pool.ended = True
        return [Leased(pool.spec.customer, -math.inf)]
