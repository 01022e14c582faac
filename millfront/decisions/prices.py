"""Prices and refill rates, in the paper's letters: φ price, ν step, S sent total, Q quota, ℓ rate (level)."""

from millfront import interface as api

SECOND_US = 1_000_000
PRICE_STEP = 0.5  # ν, per period: two idle ones bring the price from 1 to 0, two at S = 2Q back to 1
MIN_PRICE = 1e-3  # keeps the rate finite; the cap by unused quota binds long before
PACK_BASE = 2000  # sent + PACK_BASE * demand share one total, which is exact to seven digits
EPOCH_US = 15 * SECOND_US  # lifetime of a counter name: short enough for exact totals
MAX_DEMAND_RATIO = 3.0  # demand over quota in an epoch, up to which its total must be exact


def next_price(price: float, sent_total: float, quota: float, max_price: float = 1.0) -> float:
    """The paper's projected step, φ ← min{max{φ - ν(1 - S/Q), 0}, max}; at 1 each has the even share."""
    return min(max(price - PRICE_STEP * (1.0 - sent_total / quota), 0.0), max_price)


def refill_rate(
    price: float, quota: float, n: int, own_rate: float, unused: float, share: float, floor: float = -1
) -> float:
    """ℓ maximises (Q/n)·log ℓ - φ·ℓ, up to own_rate + unused·share, from Q/n or the floor upwards."""
    even = quota / n
    return max(min(even / max(price, MIN_PRICE), own_rate + unused * share), even if floor < 0 else floor)


def counter_quantum(plan: api.Plan) -> float:
    """Units per count of the counter, chosen so that an epoch's totals stay exact."""
    return max(1.0, MAX_DEMAND_RATIO * plan.rate * EPOCH_US / SECOND_US / PACK_BASE)
