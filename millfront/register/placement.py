"""Replica placement: which processes become the members of the next core. No I/O, no clock.

Derivation: docs/design/register.md.

A core of N tolerates the loss of `hosts_lost` members as long as N >= 2 * hosts_lost + 1: the others are a
majority W, and W > hosts_lost disks have every acknowledged value.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from millfront.register.values import Core, write_quorum

SMALLEST_CORE = 3  # with two members every operation would need both


class Seat(Enum):
    """State of one member of the core, as the process that changes the core sees it."""

    SOUND = "up, and its disk has all values known to be acknowledged"
    BEHIND = "up, and its disk lacks some of them"
    DARK = "unreachable, but not yet considered lost"
    LEAVING = "shuts down in order, and votes until it is removed from the core"
    LEFT = "has shut down in order"
    LOST = "unreachable for so long that it is considered lost for good"


@dataclass(frozen=True, slots=True)
class Choice:
    """The members of the next core. `waiting`: members that are leaving and cannot be removed yet."""

    members: dict[str, str]
    waiting: tuple[str, ...] = ()


def min_members(hosts_lost: int) -> int:
    """Size of the smallest core that tolerates the loss of that many members.

    >>> [min_members(lost) for lost in (0, 1, 2)]
    [3, 3, 5]
    """
    return max(SMALLEST_CORE, 2 * hosts_lost + 1)


def choose_members(
    members: dict[str, str],
    seats: dict[str, Seat],
    joined: dict[str, str],
    recent: set[str],
    hosts_lost: int,
) -> Choice:
    """The best core that one change can reach; the present one if nothing should change.

    Members that are up and stay remain members. The others are removed, and processes that joined are added,
    as far as

    - the core does not become smaller than `min_members`, or not smaller at all if it already is;
    - the members that are sound now are a majority of the new core without any that has just joined.

    An unreachable (`DARK`) member remains a member unless a process that is up needs its place. Processes
    that joined recently (`recent`) are added only where that gains a vote: they may be successors of a member
    that is not yet known to be unreachable.

    >>> up = dict.fromkeys("abcd", Seat.SOUND)
    >>> core = dict.fromkeys("abcd", "")
    >>> "".join(sorted(choose_members(core, up | {"a": Seat.LEAVING}, {}, set(), 1).members))
    'bcd'
    >>> choose_members(dict.fromkeys("abc", ""), up | {"a": Seat.LEAVING}, {}, set(), 1).waiting
    ('a',)

    A core of four with one unreachable and one new member would start with two voters: so the former is
    replaced.

    >>> three = dict.fromkeys("abc", ""), up | {"a": Seat.DARK}
    >>> "".join(sorted(choose_members(*three, {"e": ""}, {"e"}, 1).members))
    'bce'
    """
    settled = {name: address for name, address in joined.items() if name not in recent}
    best = _best_choice(members, seats, settled, hosts_lost)
    if recent:
        choice = _best_choice(members, seats, joined, hosts_lost)
        if _spare_votes(choice, seats) > _spare_votes(best, seats):
            return choice
    return best


def _spare_votes(choice: Choice, seats: dict[str, Seat]) -> int:
    """How many members may fail once all that are up have every acknowledged value."""
    up = (Seat.SOUND, Seat.BEHIND)
    votes = sum(seats.get(name, Seat.BEHIND) in up for name in choice.members)
    return votes - write_quorum(len(choice.members))


def _best_choice(
    members: dict[str, str], seats: dict[str, Seat], joined: dict[str, str], hosts_lost: int
) -> Choice:
    unchanged = Choice(members, tuple(sorted(n for n in members if seats[n] in (Seat.LEAVING, Seat.LEFT))))
    if not joined and not any(seats[n] in (Seat.LEAVING, Seat.LEFT, Seat.LOST) for n in members):
        return unchanged
    voting = [n for n in members if seats[n] in (Seat.SOUND, Seat.BEHIND, Seat.LEAVING)]
    if not Core(0, members).is_write_quorum(voting):
        return unchanged  # without a majority nothing can be decided
    smallest = min(len(members), min_members(hosts_lost))
    best, best_key = unchanged, (-1, 0, 0, 0)
    for departing, dark, new in _candidate_counts(members, seats, joined):
        names = _candidate(members, seats, joined, departing, dark, new)
        quorum = write_quorum(len(names))
        sound_members = [n for n in names if seats.get(n) is Seat.SOUND]
        voters_now = [n for n in names if seats.get(n) in (Seat.SOUND, Seat.LEAVING)]
        if len(names) < smallest or len(voters_now) < quorum:
            continue
        key = (int(len(sound_members) >= quorum), -departing, new, dark)
        if key > best_key:
            waiting = tuple(sorted(n for n in names if seats.get(n) in (Seat.LEAVING, Seat.LEFT)))
            best, best_key = Choice(names, waiting), key
    return best


def _members_in(members: dict[str, str], seats: dict[str, Seat], *which: Seat) -> list[str]:
    return [name for seat in which for name in sorted(members) if seats[name] is seat]


def _candidate_counts(
    members: dict[str, str], seats: dict[str, Seat], joined: dict[str, str]
) -> Iterator[tuple[int, int, int]]:
    """Numbers of departing members that remain, of dark members that remain, and of new members."""
    departing = len(_members_in(members, seats, Seat.LEAVING, Seat.LEFT, Seat.LOST))
    dark = len(_members_in(members, seats, Seat.DARK))
    for departing_kept in range(departing + 1):
        for dark_kept in range(dark + 1):
            for new in range(len(joined) + 1):
                yield departing_kept, dark_kept, new


def _candidate(
    members: dict[str, str],
    seats: dict[str, Seat],
    joined: dict[str, str],
    departing: int,
    dark: int,
    new: int,
) -> dict[str, str]:
    names = _members_in(members, seats, Seat.SOUND, Seat.BEHIND)
    names += _members_in(members, seats, Seat.LEAVING, Seat.LEFT, Seat.LOST)[:departing]
    names += _members_in(members, seats, Seat.DARK)[:dark]
    return {name: members[name] for name in names} | {name: joined[name] for name in sorted(joined)[:new]}
