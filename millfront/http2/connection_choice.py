"""Decides how many connections to a pool member there are, which of them carries the next attempt, and when
one is retired. No I/O.

A connection carries streams up to the lower of the member's limit (SETTINGS_MAX_CONCURRENT_STREAMS) and the
operators' limit. The fullest one that has room is used, so that surplus connections become idle and can be
closed. While a connection is being set up, attempts wait for it, up to the number of streams that it will
carry; further attempts set up the next one.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

SECOND_US = 1_000_000
# Older connections are replaced, since the member's address may have moved.
MAX_AGE_US = 600 * SECOND_US
MAX_REQUESTS = 1_000_000  # far below the 2**30 stream ids of a connection
IDLE_TIMEOUT_US = 10 * SECOND_US
SPARE_CONNECTIONS = 1  # idle connections that are kept


class Action(Enum):
    USE = "use that connection"
    WAIT = "wait for one that is being set up"
    CONNECT = "set one up, and wait for it"
    FULL = "no more connections are allowed"


@dataclass(frozen=True, slots=True)
class ConnectionState:
    """What the decision needs to know of one connection."""

    open_streams: int
    max_streams: int
    draining: bool  # no new streams: GOAWAY received, retired, member not ready or moved
    created_us: int
    idle_since_us: int  # only valid while no stream is open
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
    """Decides what the next attempt does.

    :param connecting: connections being set up
    :param waiting: attempts that wait for one of those
    :param initial_max_streams: streams that a new connection is assumed to carry
    :param max_connections: limit of connections to the member
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
    """Indexes of the connections that take no new streams from now on, and close once theirs have ended."""
    found = []
    idle = [i for i, state in enumerate(connections) if not state.open_streams and not state.draining]
    idle.sort(key=lambda i: connections[i].idle_since_us, reverse=True)  # keeps the last used
    for index, state in enumerate(connections):
        old = now_us - state.created_us > MAX_AGE_US or state.requests >= MAX_REQUESTS
        unused = index in idle[SPARE_CONNECTIONS:] and now_us - state.idle_since_us > IDLE_TIMEOUT_US
        if not state.draining and (old or unused):
            found.append(index)
    return found
