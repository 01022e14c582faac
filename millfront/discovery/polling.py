"""When a gatekeeper asks the platform for its list of servers. No I/O, no clock.

One gatekeeper asks, and tells all others. Where it is lost, others take over in turn, each a step after the
one before it, so that two never read at once for long and the platform's bound on calls holds however many
there are. All times follow from `drain_within`, the time in which every gatekeeper has to know that a server
drains, and from how long a read takes: the poll interval is what remains of it after two turns, a read and
the telling (docs/design/discovery.md). Times are seconds.
"""

import math
from dataclasses import dataclass

MAX_INTERVAL_S = 0.8  # between polls where there is time enough
MIN_INTERVAL_S = 0.25
PUBLISH_S = 0.1  # until all have what one has read: its way, and the reading of it
CHECK_INTERVAL_S = (
    0.25  # between two looks at whether it is this gatekeeper's turn; it asks at the look nearest to it
)
TOLERATED_LOSSES = 2  # gatekeepers that may be lost in turn with the bound kept
SOLO_START_S = 1.0  # after a start without word of anybody a gatekeeper asks by itself
MAX_READ_S = 0.9  # a longer one is given up; what seems longer is of a process that stood still
RETRY_DELAY_S = 0.5  # after a call that failed, of the first in turn
REQUEST_TRANSIT_S = (
    0.3  # from the choice of a server until it has the request, on a link that others use, too
)
TAKEOVER_RATE_SHARE = 0.5  # of the platform's bound on calls that takers-over use


@dataclass(frozen=True, slots=True)
class ReadCost:
    """What reading the whole list took last."""

    seconds: float = 0.0
    calls: int = 1

    @classmethod
    def clamped(cls, seconds: float, calls: int) -> "ReadCost":
        """What was measured, or told, within what a read may take."""
        return cls(round(min(max(seconds, 0.0), MAX_READ_S), 3), max(calls, 1))


@dataclass(frozen=True, slots=True)
class PollTiming:
    """The times by which the list is asked for.

    >>> timing = PollTiming(drain_within=2.5, rate_per_s=50.0)
    >>> timing.interval(ReadCost(0.1)), timing.interval(ReadCost(0.4, 6)), timing.interval(ReadCost(0.6, 6))
    (0.8, 0.375, 0.25)
    >>> timing.poll_age(position=0, cost=ReadCost(0.1)), timing.poll_age(position=2, cost=ReadCost(0.1))
    (0.8, 1.7)
    >>> [timing.steps_before(position=10, cost=ReadCost(0.1, calls)) for calls in (1, 6)]
    [2, 10]
    """

    drain_within: float = 3.0
    rate_per_s: float = 10.0

    def takeover_step(self, cost: ReadCost) -> float:
        """Between one gatekeeper's turn and the next one's: the first would have told all by then."""
        return max(
            cost.seconds + PUBLISH_S + CHECK_INTERVAL_S, cost.calls / (TAKEOVER_RATE_SHARE * self.rate_per_s)
        )

    def interval(self, cost: ReadCost) -> float:
        """From the moment as of which a list is held until it is asked for again."""
        spent = TOLERATED_LOSSES * self.takeover_step(cost) + cost.seconds + PUBLISH_S + CHECK_INTERVAL_S / 2
        return max(MIN_INTERVAL_S, min(MAX_INTERVAL_S, round(self.drain_within - spent, 3)))

    def steps_before(self, position: int, cost: ReadCost) -> int:
        """After how many steps the gatekeeper of that turn asks: the first two one by one, then as many at a
        time as the platform bears."""
        if position <= 1:
            return position
        at_a_time = int(TAKEOVER_RATE_SHARE * self.rate_per_s * self.takeover_step(cost) / cost.calls)
        return 1 + math.ceil((position - 1) / max(1, at_a_time))

    def poll_age(self, position: int, cost: ReadCost) -> float:
        """Age of a list at which the gatekeeper of that turn asks; 0: the first."""
        return round(self.interval(cost) + self.steps_before(position, cost) * self.takeover_step(cost), 3)

    def startup_wait(self, position: int, cost: ReadCost) -> float:
        """From when others are heard of until a gatekeeper that has had no list from them asks itself."""
        return self.steps_before(position, cost) * self.takeover_step(cost)

    def max_age(self) -> float:
        """Age up to which a list, or the word that the platform gives none, is gone by."""
        return self.drain_within - REQUEST_TRANSIT_S

    def retry_delay(self, position: int) -> float:
        """After a call that failed: longer for later turns, so that all of them together stay few."""
        return RETRY_DELAY_S * (1 + position)
