"""Replica placement: who are to be the members of the next core. No I/O, no clock.

Derivation: docs/design/register.md.

A core of N bears that `hosts_lost` of its members are away as long as N >= 2 * hosts_lost + 1: the others are
a majority W, and W > hosts_lost disks have what was acknowledged.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from millfront.register.values import Core, write_quorum

SMALLEST_CORE = 3  # two would need both for everything


class Seat(Enum):
    """The state of one member of the core, as the coordinator sees it."""

    SOUND = "up, and its disk has all that is known to be acknowledged"
    BEHIND = "up, and its disk has not all yet"
    DARK = "not heard of"
    LEAVING = "ends in order, and votes until its seat is given up"
    LEFT = "has ended in order"
    LOST = "not heard of for so long that it is lost for good"


@dataclass(frozen=True, slots=True)
class Choice:
    """The members that the register is to have. ``waits``: who should leave it, and can't yet."""

    members: dict[str, str]
    waiting: tuple[str, ...] = ()


def min_members(hosts_lost: int) -> int:
    """Members of the smallest core that bears that so many are away.

    >>> [min_members(lost) for lost in (0, 1, 2)]
    [3, 3, 5]
    """
    return max(SMALLEST_CORE, 2 * hosts_lost + 1)


def choose_members(
    members: dict[str, str],
    seats: dict[str, Seat],
    joined: dict[str, str],
    young: set[str],
    hosts_lost: int,
) -> Choice:
    """The best core that can be had in one change; the present one where nothing is to be changed.

    Who is up and stays remains a member. The others are removed, and those who joined are added, as far as

    - no fewer members are left than `min_members`, nor than there are where these are fewer already;
    - those sound now are a majority of the new core without anybody who has just joined.

    One that is dark remains a member unless somebody who is there needs its place. The `young` of those who
    joined are added only where that gains a vote: perhaps they are successors of one not known to be dark
    yet.

    >>> up = dict.fromkeys("abcd", Seat.SOUND)
    >>> core = dict.fromkeys("abcd", "")
    >>> "".join(sorted(choose_members(core, up | {"a": Seat.LEAVING}, {}, set(), 1).members))
    'bcd'
    >>> choose_members(dict.fromkeys("abc", ""), up | {"a": Seat.LEAVING}, {}, set(), 1).waiting
    ('a',)

    Of four with one dark and one new only two would vote:

    >>> three = dict.fromkeys("abc", ""), up | {"a": Seat.DARK}
    >>> "".join(sorted(choose_members(*three, {"e": ""}, {"e"}, 1).members))
    'bce'
    """
    settled = {name: address for name, address in joined.items() if name not in young}
    best = _best_choice(members, seats, settled, hosts_lost)
    if young:
        choice = _best_choice(members, seats, joined, hosts_lost)
        if _spare_votes(choice, seats) > _spare_votes(best, seats):
            return choice
    return best


def _spare_votes(choice: Choice, seats: dict[str, Seat]) -> int:
    """How many may fail then, once all that are there have what was acknowledged."""
    there = (Seat.SOUND, Seat.BEHIND)
    votes = sum(seats.get(name, Seat.BEHIND) in there for name in choice.members)
    return votes - write_quorum(len(choice.members))


def _best_choice(
    members: dict[str, str], seats: dict[str, Seat], joined: dict[str, str], hosts_lost: int
) -> Choice:
    stay = Choice(members, tuple(sorted(n for n in members if seats[n] in (Seat.LEAVING, Seat.LEFT))))
    if not joined and not any(seats[n] in (Seat.LEAVING, Seat.LEFT, Seat.LOST) for n in members):
        return stay
    voting = [n for n in members if seats[n] in (Seat.SOUND, Seat.BEHIND, Seat.LEAVING)]
    if not Core(0, members).is_write_quorum(voting):
        return stay  # nothing could be decided
    least = min(len(members), min_members(hosts_lost))
    best, best_key = stay, (-1, 0, 0, 0)
    for kept, dark, new in _candidate_counts(members, seats, joined):
        names = _candidate(members, seats, joined, kept, dark, new)
        quorum = write_quorum(len(names))
        sound = [n for n in names if seats.get(n) is Seat.SOUND]
        now = [n for n in names if seats.get(n) in (Seat.SOUND, Seat.LEAVING)]
        if len(names) < least or len(now) < quorum:
            continue
        key = (int(len(sound) >= quorum), -kept, new, dark)
        if key > best_key:
            waits = tuple(sorted(n for n in names if seats.get(n) in (Seat.LEAVING, Seat.LEFT)))
            best, best_key = Choice(names, waits), key
    return best


def _members_in(members: dict[str, str], seats: dict[str, Seat], *which: Seat) -> list[str]:
    return [name for seat in which for name in sorted(members) if seats[name] is seat]


def _candidate_counts(
    members: dict[str, str], seats: dict[str, Seat], joined: dict[str, str]
) -> Iterator[tuple[int, int, int]]:
    """How many that are going remain members, how many that are dark do, and how many new ones are added."""
    going = len(_members_in(members, seats, Seat.LEAVING, Seat.LEFT, Seat.LOST))
    dark = len(_members_in(members, seats, Seat.DARK))
    for kept in range(going + 1):
        for still in range(dark + 1):
            for new in range(len(joined) + 1):
                yield kept, still, new


def _candidate(
    members: dict[str, str], seats: dict[str, Seat], joined: dict[str, str], kept: int, dark: int, new: int
) -> dict[str, str]:
    names = _members_in(members, seats, Seat.SOUND, Seat.BEHIND)
    names += _members_in(members, seats, Seat.LEAVING, Seat.LEFT, Seat.LOST)[:kept]
    names += _members_in(members, seats, Seat.DARK)[:dark]
    return {name: members[name] for name in names} | {name: joined[name] for name in sorted(joined)[:new]}
