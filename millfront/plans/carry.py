"""How a customer's allowance at one gateway carries over when its plan changes. No I/O.

The rules, and what each one preserves:

- Bucket: spent units stay spent. The customer's deficit, the units that it has spent and that have not been
  refilled yet, carries over to the new plan: its bucket starts at the new burst minus the deficit. If the
  new burst is smaller than the deficit, the bucket starts empty and refills at the new rate; the rest of
  the deficit is remembered and counts again if the burst grows. So switching back and forth gains nothing,
  however fast.
- Price: restarts at 1, and the refill rate at the new even share Q/n. Whatever each gateway knew of the old
  plan, the refill rates of all gateways that have learned of the change add up to the new rate at once: a
  downgrade takes effect within the burst.
- Share of the bucket: stays, because it follows demand.
- Ceiling: what is left in its bucket carries over, up to the new ceiling's burst; after a plan without a
  ceiling it starts empty and refills at the new rate.
- Attempts in flight stay in flight and count against the new limit; no more are sent until they are below
  it.
- Units sent and demanded since the last tick are still reported. Counter totals continue if both plans count
  with the same quantum; otherwise the next total is treated as the first one under its name.

Bound: with B the larger burst, Q(t) the rate in force and Δ the time until the last gateway has learned of
the change, all gateways together send on at most B + ∫Q(t)dt + max(Q)·Δ plus the normal path's own error
over a tick: docs/design/live-plans.md derives it.
"""

from dataclasses import dataclass
from typing import Any, Protocol

from millfront.decisions.prices import counter_quantum
from millfront.interface import Plan

SECOND_US = 1_000_000
INITIAL_PRICE = 1.0
NO_TOTAL_READ = -1  # value of sent_total while no total of the epoch has been read


class CustomerState(Protocol):
    """The fields of decisions.state.Customer that a change of plan reads or sets."""

    plan: Plan
    gateways: int
    bucket: float
    refill_rate: float
    ceiling: float
    share: float
    global_bucket: float
    price: float
    epoch: int
    sent_total: int
    live_plan_state: Any


@dataclass(frozen=True, slots=True)
class CarriedDeficit:
    """What a change of plan remembers for the next one."""

    deficit: float  # units over all gateways, beyond the deficit that the plan's own bucket shows
    since_us: int


def change_plan(now: int, customer: CustomerState, new: Plan) -> None:
    """Puts the customer on the new plan. The caller must have refilled its bucket up to `now` (µs)."""
    old, n = customer.plan, customer.gateways
    if counter_quantum(old) != counter_quantum(new):
        customer.epoch, customer.sent_total = -1, NO_TOTAL_READ
    remaining = 0.0
    if new.rate > 0:
        remaining = _carry_bucket(now, customer, old, new)
    customer.price = INITIAL_PRICE
    customer.refill_rate = new.rate / n
    customer.ceiling = min(customer.ceiling, new.ceiling_burst / n) if old.ceiling_rate > 0 else 0.0
    customer.plan = new
    customer.live_plan_state = CarriedDeficit(remaining, now)


def _carry_bucket(now: int, customer: CustomerState, old: Plan, new: Plan) -> float:
    """Sets the global bucket and this gateway's part of it; returns the rest of the deficit, in units."""
    if old.rate <= 0:  # no bucket, so nothing was counted: start like a new customer
        customer.global_bucket, customer.bucket = new.burst, new.burst * customer.share
        return 0.0
    # This gateway's bucket divided by its share is more recent than the last total read.
    level = min(customer.bucket / customer.share, old.burst)
    deficit = max(0.0, old.burst - level)
    if isinstance(customer.live_plan_state, CarriedDeficit):
        filled = old.rate * (now - customer.live_plan_state.since_us) / SECOND_US
        full_since = level >= old.burst and filled >= customer.live_plan_state.deficit
        deficit += 0.0 if full_since else customer.live_plan_state.deficit
    # A larger plan never takes away units still in the bucket, whatever deficit is remembered.
    new_level = min(max(level if new.burst > old.burst else 0.0, new.burst - deficit), new.burst)
    customer.bucket = new_level * customer.share
    customer.global_bucket = min(max(customer.global_bucket + new_level - level, 0.0), new.burst)
    return max(0.0, deficit - (new.burst - new_level))
