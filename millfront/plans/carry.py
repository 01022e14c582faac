"""What becomes of a customer's allowance at one gateway when its plan changes. No I/O.

The rules, each with what it keeps:

- Store and bucket: the units that are left go over, as many as the new burst holds. A move hands out
  nothing, so what was spent stays spent, and moving to and fro gains nothing.
- Price: starts again at 1 and the level at the new even slice Q/n. Whatever each gateway knew of the old
  plan, the levels of all that have heard add up to the new rate at once: a downgrade stops within the burst.
- Share of the store: stays, as it goes by demand.
- Ceiling: what is left of its store goes over, as much as the new one holds; from a plan without a ceiling it
  begins empty and fills at the new rate.
- Attempts out stay out and count against the new cap; nothing more goes out before they are below it.
- Units sent and asked since the last tick are still told. Totals of the counter go on where both plans count
  in the same grain; else the next total is read as the first one of its name.

Bound: with B the larger burst, Q(t) the rate in force and Δ the time until the last gateway has heard, all
gateways together send on at most B + ∫Q(t)dt + max(Q)·Δ plus the ordinary path's own error over a tick:
docs/design/live-plans.md derives it.
"""

from typing import Protocol

from millfront.choice import grain_of
from millfront.interface import Plan

FIRST_PRICE = 1.0
NONE_READ = -1  # the module's mark: no total of this epoch was read


class Held(Protocol):
    """What the module keeps of a customer."""

    plan: Plan
    gateways: int
    bucket: float
    level: float
    ceiling: float
    share: float
    store: float
    price: float
    epoch: int
    sent_total: int


def carry(held: Held, new: Plan) -> None:
    """Put the customer on the new plan. The caller has filled its bucket up to the instant of the change."""
    old, n = held.plan, held.gateways
    if grain_of(old) != grain_of(new):
        held.epoch, held.sent_total = -1, NONE_READ
    if new.rate > 0:
        spent_all = old.rate <= 0  # no store to hand over: begins as a customer never seen does
        held.store = new.burst if spent_all else min(held.store, new.burst)
        held.bucket = min(new.burst if spent_all else held.bucket, new.burst * held.share)
    held.price = FIRST_PRICE
    held.level = new.rate / n
    held.ceiling = min(held.ceiling, new.ceiling_burst / n) if old.ceiling_rate > 0 else 0.0
    held.plan = new
