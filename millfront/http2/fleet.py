"""How many connections to a pool member, which of them carries the next attempt, and when one retires. No
I/O.

A connection carries streams up to the least of what the member allows (SETTINGS_MAX_CONCURRENT_STREAMS) and
what the operators do. The fullest that has room is used, so that those above need run empty and can be
closed. While one is being set up, attempts wait for it, up to what it will carry; more of them set up the
next.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

SECOND = 1_000_000
RETIRE_US = 600 * SECOND  # an age at which a connection is replaced: one member's addresses may have moved
RETIRE_REQUESTS = 1_000_000  # half of the stream numbers there are
IDLE_US = 10 * SECOND
SPARE = 1  # idle connections kept


class Do(Enum):
    USE = "use that connection"
    WAIT = "wait for one that is being set up"
    DIAL = "set one up, and wait for it"
    FULL = "no more connections are allowed"


@dataclass(frozen=True, slots=True)
class Seen:
    """One connection as the decision needs it."""

    open: int  # streams
    allowed: int  # streams at once
    draining: bool  # told to go, retired, or doubtful: nothing new on it
    born_us: int
    used_us: int  # since when it is idle, where no stream is open
    requests: int


@dataclass(frozen=True, slots=True)
class Choice:
    do: Do
    which: int = -1


def choose(connections: Sequence[Seen], dialling: int, waiting: int, first_allowed: int, most: int) -> Choice:
    """What the next attempt does.

    :param dialling: connections being set up
    :param waiting: attempts that wait for them
    :param first_allowed: streams that a new connection is taken to carry
    :param most: connections to the member
    """
    best = -1
    for position, seen in enumerate(connections):
        if (
            not seen.draining
            and seen.open < seen.allowed
            and (best < 0 or seen.open > connections[best].open)
        ):
            best = position
    if best >= 0:
        return Choice(Do.USE, best)
    if waiting < dialling * first_allowed:
        return Choice(Do.WAIT)
    lively = sum(not seen.draining for seen in connections)
    return Choice(Do.DIAL if lively + dialling < most else Do.FULL)


def retire(connections: Sequence[Seen], now_us: int) -> list[int]:
    """Those that take nothing new from here on, and close once their streams have ended."""
    found = []
    idle = [i for i, seen in enumerate(connections) if not seen.open and not seen.draining]
    idle.sort(key=lambda i: connections[i].used_us, reverse=True)  # the last used is kept
    for position, seen in enumerate(connections):
        old = now_us - seen.born_us > RETIRE_US or seen.requests >= RETIRE_REQUESTS
        unused = position in idle[SPARE:] and now_us - seen.used_us > IDLE_US
        if not seen.draining and (old or unused):
            found.append(position)
    return found
