"""What may be granted of a tenant's quota, derived from its limit and the rule. No I/O, no clock.

The rule: in any `rate_window` w at most A = (rate·w + burst)·(1 + `rate_excess`) + `rate_extra` requests run,
over all processes. A token bucket of capacity C that is refilled at r grants at most C + r·t in any span t. A
token is used within its life T after it was granted, so that what runs in a window was granted in a span of
w + T; hence C + r·(w + T) <= A is all that is needed.
"""

from dataclasses import dataclass

from millfront.control.configuration import Tenant
from millfront.environment import Bounds

TOKEN_LIFETIME_SHARE = 0.05  # of the window: the refill that a token's life costs
MAX_TOKEN_LIFETIME_S = 0.25
REFILL_FACTOR = (
    1.05  # times the tenant's rate: makes up for tokens that are lost or void, where the rule leaves it
)
MIN_REFILL_FACTOR = 0.5  # times the tenant's rate: so much in any case
MIN_CAPACITY = 1.0  # tokens: with less no request would ever be let in
CLOCK_ERROR = 0.01  # a clock may run so much too fast


@dataclass(frozen=True, slots=True)
class Allowance:
    """A token bucket's limits: tokens, and tokens a second."""

    capacity: float
    rate: float

    def scaled(self, share: float) -> "Allowance":
        """The same for one of several that share it out."""
        return Allowance(share * self.capacity, share * self.rate)


def token_lifetime_s(bounds: Bounds) -> float:
    """T: seconds from the request for a token until it is void."""
    return min(MAX_TOKEN_LIFETIME_S, TOKEN_LIFETIME_SHARE * bounds.rate_window)


def max_requests_in_window(tenant: Tenant, bounds: Bounds) -> float:
    """A: the requests that may run in any window."""
    entitled = tenant.rate * bounds.rate_window + tenant.burst
    return entitled * (1.0 + bounds.rate_excess) + bounds.rate_extra


def allowance_of(tenant: Tenant, bounds: Bounds) -> Allowance:
    """The limits of all processes' buckets together.

    A limit of less than two requests a window, by a rule without `rate_extra`, is kept but for one request:
    a bucket holds a whole token, and is refilled.

    >>> tenant = Tenant("t", frozenset(), None, 5.0, 5.0, frozenset())
    >>> allowance = allowance_of(tenant, Bounds())
    >>> round(allowance.capacity, 1), allowance.rate
    (25.2, 5.25)
    """
    span = (bounds.rate_window + token_lifetime_s(bounds)) * (1.0 + CLOCK_ERROR)
    max_requests = max_requests_in_window(tenant, bounds)
    max_rate = (max_requests - max(tenant.burst, MIN_CAPACITY)) / span
    rate = max(min(REFILL_FACTOR * tenant.rate, max_rate), MIN_REFILL_FACTOR * tenant.rate)
    return Allowance(max(MIN_CAPACITY, max_requests - rate * span), rate)
