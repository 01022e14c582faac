"""Prices and levels, by the paper's letters: φ price, ν step, S sent total, Q quota, ℓ level."""

from millfront import interface as api

SECOND = 1_000_000
STEP = 0.5  # ν, price per tick at zero demand: two idle ticks open a level, two full ones close it
LEAST_PRICE = 1e-3  # keeps the level finite; the room cap binds long before
PACK = 2000  # units: asked and sent share one total, which is exact to seven digits
EPOCH_US = 15 * SECOND  # one name serves so long: short enough for exact totals
COUNTED_OVER = 3.0  # times the quota asked over an epoch that a total must hold exactly


def next_price(price: float, sent_total: float, quota: float, most: float = 1.0) -> float:
    """The paper's projected step, φ ← min{max{φ - ν(1 - S/Q), 0}, most}; 1 is the even slice's price."""
    return min(max(price - STEP * (1.0 - sent_total / quota), 0.0), most)


def level_at(
    price: float, quota: float, n: int, own: float, room: float, share: float, least: float = -1
) -> float:
    """ℓ maximises (Q/n)·log ℓ - φ·ℓ, capped by own use plus its share of room, floored at the even slice."""
    even = quota / n
    return max(min(even / max(price, LEAST_PRICE), own + room * share), even if least < 0 else least)


def grain_of(plan: api.Plan) -> float:
    """Units counted as one, so that an epoch's totals stay exact."""
    return max(1.0, COUNTED_OVER * plan.rate * EPOCH_US / SECOND / PACK)
