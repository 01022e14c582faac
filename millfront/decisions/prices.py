"""Prices and levels, by the paper's letters: φ price, ν step, S sent total, Q quota, ℓ level."""

from millfront import interface as api

SECOND_US = 1_000_000
PRICE_STEP = 0.5  # ν, price per tick at zero demand: two idle ticks open a level, two full ones close it
MIN_PRICE = 1e-3  # keeps the level finite; the room cap binds long before
PACK_BASE = 2000  # units: asked and sent share one total, which is exact to seven digits
EPOCH_US = 15 * SECOND_US  # one name serves so long: short enough for exact totals
MAX_DEMAND_RATIO = 3.0  # times the quota asked over an epoch that a total must hold exactly


def next_price(price: float, sent_total: float, quota: float, max_price: float = 1.0) -> float:
    """The paper's projected step, φ ← min{max{φ - ν(1 - S/Q), 0}, most}; 1 is the even slice's price."""
    return min(max(price - PRICE_STEP * (1.0 - sent_total / quota), 0.0), max_price)


def refill_rate(
    price: float, quota: float, n: int, own_rate: float, unused: float, share: float, floor: float = -1
) -> float:
    """ℓ maximises (Q/n)·log ℓ - φ·ℓ, at most own use plus a share of the unused, at least the even part"""
    even = quota / n
    return max(min(even / max(price, MIN_PRICE), own_rate + unused * share), even if floor < 0 else floor)


def counter_quantum(plan: api.Plan) -> float:
    """Units counted as one, so that an epoch's totals stay exact."""
    return max(1.0, MAX_DEMAND_RATIO * plan.rate * EPOCH_US / SECOND_US / PACK_BASE)
