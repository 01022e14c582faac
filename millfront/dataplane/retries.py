"""Retries: the outcome of a request as its attempts end, and the retry budget. No I/O, no clock.

The outcome of a request is explicit: only a request that is known not to have run may be retried, unless it
is repeatable. Times are seconds on the caller's clock.
"""

import math
from dataclasses import dataclass, field
from enum import Enum

from millfront.environment import Bounds
from millfront.node.endings import Ending

MAX_HELD_SHARE = 0.45  # of this process's part of retry_extra and of what its requests of a window earn
EARNED_SHARE = 0.45  # likewise, earned over a window; held plus earned stays a tenth below the rule
HEDGE_RESERVE = 1.0  # tokens that hedges must leave for attempts after a failure


class Outcome(Enum):
    """What is known about the execution of a request."""

    NOT_SENT = "not sent"
    SENT = "sent"
    DONE = "known done"
    NOT_RUN = "known not run"
    UNKNOWN = "unknown"


NEVER_RAN = frozenset((Ending.NOT_STARTED, Ending.CONNECT_FAILED, Ending.NOT_SENT))
ARRIVED = frozenset(Ending) - {Ending.CONNECT_FAILED, Ending.NOT_SENT}


@dataclass(slots=True)
class RequestProgress:
    """The progress of one client's request over all its attempts."""

    repeatable: bool
    max_tries: int
    outcome: Outcome = Outcome.NOT_SENT
    arrivals: int = 0  # attempts that reached a server, or may have
    in_flight: int = 0
    may_have_run: bool = False
    tried: list[str] = field(default_factory=list)

    def _set_outcome(self, outcome: Outcome) -> None:
        """Change the outcome; nothing else does."""
        self.outcome = outcome

    def attempt_started(self, ident: str) -> None:
        """An attempt to the server with this id begins."""
        self.tried.append(ident)
        self.in_flight += 1
        self._set_outcome(Outcome.SENT)

    def attempt_ended(self, ending: Ending) -> None:
        """One of its attempts has ended."""
        self.in_flight -= 1
        if ending in ARRIVED:
            self.arrivals += 1
        if ending is Ending.SERVED:
            self._set_outcome(Outcome.DONE)
        elif ending not in NEVER_RAN:
            self.may_have_run = True
        if self.in_flight == 0 and self.outcome is not Outcome.DONE:
            self._set_outcome(Outcome.UNKNOWN if self.may_have_run else Outcome.NOT_RUN)

    def may_retry(self) -> bool:
        """Whether another attempt is allowed by `max_tries` and can't run an effect twice."""
        return self.arrivals + self.in_flight < self.max_tries and (self.repeatable or not self.may_have_run)

    def known_not_run(self) -> bool:
        """Whether the client may be told that the request has not run and never will."""
        return not self.may_have_run and self.in_flight == 0


class RetryBudget:
    """This process's part of a service's retry budget; one token pays for one further attempt.

    The tokens spent in any window are at most those held at its start plus those earned in it: 2 x 0.45 of
    `retry_extra` / n, and of `retry_ratio` x the requests of this window and the one before.
    """

    def __init__(self, bounds: Bounds, now: float) -> None:
        self.bounds = bounds
        self.fixed = 0.5  # tokens from retry_extra
        self.earned = 0.5  # tokens from this process's requests
        self.requests = 0.0  # of the last window, decaying exponentially
        self.updated_at = now

    def _fill(self, now: float, n: int) -> None:
        share = self.bounds.retry_extra / max(1, n)
        windows = max(0.0, now - self.updated_at) / self.bounds.retry_window
        self.updated_at = now
        self.fixed = min(self.fixed + EARNED_SHARE * share * windows, max(0.5, MAX_HELD_SHARE * share))
        self.requests *= math.exp(-windows)
        self.earned = min(self.earned, max(0.5, MAX_HELD_SHARE * self.bounds.retry_ratio * self.requests))

    def record_request(self, now: float, n: int) -> None:
        """A client's request for the service earns a fraction of a token."""
        self.requests += 1.0
        self.earned += EARNED_SHARE * self.bounds.retry_ratio
        self._fill(now, n)

    def spend(self, now: float, n: int, hedge: bool = False) -> bool:
        """Pay for one further attempt; returns False if the budget does not allow it.

        :param n: the number of processes that share the budget
        :param hedge: whether it is a hedge, the second attempt of a request that is still unanswered
        """
        self._fill(now, n)
        if self.fixed + self.earned < (1.0 + HEDGE_RESERVE if hedge else 1.0):
            return False
        self.earned -= 1.0
        if self.earned < 0.0:
            self.fixed, self.earned = self.fixed + self.earned, 0.0
        return True
