"""Grants tokens from this process's share of the tenants' allowances. No I/O, no clock.

Each tenant has a token bucket here that holds this process's share of its allowance. A bucket is empty when
the process starts and outlives its tenant's entry in the configuration, so neither a restart nor a
configuration change fills it: capacity and refill alone bound the grants. Times are seconds on the caller's
clock.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from millfront.control.configuration import Tenant
from millfront.environment import Bounds
from millfront.invariants import Invariant, Invariants
from millfront.quotas.allowance import Allowance, allowance_of

SWEEP_INTERVAL_S = 10.0
WHOLE_TOKENS_CAPACITY = 2.0  # tokens; a smaller bucket grants fractions, as it may never hold a whole token
MAX_WAIT_S = 5.0
ROUNDING_TOLERANCE = 1e-6  # tokens
FULL_REFILL_S = 1e6  # long enough to fill any bucket


@dataclass(frozen=True, slots=True)
class Grant:
    """The answer to a request for tokens.

    ``tokens``: granted now; ``retry_after_s``: seconds until a token may be available, 0 if everything
    requested was granted."""

    tokens: float
    retry_after_s: float


@dataclass(slots=True)
class GrantCounter:
    """Counts what a bucket has granted since ``window_start``, with the largest limits in force since then.
    It is independent of the bucket's level, so it detects a bucket that grants more than its limits allow."""

    window_start: float
    tokens: float
    limits: Allowance

    def raise_limits(self, limits: Allowance) -> None:
        """Raise the recorded maximum to include these limits."""
        capacity = max(self.limits.capacity, limits.capacity)
        self.limits = Allowance(capacity, max(self.limits.rate, limits.rate))

    def is_within_limits(self, now: float) -> bool:
        """Whether the granted tokens are at most what the limits allow by now."""
        given = self.limits.capacity + self.limits.rate * (now - self.window_start)
        return self.tokens <= given + ROUNDING_TOLERANCE


@dataclass(slots=True)
class TokenBucket:
    """A token bucket; refills at `limits.rate` up to `limits.capacity`."""

    limits: Allowance
    level: float
    updated_at: float  # time to which the level applies
    counter: GrantCounter | None = None

    def advance(self, now: float) -> None:
        """Refill up to now at the current limits."""
        filled = self.level + self.limits.rate * max(0.0, now - self.updated_at)
        self.level, self.updated_at = min(self.limits.capacity, filled), now

    def set_limits(self, now: float, limits: Allowance) -> None:
        """Change the limits from now on. The level is never raised by this."""
        self.advance(now)
        self.limits = limits
        self.level = min(self.level, limits.capacity)
        if self.counter is not None:
            self.counter.raise_limits(limits)

    def take(self, now: float, requested: float) -> Grant:
        """Take up to ``requested`` tokens."""
        self.advance(now)
        whole = self.limits.capacity >= WHOLE_TOKENS_CAPACITY
        tokens = min(requested, math.floor(self.level) if whole else self.level)
        self.level -= tokens
        if tokens >= requested:
            return Grant(tokens, 0.0)
        missing = max(0.0, 1.0 - self.level)
        after = missing / self.limits.rate if self.limits.rate > 0.0 else MAX_WAIT_S
        return Grant(tokens, min(MAX_WAIT_S, max(0.05, after)))


