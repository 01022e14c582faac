"""The schedule of a planned shutdown, from SIGTERM to the exit. No I/O, no clock.

A request that is admitted late has little time left until the process has to exit, and its connection would
be closed while a server is still working on it. So requests are admitted only for as long as clients are
still directed here, and at most in the first half of the grace period. Later ones are refused with 503, so
that their clients go to another gatekeeper at once.
"""

from dataclasses import dataclass

from millfront.environment import Bounds
from millfront.gatekeeper.directory import answer_ttl

EXIT_MARGIN_S = 0.3  # the process exits so long before the grace period ends
LEAVING_KNOWN_S = 0.7  # until no directory lists this process any more, with one message lost and sent again
SIGNAL_DELAY_SHARE = 0.05  # of the grace period: SIGTERM may be handled so late
ANNOUNCE_SHARE = 2 / 3  # of the time in which requests are admitted, without `Connection: close`


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """Seconds from SIGTERM until each step of the shutdown.

    >>> ShutdownSchedule.of(Bounds(grace_period=6.0, ttl_max=5.0))
    ShutdownSchedule(announce_s=1.8, stop_admitting_s=2.7, exit_s=5.7)
    >>> ShutdownSchedule.of(Bounds(grace_period=2.0, ttl_max=5.0))
    ShutdownSchedule(announce_s=0.6, stop_admitting_s=0.9, exit_s=1.7)
    >>> ShutdownSchedule.of(Bounds(grace_period=10.0, ttl_max=5.0))
    ShutdownSchedule(announce_s=1.8, stop_admitting_s=2.7, exit_s=9.7)
    """

    announce_s: float  # from then on responses say `Connection: close`
    stop_admitting_s: float  # from then on no connection is accepted and no request admitted
    exit_s: float  # the latest time of the exit

    @classmethod
    def of(cls, bounds: Bounds) -> "ShutdownSchedule":
        """The schedule by `grace_period` and the time for which clients use an answer of the directory."""
        directed_here_s = answer_ttl(bounds) + LEAVING_KNOWN_S
        first_half_s = (0.5 - SIGNAL_DELAY_SHARE) * bounds.grace_period
        stop_admitting_s = min(directed_here_s, first_half_s)
        return cls(
            announce_s=round(ANNOUNCE_SHARE * stop_admitting_s, 3),
            stop_admitting_s=round(stop_admitting_s, 3),
            exit_s=max(0.0, round(bounds.grace_period - EXIT_MARGIN_S, 3)),
        )
