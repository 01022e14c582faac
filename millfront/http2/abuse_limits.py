"""Rate limits against abuse on one HTTP/2 connection. No I/O.

Frames that cost the peer nothing but cause work here are limited by kind with a token bucket; an empty bucket
ends the connection with GOAWAY and ENHANCE_YOUR_CALM (RFC 9113, 7 and 10.5). The kinds, and why each has
a limit:

- `reset`: streams opened and reset before their response (rapid reset); each costs a decision and perhaps an
  attempt.
- `ping`, `settings`, `priority`: each has to be answered or applied.
- `empty`: DATA without octets and without END_STREAM, and trailers.
- `window`: WINDOW_UPDATE; with one byte at a time, each frame received causes one frame sent.
- `refused`: requests that are malformed or rejected before admission.
"""

from dataclasses import dataclass

SECOND_US = 1_000_000


@dataclass(frozen=True, slots=True)
class Allowance:
    """A token bucket: its capacity, and its refill in tokens per second."""

    burst: float
    rate: float


LIMITS = {
    "reset": Allowance(100.0, 20.0),
    "ping": Allowance(20.0, 2.0),
    "settings": Allowance(20.0, 1.0),
    "priority": Allowance(200.0, 50.0),
    "empty": Allowance(50.0, 10.0),
    "window": Allowance(2000.0, 1000.0),
    "refused": Allowance(200.0, 50.0),
}


class RateLimits:
    """The token buckets of one connection. Times in µs."""

    __slots__ = ("_refilled_us", "_tokens")

    def __init__(self, now_us: int) -> None:
        self._tokens = {kind: allowance.burst for kind, allowance in LIMITS.items()}
        self._refilled_us = dict.fromkeys(LIMITS, now_us)

    def allow(self, kind: str, now_us: int, units: float = 1.0) -> bool:
        """Takes units from the bucket of that kind; False if it held fewer."""
        allowance = LIMITS[kind]
        seconds = max(0, now_us - self._refilled_us[kind]) / SECOND_US
        self._refilled_us[kind] = now_us
        tokens = min(allowance.burst, self._tokens[kind] + allowance.rate * seconds)
        self._tokens[kind] = tokens - units
        return tokens >= units
