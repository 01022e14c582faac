"""What becomes of a customer's allowance at one gateway when its plan changes. No I/O.

The rules, each with what it keeps:

- Store: what was spent stays spent. A customer's deficit, the units that it has spent and that have not
  filled up again, goes over to the new plan: its store there is the new burst less the deficit. Where the
  new burst is smaller than the deficit the store is empty and fills at the new rate; the rest of the
  deficit is kept and counts again if the burst grows. So moving to and fro gains nothing, however fast.
- Price: starts again at 1 and the level at the new even slice Q/n. Whatever each gateway knew of the old
  plan, the levels of all that have heard add up to the new rate at once: a downgrade stops within the
  burst.
- Share of the store: stays, as it goes by demand.
- Ceiling: what is left of its store goes over, as much as the new one holds; from a plan without a ceiling
  it begins empty and fills at the new rate.
- Attempts out stay out and count against the new cap; nothing more goes out before they are below it.
- Units sent and asked since the last tick are still told. Totals of the counter go on where both plans
  count in the same grain; else the next total is read as the first one of its name.

Bound: with B the larger burst, Q(t) the rate in force and Δ the time until the last gateway has heard, all
gateways together send on at most B + ∫Q(t)dt + max(Q)·Δ plus the ordinary path's own error over a tick:
docs/design/live-plans.md derives it.
"""

from dataclasses import dataclass
from typing import Any, Protocol

from millfront.decisions.prices import counter_quantum
from millfront.interface import Plan

SECOND_US = 1_000_000
INITIAL_PRICE = 1.0
NO_TOTAL_READ = -1  # the module's mark: no total of this epoch was read


class CustomerState(Protocol):
    """What the module keeps of a customer."""

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
    """What a change leaves behind for the next one."""

    deficit: float  # beyond what the plan's own store shows, in units of all gateways
    since_us: int


def change_plan(now: int, customer: CustomerState, new: Plan) -> None:
    """Put the customer on the new plan. The caller has filled its bucket up to the instant of the change."""
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
    """The store and this gateway's part of it; returns what is left of the deficit."""
    if old.rate <= 0:  # without a store nothing was counted: begins as a customer never seen does
        customer.global_bucket, customer.bucket = new.burst, new.burst * customer.share
        return 0.0
    # This gateway's bucket over its share tells the store sooner than the last total does.
    level = min(customer.bucket / customer.share, old.burst)
    deficit = max(0.0, old.burst - level)
    if isinstance(customer.live_plan_state, CarriedDeficit):
        filled = old.rate * (now - customer.live_plan_state.since_us) / SECOND_US
        full_since = level >= old.burst and filled >= customer.live_plan_state.deficit
        deficit += 0.0 if full_since else customer.live_plan_state.deficit
    # What is in hand is not taken away by a larger plan, whatever deficit is still remembered.
    new_level = min(max(level if new.burst > old.burst else 0.0, new.burst - deficit), new.burst)
    customer.bucket = new_level * customer.share
    customer.global_bucket = min(max(customer.global_bucket + new_level - level, 0.0), new.burst)
    return max(0.0, deficit - (new.burst - new_level))
