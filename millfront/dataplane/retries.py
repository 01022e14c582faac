"""Retries: the outcome of a request as its tries end, and the budget of further tries. No I/O, no clock.

The outcome of a request is explicit; only what is known not to have run moves on, unless it may be repeated.
Times are seconds on the caller's clock.
"""

import math
from dataclasses import dataclass, field
from enum import Enum

from millfront.environment import Bounds
from millfront.node.endings import Ending

HELD = 0.45  # of its part of retry_extra, and of what its requests of a window earn: held at most
EARNED = 0.45  # of the same, earned over a window; held and earned together stay below the rule by a tenth
COPY_LEAVES = 1.0  # tokens that copies of silent requests leave for tries after a failure


class Outcome(Enum):
    """What is known of a request."""

    NOT_SENT = "not sent"
    SENT = "sent"
    DONE = "known done"
    NOT_RUN = "known not run"
    UNKNOWN = "unknown"


NEVER_RAN = frozenset((Ending.NOT_STARTED, Ending.CONNECT_FAILED, Ending.NOT_SENT))
ARRIVED = frozenset(Ending) - {Ending.CONNECT_FAILED, Ending.NOT_SENT}


@dataclass(slots=True)
class RequestProgress:
    """One client's request on its way through the servers."""

    repeatable: bool
    max_tries: int
    outcome: Outcome = Outcome.NOT_SENT
    arrivals: int = 0  # servers that it has reached, or may have
    out: int = 0
    may_have_run: bool = False
    tried: list[str] = field(default_factory=list)

    def _turn(self, outcome: Outcome) -> None:
        """The one place where the outcome changes."""
        self.outcome = outcome

    def sending(self, ident: str) -> None:
        """One more try begins, to the server of that identifier."""
        self.tried.append(ident)
        self.out += 1
        self._turn(Outcome.SENT)

    def ended(self, ending: Ending) -> None:
        """One of its tries has ended."""
        self.out -= 1
        if ending in ARRIVED:
            self.arrivals += 1
        if ending is Ending.SERVED:
            self._turn(Outcome.DONE)
        elif ending not in NEVER_RAN:
            self.may_have_run = True
        if self.out == 0 and self.outcome is not Outcome.DONE:
            self._turn(Outcome.UNKNOWN if self.may_have_run else Outcome.NOT_RUN)

    def may_go_on(self) -> bool:
        """Whether another server may get it, as far as running twice and the route's `max_tries` go."""
        return self.arrivals + self.out < self.max_tries and (self.repeatable or not self.may_have_run)

    def promises(self) -> bool:
        """Whether the client may be told that it has not run and never will."""
        return not self.may_have_run and self.out == 0


class RetryBudget:
    """Further tries of one service that this process may make: its part of the budget of all.

    Over any window the spent tokens are at most what was held at its begin and what is earned in it: 2 x 0.45
    of `retry_extra` / n and of `retry_ratio` x the requests of this window and of the one before.
    """

    def __init__(self, bounds: Bounds, now: float) -> None:
        self.bounds = bounds
        self.fixed = 0.5  # tokens, of retry_extra
        self.earned = 0.5  # of own requests
        self.requests = 0.0  # in a window, fading
        self.at = now

    def _fill(self, now: float, n: int) -> None:
        part = self.bounds.retry_extra / max(1, n)
        windows = max(0.0, now - self.at) / self.bounds.retry_window
        self.at = now
        self.fixed = min(self.fixed + EARNED * part * windows, max(0.5, HELD * part))
        self.requests *= math.exp(-windows)
        self.earned = min(self.earned, max(0.5, HELD * self.bounds.retry_ratio * self.requests))

    def request(self, now: float, n: int) -> None:
        """A client's request for the service earns a part of a try."""
        self.requests += 1.0
        self.earned += EARNED * self.bounds.retry_ratio
        self._fill(now, n)

    def spend(self, now: float, n: int, copy: bool = False) -> bool:
        """Pay for one more arrival at the service."""
        self._fill(now, n)
        if self.fixed + self.earned < (1.0 + COPY_LEAVES if copy else 1.0):
            return False
        self.earned -= 1.0
        if self.earned < 0.0:
            self.fixed, self.earned = self.fixed + self.earned, 0.0
        return True
