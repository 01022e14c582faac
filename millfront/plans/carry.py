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

SECOND = 1_000_000
FIRST_PRICE = 1.0
NONE_READ = -1  # the module's mark: no total of this epoch was read


class Held(Protocol):
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
class Carried:
    """What a change leaves behind for the next one."""

    deficit: float  # beyond what the plan's own store shows, in units of all gateways
    since_us: int


def carry(now: int, held: Held, new: Plan) -> None:
    """Put the customer on the new plan. The caller has filled its bucket up to the instant of the change."""
    old, n = held.plan, held.gateways
    if counter_quantum(old) != counter_quantum(new):
        held.epoch, held.sent_total = -1, NONE_READ
    left = 0.0
    if new.rate > 0:
        left = _carry_store(now, held, old, new)
    held.price = FIRST_PRICE
    held.refill_rate = new.rate / n
    held.ceiling = min(held.ceiling, new.ceiling_burst / n) if old.ceiling_rate > 0 else 0.0
    held.plan = new
    held.live_plan_state = Carried(left, now)


def _carry_store(now: int, held: Held, old: Plan, new: Plan) -> float:
    """The store and this gateway's part of it; returns what is left of the deficit."""
    if old.rate <= 0:  # without a store nothing was counted: begins as a customer never seen does
        held.global_bucket, held.bucket = new.burst, new.burst * held.share
        return 0.0
    # This gateway's bucket over its share tells the store sooner than the last total does.
    store = min(held.bucket / held.share, old.burst)
    deficit = max(0.0, old.burst - store)
    if isinstance(held.live_plan_state, Carried):
        filled = old.rate * (now - held.live_plan_state.since_us) / SECOND
        full_since = store >= old.burst and filled >= held.live_plan_state.deficit
        deficit += 0.0 if full_since else held.live_plan_state.deficit
    # What is in hand is not taken away by a larger plan, whatever deficit is still remembered.
    after = min(max(store if new.burst > old.burst else 0.0, new.burst - deficit), new.burst)
    held.bucket = after * held.share
    held.global_bucket = min(max(held.global_bucket + after - store, 0.0), new.burst)
    return max(0.0, deficit - (new.burst - after))
