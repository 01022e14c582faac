"""Forwarding: what becomes of a request as its tries end, and the purse of further tries. No I/O, no clock.

The fate of a request is explicit; only what is known not to have run moves on, unless it may be repeated.
Times are seconds on the caller's clock.
"""

from dataclasses import dataclass, field
from enum import Enum

from millfront.node.endings import Ending
from millfront.post.settings import Bounds

PURSE_SHARE = 0.35  # of a process's part of retry_extra, held at most
PURSE_RATE = 0.5  # of the same, earned over retry_window
EARNED = 0.75  # of retry_ratio, for each own request
DEAR = 1.0  # tokens that stay for tries after a failure: copies draw only on what is above


class Fate(Enum):
    """What is known of a request."""

    NOT_SENT = "not sent"
    SENT = "sent"
    DONE = "known done"
    NOT_RUN = "known not run"
    UNKNOWN = "unknown"


NEVER_RAN = frozenset((Ending.TURNED_AWAY, Ending.UNCONNECTED, Ending.NOT_SENT))
ARRIVED = frozenset(Ending) - {Ending.UNCONNECTED, Ending.NOT_SENT}


@dataclass(slots=True)
class Course:
    """One client's request on its way through the servers."""

    repeatable: bool
    max_tries: int
    fate: Fate = Fate.NOT_SENT
    arrivals: int = 0  # servers that it has reached, or may have
    out: int = 0
    may_have_run: bool = False
    tried: list[str] = field(default_factory=list)

    def _turn(self, fate: Fate) -> None:
        """The one change of fate."""
        self.fate = fate

    def sending(self, ident: str) -> None:
        self.tried.append(ident)
        self.out += 1
        self._turn(Fate.SENT)

    def ended(self, ending: Ending) -> None:
        """One of its tries has ended."""
        self.out -= 1
        if ending in ARRIVED:
            self.arrivals += 1
        if ending is Ending.SERVED:
            self._turn(Fate.DONE)
        elif ending not in NEVER_RAN:
            self.may_have_run = True
        if self.out == 0 and self.fate is not Fate.DONE:
            self._turn(Fate.UNKNOWN if self.may_have_run else Fate.NOT_RUN)

    def may_go_on(self) -> bool:
        """Whether another server may get it, as far as running twice and the route's `max_tries` go."""
        return self.arrivals + self.out < self.max_tries and (self.repeatable or not self.may_have_run)

    def promises(self) -> bool:
        """Whether the client may be told that it has not run and never will."""
        return not self.may_have_run and self.out == 0


class Purse:
    """Further tries of one service that this process may make: its part of the budget of all."""

    def __init__(self, bounds: Bounds, now: float) -> None:
        self.bounds = bounds
        self.tokens = 1.0
        self.at = now

    def _fill(self, now: float, n: int) -> None:
        part = self.bounds.retry_extra / max(1, n)
        most = max(1.0, PURSE_SHARE * part)
        earned = PURSE_RATE * part / self.bounds.retry_window * max(0.0, now - self.at)
        self.tokens, self.at = min(self.tokens + earned, most), now

    def request(self, now: float, n: int) -> None:
        """A client's request for the service earns a part of a try."""
        self._fill(now, n)
        part = self.bounds.retry_extra / max(1, n)
        self.tokens = min(self.tokens + EARNED * self.bounds.retry_ratio, max(1.0, PURSE_SHARE * part))

    def spend(self, now: float, n: int, copy: bool = False) -> bool:
        """Pay for one more arrival at the service."""
        self._fill(now, n)
        if self.tokens < (1.0 + DEAR if copy else 1.0):
            return False
        self.tokens -= 1.0
        return True
