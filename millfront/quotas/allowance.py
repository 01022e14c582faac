"""The token bucket limits of a tenant's quota, derived from its limit and the rate rule. No I/O, no clock.

The rule: in any `rate_window` w at most A = (rate·w + burst)·(1 + `rate_excess`) + `rate_extra` requests
run, over all processes. A token bucket of capacity C and refill rate r grants at most C + r·t tokens in any
span t. A token is used within its lifetime T after the grant, so the requests of one window were granted
within a span of w + T. Hence C + r·(w + T) <= A is sufficient.
"""

from dataclasses import dataclass

from millfront.control.configuration import Tenant
from millfront.environment import Bounds

TOKEN_LIFETIME_SHARE = 0.05  # of the window; a longer lifetime lowers the refill rate that the rule allows
MAX_TOKEN_LIFETIME_S = 0.25
REFILL_FACTOR = 1.05  # of the tenant's rate, if the rule allows it: makes up for lost and expired tokens
MIN_REFILL_FACTOR = 0.5  # of the tenant's rate, whatever the rule allows
MIN_CAPACITY = 1.0  # tokens; a smaller bucket would never admit a request
CLOCK_ERROR = 0.01  # share by which a clock may run too fast


@dataclass(frozen=True, slots=True)
class Allowance:
    """A token bucket's limits: capacity in tokens, refill rate in tokens per second."""

    capacity: float
    rate: float

    def scaled(self, share: float) -> "Allowance":
        """The limits of one bucket that holds this share (0 to 1) of the allowance."""
        return Allowance(share * self.capacity, share * self.rate)


def token_lifetime_s(bounds: Bounds) -> float:
    """T: seconds from requesting a token until it expires."""
    return min(MAX_TOKEN_LIFETIME_S, TOKEN_LIFETIME_SHARE * bounds.rate_window)


def max_requests_in_window(tenant: Tenant, bounds: Bounds) -> float:
    """A: the maximum number of requests in any window."""
    entitled = tenant.rate * bounds.rate_window + tenant.burst
    return entitled * (1.0 + bounds.rate_excess) + bounds.rate_extra


def allowance_of(tenant: Tenant, bounds: Bounds) -> Allowance:
    """The limits that the buckets of all processes share.

    If the rule has no `rate_extra`, a limit of less than two requests per window may be exceeded by one
    request, because a bucket holds at least one whole token and is refilled.

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
