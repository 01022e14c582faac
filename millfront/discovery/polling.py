"""When a gatekeeper polls the platform for its list of servers. No I/O, no clock.

One gatekeeper polls and publishes the list to all others. If it fails, the others take over in order of their
position, each one takeover step after its predecessor, so that two never read at once for long and the
platform's rate limit holds however many gatekeepers there are. All times follow from `drain_within`, the time
within which every gatekeeper has to know that a server is draining, and from how long a read takes: the poll
interval is what remains of `drain_within` after two takeover steps, a read and its publication
(docs/design/discovery.md). Times are in seconds.
"""

import math
from dataclasses import dataclass

MAX_INTERVAL_S = 0.8  # between polls, where `drain_within` leaves room for it
MIN_INTERVAL_S = 0.25
PUBLISH_S = 0.1  # until all others have received and parsed a list that was read
CHECK_INTERVAL_S = 0.25  # between checks whether a poll is due; it goes out at the check nearest to its time
TOLERATED_LOSSES = 2  # pollers that may fail one after another with `drain_within` still kept
SOLO_START_S = 1.0  # a gatekeeper that hears of no other polls by itself so long after its start
MAX_READ_S = 0.9  # timeout of a read; one that took longer was measured by a process that was paused
RETRY_DELAY_S = 0.5  # after a failed read, for the gatekeeper at position 0
LIST_TRANSIT_S = 0.3  # from a list's sender to its receiver, over a shared link
REQUEST_TRANSIT_S = 0.3  # from choosing a server until it has the request, over a shared link
TAKEOVER_RATE_SHARE = 0.5  # of the platform's rate limit that gatekeepers taking over may use together


@dataclass(frozen=True, slots=True)
class ReadCost:
    """Duration and number of calls of the latest read of the whole list."""

    seconds: float = 0.0
    calls: int = 1

    @classmethod
    def clamped(cls, seconds: float, calls: int) -> "ReadCost":
        """A measured or received cost, limited to what a read may take."""
        return cls(round(min(max(seconds, 0.0), MAX_READ_S), 3), max(calls, 1))


@dataclass(frozen=True, slots=True)
class PollTiming:
    """When each gatekeeper polls for the list.

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
    max_lag: float = 1.0

    def takeover_step(self, cost: ReadCost) -> float:
        """Between the polls of successive positions: by then the first would have published its list."""
        return max(
            cost.seconds + PUBLISH_S + CHECK_INTERVAL_S, cost.calls / (TAKEOVER_RATE_SHARE * self.rate_per_s)
        )

    def interval(self, cost: ReadCost) -> float:
        """From the time as of which a list is held until the next poll."""
        spent = TOLERATED_LOSSES * self.takeover_step(cost) + cost.seconds + PUBLISH_S + CHECK_INTERVAL_S / 2
        return max(MIN_INTERVAL_S, min(MAX_INTERVAL_S, round(self.drain_within - spent, 3)))

    def steps_before(self, position: int, cost: ReadCost) -> int:
        """Takeover steps before this position polls: the first two positions one by one, then as many at a
        time as the platform's rate limit allows."""
        if position <= 1:
            return position
        at_a_time = int(TAKEOVER_RATE_SHARE * self.rate_per_s * self.takeover_step(cost) / cost.calls)
        return 1 + math.ceil((position - 1) / max(1, at_a_time))

    def poll_age(self, position: int, cost: ReadCost) -> float:
        """Age of a list at which the gatekeeper at this position polls; position 0 polls first."""
        return round(self.interval(cost) + self.steps_before(position, cost) * self.takeover_step(cost), 3)

    def startup_wait(self, position: int, cost: ReadCost) -> float:
        """Wait of a gatekeeper without a list, from when it knows of others until it polls by itself."""
        return self.steps_before(position, cost) * self.takeover_step(cost)

    def max_age(self) -> float:
        """Age up to which a list, or a report that the platform is unavailable, may be relied on."""
        return self.drain_within - REQUEST_TRANSIT_S

    def shows_state_of(self, as_of: float) -> float:
        """The list held as of a time is sure to show what happened until this earlier time: the platform's
        list runs `max_lag` behind, and the time of a received list leaves out its transit."""
        return as_of - self.max_lag - LIST_TRANSIT_S

    def retry_delay(self, position: int) -> float:
        """After a failed read: longer for later positions, to keep the number of all calls small."""
        return RETRY_DELAY_S * (1 + position)
