"""Until when a server is cold, as one process knows it. No I/O, no clock.

A server that has just started, or that has had no requests for a while, is cold for some time. There are two
sources. The platform's list tells how long a server stays cold, but it runs `max_lag` behind, so a list that
shows a server as warm says nothing about what happened since. The end of an evacuation says that the servers
of the zone may have become cold just before. That assumption stays in force until a list is read that is sure
to show a later state. Times are seconds on the caller's clock.
"""

from dataclasses import dataclass

NEVER = -1e9
INACCURACY_S = 0.25  # of the time for which a server stays cold, due to the duration of reads


@dataclass(slots=True)
class WarmUp:
    """The warm-up of one server.

    >>> warm_up = WarmUp()
    >>> warm_up.assume(now=10.0, seconds=3.0)
    >>> warm_up.update(now=10.5, seconds_left=0.0, shows_state_of=9.7)  # a list of before the assumption
    False
    >>> warm_up.ends_at
    13.0
    >>> warm_up.update(now=11.5, seconds_left=1.2, shows_state_of=10.1)
    True
    >>> warm_up.ends_at
    12.7
    """

    listed_until: float = 0.0  # by the platform's list
    assumed_until: float = NEVER
    assumed_at: float = NEVER

    @property
    def ends_at(self) -> float:
        """When the server is warm."""
        return max(self.listed_until, self.assumed_until)

    def assume(self, now: float, seconds: float) -> None:
        """The server may just have become cold, for so long."""
        self.assumed_until = max(self.assumed_until, now + seconds)
        self.assumed_at = now

    def update(self, now: float, seconds_left: float, shows_state_of: float) -> bool:
        """Apply a list of servers.

        :param seconds_left: how long the server stays cold by that list; 0: it is warm
        :param shows_state_of: the list is sure to show what happened until this time
        :return: whether processes that know only the list before have to be told
        """
        was_cold = now < self.ends_at
        if seconds_left <= 0 and not was_cold:
            return False
        listed_before = max(0.0, self.listed_until - now)
        self.listed_until = now + seconds_left if seconds_left > 0 else min(self.listed_until, now)
        if shows_state_of >= self.assumed_at:
            self.assumed_until = NEVER
        is_cold = now < self.ends_at
        return was_cold is not is_cold or abs(seconds_left - listed_before) > INACCURACY_S
