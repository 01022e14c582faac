"""How a peer behaves on one HTTP/2 connection: what it may do how often, before it is asked to be calm. No
I/O.

Frames that cost us work and the peer nothing are counted by kind in a store that fills at a rate; an empty
store means GOAWAY with ENHANCE_YOUR_CALM (RFC 9113, 7 and 10.5). Kinds, and why each has a bound:

- `reset`: streams opened and reset before their answer (rapid reset): each costs a decision and perhaps an
  attempt.
- `ping`, `settings`, `priority`: each has to be answered or applied.
- `empty`: DATA without octets and without an end, HEADERS of trailers.
- `window`: WINDOW_UPDATE: one byte at a time makes one frame of ours for each of theirs.
- `refused`: requests that cannot be taken or are beyond the streams allowed.
"""

from dataclasses import dataclass

SECOND_US = 1_000_000


@dataclass(frozen=True, slots=True)
class Allowance:
    """Units of a store: so many at once, and so many a second."""

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
    """One connection's stores. Times in µs."""

    __slots__ = ("_refilled_us", "_tokens")

    def __init__(self, now_us: int) -> None:
        self._tokens = {kind: allowance.burst for kind, allowance in LIMITS.items()}
        self._refilled_us = dict.fromkeys(LIMITS, now_us)

    def allow(self, kind: str, now_us: int, units: float = 1.0) -> bool:
        """Take units of a kind; False once there are none left."""
        allowance = LIMITS[kind]
        seconds = max(0, now_us - self._refilled_us[kind]) / SECOND_US
        self._refilled_us[kind] = now_us
        tokens = min(allowance.burst, self._tokens[kind] + allowance.rate * seconds)
        self._tokens[kind] = tokens - units
        return tokens >= units