class Granter:
    """All token buckets of this process."""

    def __init__(self, bounds: Bounds, now: float, invariants: Invariants | None = None) -> None:
        self.bounds, self.invariants = bounds, invariants or Invariants()
        self.share = 0.0
        self.granted_total = self.declined_total = 0.0
        self._empty_at = now  # a bucket not created yet counts as empty at this time
        self._last_sweep = now
        self._buckets: dict[str, TokenBucket] = {}
        self._limits: dict[str, Allowance] = {}  # undivided allowances, by tenant
        self._tenants: Mapping[str, Tenant] = {}

    def set_tenants(self, now: float, tenants: Mapping[str, Tenant]) -> None:
        """Apply the tenants of a new configuration.

        :param tenants: by name
        """
        self._tenants = tenants
        self._limits = {}
        for name in list(self._buckets):
            self._apply_limits(now, name)

    def set_share(self, now: float, share: float, start_full: bool = False) -> None:
        """Change this process's share from now on.

        :param share: of every allowance, 0 to 1
        :param start_full: no process has ever granted anything, so the buckets start full
        """
        if share == self.share:
            return
        if share > self.share:  # a bucket created later would refill at the larger share from `_empty_at` on
            for name, tenant in self._tenants.items():
                if self.share > 0.0 and tenant.rate > 0.0:
                    self._bucket(now, name)
            self._empty_at = now - FULL_REFILL_S if start_full else now
        self.share = share
        for name in self._buckets:
            self._apply_limits(now, name)

    def grant(self, now: float, tenant: str, requested: float) -> Grant | None:
        """Grant up to ``requested`` tokens; None if the tenant is unknown or this process has no share."""
        known = self._tenants.get(tenant)
        if known is None or self.share <= 0.0:
            return None
        if known.rate <= 0.0:
            return Grant(requested, 0.0)
        bucket = self._bucket(now, tenant)
        grant = bucket.take(now, requested)
        self._check_granted(now, tenant, bucket, grant.tokens)
        self.granted_total += grant.tokens
        self.declined_total += requested - grant.tokens
        return grant

    def _check_granted(self, now: float, tenant: str, bucket: TokenBucket, tokens: float) -> None:
        counter = bucket.counter
        if counter is None or now - counter.window_start > self.bounds.rate_window:
            counter = bucket.counter = GrantCounter(now, 0.0, bucket.limits)
        counter.tokens += tokens
        detail = f"granted {counter.tokens:g} tokens of {tenant} in {now - counter.window_start:.2f} s"
        self.invariants.check(Invariant.QUOTA_AS_GIVEN, counter.is_within_limits(now), detail)

    def available_tokens(self, now: float, tenant: str) -> float:
        """Tokens that this process could grant a tenant now."""
        known = self._tenants.get(tenant)
        if known is None or known.rate <= 0.0 or self.share <= 0.0:
            return 0.0
        bucket = self._bucket(now, tenant)
        bucket.advance(now)
        return bucket.level

    def tick(self, now: float) -> None:
        """Called every second: drop full buckets, which can be recreated in the same state."""
        if now - self._last_sweep < SWEEP_INTERVAL_S:
            return
        self._last_sweep = now
        for name, bucket in list(self._buckets.items()):
            bucket.advance(now)
            unlimited = name not in self._tenants or self._tenants[name].rate <= 0.0
            made_full = self._new_bucket(now, bucket.limits).level >= bucket.limits.capacity
            if bucket.level >= bucket.limits.capacity and (made_full or unlimited):
                del self._buckets[name]

    def _limits_of(self, tenant: Tenant) -> Allowance:
        found = self._limits.get(tenant.name)
        if found is None:
            found = self._limits[tenant.name] = allowance_of(tenant, self.bounds)
        return found

    def _new_bucket(self, now: float, limits: Allowance) -> TokenBucket:
        bucket = TokenBucket(limits, 0.0, self._empty_at)
        bucket.advance(now)
        return bucket

    def _bucket(self, now: float, name: str) -> TokenBucket:
        found = self._buckets.get(name)
        if found is None:
            limits = self._limits_of(self._tenants[name]).scaled(self.share)
            found = self._buckets[name] = self._new_bucket(now, limits)
        return found

    def _apply_limits(self, now: float, name: str) -> None:
        """Apply the limits in force to a bucket. A bucket whose tenant has no limit keeps its own."""
        tenant = self._tenants.get(name)
        if tenant is not None and tenant.rate > 0.0:
            self._buckets[name].set_limits(now, self._limits_of(tenant).scaled(self.share))
