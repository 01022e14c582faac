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

SECOND_US = 1_000_000
# A connection of that age is replaced: one member's addresses may have moved.
MAX_AGE_US = 600 * SECOND_US
MAX_REQUESTS = 1_000_000  # half of the stream numbers there are
IDLE_TIMEOUT_US = 10 * SECOND_US
SPARE_CONNECTIONS = 1  # idle connections kept


class Action(Enum):
    USE = "use that connection"
    WAIT = "wait for one that is being set up"
    CONNECT = "set one up, and wait for it"
    FULL = "no more connections are allowed"


@dataclass(frozen=True, slots=True)
class ConnectionState:
    """One connection as the decision needs it."""

    open_streams: int  # streams
    max_streams: int  # streams at once
    draining: bool  # told to go, retired, or doubtful: nothing new on it
    created_us: int
    idle_since_us: int  # since when it is idle, where no stream is open
    requests: int


@dataclass(frozen=True, slots=True)
class Choice:
    action: Action
    index: int = -1


def choose(
    connections: Sequence[ConnectionState],
    connecting: int,
    waiting: int,
    initial_max_streams: int,
    max_connections: int,
) -> Choice:
    """What the next attempt does.

    :param connecting: connections being set up
    :param waiting: attempts that wait for them
    :param initial_max_streams: streams that a new connection is taken to carry
    :param max_connections: connections to the member
    """
    best = -1
    for index, state in enumerate(connections):
        if (
            not state.draining
            and state.open_streams < state.max_streams
            and (best < 0 or state.open_streams > connections[best].open_streams)
        ):
            best = index
    if best >= 0:
        return Choice(Action.USE, best)
    if waiting < connecting * initial_max_streams:
        return Choice(Action.WAIT)
    usable = sum(not state.draining for state in connections)
    return Choice(Action.CONNECT if usable + connecting < max_connections else Action.FULL)


def find_retirable(connections: Sequence[ConnectionState], now_us: int) -> list[int]:
    """Those that take nothing new from here on, and close once their streams have ended."""
    found = []
    idle = [i for i, state in enumerate(connections) if not state.open_streams and not state.draining]
    idle.sort(key=lambda i: connections[i].idle_since_us, reverse=True)  # the last used is kept
    for index, state in enumerate(connections):
        old = now_us - state.created_us > MAX_AGE_US or state.requests >= MAX_REQUESTS
        unused = index in idle[SPARE_CONNECTIONS:] and now_us - state.idle_since_us > IDLE_TIMEOUT_US
        if not state.draining and (old or unused):
            found.append(index)
    return found
